"""Local views of the contents of the stores of cached context."""

import typing as t

import attrs

from sesamefold.entry import topology

# Age of the latest read above which a store's contents count as unknown.
MAX_VIEW_AGE_SECONDS = 2.4
# Time within which an engine must finish a fetch. It includes the time that
# the request waits for admission at the engine.
FETCH_TIMEOUT_SECONDS = 2.0
# Time after the detection of a store's restart in which nothing is saved
# there. Until then, hosts with an outdated view may still order fetches of
# parts that the store held before the restart. A part that was being written
# again meanwhile could be read half-written.
SAVE_DELAY_SECONDS = MAX_VIEW_AGE_SECONDS + FETCH_TIMEOUT_SECONDS + 0.4
# Share of a store's capacity up to which this host saves there. The rest is
# for parts that other hosts save before this host learns of them.
MAX_FILL_RATIO = 0.98


@attrs.frozen
class ContextEvent:
    """The addition of a part to a store, or its removal.

    A part is added when it has been written completely. `number` increases
    with each event of a boot epoch; it is 0 for the parts of a snapshot.
    """

    number: int
    added: bool
    salt: str
    part: str
    tokens: int


@attrs.frozen
class EventBatch:
    """Events that were read from one boot epoch of a store.

    They are those after `start_position` up to `position`. `gap` says whether
    events after `start_position` are missing because the store no longer keeps
    them. `engine_time` is the time of the engines' clock at the read in
    seconds, None if the store did not send it. If `is_snapshot` is set, the
    events are additions of all parts that the store holds.
    """

    boot_epoch: int
    start_position: int
    position: int
    gap: bool
    engine_time: t.Optional[float]
    events: t.Tuple[ContextEvent, ...]
    is_snapshot: bool = False


@attrs.define(eq=False)
class StoreView:
    """The contents of one store, as far as this host knows them.

    Instants are of `clock.read_time`. `read_at` is the start of the latest
    read, and `position` is where in the store's events the next one begins.
    `engine_clock_offset` is the engines' clock minus this host's, in seconds.
    `stored_parts` has the tokens of each part by (salt, part id). `slowness`
    is the moving average of the ratio of the measured to the expected time to
    the first token, over the requests that fetch from the store; nothing is
    fetched or saved there before `avoided_until`.
    """

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
        """Return whether the latest read is recent enough to rely on."""
        return (
            self.boot_epoch is not None
            and now - self.read_at <= MAX_VIEW_AGE_SECONDS
        )

    def may_save(self, now: float, tokens: int) -> bool:
        """Return whether a part of this many tokens may be saved here."""
        return (
            self.is_fresh(now)
            and now >= self.boot_epoch_seen_at + SAVE_DELAY_SECONDS
            and self.stored_tokens + tokens
            <= MAX_FILL_RATIO * self.store.capacity_tokens
        )

    def apply_batch(
        self, batch: EventBatch, started_at: float, now: float
    ) -> None:
        """Apply the events of a read that began at `started_at`."""
        self.set_boot_epoch(batch.boot_epoch, now)
        if batch.is_snapshot:
            self.clear()
        for event in batch.events:
            self._apply_event(event)
        self.position, self.read_at = batch.position, started_at
        if batch.engine_time is not None:
            self.engine_clock_offset = batch.engine_time - now

    def set_boot_epoch(self, boot_epoch: int, now: float) -> None:
        """Set the boot epoch; a new one discards the contents."""
        if boot_epoch != self.boot_epoch:
            self.boot_epoch, self.boot_epoch_seen_at = boot_epoch, now
            self.clear()

    def clear(self) -> None:
        """Discard the known contents."""
        self.stored_parts.clear()
        self.stored_tokens = 0

    def _apply_event(self, event: ContextEvent) -> None:
        key = (event.salt, event.part)
        self.stored_tokens -= self.stored_parts.pop(key, 0)
        if event.added:
            self.stored_parts[key] = event.tokens
            self.stored_tokens += event.tokens
