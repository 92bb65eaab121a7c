"""Content of configurations in chunks, which are named by their digest."""

import hashlib
import operator
import typing as t
import zlib

import attrs

from sesamefold import configuration
from sesamefold import defaults
from sesamefold import exceptions

# Average number of records in a chunk of a section, and its bound.
RECORDS_PER_CHUNK = 64
MAX_RECORDS = 2048
# Average number of lines in a chunk of the text, and its bound in bytes.
LINES_PER_CHUNK = 256
MAX_TEXT_RUN_BYTES = 256 * 1024
MAX_CONTENT_BYTES = defaults.MAX_TEXT_BYTES


class RecordCache:
    """Decoded records by digest of their chunk.

    With it a host decodes the changed chunks of an edit only.
    """

    def __init__(self) -> None:
        self._records: t.Dict[str, t.Tuple[t.Any, ...]] = {}

    def __contains__(self, digest: str) -> bool:
        return digest in self._records

    def decode(
        self, section: str, digest: str, chunks: t.Mapping[str, bytes]
    ) -> t.Tuple[t.Any, ...]:
        """Return the records of a chunk.

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
        """Drop the records of all other chunks."""
        self._records = {
            digest: self._records[digest]
            for digest in digests
            if digest in self._records
        }


def decompress(data: bytes) -> bytes:
    """Return the content of a chunk; its size is bounded.

    Raises `exceptions.InternalError` when the chunk is damaged.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise exceptions.InternalError(f"damaged chunk: {error}") from None
    if not decompressor.eof:
        raise exceptions.InternalError("truncated or oversized chunk")
    return content


def _hash_name(name: str) -> int:
    return int.from_bytes(
        hashlib.blake2b(name.encode(), digest_size=4).digest(), "big"
    )


def pack(content: bytes) -> t.Tuple[str, bytes]:
    """Return digest and compressed bytes of a chunk."""
    data = zlib.compress(content, 6)
    return hashlib.sha256(data).hexdigest(), data


def split_records(records: t.Iterable[t.Any]) -> t.Iterator[t.List[t.Any]]:
    """Yield records by name in runs that end where a name's hash says so.

    Adding or removing a record therefore changes one or two runs.
    """
    run: t.List[t.Any] = []
    for record in sorted(records, key=operator.attrgetter("name")):
        run.append(record)
        boundary = _hash_name(record.name) % RECORDS_PER_CHUNK == 0
        if boundary or len(run) >= MAX_RECORDS:
            yield run
            run = []
    if run:
        yield run


def split_text(text: str) -> t.Iterator[bytes]:
    """Yield the UTF-8 of a text in runs of lines, cut by their hash.

    The hash covers a line and the one before it: a line that every customer
    has, such as an equal share, would else cut at all of its places.
    """
    run: t.List[bytes] = []
    size = 0
    before = 0
    for line in text.encode().splitlines(keepends=True):
        for start in range(0, len(line), MAX_TEXT_RUN_BYTES):
            part = line[start : start + MAX_TEXT_RUN_BYTES]
            run.append(part)
            size += len(part)
            boundary = zlib.crc32(part, before) % LINES_PER_CHUNK == 0
            before = zlib.crc32(part)
            if boundary or size >= MAX_TEXT_RUN_BYTES:
                yield b"".join(run)
                run, size = [], 0
    if run:
        yield b"".join(run)


@attrs.frozen
class Compiled:
    """A configuration as chunks, by digest, and their order by section."""

    sections: t.Mapping[str, t.Tuple[str, ...]]
    text: t.Tuple[str, ...]
    chunks: t.Mapping[str, bytes]


def compile_chunks(parsed: configuration.Configuration, text: str) -> Compiled:
    """Return the chunks of a configuration and of its text."""
    chunks: t.Dict[str, bytes] = {}

    def add(content: bytes) -> str:
        digest, data = pack(content)
        chunks[digest] = data
        return digest

    sections = {
        section: tuple(
            add(configuration.encode_records(run))
            for run in split_records(getattr(parsed, section).values())
        )
        for section in configuration.SECTIONS
    }
    pieces = tuple(add(piece) for piece in split_text(text))
    return Compiled(sections, pieces, chunks)
