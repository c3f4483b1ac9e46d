"""QUOTA: a planned stop of the instance that keeps an allowance gives its tenant a second burst."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of demands/mlk-dompet-grown.toml.
BOUNDS = {"graceS": 6, "strictRevoke": True, "revokeS": 5, "retryBudgetRatio": 0.2, "retryBudgetSlack": 222}
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
RATE_PER_S, BURST = 10, 100
USUAL_PER_S, HOT_FACTOR = 8.0, 7.5
KEY = "q7fh2mgkw5rcpihvacru"


async def case(world, trouble):
    world.route("pay", "/pay/", "dompet-bil", "unsafe", 3.0, 0.8)
    world.service("dompet-bil", 1220)
    world.limits()
    world.resources.append({"entryKind": "tenants", "metadata": {"name": "stall"}, "spec": {
        "apiKeys": [KEY], "priority": 1, "ratePerS": RATE_PER_S, "burst": BURST}})
    await world.start(["a", "b", "c"])
    for number in range(6):
        await world.add_endpoint("dompet-bil", "abc"[number % 3], 3, 6, lambda request: 0.05)
    await world.start_instances(4.0)
    leaving, sent_at = [], {}

    async def pay():
        instance = world.rng.choice([other for other in world.instances if other not in leaving])
        at = now()
        request_id, _, _ = await world.send(instance, "POST", "/pay/bill", 3.0, {"Authorization": f"Bearer {KEY}"},
                                            b"x" * 200)
        sent_at[request_id] = at

    async def clients(per_s, for_s):
        start, tasks = now(), []
        while now() < start + for_s:
            tasks.append(asyncio.ensure_future(pay()))
            await asyncio.sleep(max(0.0, start + len(tasks) / per_s - now()))
        return tasks

    world.record.say(f"the tenant sends {USUAL_PER_S} requests a second; its limit is {RATE_PER_S} a second + {BURST}")
    # Until the allowance is full: it begins with half of the burst.
    tasks = await clients(USUAL_PER_S, (BURST / 2 + 8) / (RATE_PER_S - USUAL_PER_S) + 4.0)
    kept = [await instance.counter("sassafras_quota_shards") for instance in world.instances]
    keeper = world.instances[kept.index(max(kept))]
    world.record.say(f"it sends {HOT_FACTOR} times as many; {keeper.name} keeps its allowance")
    hot = asyncio.ensure_future(clients(USUAL_PER_S * HOT_FACTOR, WINDOW_S + 1.0))
    await asyncio.sleep(2.3)
    if trouble:
        keeper.signal(signal.SIGTERM)
        leaving.append(keeper)
        world.record.say(f"{keeper.name} gets SIGTERM")
    await asyncio.gather(*tasks, *await hot)
    ran_at = {run.request_id: run.at for run in world.runs if run.tenant == "stall"}
    inside = [(sent_at[request_id], at) for request_id, at in ran_at.items()]
    most = max(sum(1 for sent, at in inside if since <= sent and at < since + WINDOW_S) for since, _ in inside)
    limit = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    world.record.say(f"in some {WINDOW_S} s, {most} requests were sent and ran; the rule allows {limit:.0f}")
    return most <= limit


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
