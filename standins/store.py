"""Stand-in of a store host with a memory and a disk tier."""

import collections
import hashlib
import itertools
import pathlib
import tempfile
import time
import typing as t
import uuid

from aiohttp import web
import attrs

from standins import server

LISTED_ENTRIES = 1000
CHUNK_BYTES = 64 * 1024
READ_FAULTS = frozenset(("corrupt", "short", "old_bytes", "old_entry"))


@attrs.define
class Options:
    """Sizes in bytes, rates in bytes per second; a rate of 0 is unlimited.

    Reads from addresses that do not start with `near` also share the rate
    `far_rate`, as over a link between regions; an empty `near` fits all.
    Writes that are not sealed within `unsealed_seconds` are dropped.
    """

    memory_bytes: int = 64 * 1024 * 1024
    disk_bytes: int = 256 * 1024 * 1024
    read_rate: float = 0.0
    write_rate: float = 0.0
    unsealed_seconds: float = 60.0
    near: str = ""
    far_rate: float = 0.0


@attrs.define(eq=False)
class _Entry:
    block: str
    generation: str
    data: bytes = b""
    sha256: str = ""
    path: t.Optional[pathlib.Path] = None  # set when the entry is on disk
    length: int = 0
    begun_at: float = attrs.field(factory=time.monotonic)

    @property
    def tier(self) -> str:
        return "memory" if self.path is None else "disk"

    def read(self) -> bytes:
        return self.data if self.path is None else self.path.read_bytes()


class StoreServer(server.Server):
    """Blocks that are written in parts and become readable when sealed.

    The oldest entries move to disk when the memory is full. When the disk is
    full too, begin, parts and seal get status 507.

    Further faults:

    - `die_after_parts`: after N more parts the host dies: it resets all
      connections until `dead` is false, and entries in memory and unsealed
      writes are lost. `dead`: true lets it die now.
    - `full`: writes get status 507 while true.
    - `read`: {"kind": K, "count": N}; the next N reads return "corrupt" bytes,
      a "short" part of them, the "old_bytes" of the generation before, or
      the "old_entry" itself, even when it was removed.
    """

    options_class = Options
    writes = frozenset(("begin", "part", "seal", "remove"))

    def __init__(self, options: t.Optional[Options] = None) -> None:
        super().__init__(options)
        self.entries: t.Dict[str, _Entry] = {}
        self.dead = False
        self.full = False
        self._parts_to_live: t.Optional[int] = None
        self._read_faults: t.Deque[str] = collections.deque()
        self._unsealed: t.Dict[t.Tuple[str, str], _Entry] = {}
        self._old: t.Dict[str, _Entry] = {}
        self._epoch = uuid.uuid4().hex[:12]
        self._numbers = itertools.count(1)
        self._reads = server.RateLimit(self.options.read_rate)
        self._far_reads = server.RateLimit(self.options.far_rate)
        self._writes = server.RateLimit(self.options.write_rate)
        self._directory: t.Optional[tempfile.TemporaryDirectory] = None

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/blocks", self._list, name="list")
        router.add_get("/blocks/{block}", self._read, name="read")
        router.add_post("/blocks/{block}/begin", self._begin, name="begin")
        router.add_post("/blocks/{block}/remove", self._remove, name="remove")
        path = "/blocks/{block}/{generation}"
        router.add_post(f"{path}/parts", self._part, name="part")
        router.add_post(f"{path}/seal", self._seal, name="seal")

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Create the directory of the disk tier and listen."""
        self._directory = tempfile.TemporaryDirectory(prefix="store-")
        return await super().start(host, port)

    async def stop(self) -> None:
        """Stop listening and remove the disk tier."""
        await super().stop()
        if self._directory is not None:
            self._directory.cleanup()

    async def check_outage(
        self, request: web.Request
    ) -> t.Optional[web.Response]:
        """Reset connections while the host is dead."""
        if self.dead:
            return await self.reset_connection(request)
        return await super().check_outage(request)

    def fault_die_after_parts(self, value: int) -> None:
        """Die during a write."""
        self._parts_to_live = value

    def fault_dead(self, value: bool) -> None:
        """Die, or come back with the entries on disk."""
        self.dead = value
        if value:
            self._unsealed.clear()
            lost = [b for b, e in self.entries.items() if e.path is None]
            for block in lost:
                del self.entries[block]
            self.drop_connections()

    def fault_full(self, value: bool) -> None:
        """Refuse writes."""
        self.full = value

    def fault_read(self, value: t.Mapping[str, t.Any]) -> None:
        """Return wrong bytes to the next reads."""
        if value["kind"] not in READ_FAULTS:
            raise ValueError(f"unknown read fault {value['kind']!r}")
        self._read_faults.extend([value["kind"]] * value.get("count", 1))

    def _count_bytes(self, tier: str) -> int:
        return sum(e.length for e in self.entries.values() if e.tier == tier)

    def _has_room(self, length: int) -> bool:
        unsealed = sum(len(e.data) for e in self._unsealed.values())
        used = self._count_bytes("memory") + self._count_bytes("disk")
        room = self.options.memory_bytes + self.options.disk_bytes
        return not self.full and used + unsealed + length <= room

    def _find_unsealed(self, request: web.Request) -> t.Optional[_Entry]:
        info = request.match_info
        return self._unsealed.get((info["block"], info["generation"]))

    async def _begin(self, request: web.Request) -> web.Response:
        block = request.match_info["block"]
        limit = time.monotonic() - self.options.unsealed_seconds
        for key in [
            k for k, e in self._unsealed.items() if e.begun_at < limit
        ]:
            del self._unsealed[key]
        if not self._has_room(1):
            return server.make_error_response(507, "store is full")
        generation = f"{self._epoch}-{next(self._numbers)}"
        self._unsealed[block, generation] = _Entry(block, generation)
        return web.json_response({"generation": generation})

    async def _part(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self._writes.acquire(len(data))
        entry = self._find_unsealed(request)
        if entry is None:
            return server.make_error_response(410, "no such generation")
        if int(request.query["offset"]) != len(entry.data):
            return server.make_error_response(409, "part is out of order")
        if not self._has_room(len(data)):
            return server.make_error_response(507, "store is full")
        entry.data += data
        self.counters["bytes_written"] += len(data)
        if self._parts_to_live is not None:
            self._parts_to_live -= 1
            if self._parts_to_live <= 0:
                self._parts_to_live = None
                self.inject(dead=True)
        return web.json_response({})

    async def _seal(self, request: web.Request) -> web.Response:
        body = await request.json()
        entry = self._find_unsealed(request)
        if entry is None:
            return server.make_error_response(410, "no such generation")
        sha256 = hashlib.sha256(entry.data).hexdigest()
        if (body["length"], body["sha256"]) != (len(entry.data), sha256):
            return server.make_error_response(409, "length or SHA-256 differ")
        del self._unsealed[entry.block, entry.generation]
        entry.length, entry.sha256 = len(entry.data), sha256
        self._retire(entry.block)
        self.entries[entry.block] = entry
        self._overflow()
        return web.json_response({"tier": entry.tier})

    def _overflow(self) -> None:
        surplus = self._count_bytes("memory") - self.options.memory_bytes
        for entry in self.entries.values():
            if surplus <= 0:
                return
            if entry.path is None:
                directory = pathlib.Path(self._directory.name)
                path = directory / entry.generation
                path.write_bytes(entry.data)
                entry.path, entry.data = path, b""
                surplus -= entry.length

    def _retire(self, block: str) -> None:
        """Remove an entry; its bytes are kept for the faults of reads."""
        entry = self.entries.pop(block, None)
        if entry is None:
            return
        data = entry.read()
        if entry.path is not None:
            entry.path.unlink()
        self._old[block] = attrs.evolve(entry, data=data, path=None)

    async def _remove(self, request: web.Request) -> web.Response:
        block = request.match_info["block"]
        self._retire(block)
        for key in [key for key in self._unsealed if key[0] == block]:
            del self._unsealed[key]
        return web.json_response({})

    async def _list(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "")
        names = sorted(name for name in self.entries if name > after)
        found = (self.entries[name] for name in names[:LISTED_ENTRIES])
        return web.json_response(
            {
                "entries": [
                    {
                        "block": entry.block,
                        "generation": entry.generation,
                        "length": entry.length,
                        "sha256": entry.sha256,
                        "tier": entry.tier,
                    }
                    for entry in found
                ]
            }
        )

    async def _read(self, request: web.Request) -> web.StreamResponse:
        block = request.match_info["block"]
        fault = self._read_faults.popleft() if self._read_faults else ""
        entry, old = self.entries.get(block), self._old.get(block)
        if fault == "old_entry" and old is not None:
            entry = old
        if entry is None:
            return server.make_error_response(404, "no such block")
        wanted = request.query.get("generation", entry.generation)
        if wanted != entry.generation and not fault:
            return server.make_error_response(410, "no such generation")
        data = entry.read()
        if fault == "corrupt":
            data = bytes([data[0] ^ 1]) + data[1:]
        elif fault == "short":
            data = data[: len(data) // 2]
        elif fault == "old_bytes" and old is not None:
            data = old.data
        response = web.StreamResponse(
            headers={
                "Block": block,
                "Generation": entry.generation,
                "Tier": entry.tier,
                "Content-Length": str(len(data)),
            }
        )
        await response.prepare(request)
        far = not (request.remote or "").startswith(self.options.near)
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            await self._reads.acquire(len(chunk))
            if far:
                await self._far_reads.acquire(len(chunk))
                self.counters["bytes_read_far"] += len(chunk)
            await response.write(chunk)
            self.counters["bytes_read"] += len(chunk)
        await response.write_eof()
        return response
