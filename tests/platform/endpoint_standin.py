"""Stand-in for the users' endpoints: work slots, load reports, response seals and injected faults."""
import asyncio
import itertools
import random
import time

from http_wire import Server, abort, encode_answer, read_message

_RUN_NUMBERS = itertools.count(1)


class Endpoint:
    """One incarnation of an endpoint.

    `runs` is shared by all endpoints; a Run is appended for each request that an endpoint begins to execute.
    Injected faults: `slowdown` multiplies the processing time, `drop_probability` is the probability that the
    connection is reset instead of answered, `damage` names the way in which some answers are damaged.
    With `hold_off_s` above 0 it refuses all requests and wants none for so many seconds; `refusals` lists them.
    With `says_leaving` its answers say that it is leaving, whatever it reports to the store; its health check passes.
    """

    def __init__(self, name, service, port, zone, runs, seed, slots=4):
        self.name, self.service, self.port, self.zone, self.slots = name, service, port, zone, slots
        self.runs, self.running, self.waiting = runs, 0, 0
        self.slowdown, self.drop_probability, self.damage = 1.0, 0.0, ""
        self.draining, self.says_leaving = False, False
        self.hold_off_s, self.refusals = 0.0, []
        self.born = int(time.time() * 1000)
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(slots)
        self._server = Server(self._serve)

    async def start(self):
        await self._server.start(self.port)

    def crash(self):
        self._server.stop()

    def is_up(self):
        return self._server.is_serving()

    def registration(self, sequence=1):
        """The record that the endpoint keeps of itself in the store."""
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": "draining" if self.draining else "ready", "warmupLeftS": 0,
                "sequence": sequence, "born": self.born}

    def _state_fields(self):
        fields = {"Sassafraspath-Server-Load": f"{self.running},{self.waiting},{self.slots},{int(self.slowdown * 100)}"}
        if self.draining or self.says_leaving:
            fields["Server-Leaving"] = "1"
        return fields

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request.start_line[1] == "/health":
                status = 503 if self.draining else 200
                writer.write(encode_answer(status, b"",
                                           {"Sassafraspath-Instance-Id": self.name, **self._state_fields()}))
            else:
                await self._handle_request(request, writer)
            await writer.drain()

    def _hold_off(self, request, writer):
        request_id = request.headers.get("sassafraspath-request-id", "")
        self.refusals.append(Refusal(request_id, self.hold_off_s))
        writer.write(self._encode_refusal(request, 503, {"Retry-After": f"{self.hold_off_s:.3f}"}))

    def _encode_refusal(self, request, status, more_fields=None):
        fields = {"Sassafraspath-Not-Executed": "1", "Sassafraspath-Request-Id": request.headers.get(
            "sassafraspath-request-id", ""), **self._state_fields(), **(more_fields or {})}
        return encode_answer(status, b"", fields)

    async def _handle_request(self, request, writer):
        expected_instance = request.headers.get("sassafraspath-expect-instance", self.name)
        if expected_instance != self.name:
            writer.write(self._encode_refusal(request, 421))
            return
        if self.hold_off_s > 0:
            self._hold_off(request, writer)
            return
        if self.waiting >= 2 * self.slots:
            writer.write(self._encode_refusal(request, 503))
            return
        arrived_at = time.monotonic()
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                await self._execute(request, writer, arrived_at)
            finally:
                self.running -= 1

    async def _execute(self, request, writer, arrived_at):
        request_id = request.headers.get("sassafraspath-request-id", "")
        run = Run(request_id, self, request, arrived_at)
        self.runs.append(run)
        await asyncio.sleep(self._random.uniform(0.005, 0.03) * self.slowdown)
        if self._random.random() < self.drop_probability:
            abort(writer)
            return
        body = f"{request_id} {run.response_seal} {request.start_line[1]} ".encode() + b"x" * self._random.randrange(2000)
        run.body = body
        fields = {"Sassafraspath-Request-Id": request_id, "Sassafraspath-Response-Seal": run.response_seal,
                  **self._state_fields()}
        if self.draining or self.says_leaving:
            fields["Connection"] = "close"
        answer = encode_answer(200, body, fields)
        if self.damage and self._random.random() < 0.2:
            await self._send_damaged(answer, writer)
            return
        writer.write(answer)

    async def _send_damaged(self, answer, writer):
        if self.damage == "extra":
            writer.write(answer + encode_answer(200, b"nobody asked", {"Sassafraspath-Request-Id": "other"}))
            return
        if self.damage == "broken":
            writer.write(answer[:len(answer) // 2])
        if self.damage == "noise":
            writer.write(b"no answer at all\r\n\r\n")
        await writer.drain()
        abort(writer)


class Refusal:
    """A request that an endpoint refused, and for how long it then wanted none from the same instance."""

    def __init__(self, request_id, hold_off_s):
        self.request_id, self.refused_at, self.hold_off_s = request_id, time.monotonic(), hold_off_s


class Run:
    """A request that an endpoint began to execute."""

    def __init__(self, request_id, endpoint, request, arrived_at):
        self.request_id, self.endpoint, self.service, self.arrived_at = request_id, endpoint.name, endpoint.service, arrived_at
        self.method, self.path, self.request_body = request.start_line[0], request.start_line[1], request.body
        self.response_seal = f"{next(_RUN_NUMBERS):x}.{endpoint.name}"
        self.headers = request.headers
        self.body = b""
