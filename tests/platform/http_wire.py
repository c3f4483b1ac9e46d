"""Reading and writing of HTTP/1.1 messages on asyncio streams, as little as the stand-ins need."""
import asyncio


class Message:
    """A request or an answer: its first line in words, its headers in lower case, its body."""

    def __init__(self, words, headers, body):
        self.words, self.headers, self.body = words, headers, body

    @property
    def status(self):
        return int(self.words[1])


async def read_message(reader, to_end=False):
    """Reads one message; raises IncompleteReadError if the connection ends before it is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    words = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(words, headers, await read_chunks(reader))
    if "content-length" not in headers and to_end:
        return Message(words, headers, await reader.read())
    return Message(words, headers, await reader.readexactly(int(headers.get("content-length", 0))))


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += chunk


def encode(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status, body=b"", headers=None):
    fields = {"Content-Length": len(body), **(headers or {})}
    return encode(f"HTTP/1.1 {status} -", fields, body)


def abort(writer):
    """Ends a connection with a reset."""
    if writer.transport is not None:
        writer.transport.abort()


class Server:
    """A listener whose connections can all be reset at once, as when its process dies."""

    def __init__(self, handle):
        self._handle, self._server, self._writers = handle, None, set()

    async def start(self, port):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # The other side or the end of the run ended the connection; callers and endpoints judge that.
        finally:
            self._writers.discard(writer)
            writer.close()

    def is_serving(self):
        return self._server is not None and self._server.is_serving()

    def reset_all(self):
        """Resets the connections that are open now."""
        for writer in list(self._writers):
            abort(writer)

    def stop(self):
        if self._server is not None:
            self._server.close()
        self.reset_all()
