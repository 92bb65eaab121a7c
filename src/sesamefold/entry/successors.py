"""Takeover of a silent stream by a second attempt.

A server that sends nothing may be dead, its run may wait for memory, or the
network may be slow. The host cannot tell, so silence alone ends no attempt: a
second one, the successor, is started while the first stays open. The stream
stays with the first attempt if that sends an event before the successor does,
or if the successor fails. It goes to the successor once that replies with a
stream of its own, so that its server runs the request. The first attempt then
ends at once, because no server may work on a request for long that goes on at
another one. A successor that waits in a queue leaves the stream where it is.
One whose server is silent as well gives way to the next one.
"""

import asyncio
import typing as t

import attrs

from sesamefold.entry import topology
from sesamefold import exceptions


class TakenOver(exceptions.ReplyBroken):
    """The successor of an attempt serves the rest of the stream."""


@attrs.define(eq=False)
class Claim:
    """The claim of a successor to the stream of its predecessor.

    `claimed` is set once the successor should have the stream, `granted` once
    the predecessor has closed its connection. `server` is that of the
    successor, None until it is chosen.
    """

    server: t.Optional[topology.Server] = None
    claimed: asyncio.Event = attrs.field(factory=asyncio.Event)
    granted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def submit(self) -> None:
        """Claim the stream; the successor's server runs the request."""
        self.claimed.set()

    async def acquire(self) -> None:
        """Claim the stream and wait until it is granted."""
        self.submit()
        await self.granted.wait()


Chooser = t.Callable[[Claim], t.Union["asyncio.Task[None]", str]]


@attrs.define(eq=False)
class Succession:
    """The successors of one attempt, of which one at a time is under way.

    `choose` is called each time that a successor is wanted. It returns a task
    that completes the response once its claim is granted, or the reason why
    there is no successor. `failures` are the errors of a successor that leave
    the stream to its predecessor. Leaving the context cancels the successor.

        async with Succession(choose, failures) as succession:
            try:
                ...  # succession.start() when no event comes
            except TakenOver:
                await succession.finish()
    """

    choose: Chooser
    failures: t.Tuple[t.Type[Exception], ...]
    _claim: Claim = attrs.field(factory=Claim)
    _task: t.Optional["asyncio.Task[None]"] = None

    async def __aenter__(self) -> "Succession":
        return self

    async def __aexit__(self, *exception: t.Any) -> None:
        await self.cancel()

    def start(self) -> t.Optional[str]:
        """Start a successor; return why there is none, None if it started."""
        claim = Claim()
        chosen = self.choose(claim)
        if isinstance(chosen, str):
            return chosen
        self._claim, self._task = claim, chosen
        return None

    async def replace(self) -> t.Optional[str]:
        """Start another successor in place of the one under way.

        Returns why there is none; the one under way then goes on.
        """
        claim = Claim()
        chosen = self.choose(claim)
        if isinstance(chosen, str):
            return chosen
        replaced = self._task
        # The new one is owned before the wait: the caller may leave in it.
        self._claim, self._task = claim, chosen
        await _cancel(replaced)
        return None

    def get_server(self) -> t.Optional[topology.Server]:
        """Return the server of the latest successor."""
        return self._claim.server

    def is_under_way(self) -> bool:
        """Return whether a successor was started and has not failed.

        Raises an error of the successor that is none of `failures`.
        """
        if self._task is not None and self._task.done():
            error = self._task.exception()
            self._task = None
            if error is not None and not isinstance(error, self.failures):
                raise error
        return self._task is not None

    async def wait_beside(
        self,
        reading: "asyncio.Task[bytes]",
        has_unread_data: t.Callable[[], bool],
        seconds: float,
    ) -> None:
        """Wait until the predecessor has read data or the successor failed.

        Returns after some seconds in any case. Raises `TakenOver` if the
        successor gets the stream. Data that reached the predecessor before
        goes first, also if `reading` has not run yet.
        """
        assert self._task is not None
        claiming = asyncio.create_task(self._claim.claimed.wait())
        try:
            await asyncio.wait(
                {reading, self._task, claiming},
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if reading.done() or not self.is_under_way():
                return
            if not self._claim.claimed.is_set():
                return
            if not has_unread_data():
                raise TakenOver("another server goes on with the stream")
            await asyncio.wait({reading})
        finally:
            claiming.cancel()

    async def cancel(self) -> None:
        """Cancel the successor, which closes its connection."""
        task, self._task = self._task, None
        await _cancel(task)

    async def finish(self) -> None:
        """Grant the stream to the successor and wait until it has ended.

        The predecessor must have closed its connection. Raises the error of
        the successor.
        """
        assert self._task is not None
        self._claim.granted.set()
        await self._task


async def _cancel(task: t.Optional["asyncio.Task[None]"]) -> None:
    """Cancel an attempt and wait for its end, whatever its outcome."""
    if task is not None:
        task.cancel()
        await asyncio.wait({task})
        if not task.cancelled():
            task.exception()
