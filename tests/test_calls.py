"""Tests of calls of plain services."""

import asyncio
import json
import time
import unittest
import uuid

from sesamefold import calls
from sesamefold import exceptions
from sesamefold.wire import control_pb2
from tests import gateway_fakes

_OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n"


def create_key(offset: float = 0.0) -> str:
    """Return a UUIDv7 that was issued `offset` seconds from now."""
    milliseconds = int((time.time() + offset) * 1000)
    value = (milliseconds << 80) | (7 << 76) | (2 << 62) | 12345
    return str(uuid.UUID(int=value))


class FakeService:
    """A server that answers with raw bytes and may cut the connection."""

    def __init__(self) -> None:
        self.replies = []
        self.seen = []
        self.cut_before_read = False
        self.released = asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            while not self.cut_before_read:
                self.seen.append(await reader.readuntil(b"\r\n\r\n"))
                reply = self.replies.pop(0) if self.replies else b""
                if reply is None:
                    await self.released.wait()
                    reply = _OK + b"\r\ndone"
                writer.write(reply)
                await writer.drain()
                if not reply.endswith(b"done"):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bench = gateway_fakes.Bench(["a"])
        self.service = FakeService()
        await self.service.start()
        self.addCleanup(self.service.server.close)
        self.bench.control.backends["ledger-1"].address = self.service.address
        await self.bench.start()
        self.addAsyncCleanup(self.bench.stop)

    async def call(self, method, path, key="", **headers):
        """Return status, JSON or text body, and the told `executed`."""
        async with self.bench.session.request(
            method,
            f"/v1/services/ledger{path}",
            headers={
                "Authorization": "Bearer token-acme",
                **({"Idempotency-Key": key} if key else {}),
                **headers,
            },
        ) as response:
            text = await response.text()
            executed = response.headers["Sesamefold-Executed"]
            if response.content_type == "application/json":
                return response.status, json.loads(text)["error"], executed
            return response.status, text, executed

    async def test_executed_at_each_cut(self):
        """Guards against a false "not run" and against a second run."""
        refusal = b"HTTP/1.1 503 No\r\nSesamefold-Executed: no\r\n"
        empty = b"Content-Length: 0\r\n\r\n"
        table = [
            # name, cut before read, reply, code, executed, journal, sends
            ("cut before read", True, b"", 1212, "unknown", None, 0),
            ("cut after read", False, b"", 1212, "unknown", None, 1),
            ("cut in status", False, b"HTTP/1.", 1212, "unknown", None, 1),
            ("cut in headers", False, _OK, 1212, "unknown", None, 1),
            ("cut in body", False, _OK + b"\r\nd", 1212, "yes", 502, 1),
            ("refused", False, refusal + empty, 1201, "no", "not run", 1),
            (
                "failed",
                False,
                b"HTTP/1.1 503 No\r\n" + empty,
                None,
                "yes",
                503,
                1,
            ),
            ("done", False, _OK + b"\r\ndone", None, "yes", 200, 1),
        ]
        for name, cut, reply, code, executed, journal, sends in table:
            for method in ("POST", "PUT"):
                with self.subTest(name, method=method):
                    self.bench.state.failures.clear()
                    self.service.cut_before_read = cut
                    self.service.replies = [reply]
                    self.service.seen.clear()
                    self.bench.control.finish_requests.clear()
                    status, body, told = await self.call(
                        method, "/pay", create_key()
                    )
                    self.assertEqual(executed, told)
                    if code:
                        self.assertEqual(code, body["code"])
                        self.assertEqual(executed, body["executed"])
                    self.assertEqual(sends, len(self.service.seen))
                    self.assertEqual(
                        [] if journal is None else [journal],
                        [
                            "not run" if r.not_run else r.outcome.status
                            for r in self.bench.control.finish_requests
                        ],
                    )

    async def test_connection_refused(self):
        """Guards against an unknown outcome when nothing was sent."""
        self.service.server.close()
        await self.service.server.wait_closed()
        status, body, told = await self.call("POST", "/pay", create_key())
        self.assertEqual("no", body["executed"])
        self.assertTrue(self.bench.control.finish_requests[0].not_run)

    async def test_caller_leaves_during_a_call(self):
        """Guards against a call without outcome after a disconnect."""
        self.service.replies = [None]
        task = asyncio.create_task(self.call("POST", "/pay", create_key()))
        await gateway_fakes.wait_until(lambda: self.service.seen)
        task.cancel()
        await gateway_fakes.wait_until(lambda: task.done())
        self.service.released.set()
        await gateway_fakes.wait_until(
            lambda: self.bench.control.finish_requests
        )
        record = self.bench.control.finish_requests[0]
        self.assertEqual(
            (200, b"done"), (record.outcome.status, record.outcome.body)
        )

    async def test_deadline_during_a_call(self):
        """Guards against a claim that a call that timed out did not run."""
        self.service.replies = [None]
        status, body, told = await self.call(
            "POST",
            "/pay",
            create_key(),
            **{"Sesamefold-Deadline": str(time.time() + 0.2)},
        )
        self.assertEqual((1208, "unknown"), (body["code"], told))
        self.service.released.set()

    async def test_refusals_before_the_call(self):
        """Guards against calls that are sent without a record."""
        kinds = control_pb2.BeginCallReply
        table = [
            ("no key", "", kinds.RUN, "", 1301, "no"),
            ("key v4", str(uuid.uuid4()), kinds.RUN, "", 1302, "no"),
            ("not a key", "x", kinds.RUN, "", 1302, "no"),
            ("pending", create_key(), kinds.UNKNOWN, "", 1306, "unknown"),
            ("other request", create_key(), kinds.MISMATCH, "", 1304, "no"),
            ("old", create_key(-1e5), kinds.EXPIRED, "", 1305, "unknown"),
            ("future", create_key(100), kinds.EXPIRED, "", 1305, "no"),
            ("undecided", create_key(), 0, "", 1303, "no"),
            ("journal down", create_key(), 0, "1303: down", 1303, "no"),
            ("journal full", create_key(), 0, "1308: full", 1308, "no"),
            ("control fails", create_key(), 0, "other", 1303, "no"),
        ]
        for name, key, decision, error, code, executed in table:
            with self.subTest(name):
                self.bench.control.decision = decision
                self.bench.control.begin_error = error
                status, body, told = await self.call("POST", "/pay", key)
                self.assertEqual(
                    (code, executed, executed),
                    (body["code"], body["executed"], told),
                )
                self.assertEqual([], self.service.seen)

    async def test_recorded_outcomes(self):
        """Guards against a second run of a call that was finished."""
        control = self.bench.control
        control.decision = control_pb2.BeginCallReply.RECORDED
        control.outcome = control_pb2.Outcome(
            status=201, content_type="text/plain", body=b"first"
        )
        answer = await self.call("POST", "/pay", create_key())
        self.assertEqual((201, "first", "yes"), answer)
        control.outcome.truncated = True
        status, body, told = await self.call("POST", "/pay", create_key())
        self.assertEqual((1307, "yes"), (body["code"], told))
        self.assertIn("201", body["message"])
        self.assertEqual([], self.service.seen)

    async def test_control_down(self):
        """Guards against unrecorded calls; repeatable ones still run."""
        await self.bench.control.server.stop(None)
        status, body, told = await self.call("POST", "/pay", create_key())
        self.assertEqual((1303, "no"), (body["code"], told))
        self.service.replies = [_OK + b"\r\ndone"]
        answer = await self.call("GET", "/list")
        self.assertEqual((200, "done", "yes"), answer)

    async def test_repeatable_calls_are_retried(self):
        """Guards against an error that another server could answer."""
        second = FakeService()
        await second.start()
        self.addCleanup(second.server.close)
        self.bench.control.backends["ledger-2"] = gateway_fakes.build_backend(
            "ledger-2", group="p", versions=[], address=second.address
        )
        self.bench.control.publish()
        await gateway_fakes.wait_until(
            lambda: len(self.bench.state.backends) == 3
        )
        self.service.replies = [_OK]
        second.replies = [_OK]
        for server in (self.service, second):
            server.replies = [_OK + b"\r\ndone"] * 10
        self.service.replies[0] = b""
        for _ in range(6):
            answer = await self.call("GET", "/list")
            self.assertEqual((200, "done", "yes"), answer)
        self.assertEqual([], self.bench.control.begin_requests)

    async def test_headers_of_the_caller(self):
        """Guards against a bearer token that leaves the gateway."""
        self.service.replies = [_OK + b"\r\ndone"]
        await self.call("GET", "/list", **{"Sesamefold-Customer": "other"})
        seen = self.service.seen[0].decode().lower()
        self.assertNotIn("token-acme", seen)
        self.assertIn("sesamefold-customer: acme\r\n", seen)
        self.assertNotIn("sesamefold-customer: other", seen)


class PatternTest(unittest.TestCase):
    def test_patterns(self):
        """Guards against repeats of calls that are not repeatable."""
        table = [
            ("GET *", "GET", "/any/path", True),
            ("GET *", "POST", "/any", False),
            ("POST /lookup", "POST", "/lookup", True),
            ("POST /lookup", "POST", "/lookup/x", False),
            ("POST /look*", "POST", "/lookup/x", True),
            ("POST /safe/*", "POST", "/safe/../pay", False),
            ("POST /safe/*", "POST", "/safe/%2e%2e/pay", False),
            ("POST /safe/*", "POST", "/safe//pay", False),
            ("POST /[ab]", "POST", "/a", False),
            ("* /ping", "PUT", "/ping", True),
        ]
        for pattern, method, path, expected in table:
            with self.subTest(pattern, path=path):
                self.assertEqual(
                    expected, calls._matches(pattern, method, path)
                )

    def test_key_must_be_canonical(self):
        """Guards against two spellings of one key."""
        with self.assertRaises(exceptions.KeyMalformed):
            calls.check_key("{" + create_key() + "}")
