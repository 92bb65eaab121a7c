"""Requests beside changes of the configuration, on kept connections."""

import asyncio
import itertools
import os
import random
import re
import signal
import typing as t

from standins import platform_engine
from standins import platform_fixtures
from tests import entry_processes

SECONDS = 8.0
CALLERS = 24
# Answers of the engines, drawn for each request. "cut-unframed" and "reset"
# are faults of the engine.
FAULTS = ("", "", "", "", "refuse", "unframed", "late", "foreign", "fail")
PATHS = ("/safe/", "/unsafe/", "/stream/", "/resumable/")
# Time between two changes.
CHANGE_SECONDS = 0.12
GIVE_UP_SECONDS = 9.0


class ConfigurationChangeTest(entry_processes.EntryProcessCase):
    """A host process whose configuration changes in quick succession."""

    async def asyncSetUp(self) -> None:
        """Start a second engine and the host."""
        await super().asyncSetUp()
        self.random = random.Random(int(os.environ.get("CHANGE_SEED", "1")))
        self.change(1)
        self.other = platform_engine.PlatformEngine("i-1")
        address = await platform_fixtures.start_server(
            self.stack, self.other.handle
        )
        entry = platform_fixtures.make_server_entry(address)
        self.store.put("servers/i-1", entry)
        self.write_settings()
        await self.start()
        await self.wait_ready()
        self.unanswered: t.List[str] = []
        self.statuses: t.Set[int] = set()

    def change(self, version: int) -> None:
        """Write a configuration with another change in turn."""
        configuration = platform_fixtures.make_configuration(version)
        kind = version % 5
        # Longer than any request takes, with its body.
        for route in configuration["routes"]:
            route["timeout_ms"] = 3500
        if kind == 1:
            for route in configuration["routes"]:
                route["timeout_ms"] = self.random.choice((3000, 4000))
        elif kind == 2:
            configuration["limits"]["idle_timeout_ms"] = 2000
            configuration["limits"]["header_timeout_ms"] = 1000
        elif kind == 3:
            configuration["routes"].append(
                {
                    **configuration["routes"][0],
                    "name": "new",
                    "path_prefix": "/new/",
                }
            )
        elif kind == 4:
            configuration["tenants"][0]["api_keys"].append("another-key")
        self.store.put("op/config", configuration)

    async def make_changes(self) -> None:
        """Change the configuration, and the settings by a signal."""
        for version in itertools.count(2):
            self.change(version)
            if version % 4 == 0:
                self.write_settings(ratio=0.2 + version % 3 / 100)
                self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(CHANGE_SECONDS * self.random.random() * 2)

    async def use_connection(self, caller: int, end: float) -> None:
        """Send requests on one connection for as long as it is open."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[0]
        )
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            if loop.time() >= end:
                break
            name = f"r-{caller}-{loop.time():.3f}-{number}"
            body = b"x" * self.random.choice((4, 3000, 60_000))
            path = self.random.choice(PATHS)
            head = make_head(path, name, len(body))
            slow = self.random.random() < 0.3
            try:
                writer.write(head)
                if slow:
                    writer.write(body[: len(body) // 2])
                    await asyncio.sleep(0.4 * self.random.random())
                writer.write(body[len(body) // 2 :] if slow else body)
                await writer.drain()
                async with asyncio.timeout(GIVE_UP_SECONDS):
                    status, closes = await read_answer(reader)
            except (OSError, EOFError, TimeoutError) as error:
                self.unanswered.append(f"{name}: {error!r}")
                break
            self.statuses.add(status)
            if closes:
                break
            await asyncio.sleep(0.1 * self.random.random())
        writer.close()

    # Guards against a change that ends a connection or a request under way,
    # whatever the engines answer and however slowly a body comes (LOST).
    async def test_each_request_is_answered(self) -> None:
        for engine in (self.engine, self.other):
            engine.stream_events, engine.event_seconds = 12, 0.05
            engine.faults = [self.random.choice(FAULTS) for _ in range(20_000)]
        changing = asyncio.create_task(self.make_changes())
        end = asyncio.get_running_loop().time() + SECONDS

        async def call_repeatedly(caller: int) -> None:
            while asyncio.get_running_loop().time() < end:
                await self.use_connection(caller, end)

        await asyncio.gather(*map(call_repeatedly, range(CALLERS)))
        changing.cancel()
        runs = len(self.engine.runs) + len(self.other.runs)
        names = {entry.partition(":")[0] for entry in self.unanswered}
        logged = [x for x in self.lines if x.get("request") in names]
        self.assertEqual([], self.unanswered, logged)
        self.assertGreater(runs, 200)
        self.assertLessEqual({200, 502}, self.statuses)
        self.assertEqual([], self.find_lines("answer_cut"))


def make_head(path: str, request_id: str, size: int) -> bytes:
    """Return the head of a request with a body of `size` bytes."""
    prompt = (
        f"Sesamefold-Model: {platform_fixtures.MODEL}\r\n"
        "Sesamefold-Token-Usage: 900,80\r\n"
        "Sesamefold-Prompt-Prefix: aa:400,bb:500\r\n"
    )
    return (
        f"POST {path} HTTP/1.1\r\nHost: {platform_fixtures.ROUTE_HOST}\r\n"
        f"Sesamefold-Request-Id: {request_id}\r\n"
        "Sesamefold-Deadline-Ms: 4000\r\n"
        f"Api-Key: {platform_fixtures.API_KEY}\r\n"
        f"{prompt if path in ('/stream/', '/resumable/') else ''}"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> t.Tuple[int, bool]:
    """Read an answer; return its status and whether it ends the connection.

    Raises `EOFError` if it is not complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = re.search(r"(?i)content-length: ([0-9]+)", head)
    if length:
        await reader.readexactly(int(length[1]))
    else:
        while (line := await reader.readuntil(b"\r\n")) != b"0\r\n":
            await reader.readexactly(int(line, 16) + 2)
        await reader.readuntil(b"\r\n")
    closes = re.search(r"(?i)connection: close", head) is not None
    return int(head.split()[1]), closes
