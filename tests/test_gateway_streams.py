"""Tests of streams that are interrupted, resumed or lost."""

import asyncio
import time
import unittest.mock

import aiohttp

from sesamefold import completions
from sesamefold import configuration
from sesamefold import defaults
from tests import gateway_fakes


class ResumeTest(gateway_fakes.GatewayTestCase):
    async def start_stream(self, count=2, **body):
        """Return the handle and id of a request after a disconnect.

        The caller disconnects once it has read `count` tokens.
        """
        for engine in self.bench.engines.values():
            engine.token_delay_seconds = 0.01
        async with self.bench.post({"stream": True, **body}) as response:
            handle = response.headers["Sesamefold-Handle"]
            while count:
                line = await response.content.readline()
                count -= line.startswith(b"id: ")
            request_id = response.headers["Sesamefold-Request"]
            response.close()
        return handle, request_id

    async def test_disconnected_caller_cancels_the_run(self):
        """Guards against runs that go on after the caller disconnected."""
        _, request_id = await self.start_stream(max_tokens=1000)
        cancelled = [e.cancelled for e in self.bench.engines.values()]
        await gateway_fakes.wait_until(lambda: [request_id] in cancelled)
        await gateway_fakes.wait_until(lambda: not +self.bench.state.in_flight)

    async def test_resume_needs_a_valid_handle_and_offset(self):
        """Guards against gaps after a resume, and against forged handles."""
        handle, request_id = await self.start_stream()
        for name, headers, code in (
            ("other offset", {"Last-Event-ID": "2"}, None),
            ("past the end", {"Last-Event-ID": "7"}, 1107),
            ("no offset", {}, None),
        ):
            with self.subTest(name):
                async with self.bench.post(
                    {"stream": True},
                    **{"Sesamefold-Resume": handle, **headers},
                ) as response:
                    if code:
                        found, _ = await self.read_error(response)
                        self.assertEqual(code, found)
                        continue
                    text = await response.text()
                    first = int(headers.get("Last-Event-ID", "0")) + 1
                    for index in range(1, 7):
                        self.assertEqual(
                            index >= first, f'"w{index} "' in text
                        )
                    self.assertIn("[DONE]", text)
                    self.assertEqual(
                        request_id, response.headers["Sesamefold-Request"]
                    )
        table = [
            ("other customer", {}, "other", handle, 1108),
            ("forged", {}, "acme", handle[:-2] + "xx", 1108),
            ("not a handle", {}, "acme", "nonsense", 1108),
            ("other body", {"max_tokens": 5}, "acme", handle, 1107),
        ]
        for name, body, customer, text, code in table:
            with self.subTest(name):
                async with self.bench.post(
                    {"stream": True, **body},
                    customer,
                    Sesamefold_Resume=text,
                ) as response:
                    found, _ = await self.read_error(response)
                    self.assertEqual(code, found)

    async def test_resume_follows_a_run_that_still_exists(self):
        """Guards against a second run while the first is not cancelled."""
        handle, request_id = await self.start_stream()
        for engine in self.bench.engines.values():
            await gateway_fakes.wait_until(
                lambda e=engine: not e.requests or e.cancelled
            )
            engine.cancelled.clear()
        async with self.bench.post(
            {"stream": True}, Sesamefold_Resume=handle, Last_Event_ID="2"
        ) as response:
            self.assertIn("w6 ", await response.text())
        self.assertEqual(1, len(self.bench.engine_requests))

    async def test_request_after_a_cancelled_run_gets_its_own_tokens(self):
        """Guards against late events of a cancelled run."""
        await self.start_stream()
        async with self.bench.post({"max_tokens": 3}) as response:
            body = await response.json()
        self.assertEqual("w1 w2 w3 ", body["choices"][0]["text"])

    async def test_request_at_two_crashes_is_refused(self):
        """Guards against a request that crashes one server after another."""
        for engine in self.bench.engines.values():
            engine.faults = [gateway_fakes.Fault("crash", 3)]
        async with self.bench.post({"stream": True}) as response:
            text = await response.text()
        self.assertNotIn("[DONE]", text)
        self.assertIn('"code": 1209', text)
        self.assertIn('"executed": "unknown"', text)
        await gateway_fakes.wait_until(
            lambda: {"a", "b"} == set(self.bench.control.failed_backends)
        )
        async with self.bench.post({"stream": True}) as response:
            self.assertEqual((1209, "no"), await self.read_error(response))
        self.assertEqual(2, len(self.bench.engine_requests))

    async def test_crash_of_the_only_server_ends_the_stream_with_an_error(
        self,
    ):
        """Guards against a lost stream that ends without an error."""
        del self.bench.control.backends["b"]
        self.bench.control.publish()
        await gateway_fakes.wait_until(
            lambda: len(self.bench.state.backends) == 2
        )
        self.bench.engines["a:1"].faults = [gateway_fakes.Fault("crash", 3)]
        async with self.bench.post({"stream": True}) as response:
            text = await response.text()
        self.assertNotIn("[DONE]", text)
        self.assertIn('"code": 1205', text)
        self.assertIn('"executed": "unknown"', text)

    async def test_stream_continues_on_a_recovered_server(self):
        """Guards against the loss of a stream while all servers are down."""
        self.bench.control.backends["b"].state = "down"
        self.bench.control.publish()
        await self.wait_for_backends()
        self.bench.engines["a:1"].faults = [gateway_fakes.Fault("crash", 3)]
        async with self.bench.post({"stream": True}) as response:
            await gateway_fakes.wait_until(
                lambda: self.bench.control.failed_backends
            )
            await asyncio.sleep(0.3)
            self.bench.control.backends["b"].state = "warm"
            self.bench.control.publish()
            text = await response.text()
        self.assertIn('"w6 "', text)
        self.assertIn("[DONE]", text)
        self.assertEqual(2, len(self.bench.engine_requests))

    async def test_stream_without_tokens_continues_on_a_recovered_server(self):
        """Guards against "not executed" for a run that had begun.

        The first server crashes after it has begun the run and before its
        first token, while no other server is usable.
        """
        self.bench.control.backends["b"].state = "down"
        self.bench.control.publish()
        await self.wait_for_backends()
        self.bench.engines["a:1"].faults = [gateway_fakes.Fault("crash", 1)]
        async with self.bench.post({"stream": True}) as response:
            await gateway_fakes.wait_until(
                lambda: self.bench.control.failed_backends
            )
            await asyncio.sleep(0.3)
            self.bench.control.backends["b"].state = "warm"
            self.bench.control.publish()
            text = await response.text()
        self.assertIn("[DONE]", text)
        self.assertEqual(2, len(self.bench.engine_requests))

    async def test_crash_before_the_first_token_is_not_called_unexecuted(self):
        """Guards against "not executed" for a run that had begun.

        No other server becomes usable before the wait for one ends.
        """
        self.bench.control.backends["b"].state = "down"
        self.bench.control.publish()
        await self.wait_for_backends()
        self.bench.engines["a:1"].faults = [gateway_fakes.Fault("crash", 1)]
        with unittest.mock.patch.object(
            completions, "RECOVERY_WAIT_SECONDS", 0.3
        ):
            async with self.bench.post({"stream": True}) as response:
                text = await response.text()
        self.assertIn('"code": 1205', text)
        self.assertIn('"executed": "unknown"', text)

    async def test_deadline_during_a_run_returns_an_error(self):
        """Guards against a response that ends without an error."""
        for stream in (True, False):
            for engine in self.bench.engines.values():
                engine.faults = [gateway_fakes.Fault("hang", 3)]
            async with self.bench.post(
                {"stream": stream, "max_tokens": 7 - stream},
                Sesamefold_Deadline=str(time.time() + 0.3),
            ) as response:
                text = await response.text()
                self.assertIn('"code": 1208', text)
                self.assertIn('"executed": "unknown"', text)
        await gateway_fakes.wait_until(lambda: not +self.bench.state.in_flight)

    async def test_slow_reader_is_disconnected(self):
        """Guards against a caller that occupies a run without reading it."""
        body = {"stream": True, "max_tokens": 1000}
        for engine in self.bench.engines.values():
            engine.padding = "x" * 20_000
        with unittest.mock.patch.object(defaults, "SLOW_READER_SECONDS", 0.3):
            async with self.bench.post(body) as response:
                await gateway_fakes.wait_until(
                    lambda: any(
                        e.cancelled for e in self.bench.engines.values()
                    )
                )
                with self.assertRaises(aiohttp.ClientError):
                    await response.read()

    async def test_run_is_not_continued_by_another_weight_version(self):
        """Guards against a response from two weight versions."""
        for engine in self.bench.engines.values():
            engine.token_delay_seconds = 0.01
            engine.faults = [gateway_fakes.Fault("crash", 4)]
        async with self.bench.post({"stream": True}) as response:
            await response.content.readline()
            await self.publish(model=configuration.Model("model-a", "v2", 4))
            for backend in self.bench.control.backends.values():
                backend.versions[:] = ["model-a@v2"]
            self.bench.control.publish()
            text = await response.text()
        self.assertIn('"code": 1205', text)
        self.assertEqual(1, len(self.bench.engine_requests))
