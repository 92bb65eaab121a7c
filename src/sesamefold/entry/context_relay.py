"""Passing on the contents of stores of cached context between hosts.

A store answers only a few hosts at a time. In a large fleet the hosts that
follow a store pass on what they read to all others.
"""

import itertools
import typing as t
import zlib

import attrs

from sesamefold.entry import clock
from sesamefold.entry import context_stores as context_views
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import store_views
from sesamefold import rendezvous

CHANGES_TOPIC = "context-changes"
REQUEST_TOPIC = "context-request"
CONTENTS_TOPIC = "context-contents"
# Hosts that pass on one store's changes to one host of the region; the second
# covers the loss of the first and of single datagrams.
RELAYERS = 2
# Hosts of each other region that get them, and pass them on there. The link
# between regions is narrow and paid by volume.
FORWARDERS = 2
# Time between two requests for the contents of one store, and of any, seconds.
# Contents are tens of kilobytes, and a small host's link carries 5 Mbit/s.
REQUEST_INTERVAL = 1.0
REQUEST_PACE = 0.1
# Error of the instant of a read that another host made, seconds: the times
# that messages take differ by a few milliseconds.
DATING_ERROR = 0.02
# Parts of the contents in one message, of about 30 bytes each.
CONTENTS_PARTS = 400


@attrs.define
class _Assembly:
    """Messages with the contents of a store that have arrived so far."""

    boot_epoch: int
    position: int
    chunks: t.Dict[int, t.Sequence[t.Any]] = attrs.field(factory=dict)


@attrs.define
class ContextRelay:
    """Sends what this host reads of stores, and takes what others read.

    Changes carry the position that they follow, so a host that missed some
    notices and asks for the contents. The age of a view counts from the read
    of the store, and includes the time that a message took: the clock of the
    engines, which each message carries, is the same for all hosts.
    """

    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    contexts: context_views.ContextStores
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _clock_offset: float = float("-inf")
    _requested_at: t.Dict[str, float] = attrs.field(factory=dict)
    _any_requested_at: float = float("-inf")
    _assemblies: t.Dict[str, _Assembly] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.contexts.on_read.append(self._send_changes)
        self.channel.subscribe(CHANGES_TOPIC, self._take_changes)
        self.channel.subscribe(REQUEST_TOPIC, self._answer_request)
        self.channel.subscribe(CONTENTS_TOPIC, self._take_contents)

    def _send_changes(
        self, view: store_views.StoreView, batch: store_views.EventBatch
    ) -> None:
        """Pass on a read of a store to the hosts that do not follow it."""
        receivers = self._list_receivers(view)
        header = self._make_header(view)
        if not receivers or header is None:
            return
        events = [attrs.astuple(event) for event in batch.events]
        # A list of the contents is not passed on, but asked for.
        since = batch.position if batch.is_snapshot else batch.since
        self.channel.send(CHANGES_TOPIC, [*header, since, events], receivers)

    def _list_receivers(
        self, view: store_views.StoreView
    ) -> t.List[datagrams.Address]:
        """Return the hosts that get a store's changes from this one.

        The hosts that do not follow the store are divided among those that
        do, so that no host sends to all others.
        """
        followers = self.contexts.rank_followers(view.store)
        if self.contexts.host not in followers:
            return []
        place = followers.index(self.contexts.host)
        forwarders = self._list_forwarders(view)
        return [
            address
            for near, relayers in ((True, RELAYERS), (False, 1))
            for host, address in self.peers.list_peers(near).items()
            if host not in followers
            and (near or host in forwarders)
            and (place - zlib.crc32(host.encode())) % len(followers) < relayers
        ]

    def _list_forwarders(self, view: store_views.StoreView) -> t.Set[str]:
        """Return the hosts of other regions that pass a store's changes on."""
        regions = set(self.contexts.regions.values())
        regions.discard(self.contexts.regions.get(view.store.data_centre, ""))
        return {
            host
            for region in regions
            for host in rendezvous.rank_owners(
                view.store.address, self.contexts.fleet.list_hosts_in(region)
            )[:FORWARDERS]
        }

    def _make_header(
        self, view: store_views.StoreView
    ) -> t.Optional[t.Tuple[t.Any, ...]]:
        """Return the first fields of the messages about a store."""
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

    def _take_changes(
        self, host: str, sender: datagrams.Address, body: t.Any
    ) -> None:
        address, boot_epoch, position, age, engine_time, since, rows = body
        view = self._find_unfollowed(address)
        read_at = self._date(age, engine_time)
        if view is None:
            return
        if boot_epoch != view.boot_epoch or since > view.position:
            if self._is_news(view, boot_epoch, position, read_at):
                self._request_contents(view, host, sender)
            return
        events = (store_views.ContextEvent(*row) for row in rows)
        missed = tuple(e for e in events if e.number > view.position)
        if position >= view.position:
            self._take(view, position, read_at, missed)
            self._forward(host, view, since, rows)

    def _forward(
        self,
        host: str,
        view: store_views.StoreView,
        since: int,
        rows: t.Sequence[t.Any],
    ) -> None:
        """Pass on what came from another region to the hosts of this one."""
        neighbours = self.peers.list_peers(same_region=True)
        header = self._make_header(view)
        if host not in neighbours and header is not None:
            self.channel.send(
                CHANGES_TOPIC, [*header, since, rows], neighbours.values()
            )

    def _take(
        self,
        view: store_views.StoreView,
        position: int,
        read_at: float,
        events: t.Tuple[store_views.ContextEvent, ...],
    ) -> None:
        now = self.read_time()
        batch = store_views.EventBatch(
            boot_epoch=t.cast(int, view.boot_epoch),
            since=view.position,
            position=position,
            gap=False,
            engine_time=self._clock_offset + now,
            events=events,
        )
        view.take(batch, max(read_at, view.read_at), now)

    def _date(self, age: float, engine_time: float) -> float:
        """Return the instant of a read that is `age` old when it is sent.

        The messages that took least time tell the offset of the engines'
        clock. One that waited at a suspended host is found out by it.
        """
        now = self.read_time()
        offset = engine_time - now
        self._clock_offset = max(self._clock_offset, offset)
        return now - age - (self._clock_offset - offset)

    def _is_news(
        self,
        view: store_views.StoreView,
        boot_epoch: int,
        position: int,
        read_at: float,
    ) -> bool:
        """Tell whether a message is about a later state than a view."""
        if boot_epoch == view.boot_epoch:
            return position > view.position
        return read_at > view.read_at - DATING_ERROR

    def _find_unfollowed(
        self, address: str
    ) -> t.Optional[store_views.StoreView]:
        if address in self.contexts.followed:
            return None
        return self.contexts.views.get(address)

    def _request_contents(
        self,
        view: store_views.StoreView,
        host: str,
        sender: datagrams.Address,
    ) -> None:
        address = view.store.address
        now = self.read_time()
        if now - self._requested_at.get(address, 0.0) < REQUEST_INTERVAL:
            return
        if now - self._any_requested_at < REQUEST_PACE:
            return
        self._requested_at[address] = self._any_requested_at = now
        self.log.write(
            "context_contents_requested",
            store=address,
            peer=host,
            life=view.boot_epoch,
            position=view.position,
        )
        self.channel.send(REQUEST_TOPIC, [address], [sender])

    def _answer_request(
        self, host: str, sender: datagrams.Address, body: t.Any
    ) -> None:
        (address,) = body
        view = self.contexts.views.get(address)
        header = view and self._make_header(view)
        if view is None or header is None:
            return
        rows = [[*key, tokens] for key, tokens in view.stored_parts.items()]
        count = max(1, -(-len(rows) // CONTENTS_PARTS))
        for index in range(count):
            chunk = rows[index * CONTENTS_PARTS : (index + 1) * CONTENTS_PARTS]
            self.channel.send(
                CONTENTS_TOPIC, [*header, index, count, chunk], [sender]
            )

    def _take_contents(
        self, host: str, sender: datagrams.Address, body: t.Any
    ) -> None:
        address, boot_epoch, position, age, engine_time, index, count, rows = (
            body
        )
        view = self._find_unfollowed(address)
        read_at = self._date(age, engine_time)
        if view is None or not self._is_news(
            view, boot_epoch, position, read_at
        ):
            return
        assembly = self._assemblies.get(address)
        if assembly is None or (boot_epoch, position) != (
            assembly.boot_epoch,
            assembly.position,
        ):
            assembly = _Assembly(boot_epoch, position)
            self._assemblies[address] = assembly
        assembly.chunks[index] = rows
        if len(assembly.chunks) < count:
            return
        del self._assemblies[address]
        view.clear()
        view.set_boot_epoch(boot_epoch, self.read_time())
        parts = itertools.chain.from_iterable(assembly.chunks.values())
        self._take(
            view,
            position,
            read_at,
            tuple(store_views.ContextEvent(0, True, *row) for row in parts),
        )
        self.log.write(
            "context_contents_taken",
            store=address,
            peer=host,
            life=boot_epoch,
            position=position,
            parts=len(view.stored_parts),
        )
