"""Entry hosts that find each other through the store."""

import asyncio
import unittest

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import follower
from sesamefold.entry import members
from sesamefold.entry import store
from sesamefold.entry import throttle
from tests import entry_fakes

# Time between two watches, seconds.
PACE_SECONDS = 0.2


class MembersTest(entry_fakes.StoreCase):
    """Hosts that start together."""

    def make(self, name: str) -> members.Membership:
        """Start a host's membership."""
        own = members.Member(name, "region-1", ("127.0.0.1", 1), 50.0)
        host = members.Membership(own, self.client, entry_fakes.make_log())
        log = entry_fakes.make_log()
        following = follower.StoreFollower(
            self.client, PACE_SECONDS, catalog.Catalog(log), [host], log
        )
        for task in (host.run(), following.run()):
            self.stack.callback(asyncio.create_task(task).cancel)
        return host

    async def test_hosts_that_start_together_know_each_other_soon(
        self,
    ) -> None:
        """Guards against overload after a restart of all hosts."""
        hosts = []
        for number in range(5):
            hosts.append(self.make(f"entry-{number}"))
            await asyncio.sleep(0.1)
        async with asyncio.timeout(2.0):
            while any(len(host.list_hosts()) < 5 for host in hosts):
                await asyncio.sleep(0.05)
        self.assertEqual(4, len(hosts[0].list_peers(same_region=True)))
        self.assertEqual({}, hosts[0].list_peers(same_region=False))
        self.assertEqual(5, len(hosts[0].list_hosts_in("region-1")))
        self.assertEqual([], hosts[0].list_hosts_in("region-2"))
        self.assertEqual(50.0, hosts[0].get_link_mbps("entry-4"))
        self.assertEqual(0.0, hosts[0].get_link_mbps("entry-9"))

    async def test_a_host_has_no_share_before_it_is_settled(self) -> None:
        host = self.make("entry-1")
        await asyncio.sleep(0.3)
        self.assertEqual(0, len(host.list_hosts()))

    async def test_records_of_other_forms(self) -> None:
        self.store.put(f"{store.MEMBERS_PREFIX}entry-9", b"broken")
        host = self.make("entry-1")
        await asyncio.sleep(members.SETTLED_SECONDS + 0.3)
        self.assertEqual({"entry-1"}, set(host.list_hosts()))

    async def test_a_host_that_left_counts_for_a_while(self) -> None:
        """Guards against shares that grow while a host may still serve."""
        clock = entry_fakes.FakeClock()
        host = members.Membership(
            members.Member("entry-1", "region-1", ("127.0.0.1", 1)),
            self.client,
            entry_fakes.make_log(),
            read_time=clock,
        )
        host._started_at = clock.now - members.SETTLED_SECONDS
        key = f"{store.MEMBERS_PREFIX}entry-2"
        host.apply_snapshot(
            [
                changes.HostRecordChanged(
                    key, b'["region-1", "127.0.0.2", 1, 9.0]'
                )
            ]
        )
        self.assertEqual({"entry-1", "entry-2"}, set(host.list_hosts()))
        clock.now += 100.0
        host.apply_changes([])
        self.assertEqual({"entry-1", "entry-2"}, set(host.list_hosts()))
        host.apply_changes([changes.HostRecordChanged(key, None)])
        self.assertIn("entry-2", host.list_peers(same_region=True))
        clock.now += members.DEPARTURE_SECONDS + 0.1
        host.apply_changes(
            [changes.HostRecordChanged("sesamefold/orders/holder", b"x")]
        )
        self.assertEqual({"entry-1"}, set(host.list_hosts()))
        self.assertEqual({}, host.list_peers(same_region=True))

    async def test_members_come_with_the_watch(self) -> None:
        """Guards against calls to the store that the watch makes needless."""
        self.make("entry-1")
        await asyncio.sleep(follower.START_SPREAD + 0.5)
        self.make("entry-2")
        await asyncio.sleep(follower.START_SPREAD + members.START_SECONDS)
        self.assertEqual(6, self.store.calls.count("GET /kv-range"))


class RetriesTest(unittest.TestCase):
    """Limits of a host that does not know the others."""

    def test_no_members_no_extra(self) -> None:
        limits = throttle.RetryLimits(0.2, 58, 10)
        host = throttle.RetryThrottle(limits, lambda: ())
        self.assertFalse(host.try_acquire_retry("chat"))
