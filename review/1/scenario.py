"""New weights of one model are named while prompts of another one are fetched.

Two engines serve two models. The operator names new weights of the first one
only. All requests are for the second one, whose weights do not change.
"""

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
from standins import platform_context_store  # noqa: E402
from standins import platform_engine  # noqa: E402
from standins import platform_fixtures  # noqa: E402

RENEWED_MODEL, OTHER_MODEL = "model-a", "model-b"
# Engines of the site: slots, memory, step and speed of reading.
ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=64,
    queue_limit=192,
    memory_tokens=144_184,
    step_seconds=0.00374,
    prefill_tokens_per_second=81_900.0,
    load_seconds=0.76,
)
# The store fitting-cache of the site: 48 Gbit/s, 18,432 bytes for a token.
STORE_TOKENS = 1_083_165
STORE_TOKENS_PER_SECOND = 48e9 / 8 / 18432
# Sessions and requests, below the site's largest part (23,000 tokens).
SESSIONS = 40
SESSION_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 16_000, 500, 20
REQUESTS_PER_SECOND = 14.0
# When the new weights are named, and when the requests end.
NAMED_AT_SECONDS, END_SECONDS = 20.0, 75.0


@attrs.define
class ContextStore(platform_context_store.ContextStore):
    """A store that records the fetches of parts that are freed meanwhile."""

    record: t.Optional[harness.Record] = None
    damaged: t.List[engine_simulator.PartKey] = attrs.field(factory=list)
    frees: t.Dict[engine_simulator.PartKey, float] = attrs.field(factory=dict)
    fetches: int = 0

    def free(self, parts: t.Iterable[platform_context_store.PartName]) -> None:
        """Free parts and record them."""
        assert self.record is not None
        names = list(parts)
        self.record.write(f"kv-free of {len(names)} parts: {names[:3]} ...")
        for key in self.stored_tokens:
            if key[:2] in {tuple(name) for name in names}:
                self.frees[key] = time.monotonic()
        # A method of a slotted class, which `super()` without arguments
        # does not find.
        platform_context_store.ContextStore.free(self, names)

    async def fetch(
        self, key: engine_simulator.PartKey, deadline: float
    ) -> int:
        """Return the tokens of a part as the stand-in of the project does."""
        assert self.record is not None
        began_at = time.monotonic()
        tokens = await platform_context_store.ContextStore.fetch(
            self, key, deadline
        )
        self.fetches += bool(tokens)
        freed_at = self.frees.get(key, float("-inf"))
        if tokens and freed_at > began_at:
            self.damaged.append(key)
            self.record.write(
                f"an engine took {key}, {tokens} tokens, by a fetch of "
                f"{time.monotonic() - began_at:.3f} s; the part was freed "
                f"{freed_at - began_at:.3f} s after its begin"
            )
        return tokens


def make_configuration(store_address: str) -> t.Any:
    """Return a configuration with the store and its capacity."""
    configuration = platform_fixtures.make_configuration()
    configuration["services"][0]["engine"] = {
        "slots": ENGINE_OPTIONS.slots,
        "kv_capacity": ENGINE_OPTIONS.memory_tokens,
    }
    configuration["services"].append(
        {
            "name": "fitting-cache",
            "kv_store_addr": store_address,
            "zone": "gikondo",
            "kv_capacity": STORE_TOKENS,
        }
    )
    for route in configuration["routes"]:
        route["timeout_ms"] = 12000
    return configuration


async def send_prompt(
    deployment: harness.Deployment, host: harness.Host, number: int
) -> None:
    """Send a prompt of a random session and record the answer."""
    session = random.randrange(SESSIONS)
    size = SESSION_TOKENS + OWN_TOKENS
    try:
        async with deployment.caller.post(
            f"http://{host.ip}:{host.front_port}/resumable/draft",
            headers={
                "Host": platform_fixtures.ROUTE_HOST,
                "Sesamefold-Request-Id": f"r-{number}",
                "Sesamefold-Deadline-Ms": "12000",
                "Sesamefold-Model": OTHER_MODEL,
                "Sesamefold-Token-Usage": f"{size},{OUTPUT_TOKENS}",
                "Sesamefold-Length-Hint": f"{OUTPUT_TOKENS}",
                "Sesamefold-Prompt-Prefix": (
                    f"{0xA00 + session:x}:{SESSION_TOKENS},"
                    f"{number:x}:{OWN_TOKENS}"
                ),
                "Api-Key": platform_fixtures.API_KEY,
            },
            data=b"body",
        ) as response:
            body = await response.read()
            deployment.record.write(
                f"r-{number} of session {session}: {response.status}, "
                f"{body.count(b'data: x')} tokens"
            )
    except Exception as error:
        deployment.record.write(f"r-{number}: {type(error).__name__}: {error}")


async def report_engines(
    deployment: harness.Deployment,
    engines: t.Sequence[platform_engine.PlatformEngine],
    addresses: t.Sequence[str],
) -> None:
    """Write the engines' entries to the store, as each heartbeat does."""
    sequence = 0
    while True:
        sequence += 1
        for engine, address in zip(engines, addresses):
            deployment.store.put(
                f"servers/{engine.id}",
                platform_fixtures.make_server_entry(
                    address,
                    zone="gikondo",
                    slots=ENGINE_OPTIONS.slots,
                    seq=sequence,
                    models=[
                        {"name": name, "version": version, "adapters": []}
                        for name, version in engine.weights.items()
                    ],
                ),
            )
        await asyncio.sleep(1.2)


async def run_scenario(deployment: harness.Deployment) -> bool:
    """Return whether an engine took a part that was freed meanwhile."""
    record, stack = deployment.record, deployment.stack
    random.seed(1)
    context_store = ContextStore(
        capacity_tokens=STORE_TOKENS,
        tokens_per_second=STORE_TOKENS_PER_SECOND,
        record=record,
    )
    store_address = await platform_fixtures.start_server(
        stack, context_store.build_app()
    )
    engines, addresses = [], []
    for number in range(2):
        engine = platform_engine.PlatformEngine(f"i-{number}")
        engine.weights = {RENEWED_MODEL: 1, OTHER_MODEL: 1}
        engine.simulator = engine_simulator.EngineSimulator(ENGINE_OPTIONS)
        engine.context_stores = {store_address: context_store}
        engines.append(engine)
        addresses.append(
            await platform_fixtures.start_server(stack, engine.handle)
        )
        stack.callback(asyncio.create_task(engine.simulator.run()).cancel)
    deployment.store.put("op/config", make_configuration(store_address))
    reporting = asyncio.create_task(
        report_engines(deployment, engines, addresses)
    )
    stack.callback(reporting.cancel)
    hosts = [
        await deployment.start_host(f"entry-{number}", f"127.0.0.{number}")
        for number in (1, 2)
    ]
    for host in hosts:
        await deployment.wait_ready(host)

    began_at = time.monotonic()
    requests: t.List["asyncio.Task[None]"] = []
    named = False
    while (now := time.monotonic() - began_at) < END_SECONDS:
        if harness.TROUBLE and not named and now >= NAMED_AT_SECONDS:
            named = True
            record.write(f"acknowledged: version 2 of {RENEWED_MODEL}")
            deployment.store.put(
                f"op/version/{RENEWED_MODEL}",
                {"model": RENEWED_MODEL, "version": 2},
            )
        number = len(requests)
        requests.append(
            asyncio.create_task(
                send_prompt(deployment, hosts[number % 2], number)
            )
        )
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    await asyncio.gather(*requests)
    for engine in engines:
        versions = {
            run.weight_version
            for run in engine.runs
            if run.headers["Sesamefold-Model"] == OTHER_MODEL
        }
        record.write(
            f"{engine.id}: {len(engine.runs)} runs of {OTHER_MODEL} with "
            f"versions {versions}, weights at the end {engine.weights}"
        )
    record.write(
        f"{context_store.fetches} fetches, of which {len(context_store.damaged)}"
        f" took a part that was freed before they ended"
    )
    if not context_store.fetches:
        raise RuntimeError("nothing was fetched")
    return bool(context_store.damaged)


harness.run(run_scenario, FOLDER)
