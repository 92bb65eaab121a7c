"""Absolute instants by which something must have happened."""

import time
import typing as t

import attrs


@attrs.frozen(order=True)
class Deadline:
    """An instant in Unix seconds.

    Deadlines are sent between hosts as they are. The time left is computed
    when it is used::

        deadline = Deadline.after(2.0)
        async with asyncio.timeout(deadline.remaining()):
            ...
    """

    at: float

    @classmethod
    def after(
        cls, seconds: float, now: t.Optional[float] = None
    ) -> "Deadline":
        """Return the deadline `seconds` after `now` (default: the clock)."""
        return cls((time.time() if now is None else now) + seconds)

    def remaining(self, now: t.Optional[float] = None) -> float:
        """Return the seconds left, 0.0 when the deadline has passed."""
        return max(0.0, self.at - (time.time() if now is None else now))

    def has_passed(self, now: t.Optional[float] = None) -> bool:
        """Tell whether the deadline has passed."""
        return (time.time() if now is None else now) >= self.at

    def cap(self, seconds: float) -> "Deadline":
        """Return the earlier of this deadline and `seconds` from now."""
        return min(self, Deadline.after(seconds))
