"""Stand-in for a model engine."""

import asyncio
import collections
import functools
import hashlib
import heapq
import itertools
import json
import time
import typing as t
import uuid

import aiohttp
from aiohttp import web
import attrs

from sesamefold import blocks
from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import stores
from standins import server

MAX_EVENTS_PER_RESPONSE = 1000
# Delay before a failed download of weights is retried, seconds.
WEIGHTS_RETRY_SECONDS = 0.2
IMPORT_TIMEOUT_SECONDS = 30.0


@attrs.define
class Options:
    """Options of an engine; times are in seconds.

    `versions` are the weight versions of `model` that are loaded at the
    start and after a crash. `limit` is the number of requests that run at
    once; up to `queue_limit` further ones are queued. A cold engine crashes
    when more than `cold_limit` requests run or are queued, and becomes warm
    after `warm_up`. Weights are downloaded from the URL `weights`; without
    one, loading a version takes `load_seconds`. Connections to stores and to
    the weights come from the local address `source`, if it is set. Every
    `lose_event_every`th cache event is lost; 0 loses none. Exported blocks
    have at least `block_bytes` bytes.
    """

    model: str = "drafting-7b"
    versions: t.Tuple[str, ...] = ("v1",)
    block_tokens: int = 1000
    block_bytes: int = 0
    prefill_seconds: float = 0.0  # per token
    token_seconds: float = 0.0  # per token
    memory_blocks: int = 64
    limit: int = 16
    queue_limit: int = 64
    cold_limit: int = 2
    warm_up: float = 0.0
    restart_seconds: float = 0.0
    load_lag: float = 0.0
    event_lag: float = 0.0
    lose_event_every: int = 0
    kept_events: int = 1000
    kept_runs: int = 1000
    keep_alive: float = 1.0
    checks_fencing: bool = True
    load_seconds: float = 0.0
    weights: str = ""
    verifies_imports: bool = True
    crash_words: t.Tuple[str, ...] = ()
    source: str = ""


class Context:
    """A hash of all content that the output of a run depends on.

    The digest is the same however the content is split into blocks.
    """

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self._identity: t.Tuple[str, ...] = ()

    def add(
        self,
        salt: str,
        model: str,
        version: str,
        tokens: t.Sequence[str],
        before: t.Optional[str] = None,
    ) -> None:
        """Append tokens that were computed for a customer, model and version.

        `before` is the digest of the context that preceded them when they
        were computed. If it differs from the present digest, it is added to
        the hash, so that a block in the wrong place gives wrong tokens.
        """
        if before not in (None, self.digest()):
            self._hash.update(f"\1after {before}\0".encode())
        if self._identity != (salt, model, version):
            self._identity = (salt, model, version)
            self._hash.update(f"\1{salt}\0{model}\0{version}\0".encode())
        self._hash.update("".join(f"{token}\0" for token in tokens).encode())

    def digest(self) -> str:
        """Return the SHA-256 of the content, in hex."""
        return self._hash.hexdigest()

    def compute_token(self, position: int) -> str:
        """Return the output token at a position; the first is 1."""
        text = f"{self.digest()}\0{position}"
        return " " + hashlib.sha256(text.encode()).hexdigest()[:8]


@functools.lru_cache(maxsize=64)
def _make_prompt_context(
    salt: str, model: str, version: str, prompt: str
) -> Context:
    context = Context()
    context.add(salt, model, version, blocks.split_tokens(prompt))
    return context


def compute_token(
    salt: str, model: str, version: str, prompt: str, position: int
) -> str:
    """Return the correct token of an answer.

    `position` is the offset of the token's event, so the first is 1. Tokens
    start with a space, so that an answer can be split into its tokens.
    """
    return _make_prompt_context(salt, model, version, prompt).compute_token(
        position
    )


@attrs.frozen
class BlockContent:
    """The content of a cached block, as it is also written to stores."""

    salt: str
    model: str
    version: str
    tokens: t.Tuple[str, ...]
    before: str  # digest of the context before the block

    def encode(self, length: int = 0) -> bytes:
        """Return the content as JSON, padded to at least `length` bytes."""
        return json.dumps(attrs.asdict(self)).encode().ljust(length)

    @classmethod
    def decode(cls, data: bytes) -> "BlockContent":
        """Return the content from the bytes that `encode` returned."""
        body = json.loads(data)
        return cls(**{**body, "tokens": tuple(body["tokens"])})

    def add_to(self, context: Context) -> None:
        """Append the block to a context."""
        context.add(
            self.salt, self.model, self.version, self.tokens, self.before
        )


@attrs.define(eq=False)
class Run:
    """The state of an accepted request and its answer."""

    body: t.Mapping[str, t.Any]
    task: t.Optional[asyncio.Task] = None
    started: t.Optional[t.Dict[str, int]] = None
    tokens: t.List[str] = attrs.field(factory=list)
    finish_reason: str = ""
    error: str = ""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """The request id that the caller chose."""
        return self.body["request_id"]

    @property
    def version(self) -> str:
        """The weight version that the request asks for."""
        return self.body["weight_version"]

    @property
    def ended(self) -> bool:
        """Whether the run has finished or failed."""
        return bool(self.finish_reason or self.error)

    def notify(self) -> None:
        """Wake the streams that wait for a change of the run."""
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, finish_reason: str = "", error: str = "") -> None:
        """End the run; do nothing if it has ended already."""
        if not self.ended:
            self.finish_reason, self.error = finish_reason, error
            self.notify()


class EngineServer(server.Server):
    """HTTP server of an engine whose answers depend on the blocks it used.

    A request whose `request_id` is known gets the stream of the existing
    run; a run continues when its connection breaks. `max_tokens` counts all
    tokens of the answer, including those in `output`. Requests with a higher
    priority run first. A crash loses runs, blocks, orders and loaded
    versions, and cache events start again at sequence number 1.

    Further faults:

    - `crash`: crash now. `cold`: true empties the cache and makes the engine
      cold without a restart, false makes it warm.
    - `leaving`: set this flag in load reports; new runs are still accepted,
      and counted as `runs_leaving`.
    - `refuse`: the next N completions are refused with status 429 before
      execution. `fail`: the next N get status 500.
    - `stream`: {"kind": K, "after": A, "count": N} acts on the next N
      streams after A token events. K is "break" (reset), "stall" (nothing
      more is sent), "other_id" (events of another request), "wrong_version",
      "repeat" (the event is sent twice) or "skip" (the event is missing).
    - `skip_events`, `repeat_events`: lose or repeat the next N cache events.
    - `hide_load`: load reports get status 500 while true.
    - `load_lag`, `event_lag`, `prefill_seconds`, `token_seconds`,
      `crash_words`: as the options.
    """

    options_class = Options
    writes = frozenset(("order", "export", "cancel"))

    def __init__(self, options: t.Optional[Options] = None) -> None:
        super().__init__(options)
        self.runs: t.Dict[str, Run] = {}
        self.cache: t.Dict[str, BlockContent] = {}
        self.leaving = False
        self.refusals = 0
        self.failures = 0
        self.skipped_events = 0
        self.repeated_events = 0
        self.load_hidden = False
        self._stream_faults: t.Deque[t.Dict[str, t.Any]] = collections.deque()
        self._arrival_numbers = itertools.count()
        self._down_until = 0.0
        self._warm_up_task: t.Optional[asyncio.Task] = None
        self._load_task: t.Optional[asyncio.Task] = None
        self._session: t.Optional[aiohttp.ClientSession] = None
        self._lost_connections: t.Set[web.RequestHandler] = set()
        self._reset()

    def _reset(self) -> None:
        self.epoch = uuid.uuid4().hex
        self.cold = self.options.warm_up > 0
        self.role = "serve"
        self.versions = {
            f"{self.options.model}@{version}"
            for version in self.options.versions
        }
        self.order: t.Dict[str, t.Any] = {
            "revision": 0,
            "fencing": 0,
            "versions": sorted(self.versions),
            "role": self.role,
        }
        self.runs.clear()
        self.cache.clear()
        self._running: t.Set[Run] = set()
        self._queue: t.List[t.Tuple[int, int, Run]] = []
        self._sequence = 0
        self._events: t.Deque[t.Tuple[float, t.Dict[str, t.Any]]] = (
            collections.deque(maxlen=self.options.kept_events)
        )
        self._reports: t.Deque[t.Tuple[float, t.Dict[str, t.Any]]] = (
            collections.deque()
        )
        self._report_load()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes."""
        router.add_post("/v1/completions", self._complete, name="complete")
        router.add_get("/v1/requests/{id}", self._resume, name="resume")
        router.add_delete("/v1/requests/{id}", self._cancel, name="cancel")
        router.add_get("/load", self._get_load, name="load")
        router.add_get("/events", self._get_events, name="events")
        router.add_get("/blocks", self._list_blocks, name="blocks")
        router.add_post("/context/export", self._export, name="export")
        router.add_post("/orders", self._post_order, name="order")
        router.add_get("/orders", self._get_order, name="get_order")

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen, start to warm up and return the address as ip:port."""
        source = self.options.source
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                local_addr=(source, 0) if source else None
            )
        )
        address = await super().start(host, port)
        self._start_warm_up()
        return address

    async def stop(self) -> None:
        """End all runs and close all connections."""
        await super().stop()
        if self._session is not None:
            await self._session.close()

    async def check_outage(
        self, request: web.Request
    ) -> t.Optional[web.Response]:
        """Reset connections while the engine restarts after a crash.

        A request that was received before the crash is not executed after it.
        """
        if (
            time.monotonic() < self._down_until
            or request.protocol in self._lost_connections
        ):
            return await self.reset_connection(request)
        return await super().check_outage(request)

    # Faults

    def fault_crash(self, value: bool) -> None:
        """Crash now."""
        if value:
            self.crash()

    def fault_cold(self, value: bool) -> None:
        """Make the engine cold with an empty cache, or warm."""
        if value:
            for block in list(self.cache):
                self._evict(block)
        self._set_cold(value)
        if value:
            self._start_warm_up()

    def fault_leaving(self, value: bool) -> None:
        """Set whether load reports say that the engine is shutting down."""
        self.leaving = value
        self._report_load()

    def fault_refuse(self, value: int) -> None:
        """Refuse the next completions before execution."""
        self.refusals = value

    def fault_fail(self, value: int) -> None:
        """Answer the next completions with status 500."""
        self.failures = value

    def fault_stream(self, value: t.Mapping[str, t.Any]) -> None:
        """Apply a fault to the next streams; raises ValueError."""
        if value["kind"] not in STREAM_FAULTS:
            raise ValueError(f"unknown stream fault {value['kind']!r}")
        fault = {"kind": value["kind"], "after": value.get("after", 0)}
        self._stream_faults.extend([fault] * value.get("count", 1))

    def fault_skip_events(self, value: int) -> None:
        """Lose the next cache events."""
        self.skipped_events = value

    def fault_repeat_events(self, value: int) -> None:
        """Publish the next cache events twice."""
        self.repeated_events = value

    def fault_hide_load(self, value: bool) -> None:
        """Answer load requests with an error."""
        self.load_hidden = value

    def fault_load_lag(self, value: float) -> None:
        """Set the lag of load reports."""
        self.options.load_lag = value

    def fault_event_lag(self, value: float) -> None:
        """Set the lag of later cache events."""
        self.options.event_lag = value

    def fault_prefill_seconds(self, value: float) -> None:
        """Set the prefill time per token."""
        self.options.prefill_seconds = value

    def fault_token_seconds(self, value: float) -> None:
        """Set the generation time per output token."""
        self.options.token_seconds = value

    def fault_crash_words(self, value: t.Sequence[str]) -> None:
        """Crash on prompts that contain one of the words."""
        self.options.crash_words = tuple(value)

    def crash(self) -> None:
        """Reset all connections and restart with empty state."""
        self.counters["crashes"] += 1
        for run in self.runs.values():
            if run.task is not None:
                run.task.cancel()
            run.end(error="crash")
        if self._load_task is not None:
            self._load_task.cancel()
        self._down_until = time.monotonic() + self.options.restart_seconds
        self._reset()
        self._start_warm_up()
        self._lost_connections = set(self.list_connections())
        self.drop_connections()

    # Load

    def _set_cold(self, cold: bool) -> None:
        self.cold = cold
        self._report_load()

    def _start_warm_up(self) -> None:
        if self._warm_up_task is not None:
            self._warm_up_task.cancel()
            self._warm_up_task = None
        if self.cold and self.options.warm_up:
            self._warm_up_task = self.spawn(self._finish_warm_up())

    async def _finish_warm_up(self) -> None:
        await asyncio.sleep(self.options.warm_up)
        self._set_cold(False)

    def _report_load(self) -> None:
        report = {
            "epoch": self.epoch,
            "cold": self.cold,
            "leaving": self.leaving,
            "running": len(self._running),
            "queued": len(self._queue),
            "limit": (
                self.options.cold_limit if self.cold else self.options.limit
            ),
            "versions": sorted(self.versions),
            "role": self.role,
        }
        self._reports.append((self.read_clock(), report))

    async def _get_load(self, request: web.Request) -> web.Response:
        if self.load_hidden:
            return server.make_error_response(500, "no load report")
        as_of = self.read_clock() - self.options.load_lag
        while len(self._reports) > 1 and self._reports[1][0] <= as_of:
            self._reports.popleft()
        at, report = self._reports[0]
        return web.json_response({**report, "measured_at": max(at, as_of)})

    # Cache

    def _publish_event(self, kind: str, block: str) -> None:
        self._sequence += 1
        every = self.options.lose_event_every
        if self.skipped_events > 0:
            self.skipped_events -= 1
            return
        if every and self._sequence % every == 0:
            return
        event = {"sequence": self._sequence, "kind": kind, "block": block}
        entry = (time.monotonic() + self.options.event_lag, event)
        self._events.append(entry)
        if self.repeated_events > 0:
            self.repeated_events -= 1
            self._events.append(entry)

    def _touch(self, block: str) -> t.Optional[BlockContent]:
        content = self.cache.pop(block, None)
        if content is not None:
            self.cache[block] = content
        return content

    def _insert(self, block: str, content: BlockContent) -> None:
        if self.options.memory_blocks <= 0 or self._touch(block) is not None:
            return
        while len(self.cache) >= self.options.memory_blocks:
            self._evict(next(iter(self.cache)))
        self.cache[block] = content
        self._publish_event("stored", block)

    def _evict(self, block: str) -> None:
        del self.cache[block]
        self._publish_event("freed", block)

    async def _get_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", 0))
        # A number above the last one was issued before a restart.
        after = 0 if after > self._sequence else after
        now = time.monotonic()
        shown = itertools.takewhile(lambda e: e[0] <= now, self._events)
        events = [e for _, e in shown if e["sequence"] > after]
        return web.json_response({"events": events[:MAX_EVENTS_PER_RESPONSE]})

    async def _list_blocks(self, request: web.Request) -> web.Response:
        return web.json_response({"blocks": list(self.cache)})

    async def _export(self, request: web.Request) -> web.Response:
        body = await request.json()
        store = stores.HttpBlockStore(self._session, body["store"])
        entries = []
        for block in body["blocks"]:
            content = self._touch(block)
            if content is None:
                continue
            data = content.encode(self.options.block_bytes)
            try:
                entry = await store.write_block(
                    block, data, deadlines.Deadline(body["deadline"])
                )
            except exceptions.StoreUnavailable:
                self.counters["exports_failed"] += 1
                break
            self.counters["bytes_exported"] += len(data)
            entries.append(
                {
                    "block": block,
                    "store": body["store"],
                    "generation": entry.generation,
                    "length": entry.length,
                    "sha256": entry.sha256,
                }
            )
        return web.json_response({"entries": entries})

    # Runs

    def _refuse_request(self, status: int, reason: str) -> web.Response:
        self.counters["refused"] += 1
        return server.make_error_response(status, reason, executed="no")

    def _find_refusal(
        self, body: t.Mapping[str, t.Any]
    ) -> t.Optional[web.Response]:
        if self.refusals > 0:
            self.refusals -= 1
            return self._refuse_request(429, "refused")
        if self.failures > 0:
            self.failures -= 1
            return server.make_error_response(500, "failed")
        if body.get("epoch") not in (None, "", self.epoch):
            return self._refuse_request(412, "restarted")
        if self.role != "serve":
            return self._refuse_request(503, f"role is {self.role}")
        if f"{body['model']}@{body['weight_version']}" not in self.versions:
            return self._refuse_request(503, "version is not loaded")
        if len(self._queue) >= self.options.queue_limit:
            return self._refuse_request(503, "queue is full")
        return None

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        offset = body.get("offset", 0)
        existing = self.runs.get(body["request_id"])
        if existing is not None and not existing.error:
            same = ("prompt", "cache_salt", "model", "weight_version")
            if any(existing.body[key] != body[key] for key in same):
                return server.make_error_response(409, "request id is in use")
            return await self._stream(request, existing, offset)
        refused = self._find_refusal(body)
        if refused is not None:
            return refused
        active = len(self._running) + len(self._queue)
        if self.cold and active + 1 > self.options.cold_limit:
            self.counters["cold_crashes"] += 1
            self.crash()
            return await self.reset_connection(request)
        run = Run(body)
        self.runs[run.request_id] = run
        self._drop_ended_runs()
        priority = -body.get("priority", 0)
        heapq.heappush(
            self._queue, (priority, next(self._arrival_numbers), run)
        )
        self._start_runs()
        return await self._stream(request, run, offset)

    def _drop_ended_runs(self) -> None:
        surplus = len(self.runs) - self.options.kept_runs
        ended = (key for key, run in self.runs.items() if run.ended)
        for key in list(itertools.islice(ended, max(0, surplus))):
            del self.runs[key]

    def _start_runs(self) -> None:
        while self._queue and len(self._running) < self.options.limit:
            run = heapq.heappop(self._queue)[2]
            if run.ended:
                continue
            if run.body["deadline"] <= self.read_clock():
                run.end(error="not_admitted")
                continue
            self._running.add(run)
            run.task = self.spawn(self._execute(run))
        self.counters["most_running"] = max(
            self.counters["most_running"], len(self._running)
        )
        self._report_load()

    async def _execute(self, run: Run) -> None:
        self.counters["runs"] += 1
        self.counters["runs_cold"] += self.cold
        self.counters["runs_leaving"] += self.leaving
        prompt = run.body["prompt"]
        try:
            if any(word in prompt for word in self.options.crash_words):
                self.counters["crashes_by_word"] += 1
                asyncio.get_running_loop().call_soon(self.crash)
                await asyncio.sleep(3600)
            remaining = run.body["deadline"] - self.read_clock()
            async with asyncio.timeout(remaining):
                await self._generate(run)
            run.end(finish_reason="length")
        except TimeoutError:
            run.end(error="deadline")
        finally:
            run.end(error="cancelled")
            if run in self._running:
                self._running.remove(run)
                self._start_runs()

    async def _generate(self, run: Run) -> None:
        body = run.body
        identity = (body["cache_salt"], body["model"], run.version)
        tokens = blocks.split_tokens(body["prompt"])
        context, started = await self._prepare_context(run, identity, tokens)
        output = list(body.get("output", ()))
        expected = [
            context.compute_token(position)
            for position in range(1, len(output) + 1)
        ]
        if output != expected:
            context.add("output", "", "", output)
        await asyncio.sleep(self.options.prefill_seconds * len(output))
        run.tokens = output
        run.started = started
        run.notify()
        while len(run.tokens) < body["max_tokens"]:
            await asyncio.sleep(self.options.token_seconds)
            run.tokens.append(context.compute_token(len(run.tokens) + 1))
            self.counters["tokens_generated"] += 1
            run.notify()
        answer = [token.strip() for token in run.tokens]
        self._store_blocks(identity, tokens + answer)

    async def _prepare_context(
        self, run: Run, identity: t.Tuple[str, str, str], tokens: t.List[str]
    ) -> t.Tuple[Context, t.Dict[str, int]]:
        """Return the context of a prompt, and how its tokens were obtained.

        The blocks come from the cache or are imported as long as they are
        available without a gap; the rest of the prompt is prefilled.
        """
        size = self.options.block_tokens
        names = blocks.name_blocks(*identity, tokens, size)
        imports = {i["block"]: i for i in run.body.get("imports", ())}
        context = Context()
        counts = {
            "prompt_tokens": len(tokens),
            "cached_tokens": 0,
            "imported_memory_tokens": 0,
            "imported_disk_tokens": 0,
        }
        used = 0
        for name in names:
            content, source = self._touch(name), "cached_tokens"
            if content is None and name in imports:
                content, source = await self._import_block(imports[name])
            if content is None:
                break
            content.add_to(context)
            counts[source] += size
            used += size
        rest = tokens[used:]
        await asyncio.sleep(self.options.prefill_seconds * len(rest))
        context.add(*identity, rest)
        self._store_blocks(identity, tokens)
        self.counters["tokens_prefilled"] += len(rest)
        for key, count in counts.items():
            if key != "prompt_tokens":
                self.counters[f"tokens_{key.removesuffix('_tokens')}"] += count
        return context, counts

    def _store_blocks(
        self, identity: t.Tuple[str, str, str], tokens: t.List[str]
    ) -> None:
        """Add the full blocks of the tokens to the cache."""
        size = self.options.block_tokens
        context = Context()
        names = blocks.name_blocks(*identity, tokens, size)
        names = names[: self.options.memory_blocks]
        for index, name in enumerate(names):
            part = tuple(tokens[index * size : (index + 1) * size])
            before = context.digest()
            context.add(*identity, part)
            self._insert(name, BlockContent(*identity, part, before))
        # Makes the last blocks of the chain the first to be evicted: a block
        # is useless without those before it.
        for name in reversed(names):
            self._touch(name)

    async def _import_block(
        self, entry: t.Mapping[str, t.Any]
    ) -> t.Tuple[t.Optional[BlockContent], str]:
        """Return a block from a store and the name of its tier's count.

        The block is None when the import failed.
        """
        store = stores.HttpBlockStore(self._session, entry["store"])
        stored = stores.StoredBlock(
            entry["block"],
            entry["generation"],
            entry["length"],
            entry["sha256"],
            "",
        )
        deadline = deadlines.Deadline.after(IMPORT_TIMEOUT_SECONDS)
        try:
            if self.options.verifies_imports:
                data, tier = await store.read_block_and_tier(stored, deadline)
            else:
                data, tier = await self._read_unverified(entry), "memory"
            content = BlockContent.decode(data)
        except (
            exceptions.SesamefoldError,
            aiohttp.ClientError,
            ValueError,
            TypeError,
        ):
            self.counters["imports_failed"] += 1
            return None, ""
        self.counters["bytes_imported"] += len(data)
        self._insert(entry["block"], content)
        return content, f"imported_{tier}_tokens"

    async def _read_unverified(self, entry: t.Mapping[str, t.Any]) -> bytes:
        url = f"{entry['store']}/blocks/{entry['block']}"
        async with self._session.get(url) as response:
            return await response.read()

    # Streams

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        run = self.runs.get(request.match_info["id"])
        if run is None:
            return server.make_error_response(404, "no such run")
        return await self._stream(
            request, run, int(request.query.get("offset", 0))
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self.runs.pop(request.match_info["id"], None)
        if run is None:
            return server.make_error_response(404, "no such run")
        if not run.ended:
            self.counters["cancelled"] += 1
            run.end(error="cancelled")
        if run.task is not None:
            run.task.cancel()
        self._queue = [item for item in self._queue if item[2] is not run]
        heapq.heapify(self._queue)
        self._report_load()
        return web.json_response({})

    async def _stream(
        self, request: web.Request, run: Run, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Sesamefold-Request": run.request_id,
            }
        )
        await response.prepare(request)
        stream = _EventStream(
            response,
            self._stream_faults.popleft() if self._stream_faults else {},
            next((r for r in self.runs.values() if r is not run), None),
        )
        started = False
        while True:
            changed = run.changed
            if run.started is not None and not started:
                started = True
                await stream.send(run, "started", offset, **run.started)
            while started and offset < len(run.tokens):
                offset += 1
                text = run.tokens[offset - 1]
                await stream.send_token(run, offset, text)
                if stream.stopped:
                    return await self._stop_stream(request, response, stream)
            if run.ended:
                break
            try:
                async with asyncio.timeout(self.options.keep_alive):
                    await changed.wait()
            except TimeoutError:
                await response.write(b": keep-alive\n\n")
        if run.error:
            await stream.send(run, "error", offset, error=run.error)
        else:
            await stream.send(
                run, "finished", offset, finish_reason=run.finish_reason
            )
        await response.write_eof()
        return response

    async def _stop_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        stream: "_EventStream",
    ) -> web.StreamResponse:
        while stream.stopped == "stall" and request.transport is not None:
            await asyncio.sleep(server.POLL_INTERVAL_SECONDS)
        await self.reset_connection(request)
        return response

    # Orders

    async def _post_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if (
            self.options.checks_fencing
            and order["fencing"] < self.order["fencing"]
        ):
            self.counters["orders_refused"] += 1
            return server.make_error_response(
                409, "fencing", fencing=self.order["fencing"]
            )
        self.counters["orders_accepted"] += 1
        if order != self.order:
            self.order = order
            if self._load_task is not None:
                self._load_task.cancel()
            self._load_task = self.spawn(self._apply_order(order))
        return web.json_response({})

    async def _get_order(self, request: web.Request) -> web.Response:
        return web.json_response(self.order)

    async def _apply_order(self, order: t.Mapping[str, t.Any]) -> None:
        self.role = order["role"]
        self._report_load()
        for version in order["versions"]:
            if version not in self.versions:
                await self._load_version(version)
                self.versions.add(version)
                self.counters["versions_loaded"] += 1
                self._report_load()
        # Versions not in the order are unloaded once all ordered ones are
        # loaded, so that requests for them are served meanwhile.
        self.versions = set(order["versions"])
        self._report_load()

    async def _load_version(self, version: str) -> None:
        if not self.options.weights:
            await asyncio.sleep(self.options.load_seconds)
            return
        url = f"{self.options.weights}/weights/{version}"
        while True:
            try:
                async with self._session.get(url) as response:
                    response.raise_for_status()
                    async for chunk in response.content.iter_any():
                        self.counters["weight_bytes"] += len(chunk)
                    return
            except aiohttp.ClientError:
                self.counters["weights_failed"] += 1
                await asyncio.sleep(WEIGHTS_RETRY_SECONDS)


STREAM_FAULTS = frozenset(
    ("break", "stall", "other_id", "wrong_version", "repeat", "skip")
)


class _EventStream:
    """Writes the events of one stream, and applies at most one fault.

    `stopped` is "break" or "stall" once such a fault has ended the stream.
    """

    def __init__(
        self,
        response: web.StreamResponse,
        fault: t.Mapping[str, t.Any],
        other: t.Optional[Run],
    ) -> None:
        self._response = response
        self._kind = fault.get("kind", "")
        self._after = fault.get("after", 0)
        self._other = other
        self._sent = 0
        self.stopped = ""

    async def send(
        self, run: Run, kind: str, offset: int, **fields: t.Any
    ) -> None:
        """Send one event."""
        event = {
            "kind": kind,
            "request_id": run.request_id,
            "weight_version": run.version,
            "offset": offset,
            **fields,
        }
        if self._sent >= self._after and self._kind == "wrong_version":
            event["weight_version"] += "-other"
        if self._sent >= self._after and self._kind == "other_id":
            other = self._other
            event["request_id"] = other.request_id if other else "other"
            if kind == "token":
                event["text"] = (
                    other.tokens[offset - 1]
                    if other and offset <= len(other.tokens)
                    else " other"
                )
        await self._response.write(
            f"id: {offset}\ndata: {json.dumps(event)}\n\n".encode()
        )

    async def send_token(self, run: Run, offset: int, text: str) -> None:
        """Send a token event, and apply the fault if it is due."""
        fault_applies = self._sent == self._after
        if fault_applies and self._kind in ("break", "stall"):
            self.stopped = self._kind
            return
        if not (fault_applies and self._kind == "skip"):
            await self.send(run, "token", offset, text=text)
        if fault_applies and self._kind == "repeat":
            await self.send(run, "token", offset, text=text)
        self._sent += 1
