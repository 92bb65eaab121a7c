"""Task that keeps the catalog current with the platform's store."""

import asyncio
import random
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import decisions
from sesamefold.entry import store
from sesamefold import exceptions

# Longest wait of a watch, seconds. Its answers confirm the configuration;
# keys must be confirmed every 5 s.
WATCH_TIMEOUT_SECONDS = 1.5
# Time between two watches, as a share of the time after which a leaving
# server must get nothing. Servers report all the time, so each watch is
# answered at once, and calls are paid for.
WATCH_INTERVAL_SHARE = 0.32
# The same while this host is young, seconds, and how long it is, seconds.
# Hosts start together, and each finds only those that started before it.
START_PACE = 0.4
START_SECONDS = 3.0
# Time between two calls to a store that fails, seconds.
RETRY_INTERVAL = 0.25
# Longest random delay of the first read, seconds: hosts start together.
START_SPREAD = 0.1


class RecordListener(t.Protocol):
    """A part that keeps some of the entry hosts' own records."""

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Take the complete set of records."""

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Take changes of the records; all others are still there."""


@attrs.define
class StoreFollower:
    """Follows the records of the operator, the servers and the hosts.

    `pace_seconds` is the time between two watches. The listeners get the
    entry hosts' own records.
    """

    source: store.RecordSource
    pace_seconds: float
    catalog: catalogs.Catalog
    listeners: t.Sequence[RecordListener]
    log: decisions.DecisionLog
    _away: bool = False
    _started_at: float = float("-inf")

    async def run(self) -> None:
        """Read everything, then each change, until cancelled."""
        await asyncio.sleep(random.uniform(0.0, START_SPREAD))
        revision: t.Optional[int] = None
        self._started_at = self.catalog.read_time()
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
            except exceptions.HistoryLost:
                self.log.write("history_lost", after=revision)
                revision = None
            except exceptions.PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_INTERVAL)

    async def _read_all(self) -> int:
        started = self.catalog.read_time()
        batch = await self.source.read_all()
        self._note_success()
        self.catalog.apply_snapshot(batch)
        for listener in self.listeners:
            listener.apply_snapshot(batch.host_record_changes)
        self.catalog.confirm(started)
        return batch.revision

    async def _watch(self, revision: int) -> int:
        started = self.catalog.read_time()
        batch = await self.source.watch(revision, WATCH_TIMEOUT_SECONDS)
        self._note_success()
        self.catalog.apply_changes(batch)
        for listener in self.listeners:
            listener.apply_changes(batch.host_record_changes)
        self.catalog.confirm(started)
        young = started < self._started_at + START_SECONDS
        await asyncio.sleep(START_PACE if young else self.pace_seconds)
        return batch.revision

    def _note_failure(self, error: exceptions.PlatformError) -> None:
        if not self._away:
            self._away = True
            self.log.write("store_lost", reason=error.message)

    def _note_success(self) -> None:
        was_away, self._away = self._away, False
        self.catalog.record_store_contact(after_failure=was_away)
        if was_away:
            self.log.write("store_regained")
