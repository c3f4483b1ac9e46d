"""A proxy on loopback that stands before one address and does to its connections what a network may do."""
import asyncio

from http_wire import Server, abort

PIECE = 65536


class FaultProxy:
    """Modes: pass, refuse (reset at once), silent (nothing goes through), deaf (requests go, answers do not)."""

    def __init__(self, target_port):
        self.target_port, self.mode, self.delay = target_port, "pass", 0.0
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
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        try:
            await asyncio.gather(self._pump(reader, far_writer, {"silent"}),
                                 self._pump(far_reader, writer, {"silent", "deaf"}))
        finally:
            abort(far_writer)

    async def _pump(self, reader, writer, held_in):
        while True:
            piece = await reader.read(PIECE)
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.mode == "refuse":
                abort(writer)
                raise ConnectionResetError
            if self.mode in held_in:
                # What is held up by a cut is lost when the cut heals.
                continue_after = self.mode
                while self.mode == continue_after and piece:
                    await asyncio.sleep(0.02)
                abort(writer)
                raise ConnectionResetError
            if not piece:
                writer.write_eof()
                return
            writer.write(piece)
            await writer.drain()
