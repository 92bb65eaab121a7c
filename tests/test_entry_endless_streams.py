"""Requests to sound servers beside streams of a faulty one without end."""

import asyncio
import time
import typing as t

from standins import platform_fixtures
from standins import scripted_server
from tests import entry_processes

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nSesamefold-Request-Id: {id}\r\n"
    "Sesamefold-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n"
)
CHUNKED_HEAD = STREAM_HEAD.replace(
    "Connection: close", "Transfer-Encoding: chunked"
)
PIECE_BYTES = 16384
STREAMS = 8
LOOK_UPS = 60
LOOK_UP_INTERVAL_SECONDS = 0.05
# Timeout of the look-ups' route.
TIMEOUT_SECONDS = 0.8


class EndlessStreamsTest(entry_processes.EntryProcessCase):
    """A host process, a faulty server of streams and a sound server."""

    async def asyncSetUp(self) -> None:
        """Start the host."""
        await super().asyncSetUp()
        configuration = platform_fixtures.make_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = 8000
        configuration["services"].append(
            {**configuration["services"][0], "name": "ledger"}
        )
        configuration["routes"].append(
            {
                **configuration["routes"][0],
                "name": "look",
                "path_prefix": "/look/",
                "service": "ledger",
                "timeout_ms": int(TIMEOUT_SECONDS * 1000),
            }
        )
        self.store.put("op/config", configuration)
        self.faulty = await self.enterAsyncContext(
            scripted_server.ScriptedServer("Sesamefold-Request-Id")
        )
        for server_id, address, service in (
            ("i-1", self.faulty.address, "chat"),
            ("i-0", self.engine_address, "ledger"),
        ):
            entry = platform_fixtures.make_server_entry(
                address, service=service, slots=64
            )
            self.store.put(f"servers/{server_id}", entry)
        self.write_settings()
        await self.start()
        await self.wait_ready()

    async def look_up(self, number: int) -> t.Tuple[int, float]:
        """Return the status of a look-up and how long it took, seconds."""
        started_at = time.monotonic()
        status = await self.call("/look/x", f"look-{number}")
        return status, time.monotonic() - started_at

    # Guards against a host that serves nothing else while it reads what one
    # server sends (CONFIG: no answers at the timeout of other routes).
    async def check_look_ups(self, first: str, repeated: str) -> None:
        piece = repeated * (PIECE_BYTES // len(repeated))
        self.faulty.scripts = [
            scripted_server.Script(
                (
                    scripted_server.Step(first),
                    scripted_server.Step(
                        piece, endless=True, piece_bytes=len(piece)
                    ),
                )
            )
        ] * STREAMS
        streams = [
            asyncio.create_task(self.call("/stream/x", f"stream-{number}"))
            for number in range(STREAMS)
        ]
        look_ups = []
        for number in range(LOOK_UPS):
            look_ups.append(asyncio.create_task(self.look_up(number)))
            await asyncio.sleep(LOOK_UP_INTERVAL_SECONDS)
        results = await asyncio.gather(*look_ups)
        self.assertEqual(STREAMS, len(self.faulty.received))
        self.assertEqual({200}, {status for status, _ in results})
        self.assertLess(max(s for _, s in results), TIMEOUT_SECONDS)
        ended = await asyncio.gather(*streams, return_exceptions=True)
        self.assertNotIn(200, ended)

    async def test_look_ups_beside_blank_lines(self) -> None:
        await self.check_look_ups(STREAM_HEAD, "\n")

    async def test_look_ups_beside_small_chunks(self) -> None:
        await self.check_look_ups(CHUNKED_HEAD, "1\r\n\n\r\n")

    async def test_look_ups_beside_interim_responses(self) -> None:
        await self.check_look_ups("", "HTTP/1.1 100\r\n\r\n")
