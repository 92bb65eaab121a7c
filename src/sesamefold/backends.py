"""State of the backend servers of the data centre."""

import asyncio
import random
import time
import typing as t

import attrs
import grpc
import logbook
import mode
import prometheus_client

from sesamefold import client
from sesamefold import configuration
from sesamefold import connections
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import membership as memberships
from sesamefold import notification
from sesamefold import rendezvous
from sesamefold import suspicions as suspicions_module
from sesamefold.wire import control_pb2

_log = logbook.Logger("backends")

COLD = "cold"
WARM = "warm"
LEAVING = "leaving"
DOWN = "down"
UNKNOWN = "unknown"

_servers = prometheus_client.Gauge(
    "sesamefold_backends", "Backend servers by state", ["state"]
)
_polls = prometheus_client.Counter(
    "sesamefold_backend_polls", "Polls of owned engines", ["result"]
)

# Deadline of one poll, seconds.
_POLL_SECONDS = 1.0
# Refused connections in a row after which an engine counts as down; one
# may be a full accept queue.
_REFUSALS_TO_DOWN = 2
# Between two evaluations of states that change with time alone, seconds.
_TICK = 0.5
# Changes of the load below this share of the limit are not sent to peers.
_LOAD_SHARE = 0.1
# A gateway's stream collects changes for this long, seconds.
_COALESCE_SECONDS = 0.05
# A control that has just started waits this long for the members' suspicions
# before its gateway may send requests to backend servers, seconds.
_FIRST_SUSPICIONS_SECONDS = 1.0
_FIRST_SUSPICIONS_POLL = 0.05


@attrs.define
class Poll:
    """What the owner of an engine has seen of it."""

    epoch: str = ""
    # Instant at which another epoch was seen; 0.0 before the first change.
    epoch_changed_at: float = 0.0
    warm_reported: bool = False
    measured_at: float = 0.0
    refusals: int = 0
    sequence: int = 0  # of the last cache event
    gap: bool = True  # events were missed, so the blocks must be listed
    listed_at: t.Optional[float] = None  # monotonic
    blocks: t.Set[str] = attrs.field(factory=set)

    def judge(self, load: engines.Load, now: float) -> str:
        """Take in a load report and return the state that it shows.

        After a restart a server is cold until it reports warm with a
        measurement that is newer than the restart; reports lag.
        """
        if load.epoch != self.epoch:
            if self.epoch:
                self.epoch_changed_at = now
                self.warm_reported = False
                self.sequence = 0
                # Members drop the entries of the engine when they learn of
                # the restart; the later listing restores new ones.
                self.gap = True
                self.listed_at = time.monotonic()
            self.epoch = load.epoch
        if not load.cold and load.measured_at >= self.epoch_changed_at:
            self.warm_reported = True
        if load.leaving:
            return LEAVING
        restarted = now - self.epoch_changed_at < defaults.COLD_SECONDS
        if load.cold or (restarted and not self.warm_reported):
            return COLD
        return WARM


@attrs.define
class Record:
    """What is known of one backend server.

    `report` is the latest state from its owner, `source` the owner's name and
    `refreshed_at` the instant at which the owner vouched for it last.
    """

    host: hostlist.Host
    report: t.Optional[control_pb2.BackendState] = None
    source: str = ""
    refreshed_at: float = 0.0
    failed_at: float = 0.0
    shown: t.Optional[control_pb2.BackendState] = None
    number: int = 0  # of the last change of `report`


class Backends(mode.Service):
    """Polls the owned servers, exchanges states and shows them to the gateway.

    Implements `membership.Reports`.
    """

    mundane_level = "debug"

    def __init__(
        self,
        membership: memberships.Membership,
        open_engine: t.Callable[[str], engines.Engine],
        get_configuration: t.Callable[[], configuration.Configuration],
        *,
        report_blocks: t.Optional[
            t.Callable[[control_pb2.ReportBlocksRequest], t.Awaitable[t.Any]]
        ] = None,
        drop_holder: t.Optional[t.Callable[[str, str], None]] = None,
        clock: t.Callable[[], float] = time.time,
        seed: t.Optional[int] = None,
        **kwargs: t.Any,
    ) -> None:
        super().__init__(**kwargs)
        self.changed = notification.Notification()
        # A server has left the warm state; gateways learn it without delay.
        self._worse = notification.Notification()
        self._membership = membership
        self._open_engine = open_engine
        self._get_configuration = get_configuration
        self._report_blocks = report_blocks
        self._drop_holder = drop_holder
        self._clock = clock
        self._random = random.Random(seed)
        self._records: t.Dict[str, Record] = {}
        self._polls: t.Dict[str, Poll] = {}
        self._tasks: t.Dict[str, t.Tuple[str, asyncio.Task]] = {}
        self._number = 0
        self._suspicions = suspicions_module.Suspicions(
            count_change=self._count_change, clock=clock
        )
        # Owners by server, valid for one set of members.
        self._members: t.Tuple[str, ...] = ()
        self._owners: t.Dict[str, t.Optional[str]] = {}
        # States of servers that this host's list does not name yet.
        self._early: t.Dict[
            str, t.Tuple[str, control_pb2.BackendState, float]
        ] = {}
        # Per peer: its incarnation and the last change that it has.
        self._confirmed: t.Dict[str, t.Tuple[str, int]] = {}

    # What other modules ask.

    def get_state(self, name: str) -> t.Optional[control_pb2.BackendState]:
        """Return the state of a server, None when it is not listed."""
        record = self._records.get(name)
        return None if record is None else record.shown

    def list_states(self) -> t.List[control_pb2.BackendState]:
        """Return the states of all listed servers."""
        return [
            record.shown
            for record in self._records.values()
            if record.shown is not None
        ]

    def get_owner(self, name: str) -> t.Optional[str]:
        """Return the control that owns a server."""
        members = tuple(self._membership.list_members())
        if members != self._members:
            self._members = members
            self._owners = {}
        if name not in self._owners:
            self._owners[name] = rendezvous.choose_owner(name, members)
        return self._owners[name]

    async def watch(self) -> t.AsyncIterator[control_pb2.BackendStates]:
        """Yield all states, then changes."""
        await self._wait_for_members()
        sent: t.Dict[str, control_pb2.BackendState] = {}
        number = 0  # of the last change that was looked at
        full = True
        while True:
            event = self.changed.event
            # A state that has not changed is the same object.
            now = {state.name: state for state in self.list_states()}
            states = [
                state
                for name, state in now.items()
                if sent.get(name) is not state
            ]
            removed = sorted(sent.keys() - now.keys())
            sent = now
            suspicions = self._suspicions.list_changes(number)
            number = self._number
            if full or states or removed or suspicions:
                yield control_pb2.BackendStates(
                    full=full,
                    states=states,
                    removed=removed,
                    suspicions=suspicions,
                )
                full = False
            worse = self._worse.event
            await event.wait()
            await notification.wait_with_timeout(worse, _COALESCE_SECONDS)

    async def _wait_for_members(self) -> None:
        end = time.monotonic() + _FIRST_SUSPICIONS_SECONDS
        while (
            not self._membership.has_heartbeats_of_all_members()
            and time.monotonic() < end
        ):
            await asyncio.sleep(_FIRST_SUSPICIONS_POLL)

    async def report_failure(
        self, request: control_pb2.ReportFailureRequest, forwarded: bool
    ) -> None:
        """Take in that a gateway saw a server fail.

        The report is sent on to the owner once, which tells the members.
        """
        record = self._records.get(request.backend)
        if record is None:
            return
        epoch = "" if record.report is None else record.report.epoch
        if request.epoch and epoch and request.epoch != epoch:
            # The server has restarted since.
            return
        _log.warning(
            "backend server {} failed: {}", request.backend, request.reason
        )
        record.failed_at = self._clock()
        owner = self.get_owner(request.backend)
        self._show(record)
        if owner == self._membership.name:
            self._publish_failure(record)
        if forwarded or owner is None or owner == self._membership.name:
            return
        try:
            await self._membership.get_stub(owner).ReportFailure(
                request,
                timeout=defaults.CONTROL_TIMEOUT,
                metadata=((client.FORWARDED_KEY, "1"),),
            )
        except (grpc.RpcError, exceptions.ControlUnavailable) as error:
            _log.warning("{} took no failure report: {!r}", owner, error)

    def report_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> None:
        """Take in suspicions of the own gateway and tell the members.

        With the next regular heartbeat, the caller of a crash-causing request
        could send it through another gateway that doesn't know the crash.
        """
        if self._merge_suspicions(suspicions):
            self._membership.send_heartbeats_now()

    def _merge_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> bool:
        changed = self._suspicions.merge(suspicions)
        if changed:
            self.changed.notify()
            self._worse.notify()
        return changed

    # Exchange with the members.

    def collect_states(
        self, peer: str, incarnation: str
    ) -> t.Tuple[t.List[control_pb2.BackendState], int]:
        """Return the states that a peer lacks and a mark for `acknowledge`."""
        known, number = self._confirmed.get(peer, ("", 0))
        after = number if known == incarnation else 0
        return [
            record.report
            for record in self._records.values()
            if record.source == self._membership.name
            and record.report is not None
            and record.number > after
        ], self._number

    def collect_suspicions(
        self, peer: str, incarnation: str
    ) -> t.List[control_pb2.Suspicion]:
        """Return the suspicions that a peer lacks.

        Those of other hosts are included: a host that starts late gets them
        even if the gateways that saw the crashes are gone.
        """
        known, number = self._confirmed.get(peer, ("", 0))
        return self._suspicions.list_changes(
            number if known == incarnation else 0
        )

    def receive_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> None:
        """Take in suspicions that a member sent."""
        self._merge_suspicions(suspicions)

    def acknowledge(self, peer: str, incarnation: str, mark: int) -> None:
        """Note that a peer has received what `collect_states` returned.

        A restarted peer has another incarnation and gets everything again.
        """
        known, number = self._confirmed.get(peer, (incarnation, 0))
        if known == incarnation:
            self._confirmed[peer] = (incarnation, max(number, mark))
        else:
            self._confirmed[peer] = (incarnation, 0)

    def receive_states(
        self,
        sender: control_pb2.Member,
        states: t.Iterable[control_pb2.BackendState],
        sent_at: float,
    ) -> None:
        """Take in the states of servers that a member owns.

        The heartbeat also vouches for the states that the same owner sent
        before and that have not changed.
        """
        for state in states:
            record = self._records.get(state.name)
            if record is None:
                self._early[state.name] = (sender.name, state, sent_at)
                continue
            if self._outranks(record, sender.name, sent_at):
                record.report = state
                record.source = sender.name
                record.refreshed_at = sent_at
                self._show(record)
        for name, record in self._records.items():
            if record.source != sender.name:
                continue
            if sender.leaving or self.get_owner(name) != sender.name:
                # An earlier owner does not poll any more.
                record.source = ""
            elif sent_at > record.refreshed_at:
                record.refreshed_at = sent_at
                self._show(record)

    def _outranks(self, record: Record, sender: str, sent_at: float) -> bool:
        """Tell whether a sender's report replaces the one that is held.

        While the owner changes, both may report. The owner's report counts;
        the earlier owner's is kept until the new one has reported.
        """
        if record.source in ("", sender):
            return True
        owner = self.get_owner(record.host.name)
        if sender == owner:
            return True
        stale = sent_at - record.refreshed_at > defaults.STATE_TIMEOUT
        return record.source != owner and stale

    # What is shown.

    def judge(self, record: Record, now: float) -> str:
        """Return the state of a server as the gateway shall see it."""
        failed = now - record.failed_at < defaults.FAILURE_SECONDS
        kind = self._get_kind(record.host)
        if record.host.state == "leaving":
            return LEAVING
        report = record.report
        fresh = now - record.refreshed_at <= defaults.STATE_TIMEOUT
        if kind == "service":
            # Without a load report, listed means live; failures count.
            down = fresh and report is not None and report.state == DOWN
            return DOWN if failed or down else WARM
        if report is None or not fresh:
            return UNKNOWN
        if failed and report.measured_at < record.failed_at:
            # No report is newer than the failure.
            return DOWN
        return report.state

    def _get_kind(self, host: hostlist.Host) -> str:
        group = self._get_configuration().groups.get(host.group)
        return "" if group is None else group.kind

    def _show(self, record: Record) -> None:
        state = control_pb2.BackendState()
        if record.report is not None:
            state.CopyFrom(record.report)
        state.name = record.host.name
        state.address = record.host.address
        state.group = record.host.group
        state.data_centre = record.host.data_centre
        state.state = self.judge(record, self._clock())
        before = "" if record.shown is None else record.shown.epoch
        if before and state.epoch not in ("", before) and self._drop_holder:
            # The engine's context was lost with the restart.
            self._drop_holder("engine", state.name)
        if record.shown is None or record.shown != state:
            if record.shown is not None and record.shown.state == WARM:
                if state.state != WARM:
                    self._worse.notify()
            record.shown = state
            self.changed.notify()

    def _note_change(self, record: Record) -> None:
        record.number = self._count_change()

    def _count_change(self) -> int:
        self._number += 1
        return self._number

    def _publish(
        self, record: Record, state: control_pb2.BackendState
    ) -> None:
        """Take in the state of an owned server."""
        old = record.report
        record.refreshed_at = self._clock()
        if (
            old is None
            or record.source != self._membership.name
            or _differs(old, state)
            # Members wait for a report that is newer than a failure.
            or old.measured_at < record.failed_at
        ):
            record.report = state
            record.source = self._membership.name
            self._note_change(record)
        elif state.measured_at > old.measured_at:
            # Peers need no message for a small change of the load.
            record.report = state
        self._show(record)

    # Listing and ownership.

    @mode.Service.task
    async def _follow(self) -> None:
        """Follow the host list, the members and the clock."""
        while not self.should_stop:
            event = self._membership.changed.event
            self.adjust()
            await self.wait_first(event, timeout=_TICK)

    def adjust(self) -> None:
        """Adjust records and polling to the host list and the members."""
        hosts = {host.name: host for host in self._membership.list_backends()}
        for name in self._records.keys() - hosts.keys():
            del self._records[name]
            self._polls.pop(name, None)
            self.changed.notify()
        for name, host in hosts.items():
            record = self._records.get(name)
            if record is None or record.host.address != host.address:
                self._records[name] = self._open_record(host)
                self._polls.pop(name, None)
            else:
                record.host = host
        owned = {
            name
            for name in hosts
            if self.get_owner(name) == self._membership.name
        }
        for name, record in self._records.items():
            if record.source == self._membership.name and name not in owned:
                record.source = ""
            if name in owned and self._get_kind(record.host) == "service":
                self._publish_service(record)
            self._show(record)
        engines_owned = {
            name: hosts[name].address
            for name in owned
            if self._get_kind(hosts[name]) == "engine"
        }
        for name, (address, task) in list(self._tasks.items()):
            if engines_owned.get(name) != address or task.done():
                task.cancel()
                del self._tasks[name]
        for name in engines_owned.keys() - self._tasks.keys():
            address = engines_owned[name]
            task = self.add_future(self._follow_engine(name, address))
            self._tasks[name] = (address, task)
        self._count()

    def _open_record(self, host: hostlist.Host) -> Record:
        source, state, sent_at = self._early.pop(host.name, ("", None, 0.0))
        return Record(host, state, source, sent_at)

    def _publish_service(self, record: Record) -> None:
        """Publish the state of a plain service, which reports no load."""
        now = self._clock()
        failed = now - record.failed_at < defaults.FAILURE_SECONDS
        self._publish(
            record,
            control_pb2.BackendState(
                name=record.host.name, state=DOWN if failed else WARM
            ),
        )

    def _publish_failure(self, record: Record) -> None:
        """Tell the members at once that an owned server has failed.

        It may have restarted cold. Until a report is newer than the failure,
        the members' gateways need permits; with the next regular heartbeat
        they would send unlimited requests for up to a second more.
        """
        if self._get_kind(record.host) == "service":
            self._publish_service(record)
        elif record.report is not None:
            state = control_pb2.BackendState()
            state.CopyFrom(record.report)
            state.state = UNKNOWN
            record.report = state
            self._note_change(record)
        self._membership.send_heartbeats_now()

    def _count(self) -> None:
        states = [state.state for state in self.list_states()]
        for state in (COLD, WARM, LEAVING, DOWN, UNKNOWN):
            _servers.labels(state).set(states.count(state))

    # Polling.

    async def _follow_engine(self, name: str, address: str) -> None:
        await asyncio.gather(
            self._poll_engine(name, address),
            connections.watch(address, lambda: self._suspect_restart(name)),
        )

    def _suspect_restart(self, name: str) -> None:
        """Treat the loss of an idle connection as a possible restart.

        Load reports lag. Without this, a server that restarts while it is
        idle would get requests without permits for up to a second.
        """
        record, poll = self._records.get(name), self._polls.get(name)
        if record is None or poll is None or record.report is None:
            return
        # The server is cold until a newer measurement says otherwise.
        poll.epoch_changed_at = self._clock()
        poll.warm_reported = False
        state = control_pb2.BackendState()
        state.CopyFrom(record.report)
        state.state = COLD
        self._publish(record, state)
        self._membership.send_heartbeats_now()

    async def _poll_engine(self, name: str, address: str) -> None:
        engine = self._open_engine(address)
        poll = self._open_poll(self._records[name])
        events_at = 0.0
        await self.sleep(self._random.uniform(0.0, 0.1))
        while not self.should_stop:
            await self._poll_load(name, engine, poll)
            now = time.monotonic()
            if (
                self._report_blocks is not None
                and poll.refusals == 0
                and now - events_at >= defaults.EVENTS_INTERVAL
            ):
                events_at = now
                await self._poll_events(name, engine, poll)
            await self.sleep(
                defaults.LOAD_INTERVAL * self._random.uniform(0.9, 1.1)
            )

    def _open_poll(self, record: Record) -> Poll:
        """Return what this control knows when it becomes the owner."""
        report = record.report
        poll = self._polls.setdefault(record.host.name, Poll())
        if report is not None and report.epoch:
            # A restart is seen although another control owned the server.
            poll.epoch = report.epoch
            if report.state == COLD:
                # It has to report warm to this control, too.
                poll.epoch_changed_at = self._clock()
                poll.warm_reported = False
        # A new owner does not know which events the last one has reported.
        poll.gap = True
        return poll

    async def _poll_load(
        self, name: str, engine: engines.Engine, poll: Poll
    ) -> None:
        try:
            load = await engine.fetch_load(
                deadlines.Deadline.after(_POLL_SECONDS)
            )
        except exceptions.BackendUnreachable:
            _polls.labels("unreachable").inc()
            poll.refusals += 1
            record = self._records.get(name)
            if poll.refusals >= _REFUSALS_TO_DOWN and record is not None:
                self._publish(
                    record,
                    control_pb2.BackendState(
                        name=name, state=DOWN, epoch=poll.epoch
                    ),
                )
            return
        except exceptions.SesamefoldError:
            _polls.labels("failed").inc()
            self._withdraw(name)
            return
        _polls.labels("answered").inc()
        poll.refusals = 0
        self.take_load(name, load, poll)

    def take_load(self, name: str, load: engines.Load, poll: Poll) -> None:
        """Take in a load report of an owned engine.

        A report whose measurement is not newer than the last one does not
        refresh the state: the engine may answer while its reports are stuck.
        """
        record = self._records.get(name)
        if record is None:
            return
        fresh = load.measured_at > poll.measured_at or load.epoch != poll.epoch
        poll.measured_at = load.measured_at
        state = control_pb2.BackendState(
            name=name,
            state=poll.judge(load, self._clock()),
            epoch=load.epoch,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            versions=load.versions,
            measured_at=load.measured_at,
            role=load.role,
        )
        if fresh:
            self._publish(record, state)
        else:
            self._withdraw(name)

    def _withdraw(self, name: str) -> None:
        """Publish that the state is not known once it is too old.

        Peers refresh a state with each heartbeat of the owner, so the owner
        has to say that it does not know it any more.
        """
        record = self._records.get(name)
        if (
            record is None
            or record.report is None
            or record.source != self._membership.name
            or record.report.state == UNKNOWN
        ):
            return
        if self._clock() - record.refreshed_at > defaults.STATE_TIMEOUT:
            state = control_pb2.BackendState()
            state.CopyFrom(record.report)
            state.state = UNKNOWN
            record.report = state
            self._note_change(record)
            self._show(record)

    async def _poll_events(
        self, name: str, engine: engines.Engine, poll: Poll
    ) -> None:
        """Report what an engine stored and freed.

        The first call lists all blocks, and so does a gap in the sequence,
        at most once per `DIRECTORY_RESYNC_INTERVAL`.
        """
        deadline = deadlines.Deadline.after(_POLL_SECONDS)
        try:
            events = await engine.fetch_events(poll.sequence, deadline)
            stored, freed = follow_events(poll, events)
            now = time.monotonic()
            if poll.gap and (
                poll.listed_at is None
                or now - poll.listed_at >= defaults.DIRECTORY_RESYNC_INTERVAL
            ):
                poll.listed_at = now
                stored = {*await engine.list_blocks(deadline)}
                freed = (poll.blocks | freed) - stored
                poll.blocks = {*stored}
                poll.gap = False
        except exceptions.SesamefoldError as error:
            _log.warning("{} sent no cache events: {}", name, error)
            return
        if not stored and not freed:
            return
        holder = control_pb2.Holder(kind="engine", name=name)
        request = control_pb2.ReportBlocksRequest(
            stored=[
                control_pb2.BlockEntry(block=block, holders=[holder])
                for block in sorted(stored)
            ],
            removed=[
                control_pb2.BlockEntry(block=block, holders=[holder])
                for block in sorted(freed)
            ],
        )
        try:
            await self._report_blocks(request)
        except (grpc.RpcError, exceptions.SesamefoldError) as error:
            _log.warning("the directory took no report: {!r}", error)


def follow_events(
    poll: Poll, events: t.Iterable[engines.CacheEvent]
) -> t.Tuple[t.Set[str], t.Set[str]]:
    """Take in cache events and return the blocks stored and freed.

    Sets `poll.gap` when a sequence number is missing.
    """
    stored: t.Set[str] = set()
    freed: t.Set[str] = set()
    for event in sorted(events, key=lambda event: event.sequence):
        if event.sequence <= poll.sequence:
            continue
        if event.sequence != poll.sequence + 1:
            poll.gap = True
        poll.sequence = event.sequence
        if event.kind == "stored":
            stored.add(event.block)
            freed.discard(event.block)
            poll.blocks.add(event.block)
        else:
            freed.add(event.block)
            stored.discard(event.block)
            poll.blocks.discard(event.block)
    return stored, freed


def _differs(
    old: control_pb2.BackendState, new: control_pb2.BackendState
) -> bool:
    """Tell whether members need the new state."""
    threshold = max(1.0, _LOAD_SHARE * new.limit)
    load = old.running + old.queued
    return (
        (old.state, old.epoch, old.limit, old.role)
        != (new.state, new.epoch, new.limit, new.role)
        or list(old.versions) != list(new.versions)
        or abs(new.running + new.queued - load) >= threshold
    )
