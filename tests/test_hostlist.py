"""Contract tests of the client of the host list against its stand-in."""

import contextlib
import json
import unittest

from aiohttp import web

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import transport
from standins import hostlist as standin
from standins import platform_fixtures


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


class OddEntryTest(unittest.IsolatedAsyncioTestCase):
    """Entries of another writer on the list."""

    async def asyncSetUp(self):
        """Start a server that returns `self.text`."""
        self.text = ""
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        address = await platform_fixtures.start_server(stack, self.answer)
        session = await stack.enter_async_context(transport.make_session())
        self.client = hostlist.HttpHostList(session, f"http://{address}")

    async def answer(self, request):
        """Return the text as JSON."""
        return web.Response(text=self.text, content_type="application/json")

    async def fetch(self, hosts, revision="7"):
        """Return the decoded list with these entries, as JSON texts."""
        joined = ",".join(hosts)
        self.text = f'{{"revision": {revision}, "hosts": [{joined}]}}'
        return await self.client.fetch(
            "lima-a", 0, deadlines.Deadline.after(5.0)
        )

    async def test_odd_entry_does_not_hide_the_others(self):
        """Guards against one entry that ends the polling of the list."""
        sound = hostlist.Host("en-1", "backend", "lima-a", "10.0.0.1:5")
        texts = [
            json.dumps(
                {
                    "name": name,
                    "kind": "backend",
                    "data_centre": "lima-a",
                    "address": "10.0.0.1:5",
                }
            )
            for name in ("en-1", "en-2")
        ]
        odd_name = texts[0].replace('"en-1"', "@")
        odd_address = texts[0].replace('"10.0.0.1:5"', "@")
        deep = "[" * 5000 + "]" * 5000
        for odd in (
            "null",
            "7",
            '"host"',
            "[]",
            "{}",
            deep,
            '{"a":' * 5000 + "1" + "}" * 5000,
            "9" * 5000,
            "-1e400",
            "NaN",
            *(
                odd_name.replace("@", value)
                for value in (
                    "5",
                    "null",
                    '""',
                    '"en\\ud800"',
                    '"en\\n"',
                    deep,
                    '"' + "[{" * 5000 + '\\""' + ', "group": ' + deep,
                )
            ),
            *(
                odd_address.replace("@", value)
                for value in (
                    "5",
                    '""',
                    '"10.0.0.1"',
                    '"10.0.0.1:0"',
                    '"10.0.0.1:65536"',
                    '"10.0.0.1:-1"',
                    '"10.0.0.1:%s"' % ("9" * 5000),
                    '":5"',
                )
            ),
            odd_name.replace("@", '"en-3", "state": "asleep"'),
            odd_name.replace("@", '"en-3", "group": 5'),
        ):
            with self.subTest(odd=odd[:99]):
                listing = await self.fetch([texts[0], odd, texts[1]])
                self.assertEqual(7, listing.revision)
                self.assertEqual(
                    ["en-1", "en-2"], [host.name for host in listing.hosts]
                )
                self.assertEqual(sound, listing.hosts[0])

    async def test_list_of_another_form_is_unavailable(self):
        """Guards against a list that is taken for an empty one."""
        for hosts, revision in (
            ([], "1e400"),
            ([], '"7"'),
            ([], "9" * 5000),
            ([], "null"),
            (["["], "7"),
            (["]"], "7"),
            (["]} , {"], "7"),
        ):
            with self.subTest(hosts=hosts, revision=revision[:9]):
                with self.assertRaises(exceptions.PlatformUnavailable):
                    await self.fetch(hosts, revision)
        for self.text in ("[]", "7", '{"revision": 7, "hosts": {}}', ""):
            with self.assertRaises(exceptions.PlatformUnavailable):
                await self.client.fetch(
                    "lima-a", 0, deadlines.Deadline.after(5.0)
                )
