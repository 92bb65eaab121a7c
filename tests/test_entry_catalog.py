"""Rules of the catalog."""

import unittest

import attrs

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import topology
from sesamefold.platform import records
from sesamefold.platform import wire
from standins import platform_site
from tests import entry_fakes


def make_configuration(version: int) -> topology.Configuration:
    """Return a decoded configuration."""
    body = platform_site.make_configuration(version)
    change = records.decode_record("op/config", wire.encode(body))
    assert isinstance(change, changes.ConfigurationAccepted)
    return change.configuration


class CatalogTest(unittest.TestCase):
    """Configuration, servers and their lapses."""

    def setUp(self) -> None:
        """Know two servers."""
        self.clock = entry_fakes.FakeClock()
        self.catalog = entry_fakes.make_catalog(self.clock)
        self.servers = [entry_fakes.make_server(f"i-{n}") for n in range(2)]
        self.catalog.record_store_contact(False)
        self.catalog.apply_snapshot(
            entry_fakes.make_report_batch(*self.servers)
        )

    def list_ids(self) -> list[str]:
        """Return the ids of the usable servers."""
        return [s.id for s in self.catalog.list_usable_servers("chat")]

    def remove(self, server_id: str) -> None:
        """Apply the removal of a server's entry."""
        self.catalog.apply_changes(
            changes.Batch((changes.ServerRemoved(server_id),), 2)
        )

    def test_a_configuration_never_goes_back(self) -> None:
        for version in (3, 2):
            change = changes.ConfigurationAccepted(make_configuration(version))
            self.catalog.apply_changes(changes.Batch((change,), 1))
        self.assertEqual(3, self.catalog.require_configuration().version)

    def test_a_removed_server_is_not_used(self) -> None:
        self.remove("i-0")
        self.assertEqual(["i-1"], self.list_ids())

    def test_listeners_hear_of_a_removal(self) -> None:
        heard: list[str] = []
        self.catalog.on_removal.append(heard.append)
        self.remove("i-0")
        self.assertEqual(["i-0"], heard)

    def test_lapsed_entries_come_back_after_an_outage(self) -> None:
        self.clock.now += 10.0
        self.catalog.record_store_contact(True)
        self.remove("i-0")
        self.remove("i-1")
        self.assertEqual(["i-0", "i-1"], self.list_ids())
        self.clock.now += 1.5
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(self.servers[1])
        )
        self.clock.now += catalog.LAPSE_GRACE_SECONDS
        self.assertEqual(["i-1"], self.list_ids())

    def test_a_leaving_server_has_no_grace(self) -> None:
        leaving = attrs.evolve(self.servers[0], draining=True, sequence=2)
        self.catalog.apply_changes(entry_fakes.make_report_batch(leaving))
        self.clock.now += 10.0
        self.catalog.record_store_contact(True)
        self.remove("i-0")
        self.assertNotIn("i-0", self.catalog.servers)

    def test_an_older_report_changes_nothing(self) -> None:
        newer = attrs.evolve(self.servers[0], draining=True, sequence=5)
        self.catalog.apply_changes(entry_fakes.make_report_batch(newer))
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(self.servers[0])
        )
        self.assertEqual(["i-1"], self.list_ids())

    def test_a_new_life_under_the_same_id(self) -> None:
        leaving = attrs.evolve(self.servers[0], draining=True, sequence=9)
        self.catalog.apply_changes(entry_fakes.make_report_batch(leaving))
        reborn = attrs.evolve(
            self.servers[0], started_at=2, cold_until=self.clock.now + 3
        )
        self.catalog.apply_changes(entry_fakes.make_report_batch(reborn))
        self.assertIn("i-0", self.list_ids())

    def test_an_evacuated_data_centre(self) -> None:
        self.catalog.apply_changes(
            changes.Batch((changes.EvacuationRequested("dc-1"),), 2)
        )
        self.assertEqual([], self.list_ids())
        self.catalog.apply_changes(
            changes.Batch((changes.EvacuationEnded("dc-1"),), 3)
        )
        self.assertEqual(["i-0", "i-1"], self.list_ids())
