"""DRAIN: all instances that read the list of endpoints are killed at once as an endpoint leaves; the others go on."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of sites/kv-gateway.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 62}
DRAIN_S, STABILITY_S = 2.0, 3.0
# For the clock of this script, in which one thread is store, endpoints and clients.
MEASURING_S = 0.1
REQUESTS_PER_S = 60


async def case(world, trouble):
    world.route("search", "/search/", "bedfinder", "safe", 1.2, 0.25)
    world.service("bedfinder")
    world.limits()
    await world.start(["a", "b", "c", "a", "b", "c", "a"])
    for number in range(6):
        await world.add_endpoint("bedfinder", "abc"[number % 3], 3, 12, lambda request: 0.076)
    await world.start_instances(STABILITY_S + 5.0)
    recent = now() - 4.0
    readers = [instance for instance in world.instances
               if world.store.watches.get((instance.name, "servers/"), 0) > recent]
    others = [instance for instance in world.instances if instance not in readers]
    world.record.say(f"the list of endpoints is read by {', '.join(reader.name for reader in readers)}")
    if not others or len(readers) > 0.6 * len(world.instances):
        raise RuntimeError("more readers than a herd_kill takes")
    stopped = asyncio.Event()

    async def clients():
        while not stopped.is_set():
            path = f"/search/{world.rng.randrange(1000)}"
            asyncio.ensure_future(world.send(world.rng.choice(others), "GET", path, 1.2))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    load = asyncio.ensure_future(clients())
    await asyncio.sleep(2.0)
    if trouble:
        for reader in readers:
            reader.signal(signal.SIGKILL)
        world.record.say("these are killed at the same moment")
    await asyncio.sleep(0.1)
    # It never reports that it drains: its entry is removed, and it serves on for drainS and a little longer.
    leaving = world.endpoints[0]
    await world.store.delete(f"servers/{leaving.name}")
    acknowledged = now()
    world.record.say(f"the store has removed the entry of {leaving.name}")
    await asyncio.sleep(DRAIN_S + 3.5)
    stopped.set()
    await load
    await asyncio.sleep(1.3)
    late = [at - acknowledged for _, at in leaving.arrivals if at > acknowledged + DRAIN_S + MEASURING_S]
    if late:
        world.record.say(f"{len(late)} requests reached {leaving.name} later than {DRAIN_S} s after that, the last one "
                         f"{late[-1]:.2f} s after it, all from instances that ran undisturbed")
    return not late


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
