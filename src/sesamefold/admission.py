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

# Longest time that a request waits for a slot, seconds.
MAX_WAIT_SECONDS = 10.0
_POLL_SECONDS = 0.05
_PERMIT_CALL_SECONDS = 0.5

Rank = t.Callable[[], t.List[routing.Choice]]


@attrs.define(eq=False)
class Slot:
    """A slot of one run on a server; `lost` once a permit has lapsed.

    `delay` is the time in seconds that the run waited on the server, None
    while it is not known; `refused` tells that the server had no capacity.
    """

    choice: routing.Choice
    engine: engines.Engine
    request_id: str
    permit: t.Optional[control_pb2.Permit] = None
    permit_lost: bool = False
    renewal_task: t.Optional["asyncio.Task[None]"] = None
    queue_delay_seconds: t.Optional[float] = None
    refused: bool = False

    @property
    def backend(self) -> control_pb2.BackendState:
        """Return the state of the server when it was chosen."""
        return self.choice.backend

    def is_valid(self) -> bool:
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
    ready: t.Dict[str, Slot] = attrs.field(factory=dict)


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
    ) -> Slot:
        """Return a slot on the best server that has one.

        `rank` is called again for each try. Raises `exceptions.NoBackend`
        when it returns nothing; `exceptions.Overloaded` and
        `exceptions.DeadlineUnreachable` when no slot gets free in time.
        """
        choices = rank()
        if not choices:
            raise exceptions.NoBackend(
                f"no usable server offers model {model!r}"
            )
        line = self._lines[model]
        if not line.queue.waiting:
            slot = await self._try_choices(request, choices, deadline)
            if slot is not None:
                return slot
        return await self._wait(line, request, customer, rank, deadline)

    async def _wait(
        self,
        line: _Line,
        request: str,
        customer: configuration.Customer,
        rank: Rank,
        deadline: deadlines.Deadline,
    ) -> Slot:
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
    ) -> t.Optional[Slot]:
        for choice in choices:
            slot = (
                await self._acquire_permit(request, choice, deadline)
                if choice.cold
                else self._take_warm(request, choice)
            )
            if slot is not None:
                return slot
        return None

    def _take(self, line: _Line, request: str, rank: Rank) -> t.Any:
        """Return a slot for a waiting request, None while none is free."""
        for choice in rank():
            if not choice.cold:
                slot = self._take_warm(request, choice)
            else:
                slot = line.ready.pop(choice.backend.name, None)
                if slot is not None:
                    slot.choice = choice
                    slot.request_id = request
            if slot is not None:
                return slot
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
                slot = await self._acquire_permit("queue", choice, limit)
                if slot is None:
                    continue
                line.ready[choice.backend.name] = slot
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
    ) -> t.Optional[Slot]:
        limit = self._find_limit(choice.backend)
        # Runs under permits count until they end, too.
        if self._state.in_flight[choice.backend.name] >= limit.limit:
            return None
        if not limit.try_acquire():
            return None
        return self._make_slot(request, choice, None)

    def _make_slot(
        self,
        request: str,
        choice: routing.Choice,
        permit: t.Optional[control_pb2.Permit],
    ) -> Slot:
        self._state.in_flight[choice.backend.name] += 1
        engine = self._state.make_engine(
            self._state.session, choice.backend.address
        )
        return Slot(choice, engine, request, permit)

    async def _acquire_permit(
        self,
        request: str,
        choice: routing.Choice,
        deadline: deadlines.Deadline,
    ) -> t.Optional[Slot]:
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
        slot = self._make_slot(request, choice, permit)
        slot.renewal_task = self._state.spawn(self._renew(slot))
        return slot

    async def _renew(self, slot: Slot) -> None:
        """Renew the permit; when it lapses on a cold server, end the run."""
        while True:
            await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
            permit = await self._state.call_quietly(
                self._state.stub.RenewPermit,
                control_pb2.RenewPermitRequest(
                    id=slot.permit.id, backend=slot.backend.name
                ),
                _PERMIT_CALL_SECONDS,
            )
            if permit is not None and permit.id:
                slot.permit = permit
            elif self._is_warm(slot):
                return
            elif permit is not None or not slot.is_valid():
                slot.permit_lost = True
                await self._state.cancel_run(slot.engine, slot.request_id)
                return

    def _is_warm(self, slot: Slot) -> bool:
        known = self._state.backends.get(slot.backend.name)
        return known is not None and known.state == routing.WARM

    def release(self, slot: Slot) -> None:
        """Give a slot back, and offer it to the requests that wait."""
        name = slot.backend.name
        self._state.in_flight[name] -= 1
        if self._state.in_flight[name] <= 0:
            del self._state.in_flight[name]
        if slot.permit is None:
            limit = self._limits.get(name)
            if limit is not None:
                limit.release(slot.queue_delay_seconds, slot.refused)
        else:
            self._release_permit(slot)
        for line in self._lines.values():
            if line.queue.waiting:
                line.queue.dispatch()

    def _release_permit(self, slot: Slot) -> None:
        if slot.renewal_task is not None:
            slot.renewal_task.cancel()
        self._state.spawn(
            self._state.call_quietly(
                self._state.stub.ReleasePermit,
                control_pb2.ReleasePermitRequest(
                    id=slot.permit.id, backend=slot.backend.name
                ),
                _PERMIT_CALL_SECONDS,
            )
        )
