"""Test case with an entry host as a process."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
import tempfile
import typing as t
import unittest

import aiohttp

from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store

ROOT = pathlib.Path(__file__).parent.parent


class EntryProcessCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one entry host process and stand-ins of the platform."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and write the settings."""
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.toml"
        self.store = platform_store.PlatformStore()
        address = await platform_fixtures.start_server(
            self.stack, self.store.build_app()
        )
        self.engine = platform_engine.PlatformEngine("i-0")
        self.engine_address = await platform_fixtures.start_server(
            self.stack, self.engine.handle
        )
        self.store.put("op/config", platform_fixtures.make_configuration())
        entry = platform_fixtures.make_server_entry(self.engine_address)
        self.store.put("servers/i-0", entry)
        self.store_address = address
        self.ports = await platform_fixtures.find_free_ports(3)
        self.caller = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.lines: t.List[t.Dict[str, t.Any]] = []

    def write_settings(self, **changes: t.Any) -> None:
        """Write the settings file with some settings changed."""
        self.path.write_text(
            platform_fixtures.format_settings(
                self.ports, self.store_address, **changes
            )
        )

    async def start(self) -> None:
        """Start the process and begin to collect its log."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "entry.py"),
            env={**os.environ, "SESAMEFOLD_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.stack.push_async_callback(self.kill)
        reading = asyncio.create_task(self.read_log())
        self.stack.callback(reading.cancel)

    async def kill(self) -> None:
        """End the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def read_log(self) -> None:
        """Collect log lines until the process ends."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def find_lines(self, event: str) -> t.List[t.Dict[str, t.Any]]:
        """Return the log lines of an event."""
        return [line for line in self.lines if line["event"] == event]

    async def wait_until(
        self, condition: t.Callable[[], t.Any], seconds: float = 10.0
    ) -> None:
        """Wait until a condition holds; fail after `seconds`."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_ready(self) -> None:
        """Wait until the process reports that it is ready."""
        url = f"http://127.0.0.1:{self.ports[1]}/ready"
        async with asyncio.timeout(10.0):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.caller.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    async def call(self, path: str, request_id: str, **headers: str) -> int:
        """Send a request and return its status."""
        async with self.caller.post(
            f"http://127.0.0.1:{self.ports[0]}{path}",
            headers={
                "Host": platform_fixtures.ROUTE_HOST,
                "Sesamefold-Request-Id": request_id,
                "Sesamefold-Deadline-Ms": "2000",
                "Api-Key": platform_fixtures.API_KEY,
                **headers,
            },
            data=b"body",
        ) as response:
            await response.read()
            return response.status
