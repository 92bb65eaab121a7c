"""Journal records, their buckets and the keys of calls."""

import enum
import hashlib
import struct
import typing as t
import uuid

import attrs

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import expiry
from sesamefold.wire import control_pb2

# Bodies are kept until a bucket has this size; the rest of the value stays
# free for records without a body.
BODY_BUCKET_LIMIT_BYTES = defaults.MAX_VALUE_BYTES // 2
# Largest value that is written; leaves room for keys and framing.
MAX_BUCKET_BYTES = defaults.MAX_VALUE_BYTES - 4096

_FORMAT_VERSION = b"\x01"
_ID_BYTES = 16
_DIGEST_BYTES = 8
_HEADER = struct.Struct(f"<{_ID_BYTES}s{_DIGEST_BYTES}s{_DIGEST_BYTES}sB")
_OUTCOME_HEADER = struct.Struct("<HBH")
_TRUNCATED_FLAG = 0x80
# Every record reserves room for an outcome without a body, so a call that was
# started can always be finished.
RESERVED_RECORD_BYTES = _HEADER.size + _OUTCOME_HEADER.size
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
_MAX_CONTENT_TYPE_BYTES = 255


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
        head = _HEADER.pack(self.id, self.request, self.attempt, self.state)
        if self.outcome is None:
            return head
        content_type = self.outcome.content_type
        known = content_type in _CONTENT_TYPES
        index = _CONTENT_TYPES.index(content_type) if known else 0
        text = b"" if known and index else content_type.encode()
        return b"".join(
            (
                head,
                _OUTCOME_HEADER.pack(
                    self.outcome.status,
                    index | (_TRUNCATED_FLAG if self.outcome.truncated else 0),
                    len(self.outcome.body),
                ),
                b"" if index else bytes((len(text),)) + text,
                self.outcome.body,
            )
        )

    @classmethod
    def decode(cls, data: bytes) -> "Record":
        """Return the record that `encode` wrote."""
        head = _HEADER.unpack_from(data)
        state = State(head[3])
        if state is not State.FINISHED:
            return cls(*head[:3], state)
        status, flags, length = _OUTCOME_HEADER.unpack_from(data, _HEADER.size)
        index = flags & ~_TRUNCATED_FLAG
        offset = RESERVED_RECORD_BYTES
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
                truncated=bool(flags & _TRUNCATED_FLAG),
            ),
        )


def _measure_record(data: bytes, offset: int) -> int:
    """Return the length of the record at `offset` of a bucket."""
    if data[offset + _HEADER.size - 1] != State.FINISHED:
        return _HEADER.size
    _, flags, length = _OUTCOME_HEADER.unpack_from(data, offset + _HEADER.size)
    end = RESERVED_RECORD_BYTES
    if not flags & ~_TRUNCATED_FLAG:
        end += 1 + data[offset + end]
    return end + length


def encode_bucket(records: t.Iterable[bytes]) -> bytes:
    """Return the value of a bucket of encoded records."""
    return _FORMAT_VERSION + b"".join(records)


def decode_bucket(value: bytes) -> t.Dict[bytes, bytes]:
    """Return the encoded records of a bucket by id."""
    if value[:1] != _FORMAT_VERSION:
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


def compute_digest(data: bytes, size: int = _DIGEST_BYTES) -> bytes:
    """Return a digest of `size` bytes."""
    return hashlib.blake2b(data, digest_size=size).digest()


def truncate_outcome(
    outcome: control_pb2.Outcome, size: int
) -> control_pb2.Outcome:
    """Return what is kept of an outcome in a bucket of `size` bytes."""
    content_type = outcome.content_type
    added = len(outcome.body) + len(content_type.encode()) + 1
    if (
        len(outcome.body) <= defaults.JOURNAL_BODY_BYTES
        and len(content_type.encode()) <= _MAX_CONTENT_TYPE_BYTES
        and size + added <= BODY_BUCKET_LIMIT_BYTES
    ):
        return outcome
    # The first known type needs no bytes of its own, unlike an empty one.
    return control_pb2.Outcome(
        status=outcome.status,
        content_type=_CONTENT_TYPES[1],
        truncated=True,
    )


def compute_reserved_size(record: bytes) -> int:
    """Return the bytes of a record, with the room for its outcome."""
    return max(len(record), RESERVED_RECORD_BYTES)


def compute_call_id(customer: str, key: uuid.UUID) -> bytes:
    """Return the id of a call; equal keys of two customers differ."""
    return compute_digest(customer.encode() + b"\0" + key.bytes, _ID_BYTES)


def locate_bucket(key: uuid.UUID, call: bytes) -> t.Tuple[str, int]:
    """Return the key and the shard of a call's bucket."""
    shard = call[0] % defaults.JOURNAL_SHARDS
    hour, seconds = divmod(read_issue_time(key), expiry.HOUR_SECONDS)
    period = int(seconds // defaults.JOURNAL_PERIOD_SECONDS)
    return f"{expiry.PREFIX}{int(hour)}/{period}/{shard}", shard
