"""Demonstration: two data centres on loopback, checked from end to end."""

import asyncio
import random
import signal
import sys
import time
import typing as t

import aiohttp
import attrs

from tools import caller
from tools import launcher
from tools import topology

SEED = 20
PROMPT_TOKENS = 4040
# No new work may reach a data centre this long after it was taken out,
# seconds.
OUT_SECONDS = 5.0
COLUMNS = "{:<20} {:<8} {:<10} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {}".format
# Engines hold one prompt and a bit, so that most returning prompts find
# their blocks evicted.
TOPOLOGY = topology.Topology(
    engine_options=(
        "--memory-blocks=5",
        "--warm-up=1.0",
        "--prefill-seconds=0.00005",
        "--token-seconds=0.005",
    )
)


class DemoFailure(Exception):
    """Something that the demonstration checks did not hold."""


@attrs.define
class Demo:
    """The steps of the demonstration."""

    system: launcher.System
    generator: random.Random
    recomputed: t.Dict[str, t.Tuple[int, int]] = attrs.field(factory=dict)

    async def send(
        self, prompt: topology.Prompt, host: launcher.EntryHost, label: str
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
            topology.make_token(prompt.customer),
            prompt.body,
            caller.Answer(),
            note_first,
        )
        prompt.check(answer)
        report = answer.report
        print(
            COLUMNS(
                f"{label} {prompt.customer}",
                report["data_centre"],
                report["backend"].removeprefix("atlas-"),
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
        prompts: t.Sequence[topology.Prompt],
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

    async def move_data_centre(
        self, prompts: t.Sequence[topology.Prompt]
    ) -> None:
        """Take a data centre out, check that it idles, and bring it back."""
        out = [
            host
            for host in self.system.hosts.values()
            if host.data_centre == "south-1"
        ]
        start = time.monotonic()
        await self.run_command("datacentre", "out", "south-1")
        await asyncio.gather(
            *(topology.wait_ready(self.system, host, False) for host in out)
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
        await asyncio.gather(
            *(topology.wait_ready(self.system, host) for host in out)
        )
        await self.send_round("south back", prompts[:2], out)

    async def record_once(self) -> None:
        """Send a non-idempotent call twice and count its executions."""
        key = topology.make_key()
        results = [
            await caller.call_service(
                self.system.launcher.session,
                host.url,
                topology.make_token("ada"),
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

    async def resume_stream(self, prompt: topology.Prompt) -> None:
        """Kill the gateway of a stream and finish it through another."""
        first, second = self.hosts[0], self.hosts[-1]
        answer = caller.Answer()

        async def kill_at_five(answer: caller.Answer) -> None:
            if answer.offset == 5:
                await first.gateway.kill()

        arguments = (
            topology.make_token(prompt.customer),
            prompt.body,
            answer,
        )
        session = self.system.launcher.session
        try:
            await caller.stream_completion(
                session, first.url, *arguments, kill_at_five
            )
        except aiohttp.ClientError:
            pass
        received = answer.offset
        await caller.stream_completion(session, second.url, *arguments)
        prompt.check(answer)
        print(
            f"gateway {first.name} killed after {received} tokens; "
            f"finished through {second.name}: {len(answer.tokens)} tokens, ok"
        )

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
        prompts = [
            topology.make_prompt(self.generator, customer, PROMPT_TOKENS)
            for _ in range(2)
            for customer in TOPOLOGY.customers
        ]
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
        system = await TOPOLOGY.start(starter)
        print(
            f"{len(starter.children)} processes listening after "
            f"{time.monotonic() - start:.1f} s"
        )
        await Demo(system, random.Random(SEED)).run()
    print(f"all checks held, {time.monotonic() - start:.1f} s")


def main() -> int:
    """Run the demonstration; return the exit code."""
    try:
        asyncio.run(demonstrate())
    except (
        DemoFailure,
        topology.WrongAnswer,
        caller.CallError,
        TimeoutError,
        RuntimeError,
    ) as error:
        print(f"failed: {error}", file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        print("interrupted", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
