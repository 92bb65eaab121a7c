"""Benchmark of placements: how well returning prompts are placed."""

import asyncio
import heapq
import itertools
import random
import signal
import sys
import time
import typing as t

import aiohttp
import attrs
from hdrh import histogram

from sesamefold import exceptions
from sesamefold import settings
from tools import caller
from tools import launcher
from tools import topology

SEED = 41
# Requests of one placement at a fixed rate; the four placements together
# have to finish within two minutes.
REQUESTS = 144
REQUESTS_PER_SECOND = 8.0
MAX_RETURNS = 3
GAP_SECONDS = (3.0, 7.0)  # between two arrivals of a prompt
DEADLINE_SECONDS = 5.0
# Time after which a request without any answer is lost, seconds.
LOST_SECONDS = 10.0
CUSTOMERS = tuple(f"customer-{number}" for number in range(1, 11))
# The first three customers are large.
WEIGHTS = (6, 6, 6, 1, 1, 1, 1, 1, 1, 1)
OUT = "south-1"
OUT_AT = 6.0  # seconds after the first arrival
BACK_AT = 12.0
# The p95 is back when that of the requests of a window is at most this factor
# above that of all requests before the data centre was taken out.
WINDOW_SECONDS = 2.0
RECOVERED_FACTOR = 1.1
# The prompts of seed 41 have 249 blocks; the six engines hold 72. A block of
# 100 kB takes 53 ms over the link and 125 ms to recompute.
TOPOLOGY = topology.Topology(
    data_centres={"north-1": "north", "north-2": "north", OUT: "south"},
    entry_hosts=1,
    services=0,
    customers=CUSTOMERS,
    warm_limit=2,
    link_rate=15e6 / 8,
    engine_options=(
        "--memory-blocks=12",
        "--limit=2",
        "--block-bytes=100000",
        "--prefill-seconds=0.000125",
        "--token-seconds=0.005",
    ),
)
HEADS = (
    ("placement", 12),
    ("p50 ms", 7),
    ("p95 ms", 7),
    ("recomputed/returning", 21),
    ("near kB", 8),
    ("far kB", 7),
    ("in time", 8),
    ("late", 5),
    ("wrong", 6),
    ("refused", 8),
    ("lost", 5),
    ("out p95 ms", 11),
    ("back s", 7),
)


@attrs.frozen
class Arrival:
    """A request at an instant in seconds after the start.

    `host` is a number from 0 to 1 that chooses the entry host.
    """

    at: float
    prompt: topology.Prompt
    returning: bool
    host: float


@attrs.frozen
class Outcome:
    """What became of a request.

    `kind` is "in time", "late", "wrong", "refused" (not executed) or "lost".
    `first` is the time from the arrival to the first token, in seconds.
    """

    arrival: Arrival
    kind: str
    detail: str = ""
    first: t.Optional[float] = None
    report: t.Mapping[str, t.Any] = attrs.field(factory=dict)


def plan_arrivals(generator: random.Random) -> t.List[Arrival]:
    """Return the requests in order of their arrival.

    Each prompt returns one to `MAX_RETURNS` times, unless the benchmark ends
    before. A slot without a due return gets a new prompt.
    """
    arrivals: t.List[Arrival] = []
    due: t.List[t.Tuple[float, int, int, topology.Prompt]] = []
    numbers = itertools.count()
    for slot in range(REQUESTS):
        at = slot / REQUESTS_PER_SECOND
        returning = bool(due) and due[0][0] <= at
        if returning:
            _, _, returns, prompt = heapq.heappop(due)
        else:
            returns = generator.randint(1, MAX_RETURNS)
            (customer,) = generator.choices(CUSTOMERS, WEIGHTS)
            tokens = generator.randint(2, 6) * topology.BLOCK_TOKENS + 40
            prompt = topology.make_prompt(generator, customer, tokens)
        if returns:
            again = at + generator.uniform(*GAP_SECONDS)
            heapq.heappush(due, (again, next(numbers), returns - 1, prompt))
        arrivals.append(Arrival(at, prompt, returning, generator.random()))
    return arrivals


@attrs.define
class Bench:
    """One run of the requests against one system."""

    system: launcher.System
    arrivals: t.Sequence[Arrival]
    out_at: float = 0.0  # when the command had ended, seconds
    back_at: float = 0.0
    _start: float = 0.0

    async def run(self) -> t.List[Outcome]:
        """Send all requests while the data centre leaves and returns."""
        self._start = time.monotonic()
        tasks = [
            asyncio.create_task(self._send(arrival))
            for arrival in self.arrivals
        ]
        await self._sleep_until(OUT_AT)
        await self._move("out")
        self.out_at = time.monotonic() - self._start
        await self._sleep_until(BACK_AT)
        await self._move("in")
        self.back_at = time.monotonic() - self._start
        return await asyncio.gather(*tasks)

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(self._start + at - time.monotonic())

    async def _move(self, direction: str) -> None:
        code, output = await self.system.launcher.run_command(
            "datacentre",
            direction,
            OUT,
            "--platform",
            self.system.key_value_url,
        )
        if code:
            raise RuntimeError(f"datacentre {direction}: {code}: {output}")

    async def _send(self, arrival: Arrival) -> Outcome:
        """Send one request; times count from its planned arrival."""
        await self._sleep_until(arrival.at)
        begun = self._start + arrival.at
        hosts = sorted(self.system.hosts.values(), key=lambda host: host.name)
        host = hosts[int(arrival.host * len(hosts))]
        first: t.List[float] = []

        async def note_first(_: caller.Answer) -> None:
            if not first:
                first.append(time.monotonic() - begun)

        answer = caller.Answer()
        try:
            async with asyncio.timeout(LOST_SECONDS):
                await caller.stream_completion(
                    self.system.launcher.session,
                    host.url,
                    topology.make_token(arrival.prompt.customer),
                    arrival.prompt.body,
                    answer,
                    note_first,
                    time.time() + DEADLINE_SECONDS,
                )
        except caller.CallError as error:
            kind = judge_error(error)
            return Outcome(arrival, kind, f"{host.name}: {error}")
        except (aiohttp.ClientError, TimeoutError) as error:
            return Outcome(arrival, "lost", f"{host.name}: {error!r}")
        if not answer.finished:
            return Outcome(arrival, "lost", f"{host.name}: no end")
        seconds = time.monotonic() - begun
        try:
            arrival.prompt.check(answer)
        except topology.WrongAnswer as error:
            return Outcome(arrival, "wrong", str(error))
        kind = "in time" if seconds <= DEADLINE_SECONDS else "late"
        return Outcome(arrival, kind, "", first[0], answer.report)


def judge_error(error: caller.CallError) -> str:
    """Return the kind of a request that got an error.

    An error that says that the deadline passed during the run is an answer;
    all other errors that do not deny the execution lose the request.
    """
    if error.error.get("executed") == "no":
        return "refused"
    late = error.error.get("code") == exceptions.RunTimeout.code
    return "late" if late else "lost"


def compute_percentile(
    outcomes: t.Iterable[Outcome], percentile: float
) -> t.Optional[float]:
    """Return a percentile of the times to first token, in milliseconds."""
    recorder = histogram.HdrHistogram(1, 60_000_000, 3)
    for outcome in outcomes:
        if outcome.first is not None:
            recorder.record_value(max(1, int(outcome.first * 1e6)))
    if not recorder.get_total_count():
        return None
    return recorder.get_value_at_percentile(percentile) / 1e3


def find_recovery(
    outcomes: t.Sequence[Outcome], out_at: float
) -> t.Optional[float]:
    """Return the seconds after `out_at` until p95 is at its earlier level.

    That is the end of the first window with such a p95; None without one.
    """
    before = compute_percentile(
        (o for o in outcomes if o.arrival.at < out_at), 95
    )
    last = max(outcome.arrival.at for outcome in outcomes)
    starts = (
        outcome.arrival.at
        for outcome in outcomes
        if out_at <= outcome.arrival.at <= last - WINDOW_SECONDS
    )
    for start in starts:
        end = start + WINDOW_SECONDS
        p95 = compute_percentile(
            (o for o in outcomes if start <= o.arrival.at < end), 95
        )
        if None not in (p95, before) and p95 <= before * RECOVERED_FACTOR:
            return end - out_at
    return None


def _show(value: t.Optional[float], digits: int = 0) -> str:
    return "none" if value is None else f"{value:.{digits}f}"


def _print_row(values: t.Iterable[t.Any]) -> None:
    pairs = zip(HEADS, values, strict=True)
    print(
        "".join(f"{value!s:>{width}}" for (_, width), value in pairs),
        flush=True,
    )


async def measure(placement: str) -> t.List[Outcome]:
    """Measure one placement in a system of its own and print its row."""
    arrivals = plan_arrivals(random.Random(SEED))
    async with launcher.Launcher() as starter:
        system = await attrs.evolve(
            TOPOLOGY, settings={"placement": placement}
        ).start(starter)
        bench = Bench(system, arrivals)
        outcomes = await bench.run()
        counters = await asyncio.gather(
            *map(system.fetch_counters, system.stores.values())
        )
    returning = [
        o.report for o in outcomes if o.arrival.returning and o.report
    ]
    recomputed = sum(report["recomputed_tokens"] for report in returning)
    asked = sum(report["prompt_tokens"] for report in returning)
    read = sum(counter.get("bytes_read", 0) for counter in counters)
    far = sum(counter.get("bytes_read_far", 0) for counter in counters)
    out = [o for o in outcomes if bench.out_at <= o.arrival.at < bench.back_at]
    kinds = [outcome.kind for outcome in outcomes]
    _print_row(
        (
            placement,
            _show(compute_percentile(outcomes, 50)),
            _show(compute_percentile(outcomes, 95)),
            f"{recomputed}/{asked}",
            _show((read - far) / 1e3),
            _show(far / 1e3),
            kinds.count("in time"),
            kinds.count("late"),
            kinds.count("wrong"),
            kinds.count("refused"),
            kinds.count("lost"),
            _show(compute_percentile(out, 95)),
            _show(find_recovery(outcomes, bench.out_at), 1),
        )
    )
    return outcomes


async def run_benchmark() -> int:
    """Measure all placements; return the exit code."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    start = time.monotonic()
    _print_row(head for head, _ in HEADS)
    outcomes = [
        outcome
        for placement in settings.PLACEMENTS
        for outcome in await measure(placement)
    ]
    failed = [o for o in outcomes if o.kind in ("wrong", "lost")]
    for outcome in outcomes:
        if outcome.detail:
            print(
                f"{outcome.kind} at {outcome.arrival.at:.2f} s: "
                f"{outcome.detail}",
                file=sys.stderr,
            )
    print(f"{len(outcomes)} requests, {time.monotonic() - start:.1f} s")
    return 1 if failed else 0


def main() -> int:
    """Run the benchmark; return the exit code."""
    try:
        return asyncio.run(run_benchmark())
    except (TimeoutError, RuntimeError) as error:
        print(f"failed: {error}", file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        print("interrupted", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
