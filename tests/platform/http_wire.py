"""Minimal reading and writing of HTTP/1.1 messages on asyncio streams for the stand-ins."""
import asyncio


class Message:
    """A request or response. `start_line` holds the three parts of its first line; header names are in lower case."""

    def __init__(self, start_line, headers, body):
        self.start_line, self.headers, self.body = start_line, headers, body

    @property
    def status(self):
        return int(self.start_line[1])


async def read_message(reader, read_until_close=False):
    """Reads one message; raises IncompleteReadError if the connection ends before the message does."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    start_line = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(start_line, headers, await read_chunks(reader))
    if "content-length" not in headers and read_until_close:
        return Message(start_line, headers, await reader.read())
    return Message(start_line, headers, await reader.readexactly(int(headers.get("content-length", 0))))


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += chunk


def encode_message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status, body=b"", headers=None):
    fields = {"Content-Length": len(body), **(headers or {})}
    return encode_message(f"HTTP/1.1 {status} -", fields, body)


def abort(writer):
    """Closes a connection at once and drops data not yet sent."""
    if writer.transport is not None:
        writer.transport.abort()


class Server:
    """A listener that can abort all its connections at once, as if its process had died."""

    def __init__(self, handle):
        self._handle, self._server, self._writers = handle, None, set()

    async def start(self, port):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # Closed by the peer or at the end of the run; callers and endpoints record the result themselves.
        finally:
            self._writers.discard(writer)
            writer.close()

    def is_serving(self):
        return self._server is not None and self._server.is_serving()

    def reset_all(self):
        """Aborts all open connections; the listener keeps accepting new ones."""
        for writer in list(self._writers):
            abort(writer)

    def stop(self):
        if self._server is not None:
            self._server.close()
        self.reset_all()
