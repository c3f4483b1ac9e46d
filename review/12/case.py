"""DRAIN: the store turns away those instances that read the list of endpoints, as endpoints leave; the others go on."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of sites/kv-gateway.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 62}
DRAIN_S, STABILITY_S = 2.0, 3.0
MOST_TURNED_AWAY = 0.35
# For the clock of this script, in which one thread is store, endpoints and clients.
MEASURING_S = 0.1
ENDPOINTS, LEAVING, WORK_S = 18, 3, 0.076
REQUESTS_PER_S = 200


async def case(world, trouble):
    world.route("search", "/search/", "bedfinder", "safe", 1.2, 0.25)
    world.service("bedfinder")
    world.limits()
    await world.start(["a", "b", "c"] * 3)
    for number in range(ENDPOINTS):
        await world.add_endpoint("bedfinder", "abc"[number % 3], 3, 12, lambda request: WORK_S)
    await world.start_instances(STABILITY_S + 5.0)
    recent = now() - 4.0
    readers = [instance for instance in world.instances
               if world.store.watches.get((instance.name, "servers/"), 0) > recent]
    others = [instance for instance in world.instances if instance not in readers]
    world.record.say(f"the list of endpoints is read by {', '.join(reader.name for reader in readers)}")
    if len(readers) > MOST_TURNED_AWAY * len(world.instances):
        raise RuntimeError("more readers than the store may turn away")
    stopped = asyncio.Event()

    async def clients():
        while not stopped.is_set():
            path = f"/search/{world.rng.randrange(1000)}"
            asyncio.ensure_future(world.send(world.rng.choice(others), "GET", path, 1.2))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    load = asyncio.ensure_future(clients())
    await asyncio.sleep(2.0)
    if trouble:
        world.store.silent_to.update(reader.name for reader in readers)
        world.record.say("the store turns these away: their calls get no answer; it serves the others and the endpoints")
    # They never report that they drain: their entries are removed, and they serve on for drainS and a little longer.
    acknowledged = {}
    for endpoint in world.endpoints[:LEAVING]:
        await world.store.delete(f"servers/{endpoint.name}")
        acknowledged[endpoint] = now()
        world.record.say(f"the store has removed the entry of {endpoint.name}")
    await asyncio.sleep(DRAIN_S + 3.5)
    stopped.set()
    await load
    await asyncio.sleep(1.3)
    late = [at - gone for endpoint, gone in acknowledged.items() for _, at in endpoint.arrivals
            if at > gone + DRAIN_S + MEASURING_S]
    if late:
        world.record.say(f"{len(late)} requests reached these endpoints later than {DRAIN_S} s after that, the last one "
                         f"{max(late):.2f} s after it, all from instances that ran undisturbed")
    return not late


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
