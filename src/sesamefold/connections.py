"""Idle connections that show the restart of a server."""

import asyncio
import contextlib

from sesamefold import deadline as deadlines

# Time to connect, seconds.
_CONNECT_SECONDS = 2.0


async def wait_for_loss(address: str) -> bool:
    """Connect to `address` (ip:port) and wait until the peer closes.

    Nothing is sent. Returns True when an established connection was lost,
    and False when none could be established.
    """
    host, _, port = address.rpartition(":")
    deadline = deadlines.Deadline.after(_CONNECT_SECONDS)
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
