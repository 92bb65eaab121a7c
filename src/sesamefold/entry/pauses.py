"""Times in which the event loop of this host stood still.

A host that is suspended, or decodes a large record, reads nothing. The timers
that are due afterwards say nothing about the peers whose data was awaited.
"""

import asyncio
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import decisions

# Time between two checks, seconds.
CHECK_INTERVAL_SECONDS = 0.2
# Delay of a check that counts as a pause, seconds.
MIN_PAUSE_SECONDS = 0.05
# Pause that is logged, seconds.
LOGGED_PAUSE_SECONDS = 0.25


@attrs.define
class PauseMonitor:
    """Sums the seconds in which the event loop stood still.

    Nothing is counted before `run` has started.

        before = monitor.measure_paused_seconds()
        ...
        paused = monitor.measure_paused_seconds() - before
    """

    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _paused_seconds: float = 0.0
    _next_check_at: float = float("inf")

    def measure_paused_seconds(self) -> float:
        """Return the seconds of all pauses, including one that just ended.

        A caller may run before the check that is due.
        """
        return self._paused_seconds + self._measure_delay()

    def _measure_delay(self) -> float:
        delay = self.read_time() - self._next_check_at
        return delay if delay >= MIN_PAUSE_SECONDS else 0.0

    def check(self) -> None:
        """Add the delay of this check and set the time of the next one."""
        delay = self._measure_delay()
        self._paused_seconds += delay
        self._next_check_at = self.read_time() + CHECK_INTERVAL_SECONDS
        if delay >= LOGGED_PAUSE_SECONDS:
            self.log.write("loop_paused", seconds=round(delay, 3))

    async def run(self) -> t.NoReturn:
        """Check until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
