"""News of engines that load weights."""

import typing as t
import unittest

from sesamefold.entry import catalog
from sesamefold.entry import contexts
from sesamefold.entry import datagrams
from sesamefold.entry import loads
from sesamefold.entry import placement
from sesamefold.entry import throttle
from sesamefold.entry import weight_status
from tests import entry_fakes

HOSTS = ["entry-1", "entry-2"]


class WeightStatusSharingTest(unittest.TestCase):
    """What a host learns from the one that orders."""

    def setUp(self) -> None:
        """Let both hosts know one engine."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.server = entry_fakes.make_server("i-1", weights={"m": 1, "n": 7})
        self.first, _ = self.make(HOSTS[0])
        _, self.second = self.make(HOSTS[1])

    def make(
        self, host: str
    ) -> t.Tuple[weight_status.WeightStatusSharing, placement.Placement]:
        """Return a host's news and its placement."""
        known = entry_fakes.make_catalog(self.clock)
        known.apply(entry_fakes.report(self.server))
        fleet = entry_fakes.FakeFleet(HOSTS)
        log = entry_fakes.make_log()
        places = placement.Placement(
            known,
            throttle.ColdThrottle(host, fleet.names, self.clock),
            loads.Loads(host, "region-1", self.clock),
            contexts.ContextStores(
                host,
                {},
                known,
                t.cast(contexts.ContextStoreApi, None),
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
        news = weight_status.WeightStatusSharing(
            t.cast(datagrams.PeerChannel, channel),
            entry_fakes.FakePeers(host, HOSTS),
            known,
            places,
        )
        return news, places

    def get_weights(self) -> t.Mapping[str, int]:
        """Return what the second host knows of the engine's weights."""
        known: catalog.Catalog = self.second.catalog
        return known.servers["i-1"].weights

    def is_loading(self) -> bool:
        """Tell whether the second host leaves the engine alone."""
        return self.clock.now < self.second.states["i-1"].refused_until

    def test_a_loading_engine_is_left_alone_until_it_is_done(self) -> None:
        self.first.announce_loading("i-1")
        self.assertTrue(self.is_loading())
        self.first.announce_loaded("i-1", {"m": 2})
        self.assertFalse(self.is_loading())
        self.assertEqual({"m": 2, "n": 7}, self.get_weights())

    def test_lost_news_of_the_end(self) -> None:
        self.first.announce_loading("i-1")
        self.clock.now += placement.LOADING_SECONDS
        self.assertFalse(self.is_loading())

    def test_late_news_of_older_weights(self) -> None:
        self.second.catalog.note_weights("i-1", {"m": 3, "n": 7})
        self.first.announce_loaded("i-1", {"m": 2})
        self.assertEqual({"m": 3, "n": 7}, self.get_weights())

    def test_news_of_an_unknown_engine(self) -> None:
        self.first.announce_loading("i-9")
        self.first.announce_loaded("i-9", {"m": 2})
        self.assertNotIn("i-9", self.second.catalog.servers)
