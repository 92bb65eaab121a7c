"""Tests of the catalog of configuration and backend servers."""

import unittest

import attrs

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import topology
from sesamefold.platform import records
from sesamefold.platform import wire
from standins import platform_fixtures
from tests import entry_fakes


def make_configuration(version: int) -> topology.Configuration:
    """Return a decoded configuration of the given version."""
    body = platform_fixtures.make_configuration(version)
    change = records.decode_record("op/config", wire.encode(body))
    assert isinstance(change, changes.ConfigurationAccepted)
    return change.configuration


class CatalogTest(unittest.TestCase):
    """A catalog that knows two servers."""

    def setUp(self) -> None:
        """Create a catalog and read the records of two servers."""
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
        """Apply the removal of a server's record."""
        self.catalog.apply_changes(
            changes.Batch((changes.ServerRemoved(server_id),), 2)
        )

    def test_older_configuration_is_not_applied(self) -> None:
        for version in (3, 2):
            change = changes.ConfigurationAccepted(make_configuration(version))
            self.catalog.apply_changes(changes.Batch((change,), 1))
        self.assertEqual(3, self.catalog.require_configuration().version)

    def test_removed_server_is_not_usable(self) -> None:
        self.remove("i-0")
        self.assertEqual(["i-1"], self.list_ids())

    def test_removal_calls_listeners(self) -> None:
        removed: list[str] = []
        self.catalog.on_removal.append(removed.append)
        self.remove("i-0")
        self.assertEqual(["i-0"], removed)

    def test_server_expired_in_outage_stays_usable_for_grace_time(
        self,
    ) -> None:
        self.clock.now += 10.0
        self.catalog.record_store_contact(True)
        self.remove("i-0")
        self.remove("i-1")
        self.assertEqual(["i-0", "i-1"], self.list_ids())
        self.clock.now += 1.5
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(self.servers[1])
        )
        self.clock.now += catalog.EXPIRY_GRACE_SECONDS
        self.assertEqual(["i-1"], self.list_ids())

    def test_draining_server_expired_in_outage_is_removed_at_once(
        self,
    ) -> None:
        draining_server = attrs.evolve(
            self.servers[0], draining=True, sequence=2
        )
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(draining_server)
        )
        self.clock.now += 10.0
        self.catalog.record_store_contact(True)
        self.remove("i-0")
        self.assertNotIn("i-0", self.catalog.servers)

    def test_older_report_is_not_applied(self) -> None:
        newer = attrs.evolve(self.servers[0], draining=True, sequence=5)
        self.catalog.apply_changes(entry_fakes.make_report_batch(newer))
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(self.servers[0])
        )
        self.assertEqual(["i-1"], self.list_ids())

    def test_restarted_server_with_same_id_is_usable(self) -> None:
        draining_server = attrs.evolve(
            self.servers[0], draining=True, sequence=9
        )
        self.catalog.apply_changes(
            entry_fakes.make_report_batch(draining_server)
        )
        restarted = attrs.evolve(
            self.servers[0], started_at=2, cold_until=self.clock.now + 3
        )
        self.catalog.apply_changes(entry_fakes.make_report_batch(restarted))
        self.assertIn("i-0", self.list_ids())

    def name_weights(self, version: int) -> None:
        """Apply a new target version of model m."""
        change = changes.TargetWeightsChanged("m", version)
        self.catalog.apply_changes(changes.Batch((change,), 2))

    def limit_weights(self) -> None:
        """Let replaced weights expire after 10 s."""
        self.catalog.weights_limits = catalog.WeightsLimits(10.0, 4.0)

    def test_weights_expire_after_the_first_newer_version(self) -> None:
        """Guards against an expiry that each further version postpones.

        The time counts from the confirmation before the version was read,
        because it may have been named right after that.
        """
        self.limit_weights()
        start = self.clock.now
        self.clock.now = start + 60.0
        self.catalog.confirm(start + 59.0)
        self.name_weights(2)
        self.catalog.confirm(start + 65.0)
        self.name_weights(3)
        self.assertEqual(
            [start + 69.0, start + 75.0, float("inf")],
            [self.catalog.find_weights_expiry("m", v) for v in (1, 2, 3)],
        )

    def test_versions_read_after_an_outage_expire_after_a_grace_time(
        self,
    ) -> None:
        """Guards against refusing all requests after an outage of the store.

        It is not known when the version was named.
        """
        self.limit_weights()
        self.catalog.confirm(self.clock.now)
        self.clock.now += 60.0
        self.catalog.record_store_contact(True)
        self.name_weights(2)
        self.assertEqual(
            self.clock.now + 4.0, self.catalog.find_weights_expiry("m", 1)
        )

    def test_outage_does_not_postpone_the_expiry(self) -> None:
        self.limit_weights()
        self.catalog.confirm(self.clock.now)
        self.name_weights(2)
        expiry = self.catalog.find_weights_expiry("m", 1)
        self.clock.now += 8.0
        self.catalog.record_store_contact(True)
        self.name_weights(3)
        self.assertEqual(expiry, self.catalog.find_weights_expiry("m", 1))

    def test_grace_time_of_a_host_begins_with_its_start(self) -> None:
        """Guards against weights that a restarted host uses for too long.

        The grace time of a host that has started does not wait for its first
        read of the store.
        """
        started_at = self.clock.now
        restarted = entry_fakes.make_catalog(self.clock)
        restarted.weights_limits = catalog.WeightsLimits(10.0, 4.0)
        self.clock.now += 1.0
        restarted.record_store_contact(False)
        change = changes.TargetWeightsChanged("m", 2)
        restarted.apply_snapshot(changes.Batch((change,), 2))
        self.assertLessEqual(
            restarted.find_weights_expiry("m", 1), started_at + 4.0
        )

    def test_weights_do_not_expire_without_limits(self) -> None:
        self.name_weights(2)
        self.assertEqual(
            float("inf"), self.catalog.find_weights_expiry("m", 1)
        )

    def test_evacuated_data_centre_has_no_usable_servers_until_end(
        self,
    ) -> None:
        self.catalog.apply_changes(
            changes.Batch((changes.EvacuationRequested("dc-1"),), 2)
        )
        self.assertEqual([], self.list_ids())
        self.catalog.apply_changes(
            changes.Batch((changes.EvacuationEnded("dc-1"),), 3)
        )
        self.assertEqual(["i-0", "i-1"], self.list_ids())
