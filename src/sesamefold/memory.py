"""Bound on the bytes of messages that a process holds."""

import asyncio
import typing as t

import attrs

# Size up to which a message is not counted. Nearly all messages are smaller,
# and their number is bounded by that of the connections.
UNCOUNTED_BYTES = 16 * 1024
# Limit of a process whose memory is not known.
DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
# Share of a process's memory that the messages in one direction may take.
# Another share is the process without them, and parts of a message are copied
# while it is put together and sent.
MEMORY_SHARE = 0.125


def compute_limit(memory_bytes: float) -> int:
    """Return the limit in a process with this much memory, 0.0 if unknown.

    compute_limit(150e6) == 18_750_000
    """
    if not memory_bytes:
        return DEFAULT_LIMIT_BYTES
    return min(DEFAULT_LIMIT_BYTES, int(MEMORY_SHARE * memory_bytes))


@attrs.define(eq=False)
class Holding:
    """The bytes of one message that the process holds.

    `source` names the peer that sent it. `evict` gives the message up; None if
    it must not be given up, because its size is known or it is complete.
    """

    budget: "MemoryBudget"
    source: str
    evict: t.Optional[t.Callable[[], None]] = None
    size: int = 0
    closed: bool = False

    def resize(self, size: int) -> None:
        """Set the number of bytes that are held now.

        If the limit of the process is exceeded, messages are given up, which
        may be this one.
        """
        if size <= UNCOUNTED_BYTES:
            size = 0
        if size != self.size and not self.closed:
            self.budget.change(self, size)

    def fits(self, size: int) -> bool:
        """Return whether the message may have a size beside the others."""
        others = self.budget.held - self.size
        return size <= UNCOUNTED_BYTES or others + size <= self.budget.limit

    def keep(self) -> None:
        """Do not give the message up from now on."""
        self.evict = None

    async def wait_for_room(self) -> None:
        """Wait until more of a message that is kept may be read."""
        await self.budget.wait_for_room(self)

    def close(self) -> None:
        """Hold nothing any more."""
        if not self.closed:
            self.resize(0)
            self.closed = True
            self.budget.forget(self)

    def __enter__(self) -> "Holding":
        return self

    def __exit__(self, *exception: t.Any) -> None:
        self.close()


@attrs.define
class MemoryBudget:
    """The messages of a process, which together have about `limit` bytes.

    Beyond the limit, the largest message of the source that holds the most is
    given up, so that a peer that sends without end loses its own messages
    before those of others are hit. Messages that are kept wait instead, all
    but the one that has waited first, which goes on beyond the limit.

        budget = MemoryBudget(limit=20_000_000)
        with budget.open("10.0.0.1:80", connection.abort) as holding:
            holding.resize(len(body))
    """

    limit: int = DEFAULT_LIMIT_BYTES
    held: int = 0
    evictions: int = 0
    _sources: t.Dict[str, t.Dict[Holding, None]] = attrs.field(factory=dict)
    _waiting: t.Dict[Holding, t.Optional["asyncio.Future[None]"]] = (
        attrs.field(factory=dict)
    )

    def open(
        self, source: str, evict: t.Optional[t.Callable[[], None]] = None
    ) -> Holding:
        """Return a holding of a new message, without bytes yet."""
        return Holding(self, source, evict)

    def change(self, holding: Holding, size: int) -> None:
        """Set the counted size of a holding, and keep the limit."""
        self.held += size - holding.size
        holding.size = size
        holdings = self._sources.setdefault(holding.source, {})
        if size:
            holdings[holding] = None
        else:
            holdings.pop(holding, None)
            if not holdings:
                del self._sources[holding.source]
        while self.held > self.limit:
            largest = self._find_largest()
            if largest is None or largest.evict is None:
                break
            evict = largest.evict
            largest.close()
            self.evictions += 1
            evict()
        if self.held <= self.limit:
            self._wake()

    def _find_largest(self) -> t.Optional[Holding]:
        """Return the message to give up next, None if all are kept."""
        return max(
            (
                holding
                for holdings in self._sources.values()
                for holding in holdings
                if holding.evict is not None
            ),
            key=lambda holding: (
                sum(other.size for other in self._sources[holding.source]),
                holding.size,
            ),
            default=None,
        )

    async def wait_for_room(self, holding: Holding) -> None:
        """Wait while the limit is exceeded and others have waited longer."""
        self._waiting.setdefault(holding, None)
        while self.held > self.limit and holding is not next(
            iter(self._waiting)
        ):
            future = asyncio.get_running_loop().create_future()
            self._waiting[holding] = future
            await future

    def forget(self, holding: Holding) -> None:
        """Let the next message go on that waits for room."""
        if holding in self._waiting:
            del self._waiting[holding]
            self._wake()

    def _wake(self) -> None:
        for future in self._waiting.values():
            if future is not None and not future.done():
                future.set_result(None)
