"""The entry host as a whole, before stand-ins of the platform."""

import asyncio
import json
import unittest
import unittest.mock

import aiohttp

from sesamefold.entry import topology
from sesamefold import exceptions
from standins import platform_site
from tests import entry_fakes

PROMPT = {
    "Sesamefold-Model": platform_site.MODEL,
    "Sesamefold-Token-Usage": "900,80",
    "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
}
EXPECTED_VERSION = "Sesamefold-Expect-Version"


class AnswerTest(entry_fakes.EntryHostCase):
    """Answers, refusals and what they promise."""

    async def test_headers_of_the_host_are_its_own(self) -> None:
        status, headers, body = await self.call(
            "/safe/a%2Fb?x=1",
            headers={
                "sesamefold-tenant-name": "forged",
                "Sesamefold_Tenant_Name": "forged",
                "Sesamefold-Kv-Fetch": "forged",
                "Sesamefold-Hold": "forged",
                "Kv-From": "forged",
                "X-Own": "kept",
                "X-Dropped": "1",
                "Connection": "keep-alive, X-Dropped",
            },
        )
        self.assertEqual((200, b"answer"), (status, body))
        self.assertIn("Sesamefold-Response-Seal", headers)
        (run,) = self.list_runs()
        self.assertEqual("/safe/a%2Fb?x=1", run.target)
        self.assertEqual(b"body", run.body)
        names = {name.lower() for name in run.headers}
        self.assertEqual("customer-1", run.headers["Sesamefold-Tenant-Name"])
        self.assertNotIn("forged", run.headers.values())
        self.assertIn("x-own", names)
        self.assertNotIn("x-dropped", names)
        self.assertNotIn("api-key", names)
        self.assertLessEqual(int(run.headers["Sesamefold-Deadline-Ms"]), 2000)

    async def test_each_cut_point(self) -> None:
        """(path, faults, status, runs): what a caller is told is true."""
        cases = (
            ("/unsafe/", ["refuse"], 200, 1),
            ("/unsafe/", ["refuse", "refuse"], 503, 0),
            ("/unsafe/", ["misdirect"], 200, 1),
            ("/unsafe/", ["reset"], 502, 1),
            ("/unsafe/", ["foreign"], 502, 1),
            ("/unsafe/", ["unsealed"], 502, 1),
            ("/unsafe/", ["fail"], 500, 1),
            ("/unsafe/", ["cut-unframed"], 502, 1),
            ("/safe/", ["reset"], 200, 2),
            ("/safe/", ["foreign"], 200, 2),
            ("/safe/", ["fail"], 200, 2),
            ("/safe/", ["cut-unframed"], 200, 2),
            ("/safe/", ["reset", "reset"], 502, 2),
            ("/safe/", ["reset", "refuse"], 502, 1),
        )
        for number, (path, faults, status, runs) in enumerate(cases):
            with self.subTest(path=path, faults=faults):
                shared = list(faults)
                for engine in self.engines:
                    engine.faults = shared
                    engine.runs.clear()
                self.host.placement.states.clear()
                answer = await self.call(path, f"r-{number}")
                self.assertEqual(status, answer[0])
                self.assertEqual(runs, len(self.list_runs()))
                sealed = "Sesamefold-Response-Seal" in answer[1]
                self.assertEqual(status in (200, 500), sealed)
                if status == 503:
                    self.assertGreater(float(answer[1]["Retry-After"]), 0)

    async def test_requests_that_no_configuration_allows(self) -> None:
        cases = (
            ("/none/", {}, 404),
            ("/safe/", {"Host": "other.example"}, 404),
            ("/safe/", {"Api-Key": "wrong"}, 401),
            ("/safe/", {"Api-Key": None}, 401),
            ("/safe/", {"Sesamefold-Request-Id": None}, 400),
        )
        for path, headers, status in cases:
            with self.subTest(path=path, headers=headers):
                answer = await self.call(path, headers=headers)
                self.assertEqual(status, answer[0])
        self.assertEqual([], self.list_runs())

    async def test_a_body_over_the_limit_is_refused(self) -> None:
        status, _, _ = await self.call("/safe/", data=b"x" * 100_001)
        self.assertEqual(413, status)

    async def test_the_end_of_the_route_s_time(self) -> None:
        for engine in self.engines:
            engine.faults = ["late"]
        status, _, _ = await self.call("/short/")
        self.assertEqual(504, status)
        await self.wait_until(
            lambda: sum(engine.closed_early for engine in self.engines)
        )

    async def test_a_caller_that_leaves_ends_its_run(self) -> None:
        for engine in self.engines:
            engine.faults = ["late"]
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.call("/safe/")
        await self.wait_until(
            lambda: sum(engine.closed_early for engine in self.engines), 0.5
        )

    async def test_a_server_that_takes_no_connection(self) -> None:
        self.put_server_entry("i-1", "127.0.0.1:1", seq=2)
        self.put_server_entry("i-0", "127.0.0.1:1", seq=2)
        await self.wait_until(
            lambda: all(
                server.address == "127.0.0.1:1"
                for server in self.host.catalog.servers.values()
            )
        )
        status, _, _ = await self.call("/unsafe/")
        self.assertEqual(503, status)


class StreamTest(entry_fakes.EntryHostCase):
    """Streams, whole or broken."""

    async def test_a_resumable_stream_goes_on_elsewhere(self) -> None:
        shared = ["cut"]
        for engine in self.engines:
            engine.faults = shared
        status, _, body = await self.call("/resumable/", headers=PROMPT)
        self.assertEqual(200, status)
        self.assertEqual(
            "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3)), body.decode()
        )
        first, second = self.list_runs()
        last = {run.headers.get("Last-Event-Id") for run in (first, second)}
        self.assertEqual({None, "1"}, last)

    async def test_a_broken_stream_does_not_look_complete(self) -> None:
        shared = ["cut"]
        for engine in self.engines:
            engine.faults = shared
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.call("/stream/", headers=PROMPT)
        self.assertEqual(1, len(self.list_runs()))

    async def test_context_has_a_salt_of_its_version(self) -> None:
        for engine in self.engines:
            engine.weights = {platform_site.MODEL: 4}
        for server in list(self.host.catalog.servers.values()):
            self.host.catalog.update_weights(
                server.id, {platform_site.MODEL: 4}
            )
        await self.call("/stream/", headers=PROMPT)
        (run,) = self.list_runs()
        self.assertEqual("4", run.headers["Sesamefold-Expect-Version"])
        self.assertEqual("4/", run.headers["Sesamefold-Cache-Salt"])

    async def test_new_weights_are_learned_from_a_refusal(self) -> None:
        for engine in self.engines:
            engine.weights = {platform_site.MODEL: 5}
            self.host.catalog.update_weights(
                engine.id, {platform_site.MODEL: 4}
            )
        self.host.catalog.target_weights[platform_site.MODEL] = 5
        self.host.election.handover_pause_seconds = 60.0
        for number in range(4):
            await self.call("/resumable/", f"r-{number}", headers=PROMPT)
        status, _, _ = await self.call("/resumable/", "r-9", headers=PROMPT)
        self.assertEqual(200, status)
        self.assertEqual("5", self.list_runs()[-1].headers[EXPECTED_VERSION])


class KeyTest(entry_fakes.EntryHostCase):
    """Withdrawn keys and hosts without the store."""

    settings_fields = {"key_withdrawal_seconds": 1.0, "leaving_seconds": 0.5}

    async def asyncSetUp(self) -> None:
        """Let the settings' short bound be met by short watches."""
        patched = unittest.mock.patch(
            "sesamefold.entry.follower.WATCH_TIMEOUT_SECONDS", 0.2
        )
        patched.start()
        self.addCleanup(patched.stop)
        await super().asyncSetUp()

    async def test_a_host_without_the_store_refuses_keys(self) -> None:
        self.assertEqual(200, (await self.call("/safe/"))[0])
        self.store.refusal = 503
        await asyncio.sleep(1.0)
        self.assertEqual(503, (await self.call("/safe/"))[0])
        self.assertFalse(self.host.is_ready())
        self.store.refusal = 0
        await self.wait_until(self.host.is_ready)
        self.assertEqual(200, (await self.call("/safe/"))[0])

    async def test_a_withdrawn_key_is_refused(self) -> None:
        configuration = platform_site.make_configuration(2)
        configuration["tenants"][0]["api_keys"] = []
        self.store.put("op/config", configuration)
        await asyncio.sleep(0.5)
        self.assertEqual(401, (await self.call("/safe/"))[0])


class UnexpectedErrorTest(entry_fakes.EntryHostCase):
    """Errors that no part of the host expects."""

    async def test_an_unexpected_error_is_answered_and_logged(self) -> None:
        """Guards against a failure that the log calls an answer."""
        log = entry_fakes.RecordingLog()
        self.host.frontend.log = log
        with unittest.mock.patch.object(
            topology.Configuration,
            "find_route",
            side_effect=RuntimeError("unexpected"),
        ):
            status, _, body = await self.call("/safe/")
        self.assertEqual(500, status)
        self.assertEqual(
            {"code": exceptions.InternalError.code}, json.loads(body)
        )
        self.assertEqual(["error", "failed"], log.events)


class ReadinessTest(entry_fakes.EntryHostCase):
    """Readiness, shutdown and metrics."""

    async def get(
        self, address: tuple[str, int], path: str
    ) -> tuple[int, str]:
        """Return status and text of a page of the host."""
        url = f"http://{address[0]}:{address[1]}{path}"
        async with self.caller.get(url) as response:
            return response.status, await response.text()

    async def test_a_stopping_host_serves_what_still_arrives(self) -> None:
        ready = self.settings.ready_address
        self.assertEqual(200, (await self.get(ready, "/ready"))[0])
        draining = asyncio.create_task(self.host.drain())
        await asyncio.sleep(0.1)
        self.assertEqual(503, (await self.get(ready, "/ready"))[0])
        status, headers, _ = await self.call("/unsafe/")
        self.assertEqual(200, status)
        self.assertEqual("close", headers["Connection"].lower())
        await draining

    async def test_metrics(self) -> None:
        await self.call("/safe/")
        _, text = await self.get(self.settings.metrics_address, "/metrics")
        self.assertIn('sesamefold_requests_total{code="0"} 1.0', text)


class WeightsTest(entry_fakes.EntryHostCase):
    """Orders for new weights."""

    async def test_engines_get_the_named_weights(self) -> None:
        for engine in self.engines:
            engine.weights = {platform_site.MODEL: 1}
            self.host.catalog.update_weights(
                engine.id, {platform_site.MODEL: 1}
            )
        self.engines[0].lose_orders = True
        self.store.put(
            "op/version/model-1", {"model": platform_site.MODEL, "version": 2}
        )
        await self.wait_until(
            lambda: all(
                server.weights == {platform_site.MODEL: 2}
                for server in self.host.catalog.servers.values()
            ),
            8.0,
        )
        orders = [order for e in self.engines for order in e.orders]
        self.assertEqual(2, len(orders))
        self.assertEqual({"entry-1"}, {order["holder"] for order in orders})
        self.assertEqual(1, len({order["fence_token"] for order in orders}))
        holder = self.store.get("sesamefold/orders/holder")
        self.assertEqual(b"entry-1", holder)

    async def test_orders_that_are_lost_are_sent_again_soon(self) -> None:
        """Guards against a rollout that waits for orders without effect."""
        for engine in self.engines:
            engine.weights = {platform_site.MODEL: 1}
            engine.ignore_orders = 2
            self.host.catalog.update_weights(engine.id, engine.weights)
        self.store.put(
            "op/version/model-1", {"model": platform_site.MODEL, "version": 2}
        )
        await self.wait_until(
            lambda: all(
                engine.weights == {platform_site.MODEL: 2}
                for engine in self.engines
            ),
            6.0,
        )

    async def test_there_is_a_holder_before_weights_are_named(self) -> None:
        """Guards against a pause that begins when weights are named."""
        await self.wait_until(self.host.election.holds_lease)
        await self.host.election.stop()
        await self.wait_until(lambda: self.host.election.vacant)

    async def test_a_stopping_host_gives_the_orders_back(self) -> None:
        await self.host.election.campaign()
        self.assertTrue(self.host.election.holds_lease())
        await self.host.election.stop()
        self.assertIsNone(self.store.get("sesamefold/orders/holder"))
        await self.host.election.campaign()
        self.assertFalse(self.host.election.holds_lease())

    async def test_records_of_other_forms_are_ignored(self) -> None:
        self.store.put("servers/i-7", b"\xff no JSON")
        self.store.put("servers/i-8", {"service": 5})
        self.store.put("op/other", {})
        self.store.put("op/config", {"version": "x"})
        await asyncio.sleep(1.5)
        self.assertEqual(200, (await self.call("/safe/"))[0])
        self.assertEqual({"i-0", "i-1"}, set(self.host.catalog.servers))
