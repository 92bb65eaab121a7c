"""Tests of the gateway daemon and its HTTP handlers."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import unittest
import unittest.mock

import aiohttp

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import lookups
from tests import gateway_fakes


class RequestTest(gateway_fakes.GatewayTestCase):
    async def test_malformed_request_gets_error_with_code(self):
        """Guards against tracebacks and errors without a code."""
        long_prompt = "w " * (defaults.MAX_PROMPT_TOKENS + 1)
        deep_nesting = b"[" * 100_000
        base = {"model": "draft", "prompt": "a"}
        table = [
            (b"", 400, 1101),
            (b"\xff\xfe", 400, 1101),
            (deep_nesting, 400, 1101),
            (b"[]", 400, 1101),
            (b'{"model": "draft", "prompt": "\\ud800"}', 400, 1101),
            ({**base, "model": 1}, 400, 1101),
            ({**base, "prompt": ["a", "b"]}, 400, 1101),
            ({**base, "prompt": ""}, 400, 1101),
            ({**base, "max_tokens": 0}, 400, 1101),
            ({**base, "max_tokens": True}, 400, 1101),
            ({**base, "stream": "yes"}, 400, 1101),
            ({**base, "seed": 2**70}, 400, 1101),
            ({**base, "n": 2}, 400, 1101),
            ({**base, "stop": ["x"]}, 400, 1101),
            ({**base, "prompt": long_prompt}, 413, 1102),
            (b" " * (defaults.MAX_BODY_BYTES + 1), 413, 1102),
            ({**base, "model": "none"}, 404, 1104),
            ({**base, "model": "ledger"}, 404, 1104),
        ]
        for body, status, code in table:
            data = body if isinstance(body, bytes) else json.dumps(body)
            with self.subTest(data[:60]):
                async with self.bench.session.post(
                    "/v1/completions",
                    data=data,
                    headers={"Authorization": "Bearer token-acme"},
                ) as response:
                    self.assertEqual(status, response.status)
                    self.assertEqual(
                        (code, "no"), await self.read_error(response)
                    )

    async def test_malformed_chat_messages_get_status_400(self):
        """Guards against tracebacks on messages of an unexpected shape."""
        text = {"role": "user", "content": "hello"}
        text_parts = {
            "role": "user",
            "content": [{"type": "text", "text": "a"}],
        }
        image = {"role": "user", "content": [{"type": "image_url"}]}
        table = [
            ([text], 200),
            ([text_parts, text], 200),
            ([], 400),
            (None, 400),
            (["hello"], 400),
            ([{"role": "user"}], 400),
            ([image], 400),
        ]
        for messages, status in table:
            with self.subTest(messages=messages):
                async with self.bench.session.post(
                    "/v1/chat/completions",
                    json={
                        "model": "model-a",
                        "messages": messages,
                        "max_completion_tokens": 2,
                    },
                    headers={"Authorization": "Bearer token-acme"},
                ) as response:
                    self.assertEqual(status, response.status)
                    body = await response.json()
                    if status == 200:
                        message = body["choices"][0]["message"]
                        self.assertEqual("w1 w2 ", message["content"])

    async def test_invalid_header_gets_error_with_code(self):
        """Guards against requests accepted despite invalid headers."""
        token = "Bearer token-acme"
        table = [
            ({}, 1103),
            ({"Authorization": "token-acme"}, 1103),
            ({"Authorization": "Bearer "}, 1103),
            ({"Authorization": "Bearer token-acme2"}, 1103),
            ({"Authorization": "Basic token-acme"}, 1103),
            ({"Sesamefold-Deadline": "soon"}, 1101),
            ({"Sesamefold-Deadline": "nan"}, 1101),
            ({"Sesamefold-Deadline": "1"}, 1106),
            ({"Sesamefold-Resume": "x", "Last-Event-ID": "-1"}, 1101),
            ({"X-Large": "x" * 9000, "X-More": "x" * 9000}, 1102),
        ]
        for headers, code in table:
            if code != 1103:
                headers = {"Authorization": token, **headers}
            with self.subTest(code=code, headers=list(headers)):
                async with self.bench.session.post(
                    "/v1/completions",
                    json={"model": "draft", "prompt": "a"},
                    headers=headers,
                ) as response:
                    self.assertEqual(
                        (code, "no"), await self.read_error(response)
                    )

    async def test_unknown_path_gets_error_with_code(self):
        """Guards against error responses without a code."""
        for method, path in (
            ("GET", "/nothing"),
            ("GET", "/v1/completions"),
            ("PATCH", "/healthz"),
        ):
            async with self.bench.session.request(method, path) as response:
                self.assertEqual((1105, "no"), await self.read_error(response))

    async def test_malformed_http_gets_status_400_without_error_log(self):
        """Guards against tracebacks in the log for malformed HTTP."""
        host, port = self.bench.gateway.address.split(":")
        with self.assertNoLogs(level="ERROR"):
            for data in (b"\x00\x01\r\n\r\n", b"GET / HTTP/9\r\n\r\n"):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(data)
                self.assertIn(b"400", await reader.readline())
                writer.close()

    async def test_metrics_contain_no_customer_request_or_prompt(self):
        """Guards against customers, request ids and prompts as labels."""
        async with self.bench.post() as response:
            request = response.headers["Sesamefold-Request"]
        async with self.bench.session.get("/metrics") as response:
            text = await response.text()
        for secret in ("acme", request, "three four"):
            self.assertNotIn(secret, text)
        self.assertIn('code="0",kind="completion"', text)

    async def test_equal_prompts_of_two_customers_share_no_context(self):
        """Guards against cached context that is shared between customers."""
        for customer in gateway_fakes.TOKENS:
            async with self.bench.post(customer=customer) as response:
                self.assertEqual(200, response.status)
        salts = {request.cache_salt for request in self.bench.engine_requests}
        self.assertEqual(2, len(salts))
        first, second = self.bench.control.lookups
        self.assertFalse(set(first) & set(second))

    async def test_new_blocks_are_exported(self):
        """Guards against blocks that are never exported to a store."""
        async with self.bench.post() as response:
            self.assertEqual(200, response.status)
        await gateway_fakes.wait_until(
            lambda: self.bench.control.stored_blocks
        )
        names = self.bench.control.lookups[0]
        self.assertEqual(list(names), self.bench.control.stored_blocks)

    async def test_blocks_are_exported_during_the_response(self):
        """Guards against blocks that are evicted before their export.

        The engine hangs after the second token, so the response does not end.
        """
        for engine in self.bench.engines.values():
            engine.faults.append(gateway_fakes.Fault("hang", at=3))
        async with self.bench.post({"stream": True}) as response:
            self.assertEqual(200, response.status)
            await gateway_fakes.wait_until(
                lambda: self.bench.control.stored_blocks
            )
            self.assertFalse(response.content.at_eof())
        names = self.bench.control.lookups[0]
        self.assertEqual(list(names), self.bench.control.stored_blocks)


class RefusalTest(gateway_fakes.GatewayTestCase):
    async def test_request_is_rejected_while_dependency_is_down(self):
        """Guards against requests that run while a dependency is down."""
        self.bench.control.backends["ledger-1"].state = "down"
        self.bench.control.publish()
        await gateway_fakes.wait_until(
            lambda: self.bench.state.backends["ledger-1"].state == "down"
        )
        for model in ("draft", "model-a"):
            async with self.bench.post({"model": model}) as response:
                body = await response.json()
                self.assertEqual(1207, body["error"]["code"])
                self.assertIn("'ledger'", body["error"]["message"])
                self.assertEqual("no", body["error"]["executed"])
        self.bench.control.backends["ledger-1"].state = "warm"
        self.bench.control.publish()
        await gateway_fakes.wait_until(
            lambda: self.bench.state.backends["ledger-1"].state == "warm"
        )
        async with self.bench.post() as response:
            self.assertEqual(200, response.status)

    async def test_requests_are_forwarded_while_data_centre_is_out(self):
        """Guards against new requests in a data centre out of service."""
        other = gateway_fakes.Bench(["a"])
        await other.start(data_centre="dc-1", host="h2")
        self.addAsyncCleanup(other.stop)
        await self.publish(in_service=False)
        async with self.bench.session.get("/readyz") as response:
            self.assertEqual(503, response.status)
        async with self.bench.post() as response:
            self.assertEqual((1203, "no"), await self.read_error(response))
        gateways = ("127.0.0.1:1", other.gateway.address)
        self.bench.control.status = gateway_fakes.build_status(
            ("dc-2", address, True, False) for address in gateways
        )
        await gateway_fakes.wait_until(
            lambda: self.bench.state.remote_gateways
            == tuple(("dc-2", address) for address in gateways)
        )
        for stream in (False, True):
            async with self.bench.post({"stream": stream}) as response:
                self.assertEqual(200, response.status)
                self.assertIn("w6 ", await response.text())
        self.assertEqual([], self.bench.engine_requests)
        async with self.bench.post(Sesamefold_Forwarded="1") as response:
            self.assertEqual((1203, "no"), await self.read_error(response))
        await self.publish(in_service=True)
        async with self.bench.post() as response:
            self.assertEqual(200, response.status)
        self.assertEqual(1, len(self.bench.engine_requests))

    async def test_requests_are_forwarded_only_to_usable_gateways(self):
        """Guards against forwarding to gateways out of service or leaving."""
        gateways = [
            ("dc-1", "own", True, False),
            ("dc-2", "usable", True, False),
            ("dc-2", "leaving", True, True),
            ("dc-2", "unreachable", False, False),
            ("dc-3", "out", True, False),
        ]
        self.bench.gateway._apply_status(gateway_fakes.build_status(gateways))
        self.assertEqual(["usable"], self.bench.state.list_remote_gateways())

    async def test_unusable_servers_get_no_requests(self):
        """Guards against requests to servers that cannot run them.

        The servers are leaving, down, cold or have another weight version.
        """
        table = [
            ({"state": "leaving"}, 1201),
            ({"state": "down"}, 1201),
            ({"versions": ["model-a@v2"]}, 1201),
            ({"state": "cold"}, 1204),
            ({"state": "unknown"}, 1204),
        ]
        for fields, code in table:
            with self.subTest(fields=fields):
                for name in ("a", "b"):
                    self.bench.control.backends[name] = (
                        gateway_fakes.build_backend(name, **fields)
                    )
                self.bench.control.publish()
                await self.wait_for_backends()
                deadline = str(time.time() + 0.3)
                async with self.bench.post(
                    Sesamefold_Deadline=deadline
                ) as response:
                    self.assertEqual(
                        (code, "no"), await self.read_error(response)
                    )
        self.assertEqual([], self.bench.engine_requests)

    async def test_no_usable_server_is_reported_after_the_deadline(self):
        """Guards against "no free slot" reported when no server is usable.

        The deadline passes while the gateway waits before it tries again.
        """
        for name in ("a", "b"):
            self.bench.control.backends[name].versions[:] = ["model-a@v2"]
        self.bench.control.publish()
        await self.wait_for_backends()
        sleep = asyncio.sleep

        async def oversleep(seconds):
            await sleep(seconds + 0.5)

        with unittest.mock.patch.object(asyncio, "sleep", oversleep):
            async with self.bench.post(
                Sesamefold_Deadline=str(time.time() + 0.4)
            ) as response:
                error = await self.read_error(response)
        self.assertEqual((1201, "no"), error)

    async def test_no_usable_server_is_reported_after_slow_lookup(
        self,
    ) -> None:
        """Guards against "no free slot" reported when no server is usable.

        The deadline passes during the block lookup of the second attempt.
        """
        for name in ("a", "b"):
            self.bench.control.backends[name].versions[:] = ["model-a@v2"]
        self.bench.control.publish()
        await self.wait_for_backends()
        lookup_calls = []

        async def look_up_slowly(*arguments):
            lookup_calls.append(arguments)
            if len(lookup_calls) > 1:
                await asyncio.sleep(2.0)
            return {}

        with unittest.mock.patch.object(
            lookups, "look_up_blocks", look_up_slowly
        ):
            async with self.bench.post(
                Sesamefold_Deadline=str(time.time() + 0.6)
            ) as response:
                error = await self.read_error(response)
        self.assertEqual((1201, "no"), error)
        self.assertEqual(2, len(lookup_calls))

    async def test_runs_on_cold_servers_share_one_permit(self):
        """Guards against more runs on cold servers than there are permits."""
        for name in ("a", "b"):
            self.bench.control.backends[name].state = "cold"
            self.bench.engines[f"{name}:1"].token_delay_seconds = 0.01
        self.bench.control.permit_limit = 1
        self.bench.control.publish()
        await self.wait_for_backends()

        async def send():
            async with self.bench.post() as response:
                return response.status

        statuses = await asyncio.gather(*(send() for _ in range(3)))
        self.assertEqual([200] * 3, statuses)
        await gateway_fakes.wait_until(
            lambda: len(self.bench.control.released) == 3
        )

    async def test_run_moves_when_its_permit_is_not_renewed(self):
        """Guards against a run that goes on after its permit has lapsed."""
        for name in ("a", "b"):
            self.bench.control.backends[name].state = "cold"
            self.bench.engines[f"{name}:1"].token_delay_seconds = 0.05
        self.bench.control.permit_limit = 8
        self.bench.control.renews_permits = False
        self.bench.control.publish()
        await gateway_fakes.wait_until(
            lambda: self.bench.state.backends["b"].state == "cold"
        )
        with unittest.mock.patch.object(
            defaults, "PERMIT_RENEWAL_INTERVAL", 0.12
        ):
            async with self.bench.post() as response:
                body = await response.json()
        self.assertEqual("w1 w2 w3 w4 w5 w6 ", body["choices"][0]["text"])
        first, *others = self.bench.engine_requests
        self.assertTrue(others)
        cancelled = [e.cancelled for e in self.bench.engines.values()]
        self.assertIn(first.request_id, sum(cancelled, []))

    async def test_requests_succeed_while_control_is_down(self):
        """Guards against errors while the state received last is usable."""
        await self.bench.control.server.stop(None)
        async with self.bench.post() as response:
            self.assertEqual(200, response.status)

    async def test_older_configuration_is_ignored(self):
        """Guards against a return to an older revision."""
        await self.publish(in_service=False)
        self.bench.control.configuration = gateway_fakes.build_message(
            gateway_fakes.build_configuration(revision=1)
        )
        self.bench.control.publish()
        await asyncio.sleep(0.1)
        self.assertFalse(self.bench.state.is_in_service())


class ShutdownTest(gateway_fakes.GatewayTestCase):
    options = {"drain_delay": 0.2}

    async def test_stream_finishes_during_shutdown(self):
        """Guards against a shutdown that interrupts a stream."""
        for engine in self.bench.engines.values():
            engine.token_delay_seconds = 0.1
        async with self.bench.post({"stream": True}) as response:
            await response.content.readline()
            self.bench.gateway.handle_signal()
            async with self.bench.session.get("/readyz") as ready:
                self.assertEqual(503, ready.status)
            async with self.bench.post() as other:
                # New requests still succeed during the drain delay.
                self.assertEqual(200, other.status)
            await asyncio.sleep(0.3)
            with self.assertRaises(aiohttp.ClientConnectorError):
                async with self.bench.session.get("/healthz"):
                    pass
            self.assertIn("[DONE]", await response.text())
        await asyncio.wait_for(self.bench.gateway.drain_task, 5)


class ProcessTest(unittest.TestCase):
    def test_first_signal_drains_and_second_exits_at_once(self):
        """Guards against a drain that a second signal does not end."""
        program = (
            "import sys; from sesamefold import gateway, settings;"
            "sys.exit(gateway.run(settings.Settings('h', 'dc', '', '',"
            " control_address='127.0.0.1:1', drain_delay=float(sys.argv[1]),"
            " drain_time=1.0)))"
        )
        for signals, delay, code in ((1, "0.1", 0), (2, "60", 1)):
            with self.subTest(signals=signals):
                process = subprocess.Popen(
                    [sys.executable, "-c", program, delay],
                    stdout=subprocess.PIPE,
                    stderr=subprocess.PIPE,
                    env={**os.environ, "GRPC_VERBOSITY": "NONE"},
                )
                self.addCleanup(process.stderr.close)
                self.addCleanup(process.stdout.close)
                self.addCleanup(process.kill)
                line = json.loads(process.stdout.readline())
                self.assertIn("gateway_address", line)
                for _ in range(signals):
                    process.send_signal(signal.SIGTERM)
                    time.sleep(0.2)
                self.assertEqual(code, process.wait(10))
                self.assertNotIn(b"Traceback", process.stderr.read())


class ErrorTableTest(unittest.TestCase):
    def test_error_codes_are_unique(self):
        """Guards against two errors that callers cannot distinguish."""
        pending = [exceptions.SesamefoldError]
        codes = []
        while pending:
            cls = pending.pop()
            codes.append(cls.__dict__.get("code"))
            pending.extend(cls.__subclasses__())
        codes = [code for code in codes if code is not None]
        self.assertEqual(len(codes), len(set(codes)))
