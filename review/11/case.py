"""MIXED: an answer that breaks off is continued with the answer of a hedge, and looks whole."""
import asyncio
import pathlib
import socket
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
from world import HOST, Endpoint, encode, main, now, read_message

# Of demands/rdzen-hq-grown.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 196}
TIME_LIMIT_S, GOAL_S, TIMEOUT_S = 2.5, 1.0, 2.5
# Downloads have up to 540,000 bytes there.
BODY_BYTES = 400_000
# An endpoint sends with 16 Mbit/s.
PIECE_BYTES, PIECE_S = 20_000, 0.010
WORK_S, PROBE_S = 0.06, 0.006
# Three requests in a hundred take longer. With the trouble, some of the endpoints break off the answers to just these:
# others every few seconds.
SLOW_SHARE, SLOW_S = 0.03, (0.265, 0.335)
ENDPOINTS, FAULTY, FAULTY_FOR_S = 10, 6, 5.0
CLIENTS, FOR_S = 24, 95.0


def body_of(request_id):
    return (request_id.encode() * (BODY_BYTES // len(request_id) + 1))[:BODY_BYTES]


class DownloadEndpoint(Endpoint):
    """Sends large answers at the speed of its link. Some start late, and a faulty endpoint breaks those off."""

    faulty, broken, runs = False, 0, 0

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request.first[1] == "/health":
                await asyncio.sleep(PROBE_S)
                writer.write(encode("HTTP/1.1 200 -", {"Content-Length": 0, "Sassafraspath-Instance-Id": self.name,
                                                       **self._load()}))
                await writer.drain()
                continue
            self.running += 1
            try:
                if not await self._answer(request.headers["sassafraspath-request-id"], writer):
                    return
            finally:
                self.running -= 1

    async def _answer(self, request_id, writer):
        DownloadEndpoint.runs += 1
        slow = self.world.rng.random() < SLOW_SHARE
        self.world.record.write(f"request {request_id} runs at {self.name}{', slowly' if slow else ''}")
        await asyncio.sleep(self.world.rng.uniform(*SLOW_S) if slow else WORK_S)
        answer = encode("HTTP/1.1 200 -", {
            "Content-Length": BODY_BYTES, "Sassafraspath-Request-Id": request_id,
            "Sassafraspath-Response-Seal": f"{self.name}.{request_id}", **self._load()}, body_of(request_id))
        end = int(BODY_BYTES * self.world.rng.uniform(0.45, 0.7)) if slow and self.faulty else len(answer)
        due = now()
        for first in range(0, end, PIECE_BYTES):
            if writer.is_closing():
                return False
            writer.write(answer[first:min(end, first + PIECE_BYTES)])
            due += PIECE_S
            await asyncio.sleep(max(0.0, due - now()))
        if end == len(answer):
            return True
        DownloadEndpoint.broken += 1
        self.world.record.write(f"{self.name} resets its answer to request {request_id} after {end} bytes")
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False


async def case(world, trouble):
    world.route("scan", "/scan/", "skany", "download", TIMEOUT_S, GOAL_S)
    world.service("skany", 1060)
    world.limits()
    await world.start(["a"])
    for number in range(ENDPOINTS):
        endpoint = DownloadEndpoint(world, f"i-{number:04x}", "skany", "a", f"127.{world.net}.2.{number + 1}:8500", 6,
                                    4, None)
        await endpoint.server.start(endpoint.address)
        world.endpoints.append(endpoint)
        await world.store.put(f"servers/{endpoint.name}", endpoint.entry())
    await world.start_instances(4.0)
    host, _, port = world.instances[0].listen["front"].rpartition(":")
    whole, ended_early, wrong = 0, 0, []

    async def client():
        nonlocal whole, ended_early
        connection = None
        while now() < end:
            connection = connection or await asyncio.open_connection(host, int(port), limit=1 << 20)
            reader, writer = connection
            request_id = world.new_id()
            world.record.write(f"request {request_id} sent")
            writer.write(encode("GET /scan/core HTTP/1.1", {
                "Host": HOST, "Sassafraspath-Request-Id": request_id,
                "Sassafraspath-Deadline-Ms": int(TIME_LIMIT_S * 1000)}))
            try:
                answer = await asyncio.wait_for(read_message(reader), TIME_LIMIT_S)
            except (OSError, EOFError, ValueError, IndexError, asyncio.TimeoutError, asyncio.LimitOverrunError) as error:
                world.record.write(f"request {request_id} has no whole answer: {type(error).__name__}")
                ended_early += 1
                writer.transport.abort()
                connection = None
                continue
            sealed = answer.headers.get("sassafraspath-response-seal", "").endswith(request_id)
            if answer.first[1] == "200" and answer.body == body_of(request_id) and sealed:
                whole += 1
                world.record.write(f"request {request_id} gets its whole answer")
            elif answer.first[1] == "200":
                at = next(i for i, pair in enumerate(zip(answer.body, body_of(request_id))) if pair[0] != pair[1])
                wrong.append(request_id)
                world.record.say(f"request {request_id} gets 200 with {answer.headers['content-length']} bytes; from byte "
                                 f"{at} on they are {bytes(answer.body[at:at + 60])!r}")
                # What follows on this connection can't be read any more.
                writer.transport.abort()
                connection = None
            else:
                world.record.write(f"request {request_id} gets {answer.first[1]}")
            await asyncio.sleep(world.rng.uniform(0.02, 0.2))

    async def garble():
        while now() < end:
            faulty = world.rng.sample(world.endpoints, FAULTY)
            world.record.write(f"answers may break off at {', '.join(endpoint.name for endpoint in faulty)}")
            for endpoint in world.endpoints:
                endpoint.faulty = endpoint in faulty
            await asyncio.sleep(FAULTY_FOR_S)

    end = now() + FOR_S
    if trouble:
        garbling = asyncio.ensure_future(garble())
    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    if trouble:
        await garbling
    world.record.say(f"{DownloadEndpoint.broken} of {DownloadEndpoint.runs} answers of the endpoints were broken off; clients "
                     f"got {whole} whole answers, {ended_early} that ended early, and {len(wrong)} successes with a wrong body")
    return not wrong


main(case, pathlib.Path(__file__).resolve().parent, BOUNDS)
