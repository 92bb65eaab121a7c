"""Tests of requests that a gateway has not answered when its drain ends."""

import asyncio
import time

from tests import gateway_fakes
from tests import test_calls

DRAIN_DELAY_SECONDS = 0.4
DRAIN_SECONDS = 1.0


class DrainEndTest(gateway_fakes.GatewayTestCase):
    """Requests that last longer than the drain, begun early or late in it."""

    options = {"drain_delay": DRAIN_DELAY_SECONDS, "drain_time": DRAIN_SECONDS}

    async def asyncSetUp(self):
        """Start a gateway with slow engines and a service without answer."""
        self.service = test_calls.FakeService()
        self.service.replies = [None] * 8
        await self.service.start()
        self.addCleanup(self.service.server.close)
        await super().asyncSetUp()
        self.bench.state.backends["ledger-1"].address = self.service.address
        for engine in self.bench.engines.values():
            engine.token_delay_seconds = 1.0

    async def complete(self):
        """Return status and error code of a completion."""
        async with self.bench.post() as response:
            return response.status, (await self.read_error(response))[0]

    async def call(self, method, key):
        """Return status and error code of a call of a plain service."""
        headers = {"Authorization": "Bearer token-acme"}
        if key:
            headers["Idempotency-Key"] = key
        async with self.bench.session.request(
            method, "/v1/services/ledger/pay", headers=headers
        ) as response:
            return response.status, (await self.read_error(response))[0]

    def send_all(self):
        """Send one request of each kind."""
        return [
            asyncio.create_task(self.complete()),
            asyncio.create_task(self.call("GET", "")),
            asyncio.create_task(self.call("POST", test_calls.create_key())),
        ]

    async def check_final_answers(self, tasks):
        """Check that each caller learns that its request may have run."""
        async with asyncio.timeout(DRAIN_DELAY_SECONDS + DRAIN_SECONDS + 2.0):
            answers = await asyncio.gather(*tasks, return_exceptions=True)
            await self.bench.gateway.drain_task
        self.assertEqual([(504, 1208)] * len(tasks), answers)

    async def test_requests_late_in_the_drain_get_a_final_answer(self):
        """Guards against requests taken late and cut without an answer.

        The servers get no deadline after the end of the drain.
        """
        ends_at = time.time() + DRAIN_DELAY_SECONDS + DRAIN_SECONDS
        self.bench.gateway.handle_signal()
        await asyncio.sleep(DRAIN_DELAY_SECONDS / 2)
        await self.check_final_answers(self.send_all())
        for request in self.bench.engine_requests:
            self.assertLess(request.deadline.at, ends_at)

    async def test_requests_before_the_signal_get_a_final_answer(self):
        """Guards against requests that end with their connection."""
        tasks = self.send_all()
        await gateway_fakes.wait_until(
            lambda: len(self.service.received) == 2
            and self.bench.engine_requests
        )
        self.bench.gateway.handle_signal()
        await self.check_final_answers(tasks)
