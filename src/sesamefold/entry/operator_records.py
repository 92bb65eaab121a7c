"""The operator's records as they are in the platform store."""

import hashlib
import json
import typing as t
import zlib

import attrs

from sesamefold.entry import changes

# Largest size of decoded records, which bounds what a transfer may expand to.
MAX_DECODED_BYTES = 64 * 1024 * 1024
# Encoded transfers that are kept for the next host that needs the same one.
CACHED_TRANSFERS = 4


@attrs.frozen
class RecordSet:
    """Records that changed after some revision, for a host that knew it.

    `revisions` holds the keys of all records with the revisions of their last
    change; a record whose key is missing was removed. The records are complete
    up to the revision `as_of` of the store.
    """

    as_of: int
    revisions: t.Mapping[str, int]
    changed: t.Tuple[changes.OperatorRecord, ...]


@attrs.define
class OperatorRecords:
    """The operator's records, undecoded, and how far they are complete.

    They contain each change up to the revision `as_of` of the store, which is
    0 before the first read, and may contain later ones.

        records.apply_snapshot(batch.operator_records, batch.revision)
        records.apply_changes(batch.operator_records, batch.revision)
    """

    as_of: int = 0
    _records: t.Dict[str, changes.OperatorRecord] = attrs.field(factory=dict)
    _digest: str = ""
    _encoded: t.Dict[t.Tuple[str, ...], bytes] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._update_digest()

    @property
    def digest(self) -> str:
        """Return a hash that is equal for the same records of two hosts."""
        return self._digest

    def apply_snapshot(
        self, records: t.Iterable[changes.OperatorRecord], as_of: int
    ) -> None:
        """Replace all records with those of a complete read."""
        self._records = {record.key: record for record in records}
        self.as_of = max(self.as_of, as_of)
        self._update_digest()

    def apply_changes(
        self, records: t.Iterable[changes.OperatorRecord], as_of: int
    ) -> None:
        """Apply the changes up to a revision; all other records remain."""
        applied = False
        for record in records:
            applied = True
            if record.value is None:
                self._records.pop(record.key, None)
            else:
                self._records[record.key] = record
        if applied:
            # `extend` may have gone further while these changes were read.
            self.as_of = as_of
            self._update_digest()
        else:
            self.extend(as_of)

    def extend(self, as_of: int) -> None:
        """Record that the records have not changed up to a revision."""
        self.as_of = max(self.as_of, as_of)

    def list_changes(
        self, received: RecordSet
    ) -> t.List[changes.OperatorRecord]:
        """Return how another host's records differ from this host's.

        Returns no changes if this host has all that the other one has. Raises
        `ValueError` if a record is missing between the two hosts.
        """
        if received.as_of <= self.as_of:
            return []
        newer = {record.key: record for record in received.changed}
        listed = {
            key: newer.get(key) or self._records.get(key)
            for key in received.revisions
        }
        for key, record in listed.items():
            if record is None or record.revision < received.revisions[key]:
                raise ValueError(f"the record {key} is missing")
        changed = [
            record
            for key, record in listed.items()
            if record is not None and self._records.get(key) != record
        ]
        return changed + [
            changes.OperatorRecord(key, None, received.as_of)
            for key in self._records.keys() - listed.keys()
        ]

    def _update_digest(self) -> None:
        self._encoded.clear()
        rows = sorted((r.key, r.revision) for r in self._records.values())
        self._digest = hashlib.blake2b(
            json.dumps(rows).encode(), digest_size=8
        ).hexdigest()

    def encode_changes(self, after: int) -> bytes:
        """Return the record set for a host that is complete up to `after`.

        The encoding is kept until the records change, because the hosts of a
        region need the same one.
        """
        changed = tuple(
            sorted(
                key
                for key, record in self._records.items()
                if record.revision > after
            )
        )
        if changed not in self._encoded:
            if len(self._encoded) >= CACHED_TRANSFERS:
                del self._encoded[next(iter(self._encoded))]
            self._encoded[changed] = self._encode(changed)
        return self._encoded[changed]

    def _encode(self, keys: t.Sequence[str]) -> bytes:
        revisions = {key: r.revision for key, r in self._records.items()}
        # Bytes as Latin-1 text: the values are JSON, which base64 would make
        # hard to compress.
        rows = [
            [key, record.revision, (record.value or b"").decode("latin-1")]
            for key in keys
            for record in [self._records[key]]
        ]
        text = json.dumps([revisions, rows], separators=(",", ":"))
        return zlib.compress(text.encode())


def decode_record_set(as_of: int, data: bytes) -> RecordSet:
    """Return the record set that another host encoded.

    Raises `ValueError` for malformed data.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, MAX_DECODED_BYTES)
        if not decompressor.eof:
            raise ValueError("the record set is too large or incomplete")
        revisions, rows = json.loads(text)
        return RecordSet(
            as_of,
            {str(key): int(at) for key, at in revisions.items()},
            tuple(
                changes.OperatorRecord(
                    str(key), value.encode("latin-1"), int(revision)
                )
                for key, revision, value in rows
            ),
        )
    except (
        zlib.error,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(f"{type(error).__name__}: {error}"[:100]) from error
