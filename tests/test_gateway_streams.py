"""Tests of streams that are interrupted, resumed or lost."""

import asyncio
import json
import time
import unittest.mock

import aiohttp

from sesamefold import completions
from sesamefold import configuration
from sesamefold import defaults
from sesamefold import engines
from sesamefold import transport
from standins import scripted_server
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


class CallerBytesTest(unittest.IsolatedAsyncioTestCase):
    """Bytes that callers get whose stream began and broke off."""

    async def read_stream(self, bench, seconds=3.0):
        """Return the head and the body of a stream, as sent."""
        host, port = bench.gateway.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        data = json.dumps(
            {
                "model": "draft",
                "prompt": "a prompt",
                "max_tokens": 6,
                "stream": True,
            }
        )
        writer.write(
            (
                "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                "Authorization: Bearer token-acme\r\nConnection: close\r\n"
                f"Sesamefold-Deadline: {time.time() + seconds}\r\n"
                f"Content-Length: {len(data)}\r\n\r\n{data}"
            ).encode()
        )
        async with asyncio.timeout(seconds + 5.0):
            received = await reader.read()
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b" 200 OK", head)
        self.assertIn(b"w1", body)
        return body

    def assert_error_at_end(self, body, text):
        """Check that a stream ends with an error event and nothing else."""
        self.assertNotIn(b"HTTP/1.1", body)
        self.assertNotIn(b"[DONE]", body)
        self.assertEqual(1, body.count(b'"error"'), body)
        self.assertNotIn(text, body)
        self.assertTrue(body.endswith(b"\n\n\r\n0\r\n\r\n"), body[-200:])

    async def start(self, make_engine=None):
        """Start a gateway and return its bench."""
        bench = gateway_fakes.Bench()
        await bench.start(make_engine)
        self.addAsyncCleanup(bench.stop)
        return bench

    async def test_deadline_within_a_stream_sends_one_error(self):
        """Guards against a second head behind the end of a stream."""
        bench = await self.start()
        for engine in bench.engines.values():
            engine.faults = [gateway_fakes.Fault("hang", 3)]
        body = await self.read_stream(bench, 0.4)
        self.assert_error_at_end(body, b"w3")

    async def test_unexpected_error_within_a_stream_sends_no_head(self):
        """Guards against an error response in the middle of a stream."""
        bench = await self.start()
        for engine in bench.engines.values():
            engine.faults = [gateway_fakes.Fault("odd offset", 3)]
        body = await self.read_stream(bench)
        self.assertNotIn(b"HTTP/1.1", body)
        self.assertNotIn(b"[DONE]", body)
        self.assertFalse(body.endswith(b"0\r\n\r\n"))

    async def test_reply_of_the_next_engine_does_not_enter_a_stream(self):
        """Guards against an error's text or head within a stream.

        An engine begins a stream and closes its connection. All engines then
        give a reply that does not continue it.
        """
        exchange = f"{transport.EXCHANGE_HEADER}: {{id}}\r\n"
        text = 'spoiled: {"error": "spoiled"}\n\ndata: spoiled\n\n'
        for status, headers, reply in (
            ("500 Failed", "", text),
            ("503 Busy", "", text),
            ("503 Busy", "Sesamefold-Executed: no\r\n", text),
            ("421 Not here", "", text),
            ("404 Not Found", "", text),
            ("302 Found", "Location: /other\r\n", text),
            ("204 No Content", "", ""),
            ("200 OK", "", ""),
            ("200 OK", "", text),
            ("200 OK", "Content-Type: application/json\r\n", "{}"),
            ("200 OK", "", "data: 7\n\n"),
            ("200 OK", "", "data: {}\n\n"),
            ("200 OK", "", "data: []\n\n"),
            ("200 OK", "", 'data: {"kind": "token", "offset": "x"}\n\n'),
            ("200 OK", "", "data: " + "[" * 5000 + "\n\n"),
        ):
            with self.subTest(status=status, reply=reply[:20]):
                await self.check_reply(
                    f"HTTP/1.1 {status}\r\n{exchange}{headers}"
                    f"Content-Length: {len(reply)}\r\n\r\n{reply}"
                )

    async def check_reply(self, reply):
        """Check the bytes of a caller for one reply of all later calls."""
        server = await self.enterAsyncContext(
            scripted_server.ScriptedServer(transport.EXCHANGE_HEADER)
        )
        server.scripts = [
            scripted_server.Script((scripted_server.Step(reply),), closes=True)
        ] * 50
        first = gateway_fakes.FakeEngine("a:1")
        first.faults = [gateway_fakes.Fault("disconnect", 3)]
        bench = await self.start(
            lambda session, address: InterruptedEngine(
                session, server.address, first
            )
        )
        body = await self.read_stream(bench)
        self.assert_error_at_end(body, b"spoiled")


class InterruptedEngine(engines.HttpEngine):
    """An engine whose first run of a prompt is that of a fake engine."""

    def __init__(self, session, address, first):
        super().__init__(session, address, 1.0)
        self.first = first

    def complete(self, request):
        """Run a prompt and return its events."""
        if self.first.requests:
            return super().complete(request)
        return self.first.complete(request)
