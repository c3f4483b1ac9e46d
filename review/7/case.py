"""A client sends a request head that the config allows and that has one long header field."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

from stage import Deployment, limits, main, request_bytes, route, service_entry  # noqa: E402
from clients import CUT_ERRORS, KeptClient, new_id  # noqa: E402
from http_wire import abort, read_message  # noqa: E402

MAX_HEADER_BYTES = 131072
LONG_FIELD_BYTES, SHORT_FIELD_BYTES = 70000, 1000
CLIENTS_PER_INSTANCE = 8
# LOST: more than three times.
ALLOWED_CUTS = 3


async def send_once(instance, field_bytes, record):
    request_id = new_id()
    reader, writer = await asyncio.open_connection(instance.ip, instance.ports["front"])
    writer.write(request_bytes("GET", "/lookup/1", request_id, 2000, more={"Cookie": "x" * field_bytes}))
    try:
        status = (await asyncio.wait_for(read_message(reader), 2)).status
    except (asyncio.TimeoutError, *CUT_ERRORS):
        status = None
    abort(writer)
    record.line(f"{request_id} with a field of {field_bytes} bytes to {instance.name}: {status or 'no answer'}")
    return status


async def case(record, trouble):
    deployment = Deployment(record)
    clients = []
    try:
        await deployment.start({"shop": (4, 0.05), "orders": (6, 0.3)},
                               [route("lookup", "/lookup/", "shop", "safe", 1.5),
                                route("order", "/order/", "orders", "unsafe", 2.0),
                                service_entry("shop"), service_entry("orders"), limits(MAX_HEADER_BYTES)])
        clients = [KeptClient(instance, "POST", "/order/1", 2000, record)
                   for instance in deployment.instances for _ in range(CLIENTS_PER_INSTANCE)]
        tasks = [asyncio.ensure_future(client.run()) for client in clients]
        await asyncio.sleep(3.0)
        # The client of a safe request tries a second machine if the first one does not answer.
        for instance in deployment.instances[:2]:
            status = await send_once(instance, LONG_FIELD_BYTES if trouble else SHORT_FIELD_BYTES, record)
            if status is not None:
                break
        await asyncio.sleep(3.0)
        for client in clients:
            client.stop()
        await asyncio.wait(tasks, timeout=5)
    finally:
        deployment.stop()
    run_ids = {run.request_id for run in deployment.runs}
    for run in deployment.runs:
        record.line(f"{run.endpoint} ran {run.request_id}")
    cuts = [sent for client in clients for sent in client.sent
            if sent.error == "cut" and sent.kept and sent.request_id in run_ids]
    for sent in cuts:
        record.line(f"{sent.request_id} ran and its kept connection to {sent.instance} was closed with no answer")
    exits = [(instance.name, code) for instance in deployment.instances for code, asked in instance.exits if not asked]
    record.line(f"{len(cuts)} such requests, {ALLOWED_CUTS} are allowed; processes that ended by themselves: {exits}")
    print(f"{len(cuts)} requests cut, ended by themselves: {exits}")
    return len(cuts) > ALLOWED_CUTS


main(case)
