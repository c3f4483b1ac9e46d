"""Stand-in for the users' endpoints: slots, load reports, receipts, and the faults that they may show."""
import asyncio
import itertools
import random
import time

from http_wire import Server, abort, encode_answer, read_message

_RUNS = itertools.count(1)


class Endpoint:
    """One lifetime of an endpoint. `runs` is shared by all of them and gets a Run for each request begun."""

    def __init__(self, name, service, port, zone, runs, seed, slots=4):
        self.name, self.service, self.port, self.zone, self.slots = name, service, port, zone, slots
        self.runs, self.running, self.waiting = runs, 0, 0
        self.slow, self.lose, self.garble = 1.0, 0.0, ""
        self.draining = False
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

    def entry(self, sequence=1):
        """What the endpoint says of itself in the store."""
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": "draining" if self.draining else "ready", "warmupLeftS": 0,
                "sequence": sequence, "born": self.born}

    def _load(self):
        return {"Sassafraspath-Server-Load": f"{self.running},{self.waiting},{self.slots},{int(self.slow * 100)}"}

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request.words[1] == "/health":
                status = 503 if self.draining else 200
                writer.write(encode_answer(status, b"", {"Sassafraspath-Instance-Id": self.name, **self._load()}))
            else:
                await self._work(request, writer)
            await writer.drain()

    def _refusal(self, request, status):
        fields = {"Sassafraspath-Not-Executed": "1", "Sassafraspath-Request-Id": request.headers.get(
            "sassafraspath-request-id", ""), **self._load()}
        return encode_answer(status, b"", fields)

    async def _work(self, request, writer):
        expected = request.headers.get("sassafraspath-expect-instance", self.name)
        if expected != self.name:
            writer.write(self._refusal(request, 421))
            return
        if self.waiting >= 2 * self.slots:
            writer.write(self._refusal(request, 503))
            return
        arrived = time.monotonic()
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                await self._run(request, writer, arrived)
            finally:
                self.running -= 1

    async def _run(self, request, writer, arrived):
        call = request.headers.get("sassafraspath-request-id", "")
        run = Run(call, self, request, arrived)
        self.runs.append(run)
        await asyncio.sleep(self._random.uniform(0.005, 0.03) * self.slow)
        if self._random.random() < self.lose:
            abort(writer)
            return
        body = f"{call} {run.receipt} {request.words[1]} ".encode() + b"x" * self._random.randrange(2000)
        run.body = body
        fields = {"Sassafraspath-Request-Id": call, "Sassafraspath-Response-Seal": run.receipt, **self._load()}
        if self.draining:
            fields["Connection"] = "close"
        answer = encode_answer(200, body, fields)
        if self.garble and self._random.random() < 0.2:
            await self._spoil(answer, writer)
            return
        writer.write(answer)

    async def _spoil(self, answer, writer):
        if self.garble == "extra":
            writer.write(answer + encode_answer(200, b"nobody asked", {"Sassafraspath-Request-Id": "other"}))
            return
        if self.garble == "broken":
            writer.write(answer[:len(answer) // 2])
        if self.garble == "noise":
            writer.write(b"no answer at all\r\n\r\n")
        await writer.drain()
        abort(writer)


class Run:
    """A request that an endpoint began to work on."""

    def __init__(self, call, endpoint, request, arrived):
        self.call, self.endpoint, self.service, self.arrived = call, endpoint.name, endpoint.service, arrived
        self.method, self.path, self.request_body = request.words[0], request.words[1], request.body
        self.receipt = f"{next(_RUNS):x}.{endpoint.name}"
        self.body = b""
