"""Contract tests of the client of the host list against its stand-in."""

import unittest

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import transport
from standins import hostlist as standin


class HostListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = standin.HostListServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = transport.make_session()
        self.addAsyncCleanup(self.session.close)
        self.client = hostlist.HttpHostList(self.session, self.server.url)

    async def fetch(self, known_revision=0, seconds=5.0):
        return await self.client.fetch(
            "lima-a", known_revision, deadlines.Deadline.after(seconds)
        )

    async def test_fetch_returns_changed_list_and_none_if_unchanged(self):
        """Guards against missing hosts, and servers of other data centres."""
        self.assertEqual(hostlist.Listing(0, ()), await self.fetch())
        hosts = [
            hostlist.Host("gw-1", "entry", "lima-a", "127.0.0.1:1", "x:2"),
            hostlist.Host("gw-2", "entry", "cusco-a", "127.0.0.1:3", "x:4"),
            hostlist.Host("en-1", "backend", "lima-a", "127.0.0.1:5"),
            hostlist.Host("en-2", "backend", "cusco-a", "127.0.0.1:6"),
        ]
        for host in hosts:
            async with self.session.put(
                f"{self.server.url}/hosts/{host.name}",
                json={
                    "kind": host.kind,
                    "data_centre": host.data_centre,
                    "address": host.address,
                    "control_address": host.control_address,
                    "field_of_a_later_version": 1,
                },
            ) as response:
                response.raise_for_status()
        self.assertEqual(
            hostlist.Listing(4, tuple(hosts[:3])), await self.fetch()
        )
        self.assertIsNone(await self.fetch(known_revision=4))
        await self.session.delete(f"{self.server.url}/hosts/gw-1")
        listing = await self.fetch(known_revision=4)
        self.assertEqual((5, 2), (listing.revision, len(listing.hosts)))

    async def test_lagging_list_does_not_reorder_changes(self):
        """Guards against a list that shows a change too early."""
        self.server.inject(lag=3600.0)
        host = {"kind": "entry", "data_centre": "d", "address": "a:1"}
        self.server.change({"h": host})
        # A later change becomes visible only after the earlier one.
        self.server.inject(lag=0.0)
        self.server.change({"h": None})
        self.assertEqual(0, (await self.fetch()).revision)

    async def test_outage_raises_platform_unavailable(self):
        """Guards against an outage that is taken for an empty list."""
        for fault in ({"outage": "503"}, {"outage": "silent"}):
            with self.subTest(fault=fault):
                self.server.inject(**fault)
                with self.assertRaises(exceptions.PlatformUnavailable):
                    await self.fetch(seconds=0.2)
