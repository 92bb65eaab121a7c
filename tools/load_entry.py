"""Drives an entry host with a bounded load and prints its latencies.

The entry host runs as a process of its own before the stand-ins of the
users' store and engines, which take time for each token. Prints one JSON line
with a histogram's percentiles for each kind of request.

    python -m tools.load_entry --rate 100 --seconds 10
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import sys
import tempfile
import time
import typing as t

import aiohttp
import hdrh.histogram

from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store

# Bounds of a run: requests a second, and seconds.
MAX_RATE = 500
MAX_SECONDS = 60
ENGINES = 4
SESSIONS = 200
KINDS = ("/safe/", "/unsafe/", "/resumable/")
PERCENTILES = (50, 95, 99)
# Range of the histograms, microseconds.
LOWEST, HIGHEST = 1, 60_000_000


class Load:
    """Sends requests and records their latencies in microseconds."""

    def __init__(self, session: aiohttp.ClientSession, port: int) -> None:
        self._session = session
        self._url = f"http://127.0.0.1:{port}"
        self._random = random.Random(1)
        self.histograms = {
            kind: hdrh.histogram.HdrHistogram(LOWEST, HIGHEST, 3)
            for kind in KINDS
        }
        self.statuses: t.Dict[str, int] = {}

    async def run(self, rate: int, seconds: int) -> None:
        """Send at a constant rate, whatever the answers take."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(rate * seconds):
                await asyncio.sleep(began + number / rate - time.monotonic())
                group.create_task(self._send(number))

    async def _send(self, number: int) -> None:
        kind = self._random.choice(KINDS)
        headers = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Api-Key": platform_fixtures.API_KEY,
            "Sesamefold-Request-Id": f"r-{number}",
            "Sesamefold-Deadline-Ms": "2000",
        }
        if kind == "/resumable/":
            session = self._random.randrange(SESSIONS)
            headers |= {
                "Sesamefold-Model": platform_fixtures.MODEL,
                "Sesamefold-Token-Usage": "3000,50",
                "Sesamefold-Prompt-Prefix": f"a:500,{session:x}:2000,c:500",
            }
        began = time.monotonic()
        async with self._session.post(
            self._url + kind, headers=headers, data=b"body"
        ) as response:
            await response.read()
        micros = int((time.monotonic() - began) * 1e6)
        self.histograms[kind].record_value(max(LOWEST, micros))
        status = str(response.status)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def describe(self) -> t.Dict[str, t.Any]:
        """Return statuses, and milliseconds by kind and percentile."""
        return {
            "statuses": self.statuses,
            "ms": {
                kind: {
                    f"p{p}": round(found.get_value_at_percentile(p) / 1000, 2)
                    for p in PERCENTILES
                }
                for kind, found in self.histograms.items()
            },
        }


async def _start_standins(
    stack: contextlib.AsyncExitStack,
) -> t.Tuple[platform_store.PlatformStore, str]:
    store = platform_store.PlatformStore()
    address = await platform_fixtures.start_server(stack, store.build_app())
    store.put("op/config", platform_fixtures.make_configuration())
    for number in range(ENGINES):
        engine = platform_engine.PlatformEngine(
            f"i-{number}", events=8, event_seconds=0.01, keep_runs=False
        )
        engine_address = await platform_fixtures.start_server(
            stack, engine.handle
        )
        entry = platform_fixtures.make_server_entry(engine_address)
        store.put(f"servers/{engine.id}", entry)
    return store, address


async def _wait_ready(session: aiohttp.ClientSession, port: int) -> None:
    async with asyncio.timeout(10.0):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                url = f"http://127.0.0.1:{port}/ready"
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)


async def measure(rate: int, seconds: int) -> t.Dict[str, t.Any]:
    """Run the load and return its description."""
    async with contextlib.AsyncExitStack() as stack:
        _, address = await _start_standins(stack)
        ports = await platform_fixtures.find_free_ports(3)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "settings.toml"
        path.write_text(platform_fixtures.format_settings(ports, address))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/entry.py",
            env={**os.environ, "SESAMEFOLD_CONFIG": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            session = await stack.enter_async_context(
                aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
            )
            await _wait_ready(session, ports[1])
            load = Load(session, ports[0])
            await load.run(rate, seconds)
            return load.describe()
        finally:
            process.kill()
            await process.wait()


def main() -> None:
    """Parse the arguments and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=50)
    parser.add_argument("--seconds", type=int, default=10)
    arguments = parser.parse_args()
    result = asyncio.run(
        measure(
            min(arguments.rate, MAX_RATE),
            min(arguments.seconds, MAX_SECONDS),
        )
    )
    print(json.dumps(result))


if __name__ == "__main__":
    main()
