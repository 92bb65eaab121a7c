"""Tests of calls of plain services."""

import asyncio
import json
import socket
import struct
import time
import unittest
import uuid

from sesamefold import calls
from sesamefold import exceptions
from sesamefold.wire import control_pb2
from tests import gateway_fakes

_OK_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n"
)


def create_key(offset: float = 0.0) -> str:
    """Return a UUIDv7 with an issue time `offset` seconds from now."""
    milliseconds = int((time.time() + offset) * 1000)
    value = (milliseconds << 80) | (7 << 76) | (2 << 62) | 12345
    return str(uuid.UUID(int=value))


def reset_connection(writer):
    """Reset a connection; a linger time of 0 makes its close a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class FakeService:
    """A server that sends raw responses and may close the connection.

    A reply of None is sent as a complete response once `released` is set. The
    connection is closed, or reset with `resets`, after each reply that does
    not end in "done".
    """

    def __init__(self) -> None:
        self.replies = []
        self.received = []
        self.used_connections = set()
        self.close_before_read = False
        self.resets = False
        self.released = asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            while not self.close_before_read:
                self.received.append(await reader.readuntil(b"\r\n\r\n"))
                self.used_connections.add(writer)
                reply = self.replies.pop(0) if self.replies else b""
                if reply is None:
                    await self.released.wait()
                    reply = _OK_HEAD + b"\r\ndone"
                writer.write(reply)
                await writer.drain()
                if not reply.endswith(b"done"):
                    if self.resets:
                        await asyncio.sleep(0.05)
                        reset_connection(writer)
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class CallCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a gateway and one server of a plain service."""

    async def asyncSetUp(self):
        self.bench = gateway_fakes.Bench(["a"])
        self.service = FakeService()
        await self.service.start()
        self.addCleanup(self.service.server.close)
        self.bench.control.backends["ledger-1"].address = self.service.address
        await self.bench.start()
        self.addAsyncCleanup(self.bench.stop)

    async def call(self, method, path, key="", **headers):
        """Return status, error or text body, and the `executed` header."""
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


class CallTest(CallCase):
    async def test_closed_connection_returns_what_was_executed(self):
        """Guards against a false "no", and against a second execution."""
        refusal = b"HTTP/1.1 503 No\r\nSesamefold-Executed: no\r\n"
        empty = b"Content-Length: 0\r\n\r\n"
        table = [
            # name, close before read, reply, code, executed, journal, sends
            ("closed before read", True, b"", 1212, "unknown", None, 0),
            ("closed after read", False, b"", 1212, "unknown", None, 1),
            ("closed in status", False, b"HTTP/1.", 1212, "unknown", None, 1),
            ("closed in headers", False, _OK_HEAD, 1212, "unknown", None, 1),
            (
                "closed in body",
                False,
                _OK_HEAD + b"\r\nd",
                1212,
                "yes",
                502,
                1,
            ),
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
            ("done", False, _OK_HEAD + b"\r\ndone", None, "yes", 200, 1),
        ]
        for (
            name,
            close_before_read,
            reply,
            code,
            executed,
            journal,
            sends,
        ) in table:
            for method in ("POST", "PUT"):
                with self.subTest(name, method=method):
                    self.bench.state.failures.clear()
                    self.service.close_before_read = close_before_read
                    self.service.replies = [reply]
                    self.service.received.clear()
                    self.bench.control.finish_requests.clear()
                    status, body, executed_header = await self.call(
                        method, "/pay", create_key()
                    )
                    self.assertEqual(executed, executed_header)
                    if code:
                        self.assertEqual(code, body["code"])
                        self.assertEqual(executed, body["executed"])
                    self.assertEqual(sends, len(self.service.received))
                    self.assertEqual(
                        [] if journal is None else [journal],
                        [
                            "not run" if r.not_run else r.outcome.status
                            for r in self.bench.control.finish_requests
                        ],
                    )

    async def test_answer_cut_at_any_byte_is_no_success(self):
        """Guards against an empty or short body that is framed as whole.

        Without a length, a body ends with its connection, so that only the
        head is cut; a reset is no end of it.
        """
        chunked = b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
        ok = b"HTTP/1.1 200 OK\r\n"
        answers = (
            _OK_HEAD + b"\r\ndone",
            ok + chunked.removesuffix(b"\r\n\r\n"),
            ok + b"Content-Type: text/plain\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
        )
        cuts = [
            (answer[:size], False)
            for answer in answers
            for size in range(len(answer))
            if not answer[:size].endswith(b"done")
        ]
        resets = [(ok + b"X: y\r\n\r\n" + body, True) for body in (b"", b"d")]
        for reply, self.service.resets in cuts + resets:
            with self.subTest(reply=reply, resets=self.service.resets):
                self.bench.state.failures.clear()
                self.service.replies = [reply]
                status, body, executed = await self.call("GET", "/list")
                self.assertEqual(502, status)
                self.assertEqual(1212, body["code"])
                self.assertNotEqual("no", executed)

    async def test_refused_connection_is_recorded_as_not_run(self):
        """Guards against an unknown outcome of a call that was not sent."""
        self.service.server.close()
        await self.service.server.wait_closed()
        status, body, executed_header = await self.call(
            "POST", "/pay", create_key()
        )
        self.assertEqual("no", body["executed"])
        self.assertTrue(self.bench.control.finish_requests[0].not_run)

    async def test_outcome_is_recorded_after_the_caller_disconnects(self):
        """Guards against a call without an outcome after a disconnect."""
        self.service.replies = [None]
        task = asyncio.create_task(self.call("POST", "/pay", create_key()))
        await gateway_fakes.wait_until(lambda: self.service.received)
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

    async def test_call_past_its_deadline_has_unknown_outcome(self):
        """Guards against "no" for a call that may have been executed."""
        self.service.replies = [None]
        status, body, executed_header = await self.call(
            "POST",
            "/pay",
            create_key(),
            **{"Sesamefold-Deadline": str(time.time() + 0.2)},
        )
        self.assertEqual((1208, "unknown"), (body["code"], executed_header))
        self.service.released.set()

    async def test_call_without_recorded_intent_is_not_sent(self):
        """Guards against calls that are sent without a recorded intent."""
        decisions = control_pb2.BeginCallReply
        table = [
            ("no key", "", decisions.RUN, "", 1301, "no"),
            ("key v4", str(uuid.uuid4()), decisions.RUN, "", 1302, "no"),
            ("not a key", "x", decisions.RUN, "", 1302, "no"),
            ("pending", create_key(), decisions.UNKNOWN, "", 1306, "unknown"),
            (
                "other request",
                create_key(),
                decisions.MISMATCH,
                "",
                1304,
                "no",
            ),
            ("old", create_key(-1e5), decisions.EXPIRED, "", 1305, "unknown"),
            ("future", create_key(100), decisions.EXPIRED, "", 1305, "no"),
            ("undecided", create_key(), 0, "", 1303, "no"),
            ("journal down", create_key(), 0, "1303: down", 1303, "no"),
            ("journal full", create_key(), 0, "1308: full", 1308, "no"),
            ("control fails", create_key(), 0, "other", 1303, "no"),
        ]
        for name, key, decision, error, code, executed in table:
            with self.subTest(name):
                self.bench.control.decision = decision
                self.bench.control.begin_error = error
                status, body, executed_header = await self.call(
                    "POST", "/pay", key
                )
                self.assertEqual(
                    (code, executed, executed),
                    (body["code"], body["executed"], executed_header),
                )
                self.assertEqual([], self.service.received)

    async def test_repeated_call_returns_the_recorded_outcome(self):
        """Guards against a second execution of a finished call."""
        control = self.bench.control
        control.decision = control_pb2.BeginCallReply.RECORDED
        control.outcome = control_pb2.Outcome(
            status=201, content_type="text/plain", body=b"first"
        )
        answer = await self.call("POST", "/pay", create_key())
        self.assertEqual((201, "first", "yes"), answer)
        control.outcome.truncated = True
        status, body, executed_header = await self.call(
            "POST", "/pay", create_key()
        )
        self.assertEqual((1307, "yes"), (body["code"], executed_header))
        self.assertIn("201", body["message"])
        self.assertEqual([], self.service.received)

    async def test_service_without_exchange_ids_gets_new_connections(self):
        """Guards against a late answer that becomes that of another call.

        An answer without an id can only be told by its connection.
        """
        self.service.replies = [_OK_HEAD + b"\r\ndone"] * 3
        for _ in range(3):
            status, text, _ = await self.call("POST", "/a", create_key())
            self.assertEqual((200, "done"), (status, text))
        self.assertEqual(3, len(self.service.used_connections))

    async def test_only_repeatable_calls_run_without_a_control(self):
        """Guards against unrecorded calls, and refused repeatable calls."""
        await self.bench.control.server.stop(None)
        status, body, executed_header = await self.call(
            "POST", "/pay", create_key()
        )
        self.assertEqual((1303, "no"), (body["code"], executed_header))
        self.service.replies = [_OK_HEAD + b"\r\ndone"]
        answer = await self.call("GET", "/list")
        self.assertEqual((200, "done", "yes"), answer)

    async def test_repeatable_call_is_retried_on_another_server(self):
        """Guards against an error while another server can respond."""
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
        self.service.replies = [_OK_HEAD]
        second.replies = [_OK_HEAD]
        for server in (self.service, second):
            server.replies = [_OK_HEAD + b"\r\ndone"] * 10
        self.service.replies[0] = b""
        for _ in range(6):
            answer = await self.call("GET", "/list")
            self.assertEqual((200, "done", "yes"), answer)
        self.assertEqual([], self.bench.control.begin_requests)

    async def test_private_headers_are_not_forwarded(self):
        """Guards against a forwarded bearer token or a forged customer."""
        self.service.replies = [_OK_HEAD + b"\r\ndone"]
        await self.call("GET", "/list", **{"Sesamefold-Customer": "other"})
        headers = self.service.received[0].decode().lower()
        self.assertNotIn("token-acme", headers)
        self.assertIn("sesamefold-customer: acme\r\n", headers)
        self.assertNotIn("sesamefold-customer: other", headers)


class PatternTest(unittest.TestCase):
    def test_pattern_matches_only_plain_paths(self):
        """Guards against retries of calls that are not repeatable."""
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

    def test_key_in_another_spelling_is_refused(self):
        """Guards against two spellings of one key."""
        with self.assertRaises(exceptions.KeyMalformed):
            calls.check_key("{" + create_key() + "}")
