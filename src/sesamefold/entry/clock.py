"""The clock of an entry host."""

import time


def read_time() -> float:
    """Return seconds since boot, including the time of a suspension.

    The monotonic clock stops while a host is suspended, and the time of day
    may be set back, so neither can tell how old a piece of state is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
