"""Tests of loads of servers and of their exchange between hosts."""

import typing as t
import unittest

from sesamefold.entry import datagrams
from sesamefold.entry import loads
from tests import entry_fakes


class LoadsTest(unittest.TestCase):
    """Loads that two hosts put on a server."""

    def setUp(self) -> None:
        """Make two hosts."""
        self.clock = entry_fakes.FakeClock()
        self.hosts = [
            loads.Loads(name, "region-1", self.clock) for name in ("a", "b")
        ]

    def deliver(self, body: t.Any) -> None:
        """Deliver a message of the second host to the first."""
        self.hosts[0].receive_loads("b", ("127.0.0.1", 1), body)

    def test_load_sums_hosts_until_peer_expires(self) -> None:
        first, second = self.hosts
        own = first.reserve("i-1", 100, 50)
        second.reserve("i-1", 30, 30)
        self.deliver(second.encode_loads(1))
        self.assertEqual(loads.Load(2, 130, 80), first.get_load("i-1"))
        own.record_prefill()
        self.assertEqual(loads.Load(2, 130, 30), first.get_load("i-1"))
        own.release()
        self.assertEqual(loads.Load(1, 30, 30), first.get_load("i-1"))
        self.clock.now += loads.PEER_EXPIRY_SECONDS + 0.1
        first.drop_expired()
        self.assertEqual(loads.Load(), first.get_load("i-1"))

    def test_older_message_after_newer_one_is_ignored(self) -> None:
        first, second = self.hosts
        reservation = second.reserve("i-1", 30, 30)
        older = second.encode_loads(1)
        reservation.release()
        for message in (second.encode_loads(2), older):
            self.deliver(message)
        self.assertEqual(loads.Load(), first.get_load("i-1"))


class LoadSharingTest(unittest.TestCase):
    """Exchange of loads in regions of different sizes."""

    def make(self, *regions: int) -> None:
        """Make regions, each with the given number of hosts."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.now = 1.0
        self.hosts: t.Dict[str, loads.Loads] = {}
        self.sharing: t.Dict[str, loads.LoadSharing] = {}
        names = [
            [f"r{region}-{number}" for number in range(count)]
            for region, count in enumerate(regions)
        ]
        for region, own in enumerate(names):
            remote = [n for other in names if other is not own for n in other]
            for name in own:
                host = loads.Loads(name, f"region-{region}", self.clock)
                self.hosts[name] = host
                self.sharing[name] = loads.LoadSharing(
                    host,
                    t.cast(
                        datagrams.PeerChannel,
                        entry_fakes.FakeChannel(self.network, name),
                    ),
                    entry_fakes.FakePeers(name, own, remote),
                )

    def exchange(self, *silent: str) -> None:
        """Let all hosts but the silent ones send twice.

        The second round carries the sums of the loads sent in the first.
        """
        for _ in range(2):
            self.now += loads.REMOTE_SUMS_INTERVAL_SECONDS
            for name in self.sharing.keys() - set(silent):
                sharing = self.sharing[name]
                sharing.send_updates(sharing.list_aggregators(), self.now)

    def list_seen_loads(self) -> t.Set[loads.Load]:
        """Return the loads of one server that the hosts see."""
        return {host.get_load("i-1") for host in self.hosts.values()}

    def test_all_hosts_see_sum_of_all_loads(self) -> None:
        for regions in ((3,), (4, 5), (14,), (14, 12), (14, 3)):
            with self.subTest(regions=regions):
                self.make(*regions)
                for host in self.hosts.values():
                    host.reserve("i-1", 100, 50)
                self.exchange()
                count = sum(regions)
                expected = loads.Load(count, 100 * count, 50 * count)
                self.assertEqual({expected}, self.list_seen_loads())

    def test_own_changes_count_immediately_and_once(self) -> None:
        self.make(14)
        host = self.hosts["r0-0"]
        reservation = host.reserve("i-1", 100, 0)
        self.exchange()
        host.reserve("i-1", 10, 0)
        self.assertEqual(loads.Load(2, 110, 0), host.get_load("i-1"))
        reservation.release()
        self.assertEqual(loads.Load(1, 10, 0), host.get_load("i-1"))

    def test_message_count_grows_linearly_with_region(self) -> None:
        self.make(40)
        for host in self.hosts.values():
            host.reserve("i-1", 100, 0)
        self.exchange()
        self.assertLess(
            sum(self.network.received.values()),
            40 * 2 * 2 * loads.AGGREGATORS_PER_REGION,
        )

    def test_host_with_widest_link_is_first_aggregator(self) -> None:
        self.make(14)
        for sharing in self.sharing.values():
            self.assertEqual("r0-7", sharing.list_aggregators()[0])

    def test_loads_are_summed_without_dead_aggregator(self) -> None:
        self.make(14)
        dead, *others = self.sharing["r0-0"].list_aggregators()
        for host in self.hosts.values():
            host.reserve("i-1", 100, 0)
        self.exchange()
        del self.network.channels[dead, 1]
        self.clock.now += loads.PEER_EXPIRY_SECONDS + 0.1
        self.exchange(dead)
        living = [h for name, h in self.hosts.items() if name != dead]
        self.assertEqual(
            {loads.Load(13, 1300, 0)},
            {host.get_load("i-1") for host in living},
        )
