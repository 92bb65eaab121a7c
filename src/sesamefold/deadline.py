"""Absolute deadlines of requests and calls."""

import time
import typing as t

import attrs


@attrs.frozen(order=True)
class Deadline:
    """A point in time, in Unix seconds.

    Hosts send each other deadlines as absolute times. The remaining time is
    computed at the time of use::

        deadline = Deadline.after(2.0)
        async with asyncio.timeout(deadline.remaining()):
            ...
    """

    at: float

    @classmethod
    def after(
        cls, seconds: float, now: t.Optional[float] = None
    ) -> "Deadline":
        """Return the deadline `seconds` after `now`, by default from now."""
        return cls((time.time() if now is None else now) + seconds)

    def remaining(self, now: t.Optional[float] = None) -> float:
        """Return the remaining seconds, 0.0 after the deadline has passed."""
        return max(0.0, self.at - (time.time() if now is None else now))

    def has_passed(self, now: t.Optional[float] = None) -> bool:
        """Return whether the deadline has passed."""
        return (time.time() if now is None else now) >= self.at

    def cap(self, seconds: float) -> "Deadline":
        """Return the earlier of this deadline and `seconds` from now."""
        return min(self, Deadline.after(seconds))
