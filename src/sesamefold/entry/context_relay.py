"""Relay of the contents of context stores between entry hosts.

A store answers only a few hosts at a time. In a large fleet the hosts that
follow a store relay the events that they read to all other hosts.
"""

import itertools
import typing as t
import zlib

import attrs

from sesamefold.entry import clock
from sesamefold.entry import context_stores
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import store_views
from sesamefold import rendezvous

CHANGES_TOPIC = "context-changes"
SNAPSHOT_REQUEST_TOPIC = "context-request"
SNAPSHOT_TOPIC = "context-contents"
# Followers of a store that relay its changes to each host of its region. The
# second one covers the loss of the first host and of single datagrams.
RELAYS_PER_HOST = 2
# Hosts of each other region that receive a store's changes and forward them
# there. The links between regions are narrow and billed by volume.
FORWARDERS_PER_REGION = 2
# Shortest time between two requests for the snapshot of one store. A snapshot
# has tens of kilobytes, and the link of a small host carries 5 Mbit/s.
STORE_REQUEST_INTERVAL_SECONDS = 1.0
# Shortest time between two requests for snapshots of any stores.
REQUEST_SPACING_SECONDS = 0.1
# Error of the estimated time at which another host read a store. The delays of
# messages differ by a few milliseconds.
STORE_READ_TIME_ERROR_SECONDS = 0.02
# Parts of a snapshot in one message, at about 25 bytes each.
PARTS_PER_MESSAGE = 400


@attrs.define
class _PartialSnapshot:
    """The messages of a store's snapshot that have arrived so far."""

    boot_epoch: int
    position: int
    chunks: t.Dict[int, t.Sequence[t.Any]] = attrs.field(factory=dict)


@attrs.define
class ContextRelay:
    """Relays what this host reads from stores, and applies what peers relay.

    Changes carry the position that they follow, so a host that missed some
    detects that and requests a snapshot. The age of a view counts from the
    read of the store and includes the delay of the message that relayed it.
    Each message carries the engines' clock, which is the same for all hosts,
    to measure that delay.
    """

    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    context_stores: context_stores.ContextStores
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _engine_clock_offset: float = float("-inf")
    _requested_at: t.Dict[str, float] = attrs.field(factory=dict)
    _last_request_at: float = float("-inf")
    _partial_snapshots: t.Dict[str, _PartialSnapshot] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self.context_stores.read_listeners.append(self._send_changes)
        self.channel.subscribe(CHANGES_TOPIC, self._receive_changes)
        self.channel.subscribe(
            SNAPSHOT_REQUEST_TOPIC, self._answer_snapshot_request
        )
        self.channel.subscribe(SNAPSHOT_TOPIC, self._receive_snapshot)

    def _send_changes(
        self, view: store_views.StoreView, batch: store_views.EventBatch
    ) -> None:
        """Relay a read of a store to hosts that do not follow it."""
        receivers = self._list_receivers(view)
        header = self._make_header(view)
        if not receivers or header is None:
            return
        rows, salts = _encode_rows(
            attrs.astuple(event) for event in batch.events
        )
        # Receivers do not apply the events of a snapshot. They detect that
        # they are behind and request the snapshot.
        start_position = (
            batch.position if batch.is_snapshot else batch.start_position
        )
        self.channel.send(
            CHANGES_TOPIC, [*header, start_position, rows, salts], receivers
        )

    def _list_receivers(
        self, view: store_views.StoreView
    ) -> t.List[datagrams.Address]:
        """Return the addresses of hosts that this one relays changes to.

        The hosts that do not follow the store are divided among those that
        do, so that no host sends to all others.
        """
        followers = self.context_stores.rank_followers(view.store)
        if self.context_stores.host not in followers:
            return []
        rank = followers.index(self.context_stores.host)
        forwarders = self._list_forwarders(view)
        return [
            address
            for same_region, relays in ((True, RELAYS_PER_HOST), (False, 1))
            for host, address in self.peers.list_peers(same_region).items()
            if host not in followers
            and (same_region or host in forwarders)
            and (rank - zlib.crc32(host.encode())) % len(followers) < relays
        ]

    def _list_forwarders(self, view: store_views.StoreView) -> t.Set[str]:
        """Return the hosts of other regions that forward a store's changes."""
        regions = set(self.context_stores.regions.values())
        regions.discard(
            self.context_stores.regions.get(view.store.data_centre, "")
        )
        return {
            host
            for region in regions
            for host in rendezvous.rank_owners(
                view.store.address,
                self.context_stores.fleet.list_hosts_in(region),
            )[:FORWARDERS_PER_REGION]
        }

    def _make_header(
        self, view: store_views.StoreView
    ) -> t.Optional[t.Tuple[t.Any, ...]]:
        """Return the fields that each message about a store begins with.

        They are the store's address, its boot epoch, the position, the age of
        the view in seconds and the engines' clock. None while the boot epoch
        or the engines' clock is not known.
        """
        if view.boot_epoch is None or view.engine_clock_offset is None:
            return None
        now = self.read_time()
        return (
            view.store.address,
            view.boot_epoch,
            view.position,
            now - view.read_at,
            view.engine_clock_offset + now,
        )

    def _receive_changes(
        self, peer: str, peer_address: datagrams.Address, body: t.Any
    ) -> None:
        (
            store_address,
            boot_epoch,
            position,
            age,
            engine_time,
            start_position,
            rows,
            salts,
        ) = body
        view = self._find_relayed_view(store_address)
        read_at = self._estimate_store_read_time(age, engine_time)
        if view is None:
            return
        if boot_epoch != view.boot_epoch or start_position > view.position:
            if self._is_newer(view, boot_epoch, position, read_at):
                self._request_snapshot(view, peer, peer_address)
            return
        events = (
            store_views.ContextEvent(*row) for row in _decode_rows(rows, salts)
        )
        new_events = tuple(e for e in events if e.number > view.position)
        if position >= view.position:
            self._apply_changes(view, position, read_at, new_events)
            self._forward_changes(peer, view, start_position, rows, salts)

    def _forward_changes(
        self,
        peer: str,
        view: store_views.StoreView,
        start_position: int,
        rows: t.Sequence[t.Any],
        salts: t.Sequence[str],
    ) -> None:
        """Forward changes from another region to the hosts of this one."""
        local_peers = self.peers.list_peers(same_region=True)
        header = self._make_header(view)
        if peer not in local_peers and header is not None:
            self.channel.send(
                CHANGES_TOPIC,
                [*header, start_position, rows, salts],
                local_peers.values(),
            )

    def _apply_changes(
        self,
        view: store_views.StoreView,
        position: int,
        read_at: float,
        events: t.Tuple[store_views.ContextEvent, ...],
    ) -> None:
        now = self.read_time()
        batch = store_views.EventBatch(
            boot_epoch=t.cast(int, view.boot_epoch),
            start_position=view.position,
            position=position,
            gap=False,
            engine_time=self._engine_clock_offset + now,
            events=events,
        )
        view.apply_batch(batch, max(read_at, view.read_at), now)

    def _estimate_store_read_time(
        self, age: float, engine_time: float
    ) -> float:
        """Return the time of a store read that was `age` old when sent.

        The time is of this host's clock and `age` is in seconds. The largest
        offset of the engines' clock so far is that of the message with the
        least delay. A smaller offset shows how long a message was delayed,
        for example at a suspended host.
        """
        now = self.read_time()
        offset = engine_time - now
        self._engine_clock_offset = max(self._engine_clock_offset, offset)
        return now - age - (self._engine_clock_offset - offset)

    def _is_newer(
        self,
        view: store_views.StoreView,
        boot_epoch: int,
        position: int,
        read_at: float,
    ) -> bool:
        """Return whether a message is about a later state than the view.

        States of different boot epochs are compared by the time of the read.
        """
        if boot_epoch == view.boot_epoch:
            return position > view.position
        return read_at > view.read_at - STORE_READ_TIME_ERROR_SECONDS

    def _find_relayed_view(
        self, store_address: str
    ) -> t.Optional[store_views.StoreView]:
        """Return the view of a store that this host does not follow itself."""
        if store_address in self.context_stores.followed_addresses:
            return None
        return self.context_stores.views.get(store_address)

    def _request_snapshot(
        self,
        view: store_views.StoreView,
        peer: str,
        peer_address: datagrams.Address,
    ) -> None:
        store_address = view.store.address
        now = self.read_time()
        if (
            now - self._requested_at.get(store_address, 0.0)
            < STORE_REQUEST_INTERVAL_SECONDS
        ):
            return
        if now - self._last_request_at < REQUEST_SPACING_SECONDS:
            return
        self._requested_at[store_address] = self._last_request_at = now
        self.log.write(
            "context_contents_requested",
            store=store_address,
            peer=peer,
            life=view.boot_epoch,
            position=view.position,
        )
        self.channel.send(
            SNAPSHOT_REQUEST_TOPIC, [store_address], [peer_address]
        )

    def _answer_snapshot_request(
        self, peer: str, peer_address: datagrams.Address, body: t.Any
    ) -> None:
        (store_address,) = body
        view = self.context_stores.views.get(store_address)
        header = view and self._make_header(view)
        if view is None or header is None:
            return
        rows, salts = _encode_rows(
            (0, True, *key, tokens)
            for key, tokens in view.stored_parts.items()
        )
        count = max(1, -(-len(rows) // PARTS_PER_MESSAGE))
        for index in range(count):
            chunk = rows[
                index * PARTS_PER_MESSAGE : (index + 1) * PARTS_PER_MESSAGE
            ]
            self.channel.send(
                SNAPSHOT_TOPIC,
                [*header, index, count, chunk, salts],
                [peer_address],
            )

    def _receive_snapshot(
        self, peer: str, peer_address: datagrams.Address, body: t.Any
    ) -> None:
        (
            store_address,
            boot_epoch,
            position,
            age,
            engine_time,
            index,
            count,
            rows,
            salts,
        ) = body
        view = self._find_relayed_view(store_address)
        read_at = self._estimate_store_read_time(age, engine_time)
        if view is None or not self._is_newer(
            view, boot_epoch, position, read_at
        ):
            return
        partial = self._partial_snapshots.get(store_address)
        if partial is None or (boot_epoch, position) != (
            partial.boot_epoch,
            partial.position,
        ):
            partial = _PartialSnapshot(boot_epoch, position)
            self._partial_snapshots[store_address] = partial
        partial.chunks[index] = _decode_rows(rows, salts)
        if len(partial.chunks) < count:
            return
        del self._partial_snapshots[store_address]
        view.clear()
        view.set_boot_epoch(boot_epoch, self.read_time())
        parts = itertools.chain.from_iterable(partial.chunks.values())
        self._apply_changes(
            view,
            position,
            read_at,
            tuple(store_views.ContextEvent(*row) for row in parts),
        )
        self.log.write(
            "context_contents_taken",
            store=store_address,
            peer=peer,
            life=boot_epoch,
            position=position,
            parts=len(view.stored_parts),
        )


def _encode_rows(
    rows: t.Iterable[t.Sequence[t.Any]],
) -> t.Tuple[t.List[t.List[t.Any]], t.List[str]]:
    """Return rows of events with the indexes of their salts, and the salts.

    Nearly all parts have one of a few salts, which name a model and are a
    third of a row. Changes of all stores take a good part of the link of a
    small host, where datagrams are lost once it is full.
    """
    indexes: t.Dict[str, int] = {}
    encoded = [
        [number, int(added), indexes.setdefault(salt, len(indexes)), *rest]
        for number, added, salt, *rest in rows
    ]
    return encoded, list(indexes)


def _decode_rows(
    rows: t.Iterable[t.Sequence[t.Any]], salts: t.Sequence[str]
) -> t.List[t.Tuple[t.Any, ...]]:
    """Return the fields of the events of a message.

    Raises `KeyError` for a row with a salt that the message does not have.
    """
    known = dict(enumerate(salts))
    return [
        (number, bool(added), known[index], *rest)
        for number, added, index, *rest in rows
    ]
