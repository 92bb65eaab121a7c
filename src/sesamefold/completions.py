"""Lifecycle of a completion request, over all its runs."""

import asyncio
import contextlib
import time
import typing as t

import attrs

from sesamefold import admission
from sesamefold import blocks
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import handles
from sesamefold import lookups
from sesamefold import prompts
from sesamefold import quarantine as quarantines
from sesamefold import routing
from sesamefold import runs
from sesamefold import state as states
from sesamefold import streams
from sesamefold.wire import control_pb2

# Failed runs after which a request is given up.
MAX_FAILED_RUNS = 2
# Refusals by servers after which a request is given up.
MAX_REFUSALS = 4
# Validity of a handle after the deadline of its request, so that a caller
# can still reconnect.
HANDLE_GRACE_SECONDS = 300.0
# Priority of a continued run on an engine. It precedes new requests, because
# its caller has already read part of the response.
CONTINUED_PRIORITY = 1
# Timeout of the load request that shows whether a server restarted.
_PROBE_TIMEOUT_SECONDS = 1.0
# Pause between attempts while each server runs a suspect request or none is
# usable.
_RETRY_PAUSE_SECONDS = 0.1
# Longest time that an interrupted response waits for a usable server. An
# engine that crashed is back after a second, and reported a second later.
RECOVERY_WAIT_SECONDS = 3.0

# Longest time that a suspect request waits for a server on which no other
# gateway runs one. A request that crashes servers does so soon.
RESERVATION_WAIT_SECONDS = 0.5
# Longest such wait while the owner of the server does not know yet whether
# another gateway runs a suspect on it.
MAX_RESERVATION_WAIT_SECONDS = 4.0


@attrs.define(eq=False)
class Completion:
    """A completion request of a caller, which may need several runs.

    `token_texts` holds the texts of the tokens after `resume_offset`.
    `excluded_backends` holds the names and epochs of servers that failed or
    refused the request; a server that restarted may be tried again.
    A suspect request that found a server reserved at other gateways waits
    for another one until `reservation_deadline`, which is moved up to
    `last_reservation_deadline` while owners grant no reservations.
    `may_have_executed` is set once a run may have begun; later errors must
    not say that the request was not executed.
    """

    state: states.GatewayState
    slots: admission.Admission
    customer: configuration.Customer
    prompt: prompts.Prompt
    model: configuration.Model
    body_sha256: str
    request_id: str
    weight_version: str
    seed: int
    deadline: deadlines.Deadline
    resume_offset: int = 0  # tokens that the caller had already
    resumed_engine_address: str = ""
    block_names: t.Tuple[str, ...] = ()
    holders: t.Dict[str, t.Sequence[control_pb2.Holder]] = attrs.field(
        factory=dict
    )
    token_texts: t.List[str] = attrs.field(factory=list)
    excluded_backends: t.Set[t.Tuple[str, str]] = attrs.field(factory=set)
    reservation_deadline: t.Optional[deadlines.Deadline] = None
    last_reservation_deadline: t.Optional[deadlines.Deadline] = None
    may_have_executed: bool = False
    finished: bool = False
    failures: int = 0
    refusals: int = 0
    engine_address: str = ""
    origin: streams.Origin = attrs.field(init=False)
    verifier: streams.Verifier = attrs.field(init=False)
    identity: quarantines.Identity = attrs.field(init=False)
    parts: t.Tuple[bytes, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        dropped = self.state.metrics.dropped_events
        self.identity = quarantines.make_identity(
            self.customer.name, self.body_sha256
        )
        self.parts = quarantines.digest_blocks(
            self.model.name, self.prompt.tokens, self.model.block_tokens
        )
        self.origin = streams.Origin(self.state.settings.data_centre)
        self.verifier = streams.Verifier(
            self.request_id,
            self.weight_version,
            self.resume_offset,
            lambda reason: dropped.labels(reason).inc(),
        )

    def sign_handle(self) -> str:
        """Return a handle for the run on the current engine.

        The handle is empty if no keys are configured.
        """
        keys = self.state.settings.handle_keys
        if not keys:
            return ""
        handle = handles.Handle(
            request_id=self.request_id,
            customer=self.customer.name,
            model=self.model.name,
            weight_version=self.weight_version,
            seed=self.seed,
            body_sha256=self.body_sha256,
            engine_address=self.engine_address,
            expires_at=self.deadline.at + HANDLE_GRACE_SECONDS,
        )
        return handles.sign_handle(handle, keys)

    def build_usage(self) -> t.Dict[str, t.Any]:
        """Return the `usage` object of the response."""
        count = self.verifier.offset
        prompt = self.origin.prompt_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": count,
            "total_tokens": prompt + count,
            "sesamefold": attrs.asdict(self.origin),
        }

    async def run(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of the response, each token exactly once.

        The last event is "finished". Closing the iterator cancels the run.
        If `exceptions.NoBackend` or `exceptions.DataCentreOut` is raised
        before the first token, another data centre may serve the request.
        """
        self._ensure_not_quarantined()
        if self.resumed_engine_address:
            self.may_have_executed = True
            async with contextlib.aclosing(self._resume_run()) as events:
                async for event in events:
                    yield event
            if self.finished:
                return
            if not self.token_texts and not self.state.is_in_service():
                raise exceptions.DataCentreOut(
                    "the run is lost and the data centre is out of service"
                )
        await self._look_up_blocks()
        while not self.finished:
            async with contextlib.aclosing(
                self._run_on_best_backend()
            ) as events:
                async for event in events:
                    yield event

    async def _resume_run(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the further events of a run that an earlier connection began.

        End without an error if the run can't be resumed.
        """
        engine = self.state.make_engine(
            self.state.session, self.resumed_engine_address
        )
        self.engine_address = self.resumed_engine_address
        run = self._make_run(engine)
        source = engine.resume(
            self.request_id, self.verifier.offset, self.deadline
        )
        try:
            async with contextlib.aclosing(
                self._stream_run(run, source)
            ) as events:
                async for event in events:
                    yield event
        except exceptions.RoutingError:
            # `run` continues the response by a new run.
            self.state.metrics.retries.labels("resume").inc()

    async def _run_on_best_backend(
        self,
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of a run on the best server.

        End without a "finished" event if another server should continue.
        """
        slot, in_flight_request = await self._acquire_slot()
        run = self._make_run(slot.engine, lambda: slot.permit_lost)
        try:
            async with contextlib.aclosing(
                self._run_on_slot(slot, run)
            ) as events:
                async for event in events:
                    if event.kind == "token":
                        self.state.quarantine.record_begin(in_flight_request)
                    yield event
        except (
            exceptions.BackendRefused,
            exceptions.BackendUnreachable,
        ) as error:
            self._record_refusal(slot, error)
        except exceptions.BackendFailed as error:
            await self._record_failure(slot, in_flight_request, run, error)
        finally:
            self.state.quarantine.finish(in_flight_request, run.finished)
            self.slots.release(slot)

    async def _acquire_slot(
        self,
    ) -> t.Tuple[admission.Slot, quarantines.InFlightRequest]:
        """Return a slot and the registration of the request on its server.

        A server that runs a suspect request receives no other request. A
        run that may have begun elsewhere waits for a usable server, up to
        `RECOVERY_WAIT_SECONDS` at a time.
        """
        recovery_deadline: t.Optional[deadlines.Deadline] = None
        while True:
            try:
                slot = await self.slots.acquire(
                    self.request_id,
                    self.customer,
                    self.model.name,
                    self._rank_backends,
                    self.deadline,
                )
            except exceptions.NoBackend as error:
                if self._rank_backends(include_reserved=True):
                    recovery_deadline = None
                else:
                    if not self.may_have_executed:
                        raise
                    recovery_deadline = recovery_deadline or self.deadline.cap(
                        RECOVERY_WAIT_SECONDS
                    )
                    if not self._may_recover(recovery_deadline):
                        raise self.convert_error(error) from error
                    self.excluded_backends.clear()
                await asyncio.sleep(_RETRY_PAUSE_SECONDS)
                continue
            except exceptions.RoutingError as error:
                raise self.convert_error(error) from error
            try:
                in_flight_request = await self.state.quarantine.start(
                    self.identity,
                    slot.backend.name,
                    self.deadline,
                    slot.backend.epoch,
                    self.parts,
                )
            except exceptions.DeadlineUnreachable as error:
                self.slots.release(slot)
                raise self.build_timeout() from error
            except exceptions.RequestQuarantined as error:
                self.slots.release(slot)
                raise self._state_execution(error) from None
            except BaseException:
                self.slots.release(slot)
                raise
            recovery_deadline = None
            if in_flight_request is None:
                self.slots.release(slot)
                continue
            may_start = False
            try:
                may_start = await self._may_start(slot, in_flight_request)
            finally:
                if not may_start:
                    self.state.quarantine.finish(in_flight_request, False)
                    self.slots.release(slot)
            if may_start:
                return slot, in_flight_request
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)

    async def _may_start(
        self,
        slot: admission.Slot,
        in_flight_request: quarantines.InFlightRequest,
    ) -> bool:
        """Return whether to use a slot, or to choose a server again.

        The server may have failed while a suspect waited for its turn, and
        another gateway may run a suspect on it.
        """
        if in_flight_request.exclusive and not await self.slots.reserve(
            slot, self.deadline
        ):
            if not self._find_reservation_deadline(slot).has_passed():
                return False
        # Another gateway may have reported a crash meanwhile.
        self._ensure_not_quarantined()
        return self.slots.is_current(slot)

    def _ensure_not_quarantined(self) -> None:
        """Raise `exceptions.RequestQuarantined` if the request is refused."""
        try:
            self.state.quarantine.ensure_not_quarantined(
                self.identity, self.parts
            )
        except exceptions.RequestQuarantined as error:
            raise self._state_execution(error) from None

    def _state_execution(
        self, error: exceptions.RequestQuarantined
    ) -> exceptions.RequestQuarantined:
        """Let a refusal say that nothing ran, if nothing did."""
        if not self.may_have_executed and not self.resumed_engine_address:
            error.executed = exceptions.NO
        return error

    def _find_reservation_deadline(
        self, slot: admission.Slot
    ) -> deadlines.Deadline:
        """Return the end of the wait for a server that is not reserved.

        It is later while the owner of the server grants no reservations, and
        leaves half of the remaining time for the run.
        """
        if self.reservation_deadline is None:
            self.reservation_deadline = self.deadline.cap(
                RESERVATION_WAIT_SECONDS
            )
            self.last_reservation_deadline = self.deadline.cap(
                min(
                    MAX_RESERVATION_WAIT_SECONDS,
                    self.deadline.remaining() / 2,
                )
            )
        if slot.reservable_at:
            self.reservation_deadline = max(
                self.reservation_deadline,
                min(
                    deadlines.Deadline(
                        slot.reservable_at + RESERVATION_WAIT_SECONDS
                    ),
                    self.last_reservation_deadline,
                ),
            )
        return self.reservation_deadline

    def _may_recover(self, recovery_deadline: deadlines.Deadline) -> bool:
        """Return whether to wait for a server to continue the response."""
        if recovery_deadline.has_passed() or not self._is_version_configured():
            return False
        # The versions of a server are not known until it is polled, nor is
        # any server known right after the start of the control daemon.
        reported = [backend.versions for backend in self._list_backends()]
        return not reported or any(
            not versions or self._pinned_version in versions
            for versions in reported
        )

    def convert_error(
        self, error: exceptions.RoutingError
    ) -> exceptions.RoutingError:
        """Return the error to raise for `error`.

        It is `exceptions.StreamLost` once a run may have begun, because
        `error` may say that the request was not executed.
        """
        if not self.may_have_executed:
            return error
        return exceptions.StreamLost(
            f"the run was interrupted: {error.message}"
        )

    def build_timeout(self) -> exceptions.SesamefoldError:
        """Return the error to raise when the deadline has passed."""
        if self.may_have_executed:
            return exceptions.RunTimeout("the deadline passed during the run")
        return exceptions.DeadlineUnreachable(
            "no server had a free slot before the deadline"
        )

    def is_version_offered(self) -> bool:
        """Return whether the weight version of this request is still served.

        It must be the configured version, and a server must report it.
        """
        return self._is_version_configured() and any(
            self._pinned_version in backend.versions
            for backend in self._list_backends()
        )

    def _is_version_configured(self) -> bool:
        model = self.state.configuration.models.get(self.model.name)
        return model is not None and model.version == self.weight_version

    @property
    def _pinned_version(self) -> str:
        return configuration.name_version(self.model.name, self.weight_version)

    def _list_backends(self) -> t.List[control_pb2.BackendState]:
        """Return the states of the servers of the model's groups."""
        groups = self.state.configuration.find_groups(
            self.state.settings.data_centre, model=self.model.name
        )
        return self.state.list_backends({group.name for group in groups})

    def _rank_backends(
        self, include_reserved: bool = False
    ) -> t.List[routing.Choice]:
        """Return the usable servers, best first.

        A waiting request calls it again and again, so it excludes only the
        servers that are reserved for a suspect now.
        """
        policy = self.state.configuration.policy
        backends = self._list_backends()
        excluded = {
            backend.name
            for backend in backends
            if (backend.name, backend.epoch) in self.excluded_backends
        }
        if not include_reserved:
            excluded |= self.state.quarantine.reserved_servers
        query = routing.Query(
            model=self.model.name,
            version=self.weight_version,
            prompt_tokens=len(self.prompt.tokens),
            block_tokens=self.model.block_tokens,
            blocks=self.block_names,
            holders=self.holders,
            stores=self.state.list_stores(),
            seconds_per_link_megabyte=policy.seconds_per_link_megabyte,
            excluded=frozenset(excluded),
        )
        return routing.rank_backends(
            query,
            backends,
            self.state.in_flight,
            self.state.get_rates(self.model.name),
            self.state.random_generator,
            routing.PLACEMENTS[self.state.settings.placement],
        )

    def _make_run(
        self,
        engine: engines.Engine,
        has_lost_permit: t.Callable[[], bool] = lambda: False,
    ) -> runs.Run:
        return runs.Run(
            engine,
            self.request_id,
            self.verifier,
            self.deadline,
            self.state.metrics,
            has_lost_permit,
            lambda: self._may_move(engine.address),
        )

    def _may_move(self, address: str) -> bool:
        """Return whether a run may continue on a server at another address."""
        return (
            self.failures + 1 < MAX_FAILED_RUNS
            and (bool(self.token_texts) or self.state.retries.allows_retry())
            and any(
                choice.backend.address != address
                for choice in self._rank_backends()
            )
        )

    async def _run_on_slot(
        self, slot: admission.Slot, run: runs.Run
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of a run on the server of `slot`.

        The measured times then update the rates of the model.
        """
        if not slot.is_valid():
            raise exceptions.BackendRefused("the permit expired before use")
        self.engine_address = slot.backend.address
        request = self._build_request(slot)
        previous_origin = attrs.evolve(self.origin)
        started_at = time.monotonic()
        first_event_seconds = 0.0
        async with contextlib.aclosing(
            self._stream_run(run, slot.engine.complete(request))
        ) as events:
            async for event in events:
                if not first_event_seconds:
                    first_event_seconds = time.monotonic() - started_at
                    slot.queue_delay_seconds = self._estimate_queue_delay(
                        slot, first_event_seconds
                    )
                yield event
        recomputed = (
            self.origin.recomputed_tokens - previous_origin.recomputed_tokens
        )
        self.state.rates[self.model.name] = routing.update_rates(
            self.state.get_rates(self.model.name),
            slot.choice,
            recomputed,
            first_event_seconds,
            time.monotonic() - started_at,
        )

    def _estimate_queue_delay(
        self, slot: admission.Slot, first_event_seconds: float
    ) -> float:
        """Return how long the run waited on the server, in seconds.

        `first_event_seconds` also includes the computation of the prompt, so
        it counts as a delay only while the server reports a queue.
        """
        backend = self.state.backends.get(slot.backend.name)
        return (
            first_event_seconds
            if backend is not None and backend.queued
            else 0.0
        )

    def _build_request(
        self, slot: admission.Slot
    ) -> engines.CompletionRequest:
        # After a resume by handle, earlier tokens are not known.
        known_texts = () if self.resume_offset else tuple(self.token_texts)
        return engines.CompletionRequest(
            request_id=self.request_id,
            model=self.model.name,
            weight_version=self.weight_version,
            prompt=self.prompt.text,
            max_tokens=self.prompt.max_tokens,
            cache_salt=blocks.derive_salt(self.customer.name),
            seed=self.seed,
            deadline=self.deadline,
            priority=CONTINUED_PRIORITY if self.may_have_executed else 0,
            offset=self.verifier.offset,
            output=known_texts,
            imports=slot.choice.imports,
            epoch="" if slot.permit else slot.backend.epoch,
        )

    async def _stream_run(
        self, run: runs.Run, source: t.AsyncIterator[engines.TokenEvent]
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of a run; cancel it unless finished or lost."""
        try:
            async with contextlib.aclosing(
                run.stream_events(source)
            ) as events:
                async for event in events:
                    self._record_event(event)
                    yield event
        finally:
            self.may_have_executed = (
                self.may_have_executed or run.may_have_executed
            )
            if not run.finished and not run.is_lost:
                self.state.spawn(
                    self.state.cancel_run(run.engine, self.request_id)
                )

    def _record_event(self, event: engines.TokenEvent) -> None:
        self.may_have_executed = True
        if event.kind == "token":
            self.token_texts.append(event.text)
        elif event.kind == "started":
            self.origin.record(event, self._get_backend_name())
        else:
            self.finished = True
            self.state.retries.record_success()

    def _get_backend_name(self) -> str:
        """Return the name of the current server.

        Return its address if it is no longer reported.
        """
        return next(
            (
                backend.name
                for backend in self.state.backends.values()
                if backend.address == self.engine_address
            ),
            self.engine_address,
        )

    def _exclude_backend(self, backend: control_pb2.BackendState) -> None:
        """Send no further run to a server until it restarts."""
        self.excluded_backends.add((backend.name, backend.epoch))

    def _record_refusal(
        self, slot: admission.Slot, error: exceptions.RoutingError
    ) -> None:
        """Exclude a server that refused the request or was unreachable.

        One that restarted before the run arrived is not excluded.
        Raises the error if the request must not be retried. An exhausted
        retry budget does not end a response that has begun, because its
        caller would repeat the whole request.
        """
        self.refusals += 1
        if isinstance(error, exceptions.BackendRestarted):
            # With a permit, the server may run the request.
            self.state.record_restart(slot.backend)
        else:
            self._exclude_backend(slot.backend)
            slot.refused = isinstance(error, exceptions.BackendRefused)
        if isinstance(error, exceptions.BackendUnreachable):
            self.state.record_failure(
                slot.backend, self.request_id, error.message
            )
        allowed = self.state.retries.try_acquire_retry() or bool(
            self.token_texts
        )
        if self.refusals >= MAX_REFUSALS or not allowed:
            raise self.convert_error(error) from error
        self.state.metrics.retries.labels("refused").inc()

    async def _record_failure(
        self,
        slot: admission.Slot,
        in_flight_request: quarantines.InFlightRequest,
        run: runs.Run,
        error: exceptions.BackendFailed,
    ) -> None:
        """Exclude a server that failed during a run.

        Raises `exceptions.StreamLost` if the run must not be continued and
        `exceptions.RequestQuarantined` after the second crash. A run that
        ended because its permit was lost is no failure of the server.
        """
        if slot.permit_lost:
            return
        self._exclude_backend(slot.backend)
        self.failures += 1
        if await self._has_crashed(slot):
            self.state.quarantine.record_crash(in_flight_request)
            self.state.record_failure(
                slot.backend, self.request_id, error.message
            )
            self._ensure_not_quarantined()
            if not self.state.quarantine.may_repeat(self.identity, self.parts):
                raise exceptions.StreamLost(error.message) from error
        allowed = self.state.retries.try_acquire_retry() or bool(
            self.token_texts
        )
        if self.failures >= MAX_FAILED_RUNS or not allowed:
            raise exceptions.StreamLost(error.message) from error
        self.state.metrics.retries.labels("failed").inc()

    async def _has_crashed(self, slot: admission.Slot) -> bool:
        """Return whether a server restarted or does not answer.

        The kind of failure of the run does not show it: a server that
        restarts may reset connections, and one that is healthy may not know
        a run because it never began it.
        """
        try:
            load = await slot.engine.fetch_load(
                deadlines.Deadline.after(_PROBE_TIMEOUT_SECONDS)
            )
        except exceptions.RoutingError:
            return True
        return load.epoch != slot.backend.epoch

    async def _look_up_blocks(self) -> None:
        """Look up which servers and stores hold the blocks of the prompt."""
        self.block_names = tuple(
            blocks.name_blocks(
                blocks.derive_salt(self.customer.name),
                self.model.name,
                self.weight_version,
                self.prompt.tokens,
                self.model.block_tokens,
            )
        )
        self.holders = await lookups.look_up_blocks(
            self.state, self.block_names, self.deadline
        )
