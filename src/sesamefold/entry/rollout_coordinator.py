"""Coordination of rollouts: one entry host decides, the others report."""

import asyncio
import collections
import math
import time
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import election as elections
from sesamefold.entry import exposure
from sesamefold.entry import rollout_records
from sesamefold.entry import rollout_steps
from sesamefold.entry import store
from sesamefold.entry import topology
from sesamefold.entry import version_evidence
from sesamefold.entry import version_routing
from sesamefold import exceptions

# Topic of the coordinator's messages to all hosts.
STEP_TOPIC = "rollout-step"
# Topic of the hosts' messages to the coordinator.
EVIDENCE_TOPIC = "rollout-evidence"
# Interval between two messages, seconds.
MESSAGE_INTERVAL_SECONDS = 0.25
# Time in which a new coordinator collects what the hosts have counted before
# it decides, seconds.
COLLECTION_SECONDS = 0.6
# Length of the latest part of a rollout that is judged by itself, seconds, so
# that good answers of the beginning do not cover up a version that turns bad.
LATEST_SECONDS = 3.0
# Length of the time over which the rate of requests is measured, seconds.
RATE_SECONDS = 1.5
# Time for which the final state is announced to the hosts, seconds. Those that
# miss it read the record from the store.
ANNOUNCEMENT_SECONDS = 3.0
# Places of the servers for requests of the target while few requests go to
# it, as a multiple of what the old servers have for the same share: few
# servers under the usual load show what the version does under load.
FOCUS_FACTOR = 1.0
# Time after which the requests go to other servers of the target, seconds.
FOCUS_SECONDS = 2.0


class StatusEncoder(t.Protocol):
    """Encoding of the state of a rollout for the operator."""

    def __call__(self, service: str, target: str, state: str) -> store.Write:
        """Return the write of a rollout's state."""


@attrs.define
class _HostTally:
    """What one incarnation of a host has counted of a rollout."""

    incarnation: int
    tally: version_routing.Tally


@attrs.define
class _Snapshot:
    """Sums over all hosts at one instant."""

    at: float
    requests: int
    table: version_evidence.Table


@attrs.define
class _Rollout:
    """A rollout that this host coordinates.

    `ended` has what hosts counted that have restarted since. `revision` is
    that of the record, 0 if there is none and None if it is not known.
    `verdict` is the first one against the version; it holds while it cannot
    be saved, although no answers of the version follow that would show it.
    """

    order: catalogs.RolloutOrder
    began_at: float
    deadline: float
    revision: t.Optional[int] = None
    reports: t.Dict[str, _HostTally] = attrs.field(factory=dict)
    ended: t.List[version_routing.Tally] = attrs.field(factory=list)
    snapshots: t.Deque[_Snapshot] = attrs.field(factory=collections.deque)
    complete_at: t.Optional[float] = None
    verdict: t.Optional[version_evidence.Verdict] = None
    final: t.Optional[rollout_records.RolloutRecord] = None
    announced_until: float = float("inf")
    last_reason: str = ""

    def list_tallies(self) -> t.List[version_routing.Tally]:
        """Return the counts of all hosts."""
        return [
            *self.ended,
            *(report.tally for report in self.reports.values()),
        ]


class RolloutCoordinator:
    """This host's part in the rollouts of services.

    The lease holder coordinates all rollouts. It tells the hosts which share
    of their requests may go to a new version, sums up what they count and
    decides each step. The hosts act on a message for a short time only, so
    that those which it does not reach send nothing to the new version.

    The state of a rollout is a record in the platform's store, written with
    the operator's status under the condition that no other host has changed
    it. The counts are kept by the hosts: a new coordinator asks for them by
    its first message, and a count that was lost with a host only makes the
    bound on the new version's requests smaller.
    """

    def __init__(
        self,
        host: str,
        routing: version_routing.VersionRouting,
        limits: t.Optional[exposure.RolloutLimits],
        channel: datagrams.PeerChannel,
        peers: datagrams.Peers,
        election: elections.Election,
        records: store.HostRecordStore,
        encode_status: StatusEncoder,
        log: decisions.DecisionLog,
        read_time: t.Callable[[], float] = clock.read_time,
        read_date: t.Callable[[], float] = time.time,
    ) -> None:
        self._host = host
        self._routing = routing
        self._catalog = routing.catalog
        self._limits = limits
        self._channel = channel
        self._peers = peers
        self._election = election
        self._records = records
        self._encode_status = encode_status
        self._log = log
        self._read_time = read_time
        self._read_date = read_date
        self._incarnation = int(read_time() * 1000)
        self._rollouts: t.Dict[str, _Rollout] = {}
        self._coordinators: t.Dict[str, datagrams.Address] = {}
        self._sent_counts: t.Dict[str, t.Tuple[t.Any, int]] = {}
        channel.subscribe(STEP_TOPIC, self._receive_step)
        channel.subscribe(EVIDENCE_TOPIC, self._receive_evidence)

    async def run(self) -> None:
        """Coordinate rollouts, or report to the coordinator.

        Ends only if the settings allow no rollouts.
        """
        while self._limits is not None:
            await asyncio.sleep(MESSAGE_INTERVAL_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Take the next step of each rollout."""
        if self._limits is None:
            return
        term = self._election.get_term()
        orders = self._catalog.rollouts
        for service in self._rollouts.keys() - orders.keys():
            await self._withdraw(self._rollouts.pop(service), term)
        for order in list(orders.values()):
            if term is None:
                self._rollouts.pop(order.service, None)
                self._report(order)
                continue
            try:
                await self._coordinate(order, term, self._limits)
            except exceptions.PlatformError as error:
                self._log.write(
                    "rollout_unsaved",
                    service=order.service,
                    reason=error.message,
                )
                rollout = self._rollouts.get(order.service)
                if rollout is not None:
                    rollout.revision = None

    async def _withdraw(
        self, rollout: _Rollout, term: t.Optional[int]
    ) -> None:
        """Roll back a rollout whose order the operator has removed."""
        if term is None or rollout.final is not None:
            return
        try:
            await self._save(
                rollout,
                rollout_records.State.ROLLED_BACK,
                "the order was withdrawn",
            )
        except exceptions.PlatformError as error:
            self._log.write(
                "rollout_unsaved",
                service=rollout.order.service,
                reason=error.message,
            )

    async def _coordinate(
        self,
        order: catalogs.RolloutOrder,
        term: int,
        limits: exposure.RolloutLimits,
    ) -> None:
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order.revision != order.revision:
            if not self._routing.is_running(order):
                return
            rollout = _Rollout(order, self._read_time(), order.deadline)
            self._rollouts[order.service] = rollout
        if rollout.final is not None:
            self._announce(rollout, term, 0.0)
            return
        if rollout.revision is None:
            await self._load_record(rollout)
            if rollout.final is not None:
                return
        if rollout.revision == 0:
            await self._save(rollout, rollout_records.State.RUNNING, "")
        step = self._decide(rollout, limits)
        if step.reason and step.reason != rollout.last_reason:
            self._log.write(
                "rollout_waits",
                service=order.service,
                target=order.target,
                reason=step.reason,
            )
        rollout.last_reason = step.reason
        rollout.complete_at = step.complete_at
        if step.state is rollout_records.State.RUNNING:
            self._announce(rollout, term, step.share)
            return
        # Hosts stop using a bad version before the state is saved. A version
        # that is complete serves on meanwhile.
        self._announce(rollout, term, step.share)
        await self._save(rollout, step.state, step.reason)
        self._announce(rollout, term, 0.0)

    async def _load_record(self, rollout: _Rollout) -> None:
        """Read the record of a rollout that this host begins to coordinate."""
        key = rollout_records.make_key(rollout.order.service)
        found = {
            record.key: record
            for record in await self._records.list_records(key)
        }.get(key)
        rollout.revision = found.revision if found else 0
        if found is None:
            return
        try:
            record = rollout_records.decode(found.value)
        except ValueError:
            return
        if record.order != rollout.order.revision:
            await self._save(rollout, rollout_records.State.RUNNING, "")
            return
        self._routing.apply_record(rollout.order.service, record)
        if record.state is not rollout_records.State.RUNNING:
            self._finish(rollout, record)
        else:
            # This host may have learnt of the order only at its start.
            left_seconds = record.deadline - self._read_date()
            rollout.deadline = min(
                rollout.deadline, self._read_time() + left_seconds
            )

    async def _save(
        self, rollout: _Rollout, state: rollout_records.State, reason: str
    ) -> None:
        """Write the state of a rollout for the hosts and the operator."""
        order = rollout.order
        proved = self._routing.list_proved_versions(order.service)
        tallies = rollout.list_tallies()
        record = rollout_records.RolloutRecord(
            order.revision,
            order.target,
            tuple(sorted(proved - {order.target})),
            state,
            self._read_date() + rollout.deadline - self._read_time(),
            sum(tally.requests for tally in tallies),
            sum(tally.exposed for tally in tallies),
            reason,
        )
        key = rollout_records.make_key(order.service)
        try:
            rollout.revision = await self._records.write(
                {key: rollout.revision or 0},
                [
                    store.Write(key, record.encode()),
                    self._encode_status(
                        order.service, order.target, state.value
                    ),
                ],
            )
        except exceptions.VersionConflict:
            # Another coordinator, or a write whose answer was lost.
            rollout.revision = None
            return
        self._routing.apply_record(order.service, record)
        if state is not rollout_records.State.RUNNING:
            self._finish(rollout, record)

    def _finish(
        self, rollout: _Rollout, record: rollout_records.RolloutRecord
    ) -> None:
        rollout.final = record
        rollout.announced_until = self._read_time() + ANNOUNCEMENT_SECONDS
        self._log.write(
            "rollout_ended",
            service=rollout.order.service,
            target=record.target,
            state=record.state.value,
            requests=record.requests,
            exposed=record.exposed,
            left=round(rollout.deadline - self._read_time(), 2),
            reason=record.reason or None,
        )

    def _decide(
        self, rollout: _Rollout, limits: exposure.RolloutLimits
    ) -> rollout_steps.Step:
        """Return the next step, by what all hosts have counted."""
        now = self._read_time()
        own = self._routing.get_tally(rollout.order.service)
        if own is not None:
            rollout.reports[self._host] = _HostTally(self._incarnation, own)
        tallies = rollout.list_tallies()
        table = version_evidence.sum_tables(
            tally.outcomes for tally in tallies
        )
        traffic = self._measure_traffic(rollout, tallies, table, now)
        if now < rollout.began_at + COLLECTION_SECONDS:
            return rollout_steps.Step(
                exposure.FIRST_SHARE, rollout_records.State.RUNNING
            )
        latest = version_evidence.subtract_tables(
            table, rollout.snapshots[0].table
        )
        rollout.verdict = (
            rollout.verdict
            or version_evidence.judge(table)
            or version_evidence.judge(latest)
        )
        run_seconds = sum(
            (tally.run_seconds for tally in tallies),
            version_evidence.Outcomes(),
        ).find_quantile(rollout_steps.ENDED_RUNS_SHARE)
        slots, target_slots = self._count_slots(rollout.order)
        return rollout_steps.decide_step(
            rollout_steps.Outlook(
                limits,
                rollout.order,
                rollout.order.ordered_at,
                rollout.deadline,
                traffic,
                sum(
                    outcomes.answers
                    for (_, is_new), outcomes in table.items()
                    if is_new
                ),
                rollout.verdict,
                slots,
                target_slots,
                run_seconds,
                rollout.complete_at,
                now,
            )
        )

    def _measure_traffic(
        self,
        rollout: _Rollout,
        tallies: t.Sequence[version_routing.Tally],
        table: version_evidence.Table,
        now: float,
    ) -> exposure.Traffic:
        requests = sum(tally.requests for tally in tallies)
        exposed = sum(tally.exposed for tally in tallies)
        snapshots = rollout.snapshots
        snapshots.append(_Snapshot(now, requests, table))
        while snapshots[0].at < now - LATEST_SECONDS:
            snapshots.popleft()
        earlier = next(
            (s for s in snapshots if s.at >= now - RATE_SECONDS), snapshots[-1]
        )
        seconds = now - earlier.at
        rate = (requests - earlier.requests) / seconds if seconds else 0.0
        saved = self._routing.get_record(rollout.order)
        return exposure.Traffic(
            max(requests, saved.requests if saved else 0),
            max(exposed, saved.exposed if saved else 0),
            max(0.0, rate),
        )

    def _list_servers(self, service: str) -> t.Sequence[topology.Server]:
        return self._catalog.list_usable_servers(service)

    def _count_slots(self, order: catalogs.RolloutOrder) -> t.Tuple[int, int]:
        """Return the places of the old and of the new version's servers."""
        proved = self._routing.list_proved_versions(order.service)
        servers = self._list_servers(order.service)
        old = sum(
            s.slots
            for s in servers
            if s.version in proved and s.version != order.target
        )
        return old, sum(s.slots for s in servers if s.version == order.target)

    def _choose_focus(
        self, order: catalogs.RolloutOrder, share: float
    ) -> t.List[str]:
        """Return the servers of the target that get its share of requests.

        They are as few as bear it at the load of the old servers, and others
        after `FOCUS_SECONDS`. The list is empty if all of them get it.
        """
        servers = self._list_servers(order.service)
        targets = sorted(s.id for s in servers if s.version == order.target)
        old = sum(s.version != order.target for s in servers)
        count = max(1, math.ceil(FOCUS_FACTOR * share * old))
        if share >= 1.0 or count >= len(targets):
            return []
        first = int(self._read_time() / FOCUS_SECONDS) * count
        return [targets[(first + n) % len(targets)] for n in range(count)]

    def _announce(self, rollout: _Rollout, term: int, share: float) -> None:
        """Tell all hosts the share of a new version and the final state."""
        now = self._read_time()
        if now >= rollout.announced_until:
            return
        order = rollout.order
        focus = self._choose_focus(order, share)
        self._routing.grant(
            order.service, _make_permission(order, term, share, focus, now)
        )
        self._channel.send(
            STEP_TOPIC,
            [
                order.service,
                order.revision,
                term,
                share,
                focus,
                rollout.final.encode().decode() if rollout.final else None,
            ],
            [
                *self._peers.list_peers(same_region=True).values(),
                *self._peers.list_peers(same_region=False).values(),
            ],
        )

    def _receive_step(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Adopt the coordinator's permission and, at the end, the state."""
        service, revision, term, share, focus, final = body
        order = self._catalog.rollouts.get(service)
        if order is None or order.revision != revision:
            return
        if type(term) is not int or not 0 <= share <= 1:
            raise ValueError("the term or the share is out of range")
        self._coordinators[service] = address
        self._routing.grant(
            service,
            _make_permission(
                order, term, float(share), map(str, focus), self._read_time()
            ),
        )
        if final is not None:
            self._routing.apply_record(
                service, rollout_records.decode(final.encode())
            )

    def _report(self, order: catalogs.RolloutOrder) -> None:
        """Send what this host has counted to the coordinator.

        Nothing is sent if it has not changed.
        """
        tally = self._routing.get_tally(order.service)
        address = self._coordinators.get(order.service)
        if tally is None or address is None:
            return
        count = tally.requests + sum(
            outcomes.answers for outcomes in tally.outcomes.values()
        )
        if self._sent_counts.get(order.service) == (address, count):
            return
        self._sent_counts[order.service] = (address, count)
        self._channel.send(
            EVIDENCE_TOPIC,
            [
                order.service,
                order.revision,
                self._incarnation,
                _encode_tally(tally),
            ],
            [address],
        )

    def _receive_evidence(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        service, revision, incarnation, encoded = body
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.revision != revision:
            return
        tally = _decode_tally(revision, encoded)
        known = rollout.reports.get(host)
        if known is not None and known.incarnation > incarnation:
            return
        if known is not None and known.incarnation < incarnation:
            rollout.ended.append(known.tally)
        elif known is not None and known.tally.requests > tally.requests:
            # A message that was overtaken by a later one.
            return
        rollout.reports[host] = _HostTally(int(incarnation), tally)


def _make_permission(
    order: catalogs.RolloutOrder,
    term: int,
    share: float,
    servers: t.Iterable[str],
    now: float,
) -> version_routing.Permission:
    return version_routing.Permission(
        order.revision,
        term,
        share,
        frozenset(servers),
        now + version_routing.PERMISSION_SECONDS,
    )


def _encode_outcomes(outcomes: version_evidence.Outcomes) -> t.List[int]:
    return [outcomes.answers, outcomes.failed, *outcomes.durations]


def _decode_outcomes(numbers: t.Any) -> version_evidence.Outcomes:
    answers, failed, *durations = numbers
    expected = len(version_evidence.DURATION_BOUNDS) + 1
    if len(durations) != expected or not all(
        type(number) is int and number >= 0 for number in numbers
    ):
        raise ValueError("the counts of answers are malformed")
    return version_evidence.Outcomes(answers, failed, durations)


def _encode_tally(tally: version_routing.Tally) -> t.List[t.Any]:
    return [
        tally.requests,
        tally.exposed,
        _encode_outcomes(tally.run_seconds),
        [
            [route, is_new, _encode_outcomes(outcomes)]
            for (route, is_new), outcomes in tally.outcomes.items()
        ],
    ]


def _decode_tally(order: int, body: t.Any) -> version_routing.Tally:
    requests, exposed, run_seconds, rows = body
    if not 0 <= exposed <= requests:
        raise ValueError("the counts of requests are malformed")
    return version_routing.Tally(
        order,
        int(requests),
        int(exposed),
        {
            (str(route), bool(is_new)): _decode_outcomes(numbers)
            for route, is_new, numbers in rows
        },
        _decode_outcomes(run_seconds),
    )
