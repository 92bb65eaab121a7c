"""Shares of fleet-wide limits while hosts and the store come and go."""

import typing as t
import unittest

import attrs

from sesamefold.entry import changes
from sesamefold.entry import members
from sesamefold.entry import store
from sesamefold.entry import throttle
from sesamefold import exceptions
from tests import entry_fakes

HOSTS = 9
STEP_SECONDS = 0.1
RENEWAL_SECONDS = 2.3
# Interval between watches, and how long a call to a silent store takes.
WATCH_SECONDS = 0.9
CALL_SECONDS = 2.5
COLD_RATE = 13.0
# The bound on requests to a cold server per second.
COLD_BOUND = 1.5 * COLD_RATE + 5


@attrs.define
class FakeRecords:
    """Records with leases of a store that is away for some hosts.

    While it is away for all, leases go on to run out if `lapse` is set.
    """

    clock: entry_fakes.FakeClock
    away: t.Set[str] = attrs.field(factory=set)
    leases: t.Dict[int, float] = attrs.field(factory=dict)
    keys: t.Dict[str, t.Tuple[bytes, int]] = attrs.field(factory=dict)
    next_lease: int = 1

    def expire(self) -> None:
        """Remove leases that have run out, and their records."""
        now = self.clock.now
        self.leases = {i: at for i, at in self.leases.items() if now < at}
        self.keys = {
            key: row for key, row in self.keys.items() if row[1] in self.leases
        }

    def drop_leases(self) -> None:
        """End all leases at once."""
        self.leases.clear()
        self.expire()


@attrs.define
class FakeClient:
    """One host's access to the records; part of `store.HostRecordStore`."""

    host: str
    records: FakeRecords

    def _check(self) -> None:
        if self.host in self.records.away:
            raise exceptions.PlatformUnavailable("away")

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        self._check()
        self.records.next_lease += 1
        lease = self.records.next_lease
        self.records.leases[lease] = self.records.clock.now + seconds
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Restart a lease."""
        self._check()
        if lease not in self.records.leases:
            raise exceptions.LeaseExpired("ended")
        self.records.leases[lease] = (
            self.records.clock.now + members.LEASE_SECONDS
        )

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        self._check()
        self.records.leases.pop(lease, None)

    async def write(
        self, expected: t.Mapping[str, int], writes: t.Sequence[store.Write]
    ) -> int:
        """Write a record that must not exist."""
        self._check()
        for write in writes:
            if write.key in self.records.keys:
                raise exceptions.VersionConflict("exists", 0, 1)
            self.records.keys[write.key] = (write.value, write.lease)
        return 1

    def read(self) -> t.List[changes.HostRecordChanged]:
        """Return all records."""
        self._check()
        return [
            changes.HostRecordChanged(key, value)
            for key, (value, _) in self.records.keys.items()
        ]


class FakeHost:
    """An entry host: its membership and its throttles."""

    def __init__(self, name: str, records: FakeRecords, phase: float) -> None:
        self.name = name
        self.clock = records.clock
        self.client = FakeClient(name, records)
        self.contact_start = float("-inf")
        self.membership = members.Membership(
            members.Member(name, "region-1", ("127.0.0.1", 1)),
            t.cast(store.HostRecordStore, self.client),
            entry_fakes.make_log(),
            self.clock,
            lambda: self.contact_start,
        )
        self.membership._started_at = self.clock.now
        self.cold = throttle.ColdThrottle(
            name, self.membership.list_sharing_hosts, self.clock
        )
        self.renew_at = self.clock.now
        self.read_at = self.clock.now + phase * WATCH_SECONDS
        self.phase = phase
        self.lost = False

    async def step(self) -> None:
        """Make the calls to the store that are due."""
        now = self.clock.now
        if now >= self.read_at:
            try:
                rows = self.client.read()
            except exceptions.PlatformUnavailable:
                self.lost = True
                self.read_at = now + (0.2 + self.phase) * CALL_SECONDS
            else:
                if self.lost:
                    self.lost, self.contact_start = False, now
                self.membership.apply_snapshot(rows)
                self.read_at = now + WATCH_SECONDS
        if now >= self.renew_at or self.membership._record_removed.is_set():
            self.membership._record_removed.clear()
            self.renew_at = now + RENEWAL_SECONDS
            try:
                await self.membership._register_or_renew()
            except exceptions.PlatformError:
                return

    def measure_share(self) -> float:
        """Return the share that this host takes of a limit."""
        hosts = self.membership.list_sharing_hosts()
        return 1 / len(hosts) if hosts else 0.0

    def count_cold_requests(self) -> int:
        """Return how many requests this host sends to a new cold server."""
        server = f"cold at {self.clock.now}"
        while self.cold.allows_request(server, COLD_RATE):
            self.cold.record_request(server)
        window = self.cold._sent_requests.get(server)
        return window.count(self.clock.now) if window else 0


class SharesTest(unittest.IsolatedAsyncioTestCase):
    """Hosts under which a limit is divided in disruptions of the store."""

    async def asyncSetUp(self) -> None:
        """Start all hosts and let them run for a while."""
        self.clock = entry_fakes.FakeClock()
        self.records = FakeRecords(self.clock)
        self.hosts: t.Dict[str, FakeHost] = {}
        self.most_cold = 0
        self.most_shares = 0.0
        for number in range(HOSTS):
            self.start(f"entry-{number}")
        await self.run_for(10.0)

    def start(self, name: str) -> None:
        """Start a host, or restart it without its memory."""
        phase = (len(self.hosts) % HOSTS) / HOSTS
        self.hosts[name] = FakeHost(name, self.records, phase)

    def cut(self, *numbers: int) -> None:
        """Cut hosts off from the store."""
        self.records.away.update(f"entry-{number}" for number in numbers)

    async def run_for(self, seconds: float) -> None:
        """Let time pass and check the sums of what the hosts may send."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.records.expire()
            for host in self.hosts.values():
                await host.step()
            hosts = self.hosts.values()
            cold = sum(host.count_cold_requests() for host in hosts)
            shares = sum(host.measure_share() for host in hosts)
            self.most_cold = max(self.most_cold, cold)
            self.most_shares = max(self.most_shares, shares)
            self.assertLessEqual(cold, COLD_BOUND, self.clock.now)
            self.assertLessEqual(
                throttle.RETRY_BUDGET_SHARE * shares, 1.0, self.clock.now
            )
            self.clock.now += STEP_SECONDS

    async def assert_whole_limit_within(self, seconds: float) -> None:
        """Check that the whole limit is in use again after some time."""
        await self.run_for(seconds)
        hosts = self.hosts.values()
        self.assertAlmostEqual(1.0, sum(h.measure_share() for h in hosts))
        cold = sum(host.count_cold_requests() for host in hosts)
        self.assertGreaterEqual(cold, COLD_RATE - throttle.MAX_COLD_SENDERS)

    # Guards against a cold server that all hosts overload after an outage in
    # which leases ended: each listed itself only (FAILBACK).
    async def test_after_an_outage_in_which_leases_ended(self) -> None:
        for seconds in (2.0, 8.0, 20.0):
            with self.subTest(seconds=seconds):
                self.cut(*range(HOSTS))
                await self.run_for(seconds)
                self.records.drop_leases()
                self.records.away.clear()
                # A watch that waits for its timeout, a registration, and the
                # watches of the others.
                await self.assert_whole_limit_within(
                    CALL_SECONDS + members.PROPAGATION_SECONDS + 1.5
                )

    # Guards against hosts that go on with their shares after the others have
    # dropped them from their lists.
    async def test_in_an_outage_for_some_hosts(self) -> None:
        for seconds in (7.0, 13.0, 30.0):
            with self.subTest(seconds=seconds):
                self.cut(0, 3, 4)
                await self.run_for(seconds)
                self.records.away.clear()
                await self.run_for(10.0)
        self.cut(0, 3, 4)
        # A lease, the grace time, and a watch before and after it.
        await self.assert_whole_limit_within(
            members.LEASE_SECONDS + members.DEPARTURE_GRACE_SECONDS + 2.0
        )

    async def test_in_an_outage_that_ends_later_for_some_hosts(self) -> None:
        self.cut(*range(HOSTS))
        await self.run_for(9.0)
        self.records.away = {"entry-1", "entry-2", "entry-5"}
        await self.run_for(20.0)
        self.records.away.clear()
        await self.assert_whole_limit_within(10.0)

    # Guards against hosts without a memory that list the first to return.
    async def test_after_a_restart_of_all_hosts_in_an_outage(self) -> None:
        self.cut(*range(HOSTS))
        await self.run_for(2.0)
        for number in range(HOSTS):
            self.start(f"entry-{number}")
            await self.run_for(1.0)
        self.records.drop_leases()
        self.records.away.clear()
        await self.assert_whole_limit_within(
            CALL_SECONDS + members.RETURN_SECONDS + 1.0
        )

    async def test_after_a_rolling_restart_at_the_end_of_an_outage(
        self,
    ) -> None:
        self.cut(*range(HOSTS))
        await self.run_for(7.0)
        self.records.drop_leases()
        for number in range(0, HOSTS, 2):
            self.start(f"entry-{number}")
        await self.run_for(2.0)
        self.records.away.clear()
        await self.assert_whole_limit_within(
            CALL_SECONDS + members.RETURN_SECONDS + 1.0
        )

    async def test_after_a_restart_of_all_hosts_at_once(self) -> None:
        for ended in (False, True):
            with self.subTest(ended=ended):
                if ended:
                    self.records.drop_leases()
                for number in range(HOSTS):
                    self.start(f"entry-{number}")
                await self.assert_whole_limit_within(3.0)

    # A host that stood still for longer than its lease was dropped.
    async def test_after_a_host_stood_still(self) -> None:
        frozen = {name: self.hosts.pop(name) for name in list(self.hosts)[:4]}
        await self.run_for(25.0)
        self.hosts.update(frozen)
        await self.assert_whole_limit_within(4.0)

    # Guards against shares that stay too small once hosts have left.
    async def test_hosts_that_ended_in_an_outage_are_dropped(self) -> None:
        self.cut(*range(HOSTS))
        await self.run_for(9.0)
        del self.hosts["entry-1"], self.hosts["entry-2"]
        self.records.drop_leases()
        self.records.away.clear()
        await self.assert_whole_limit_within(
            CALL_SECONDS + members.DEPARTURE_GRACE_SECONDS + 1.5
        )


class SharingHostsTest(entry_fakes.StoreCase):
    """A host whose record is removed while it runs."""

    async def test_a_removed_record_is_written_again_at_once(self) -> None:
        log = entry_fakes.make_log()
        host = members.Membership(
            members.Member("entry-1", "region-1", ("127.0.0.1", 1)),
            self.client,
            log,
        )
        await host._register_or_renew()
        lease = host._lease
        for row in list(self.store._leases):
            self.store._drop_lease(row)
        host.apply_snapshot([])
        await host._register_or_renew()
        self.assertNotEqual(lease, host._lease)
