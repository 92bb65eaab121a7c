"""Tests of the relay of the records of servers and hosts."""

import asyncio
import typing as t
import unittest
from unittest import mock

import attrs

from sesamefold.entry import changes
from sesamefold.entry import datagrams
from sesamefold.entry import fleet_relay
from sesamefold.entry import follower
from sesamefold.entry import operator_relay
from sesamefold.entry import store
from sesamefold import exceptions
from tests import entry_fakes

HOSTS = [f"entry-{number}" for number in range(14)]
READERS = HOSTS[:2]


@attrs.define
class Readers:
    """Stand-in of the operator's relay in a large region."""

    host: str
    active: bool = True

    def is_reader(self) -> bool:
        return self.host in READERS

    def rank_readers(self) -> t.List[str]:
        return HOSTS

    def update_activity(self) -> bool:
        return self.active


class Source:
    """Store whose watches return the changes that the test makes."""

    def __init__(self) -> None:
        self.batches: t.List[changes.Batch] = []
        self.revision = 1
        self.calls = 0
        self.is_away = False
        self.before_answer: t.Callable[[], None] = lambda: None

    def change(self, *made: changes.Change, **fields: t.Any) -> None:
        """Make changes in one revision."""
        self.revision += 1
        self.batches.append(changes.Batch(made, self.revision, **fields))

    async def read_all(self, scope: store.Scope) -> changes.Batch:
        """Return all changes so far."""
        return await self.watch(0, 0.0, scope)

    async def watch(
        self, after: int, seconds: float, scope: store.Scope
    ) -> changes.Batch:
        """Return the changes after a revision at once."""
        self.calls += 1
        if self.is_away:
            raise exceptions.PlatformUnavailable("away")
        newer = [batch for batch in self.batches if batch.revision > after]
        revision = self.revision
        self.before_answer()
        return changes.Batch(
            tuple(change for batch in newer for change in batch.changes),
            revision,
            tuple(r for batch in newer for r in batch.host_record_changes),
        )


class FleetRelayTest(unittest.IsolatedAsyncioTestCase):
    """Hosts of a large region that follow the same store."""

    async def asyncSetUp(self) -> None:
        """Make the hosts; each has read the store once."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.source = Source()
        self.source.change(
            changes.ServerReported(entry_fakes.make_server("i-0"))
        )
        self.followers = {name: self.make_host(name) for name in HOSTS}
        self.records: t.Dict[str, t.List[t.Any]] = {}
        for name, host in self.followers.items():
            host.fleet.listener = host
            await host._read_all()

    def make_host(self, name: str) -> t.Any:
        """Return the follower of a host."""
        return follower.StoreFollower(
            t.cast(store.RecordSource, self.source),
            1.28,
            entry_fakes.make_catalog(self.clock),
            (),
            entry_fakes.make_log(),
            t.cast(t.Any, Readers(name)),
            fleet_relay.FleetRelay(
                name,
                t.cast(
                    datagrams.PeerChannel,
                    entry_fakes.FakeChannel(self.network, name),
                ),
                entry_fakes.FakePeers(name, HOSTS),
                t.cast(operator_relay.OperatorRelay, Readers(name)),
                entry_fakes.make_log(),
                self.clock,
            ),
        )

    async def watch(self, name: str) -> None:
        """Let a host watch the store once."""
        host = self.followers[name]
        await host._watch(host.fleet.revision)

    def list_servers(self) -> t.List[t.Set[str]]:
        """Return the servers that each host knows."""
        return [set(h.catalog.servers) for h in self.followers.values()]

    async def test_all_hosts_learn_what_two_of_them_read(self) -> None:
        """Guards against calls to the store that grow with the hosts."""
        self.source.change(
            changes.ServerReported(
                entry_fakes.make_server(
                    "i-1",
                    weights={"m": 2},
                    cold_until=self.clock.now + 3.0,
                    version="v2",
                )
            ),
            changes.ServerRemoved("i-0"),
        )
        calls = self.source.calls
        for name in READERS:
            await self.watch(name)
        self.assertEqual(2, self.source.calls - calls)
        self.assertEqual([{"i-1"}] * len(HOSTS), self.list_servers())
        self.assertEqual(
            1,
            len(
                {
                    repr(host.catalog.servers["i-1"])
                    for host in self.followers.values()
                }
            ),
        )

    async def test_leaving_server_is_known_at_once(self) -> None:
        """Guards against requests to a server that leaves (DRAIN)."""
        self.source.change(
            changes.ServerReported(
                entry_fakes.make_server("i-0", draining=True, sequence=2)
            )
        )
        for name in READERS:
            await self.watch(name)
        for host in self.followers.values():
            self.assertTrue(host.catalog.servers["i-0"].draining)

    async def test_host_that_missed_changes_watches_the_store(self) -> None:
        """Guards against a removed server that stays in use (DRAIN)."""
        self.network.lost_topics.add(fleet_relay.TOPIC)
        self.source.change(changes.ServerRemoved("i-0"))
        for name in READERS:
            await self.watch(name)
        self.network.lost_topics.clear()
        self.source.change(
            changes.ServerReported(entry_fakes.make_server("i-1"))
        )
        for name in READERS:
            await self.watch(name)
        host = self.followers[HOSTS[5]]
        self.assertEqual({"i-0"}, set(host.catalog.servers))
        async with asyncio.timeout(1.0):
            await host.fleet.wait_until_stale(60.0)
        await self.watch(HOSTS[5])
        self.assertEqual({"i-1"}, set(host.catalog.servers))
        self.assertFalse(host.fleet.behind)

    async def test_host_without_readers_watches_the_store(self) -> None:
        """Guards against hosts that wait for a reader that has ended."""
        fleet = self.followers[HOSTS[5]].fleet
        self.clock.now += 1.3
        async with asyncio.timeout(1.0):
            await fleet.wait_until_stale(1.28)
        for name in READERS:
            await self.watch(name)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await fleet.wait_until_stale(1.28)

    async def test_watch_does_not_undo_what_was_relayed_meanwhile(
        self,
    ) -> None:
        """Guards against a server that a late answer of the store removes."""
        name = HOSTS[5]
        host = self.followers[name]
        self.source.change(changes.ServerRemoved("i-0"))
        after = host.fleet.revision

        def relay() -> None:
            self.source.change(
                changes.ServerReported(
                    entry_fakes.make_server("i-0", started_at=7)
                )
            )
            for reader in READERS:
                batch = changes.Batch(
                    tuple(
                        change
                        for batch in self.source.batches
                        if batch.revision > after
                        for change in batch.changes
                    ),
                    self.source.revision,
                )
                self.followers[reader].fleet.send(after, batch, self.clock.now)

        self.source.before_answer = relay
        await self.watch(name)
        self.assertEqual({"i-0"}, set(host.catalog.servers))
        self.assertEqual(self.source.revision, host.fleet.revision)

    async def test_late_message_changes_nothing(self) -> None:
        """Guards against datagrams that overtake each other."""
        late: t.List[t.Callable[[], None]] = []
        self.network.delayed_deliveries = late
        self.source.change(changes.ServerRemoved("i-0"))
        for name in READERS:
            await self.watch(name)
        self.network.delayed_deliveries = None
        self.source.change(
            changes.ServerReported(
                entry_fakes.make_server("i-0", started_at=7)
            )
        )
        await self.watch(HOSTS[5])
        for deliver in late:
            deliver()
        host = self.followers[HOSTS[5]]
        self.assertEqual({"i-0"}, set(host.catalog.servers))
        self.assertEqual(self.source.revision, host.fleet.revision)

    async def test_message_of_the_same_revision_is_not_applied(self) -> None:
        """Guards against a removal that is applied again after a return."""
        host = self.followers[HOSTS[5]]
        seen = mock.Mock(return_value=None)
        host.listeners = (mock.Mock(apply_changes=seen),)
        self.source.change(changes.ServerRemoved("i-0"))
        await self.watch(HOSTS[5])
        await self.watch(READERS[0])
        seen.assert_called_once()

    async def test_messages_during_a_long_watch_count(self) -> None:
        """Guards against a watch of each host after the other.

        The store answers a watch without changes only after its wait, and
        readers are heard meanwhile.
        """
        fleet = self.followers[HOSTS[5]].fleet
        revision = self.source.revision

        def wait() -> None:
            self.clock.now += 1.5
            self.followers[READERS[0]].fleet.send(
                revision, changes.Batch((), revision), self.clock.now
            )

        self.source.before_answer = wait
        await self.watch(HOSTS[5])
        self.assertEqual(self.clock.now, fleet.read_at)

    async def test_records_of_hosts_are_relayed(self) -> None:
        """Guards against members and leases that only readers know."""
        seen: t.List[t.Any] = []
        listener = mock.Mock()
        listener.apply_changes = seen.extend
        host = self.followers[HOSTS[5]]
        host.listeners = (listener,)
        records = (
            changes.HostRecordChanged("sesamefold/a", bytes(range(256))),
            changes.HostRecordChanged("sesamefold/b", None),
        )
        self.source.change(host_record_changes=records)
        for name in READERS:
            await self.watch(name)
        self.assertEqual(list(records), seen)

    async def test_other_reader_is_followed_once_one_is_silent(self) -> None:
        """Guards against hosts that know nothing while one reader is refused.

        While both send, changes of the second one are not applied again.
        """
        host = self.followers[HOSTS[5]]
        seen = mock.Mock(return_value=None)
        host.listeners = (mock.Mock(apply_changes=seen),)
        self.source.change(changes.ServerRemoved("i-0"))
        for name in READERS:
            await self.watch(name)
        seen.assert_called_once()
        self.source.change(
            changes.ServerReported(entry_fakes.make_server("i-1"))
        )
        await self.watch(READERS[1])
        self.assertEqual(set(), set(host.catalog.servers))
        self.clock.now += fleet_relay.STALE_SECONDS
        await self.watch(READERS[1])
        self.assertTrue(host.fleet.behind)
        await self.watch(HOSTS[5])
        self.source.change(
            changes.ServerReported(entry_fakes.make_server("i-2"))
        )
        await self.watch(READERS[1])
        self.assertEqual({"i-1", "i-2"}, set(host.catalog.servers))

    async def test_reader_that_loses_the_store_sends_nothing(self) -> None:
        """Guards against old changes that look recent."""
        self.source.is_away = True
        sent = self.network.sent[fleet_relay.TOPIC]
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.watch(READERS[0])
        self.assertEqual(sent, self.network.sent[fleet_relay.TOPIC])

    async def test_host_that_alone_loses_the_store_goes_on(self) -> None:
        """Guards against an outage that begins and ends with each message."""
        host = self.followers[HOSTS[5]]
        host.log = log = entry_fakes.RecordingLog()
        host.source = source = Source()
        source.batches, source.revision = self.source.batches, 2
        running = asyncio.create_task(host.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.2)
        self.assertEqual(2, source.calls)
        source.is_away = True
        self.clock.now += 2.0
        host.fleet._wake.set()
        await asyncio.sleep(0.1)
        self.assertEqual(["store_lost"], log.events)
        for number in range(3):
            self.source.change(
                changes.ServerReported(entry_fakes.make_server(f"n-{number}"))
            )
            for name in READERS:
                await self.watch(name)
            await asyncio.sleep(0.3)
        self.assertIn("n-2", host.catalog.servers)
        self.assertEqual(["store_lost", "store_regained"], log.events)

    async def test_malformed_messages_change_nothing(self) -> None:
        """Guards against a message that ends the task of a host."""
        host = self.followers[HOSTS[5]]
        revision = host.fleet.revision
        row = ["i-1", "chat", "a:1", "dc", 8, False, 0, 1, 0.0, {}, ""]
        for body in (
            [revision, revision + 1, -1.0, [], []],
            [revision, revision + 1, float("inf"), [], []],
            [True, revision + 1, 0.0, [], []],
            [revision, revision + 1, 0.0, [[]], []],
            [revision, revision + 1, 0.0, [[7]], []],
            [revision, revision + 1, 0.0, [row[:-1]], []],
            [revision, revision + 1, 0.0, [[*row[:5], 1, *row[6:]]], []],
            [revision, revision + 1, 0.0, [[*row[:8], -1.0, *row[9:]]], []],
            [revision, revision + 1, 0.0, [], [["key"]]],
            [revision, revision + 1, 0.0, [], [["key", 7]]],
        ):
            with self.subTest(body=body):
                with self.assertRaises((ValueError, TypeError)):
                    host.fleet._receive("entry-0", ("", 0), body)
                self.assertEqual({"i-0"}, set(host.catalog.servers))
                self.assertEqual(revision, host.fleet.revision)
