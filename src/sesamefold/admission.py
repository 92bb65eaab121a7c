"""Places on backend servers: limits of warm ones, permits for cold ones."""

import asyncio
import collections
import secrets
import time
import typing as t

import attrs

from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import limits
from sesamefold import routing
from sesamefold import state as states
from sesamefold.wire import control_pb2

# Longest time that a request waits for a place, seconds.
MAX_WAIT_SECONDS = 10.0
_POLL_SECONDS = 0.05
_PERMIT_CALL_SECONDS = 0.5

Rank = t.Callable[[], t.List[routing.Choice]]


@attrs.define(eq=False)
class Place:
    """A place of one run on a server; `lost` once a permit has lapsed.

    `delay` is the time in seconds that the run waited on the server, None
    while it is not known; `refused` tells that the server had no capacity.
    """

    choice: routing.Choice
    engine: engines.Engine
    request: str
    permit: t.Optional[control_pb2.Permit] = None
    lost: bool = False
    renewal: t.Optional["asyncio.Task[None]"] = None
    delay: t.Optional[float] = None
    refused: bool = False

    @property
    def backend(self) -> control_pb2.BackendState:
        """Return the state of the server when it was chosen."""
        return self.choice.backend

    def is_current(self) -> bool:
        """Tell whether the run may be sent now."""
        return self.permit is None or (
            time.time() + defaults.CLOCK_SKEW < self.permit.deadline
        )


@attrs.define(eq=False)
class _Line:
    """The requests that wait for one model, and the latest way to rank."""

    queue: limits.FairQueue = attrs.field(factory=limits.FairQueue)
    rank: t.Optional[Rank] = None
    pump: t.Optional["asyncio.Task[None]"] = None
    ready: t.Dict[str, Place] = attrs.field(factory=dict)


class Admission:
    """Gives out places; waiting requests are served by customer's share."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._lines: t.DefaultDict[str, _Line] = collections.defaultdict(_Line)
        self._limits: t.Dict[str, limits.ConcurrencyLimit] = {}

    async def acquire(
        self,
        request: str,
        customer: configuration.Customer,
        model: str,
        rank: Rank,
        deadline: deadlines.Deadline,
    ) -> Place:
        """Return a place on the best server that has one.

        `rank` is called again for each try. Raises `exceptions.NoBackend`
        when it returns nothing; `exceptions.Overloaded` and
        `exceptions.DeadlineUnreachable` when no place gets free in time.
        """
        choices = rank()
        if not choices:
            raise exceptions.NoBackend(
                f"no usable server offers model {model!r}"
            )
        line = self._lines[model]
        if not line.queue.waiting:
            place = await self._try_choices(request, choices, deadline)
            if place is not None:
                return place
        return await self._wait(line, request, customer, rank, deadline)

    async def _wait(
        self,
        line: _Line,
        request: str,
        customer: configuration.Customer,
        rank: Rank,
        deadline: deadlines.Deadline,
    ) -> Place:
        line.rank = rank
        if line.pump is None or line.pump.done():
            line.pump = self._state.spawn(self._pump(line))
        limit = deadline.cap(MAX_WAIT_SECONDS)
        try:
            return await line.queue.wait(
                customer.name,
                customer.share,
                limit,
                lambda: self._take(line, request, rank),
                self.release,
            )
        except exceptions.DeadlineUnreachable as error:
            if limit.at < deadline.at:
                raise exceptions.Overloaded(error.message) from error
            raise

    async def _try_choices(
        self,
        request: str,
        choices: t.Sequence[routing.Choice],
        deadline: deadlines.Deadline,
    ) -> t.Optional[Place]:
        for choice in choices:
            place = (
                await self._acquire_permit(request, choice, deadline)
                if choice.cold
                else self._take_warm(request, choice)
            )
            if place is not None:
                return place
        return None

    def _take(self, line: _Line, request: str, rank: Rank) -> t.Any:
        """Return a place for a waiting request, None while none is free."""
        for choice in rank():
            if not choice.cold:
                place = self._take_warm(request, choice)
            else:
                place = line.ready.pop(choice.backend.name, None)
                if place is not None:
                    place.choice = choice
                    place.request = request
            if place is not None:
                return place
        return None

    async def _pump(self, line: _Line) -> None:
        """Offer places while requests wait.

        Permits of cold servers have to be asked for; one that no waiting
        request takes is given back. States change without a call, so warm
        servers are offered again, too.
        """
        while line.queue.waiting:
            line.queue.dispatch()
            for choice in line.rank() if line.rank else ():
                if not choice.cold or not line.queue.waiting:
                    continue
                limit = deadlines.Deadline.after(_PERMIT_CALL_SECONDS)
                place = await self._acquire_permit("queue", choice, limit)
                if place is None:
                    continue
                line.ready[choice.backend.name] = place
                line.queue.dispatch()
                unused = line.ready.pop(choice.backend.name, None)
                if unused is not None:
                    self.release(unused)
            jitter = self._state.generator.uniform(0.5, 1.5)
            await asyncio.sleep(_POLL_SECONDS * jitter)

    def _find_limit(
        self, backend: control_pb2.BackendState
    ) -> limits.ConcurrencyLimit:
        upper = self._state.compute_limit(backend.group)
        found = self._limits.get(backend.name)
        if found is None:
            if len(self._limits) > 2 * len(self._state.backends):
                self._forget_limits()
            found = limits.ConcurrencyLimit(upper)
            self._limits[backend.name] = found
        found.set_upper(upper)
        return found

    def _forget_limits(self) -> None:
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.running or name in self._state.backends
        }

    def _take_warm(
        self, request: str, choice: routing.Choice
    ) -> t.Optional[Place]:
        limit = self._find_limit(choice.backend)
        # Runs under permits count until they end, too.
        if self._state.in_flight[choice.backend.name] >= limit.limit:
            return None
        if not limit.try_acquire():
            return None
        return self._make_place(request, choice, None)

    def _make_place(
        self,
        request: str,
        choice: routing.Choice,
        permit: t.Optional[control_pb2.Permit],
    ) -> Place:
        self._state.in_flight[choice.backend.name] += 1
        engine = self._state.make_engine(
            self._state.session, choice.backend.address
        )
        return Place(choice, engine, request, permit)

    async def _acquire_permit(
        self,
        request: str,
        choice: routing.Choice,
        deadline: deadlines.Deadline,
    ) -> t.Optional[Place]:
        limit = deadline.cap(_PERMIT_CALL_SECONDS)
        permit = await self._state.call_quietly(
            self._state.stub.AcquirePermit,
            control_pb2.AcquirePermitRequest(
                backend=choice.backend.name,
                holder=self._state.settings.host,
                # A permit is only ever repeated for the same acquisition;
                # otherwise the release of an earlier one would end it.
                request=f"{request}-{secrets.token_hex(8)}",
                deadline=limit.at,
            ),
            limit.remaining(),
        )
        if permit is None or not permit.id:
            return None
        place = self._make_place(request, choice, permit)
        place.renewal = self._state.spawn(self._renew(place))
        return place

    async def _renew(self, place: Place) -> None:
        """Renew the permit; when it lapses on a cold server, end the run."""
        while True:
            await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
            permit = await self._state.call_quietly(
                self._state.stub.RenewPermit,
                control_pb2.RenewPermitRequest(
                    id=place.permit.id, backend=place.backend.name
                ),
                _PERMIT_CALL_SECONDS,
            )
            if permit is not None and permit.id:
                place.permit = permit
            elif self._is_warm(place):
                return
            elif permit is not None or not place.is_current():
                place.lost = True
                await self._state.cancel_run(place.engine, place.request)
                return

    def _is_warm(self, place: Place) -> bool:
        known = self._state.backends.get(place.backend.name)
        return known is not None and known.state == routing.WARM

    def release(self, place: Place) -> None:
        """Give a place back, and offer it to the requests that wait."""
        name = place.backend.name
        self._state.in_flight[name] -= 1
        if self._state.in_flight[name] <= 0:
            del self._state.in_flight[name]
        if place.permit is None:
            limit = self._limits.get(name)
            if limit is not None:
                limit.release(place.delay, place.refused)
        else:
            self._release_permit(place)
        for line in self._lines.values():
            if line.queue.waiting:
                line.queue.dispatch()

    def _release_permit(self, place: Place) -> None:
        if place.renewal is not None:
            place.renewal.cancel()
        self._state.spawn(
            self._state.call_quietly(
                self._state.stub.ReleasePermit,
                control_pb2.ReleasePermitRequest(
                    id=place.permit.id, backend=place.backend.name
                ),
                _PERMIT_CALL_SECONDS,
            )
        )
