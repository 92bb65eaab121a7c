"""Admission of requests to backend servers.

A run needs a slot: on a warm server within the gateway's concurrency limit
for it, on any other server by a permit of the control daemons.
"""

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

# Longest time that a request waits for a slot.
MAX_WAIT_SECONDS = 10.0
# Mean time between two offers of slots while requests wait.
_OFFER_INTERVAL_SECONDS = 0.05
_PERMIT_TIMEOUT_SECONDS = 0.5
# Oldest waiting requests for whose servers permits are acquired.
_RANKED_REQUESTS = 4

# Returns the usable backend servers, best first.
RankCallback = t.Callable[[], t.List[routing.Choice]]


@attrs.define(eq=False)
class Slot:
    """The right to send one run to a backend server.

    `permit` is None on a warm server. `permit_lost` is set when the permit
    expired. `queue_delay_seconds` is the time that the run waited on the
    server, None while it is unknown. `refused` is set when the server
    refused the run for lack of capacity. `reservation` is the permit to run
    a suspect request, None without one, and `reservable_at` the Unix time
    from which the server's owner grants reservations, 0.0 if it does.
    """

    choice: routing.Choice
    engine: engines.Engine
    request_id: str
    permit: t.Optional[control_pb2.Permit] = None
    permit_lost: bool = False
    renewal_task: t.Optional["asyncio.Task[None]"] = None
    queue_delay_seconds: t.Optional[float] = None
    refused: bool = False
    reservation: t.Optional[control_pb2.Permit] = None
    reservation_task: t.Optional["asyncio.Task[None]"] = None
    reservable_at: float = 0.0

    @property
    def backend(self) -> control_pb2.BackendState:
        """Return the state of the backend server when it was chosen."""
        return self.choice.backend

    def is_valid(self) -> bool:
        """Return whether the run may be sent now.

        A permit counts as expired early, by the tolerated clock skew.
        """
        return self.permit is None or (
            time.time() + defaults.CLOCK_SKEW < self.permit.deadline
        )


@attrs.define(eq=False)
class _ModelQueue:
    """Waiting requests for one model.

    `ranks` holds the callbacks of the waiting requests, oldest first, by
    an object for each. `offer_task` offers slots while requests wait, and
    `permitted_slots` holds slots with a new permit by backend server until a
    request takes them.
    """

    requests: limits.FairQueue = attrs.field(factory=limits.FairQueue)
    ranks: t.Dict[object, RankCallback] = attrs.field(factory=dict)
    offer_task: t.Optional["asyncio.Task[None]"] = None
    permitted_slots: t.Dict[str, Slot] = attrs.field(factory=dict)

    def list_cold_choices(self) -> t.List[routing.Choice]:
        """Return the servers for which waiting requests need a permit.

        Requests exclude different servers. Those of the oldest requests and
        of the latest one are returned, since each ranking takes time.
        """
        ranks = list(self.ranks.values())
        choices: t.Dict[str, routing.Choice] = {}
        for rank in ranks[:_RANKED_REQUESTS] + ranks[_RANKED_REQUESTS:][-1:]:
            for choice in rank():
                if choice.cold:
                    choices.setdefault(choice.backend.name, choice)
        return list(choices.values())


class Admission:
    """Assigns slots; requests wait in a fair queue by customer's share."""

    def __init__(self, state: states.GatewayState) -> None:
        self._state = state
        self._queues: t.DefaultDict[str, _ModelQueue] = (
            collections.defaultdict(_ModelQueue)
        )
        self._limits: t.Dict[str, limits.ConcurrencyLimit] = {}

    async def acquire(
        self,
        request_id: str,
        customer: configuration.Customer,
        model: str,
        rank: RankCallback,
        deadline: deadlines.Deadline,
    ) -> Slot:
        """Return a slot on the best backend server that has one free.

        `rank` is called again for each attempt. Raises
        `exceptions.NoBackend` when it returns nothing;
        `exceptions.Overloaded` when the queue is full or no slot becomes
        free within `MAX_WAIT_SECONDS`; `exceptions.DeadlineUnreachable` when
        no slot becomes free before the deadline.
        """
        choices = rank()
        if not choices:
            raise exceptions.NoBackend(
                f"no usable backend server offers model {model!r}"
            )
        model_queue = self._queues[model]
        if not model_queue.requests.waiting_requests:
            slot = await self._acquire_first(request_id, choices, deadline)
            if slot is not None:
                return slot
        return await self._wait_for_slot(
            model_queue, request_id, customer, rank, deadline
        )

    async def _wait_for_slot(
        self,
        model_queue: _ModelQueue,
        request_id: str,
        customer: configuration.Customer,
        rank: RankCallback,
        deadline: deadlines.Deadline,
    ) -> Slot:
        key = object()
        model_queue.ranks[key] = rank
        if model_queue.offer_task is None or model_queue.offer_task.done():
            model_queue.offer_task = self._state.spawn(
                self._offer_slots(model_queue)
            )
        wait_deadline = deadline.cap(MAX_WAIT_SECONDS)
        try:
            return await model_queue.requests.wait(
                customer.name,
                customer.share,
                wait_deadline,
                lambda: self._acquire_waiting(model_queue, request_id, rank),
                self.release,
            )
        except exceptions.DeadlineUnreachable as error:
            if wait_deadline.at < deadline.at:
                raise exceptions.Overloaded(error.message) from error
            raise
        finally:
            del model_queue.ranks[key]

    async def _acquire_first(
        self,
        request_id: str,
        choices: t.Sequence[routing.Choice],
        deadline: deadlines.Deadline,
    ) -> t.Optional[Slot]:
        for choice in choices:
            slot = (
                await self._acquire_permit(request_id, choice, deadline)
                if choice.cold
                else self._acquire_warm(request_id, choice)
            )
            if slot is not None:
                return slot
        return None

    def _acquire_waiting(
        self, model_queue: _ModelQueue, request_id: str, rank: RankCallback
    ) -> t.Any:
        """Return a slot for a waiting request, None while none is free.

        Slots with a permit come from `permitted_slots`, because the queue
        can't wait for a call.
        """
        for choice in rank():
            if not choice.cold:
                slot = self._acquire_warm(request_id, choice)
            else:
                slot = model_queue.permitted_slots.pop(
                    choice.backend.name, None
                )
                if slot is not None:
                    slot.choice = choice
                    slot.request_id = request_id
            if slot is not None:
                return slot
        return None

    async def _offer_slots(self, model_queue: _ModelQueue) -> None:
        """Offer slots until no request waits.

        Permits for cold servers are acquired here, and released if no waiting
        request takes them. The states of servers change without a call to
        this class, so slots on warm servers are offered repeatedly, too.
        """
        while model_queue.requests.waiting_requests:
            model_queue.requests.dispatch()
            for choice in model_queue.list_cold_choices():
                if not model_queue.requests.waiting_requests:
                    break
                permit_deadline = deadlines.Deadline.after(
                    _PERMIT_TIMEOUT_SECONDS
                )
                slot = await self._acquire_permit(
                    "queue", choice, permit_deadline
                )
                if slot is None:
                    continue
                model_queue.permitted_slots[choice.backend.name] = slot
                model_queue.requests.dispatch()
                unused_slot = model_queue.permitted_slots.pop(
                    choice.backend.name, None
                )
                if unused_slot is not None:
                    self.release(unused_slot)
            jitter = self._state.random_generator.uniform(0.5, 1.5)
            await asyncio.sleep(_OFFER_INTERVAL_SECONDS * jitter)

    def _find_limit(
        self, backend: control_pb2.BackendState
    ) -> limits.ConcurrencyLimit:
        upper_bound = self._state.compute_run_limit(backend.group)
        limit = self._limits.get(backend.name)
        if limit is None:
            if len(self._limits) > 2 * len(self._state.backends):
                self._forget_limits()
            limit = limits.ConcurrencyLimit(upper_bound)
            self._limits[backend.name] = limit
        limit.set_upper_bound(upper_bound)
        return limit

    def _forget_limits(self) -> None:
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.running or name in self._state.backends
        }

    def _acquire_warm(
        self, request_id: str, choice: routing.Choice
    ) -> t.Optional[Slot]:
        limit = self._find_limit(choice.backend)
        # Runs that started under a permit count until they end, too.
        if self._state.in_flight[choice.backend.name] >= limit.limit:
            return None
        if not limit.try_acquire():
            return None
        return self._make_slot(request_id, choice, None)

    def _make_slot(
        self,
        request_id: str,
        choice: routing.Choice,
        permit: t.Optional[control_pb2.Permit],
    ) -> Slot:
        self._state.in_flight[choice.backend.name] += 1
        engine = self._state.make_engine(
            self._state.session, choice.backend.address
        )
        return Slot(choice, engine, request_id, permit)

    async def _acquire_permit(
        self,
        request_id: str,
        choice: routing.Choice,
        deadline: deadlines.Deadline,
    ) -> t.Optional[Slot]:
        permit_deadline = deadline.cap(_PERMIT_TIMEOUT_SECONDS)
        permit = await self._state.try_call_control(
            self._state.stub.AcquirePermit,
            control_pb2.AcquirePermitRequest(
                backend=choice.backend.name,
                holder=self._state.settings.host,
                # The name is unique for each acquisition. If two shared a
                # permit, the release of the first would end the second.
                request=f"{request_id}-{secrets.token_hex(8)}",
                deadline=permit_deadline.at,
            ),
            permit_deadline.remaining(),
        )
        if permit is None or not permit.id:
            return None
        slot = self._make_slot(request_id, choice, permit)
        slot.renewal_task = self._state.spawn(self._renew_permit(slot))
        return slot

    async def _renew_permit(self, slot: Slot) -> None:
        """Renew the permit until its run ends or the server is warm.

        Cancels the run when the permit expires on a server that is not warm.
        """
        while True:
            await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
            permit = await self._state.try_call_control(
                self._state.stub.RenewPermit,
                control_pb2.RenewPermitRequest(
                    id=slot.permit.id, backend=slot.backend.name
                ),
                _PERMIT_TIMEOUT_SECONDS,
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
        backend = self._state.backends.get(slot.backend.name)
        return backend is not None and backend.state == routing.WARM

    async def reserve(self, slot: Slot, deadline: deadlines.Deadline) -> bool:
        """Reserve the server of a slot for a suspect in the data centre.

        Returns False if another gateway runs a suspect request on it, or may
        run one before `slot.reservable_at`. If the control daemon does not
        answer, the server counts as free.
        """
        permit_deadline = deadline.cap(_PERMIT_TIMEOUT_SECONDS)
        permit = await self._state.try_call_control(
            self._state.stub.AcquirePermit,
            control_pb2.AcquirePermitRequest(
                backend=slot.backend.name,
                holder=self._state.settings.host,
                request=f"{slot.request_id}-{secrets.token_hex(8)}",
                deadline=permit_deadline.at,
                exclusive=True,
            ),
            permit_deadline.remaining(),
        )
        if permit is not None and not permit.id:
            slot.reservable_at = permit.retry_at
        elif permit is not None:
            slot.reservation = permit
            slot.reservation_task = self._state.spawn(
                self._renew_reservation(slot)
            )
        return permit is None or bool(permit.id)

    async def _renew_reservation(self, slot: Slot) -> None:
        while True:
            await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
            await self._state.try_call_control(
                self._state.stub.RenewPermit,
                control_pb2.RenewPermitRequest(
                    id=slot.reservation.id,
                    backend=slot.backend.name,
                    exclusive=True,
                ),
                _PERMIT_TIMEOUT_SECONDS,
            )

    def is_current(self, slot: Slot) -> bool:
        """Return whether the server of a slot is still as it was chosen.

        A server that restarted may be cold, so that a slot without a permit
        no longer allows a run on it.
        """
        backend = self._state.get_backend(slot.backend.name)
        return (
            backend is not None
            and backend.epoch == slot.backend.epoch
            and backend.state in routing.USABLE_STATES
            and (slot.permit is not None or backend.state == routing.WARM)
        )

    def release(self, slot: Slot) -> None:
        """Release a slot and offer it to waiting requests."""
        name = slot.backend.name
        self._state.in_flight[name] -= 1
        if self._state.in_flight[name] <= 0:
            del self._state.in_flight[name]
        if slot.permit is None:
            limit = self._limits.get(name)
            if limit is not None:
                limit.release(slot.queue_delay_seconds, slot.refused)
        else:
            if slot.renewal_task is not None:
                slot.renewal_task.cancel()
            self._release_permit(slot, slot.permit)
        if slot.reservation is not None:
            slot.reservation_task.cancel()
            self._release_permit(slot, slot.reservation, exclusive=True)
        for model_queue in self._queues.values():
            if model_queue.requests.waiting_requests:
                model_queue.requests.dispatch()

    def _release_permit(
        self, slot: Slot, permit: control_pb2.Permit, exclusive: bool = False
    ) -> None:
        self._state.spawn(
            self._state.try_call_control(
                self._state.stub.ReleasePermit,
                control_pb2.ReleasePermitRequest(
                    id=permit.id,
                    backend=slot.backend.name,
                    exclusive=exclusive,
                ),
                _PERMIT_TIMEOUT_SECONDS,
            )
        )
