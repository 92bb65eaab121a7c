"""What a host knows of the contents of a store of cached context."""

import typing as t

import attrs

from sesamefold.entry import topology

# Age of the latest read from which a store's contents count as unknown,
# seconds.
FRESH_SECONDS = 2.4
# Time within which an engine must have finished a fetch, seconds. It covers
# the wait for admission.
FETCH_SECONDS = 2.0
# Time after a store's restart was seen in which nothing is saved there,
# seconds. Until then hosts may order fetches of parts that it held before,
# and must not find new ones that are still being written.
SAVE_DELAY = FRESH_SECONDS + FETCH_SECONDS + 0.4
# Share of a store's capacity up to which this host saves there; what other
# hosts save meanwhile is not known yet.
FULL_SHARE = 0.98


@attrs.frozen
class ContextEvent:
    """A part that a store has completely, or no longer.

    The numbers of the events of one life grow; parts of a list have 0.
    """

    number: int
    added: bool
    salt: str
    part: str
    tokens: int


@attrs.frozen
class EventBatch:
    """Events of one life of a store, after `since` and up to `position`.

    `gap` tells that older events are missing, `clock_at` is the time of the
    engines' clock in seconds. If `complete`, the events are all contents.
    """

    life: int
    since: int
    position: int
    gap: bool
    clock_at: t.Optional[float]
    events: t.Tuple[ContextEvent, ...]
    complete: bool = False


@attrs.define(eq=False)
class StoreView:
    """What this host knows of one store."""

    site: topology.CacheStore
    life: t.Optional[int] = None
    life_seen_at: float = float("inf")
    read_at: float = float("-inf")
    position: int = 0
    clock_offset: t.Optional[float] = None
    held: t.Dict[t.Tuple[str, str], int] = attrs.field(factory=dict)
    held_tokens: int = 0
    slowness: float = 1.0
    avoided_until: float = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Tell whether the contents are known."""
        return self.life is not None and now - self.read_at <= FRESH_SECONDS

    def may_save(self, now: float, tokens: int) -> bool:
        """Tell whether a part can be saved here."""
        return (
            self.is_fresh(now)
            and now >= self.life_seen_at + SAVE_DELAY
            and self.held_tokens + tokens
            <= FULL_SHARE * self.site.capacity_tokens
        )

    def take(self, batch: EventBatch, started: float, now: float) -> None:
        """Take the events of a read that began at `started`."""
        self.note_life(batch.life, now)
        if batch.complete:
            self.clear()
        for event in batch.events:
            self._apply(event)
        self.position, self.read_at = batch.position, started
        if batch.clock_at is not None:
            self.clock_offset = batch.clock_at - now

    def note_life(self, life: int, now: float) -> None:
        """Note the store's life; the contents of an earlier one are gone."""
        if life != self.life:
            self.life, self.life_seen_at = life, now
            self.clear()

    def clear(self) -> None:
        """Forget the contents."""
        self.held.clear()
        self.held_tokens = 0

    def _apply(self, event: ContextEvent) -> None:
        key = (event.salt, event.part)
        self.held_tokens -= self.held.pop(key, 0)
        if event.added:
            self.held[key] = event.tokens
            self.held_tokens += event.tokens
