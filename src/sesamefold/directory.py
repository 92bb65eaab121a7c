"""Which engines and stores hold which blocks."""

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

# Time that a shard's owner has to take a report, seconds.
REPORT_SECONDS = 1.0
# Holders of one block beyond this number replace the oldest.
MAX_HOLDERS = 8

_SHARDS = 65_536
_UNASSIGNED = 0xFFFF
# Bytes of a block name that are kept; names are SHA-256 values, so half of
# one is still unique.
_KEY_BYTES = 16
_TIERS = ("memory", "disk")
_STORED = struct.Struct("<HBQ32s")


@attrs.define(eq=False)
class _Source:
    """An engine or a store; shared by all entries that name it.

    `dropped` is set when the server restarted, which removes all of its
    entries at once without a scan.
    """

    kind: str
    name: str
    index: int
    dropped: bool = False


# An engine's source, or a store's packed index, tier, length, SHA-256 and
# generation. Plain bytes take a third of the memory of an object.
_Item = t.Union[_Source, bytes]


def _shard_of(block: str) -> int:
    """Return the first 16 bits of a block name, -1 if it is malformed."""
    try:
        name = bytes.fromhex(block)
    except ValueError:
        return -1
    return int.from_bytes(name[:2], "big") if len(name) == 32 else -1


def _key_of(block: str) -> bytes:
    return bytes.fromhex(block)[:_KEY_BYTES]


class EntryTable:
    """The entries of one control, bounded, least recently used first."""

    def __init__(self, capacity: int = defaults.DIRECTORY_ENTRIES) -> None:
        self._capacity = capacity
        # A value is one item, or a tuple of several.
        self._entries: "collections.OrderedDict[bytes, t.Any]" = (
            collections.OrderedDict()
        )
        self._sources: t.List[t.Optional[_Source]] = []
        self._by_name: t.Dict[t.Tuple[str, str], _Source] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find_holders(self, block: str) -> t.List[control_pb2.Holder]:
        """Return the holders of a block and mark it as used."""
        key = _key_of(block)
        value = self._entries.get(key)
        if value is None:
            return []
        items = self._list_items(value)
        if not items:
            del self._entries[key]
            return []
        self._entries.move_to_end(key)
        return [self._unpack(item) for item in items]

    def add_holder(self, block: str, holder: control_pb2.Holder) -> None:
        """Add a holder; it replaces an earlier entry of the same server.

        Malformed holders are ignored, since entries are hints.
        """
        item = self._pack(holder)
        if item is None:
            return
        key = _key_of(block)
        others = [
            other
            for other in self._list_items(self._entries.pop(key, ()))
            if not self._is_held_by(other, holder)
        ]
        items = (*others[-(MAX_HOLDERS - 1) :], item)
        self._entries[key] = items[0] if len(items) == 1 else items
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def remove_holder(self, block: str, holder: control_pb2.Holder) -> None:
        """Remove a holder, a store's entry only for its generation."""
        key = _key_of(block)
        value = self._entries.get(key)
        if value is None:
            return
        items = tuple(
            item
            for item in self._list_items(value)
            if not (
                self._is_held_by(item, holder)
                and (
                    isinstance(item, _Source)
                    or item[_STORED.size :] == holder.generation.encode()
                )
            )
        )
        if items:
            self._entries[key] = items[0] if len(items) == 1 else items
        else:
            del self._entries[key]

    def drop_holder(self, kind: str, name: str) -> None:
        """Remove a server from all entries."""
        source = self._by_name.pop((kind, name), None)
        if source is not None:
            source.dropped = True

    def _list_items(self, value: t.Any) -> t.List[_Item]:
        """Return the items of a value whose server was not dropped."""
        items = value if isinstance(value, tuple) else (value,)
        return [item for item in items if not self._source_of(item).dropped]

    def _source_of(self, item: _Item) -> _Source:
        if isinstance(item, _Source):
            return item
        return self._sources[_STORED.unpack_from(item)[0]]

    def _is_held_by(self, item: _Item, holder: control_pb2.Holder) -> bool:
        source = self._source_of(item)
        return (source.kind, source.name) == (holder.kind, holder.name)

    def _intern(self, kind: str, name: str) -> _Source:
        source = self._by_name.get((kind, name))
        if source is None:
            source = _Source(kind, name, len(self._sources))
            self._by_name[kind, name] = source
            if kind == STORE:
                self._sources.append(source)
        return source

    def _pack(self, holder: control_pb2.Holder) -> t.Optional[_Item]:
        if holder.kind == ENGINE:
            return self._intern(ENGINE, holder.name)
        if holder.kind != STORE or holder.tier not in _TIERS:
            return None
        try:
            sha256 = bytes.fromhex(holder.sha256)
        except ValueError:
            return None
        if len(sha256) != 32 or len(self._sources) > 0xFFFF:
            return None
        return (
            _STORED.pack(
                self._intern(STORE, holder.name).index,
                _TIERS.index(holder.tier),
                holder.length,
                sha256,
            )
            + holder.generation.encode()
        )

    def _unpack(self, item: _Item) -> control_pb2.Holder:
        source = self._source_of(item)
        if isinstance(item, _Source):
            return control_pb2.Holder(kind=ENGINE, name=source.name)
        _, tier, length, sha256 = _STORED.unpack_from(item)
        return control_pb2.Holder(
            kind=STORE,
            name=source.name,
            generation=item[_STORED.size :].decode(),
            length=length,
            sha256=sha256.hex(),
            tier=_TIERS[tier],
        )


class Directory:
    """The block directory of a data centre, sharded over its controls.

    Entries are hints: a shard that does not answer counts as no holder, and
    an entry is verified when it is used.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        *,
        capacity: int = defaults.DIRECTORY_ENTRIES,
        lookup_seconds: float = defaults.DIRECTORY_LOOKUP_SECONDS,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._peers = peers
        self._lookup_seconds = lookup_seconds
        self._clock = clock
        self._table = EntryTable(capacity)
        self._members: t.Tuple[str, ...] = ()
        self._owners = array.array("H")

    def __len__(self) -> int:
        return len(self._table)

    async def lookup(
        self, request: control_pb2.LookupBlocksRequest
    ) -> control_pb2.LookupBlocksReply:
        """Return the holders that are known before the deadline.

        The reply has the requested order and omits blocks without a holder.
        """
        blocks = [
            block
            for block in dict.fromkeys(request.blocks)
            if _shard_of(block) >= 0
        ]
        parts = self._split(blocks, request.forwarded)
        seconds = self._lookup_seconds
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
                    self._call(
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
        """Pass stored and removed blocks to the owners of their shards.

        A part whose owner does not answer is lost; a later listing of the
        engine's blocks restores it. Of a block that is in both lists, the
        removal is applied first. Entries of stores also go to the other data
        centres, whose engines can import them.
        """
        parts: t.Dict[str, control_pb2.ReportBlocksRequest] = {}
        for field in ("removed", "stored"):
            for entry in getattr(request, field):
                if _shard_of(entry.block) < 0:
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
            parts.update(self._split_remote(request.stored))
        await asyncio.gather(
            *(
                self._call(owner, "ReportBlocks", part, REPORT_SECONDS)
                for owner, part in parts.items()
            )
        )
        return control_pb2.Empty()

    def _split_remote(
        self, stored: t.Iterable[control_pb2.BlockEntry]
    ) -> t.Dict[str, control_pb2.ReportBlocksRequest]:
        """Return the entries of stores by the owner in other data centres.

        The owner is chosen among the listed hosts, so an entry is lost for a
        data centre while one of its hosts is listed but down.
        """
        remote = self._peers.list_remote_hosts()
        parts: t.Dict[str, control_pb2.ReportBlocksRequest] = {}
        for entry in stored:
            shard = _shard_of(entry.block)
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
        """Remove an engine or a store from the entries of this control.

        To be called on every control when the server restarts.
        """
        self._table.drop_holder(kind, name)

    def _apply(self, report: control_pb2.ReportBlocksRequest) -> None:
        for entry in report.removed:
            for holder in entry.holders:
                self._table.remove_holder(entry.block, holder)
        for entry in report.stored:
            for holder in entry.holders:
                self._table.add_holder(entry.block, holder)

    def _split(
        self, blocks: t.Iterable[str], forwarded: bool
    ) -> t.Dict[str, t.List[str]]:
        """Return the blocks by the owner of their shard."""
        if forwarded:
            return {self._peers.name: list(blocks)}
        parts: t.Dict[str, t.List[str]] = {}
        for block in blocks:
            parts.setdefault(self._choose_owner(block), []).append(block)
        return parts

    def _choose_owner(self, block: str) -> str:
        """Return the owner of a block's shard.

        Owners are kept per shard, since ranking the members for each block
        of a request takes longer than the lookup.
        """
        members = tuple(self._peers.list_members())
        if members != self._members or not self._owners:
            self._members = members
            self._owners = array.array("H", [_UNASSIGNED]) * _SHARDS
        if not members:
            return self._peers.name
        shard = _shard_of(block)
        if self._owners[shard] == _UNASSIGNED:
            owner = rendezvous.choose_owner(f"directory/{shard}", members)
            self._owners[shard] = members.index(owner)
        return members[self._owners[shard]]

    async def _call(
        self, owner: str, method: str, request: t.Any, seconds: float
    ) -> t.Any:
        """Return a reply, None when the owner did not answer."""
        try:
            stub = self._peers.get_stub(owner)
            async with asyncio.timeout(seconds):
                return await getattr(stub, method)(request, timeout=seconds)
        except (grpc.RpcError, exceptions.ControlUnavailable, TimeoutError):
            return None
