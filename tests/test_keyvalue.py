"""Contract tests of the key-value adapter against its stand-in."""

import asyncio
import unittest

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import keyvalue
from sesamefold import transport
from standins import keyvalue as standin


def soon(seconds=5.0):
    return deadlines.Deadline.after(seconds)


class KeyValueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = standin.KeyValueServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = transport.make_session()
        self.addAsyncCleanup(self.session.close)
        self.adapter = keyvalue.HttpKeyValue(self.session, self.server.url)

    async def test_compare_and_swap(self):
        """Guards against a write that passes with a wrong version."""
        await self.adapter.put("a/b c", b"\0one", 0, soon())
        for expected, version in ((0, None), (2, None), (1, 2), (None, 3)):
            with self.subTest(expected=expected):
                write = self.adapter.put("a/b c", b"new", expected, soon())
                if version is not None:
                    self.assertEqual(version, await write)
                    continue
                with self.assertRaises(exceptions.VersionConflict) as caught:
                    await write
                self.assertEqual(1, caught.exception.actual)
        with self.assertRaises(exceptions.VersionConflict):
            await self.adapter.delete("a/b c", 1, soon())
        self.assertEqual(
            keyvalue.Entry("a/b c", b"new", 3),
            await self.adapter.get("a/b c", soon()),
        )
        self.assertEqual(["a/b c"], await self.adapter.list_keys("a", soon()))
        await self.adapter.delete("a/b c", 3, soon())
        self.assertIsNone(await self.adapter.get("a/b c", soon()))

    async def test_outcome_of_failed_calls(self):
        """Guards against a lost answer reported as "did not happen"."""
        unavailable = exceptions.PlatformUnavailable
        unknown = exceptions.OutcomeUnknown
        cases = (
            ({"outage": "503"}, unavailable, unavailable, 1),
            ({"outage": "silent"}, unavailable, unknown, 1),
            ({"outage": "", "lose_answers": 1}, None, unknown, 1),
            ({"delay": 1.0}, unavailable, unknown, 2),
        )
        await self.adapter.put("k", b"", None, soon())
        for faults, read_error, write_error, version in cases:
            with self.subTest(faults=faults):
                self.server.inject(**faults)
                if read_error:
                    with self.assertRaises(read_error):
                        await self.adapter.get("k", soon(0.5))
                else:
                    await self.adapter.get("k", soon())
                with self.assertRaises(write_error):
                    await self.adapter.put("k", b"", version, soon(0.5))
        self.server.inject(delay=0.0)
        # The delayed write takes effect after its caller has given up.
        found = await self.adapter.watch("k", 2, soon())
        self.assertEqual(3, found.version)
        with self.assertRaises(unavailable):
            await self.adapter.put("k", b"x" * (1024**2 + 1), None, soon())
        await self.server.stop()
        with self.assertRaises(unavailable):
            await self.adapter.put("k", b"", None, soon())

    async def test_lost_answer_is_not_sent_again(self):
        """Guards against a client that repeats a write on its own.

        The second write would fail with a conflict, although the first one
        took effect.
        """
        await self.adapter.put("k", b"", 0, soon())
        calls = (
            lambda: self.adapter.put("k", b"mine", 1, soon()),
            lambda: self.adapter.delete("k", 2, soon()),
            lambda: self.adapter.grant_lease(5, soon()),
        )
        for call in calls:
            self.server.inject(lose_answers=1)
            with self.assertRaises(exceptions.OutcomeUnknown):
                await call()
        self.assertEqual(
            (2, 1, 1),
            tuple(
                self.server.counters[kind]
                for kind in ("put", "delete", "lease_grant")
            ),
        )

    async def test_watch(self):
        """Guards against a missed change and a watch that never ends."""
        self.assertIsNone(await self.adapter.watch("k", 0, soon(0.1)))
        pending = asyncio.create_task(self.adapter.watch("k", 0, soon()))
        while not self.server.counters["watches_pending"]:
            await asyncio.sleep(0.01)
        await self.adapter.put("other", b"", None, soon())
        await self.adapter.put("k", b"v", None, soon())
        self.assertEqual(b"v", (await pending).value)
        pending = asyncio.create_task(self.adapter.watch("k", 1, soon()))
        while not self.server.counters["watches_pending"]:
            await asyncio.sleep(0.01)
        self.server.inject(outage="503")
        with self.assertRaises(exceptions.PlatformUnavailable):
            await pending
        self.assertEqual(3, self.server.counters["watch"])

    async def test_lease_expiry(self):
        """Guards against keys that survive the lease they depend on."""
        lease = await self.adapter.grant_lease(100, soon())
        await self.adapter.put("k", b"", 0, soon(), lease.id)
        self.server.inject(clock_offset=90)
        renewed = await self.adapter.renew_lease(lease.id, soon())
        self.assertGreater(renewed.deadline, lease.deadline)
        pending = asyncio.create_task(self.adapter.watch("k", 1, soon(60)))
        while not self.server.counters["watches_pending"]:
            await asyncio.sleep(0.01)
        self.server.inject(clock_offset=180)
        self.assertEqual(1, self.server.counters["watches_pending"])
        self.server.inject(clock_offset=200)
        self.assertIsNone(await pending)
        for call in (
            self.adapter.renew_lease(lease.id, soon()),
            self.adapter.put("k", b"", None, soon(), lease.id),
        ):
            with self.assertRaises(exceptions.LeaseExpired):
                await call
        lease = await self.adapter.grant_lease(60, soon())
        await self.adapter.put("k", b"", 0, soon(), lease.id)
        await self.adapter.revoke_lease(lease.id, soon())
        self.assertIsNone(await self.adapter.get("k", soon()))

    async def test_stale_values(self):
        """Guards against a stand-in that cannot answer with old values."""
        for value in (b"1", b"2", b"3"):
            await self.adapter.put("k", value, None, soon())
        self.server.inject(stale={"key": "k", "back": 2, "count": 1})
        seen = [(await self.adapter.get("k", soon())).value for _ in "12"]
        self.assertEqual([b"1", b"3"], seen)
