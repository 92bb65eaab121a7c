"""Wake-up of tasks that wait for a change."""

import asyncio
import typing as t


class Notification:
    """Wakes every waiter at each change.

    A waiter takes `event` before it reads the state, so that a change
    between reading and waiting is not lost::

        while True:
            event = notification.event
            ...  # read the state
            await event.wait()
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiters."""
        event, self.event = self.event, asyncio.Event()
        event.set()


async def wait_with_timeout(
    event: asyncio.Event, seconds: t.Optional[float]
) -> bool:
    """Wait for `event`; returns False when the time runs out first."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
