"""Requests that wait for room at the servers, and who is next.

It answers this pattern of load: at times callers compete for too little room.
Requests that are refused then come back at once and again find none, urgent
requests stand behind less urgent ones, and a large prompt never finds room
because small ones take each piece that is freed.

Requests wait in the order of their rank, and within a rank by the fair shares
of their customers (`sesamefold.limits.FairQueue`). All hosts know how much is
waiting on the others, since it is sent with the loads, and each sends only
the part of its requests for which there is room. A request that has waited
long reserves room at one server, which fills up no further until it fits.
"""

import asyncio
import random
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import loads
from sesamefold.entry import placement as placements
from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import limits

# Time without a first event after which callers leave, at the least, and as a
# multiple of the route's target for the first event. A caller that leaves has
# waited in vain.
PATIENCE_SECONDS = 2.0
PATIENCE_TARGETS = 4.0
# Weight of the latest request in the mean times of a route, and the factor on
# these with which most requests end in time.
LATEST_WEIGHT = 0.1
TIME_FACTOR = 1.5
# Rank of the least urgent requests.
LAST_RANK = 9
# Shares of customers in the room for their rank, by their priority, the most
# urgent first.
CUSTOMER_SHARES = (1.0, 0.5, 0.25)
# Part of the patience after which a waiting request reserves room at a server.
RESERVE_SHARE = 0.25
# Requests of this host that reserve room at the same time. Room that is
# reserved is idle until it suffices.
MAX_WAITING_RESERVATIONS = 1
# Interval at which waiting requests are offered room if nothing has changed:
# servers return, rests end and permissions of cold servers renew.
OFFER_INTERVAL_SECONDS = 0.1
# Time after the end of the servers' rest over which the callers that were
# refused because of it are told to come back, seconds.
REST_SPREAD_SECONDS = 1.0
# Shortest and longest time after which a caller that was refused is told to
# come back, seconds. Callers honour it up to a third of their time.
RETRY_AFTER_SECONDS = (0.3, 4.0)


@attrs.frozen
class Place:
    """Room at a server that is reserved for a request."""

    server: topology.Server
    cold: bool
    reservation: loads.Reservation


@attrs.define(eq=False)
class _Waiting:
    """A waiting request.

    It must be sent by `latest_start` and reserves room from `reserves_at` on.
    Nothing is offered to it before `next_offer_at`.
    """

    call: requests.Call
    check: t.Callable[[], None]
    latest_start: float
    reserves_at: float
    next_offer_at: float = float("-inf")
    reserved: t.Optional[Place] = None


Outcome = t.Union[Place, exceptions.SesamefoldError]


@attrs.define
class RoomQueue:
    """The requests of this host that wait for room.

    The callbacks in `on_wait` are called with each request that has waited:
    whether it got room, and after how many seconds.

    place = await queue.acquire(call, check)
    try:
        ...  # send the request to place.server
    finally:
        place.reservation.release()
    """

    placement: placements.Placement
    loads: loads.Loads
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    read_random: t.Callable[[], float] = random.random
    on_wait: t.List[t.Callable[[bool, float], None]] = attrs.field(
        factory=list
    )
    _queues: t.Dict[t.Tuple[str, int], limits.FairQueue] = attrs.field(
        factory=dict
    )
    _first_event_seconds: t.Dict[str, float] = attrs.field(factory=dict)
    _run_seconds: t.Dict[str, float] = attrs.field(factory=dict)
    _waiting: t.Set[_Waiting] = attrs.field(factory=set)
    _offering: bool = False
    _offer_task: t.Optional["asyncio.Task[None]"] = None

    def __attrs_post_init__(self) -> None:
        self.loads.on_change.append(self._schedule_offer)

    def count_waiting(self) -> int:
        """Return how many requests wait on this host."""
        return len(self._waiting)

    def record_first_event(self, route: str, seconds: float) -> None:
        """Record the time from the sending of a request to its first event."""
        _update_mean(self._first_event_seconds, route, seconds)

    def record_run(self, route: str, seconds: float) -> None:
        """Record the time from the sending of a request to its end."""
        _update_mean(self._run_seconds, route, seconds)

    async def acquire(
        self, call: requests.Call, check: t.Callable[[], None]
    ) -> Place:
        """Return room for a request that has not run, as soon as there is.

        `check` raises the error with which a request ends that must no longer
        be sent. Raises `exceptions.NoRoom` at once if the request cannot be
        sent before its caller leaves, and when that time has come.
        """
        now = self.read_time()
        patience = max(
            PATIENCE_SECONDS, PATIENCE_TARGETS * call.route.first_byte_target
        )
        latest_start = min(
            call.deadline
            - TIME_FACTOR * self._run_seconds.get(call.route.name, 0.0),
            call.arrived_at
            + patience
            - TIME_FACTOR
            * self._first_event_seconds.get(call.route.name, 0.0),
        )
        waiting = _Waiting(
            call, check, latest_start, now + RESERVE_SHARE * patience
        )
        if not self._has_waiting(call.service, _get_rank(call)):
            outcome = self._try_place(waiting)
            if outcome is not None:
                return _unwrap(outcome)
        return await self._wait(waiting)

    def _has_waiting(self, service: str, rank: int) -> bool:
        """Return whether requests of the same or a higher rank wait here."""
        return any(
            queue.waiting_requests
            for (name, other), queue in self._queues.items()
            if name == service and other <= rank
        )

    async def _wait(self, waiting: _Waiting) -> Place:
        call = waiting.call
        key = (call.service, _get_rank(call))
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = limits.FairQueue(clock=self.read_time)
        began_at = self.read_time()
        demand = loads.Load(1, loads.estimate_memory(call.head.prompt))
        row = loads.make_waiting_row(*key)
        self.loads.add(row, demand)
        self._waiting.add(waiting)
        self._start_offers()
        reason: t.Optional[str] = None
        try:
            return _unwrap(
                await queue.wait(
                    call.customer.name if call.customer else "",
                    _get_share(call),
                    deadlines.Deadline(waiting.latest_start),
                    lambda: self._try_place(waiting),
                    _release,
                )
            )
        except (
            exceptions.DeadlineUnreachable,
            exceptions.Overloaded,
        ) as error:
            reason = error.message
            raise exceptions.NoRoom(
                reason, self._compute_retry_after(call)
            ) from error
        finally:
            self._waiting.discard(waiting)
            self.loads.add(row, -demand)
            if waiting.reserved is not None:
                waiting.reserved.reservation.release()
            for listener in self.on_wait:
                listener(reason is None, self.read_time() - began_at)
            self.log.write(
                "room_waited",
                request=call.request_id,
                rank=_get_rank(call),
                seconds=round(self.read_time() - began_at, 3),
                tokens=demand.memory_tokens,
                waiting=self.loads.get_load(row).requests,
                reserved=waiting.reserves_at <= self.read_time() or None,
                reason=reason,
            )

    def _start_offers(self) -> None:
        if self._offer_task is None or self._offer_task.done():
            self._offer_task = asyncio.create_task(self._offer_repeatedly())

    async def _offer_repeatedly(self) -> None:
        while self._waiting:
            await asyncio.sleep(OFFER_INTERVAL_SECONDS)
            self.offer()

    def _schedule_offer(self) -> None:
        """Offer room soon, once for all changes of the loads by then."""
        if self._waiting and not self._offering:
            self._offering = True
            asyncio.get_running_loop().call_soon(self._offer_scheduled)

    def _offer_scheduled(self) -> None:
        self._offering = False
        self.offer()

    def offer(self) -> None:
        """Offer room to the waiting requests, in the order of their ranks."""
        for key in sorted(self._queues, key=lambda key: key[1]):
            self._queues[key].dispatch()

    def _try_place(self, waiting: _Waiting) -> t.Optional[Outcome]:
        """Return room for a request, None if it waits on."""
        call = waiting.call
        now = self.read_time()
        try:
            waiting.check()
        except exceptions.SesamefoldError as error:
            return error
        if waiting.reserved is not None:
            return self._try_reserved(waiting)
        if now < waiting.next_offer_at:
            return None
        chosen = self.placement.choose_server(call)
        if chosen is None:
            return self._check_rest(waiting)
        if not self.placement.has_capacity(call, chosen[0]):
            if now >= waiting.reserves_at:
                self._reserve(waiting, *chosen)
            return None
        if not self._is_next(call):
            waiting.next_offer_at = now + self.loads.get_update_interval()
            return None
        return self._make_place(call, *chosen)

    def _check_rest(self, waiting: _Waiting) -> t.Optional[exceptions.NoRoom]:
        """Return an error if all servers rest for too long."""
        now = self.read_time()
        rest_end = self.placement.find_rest_end(
            waiting.call, untried_only=False
        )
        if rest_end is None or rest_end < waiting.latest_start:
            return None
        return exceptions.NoRoom(
            "all servers rest until the request can no longer be sent",
            compute_rest_return(rest_end, now),
        )

    def _is_next(self, call: requests.Call) -> bool:
        """Draw whether this request takes a part of the room that is left.

        Room that is freed is seen by all hosts at once. The draw is repeated
        only with the next figures of the loads. What waits on this host does
        not count: it is offered the room that is left afterwards.
        """
        rank = _get_rank(call)
        *ahead, waiting = [
            self.loads.get_other_load(
                loads.make_waiting_row(call.service, other)
            ).memory_tokens
            for other in range(rank + 1)
        ]
        if not waiting and not any(ahead):
            return True
        probability = self.placement.compute_send_probability(
            call, sum(ahead), waiting
        )
        return self.read_random() < probability

    def _make_place(
        self, call: requests.Call, server: topology.Server, cold: bool
    ) -> Place:
        return Place(
            server,
            cold,
            self.placement.record_request(call, server, cold),
        )

    def _reserve(
        self, waiting: _Waiting, server: topology.Server, cold: bool
    ) -> None:
        """Reserve room at a server that has too little of it yet."""
        reserving = sum(w.reserved is not None for w in self._waiting)
        if cold or reserving >= MAX_WAITING_RESERVATIONS:
            return
        waiting.reserved = self._make_place(waiting.call, server, cold)
        self.log.write(
            "room_reserved",
            request=waiting.call.request_id,
            server=server.id,
        )

    def _try_reserved(self, waiting: _Waiting) -> t.Optional[Outcome]:
        """Return the reserved room once the server has enough of it."""
        place = t.cast(Place, waiting.reserved)
        if not self.placement.is_usable(waiting.call, place.server):
            place.reservation.release()
            waiting.reserved = None
            return None
        if not self.placement.has_capacity(
            waiting.call, place.server, place.reservation.load
        ):
            return None
        waiting.reserved = None
        return place

    def _compute_retry_after(self, call: requests.Call) -> float:
        """Return the seconds after which a refused caller should come back.

        By then the requests that wait on this host had their turn. The times
        are spread, so that callers do not come back together.
        """
        expected = sum(
            queue.estimate_clearance()
            for (service, rank), queue in self._queues.items()
            if service == call.service and rank <= _get_rank(call)
        )
        shortest, longest = RETRY_AFTER_SECONDS
        return min(longest, max(shortest, expected)) * random.uniform(1, 1.5)


def compute_rest_return(rest_end: float, now: float) -> float:
    """Return the seconds after which a caller should come back after a rest.

    They are spread over `REST_SPREAD_SECONDS` after the end of the servers'
    rest, so that callers do not come back together.
    """
    return max(0.0, rest_end - now) + random.uniform(0.0, REST_SPREAD_SECONDS)


def _get_rank(call: requests.Call) -> int:
    """Return the rank of a request, 0 for the most urgent ones.

    It is that of the route alone. If customers went first, the large prompts
    of one customer would hold back the short urgent ones of all others.
    """
    return min(LAST_RANK, call.route.priority)


def _get_share(call: requests.Call) -> float:
    """Return the share of a request's customer in the room of its rank."""
    customer = call.customer
    if customer is None or customer.priority is None:
        return 1.0
    return CUSTOMER_SHARES[min(customer.priority, len(CUSTOMER_SHARES) - 1)]


def _update_mean(means: t.Dict[str, float], name: str, seconds: float) -> None:
    known = means.setdefault(name, seconds)
    means[name] = known + LATEST_WEIGHT * (seconds - known)


def _unwrap(outcome: Outcome) -> Place:
    if isinstance(outcome, exceptions.SesamefoldError):
        raise outcome
    return outcome


def _release(outcome: Outcome) -> None:
    if isinstance(outcome, Place):
        outcome.reservation.release()
