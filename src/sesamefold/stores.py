"""Client interface of store hosts, and its HTTP implementation.

Store hosts keep the blocks that engines export, in memory and on disk.
"""

import hashlib
import typing as t

import aiohttp
import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import transport

# Largest part of a write, bytes; a lost part costs at most this much again.
PART_BYTES = 256 * 1024


@attrs.frozen
class StoredBlock:
    """A sealed block in a store: complete, verified and readable."""

    block: str
    generation: str  # unique to one write of the block
    length: int  # bytes
    sha256: str  # hex, of the stored bytes
    tier: str  # "memory" or "disk"


class BlockStore(t.Protocol):
    """Client of one store host.

    Methods raise `exceptions.StoreUnavailable` when a call fails.
    """

    url: str

    async def list_blocks(
        self, after: str, deadline: deadlines.Deadline
    ) -> t.List[StoredBlock]:
        """Return up to 1,000 sealed blocks, in the order of their names.

        Only names that sort after `after` are returned.
        """

    async def read_block(
        self, entry: StoredBlock, deadline: deadlines.Deadline
    ) -> bytes:
        """Return the bytes of a sealed block.

        Name, generation, length and SHA-256 are verified after the read.
        Raises `exceptions.BlockInvalid` when one differs or the generation no
        longer exists.
        """

    async def write_block(
        self, block: str, data: bytes, deadline: deadlines.Deadline
    ) -> StoredBlock:
        """Write and seal a block under a new generation."""

    async def remove_block(
        self, block: str, deadline: deadlines.Deadline
    ) -> None:
        """Remove a block; its generation is never used again."""


class HttpBlockStore:
    """HTTP client of a store host.

    `POST /blocks/{block}/begin` returns a new generation, `POST
    /blocks/{block}/{generation}/parts?offset=N` appends bytes, and `POST
    /blocks/{block}/{generation}/seal` with length and SHA-256 makes the block
    readable. `GET /blocks/{block}` returns the bytes, with name, generation
    and tier in headers.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self.url = url.rstrip("/")

    async def list_blocks(
        self, after: str, deadline: deadlines.Deadline
    ) -> t.List[StoredBlock]:
        """Return up to 1,000 sealed blocks, in the order of their names.

        Only names that sort after `after` are returned.
        """
        body = await self._call("GET", "blocks", deadline, {"after": after})
        try:
            return [StoredBlock(**entry) for entry in body["entries"]]
        except (KeyError, TypeError) as error:
            raise exceptions.StoreUnavailable(
                f"store {self.url}: malformed list of blocks"
            ) from error

    async def read_block(
        self, entry: StoredBlock, deadline: deadlines.Deadline
    ) -> bytes:
        """Return the verified bytes of a sealed block."""
        data, _ = await self.read_block_and_tier(entry, deadline)
        return data

    async def read_block_and_tier(
        self, entry: StoredBlock, deadline: deadlines.Deadline
    ) -> t.Tuple[bytes, str]:
        """Return the verified bytes of a block and the tier that held them."""
        try:
            async with self._session.get(
                f"{self.url}/blocks/{entry.block}",
                params={"generation": entry.generation},
                timeout=transport.make_timeout(deadline),
            ) as response:
                if response.status in (404, 410):
                    raise exceptions.BlockInvalid(
                        f"block {entry.block}: generation "
                        f"{entry.generation} does not exist"
                    )
                response.raise_for_status()
                data = await response.read()
                headers = response.headers
        except transport.CALL_ERRORS as error:
            raise self._convert_error(error) from error
        checks = {
            "name": headers.get("Block") == entry.block,
            "generation": headers.get("Generation") == entry.generation,
            "length": len(data) == entry.length,
            "SHA-256": hashlib.sha256(data).hexdigest() == entry.sha256,
        }
        mismatches = [name for name, passed in checks.items() if not passed]
        if mismatches:
            raise exceptions.BlockInvalid(
                f"block {entry.block}: {', '.join(mismatches)} differ"
            )
        return data, headers.get("Tier", "")

    async def write_block(
        self, block: str, data: bytes, deadline: deadlines.Deadline
    ) -> StoredBlock:
        """Write and seal a block under a new generation."""
        body = await self._call("POST", f"blocks/{block}/begin", deadline)
        generation = body.get("generation", "")
        path = f"blocks/{block}/{generation}"
        for offset in range(0, len(data), PART_BYTES):
            await self._call(
                "POST",
                f"{path}/parts",
                deadline,
                {"offset": str(offset)},
                data=data[offset : offset + PART_BYTES],
            )
        sha256 = hashlib.sha256(data).hexdigest()
        body = await self._call(
            "POST",
            f"{path}/seal",
            deadline,
            json={"length": len(data), "sha256": sha256},
        )
        return StoredBlock(
            block, generation, len(data), sha256, body.get("tier", "")
        )

    async def remove_block(
        self, block: str, deadline: deadlines.Deadline
    ) -> None:
        """Remove a block; its generation is never used again."""
        await self._call("POST", f"blocks/{block}/remove", deadline)

    def _convert_error(
        self, error: BaseException
    ) -> exceptions.StoreUnavailable:
        return exceptions.StoreUnavailable(
            f"store {self.url}: {transport.describe_error(error)}"
        )

    async def _call(
        self,
        method: str,
        path: str,
        deadline: deadlines.Deadline,
        params: t.Optional[t.Mapping[str, str]] = None,
        **body: t.Any,
    ) -> t.Dict[str, t.Any]:
        try:
            async with self._session.request(
                method,
                f"{self.url}/{path}",
                params=params,
                timeout=transport.make_timeout(deadline),
                **body,
            ) as response:
                response.raise_for_status()
                return await response.json()
        except transport.CALL_ERRORS as error:
            raise self._convert_error(error) from error
