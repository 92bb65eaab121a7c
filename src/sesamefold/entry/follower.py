"""Task that follows the platform store and keeps the catalog current."""

import asyncio
import random
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import decisions
from sesamefold.entry import fleet_relay
from sesamefold.entry import operator_relay
from sesamefold.entry import store
from sesamefold import exceptions

# Longest wait of a watch. Each answer confirms the configuration, and API keys
# must be confirmed every 5 s.
WATCH_TIMEOUT_SECONDS = 1.5
# Interval between watches, as a share of the time after which a draining
# server must receive no new request. Servers report continuously, so that each
# watch is answered at once, and calls to the store are paid for.
WATCH_INTERVAL_SHARE = 0.32
# Interval between watches during startup. Hosts start together, and each finds
# only those that started before it.
START_WATCH_INTERVAL_SECONDS = 0.4
# Duration of the startup phase, from the first read of the store.
STARTUP_SECONDS = 3.0
# Delay before the next call after a failed one.
RETRY_INTERVAL_SECONDS = 0.25
# Maximum random delay of the first read, because hosts start together.
START_JITTER_SECONDS = 0.1


class RecordListener(t.Protocol):
    """Receiver of the records that the entry hosts write themselves."""

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Replace all records by those of a complete read."""

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Apply changes of records; all other records remain."""


@attrs.define
class StoreFollower:
    """Follows the records of the operator, the servers and the hosts.

    `watch_interval_seconds` is the time between two watches. The catalog
    receives the records of the operator and the servers, the listeners those
    that the entry hosts write themselves. While the relay is active, the
    operator's records come from it; without a relay, always from the store.
    """

    source: store.RecordSource
    watch_interval_seconds: float
    catalog: catalogs.Catalog
    listeners: t.Sequence[RecordListener]
    log: decisions.DecisionLog
    relay: t.Optional[operator_relay.OperatorRelay] = None
    fleet: t.Optional[fleet_relay.FleetRelay] = None
    _scope: store.Scope = store.Scope.ALL
    _unreachable: bool = False
    _started_at: float = float("-inf")

    async def run(self) -> None:
        """Read all records, then follow their changes until cancelled."""
        if self.fleet is not None:
            self.fleet.listener = self
        await asyncio.sleep(random.uniform(0.0, START_JITTER_SECONDS))
        revision: t.Optional[int] = None
        self._started_at = self.catalog.read_time()
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    started = self.catalog.read_time()
                    revision = await self._watch(revision)
                    if revision is not None:
                        await self._wait_for_next_watch(started)
                        revision = self._get_relayed_revision(revision)
            except exceptions.HistoryLost:
                self.log.write("history_lost", after=revision)
                revision = None
            except exceptions.PlatformError as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                if revision is not None:
                    # Only this host may have lost the store.
                    await self._wait_while_relayed(0.0)
                    revision = self._get_relayed_revision(revision)

    def _choose_scope(self) -> store.Scope:
        if self.relay is not None and self.relay.update_activity():
            return store.Scope.FLEET
        return store.Scope.ALL

    async def _read_all(self) -> int:
        """Read all records; return a revision that a watch may begin at."""
        started = self.catalog.read_time()
        if self.fleet is not None:
            # Changes that are relayed meanwhile would be undone.
            self.fleet.revision = None
        fleet = await self.source.read_all(store.Scope.FLEET)
        self._record_success()
        self.catalog.apply_snapshot(fleet, store.Scope.FLEET)
        for listener in self.listeners:
            listener.apply_snapshot(fleet.host_record_changes)
        # The members, which decide on the scope, are known from here on.
        self._scope = self._choose_scope()
        if self._scope is store.Scope.ALL:
            await self._read_operator_records()
        elif self.fleet is not None:
            self.fleet.record_read(fleet.revision, started)
        return fleet.revision

    async def _read_operator_records(self) -> None:
        started = self.catalog.read_time()
        batch = await self.source.read_all(store.Scope.OPERATOR)
        self._record_success()
        self.catalog.apply_snapshot(batch, store.Scope.OPERATOR)
        if self.relay is not None:
            self.relay.records.apply_snapshot(
                batch.operator_records, batch.revision
            )
        self.catalog.confirm(started)

    async def _watch(self, revision: int) -> t.Optional[int]:
        """Apply the next changes; return their revision, None to read all."""
        previous_scope, self._scope = self._scope, self._choose_scope()
        if (previous_scope, self._scope) == (
            store.Scope.FLEET,
            store.Scope.ALL,
        ):
            # The operator's records may be of another revision.
            return None
        started = self.catalog.read_time()
        batch = await self.source.watch(
            revision,
            (
                fleet_relay.READER_WATCH_SECONDS
                if self._reads_for_others()
                else WATCH_TIMEOUT_SECONDS
            ),
            self._scope,
        )
        self._record_success()
        if self._is_outdated(batch):
            return batch.revision
        self._apply(batch)
        if self._scope is store.Scope.ALL:
            if self.relay is not None:
                self.relay.records.apply_changes(
                    batch.operator_records, batch.revision
                )
            self.catalog.confirm(started, complete=True)
        if self.fleet is not None:
            self.fleet.record_read(batch.revision, started)
            if self._reads_for_others():
                self.fleet.send(revision, batch, started)
        return batch.revision

    def _apply(self, batch: changes.Batch) -> None:
        self.catalog.apply_changes(batch)
        for listener in self.listeners:
            listener.apply_changes(batch.host_record_changes)

    async def _wait_for_next_watch(self, started: float) -> None:
        """Wait until the store has to be watched again."""
        interval = self.watch_interval_seconds
        if started < self._started_at + STARTUP_SECONDS:
            interval = START_WATCH_INTERVAL_SECONDS
        if self.fleet is None or self._scope is store.Scope.ALL:
            await asyncio.sleep(interval)
        elif self._reads_for_others():
            await asyncio.sleep(fleet_relay.READ_INTERVAL_SECONDS)
        else:
            await self._wait_while_relayed(interval)

    def _reads_for_others(self) -> bool:
        """Return whether this host passes on what it reads."""
        return (
            self.fleet is not None
            and self._scope is store.Scope.FLEET
            and self.fleet.is_reader()
        )

    async def _wait_while_relayed(self, interval: float) -> None:
        """Wait while a reader passes on changes, for `interval` at least."""
        if (
            self.fleet is not None
            and self._scope is store.Scope.FLEET
            and not self.fleet.is_reader()
        ):
            await self.fleet.wait_until_stale(
                max(interval, fleet_relay.STALE_SECONDS)
            )

    def apply_relayed(self, batch: changes.Batch) -> None:
        """Apply changes that another host has read from the store."""
        self._record_success()
        self._apply(batch)

    def _is_outdated(self, batch: changes.Batch) -> bool:
        """Return whether later changes were relayed during a watch.

        The watch's changes are among them, and to apply them again would undo
        later ones.
        """
        return (
            self._scope is store.Scope.FLEET
            and self.fleet is not None
            and (self.fleet.revision or 0) > batch.revision
        )

    def _get_relayed_revision(self, revision: int) -> int:
        """Return the revision up to which all changes are applied."""
        if self.fleet is None or self._scope is store.Scope.ALL:
            return revision
        return max(revision, self.fleet.revision or 0)

    def _record_failure(self, error: exceptions.PlatformError) -> None:
        if not self._unreachable:
            self._unreachable = True
            self.log.write("store_lost", reason=error.message)

    def _record_success(self) -> None:
        was_unreachable, self._unreachable = self._unreachable, False
        self.catalog.record_store_contact(after_failure=was_unreachable)
        if was_unreachable:
            self.log.write("store_regained")
