"""Writes of journal buckets: batching, rate limits, retries and cache.

A bucket is one value of the key-value service. It holds the records of the
calls of one shard whose keys were issued in one period.
"""

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

# An outcome waits up to this long for an intent that can share its write.
# Without the delay most calls take two writes while a shard gets only a few
# calls a second.
OUTCOME_DELAY_SECONDS = 0.2
# First delay of the exponential backoff after a failed call to the key-value
# service.
RETRY_BASE_SECONDS = 0.05
# Longest delay of the backoff. 400 hosts that each retry once in 1 to 2 s
# send a recovering service at most 400 of its 2,000 reads a second.
MAX_RETRY_SECONDS = 2.0
# Most buckets that are cached between writes. They are enough for a control
# that owns all shards to record the outcomes of calls that took up to
# REQUEST_SECONDS without reading their buckets again.
MAX_CACHED_BUCKETS = 200
# Most memory of the cached buckets. The comment on defaults.DIRECTORY_ENTRIES
# shows how the memory of a control is divided.
MAX_CACHED_BYTES = 3 * 1024 * 1024
# Memory that a cached record takes beyond its encoded bytes: a record of 33
# bytes takes 154.
RECORD_OVERHEAD_BYTES = 121


@attrs.define(eq=False)
class _Bucket:
    """The last known state of a bucket and the changes to be written to it.

    `urgent` is set while a pending change must not wait for others to share
    its write.
    """

    key: str
    shard: int
    version: t.Optional[int] = None  # None: must be read before a write
    records: t.Dict[bytes, bytes] = attrs.field(factory=dict)
    reserved_bytes: int = 0  # size, including space reserved for outcomes
    pending_changes: t.List[journal_changes.Change] = attrs.field(factory=list)
    writer_task: t.Optional["asyncio.Task[None]"] = None
    next_write_time: float = 0.0  # earliest, seconds of the event loop
    urgent: asyncio.Event = attrs.field(factory=asyncio.Event)

    def load_entry(self, entry: t.Optional[keyvalue.Entry]) -> None:
        """Replace the state by an entry; None means there is no value."""
        self.records = (
            {} if entry is None else records_module.decode_bucket(entry.value)
        )
        self.version = 0 if entry is None else entry.version
        self.reserved_bytes = sum(
            map(records_module.compute_reserved_size, self.records.values())
        )

    def estimate_memory(self) -> int:
        """Return an upper estimate of the memory of the records, bytes."""
        return self.reserved_bytes + RECORD_OVERHEAD_BYTES * len(self.records)


class BucketWriter:
    """Writer and cache of buckets; one task at a time writes a bucket.

    `clock` returns Unix seconds. `write_interval_seconds` is the shortest
    time between two writes of one bucket. `stop` ends all tasks that
    `start_task` started.
    """

    def __init__(
        self,
        service: keyvalue.KeyValue,
        clock: t.Callable[[], float],
        write_interval_seconds: float,
    ) -> None:
        self.stopped = False
        self._keyvalue = service
        self._clock = clock
        self._write_interval_seconds = write_interval_seconds
        self._buckets: "collections.OrderedDict[str, _Bucket]" = (
            collections.OrderedDict()
        )
        self._next_shard_write_times = [0.0] * defaults.JOURNAL_SHARDS
        # Consecutive failed calls to the key-value service. While this is
        # not 0, only the holder of `_retry_lock` calls the service.
        self._consecutive_failures = 0
        self._retry_lock = asyncio.Lock()
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
        """Apply a change with the next write of its bucket.

        `deadline` is in Unix seconds. Returns the answer to the change, or
        raises it when it is an error. Raises
        `exceptions.JournalUnavailable` when the change is not known to be
        written by the deadline.
        """
        if self.stopped:
            raise exceptions.JournalUnavailable("the journal is stopped")
        bucket = self._buckets.get(bucket_key)
        if bucket is None:
            bucket = self._buckets[bucket_key] = _Bucket(bucket_key, shard)
        self._buckets.move_to_end(bucket_key)
        bucket.pending_changes.append(change)
        if isinstance(change, journal_changes.Begin):
            bucket.urgent.set()
        if bucket.writer_task is None:
            bucket.writer_task = self.start_task(self._write_changes(bucket))
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                return await change.result
        except TimeoutError:
            raise exceptions.JournalUnavailable(
                "the journal could not be written before the deadline"
            ) from None

    def start_task(self, coroutine: t.Coroutine) -> "asyncio.Task[t.Any]":
        """Run a coroutine as a task that `stop` ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Write pending changes, for PLATFORM_TIMEOUT at most, and end tasks.

        Tasks that are still running after that time are cancelled.
        """
        deadline = deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)
        # Tasks may start others: withdrawing an attempt starts the writer
        # task of its bucket.
        while self._tasks and not deadline.has_passed():
            await asyncio.wait(self._tasks, timeout=deadline.remaining())
        self.stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _write_changes(self, bucket: _Bucket) -> None:
        """Write the pending changes of a bucket until none are left."""
        changes: t.List[journal_changes.Change] = []
        try:
            while bucket.pending_changes:
                await self._wait_until_writable(bucket)
                changes = [
                    c for c in bucket.pending_changes if not c.result.done()
                ]
                bucket.pending_changes = []
                bucket.urgent.clear()
                if not changes:
                    break
                self._schedule_next_write(bucket)
                try:
                    await self._write_with_backoff(bucket, changes)
                    self._consecutive_failures = 0
                except (exceptions.PlatformError, TimeoutError) as error:
                    # The write may have taken effect. Reading the bucket
                    # before the next write shows whether it did.
                    bucket.version = None
                    bucket.pending_changes[:0] = changes
                    bucket.urgent.set()
                    if not isinstance(error, exceptions.VersionConflict):
                        self._consecutive_failures += 1
                changes = []
        except Exception as error:
            _log.exception(f"could not write journal bucket {bucket.key}")
            bucket.version = None
            failure = exceptions.JournalUnavailable(repr(error))
            for change in itertools.chain(changes, bucket.pending_changes):
                change.resolve(failure)
            bucket.pending_changes = []
        finally:
            bucket.writer_task = None
            self._evict_buckets()

    async def _wait_until_writable(self, bucket: _Bucket) -> None:
        """Wait until the rate limits allow a write of the bucket.

        Without an urgent change, first waits up to OUTCOME_DELAY_SECONDS for
        one.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(OUTCOME_DELAY_SECONDS):
                await bucket.urgent.wait()
        except TimeoutError:
            pass
        # Let calls that arrived at the same time share the first write.
        await asyncio.sleep(0)
        while True:
            at = max(
                bucket.next_write_time,
                self._next_shard_write_times[bucket.shard],
            )
            if at <= loop.time():
                return
            await asyncio.sleep(at - loop.time())

    def _schedule_next_write(self, bucket: _Bucket) -> None:
        """Set the earliest time of the next write of the bucket and shard."""
        now = asyncio.get_running_loop().time()
        bucket.next_write_time = now + self._write_interval_seconds
        # Keys may be up to 24 h old, so a shard has many buckets. This limit
        # keeps the write rate of all of them within twice that of one bucket.
        self._next_shard_write_times[bucket.shard] = (
            now + self._write_interval_seconds / 2
        )

    async def _write_with_backoff(
        self, bucket: _Bucket, changes: t.Sequence[journal_changes.Change]
    ) -> None:
        """Write the bucket; after failures, with backoff and one at a time.

        Raises `exceptions.PlatformError` and `TimeoutError`.
        """
        if not self._consecutive_failures:
            await self._write_bucket(bucket, changes)
            return
        async with self._retry_lock:
            if self._consecutive_failures:
                pause = RETRY_BASE_SECONDS * 2 ** min(
                    self._consecutive_failures - 1, 8
                )
                await asyncio.sleep(
                    min(pause, MAX_RETRY_SECONDS) * random.uniform(0.5, 1.0)
                )
            await self._write_bucket(bucket, changes)
            self._consecutive_failures = 0

    async def _write_bucket(
        self, bucket: _Bucket, changes: t.Sequence[journal_changes.Change]
    ) -> None:
        """Decide all changes, record them with one write and answer them.

        Raises `exceptions.PlatformError` and `TimeoutError`.
        """
        cached = bucket.version is not None
        if not cached:
            await self._read_bucket(bucket)
        # A change whose caller gave up during the backoff has been refused
        # and must not be recorded.
        changes = [change for change in changes if not change.result.done()]
        records, size, results = self._decide_changes(bucket, changes)
        if cached and any(result.needs_fresh_read for result in results):
            await self._read_bucket(bucket)
            records, size, results = self._decide_changes(bucket, changes)
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
            bucket.reserved_bytes = size
        for change, result in zip(changes, results):
            change.resolve(result.answer)

    async def _read_bucket(self, bucket: _Bucket) -> None:
        """Load the bucket from the key-value service.

        Raises `exceptions.PlatformError` and `TimeoutError`.
        """
        bucket.version = None
        async with asyncio.timeout(defaults.PLATFORM_TIMEOUT):
            entry = await self._keyvalue.get(
                bucket.key,
                deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
            )
        bucket.load_entry(entry)

    @staticmethod
    def _decide_changes(
        bucket: _Bucket, changes: t.Sequence[journal_changes.Change]
    ) -> t.Tuple[
        t.Dict[bytes, bytes], int, t.List[journal_changes.ChangeResult]
    ]:
        """Return the records to write, the new size and the results.

        Records are keyed by the id of their call. The size is in bytes and
        includes the space reserved for outcomes.
        """
        records: t.Dict[bytes, bytes] = {}
        size = bucket.reserved_bytes
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
                size += records_module.compute_reserved_size(result.record) - (
                    0
                    if data is None
                    else records_module.compute_reserved_size(data)
                )
        return records, size, results

    def _evict_buckets(self) -> None:
        """Drop the least recently used idle buckets beyond the limits."""
        idle = [b for b in self._buckets.values() if b.writer_task is None]
        count = len(self._buckets)
        total = sum(b.estimate_memory() for b in self._buckets.values())
        for bucket in idle:
            if count <= MAX_CACHED_BUCKETS and total <= MAX_CACHED_BYTES:
                break
            del self._buckets[bucket.key]
            count -= 1
            total -= bucket.estimate_memory()
