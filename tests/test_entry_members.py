"""Tests of the membership of entry hosts in the platform store."""

import asyncio
import unittest

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import follower
from sesamefold.entry import members
from sesamefold.entry import store
from sesamefold.entry import throttle
from standins import platform_fixtures
from tests import entry_fakes

# Interval between watches of the store.
WATCH_INTERVAL_SECONDS = 0.2


class MembershipTest(entry_fakes.StoreCase):
    """Entry hosts and a platform store."""

    def make(self, name: str) -> members.Membership:
        """Start the membership and the store follower of a host."""
        own = members.Member(name, "region-1", ("127.0.0.1", 1), 50.0)
        host = members.Membership(own, self.client, entry_fakes.make_log())
        log = entry_fakes.make_log()
        store_follower = follower.StoreFollower(
            self.client,
            WATCH_INTERVAL_SECONDS,
            catalog.Catalog(log),
            [host],
            log,
        )
        for task in (host.run(), store_follower.run()):
            self.stack.callback(asyncio.create_task(task).cancel)
        return host

    async def test_hosts_that_start_together_soon_list_each_other(
        self,
    ) -> None:
        """Guards against overload after a restart of all hosts.

        A host that lists only itself uses the whole of each limit.
        """
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

    async def test_host_lists_none_before_it_has_settled(self) -> None:
        host = self.make("entry-1")
        await asyncio.sleep(0.3)
        self.assertEqual(0, len(host.list_hosts()))

    async def test_malformed_record_is_ignored(self) -> None:
        self.store.put(f"{store.MEMBERS_PREFIX}entry-9", b"broken")
        host = self.make("entry-1")
        await asyncio.sleep(members.SETTLING_SECONDS + 0.3)
        self.assertEqual({"entry-1"}, set(host.list_hosts()))

    def test_odd_record_is_of_no_member(self) -> None:
        """Guards against a record that ends the watch or the datagrams."""
        own = members.Member("entry-1", "region-1", ("127.0.0.1", 1), 50.0)
        host = members.Membership(own, self.client, entry_fakes.make_log())
        sound = b'["region-1", "127.0.0.1", 1, 1.0]'
        host._settled_at = float("-inf")
        host.apply_changes(
            [
                changes.HostRecordChanged(f"{store.MEMBERS_PREFIX}{name}", row)
                for name, row in (
                    *platform_fixtures.make_odd_member_records().items(),
                    ("", sound),
                    ("entry\ud800", sound),
                    ("entry-2", sound),
                )
            ]
        )
        self.assertEqual({"entry-1", "entry-2"}, set(host.list_hosts()))
        peers = host.list_peers(same_region=True)
        self.assertEqual({"entry-2": ("127.0.0.1", 1)}, peers)
        self.assertEqual({}, host.list_peers(same_region=False))

    async def test_removed_host_is_listed_until_grace_time_ends(self) -> None:
        """Guards against shares that grow while a host may still serve."""
        clock = entry_fakes.FakeClock()
        host = members.Membership(
            members.Member("entry-1", "region-1", ("127.0.0.1", 1)),
            self.client,
            entry_fakes.make_log(),
            read_time=clock,
        )
        host._started_at = clock.now - members.SETTLING_SECONDS
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
        clock.now += members.DEPARTURE_GRACE_SECONDS + 0.1
        host.apply_changes(
            [changes.HostRecordChanged("sesamefold/orders/holder", b"x")]
        )
        self.assertEqual({"entry-1"}, set(host.list_hosts()))
        self.assertEqual({}, host.list_peers(same_region=True))

    async def test_membership_reads_no_records_beside_the_watch(self) -> None:
        """Guards against reads of records that the watch returns anyway."""
        self.make("entry-1")
        await asyncio.sleep(follower.START_JITTER_SECONDS + 0.5)
        self.make("entry-2")
        await asyncio.sleep(
            follower.START_JITTER_SECONDS + members.STARTUP_SECONDS
        )
        self.assertEqual(6, self.store.calls.count("GET /kv-range"))


class RetriesTest(unittest.TestCase):
    """Retry limits of a host that lists no members."""

    def test_no_extra_retries_without_members(self) -> None:
        limits = throttle.RetryLimits(0.2, 58, 10)
        host = throttle.RetryThrottle(limits, lambda: ())
        self.assertFalse(host.try_acquire_retry("chat"))
