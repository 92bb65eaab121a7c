"""Entry hosts of the data centre, known from heartbeats and the host list."""

import asyncio
import contextlib
import random
import time
import typing as t
import uuid

import attrs
import grpc
import logbook
import mode
import prometheus_client

from sesamefold import client
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import notification
from sesamefold import rendezvous
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc

_log = logbook.Logger("membership")

_members = prometheus_client.Gauge(
    "sesamefold_members", "Live entry hosts of the data centre"
)
_heartbeats = prometheus_client.Counter(
    "sesamefold_heartbeats", "Heartbeats sent, by result", ["result"]
)

# Between two looks at the clock, seconds. A gap of more than PAUSE_SECONDS
# means that the process was paused and could not hear its peers.
_TICK = 0.5
_PAUSE_SECONDS = 2.0

# The host of a pair that answers waits this long before it calls, seconds.
_PATIENCE_SECONDS = 1.5 * defaults.HEARTBEAT_INTERVAL

# Until this host is listed, the list is polled this often, seconds. Hosts that
# start together don't know each other before, and share no crashes. The later
# listed host of a pair finds the other one and calls it.
_UNLISTED_INTERVAL = 0.25
_UNLISTED_SECONDS = 10.0

# Pause before an urgent heartbeat that failed is sent again, seconds.
_RETRY_SECONDS = 0.2

# How long the last heartbeat of a leaving host may take, seconds.
_FAREWELL_SECONDS = 1.0


@attrs.define
class Peer:
    """Another entry host of the data centre.

    `deadline` is the instant until which the host counts as alive. `revision`
    is the configuration revision that it reported last.
    """

    member: control_pb2.Member
    deadline: float
    revision: int = 0
    platform_down: bool = False
    last_heartbeat_at: float = 0.0
    # Incarnation and mark of the last reply.
    received: t.Tuple[str, int] = ("", 0)
    # False while the host is only assumed to live because it is listed.
    heartbeat_seen: bool = False


class Reports(t.Protocol):
    """Backend states that travel with the heartbeats."""

    def collect_states(
        self, peer: str, incarnation: str
    ) -> t.Tuple[t.List[control_pb2.BackendState], int]:
        """Return the states that a peer lacks and a mark for `acknowledge`."""

    def collect_suspicions(
        self, peer: str, incarnation: str
    ) -> t.List[control_pb2.Suspicion]:
        """Return the suspicions that a peer lacks, up to the same mark."""

    def acknowledge(self, peer: str, incarnation: str, mark: int) -> None:
        """Note that a peer has received what `collect_states` returned."""

    def receive_states(
        self,
        sender: control_pb2.Member,
        states: t.Iterable[control_pb2.BackendState],
        sent_at: float,
    ) -> None:
        """Take in states that a peer sent at an instant."""

    def receive_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> None:
        """Take in suspicions that a peer sent."""


class Membership(mode.Service):
    """Knows the entry hosts; implements `peers.Peers`.

    It exchanges heartbeats with the hosts of its own data centre. One host of
    each pair calls, the other one answers; it calls only while it hears
    nothing.

    A host that is listed but silent past its deadline is not a member; a host
    that is heard but not listed yet is one, because the list lags. At the
    start the listed hosts count as members until their first deadline, and
    again after a pause of this process.
    """

    mundane_level = "debug"

    def __init__(
        self,
        member: control_pb2.Member,
        host_list: hostlist.HostList,
        *,
        clock: t.Callable[[], float] = time.time,
        seed: t.Optional[int] = None,
        **kwargs: t.Any,
    ) -> None:
        super().__init__(**kwargs)
        if not member.incarnation:
            member.incarnation = uuid.uuid4().hex[:16]
        self.member = member
        self.name = member.name
        self.data_centre = member.data_centre
        self.changed = notification.Notification()
        self._urgent = notification.Notification()
        self.listed = False  # the host list has answered once
        self.reports: t.Optional[Reports] = None
        self.get_revision: t.Callable[[], int] = lambda: 0
        self.on_peer_revision: t.Callable[[int, str], None] = lambda *_: None
        self.is_platform_down: t.Callable[[], bool] = lambda: False
        self._host_list = host_list
        self._clock = clock
        self._random = random.Random(seed)
        self._seen_at = clock()
        self._peers: t.Dict[str, Peer] = {}
        self._listing = hostlist.Listing(0, ())
        self._hosts: t.Dict[str, hostlist.Host] = {}
        self._channels: t.Dict[str, t.Tuple[str, grpc.aio.Channel]] = {}
        self._stubs: t.Dict[str, control_pb2_grpc.ControlStub] = {}
        self._tasks: t.Dict[str, asyncio.Task] = {}
        self._last_members: t.Tuple[str, ...] = (self.name,)

    # What other modules ask.

    def list_members(self) -> t.List[str]:
        """Return the live entry hosts of this data centre, this one too."""
        now = self._clock()
        self._forgive_pause(now)
        live = [
            name
            for name, peer in self._peers.items()
            if peer.deadline > now and not peer.member.leaving
        ]
        own = [] if self.member.leaving else [self.name]
        return sorted(own + live)

    def is_owner(self, key: str) -> bool:
        """Tell whether this host is first in rank for a duty.

        Members that cannot reach the key-value service come last.
        """

        def is_down(name: str) -> bool:
            if name == self.name:
                return self.is_platform_down()
            return self._peers[name].platform_down

        ranked = rendezvous.rank_owners(key, self.list_members())
        return next(iter(sorted(ranked, key=is_down)), None) == self.name

    def list_entry_hosts(self) -> t.List[str]:
        """Return the live entry hosts of all data centres, this one too."""
        others = (
            host.name
            for host in self._hosts.values()
            if host.kind == "entry"
            and host.state == "live"
            and host.data_centre != self.data_centre
        )
        return sorted({*others, *self.list_members()})

    def list_remote_hosts(self) -> t.Dict[str, t.List[str]]:
        """Return the listed entry hosts of each other data centre."""
        remote: t.Dict[str, t.List[str]] = {}
        for host in self._hosts.values():
            if (
                host.kind == "entry"
                and host.state == "live"
                and host.data_centre != self.data_centre
            ):
                remote.setdefault(host.data_centre, []).append(host.name)
        return remote

    def list_hosts(self, data_centre: str) -> t.List[hostlist.Host]:
        """Return the listed entry hosts of a data centre."""
        return [
            host
            for host in self._hosts.values()
            if host.kind == "entry" and host.data_centre == data_centre
        ]

    def count_hosts(self) -> int:
        """Return how many entry hosts this data centre has, live or not."""
        listed = (host.name for host in self.list_hosts(self.data_centre))
        return len({self.name, *listed, *self.list_members()})

    def list_data_centres(self) -> t.List[str]:
        """Return the data centres that have listed entry hosts."""
        return sorted(
            {
                host.data_centre
                for host in self._hosts.values()
                if host.kind == "entry"
            }
        )

    def list_backends(self) -> t.List[hostlist.Host]:
        """Return the listed backend servers of this data centre."""
        return [
            host
            for host in self._hosts.values()
            if host.kind == "backend" and host.data_centre == self.data_centre
        ]

    def list_peers(self) -> t.Dict[str, Peer]:
        """Return what is known of the other hosts of the data centre."""
        return dict(self._peers)

    def has_heartbeats_of_all_members(self) -> bool:
        """Tell whether all members have sent or answered a heartbeat."""
        return self.listed and all(
            peer.heartbeat_seen or peer.member.leaving
            for peer in self._peers.values()
            if self.is_alive(peer)
        )

    def is_alive(self, peer: Peer) -> bool:
        """Tell whether a peer's deadline has not passed."""
        return peer.deadline > self._clock()

    def get_stub(self, name: str) -> control_pb2_grpc.ControlStub:
        """Return the stub of an entry host's control daemon.

        Raises `exceptions.ControlUnavailable` when its address is not known.
        """
        address = self._find_address(name)
        if not address:
            raise exceptions.ControlUnavailable(
                f"the address of entry host {name!r} is not known"
            )
        known = self._channels.get(name)
        if known is None or known[0] != address:
            if known is not None:
                # The grace lets calls in progress end.
                self.add_future(known[1].close(5.0))
            channel = client.open_channel(address)
            self._channels[name] = (address, channel)
            self._stubs[name] = control_pb2_grpc.ControlStub(channel)
        return self._stubs[name]

    def _find_address(self, name: str) -> str:
        if name == self.name:
            return self.member.control_address
        peer = self._peers.get(name)
        # What a host says of itself is newer than the list.
        if peer is not None and peer.heartbeat_seen and self.is_alive(peer):
            return peer.member.control_address
        host = self._hosts.get(name)
        if host is not None and host.control_address:
            return host.control_address
        return "" if peer is None else peer.member.control_address

    # The host list.

    def apply_listing(self, listing: hostlist.Listing) -> None:
        """Take in a new revision of the host list."""
        now = self._clock()
        first = not self.listed
        self.listed = True
        self._listing = listing
        self._hosts = {host.name: host for host in listing.hosts}
        for host in self.list_hosts(self.data_centre):
            if host.name == self.name:
                # The settings may leave the port to the kernel.
                self.member.gateway_address = host.address
            if host.name == self.name or host.name in self._peers:
                continue
            self._peers[host.name] = Peer(
                control_pb2.Member(
                    name=host.name,
                    data_centre=host.data_centre,
                    control_address=host.control_address,
                    gateway_address=host.address,
                    leaving=host.state == "leaving",
                ),
                # Only at the start is a listed host assumed to live.
                deadline=now + defaults.HEARTBEAT_TIMEOUT if first else 0.0,
            )
        for name, peer in list(self._peers.items()):
            if name not in self._hosts and not self.is_alive(peer):
                del self._peers[name]
        self._adjust_tasks()
        self._check_members()
        self.changed.notify()

    @mode.Service.task
    async def _poll_host_list(self) -> None:
        fast_until = time.monotonic() + _UNLISTED_SECONDS
        while not self.should_stop:
            try:
                listing = await self._host_list.fetch(
                    self.data_centre,
                    self._listing.revision,
                    deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
                )
                # A lagging replica may answer with an older revision.
                if listing is not None and (
                    not self.listed
                    or listing.revision > self._listing.revision
                ):
                    self.apply_listing(listing)
            except exceptions.PlatformError as error:
                _log.warning("the host list did not answer: {}", error)
            fast = self.name not in self._hosts
            fast = fast and time.monotonic() < fast_until
            interval = (
                _UNLISTED_INTERVAL if fast else defaults.HOST_LIST_INTERVAL
            )
            await self.sleep(interval * self._random.uniform(0.8, 1.2))

    # Heartbeats.

    def handle_heartbeat(
        self, request: control_pb2.HeartbeatRequest
    ) -> control_pb2.HeartbeatReply:
        """Take in a heartbeat."""
        now = self._clock()
        sender = request.sender
        if sender.data_centre == self.data_centre and sender.name != self.name:
            # A heartbeat that was held up on the way proves nothing.
            limit = now + defaults.HEARTBEAT_TIMEOUT + defaults.CLOCK_SKEW
            self._hear(
                sender,
                min(request.deadline, limit),
                request.revision,
                request.platform_down,
            )
            if self.reports is not None:
                self.reports.receive_states(
                    sender,
                    request.states,
                    min(request.deadline - defaults.HEARTBEAT_TIMEOUT, now),
                )
                self.reports.receive_suspicions(request.suspicions)
                if request.received_from == self.member.incarnation:
                    self.reports.acknowledge(
                        sender.name, sender.incarnation, request.received_mark
                    )
        states, suspicions, mark = self._collect(
            sender.name, sender.incarnation
        )
        return control_pb2.HeartbeatReply(
            receiver=control_pb2.Member(
                name=self.name,
                data_centre=self.data_centre,
                incarnation=self.member.incarnation,
                leaving=self.member.leaving,
            ),
            revision=self.get_revision(),
            states=states,
            platform_down=self.is_platform_down(),
            mark=mark,
            suspicions=suspicions,
        )

    def _collect(
        self, name: str, incarnation: str
    ) -> t.Tuple[
        t.List[control_pb2.BackendState], t.List[control_pb2.Suspicion], int
    ]:
        if self.reports is None or name not in self._peers:
            return [], [], 0
        states, mark = self.reports.collect_states(name, incarnation)
        suspicions = self.reports.collect_suspicions(name, incarnation)
        return states, suspicions, mark

    def _hear(
        self,
        member: control_pb2.Member,
        deadline: float,
        revision: int,
        platform_down: bool,
    ) -> None:
        peer = self._peers.get(member.name)
        if peer is None:
            if not member.control_address:
                return
            peer = self._peers[member.name] = Peer(member, deadline)
            self._adjust_tasks()
        elif peer.member.incarnation != member.incarnation:
            if peer.heartbeat_seen and deadline < peer.deadline:
                # A late heartbeat of the process before the restart.
                return
            peer.deadline = deadline
        if member.control_address:
            peer.member = member
        else:
            peer.member.incarnation = member.incarnation
            peer.member.leaving = member.leaving
        peer.deadline = max(peer.deadline, deadline)
        peer.heartbeat_seen = True
        peer.last_heartbeat_at = self._clock()
        peer.revision = revision
        peer.platform_down = platform_down
        self._check_members()
        if peer.deadline > self._clock():
            self.on_peer_revision(revision, member.name)

    def _adjust_tasks(self) -> None:
        """Run one heartbeat task per peer."""
        if not self.started or self.should_stop:
            return
        for name in self._peers.keys() - self._tasks.keys():
            self._tasks[name] = self.add_future(self._send_heartbeats(name))
        for name in self._tasks.keys() - self._peers.keys():
            self._tasks.pop(name).cancel()

    async def on_start(self) -> None:
        """Start the heartbeat tasks of peers that are known already."""
        self._adjust_tasks()

    async def _send_heartbeats(self, name: str) -> None:
        # The first one goes out soon, spread over a part of the interval.
        await self.sleep(self._random.uniform(0.0, 0.1))
        hurry = False
        while not self.should_stop and name in self._peers:
            urgent = self._urgent.event
            again = False
            try:
                if hurry or self._has_to_call(name):
                    await self._send_heartbeat(
                        name, defaults.HEARTBEAT_INTERVAL
                    )
                    _heartbeats.labels("answered").inc()
            except (grpc.RpcError, exceptions.ControlUnavailable):
                _heartbeats.labels("failed").inc()
                peer = self._peers.get(name)
                again = hurry and peer is not None and self.is_alive(peer)
            interval = _RETRY_SECONDS if again else defaults.HEARTBEAT_INTERVAL
            woken = await notification.wait_with_timeout(
                urgent, interval * self._random.uniform(0.9, 1.1)
            )
            hurry = woken or again

    def _has_to_call(self, name: str) -> bool:
        """Tell whether this host of a pair calls the other one.

        A pair that exchanged a heartbeat in each direction would use twice
        the processor time and traffic.
        """
        pair = sorted((self.name, name))
        caller = rendezvous.choose_owner("/".join(pair), pair)
        silent = self._clock() - self._peers[name].last_heartbeat_at
        return caller == self.name or silent > _PATIENCE_SECONDS

    async def _send_heartbeat(self, name: str, seconds: float) -> None:
        peer = self._peers[name]
        stub = self.get_stub(name)
        incarnation, received_mark = peer.received
        states, suspicions, mark = self._collect(name, peer.member.incarnation)
        sent_at = self._clock()
        reply = await stub.Heartbeat(
            control_pb2.HeartbeatRequest(
                sender=self.member,
                revision=self.get_revision(),
                states=states,
                deadline=sent_at + defaults.HEARTBEAT_TIMEOUT,
                platform_down=self.is_platform_down(),
                received_mark=received_mark,
                received_from=incarnation,
                suspicions=suspicions,
            ),
            timeout=seconds,
        )
        receiver = reply.receiver
        if receiver.name != name:
            # The address was given to another host.
            return
        self._hear(
            receiver,
            # The answer proves that the peer lived after this instant.
            sent_at + defaults.HEARTBEAT_TIMEOUT,
            reply.revision,
            reply.platform_down,
        )
        if self.reports is not None:
            self.reports.acknowledge(name, receiver.incarnation, mark)
            self.reports.receive_states(receiver, reply.states, sent_at)
            self.reports.receive_suspicions(reply.suspicions)
            peer.received = (receiver.incarnation, reply.mark)

    def send_heartbeats_now(self) -> None:
        """Call all peers at once, also those that usually call this host."""
        self._urgent.notify()

    async def leave(self) -> None:
        """Tell the peers that this host leaves."""
        self.member.leaving = True
        self.changed.notify()

        async def tell(name: str) -> None:
            with contextlib.suppress(
                grpc.RpcError, exceptions.ControlUnavailable, TimeoutError
            ):
                await self._send_heartbeat(name, _FAREWELL_SECONDS)

        await asyncio.gather(
            *(
                tell(name)
                for name, peer in self._peers.items()
                if self.is_alive(peer)
            )
        )

    # Time.

    def _forgive_pause(self, now: float) -> None:
        """Extend the deadlines of peers after a pause of this process.

        Without it a process that was paused would take itself for the only
        member, although its peers were alive and only unheard.
        """
        gap = now - self._seen_at
        self._seen_at = max(now, self._seen_at)
        if gap <= _PAUSE_SECONDS:
            return
        _log.warning("this process was paused for {:.1f} s", gap)
        for peer in self._peers.values():
            if peer.deadline > now - gap - _TICK:
                peer.deadline = now + defaults.HEARTBEAT_TIMEOUT

    def _check_members(self) -> None:
        members = tuple(self.list_members())
        if members != self._last_members:
            _log.info("members: {}", ", ".join(members))
            self._last_members = members
            _members.set(len(members))
            self.changed.notify()

    @mode.Service.task
    async def _watch_clock(self) -> None:
        while not self.should_stop:
            self._check_members()
            for name, peer in list(self._peers.items()):
                # Hosts that are neither listed nor heard are forgotten after
                # a while, and their channels closed.
                silent = self._clock() - peer.deadline
                if name not in self._hosts and silent > 30.0:
                    del self._peers[name]
                    self._adjust_tasks()
            for name in self._channels.keys() - {
                *self._peers,
                *self._hosts,
                self.name,
            }:
                _, channel = self._channels.pop(name)
                del self._stubs[name]
                await channel.close()
            await self.sleep(_TICK)

    async def on_shutdown(self) -> None:
        """Close the channels."""
        for _, channel in self._channels.values():
            await channel.close()
        self._channels.clear()
        self._stubs.clear()
