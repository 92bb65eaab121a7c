"""Deadlines of an entry host that shuts down, and what it still serves."""

import asyncio
import contextlib
import math
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import durations as run_durations
from sesamefold.entry import requests
from sesamefold import exceptions

# Time after the signal to stop in which new requests are still accepted. The
# load balancer checks a host once a second and removes it after two failures.
DEREGISTRATION_DELAY_SECONDS = 2.8
# Upper limit of this time, as a share of the time to stop.
DEREGISTRATION_SHARE = 0.5
# Time after that in which new requests are refused before the process ends, so
# that callers learn from a response that the connection closes.
REFUSAL_SECONDS = 0.6
# Part of the time to stop that is reserved for closing the sockets, and its
# upper limit as a share of that time.
CLOSE_RESERVE_SECONDS = 0.7
CLOSE_RESERVE_SHARE = 0.125
# Part of the reserve in which callers can take answers that are written.
FLUSH_SHARE = 0.5
# Time between the deadline that servers get and the end of all answers, so
# that what a server says at its deadline reaches the caller.
REPLY_RESERVE_SECONDS = 0.2
# Factor on the longest known run for requests that cannot be sent again after
# they have run, because a caller can do nothing about such a cut.
UNREPEATABLE_FACTOR = 1.5
# Callers that are refused come back to other hosts.
RETRY_AFTER_SECONDS = 0.1


@attrs.define
class Shutdown:
    """The deadlines of a shutdown, infinite until it is requested.

    From `refuse_at`, new requests are refused, and the host runs at least
    until `refused_until`. Servers get no deadline after `runs_end_at`. At
    `answers_end_at`, each request without a complete answer gets its final
    one, and at `flushed_at` the sockets are closed. All are times of
    `clock.read_time`, in seconds.

    A request is sent to a server only if it is expected to end in time, by
    its own deadline or by the `durations` of others.
    """

    durations: run_durations.Durations = attrs.field(
        factory=run_durations.Durations
    )
    requested_at: float = math.inf
    refuse_at: float = math.inf
    refused_until: float = math.inf
    runs_end_at: float = math.inf
    answers_end_at: float = math.inf
    flushed_at: float = math.inf
    _limits: t.Dict[asyncio.Timeout, t.Callable[[], float]] = attrs.field(
        factory=dict
    )

    def begin(self, seconds: float) -> None:
        """Set the deadlines of a shutdown that takes `seconds` at most."""
        now = clock.read_time()
        reserve = min(CLOSE_RESERVE_SECONDS, CLOSE_RESERVE_SHARE * seconds)
        self.requested_at = now
        self.refuse_at = now + min(
            DEREGISTRATION_DELAY_SECONDS, DEREGISTRATION_SHARE * seconds
        )
        self.answers_end_at = now + seconds - reserve
        self.runs_end_at = self.answers_end_at - REPLY_RESERVE_SECONDS
        self.refused_until = min(
            self.refuse_at + REFUSAL_SECONDS, self.answers_end_at
        )
        self.flushed_at = self.answers_end_at + FLUSH_SHARE * reserve
        for timeout, find_end in list(self._limits.items()):
            _reschedule(timeout, find_end())

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

    def find_latest_start(self, call: requests.Call) -> float:
        """Return until when a server may begin a request that has not run."""
        if call.deadline <= self.runs_end_at:
            return math.inf
        longest = self.durations.find_longest(call)
        if longest is None:
            return -math.inf
        if not call.route.may_repeat():
            longest *= UNREPEATABLE_FACTOR
        return self.runs_end_at - longest

    def check(self, call: requests.Call) -> None:
        """Raise `exceptions.ShuttingDown` if a request would not end in time.

        It must not have run.
        """
        if not self.requested:
            return
        if clock.read_time() > self.find_latest_start(call):
            raise exceptions.ShuttingDown(
                "the request may not end before the entry host does",
                RETRY_AFTER_SECONDS,
            )

    def refuse_new(self) -> None:
        """Raise `exceptions.ShuttingDown` if new requests are refused."""
        if self.is_refusing():
            raise exceptions.ShuttingDown(
                "the entry host is shutting down", RETRY_AFTER_SECONDS
            )

    def get_run_seconds(self, call: requests.Call) -> float:
        """Return the seconds that a server may take for a request."""
        end = min(call.deadline, self.runs_end_at)
        return max(0.0, end - clock.read_time())

    @contextlib.contextmanager
    def measure_run(self, call: requests.Call) -> t.Iterator[None]:
        """Record how long a server runs a request.

        A run that fails or is given up took at least as long, which counts
        only beside complete runs. One that breaks off says nothing.
        """
        sent_at = clock.read_time()
        try:
            yield
        except exceptions.RoutingError:
            raise
        except BaseException:
            seconds = clock.read_time() - sent_at
            longest = self.durations.find_longest(call)
            if longest is not None and seconds > longest:
                self.durations.record(call, seconds)
            raise
        self.durations.record(call, clock.read_time() - sent_at)

    def limit_answer(self, call: requests.Call) -> t.AsyncContextManager[None]:
        """Limit the time of an answer to its deadline and to the shutdown.

        Raises `TimeoutError`, also for a shutdown that begins meanwhile.
        """
        return self._limit(lambda: min(call.deadline, self.answers_end_at))

    @contextlib.asynccontextmanager
    async def limit_body(self, call: requests.Call) -> t.AsyncIterator[None]:
        """Limit the time to read a body to when it can still be served.

        Raises `exceptions.ShuttingDown`.
        """
        try:
            async with self._limit(
                lambda: min(
                    self.runs_end_at,
                    (
                        self.find_latest_start(call)
                        if self.requested
                        else math.inf
                    ),
                )
            ):
                yield
        except TimeoutError as error:
            raise exceptions.ShuttingDown(
                "the body did not arrive in time for a shutdown",
                RETRY_AFTER_SECONDS,
            ) from error

    @contextlib.asynccontextmanager
    async def _limit(
        self, find_end: t.Callable[[], float]
    ) -> t.AsyncIterator[None]:
        async with asyncio.timeout(None) as timeout:
            _reschedule(timeout, find_end())
            self._limits[timeout] = find_end
            try:
                yield
            finally:
                del self._limits[timeout]


def _reschedule(timeout: asyncio.Timeout, end: float) -> None:
    """Let a timeout expire at a time of `clock.read_time`."""
    if timeout.expired():
        return
    if end == math.inf:
        timeout.reschedule(None)
        return
    remaining = max(0.0, end - clock.read_time())
    timeout.reschedule(asyncio.get_running_loop().time() + remaining)
