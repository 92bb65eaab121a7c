"""Tests of an entry host process whose servers announce that they leave."""

import asyncio
import collections
import itertools
import time
import typing as t

from standins import platform_engine
from standins import platform_fixtures
from tests import entry_processes

# Time after a notice from which no request may be sent to the server, seconds;
# `drain_ms` of the settings.
LEAVING_SECONDS = 2.5
# Time for which a test looks past the bound of the rule, seconds.
MARGIN_SECONDS = 0.5
# Pause between two requests of a steady load, seconds.
SEND_INTERVAL_SECONDS = 0.03
# Longest time that a refusal may take, seconds; the routes' timeout is twice
# as long.
REFUSAL_SECONDS = 1.0
# Bound on withdrawn keys with which requests are served without the store for
# the length of a test.
LONG_KEY_WITHDRAWAL_MS = 60000


class LeavingProcessTest(entry_processes.EntryProcessCase):
    """One process and servers that leave or restart under load."""

    async def asyncSetUp(self) -> None:
        """Start a second server and the process."""
        await super().asyncSetUp()
        self.other = platform_engine.PlatformEngine("i-1")
        self.other_address = await platform_fixtures.start_server(
            self.stack, self.other.handle
        )
        self.request_numbers = itertools.count()
        self.sent_at: t.Dict[str, float] = {}
        self.write_settings(revoke_ms=LONG_KEY_WITHDRAWAL_MS)
        await self.start()
        await self.wait_ready()

    def put_entry(self, server_id: str, address: str, **fields: t.Any) -> None:
        """Write a server's entry to the store."""
        entry = platform_fixtures.make_server_entry(address, **fields)
        self.store.put(f"servers/{server_id}", entry)

    async def add_other(self) -> None:
        """Add the second server to the list, and wait until it is read."""
        self.put_entry("i-1", self.other_address)
        await self.wait_until(lambda: self.has_read("i-1"))

    def has_read(self, server_id: str, started_at: int = 1) -> bool:
        """Return whether the process has read a server's entry."""
        return any(
            (line["server"], line["started_at"]) == (server_id, started_at)
            for line in self.find_lines("server")
        )

    async def send(self) -> int:
        """Send a request with an id of its own and return the status."""
        request_id = f"n-{next(self.request_numbers)}"
        self.sent_at[request_id] = time.monotonic()
        return await self.call("/safe/", request_id)

    async def send_until(self, end: float) -> t.Counter[int]:
        """Send a steady load until `end`; return the numbers of statuses."""
        statuses: t.Counter[int] = collections.Counter()
        while time.monotonic() < end:
            statuses[await self.send()] += 1
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        return statuses

    async def leave(self) -> float:
        """Let the server announce that it leaves.

        Returns when the caller had the answer.
        """
        self.engine.leaving = "1"
        arrived = len(self.engine.arrivals)
        while len(self.engine.arrivals) == arrived:
            self.assertEqual(200, await self.send())
        return time.monotonic()

    def list_arrivals_sent_after(
        self, at: float
    ) -> t.List[platform_engine.Arrival]:
        """Return the requests to the leaving server sent after a time."""
        return [
            arrival
            for arrival in self.engine.arrivals
            if self.sent_at[arrival.request_id] > at
        ]

    async def test_leaving_ends_the_use_while_the_store_is_cut_off(
        self,
    ) -> None:
        """Guards against a notice that needs the store (DRAIN).

        The store is back later and still lists the server as ready.
        """
        await self.add_other()
        self.store.error_status = 503
        noticed_at = await self.leave()
        end = noticed_at + LEAVING_SECONDS + MARGIN_SECONDS
        self.assertEqual({200}, set(await self.send_until(end)))
        self.assertEqual([], self.list_arrivals_sent_after(noticed_at))
        self.store.error_status = 0
        self.engine.leaving = None
        self.put_entry("i-0", self.engine_address, seq=2)
        end = time.monotonic() + LEAVING_SECONDS
        self.assertEqual({200}, set(await self.send_until(end)))
        self.assertEqual([], self.list_arrivals_sent_after(noticed_at))

    async def test_the_only_server_is_not_used_late_with_the_store_cut_off(
        self,
    ) -> None:
        """Guards against both a lost service and a late request (DRAIN)."""
        self.store.error_status = 503
        noticed_at = await self.leave()
        statuses = await self.send_until(noticed_at + 0.6 * LEAVING_SECONDS)
        self.assertEqual({200}, set(statuses))
        await asyncio.sleep(noticed_at + LEAVING_SECONDS - time.monotonic())
        after = time.monotonic()
        for _ in range(10):
            sent_at = time.monotonic()
            self.assertEqual(503, await self.send())
            self.assertLess(time.monotonic() - sent_at, REFUSAL_SECONDS)
        self.assertEqual([], self.list_arrivals_sent_after(after))

    async def test_a_new_server_at_the_address_of_one_that_left_is_used(
        self,
    ) -> None:
        """Guards against a notice that is kept by address or connection."""
        noticed_at = await self.leave()
        load = asyncio.create_task(
            self.send_until(noticed_at + 0.4 * LEAVING_SECONDS)
        )
        await asyncio.sleep(0.2 * LEAVING_SECONDS)
        self.engine.id, self.engine.leaving = "i-9", None
        self.store.remove("servers/i-0")
        self.put_entry("i-9", self.engine_address)
        self.assertLessEqual(set(await load), {200, 503})
        await self.check_restarted_server_is_used("i-9", 1, noticed_at)

    async def test_a_restart_under_the_same_id_while_requests_run_is_used(
        self,
    ) -> None:
        """Guards against a notice that outlives its incarnation."""
        noticed_at = await self.leave()
        load = asyncio.create_task(
            self.send_until(noticed_at + 0.4 * LEAVING_SECONDS)
        )
        await asyncio.sleep(0.2 * LEAVING_SECONDS)
        self.engine.leaving = None
        self.put_entry("i-0", self.engine_address, born=2)
        self.assertLessEqual(set(await load), {200, 503})
        await self.check_restarted_server_is_used("i-0", 2, noticed_at)

    async def check_restarted_server_is_used(
        self, server_id: str, started_at: int, noticed_at: float
    ) -> None:
        """Check that the new incarnation is used past the old one's bound."""
        await self.wait_until(lambda: self.has_read(server_id, started_at))
        end = noticed_at + LEAVING_SECONDS + MARGIN_SECONDS
        self.assertEqual({200}, set(await self.send_until(end)))
        requests = [run.request_id for run in self.engine.runs]
        self.assertEqual(len(requests), len(set(requests)))
