"""Binary format of journal records and buckets, and keys of calls."""

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

# Response bodies are stored until a bucket has this size. The rest of the
# value stays free for records without a body.
BODY_BUCKET_LIMIT_BYTES = defaults.MAX_VALUE_BYTES // 2
# Largest value of a bucket that is written. The difference from the limit of
# the service leaves space for keys and framing.
MAX_BUCKET_BYTES = defaults.MAX_VALUE_BYTES - 4096

# First byte of each bucket.
_FORMAT_VERSION = b"\x01"
_ID_BYTES = 16
_DIGEST_BYTES = 8
# Call id, digests of the request and of the attempt, and state.
_HEADER = struct.Struct(f"<{_ID_BYTES}s{_DIGEST_BYTES}s{_DIGEST_BYTES}sB")
# Status, index of the content type with the flag, and length of the body.
_OUTCOME_HEADER = struct.Struct("<HBH")
_TRUNCATED_FLAG = 0x80
# Each record reserves space for an outcome without a body, so that the outcome
# of every started call can be recorded.
RESERVED_RECORD_BYTES = _HEADER.size + _OUTCOME_HEADER.size
# Known content types are stored as their index. Index 0 means that the record
# contains the content type as text.
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
    """State of a call."""

    STARTED = 1
    FINISHED = 2
    NOT_RUN = 3


@attrs.frozen
class Record:
    """The record of one call.

    `id` is the result of `compute_call_id`; `request` and `attempt` are
    digests of the request's fingerprint and of the attempt that recorded it.
    """

    id: bytes
    request: bytes
    attempt: bytes
    state: State
    outcome: t.Optional[control_pb2.Outcome] = None

    def encode(self) -> bytes:
        """Return the bytes of the record in a bucket."""
        header = _HEADER.pack(self.id, self.request, self.attempt, self.state)
        if self.outcome is None:
            return header
        content_type = self.outcome.content_type
        known = content_type in _CONTENT_TYPES
        index = _CONTENT_TYPES.index(content_type) if known else 0
        text = b"" if known and index else content_type.encode()
        return b"".join(
            (
                header,
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
        """Return the record whose `encode` returned `data`."""
        header = _HEADER.unpack_from(data)
        state = State(header[3])
        if state is not State.FINISHED:
            return cls(*header[:3], state)
        status, flags, length = _OUTCOME_HEADER.unpack_from(data, _HEADER.size)
        index = flags & ~_TRUNCATED_FLAG
        offset = RESERVED_RECORD_BYTES
        content_type = _CONTENT_TYPES[index]
        if not index:
            end = offset + 1 + data[offset]
            content_type = data[offset + 1 : end].decode()
            offset = end
        return cls(
            *header[:3],
            state,
            control_pb2.Outcome(
                status=status,
                content_type=content_type,
                body=data[offset : offset + length],
                truncated=bool(flags & _TRUNCATED_FLAG),
            ),
        )


def _measure_record(data: bytes, offset: int) -> int:
    """Return the size of the record at `offset` of a bucket, bytes."""
    if data[offset + _HEADER.size - 1] != State.FINISHED:
        return _HEADER.size
    _, flags, length = _OUTCOME_HEADER.unpack_from(data, offset + _HEADER.size)
    end = RESERVED_RECORD_BYTES
    if not flags & ~_TRUNCATED_FLAG:
        end += 1 + data[offset + end]
    return end + length


def encode_bucket(records: t.Iterable[bytes]) -> bytes:
    """Return the value of a bucket that contains the encoded records."""
    return _FORMAT_VERSION + b"".join(records)


def decode_bucket(value: bytes) -> t.Dict[bytes, bytes]:
    """Return the encoded records of a bucket, keyed by call id.

    Raises `exceptions.InternalError` for an unknown format.
    """
    if value[:1] != _FORMAT_VERSION:
        raise exceptions.InternalError("unknown format of a journal bucket")
    records: t.Dict[bytes, bytes] = {}
    offset = 1
    while offset < len(value):
        end = offset + _measure_record(value, offset)
        records[value[offset : offset + _ID_BYTES]] = value[offset:end]
        offset = end
    return records


def parse_key(key: str) -> uuid.UUID:
    """Return the UUID of an Idempotency-Key.

    Raises `exceptions.KeyMalformed` unless it is a UUID of version 7.
    """
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
    """Return the BLAKE2b digest of `data`, `size` bytes long."""
    return hashlib.blake2b(data, digest_size=size).digest()


def truncate_outcome(
    outcome: control_pb2.Outcome, size: int
) -> control_pb2.Outcome:
    """Return the part of an outcome that a bucket of `size` bytes can store.

    An outcome whose body or content type is too large keeps its status only
    and is marked as truncated.
    """
    content_type = outcome.content_type
    added_bytes = len(outcome.body) + len(content_type.encode()) + 1
    if (
        len(outcome.body) <= defaults.JOURNAL_BODY_BYTES
        and len(content_type.encode()) <= _MAX_CONTENT_TYPE_BYTES
        and size + added_bytes <= BODY_BUCKET_LIMIT_BYTES
    ):
        return outcome
    # A known content type is stored as an index. An empty one would take a
    # byte of its own, which is not reserved.
    return control_pb2.Outcome(
        status=outcome.status,
        content_type=_CONTENT_TYPES[1],
        truncated=True,
    )


def compute_reserved_size(record: bytes) -> int:
    """Return the size of a record with the space for its outcome, bytes."""
    return max(len(record), RESERVED_RECORD_BYTES)


def compute_call_id(customer: str, key: uuid.UUID) -> bytes:
    """Return the id of a call, a digest of its customer and key.

    The same key of two customers gives two ids.
    """
    return compute_digest(customer.encode() + b"\0" + key.bytes, _ID_BYTES)


def locate_bucket(key: uuid.UUID, call_id: bytes) -> t.Tuple[str, int]:
    """Return the key and the shard of the bucket of a call."""
    shard = call_id[0] % defaults.JOURNAL_SHARDS
    hour, seconds = divmod(read_issue_time(key), expiry.HOUR_SECONDS)
    period = int(seconds // defaults.JOURNAL_PERIOD_SECONDS)
    return f"{expiry.PREFIX}{int(hour)}/{period}/{shard}", shard
