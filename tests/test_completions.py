"""Tests of the lifecycle of a completion."""

import json
import unittest

from tests import gateway_fakes

EXPECTED_TEXT = "".join(
    gateway_fakes.build_token_text(index) for index in range(1, 7)
)


def parse_tokens(stream: str):
    """Return the id and text of each token event of an SSE stream."""
    events = [
        dict(line.split(": ", 1) for line in block.splitlines())
        for block in stream.split("\n\n")
        if block and not block.startswith(":")
    ]
    chunks = [
        (int(event["id"]), json.loads(event["data"])["choices"][0]["text"])
        for event in events
        if "id" in event
    ]
    return [chunk for chunk in chunks if chunk[1]]


class CompletionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bench = gateway_fakes.Bench()
        await self.bench.start()
        self.addAsyncCleanup(self.bench.stop)

    async def test_failed_run_yields_each_token_once(self):
        """Guards against lost or repeated tokens after each kind of failure.

        Tokens of another request or weight version must not appear either.
        """
        fault = gateway_fakes.Fault
        table = [
            ("none", []),
            ("refused", [fault("refuse")]),
            ("unreachable", [fault("unreachable")]),
            *((f"crashes at {n}", [fault("crash", n)]) for n in range(1, 7)),
            (
                "connection breaks twice",
                [fault("disconnect", 2), fault("disconnect", 4)],
            ),
            ("wrong request", [fault("wrong request", 3)]),
            ("wrong version", [fault("wrong version", 3)]),
            ("duplicate", [fault("duplicate", 3)]),
            ("missing event", [fault("skip", 3)]),
            ("missing last event", [fault("skip", 6)]),
        ]
        for name, faults in table:
            with self.subTest(name):
                for engine in self.bench.engines.values():
                    engine.crashed = False
                    engine.faults = []
                self.bench.state.failures.clear()
                self.bench.engines["a:1"].faults = list(faults)
                self.bench.control.backends["b"].queued = 100
                self.bench.control.publish()
                await gateway_fakes.wait_until(
                    lambda: self.bench.state.backends["b"].queued == 100
                )
                async with self.bench.post({"stream": True}) as response:
                    self.assertEqual(200, response.status)
                    tokens = parse_tokens(await response.text())
                self.assertEqual(
                    [
                        (n, gateway_fakes.build_token_text(n))
                        for n in range(1, 7)
                    ],
                    tokens,
                )
                self.assertEqual([], self.bench.engines["a:1"].faults)

    async def test_whole_response_reports_its_origin(self):
        """Guards against a response without the sources of its context."""
        async with self.bench.post() as response:
            body = await response.json()
        self.assertEqual(EXPECTED_TEXT, body["choices"][0]["text"])
        self.assertEqual(5, body["usage"]["prompt_tokens"])
        origin = body["usage"]["sesamefold"]
        self.assertEqual("dc-1", origin["data_centre"])
        self.assertEqual(5, origin["recomputed_tokens"])
        self.assertIn(origin["backend"], ("a", "b"))
