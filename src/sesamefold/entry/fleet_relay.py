"""Relay of the records of servers and hosts between the hosts of a region.

It answers this pattern of load: each of hundreds of hosts watches the store
for the same changes, and each change ends the watches of all of them. In a
large region only the readers of `operator_relay` watch these records. They
pass on what each watch returns, and a host that gets nothing for a while, or
misses a change, watches the store itself.
"""

import asyncio
import math
import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import operator_relay
from sesamefold.entry import topology

TOPIC = "fleet-changes"
# Longest wait of a reader's watch, and time between two of them, seconds. The
# other hosts must hear of a reader within `STALE_SECONDS` although nothing has
# changed.
READER_WATCH_SECONDS = 0.3
READ_INTERVAL_SECONDS = 0.3
# Shortest time without changes of a reader after which a host watches the
# store itself, seconds.
STALE_SECONDS = 0.7


class Listener(t.Protocol):
    """Receiver of the changes that a reader passes on."""

    def apply_relayed(self, batch: changes.Batch) -> None:
        """Apply changes that another host has read from the store."""


@attrs.define
class FleetRelay:
    """Passes on changes that this host reads, and receives those of others.

    `revision` is the revision of the store up to which this host has all
    changes, None before it has read them once. `read_at` is when the store
    was read for the latest of them, on any host. The callbacks in `on_source`
    are called with the source of each batch of changes: "reader" if this host
    read it for others, "relay" if it came from a reader, "store" if this host
    watched the store because none came.
    """

    host: str
    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    readers: operator_relay.OperatorRelay
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    listener: t.Optional[Listener] = None
    revision: t.Optional[int] = None
    read_at: float = float("-inf")
    # Whether changes are missing, so that the store must be watched.
    behind: bool = False
    on_source: t.List[t.Callable[[str], None]] = attrs.field(factory=list)
    _source: str = ""
    # The reader that this host follows, and when it was heard last.
    _reader: str = ""
    _heard_at: float = float("-inf")
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.channel.subscribe(TOPIC, self._receive)

    def is_reader(self) -> bool:
        """Return whether this host reads the store for others."""
        return self.readers.active and self.readers.is_reader()

    def record_read(self, revision: int, read_at: float) -> None:
        """Record that this host has all changes up to a revision."""
        if self.readers.active:
            self._record_source("reader" if self.is_reader() else "store")
        self.revision = revision
        # Messages may have arrived while this host's own watch waited.
        self.read_at = max(self.read_at, read_at)
        self.behind = False

    def _record_source(self, source: str) -> None:
        """Count where changes came from, and log a change of that."""
        for listener in self.on_source:
            listener(source)
        if source != self._source:
            self._source = source
            self.log.write(
                "fleet_source",
                source=source,
                behind=self.behind or None,
                revision=self.revision,
            )

    async def wait_until_stale(self, seconds: float) -> None:
        """Wait while changes are received without a pause of `seconds`."""
        while not self.behind:
            left = self.read_at + seconds - self.read_time()
            if left <= 0:
                return
            self._wake.clear()
            try:
                async with asyncio.timeout(left):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def send(self, after: int, batch: changes.Batch, read_at: float) -> None:
        """Pass on what a watch of a reader returned.

        `after` is the revision that the watch began at, and `batch` has been
        applied on this host. Each host of the region gets the changes of all
        readers, because the store may refuse one of them, and follows one.
        """
        readers = self.readers.rank_readers()
        readers = readers[: operator_relay.READERS_PER_REGION]
        receivers = [
            address
            for host, address in self.peers.list_peers(
                same_region=True
            ).items()
            if host not in readers
        ]
        now = self.read_time()
        rows = [
            row
            for change in batch.changes
            for row in [_encode_change(change, now)]
            if row is not None
        ]
        records = [
            [
                record.key,
                (
                    None
                    if record.value is None
                    else record.value.decode("latin-1")
                ),
            ]
            for record in batch.host_record_changes
        ]
        self.channel.send(
            TOPIC,
            [after, batch.revision, now - read_at, rows, records],
            receivers,
        )

    def _receive(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        after, revision, age, rows, records = body
        if type(after) is not int or type(revision) is not int:
            raise TypeError("the revisions are no whole numbers")
        if not isinstance(age, (int, float)) or not 0 <= age < math.inf:
            raise ValueError("the age is out of range")
        if (
            self.revision is None
            or self.listener is None
            or not self.readers.active
            or self.is_reader()
        ):
            return
        now = self.read_time()
        if host != self._reader and now - self._heard_at < STALE_SECONDS:
            # Changes of two readers overlap; to apply some again would undo
            # later ones for a moment.
            return
        self._reader, self._heard_at = host, now
        if after > self.revision:
            self.behind = True
            self._wake.set()
            return
        if revision < self.revision:
            return
        batch = changes.Batch(
            tuple(_decode_change(row, now) for row in rows),
            revision,
            tuple(_decode_record(*record) for record in records),
        )
        self._record_source("relay")
        if revision > self.revision:
            self.listener.apply_relayed(batch)
        self.revision = revision
        self.read_at = max(self.read_at, now - age)
        self._wake.set()


def _encode_change(
    change: changes.Change, now: float
) -> t.Optional[t.List[t.Any]]:
    """Return the row of a change, None for one that is not passed on."""
    if isinstance(change, changes.ServerRemoved):
        return [change.id]
    if not isinstance(change, changes.ServerReported):
        return None
    server = change.server
    return [
        server.id,
        server.service,
        server.address,
        server.data_centre,
        server.slots,
        server.draining,
        server.started_at,
        server.sequence,
        round(max(0.0, server.cold_until - now), 3),
        dict(server.weights),
        server.version,
    ]


def _decode_change(row: t.Any, now: float) -> changes.Change:
    """Return the change of a row; raises `ValueError` or `TypeError`."""
    server_id, *fields = row
    if not fields:
        return changes.ServerRemoved(_check(server_id, str))
    (
        service,
        address,
        data_centre,
        slots,
        draining,
        started_at,
        sequence,
        cold_seconds,
        weights,
        version,
    ) = fields
    if not 0 <= cold_seconds < math.inf:
        raise ValueError("the time until a server is warm is out of range")
    return changes.ServerReported(
        topology.Server(
            id=_check(server_id, str),
            service=_check(service, str),
            address=_check(address, str),
            data_centre=_check(data_centre, str),
            slots=_check(slots, int),
            draining=_check(draining, bool),
            started_at=_check(started_at, int),
            sequence=_check(sequence, int),
            cold_until=now + cold_seconds if cold_seconds else 0.0,
            weights={
                _check(model, str): _check(weight_version, int)
                for model, weight_version in weights.items()
            },
            version=_check(version, str),
        )
    )


def _decode_record(key: t.Any, value: t.Any) -> changes.HostRecordChanged:
    return changes.HostRecordChanged(
        _check(key, str),
        None if value is None else _check(value, str).encode("latin-1"),
    )


def _check(value: t.Any, expected: t.Type[t.Any]) -> t.Any:
    """Return a value of a message; raises `TypeError` for another type."""
    if type(value) is not expected:
        raise TypeError(f"{type(value).__name__} in place of a field")
    return value
