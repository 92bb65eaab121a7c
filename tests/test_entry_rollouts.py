"""Tests of rollouts by several hosts: routing, coordination and failures."""

import random
import typing as t
import unittest

from sesamefold.entry import changes
from sesamefold.entry import exposure
from sesamefold.entry import rollout_coordinator
from sesamefold.entry import store
from sesamefold.entry import version_routing
from sesamefold import exceptions
from sesamefold.platform import records
from tests import entry_fakes

SECONDS = 12.0
OLD_SERVERS = [f"old-{n}" for n in range(6)]
NEW_SERVERS = [f"new-{n}" for n in range(6)]


class FakeRecords:
    """Records of the hosts in memory; calls fail while `down` is set.

    If `lost` is set, the next write takes effect and its answer is lost.
    """

    def __init__(self) -> None:
        self.items: t.Dict[str, store.HostRecord] = {}
        self.revision = 100
        self.down = False
        self.lost = False

    async def list_records(self, prefix: str) -> t.List[store.HostRecord]:
        """Return the records under a prefix."""
        self._check()
        return [r for key, r in self.items.items() if key.startswith(prefix)]

    async def write(
        self, expected: t.Mapping[str, int], writes: t.Sequence[store.Write]
    ) -> int:
        """Write all records, or none if a revision differs."""
        self._check()
        for key, revision in expected.items():
            known = self.items.get(key)
            if (known.revision if known else 0) != revision:
                raise exceptions.VersionConflict(key, 0, 0)
        self.revision += 1
        for write in writes:
            self.items[write.key] = store.HostRecord(
                write.key, write.value, self.revision, self.revision
            )
        if self.lost:
            self.lost = False
            raise exceptions.OutcomeUnknown("the answer was lost")
        return self.revision

    def _check(self) -> None:
        if self.down:
            raise exceptions.PlatformUnavailable("the store is down")


class FakeElection:
    """Election whose holder is set by the test."""

    def __init__(self) -> None:
        self.term: t.Optional[int] = None

    def get_term(self) -> t.Optional[int]:
        """Return the term of the lease holder, None on other hosts."""
        return self.term


class Host:
    """One entry host that takes part in rollouts."""

    def __init__(
        self,
        name: str,
        names: t.Sequence[str],
        network: entry_fakes.FakeNetwork,
        host_records: FakeRecords,
        clock: entry_fakes.FakeClock,
    ) -> None:
        self.name = name
        self.log = entry_fakes.RecordingLog()
        self.catalog = entry_fakes.make_catalog(clock)
        self.catalog.confirm(clock.now)
        self.routing = version_routing.VersionRouting(
            self.catalog, True, self.log, clock
        )
        self.election = FakeElection()
        self.channel = entry_fakes.FakeChannel(network, name)
        self.coordinator = rollout_coordinator.RolloutCoordinator(
            name,
            self.routing,
            exposure.RolloutLimits(0.1, 50),
            t.cast(t.Any, self.channel),
            entry_fakes.FakePeers(name, names),
            t.cast(t.Any, self.election),
            t.cast(t.Any, host_records),
            records.encode_rollout_status,
            self.log,
            clock,
            clock,
        )

    def report(self, *server_ids: str) -> None:
        """Add servers to the catalog; the id tells their version."""
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(
                *(
                    entry_fakes.make_server(
                        server_id, version=server_id.partition("-")[0]
                    )
                    for server_id in server_ids
                )
            )
        )

    def order(self, target: str, revision: int) -> None:
        """Record an order to roll out a version."""
        order = changes.RolloutOrdered("chat", target, SECONDS, revision)
        self.catalog.apply_changes(changes.Batch((order,), revision))

    def choose(self, request_id: str, **fields: t.Any) -> t.List[str]:
        """Return the servers that may get a request."""
        call = entry_fakes.make_call(request_id, **fields)
        usable = self.routing.select_servers(
            call, self.catalog.list_usable_servers("chat")
        )
        return [s.id for s in self.routing.prefer_servers(call, usable)]


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    """Test case with four hosts, two versions and constant traffic."""

    def setUp(self) -> None:
        """Create the hosts; the first one holds the lease."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.records = FakeRecords()
        names = [f"host-{n}" for n in range(4)]
        self.hosts = [
            Host(name, names, self.network, self.records, self.clock)
            for name in names
        ]
        self.hosts[0].election.term = 1
        self.generator = random.Random(5)
        self.requests = self.exposed = self.bad = 0
        for host in self.hosts:
            host.report(*OLD_SERVERS)
            host.routing.list_proved_versions("chat")

    def start_rollout(self, revision: int = 7, target: str = "new") -> None:
        """Order a rollout and start the new servers."""
        for host in self.hosts:
            host.order(target, revision)
            host.report(*NEW_SERVERS)

    async def play(
        self,
        seconds: float,
        failure_share: t.Callable[[float], float] = lambda load: 0.0,
        slow_factor: float = 1.0,
    ) -> None:
        """Let all hosts serve 100 requests a second for some time.

        `failure_share` maps the load of a new server, as a share of that of
        an old one before the rollout, to the share of its failures.
        """
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at - 1e-9:
            for host in self.hosts:
                await host.coordinator.step()
            answers = []
            loads: t.Dict[str, int] = {}
            for number in range(25):
                host = self.hosts[number % len(self.hosts)]
                self.requests += 1
                call = entry_fakes.make_call(f"r-{self.requests}")
                server_ids = host.choose(call.request_id)
                if not server_ids:
                    continue
                server_id = self.generator.choice(server_ids)
                server = host.catalog.servers[server_id]
                loads[server_id] = loads.get(server_id, 0) + 1
                answers.append((server, host.routing.observe(call, server)))
            for server, observation in answers:
                is_new = server.version == "new"
                self.exposed += is_new
                load = loads[server.id] / (25 / len(OLD_SERVERS))
                failed = is_new and (
                    self.generator.random() < failure_share(load)
                )
                self.bad += failed
                observation._sent_at -= self.generator.lognormvariate(
                    -3.0, 0.5
                ) * (slow_factor if is_new else 1.0)
                observation.finish(failed)
            self.clock.now += 0.25
            for host in self.hosts:
                host.catalog.confirm(self.clock.now)

    def read_status(self) -> t.Any:
        """Return the state that the operator reads, None if there is none."""
        item = self.records.items.get("status/rollout/chat")
        return item and item.value

    def assert_state(self, state: str) -> None:
        """Check what the operator reads."""
        self.assertIn(f'"state":"{state}"'.encode(), self.read_status() or b"")

    def follow_store(self) -> None:
        """Let all hosts read the records of the rollouts."""
        for host in self.hosts:
            host.routing.apply_snapshot(
                changes.HostRecordChanged(r.key, r.value)
                for r in self.records.items.values()
            )


class EndTest(RolloutCase):
    """Rollouts without failures of the system."""

    async def test_good_version_is_complete_by_the_deadline(self) -> None:
        self.start_rollout()
        await self.play(1.0)
        self.assert_state("running")
        await self.play(SECONDS - 1.0)
        self.assert_state("completed")
        for host in self.hosts:
            self.assertEqual(set(host.choose("r")), set(NEW_SERVERS))

    async def test_bad_versions_are_rolled_back_within_their_share(
        self,
    ) -> None:
        """Guards EXPOSURE for versions bad at once, late and under load."""
        start = self.clock.now
        patterns: t.Dict[str, t.Any] = {
            "at once": {"failure_share": lambda load: 0.4},
            "late": {
                "failure_share": lambda load: 0.4
                * (self.clock.now > start + 8)
            },
            "under load": {"failure_share": lambda load: 0.5 * (load > 0.8)},
            "slow": {"slow_factor": 4.0},
        }
        for name, pattern in patterns.items():
            with self.subTest(name):
                self.setUp()
                start = self.clock.now
                self.start_rollout()
                await self.play(SECONDS, **pattern)
                self.assert_state("rolled_back")
                self.assertLessEqual(self.exposed, 0.1 * self.requests + 50)
                self.assertLess(self.bad, 50)
                exposed = self.exposed
                await self.play(3.0)
                self.assertEqual(self.exposed, exposed)

    async def test_version_that_turns_bad_after_many_good_answers(
        self,
    ) -> None:
        """Guards against good answers that cover up the latest ones."""
        self.start_rollout()
        await self.play(4.0)
        tally = self.hosts[0].routing.get_tally("chat")
        assert tally is not None
        for _ in range(600):
            tally.outcomes["route-1", True].record(False, 0.05)
        await self.play(3.5)
        await self.play(2.0, lambda load: 0.6)
        self.assert_state("rolled_back")

    async def test_few_new_servers_get_the_load_of_old_ones(self) -> None:
        """Guards against a version that is bad only under load."""
        self.start_rollout()
        await self.play(2.5)
        chosen = {
            server_id
            for number in range(1000)
            for server_id in self.hosts[number % 4].choose(f"x-{number}")
        }
        self.assertEqual(len(chosen & set(NEW_SERVERS)), 1)

    async def test_target_that_no_server_has_is_rolled_back(self) -> None:
        for host in self.hosts:
            host.order("v9", 7)
        await self.play(SECONDS + 0.5)
        self.assert_state("rolled_back")
        self.assertIn("rollout_waits", self.hosts[0].log.events)

    async def test_version_that_serves_already_is_complete_at_once(
        self,
    ) -> None:
        for host in self.hosts:
            host.order("old", 7)
        await self.play(2.0)
        self.assert_state("completed")
        self.assertTrue(self.hosts[1].choose("r"))

    async def test_second_order_replaces_the_first(self) -> None:
        """Guards against requests to a version that is no longer wanted."""
        self.start_rollout()
        await self.play(3.0)
        for host in self.hosts:
            host.order("newer", 9)
        exposed = self.exposed
        await self.play(2.0)
        self.assertEqual(self.exposed, exposed)
        self.assertIn(b'"target":"newer"', self.read_status())

    async def test_withdrawn_order_is_rolled_back(self) -> None:
        self.start_rollout()
        await self.play(3.0)
        for host in self.hosts:
            withdrawn = changes.RolloutWithdrawn("chat")
            host.catalog.apply_changes(changes.Batch((withdrawn,), 8))
        exposed = self.exposed
        await self.play(2.0)
        self.assert_state("rolled_back")
        self.assertEqual(self.exposed, exposed)


class RoutingTest(RolloutCase):
    """Which servers a host uses, by what it knows of a rollout."""

    def test_version_that_appears_before_its_order_gets_nothing(self) -> None:
        """Guards EXPOSURE and ROUTE while hosts do not know the order."""
        self.hosts[0].report(*NEW_SERVERS)
        self.assertEqual(set(self.hosts[0].choose("r")), set(OLD_SERVERS))

    def test_versions_replaced_without_an_order_are_used(self) -> None:
        """Guards against a service that no host uses after its update."""
        host = self.hosts[0]
        host.report(*NEW_SERVERS)
        for server_id in OLD_SERVERS:
            host.catalog.apply_changes(
                changes.Batch((changes.ServerRemoved(server_id),), 1)
            )
        self.assertEqual(set(host.choose("r")), set(NEW_SERVERS))

    async def test_host_without_messages_sends_nothing_to_the_target(
        self,
    ) -> None:
        """Guards EXPOSURE at hosts that the coordinator does not reach."""
        self.start_rollout()
        await self.play(3.0)
        self.network.lost_topics.add(rollout_coordinator.STEP_TOPIC)
        await self.play(version_routing.PERMISSION_SECONDS)
        for number in range(500):
            chosen = set(self.hosts[1].choose(f"x-{number}"))
            self.assertEqual(chosen, set(OLD_SERVERS))

    async def test_failed_request_is_repeated_at_an_old_server(self) -> None:
        self.start_rollout()
        await self.play(3.0)
        for number in range(500):
            chosen = self.hosts[0].choose(
                f"x-{number}", tried_servers=["new-1"]
            )
            self.assertEqual(set(chosen), set(OLD_SERVERS))

    async def test_host_that_starts_later_knows_the_versions(self) -> None:
        """Guards against a host that starts between order and end."""
        self.start_rollout()
        await self.play(2.0)
        late = Host("late", ["late"], self.network, self.records, self.clock)
        late.report(*OLD_SERVERS, *NEW_SERVERS)
        late.order("new", 7)
        late.routing.apply_snapshot(
            changes.HostRecordChanged(r.key, r.value)
            for r in self.records.items.values()
        )
        self.assertEqual(set(late.choose("r")), set(OLD_SERVERS))

    def test_malformed_records_and_messages_are_refused(self) -> None:
        host = self.hosts[0]
        for value in (b"{}", b"[]", b"1", b"{", b'{"order": "x"}'):
            host.routing.apply_changes(
                [changes.HostRecordChanged("sesamefold/rollouts/chat", value)]
            )
        self.assertEqual(host.routing.records, {})
        self.start_rollout()
        for body in (
            ["chat", 7, "1", 0.5, [], None],
            ["chat", 7, 1, 9, [], None],
        ):
            with self.assertRaises((ValueError, TypeError)):
                host.coordinator._receive_step("x", ("x", 1), body)


class FailureTest(RolloutCase):
    """Rollouts while the holder, the store or a link fails."""

    async def test_new_coordinator_goes_on_at_each_step(self) -> None:
        """Guards against a rollout that ends with its coordinator."""
        for seconds in (0.25, 0.5, 2.0, 8.0, 10.75, 11.5):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.start_rollout()
                await self.play(seconds)
                self.hosts[0].election.term = None
                self.follow_store()
                await self.play(1.5)
                self.hosts[1].election.term = 2
                await self.play(SECONDS)
                self.assert_state("completed")

    async def test_new_coordinator_rolls_back_by_what_the_hosts_counted(
        self,
    ) -> None:
        """Guards EXPOSURE if the coordinator ends as the version shows bad."""
        self.start_rollout()
        await self.play(4.0, lambda load: 0.25)
        self.hosts[0].election.term = None
        self.hosts[1].election.term = 2
        await self.play(SECONDS - 4.0, lambda load: 0.25)
        self.assert_state("rolled_back")
        self.assertLessEqual(self.exposed, 0.1 * self.requests + 50)

    async def test_old_coordinator_that_wakes_changes_nothing(self) -> None:
        """Guards against a host that was frozen and decides by old counts."""
        self.start_rollout()
        await self.play(2.0)
        frozen = self.hosts[0]
        frozen.election.term = None
        self.hosts[1].election.term = 2
        await self.play(5.0, lambda load: 0.6)
        self.assert_state("rolled_back")
        frozen.routing.records.clear()
        frozen.coordinator._rollouts.clear()
        frozen.election.term = 1
        exposed = self.exposed
        await self.play(SECONDS)
        self.assert_state("rolled_back")
        self.assertLessEqual(self.exposed - exposed, 5)

    async def test_frozen_coordinator_does_not_complete_what_was_undone(
        self,
    ) -> None:
        """Guards the final state: it is written once and stays."""
        self.start_rollout()
        await self.play(11.5)
        frozen = self.hosts.pop(0)
        self.assertIsNotNone(frozen.coordinator._rollouts["chat"].complete_at)
        del self.network.channels[frozen.channel.address]
        self.hosts[0].election.term = 2
        await self.play(2.5, lambda load: 0.9)
        self.assert_state("rolled_back")
        await frozen.coordinator.step()
        await frozen.coordinator.step()
        self.assert_state("rolled_back")

    async def test_bad_version_is_left_while_the_store_is_away(self) -> None:
        """Guards EXPOSURE while the state cannot be saved."""
        self.start_rollout()
        await self.play(2.0)
        self.records.down = True
        await self.play(6.0, lambda load: 0.5)
        exposed = self.exposed
        await self.play(2.0, lambda load: 0.5)
        self.assertEqual(self.exposed, exposed)
        self.assert_state("running")
        self.records.down = False
        await self.play(1.0, lambda load: 0.5)
        self.assert_state("rolled_back")

    async def test_verdict_that_cannot_be_saved_is_kept(self) -> None:
        """Guards against a version that is tried again during an outage."""
        self.start_rollout()
        await self.play(4.0)
        tally = self.hosts[0].routing.get_tally("chat")
        assert tally is not None
        for _ in range(600):
            tally.outcomes["route-1", True].record(False, 0.05)
        await self.play(3.5)
        self.records.down = True
        await self.play(2.0, lambda load: 0.6)
        exposed = self.exposed
        # No answer of the latest seconds shows the fault any more.
        await self.play(rollout_coordinator.LATEST_SECONDS + 1.0)
        self.assertEqual(self.exposed, exposed)
        self.records.down = False
        await self.play(0.5)
        self.assert_state("rolled_back")

    async def test_rollout_ends_after_an_outage_of_the_store(self) -> None:
        self.start_rollout()
        await self.play(2.0)
        self.records.down = True
        await self.play(SECONDS)
        self.assert_state("running")
        self.records.down = False
        await self.play(2.0)
        self.assert_state("completed")

    async def test_lost_answer_of_a_write_ends_no_rollout(self) -> None:
        for seconds in (0.0, 11.25):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.start_rollout()
                await self.play(seconds)
                self.records.lost = True
                await self.play(SECONDS - seconds + 1.0)
                self.assert_state("completed")
                self.assertEqual(
                    set(self.hosts[2].choose("r")), set(NEW_SERVERS)
                )

    async def test_lost_messages_bound_what_the_target_gets(self) -> None:
        """Guards EXPOSURE while no host reaches the coordinator."""
        self.network.lost_topics.add(rollout_coordinator.EVIDENCE_TOPIC)
        self.start_rollout()
        await self.play(SECONDS, lambda load: 0.3)
        self.assertLessEqual(self.exposed, 0.1 * self.requests + 50)
