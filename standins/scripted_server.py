"""Stand-in of a faulty backend server that plays scripted bytes."""

import asyncio
import itertools
import socket
import struct
import typing as t

import attrs

# Pause after each piece of a step that is written in pieces.
PIECE_PAUSE_SECONDS = 0.002
# Time between the end of what the server sends and the end of its connection.
HALF_CLOSE_SECONDS = 0.02
# Receive buffer of a connection. A request that is longer than this and the
# buffers of the reader has not arrived before the server reads its body.
RECEIVE_BUFFER_BYTES = 8192


@attrs.frozen
class Step:
    """Bytes that the server writes, and what it does after them.

    `text` may contain "{id}", the id of the request, and "{earlier}", that of
    the request before it at the server. Of the text with the ids, the bytes
    from `start` to `stop` are written in pieces of `piece_bytes`, 0 for one
    piece, `repeat` times or, with `endless`, until the caller closes. Then
    the server pauses for `pause_seconds`.
    """

    text: str
    start: t.Optional[int] = None
    stop: t.Optional[int] = None
    piece_bytes: int = 0
    repeat: int = 1
    endless: bool = False
    pause_seconds: float = 0.0


@attrs.frozen
class Script:
    """What the server does with one request.

    With `executes`, it runs the request before the first step. With `closes`,
    it closes the connection after the last one, with `resets` it resets it.
    With `early`, it reads only the head of the request before the first step,
    and the body after the last one if it does not end the connection. With
    `half_closes`, it sends no more `HALF_CLOSE_SECONDS` before that.
    """

    steps: t.Tuple[Step, ...]
    executes: bool = True
    closes: bool = False
    resets: bool = False
    early: bool = False
    half_closes: bool = False


class ScriptedServer:
    """A server that plays the next script for each request.

    `id_header` names the header of requests with their id. `executed` and
    `received` are the ids of the requests that it ran and received, and
    `closed_by_peer` counts the connections that the caller closed.
    """

    def __init__(self, id_header: str) -> None:
        self.scripts: t.List[Script] = []
        self.executed: t.List[str] = []
        self.received: t.List[str] = []
        self.connections = 0
        self.closed_by_peer = 0
        self.address = ""
        self._id_header = id_header.lower().encode()
        self._server: t.Optional[asyncio.Server] = None
        self._tasks: t.Set["asyncio.Task[t.Any]"] = set()

    async def __aenter__(self) -> "t.Self":
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=listener)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            while request := await self._read_head(reader):
                request_id, body_bytes = request
                script = self.scripts.pop(0)
                if not script.early:
                    await reader.readexactly(body_bytes)
                self.received.append(request_id)
                await self._play(script, request_id, writer)
                if script.closes or script.resets:
                    return
                if script.early:
                    await reader.readexactly(body_bytes)
        except OSError:
            self.closed_by_peer += 1
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _read_head(
        self, reader: asyncio.StreamReader
    ) -> t.Optional[t.Tuple[str, int]]:
        """Return the id of a request and the bytes of its body.

        None when the caller has closed.
        """
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            self.closed_by_peer += 1
            return None
        fields = dict(
            (name.lower(), value.strip())
            for name, _, value in (
                line.partition(b":") for line in head.split(b"\r\n")[1:-2]
            )
        )
        return (
            fields[self._id_header].decode(),
            int(fields.get(b"content-length", b"0")),
        )

    async def _play(
        self, script: Script, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Play a script."""
        if script.executes:
            self.executed.append(request_id)
        names = {"id": request_id, "earlier": (["none"] + self.received)[-2]}
        for step in script.steps:
            text = step.text
            for name, value in names.items():
                text = text.replace("{%s}" % name, value)
            data = text.encode()[step.start : step.stop]
            await _write(writer, data, step)
            await asyncio.sleep(step.pause_seconds)
        if script.half_closes:
            writer.write_eof()
            await asyncio.sleep(HALF_CLOSE_SECONDS)
        if script.resets:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    # With a linger time of 0, closing the socket sends a reset.
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def _write(
    writer: asyncio.StreamWriter, data: bytes, step: Step
) -> None:
    """Write the bytes of a step; raises `OSError` once the caller closed."""
    repeats = itertools.repeat(0) if step.endless else range(step.repeat)
    size = step.piece_bytes or len(data) or 1
    pieces = [
        data[start : start + size] for start in range(0, len(data), size)
    ]
    for piece in (piece for _ in repeats for piece in pieces):
        writer.write(piece)
        await writer.drain()
        if step.piece_bytes:
            await asyncio.sleep(PIECE_PAUSE_SECONDS)
