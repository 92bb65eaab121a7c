"""Look-ups at a sound server beside another one that sends bytes without end.

For each seed, an entry host runs as a process. A server of streams answers
each of its connections with the flood that the seed chooses, while look-ups go
to a sound server of another service. Prints one JSON line for each seed, and
exits with status 1 if look-ups were not served or the host took too much
memory.

    python -m tools.flood --seeds 1 2 3 --seconds 5 --connections 24
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing as t

import aiohttp

from standins import endless_server
from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store

# Memory of the smallest hosts of the users.
MEMORY_MB = 128
# Rate on each connection: 24 of them take a fifth of a link of 1,000 Mbit/s.
BYTES_PER_SECOND = 1_000_000
LOOK_UPS_PER_SECOND = 20
TIMEOUT_MS = 800
# Interval of the servers' reports to the store.
REPORT_SECONDS = 1.2
# Least share of the look-ups that must be served, and the most by which the
# slowest of a hundred may be slower than without a flood, seconds.
MIN_SERVED_SHARE = 0.98
MAX_ADDED_SECONDS = 0.1


class FloodRun:
    """A run with the flood of one seed."""

    def __init__(self, seed: int, seconds: float, connections: int) -> None:
        self._seed = seed
        self._seconds = seconds
        self._connections = connections
        self._stack = contextlib.AsyncExitStack()
        self._ports: t.List[int] = []
        self._received = 0

    async def run(self) -> t.Dict[str, t.Any]:
        """Run, and return what was measured."""
        async with self._stack:
            await self._start()
            calm, _ = await self._look_up("calm")
            streams = [
                asyncio.create_task(self._send(f"/stream/{n}", f"s-{n}", 8000))
                for n in range(self._connections)
            ]
            beside, served = await self._look_up("beside")
            memory_mb = self._read_peak_mb()
            for stream in streams:
                stream.cancel()
            await asyncio.gather(*streams, return_exceptions=True)
        added = _find_slowest(beside) - _find_slowest(calm)
        return {
            "seed": self._seed,
            "flood": endless_server.generate_flood(self._seed).describe(),
            "floods": self._received,
            "served": round(served, 3),
            "added_seconds": round(added, 3),
            "slowest": round(max(beside), 3),
            "memory_mb": round(memory_mb, 1),
            "held": served >= MIN_SERVED_SHARE and memory_mb < MEMORY_MB,
            "in_time": added <= MAX_ADDED_SECONDS,
        }

    async def _start(self) -> None:
        store = platform_store.PlatformStore()
        store_address = await platform_fixtures.start_server(
            self._stack, store.build_app()
        )
        engine = platform_engine.PlatformEngine("l-0")
        addresses = {
            "i-0": (await self._start_endless_server(), "chat"),
            "l-0": (
                await platform_fixtures.start_server(
                    self._stack, engine.handle
                ),
                "ledger",
            ),
        }
        publishing = asyncio.create_task(_publish_entries(store, addresses))
        self._stack.callback(publishing.cancel)
        store.put("op/config", _make_configuration())
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        await self._start_host(store_address)

    async def _start_endless_server(self) -> str:
        """Start the faulty server and return its address."""
        process = await self._start_process(
            ["-m", "standins.endless_server"]
            + [str(self._seed), str(BYTES_PER_SECOND)],
            {},
        )
        assert process.stdout is not None
        address = (await process.stdout.readline()).decode().strip()

        async def count_requests(output: asyncio.StreamReader) -> None:
            async for _ in output:
                self._received += 1

        counting = asyncio.create_task(count_requests(process.stdout))
        self._stack.callback(counting.cancel)
        return address

    async def _start_host(self, store_address: str) -> None:
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "settings.toml"
        self._ports = await platform_fixtures.find_free_ports(3)
        path.write_text(
            platform_fixtures.format_settings(
                self._ports, store_address, memory_mb=MEMORY_MB
            )
        )
        self._host = await self._start_process(
            ["deploy/entry.py"], {"SESAMEFOLD_CONFIG": str(path)}
        )
        assert self._host.stdout is not None
        reading = asyncio.create_task(_discard(self._host.stdout))
        self._stack.callback(reading.cancel)
        async with asyncio.timeout(20.0):
            while await self._send("/look/", "ready", TIMEOUT_MS) != 200:
                await asyncio.sleep(0.1)

    async def _start_process(
        self, arguments: t.Sequence[str], variables: t.Dict[str, str]
    ) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            env={**os.environ, **variables},
            stdout=asyncio.subprocess.PIPE,
        )

        async def end() -> None:
            if process.returncode is None:
                process.kill()
            await process.wait()

        self._stack.push_async_callback(end)
        return process

    async def _look_up(self, name: str) -> t.Tuple[t.List[float], float]:
        """Return the seconds of each look-up, and the share of those served.

        One that is refused counts as one that took until its timeout.
        """

        async def measure(number: int) -> t.Tuple[float, bool]:
            started_at = time.monotonic()
            status = await self._send(
                f"/look/{number}", f"{name}-{number}", TIMEOUT_MS
            )
            seconds = time.monotonic() - started_at
            served = status == 200 and seconds <= TIMEOUT_MS / 1000
            return (seconds if served else max(seconds, 0.8)), served

        tasks = []
        for number in range(int(self._seconds * LOOK_UPS_PER_SECOND)):
            tasks.append(asyncio.create_task(measure(number)))
            await asyncio.sleep(1 / LOOK_UPS_PER_SECOND)
        results = await asyncio.gather(*tasks)
        return (
            [seconds for seconds, _ in results],
            statistics.fmean(served for _, served in results),
        )

    async def _send(self, path: str, request_id: str, timeout: int) -> int:
        """Send a request and return its status, 0 if it broke off."""
        headers = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Sesamefold-Request-Id": request_id,
            "Sesamefold-Deadline-Ms": str(timeout),
            "Api-Key": platform_fixtures.API_KEY,
        }
        try:
            async with self._session.post(
                f"http://127.0.0.1:{self._ports[0]}{path}",
                headers=headers,
                data=b"x",
            ) as response:
                async for _ in response.content.iter_any():
                    pass
                return response.status
        except aiohttp.ClientError:
            return 0

    def _read_peak_mb(self) -> float:
        """Return the most memory that the host has used, in MB."""
        path = pathlib.Path(f"/proc/{self._host.pid}/status")
        (line,) = [
            line
            for line in path.read_text().splitlines()
            if line.startswith("VmHWM:")
        ]
        return int(line.split()[1]) * 1024 / 1e6


def _make_configuration() -> t.Any:
    """Return a configuration with streams and with quick look-ups."""
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
            "timeout_ms": TIMEOUT_MS,
        }
    )
    return configuration


async def _publish_entries(
    store: platform_store.PlatformStore,
    addresses: t.Dict[str, t.Tuple[str, str]],
) -> None:
    """Write the servers' entries again and again, as servers do."""
    for sequence in itertools.count(1):
        for server_id, (address, service) in addresses.items():
            entry = platform_fixtures.make_server_entry(
                address, service=service, slots=64, seq=sequence
            )
            store.put(f"servers/{server_id}", entry)
        await asyncio.sleep(REPORT_SECONDS)


def _find_slowest(seconds: t.Sequence[float]) -> float:
    """Return the 99th percentile."""
    return sorted(seconds)[int(0.99 * (len(seconds) - 1))]


async def _discard(output: asyncio.StreamReader) -> None:
    """Read an output to its end."""
    while await output.read(65536):
        pass


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--connections", type=int, default=24)
    arguments = parser.parse_args()
    held = True
    for seed in arguments.seeds:
        result = asyncio.run(
            FloodRun(seed, arguments.seconds, arguments.connections).run()
        )
        print(json.dumps(result), flush=True)
        held &= result["held"]
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
