"""Places on backend servers: slots on warm ones, permits for cold ones."""

import asyncio
import time
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import state as states
from sesamefold.wire import control_pb2

# Requests that may wait for a place, and for how long, seconds.
MAX_WAITING = 512
MAX_WAIT_SECONDS = 10.0
_POLL_SECONDS = 0.05
_PERMIT_CALL_SECONDS = 0.5


@attrs.define(eq=False)
class Place:
    """A place of one run on a server; `lost` once a permit has lapsed."""

    choice: routing.Choice
    engine: engines.Engine
    permit: t.Optional[control_pb2.Permit] = None
    lost: bool = False
    renewal: t.Optional["asyncio.Task[None]"] = None

    @property
    def backend(self) -> control_pb2.BackendState:
        """Return the state of the server when it was chosen."""
        return self.choice.backend

    def is_current(self) -> bool:
        """Tell whether the run may be sent now."""
        return self.permit is None or (
            time.time() + defaults.CLOCK_SKEW < self.permit.deadline
        )


class Admission:
    """Gives out places; the number of waiting requests is bounded."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._waiting = 0

    async def acquire(
        self,
        request: str,
        rank: t.Callable[[], t.Sequence[routing.Choice]],
        deadline: deadlines.Deadline,
    ) -> Place:
        """Return a place on the best server that has one.

        `rank` is called again for each try. Raises `exceptions.NoBackend`
        when it returns nothing, `exceptions.Overloaded` when no place gets
        free in time.
        """
        if self._waiting >= MAX_WAITING:
            raise exceptions.Overloaded("too many requests wait for a server")
        limit = deadline.cap(MAX_WAIT_SECONDS)
        self._waiting += 1
        try:
            while True:
                place = await self._try_choices(request, rank(), limit)
                if place is not None:
                    return place
                if limit.has_passed():
                    raise exceptions.Overloaded(
                        "all servers are at their limit"
                    )
                jitter = self._state.generator.uniform(0.5, 1.5)
                await asyncio.sleep(_POLL_SECONDS * jitter)
        finally:
            self._waiting -= 1

    async def _try_choices(
        self,
        request: str,
        choices: t.Sequence[routing.Choice],
        deadline: deadlines.Deadline,
    ) -> t.Optional[Place]:
        if not choices:
            raise exceptions.NoBackend("no usable server offers the model")
        for choice in choices:
            place = (
                await self._acquire_permit(request, choice, deadline)
                if choice.cold
                else self._take_slot(choice)
            )
            if place is not None:
                return place
        return None

    def _take_slot(self, choice: routing.Choice) -> t.Optional[Place]:
        backend = choice.backend
        in_flight = self._state.in_flight
        if in_flight[backend.name] >= self._state.compute_limit(backend.group):
            return None
        return self._make_place(choice, None)

    def _make_place(
        self,
        choice: routing.Choice,
        permit: t.Optional[control_pb2.Permit],
    ) -> Place:
        self._state.in_flight[choice.backend.name] += 1
        engine = self._state.make_engine(
            self._state.session, choice.backend.address
        )
        return Place(choice=choice, engine=engine, permit=permit)

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
                request=request,
                deadline=limit.at,
            ),
            limit.remaining(),
        )
        if permit is None or not permit.id:
            return None
        place = self._make_place(choice, permit)
        place.renewal = self._state.spawn(self._renew(place, request))
        return place

    async def _renew(self, place: Place, request: str) -> None:
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
                await self._state.cancel_run(place.engine, request)
                return

    def _is_warm(self, place: Place) -> bool:
        known = self._state.backends.get(place.backend.name)
        return known is not None and known.state == routing.WARM

    def release(self, place: Place) -> None:
        """Give a place back."""
        self._state.in_flight[place.backend.name] -= 1
        if self._state.in_flight[place.backend.name] <= 0:
            del self._state.in_flight[place.backend.name]
        if place.renewal is not None:
            place.renewal.cancel()
        if place.permit is not None:
            self._state.spawn(
                self._state.call_quietly(
                    self._state.stub.ReleasePermit,
                    control_pb2.ReleasePermitRequest(
                        id=place.permit.id, backend=place.backend.name
                    ),
                    _PERMIT_CALL_SECONDS,
                )
            )
