"""Tests of requests around a planned stop of an entry host."""

import asyncio
import contextlib
import math
import re
import signal
import socket
import time
import typing as t
import unittest.mock

from sesamefold.entry import election
from sesamefold.entry import placement
from sesamefold import exceptions
from standins import platform_engine
from standins import platform_fixtures
from tests import entry_fakes
from tests import entry_processes

GRACE_SECONDS = 6
WORK_SECONDS = 3.5
EVENT_SECONDS = 0.1
EVENTS = 35
KINDS = ("safe", "unsafe", "stream", "resumable")
STREAMS = ("stream", "resumable")


class Request:
    """One request on a connection of its own, and all that was received."""

    def __init__(self, request_id: str, kind: str, sent_at: float) -> None:
        self.id = request_id
        self.kind = kind
        self.sent_at = sent_at
        self.received = b""

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 without an answer."""
        found = re.match(rb"HTTP/1\.1 ([0-9]{3}) ", self.received)
        return int(found[1]) if found else 0

    def has_whole_answer(self) -> bool:
        """Return whether the server's answer is there to its end."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        if platform_engine.RESPONSE_SEAL.encode() not in head:
            return False
        if self.kind in STREAMS and self.status == 200:
            return f"id: {EVENTS}\n".encode() in body and body.endswith(
                b"0\r\n\r\n"
            )
        length = re.search(rb"Content-Length: ([0-9]+)", head)
        return length is not None and len(body) == int(length[1])

    def was_refused(self) -> bool:
        """Return whether the host stated that the request has not run."""
        return self.status == 503

    def __repr__(self) -> str:
        return f"{self.id} at {self.sent_at:.2f}: {self.received[-200:]!r}"


def make_head(request_id: str, kind: str, framing: str) -> bytes:
    """Return the head of a request; `framing` has the header of its body."""
    lines = [
        f"POST /{kind}/ HTTP/1.1",
        f"Host: {platform_fixtures.ROUTE_HOST}",
        f"Sesamefold-Request-Id: {request_id}",
        "Sesamefold-Deadline-Ms: 9000",
        f"Api-Key: {platform_fixtures.API_KEY}",
        framing,
    ]
    if kind in STREAMS:
        lines += [
            f"Sesamefold-Model: {platform_fixtures.MODEL}",
            "Sesamefold-Token-Usage: 9,8",
            "Sesamefold-Prompt-Prefix: aa:4,bb:3,cc:2",
        ]
    return "\r\n".join([*lines, "", ""]).encode()


def make_whole(request_id: str, kind: str) -> bytes:
    """Return a whole request."""
    return make_head(request_id, kind, "Content-Length: 4") + b"body"


class PlannedStopCase(entry_processes.EntryProcessCase):
    """Test case with an entry host that stops while its engine works."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and the host, with room for all requests."""
        await super().asyncSetUp()
        configuration = platform_fixtures.make_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = 9000
        service = configuration["services"][0]
        service["max_connections"] = 2000
        service["engine"] = {"slots": 2000, "kv_capacity": 10_000_000}
        self.store.put("op/config", configuration)
        self.store.put(
            "servers/i-0",
            platform_fixtures.make_server_entry(
                self.engine_address, slots=2000
            ),
        )
        self.engine.work_seconds = WORK_SECONDS
        self.engine.event_seconds = EVENT_SECONDS
        self.engine.stream_events = EVENTS
        self.requests: t.List[Request] = []
        self.tasks: t.List["asyncio.Task[None]"] = []
        self.signalled_at = math.inf
        self.write_settings(grace_s=GRACE_SECONDS)
        await self.start()
        await self.wait_ready()

    def stop_host(self) -> None:
        """Send the signal to stop."""
        self.signalled_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    async def open_kept_connection(
        self,
    ) -> t.Tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection that has carried a request."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[0]
        )
        writer.write(make_whole("kept", "unknown"))
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: ([0-9]+)", head)
        assert length is not None
        await reader.readexactly(int(length[1]))
        return reader, writer

    def send(
        self,
        request_id: str,
        kind: str,
        *pieces: t.Tuple[float, bytes],
        connection: t.Any = None,
    ) -> Request:
        """Send a request; each piece follows its delay in seconds."""
        since_signal = time.monotonic() - self.signalled_at
        request = Request(request_id, kind, since_signal)
        self.requests.append(request)
        self.tasks.append(
            asyncio.create_task(self._exchange(request, pieces, connection))
        )
        return request

    async def _exchange(
        self,
        request: Request,
        pieces: t.Iterable[t.Tuple[float, bytes]],
        connection: t.Any,
    ) -> None:
        with contextlib.suppress(OSError):
            if connection is None:
                connection = await asyncio.open_connection(
                    "127.0.0.1", self.ports[0]
                )
            reader, writer = connection
            try:
                for delay, piece in pieces:
                    await asyncio.sleep(delay)
                    writer.write(piece)
                while data := await reader.read(65536):
                    request.received += data
            finally:
                writer.close()

    async def send_load(self, seconds_before: float) -> None:
        """Send requests beside the signal until the process is gone."""
        kept = [await self.open_kept_connection() for _ in range(200)]
        began = time.monotonic()
        for number in range(1000):
            if self.process.returncode is not None:
                break
            if (
                self.signalled_at == math.inf
                and time.monotonic() >= began + seconds_before
            ):
                self.stop_host()
            for kind in KINDS:
                request_id = f"{kind}-{number}"
                self.send(
                    request_id,
                    kind,
                    (0.0, make_whole(request_id, kind)),
                    connection=kept.pop() if number % 2 and kept else None,
                )
            await asyncio.sleep(0.08)
        for _, writer in kept:
            writer.close()

    async def check_nothing_is_cut(self) -> None:
        """Check all requests once the process has ended in time."""
        async with asyncio.timeout(GRACE_SECONDS + 2.0):
            self.assertEqual(0, await self.process.wait())
            await asyncio.gather(*self.tasks)
        self.assertLess(time.monotonic() - self.signalled_at, GRACE_SECONDS)
        self.check_requests()

    def check_requests(self) -> None:
        """Check that each request was answered, or refused or not read."""
        executed = {run.request_id for run in self.engine.runs}
        wrong = [
            request
            for request in self.requests
            if not request.has_whole_answer()
            and (
                request.id in executed
                or not (request.was_refused() or request.received == b"")
            )
        ]
        self.assertEqual([], wrong)

    def list_served(self, kind: str) -> t.List[Request]:
        """Return the requests after the signal that were served."""
        return [
            request
            for request in self.requests
            if request.kind == kind
            and request.status == 200
            and 0.0 <= request.sent_at
        ]


class PlannedStopTest(PlannedStopCase):
    """Requests that come beside and after the signal to stop."""

    async def test_late_requests_are_not_cut_when_run_times_are_unknown(
        self,
    ) -> None:
        """Guards against requests taken that cannot end in time (LOST)."""
        await self.send_load(0.5)
        await self.check_nothing_is_cut()

    async def test_late_requests_are_not_cut_when_run_times_are_known(
        self,
    ) -> None:
        """Guards against the same, and against refusing all from the signal.

        A request in the first second could end in time and is served.
        """
        for kind in KINDS:
            self.send(
                f"known-{kind}", kind, (0.0, make_whole(f"known-{kind}", kind))
            )
        await asyncio.sleep(WORK_SECONDS + 0.7)
        await self.send_load(0.5)
        await self.check_nothing_is_cut()
        for kind in ("safe", "resumable"):
            self.assertGreater(len(self.list_served(kind)), 8)

    async def test_short_requests_are_served_until_the_balancer_knows(
        self,
    ) -> None:
        """Guards against refusing what would end well."""
        self.engine.work_seconds = self.engine.event_seconds = 0.0
        for kind in KINDS:
            self.send(
                f"known-{kind}", kind, (0.0, make_whole(f"known-{kind}", kind))
            )
        await asyncio.sleep(0.3)
        await self.send_load(0.5)
        await self.check_nothing_is_cut()
        refused = [
            request
            for request in self.requests
            if request.sent_at < 2.5 and not request.has_whole_answer()
        ]
        self.assertEqual([], refused)

    async def test_requests_that_cannot_end_get_a_final_answer(self) -> None:
        """Guards against an internal error, or none, at the end of a stop."""
        self.engine.work_seconds = 8.0
        sent = [
            self.send(
                f"{kind}-{number}",
                kind,
                (0.0, make_whole(f"{kind}-{number}", kind)),
            )
            for kind in ("safe", "unsafe")
            for number in range(4)
        ]
        await self.wait_until(lambda: len(self.engine.runs) == len(sent))
        self.stop_host()
        async with asyncio.timeout(GRACE_SECONDS):
            self.assertEqual(0, await self.process.wait())
            await asyncio.gather(*self.tasks)
        self.assertEqual({504}, {request.status for request in sent})
        await self.wait_until(lambda: self.find_lines("stopped"))
        self.assertEqual(
            sorted(request.id for request in sent),
            sorted(
                line["request"] for line in self.find_lines("ended_by_stop")
            ),
        )

    async def test_bodies_that_arrive_during_the_stop(self) -> None:
        """Guards against a request taken late because its body was late.

        Each is sent in two pieces, with a length or chunked. One never ends.
        """
        for number in range(24):
            delay = 0.25 * number
            for kind in ("safe", "unsafe"):
                fixed, chunked = f"f{number}-{kind}", f"c{number}-{kind}"
                self.send(
                    fixed,
                    kind,
                    (0.0, make_head(fixed, kind, "Content-Length: 4") + b"b"),
                    (delay, b"ody"),
                )
                self.send(
                    chunked,
                    kind,
                    (
                        0.0,
                        make_head(chunked, kind, "Transfer-Encoding: chunked")
                        + b"2\r\nbo\r\n",
                    ),
                    (delay, b"2\r\ndy\r\n0\r\n\r\n"),
                )
        endless = self.send(
            "endless",
            "unsafe",
            (0.0, make_head("endless", "unsafe", "Content-Length: 4") + b"b"),
        )
        await asyncio.sleep(0.3)
        self.stop_host()
        await self.check_nothing_is_cut()
        self.assertEqual(503, endless.status)

    async def test_signals_during_the_stop_change_nothing(self) -> None:
        """Guards against a second signal or a reload that moves the end."""
        loading = asyncio.create_task(self.send_load(0.5))
        await self.wait_until(lambda: self.signalled_at != math.inf)
        for seconds, number, grace in (
            (0.2, signal.SIGTERM, 60),
            (0.5, signal.SIGHUP, 60),
            (0.5, signal.SIGHUP, 1),
            (0.5, signal.SIGTERM, 1),
        ):
            await asyncio.sleep(seconds)
            self.write_settings(grace_s=grace)
            self.process.send_signal(number)
        await loading
        await self.check_nothing_is_cut()

    async def test_a_grace_that_was_not_reloaded_yet_counts(self) -> None:
        """Guards against the old time to stop if the file has just changed."""
        self.write_settings(grace_s=30)
        self.process.send_signal(signal.SIGHUP)
        await self.wait_until(lambda: self.find_lines("reload"))
        self.write_settings(grace_s=GRACE_SECONDS)
        await self.send_load(0.0)
        await self.check_nothing_is_cut()

    async def test_signals_during_the_start(self) -> None:
        """Guards against a reload that ends a process that is starting.

        A signal to stop may come before the process handles it.
        """
        for delay in (0.3, 0.6, 0.9):
            await self.kill()
            self.signalled_at, self.requests, self.tasks = math.inf, [], []
            self.engine.runs.clear()
            await self.start()
            await asyncio.sleep(delay)
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
            await self.send_load_without_kept_connections()
            self.assertIn(await self.process.wait(), (0, -int(signal.SIGTERM)))
            self.check_requests()

    async def send_load_without_kept_connections(self) -> None:
        """Stop the host and send requests until it is gone."""
        self.stop_host()
        number = 0
        while self.process.returncode is None:
            number += 1
            self.send(
                f"n-{number}", "safe", (0.0, make_whole(f"n-{number}", "safe"))
            )
            await asyncio.sleep(0.05)
        await asyncio.gather(*self.tasks)

    async def test_reload_before_the_settings_are_there(self) -> None:
        """Guards against SIGHUP ending a process that awaits its settings."""
        await self.kill()
        self.lines.clear()
        self.path.write_text("broken = ")
        await self.start()
        await self.wait_until(lambda: self.find_lines("settings_rejected"))
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        self.write_settings()
        await self.wait_ready()
        self.assertIsNone(self.process.returncode)

    async def test_reload_cuts_nothing(self) -> None:
        """Guards against requests that end with a reload of the settings."""
        for number in range(10):
            for kind in KINDS:
                request_id = f"{kind}-{number}"
                self.send(
                    request_id, kind, (0.0, make_whole(request_id, kind))
                )
            self.write_settings(grace_s=GRACE_SECONDS + number % 2)
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        self.write_settings(grace_s=GRACE_SECONDS)
        self.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(WORK_SECONDS + 0.5)
        for request in self.requests:
            self.assertTrue(request.has_whole_answer(), request)
        self.stop_host()
        await self.check_nothing_is_cut()

    async def test_a_slow_caller_gets_the_whole_answer(self) -> None:
        """Guards against an answer that is lost in the host's buffers.

        The caller takes the answer late, but before the host must end.
        """
        self.engine.work_seconds = 0.0
        self.engine.answer = b"x" * 4_000_000
        plain = socket.socket()
        self.addCleanup(plain.close)
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        plain.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(plain, ("127.0.0.1", self.ports[0]))
        await loop.sock_sendall(plain, make_whole("slow", "unsafe"))
        await self.wait_until(lambda: self.engine.runs)
        request = Request("slow", "unsafe", 0.0)
        self.stop_host()
        await asyncio.sleep(3.8)
        while data := await loop.sock_recv(plain, 65536):
            request.received += data
        self.assertTrue(request.has_whole_answer(), len(request.received))
        self.assertEqual(0, await self.process.wait())


class DrainTest(entry_fakes.EntryHostCase):
    """What a stop waits for, and what it does not wait for."""

    async def test_the_stop_waits_for_answers_that_are_not_taken_yet(
        self,
    ) -> None:
        """Guards against the end of an answer lost with the process.

        The handler has ended, but the caller has not taken the answer.
        """
        for engine in self.engines:
            engine.answer = b"x" * 6_000_000
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(caller, self.settings.listen_address)
            server = self.host._runners[-1].server
            assert server is not None
            await self.wait_until(lambda: server.connections)
            transport = server.connections[0].transport
            assert transport is not None
            transport.set_write_buffer_limits(high=10_000_000)
            await loop.sock_sendall(caller, make_whole("slow", "unsafe"))
            await self.wait_until(transport.get_write_buffer_size)
            await self.wait_until(lambda: not self.host.frontend.in_progress)
            draining = asyncio.create_task(self.host.drain())
            await asyncio.sleep(4.0)
            self.assertFalse(draining.done())
            request = Request("slow", "unsafe", 0.0)
            while not request.has_whole_answer():
                data = await loop.sock_recv(caller, 65536)
                self.assertNotEqual(b"", data)
                request.received += data
            await asyncio.wait_for(draining, 1.0)

    async def test_a_store_that_does_not_answer_delays_nothing(self) -> None:
        """Guards against requests taken for longer while the store is slow.

        The host gives back its lease on sending orders when it stops.
        """
        with unittest.mock.patch.object(
            election.Election, "stop", lambda self: asyncio.sleep(30.0)
        ):
            began = time.monotonic()
            await self.host.drain()
        self.assertLess(time.monotonic() - began, 5.0)

    async def test_a_request_is_not_sent_again_if_it_may_not_end(self) -> None:
        """Guards against a check only at the arrival of a request (LOST).

        The signal comes while a server refuses the request unexecuted.
        """
        for engine in self.engines:
            engine.faults = ["refuse"]
        with unittest.mock.patch.object(
            placement.Placement,
            "record_refusal",
            lambda *arguments: self.host.shutdown.begin(1.0),
        ):
            status, headers, body = await self.call("/unsafe/")
        self.assertEqual(503, status)
        self.assertIn(str(exceptions.ShuttingDown.code), body.decode())
        self.assertLess(float(headers["Retry-After"]), 0.5)
        self.assertEqual("close", headers["Connection"].lower())
        arrivals = [a for engine in self.engines for a in engine.arrivals]
        self.assertEqual(1, len(arrivals))
