"""Load test of one entry host that prints latency percentiles.

The entry host runs as a separate process with the stand-ins of the users'
store and engines, which delay each token. Prints one JSON line with the
percentiles of the latency for each kind of request.

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

# Highest accepted request rate.
MAX_REQUESTS_PER_SECOND = 500
# Longest accepted duration.
MAX_SECONDS = 60
ENGINE_COUNT = 4
SESSION_COUNT = 200
REQUEST_KINDS = ("/safe/", "/unsafe/", "/resumable/")
PERCENTILES = (50, 95, 99)
# Range of the latency histograms.
MIN_MICROSECONDS, MAX_MICROSECONDS = 1, 60_000_000


class LoadGenerator:
    """Sends requests and records their latencies in microseconds."""

    def __init__(self, session: aiohttp.ClientSession, port: int) -> None:
        self._session = session
        self._url = f"http://127.0.0.1:{port}"
        self._random = random.Random(1)
        self.histograms = {
            kind: hdrh.histogram.HdrHistogram(
                MIN_MICROSECONDS, MAX_MICROSECONDS, 3
            )
            for kind in REQUEST_KINDS
        }
        self.statuses: t.Dict[str, int] = {}

    async def run(self, rate: int, seconds: int) -> None:
        """Send at a constant rate, independent of the latencies."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(rate * seconds):
                await asyncio.sleep(
                    started_at + number / rate - time.monotonic()
                )
                group.create_task(self._send(number))

    async def _send(self, number: int) -> None:
        kind = self._random.choice(REQUEST_KINDS)
        headers = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Api-Key": platform_fixtures.API_KEY,
            "Sesamefold-Request-Id": f"r-{number}",
            "Sesamefold-Deadline-Ms": "2000",
        }
        if kind == "/resumable/":
            session = self._random.randrange(SESSION_COUNT)
            headers |= {
                "Sesamefold-Model": platform_fixtures.MODEL,
                "Sesamefold-Token-Usage": "3000,50",
                "Sesamefold-Prompt-Prefix": f"a:500,{session:x}:2000,c:500",
            }
        started_at = time.monotonic()
        async with self._session.post(
            self._url + kind, headers=headers, data=b"body"
        ) as response:
            await response.read()
        microseconds = int((time.monotonic() - started_at) * 1e6)
        self.histograms[kind].record_value(max(MIN_MICROSECONDS, microseconds))
        status = str(response.status)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def describe_latencies(self) -> t.Dict[str, t.Any]:
        """Return counts of statuses, and latency percentiles in ms."""
        return {
            "statuses": self.statuses,
            "ms": {
                kind: {
                    f"p{p}": round(
                        histogram.get_value_at_percentile(p) / 1000, 2
                    )
                    for p in PERCENTILES
                }
                for kind, histogram in self.histograms.items()
            },
        }


async def _start_standins(
    stack: contextlib.AsyncExitStack,
) -> t.Tuple[platform_store.PlatformStore, str]:
    store = platform_store.PlatformStore()
    address = await platform_fixtures.start_server(stack, store.build_app())
    store.put("op/config", platform_fixtures.make_configuration())
    for number in range(ENGINE_COUNT):
        engine = platform_engine.PlatformEngine(
            f"i-{number}", stream_events=8, event_seconds=0.01, keep_runs=False
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
    """Run the load test and return statuses and latency percentiles."""
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
            generator = LoadGenerator(session, ports[0])
            await generator.run(rate, seconds)
            return generator.describe_latencies()
        finally:
            process.kill()
            await process.wait()


def main() -> None:
    """Run the load test with the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=int, default=50)
    parser.add_argument("--seconds", type=int, default=10)
    arguments = parser.parse_args()
    result = asyncio.run(
        measure(
            min(arguments.rate, MAX_REQUESTS_PER_SECOND),
            min(arguments.seconds, MAX_SECONDS),
        )
    )
    print(json.dumps(result))


if __name__ == "__main__":
    main()
