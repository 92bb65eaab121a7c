"""Directory of the engines and stores that hold each block."""

import array
import asyncio
import collections
import struct
import time
import typing as t

import attrs
import grpc

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import peers as peers_module
from sesamefold import rendezvous
from sesamefold.wire import control_pb2

ENGINE = "engine"
STORE = "store"

# Timeout of a report that is sent to the owner of a shard.
REPORT_TIMEOUT_SECONDS = 1.0
# A further holder of a block replaces the oldest one.
MAX_HOLDERS_PER_BLOCK = 8

_SHARD_COUNT = 65_536
# Marks a shard whose owner was not computed yet.
_UNASSIGNED = 0xFFFF
# Bytes of a block's name that are stored. Names are SHA-256 values, so half
# of one is still unique.
_KEY_BYTES = 16
_TIERS = ("memory", "disk")
# Index of the store, index of the tier, length in bytes and SHA-256.
_STORE_HOLDER = struct.Struct("<HBQ32s")


@attrs.define(eq=False)
class _Server:
    """An engine or a store; one object is shared by all of its entries.

    Setting `dropped` when the server restarts removes it from all entries at
    once, without a scan. `index` is the position of a store in the table's
    list of stores.
    """

    kind: str
    name: str
    index: int
    dropped: bool = False


# A holder in its compact form: the server object of an engine, or for a store
# `_STORE_HOLDER` and the generation as bytes, which take a third of the memory
# of an object.
_CompactHolder = t.Union[_Server, bytes]


def _compute_shard(block: str) -> int:
    """Return the number of a block's shard, -1 if its name is malformed.

    The number is the first 16 bits of the name.
    """
    try:
        name = bytes.fromhex(block)
    except ValueError:
        return -1
    return int.from_bytes(name[:2], "big") if len(name) == 32 else -1


def _make_key(block: str) -> bytes:
    return bytes.fromhex(block)[:_KEY_BYTES]


class EntryTable:
    """The directory entries of one entry host, by block.

    Beyond `capacity` entries the least recently used one is evicted.
    """

    def __init__(self, capacity: int = defaults.DIRECTORY_ENTRIES) -> None:
        self._capacity = capacity
        # Least recently used first. A value is one compact holder or, for a
        # block with several holders, a tuple of them.
        self._entries: "collections.OrderedDict[bytes, t.Any]" = (
            collections.OrderedDict()
        )
        self._stores: t.List[t.Optional[_Server]] = []
        self._servers: t.Dict[t.Tuple[str, str], _Server] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find_holders(self, block: str) -> t.List[control_pb2.Holder]:
        """Return the holders of a block and make it most recently used."""
        key = _make_key(block)
        value = self._entries.get(key)
        if value is None:
            return []
        items = self._list_live_holders(value)
        if not items:
            del self._entries[key]
            return []
        self._entries.move_to_end(key)
        return [self._decode_holder(item) for item in items]

    def add_holder(self, block: str, holder: control_pb2.Holder) -> None:
        """Add a holder; it replaces the earlier one of the same server.

        A malformed holder is ignored, since entries are only hints.
        """
        item = self._encode_holder(holder)
        if item is None:
            return
        key = _make_key(block)
        others = [
            other
            for other in self._list_live_holders(self._entries.pop(key, ()))
            if not self._is_held_by(other, holder)
        ]
        items = (*others[-(MAX_HOLDERS_PER_BLOCK - 1) :], item)
        self._entries[key] = items[0] if len(items) == 1 else items
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def remove_holder(self, block: str, holder: control_pb2.Holder) -> None:
        """Remove a holder of a block.

        A store is removed only if it holds the generation of `holder`.
        """
        key = _make_key(block)
        value = self._entries.get(key)
        if value is None:
            return
        items = tuple(
            item
            for item in self._list_live_holders(value)
            if not (
                self._is_held_by(item, holder)
                and (
                    isinstance(item, _Server)
                    or item[_STORE_HOLDER.size :] == holder.generation.encode()
                )
            )
        )
        if items:
            self._entries[key] = items[0] if len(items) == 1 else items
        else:
            del self._entries[key]

    def drop_holder(self, kind: str, name: str) -> None:
        """Remove a restarted server from all entries."""
        server = self._servers.pop((kind, name), None)
        if server is not None:
            server.dropped = True

    def _list_live_holders(self, value: t.Any) -> t.List[_CompactHolder]:
        """Return the compact holders of a value without dropped servers."""
        items = value if isinstance(value, tuple) else (value,)
        return [item for item in items if not self._get_server(item).dropped]

    def _get_server(self, item: _CompactHolder) -> _Server:
        if isinstance(item, _Server):
            return item
        return self._stores[_STORE_HOLDER.unpack_from(item)[0]]

    def _is_held_by(
        self, item: _CompactHolder, holder: control_pb2.Holder
    ) -> bool:
        server = self._get_server(item)
        return (server.kind, server.name) == (holder.kind, holder.name)

    def _intern_server(self, kind: str, name: str) -> _Server:
        server = self._servers.get((kind, name))
        if server is None:
            server = _Server(kind, name, len(self._stores))
            self._servers[kind, name] = server
            if kind == STORE:
                self._stores.append(server)
        return server

    def _encode_holder(
        self, holder: control_pb2.Holder
    ) -> t.Optional[_CompactHolder]:
        if holder.kind == ENGINE:
            return self._intern_server(ENGINE, holder.name)
        if holder.kind != STORE or holder.tier not in _TIERS:
            return None
        try:
            sha256 = bytes.fromhex(holder.sha256)
        except ValueError:
            return None
        if len(sha256) != 32 or len(self._stores) > 0xFFFF:
            return None
        return (
            _STORE_HOLDER.pack(
                self._intern_server(STORE, holder.name).index,
                _TIERS.index(holder.tier),
                holder.length,
                sha256,
            )
            + holder.generation.encode()
        )

    def _decode_holder(self, item: _CompactHolder) -> control_pb2.Holder:
        server = self._get_server(item)
        if isinstance(item, _Server):
            return control_pb2.Holder(kind=ENGINE, name=server.name)
        _, tier, length, sha256 = _STORE_HOLDER.unpack_from(item)
        return control_pb2.Holder(
            kind=STORE,
            name=server.name,
            generation=item[_STORE_HOLDER.size :].decode(),
            length=length,
            sha256=sha256.hex(),
            tier=_TIERS[tier],
        )


class Directory:
    """The block directory of a data centre, sharded over its entry hosts.

    Rendezvous hashing of a shard's number chooses the owner of the shard among
    the members. Entries are hints: blocks whose owner does not answer in time
    count as blocks without a holder, and an entry is verified when it is used.

    `capacity` is the largest number of entries of this host,
    `lookup_timeout_seconds` the longest time for which a lookup waits for
    other hosts, and `clock` returns Unix seconds.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        *,
        capacity: int = defaults.DIRECTORY_ENTRIES,
        lookup_timeout_seconds: float = defaults.DIRECTORY_LOOKUP_SECONDS,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._peers = peers
        self._lookup_timeout_seconds = lookup_timeout_seconds
        self._clock = clock
        self._table = EntryTable(capacity)
        self._members: t.Tuple[str, ...] = ()
        self._owners = array.array("H")

    def __len__(self) -> int:
        return len(self._table)

    async def lookup(
        self, request: control_pb2.LookupBlocksRequest
    ) -> control_pb2.LookupBlocksReply:
        """Return the holders of blocks that are found before the deadline.

        The reply has the requested order and omits blocks without a holder.
        Owners that don't answer in time raise no error.
        """
        blocks = [
            block
            for block in dict.fromkeys(request.blocks)
            if _compute_shard(block) >= 0
        ]
        parts = self._group_by_owner(blocks, request.forwarded)
        seconds = self._lookup_timeout_seconds
        if request.deadline:
            seconds = min(seconds, request.deadline - self._clock())
        found: t.Dict[str, control_pb2.BlockEntry] = {}
        for block in parts.pop(self._peers.name, ()):
            holders = self._table.find_holders(block)
            if holders:
                found[block] = control_pb2.BlockEntry(
                    block=block, holders=holders
                )
        if parts and seconds > 0.0:
            replies = await asyncio.gather(
                *(
                    self._call_owner(
                        owner,
                        "LookupBlocks",
                        control_pb2.LookupBlocksRequest(
                            blocks=part,
                            deadline=self._clock() + seconds,
                            forwarded=True,
                        ),
                        seconds,
                    )
                    for owner, part in parts.items()
                )
            )
            for reply in replies:
                if reply is not None:
                    found.update(
                        (entry.block, entry) for entry in reply.entries
                    )
        return control_pb2.LookupBlocksReply(
            entries=[found[block] for block in blocks if block in found]
        )

    async def report(
        self, request: control_pb2.ReportBlocksRequest
    ) -> control_pb2.Empty:
        """Send stored and removed blocks to the owners of their shards.

        A part whose owner does not answer is lost until a later listing of the
        engine's blocks restores it. If a block is both removed and stored, the
        removal is applied first. Entries of stores are also sent to the other
        data centres, whose engines can import the blocks.
        """
        parts: t.Dict[str, control_pb2.ReportBlocksRequest] = {}
        for field in ("removed", "stored"):
            for entry in getattr(request, field):
                if _compute_shard(entry.block) < 0:
                    continue
                owner = (
                    self._peers.name
                    if request.forwarded
                    else self._choose_owner(entry.block)
                )
                if owner not in parts:
                    parts[owner] = control_pb2.ReportBlocksRequest(
                        forwarded=True
                    )
                getattr(parts[owner], field).append(entry)
        own = parts.pop(self._peers.name, None)
        if own is not None:
            self._apply(own)
        if not request.forwarded:
            parts.update(self._group_by_remote_owner(request.stored))
        await asyncio.gather(
            *(
                self._call_owner(
                    owner, "ReportBlocks", part, REPORT_TIMEOUT_SECONDS
                )
                for owner, part in parts.items()
            )
        )
        return control_pb2.Empty()

    def _group_by_remote_owner(
        self, stored: t.Iterable[control_pb2.BlockEntry]
    ) -> t.Dict[str, control_pb2.ReportBlocksRequest]:
        """Return the entries of stores by their owners in other data centres.

        The owner is chosen among the listed hosts, because the live ones of
        other data centres are not known. An entry is therefore lost for a data
        centre whose owner of the shard is listed but down.
        """
        remote = self._peers.list_remote_hosts()
        parts: t.Dict[str, control_pb2.ReportBlocksRequest] = {}
        for entry in stored:
            shard = _compute_shard(entry.block)
            holders = [h for h in entry.holders if h.kind == STORE]
            if shard < 0 or not holders:
                continue
            for hosts in remote.values():
                owner = rendezvous.choose_owner(f"directory/{shard}", hosts)
                part = parts.setdefault(
                    owner, control_pb2.ReportBlocksRequest(forwarded=True)
                )
                part.stored.append(
                    control_pb2.BlockEntry(block=entry.block, holders=holders)
                )
        return parts

    def drop_holder(self, kind: str, name: str) -> None:
        """Remove an engine or a store from the entries of this entry host.

        When the server restarts, each entry host must call this.
        """
        self._table.drop_holder(kind, name)

    def _apply(self, report: control_pb2.ReportBlocksRequest) -> None:
        for entry in report.removed:
            for holder in entry.holders:
                self._table.remove_holder(entry.block, holder)
        for entry in report.stored:
            for holder in entry.holders:
                self._table.add_holder(entry.block, holder)

    def _group_by_owner(
        self, blocks: t.Iterable[str], forwarded: bool
    ) -> t.Dict[str, t.List[str]]:
        """Return the blocks by the owner of their shard.

        Blocks of a forwarded request all count as this host's, so that hosts
        with different memberships don't forward a request in a circle.
        """
        if forwarded:
            return {self._peers.name: list(blocks)}
        parts: t.Dict[str, t.List[str]] = {}
        for block in blocks:
            parts.setdefault(self._choose_owner(block), []).append(block)
        return parts

    def _choose_owner(self, block: str) -> str:
        """Return the owner of a block's shard.

        The owners are cached by shard until the members change, because
        ranking the members for each block of a request would take longer than
        the lookup.
        """
        members = tuple(self._peers.list_members())
        if members != self._members or not self._owners:
            self._members = members
            self._owners = array.array("H", [_UNASSIGNED]) * _SHARD_COUNT
        if not members:
            return self._peers.name
        shard = _compute_shard(block)
        if self._owners[shard] == _UNASSIGNED:
            owner = rendezvous.choose_owner(f"directory/{shard}", members)
            self._owners[shard] = members.index(owner)
        return members[self._owners[shard]]

    async def _call_owner(
        self, owner: str, method: str, request: t.Any, seconds: float
    ) -> t.Any:
        """Return the owner's reply, None if it failed or did not answer."""
        try:
            stub = self._peers.get_stub(owner)
            async with asyncio.timeout(seconds):
                return await getattr(stub, method)(request, timeout=seconds)
        except (grpc.RpcError, exceptions.ControlUnavailable, TimeoutError):
            return None
