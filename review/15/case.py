"""GONE: requests that must not be repeated are sent to a second endpoint long after their clients have left."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import main, now

# Of grown/naelakoda-gw-grown.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 180}
LATE_S, A_FEW = 0.5, 3
TIME_LIMIT_S, TIMEOUT_S, GOAL_S, WORK_S = 8.0, 8.0, 1.5, 1.0
REQUESTS, LEAVING_SHARE, LEAVES_AFTER_S = 240, 0.3, 0.2
OLD, REPLACED = 16, 8


async def case(world, trouble):
    world.route("order", "/order/", "tellimus", "unsafe", TIMEOUT_S, GOAL_S)
    world.service("tellimus", 960)
    world.limits()
    await world.start(["a", "b", "c", "a", "b", "c"])
    for number in range(OLD):
        await world.add_endpoint("tellimus", "abc"[number % 3], 6, 12, lambda request: WORK_S)
    await world.start_instances(5.0)
    left_at = {}

    async def order(number):
        leaves = trouble and world.rng.random() < LEAVING_SHARE
        request_id, result, _ = await world.send(world.instances[number % 6], "POST", f"/order/{number}", TIME_LIMIT_S,
                                                 body=b"x" * 1200, leave_after_s=LEAVES_AFTER_S if leaves else None)
        if result == "left":
            left_at[request_id] = now()

    orders = []
    for number in range(REQUESTS):
        orders.append(asyncio.ensure_future(order(number)))
        await asyncio.sleep(0.0015)
    await asyncio.sleep(0.3)
    # A release: the new endpoints start first, then the old ones drain. They finish what runs and reject what is queued.
    for number in range(REPLACED):
        await world.add_endpoint("tellimus", "abc"[number % 3], 6, 12, lambda request: WORK_S)
    await asyncio.sleep(0.35)
    for endpoint in world.endpoints[:REPLACED]:
        endpoint.state = "draining"
        await world.store.put(f"servers/{endpoint.name}", endpoint.entry())
        endpoint.forget()
    await asyncio.gather(*orders)
    arrivals = [(request_id, at, endpoint) for endpoint in world.endpoints for request_id, at in endpoint.arrivals]
    late = [(request_id, at - left_at[request_id], endpoint.name) for request_id, at, endpoint in arrivals
            if request_id in left_at and at > left_at[request_id] + LATE_S]
    ran = {run.request_id for run in world.runs}
    for request_id, late_s, name in late:
        world.record.say(f"request {request_id} reached {name} {late_s:.2f} s after its client had left, and "
                         f"{'ran' if request_id in ran else 'did not run'}")
    world.record.say(f"{len(left_at)} clients left; {len(late)} of their requests reached an endpoint over {LATE_S} s later")
    return len(late) <= A_FEW


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
