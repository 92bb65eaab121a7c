"""The clock of an entry host."""

import time


def read_time() -> float:
    """Return the seconds since boot, including time spent suspended.

    The monotonic clock stops while a host is suspended, and the wall clock may
    be set back, so neither is suitable for measuring the age of state.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
