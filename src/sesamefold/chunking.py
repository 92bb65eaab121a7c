"""Content-addressed chunks of the configuration and its text."""

import hashlib
import operator
import typing as t
import zlib

import attrs

from sesamefold import configuration
from sesamefold import defaults
from sesamefold import exceptions

# Mean number of records in a chunk of a section.
MEAN_RECORDS_PER_CHUNK = 64
# Largest number of records in a chunk of a section.
MAX_RECORDS_PER_CHUNK = 2048
# Mean number of lines in a chunk of the text.
MEAN_LINES_PER_CHUNK = 256
# Largest size of a chunk of the text before compression.
MAX_TEXT_CHUNK_BYTES = 256 * 1024
# Largest decompressed size of a chunk that is accepted.
MAX_CONTENT_BYTES = defaults.MAX_TEXT_BYTES


class RecordCache:
    """Decoded records by digest of their chunk.

    With the cache a host decodes only the chunks that an edit changed.
    """

    def __init__(self) -> None:
        self._records: t.Dict[str, t.Tuple[t.Any, ...]] = {}

    def __contains__(self, digest: str) -> bool:
        return digest in self._records

    def decode(
        self, section: str, digest: str, chunks: t.Mapping[str, bytes]
    ) -> t.Tuple[t.Any, ...]:
        """Return the records of a chunk, decoded on first use.

        A digest that is neither cached nor in `chunks` raises KeyError.
        """
        records = self._records.get(digest)
        if records is None:
            records = tuple(
                configuration.decode_records(
                    section, decompress(chunks[digest])
                )
            )
            self._records[digest] = records
        return records

    def retain(self, digests: t.Iterable[str]) -> None:
        """Remove the records of all chunks but the given ones."""
        self._records = {
            digest: self._records[digest]
            for digest in digests
            if digest in self._records
        }


def decompress(data: bytes) -> bytes:
    """Return the decompressed content of a chunk.

    Raises `exceptions.InternalError` when the chunk is damaged or its content
    exceeds `MAX_CONTENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise exceptions.InternalError(
            f"cannot decompress chunk: {error}"
        ) from None
    if not decompressor.eof:
        raise exceptions.InternalError("chunk is truncated or too large")
    return content


def _hash_name(name: str) -> int:
    """Return a 32-bit hash of a record's name, the same on every host."""
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=4).digest(), "big"
    )


def build_chunk(content: bytes) -> t.Tuple[str, bytes]:
    """Return the SHA-256 digest and the compressed bytes of a content."""
    data = zlib.compress(content, 6)
    return hashlib.sha256(data).hexdigest(), data


def split_records(records: t.Iterable[t.Any]) -> t.Iterator[t.List[t.Any]]:
    """Yield the records of each chunk, sorted by name.

    The hash of a record's name decides whether a chunk ends after it, so that
    adding or removing a record changes only one or two chunks. A chunk also
    ends at `MAX_RECORDS_PER_CHUNK`.
    """
    chunk_records: t.List[t.Any] = []
    for record in sorted(records, key=operator.attrgetter("name")):
        chunk_records.append(record)
        boundary = _hash_name(record.name) % MEAN_RECORDS_PER_CHUNK == 0
        if boundary or len(chunk_records) >= MAX_RECORDS_PER_CHUNK:
            yield chunk_records
            chunk_records = []
    if chunk_records:
        yield chunk_records


def split_text(text: str) -> t.Iterator[bytes]:
    """Yield the content of each chunk of a text, UTF-8 encoded.

    The hash of a line and the one before it decides whether a chunk ends
    after the line. With the hash of the line alone, a line that every
    customer has, such as an equal share, could end a chunk at each of its
    occurrences. A chunk also ends at `MAX_TEXT_CHUNK_BYTES`.
    """
    parts: t.List[bytes] = []
    size = 0
    previous_checksum = 0
    for line in text.encode().splitlines(keepends=True):
        for start in range(0, len(line), MAX_TEXT_CHUNK_BYTES):
            part = line[start : start + MAX_TEXT_CHUNK_BYTES]
            parts.append(part)
            size += len(part)
            boundary = (
                zlib.crc32(part, previous_checksum) % MEAN_LINES_PER_CHUNK == 0
            )
            previous_checksum = zlib.crc32(part)
            if boundary or size >= MAX_TEXT_CHUNK_BYTES:
                yield b"".join(parts)
                parts, size = [], 0
    if parts:
        yield b"".join(parts)


@attrs.frozen
class CompiledConfiguration:
    """Chunks of a configuration and of its text.

    `sections` maps a section to the digests of its chunks in order, `text`
    holds those of the text, `chunks` maps digests to compressed bytes.
    """

    sections: t.Mapping[str, t.Tuple[str, ...]]
    text: t.Tuple[str, ...]
    chunks: t.Mapping[str, bytes]


def compile_chunks(
    parsed: configuration.Configuration, text: str
) -> CompiledConfiguration:
    """Return the chunks of a configuration and of its text."""
    chunks: t.Dict[str, bytes] = {}

    def add_chunk(content: bytes) -> str:
        digest, data = build_chunk(content)
        chunks[digest] = data
        return digest

    sections = {
        section: tuple(
            add_chunk(configuration.encode_records(records))
            for records in split_records(getattr(parsed, section).values())
        )
        for section in configuration.SECTIONS
    }
    text_digests = tuple(add_chunk(content) for content in split_text(text))
    return CompiledConfiguration(sections, text_digests, chunks)
