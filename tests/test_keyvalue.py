"""Tests of the key-value adapter against the stand-in of the service."""

import asyncio
import unittest

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import keyvalue
from sesamefold import transport
from standins import keyvalue as keyvalue_standin


def make_deadline(seconds=5.0):
    """Return the deadline that passes in `seconds`."""
    return deadlines.Deadline.after(seconds)


class HttpKeyValueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = keyvalue_standin.KeyValueServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = transport.make_session()
        self.addAsyncCleanup(self.session.close)
        self.adapter = keyvalue.HttpKeyValue(self.session, self.server.url)

    async def test_write_requires_the_expected_version(self):
        """Guards against a write that succeeds with a wrong version."""
        await self.adapter.put("a/b c", b"\0one", 0, make_deadline())
        for expected, version in ((0, None), (2, None), (1, 2), (None, 3)):
            with self.subTest(expected=expected):
                write = self.adapter.put(
                    "a/b c", b"new", expected, make_deadline()
                )
                if version is not None:
                    self.assertEqual(version, await write)
                    continue
                with self.assertRaises(exceptions.VersionConflict) as caught:
                    await write
                self.assertEqual(1, caught.exception.actual)
        with self.assertRaises(exceptions.VersionConflict):
            await self.adapter.delete("a/b c", 1, make_deadline())
        self.assertEqual(
            keyvalue.Entry("a/b c", b"new", 3),
            await self.adapter.get("a/b c", make_deadline()),
        )
        self.assertEqual(
            ["a/b c"], await self.adapter.list_keys("a", make_deadline())
        )
        await self.adapter.delete("a/b c", 3, make_deadline())
        self.assertIsNone(await self.adapter.get("a/b c", make_deadline()))

    async def test_failed_call_raises_unavailable_or_outcome_unknown(self):
        """Guards against a lost reply that is reported as "no effect"."""
        unavailable = exceptions.PlatformUnavailable
        unknown = exceptions.OutcomeUnknown
        cases = (
            ({"outage": "503"}, unavailable, unavailable, 1),
            ({"outage": "silent"}, unavailable, unknown, 1),
            ({"outage": "", "lose_answers": 1}, None, unknown, 1),
            ({"delay": 1.0}, unavailable, unknown, 2),
        )
        await self.adapter.put("k", b"", None, make_deadline())
        for faults, read_error, write_error, version in cases:
            with self.subTest(faults=faults):
                self.server.inject(**faults)
                if read_error:
                    with self.assertRaises(read_error):
                        await self.adapter.get("k", make_deadline(0.5))
                else:
                    await self.adapter.get("k", make_deadline())
                with self.assertRaises(write_error):
                    await self.adapter.put(
                        "k", b"", version, make_deadline(0.5)
                    )
        self.server.inject(delay=0.0)
        # The delayed write takes effect after the timeout of its caller.
        found = await self.adapter.watch("k", 2, make_deadline())
        self.assertEqual(3, found.version)
        with self.assertRaises(unavailable):
            await self.adapter.put(
                "k", b"x" * (1024**2 + 1), None, make_deadline()
            )
        await self.server.stop()
        with self.assertRaises(unavailable):
            await self.adapter.put("k", b"", None, make_deadline())

    async def test_write_is_not_retried_after_a_lost_reply(self):
        """Guards against a write that the HTTP client retries on its own.

        The retry would fail with a conflict although the first write took
        effect.
        """
        await self.adapter.put("k", b"", 0, make_deadline())
        calls = (
            lambda: self.adapter.put("k", b"mine", 1, make_deadline()),
            lambda: self.adapter.delete("k", 2, make_deadline()),
            lambda: self.adapter.grant_lease(5, make_deadline()),
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

    async def test_watch_ends_with_a_change_deadline_or_outage(self):
        """Guards against a missed change and against an endless watch."""
        self.assertIsNone(await self.adapter.watch("k", 0, make_deadline(0.1)))
        pending = asyncio.create_task(
            self.adapter.watch("k", 0, make_deadline())
        )
        while not self.server.counters["watches_pending"]:
            await asyncio.sleep(0.01)
        await self.adapter.put("other", b"", None, make_deadline())
        await self.adapter.put("k", b"v", None, make_deadline())
        self.assertEqual(b"v", (await pending).value)
        pending = asyncio.create_task(
            self.adapter.watch("k", 1, make_deadline())
        )
        while not self.server.counters["watches_pending"]:
            await asyncio.sleep(0.01)
        self.server.inject(outage="503")
        with self.assertRaises(exceptions.PlatformUnavailable):
            await pending
        self.assertEqual(3, self.server.counters["watch"])

    async def test_keys_are_deleted_with_their_lease(self):
        """Guards against keys that outlast their lease."""
        lease = await self.adapter.grant_lease(100, make_deadline())
        await self.adapter.put("k", b"", 0, make_deadline(), lease.id)
        self.server.inject(clock_offset=90)
        renewed = await self.adapter.renew_lease(lease.id, make_deadline())
        self.assertGreater(renewed.deadline, lease.deadline)
        pending = asyncio.create_task(
            self.adapter.watch("k", 1, make_deadline(60))
        )
        while not self.server.counters["watches_pending"]:
            await asyncio.sleep(0.01)
        self.server.inject(clock_offset=180)
        self.assertEqual(1, self.server.counters["watches_pending"])
        self.server.inject(clock_offset=200)
        self.assertIsNone(await pending)
        for call in (
            self.adapter.renew_lease(lease.id, make_deadline()),
            self.adapter.put("k", b"", None, make_deadline(), lease.id),
        ):
            with self.assertRaises(exceptions.LeaseExpired):
                await call
        lease = await self.adapter.grant_lease(60, make_deadline())
        await self.adapter.put("k", b"", 0, make_deadline(), lease.id)
        await self.adapter.revoke_lease(lease.id, make_deadline())
        self.assertIsNone(await self.adapter.get("k", make_deadline()))

    async def test_stand_in_serves_stale_values(self):
        """Guards against a stand-in that cannot return old values."""
        for value in (b"1", b"2", b"3"):
            await self.adapter.put("k", value, None, make_deadline())
        self.server.inject(stale={"key": "k", "back": 2, "count": 1})
        seen = [
            (await self.adapter.get("k", make_deadline())).value for _ in "12"
        ]
        self.assertEqual([b"1", b"3"], seen)
