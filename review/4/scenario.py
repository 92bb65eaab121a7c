"""An engine starts cold when the platform's store is back after an outage."""

import asyncio
import pathlib
import random
import sys
import time
import typing as t

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import attrs  # noqa: E402

import harness  # noqa: E402
from standins import engine_simulator  # noqa: E402
from standins import platform_engine  # noqa: E402
from standins import platform_fixtures  # noqa: E402

MODEL = "model-1"
# Machines of the site in its region kigali.
HOSTS = 6
# The outage of the store; the site's longest is 8 s.
OUTAGE_SECONDS = 8.0
# `cold_per_s` and `cold_start_s` of the site's engines, and the rule's bound.
COLD_RATE, COLD_SECONDS = 13.0, 3.0
BOUND = COLD_RATE * 1.5 + 5
# Requests like the site's fitting-query, 119 + 531 + 177 tokens, 49 out.
REQUESTS_PER_SECOND, SECONDS_AFTER = 70.0, 6.0
ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=64,
    queue_limit=192,
    memory_tokens=144_184,
    step_seconds=0.00374,
    prefill_tokens_per_second=81_900.0,
    cold_requests_per_second=COLD_RATE,
)


def put_entry(
    deployment: harness.Deployment,
    engine: platform_engine.PlatformEngine,
    address: str,
    sequence: int,
    cold_seconds: float = 0.0,
) -> None:
    """Write an engine's entry to the store, as its heartbeat does."""
    deployment.store.put(
        f"servers/{engine.id}",
        platform_fixtures.make_server_entry(
            address,
            zone="gikondo",
            slots=ENGINE_OPTIONS.slots,
            seq=sequence,
            born=engine.born,
            cold_left_ms=int(1000 * cold_seconds),
            models=[{"name": MODEL, "version": 1, "adapters": []}],
        ),
    )


async def start_engine(
    deployment: harness.Deployment, name: str, cold_seconds: float
) -> t.Tuple[platform_engine.PlatformEngine, str]:
    """Start an engine and return it and its address."""
    engine = platform_engine.PlatformEngine(name, born=time.time_ns() // 10**6)
    engine.weights = {MODEL: 1}
    engine.simulator = engine_simulator.EngineSimulator(
        attrs.evolve(ENGINE_OPTIONS, cold_seconds=cold_seconds)
    )
    deployment.stack.callback(
        asyncio.create_task(engine.simulator.run()).cancel
    )
    return engine, await platform_fixtures.start_server(
        deployment.stack, engine.handle
    )


async def send_prompt(
    deployment: harness.Deployment, host: harness.Host, number: int
) -> None:
    """Send a prompt and record the answer."""
    session = random.randrange(331)
    try:
        async with deployment.caller.post(
            f"http://{host.ip}:{host.front_port}/stream/question",
            headers={
                "Host": platform_fixtures.ROUTE_HOST,
                "Sesamefold-Request-Id": f"r-{number}",
                "Sesamefold-Deadline-Ms": "12000",
                "Sesamefold-Model": MODEL,
                "Sesamefold-Token-Usage": "827,49",
                "Sesamefold-Length-Hint": "49",
                "Sesamefold-Prompt-Prefix": (
                    f"a{session % 20:x}:119,b{session:x}:531,{number:x}:177"
                ),
                "Api-Key": platform_fixtures.API_KEY,
            },
            data=b"body",
        ) as response:
            body = await response.read()
            deployment.record.write(
                f"r-{number} at {host.name}: {response.status}, "
                f"{body.count(b'data: x')} tokens"
            )
    except Exception as error:
        deployment.record.write(
            f"r-{number} at {host.name}: {type(error).__name__}: {error}"
        )


def find_most_in_a_second(times: t.Sequence[float]) -> t.Tuple[int, float]:
    """Return the most arrivals within a second, and when it began."""
    most, began_at = 0, 0.0
    for first, begin in enumerate(times):
        count = sum(1 for at in times[first:] if at < begin + 1.0)
        if count > most:
            most, began_at = count, begin
    return most, began_at


async def run_scenario(deployment: harness.Deployment) -> bool:
    """Return whether a cold engine got more requests than the rule allows."""
    record, store = deployment.record, deployment.store
    random.seed(1)
    warm, warm_address = await start_engine(deployment, "i-0", 0.0)
    configuration = platform_fixtures.make_configuration()
    configuration["services"][0].update(
        cold_start_s=COLD_SECONDS,
        cold_per_s=COLD_RATE,
        engine={
            "slots": ENGINE_OPTIONS.slots,
            "kv_capacity": ENGINE_OPTIONS.memory_tokens,
        },
    )
    for route in configuration["routes"]:
        route["timeout_ms"] = 12000
    store.put("op/config", configuration)
    put_entry(deployment, warm, warm_address, 1)
    hosts = [
        await deployment.start_host(f"entry-{number}", f"127.0.0.{number}")
        for number in range(1, HOSTS + 1)
    ]
    for host in hosts:
        await deployment.wait_ready(host)
    await asyncio.sleep(5.0)
    if harness.TROUBLE:
        record.write("the store is down; leases run out meanwhile")
        store.error_status = 503
    await asyncio.sleep(OUTAGE_SECONDS)
    if harness.TROUBLE:
        for lease in list(store._leases):
            store._drop_lease(lease)
        store.error_status = 0
        record.write("the store is back; all leases have ended")
    cold, cold_address = await start_engine(deployment, "i-1", COLD_SECONDS)
    began_at = time.monotonic()
    put_entry(deployment, warm, warm_address, 2)
    put_entry(deployment, cold, cold_address, 1, COLD_SECONDS)
    record.write(f"i-1 starts, cold for {COLD_SECONDS} s")
    requests: t.List["asyncio.Task[None]"] = []
    while time.monotonic() < began_at + SECONDS_AFTER:
        number = len(requests)
        requests.append(
            asyncio.create_task(
                send_prompt(deployment, hosts[number % HOSTS], number)
            )
        )
        await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*requests)
    times = [
        arrival.at - began_at
        for arrival in cold.arrivals
        if arrival.at < began_at + COLD_SECONDS
    ]
    for at in times:
        record.write(f"a request reached i-1 {at:.3f} s after its start")
    most, since = find_most_in_a_second(times)
    assert cold.simulator is not None
    record.write(
        f"{len(times)} requests reached i-1 while it was cold, at most {most} "
        f"within a second, from {since:.3f} s after its start; the bound is "
        f"{BOUND}; it crashed {cold.simulator.counters['crashes']} times"
    )
    return most > BOUND


harness.run(run_scenario, FOLDER)
