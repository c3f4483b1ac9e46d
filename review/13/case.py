"""LOST: an instance that got SIGTERM takes requests for so long that it has to cut them when it ends."""
import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import HOST, main, now, request_once

# Of large/naelakoda-gw-large.toml.
BOUNDS = {"graceS": 10, "retryBudgetRatio": 0.2, "retryBudgetSlack": 630}
GRACE_S = 10.0
# Requests that are sent no later than this after the SIGTERM are excused if they are still at work near the end.
EXCUSED_S = 3.0
TIME_LIMIT_S, TIMEOUT_S, WORK_S = 8.0, 8.0, 6.5


async def case(world, trouble):
    world.route("order", "/order/", "tellimus", "unsafe", TIMEOUT_S, 2.0)
    world.service("tellimus", 3600)
    world.limits()
    await world.start(["a", "b"])
    for number in range(4):
        await world.add_endpoint("tellimus", "ab"[number % 2], 6, 12, lambda request: WORK_S)
    await world.start_instances(8.0)
    instance = world.instances[0]
    answer = await request_once(instance.listen["directory"], f"GET /-/resolve?name={HOST}&region=r&zone=a HTTP/1.1",
                                {"Host": HOST}, b"", 1.0)
    resolved = json.loads(answer.body)
    if instance.listen["front"] not in resolved["addresses"]:
        raise RuntimeError("the directory does not name the instance")
    world.record.say(f"a client asks where to connect and may use the answer for {resolved['ttlS']} s")
    start = now()
    if trouble:
        instance.signal(signal.SIGTERM)
        world.record.say(f"{instance.name} gets SIGTERM")

    async def order(after_s):
        await asyncio.sleep(start + after_s - now())
        sent_at = now()
        return sent_at, *await world.send(instance, "POST", "/order/new", TIME_LIMIT_S, body=b"x" * 1200), now()

    results = await asyncio.gather(*(order(after_s) for after_s in (2.0, 3.1, 3.3, 3.5, 3.7, 3.9)))
    lost = 0
    for sent_at, request_id, result, _, ended_at in results:
        runs = [run for run in world.runs if run.request_id == request_id]
        cut = bool(runs) and result == "closed without an answer" and ended_at < sent_at + min(TIME_LIMIT_S, TIMEOUT_S)
        counts = cut and start + EXCUSED_S < sent_at and ended_at <= start + GRACE_S + 1.0
        lost += counts
        world.record.say(f"request {request_id}, sent {sent_at - start:.2f} s after the start, "
                         f"{'ran' if runs else 'did not run'}, ended {ended_at - start:.2f} s after it: {result}"
                         f"{' (LOST)' if counts else ''}")
    return lost == 0


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
