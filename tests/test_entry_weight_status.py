"""Tests of the status of weight loading."""

import typing as t
import unittest

import attrs

from sesamefold.entry import catalog
from sesamefold.entry import context_stores
from sesamefold.entry import datagrams
from sesamefold.entry import loads
from sesamefold.entry import placement
from sesamefold.entry import server_status
from sesamefold.entry import throttle
from sesamefold.entry import weight_status
from tests import entry_fakes

HOSTS = ["entry-1", "entry-2"]


class WeightStatusSharingTest(unittest.TestCase):
    """Status that a host receives from the host that orders loading."""

    def setUp(self) -> None:
        """Make two hosts that know one engine."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.server = entry_fakes.make_server("i-1", weights={"m": 1, "n": 7})
        self.sender, _ = self.make(HOSTS[0])
        _, self.receiver = self.make(HOSTS[1])

    def make(
        self, host: str
    ) -> t.Tuple[weight_status.WeightStatusSharing, placement.Placement]:
        """Return the status sharing and the placement of a host."""
        host_catalog = entry_fakes.make_catalog(self.clock)
        host_catalog.apply_changes(entry_fakes.make_report_batch(self.server))
        fleet = entry_fakes.FakeFleet(HOSTS)
        log = entry_fakes.make_log()
        host_placement = placement.Placement(
            host_catalog,
            throttle.ColdThrottle(host, fleet.list_hosts, self.clock),
            loads.Loads(host, "region-1", self.clock),
            context_stores.ContextStores(
                host,
                {},
                host_catalog,
                t.cast(context_stores.ContextStoreApi, None),
                fleet,
                log,
                self.clock,
            ),
            "dc-1",
            {"dc-1": "region-1"},
            "region-1",
            log,
            self.clock,
        )
        channel = entry_fakes.FakeChannel(self.network, host)
        sharing = weight_status.WeightStatusSharing(
            t.cast(datagrams.PeerChannel, channel),
            entry_fakes.FakePeers(host, HOSTS),
            host_catalog,
            host_placement,
        )
        return sharing, host_placement

    def get_weights(self) -> t.Mapping[str, int]:
        """Return the weights of the engine that the receiver knows."""
        host_catalog: catalog.Catalog = self.receiver.catalog
        return host_catalog.servers["i-1"].weights

    def is_loading(self) -> bool:
        """Return whether the receiver takes the engine to be loading."""
        status = self.receiver.states.get(self.server)
        return self.clock.now < status.backoff_until

    def test_loading_engine_gets_no_requests_until_loaded(self) -> None:
        self.sender.announce_loading("i-1")
        self.assertTrue(self.is_loading())
        self.sender.announce_loaded("i-1", {"m": 2})
        self.assertFalse(self.is_loading())
        self.assertEqual({"m": 2, "n": 7}, self.get_weights())

    def test_loading_expires_if_loaded_message_is_lost(self) -> None:
        self.sender.announce_loading("i-1")
        self.clock.now += server_status.LOADING_BACKOFF_SECONDS
        self.assertFalse(self.is_loading())

    def test_late_message_with_older_weights_is_ignored(self) -> None:
        self.receiver.catalog.update_weights("i-1", {"m": 3, "n": 7})
        self.sender.announce_loaded("i-1", {"m": 2})
        self.assertEqual({"m": 3, "n": 7}, self.get_weights())

    def test_message_about_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against weights that an engine had before its restart."""
        self.network.delayed_deliveries = []
        self.sender.announce_loaded("i-1", {"m": 2})
        restarted = attrs.evolve(self.server, started_at=2)
        self.receiver.catalog.apply_changes(
            entry_fakes.make_report_batch(restarted)
        )
        for deliver in self.network.delayed_deliveries:
            deliver()
        self.assertEqual({"m": 1, "n": 7}, self.get_weights())

    def test_message_about_unknown_engine_is_ignored(self) -> None:
        self.sender.announce_loading("i-9")
        self.sender.announce_loaded("i-9", {"m": 2})
        self.assertNotIn("i-9", self.receiver.catalog.servers)
