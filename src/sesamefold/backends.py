"""States of the backend servers of the data centre."""

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
from sesamefold import quarantine
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

# Timeout of one call to an engine, seconds.
_POLL_TIMEOUT_SECONDS = 1.0
# Consecutive refused connections after which an engine is down. A single
# refusal may come from a full accept queue.
_REFUSALS_UNTIL_DOWN = 2
# Interval of the re-evaluation of states that change with time alone, seconds.
_RECONCILE_INTERVAL_SECONDS = 0.5
# Load changes below this share of the limit are not sent to peers.
_MIN_LOAD_CHANGE_SHARE = 0.1
# Time for which changes for a gateway are collected into one message, seconds.
_COALESCE_SECONDS = 0.05
# A control that has just started waits up to this long for the suspicions of
# its peers before it sends backend states to its gateway, seconds. Without
# these states the gateway sends no requests to backend servers.
_MEMBERS_TIMEOUT_SECONDS = 1.0
# Interval of the check for the peers' heartbeats meanwhile, seconds.
_MEMBERS_POLL_INTERVAL_SECONDS = 0.05


@attrs.define
class PollState:
    """Results of polling an engine, kept by the control that owns it.

    `epoch` is the boot epoch that the engine reported last, and
    `epoch_changed_at` the Unix time at which it changed or a restart was
    suspected, 0.0 before that. `warm_reported` is set if a newer measurement
    reported the engine as warm. `measured_at` is the Unix time of the latest
    load measurement. `refusals_in_a_row` counts refused connections since the
    last answer. `last_sequence` is the sequence number of the last cache
    event. While `has_missed_events` is set, `blocks` may be incomplete and
    the engine's blocks must be listed; `listed_at` is the monotonic time of
    the last listing or restart.
    """

    epoch: str = ""
    epoch_changed_at: float = 0.0
    warm_reported: bool = False
    measured_at: float = 0.0
    refusals_in_a_row: int = 0
    last_sequence: int = 0
    has_missed_events: bool = True
    listed_at: t.Optional[float] = None
    blocks: t.Set[str] = attrs.field(factory=set)

    def apply_load(self, load: engines.Load, now: float) -> str:
        """Apply a load report and return the state of the engine.

        An engine that reports cold is cold. Because reports lag, an engine
        also counts as cold for `defaults.COLD_SECONDS` after a restart, or
        until a measurement that is newer than the restart reports it as warm.
        `now` is the Unix time in seconds.
        """
        if load.epoch != self.epoch:
            if self.epoch:
                self.epoch_changed_at = now
                self.warm_reported = False
                self.last_sequence = 0
                # Controls remove the engine from the directory when they see
                # the new epoch. The listing is postponed until then, and adds
                # the blocks that the engine stored since the restart.
                self.has_missed_events = True
                self.listed_at = time.monotonic()
            self.epoch = load.epoch
        if not load.cold and _is_later(
            load.measured_at, self.epoch_changed_at
        ):
            self.warm_reported = True
        if load.leaving:
            return LEAVING
        restarted = now - self.epoch_changed_at < defaults.COLD_SECONDS
        if load.cold or (restarted and not self.warm_reported):
            return COLD
        return WARM


@attrs.define
class BackendRecord:
    """State of one backend server as known to this control.

    `report` is the latest state from the server's owner, `source` the name of
    the control that sent it, `incarnation` that control's incarnation, and
    `refreshed_at` the Unix time at which that incarnation last confirmed it.
    `failed_at` is the Unix time of the last failure that a gateway reported.
    `effective_state` is the state that is sent to the gateway.
    """

    host: hostlist.Host
    report: t.Optional[control_pb2.BackendState] = None
    source: str = ""
    incarnation: str = ""
    refreshed_at: float = 0.0
    failed_at: float = float("-inf")
    effective_state: t.Optional[control_pb2.BackendState] = None


class Backends(mode.Service):
    """Polls owned engines, exchanges states and streams them to the gateway.

    Each server is owned by one control of the data centre, which polls it and
    sends its state to its peers with the heartbeats. Implements
    `membership.Reports`. `clock` returns the Unix time in seconds.
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
        # Signals changes that are sent to the gateway without delay: servers
        # that left the warm state and new suspicions.
        self._urgent_change = notification.Notification()
        self._membership = membership
        self._open_engine = open_engine
        self._get_configuration = get_configuration
        self._report_blocks = report_blocks
        self._drop_holder = drop_holder
        self._clock = clock
        self._random = random.Random(seed)
        self._records: t.Dict[str, BackendRecord] = {}
        self._poll_states: t.Dict[str, PollState] = {}
        self._tasks: t.Dict[str, t.Tuple[str, asyncio.Task]] = {}
        self._last_change_number = 0
        self._suspicions = suspicions_module.Suspicions(
            allocate_change_number=self._allocate_change_number,
            clock=clock,
            types=quarantine.MESSAGE_TYPES,
        )
        # Cache of the owner of each server, valid for `_members`.
        self._members: t.Tuple[str, ...] = ()
        self._owners: t.Dict[str, t.Optional[str]] = {}
        # Records of servers that are not listed here yet.
        self._unlisted_records: t.Dict[str, BackendRecord] = {}
        # Incarnation of each peer and the last change that it acknowledged.
        self._acknowledged: t.Dict[str, t.Tuple[str, int]] = {}

    # Queries and reports of the gateway and other modules.

    def get_state(self, name: str) -> t.Optional[control_pb2.BackendState]:
        """Return the effective state of a server, None if it is not listed."""
        record = self._records.get(name)
        return None if record is None else record.effective_state

    def list_states(self) -> t.List[control_pb2.BackendState]:
        """Return the effective states of all listed servers."""
        return [
            record.effective_state
            for record in self._records.values()
            if record.effective_state is not None
        ]

    def get_owner(self, name: str) -> t.Optional[str]:
        """Return the name of the control that owns a server."""
        members = tuple(self._membership.list_members())
        if members != self._members:
            self._members = members
            self._owners = {}
        if name not in self._owners:
            self._owners[name] = rendezvous.choose_owner(name, members)
        return self._owners[name]

    async def watch(self) -> t.AsyncIterator[control_pb2.BackendStates]:
        """Yield the states of all servers, then changes.

        Changes are collected for `_COALESCE_SECONDS`, except for servers that
        leave the warm state and for suspicions.
        """
        await self._wait_for_members()
        sent: t.Dict[str, control_pb2.BackendState] = {}
        sent_number = 0  # last change number that was sent
        full = True
        while True:
            event = self.changed.event
            # An unchanged state is the same object as before.
            current = {state.name: state for state in self.list_states()}
            states = [
                state
                for name, state in current.items()
                if sent.get(name) is not state
            ]
            removed = sorted(sent.keys() - current.keys())
            sent = current
            suspicions = self._suspicions.list_changes(sent_number)
            sent_number = self._last_change_number
            if full or states or removed or suspicions:
                yield control_pb2.BackendStates(
                    full=full,
                    states=states,
                    removed=removed,
                    suspicions=suspicions,
                )
                full = False
            urgent_event = self._urgent_change.event
            await event.wait()
            await notification.wait_with_timeout(
                urgent_event, _COALESCE_SECONDS
            )

    async def _wait_for_members(self) -> None:
        end = time.monotonic() + _MEMBERS_TIMEOUT_SECONDS
        while (
            not self._membership.has_heartbeats_of_all_members()
            and time.monotonic() < end
        ):
            await asyncio.sleep(_MEMBERS_POLL_INTERVAL_SECONDS)

    async def report_failure(
        self, request: control_pb2.ReportFailureRequest, forwarded: bool
    ) -> None:
        """Record that a gateway saw a server fail.

        The report is forwarded once to the server's owner, which sends the
        new state to its peers. Reports of an earlier epoch are ignored.
        """
        record = self._records.get(request.backend)
        if record is None:
            return
        epoch = "" if record.report is None else record.report.epoch
        if request.epoch and epoch and request.epoch != epoch:
            # The server has restarted since the failure.
            return
        _log.warning(
            "backend server {} failed: {}", request.backend, request.reason
        )
        record.failed_at = self._clock()
        owner = self.get_owner(request.backend)
        self._update_effective_state(record)
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
            _log.warning(
                "control {} did not accept a failure report: {!r}",
                owner,
                error,
            )

    def report_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> None:
        """Merge suspicions of the local gateway and send them to all peers.

        They are sent at once. If they waited for the next regular heartbeat,
        the caller of a request that crashes servers could retry it through
        another gateway that does not know of the crash.
        """
        if self._merge_suspicions(suspicions):
            self._membership.send_heartbeats_now()

    def _merge_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> bool:
        changed = self._suspicions.merge(suspicions)
        if changed:
            self.changed.notify()
            self._urgent_change.notify()
        return changed

    # Exchange of states with peers.

    def collect_states(
        self, peer: str, incarnation: str
    ) -> t.Tuple[t.List[control_pb2.BackendState], int]:
        """Return the owned states that a peer lacks, and a mark.

        The mark, for `acknowledge`, is the number of the latest change.
        """
        known_incarnation, number = self._acknowledged.get(peer, ("", 0))
        after = number if known_incarnation == incarnation else 0
        return [
            record.report
            for record in self._records.values()
            if record.source == self._membership.name
            and record.report is not None
            and record.report.change_number > after
        ], self._last_change_number

    def collect_suspicions(
        self, peer: str, incarnation: str
    ) -> t.List[control_pb2.Suspicion]:
        """Return the suspicions that a peer lacks.

        Suspicions received from other hosts are included, so a host that
        starts later gets them even if the gateways that saw the crashes are
        gone.
        """
        known_incarnation, number = self._acknowledged.get(peer, ("", 0))
        return self._suspicions.list_changes(
            number if known_incarnation == incarnation else 0
        )

    def receive_suspicions(
        self, suspicions: t.Iterable[control_pb2.Suspicion]
    ) -> None:
        """Merge suspicions that a peer sent."""
        self._merge_suspicions(suspicions)

    def acknowledge(self, peer: str, incarnation: str, mark: int) -> None:
        """Record that a peer has received the changes up to a mark.

        A restarted peer has another incarnation and is sent all states and
        suspicions again.
        """
        known_incarnation, number = self._acknowledged.get(
            peer, (incarnation, 0)
        )
        if known_incarnation == incarnation:
            self._acknowledged[peer] = (incarnation, max(number, mark))
        else:
            self._acknowledged[peer] = (incarnation, 0)

    def receive_states(
        self,
        sender: control_pb2.Member,
        states: t.Iterable[control_pb2.BackendState],
        sent_at: float,
        sent_until: float,
    ) -> None:
        """Apply the states that a peer sent with a heartbeat or reply.

        The heartbeat also refreshes the unchanged states that the same
        incarnation of the owner sent before. `sent_at` and `sent_until` are
        the earliest and the latest time at which the peer sent it, in Unix
        seconds.
        """
        for state in states:
            record = self._records.get(state.name)
            if record is None:
                record = self._unlisted_records.setdefault(
                    state.name,
                    BackendRecord(
                        hostlist.Host(
                            state.name,
                            "backend",
                            self._membership.data_centre,
                            "",
                        )
                    ),
                )
            if not self._supersedes(record, sender, state, sent_until):
                continue
            record.report = state
            record.source = sender.name
            record.incarnation = sender.incarnation
            record.refreshed_at = sent_at
            if state.name in self._records:
                self._update_effective_state(record)
        for name, record in self._records.items():
            if record.source != sender.name:
                continue
            if sender.leaving or self.get_owner(name) != sender.name:
                # A former owner no longer polls the server.
                record.source = ""
            elif (
                # A control that has restarted may not have polled the server.
                record.incarnation == sender.incarnation
                and sent_at > record.refreshed_at
            ):
                record.refreshed_at = sent_at
                self._update_effective_state(record)

    def _supersedes(
        self,
        record: BackendRecord,
        sender: control_pb2.Member,
        state: control_pb2.BackendState,
        sent_until: float,
    ) -> bool:
        """Return whether a sender's state replaces the current report.

        An older state of the same sender does not. While the owner changes,
        both controls may report. The report of the owner takes precedence;
        that of the former owner is kept until the new owner has reported.
        """
        if is_outdated(record, sender.incarnation, state, sent_until):
            return False
        if record.source in ("", sender.name):
            return True
        owner = self.get_owner(record.host.name)
        if sender.name == owner:
            return True
        stale = sent_until - record.refreshed_at > defaults.STATE_TIMEOUT
        return record.source != owner and stale

    # Effective states.

    def evaluate_state(self, record: BackendRecord, now: float) -> str:
        """Return the state of a server to send to the gateway."""
        failed = now - record.failed_at < defaults.FAILURE_SECONDS
        kind = self._get_kind(record.host)
        if record.host.state == "leaving":
            return LEAVING
        report = record.report
        fresh = now - record.refreshed_at <= defaults.STATE_TIMEOUT
        if kind == "service":
            # A plain service reports no load: it is warm while it is listed,
            # except after a reported failure.
            down = fresh and report is not None and report.state == DOWN
            return DOWN if failed or down else WARM
        if report is None or not fresh:
            return UNKNOWN
        if failed and not _is_later(report.measured_at, record.failed_at):
            # The latest measurement may be older than the failure.
            return DOWN
        return report.state

    def _get_kind(self, host: hostlist.Host) -> str:
        group = self._get_configuration().groups.get(host.group)
        return "" if group is None else group.kind

    def _update_effective_state(self, record: BackendRecord) -> None:
        state = control_pb2.BackendState()
        if record.report is not None:
            state.CopyFrom(record.report)
        state.name = record.host.name
        state.address = record.host.address
        state.group = record.host.group
        state.data_centre = record.host.data_centre
        state.state = self.evaluate_state(record, self._clock())
        state.ClearField("change_number")
        previous_epoch = (
            ""
            if record.effective_state is None
            else record.effective_state.epoch
        )
        if (
            previous_epoch
            and state.epoch not in ("", previous_epoch)
            and self._drop_holder
        ):
            # The engine restarted and lost its cached blocks.
            self._drop_holder("engine", state.name)
        if record.effective_state is None or record.effective_state != state:
            if (
                record.effective_state is not None
                and record.effective_state.state == WARM
            ):
                if state.state != WARM:
                    self._urgent_change.notify()
            record.effective_state = state
            self.changed.notify()

    def _set_own_report(
        self, record: BackendRecord, state: control_pb2.BackendState
    ) -> None:
        """Store a state under a new change number, to be sent to all peers."""
        state.change_number = self._allocate_change_number()
        record.report = state
        record.source = self._membership.name
        record.incarnation = self._membership.member.incarnation

    def _allocate_change_number(self) -> int:
        self._last_change_number += 1
        return self._last_change_number

    def _publish(
        self, record: BackendRecord, state: control_pb2.BackendState
    ) -> None:
        """Store the state of an owned server and mark significant changes."""
        old = record.report
        record.refreshed_at = self._clock()
        if (
            old is None
            or record.source != self._membership.name
            or _is_significant_change(old, state)
            # Peers need a report that is newer than the failure.
            or not _is_later(old.measured_at, record.failed_at)
        ):
            self._set_own_report(record, state)
        elif state.measured_at > old.measured_at:
            # A small change of the load is not sent to peers.
            state.change_number = old.change_number
            record.report = state
        self._update_effective_state(record)

    # Host list and ownership.

    @mode.Service.task
    async def _run_reconciliation(self) -> None:
        """Call `reconcile` on changes of the membership and periodically."""
        while not self.should_stop:
            event = self._membership.changed.event
            self.reconcile()
            await self.wait_first(event, timeout=_RECONCILE_INTERVAL_SECONDS)

    def reconcile(self) -> None:
        """Bring records and polling in line with the hosts and members."""
        hosts = {host.name: host for host in self._membership.list_backends()}
        for name in self._records.keys() - hosts.keys():
            del self._records[name]
            self._poll_states.pop(name, None)
            self.changed.notify()
        for name, host in hosts.items():
            record = self._records.get(name)
            if record is None or record.host.address != host.address:
                self._records[name] = self._make_record(host)
                self._poll_states.pop(name, None)
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
            self._update_effective_state(record)
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
            task = self.add_future(self._monitor_engine(name, address))
            self._tasks[name] = (address, task)
        self._update_metrics()

    def _make_record(self, host: hostlist.Host) -> BackendRecord:
        record = self._unlisted_records.pop(host.name, BackendRecord(host))
        record.host = host
        return record

    def _publish_service(self, record: BackendRecord) -> None:
        """Publish the state of an owned service, which reports no load."""
        now = self._clock()
        failed = now - record.failed_at < defaults.FAILURE_SECONDS
        self._publish(
            record,
            control_pb2.BackendState(
                name=record.host.name, state=DOWN if failed else WARM
            ),
        )

    def _publish_failure(self, record: BackendRecord) -> None:
        """Send the failure of an owned server to all peers at once.

        The server may have restarted cold. An engine's state is unknown until
        a report is newer than the failure, so that the peers' gateways need
        permits. If the state waited for the next regular heartbeat, they would
        send requests without a limit for up to one more second.
        """
        if self._get_kind(record.host) == "service":
            self._publish_service(record)
        elif record.report is not None:
            state = control_pb2.BackendState()
            state.CopyFrom(record.report)
            state.state = UNKNOWN
            self._set_own_report(record, state)
        self._membership.send_heartbeats_now()

    def _update_metrics(self) -> None:
        states = [state.state for state in self.list_states()]
        for state in (COLD, WARM, LEAVING, DOWN, UNKNOWN):
            _servers.labels(state).set(states.count(state))

    # Polling.

    async def _monitor_engine(self, name: str, address: str) -> None:
        await asyncio.gather(
            self._poll_engine(name, address),
            connections.watch(address, lambda: self._suspect_restart(name)),
        )

    def _suspect_restart(self, name: str) -> None:
        """Treat the loss of the idle connection to an engine as a restart.

        Load reports lag. Otherwise an engine that restarts while it is idle
        would get requests without permits for up to one second.
        """
        record, poll_state = (
            self._records.get(name),
            self._poll_states.get(name),
        )
        if record is None or poll_state is None or record.report is None:
            return
        # The engine is cold until a newer measurement reports it as warm.
        poll_state.epoch_changed_at = self._clock()
        poll_state.warm_reported = False
        state = control_pb2.BackendState()
        state.CopyFrom(record.report)
        state.state = COLD
        self._publish(record, state)
        self._membership.send_heartbeats_now()

    async def _poll_engine(self, name: str, address: str) -> None:
        engine = self._open_engine(address)
        poll_state = self._get_poll_state(self._records[name])
        events_at = 0.0
        await self.sleep(self._random.uniform(0.0, 0.1))
        while not self.should_stop:
            await self._poll_load(name, engine, poll_state)
            now = time.monotonic()
            if (
                self._report_blocks is not None
                and poll_state.refusals_in_a_row == 0
                and now - events_at >= defaults.EVENTS_INTERVAL
            ):
                events_at = now
                await self._poll_events(name, engine, poll_state)
            await self.sleep(
                defaults.LOAD_INTERVAL * self._random.uniform(0.9, 1.1)
            )

    def _get_poll_state(self, record: BackendRecord) -> PollState:
        """Return the poll state with which this control starts polling."""
        report = record.report
        poll_state = self._poll_states.setdefault(
            record.host.name, PollState()
        )
        if report is not None and report.epoch:
            # Detects a restart that happens while the owner changes.
            poll_state.epoch = report.epoch
            if report.state == COLD:
                # The engine must report to this control that it is warm.
                poll_state.epoch_changed_at = self._clock()
                poll_state.warm_reported = False
        # A new owner does not know which events the former one reported.
        poll_state.has_missed_events = True
        return poll_state

    async def _poll_load(
        self, name: str, engine: engines.Engine, poll_state: PollState
    ) -> None:
        try:
            load = await engine.fetch_load(
                deadlines.Deadline.after(_POLL_TIMEOUT_SECONDS)
            )
        except exceptions.BackendUnreachable:
            _polls.labels("unreachable").inc()
            poll_state.refusals_in_a_row += 1
            record = self._records.get(name)
            if (
                poll_state.refusals_in_a_row >= _REFUSALS_UNTIL_DOWN
                and record is not None
            ):
                self._publish(
                    record,
                    control_pb2.BackendState(
                        name=name, state=DOWN, epoch=poll_state.epoch
                    ),
                )
            return
        except exceptions.SesamefoldError:
            _polls.labels("failed").inc()
            self._expire_state(name)
            return
        _polls.labels("answered").inc()
        poll_state.refusals_in_a_row = 0
        self.apply_load_report(name, load, poll_state)

    def apply_load_report(
        self, name: str, load: engines.Load, poll_state: PollState
    ) -> None:
        """Apply a load report of an owned engine and publish its state.

        A report refreshes the state only if its measurement is newer than the
        last one or its epoch has changed: an engine may answer calls while its
        measurements have stopped.
        """
        record = self._records.get(name)
        if record is None:
            return
        fresh = (
            load.measured_at > poll_state.measured_at
            or load.epoch != poll_state.epoch
        )
        poll_state.measured_at = load.measured_at
        state = control_pb2.BackendState(
            name=name,
            state=poll_state.apply_load(load, self._clock()),
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
            self._expire_state(name)

    def _expire_state(self, name: str) -> None:
        """Publish an owned state as unknown after `defaults.STATE_TIMEOUT`.

        Peers refresh a state with each heartbeat of its owner, so the owner
        must send the change to unknown explicitly.
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
            self._set_own_report(record, state)
            self._update_effective_state(record)

    async def _poll_events(
        self, name: str, engine: engines.Engine, poll_state: PollState
    ) -> None:
        """Report the blocks that an engine stored and freed to the directory.

        All blocks are listed at the first call and after a gap in the event
        sequence or a restart, at most once per
        `defaults.DIRECTORY_RESYNC_INTERVAL`.
        """
        deadline = deadlines.Deadline.after(_POLL_TIMEOUT_SECONDS)
        try:
            events = await engine.fetch_events(
                poll_state.last_sequence, deadline
            )
            stored, freed = apply_cache_events(poll_state, events)
            now = time.monotonic()
            if poll_state.has_missed_events and (
                poll_state.listed_at is None
                or now - poll_state.listed_at
                >= defaults.DIRECTORY_RESYNC_INTERVAL
            ):
                poll_state.listed_at = now
                stored = {*await engine.list_blocks(deadline)}
                freed = (poll_state.blocks | freed) - stored
                poll_state.blocks = {*stored}
                poll_state.has_missed_events = False
        except exceptions.SesamefoldError as error:
            _log.warning("polling cache events of {} failed: {}", name, error)
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
            _log.warning(
                "reporting blocks to the directory failed: {!r}", error
            )


def apply_cache_events(
    poll_state: PollState, events: t.Iterable[engines.CacheEvent]
) -> t.Tuple[t.Set[str], t.Set[str]]:
    """Apply new cache events and return the blocks stored and freed.

    Events that were applied before are skipped. Sets
    `poll_state.has_missed_events` if a sequence number is missing.
    """
    stored: t.Set[str] = set()
    freed: t.Set[str] = set()
    for event in sorted(events, key=lambda event: event.sequence):
        if event.sequence <= poll_state.last_sequence:
            continue
        if event.sequence != poll_state.last_sequence + 1:
            poll_state.has_missed_events = True
        poll_state.last_sequence = event.sequence
        if event.kind == "stored":
            stored.add(event.block)
            freed.discard(event.block)
            poll_state.blocks.add(event.block)
        else:
            freed.add(event.block)
            stored.discard(event.block)
            poll_state.blocks.discard(event.block)
    return stored, freed


def is_outdated(
    record: BackendRecord,
    incarnation: str,
    state: control_pb2.BackendState,
    sent_until: float,
) -> bool:
    """Return whether a record has a newer state of the same incarnation.

    Heartbeats may overtake each other, and a request may overtake the reply
    to a call in the other direction, so the change number decides. Controls
    of earlier builds send none; their states are compared by send time, as
    far as the clock skew allows. `sent_until` is the latest time at which
    `state` was sent, in Unix seconds.
    """
    if record.report is None or record.incarnation != incarnation:
        return False
    if state.change_number and record.report.change_number:
        # Small changes of the load share a number.
        return (state.change_number, state.measured_at) < (
            record.report.change_number,
            record.report.measured_at,
        )
    return sent_until + defaults.CLOCK_SKEW <= record.refreshed_at


def _is_later(measured_at: float, instant: float) -> bool:
    """Return whether an engine's measurement is newer than an instant.

    The instant is in Unix seconds by the clock of a host, from which the
    engine's clock may differ by the clock skew.
    """
    return measured_at >= instant + defaults.CLOCK_SKEW


def _is_significant_change(
    old: control_pb2.BackendState, new: control_pb2.BackendState
) -> bool:
    """Return whether a new state must be sent to peers."""
    threshold = max(1.0, _MIN_LOAD_CHANGE_SHARE * new.limit)
    load = old.running + old.queued
    return (
        (old.state, old.epoch, old.limit, old.role)
        != (new.state, new.epoch, new.limit, new.role)
        or list(old.versions) != list(new.versions)
        or abs(new.running + new.queued - load) >= threshold
    )
