"""Idle connections, whose loss reveals the restart of a server."""

import asyncio
import contextlib
import random
import typing as t

from sesamefold import deadline as deadlines

# Timeout of connecting.
_CONNECT_TIMEOUT_SECONDS = 2.0
# Pause before a connection that was lost or refused is opened again; a jitter
# of 10 % is applied.
_RECONNECT_DELAY_SECONDS = 0.5


async def wait_for_connection_loss(address: str) -> bool:
    """Connect to `address` (ip:port) and wait until the connection is lost.

    Nothing is sent. Returns True when an established connection was lost,
    and False when none could be established.
    """
    host, _, port = address.rpartition(":")
    deadline = deadlines.Deadline.after(_CONNECT_TIMEOUT_SECONDS)
    try:
        async with asyncio.timeout(deadline.remaining()):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    try:
        with contextlib.suppress(OSError):
            while await reader.read(1024):
                pass
        return True
    finally:
        writer.close()


async def watch(address: str, on_loss: t.Callable[[], None]) -> t.NoReturn:
    """Keep an idle connection open; call `on_loss` each time it is lost."""
    while True:
        if await wait_for_connection_loss(address):
            on_loss()
        await asyncio.sleep(
            _RECONNECT_DELAY_SECONDS * random.uniform(0.9, 1.1)
        )
