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
# seconds. Until then hosts may fetch parts that it had before,
# and must not find new ones that are still being written.
SAVE_DELAY_SECONDS = FRESH_SECONDS + FETCH_SECONDS + 0.4
# Share of a store's capacity up to which this host saves there; what other
# hosts save meanwhile is not known yet.
FULL_SHARE = 0.98


@attrs.frozen
class ContextEvent:
    """A part that a store has completely, or no longer.

    The numbers of the events of one boot epoch grow; parts of a list have 0.
    """

    number: int
    added: bool
    salt: str
    part: str
    tokens: int


@attrs.frozen
class EventBatch:
    """Events of one boot epoch of a store after `since` and up to `position`.

    `gap` says that older events are missing, `engine_time` is the time of the
    engines' clock in seconds. If `is_snapshot`, the events are all contents.
    """

    boot_epoch: int
    since: int
    position: int
    gap: bool
    engine_time: t.Optional[float]
    events: t.Tuple[ContextEvent, ...]
    is_snapshot: bool = False


@attrs.define(eq=False)
class StoreView:
    """What this host knows of one store."""

    store: topology.ContextStore
    boot_epoch: t.Optional[int] = None
    boot_epoch_seen_at: float = float("inf")
    read_at: float = float("-inf")
    position: int = 0
    engine_clock_offset: t.Optional[float] = None
    stored_parts: t.Dict[t.Tuple[str, str], int] = attrs.field(factory=dict)
    stored_tokens: int = 0
    slowness: float = 1.0
    avoided_until: float = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Tell whether the contents are known."""
        return (
            self.boot_epoch is not None and now - self.read_at <= FRESH_SECONDS
        )

    def may_save(self, now: float, tokens: int) -> bool:
        """Tell whether a part can be saved here."""
        return (
            self.is_fresh(now)
            and now >= self.boot_epoch_seen_at + SAVE_DELAY_SECONDS
            and self.stored_tokens + tokens
            <= FULL_SHARE * self.store.capacity_tokens
        )

    def take(self, batch: EventBatch, started: float, now: float) -> None:
        """Take the events of a read that began at `started`."""
        self.set_boot_epoch(batch.boot_epoch, now)
        if batch.is_snapshot:
            self.clear()
        for event in batch.events:
            self._apply(event)
        self.position, self.read_at = batch.position, started
        if batch.engine_time is not None:
            self.engine_clock_offset = batch.engine_time - now

    def set_boot_epoch(self, boot_epoch: int, now: float) -> None:
        """Set the boot epoch; the contents of an earlier one are gone."""
        if boot_epoch != self.boot_epoch:
            self.boot_epoch, self.boot_epoch_seen_at = boot_epoch, now
            self.clear()

    def clear(self) -> None:
        """Forget the contents."""
        self.stored_parts.clear()
        self.stored_tokens = 0

    def _apply(self, event: ContextEvent) -> None:
        key = (event.salt, event.part)
        self.stored_tokens -= self.stored_parts.pop(key, 0)
        if event.added:
            self.stored_parts[key] = event.tokens
            self.stored_tokens += event.tokens
