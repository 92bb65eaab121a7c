"""Concurrency limits, fair queues and retry budget of one gateway."""

import asyncio
import collections
import heapq
import time
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions

# Queueing delay at a backend server above which its limit is lowered. The
# target for the first token is 0.72 s, and the computation of the prompt takes
# most of it.
TARGET_DELAY_SECONDS = 0.1
DECREASE_FACTOR = 0.7
# Shortest time between two decreases, because all requests of one burst report
# the same congestion.
DECREASE_INTERVAL_SECONDS = 0.5

# Most waiting requests of one queue.
QUEUE_CAPACITY = 1000
# Most waiting requests of one customer in a queue.
CUSTOMER_QUEUE_CAPACITY = 250
# Requests that find no free slot before a dispatch ends.
MAX_FAILED_OFFERS = 16
# Weight of the latest interval in the mean time between two dispatches.
LATEST_INTERVAL_WEIGHT = 0.1

# Retries that are allowed before the first success.
INITIAL_RETRIES = 3.0
# Most unused retries that successes can accumulate.
MAX_SAVED_RETRIES = 20.0

Slot = t.TypeVar("Slot")


class ConcurrencyLimit:
    """Adaptive number of requests that one gateway runs on a backend server.

    The limit grows by one after each `limit` requests that were not delayed
    and ended while it was reached. It shrinks by `DECREASE_FACTOR` when a
    request waited for longer than `target_delay_seconds` or was refused. It
    stays between 1 and `upper_bound`.
    """

    def __init__(
        self,
        upper_bound: int,
        *,
        target_delay_seconds: float = TARGET_DELAY_SECONDS,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._upper_bound = max(1, upper_bound)
        self._target_delay_seconds = target_delay_seconds
        self._clock = clock
        # Starts low, because all gateways may start at the same time.
        self._limit = float(max(1, self._upper_bound // 2))
        self._last_decrease = float("-inf")
        self.running = 0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run now."""
        return int(self._limit)

    def set_upper_bound(self, upper_bound: int) -> None:
        """Set the upper bound, for example after a membership change."""
        self._upper_bound = max(1, upper_bound)
        self._limit = min(self._limit, float(self._upper_bound))

    def try_acquire(self) -> bool:
        """Acquire a slot; return whether one was free."""
        if self.running >= self.limit:
            return False
        self.running += 1
        return True

    def release(
        self, delay_seconds: t.Optional[float] = None, refused: bool = False
    ) -> None:
        """Release a slot and adjust the limit.

        `delay_seconds` is the time that the request waited on the server,
        None while it is unknown. `refused` says whether the server refused
        it for lack of capacity.
        """
        limit_reached = self.running >= self.limit
        self.running -= 1
        if refused or (
            delay_seconds is not None
            and delay_seconds > self._target_delay_seconds
        ):
            now = self._clock()
            if now - self._last_decrease >= DECREASE_INTERVAL_SECONDS:
                self._last_decrease = now
                self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        elif delay_seconds is not None and limit_reached:
            self._limit = min(
                float(self._upper_bound), self._limit + 1.0 / self._limit
            )


@attrs.define
class _DispatchInterval:
    """Mean time between two dispatches while requests wait."""

    mean_seconds: t.Optional[float] = None
    last_dispatch: float = 0.0  # Unix seconds

    def estimate(self, now: float) -> float:
        """Return the mean in seconds, with the current interval counted in.

        Without an earlier sample it is the time since the last dispatch.
        """
        latest_seconds = now - self.last_dispatch
        if self.mean_seconds is None:
            return latest_seconds
        return self.mean_seconds + LATEST_INTERVAL_WEIGHT * (
            latest_seconds - self.mean_seconds
        )

    def record_dispatch(self, now: float) -> None:
        """Add the dispatch of a request that had to wait to the mean."""
        self.mean_seconds = self.estimate(now)
        self.last_dispatch = now


@attrs.define(eq=False)
class _WaitingRequest(t.Generic[Slot]):
    try_acquire: t.Callable[[], t.Optional[Slot]]
    result: "asyncio.Future[Slot]"
    latest_start: float  # Unix seconds
    had_to_wait: bool = False  # no slot was free when it arrived


@attrs.define(eq=False)
class _CustomerQueue:
    """Waiting requests of one customer, oldest first."""

    customer: str
    share: float
    virtual_time: float  # start tag of its next request
    requests: t.Deque[_WaitingRequest] = attrs.field(factory=collections.deque)
    interval: _DispatchInterval = attrs.field(factory=_DispatchInterval)


class FairQueue:
    """Start-time fair queue of requests that wait for a backend server.

    The queue serves the customer with the least virtual time, which advances
    by 1 / share for each request. All requests of one queue should be able to
    use the same servers: one queue for each model or plain service.

    At most `capacity` requests wait, `customer_capacity` of one customer.
    When the queue is full, a new request replaces the latest request of the
    customer with the most requests for its share; it is refused if that is
    its own customer.

    `clock` returns Unix seconds.
    """

    def __init__(
        self,
        *,
        capacity: int = QUEUE_CAPACITY,
        customer_capacity: int = CUSTOMER_QUEUE_CAPACITY,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._capacity = capacity
        self._customer_capacity = customer_capacity
        self._clock = clock
        # Customers with waiting requests, and those whose virtual time is
        # later than that of the queue.
        self._queues: t.Dict[str, _CustomerQueue] = {}
        self._virtual_time = 0.0
        self._interval = _DispatchInterval()
        self.waiting_requests = 0

    async def wait(
        self,
        customer: str,
        share: float,
        deadline: deadlines.Deadline,
        try_acquire: t.Callable[[], t.Optional[Slot]],
        release: t.Callable[[Slot], None],
        run_seconds: float = 0.0,
    ) -> Slot:
        """Return a slot as soon as `try_acquire` returns one.

        `try_acquire` returns None while no server has a free slot. `release`
        is called with a slot that was acquired for a request that ended
        meanwhile. `run_seconds` is the time that the request needs once it
        has a slot.

        Raises `exceptions.Overloaded` when the queue or the customer's part
        of it is full; `exceptions.DeadlineUnreachable` at once when the
        expected wait exceeds the deadline, otherwise when the latest start
        has passed.
        """
        now = self._clock()
        latest_start = deadline.at - run_seconds
        queue = self._find_queue(customer, share)
        if now + self._estimate_wait(queue, now) > latest_start:
            raise exceptions.DeadlineUnreachable(
                f"{self.waiting_requests} requests wait;"
                f" the deadline cannot be met"
            )
        if len(queue.requests) >= self._customer_capacity:
            raise exceptions.Overloaded(
                f"{len(queue.requests)} requests of the customer already wait"
            )
        if self.waiting_requests >= self._capacity:
            self._evict_request(queue)
        request = _WaitingRequest(
            try_acquire,
            asyncio.get_running_loop().create_future(),
            latest_start,
        )
        if not self.waiting_requests:
            self._interval.last_dispatch = now
        if not queue.requests:
            queue.interval.last_dispatch = now
        queue.requests.append(request)
        self.waiting_requests += 1
        self.dispatch()
        request.had_to_wait = True
        try:
            async with asyncio.timeout(max(0.0, latest_start - now)):
                return await request.result
        except TimeoutError:
            self._withdraw(queue, request, release)
            raise exceptions.DeadlineUnreachable(
                "no backend server had a free slot before the deadline"
            ) from None
        except asyncio.CancelledError:
            self._withdraw(queue, request, release)
            raise

    def dispatch(self) -> None:
        """Offer free slots to waiting requests.

        To be called whenever a slot may have become free.
        """
        queues = [
            (queue.virtual_time, index, queue)
            for index, queue in enumerate(self._queues.values())
            if queue.requests
        ]
        heapq.heapify(queues)
        failed_offers = 0
        while queues and failed_offers < MAX_FAILED_OFFERS:
            _, index, queue = heapq.heappop(queues)
            request = queue.requests[0]
            now = self._clock()
            if request.result.done():
                # Cancelled, but its task has not removed it yet.
                self._remove(queue, request)
            elif now > request.latest_start:
                self._reject(
                    queue,
                    request,
                    exceptions.DeadlineUnreachable(
                        "no backend server had a free slot before the deadline"
                    ),
                )
            else:
                slot = request.try_acquire()
                if slot is None:
                    failed_offers += 1
                    continue
                self._remove(queue, request)
                self._virtual_time = max(
                    self._virtual_time, queue.virtual_time
                )
                queue.virtual_time += 1.0 / queue.share
                if request.had_to_wait:
                    self._interval.record_dispatch(now)
                    queue.interval.record_dispatch(now)
                request.result.set_result(slot)
            if queue.requests:
                heapq.heappush(queues, (queue.virtual_time, index, queue))

    def estimate_clearance(self) -> float:
        """Return the seconds in which all waiting requests get a slot."""
        if self._interval.mean_seconds is None:
            return 0.0
        return self.waiting_requests * self._interval.estimate(self._clock())

    def _find_queue(self, customer: str, share: float) -> _CustomerQueue:
        queue = self._queues.get(customer)
        if queue is None:
            if len(self._queues) > 2 * self._capacity:
                self._remove_idle_queues()
            queue = _CustomerQueue(customer, share, self._virtual_time)
            self._queues[customer] = queue
        queue.share = max(share, 1e-6)
        if not queue.requests:
            # A customer accumulates no credit while it is idle.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        return queue

    def _remove_idle_queues(self) -> None:
        self._queues = {
            name: queue
            for name, queue in self._queues.items()
            if queue.requests or queue.virtual_time > self._virtual_time
        }

    def _estimate_wait(self, queue: _CustomerQueue, now: float) -> float:
        """Return the expected wait in seconds, 0.0 while nothing waits."""
        if self._interval.mean_seconds is None or not self.waiting_requests:
            return 0.0
        other_shares = sum(
            other.share
            for other in self._queues.values()
            if other.requests and other is not queue
        )
        own_requests = len(queue.requests) + 1
        requests_ahead = min(
            own_requests * (other_shares + queue.share) / queue.share,
            self.waiting_requests + 1,
        )
        expected_seconds = self._interval.estimate(now) * requests_ahead
        if queue.requests and queue.interval.mean_seconds is not None:
            # Customers that wait only now and then also use slots, so the
            # customer's own rate may be lower than its share.
            expected_seconds = max(
                expected_seconds, queue.interval.estimate(now) * own_requests
            )
        return expected_seconds

    def _evict_request(self, queue: _CustomerQueue) -> None:
        """Reject the latest request of the customer most above its share.

        Raises `exceptions.Overloaded` when no other customer is further above
        its share than the customer of `queue`.
        """

        def compute_load(other: _CustomerQueue) -> float:
            own_requests = 1 if other is queue else 0
            return (len(other.requests) + own_requests) / other.share

        largest = max(self._queues.values(), key=compute_load)
        if largest is queue or compute_load(largest) <= compute_load(queue):
            raise exceptions.Overloaded(
                f"{self.waiting_requests} requests wait"
            )
        self._reject(
            largest,
            largest.requests[-1],
            exceptions.Overloaded(
                "the queue is full and this customer has the most requests"
                " for its share"
            ),
        )

    def _reject(
        self,
        queue: _CustomerQueue,
        request: _WaitingRequest,
        error: exceptions.SesamefoldError,
    ) -> None:
        self._remove(queue, request)
        if not request.result.done():
            request.result.set_exception(error)

    def _remove(self, queue: _CustomerQueue, request: _WaitingRequest) -> None:
        queue.requests.remove(request)
        self.waiting_requests -= 1

    def _withdraw(
        self,
        queue: _CustomerQueue,
        request: _WaitingRequest,
        release: t.Callable[[t.Any], None],
    ) -> None:
        """Remove a request that ended before it could use a slot."""
        if request in queue.requests:
            self._remove(queue, request)
        result = request.result
        if result.done() and not result.cancelled() and not result.exception():
            release(result.result())


class RetryBudget:
    """Limits retries to a share of the successful requests.

    `initial_retries` are allowed before the first success. Unused retries
    accumulate up to `max_saved_retries`.
    """

    def __init__(
        self,
        retries_per_success: float = defaults.RETRY_BUDGET,
        initial_retries: float = INITIAL_RETRIES,
        max_saved_retries: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._retries_per_success = retries_per_success
        self._max_saved_retries = max(max_saved_retries, initial_retries)
        self._available_retries = initial_retries

    def record_success(self) -> None:
        """Add the retries that a successful request allows."""
        self._available_retries = min(
            self._max_saved_retries,
            self._available_retries + self._retries_per_success,
        )

    def allows_retry(self) -> bool:
        """Return whether the budget allows a retry, without using it up."""
        # Tolerates rounding: ten times 0.1 adds up to less than 1.0.
        return self._available_retries >= 1.0 - 1e-9

    def try_acquire_retry(self) -> bool:
        """Use up one retry; return whether the budget allows it."""
        if not self.allows_retry():
            return False
        self._available_retries -= 1.0
        return True
