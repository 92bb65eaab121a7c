"""Demonstration: two data centres on loopback, checked from end to end."""

import asyncio
import random
import signal
import sys
import time
import typing as t
import uuid

import attrs
import yaml

from sesamefold import blocks
from standins import engine
from tools import caller
from tools import launcher

SEED = 20
MODEL = "atlas-7b"
VERSION = "v1"
DATA_CENTRES = {"north-1": "north", "south-1": "south"}
CUSTOMERS = ("ada", "bela", "cyril")
PROMPT_BLOCKS = 4
BLOCK_TOKENS = 1000
# Blocks that an engine holds: one prompt, so that most returning prompts find
# their blocks evicted.
ENGINE_BLOCKS = 5
MAX_TOKENS = 24
# No new work may reach a data centre this long after it was taken out.
OUT_SECONDS = 5.0
COLUMNS = "{:<24} {:<8} {:<10} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {}".format


class DemoFailure(Exception):
    """Something that the demonstration checks did not hold."""


@attrs.define
class Prompt:
    """A customer's prompt with its answer checked by the stand-in's rule."""

    customer: str
    text: str

    def check(self, answer: caller.Answer) -> None:
        """Raise DemoFailure unless the answer is whole and right."""
        salt = blocks.derive_salt(self.customer)
        expected = [
            engine.compute_token(salt, MODEL, VERSION, self.text, position)
            for position in range(1, MAX_TOKENS + 1)
        ]
        if answer.tokens != expected:
            raise DemoFailure(
                f"request {answer.request}: wrong answer, "
                f"{len(answer.tokens)} of {MAX_TOKENS} tokens"
            )


def make_token(customer: str) -> str:
    """Return the bearer token of a customer."""
    return f"token-of-{customer}"


def make_prompts(generator: random.Random) -> t.List[Prompt]:
    """Return two prompts for each customer."""
    return [
        Prompt(
            customer,
            " ".join(
                f"w{generator.randrange(50_000)}"
                for _ in range(PROMPT_BLOCKS * BLOCK_TOKENS + 40)
            ),
        )
        for _ in range(2)
        for customer in CUSTOMERS
    ]


def write_text(stores: t.Mapping[str, str]) -> str:
    """Return the operator's text; `stores` maps a region to an address."""
    groups = {
        f"atlas-{name}": {
            "data_centre": name,
            "kind": "engine",
            "model": MODEL,
            "checks_fencing": name == "north-1",
            "cold_limit": 2,
            "warm_limit": 16,
        }
        for name in DATA_CENTRES
    } | {
        f"registry-{name}": {
            "data_centre": name,
            "kind": "service",
            "service": "registry",
        }
        for name in DATA_CENTRES
    }
    return yaml.safe_dump(
        {
            "regions": {region: {} for region in DATA_CENTRES.values()},
            "data_centres": {
                name: {"region": region, "in": True}
                for name, region in DATA_CENTRES.items()
            },
            "models": {
                MODEL: {"version": VERSION, "block_tokens": BLOCK_TOKENS}
            },
            "groups": groups,
            "stores": {
                f"store-{region}": {"region": region, "address": address}
                for region, address in stores.items()
            },
            "services": {
                "draft": {"kind": "model", "model": MODEL},
                "registry": {
                    "kind": "plain",
                    "repeatable": ["GET *", "POST /lookup"],
                },
            },
            "customers": {
                name: {
                    "token_sha256": launcher.hash_token(make_token(name)),
                    "share": 10,
                }
                for name in CUSTOMERS
            },
        },
        sort_keys=False,
    )


async def start_system(starter: launcher.Launcher) -> launcher.System:
    """Start stand-ins and entry hosts; return when all gateways are ready."""
    key_value, host_list, *stores = await asyncio.gather(
        starter.start_standin("keyvalue"),
        starter.start_standin("hostlist", "--lag=0.2"),
        *(starter.start_standin("store") for _ in DATA_CENTRES),
    )
    system = launcher.System(
        starter,
        key_value,
        host_list,
        dict(zip(DATA_CENTRES.values(), stores, strict=True)),
    )
    await asyncio.gather(
        *(
            start_backend(system, kind, name, number)
            for name in DATA_CENTRES
            for kind, number in (("atlas", 1), ("atlas", 2), ("registry", 1))
        )
    )
    await system.apply(
        write_text(
            {
                region: store.ready["address"]
                for region, store in system.stores.items()
            }
        )
    )
    await asyncio.gather(
        *(
            starter.start_entry_host(f"{name}-entry-{number}", name, system)
            for name in DATA_CENTRES
            for number in (1, 2)
        )
    )
    await asyncio.gather(
        *(wait_ready(system, host) for host in system.hosts.values())
    )
    return system


async def start_backend(
    system: launcher.System, kind: str, data_centre: str, number: int
) -> None:
    """Start an engine or a plain service and put it into the host list."""
    name = f"{kind}-{data_centre}-{number}"
    if kind == "atlas":
        child = await system.launcher.start_standin(
            "engine",
            f"--model={MODEL}",
            f"--versions={VERSION}",
            f"--memory-blocks={ENGINE_BLOCKS}",
            "--warm-up=1.0",
            "--prefill-seconds=0.00005",
            "--token-seconds=0.005",
        )
    else:
        child = await system.launcher.start_standin("service")
    system.backends[name] = child
    await system.list_host(
        name,
        kind="backend",
        data_centre=data_centre,
        address=child.ready["address"],
        group=f"{kind}-{data_centre}",
    )


async def wait_ready(
    system: launcher.System, host: launcher.EntryHost, ready: bool = True
) -> float:
    """Wait until a gateway is ready, or is not; return the seconds."""

    async def has_state() -> bool:
        async with system.launcher.session.get(
            f"{host.url}/readyz"
        ) as response:
            return (response.status == 200) == ready

    state = "ready" if ready else "not ready"
    return await launcher.wait_until(has_state, f"{host.name} {state}")


@attrs.define
class Demo:
    """The steps of the demonstration."""

    system: launcher.System
    generator: random.Random
    recomputed: t.Dict[str, t.Tuple[int, int]] = attrs.field(factory=dict)

    async def send(
        self, prompt: Prompt, host: launcher.EntryHost, label: str
    ) -> caller.Answer:
        """Send a prompt, check its answer and print where it was served."""
        start = time.monotonic()
        first: t.List[float] = []

        async def note_first(_: caller.Answer) -> None:
            if not first:
                first.append(time.monotonic() - start)

        answer = await caller.stream_completion(
            self.system.launcher.session,
            host.url,
            make_token(prompt.customer),
            {"model": MODEL, "prompt": prompt.text, "max_tokens": MAX_TOKENS},
            caller.Answer(),
            note_first,
        )
        prompt.check(answer)
        report = answer.report
        print(
            COLUMNS(
                f"{label} {prompt.customer}",
                report["data_centre"],
                self.names[report["backend"]],
                report["prompt_tokens"],
                report["cached_tokens"],
                report["imported_memory_tokens"],
                report["imported_disk_tokens"],
                report["recomputed_tokens"],
                f"{first[0] * 1000:.0f}",
                "ok",
            )
        )
        return answer

    async def send_round(
        self,
        label: str,
        prompts: t.Sequence[Prompt],
        hosts: t.Sequence[launcher.EntryHost],
    ) -> None:
        """Send each prompt through the next host and sum the recomputation."""
        answers = [
            await self.send(prompt, hosts[index % len(hosts)], label)
            for index, prompt in enumerate(prompts)
        ]
        self.recomputed[label] = (
            sum(answer.report["recomputed_tokens"] for answer in answers),
            sum(answer.report["prompt_tokens"] for answer in answers),
        )

    async def move_data_centre(self, prompts: t.Sequence[Prompt]) -> None:
        """Take a data centre out, check that it idles, and bring it back."""
        out = [
            host
            for host in self.system.hosts.values()
            if host.data_centre == "south-1"
        ]
        start = time.monotonic()
        await self.run_command("datacentre", "out", "south-1")
        await asyncio.gather(
            *(wait_ready(self.system, host, False) for host in out)
        )
        seconds = time.monotonic() - start
        print(f"south-1 out: in force at its gateways after {seconds:.1f} s")
        if seconds > OUT_SECONDS:
            raise DemoFailure(f"out only after {seconds:.1f} s")
        before = await self.count_runs("south-1")
        await self.send_round("south out", prompts, list(self.hosts))
        if await self.count_runs("south-1") != before:
            raise DemoFailure("south-1 got new work while it was out")
        print("south-1 got no new work; its gateways forwarded to north-1")
        await self.run_command("datacentre", "in", "south-1")
        await asyncio.gather(*(wait_ready(self.system, host) for host in out))
        await self.send_round("south back", prompts[:2], out)

    async def record_once(self) -> None:
        """Send a non-idempotent call twice and count its executions."""
        key = make_key()
        results = [
            await caller.call_service(
                self.system.launcher.session,
                host.url,
                make_token("ada"),
                "POST",
                "registry/records",
                {"record": 1},
                key,
            )
            for host in self.hosts[1:3]
        ]
        counters = await asyncio.gather(
            *(
                self.system.fetch_counters(child)
                for name, child in self.system.backends.items()
                if name.startswith("registry")
            )
        )
        total = sum(counter.get("executions", 0) for counter in counters)
        print(f"call repeated through another host: {total} execution(s)")
        if total != 1 or results[0] != results[1]:
            raise DemoFailure(f"{total} executions, answers {results}")

    async def resume_stream(self, prompt: Prompt) -> None:
        """Kill the gateway of a stream and finish it through another."""
        first, second = self.hosts[0], self.hosts[-1]
        answer = caller.Answer()

        async def kill_at_five(answer: caller.Answer) -> None:
            if answer.offset == 5:
                await first.gateway.kill()

        body = {
            "model": MODEL,
            "prompt": prompt.text,
            "max_tokens": MAX_TOKENS,
        }
        arguments = (make_token(prompt.customer), body, answer)
        session = self.system.launcher.session
        try:
            await caller.stream_completion(
                session, first.url, *arguments, kill_at_five
            )
        except caller.aiohttp.ClientError:
            pass
        received = answer.offset
        await caller.stream_completion(session, second.url, *arguments)
        prompt.check(answer)
        print(
            f"gateway {first.name} killed after {received} tokens; "
            f"finished through {second.name}: {len(answer.tokens)} tokens, ok"
        )

    @property
    def names(self) -> t.Dict[str, str]:
        """Return the names of engines by address."""
        return {
            child.ready["address"]: name.removeprefix("atlas-")
            for name, child in self.system.backends.items()
        }

    @property
    def hosts(self) -> t.List[launcher.EntryHost]:
        """Return the entry hosts, one of each data centre in turn."""
        return sorted(
            self.system.hosts.values(), key=lambda host: host.name[::-1]
        )

    async def count_runs(self, data_centre: str) -> int:
        """Return the runs that the engines of a data centre have started."""
        counters = await asyncio.gather(
            *(
                self.system.fetch_counters(child)
                for name, child in self.system.backends.items()
                if name.startswith(f"atlas-{data_centre}")
            )
        )
        return sum(counter.get("runs", 0) for counter in counters)

    async def run_command(self, *arguments: str) -> None:
        """Run a command against the platform; raise on an error."""
        code, output = await self.system.launcher.run_command(
            *arguments, "--platform", self.system.key_value_url
        )
        if code:
            raise DemoFailure(f"{arguments} ended with {code}: {output}")

    async def run(self) -> None:
        """Run all steps."""
        prompts = make_prompts(self.generator)
        print(
            COLUMNS(
                "round, customer",
                "centre",
                "engine",
                "tokens",
                "cached",
                "memory",
                "disk",
                "recomp",
                "ttft ms",
                "answer",
            )
        )
        await self.send_round("first", prompts, self.hosts)
        await asyncio.sleep(1.0)  # exports to the stores run after the answer
        await self.send_round("returning", prompts, self.hosts)
        recomputed, asked = self.recomputed["returning"]
        print(f"returning: {recomputed} of {asked} tokens recomputed")
        if recomputed * 2 > asked:
            raise DemoFailure("more than half was recomputed")
        await self.move_data_centre(prompts[:4])
        await self.record_once()
        await self.resume_stream(prompts[0])


async def demonstrate() -> None:
    """Start the system, run the demonstration and end every process."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    start = time.monotonic()
    async with launcher.Launcher() as starter:
        system = await start_system(starter)
        print(
            f"{len(starter.children)} processes listening after "
            f"{time.monotonic() - start:.1f} s"
        )
        await Demo(system, random.Random(SEED)).run()
    print(f"all checks held, {time.monotonic() - start:.1f} s")


def make_key() -> str:
    """Return a UUIDv7 of now."""
    milliseconds = int(time.time() * 1000)
    value = (milliseconds << 80) | (0x7 << 76) | (0b10 << 62)
    noise = uuid.uuid4().int & ~(0xF << 76) & ~(0b11 << 62)
    return str(uuid.UUID(int=value | (noise & ((1 << 80) - 1))))


def main() -> int:
    """Run the demonstration; return the exit code."""
    try:
        asyncio.run(demonstrate())
    except (
        DemoFailure,
        caller.CallError,
        TimeoutError,
        RuntimeError,
    ) as error:
        print(f"failed: {error}", file=sys.stderr)
        return 1
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("interrupted", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
