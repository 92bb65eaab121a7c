"""Lifecycle of one completion request."""

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

# Runs in total once a server failed while it ran the request.
MAX_FAILURES = 2
# Servers that may refuse a request before it is given up.
MAX_REFUSALS = 4
# Handles outlive the request, so that a caller can reconnect late.
HANDLE_SECONDS = 300.0
# Continued responses come first, because their callers already read them.
CONTINUED_PRIORITY = 1
# Time to ask a server whether it restarted, seconds.
_PROBE_SECONDS = 1.0
# Pause while suspect requests hold all servers, or none is usable, seconds.
_BUSY_SECONDS = 0.1
# Time that a response that broke off waits for a usable server, seconds.
# Engines that crashed are back after a second, and reported a second later.
RETURN_SECONDS = 3.0


@attrs.define(eq=False)
class Completion:
    """One request of a caller, over all runs that it needs.

    `token_texts` holds the texts of the tokens since the caller's offset;
    `sent` tells that a run may have begun, so that a later error must not
    claim the opposite.
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
    resume_offset: int = 0  # tokens that the caller had when it resumed
    resumed_engine_address: str = ""
    block_names: t.Tuple[str, ...] = ()
    holders: t.Dict[str, t.Sequence[control_pb2.Holder]] = attrs.field(
        factory=dict
    )
    token_texts: t.List[str] = attrs.field(factory=list)
    excluded: t.Set[str] = attrs.field(factory=set)
    sent: bool = False
    finished: bool = False
    failures: int = 0
    refusals: int = 0
    engine_address: str = ""
    origin: streams.Origin = attrs.field(init=False)
    verifier: streams.Verifier = attrs.field(init=False)
    identity: quarantines.Identity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        dropped = self.state.metrics.dropped_events
        self.identity = quarantines.make_identity(
            self.customer.name, self.body_sha256
        )
        self.origin = streams.Origin(self.state.settings.data_centre)
        self.verifier = streams.Verifier(
            self.request_id,
            self.weight_version,
            self.resume_offset,
            lambda reason: dropped.labels(reason).inc(),
        )

    def sign_handle(self) -> str:
        """Return the handle for the engine that runs the request now."""
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
            expires_at=self.deadline.at + HANDLE_SECONDS,
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
        `exceptions.NoBackend` and `exceptions.DataCentreOut` before the first
        token mean that another data centre may answer.
        """
        if self.state.quarantine.count_crashes(self.identity) > 1:
            raise exceptions.RequestQuarantined(
                "the request was running at two crashes",
                executed=(
                    None if self.resumed_engine_address else exceptions.NO
                ),
            )
        if self.resumed_engine_address:
            self.sent = True
            async with contextlib.aclosing(self._run_resumed()) as events:
                async for event in events:
                    yield event
            if self.finished:
                return
            if not self.token_texts and not self.state.is_in_service():
                raise exceptions.DataCentreOut(
                    "the run is gone and the data centre is out of service"
                )
        await self._look_up_blocks()
        while not self.finished:
            async with contextlib.aclosing(self._run_somewhere()) as events:
                async for event in events:
                    yield event

    async def _run_resumed(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Follow the run of an earlier connection, if it still exists."""
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
                self._follow(run, source)
            ) as events:
                async for event in events:
                    yield event
        except exceptions.RoutingError:
            # A fresh run takes over.
            self.state.metrics.retries.labels("resume").inc()

    async def _run_somewhere(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Run on the best server; return when another should take over."""
        slot, guard = await self._acquire_slot()
        run = self._make_run(slot.engine, lambda: slot.permit_lost)
        try:
            async with contextlib.aclosing(self._run_at(slot, run)) as events:
                async for event in events:
                    yield event
        except (
            exceptions.BackendRefused,
            exceptions.BackendUnreachable,
        ) as error:
            self._record_refusal(slot, error)
        except exceptions.BackendFailed as error:
            await self._record_failure(slot, guard, run, error)
        finally:
            self.state.quarantine.finish(guard, run.finished)
            self.slots.release(slot)

    async def _acquire_slot(
        self,
    ) -> t.Tuple[admission.Slot, quarantines.InFlightRequest]:
        """Return a slot, and the registration of the run on its server.

        A server on which a suspect request runs is left to it. A response
        that has begun waits for a server to come back.
        """
        busy: t.Set[str] = set()
        limit = self.deadline.cap(RETURN_SECONDS)
        while True:
            try:
                slot = await self.slots.acquire(
                    self.request_id,
                    self.customer,
                    self.model.name,
                    lambda: self._rank(busy),
                    self.deadline,
                )
            except exceptions.NoBackend as error:
                if not busy:
                    if not self.token_texts:
                        raise
                    if not self._may_return(limit):
                        raise self.convert_error(error) from error
                    self.excluded.clear()
                busy.clear()
                await asyncio.sleep(_BUSY_SECONDS)
                continue
            except exceptions.RoutingError as error:
                raise self.convert_error(error) from error
            try:
                guard = await self.state.quarantine.start(
                    self.identity,
                    slot.backend.name,
                    self.deadline,
                    slot.backend.epoch,
                )
            except BaseException:
                self.slots.release(slot)
                raise
            if guard is not None:
                return slot, guard
            self.slots.release(slot)
            busy.add(slot.backend.name)

    def _may_return(self, limit: deadlines.Deadline) -> bool:
        """Tell whether a server for the rest of a response may come back."""
        return not limit.has_passed() and self.is_version_offered()

    def convert_error(
        self, error: exceptions.RoutingError
    ) -> exceptions.RoutingError:
        """Return an error that does not deny an earlier run."""
        if not self.sent:
            return error
        return exceptions.StreamLost(f"the run broke off: {error.message}")

    def build_timeout(self) -> exceptions.SesamefoldError:
        """Return the error for a deadline that has passed."""
        if self.sent:
            return exceptions.RunTimeout("the deadline passed during the run")
        return exceptions.DeadlineUnreachable(
            "no server had a free slot before the deadline"
        )

    def is_version_offered(self) -> bool:
        """Tell whether the pinned weight version is in force and reported."""
        config = self.state.configuration
        current = config.models.get(self.model.name)
        groups = config.find_groups(
            self.state.settings.data_centre, model=self.model.name
        )
        pinned = configuration.name_version(
            self.model.name, self.weight_version
        )
        return (
            current is not None
            and current.version == self.weight_version
            and any(
                pinned in backend.versions
                for backend in self.state.list_backends(
                    {group.name for group in groups}
                )
            )
        )

    def _rank(self, busy: t.AbstractSet[str]) -> t.List[routing.Choice]:
        config = self.state.configuration
        groups = config.find_groups(
            self.state.settings.data_centre, model=self.model.name
        )
        query = routing.Query(
            model=self.model.name,
            version=self.weight_version,
            prompt_tokens=len(self.prompt.tokens),
            block_tokens=self.model.block_tokens,
            blocks=self.block_names,
            holders=self.holders,
            stores=self.state.list_stores(),
            seconds_per_link_megabyte=config.policy.seconds_per_link_megabyte,
            excluded=frozenset(self.excluded | busy),
        )
        return routing.rank_backends(
            query,
            self.state.list_backends({group.name for group in groups}),
            self.state.in_flight,
            self.state.get_rates(self.model.name),
            self.state.random_generator,
            routing.PLACEMENTS[self.state.settings.placement],
        )

    def _make_run(
        self,
        engine: engines.Engine,
        lost: t.Callable[[], bool] = lambda: False,
    ) -> runs.Run:
        return runs.Run(
            engine,
            self.request_id,
            self.verifier,
            self.deadline,
            self.state.metrics,
            lost,
        )

    async def _run_at(
        self, slot: admission.Slot, run: runs.Run
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Send the prompt to one server and follow the run."""
        if not slot.is_valid():
            raise exceptions.BackendRefused("the permit lapsed before use")
        self.engine_address = slot.backend.address
        request = self._build_request(slot.choice)
        before = attrs.evolve(self.origin)
        begun = time.monotonic()
        first = 0.0
        async with contextlib.aclosing(
            self._follow(run, slot.engine.complete(request))
        ) as events:
            async for event in events:
                if not first:
                    first = time.monotonic() - begun
                    slot.queue_delay_seconds = self._judge_delay(slot, first)
                yield event
        recomputed = self.origin.recomputed_tokens - before.recomputed_tokens
        self.state.rates[self.model.name] = routing.update_rates(
            self.state.get_rates(self.model.name),
            slot.choice,
            recomputed,
            first,
            time.monotonic() - begun,
        )

    def _judge_delay(self, slot: admission.Slot, seconds: float) -> float:
        """Return how long the run waited on the server.

        The time to the first event includes the prompt's computation; it
        counts as a delay only while the server reports a queue.
        """
        known = self.state.backends.get(slot.backend.name)
        return seconds if known is not None and known.queued else 0.0

    def _build_request(
        self, choice: routing.Choice
    ) -> engines.CompletionRequest:
        # After a resume by handle, earlier tokens are not known.
        known = () if self.resume_offset else tuple(self.token_texts)
        return engines.CompletionRequest(
            request_id=self.request_id,
            model=self.model.name,
            weight_version=self.weight_version,
            prompt=self.prompt.text,
            max_tokens=self.prompt.max_tokens,
            cache_salt=blocks.derive_salt(self.customer.name),
            seed=self.seed,
            deadline=self.deadline,
            priority=CONTINUED_PRIORITY if self.sent else 0,
            offset=self.verifier.offset,
            output=known,
            imports=choice.imports,
        )

    async def _follow(
        self, run: runs.Run, source: t.AsyncIterator[engines.TokenEvent]
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of a run; cancel it unless it finished."""
        try:
            async with contextlib.aclosing(
                run.stream_events(source)
            ) as events:
                async for event in events:
                    self._record(event)
                    yield event
        finally:
            self.sent = self.sent or run.may_have_executed
            if not run.finished and not run.is_lost:
                self.state.spawn(
                    self.state.cancel_run(run.engine, self.request_id)
                )

    def _record(self, event: engines.TokenEvent) -> None:
        self.sent = True
        if event.kind == "token":
            self.token_texts.append(event.text)
        elif event.kind == "started":
            self.origin.record(event, self._name_engine())
        else:
            self.finished = True
            self.state.retries.record_success()

    def _name_engine(self) -> str:
        """Return the name of the server, or its address if it left."""
        return next(
            (
                backend.name
                for backend in self.state.backends.values()
                if backend.address == self.engine_address
            ),
            self.engine_address,
        )

    def _record_refusal(
        self, slot: admission.Slot, error: exceptions.RoutingError
    ) -> None:
        """Let another server take over after a refusal.

        A continued response is not given up for lack of a retry budget: its
        caller would repeat the whole request.
        """
        self.refusals += 1
        self.excluded.add(slot.backend.name)
        slot.refused = isinstance(error, exceptions.BackendRefused)
        if not slot.refused:
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
        guard: quarantines.InFlightRequest,
        run: runs.Run,
        error: exceptions.BackendFailed,
    ) -> None:
        """Let another server continue after a failure."""
        if slot.permit_lost:
            return
        self.excluded.add(slot.backend.name)
        self.failures += 1
        if run.is_lost and await self._has_crashed(slot):
            self.state.quarantine.record_crash(guard)
            self.state.record_failure(
                slot.backend, self.request_id, error.message
            )
            if self.state.quarantine.count_crashes(self.identity) > 1:
                raise exceptions.RequestQuarantined(
                    "the request was running at two crashes",
                    executed=exceptions.UNKNOWN,
                )
        allowed = self.state.retries.try_acquire_retry() or bool(
            self.token_texts
        )
        if self.failures >= MAX_FAILURES or not allowed:
            raise exceptions.StreamLost(error.message) from error
        self.state.metrics.retries.labels("failed").inc()

    async def _has_crashed(self, slot: admission.Slot) -> bool:
        """Tell whether a server restarted or is gone.

        A run can also be unknown because the server never began it.
        """
        try:
            load = await slot.engine.fetch_load(
                deadlines.Deadline.after(_PROBE_SECONDS)
            )
        except exceptions.RoutingError:
            return True
        return load.epoch != slot.backend.epoch

    async def _look_up_blocks(self) -> None:
        """Ask the directory who holds the prompt's blocks."""
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
