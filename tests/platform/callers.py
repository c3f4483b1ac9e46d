"""Callers as the users' pages describe them: they ask for addresses, keep connections, and try again where they may."""
import asyncio
import itertools
import json
import random
import time

from http_wire import abort, encode, read_message

PROMISES = {408, 421, 429, 503}
_IDS = itertools.count(1)


class Sent:
    """One try of a caller: one request with its own id, and what came of it."""

    def __init__(self, route, method, path, body, deadline):
        self.call = f"r{next(_IDS):08x}"
        self.route, self.method, self.path, self.body, self.deadline = route, method, path, body, deadline
        self.at, self.ended, self.entry, self.kept = time.monotonic(), None, None, False
        self.status, self.answer, self.error = None, None, None


class Callers:
    """A number of callers that send at a steady rate for as long as they are not stopped."""

    def __init__(self, world, seed, count=6, rate=15.0):
        self.world, self.count, self.rate = world, count, rate
        self.sent = []
        self._random = random.Random(seed)
        self._stopped = False

    async def run(self):
        await asyncio.gather(*(self._caller(random.Random(self._random.random())) for _ in range(self.count)))

    def stop(self):
        self._stopped = True

    async def _caller(self, rng):
        state = {"addresses": [], "until": 0.0, "connections": {}, "failed": {}}
        tasks = set()
        while not self._stopped:
            await asyncio.sleep(rng.expovariate(self.rate))
            task = asyncio.ensure_future(self._call(state, rng))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=10)
        for idle in state["connections"].values():
            for _, writer in idle:
                abort(writer)

    async def _resolve(self, state, rng):
        if time.monotonic() < state["until"]:
            return
        for port in rng.sample(self.world.directory_ports(), min(3, len(self.world.directory_ports()))):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1.0)
                writer.write(encode("GET /-/resolve?name=shop.example&region=r&zone=a HTTP/1.1", {"Host": "x"}))
                reply = await asyncio.wait_for(read_message(reader), 1.0)
                abort(writer)
                answer = json.loads(reply.body)
                state["addresses"] = [int(address.rsplit(":", 1)[1]) for address in answer["addresses"]]
                state["until"] = time.monotonic() + min(answer["ttlS"], 5) * rng.choice([1, 1, 3])
                return
            except (OSError, EOFError, ValueError, KeyError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue

    async def _call(self, state, rng):
        route = rng.choice(self.world.routes)
        body = b"" if route.safe else bytes(rng.randrange(97, 123) for _ in range(rng.randrange(1, 400)))
        end = time.monotonic() + route.time_limit
        for attempt in range(2):
            await self._resolve(state, rng)
            sent = Sent(route, "GET" if route.safe else "POST", f"{route.prefix}{rng.randrange(1000)}", body, end)
            if not state["addresses"] or sent.at >= end:
                return
            self.sent.append(sent)
            await self._send(sent, state, rng, fresh=attempt > 0)
            sent.ended = time.monotonic()
            if sent.status is not None and sent.status < 300 or not self._may_repeat(sent):
                return
            retry_after = float(sent.answer.headers.get("retry-after", 0)) if sent.answer else 0
            await asyncio.sleep(max(0.0, min(retry_after, (end - time.monotonic()) / 3)))

    @staticmethod
    def _may_repeat(sent):
        return sent.route.safe or sent.status in PROMISES or sent.error == "no connection"

    async def _connect(self, sent, state, rng, fresh):
        now = time.monotonic()
        ports = [port for port in state["addresses"] if state["failed"].get(port, 0) < now] or state["addresses"]
        sent.entry = rng.choice(ports)
        idle = state["connections"].setdefault(sent.entry, [])
        while idle and not fresh:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                sent.kept = True
                return reader, writer
        try:
            return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", sent.entry), 1.0)
        except (OSError, asyncio.TimeoutError):
            state["failed"][sent.entry] = now + 2.0
            sent.error = "no connection"
            return None

    async def _send(self, sent, state, rng, fresh):
        connection = await self._connect(sent, state, rng, fresh)
        if connection is None:
            return
        reader, writer = connection
        left = max(0.001, sent.deadline - time.monotonic())
        fields = {"Host": "shop.example", "Sassafraspath-Request-Id": sent.call,
                  "Sassafraspath-Deadline-Ms": int(left * 1000)}
        if sent.body:
            fields["Content-Length"] = len(sent.body)
        try:
            writer.write(encode(f"{sent.method} {sent.path} HTTP/1.1", fields, sent.body))
            sent.answer = await asyncio.wait_for(read_message(reader, to_end=True), left)
            sent.status = sent.answer.status
        except asyncio.TimeoutError:
            sent.error = "deadline"
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            sent.error = "cut"
        keep = sent.status is not None and sent.answer.headers.get("connection", "").lower() != "close"
        if keep:
            state["connections"][sent.entry].append(connection)
        else:
            abort(writer)
