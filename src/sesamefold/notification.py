"""Notification of tasks that wait for a change of state."""

import asyncio
import typing as t


class Notification:
    """Wakes all waiting tasks at each change.

    Each change sets the current `event` and replaces it. A task must get
    `event` before it reads the state, so that a change between reading and
    waiting is not missed::

        while True:
            event = notification.event
            ...  # read the state
            await event.wait()
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        event, self.event = self.event, asyncio.Event()
        event.set()


async def wait_with_timeout(
    event: asyncio.Event, seconds: t.Optional[float]
) -> bool:
    """Wait for `event`; return whether it was set before the timeout.

    None for `seconds` waits without a limit.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
