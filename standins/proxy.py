"""A loopback proxy whose connections a test disturbs."""

import asyncio
import contextlib
import socket
import struct
import typing as t

# Bytes that are passed on at a time.
CHUNK = 65_536
# Time between two looks at whether a direction is cut, seconds.
CUT_POLL = 0.02


class Proxy:
    """Passes bytes between callers and one server.

    `delay` holds every chunk back for so many seconds. While `cut_forward`
    or `cut_backward` is set, nothing moves in that direction, and the
    connections stay open; both together are silence. A new connection is
    accepted in any case, as a network that drops packets later on.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._writers: t.Set[asyncio.StreamWriter] = set()
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        self.delay = 0.0
        self.cut_forward = False
        self.cut_backward = False
        self.address = ""

    async def start(self, stack: contextlib.AsyncExitStack) -> str:
        """Listen until the stack is closed, and return the address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        stack.push_async_callback(self._stop, server)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def _stop(self, server: asyncio.Server) -> None:
        server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    def heal(self) -> None:
        """Pass everything on again."""
        self.delay = 0.0
        self.cut_forward = self.cut_backward = False

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, "forward")),
            asyncio.create_task(self._pump(far_reader, writer, "backward")),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps)
        finally:
            self._tasks.difference_update(pumps)
            self._writers -= {writer, far_writer}
            for end in (writer, far_writer):
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, f"cut_{direction}"):
                    await asyncio.sleep(CUT_POLL)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        # One end was reset, so the other is as well.
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        # Without lingering, a close sends a reset.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
