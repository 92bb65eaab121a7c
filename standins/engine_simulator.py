"""Memory, batches and weights of the stand-in of the users' engines.

A model of time and space, not of text: prompts are parts with a number of
tokens, and an event stands for a token.
"""

import asyncio
import collections
import itertools
import math
import time
import typing as t

import attrs

# (salt, part, model) of cached context.
Key = t.Tuple[str, str, str]


@attrs.frozen
class Traits:
    """Size and speed of an engine.

    `slots` requests run at once, and `queue` more wait. Memory is given out
    in blocks of `block` tokens. A step makes one token of each run; between
    the steps at most `chunk` tokens of prompts are read.
    """

    slots: int = 8
    queue: int = 16
    memory_tokens: int = 20_000
    block: int = 16
    step_seconds: float = 0.002
    read_tokens_per_second: float = 400_000.0
    chunk: int = 1024
    load_seconds: float = 0.2
    cold_seconds: float = 0.0
    cold_rate: float = 20.0
    events: int = 1000


@attrs.frozen
class Prompt:
    """A prompt: (part, tokens) of what may be shared, and its own tokens.

    `priority` 0 is the most urgent. `origin` names the weights, and the
    customer if its context must be apart; context of another origin is wrong.
    """

    model: str
    salt: str
    parts: t.Tuple[t.Tuple[str, int], ...]
    own_tokens: int
    output_tokens: int
    priority: int = 5
    origin: str = ""

    def list_keys(self) -> t.List[Key]:
        """Return the keys of the shared parts."""
        return [(self.salt, part, self.model) for part, _ in self.parts]


@attrs.define(eq=False)
class Run:
    """A request in an engine; `made` are its tokens so far.

    `outdated` tells that the weights changed since it began.
    """

    prompt: Prompt
    number: int
    made: int = 0
    unread: int = 0
    memory: int = 0
    preemptions: int = 0
    outdated: bool = False
    keys: t.List[Key] = attrs.field(factory=list)
    tokens: "asyncio.Queue[int]" = attrs.field(factory=asyncio.Queue)


class Full(Exception):
    """The queue is full, or the request is larger than the memory."""


@attrs.define
class CacheEvents:
    """The latest changes of what an engine or store holds."""

    limit: int
    first: int = 1
    rows: t.Deque[t.Tuple[int, str, Key, int]] = attrs.field(
        factory=collections.deque
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Return the number of the latest event."""
        return self.first + len(self.rows) - 1

    def note(self, added: bool, key: Key, tokens: int) -> None:
        """Add an event; the oldest gives way."""
        self.rows.append((self.next + 1, "+" if added else "-", key, tokens))
        if len(self.rows) > self.limit:
            self.rows.popleft()
            self.first += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def lose(self) -> None:
        """Drop all events that nobody has read."""
        self.first += len(self.rows)
        self.rows.clear()

    def encode(self, since: int) -> t.Dict[str, t.Any]:
        """Return what is told to a caller that knows the events to `since`."""
        return {
            "next": self.next,
            "lost": since + 1 < self.first and since < self.next,
            "events": [
                [number, sign, key[0], key[1], tokens, key[2]]
                for number, sign, key, tokens in self.rows
                if number > since
            ],
        }


class Engine:
    """Runs prompts in batches, in a memory that cached parts share.

    The least recently used parts give way to runs. When that is not enough,
    the newest of the least urgent runs is put back to the queue and read
    again.

    `counters` are tokens "read" and "found", "preemptions", "crashes",
    "loads", and "foreign", the uses of parts of another origin.
    """

    def __init__(self, traits: Traits) -> None:
        self.traits = traits
        self.counters: t.Counter[str] = collections.Counter()
        self.weights: t.Dict[str, int] = {}
        self.loading = False
        self.start()

    def start(self) -> None:
        """Begin a new life: no runs, no context, cold."""
        self.epoch = time.time_ns()
        self.events = CacheEvents(self.traits.events)
        self.cached: "collections.OrderedDict[Key, int]" = (
            collections.OrderedDict()
        )
        self.origins: t.Dict[Key, str] = {}
        self.running: t.List[Run] = []
        self.waiting: t.List[Run] = []
        self.cold_until = time.monotonic() + self.traits.cold_seconds
        self._arrivals: t.Deque[float] = collections.deque()
        self._numbers = itertools.count()

    def count_used(self) -> int:
        """Return the tokens of memory that runs hold."""
        held = {
            key: self.cached[key] for run in self.running for key in run.keys
        }
        return sum(held.values()) + sum(run.memory for run in self.running)

    def submit(self, prompt: Prompt, made: int = 0) -> Run:
        """Take a request of which some tokens were made elsewhere.

        Raises `Full`, and `ConnectionResetError` at a crash.
        """
        self._count_arrival()
        size = sum(tokens for _, tokens in prompt.parts) + prompt.own_tokens
        if self.loading or len(self.waiting) >= self.traits.queue:
            raise Full
        if (
            self._round(size + prompt.output_tokens)
            > self.traits.memory_tokens
        ):
            raise Full
        run = Run(prompt, next(self._numbers), made)
        self.waiting.append(run)
        return run

    def _count_arrival(self) -> None:
        now = time.monotonic()
        if now >= self.cold_until:
            return
        self._arrivals.append(now)
        while self._arrivals[0] <= now - 1.0:
            self._arrivals.popleft()
        if len(self._arrivals) > 2 * self.traits.cold_rate:
            self.crash()
            raise ConnectionResetError("a cold engine got too many requests")

    def crash(self) -> None:
        """Lose everything but the weights."""
        self.counters["crashes"] += 1
        for run in [*self.running, *self.waiting]:
            run.tokens.put_nowait(-1)
        self.start()

    def leave(self, run: Run) -> None:
        """Drop a request whose caller is gone, or that is finished."""
        for runs in (self.running, self.waiting):
            if run in runs:
                runs.remove(run)

    async def load(self, model: str, version: int) -> None:
        """Load weights, under which the runs go on; all context is dropped."""
        self.loading = True
        self.counters["loads"] += 1
        try:
            await asyncio.sleep(self.traits.load_seconds)
            for run in [*self.running, *self.waiting]:
                run.memory += sum(self.cached.get(key, 0) for key in run.keys)
                run.keys, run.outdated = [], True
            for key in list(self.cached):
                self._drop(key)
            self.weights[model] = version
        finally:
            self.loading = False

    async def work(self) -> None:
        """Run the batch until cancelled."""
        while True:
            self._admit()
            seconds = self._read_prompts()
            if self.running:
                seconds += self.traits.step_seconds
            await asyncio.sleep(seconds or self.traits.step_seconds)
            self._make_tokens()

    def _admit(self) -> None:
        self.waiting.sort(key=lambda run: (run.prompt.priority, run.number))
        while self.waiting and len(self.running) < self.traits.slots:
            run = self.waiting[0]
            run.keys = self._find_cached(run.prompt)
            found = sum(self.cached[key] for key in run.keys)
            size = sum(tokens for _, tokens in run.prompt.parts)
            unread = size + run.prompt.own_tokens + run.made - found
            self.running.append(run)
            if not self._make_room(self._round(unread)):
                self.running.remove(run)
                run.keys = []
                return
            self.waiting.pop(0)
            run.unread, run.memory = unread, self._round(unread)
            self.counters["found"] += found

    def _find_cached(self, prompt: Prompt) -> t.List[Key]:
        """Return the first parts that are all cached."""
        keys = list(
            itertools.takewhile(self.cached.__contains__, prompt.list_keys())
        )
        for key in keys:
            self.cached.move_to_end(key)
            self.counters["foreign"] += self.origins[key] != prompt.origin
        return keys

    def _make_room(self, tokens: int) -> bool:
        """Drop unused parts until some tokens are free."""
        used = {key for run in self.running for key in run.keys}
        for key in [key for key in self.cached if key not in used]:
            if self._count_free() >= tokens:
                break
            self._drop(key)
        return self._count_free() >= tokens

    def _count_free(self) -> int:
        taken = sum(self.cached.values()) + sum(r.memory for r in self.running)
        return self.traits.memory_tokens - taken

    def _read_prompts(self) -> float:
        """Read a chunk of prompts; return the seconds that it takes."""
        left = self.traits.chunk
        for run in self.running:
            count = min(left, run.unread)
            if not count:
                continue
            run.unread -= count
            left -= count
            if not run.unread:
                self._keep_parts(run)
        count = self.traits.chunk - left
        self.counters["read"] += count
        return count / self.traits.read_tokens_per_second

    def _keep_parts(self, run: Run) -> None:
        """Keep the shared parts of a prompt that was read."""
        if run.outdated:
            return
        for key, (_, tokens) in zip(run.prompt.list_keys(), run.prompt.parts):
            if key in run.keys:
                continue
            run.memory -= min(run.memory, tokens)
            run.keys.append(key)
            if key not in self.cached:
                self.hold(key, tokens, run.prompt.origin)

    def hold(self, key: Key, tokens: int, origin: str) -> None:
        """Keep a part that was read or fetched."""
        self.cached[key] = tokens
        self.origins[key] = origin
        self.events.note(True, key, tokens)

    def _drop(self, key: Key) -> None:
        self.events.note(False, key, self.cached.pop(key))

    def _make_tokens(self) -> None:
        for run in [run for run in self.running if not run.unread]:
            if run not in self.running:
                continue
            if not run.made % self.traits.block and not self._grow(run):
                continue
            run.made += 1
            run.tokens.put_nowait(run.made)
            if run.made >= run.prompt.output_tokens:
                self.leave(run)
                run.tokens.put_nowait(0)

    def _grow(self, run: Run) -> bool:
        """Give a run one more block; others may lose their place for it."""
        while not self._make_room(self.traits.block):
            victim = max(
                self.running, key=lambda r: (r.prompt.priority, r.number)
            )
            self.counters["preemptions"] += 1
            victim.preemptions += 1
            victim.memory, victim.keys = 0, []
            self.running.remove(victim)
            self.waiting.append(victim)
            if victim is run:
                return False
        run.memory += self.traits.block
        return True

    def _round(self, tokens: int) -> int:
        block = self.traits.block
        return math.ceil(tokens / block) * block
