"""Store hosts that keep exported blocks in memory and on disk."""

import typing as t

import attrs

from sesamefold import deadline as deadlines


@attrs.frozen
class StoredBlock:
    """A sealed entry of a store."""

    block: str
    generation: str
    length: int  # bytes
    sha256: str  # hex
    tier: str  # "memory" or "disk"


class BlockStore(t.Protocol):
    """One store host. Methods raise `exceptions.StoreUnavailable`."""

    url: str

    async def list_blocks(
        self, after: str, deadline: deadlines.Deadline
    ) -> t.List[StoredBlock]:
        """Return up to 1,000 sealed entries with names after `after`."""

    async def read_block(
        self, entry: StoredBlock, deadline: deadlines.Deadline
    ) -> bytes:
        """Return the bytes of an entry.

        Generation, length and SHA-256 are verified after the read. Raises
        `exceptions.BlockInvalid` when one differs.
        """

    async def write_block(
        self, block: str, data: bytes, deadline: deadlines.Deadline
    ) -> StoredBlock:
        """Write and seal a block under a new generation."""

    async def remove_block(
        self, block: str, deadline: deadlines.Deadline
    ) -> None:
        """Remove a block; its generation stays unusable."""
