"""A route is split while its requests run, and some endpoints lose answers of requests that they ran."""
import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

from stage import Deployment, limits, main, route, service_entry  # noqa: E402
from clients import KeptClient  # noqa: E402

CLIENTS_PER_INSTANCE = 8
ENDPOINTS = 10
# Share of the endpoints that lose answers, and share of the answers that they lose: the largest doses of answer_lost.
LOSING_ENDPOINTS, LOST_SHARE = 6, 0.4
# The config goes back and forth, so that a run sees the split several times; answers are lost around each split.
SPLITS, LOSSES_S, PAUSE_S = 5, 2.0, 4.0

WHOLE = [route("api", "/api/", "shop", "unsafe", 2.0)]
SPLIT = [route("api", "/api/read/", "shop", "safe", 2.0), route("api-write", "/api/write/", "shop", "unsafe", 2.0)]
REST = [service_entry("shop"), limits()]


def set_losses(deployment, record, share):
    for endpoint in deployment.endpoints[:LOSING_ENDPOINTS]:
        endpoint.drop_probability = share
    record.line(f"{LOSING_ENDPOINTS} of {ENDPOINTS} endpoints lose {share} of their answers")


async def case(record, trouble):
    deployment = Deployment(record)
    clients = []
    try:
        await deployment.start({"shop": (ENDPOINTS, 0.3)}, WHOLE + REST)
        # Requests of the unsafe part of the route, in both configs.
        clients = [KeptClient(instance, "POST", "/api/write/1", 2000, record)
                   for instance in deployment.instances for _ in range(CLIENTS_PER_INSTANCE)]
        tasks = [asyncio.ensure_future(client.run()) for client in clients]
        await asyncio.sleep(3.0)
        for _ in range(SPLITS):
            set_losses(deployment, record, LOST_SHARE)
            if trouble:
                await deployment.write_config(SPLIT + REST)
            await asyncio.sleep(LOSSES_S)
            set_losses(deployment, record, 0.0)
            await asyncio.sleep(PAUSE_S)
            if trouble:
                await deployment.write_config(WHOLE + REST)
            await asyncio.sleep(PAUSE_S)
        for client in clients:
            client.stop()
        await asyncio.wait(tasks, timeout=5)
    finally:
        deployment.stop()
    runs = collections.defaultdict(list)
    for run in deployment.runs:
        record.line(f"{run.endpoint} began to run {run.request_id}")
        runs[run.request_id].append(run.endpoint)
    twice = {request_id: endpoints for request_id, endpoints in runs.items() if len(endpoints) > 1}
    for request_id, endpoints in twice.items():
        record.line(f"{request_id}, which must not be repeated, ran at {', '.join(endpoints)}")
    print(f"{len(twice)} of {len(runs)} unsafe requests ran more than once")
    return bool(twice)


main(case)
