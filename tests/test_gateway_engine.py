"""Tests of the gateway's completions against two engine stand-ins."""

import asyncio
import unittest

from sesamefold import blocks
from sesamefold import gateway
from sesamefold import limits
from sesamefold import routing
from standins import engine
from tests import gateway_fakes
from tests import test_completions

PROMPT = "one two three four five"


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bench = gateway_fakes.Bench(["a", "b"])
        self.servers = {}
        for name in ("a", "b"):
            server = engine.EngineServer(
                engine.Options(
                    model="model-a", block_tokens=4, token_seconds=0.002
                )
            )
            address = await server.start()
            self.addAsyncCleanup(server.stop)
            self.servers[name] = server
            backend = self.bench.control.backends[name]
            backend.address = address
            backend.epoch = server.epoch
        # Uses the HTTP client in place of the fake engines.
        self.bench.engines = None
        await self.bench.start(make_engine=gateway._connect_engine)
        self.addAsyncCleanup(self.bench.stop)

    def compute_tokens(self, customer="acme"):
        salt = blocks.derive_salt(customer)
        return [
            (n, engine.compute_token(salt, "model-a", "v1", PROMPT, n))
            for n in range(1, 7)
        ]

    async def test_engine_faults_leave_answer_complete(self):
        """Guards against lost, repeated or another request's tokens."""
        stream = {"after": 2, "count": 1}
        table = [
            {"fault": {}},
            *(
                {"fault": {"stream": {"kind": kind, **stream}}}
                for kind in (
                    "break",
                    "other_id",
                    "wrong_version",
                    "repeat",
                    "skip",
                )
            ),
            {"fault": {"refuse": 1}},
            {"fault": {"fail": 1}},
            {"fault": {"crash": True}},
        ]
        for row in table:
            with self.subTest(**row):
                for server in self.servers.values():
                    server._stream_faults.clear()
                    server.refusals = server.failures = 0
                self.bench.state.failures.clear()
                self.bench.state.quarantine._suspicions.remove_all()
                self.bench.state.retries = limits.RetryBudget()
                for name, value in row["fault"].items():
                    for server in self.servers.values():
                        if name != "crash":
                            getattr(server, f"fault_{name}")(value)
                task = asyncio.create_task(self.read_stream())
                if "crash" in row["fault"]:
                    await self.crash_running_engine()
                if "refuse" in row["fault"]:
                    # One server must still accept the request.
                    self.servers["a"].refusals = 0
                if "fail" in row["fault"]:
                    self.servers["b"].failures = 0
                self.assertEqual(self.compute_tokens(), await task)

    async def crash_running_engine(self):
        running = []
        while not running:
            await asyncio.sleep(0.001)
            running = [s for s in self.servers.values() if s._running]
        running[0].crash()

    async def read_stream(self):
        async with self.bench.post({"stream": True}) as response:
            self.assertEqual(200, response.status)
            text = await response.text()
            self.assertIn("[DONE]", text)
            return test_completions.parse_tokens(text)

    async def test_usage_counts_cached_and_recomputed_tokens(self):
        """Guards against wrong counts of cached and recomputed tokens."""
        backends = {}
        self.bench.state.rates["model-a"] = routing.Rates(
            recompute_tokens_per_second=10.0
        )
        for name, expected in ((None, (0, 5)), ("again", (4, 1))):
            async with self.bench.post() as response:
                usage = (await response.json())["usage"]["sesamefold"]
            self.assertEqual(
                expected,
                (usage["cached_tokens"], usage["recomputed_tokens"]),
            )
            self.bench.control.holders = {
                block: [
                    gateway_fakes.control_pb2.Holder(
                        kind="engine", name=usage["backend"]
                    )
                ]
                for block in self.bench.control.lookups[0]
            }
            backends[name] = usage["backend"]
        self.assertEqual(1, len(set(backends.values())))
