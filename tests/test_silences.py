"""Tests of servers of the own interface that fall silent and go on."""

import asyncio
import typing as t
import unittest

from sesamefold import engines
from sesamefold import gateway
from standins import engine as engine_standin
from standins import service as service_standin
from tests import gateway_fakes
from tests import test_calls

# Lengths of silences.
SILENCE_SECONDS = (1.2, 2.2)
TOKENS = 20
TOKEN_SECONDS = 0.03


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """A gateway with the stand-ins of one engine and of one service.

    No other server could give the answer.
    """

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and the gateway."""
        self.engine = await self.enterAsyncContext(
            engine_standin.EngineServer(
                engine_standin.Options(
                    model="model-a", token_seconds=TOKEN_SECONDS
                )
            )
        )
        self.service = await self.enterAsyncContext(
            service_standin.ServiceServer(service_standin.Options(seconds=0.1))
        )
        self.bench = gateway_fakes.Bench(["a"])
        backends = self.bench.control.backends
        backends["a"].address = self.engine.address
        backends["a"].epoch = self.engine.epoch
        backends["ledger-1"].address = self.service.address

    async def start_gateway(self, idle_seconds: float) -> None:
        """Start the gateway with an idle timeout of streams."""
        await self.bench.start(
            lambda session, address: engines.HttpEngine(
                session, address, idle_seconds
            )
        )
        self.addAsyncCleanup(self.bench.stop)

    async def complete(self, stream: bool) -> t.Tuple[int, str]:
        """Return status and body of the response to a completion."""
        async with self.bench.post(
            {"stream": stream, "max_tokens": TOKENS}
        ) as response:
            return response.status, await response.text()

    async def check_silence(self, seconds: float, begins_after: float) -> None:
        """Check a streamed and a whole answer during a silence."""
        tasks = [
            asyncio.create_task(self.complete(stream))
            for stream in (True, False)
        ]
        await asyncio.sleep(begins_after)
        self.engine.inject(silence=seconds)
        (status, stream), (whole_status, whole) = await asyncio.gather(*tasks)
        self.assertEqual((200, 200), (status, whole_status), stream + whole)
        self.assertTrue(stream.endswith("data: [DONE]\n\n"), stream[-200:])
        self.assertIn(f'"completion_tokens":{TOKENS}', stream.replace(" ", ""))
        self.assertIn(f'"completion_tokens":{TOKENS}', whole.replace(" ", ""))
        self.assertEqual(2, self.engine.counters["complete"])
        self.assertEqual(0, self.engine.counters["cancel"])
        self.assertEqual([], self.bench.control.failed_backends)

    async def test_silence_ends_no_completion(self) -> None:
        """Guards against answers that end before their deadline."""
        await self.start_gateway(gateway._ENGINE_IDLE_TIMEOUT_SECONDS)
        for seconds in SILENCE_SECONDS:
            for begins_after in (0.0, 0.2):
                with self.subTest(seconds=seconds, begins_after=begins_after):
                    self.engine.counters.clear()
                    await self.check_silence(seconds, begins_after)

    async def test_silence_beyond_all_resumes_ends_no_completion(self) -> None:
        """Guards against answers given up after a number of resumes."""
        await self.start_gateway(idle_seconds=0.2)
        for begins_after in (0.0, 0.2):
            with self.subTest(begins_after=begins_after):
                self.engine.counters.clear()
                await self.check_silence(2.2, begins_after)

    async def test_silent_run_moves_to_another_engine(self) -> None:
        """Guards against answers that wait although another engine is free."""
        other = await self.enterAsyncContext(
            engine_standin.EngineServer(self.engine.options)
        )
        self.bench.control.backends["b"] = gateway_fakes.build_backend(
            "b", address=other.address, epoch=other.epoch, queued=100
        )
        await self.start_gateway(idle_seconds=0.2)
        self.engine.inject(silence=30.0)
        async with asyncio.timeout(10.0):
            status, body = await self.complete(True)
        self.assertEqual(200, status, body)
        self.assertTrue(body.endswith("data: [DONE]\n\n"))
        self.assertEqual(1, self.engine.counters["complete"])
        self.assertEqual(1, other.counters["complete"])

    async def test_silence_ends_no_call(self) -> None:
        """Guards against calls that end before their deadline."""
        await self.start_gateway(gateway._ENGINE_IDLE_TIMEOUT_SECONDS)
        for seconds in SILENCE_SECONDS:
            for method in ("GET", "POST"):
                with self.subTest(seconds=seconds, method=method):
                    self.service.inject(silence=seconds)
                    self.service.counters.clear()
                    async with self.bench.session.request(
                        method,
                        "/v1/services/ledger/x",
                        headers={
                            "Authorization": "Bearer token-acme",
                            "Idempotency-Key": test_calls.create_key(),
                        },
                    ) as response:
                        self.assertEqual(200, response.status)
                        self.assertIn("execution", await response.json())
                    self.assertEqual(1, self.service.counters["executions"])
