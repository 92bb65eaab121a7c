"""Journal buckets: shared and paced writes, and the cache."""

import asyncio
import collections
import itertools
import random
import typing as t

import attrs
import logbook

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import journal_changes
from sesamefold import keyvalue
from sesamefold import records as records_module

_log = logbook.Logger(__name__)

# Time that an outcome waits for the write of an intent, seconds. Otherwise
# most calls take two writes while a shard gets only a few calls a second.
OUTCOME_DELAY = 0.2
# Pauses after failed calls to the key-value service, seconds. With 400 hosts
# that each try once in 1 to 2 s, a service that comes back gets at most 400
# of its 2,000 reads a second.
RETRY_SECONDS = 0.05
RETRY_LIMIT_SECONDS = 2.0
# Buckets that stay in memory between writes. A control that owns all shards
# finds the outcomes of calls of up to REQUEST_SECONDS without a read.
MAX_CACHED_BUCKETS = 200
# Memory of these buckets, bytes; see defaults.DIRECTORY_ENTRIES for the share
# of control's memory.
MAX_CACHED_BYTES = 3 * 1024 * 1024
# Memory of a record beyond its own bytes: a record of 33 bytes was measured
# to take 154.
RECORD_OVERHEAD_BYTES = 121


@attrs.define(eq=False)
class _Bucket:
    """A bucket as last read or written, and the changes that wait for it."""

    key: str
    shard: int
    version: t.Optional[int] = None  # None: has to be read
    records: t.Dict[bytes, bytes] = attrs.field(factory=dict)
    size: int = 0  # bytes, with the room reserved for outcomes
    waiting: t.List[journal_changes.Change] = attrs.field(factory=list)
    task: t.Optional["asyncio.Task[None]"] = None
    next_write: float = 0.0  # event loop time
    urgent: asyncio.Event = attrs.field(factory=asyncio.Event)

    def load(self, entry: t.Optional[keyvalue.Entry]) -> None:
        self.records = (
            {} if entry is None else records_module.decode_bucket(entry.value)
        )
        self.version = 0 if entry is None else entry.version
        self.size = sum(map(records_module.weigh, self.records.values()))

    def estimate_memory(self) -> int:
        """Return the memory of the records, bytes."""
        return self.size + RECORD_OVERHEAD_BYTES * len(self.records)


class Buckets:
    """The buckets in use, each written by one task at a time.

    `clock` returns Unix seconds. `stop` ends all tasks that `start` started.
    """

    def __init__(
        self,
        service: keyvalue.KeyValue,
        clock: t.Callable[[], float],
        write_interval: float,
    ) -> None:
        self.stopped = False
        self._keyvalue = service
        self._clock = clock
        self._write_interval = write_interval
        self._buckets: "collections.OrderedDict[str, _Bucket]" = (
            collections.OrderedDict()
        )
        self._next_shard_write = [0.0] * defaults.JOURNAL_SHARDS
        # Failed calls to the key-value service in a row. While there are
        # any, only the holder of the lock calls it.
        self._failures = 0
        self._prober = asyncio.Lock()
        self._tasks: t.Set["asyncio.Task[t.Any]"] = set()

    def __len__(self) -> int:
        return len(self._buckets)

    async def submit(
        self,
        bucket_key: str,
        shard: int,
        change: journal_changes.Change,
        deadline: float,
    ) -> t.Any:
        """Hand a change to the next write of its bucket and wait for it."""
        if self.stopped:
            raise exceptions.JournalUnavailable("the journal is stopped")
        bucket = self._buckets.get(bucket_key)
        if bucket is None:
            bucket = self._buckets[bucket_key] = _Bucket(bucket_key, shard)
        self._buckets.move_to_end(bucket_key)
        bucket.waiting.append(change)
        if isinstance(change, journal_changes.Begin):
            bucket.urgent.set()
        if bucket.task is None:
            bucket.task = self.start(self._write_changes(bucket))
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                return await change.result
        except TimeoutError:
            raise exceptions.JournalUnavailable(
                "the journal could not be written before the deadline"
            ) from None

    def start(self, coroutine: t.Coroutine) -> "asyncio.Task[t.Any]":
        """Run a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Write what waits, for a bounded time, and end all tasks."""
        deadline = deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)
        # A withdrawal that waits here starts the task of its bucket.
        while self._tasks and not deadline.has_passed():
            await asyncio.wait(self._tasks, timeout=deadline.remaining())
        self.stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _write_changes(self, bucket: _Bucket) -> None:
        """Write the changes of a bucket, one write at a time."""
        changes: t.List[journal_changes.Change] = []
        try:
            while bucket.waiting:
                await self._pace(bucket)
                changes = [c for c in bucket.waiting if not c.result.done()]
                bucket.waiting = []
                bucket.urgent.clear()
                if not changes:
                    break
                self._reserve(bucket)
                try:
                    await self._write_or_probe(bucket, changes)
                    self._failures = 0
                except (exceptions.PlatformError, TimeoutError) as error:
                    # Whether the write took effect is settled by reading the
                    # bucket before the next one.
                    bucket.version = None
                    bucket.waiting[:0] = changes
                    bucket.urgent.set()
                    if not isinstance(error, exceptions.VersionConflict):
                        self._failures += 1
                changes = []
        except Exception as error:
            _log.exception(f"writing {bucket.key} failed")
            bucket.version = None
            failure = exceptions.JournalUnavailable(repr(error))
            for change in itertools.chain(changes, bucket.waiting):
                change.resolve(failure)
            bucket.waiting = []
        finally:
            bucket.task = None
            self._evict()

    async def _pace(self, bucket: _Bucket) -> None:
        """Wait until the bucket and its shard may be written again."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(OUTCOME_DELAY):
                await bucket.urgent.wait()
        except TimeoutError:
            pass
        # Lets the calls that arrived together share the first write.
        await asyncio.sleep(0)
        while True:
            at = max(bucket.next_write, self._next_shard_write[bucket.shard])
            if at <= loop.time():
                return
            await asyncio.sleep(at - loop.time())

    def _reserve(self, bucket: _Bucket) -> None:
        """Set the earliest time of the next write."""
        now = asyncio.get_running_loop().time()
        bucket.next_write = now + self._write_interval
        # Keys may be up to 24 h old, so a shard has many buckets; this keeps
        # their writes at no more than twice the rate of one bucket.
        self._next_shard_write[bucket.shard] = now + self._write_interval / 2

    async def _write_or_probe(
        self, bucket: _Bucket, changes: t.Sequence[journal_changes.Change]
    ) -> None:
        """Write, after a pause and one at a time during an outage."""
        if not self._failures:
            await self._write(bucket, changes)
            return
        async with self._prober:
            if self._failures:
                pause = RETRY_SECONDS * 2 ** min(self._failures - 1, 8)
                await asyncio.sleep(
                    min(pause, RETRY_LIMIT_SECONDS) * random.uniform(0.5, 1.0)
                )
            await self._write(bucket, changes)
            self._failures = 0

    async def _write(
        self, bucket: _Bucket, changes: t.Sequence[journal_changes.Change]
    ) -> None:
        """Decide all changes and record them with one write."""
        cached = bucket.version is not None
        if not cached:
            await self._read(bucket)
        # A begin that was given up during a pause must not be recorded.
        changes = [change for change in changes if not change.result.done()]
        records, size, results = self._decide(bucket, changes)
        if cached and any(result.needs_fresh_read for result in results):
            await self._read(bucket)
            records, size, results = self._decide(bucket, changes)
        if records:
            for change, result in zip(changes, results):
                change.may_be_recorded |= result.record is not None
            merged = {**bucket.records, **records}
            async with asyncio.timeout(defaults.PLATFORM_TIMEOUT):
                bucket.version = await self._keyvalue.put(
                    bucket.key,
                    records_module.encode_bucket(merged.values()),
                    bucket.version,
                    deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
                )
            bucket.records = merged
            bucket.size = size
        for change, result in zip(changes, results):
            change.resolve(result.answer)

    async def _read(self, bucket: _Bucket) -> None:
        bucket.version = None
        async with asyncio.timeout(defaults.PLATFORM_TIMEOUT):
            entry = await self._keyvalue.get(
                bucket.key,
                deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
            )
        bucket.load(entry)

    @staticmethod
    def _decide(
        bucket: _Bucket, changes: t.Sequence[journal_changes.Change]
    ) -> t.Tuple[
        t.Dict[bytes, bytes], int, t.List[journal_changes.ChangeResult]
    ]:
        """Return the records to write, the new size and all results."""
        records: t.Dict[bytes, bytes] = {}
        size = bucket.size
        results = []
        for change in changes:
            data = records.get(change.id, bucket.records.get(change.id))
            current = (
                None if data is None else records_module.Record.decode(data)
            )
            result = change.decide(current, size)
            results.append(result)
            if result.record is not None:
                records[change.id] = result.record
                size += records_module.weigh(result.record) - (
                    0 if data is None else records_module.weigh(data)
                )
        return records, size, results

    def _evict(self) -> None:
        """Drop the least recently used buckets beyond the bounds."""
        idle = [b for b in self._buckets.values() if b.task is None]
        count = len(self._buckets)
        total = sum(b.estimate_memory() for b in self._buckets.values())
        for bucket in idle:
            if count <= MAX_CACHED_BUCKETS and total <= MAX_CACHED_BYTES:
                break
            del self._buckets[bucket.key]
            count -= 1
            total -= bucket.estimate_memory()
