"""Deadlines of an entry host that shuts down."""

import math

import attrs

from sesamefold.entry import clock

# Time after the signal to stop in which new requests are still accepted. The
# load balancer checks a host once a second and removes it after two failures.
DEREGISTRATION_DELAY_SECONDS = 2.8
# Time after that in which new requests are refused before the process ends, so
# that callers learn from a response that the connection closes.
REFUSAL_SECONDS = 0.6
# Part of the shutdown time that is reserved for closing the sockets.
CLOSE_RESERVE_SECONDS = 0.7


@attrs.define
class Shutdown:
    """The deadlines of a shutdown, infinite until it is requested.

    From `refuse_at`, new requests are refused. The host runs at least until
    `refused_until`, and at `answers_end_at` it gives up the requests that it
    has not answered. All are times of `clock.read_time`, in seconds.
    """

    requested_at: float = math.inf
    refuse_at: float = math.inf
    refused_until: float = math.inf
    answers_end_at: float = math.inf

    def begin(self, seconds: float) -> None:
        """Set the deadlines of a shutdown that takes `seconds` at most."""
        self.requested_at = clock.read_time()
        self.refuse_at = self.requested_at + DEREGISTRATION_DELAY_SECONDS
        self.refused_until = self.refuse_at + REFUSAL_SECONDS
        self.answers_end_at = (
            self.requested_at + seconds - CLOSE_RESERVE_SECONDS
        )

    @property
    def requested(self) -> bool:
        """Return whether the host shuts down."""
        return math.isfinite(self.requested_at)

    def is_refusing(self) -> bool:
        """Return whether new requests are refused."""
        return clock.read_time() >= self.refuse_at

    def has_given_up(self) -> bool:
        """Return whether requests without an answer are given up."""
        return clock.read_time() >= self.answers_end_at
