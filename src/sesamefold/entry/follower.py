"""Tasks that keep the catalog current with the platform's store."""

import asyncio
import random
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import decisions
from sesamefold.entry import store
from sesamefold import exceptions

# Longest wait of a watch on the operator's records, seconds. Its answers
# confirm the configuration; keys must be confirmed every 5 s.
OPERATIONS_WAIT = 1.5
# Longest wait of a watch on the servers, seconds.
SERVERS_WAIT = 2.0
# Time between two watches on the servers, seconds. They report all the time,
# so each watch is answered at once, and calls are paid for. A leaving server
# must get nothing after 2.5 s.
SERVERS_PACE = 1.0
# Time between two calls to a store that fails, seconds.
RETRY_INTERVAL = 0.25
# Longest random delay of the first read, seconds: hosts start together.
START_SPREAD = 0.1


@attrs.define
class Follower:
    """Follows one topic of the store."""

    source: store.Source
    topic: store.Topic
    catalog: catalogs.Catalog
    log: decisions.DecisionLog
    _away: bool = False

    async def run(self) -> None:
        """Read everything, then each change, until cancelled."""
        await asyncio.sleep(random.uniform(0.0, START_SPREAD))
        revision: t.Optional[int] = None
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
            except exceptions.HistoryLost:
                self.log.write(
                    "history_lost", topic=self.topic.value, after=revision
                )
                revision = None
            except exceptions.PlatformError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_INTERVAL)

    async def _read_all(self) -> int:
        started = self.catalog.read_time()
        batch = await self.source.read_all(self.topic)
        after_failure = self._note_success()
        if self.topic is store.Topic.OPERATIONS:
            self.catalog.replace_operations(batch)
            self.catalog.confirm(started)
        else:
            self.catalog.note_servers_contact(after_failure)
            self.catalog.replace_servers(batch)
        return batch.revision

    async def _watch(self, revision: int) -> int:
        operations = self.topic is store.Topic.OPERATIONS
        wait = OPERATIONS_WAIT if operations else SERVERS_WAIT
        started = self.catalog.read_time()
        batch = await self.source.watch(self.topic, revision, wait)
        after_failure = self._note_success()
        if operations:
            self.catalog.apply(batch)
            self.catalog.confirm(started)
        else:
            self.catalog.note_servers_contact(after_failure)
            self.catalog.apply(batch)
            await asyncio.sleep(SERVERS_PACE)
        return batch.revision

    def _note_failure(self, error: exceptions.PlatformError) -> None:
        if not self._away:
            self._away = True
            self.log.write(
                "store_lost", topic=self.topic.value, reason=error.message
            )

    def _note_success(self) -> bool:
        """Return whether the call before this one failed."""
        was_away, self._away = self._away, False
        if was_away:
            self.log.write("store_regained", topic=self.topic.value)
        return was_away
