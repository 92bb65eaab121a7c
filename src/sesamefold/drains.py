"""End of the answers of a gateway that drains."""

import asyncio
import contextlib
import math
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions

# Part of the drain that is reserved for final answers, and its upper limit as
# a share of the time that responses get to finish.
_RESERVE_SECONDS = 0.5
_RESERVE_SHARE = 0.125

_NEVER = deadlines.Deadline(math.inf)


@attrs.define
class Drain:
    """The deadline of all answers, infinite until a drain begins.

    It is a little earlier than the close of the connections, so that callers
    get a final answer to requests that are not complete by then.
    """

    answer_deadline: deadlines.Deadline = _NEVER
    _timeouts: t.Set[asyncio.Timeout] = attrs.field(factory=set)

    def begin(self, delay: float, seconds: float) -> None:
        """Set the deadline of a drain of `seconds` after a `delay`."""
        reserve = min(_RESERVE_SECONDS, _RESERVE_SHARE * seconds)
        self.answer_deadline = deadlines.Deadline.after(
            delay + seconds - reserve
        )
        for timeout in self._timeouts:
            self._reschedule(timeout)

    def cap(self, deadline: deadlines.Deadline) -> deadlines.Deadline:
        """Return the earlier of a request's deadline and that of answers."""
        return min(deadline, self.answer_deadline)

    @contextlib.asynccontextmanager
    async def limit_answer(self) -> t.AsyncIterator[None]:
        """Limit an answer, also by a drain that begins meanwhile.

        Raises `exceptions.RunTimeout`.
        """
        try:
            async with asyncio.timeout(None) as timeout:
                if self.answer_deadline is not _NEVER:
                    self._reschedule(timeout)
                self._timeouts.add(timeout)
                try:
                    yield
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise exceptions.RunTimeout(
                "the gateway shut down before the run ended"
            ) from error

    def _reschedule(self, timeout: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        timeout.reschedule(loop.time() + self.answer_deadline.remaining())
