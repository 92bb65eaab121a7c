"""Task that follows the platform store and keeps the catalog current."""

import asyncio
import random
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import decisions
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
    that the entry hosts write themselves.
    """

    source: store.RecordSource
    watch_interval_seconds: float
    catalog: catalogs.Catalog
    listeners: t.Sequence[RecordListener]
    log: decisions.DecisionLog
    _unreachable: bool = False
    _started_at: float = float("-inf")

    async def run(self) -> None:
        """Read all records, then follow their changes until cancelled."""
        await asyncio.sleep(random.uniform(0.0, START_JITTER_SECONDS))
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
                self._record_failure(error)
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _read_all(self) -> int:
        started = self.catalog.read_time()
        batch = await self.source.read_all()
        self._record_success()
        self.catalog.apply_snapshot(batch)
        for listener in self.listeners:
            listener.apply_snapshot(batch.host_record_changes)
        self.catalog.confirm(started)
        return batch.revision

    async def _watch(self, revision: int) -> int:
        started = self.catalog.read_time()
        batch = await self.source.watch(revision, WATCH_TIMEOUT_SECONDS)
        self._record_success()
        self.catalog.apply_changes(batch)
        for listener in self.listeners:
            listener.apply_changes(batch.host_record_changes)
        self.catalog.confirm(started)
        starting = started < self._started_at + STARTUP_SECONDS
        await asyncio.sleep(
            START_WATCH_INTERVAL_SECONDS
            if starting
            else self.watch_interval_seconds
        )
        return batch.revision

    def _record_failure(self, error: exceptions.PlatformError) -> None:
        if not self._unreachable:
            self._unreachable = True
            self.log.write("store_lost", reason=error.message)

    def _record_success(self) -> None:
        was_unreachable, self._unreachable = self._unreachable, False
        self.catalog.record_store_contact(after_failure=was_unreachable)
        if was_unreachable:
            self.log.write("store_regained")
