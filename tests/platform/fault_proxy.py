"""A proxy on loopback in front of one port that injects network faults into its connections."""
import asyncio

from http_wire import Server, abort

READ_SIZE_BYTES = 65536


class FaultProxy:
    """Forwards connections to a port of this machine.

    Modes: pass, refuse (reset every connection), silent (forward nothing), requests_only (forward requests, hold back
    answers). `delay_s` delays each block of data.
    """

    def __init__(self, target_port):
        self.target_port, self.mode, self.delay_s = target_port, "pass", 0.0
        self._server = Server(self._serve)

    async def start(self, port):
        await self._server.start(port)

    def stop(self):
        self._server.stop()

    def reset_all(self):
        """Resets the connections that are open now; new ones work."""
        self._server.reset_all()

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            abort(writer)
            return
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        try:
            await asyncio.gather(self._forward(reader, target_writer, {"silent"}),
                                 self._forward(target_reader, writer, {"silent", "requests_only"}))
        finally:
            abort(target_writer)

    async def _forward(self, reader, writer, blocking_modes):
        while True:
            data = await reader.read(READ_SIZE_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.mode == "refuse":
                abort(writer)
                raise ConnectionResetError
            if self.mode in blocking_modes:
                # Data held back by a network partition is lost when the partition ends.
                blocking_mode = self.mode
                while self.mode == blocking_mode and data:
                    await asyncio.sleep(0.02)
                abort(writer)
                raise ConnectionResetError
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
