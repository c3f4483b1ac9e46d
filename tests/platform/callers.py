"""Callers that follow the users' documentation: resolve addresses, reuse connections and retry where allowed."""
import asyncio
import itertools
import json
import random
import time

from http_wire import abort, encode_message, read_message

# Statuses that promise that the request was not executed, so that any request may be retried.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
_REQUEST_NUMBERS = itertools.count(1)


class Attempt:
    """One attempt of a call: a request with its own id, and its result. Times are those of time.monotonic()."""

    def __init__(self, route, method, path, body, deadline):
        self.request_id = f"r{next(_REQUEST_NUMBERS):08x}"
        self.route, self.method, self.path, self.body, self.deadline = route, method, path, body, deadline
        self.sent_at, self.ended_at, self.entry_port, self.connection_reused = time.monotonic(), None, None, False
        self.status, self.answer, self.error = None, None, None


class Callers:
    """`count` callers, each of which starts `calls_per_second` calls on average until stop() is called."""

    def __init__(self, fleet, seed, count=6, calls_per_second=15.0):
        self.fleet, self.count, self.calls_per_second = fleet, count, calls_per_second
        self.attempts = []
        self._random = random.Random(seed)
        self._stopped = False

    async def run(self):
        await asyncio.gather(*(self._run_caller(random.Random(self._random.random())) for _ in range(self.count)))

    def stop(self):
        self._stopped = True

    async def _run_caller(self, rng):
        state = {"addresses": [], "addresses_expire_at": 0.0, "connections": {}, "failed": {}}
        tasks = set()
        while not self._stopped:
            await asyncio.sleep(rng.expovariate(self.calls_per_second))
            task = asyncio.ensure_future(self._call_with_retry(state, rng))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=10)
        for idle in state["connections"].values():
            for _, writer in idle:
                abort(writer)

    async def _resolve_addresses(self, state, rng):
        if time.monotonic() < state["addresses_expire_at"]:
            return
        for port in rng.sample(self.fleet.directory_ports(), min(3, len(self.fleet.directory_ports()))):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1.0)
                writer.write(encode_message("GET /-/resolve?name=shop.example&region=r&zone=a HTTP/1.1", {"Host": "x"}))
                reply = await asyncio.wait_for(read_message(reader), 1.0)
                abort(writer)
                answer = json.loads(reply.body)
                state["addresses"] = [int(address.rsplit(":", 1)[1]) for address in answer["addresses"]]
                state["addresses_expire_at"] = time.monotonic() + min(answer["ttlS"], 5) * rng.choice([1, 1, 3])
                return
            except (OSError, EOFError, ValueError, KeyError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue

    async def _call_with_retry(self, state, rng):
        route = rng.choice(self.fleet.routes)
        body = b"" if route.safe else bytes(rng.randrange(97, 123) for _ in range(rng.randrange(1, 400)))
        call_deadline = time.monotonic() + route.time_limit_s
        for attempt_index in range(2):
            await self._resolve_addresses(state, rng)
            attempt = Attempt(route, "GET" if route.safe else "POST", f"{route.prefix}{rng.randrange(1000)}", body,
                              call_deadline)
            if not state["addresses"] or attempt.sent_at >= call_deadline:
                return
            self.attempts.append(attempt)
            await self._send(attempt, state, rng, new_connection=attempt_index > 0)
            attempt.ended_at = time.monotonic()
            if attempt.status is not None and attempt.status < 300 or not self._may_retry(attempt):
                return
            retry_after = float(attempt.answer.headers.get("retry-after", 0)) if attempt.answer else 0
            await asyncio.sleep(max(0.0, min(retry_after, (call_deadline - time.monotonic()) / 3)))

    @staticmethod
    def _may_retry(attempt):
        return attempt.route.safe or attempt.status in NOT_EXECUTED_STATUSES or attempt.error == "no connection"

    async def _connect(self, attempt, state, rng, new_connection):
        now = time.monotonic()
        ports = [port for port in state["addresses"] if state["failed"].get(port, 0) < now] or state["addresses"]
        attempt.entry_port = rng.choice(ports)
        idle = state["connections"].setdefault(attempt.entry_port, [])
        while idle and not new_connection:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                attempt.connection_reused = True
                return reader, writer
        try:
            return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", attempt.entry_port), 1.0)
        except (OSError, asyncio.TimeoutError):
            state["failed"][attempt.entry_port] = now + 2.0
            attempt.error = "no connection"
            return None

    async def _send(self, attempt, state, rng, new_connection):
        connection = await self._connect(attempt, state, rng, new_connection)
        if connection is None:
            return
        reader, writer = connection
        remaining_s = max(0.001, attempt.deadline - time.monotonic())
        fields = {"Host": "shop.example", "Sassafraspath-Request-Id": attempt.request_id,
                  "Sassafraspath-Deadline-Ms": int(remaining_s * 1000)}
        if attempt.body:
            fields["Content-Length"] = len(attempt.body)
        try:
            writer.write(encode_message(f"{attempt.method} {attempt.path} HTTP/1.1", fields, attempt.body))
            attempt.answer = await asyncio.wait_for(read_message(reader, read_until_close=True), remaining_s)
            attempt.status = attempt.answer.status
        except asyncio.TimeoutError:
            attempt.error = "deadline"
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            attempt.error = "cut"
        keep_connection = attempt.status is not None and attempt.answer.headers.get("connection", "").lower() != "close"
        if keep_connection:
            state["connections"][attempt.entry_port].append(connection)
        else:
            abort(writer)
