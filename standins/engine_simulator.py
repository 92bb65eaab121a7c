"""Simulation of the batches, the memory and the weights of an engine.

Simulates durations and memory use, but no text: a prompt is a list of parts
with token counts, and each generated token is only a number.
"""

import asyncio
import collections
import itertools
import math
import time
import typing as t

import attrs

# Cache salt, part and model of cached context.
PartKey = t.Tuple[str, str, str]


@attrs.frozen
class EngineOptions:
    """Capacity and speed of a simulated engine.

    At most `slots` requests run at once and `queue_limit` more wait. Memory
    is allocated in blocks of `block_tokens`. Each step generates one token
    for each running request; between two steps at most
    `prefill_chunk_tokens` of prompts are prefilled. For `cold_seconds` after
    a start the engine is cold: it crashes when more than twice
    `cold_requests_per_second` arrive within a second. `event_limit` is the
    number of cache events that are kept.
    """

    slots: int = 8
    queue_limit: int = 16
    memory_tokens: int = 20_000
    block_tokens: int = 16
    step_seconds: float = 0.002
    prefill_tokens_per_second: float = 400_000.0
    prefill_chunk_tokens: int = 1024
    load_seconds: float = 0.2
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 20.0
    event_limit: int = 1000


@attrs.frozen
class Prompt:
    """A prompt of shared parts followed by tokens of its own.

    `shared_parts` are pairs of a part and its token count; their context may
    be reused by other prompts. `priority` 0 is the most urgent. `origin`
    names the weights, and the customer if its context is isolated; using
    context of another origin is an error that the simulator counts.
    """

    model: str
    salt: str
    shared_parts: t.Tuple[t.Tuple[str, int], ...]
    own_tokens: int
    output_tokens: int
    priority: int = 5
    origin: str = ""

    def list_keys(self) -> t.List[PartKey]:
        """Return the cache keys of the shared parts."""
        return [(self.salt, part, self.model) for part, _ in self.shared_parts]


@attrs.define(eq=False)
class SimulatedRequest:
    """A request that waits or runs in the simulator.

    `pending_prefill_tokens` are yet to be prefilled. `own_memory_tokens` is
    the memory that the request holds besides the cached parts of
    `cached_keys`. `weights_replaced` is set when weights are loaded after the
    request was submitted. `token_queue` receives the number of each generated
    token, then 0 at the end, or -1 if the engine crashes.
    """

    prompt: Prompt
    arrival_number: int
    generated_tokens: int = 0
    pending_prefill_tokens: int = 0
    own_memory_tokens: int = 0
    preemptions: int = 0
    weights_replaced: bool = False
    cached_keys: t.List[PartKey] = attrs.field(factory=list)
    token_queue: "asyncio.Queue[int]" = attrs.field(factory=asyncio.Queue)


class AdmissionError(Exception):
    """The request is not admitted.

    The queue is full, weights are being loaded, or the request needs more
    memory than the engine has.
    """


@attrs.define
class CacheEvents:
    """Log of the latest additions to and removals from a cache.

    Keeps `limit` entries: number, sign, key and tokens. `changed` is set at
    the next event, and then replaced.
    """

    limit: int
    first_number: int = 1
    entries: t.Deque[t.Tuple[int, str, PartKey, int]] = attrs.field(
        factory=collections.deque
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def last_number(self) -> int:
        """Return the number of the latest event, 0 before the first."""
        return self.first_number + len(self.entries) - 1

    def record(self, added: bool, key: PartKey, tokens: int) -> None:
        """Append an event, dropping the oldest above the limit."""
        self.entries.append(
            (self.last_number + 1, "+" if added else "-", key, tokens)
        )
        if len(self.entries) > self.limit:
            self.entries.popleft()
            self.first_number += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def discard(self) -> None:
        """Drop all kept events, so that readers behind them miss some."""
        self.first_number += len(self.entries)
        self.entries.clear()

    def encode_since(self, since: int) -> t.Dict[str, t.Any]:
        """Return the JSON body with the events after number `since`.

        "lost" says whether some of them are no longer kept.
        """
        return {
            "next": self.last_number,
            "lost": since + 1 < self.first_number and since < self.last_number,
            "events": [
                [number, sign, key[0], key[1], tokens, key[2]]
                for number, sign, key, tokens in self.entries
                if number > since
            ],
        }


class EngineSimulator:
    """Simulates batched inference with a prefix cache.

    Cached parts and running requests share the memory. The least recently
    used parts are evicted for requests. When that is not enough, the newest
    of the least urgent requests is preempted: it returns to the queue and is
    prefilled again.

    `counters` are the prompt tokens that were prefilled ("read") and found
    in the cache ("found"), "preemptions", "crashes", weight "loads", and
    "foreign", the uses of cached parts of another origin. `crash_times` are
    in monotonic seconds.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.counters: t.Counter[str] = collections.Counter()
        self.crash_times: t.List[float] = []
        self.weights: t.Dict[str, int] = {}
        self.loading = False
        self.reset()

    def reset(self) -> None:
        """Start a new boot epoch: cold, without requests or context."""
        self.boot_epoch = time.time_ns()
        self.events = CacheEvents(self.options.event_limit)
        self.cached: "collections.OrderedDict[PartKey, int]" = (
            collections.OrderedDict()
        )
        self.origins: t.Dict[PartKey, str] = {}
        self.running: t.List[SimulatedRequest] = []
        self.waiting: t.List[SimulatedRequest] = []
        self.cold_until = time.monotonic() + self.options.cold_seconds
        self._arrival_times: t.Deque[float] = collections.deque()
        self._arrival_numbers = itertools.count()

    def count_used_tokens(self) -> int:
        """Return the memory that running requests use, in tokens."""
        used_parts = {
            key: self.cached[key]
            for request in self.running
            for key in request.cached_keys
        }
        return sum(used_parts.values()) + sum(
            request.own_memory_tokens for request in self.running
        )

    def submit(
        self, prompt: Prompt, generated_tokens: int = 0
    ) -> SimulatedRequest:
        """Queue a request and return it.

        A request that is resumed passes the number of tokens that another
        engine generated. Raises `AdmissionError` if the request is not
        admitted, and `ConnectionResetError` if it crashes a cold engine.
        """
        self._check_cold_request_rate()
        size = (
            sum(tokens for _, tokens in prompt.shared_parts)
            + prompt.own_tokens
        )
        if self.loading or len(self.waiting) >= self.options.queue_limit:
            raise AdmissionError
        if (
            self._round_up_to_blocks(size + prompt.output_tokens)
            > self.options.memory_tokens
        ):
            raise AdmissionError
        request = SimulatedRequest(
            prompt, next(self._arrival_numbers), generated_tokens
        )
        self.waiting.append(request)
        return request

    def _check_cold_request_rate(self) -> None:
        now = time.monotonic()
        if now >= self.cold_until:
            return
        self._arrival_times.append(now)
        while self._arrival_times[0] <= now - 1.0:
            self._arrival_times.popleft()
        if (
            len(self._arrival_times)
            > 2 * self.options.cold_requests_per_second
        ):
            self.crash()
            raise ConnectionResetError("a cold engine got too many requests")

    def crash(self) -> None:
        """End all requests, and reset everything but the weights."""
        self.counters["crashes"] += 1
        self.crash_times.append(time.monotonic())
        for request in [*self.running, *self.waiting]:
            request.token_queue.put_nowait(-1)
        self.reset()

    def remove(self, request: SimulatedRequest) -> None:
        """Remove a request that is finished or cancelled."""
        for requests in (self.running, self.waiting):
            if request in requests:
                requests.remove(request)

    async def load_weights(self, model: str, version: int) -> None:
        """Load weights; requests continue, and cached context is dropped."""
        self.loading = True
        self.counters["loads"] += 1
        try:
            await asyncio.sleep(self.options.load_seconds)
            for request in [*self.running, *self.waiting]:
                request.own_memory_tokens += sum(
                    self.cached.get(key, 0) for key in request.cached_keys
                )
                request.cached_keys, request.weights_replaced = [], True
            for key in list(self.cached):
                self._evict(key)
            self.weights[model] = version
        finally:
            self.loading = False

    async def run(self) -> None:
        """Process batches until cancelled."""
        while True:
            self._admit_waiting()
            seconds = self._prefill_chunk()
            if self.running:
                seconds += self.options.step_seconds
            await asyncio.sleep(seconds or self.options.step_seconds)
            self._generate_tokens()

    def _admit_waiting(self) -> None:
        self.waiting.sort(
            key=lambda request: (
                request.prompt.priority,
                request.arrival_number,
            )
        )
        while self.waiting and len(self.running) < self.options.slots:
            request = self.waiting[0]
            request.cached_keys = self._find_cached_prefix(request.prompt)
            cached_tokens = sum(
                self.cached[key] for key in request.cached_keys
            )
            size = sum(tokens for _, tokens in request.prompt.shared_parts)
            pending_prefill_tokens = (
                size
                + request.prompt.own_tokens
                + request.generated_tokens
                - cached_tokens
            )
            self.running.append(request)
            if not self._evict_until_free(
                self._round_up_to_blocks(pending_prefill_tokens)
            ):
                self.running.remove(request)
                request.cached_keys = []
                return
            self.waiting.pop(0)
            request.pending_prefill_tokens, request.own_memory_tokens = (
                pending_prefill_tokens,
                self._round_up_to_blocks(pending_prefill_tokens),
            )
            self.counters["found"] += cached_tokens

    def _find_cached_prefix(self, prompt: Prompt) -> t.List[PartKey]:
        """Return the keys of the longest prefix of cached parts."""
        keys = list(
            itertools.takewhile(self.cached.__contains__, prompt.list_keys())
        )
        for key in keys:
            self.cached.move_to_end(key)
            self.counters["foreign"] += self.origins[key] != prompt.origin
        return keys

    def _evict_until_free(self, tokens: int) -> bool:
        """Evict unused parts until enough memory is free.

        Return whether `tokens` are free.
        """
        used_keys = {
            key for request in self.running for key in request.cached_keys
        }
        for key in [key for key in self.cached if key not in used_keys]:
            if self._count_free_tokens() >= tokens:
                break
            self._evict(key)
        return self._count_free_tokens() >= tokens

    def _count_free_tokens(self) -> int:
        used_tokens = sum(self.cached.values()) + sum(
            r.own_memory_tokens for r in self.running
        )
        return self.options.memory_tokens - used_tokens

    def _prefill_chunk(self) -> float:
        """Prefill a chunk of prompts and return its duration in seconds."""
        left = self.options.prefill_chunk_tokens
        for request in self.running:
            count = min(left, request.pending_prefill_tokens)
            if not count:
                continue
            request.pending_prefill_tokens -= count
            left -= count
            if not request.pending_prefill_tokens:
                self._cache_prompt_parts(request)
        count = self.options.prefill_chunk_tokens - left
        self.counters["read"] += count
        return count / self.options.prefill_tokens_per_second

    def _cache_prompt_parts(self, request: SimulatedRequest) -> None:
        """Cache the shared parts of a prefilled prompt.

        Context that was computed before the weights were replaced is not
        cached.
        """
        if request.weights_replaced:
            return
        for key, (_, tokens) in zip(
            request.prompt.list_keys(), request.prompt.shared_parts
        ):
            if key in request.cached_keys:
                continue
            request.own_memory_tokens -= min(request.own_memory_tokens, tokens)
            request.cached_keys.append(key)
            if key not in self.cached:
                self.cache_part(key, tokens, request.prompt.origin)

    def cache_part(self, key: PartKey, tokens: int, origin: str) -> None:
        """Cache a part that was prefilled or fetched."""
        self.cached[key] = tokens
        self.origins[key] = origin
        self.events.record(True, key, tokens)

    def _evict(self, key: PartKey) -> None:
        self.events.record(False, key, self.cached.pop(key))

    def _generate_tokens(self) -> None:
        for request in [
            request
            for request in self.running
            if not request.pending_prefill_tokens
        ]:
            if request not in self.running:
                continue
            if (
                not request.generated_tokens % self.options.block_tokens
                and not self._allocate_block(request)
            ):
                continue
            request.generated_tokens += 1
            request.token_queue.put_nowait(request.generated_tokens)
            if request.generated_tokens >= request.prompt.output_tokens:
                self.remove(request)
                request.token_queue.put_nowait(0)

    def _allocate_block(self, request: SimulatedRequest) -> bool:
        """Allocate one more block, preempting requests as needed.

        Return whether the request got the block; it may itself be preempted.
        """
        while not self._evict_until_free(self.options.block_tokens):
            preempted = max(
                self.running,
                key=lambda r: (r.prompt.priority, r.arrival_number),
            )
            self.counters["preemptions"] += 1
            preempted.preemptions += 1
            preempted.own_memory_tokens, preempted.cached_keys = 0, []
            self.running.remove(preempted)
            self.waiting.append(preempted)
            if preempted is request:
                return False
        request.own_memory_tokens += self.options.block_tokens
        return True

    def _round_up_to_blocks(self, tokens: int) -> int:
        block = self.options.block_tokens
        return math.ceil(tokens / block) * block
