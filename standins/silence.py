"""Silence of a stand-in that goes on with its work."""

import asyncio
import time
import typing as t

from aiohttp import web


class SilentTransport:
    """A transport that holds all bytes back during a silence.

    `read_end` returns the monotonic time until which no byte may leave.
    Bytes that were held leave together and in order at the end of the
    silence. Everything else is passed on to the transport.
    """

    def __init__(
        self, transport: t.Any, read_end: t.Callable[[], float]
    ) -> None:
        self._transport = transport
        self._read_end = read_end
        self._held_bytes = bytearray()
        self._closing = False
        self._timer: t.Optional[asyncio.TimerHandle] = None

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._transport, name)

    def write(self, data: t.Any) -> None:
        """Send bytes, or hold them until the silence ends."""
        if self._timer is None and time.monotonic() >= self._read_end():
            self._transport.write(data)
            return
        self._held_bytes += data
        self._schedule()

    def writelines(self, chunks: t.Iterable[t.Any]) -> None:
        """Send several chunks of bytes as `write` does."""
        self.write(b"".join(chunks))

    def close(self) -> None:
        """Close the connection once all bytes were sent."""
        if self._timer is None and time.monotonic() >= self._read_end():
            self._transport.close()
            return
        self._closing = True
        self._schedule()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or will be."""
        return self._closing or self._transport.is_closing()

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.0, self._read_end() - time.monotonic()), self._release
            )

    def _release(self) -> None:
        self._timer = None
        if time.monotonic() < self._read_end():
            self._schedule()
            return
        if self._held_bytes and not self._transport.is_closing():
            self._transport.write(bytes(self._held_bytes))
        self._held_bytes.clear()
        if self._closing:
            self._transport.close()


def silence_connection(
    request: web.BaseRequest, read_end: t.Callable[[], float]
) -> None:
    """Let the connection of a request observe the silences of its server."""
    protocol = request.protocol
    if protocol.transport is not None and not isinstance(
        protocol.transport, SilentTransport
    ):
        protocol.transport = t.cast(
            asyncio.Transport, SilentTransport(protocol.transport, read_end)
        )
