"""Tests of the relay of the operator's records, without a network."""

import asyncio
import json
import typing as t
import unittest
import unittest.mock
from unittest import mock

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import datagrams
from sesamefold.entry import operator_records
from sesamefold.entry import operator_relay
from sesamefold.entry import store
from sesamefold import exceptions
from tests import entry_fakes

# Time after which a host refuses API keys.
KEY_LIMIT_SECONDS = 4.5


class FakeStore:
    """The operator's records in a store; counts the reads by host.

    Hosts in `cut_off` do not reach it.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.events: t.List[changes.OperatorRecord] = []
        self.cut_off: t.Set[str] = set()
        self.reads: t.List[str] = []
        self.sent: t.List[str] = []
        self.history_since = 0

    def put(self, key: str, value: t.Optional[bytes] = b"{}") -> None:
        """Write a record, or remove it with a value of None."""
        self.revision += 1
        record = changes.OperatorRecord(key, value, self.revision)
        self.events.append(record)

    def list_records(self) -> t.Dict[str, changes.OperatorRecord]:
        """Return the current records by key."""
        latest = {record.key: record for record in self.events}
        return {k: r for k, r in latest.items() if r.value is not None}


class FakeSource:
    """Access of one host to the store."""

    def __init__(self, fake_store: FakeStore, host: str) -> None:
        self.store = fake_store
        self.host = host

    async def _make_batch(
        self, records: t.Iterable[changes.OperatorRecord]
    ) -> changes.Batch:
        found = tuple(records)
        if found:
            self.store.sent.append(self.host)
        return changes.Batch(
            await self.decode(found), self.store.revision, (), found
        )

    def _call(self) -> None:
        self.store.reads.append(self.host)
        if self.host in self.store.cut_off:
            raise exceptions.PlatformUnavailable("the store is cut off")

    async def read_all(
        self, scope: store.Scope = store.Scope.ALL
    ) -> changes.Batch:
        """Return all records."""
        self._call()
        return await self._make_batch(self.store.list_records().values())

    async def watch(
        self,
        after: int,
        seconds: float,
        scope: store.Scope = store.Scope.ALL,
    ) -> changes.Batch:
        """Return the changes after a revision."""
        self._call()
        if after < self.store.history_since:
            raise exceptions.HistoryLost("the history is lost")
        return await self._make_batch(
            r for r in self.store.events if r.revision > after
        )

    async def decode(
        self, records: t.Iterable[changes.OperatorRecord]
    ) -> t.Tuple[changes.Change, ...]:
        """Return evacuations for all records."""
        return tuple(
            (
                changes.EvacuationEnded(record.key)
                if record.value is None
                else changes.EvacuationRequested(record.key)
            )
            for record in records
        )


class FakeTransfers:
    """Fetches between the hosts of a test; `failing` hosts refuse them."""

    def __init__(self, region: "RegionCase") -> None:
        self.region = region
        self.failing: t.Set[str] = set()
        self.fetched_from: t.List[str] = []

    async def fetch(
        self, address: datagrams.Address, after: int
    ) -> operator_relay.Received:
        """Return what a host encodes."""
        name = address[0]
        if name in self.failing or name in self.region.dead:
            raise exceptions.PlatformUnavailable("the host refuses")
        self.fetched_from.append(name)
        records = self.region.relays[name].records
        confirmed_at = self.region.catalogs[name].confirmed_at
        return operator_relay.Received(
            operator_records.decode_record_set(
                records.as_of, records.encode_changes(after)
            ),
            self.region.clock.now - confirmed_at,
        )


class RegionCase(unittest.IsolatedAsyncioTestCase):
    """The relays of a region of 16 hosts."""

    def setUp(self) -> None:
        """Make the hosts, which know each other and all records."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.store = FakeStore()
        self.store.put("dc-1")
        self.dead: t.Set[str] = set()
        self.transfers = FakeTransfers(self)
        self.names = [f"host-{number}" for number in range(16)]
        self.channels: t.Dict[str, entry_fakes.FakeChannel] = {}
        self.catalogs: t.Dict[str, catalog.Catalog] = {}
        self.relays: t.Dict[str, operator_relay.OperatorRelay] = {}
        for name in self.names:
            self.start_host(name)
        self.ranked = self.relays["host-0"].rank_readers()
        self.readers = self.ranked[: operator_relay.READERS_PER_REGION]
        self.others = self.ranked[operator_relay.READERS_PER_REGION :]

    def start_host(self, name: str) -> None:
        """Make a host without records."""
        log = entry_fakes.make_log()
        channel = entry_fakes.FakeChannel(self.network, name)
        self.channels[name] = channel
        self.catalogs[name] = catalog.Catalog(log, self.clock)
        self.relays[name] = operator_relay.OperatorRelay(
            name,
            t.cast(datagrams.PeerChannel, channel),
            entry_fakes.FakePeers(name, self.names),
            FakeSource(self.store, name),
            self.transfers,
            self.catalogs[name],
            log,
            self.clock,
        )

    async def run_step(self, name: str) -> None:
        """Let a host fetch, read the store or ask."""
        self.relays[name].update_activity()
        await self.relays[name].step()

    async def run_for(self, seconds: float, *paused: str) -> None:
        """Let all hosts that are neither paused nor dead run for a time."""
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            for name in self.names:
                if name not in self.dead and name not in paused:
                    await self.run_step(name)
            self.clock.now += 0.3

    def kill(self, *names: str) -> None:
        """Stop hosts, so that they get no messages."""
        for name in names:
            self.dead.add(name)
            del self.network.channels[name, 1]

    def get_age(self, name: str) -> float:
        """Return the age of a host's confirmation."""
        return self.clock.now - self.catalogs[name].confirmed_at

    def list_living(self) -> t.List[str]:
        """Return the hosts that are not dead."""
        return [name for name in self.names if name not in self.dead]

    def check_records(self, *expected: str) -> None:
        """Check that all living hosts have exactly these evacuations."""
        for name in self.list_living():
            found = self.catalogs[name].evacuated_data_centres
            self.assertEqual(set(expected), found, name)


class LearningTest(RegionCase):
    """How hosts learn records and confirmations."""

    async def test_hosts_learn_changes_that_only_readers_read(self) -> None:
        await self.run_for(3.0)
        self.check_records("dc-1")
        self.store.sent.clear()
        self.store.put("dc-2")
        await self.run_for(1.2)
        self.check_records("dc-1", "dc-2")
        self.store.put("dc-1", None)
        await self.run_for(1.2)
        self.check_records("dc-2")
        self.assertLessEqual(set(self.store.sent), set(self.readers))
        for name in self.names:
            self.assertLess(self.get_age(name), 1.0)

    # Guards against a host that takes the latest configuration for the only
    # one since its last confirmation (see `shared_spaces`).
    async def test_only_readers_confirm_that_they_missed_nothing(self) -> None:
        await self.run_for(1.2)
        confirmed = {name: unittest.mock.Mock() for name in self.names}
        for name, space in confirmed.items():
            self.catalogs[name].shared_space = space
        self.store.put("dc-2")
        await self.run_for(1.2)
        self.check_records("dc-1", "dc-2")
        for name, space in confirmed.items():
            complete = {call.args[2] for call in space.confirm.mock_calls}
            self.assertEqual(name in self.readers, True in complete)

    async def test_storm_of_changes_is_learnt(self) -> None:
        await self.run_for(1.2)
        for number in range(50):
            self.store.put(f"dc-{number % 7}", None if number % 3 else b"{}")
            await self.run_for(0.1)
        expected = self.store.list_records()
        await self.run_for(1.2)
        self.check_records(*expected)
        self.assertTrue(expected)

    async def test_lost_datagrams_delay_a_change_only(self) -> None:
        await self.run_for(1.2)
        self.network.lost_topics = {operator_relay.NEWS_TOPIC}
        self.store.put("dc-2")
        await self.run_for(1.2)
        self.check_records("dc-1", "dc-2")

    async def test_small_region_does_not_use_the_relay(self) -> None:
        relay = self.relays["host-0"]
        peers = t.cast(entry_fakes.FakePeers, relay._peers)
        peers.region_hosts = self.names[:11]
        self.assertFalse(relay.update_activity())
        peers.region_hosts = self.names[:12]
        self.assertTrue(relay.update_activity())
        peers.region_hosts = self.names[:9]
        self.assertTrue(relay.update_activity())
        peers.region_hosts = self.names[:8]
        self.assertFalse(relay.update_activity())

    async def test_wide_link_is_preferred(self) -> None:
        self.assertEqual("host-7", self.ranked[0])

    async def test_lost_history_is_read_anew(self) -> None:
        await self.run_for(1.2)
        self.store.put("dc-1", None)
        self.store.put("dc-2")
        self.store.history_since = self.store.revision
        await self.run_for(1.5)
        self.check_records("dc-2")

    async def test_reader_that_is_behind_takes_nothing_back(self) -> None:
        await self.run_for(1.2)
        behind, ahead = self.readers
        self.store.put("dc-1", None)
        self.store.put("dc-2")
        await self.run_for(1.2, behind)
        follower = self.others[-1]
        self.assertEqual(
            {"dc-2"}, self.catalogs[follower].evacuated_data_centres
        )
        confirmed_at = self.catalogs[follower].confirmed_at
        self.dead.add(ahead)
        channel = self.network.channels.pop((ahead, 1))
        self.relays[follower].ask()
        self.network.channels[ahead, 1] = channel
        self.assertIsNone(self.relays[follower]._choose_offer())
        self.assertEqual(
            {"dc-2"}, self.catalogs[follower].evacuated_data_centres
        )
        self.assertGreaterEqual(
            self.catalogs[follower].confirmed_at, confirmed_at
        )


class ConfirmationTest(RegionCase):
    """Confirmations, which bound the use of withdrawn API keys."""

    # Guards against the use of a withdrawn key on a host that was paused.
    async def test_answer_to_a_paused_host_confirms_the_time_of_asking(
        self,
    ) -> None:
        await self.run_for(1.2)
        name = self.others[-1]
        self.network.delayed_deliveries = []
        asked_at = self.clock.now
        self.relays[name].ask()
        question, *_ = self.network.delayed_deliveries
        self.network.delayed_deliveries = []
        question()
        (answer,) = self.network.delayed_deliveries
        self.store.put("dc-2")
        self.clock.now += 30.0
        answer()
        self.assertLessEqual(self.catalogs[name].confirmed_at, asked_at)

    # Guards against the use of a withdrawn key behind a reader that is paused
    # between the question and its answer.
    async def test_paused_reader_does_not_confirm_anew(self) -> None:
        await self.run_for(1.2)
        name = self.others[-1]
        confirmed_at = max(
            self.catalogs[reader].confirmed_at for reader in self.readers
        )
        self.network.delayed_deliveries = []
        self.relays[name].ask()
        question, *_ = self.network.delayed_deliveries
        self.clock.now += 30.0
        self.network.delayed_deliveries = None
        question()
        self.assertLessEqual(self.catalogs[name].confirmed_at, confirmed_at)

    async def test_readers_cut_off_from_the_store_do_not_confirm(self) -> None:
        await self.run_for(1.2)
        self.store.cut_off.update(self.names)
        cut_at = self.clock.now
        self.store.put("dc-2")
        await self.run_for(10.0)
        for name in self.names:
            self.assertLessEqual(self.catalogs[name].confirmed_at, cut_at)
        self.store.cut_off.clear()
        await self.run_for(1.5)
        self.check_records("dc-1", "dc-2")
        for name in self.names:
            self.assertLess(self.get_age(name), KEY_LIMIT_SECONDS)

    async def test_odd_answers_confirm_nothing(self) -> None:
        await self.run_for(1.2)
        name = self.others[-1]
        relay = self.relays[name]
        records = relay.records
        relay.ask()
        asked_at = list(relay._questions)[-1]
        confirmed_at = self.catalogs[name].confirmed_at
        self.clock.now += 1.0
        as_of, digest = records.as_of, records.digest
        for body in (
            [asked_at + 0.5, digest, as_of, 0.0],
            [asked_at, digest, as_of, -1.0],
            [asked_at, digest, as_of, float("nan")],
            [asked_at, digest, as_of, "0"],
            [asked_at, digest, str(as_of), 0.0],
            [asked_at, 7, as_of, 0.0],
            [asked_at, digest, as_of],
            [[], digest, as_of, 0.0],
            {"a": 1},
            None,
            7,
        ):
            with self.subTest(body=json.dumps(body)):
                try:
                    relay._receive_answer("x", ("x", 1), body)
                except (ValueError, TypeError, KeyError, AttributeError):
                    pass
                self.assertEqual(
                    confirmed_at, self.catalogs[name].confirmed_at
                )
                self.assertEqual(as_of, records.as_of)


class FallbackTest(RegionCase):
    """Readers that die, pause or are cut off."""

    async def check_fleet(self, seconds: float, *paused: str) -> None:
        """Run, and check that all hosts stay confirmed and learn a change."""
        running = [n for n in self.list_living() if n not in paused]
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            await self.run_for(0.3, *paused)
            for name in running:
                self.assertLess(self.get_age(name), KEY_LIMIT_SECONDS, name)
        self.store.sent.clear()
        self.store.put("dc-9")
        await self.run_for(4.0, *paused)
        for name in running:
            self.assertIn("dc-9", self.catalogs[name].evacuated_data_centres)

    async def test_backups_read_when_both_readers_die(self) -> None:
        await self.run_for(1.2)
        self.kill(*self.readers)
        await self.check_fleet(6.0)
        backups = set(self.others[: operator_relay.BACKUPS_PER_REGION])
        self.assertLessEqual(set(self.store.sent), backups)

    async def test_other_reader_serves_while_one_is_paused(self) -> None:
        await self.run_for(1.2)
        await self.check_fleet(6.0, self.readers[0])
        self.assertEqual([self.readers[1]], self.store.sent)

    async def test_reader_that_is_cut_off_from_the_store_asks(self) -> None:
        await self.run_for(1.2)
        self.store.cut_off.add(self.readers[0])
        await self.check_fleet(6.0)
        self.assertEqual([self.readers[1]], self.store.sent)

    # Guards against records of a host that no reader's answer reaches.
    async def test_hosts_without_answers_read_one_after_another(self) -> None:
        await self.run_for(1.2)
        self.network.lost_topics = {
            operator_relay.ANSWER_TOPIC,
            operator_relay.NEWS_TOPIC,
        }
        self.store.reads.clear()
        await self.check_fleet(9.0)
        for name in self.others[operator_relay.BACKUPS_PER_REGION :]:
            self.assertLessEqual(self.store.reads.count(name), 6)

    async def test_host_that_cannot_fetch_reads_the_store(self) -> None:
        await self.run_for(1.2)
        self.transfers.failing.update(self.names)
        self.store.put("dc-2")
        await self.run_for(4.5)
        self.check_records("dc-1", "dc-2")

    async def test_restarted_host_learns_records_from_a_reader(self) -> None:
        await self.run_for(1.2)
        name = self.others[-1]
        self.store.reads.clear()
        self.start_host(name)
        for _ in range(2):
            await self.run_step(name)
        self.assertEqual({"dc-1"}, self.catalogs[name].evacuated_data_centres)
        self.assertNotIn(name, self.store.reads)

    async def test_hosts_that_start_together_learn_all_records(self) -> None:
        await self.run_for(1.5)
        self.check_records("dc-1")


class DecodingTest(RegionCase):
    """Records that change while others are decoded."""

    # Guards against records that are taken back because a fetch that began
    # earlier ends later.
    async def test_records_confirmed_during_decoding_are_kept(self) -> None:
        await self.run_for(1.2)
        relay = self.relays[self.others[-1]]
        reader = self.relays[self.readers[0]]
        self.store.put("dc-2")
        await reader._read_store()
        address = relay._choose_offer()
        self.assertIsNotNone(address)
        digest = relay.records.digest
        source = t.cast(FakeSource, relay._source)
        decode = source.decode

        async def decode_late(
            records: t.Iterable[changes.OperatorRecord],
        ) -> t.Tuple[changes.Change, ...]:
            self.store.put("dc-2", None)
            await reader._read_store()
            self.assertEqual(digest, reader.records.digest)
            relay.ask()
            return await decode(records)

        with mock.patch.object(source, "decode", decode_late):
            await relay._fetch(t.cast(datagrams.Address, address))
        self.assertEqual(digest, relay.records.digest)
        self.assertEqual(
            {"dc-1"}, self.catalogs[self.others[-1]].evacuated_data_centres
        )


class RunTest(RegionCase):
    """The background task."""

    async def test_news_wake_a_host_that_waits(self) -> None:
        await self.run_for(1.2)
        name = self.others[-1]
        task = asyncio.create_task(self.relays[name].run())
        try:
            await asyncio.sleep(0.01)
            self.store.put("dc-2")
            for reader in self.readers:
                await self.run_step(reader)
            await asyncio.sleep(0.05)
        finally:
            task.cancel()
        self.assertEqual(
            {"dc-1", "dc-2"}, self.catalogs[name].evacuated_data_centres
        )


class RecordsTest(unittest.TestCase):
    """Records and their encoding."""

    def make(self, *revisions: int) -> operator_records.OperatorRecords:
        """Return records with these revisions."""
        records = operator_records.OperatorRecords()
        records.apply_snapshot(
            [
                changes.OperatorRecord(f"key-{n}", bytes(range(256)), n)
                for n in revisions
            ],
            max(revisions),
        )
        return records

    def test_encoded_changes_make_records_equal(self) -> None:
        newer, older = self.make(1, 5, 9), self.make(1, 4)
        data = newer.encode_changes(older.as_of)
        changed = older.list_changes(
            operator_records.decode_record_set(9, data)
        )
        older.apply_changes(changed, 9)
        self.assertEqual(newer.digest, older.digest)
        self.assertEqual(
            [("key-5", False), ("key-9", False), ("key-4", True)],
            [(record.key, record.value is None) for record in changed],
        )
        self.assertEqual(9, older.as_of)
        self.assertEqual([], older.list_changes(self.decode(newer)))

    def decode(
        self, records: operator_records.OperatorRecords
    ) -> operator_records.RecordSet:
        """Return all records as another host would get them."""
        return operator_records.decode_record_set(
            records.as_of, records.encode_changes(0)
        )

    def test_changes_that_do_not_fit_are_refused(self) -> None:
        newer, older = self.make(1, 5, 9), self.make(4)
        data = newer.encode_changes(older.as_of)
        digest = older.digest
        with self.assertRaises(ValueError):
            older.list_changes(operator_records.decode_record_set(9, data))
        self.assertEqual(digest, older.digest)

    def test_malformed_data_is_refused(self) -> None:
        sound = self.make(1).encode_changes(0)
        for data in (
            b"",
            b"x",
            sound[:-5],
            *map(
                operator_records.zlib.compress,
                (
                    b"",
                    b"{}",
                    b"[[], []]",
                    b"[{}, [[1]]]",
                    b'[{}, [["k", 1, 7]]]',
                    b'[{}, [["k", 1, "\\ud800"]]]',
                    b'[{"k": null}, []]',
                    b'[{"k": 1e400}, []]',
                    b"[" * 100_000,
                ),
            ),
        ):
            with self.subTest(data=data[:30]):
                with self.assertRaises(ValueError):
                    operator_records.decode_record_set(1, data)
