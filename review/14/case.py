"""Bytes without end from one server stop all other requests of a machine.

A server answers a few streams with blank lines without end. While the entry
hosts read them, requests to sound servers of another service get no answer at
the timeout of their route.
"""

import asyncio
import collections
import pathlib
import sys
import time
import typing as t

import aiohttp
from aiohttp import web

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness3  # noqa: E402
from standins import platform_fixtures  # noqa: E402

HOSTS = 2
STREAMS_PER_HOST = 24
# On each of these streams: those of a machine take a fifth of its link.
BYTES_PER_SECOND = 1_000_000
STREAM_TIMEOUT_MS = 12_000
LOOK_TIMEOUT_MS = 800
LOOK_DEADLINE_MS = 1_500
LOOKS_PER_SECOND = 20
LOOK_SECONDS = 12.0
WORK_SECONDS = 0.015
# Bounds of the rule.
ANSWER_SLACK_SECONDS = 0.5
MIN_UNANSWERED = 8
MAX_UNANSWERED_SHARE = 0.25


def make_configuration() -> t.Any:
    """Return a configuration with streams and with quick look-ups."""
    configuration = platform_fixtures.make_configuration()
    for route in configuration["routes"]:
        route["timeout_ms"] = STREAM_TIMEOUT_MS
    configuration["services"].append(
        {**configuration["services"][0], "name": "ledger"}
    )
    configuration["routes"].append(
        {
            **configuration["routes"][0],
            "name": "look",
            "path_prefix": "/look/",
            "service": "ledger",
            "timeout_ms": LOOK_TIMEOUT_MS,
        }
    )
    return configuration


async def start_endless_server(
    case: harness3.Case, kind: str, rate: int
) -> t.Tuple[str, pathlib.Path]:
    """Start the server in trouble; return its address and its trigger."""
    (port,) = harness3.find_ports("127.0.0.1", 1)
    flood = case.folder / "flood"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(harness3.ROOT / "review/endless_server.py"),
        str(port),
        str(flood),
        kind,
        str(rate),
        stdout=asyncio.subprocess.PIPE,
    )

    async def stop() -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def read() -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            case.record(f"server in trouble: {line.decode().strip()}")

    case.stack.push_async_callback(stop)
    reading = asyncio.create_task(read())
    case.stack.callback(reading.cancel)
    return f"127.0.0.1:{port}", flood


async def send(
    case: harness3.Case,
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    request_id: str,
    deadline_ms: int,
) -> t.Tuple[float, str]:
    """Send a request; return the seconds to its end, and how it ended."""
    began_at = time.monotonic()
    try:
        async with session.request(
            method,
            url,
            headers=harness3.make_headers(request_id, deadline_ms),
            data=b"x" if method == "POST" else None,
        ) as response:
            await response.read()
            outcome = str(response.status)
    except aiohttp.ClientError as error:
        outcome = type(error).__name__
    seconds = time.monotonic() - began_at
    case.record(f"client: {request_id} got {outcome} after {seconds:.2f} s")
    return seconds, outcome


async def play(case: harness3.Case) -> int:
    """Play the case and return its exit code."""

    async def look(request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(WORK_SECONDS)
        return web.Response(
            headers={
                "Sesamefold-Request-Id": request.headers[
                    "Sesamefold-Request-Id"
                ],
                "Sesamefold-Response-Seal": "3e1b.07.5a2",
            },
            text="found",
        )

    kind = "body" if case.trouble else "none"
    endless, flood = await start_endless_server(case, kind, BYTES_PER_SECOND)
    case.store.put(
        "servers/i-0", platform_fixtures.make_server_entry(endless, slots=64)
    )
    for number in range(3):
        address = await platform_fixtures.start_server(case.stack, look)
        case.store.put(
            f"servers/l-{number}",
            platform_fixtures.make_server_entry(address, service="ledger"),
        )
    case.store.put("op/config", make_configuration())
    await case.start_entries(HOSTS)
    tasks = []
    looks = []
    async with case.make_session() as session:
        for number, entry in enumerate(case.entries):
            for stream in range(STREAMS_PER_HOST):
                tasks.append(
                    asyncio.create_task(
                        send(
                            case,
                            session,
                            "POST",
                            f"http://{entry.ip}:{entry.front}/stream/x",
                            f"stream-{number}-{stream}",
                            STREAM_TIMEOUT_MS,
                        )
                    )
                )
        await asyncio.sleep(1.0)
        flood.touch()
        case.record("the server begins to answer the streams")
        for number in range(int(LOOK_SECONDS * LOOKS_PER_SECOND)):
            entry = case.entries[number % len(case.entries)]
            looks.append(
                asyncio.create_task(
                    send(
                        case,
                        session,
                        "GET",
                        f"http://{entry.ip}:{entry.front}/look/x",
                        f"look-{number}",
                        LOOK_DEADLINE_MS,
                    )
                )
            )
            await asyncio.sleep(1.0 / LOOKS_PER_SECOND)
        results = await asyncio.gather(*looks)
        await asyncio.gather(*tasks)
    timeout = LOOK_TIMEOUT_MS / 1000.0
    late = [s for s, _ in results if s > timeout]
    unanswered = [s for s in late if s > timeout + ANSWER_SLACK_SECONDS]
    outcomes = collections.Counter(outcome for _, outcome in results)
    case.record(
        f"{len(results)} look-ups ended as {dict(outcomes)}; {len(late)} "
        f"lasted longer than {timeout} s, and {len(unanswered)} of them had "
        f"no answer {ANSWER_SLACK_SECONDS} s later; the longest took "
        f"{max(s for s, _ in results):.2f} s"
    )
    broken = len(unanswered) >= MIN_UNANSWERED and len(
        unanswered
    ) > MAX_UNANSWERED_SHARE * len(late)
    return harness3.BROKEN if broken else harness3.HELD


if __name__ == "__main__":
    harness3.main(__file__, play)
