"""CONFIG: the store turns away those instances that watch the config, as it changes; the others go on with the old one."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of sites/kv-gateway.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 62}
CONFIG_APPLY_S, STABILITY_S = 2.0, 3.0
MOST_TURNED_AWAY = 0.35
# For the clock of this script, in which one thread is store, endpoints and clients.
MEASURING_S = 0.1
# The pause in a config_storm.
STORM_GAP_S = 0.33
REQUESTS_PER_S = 100


async def case(world, trouble):
    world.route("hold", "/hold/", "holdbook", "unsafe", 0.8, 0.3)
    world.service("holdbook")
    world.service("bedfinder")
    world.limits()
    await world.start(["a", "b", "c"] * 3)
    for number in range(12):
        service = ("holdbook", "bedfinder")[number // 6]
        await world.add_endpoint(service, "abc"[number % 3], 3, 12, lambda request: 0.05)
    await world.start_instances(STABILITY_S + 5.0)
    recent = now() - 3.5
    watchers = [instance for instance in world.instances if world.store.watches.get((instance.name, "op/"), 0) > recent]
    others = [instance for instance in world.instances if instance not in watchers]
    world.record.say(f"the config is watched by {', '.join(watcher.name for watcher in watchers)}")
    if len(watchers) > MOST_TURNED_AWAY * len(world.instances):
        raise RuntimeError("more watchers than the store may turn away")
    stopped, sent_at = asyncio.Event(), {}

    async def hold():
        at = now()
        request_id, _, _ = await world.send(world.rng.choice(others), "POST", "/hold/bed", 1.5, body=b"x" * 1200)
        sent_at[request_id] = at

    async def clients():
        while not stopped.is_set():
            asyncio.ensure_future(hold())
            await asyncio.sleep(1 / REQUESTS_PER_S)

    load = asyncio.ensure_future(clients())
    await asyncio.sleep(2.0)
    # Two versions in quick succession: the first changes a time-out, the second moves the route to another service.
    route = world.resources[0]["spec"]
    route["timeoutS"] = 0.9
    await world.put_config()
    world.record.say(f"the store has acknowledged version {world.version}")
    await asyncio.sleep(STORM_GAP_S / 2)
    if trouble:
        world.store.silent_to.update(watcher.name for watcher in watchers)
        world.record.say("the store turns the watching ones away: their calls get no answer; it serves the others")
    await asyncio.sleep(STORM_GAP_S / 2)
    route["service"] = "bedfinder"
    await world.put_config()
    acknowledged = now()
    world.record.say(f"the store has acknowledged version {world.version}, which moves the route to bedfinder")
    await asyncio.sleep(CONFIG_APPLY_S + 3.0)
    stopped.set()
    await load
    await asyncio.sleep(1.6)
    services = {endpoint.name: endpoint.service for endpoint in world.endpoints}
    late = [sent_at[run.request_id] - acknowledged for run in world.runs
            if services[run.endpoint] == "holdbook" and run.request_id in sent_at
            and sent_at[run.request_id] > acknowledged + CONFIG_APPLY_S + MEASURING_S]
    if late:
        world.record.say(f"{len(late)} requests that were sent later than {CONFIG_APPLY_S} s after that were run by holdbook, "
                         f"the last one sent {max(late):.2f} s after it, all by instances that ran undisturbed")
    return not late


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
