"""Limits that one gateway applies to its requests."""

import asyncio
import collections
import heapq
import time
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions

# Queueing delay at a backend server above which its limit is lowered,
# seconds. The target for the first token is 0.72 s, and computing the prompt
# takes most of it.
TARGET_DELAY = 0.1
DECREASE_FACTOR = 0.7
# Time between two decreases, seconds; the requests of one burst report the
# same congestion.
DECREASE_INTERVAL = 0.5

# Waiting requests of one gateway, and of one customer.
QUEUE_REQUESTS = 1000
CUSTOMER_REQUESTS = 250
# Requests that are offered a slot in vain before a dispatch ends.
DISPATCH_ATTEMPTS = 16
# Weight of the latest interval in the mean time between two dispatches.
RATE_WEIGHT = 0.1

# Retries that are allowed without any success, and the most that successes
# can save up.
RETRY_RESERVE = 3.0
RETRY_SAVINGS = 20.0

Slot = t.TypeVar("Slot")


class ConcurrencyLimit:
    """Adaptive number of requests that one gateway runs on a backend server.

    The limit grows by one after each `limit` requests that were not delayed
    while it was reached, and shrinks by a factor when a request waited for
    longer than `target_delay` or was refused. It stays between 1 and `upper`.
    """

    def __init__(
        self,
        upper: int,
        *,
        target_delay: float = TARGET_DELAY,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._upper = max(1, upper)
        self._target_delay = target_delay
        self._clock = clock
        # Starts low, because all gateways may start at the same time.
        self._limit = float(max(1, self._upper // 2))
        self._last_decrease = float("-inf")
        self.running = 0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run now."""
        return int(self._limit)

    def set_upper(self, upper: int) -> None:
        """Change the upper bound, for example after a membership change."""
        self._upper = max(1, upper)
        self._limit = min(self._limit, float(self._upper))

    def try_acquire(self) -> bool:
        """Take a place if one is free."""
        if self.running >= self.limit:
            return False
        self.running += 1
        return True

    def release(
        self, delay: t.Optional[float] = None, refused: bool = False
    ) -> None:
        """Give a place back.

        `delay` is the time in seconds that the request waited on the server,
        None when it is not known; `refused` tells that the server refused it
        for lack of capacity.
        """
        reached = self.running >= self.limit
        self.running -= 1
        if refused or (delay is not None and delay > self._target_delay):
            now = self._clock()
            if now - self._last_decrease >= DECREASE_INTERVAL:
                self._last_decrease = now
                self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        elif delay is not None and reached:
            self._limit = min(
                float(self._upper), self._limit + 1.0 / self._limit
            )


@attrs.define
class _Rate:
    """Mean time between two dispatches while requests wait, seconds."""

    mean: t.Optional[float] = None
    last: float = 0.0  # Unix seconds

    def estimate(self, now: float) -> float:
        """Return the mean; the time since the last dispatch counts."""
        latest = now - self.last
        if self.mean is None:
            return latest
        return self.mean + RATE_WEIGHT * (latest - self.mean)

    def count(self, now: float) -> None:
        """Count a dispatch of a request that had to wait."""
        self.mean = self.estimate(now)
        self.last = now


@attrs.define(eq=False)
class _Waiter(t.Generic[Slot]):
    take: t.Callable[[], t.Optional[Slot]]
    result: "asyncio.Future[Slot]"
    latest_start: float  # Unix seconds
    queued: bool = False  # no place was free when it arrived


@attrs.define(eq=False)
class _Line:
    """Waiting requests of one customer, oldest first."""

    customer: str
    share: float
    virtual: float  # virtual time at which its next request is due
    waiters: t.Deque[_Waiter] = attrs.field(factory=collections.deque)
    rate: _Rate = attrs.field(factory=_Rate)


class FairQueue:
    """Requests that wait for a backend server, by the share of customers.

    The queue serves the customer with the least virtual time, which advances
    by 1 / share for each request (start-time fair queueing). All requests of
    one queue should be able to use the same servers: one queue for each model
    or plain service.

    The bounds are `capacity` in total and `customer_capacity` for a customer.
    When the queue is full, a request takes the place of the latest request of
    the customer with the most requests for its share, unless that is its own.

    `clock` returns Unix seconds.
    """

    def __init__(
        self,
        *,
        capacity: int = QUEUE_REQUESTS,
        customer_capacity: int = CUSTOMER_REQUESTS,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._capacity = capacity
        self._customer_capacity = customer_capacity
        self._clock = clock
        # Customers that wait, and those whose virtual time is still ahead.
        self._lines: t.Dict[str, _Line] = {}
        self._virtual = 0.0
        self._rate = _Rate()
        self.waiting = 0

    async def wait(
        self,
        customer: str,
        share: float,
        deadline: deadlines.Deadline,
        take: t.Callable[[], t.Optional[Slot]],
        give_back: t.Callable[[Slot], None],
        run_seconds: float = 0.0,
    ) -> Slot:
        """Wait until `take` returns a slot, and return it.

        `take` returns None while no server has a free place. `give_back`
        gets a slot that was taken for a request that ended meanwhile.
        `run_seconds` is the time that the request needs once it has a slot.

        Raises `exceptions.Overloaded` when a bound is reached and
        `exceptions.DeadlineUnreachable` as soon as the expected wait ends
        after the deadline.
        """
        now = self._clock()
        latest_start = deadline.at - run_seconds
        line = self._find_line(customer, share)
        if now + self._estimate_wait(line, now) > latest_start:
            raise exceptions.DeadlineUnreachable(
                f"{self.waiting} requests wait; the deadline cannot be met"
            )
        if len(line.waiters) >= self._customer_capacity:
            raise exceptions.Overloaded(
                f"{len(line.waiters)} requests of the customer wait already"
            )
        if self.waiting >= self._capacity:
            self._make_room(line)
        waiter = _Waiter(
            take, asyncio.get_running_loop().create_future(), latest_start
        )
        if not self.waiting:
            self._rate.last = now
        if not line.waiters:
            line.rate.last = now
        line.waiters.append(waiter)
        self.waiting += 1
        self.dispatch()
        waiter.queued = True
        try:
            async with asyncio.timeout(max(0.0, latest_start - now)):
                return await waiter.result
        except TimeoutError:
            self._leave(line, waiter, give_back)
            raise exceptions.DeadlineUnreachable(
                "no backend server had a free slot before the deadline"
            ) from None
        except asyncio.CancelledError:
            self._leave(line, waiter, give_back)
            raise

    def dispatch(self) -> None:
        """Offer free places to waiting requests.

        To be called whenever a place may have become free.
        """
        lines = [
            (line.virtual, index, line)
            for index, line in enumerate(self._lines.values())
            if line.waiters
        ]
        heapq.heapify(lines)
        failed = 0
        while lines and failed < DISPATCH_ATTEMPTS:
            _, index, line = heapq.heappop(lines)
            waiter = line.waiters[0]
            now = self._clock()
            if waiter.result.done():
                # Cancelled; its task has not run since.
                self._remove(line, waiter)
            elif now > waiter.latest_start:
                self._refuse(
                    line,
                    waiter,
                    exceptions.DeadlineUnreachable(
                        "no backend server had a free slot before the deadline"
                    ),
                )
            else:
                slot = waiter.take()
                if slot is None:
                    failed += 1
                    continue
                self._remove(line, waiter)
                self._virtual = max(self._virtual, line.virtual)
                line.virtual += 1.0 / line.share
                if waiter.queued:
                    self._rate.count(now)
                    line.rate.count(now)
                waiter.result.set_result(slot)
            if line.waiters:
                heapq.heappush(lines, (line.virtual, index, line))

    def _find_line(self, customer: str, share: float) -> _Line:
        line = self._lines.get(customer)
        if line is None:
            if len(self._lines) > 2 * self._capacity:
                self._forget_idle()
            line = _Line(customer, share, self._virtual)
            self._lines[customer] = line
        line.share = max(share, 1e-6)
        if not line.waiters:
            # An idle customer saves up no claim for later.
            line.virtual = max(line.virtual, self._virtual)
        return line

    def _forget_idle(self) -> None:
        self._lines = {
            name: line
            for name, line in self._lines.items()
            if line.waiters or line.virtual > self._virtual
        }

    def _estimate_wait(self, line: _Line, now: float) -> float:
        """Return the expected wait in seconds, 0.0 while nothing waits."""
        if self._rate.mean is None or not self.waiting:
            return 0.0
        shares = sum(
            other.share
            for other in self._lines.values()
            if other.waiters and other is not line
        )
        own = len(line.waiters) + 1
        ahead = min(own * (shares + line.share) / line.share, self.waiting + 1)
        expected = self._rate.estimate(now) * ahead
        if line.waiters and line.rate.mean is not None:
            # Customers that wait only now and then also take places.
            expected = max(expected, line.rate.estimate(now) * own)
        return expected

    def _make_room(self, line: _Line) -> None:
        """Refuse the latest request of the customer most above its share."""

        def measure(other: _Line) -> float:
            own = 1 if other is line else 0
            return (len(other.waiters) + own) / other.share

        longest = max(self._lines.values(), key=measure)
        if longest is line or measure(longest) <= measure(line):
            raise exceptions.Overloaded(f"{self.waiting} requests wait")
        self._refuse(
            longest,
            longest.waiters[-1],
            exceptions.Overloaded(
                "the queue is full and other customers wait for their share"
            ),
        )

    def _refuse(
        self, line: _Line, waiter: _Waiter, error: exceptions.SesamefoldError
    ) -> None:
        self._remove(line, waiter)
        if not waiter.result.done():
            waiter.result.set_exception(error)

    def _remove(self, line: _Line, waiter: _Waiter) -> None:
        line.waiters.remove(waiter)
        self.waiting -= 1

    def _leave(
        self,
        line: _Line,
        waiter: _Waiter,
        give_back: t.Callable[[t.Any], None],
    ) -> None:
        """Remove a request that ended before it used a slot."""
        if waiter in line.waiters:
            self._remove(line, waiter)
        result = waiter.result
        if result.done() and not result.cancelled() and not result.exception():
            give_back(result.result())


class RetryBudget:
    """Limits retries to a share of the successful requests.

    A small reserve allows retries before the first success.
    """

    def __init__(
        self,
        ratio: float = defaults.RETRY_BUDGET,
        reserve: float = RETRY_RESERVE,
        savings: float = RETRY_SAVINGS,
    ) -> None:
        self._ratio = ratio
        self._savings = max(savings, reserve)
        self._tokens = reserve

    def record_success(self) -> None:
        """Count a successful request."""
        self._tokens = min(self._savings, self._tokens + self._ratio)

    def try_acquire_retry(self) -> bool:
        """Take one retry if the budget allows it."""
        # Ten times 0.1 is less than 1.0 in binary.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
