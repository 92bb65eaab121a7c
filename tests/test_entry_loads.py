"""Loads of servers, told between hosts."""

import typing as t
import unittest

from sesamefold.entry import datagrams
from sesamefold.entry import loads
from tests import entry_fakes


class LoadsTest(unittest.TestCase):
    """Loads of two hosts."""

    def setUp(self) -> None:
        """Make two hosts."""
        self.clock = entry_fakes.FakeClock()
        self.hosts = [
            loads.Loads(name, "region-1", self.clock) for name in ("a", "b")
        ]

    def tell(self, body: t.Any) -> None:
        """Give a message of the second host to the first."""
        self.hosts[0].receive_loads("b", ("127.0.0.1", 1), body)

    def test_the_sum_and_its_end(self) -> None:
        first, second = self.hosts
        own = first.reserve("i-1", 100, 50)
        second.reserve("i-1", 30, 30)
        self.tell(second.encode(1))
        self.assertEqual(loads.Load(2, 130, 80), first.get_load("i-1"))
        own.record_prefill()
        self.assertEqual(loads.Load(2, 130, 30), first.get_load("i-1"))
        own.release()
        self.assertEqual(loads.Load(1, 30, 30), first.get_load("i-1"))
        self.clock.now += loads.PEER_SECONDS + 0.1
        first.forget_silent()
        self.assertEqual(loads.Load(), first.get_load("i-1"))

    def test_messages_out_of_order(self) -> None:
        first, second = self.hosts
        reservation = second.reserve("i-1", 30, 30)
        older = second.encode(1)
        reservation.release()
        for message in (second.encode(2), older):
            self.tell(message)
        self.assertEqual(loads.Load(), first.get_load("i-1"))


class LoadSharingTest(unittest.TestCase):
    """Loads in regions of different size."""

    def make(self, *regions: int) -> None:
        """Make regions with so many hosts."""
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
            far = [n for other in names if other is not own for n in other]
            for name in own:
                host = loads.Loads(name, f"region-{region}", self.clock)
                self.hosts[name] = host
                self.sharing[name] = loads.LoadSharing(
                    host,
                    t.cast(
                        datagrams.PeerChannel,
                        entry_fakes.FakeChannel(self.network, name),
                    ),
                    entry_fakes.FakePeers(name, own, far),
                )

    def tell(self, *silent: str) -> None:
        """Let all hosts send twice: what they have, and the sums of it."""
        for _ in range(2):
            self.now += loads.FAR_SUMS_INTERVAL
            for name in self.sharing.keys() - set(silent):
                sharing = self.sharing[name]
                sharing.tell(sharing.list_collectors(), self.now)

    def list_seen(self) -> t.Set[loads.Load]:
        """Return what the hosts know of one server."""
        return {host.get_load("i-1") for host in self.hosts.values()}

    def test_all_hosts_know_the_sum(self) -> None:
        for regions in ((3,), (4, 5), (14,), (14, 12), (14, 3)):
            with self.subTest(regions=regions):
                self.make(*regions)
                for host in self.hosts.values():
                    host.reserve("i-1", 100, 50)
                self.tell()
                count = sum(regions)
                expected = loads.Load(count, 100 * count, 50 * count)
                self.assertEqual({expected}, self.list_seen())

    def test_own_changes_count_at_once_and_once(self) -> None:
        self.make(14)
        host = self.hosts["r0-0"]
        reservation = host.reserve("i-1", 100, 0)
        self.tell()
        host.reserve("i-1", 10, 0)
        self.assertEqual(loads.Load(2, 110, 0), host.get_load("i-1"))
        reservation.release()
        self.assertEqual(loads.Load(1, 10, 0), host.get_load("i-1"))

    def test_messages_grow_with_the_region_and_not_its_square(self) -> None:
        self.make(40)
        for host in self.hosts.values():
            host.reserve("i-1", 100, 0)
        self.tell()
        self.assertLess(
            sum(self.network.received.values()), 40 * 2 * 2 * loads.COLLECTORS
        )

    def test_a_host_with_a_wide_link_sums_up(self) -> None:
        self.make(14)
        for sharing in self.sharing.values():
            self.assertEqual("r0-7", sharing.list_collectors()[0])

    def test_a_collector_that_dies(self) -> None:
        self.make(14)
        dead, *others = self.sharing["r0-0"].list_collectors()
        for host in self.hosts.values():
            host.reserve("i-1", 100, 0)
        self.tell()
        del self.network.channels[dead, 1]
        self.clock.now += loads.PEER_SECONDS + 0.1
        self.tell(dead)
        living = [h for name, h in self.hosts.items() if name != dead]
        self.assertEqual(
            {loads.Load(13, 1300, 0)},
            {host.get_load("i-1") for host in living},
        )
