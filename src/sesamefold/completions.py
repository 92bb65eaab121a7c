"""Lifecycle of one completion request."""

import asyncio
import contextlib
import hashlib
import secrets
import time
import typing as t

import attrs

from sesamefold import admission
from sesamefold import blocks
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import handles
from sesamefold import prompts
from sesamefold import routing
from sesamefold import services
from sesamefold import state as states
from sesamefold import streams
from sesamefold.wire import control_pb2

# An engine that sends nothing for this long is given up, seconds. The first
# event may wait for a queue and a long prompt.
FIRST_EVENT_SECONDS = 20.0
NEXT_EVENT_SECONDS = 10.0
# Resumes of one run that bring no new token before the run is given up.
MAX_RESUMES = 2
# Runs in total once a server failed while it ran the request.
MAX_RUNS = 2
# Servers that may refuse a request before it is given up.
MAX_REFUSALS = 4
# Handles outlive the request, so that a caller can reconnect late.
HANDLE_SECONDS = 300.0
# Continued responses come first, because their callers already read them.
CONTINUED_PRIORITY = 1


@attrs.define(eq=False)
class Completion:
    """One request of a caller, over all runs that it needs.

    `output` holds the texts of the tokens since the caller's offset;
    `sent` tells that a run may have begun, so that a later error must not
    claim the opposite.
    """

    state: states.State
    places: admission.Admission
    customer: configuration.Customer
    prompt: prompts.Prompt
    model: configuration.Model
    body_sha256: str
    request_id: str
    weight_version: str
    seed: int
    deadline: deadlines.Deadline
    start: int = 0  # tokens that the caller had when it resumed
    resumed_engine: str = ""
    block_names: t.Tuple[str, ...] = ()
    holders: t.Dict[str, t.Sequence[control_pb2.Holder]] = attrs.field(
        factory=dict
    )
    output: t.List[str] = attrs.field(factory=list)
    excluded: t.Set[str] = attrs.field(factory=set)
    sent: bool = False
    finished: bool = False
    runs: int = 0
    refusals: int = 0
    engine_address: str = ""
    origin: streams.Origin = attrs.field(init=False)
    verifier: streams.Verifier = attrs.field(init=False)
    prompt_tokens: int = 0

    def __attrs_post_init__(self) -> None:
        dropped = self.state.metrics.events
        self.origin = streams.Origin(self.state.settings.data_centre)
        self.verifier = streams.Verifier(
            self.request_id,
            self.weight_version,
            self.start,
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
            engine=self.engine_address,
            expires_at=self.deadline.at + HANDLE_SECONDS,
        )
        return handles.sign_handle(handle, keys)

    def build_usage(self) -> t.Dict[str, t.Any]:
        """Return the `usage` object of the response."""
        count = self.verifier.offset
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt_tokens + count,
            "sesamefold": attrs.asdict(self.origin),
        }

    async def run(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events of the response, each token exactly once.

        The first event is "started" and the last "finished". Closing the
        iterator cancels the run.
        """
        if self.resumed_engine:
            self.sent = True
            async with contextlib.aclosing(self._run_resumed()) as events:
                async for event in events:
                    yield event
                    if event.kind == "finished":
                        return
        await self._look_up_blocks()
        while True:
            async with contextlib.aclosing(self._run_somewhere()) as events:
                async for event in events:
                    yield event
                    if event.kind == "finished":
                        return

    async def _run_resumed(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Follow the run of an earlier connection, if it still exists."""
        engine = self.state.make_engine(
            self.state.session, self.resumed_engine
        )
        self.engine_address = self.resumed_engine
        source = engine.resume(
            self.request_id, self.verifier.offset, self.deadline
        )
        follower = self._follow(engine, source, None)
        try:
            async with contextlib.aclosing(follower) as events:
                async for event in events:
                    yield event
        except exceptions.RoutingError:
            # A fresh run takes over.
            self.state.metrics.retries.labels("resume").inc()

    async def _run_somewhere(self) -> t.AsyncIterator[engines.TokenEvent]:
        """Run on the best server; return when another should take over."""
        place = await self._acquire_place()
        try:
            async with contextlib.aclosing(self._run_at(place)) as events:
                async for event in events:
                    yield event
        except (
            exceptions.BackendRefused,
            exceptions.BackendUnreachable,
        ) as error:
            self._record_refusal(place, error)
        except exceptions.BackendFailed as error:
            self._record_failure(place, error)
        finally:
            self.places.release(place)

    async def _acquire_place(self) -> admission.Place:
        try:
            place = await self.places.acquire(
                self.request_id, self._rank, self.deadline
            )
        except exceptions.RoutingError as error:
            if self.sent:
                raise exceptions.StreamLost(
                    f"the run broke off: {error.message}"
                ) from error
            raise
        if self.deadline.has_passed():
            self.places.release(place)
            raise self._build_timeout()
        return place

    def _build_timeout(self) -> exceptions.SesamefoldError:
        if self.sent:
            return exceptions.RunTimeout("the deadline passed during the run")
        return exceptions.DeadlinePassed(
            "the deadline passed before a server was free"
        )

    def _rank(self) -> t.List[routing.Choice]:
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
            excluded=frozenset(self.excluded),
        )
        return routing.rank_backends(
            query,
            self.state.list_backends({group.name for group in groups}),
            self.state.in_flight,
            self.state.get_rates(self.model.name),
            self.state.generator,
        )

    async def _run_at(
        self, place: admission.Place
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Send the prompt to one server and follow the run."""
        if not place.is_current():
            raise exceptions.BackendRefused("the permit lapsed before use")
        self.engine_address = place.backend.address
        self.runs += 1
        begun = time.monotonic()
        source = place.engine.complete(self._build_request(place.choice))
        first_token = 0.0
        follower = self._follow(place.engine, source, place)
        async with contextlib.aclosing(follower) as events:
            async for event in events:
                if event.kind == "token" and not first_token:
                    first_token = time.monotonic() - begun
                yield event
        self.state.rates[self.model.name] = routing.update_rates(
            self.state.get_rates(self.model.name),
            place.choice,
            self.origin.recomputed_tokens,
            first_token,
            time.monotonic() - begun,
        )

    def _build_request(
        self, choice: routing.Choice
    ) -> engines.CompletionRequest:
        known = () if self.start else tuple(self.output)
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
        self,
        engine: engines.Engine,
        source: t.AsyncIterator[engines.TokenEvent],
        place: t.Optional[admission.Place],
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the verified events of a run, resuming it after a gap.

        Raises `exceptions.BackendRefused` and `BackendUnreachable` only when
        the run has not begun, otherwise `exceptions.BackendFailed`.
        """
        resumes, progress, done = 0, self.verifier.offset, False
        try:
            while True:
                try:
                    async with contextlib.aclosing(source) as events:
                        async for event in self._read(events):
                            yield event
                            if event.kind == "finished":
                                done = True
                                return
                    cause = exceptions.BackendFailed("the stream broke off")
                except streams.EventGap as gap:
                    cause = exceptions.BackendFailed(str(gap))
                except streams.StreamMismatch as mismatch:
                    raise exceptions.BackendFailed(str(mismatch)) from None
                except exceptions.BackendFailed as error:
                    self.sent = True
                    cause = error
                except exceptions.RoutingError as error:
                    if resumes:
                        raise exceptions.BackendFailed(
                            f"the run is gone: {error.message}"
                        ) from error
                    raise
                if self.verifier.offset > progress:
                    resumes, progress = 0, self.verifier.offset
                if resumes >= MAX_RESUMES or (place and place.lost):
                    raise cause
                resumes += 1
                self.state.metrics.retries.labels("gap").inc()
                source = engine.resume(
                    self.request_id, self.verifier.offset, self.deadline
                )
        finally:
            if not done and self.sent:
                self.state.spawn(
                    self.state.cancel_run(engine, self.request_id)
                )

    async def _read(
        self, events: t.AsyncIterator[engines.TokenEvent]
    ) -> t.AsyncIterator[engines.TokenEvent]:
        """Yield the events that belong to the response.

        Only the wait for the engine is limited here; a slow caller is
        limited where its response is written.
        """
        seconds = FIRST_EVENT_SECONDS
        while True:
            limit = min(seconds, self.deadline.remaining())
            try:
                async with asyncio.timeout(limit):
                    event = await anext(events)
            except StopAsyncIteration:
                return
            except TimeoutError:
                self.sent = True
                if self.deadline.has_passed():
                    raise self._build_timeout() from None
                raise exceptions.BackendFailed(
                    f"the engine sent nothing for {seconds} s"
                ) from None
            self.sent = True
            seconds = NEXT_EVENT_SECONDS
            if self.verifier.accept(event):
                self._record(event)
                yield event

    def _record(self, event: engines.TokenEvent) -> None:
        if event.kind == "token":
            self.output.append(event.text)
        elif event.kind == "started":
            self.prompt_tokens = event.prompt_tokens or len(self.prompt.tokens)
            self.origin.record(event, self.engine_address)
        else:
            self.finished = True

    def _record_refusal(
        self, place: admission.Place, error: exceptions.RoutingError
    ) -> None:
        """Let another server take over after a refusal."""
        self.refusals += 1
        self.excluded.add(place.backend.name)
        if isinstance(error, exceptions.BackendUnreachable):
            self.state.record_failure(
                place.backend, self.request_id, error.message
            )
        if self.refusals >= MAX_REFUSALS:
            raise (
                exceptions.StreamLost(error.message) if self.sent else error
            )
        self.state.metrics.retries.labels("refused").inc()

    def _record_failure(
        self, place: admission.Place, error: exceptions.BackendFailed
    ) -> None:
        """Let another server continue after a failure."""
        if place.lost:
            return
        self.excluded.add(place.backend.name)
        self.state.record_failure(
            place.backend, self.request_id, error.message
        )
        if self.runs >= MAX_RUNS:
            raise exceptions.StreamLost(error.message) from error
        self.state.metrics.retries.labels("failed").inc()

    async def _look_up_blocks(self) -> None:
        """Ask the directory who holds the prompt's blocks.

        A lookup that fails or is late leads to recomputation.
        """
        self.block_names = tuple(
            blocks.name_blocks(
                blocks.derive_salt(self.customer.name),
                self.model.name,
                self.weight_version,
                self.prompt.tokens,
                self.model.block_tokens,
            )
        )
        if not self.block_names:
            return
        limit = self.deadline.cap(defaults.DIRECTORY_LOOKUP_SECONDS)
        reply = await self.state.call_quietly(
            self.state.stub.LookupBlocks,
            control_pb2.LookupBlocksRequest(
                blocks=self.block_names, deadline=limit.at
            ),
            limit.remaining(),
        )
        if reply is not None:
            self.holders = {
                entry.block: tuple(entry.holders) for entry in reply.entries
            }


def open_completion(
    state: states.State,
    places: admission.Admission,
    customer: configuration.Customer,
    prompt: prompts.Prompt,
    body: bytes,
    deadline: deadlines.Deadline,
    resume: str = "",
    offset: int = 0,
) -> Completion:
    """Return the completion of a request, fresh or resumed by a handle.

    Raises `exceptions.RequestError` and `exceptions.DependencyDown`.
    """
    model, addressed = services.find_model(state, prompt.name)
    digest = hashlib.sha256(body).hexdigest()
    if resume:
        return _open_resumed(
            state,
            places,
            customer,
            prompt,
            model,
            digest,
            deadline,
            resume,
            offset,
        )
    services.check_dependencies(state, addressed)
    return Completion(
        state=state,
        places=places,
        customer=customer,
        prompt=prompt,
        model=model,
        body_sha256=digest,
        request_id=secrets.token_hex(16),
        weight_version=model.version,
        seed=secrets.randbits(62) if prompt.seed is None else prompt.seed,
        deadline=deadline,
    )


def _open_resumed(
    state: states.State,
    places: admission.Admission,
    customer: configuration.Customer,
    prompt: prompts.Prompt,
    model: configuration.Model,
    digest: str,
    deadline: deadlines.Deadline,
    resume: str,
    offset: int,
) -> Completion:
    handle = handles.open_handle(
        resume, customer.name, state.settings.handle_keys
    )
    if handle.body_sha256 != digest or handle.model != model.name:
        raise exceptions.ResumeMismatch(
            "the body differs from the original request"
        )
    if not 0 <= offset <= prompt.max_tokens:
        raise exceptions.ResumeMismatch(
            f"offset {offset} is outside the response"
        )
    return Completion(
        state=state,
        places=places,
        customer=customer,
        prompt=prompt,
        model=model,
        body_sha256=digest,
        request_id=handle.request_id,
        weight_version=handle.weight_version,
        seed=handle.seed,
        deadline=deadline,
        start=offset,
        resumed_engine=handle.engine,
    )
