"""Tests of a store that returns from a copy and begins a new era."""

import asyncio
import unittest
import unittest.mock

from sesamefold.entry import changes
from sesamefold.entry import positions
from sesamefold.entry import store
from sesamefold import exceptions
from standins import platform_fixtures
from tests import entry_fakes
from tests import test_entry_catalog

SAFE_PATH = "/safe/"


class PositionTest(unittest.TestCase):
    """Positions as numbers."""

    def test_later_era_is_greater_than_any_revision_before(self) -> None:
        position = positions.make_position(3, 17)
        self.assertGreater(position, positions.make_position(2, 2**48 - 1))
        self.assertEqual(
            (3, 17),
            (positions.get_era(position), positions.get_revision(position)),
        )
        for era, revision in ((-1, 0), (0, -1), (2**14, 0), (0, 2**48)):
            with self.assertRaises(ValueError):
                positions.make_position(era, revision)


class ClientTest(entry_fakes.StoreCase):
    """Client of a store that returns."""

    store_era = 1

    # Guards against a watch that goes on at a revision that has been given out
    # again: the store does not know that it means another one.
    async def test_watch_does_not_go_on_in_another_era(self) -> None:
        saved = self.store.take_copy()
        self.store.put("op/evacuate/dc-1", {})
        after = (await self.client.read_all()).revision
        self.store.return_from(saved)
        self.store.put("op/evacuate/dc-2", {})
        self.store.put("op/evacuate/dc-3", {})
        with self.assertRaises(exceptions.HistoryLost):
            await self.client.watch(after, 0.2)
        batch = await self.client.read_all()
        self.assertEqual(2, len(batch.changes))
        self.assertGreater(batch.revision, after)
        self.assertEqual(
            (), (await self.client.watch(batch.revision, 0)).changes
        )

    async def test_pages_of_two_eras_are_no_read(self) -> None:
        for number in range(600):
            self.store.put(f"op/evacuate/dc-{number}", {})
        saved = self.store.take_copy()
        reading = asyncio.create_task(self.client.read_all())
        while "GET /kv-range" not in self.store.calls:
            await asyncio.sleep(0)
        self.store.return_from(saved)
        with self.assertRaises(exceptions.PlatformUnavailable):
            await reading

    # Guards against leases that hosts cannot hold: the store's ids of leases
    # are larger than any revision.
    async def test_lease_with_a_large_id_is_held(self) -> None:
        lease = await self.client.grant_lease(5.0)
        await self.client.write({"x": 0}, [store.Write("x", b"1", lease)])
        await self.client.renew_lease(lease)
        (record,) = await self.client.list_records("x")
        self.assertEqual(lease, record.lease)
        await self.client.revoke_lease(lease)
        self.assertIsNone(self.store.get("x"))

    async def test_revision_out_of_range_fails_the_call(self) -> None:
        self.store.revision = 2**48
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.client.read_all()

    # Guards against a condition that another record fulfils by chance.
    async def test_write_expects_no_revision_of_an_earlier_era(self) -> None:
        saved = self.store.take_copy()
        known = await self.client.write({"x": 0}, [store.Write("x", b"1")])
        self.store.return_from(saved)
        self.store.put("x", b"2")
        await self.client.list_records("")
        with self.assertRaises(exceptions.VersionConflict):
            await self.client.write({"x": known}, [store.Write("x", b"3")])
        self.assertEqual(b"2", self.store.get("x"))

    async def test_write_in_an_era_that_it_did_not_know_is_unknown(
        self,
    ) -> None:
        saved = self.store.take_copy()
        lease = await self.client.grant_lease(5.0)
        self.store.return_from(saved)
        with self.assertRaises(exceptions.OutcomeUnknown):
            await self.client.write({"x": 0}, [store.Write("x", b"1")])
        with self.assertRaises(exceptions.LeaseExpired):
            await self.client.write({}, [store.Write("x", b"1", lease)])

    async def test_answer_with_an_invalid_era_is_not_used(self) -> None:
        faults = unittest.mock.Mock()
        self.client.report_fault = faults
        self.store.era = 4
        await self.client.read_all()
        for era in (3, "x", "-5", "4.0", "", 2**14):
            with self.subTest(era=era):
                self.store.era = era  # type: ignore[assignment]
                with self.assertRaises(exceptions.PlatformUnavailable):
                    await self.client.read_all()
                self.assertEqual(4, self.client.era)
        faults.assert_called_once()
        self.store.era = None
        batch = await self.client.read_all()
        self.assertEqual(4, positions.get_era(batch.revision))


class CatalogTest(unittest.TestCase):
    """What the catalog keeps when the store returns from a copy."""

    def setUp(self) -> None:
        """Read the records of two servers in the first era."""
        self.clock = entry_fakes.FakeClock()
        self.catalog = entry_fakes.make_catalog(self.clock)
        self.servers = [
            entry_fakes.make_server(f"i-{n}", sequence=5) for n in range(2)
        ]
        self.apply(1, *map(changes.ServerReported, self.servers))
        self.clock.now += 60.0

    def apply(self, era: int, *listed: changes.Change) -> None:
        """Apply a complete read that found these records."""
        position = positions.make_position(era, 7)
        self.catalog.apply_snapshot(changes.Batch(listed, position))

    def list_ids(self) -> list[str]:
        """Return the ids of the usable servers."""
        return [s.id for s in self.catalog.list_usable_servers("chat")]

    # Guards against a fleet that is taken for gone because its records are
    # not written again yet.
    def test_missing_servers_remain_for_a_while(self) -> None:
        self.apply(2, changes.ServerReported(self.servers[0]))
        self.clock.now += 4.9
        self.assertEqual(["i-0", "i-1"], self.list_ids())
        self.clock.now += 0.2
        self.assertEqual(["i-0"], self.list_ids())

    # Guards against requests to a data centre that is evacuated (EVAC): the
    # copy is from before the order.
    def test_missing_evacuation_remains_for_a_while(self) -> None:
        dc = self.servers[0].data_centre
        ordered = changes.EvacuationRequested(dc)
        reports = list(map(changes.ServerReported, self.servers))
        self.apply(1, ordered, *reports)
        self.apply(2, *reports)
        self.assertEqual([], self.list_ids())
        self.catalog.apply_changes(
            changes.Batch(
                (changes.EvacuationEnded(dc),), positions.make_position(2, 8)
            )
        )
        self.clock.now += 4.9
        self.assertEqual([], self.list_ids())
        self.clock.now += 0.2
        self.assertEqual(["i-0", "i-1"], self.list_ids())

    def test_evacuation_that_is_written_again_goes_on(self) -> None:
        dc = self.servers[0].data_centre
        ordered = changes.EvacuationRequested(dc)
        reports = list(map(changes.ServerReported, self.servers))
        self.apply(1, ordered, *reports)
        self.apply(2, *reports)
        self.catalog.apply_changes(
            changes.Batch((ordered,), positions.make_position(2, 8))
        )
        self.clock.now += 6.0
        self.assertEqual([], self.list_ids())

    # Guards against requests to a server that has left (DRAIN): the copy shows
    # a report from before.
    def test_deleted_server_does_not_come_back_with_an_old_report(
        self,
    ) -> None:
        self.apply(1, changes.ServerReported(self.servers[0]))
        self.assertEqual(["i-0"], self.list_ids())
        self.apply(2, *map(changes.ServerReported, self.servers))
        self.assertEqual(["i-0"], self.list_ids())
        newer = entry_fakes.make_server("i-1", sequence=6)
        self.apply(2, *map(changes.ServerReported, [self.servers[0], newer]))
        self.assertEqual(["i-0", "i-1"], self.list_ids())

    def test_configuration_and_weights_do_not_go_back(self) -> None:
        for era, version in ((1, 5), (2, 4)):
            self.apply(
                era,
                changes.ConfigurationAccepted(
                    test_entry_catalog.make_configuration(version)
                ),
                changes.TargetWeightsChanged("m", version),
            )
        self.assertEqual(5, self.catalog.require_configuration().version)
        self.assertEqual({"m": 5}, self.catalog.target_weights)

    def test_no_era_changes_nothing(self) -> None:
        self.apply(1, changes.ServerReported(self.servers[0]))
        self.assertEqual(["i-0"], self.list_ids())


class HostTest(entry_fakes.EntryHostCase):
    """An entry host whose store returns from a copy."""

    store_era = 1

    # Guards against hosts that take all that is written after a return for
    # outdated: its revisions were given out before.
    async def test_configuration_after_a_return_comes_into_force(
        self,
    ) -> None:
        saved = self.store.take_copy()
        for version in (2, 3):
            self.store.put(
                "op/config", platform_fixtures.make_configuration(version)
            )
        for number in range(20):
            self.store.put(f"op/evacuate/away-{number}", {})
        await self.wait_for_version(3)
        self.store.return_from(saved)
        self.store.put("op/config", platform_fixtures.make_configuration(4))
        for number in range(40):
            self.store.put(f"sesamefold/x/{number}", {})
        self.assertEqual(200, (await self.call(SAFE_PATH, "r-1"))[0])
        await self.wait_for_version(4)
        self.assertEqual(200, (await self.call(SAFE_PATH, "r-2"))[0])
        key = f"{store.MEMBERS_PREFIX}{self.host.settings.host}"
        await self.wait_until(lambda: self.store.get(key) is not None)

    async def wait_for_version(self, version: int) -> None:
        """Wait until the host has a version of the configuration."""
        await self.wait_until(
            lambda: self.host.catalog.require_configuration().version
            == version
        )
