"""Tests of an entry host that refuses requests because of crashes."""

import asyncio
import subprocess
import sys
import typing as t
import unittest

import aiohttp
import multidict

from sesamefold.entry import crash_detection
from standins import platform_fixtures
from tests import entry_fakes

PART_HEADERS = {
    "Sesamefold-Model": platform_fixtures.MODEL,
    "Sesamefold-Token-Usage": "900,80",
}


class ImportTest(unittest.TestCase):
    """Modules that each start of an entry host loads."""

    def test_entry_host_loads_no_messages_of_the_own_interface(self) -> None:
        """Guards against starts that take twice the processor time.

        The message library alone takes 0.05 s.
        """
        code = (
            "import sys, sesamefold.entry.host;"
            "sys.exit('google.protobuf' in sys.modules)"
        )
        subprocess.run([sys.executable, "-c", code], check=True)


class QuarantineTest(entry_fakes.EntryHostCase):
    """One entry host with two servers."""

    crashes = 0

    def crash(self, parts: str, body: bytes = b"body") -> None:
        """Let the host know of a crash with a request in flight."""
        self.crashes += 1
        route = self.host.catalog.require_configuration().find_route(
            platform_fixtures.ROUTE_HOST, "/resumable/"
        )
        head = self.host.platform.codec.read_request(
            multidict.CIMultiDict(
                {
                    "Sesamefold-Request-Id": "r",
                    **self.make_headers(f"{parts},own{self.crashes}:1"),
                }
            )
        )
        call = entry_fakes.make_call(
            route=route,
            head=head,
            customer=self.host.catalog.require_configuration().customers[
                platform_fixtures.API_KEY
            ],
            target="/resumable/",
            body=body,
        )
        self.host.quarantine._record_crash(
            crash_detection.Crash(f"i-9{self.crashes}", 1), [call]
        )
        self.host.quarantine.culprits.record_sound_parts([b"another part"])

    def make_headers(self, parts: str) -> t.Dict[str, str]:
        """Return the headers of a prompt."""
        return {**PART_HEADERS, "Sesamefold-Prompt-Prefix": parts}

    async def send(
        self, parts: str, **fields: t.Any
    ) -> t.Tuple[int, t.Mapping[str, str], bytes]:
        """Send a request with parts."""
        return await self.call(
            "/resumable/", headers=self.make_headers(parts), **fields
        )

    async def test_refusal_is_immediate_and_promises_that_nothing_ran(
        self,
    ) -> None:
        """Guards against a refused request that waits or claims to have run.

        A caller that comes back must not do so while it is refused.
        """
        for _ in range(4):
            self.crash("aa:400,bad:300")
        async with asyncio.timeout(0.5):
            status, headers, body = await self.send("aa:400,bad:300,x:1")
        self.assertEqual((503, b'{"code":1223}'), (status, body))
        self.assertGreater(float(headers["Retry-After"]), 30.0)
        self.assertNotIn("Sesamefold-Response-Seal", headers)
        self.assertEqual([], self.list_runs())

    async def test_sound_request_that_shares_all_else_is_served(self) -> None:
        for _ in range(4):
            self.crash("aa:400,bad:300")
        status, _, _ = await self.send("aa:400,x:1")
        self.assertEqual(200, status)
        status, _, _ = await self.send("aa:400,bad:300,x:1")
        self.assertEqual(503, status)

    async def test_last_part_is_never_the_cause(self) -> None:
        for _ in range(4):
            self.crash("aa:400,bad:300")
        status, _, _ = await self.send("aa:400,bad:300")
        self.assertEqual(200, status)

    async def test_suspect_is_sent_to_one_server_only(self) -> None:
        """Guards against a crash of each server that a route allows."""
        for _ in range(2):
            self.crash("aa:400,bad:300")
        for engine in self.engines:
            engine.faults = ["reset"]
        status, _, _ = await self.send("aa:400,bad:300,x:1")
        self.assertEqual(502, status)
        self.assertEqual(1, len(self.list_runs()))

    async def test_other_servers_are_preferred_to_one_said_to_have_crashed(
        self,
    ) -> None:
        """Guards against first attempts that each host loses by itself."""
        self.host.crashes.record_notice(crash_detection.Crash("i-0", 1))
        for number in range(8):
            await self.send("aa:400,x:1", request_id=f"r-{number}")
        self.assertEqual([0, 8], [len(engine.runs) for engine in self.engines])

    async def test_answer_that_ends_well_clears_its_parts(self) -> None:
        for _ in range(2):
            self.crash("aa:400,good:300")
        await self.send("aa:400,good:300,x:1")
        self.crash("aa:400,good:300")
        status, _, _ = await self.send("aa:400,good:300,y:1", request_id="2")
        self.assertEqual(200, status)

    async def test_answer_that_is_cut_clears_nothing(self) -> None:
        """Guards against a deadly part that is cleared by half an answer."""
        for _ in range(2):
            self.crash("aa:400,bad:300")
        for engine in self.engines:
            engine.faults = ["cut", "cut"]
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.send("aa:400,bad:300,x:1")
        self.crash("aa:400,bad:300")
        status, _, _ = await self.send("aa:400,bad:300,y:1", request_id="2")
        self.assertEqual(503, status)
