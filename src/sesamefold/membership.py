"""Membership of the entry hosts, from heartbeats and the host list."""

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

# Interval between two checks of the clock and of the peers' deadlines.
_CHECK_INTERVAL_SECONDS = 0.5
# A longer gap between two readings of the clock means that the process was
# paused and could not receive heartbeats.
_MAX_CLOCK_GAP_SECONDS = 2.0

# The host of a pair that only answers sends heartbeats itself once it has
# received none for this time.
_SILENCE_TIMEOUT_SECONDS = 1.5 * defaults.HEARTBEAT_INTERVAL

# Poll interval of the host list until this host is listed. Hosts that start
# together don't know each other before they are listed, so they can't exchange
# reports of crashes. Of a pair, the host that is listed later finds the other
# one on the list and sends it a heartbeat.
_UNLISTED_POLL_INTERVAL_SECONDS = 0.25
# After this time an unlisted host polls at the usual interval, and does not
# expect to meet others.
_UNLISTED_POLL_LIMIT_SECONDS = 10.0

# Delay before a failed urgent heartbeat is sent again.
_URGENT_RETRY_DELAY_SECONDS = 0.2

# Timeout of the last heartbeat of a leaving host.
_LEAVE_TIMEOUT_SECONDS = 1.0


@attrs.define
class Peer:
    """Another entry host of the data centre.

    The host counts as alive until `deadline`, in Unix seconds. `revision` is
    the configuration revision that it reported last, and `platform_down` is
    true while it reports that it cannot reach the key-value service.
    """

    member: control_pb2.Member
    deadline: float
    revision: int = 0
    platform_down: bool = False
    last_heartbeat_at: float = 0.0  # Unix seconds
    # Incarnation and mark of the last reply, to be acknowledged to the peer.
    last_reply: t.Tuple[str, int] = ("", 0)
    # False as long as the peer is known from the host list alone, not from a
    # heartbeat that it sent or answered.
    heartbeat_seen: bool = False


class Reports(t.Protocol):
    """Backend states and suspicions that are exchanged with heartbeats.

    A suspicion names a request that is suspected to crash backend servers. A
    mark is the number of the latest change that a heartbeat or its reply
    contains.
    """

    def collect_states(
        self, peer: str, incarnation: str
    ) -> t.Tuple[t.List[control_pb2.BackendState], int]:
        """Return the states that a peer lacks and a mark for `acknowledge`.

        A new incarnation of the peer lacks all of them.
        """

    def collect_suspicions(
        self, peer: str, incarnation: str
    ) -> t.List[control_pb2.Suspicion]:
        """Return the suspicions that a peer lacks.

        It is called right after `collect_states`, whose mark covers these
        suspicions too.
        """

    def acknowledge(self, peer: str, incarnation: str, mark: int) -> None:
        """Record that a peer has received the changes up to a mark."""

    def receive_states(
        self,
        sender: control_pb2.Member,
        states: t.Iterable[control_pb2.BackendState],
        sent_at: float,
        sent_until: float,
    ) -> None:
        """Store the states that a peer sent.

        `sent_at` and `sent_until` are the earliest and the latest time at
        which it sent them, in Unix seconds.
        """

    def receive_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> None:
        """Store the suspicions that a peer sent."""


class Membership(mode.Service):
    """Tracks which entry hosts are alive; implements `peers.Peers`.

    It exchanges heartbeats with the hosts of its own data centre. One host of
    each pair sends them, the other one answers, and sends its own only while
    it receives none.

    A listed host that is silent past its deadline is not a member. A host that
    sends or answers heartbeats but is not listed yet is a member, because the
    list lags. When this process starts, the listed hosts count as members
    until their first deadline. After a pause of this process, the hosts that
    were members before it get a new deadline.

    `clock` returns Unix seconds, and `seed` makes the random delays
    reproducible.
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
        self.has_host_list = False  # True once the host list has answered
        # Unix time until which this host expects to be listed.
        self._listed_by = clock() + _UNLISTED_POLL_LIMIT_SECONDS
        self.reports: t.Optional[Reports] = None
        self.get_revision: t.Callable[[], int] = lambda: 0
        self.on_peer_revision: t.Callable[[int, str], None] = lambda *_: None
        self.is_platform_down: t.Callable[[], bool] = lambda: False
        self._host_list = host_list
        self._clock = clock
        self._random = random.Random(seed)
        self._last_clock_reading = clock()
        self._peers: t.Dict[str, Peer] = {}
        self._listing = hostlist.Listing(0, ())
        self._hosts: t.Dict[str, hostlist.Host] = {}
        self._channels: t.Dict[str, t.Tuple[str, grpc.aio.Channel]] = {}
        self._stubs: t.Dict[str, control_pb2_grpc.ControlStub] = {}
        self._tasks: t.Dict[str, asyncio.Task] = {}
        self._last_members: t.Tuple[str, ...] = (self.name,)

    # Queries.

    def list_members(self) -> t.List[str]:
        """Return the live entry hosts of this data centre, this one too."""
        now = self._clock()
        self._extend_deadlines_after_pause(now)
        live = [
            name
            for name, peer in self._peers.items()
            if peer.deadline > now and not peer.member.leaving
        ]
        own = [] if self.member.leaving else [self.name]
        return sorted(own + live)

    def is_owner(self, key: str) -> bool:
        """Return whether this host owns the task that is named `key`.

        Rendezvous hashing chooses the owner among the members that can reach
        the key-value service, and among all members when none can.
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
        """Return the number of listed hosts and members of this data centre.

        It includes this host, and listed hosts that are not alive.
        """
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
        """Return the other known hosts of the data centre by name."""
        return dict(self._peers)

    def has_heartbeats_of_all_members(self) -> bool:
        """Return whether all members have sent or answered a heartbeat.

        It is false until the host list has answered; leaving peers are not
        waited for.
        """
        return self.has_host_list and all(
            peer.heartbeat_seen or peer.member.leaving
            for peer in self._peers.values()
            if self.is_alive(peer)
        )

    def knows_members(self) -> bool:
        """Return whether this host has met the hosts that started with it.

        Hosts that start together meet once the host list names them. A host
        that is not listed in time goes on alone.
        """
        if self.name in self._hosts:
            return self.has_heartbeats_of_all_members()
        return self._clock() >= self._listed_by

    def is_alive(self, peer: Peer) -> bool:
        """Return whether a peer's deadline has not passed."""
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
        previous = self._channels.get(name)
        if previous is None or previous[0] != address:
            if previous is not None:
                # The grace period, in seconds, lets calls in progress end.
                self.add_future(previous[1].close(5.0))
            channel = client.open_channel(address)
            self._channels[name] = (address, channel)
            self._stubs[name] = control_pb2_grpc.ControlStub(channel)
        return self._stubs[name]

    def _find_address(self, name: str) -> str:
        if name == self.name:
            return self.member.control_address
        peer = self._peers.get(name)
        # The address in a host's heartbeats is newer than the listed one.
        if peer is not None and peer.heartbeat_seen and self.is_alive(peer):
            return peer.member.control_address
        host = self._hosts.get(name)
        if host is not None and host.control_address:
            return host.control_address
        return "" if peer is None else peer.member.control_address

    # Host list.

    def apply_listing(self, listing: hostlist.Listing) -> None:
        """Replace the listed hosts by a new revision of the host list."""
        now = self._clock()
        is_first_listing = not self.has_host_list
        self.has_host_list = True
        self._listing = listing
        self._hosts = {host.name: host for host in listing.hosts}
        for host in self.list_hosts(self.data_centre):
            if host.name == self.name:
                # The settings may leave the gateway's port to the kernel, so
                # the address is taken from the list.
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
                # Only the first listing makes hosts members before they send
                # or answer a heartbeat.
                deadline=(
                    now + defaults.HEARTBEAT_TIMEOUT
                    if is_first_listing
                    else 0.0
                ),
            )
        for name, peer in list(self._peers.items()):
            if name not in self._hosts and not self.is_alive(peer):
                del self._peers[name]
        self._update_heartbeat_tasks()
        self._notify_member_changes()
        self.changed.notify()

    @mode.Service.task
    async def _poll_host_list(self) -> None:
        while not self.should_stop:
            try:
                listing = await self._host_list.fetch(
                    self.data_centre,
                    self._listing.revision,
                    deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
                )
                # A lagging replica of the list may return an older revision.
                if listing is not None and (
                    not self.has_host_list
                    or listing.revision > self._listing.revision
                ):
                    self.apply_listing(listing)
            except exceptions.PlatformError as error:
                _log.warning("failed to fetch the host list: {}", error)
            poll_fast = self.name not in self._hosts
            poll_fast = poll_fast and self._clock() < self._listed_by
            interval = (
                _UNLISTED_POLL_INTERVAL_SECONDS
                if poll_fast
                else defaults.HOST_LIST_INTERVAL
            )
            await self.sleep(interval * self._random.uniform(0.8, 1.2))

    # Heartbeats.

    def handle_heartbeat(
        self, request: control_pb2.HeartbeatRequest
    ) -> control_pb2.HeartbeatReply:
        """Record a peer's heartbeat and return the reply.

        Its sender becomes a member until the deadline in the heartbeat. A
        heartbeat from another data centre, or with this host's own name, is
        answered but not recorded. One of an earlier incarnation of the sender
        gets an empty reply, which acknowledges nothing.
        """
        now = self._clock()
        sender = request.sender
        if sender.data_centre == self.data_centre and sender.name != self.name:
            # A delayed heartbeat does not prove that the sender is alive, so
            # the deadline counts from its sending. The limit applies when the
            # sender's clock is ahead.
            max_deadline = (
                now + defaults.HEARTBEAT_TIMEOUT + defaults.CLOCK_SKEW
            )
            is_current = self._record_heartbeat(
                sender,
                min(request.deadline, max_deadline),
                request.revision,
                request.platform_down,
            )
            if self.reports is not None:
                # Suspicions hold beyond the restart of their sender.
                self.reports.receive_suspicions(request.suspicions)
            if not is_current:
                return control_pb2.HeartbeatReply()
            if self.reports is not None:
                sent_at = min(
                    request.deadline - defaults.HEARTBEAT_TIMEOUT, now
                )
                self.reports.receive_states(
                    sender, request.states, sent_at, sent_at
                )
                if request.received_from == self.member.incarnation:
                    self.reports.acknowledge(
                        sender.name, sender.incarnation, request.received_mark
                    )
        states, suspicions, mark = self._collect_reports(
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

    def _collect_reports(
        self, name: str, incarnation: str
    ) -> t.Tuple[
        t.List[control_pb2.BackendState], t.List[control_pb2.Suspicion], int
    ]:
        if self.reports is None or name not in self._peers:
            return [], [], 0
        states, mark = self.reports.collect_states(name, incarnation)
        suspicions = self.reports.collect_suspicions(name, incarnation)
        return states, suspicions, mark

    def _record_heartbeat(
        self,
        member: control_pb2.Member,
        deadline: float,
        revision: int,
        platform_down: bool,
    ) -> bool:
        """Update a peer from a heartbeat that it sent or answered.

        Returns False for a heartbeat of an earlier incarnation, which changes
        nothing.
        """
        peer = self._peers.get(member.name)
        if peer is None:
            if not member.control_address:
                return True
            peer = self._peers[member.name] = Peer(member, deadline)
            self._update_heartbeat_tasks()
        # A process that leaves does not return, so an earlier heartbeat that
        # was delayed does not clear this.
        leaving = member.leaving or (
            peer.member.leaving
            and peer.member.incarnation == member.incarnation
        )
        if peer.member.incarnation != member.incarnation:
            if peer.heartbeat_seen and deadline < peer.deadline:
                # A delayed heartbeat of an earlier incarnation.
                return False
            peer.deadline = deadline
        if member.control_address:
            peer.member = control_pb2.Member()
            peer.member.CopyFrom(member)
        peer.member.incarnation = member.incarnation
        peer.member.leaving = leaving
        peer.deadline = max(peer.deadline, deadline)
        peer.heartbeat_seen = True
        peer.last_heartbeat_at = self._clock()
        peer.revision = revision
        peer.platform_down = platform_down
        self._notify_member_changes()
        if peer.deadline > self._clock():
            self.on_peer_revision(revision, member.name)
        return True

    def _update_heartbeat_tasks(self) -> None:
        """Start and cancel tasks so that each peer has a heartbeat task."""
        if not self.started or self.should_stop:
            return
        for name in self._peers.keys() - self._tasks.keys():
            self._tasks[name] = self.add_future(
                self._send_heartbeats(name, self._urgent.event)
            )
        for name in self._tasks.keys() - self._peers.keys():
            self._tasks.pop(name).cancel()

    async def on_start(self) -> None:
        """Start the heartbeat tasks of the peers known before the start."""
        self._update_heartbeat_tasks()

    async def _send_heartbeats(self, name: str, urgent: asyncio.Event) -> None:
        # A random delay spreads the first heartbeats to the peers.
        is_urgent = await notification.wait_with_timeout(
            urgent, self._random.uniform(0.0, 0.1)
        )
        while not self.should_stop and name in self._peers:
            urgent = self._urgent.event
            must_retry = False
            try:
                if is_urgent or self._must_send_heartbeat(name):
                    await self._send_heartbeat(
                        name, defaults.HEARTBEAT_INTERVAL
                    )
                    _heartbeats.labels("answered").inc()
            except (grpc.RpcError, exceptions.ControlUnavailable):
                _heartbeats.labels("failed").inc()
                peer = self._peers.get(name)
                must_retry = (
                    is_urgent and peer is not None and self.is_alive(peer)
                )
            interval = (
                _URGENT_RETRY_DELAY_SECONDS
                if must_retry
                else defaults.HEARTBEAT_INTERVAL
            )
            was_notified = await notification.wait_with_timeout(
                urgent, interval * self._random.uniform(0.9, 1.1)
            )
            is_urgent = was_notified or must_retry

    def _must_send_heartbeat(self, name: str) -> bool:
        """Return whether this host of a pair sends the heartbeat.

        Heartbeats in both directions would take twice the processor time and
        traffic, so the other host of the pair only answers.
        """
        pair = sorted((self.name, name))
        caller = rendezvous.choose_owner("/".join(pair), pair)
        silent_seconds = self._clock() - self._peers[name].last_heartbeat_at
        return caller == self.name or silent_seconds > _SILENCE_TIMEOUT_SECONDS

    async def _send_heartbeat(self, name: str, seconds: float) -> None:
        peer = self._peers[name]
        stub = self.get_stub(name)
        incarnation, received_mark = peer.last_reply
        states, suspicions, mark = self._collect_reports(
            name, peer.member.incarnation
        )
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
            # Another host now has the address.
            return
        is_current = self._record_heartbeat(
            receiver,
            # The reply proves that the peer was alive at or after `sent_at`.
            sent_at + defaults.HEARTBEAT_TIMEOUT,
            reply.revision,
            reply.platform_down,
        )
        if self.reports is not None:
            self.reports.receive_suspicions(reply.suspicions)
        if is_current and self.reports is not None:
            self.reports.acknowledge(name, receiver.incarnation, mark)
            self.reports.receive_states(
                receiver, reply.states, sent_at, self._clock()
            )
            peer.last_reply = (receiver.incarnation, reply.mark)

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat to each peer without waiting for the interval.

        This includes the peers that usually send the heartbeats of the pair.
        """
        self._urgent.notify()

    async def leave(self) -> None:
        """Mark this host as leaving and notify the live peers.

        Peers that cannot be reached are ignored.
        """
        self.member.leaving = True
        self.changed.notify()

        async def notify_peer(name: str) -> None:
            with contextlib.suppress(
                grpc.RpcError, exceptions.ControlUnavailable, TimeoutError
            ):
                await self._send_heartbeat(name, _LEAVE_TIMEOUT_SECONDS)

        await asyncio.gather(
            *(
                notify_peer(name)
                for name, peer in self._peers.items()
                if self.is_alive(peer)
            )
        )

    # Clock and expiry.

    def _extend_deadlines_after_pause(self, now: float) -> None:
        """Extend the deadlines of peers after a pause of this process.

        Otherwise a process that was paused would consider itself the only
        member, although its peers were alive and it only could not receive
        their heartbeats. Peers whose deadline had passed before the pause are
        not extended.
        """
        gap = now - self._last_clock_reading
        self._last_clock_reading = max(now, self._last_clock_reading)
        if gap <= _MAX_CLOCK_GAP_SECONDS:
            return
        _log.warning("this process was paused for {:.1f} s", gap)
        for peer in self._peers.values():
            if peer.deadline > now - gap - _CHECK_INTERVAL_SECONDS:
                peer.deadline = now + defaults.HEARTBEAT_TIMEOUT

    def _notify_member_changes(self) -> None:
        members = tuple(self.list_members())
        if members != self._last_members:
            _log.info("members: {}", ", ".join(members))
            self._last_members = members
            _members.set(len(members))
            self.changed.notify()

    @mode.Service.task
    async def _run_checks(self) -> None:
        while not self.should_stop:
            self._notify_member_changes()
            for name, peer in list(self._peers.items()):
                # Unlisted hosts are removed, and their channels closed, some
                # seconds after their deadline.
                overdue_seconds = self._clock() - peer.deadline
                if name not in self._hosts and overdue_seconds > 30.0:
                    del self._peers[name]
                    self._update_heartbeat_tasks()
            for name in self._channels.keys() - {
                *self._peers,
                *self._hosts,
                self.name,
            }:
                _, channel = self._channels.pop(name)
                del self._stubs[name]
                await channel.close()
            await self.sleep(_CHECK_INTERVAL_SECONDS)

    async def on_shutdown(self) -> None:
        """Close the channels to all entry hosts."""
        for _, channel in self._channels.values():
            await channel.close()
        self._channels.clear()
        self._stubs.clear()
