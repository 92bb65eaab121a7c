"""Tests of stand-ins without an adapter, and of their command line."""

import asyncio
import json
import signal
import sys
import time
import unittest

import aiohttp

from standins import __main__ as command
from standins import server
from standins import service
from standins import weights
from tests import test_engines


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = service.ServiceServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def call(self, method="POST", path="/do/it"):
        try:
            async with self.session.request(
                method,
                self.server.url + path,
                data=b"body",
                timeout=aiohttp.ClientTimeout(total=0.3),
            ) as response:
                return response.status
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return None

    async def test_executions_are_counted(self):
        """Guards against a fault that runs a call when it must not."""
        cases = (
            ({}, 200, 1),
            ({"drop_before": 1}, None, 0),
            ({"drop_after": 1}, None, 1),
            ({"lose_answers": 1}, None, 1),
            ({"refuse": 1}, 503, 0),
            ({"fail": 1}, 500, 1),
            ({"outage": "503"}, 503, 0),
            ({"outage": "", "late": 1.0}, None, 1),
        )
        for faults, status, executions in cases:
            with self.subTest(faults=faults):
                before = self.server.counters["executions"]
                self.server.inject(**faults)
                self.assertEqual(status, await self.call())
                self.assertEqual(
                    executions, self.server.counters["executions"] - before
                )
        async with self.session.get(
            f"{self.server.url}/executions"
        ) as response:
            listed = await response.json()
        self.assertEqual(
            [("/do/it", 5)], [(e["path"], e["count"]) for e in listed]
        )


class SilenceTest(test_engines.EngineCase):
    async def test_silent_engine_goes_on(self):
        """Guards against a silence that stops runs or lets bytes leave."""
        engine, client = await self.start_engine(token_seconds=0.02)
        request = test_engines.make_request(max_tokens=20)
        times = []
        began_at = time.monotonic()
        async for event in client.complete(request):
            if event.kind == "started":
                engine.inject(silence=0.6)
                continue
            times.append(time.monotonic() - began_at)
            # All tokens were generated during the silence.
            self.assertTrue(engine.runs[request.request_id].ended)
        self.assertEqual(21, len(times))
        self.assertGreater(times[0], 0.55)
        self.assertLess(times[-1], 0.9)


class RateLimitTest(unittest.TestCase):
    def test_units_share_a_rate(self):
        """Guards against concurrent transfers that exceed the rate."""
        limit = server.RateLimit(10.0)
        first, second = limit.reserve(20), limit.reserve(30)
        self.assertAlmostEqual(2.0, first, places=3)
        self.assertGreater(second, 4.0)
        self.assertEqual(0.0, server.RateLimit(0.0).reserve(10**9))


class WeightsTest(test_engines.EngineCase):
    async def test_broken_transfer_is_repeated(self):
        """Guards against a version that is served with half its weights."""
        store = weights.WeightServer(
            weights.Options(size=300_000, rate=0.0, connection_rate=0.0)
        )
        await store.start()
        self.addAsyncCleanup(store.stop)
        store.inject(break_transfers=1)
        loader, engine = await self.start_engine(weights=store.url)
        order = test_engines.engines.Order(1, 1, ("drafting-7b@v2",))
        await engine.send_order(order, test_engines.soon())
        await self.wait_until(lambda: loader.versions == {"drafting-7b@v2"})
        self.assertEqual(2, store.counters["fetch"])
        self.assertEqual(1, loader.counters["weights_failed"])


class CommandTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_standin_starts_and_ends(self):
        """Guards against stand-ins that outlive the test that starts them."""

        async def check(session, name):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "standins", name, "--port", "0"),
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                line = json.loads(await process.stdout.readline())
                url = f"http://{line['address']}"
                async with session.get(f"{url}/counters") as response:
                    self.assertEqual({}, await response.json())
                for faults, status in (({"delay": 0}, 200), ({"x": 1}, 400)):
                    async with session.post(
                        f"{url}/faults", json=faults
                    ) as response:
                        self.assertEqual(status, response.status)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(0, await process.wait())
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

        async with aiohttp.ClientSession() as session, asyncio.timeout(60):
            for name in command.CLASSES:
                with self.subTest(name=name):
                    await check(session, name)
