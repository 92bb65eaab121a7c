"""Intents and outcomes of non-idempotent calls."""

import asyncio
import collections
import enum
import hashlib
import itertools
import random
import struct
import time
import typing as t
import uuid

import attrs
import grpc
import logbook

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import expiry
from sesamefold import keyvalue
from sesamefold import peers as peers_module
from sesamefold import rendezvous
from sesamefold.wire import control_pb2

_log = logbook.Logger(__name__)

PREFIX = expiry.PREFIX

# Messages of EXPIRED replies. A call with an old key may have run before; a
# key from the future is refused by every control, so its call has not run.
KEY_OLD = "the Idempotency-Key is older than 24 hours"
KEY_FUTURE = "the Idempotency-Key is from the future"

# Bounds of one begin and one finish, seconds. A begin that is not decided by
# then is refused, which also bounds how late a paused writer answers RUN.
BEGIN_SECONDS = 4.0
FINISH_SECONDS = 30.0
# Time that an outcome waits for the write of an intent, seconds. Otherwise
# most calls take two writes while a shard gets only a few calls a second.
OUTCOME_DELAY = 0.2
# Time that the shard's owner gets before a control writes by itself, seconds.
FORWARD_SECONDS = 1.0
# An owner that did not answer is not asked again for this long, seconds;
# otherwise each call of its shard would wait for FORWARD_SECONDS.
OWNER_RETRY_SECONDS = 2.0
# Pauses after failed calls to the key-value service, seconds. With 400 hosts
# that each try once in 1 to 2 s, a service that comes back gets at most 400
# of its 2,000 reads a second.
RETRY_SECONDS = 0.05
RETRY_LIMIT_SECONDS = 2.0

# Bodies are kept until a bucket has this size; the rest of the value stays
# free for records without a body.
BODIES_BYTES = defaults.MAX_VALUE_BYTES // 2
# Largest value that is written; leaves room for keys and framing.
BUCKET_BYTES = defaults.MAX_VALUE_BYTES - 4096
# Buckets and bytes of buckets that stay in memory between writes. A record of
# 33 bytes takes 154 bytes of memory, and control has about 15 MB for all of
# its state.
CACHED_BUCKETS = 32
CACHED_BYTES = 2 * 1024 * 1024

_FORMAT = b"\x01"
_ID_BYTES = 16
_DIGEST_BYTES = 8
_HEAD = struct.Struct(f"<{_ID_BYTES}s{_DIGEST_BYTES}s{_DIGEST_BYTES}sB")
_OUTCOME = struct.Struct("<HBH")
_TRUNCATED = 0x80
# Every record reserves room for an outcome without a body, so a call that was
# started can always be finished.
_RESERVED_BYTES = _HEAD.size + _OUTCOME.size
# Stored as an index; index 0 stands for a type spelled out in the record.
_CONTENT_TYPES = (
    "",
    "application/json",
    "application/json; charset=utf-8",
    "text/plain",
    "text/plain; charset=utf-8",
    "application/octet-stream",
    "text/html; charset=utf-8",
)
_MAX_TYPE_BYTES = 255

_RUN = control_pb2.BeginCallReply.RUN
_RECORDED = control_pb2.BeginCallReply.RECORDED
_UNKNOWN = control_pb2.BeginCallReply.UNKNOWN
_MISMATCH = control_pb2.BeginCallReply.MISMATCH
_EXPIRED = control_pb2.BeginCallReply.EXPIRED

# Refusals of an owner that another control would repeat. After any other
# error of the owner the control writes by itself.
_FINAL_ERRORS: t.Dict[int, t.Type[exceptions.SesamefoldError]] = {
    error.code: error
    for error in (exceptions.KeyMalformed, exceptions.JournalFull)
}


class State(enum.IntEnum):
    """State of a record."""

    STARTED = 1
    FINISHED = 2
    NOT_RUN = 3


@attrs.frozen
class Record:
    """One call; `id`, `request` and `attempt` are digests."""

    id: bytes
    request: bytes
    attempt: bytes
    state: State
    outcome: t.Optional[control_pb2.Outcome] = None

    def encode(self) -> bytes:
        """Return the record as stored in a bucket."""
        head = _HEAD.pack(self.id, self.request, self.attempt, self.state)
        if self.outcome is None:
            return head
        content_type = self.outcome.content_type
        known = content_type in _CONTENT_TYPES
        index = _CONTENT_TYPES.index(content_type) if known else 0
        text = b"" if known and index else content_type.encode()
        return b"".join(
            (
                head,
                _OUTCOME.pack(
                    self.outcome.status,
                    index | (_TRUNCATED if self.outcome.truncated else 0),
                    len(self.outcome.body),
                ),
                b"" if index else bytes((len(text),)) + text,
                self.outcome.body,
            )
        )

    @classmethod
    def decode(cls, data: bytes) -> "Record":
        """Return the record that `encode` wrote."""
        head = _HEAD.unpack_from(data)
        state = State(head[3])
        if state is not State.FINISHED:
            return cls(*head[:3], state)
        status, flags, length = _OUTCOME.unpack_from(data, _HEAD.size)
        index = flags & ~_TRUNCATED
        offset = _RESERVED_BYTES
        content_type = _CONTENT_TYPES[index]
        if not index:
            end = offset + 1 + data[offset]
            content_type = data[offset + 1 : end].decode()
            offset = end
        return cls(
            *head[:3],
            state,
            control_pb2.Outcome(
                status=status,
                content_type=content_type,
                body=data[offset : offset + length],
                truncated=bool(flags & _TRUNCATED),
            ),
        )


def _measure_record(data: bytes, offset: int) -> int:
    """Return the length of the record at `offset` of a bucket."""
    if data[offset + _HEAD.size - 1] != State.FINISHED:
        return _HEAD.size
    _, flags, length = _OUTCOME.unpack_from(data, offset + _HEAD.size)
    end = _RESERVED_BYTES
    if not flags & ~_TRUNCATED:
        end += 1 + data[offset + end]
    return end + length


def encode_bucket(records: t.Iterable[bytes]) -> bytes:
    """Return the value of a bucket of encoded records."""
    return _FORMAT + b"".join(records)


def decode_bucket(value: bytes) -> t.Dict[bytes, bytes]:
    """Return the encoded records of a bucket by id."""
    if value[:1] != _FORMAT:
        raise exceptions.InternalError("a journal bucket has another format")
    records: t.Dict[bytes, bytes] = {}
    offset = 1
    while offset < len(value):
        end = offset + _measure_record(value, offset)
        records[value[offset : offset + _ID_BYTES]] = value[offset:end]
        offset = end
    return records


def parse_key(key: str) -> uuid.UUID:
    """Return an Idempotency-Key; raises `exceptions.KeyMalformed`."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        raise exceptions.KeyMalformed(
            "the Idempotency-Key is not a UUID of version 7"
        )
    return parsed


def read_issue_time(key: uuid.UUID) -> float:
    """Return the issue time of a UUIDv7, Unix seconds."""
    return (key.int >> 80) / 1000


def _digest(data: bytes, size: int = _DIGEST_BYTES) -> bytes:
    return hashlib.blake2b(data, digest_size=size).digest()


@attrs.frozen
class _Verdict:
    """Result of a change against the current record of its call.

    `record` is to be written before `answer` is given. A `doubtful` verdict
    may differ when the bucket is read again.
    """

    answer: t.Any
    record: t.Optional[bytes] = None
    doubtful: bool = False


@attrs.define(eq=False)
class _Change:
    """A change that waits for the next write of its bucket."""

    id: bytes
    attempt: bytes
    result: "asyncio.Future[t.Any]"
    # Set before the first write that may have recorded this change, here or
    # at the shard's owner.
    sent: bool = False

    def resolve(self, answer: t.Any) -> None:
        if self.result.done():
            return
        if isinstance(answer, Exception):
            self.result.set_exception(answer)
        else:
            self.result.set_result(answer)


@attrs.define(eq=False)
class _Begin(_Change):
    """Records an intent."""

    request: bytes = attrs.field(default=b"", kw_only=True)

    def decide(self, current: t.Optional[Record], size: int) -> _Verdict:
        if current is None:
            if size + _RESERVED_BYTES > BUCKET_BYTES:
                return _Verdict(
                    exceptions.JournalFull(
                        "the journal has no room for calls of this period"
                    )
                )
        elif current.request != self.request:
            return _Verdict(_reply(_MISMATCH))
        elif current.state is State.FINISHED:
            return _Verdict(_reply(_RECORDED, current.outcome))
        elif current.attempt == self.attempt:
            # A record that this begin wrote, and whose answer was lost. An
            # attempt that is already `not_run`, or that another begin
            # recorded, never runs.
            own = self.sent and current.state is State.STARTED
            return _Verdict(_reply(_RUN if own else _UNKNOWN))
        elif current.state is State.STARTED:
            return _Verdict(_reply(_UNKNOWN), doubtful=True)
        record = Record(self.id, self.request, self.attempt, State.STARTED)
        return _Verdict(_reply(_RUN), record.encode())


@attrs.define(eq=False)
class _Finish(_Change):
    """Records an outcome, or with None that the call did not run."""

    outcome: t.Optional[control_pb2.Outcome] = attrs.field(
        default=None, kw_only=True
    )

    def decide(self, current: t.Optional[Record], size: int) -> _Verdict:
        if current is None or current.attempt != self.attempt:
            return _Verdict(control_pb2.Empty(), doubtful=True)
        if current.state is not State.STARTED:
            return _Verdict(control_pb2.Empty())
        if self.outcome is None:
            record = attrs.evolve(current, state=State.NOT_RUN)
        else:
            record = attrs.evolve(
                current,
                state=State.FINISHED,
                outcome=_shorten(self.outcome, size),
            )
        return _Verdict(control_pb2.Empty(), record.encode())


def _reply(
    decision: int,
    outcome: t.Optional[control_pb2.Outcome] = None,
    message: str = "",
) -> control_pb2.BeginCallReply:
    return control_pb2.BeginCallReply(
        decision=decision, outcome=outcome, message=message
    )


def _shorten(outcome: control_pb2.Outcome, size: int) -> control_pb2.Outcome:
    """Return what is kept of an outcome in a bucket of `size` bytes."""
    content_type = outcome.content_type
    added = len(outcome.body) + len(content_type.encode()) + 1
    if (
        len(outcome.body) <= defaults.JOURNAL_BODY_BYTES
        and len(content_type.encode()) <= _MAX_TYPE_BYTES
        and size + added <= BODIES_BYTES
    ):
        return outcome
    # The first known type needs no bytes of its own, unlike an empty one.
    return control_pb2.Outcome(
        status=outcome.status,
        content_type=_CONTENT_TYPES[1],
        truncated=True,
    )


@attrs.define(eq=False)
class _Bucket:
    """A bucket as last read or written, and the changes that wait for it."""

    key: str
    shard: int
    version: t.Optional[int] = None  # None: has to be read
    records: t.Dict[bytes, bytes] = attrs.field(factory=dict)
    size: int = 0  # bytes, with the room reserved for outcomes
    waiting: t.List[_Change] = attrs.field(factory=list)
    task: t.Optional["asyncio.Task[None]"] = None
    next_write: float = 0.0  # event loop time
    urgent: asyncio.Event = attrs.field(factory=asyncio.Event)

    def load(self, entry: t.Optional[keyvalue.Entry]) -> None:
        self.records = {} if entry is None else decode_bucket(entry.value)
        self.version = 0 if entry is None else entry.version
        self.size = sum(map(_weigh, self.records.values()))


def _weigh(record: bytes) -> int:
    return max(len(record), _RESERVED_BYTES)


class Journal:
    """Decides whether a non-idempotent call may run.

    An intent is recorded by compare-and-swap on its bucket before the answer
    RUN is given, so two attempts of one key never both get RUN, whichever
    controls write. Ownership of a shard only lets calls share writes.

    `clock` returns Unix seconds. `stop` ends the tasks of the journal.
    """

    def __init__(
        self,
        service: keyvalue.KeyValue,
        peers: peers_module.Peers,
        *,
        clock: t.Callable[[], float] = time.time,
        write_interval: float = defaults.JOURNAL_WRITE_INTERVAL,
        forward_seconds: float = FORWARD_SECONDS,
    ) -> None:
        self._keyvalue = service
        self._peers = peers
        self._clock = clock
        self._write_interval = write_interval
        self._forward_seconds = forward_seconds
        self._buckets: "collections.OrderedDict[str, _Bucket]" = (
            collections.OrderedDict()
        )
        self._next_shard_write = [0.0] * defaults.JOURNAL_SHARDS
        # Failed calls to the key-value service in a row. While there are
        # any, only the holder of the lock calls it.
        self._failures = 0
        self._prober = asyncio.Lock()
        self._silent_owners: t.Dict[str, float] = {}
        # Attempts that this control was asked for, with the instant after
        # which they are forgotten. A second begin of one attempt never runs.
        self._attempts: "collections.OrderedDict[bytes, float]" = (
            collections.OrderedDict()
        )
        self._tasks: t.Set["asyncio.Task[t.Any]"] = set()
        self._stopped = False

    async def begin(
        self, request: control_pb2.BeginCallRequest
    ) -> control_pb2.BeginCallReply:
        """Record the intent of a call and decide whether it may run.

        Each attempt gets RUN at most once. Raises
        `exceptions.JournalUnavailable` when the intent is not known to be
        recorded by the deadline, `exceptions.JournalFull` and
        `exceptions.KeyMalformed`; the call must not run then.
        """
        key = parse_key(request.key)
        now = self._clock()
        age = now - read_issue_time(key)
        if age >= defaults.JOURNAL_KEY_SECONDS:
            return _reply(_EXPIRED, message=KEY_OLD)
        if age < -defaults.JOURNAL_FUTURE_SECONDS:
            return _reply(_EXPIRED, message=KEY_FUTURE)
        deadline = now + BEGIN_SECONDS
        if request.deadline:
            deadline = min(deadline, request.deadline)
        change = _Begin(
            _identify(request.customer, key),
            _digest(request.attempt.encode()),
            asyncio.get_running_loop().create_future(),
            request=_digest(request.fingerprint),
        )
        if not request.forwarded and not self._register(change, now):
            return _reply(_UNKNOWN)
        bucket_key, shard = _locate(key, change.id)
        try:
            reply = None
            owner = self._choose_owner(shard, request.forwarded)
            if owner is not None:
                reply = await self._forward_begin(
                    owner, request, change, deadline
                )
            if reply is None:
                reply = await self._submit(bucket_key, shard, change, deadline)
            if reply.decision == _RUN and self._clock() >= deadline:
                raise exceptions.JournalUnavailable(
                    "the intent was recorded after the deadline"
                )
        except BaseException:
            # Only the control that answers the caller may withdraw: an owner
            # cannot know whether the control that forwarded the begin has
            # found the record and answered RUN.
            if change.sent and not request.forwarded and not self._stopped:
                self._start(self._withdraw(request))
            raise
        return reply

    async def finish(
        self, request: control_pb2.FinishCallRequest
    ) -> control_pb2.Empty:
        """Record the outcome of a call, or that it did not run.

        Has no effect unless the request's attempt has started the call.
        Raises `exceptions.JournalUnavailable`.
        """
        key = parse_key(request.key)
        change = _Finish(
            _identify(request.customer, key),
            _digest(request.attempt.encode()),
            asyncio.get_running_loop().create_future(),
            outcome=None if request.not_run else request.outcome,
        )
        bucket_key, shard = _locate(key, change.id)
        owner = self._choose_owner(shard, request.forwarded)
        if owner is not None:
            forwarded = control_pb2.FinishCallRequest()
            forwarded.CopyFrom(request)
            forwarded.forwarded = True
            reply = await self._call_owner(
                owner, "FinishCall", forwarded, self._forward_seconds
            )
            if reply is not None:
                return reply
        return await self._submit(
            bucket_key, shard, change, self._clock() + FINISH_SECONDS
        )

    async def delete_expired(self) -> int:
        """Delete buckets of hours that ended over 25 h ago.

        Returns how many were deleted. To be called every few minutes by each
        control; only one of them, by rendezvous hashing over the entry hosts,
        does the work. Raises
        `exceptions.PlatformError`.
        """
        hosts = self._peers.list_entry_hosts()
        owner = rendezvous.choose_owner(PREFIX, hosts)
        if owner != self._peers.name:
            return 0
        return await expiry.delete_expired(self._keyvalue, self._clock())

    async def stop(self) -> None:
        """Write what waits, for a bounded time, and end all tasks."""
        deadline = deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)
        # A withdrawal that waits here starts the task of its bucket.
        while self._tasks and not deadline.has_passed():
            await asyncio.wait(self._tasks, timeout=deadline.remaining())
        self._stopped = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _register(self, change: _Change, now: float) -> bool:
        """Tell whether this control sees an attempt for the first time."""
        while self._attempts:
            oldest, until = next(iter(self._attempts.items()))
            if until > now:
                break
            del self._attempts[oldest]
        attempt = change.id + change.attempt
        if attempt in self._attempts:
            return False
        self._attempts[attempt] = now + defaults.REQUEST_SECONDS
        return True

    def _choose_owner(self, shard: int, forwarded: bool) -> t.Optional[str]:
        """Return the entry host to forward to, None to write here."""
        if forwarded:
            return None
        owner = rendezvous.choose_owner(
            f"{PREFIX}{shard}", self._peers.list_entry_hosts()
        )
        if owner is None or owner == self._peers.name:
            return None
        if self._silent_owners.get(owner, 0.0) > self._clock():
            return None
        return owner

    async def _forward_begin(
        self,
        owner: str,
        request: control_pb2.BeginCallRequest,
        change: _Begin,
        deadline: float,
    ) -> t.Optional[control_pb2.BeginCallReply]:
        """Return the owner's reply, None when this control has to write.

        The owner may have recorded the intent without its reply arriving;
        `change.sent` lets the write of this control find it.
        """
        now = self._clock()
        # Half of the time stays for the write of this control.
        seconds = min(self._forward_seconds, (deadline - now) / 2)
        forwarded = control_pb2.BeginCallRequest()
        forwarded.CopyFrom(request)
        forwarded.forwarded = True
        forwarded.deadline = now + seconds
        change.sent = True
        return await self._call_owner(owner, "BeginCall", forwarded, seconds)

    async def _call_owner(
        self, owner: str, method: str, request: t.Any, seconds: float
    ) -> t.Any:
        """Return the owner's reply, None when it has not decided."""
        if seconds <= 0.0:
            return None
        try:
            stub = self._peers.get_stub(owner)
            async with asyncio.timeout(seconds):
                reply = await getattr(stub, method)(request, timeout=seconds)
            self._silent_owners.pop(owner, None)
            return reply
        except grpc.RpcError as error:
            code, _, message = (error.details() or "").partition(": ")
            if code.isdecimal() and int(code) in _FINAL_ERRORS:
                raise _FINAL_ERRORS[int(code)](message) from error
            reason = repr(error.code())
        except (exceptions.ControlUnavailable, TimeoutError) as error:
            reason = repr(error)
        self._silent_owners[owner] = self._clock() + OWNER_RETRY_SECONDS
        _log.warning(f"{method} at the shard's owner {owner} failed: {reason}")
        return None

    async def _withdraw(self, request: control_pb2.BeginCallRequest) -> None:
        """Mark an attempt that was refused by this control as not run.

        A write of the owner that was under way may still take effect, hence
        the second round.
        """
        finish = control_pb2.FinishCallRequest(
            customer=request.customer,
            key=request.key,
            attempt=request.attempt,
            not_run=True,
        )
        for pause in (0.0, defaults.PLATFORM_TIMEOUT):
            await asyncio.sleep(pause)
            try:
                await self.finish(finish)
            except exceptions.SesamefoldError as error:
                _log.warning(f"a refused call may stay started: {error}")

    async def _submit(
        self, bucket_key: str, shard: int, change: _Change, deadline: float
    ) -> t.Any:
        """Hand a change to the next write of its bucket and wait for it."""
        if self._stopped:
            raise exceptions.JournalUnavailable("the journal is stopped")
        bucket = self._buckets.get(bucket_key)
        if bucket is None:
            bucket = self._buckets[bucket_key] = _Bucket(bucket_key, shard)
        self._buckets.move_to_end(bucket_key)
        bucket.waiting.append(change)
        if isinstance(change, _Begin):
            bucket.urgent.set()
        if bucket.task is None:
            bucket.task = self._start(self._write_changes(bucket))
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                return await change.result
        except TimeoutError:
            raise exceptions.JournalUnavailable(
                "the journal could not be written before the deadline"
            ) from None

    def _start(self, coroutine: t.Coroutine) -> "asyncio.Task[t.Any]":
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _write_changes(self, bucket: _Bucket) -> None:
        """Write the changes of a bucket, one write at a time."""
        changes: t.List[_Change] = []
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
        self, bucket: _Bucket, changes: t.Sequence[_Change]
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
        self, bucket: _Bucket, changes: t.Sequence[_Change]
    ) -> None:
        """Decide all changes and record them with one write."""
        cached = bucket.version is not None
        if not cached:
            await self._read(bucket)
        # A begin that was given up during a pause must not be recorded.
        changes = [change for change in changes if not change.result.done()]
        records, size, verdicts = self._decide(bucket, changes)
        if cached and any(verdict.doubtful for verdict in verdicts):
            await self._read(bucket)
            records, size, verdicts = self._decide(bucket, changes)
        if records:
            for change, verdict in zip(changes, verdicts):
                change.sent |= verdict.record is not None
            merged = {**bucket.records, **records}
            async with asyncio.timeout(defaults.PLATFORM_TIMEOUT):
                bucket.version = await self._keyvalue.put(
                    bucket.key,
                    encode_bucket(merged.values()),
                    bucket.version,
                    deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
                )
            bucket.records = merged
            bucket.size = size
        for change, verdict in zip(changes, verdicts):
            change.resolve(verdict.answer)

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
        bucket: _Bucket, changes: t.Sequence[_Change]
    ) -> t.Tuple[t.Dict[bytes, bytes], int, t.List[_Verdict]]:
        """Return the records to write, the new size and the verdicts."""
        records: t.Dict[bytes, bytes] = {}
        size = bucket.size
        verdicts = []
        for change in changes:
            data = records.get(change.id, bucket.records.get(change.id))
            current = None if data is None else Record.decode(data)
            verdict = change.decide(current, size)
            verdicts.append(verdict)
            if verdict.record is not None:
                records[change.id] = verdict.record
                size += _weigh(verdict.record) - (
                    0 if data is None else _weigh(data)
                )
        return records, size, verdicts

    def _evict(self) -> None:
        """Drop the least recently used buckets beyond the bounds."""
        idle = [b for b in self._buckets.values() if b.task is None]
        count = len(self._buckets)
        total = sum(bucket.size for bucket in self._buckets.values())
        for bucket in idle:
            if count <= CACHED_BUCKETS and total <= CACHED_BYTES:
                break
            del self._buckets[bucket.key]
            count -= 1
            total -= bucket.size


def _identify(customer: str, key: uuid.UUID) -> bytes:
    """Return the id of a call; equal keys of two customers differ."""
    return _digest(customer.encode() + b"\0" + key.bytes, _ID_BYTES)


def _locate(key: uuid.UUID, call: bytes) -> t.Tuple[str, int]:
    """Return the key and the shard of a call's bucket."""
    shard = call[0] % defaults.JOURNAL_SHARDS
    hour, seconds = divmod(read_issue_time(key), expiry.HOUR_SECONDS)
    period = int(seconds // defaults.JOURNAL_PERIOD_SECONDS)
    return f"{PREFIX}{int(hour)}/{period}/{shard}", shard
