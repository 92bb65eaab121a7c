"""Measures what the gateway adds to direct calls of an engine stand-in.

Sends the same load first to the engine and then through the gateway, in
alternating rounds, and prints one JSON line with medians, 95th percentiles
and the gateway's processor time.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import statistics
import time
import typing as t

import aiohttp
import attrs
import yaml

from sesamefold import deadline as deadlines
from sesamefold import engines
from tools import launcher

MODEL = "model-a"
TOKEN = "token"
# Numbers of tokens of the two kinds of rounds; the difference gives the
# processor time of a token, the rest that of a request.
SHORT, LONG = 4, 64


@attrs.define
class Samples:
    """Seconds to the first token and between tokens of one kind of call."""

    first: t.List[float] = attrs.field(factory=list)
    gaps: t.List[float] = attrs.field(factory=list)

    def add(self, begun: float, times: t.Sequence[float]) -> None:
        """Add the instants of one response's tokens."""
        self.first.append(times[0] - begun)
        self.gaps.extend(b - a for a, b in itertools.pairwise(times))

    def describe(self) -> t.Dict[str, float]:
        """Return milliseconds."""
        values = {"first": self.first, "gap": self.gaps}
        return {
            f"{name}_{label}_ms": round(1000 * value, 3)
            for name, seconds in values.items()
            for label, value in (
                ("median", statistics.median(seconds)),
                ("p95", statistics.quantiles(seconds, n=20)[-1]),
            )
        }


def read_cpu(pid: int) -> float:
    """Return the processor seconds of a process, user and system."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def make_prompt(number: int, tokens: int) -> str:
    """Return a prompt that differs for each number."""
    return " ".join(f"w{number}-{index}" for index in range(tokens))


async def call_engine(
    session: aiohttp.ClientSession,
    address: str,
    prompt: str,
    tokens: int,
    samples: Samples,
) -> None:
    """Run a prompt directly on the engine."""
    begun = time.perf_counter()
    request = engines.CompletionRequest(
        request_id=os.urandom(16).hex(),
        model=MODEL,
        weight_version="v1",
        prompt=prompt,
        max_tokens=tokens,
        cache_salt="salt",
        seed=1,
        deadline=deadlines.Deadline.after(60.0),
    )
    engine = engines.HttpEngine(session, address)
    async with contextlib.aclosing(engine.complete(request)) as events:
        times = [
            time.perf_counter()
            async for event in events
            if event.kind == "token"
        ]
    samples.add(begun, times)


async def call_gateway(
    session: aiohttp.ClientSession,
    url: str,
    prompt: str,
    tokens: int,
    samples: Samples,
) -> None:
    """Run a prompt through the gateway."""
    begun = time.perf_counter()
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with session.post(
        f"{url}/v1/completions", json=body, headers=headers
    ) as response:
        response.raise_for_status()
        times = [
            time.perf_counter()
            async for line in response.content
            if line.startswith(b'data: {"id"')
        ]
    # The last event has the finish reason and no token.
    samples.add(begun, times[:tokens])


async def send_load(
    call: t.Callable[[int], t.Coroutine[t.Any, t.Any, None]],
    rate: float,
    seconds: float,
) -> int:
    """Start calls at a fixed rate; return their number when all ended."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    count = int(rate * seconds)
    tasks = []
    for number in range(count):
        await asyncio.sleep(max(0.0, begun + number / rate - loop.time()))
        tasks.append(loop.create_task(call(number)))
    await asyncio.gather(*tasks)
    return count


def write_text(address: str) -> str:
    """Return the operator's text for one engine."""
    return yaml.safe_dump(
        {
            "regions": {"r": {}},
            "data_centres": {"dc": {"region": "r", "in": True}},
            "models": {MODEL: {"version": "v1", "block_tokens": 1000}},
            "groups": {
                "g": {
                    "data_centre": "dc",
                    "kind": "engine",
                    "model": MODEL,
                    "cold_limit": 8,
                    "warm_limit": 256,
                }
            },
            "services": {"draft": {"kind": "model", "model": MODEL}},
            "customers": {
                "acme": {
                    "token_sha256": launcher.hash_token(TOKEN),
                    "share": 1,
                }
            },
        }
    )


async def start_system(
    starter: launcher.Launcher, token_seconds: float
) -> t.Tuple[str, launcher.EntryHost]:
    """Return the engine's address and the entry host, once it serves."""
    key_value = await starter.start_standin("keyvalue")
    host_list = await starter.start_standin("hostlist")
    system = launcher.System(starter, key_value, host_list)
    engine = await starter.start_standin(
        "engine",
        f"--model={MODEL}",
        f"--token-seconds={token_seconds}",
        "--limit=256",
        "--queue-limit=256",
    )
    address = engine.ready["address"]
    await system.list_host(
        "engine-1",
        kind="backend",
        data_centre="dc",
        address=address,
        group="g",
    )
    await system.apply(write_text(address))
    key = {"id": "k1", "secret": "for-measurements-on-loopback"}
    host = await starter.start_entry_host(
        "entry-1", "dc", system, handle_keys=[key]
    )

    async def serves() -> bool:
        try:
            await call_gateway(
                starter.session, host.url, "a b c", SHORT, Samples()
            )
        except aiohttp.ClientError:
            return False
        return True

    await launcher.wait_until(serves, "first completion", 30.0)
    # The engine counts as cold for 10 s after its first report.
    await asyncio.sleep(11.0)
    return address, host


async def measure(options: argparse.Namespace) -> t.Dict[str, t.Any]:
    """Return the figures of all rounds."""
    direct, through = Samples(), Samples()
    cpu = {SHORT: [0.0, 0], LONG: [0.0, 0]}
    async with launcher.Launcher() as starter:
        address, host = await start_system(starter, options.token_seconds)
        pid = host.gateway.process.pid
        before = read_cpu(pid)
        await asyncio.sleep(options.seconds)
        idle = (read_cpu(pid) - before) / options.seconds
        for round_number, tokens in itertools.product(
            range(options.rounds), (SHORT, LONG)
        ):
            base = 1_000_000 * round_number + 1000 * tokens

            def prompt(number: int, base: int = base) -> str:
                return make_prompt(base + number, options.prompt_tokens)

            await send_load(
                lambda number: call_engine(
                    starter.session, address, prompt(number), tokens, direct
                ),
                options.rate,
                options.seconds,
            )
            before, begun = read_cpu(pid), time.perf_counter()
            count = await send_load(
                lambda number: call_gateway(
                    starter.session,
                    host.url,
                    prompt(number),
                    tokens,
                    through,
                ),
                options.rate,
                options.seconds,
            )
            spent = read_cpu(pid) - before
            cpu[tokens][0] += spent - idle * (time.perf_counter() - begun)
            cpu[tokens][1] += count
    short, long = (spent / count for spent, count in cpu.values())
    per_token = (long - short) / (LONG - SHORT)
    plain, added = direct.describe(), through.describe()
    return {
        "requests": sum(count for _, count in cpu.values()),
        "direct": plain,
        "gateway": added,
        "added": {key: round(added[key] - plain[key], 3) for key in plain},
        "idle_cpu_percent": round(100 * idle, 2),
        "cpu_ms_per_request": round(1000 * (short - SHORT * per_token), 3),
        "cpu_ms_per_1000_tokens": round(1e6 * per_token, 1),
    }


def main() -> None:
    """Parse the options and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--prompt-tokens", type=int, default=200)
    parser.add_argument("--token-seconds", type=float, default=0.02)
    print(json.dumps(asyncio.run(measure(parser.parse_args()))))


if __name__ == "__main__":
    main()
