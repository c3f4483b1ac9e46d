"""Clients that keep connections open for many requests, for the scripts of the second review."""
import asyncio
import itertools
import time

from http_wire import abort, read_message
from stage import request_bytes

CUT_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError)
_NUMBERS = itertools.count(1)


def new_id():
    return f"c{next(_NUMBERS):015x}"


class Sent:
    """One request: `kept` tells whether its connection had served another one before."""

    def __init__(self, instance, request_id, kept):
        self.instance, self.request_id, self.kept = instance.name, request_id, kept
        self.sent_at, self.ended_at, self.status, self.error = time.monotonic(), None, None, None


class KeptClient:
    """Sends one request after the other to an instance, on a connection that it keeps."""

    def __init__(self, instance, method, path, deadline_ms, record):
        self.instance, self.method, self.path = instance, method, path
        self.deadline_ms, self.record = deadline_ms, record
        self.sent, self._stopped = [], False

    def stop(self):
        self._stopped = True

    async def run(self):
        while not self._stopped:
            try:
                reader, writer = await asyncio.open_connection(self.instance.ip, self.instance.ports["front"])
            except OSError:
                await asyncio.sleep(0.2)
                continue
            kept = False
            while not self._stopped and await self._exchange(reader, writer, kept):
                kept = True
            abort(writer)

    async def _exchange(self, reader, writer, kept):
        """Sends one request and reads its answer; returns whether the connection can be used again."""
        sent = Sent(self.instance, new_id(), kept)
        self.sent.append(sent)
        body = b"x" * 100 if self.method == "POST" else b""
        try:
            writer.write(request_bytes(self.method, self.path, sent.request_id, self.deadline_ms, body))
            answer = await asyncio.wait_for(read_message(reader), self.deadline_ms / 1000)
            sent.status = answer.status
        except asyncio.TimeoutError:
            sent.error = "time limit"
        except CUT_ERRORS:
            sent.error = "cut"
        sent.ended_at = time.monotonic()
        self.record.line(f"{sent.request_id} to {sent.instance}, kept={int(kept)}: {sent.status or sent.error}")
        return sent.status is not None and answer.headers.get("connection", "").lower() != "close"
