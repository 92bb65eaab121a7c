"""Tests of whole systems of real processes under failures."""

import asyncio
import contextlib
import itertools
import random
import signal
import typing as t
import unittest

import aiohttp

from tools import caller
from tools import launcher
from tools import topology

# Time after which an accepted edit must be in force everywhere, seconds.
FORCE_SECONDS = 16.0
# Time after which a data centre or backend server that is taken out must get
# no new work, seconds.
OUT_SECONDS = 5.0


class SystemTest(unittest.IsolatedAsyncioTestCase):
    """Starts a system and sends prompts to it."""

    topology = topology.Topology()

    async def asyncSetUp(self):
        self.random = random.Random(7)
        self.starter = launcher.Launcher()
        await self.starter.__aenter__()
        self.addAsyncCleanup(self.starter.__aexit__, None, None, None)
        self.system = await self.topology.start(self.starter)
        self.hosts = sorted(
            self.system.hosts.values(), key=lambda host: host.name
        )

    def make_prompt(self, tokens=300, max_tokens=24, customer="ada"):
        return topology.make_prompt(self.random, customer, tokens, max_tokens)

    async def send(self, host, prompt, answer=None, on_token=None):
        return await caller.stream_completion(
            self.starter.session,
            host.url,
            topology.make_token(prompt.customer),
            prompt.body,
            caller.Answer() if answer is None else answer,
            on_token,
        )

    async def send_checked(self, host, prompt):
        answer = await self.send(host, prompt)
        prompt.check(answer)
        return answer

    async def call(self, host, key="", method="POST", path="records", body=1):
        return await caller.call_service(
            self.starter.session,
            host.url,
            topology.make_token("ada"),
            method,
            f"registry/{path}",
            body,
            key,
        )

    async def run_command(self, *arguments):
        return await self.starter.run_command(
            *arguments, "--platform", self.system.key_value_url
        )

    async def sum_counter(self, prefix, counter):
        counters = await asyncio.gather(
            *(
                self.system.fetch_counters(child)
                for name, child in self.system.backends.items()
                if name.startswith(prefix) and child.process.returncode is None
            )
        )
        return sum(found.get(counter, 0) for found in counters)

    async def count_executions(self):
        return await self.sum_counter("registry", "executions")


class PlatformOutageTest(SystemTest):
    async def test_key_value_service_down(self):
        """Guards against an outage that stops repeatable work or starts.

        During the outage non-idempotent calls are refused as not run, and a
        new entry host gets its configuration from the others. An edit after
        the outage is in force everywhere in time.
        """
        await self.system.inject_fault(self.system.key_value, outage="silent")
        await self.send_checked(self.hosts[0], self.make_prompt())
        status, body = await self.call(self.hosts[0], topology.make_key())
        self.assertEqual((503, 1303), (status, body["error"]["code"]))
        self.assertEqual("no", body["error"]["executed"])
        self.assertEqual(0, await self.count_executions())
        late = await self.starter.start_entry_host(
            "north-1-entry-3", "north-1", self.system
        )
        await topology.wait_ready(self.system, late)
        await self.send_checked(late, self.make_prompt())
        await self.system.inject_fault(self.system.key_value, outage="")
        code, output = await self.run_command("datacentre", "out", "north-1")
        self.assertEqual(0, code, output)
        for host in (late, *self.hosts[:2]):
            seconds = await topology.wait_ready(self.system, host, False)
            self.assertLess(seconds, FORCE_SECONDS)
        status, body = await self.call(self.hosts[2], topology.make_key())
        self.assertEqual(200, status, body)


class ShutdownTest(SystemTest):
    topology = topology.Topology(engine_options=("--token-seconds=0.05",))

    async def test_graceful_shutdown_cuts_no_stream(self):
        """Guards against streams that end with the process."""
        host = self.hosts[0]
        prompts = [self.make_prompt(max_tokens=40) for _ in range(6)]
        started = asyncio.Event()

        async def note(answer):
            if answer.offset == 3:
                started.set()

        tasks = [
            asyncio.create_task(self.send(host, prompt, on_token=note))
            for prompt in prompts
        ]
        await started.wait()
        host.gateway.send_signal(signal.SIGTERM)
        for prompt, answer in zip(prompts, await asyncio.gather(*tasks)):
            prompt.check(answer)
        self.assertEqual(0, await host.gateway.process.wait())

    async def test_control_killed_during_a_stream(self):
        """Guards against a stream that ends with its host's control."""
        host = self.hosts[0]
        prompt = self.make_prompt(max_tokens=40)

        async def kill_at_five(answer):
            if answer.offset == 5:
                await host.control.kill()

        prompt.check(await self.send(host, prompt, on_token=kill_at_five))

    async def test_killed_processes_during_streams(self):
        """Guards against lost or mixed answers after kills.

        An engine and later a gateway are killed while they serve streams;
        each caller resumes through the next entry host until it has all.
        """
        hosts = self.hosts
        engine = self.system.backends["atlas-north-1-1"]
        prompts = [
            self.make_prompt(max_tokens=40, customer=customer)
            for _, customer in zip(
                range(8), itertools.cycle(self.topology.customers)
            )
        ]
        at_five, at_fifteen = asyncio.Event(), asyncio.Event()

        async def note(answer):
            if answer.offset == 5:
                at_five.set()
            if answer.offset == 15:
                at_fifteen.set()

        async def send_until_finished(index, prompt):
            answer = caller.Answer()
            for host in itertools.islice(itertools.cycle(hosts), index, 40):
                try:
                    await self.send(host, prompt, answer, note)
                except (aiohttp.ClientError, caller.CallError):
                    await asyncio.sleep(0.1)
                if answer.finished:
                    return answer
            self.fail(f"stopped at {answer.offset} tokens")

        tasks = [
            asyncio.create_task(send_until_finished(index % 4, prompt))
            for index, prompt in enumerate(prompts)
        ]
        await at_five.wait()
        await engine.kill()
        await at_fifteen.wait()
        await hosts[1].gateway.kill()
        for prompt, answer in zip(prompts, await asyncio.gather(*tasks)):
            prompt.check(answer)


class AtMostOnceTest(SystemTest):
    async def test_calls_repeated_after_failures(self):
        """Guards against a second execution of a non-idempotent call.

        Each case disturbs the first attempt; the call is then repeated with
        its key through the other hosts of both data centres.
        """
        registry = [
            child
            for name, child in self.system.backends.items()
            if name.startswith("registry")
        ]
        key_value = self.system.key_value
        cases: t.Dict[str, t.Tuple[t.Sequence, t.Mapping[str, t.Any]]] = {
            "no fault": ((), {}),
            "executed, connection lost": (registry, {"drop_after": 1}),
            "connection lost before execution": (registry, {"drop_before": 1}),
            "refused before execution": (registry, {"refuse": 1}),
            "failed after execution": (registry, {"fail": 1}),
            "answers of the journal lost": ([key_value], {"lose_answers": 2}),
        }
        for case, (children, fault) in cases.items():
            with self.subTest(case):
                start = await self.count_executions()
                for child in children:
                    await self.system.inject_fault(child, **fault)
                key = topology.make_key()
                for host in self.hosts:
                    before = await self.count_executions()
                    status, body = await self.call(host, key)
                    after = await self.count_executions()
                    self.assertLessEqual(after - start, 1, body)
                    # A body without an error object is the service's own.
                    error = body["error"] if "error" in body else None
                    if isinstance(error, dict) and error["executed"] == "no":
                        self.assertEqual(start, before, body)
                        self.assertEqual(before, after, body)
                for child in children:
                    await self.system.inject_fault(
                        child, **{name: 0 for name in fault}
                    )

    async def test_gateway_and_control_killed_during_a_call(self):
        """Guards against a second execution after a host is lost."""
        for child in (
            self.system.backends["registry-north-1-1"],
            self.system.backends["registry-south-1-1"],
        ):
            await self.system.inject_fault(child, late=1.0)
        first = self.hosts[0]
        key = topology.make_key()
        call = asyncio.create_task(self.call(first, key))

        async def has_run():
            return await self.count_executions() > 0

        await launcher.wait_until(has_run, "execution")
        await first.gateway.kill()
        await first.control.kill()
        with self.assertRaises(aiohttp.ClientError):
            await call
        for host in self.hosts[1:]:
            status, body = await self.call(host, key)
            self.assertEqual("unknown", body["error"]["executed"], body)
        self.assertEqual(1, await self.count_executions())


class ColdStartTest(SystemTest):
    topology = topology.Topology(
        data_centres={"north-1": "north"},
        entry_hosts=4,
        engines=3,
        services=0,
        engine_options=(
            "--warm-up=3.0",
            "--token-seconds=0.01",
            "--load-lag=0.3",
        ),
    )

    async def test_engines_restart_under_load(self):
        """Guards against hosts that together overload a cold engine."""
        engines = list(self.system.backends.values())
        stop = asyncio.Event()
        answers = []

        async def send_prompts(host, customer):
            while not stop.is_set():
                prompt = self.make_prompt(100, customer=customer)
                try:
                    await self.send_checked(host, prompt)
                    answers.append(prompt)
                except caller.CallError as error:
                    self.assertTrue(error.error["retryable"], error)
                    await asyncio.sleep(0.05)

        tasks = [
            asyncio.create_task(send_prompts(host, customer))
            for host in self.hosts
            for customer in self.topology.customers
        ]
        await asyncio.sleep(2.0)
        for engine in engines:
            # The crash resets the connection that asks for it as well.
            with contextlib.suppress(aiohttp.ClientError):
                await self.system.inject_fault(engine, crash=True)
            await asyncio.sleep(2.0)
        await asyncio.sleep(2.0)
        stop.set()
        await asyncio.gather(*tasks)
        self.assertEqual(0, await self.sum_counter("atlas", "cold_crashes"))
        self.assertGreater(len(answers), 20)


class OperatorRaceTest(SystemTest):
    topology = topology.Topology(engines=1, services=1)

    async def test_race_and_weight_version(self):
        """Guards against a lost edit and against answers of mixed versions.

        Two operators edit at once; then a new weight version is rolled out
        while prompts run, and each answer must be of one version.
        """
        results = await asyncio.gather(
            *(
                self.run_command("datacentre", "out", name)
                for name in ("north-1", "south-1")
            )
        )
        codes = sorted(code for code, _ in results)
        _, history = await self.run_command("history", "--json")
        accepted = sum(code == 0 for code in codes)
        self.assertGreaterEqual(accepted, 1, results)
        self.assertEqual(1 + accepted, history.count('"edit_id"'), history)
        stores = topology.list_stores(self.system)
        await self.system.apply(self.topology.write_text(stores))
        for host in self.hosts:
            await topology.wait_ready(self.system, host)
        await self.system.apply(self.topology.write_text(stores, "v2"))
        seen = set()
        loop = asyncio.get_running_loop()
        end = loop.time() + FORCE_SECONDS
        while loop.time() < end and seen != {"v2"}:
            seen = {
                await self.find_version(host, self.make_prompt())
                for host in self.hosts
            }
        self.assertEqual({"v2"}, seen)

    async def find_version(self, host, prompt):
        answer = await self.send(host, prompt)
        for version in ("v1", "v2"):
            try:
                prompt.check(answer, version)
            except topology.WrongAnswer:
                continue
            return version
        return self.fail("an answer of neither version")


class FrozenControlTest(SystemTest):
    async def test_data_centre_out_while_a_control_is_frozen(self):
        """Guards against a gateway that never learns of an edit.

        Its own control is paused, so the gateway has to follow another one.
        """
        frozen = self.hosts[0]
        frozen.control.send_signal(signal.SIGSTOP)
        try:
            code, output = await self.run_command(
                "datacentre", "out", "north-1"
            )
            self.assertEqual(0, code, output)
            await asyncio.sleep(OUT_SECONDS)
            before = await self.sum_counter("atlas-north-1", "runs")
            for _ in range(4):
                await self.send_checked(frozen, self.make_prompt())
            after = await self.sum_counter("atlas-north-1", "runs")
            self.assertEqual(before, after)
        finally:
            frozen.control.send_signal(signal.SIGCONT)


class LeavingServerTest(SystemTest):
    topology = topology.Topology(
        data_centres={"north-1": "north"}, engines=3, services=0
    )

    async def test_server_listed_as_leaving(self):
        """Guards against new work for a leaving server."""
        await topology.list_backend(
            self.system, "atlas-north-1-1", state="leaving"
        )
        await asyncio.sleep(OUT_SECONDS)
        before = await self.sum_counter("atlas-north-1-1", "runs")
        for index in range(12):
            await self.send_checked(self.hosts[index % 2], self.make_prompt())
        after = await self.sum_counter("atlas-north-1-1", "runs")
        self.assertEqual(before, after)


class CrashingRequestTest(SystemTest):
    topology = topology.Topology(
        data_centres={"north-1": "north"}, engines=3, services=0
    )

    async def test_request_that_crashes_its_servers(self):
        """Guards against the loss of all servers to one request.

        Its caller sends it again through each gateway in turn. Another
        customer's prompts beside it are answered, and not refused for the
        crashes. A host that starts later knows the verdict.
        """
        for engine in self.system.backends.values():
            await self.system.inject_fault(engine, crash_words=["poison"])
        prompt = topology.Prompt("ada", "poison " * 50)
        stop = asyncio.Event()
        answered = []

        async def send_others(host):
            while not stop.is_set():
                other = self.make_prompt(100, 8, customer="bela")
                await self.send_checked(host, other)
                answered.append(host.name)
                await asyncio.sleep(0.05)

        others = [
            asyncio.create_task(send_others(host)) for host in self.hosts
        ]
        codes = []
        for index in range(6):
            try:
                await self.send(self.hosts[index % 2], prompt)
            except caller.CallError as error:
                codes.append(error.error["code"])
            except aiohttp.ClientError as error:
                codes.append(repr(error))
            await asyncio.sleep(0.5)
        stop.set()
        await asyncio.gather(*others)
        crashes = await self.sum_counter("atlas", "crashes_by_word")
        self.assertLessEqual(crashes, 2, codes)
        self.assertEqual(1209, codes[-1], codes)
        self.assertEqual(2, len(set(answered)))
        late = await self.starter.start_entry_host(
            "north-1-entry-3", "north-1", self.system
        )
        await topology.wait_ready(self.system, late)
        with self.assertRaises(caller.CallError) as caught:
            await self.send(late, prompt)
        self.assertEqual(1209, caught.exception.error["code"])
        crashes = await self.sum_counter("atlas", "crashes_by_word")
        self.assertLessEqual(crashes, 2)


class CrashingPartTest(SystemTest):
    topology = topology.Topology(
        data_centres={"north-1": "north"}, engines=5, services=0
    )

    def make_parts_prompt(self, *words, customer="ada"):
        """Return a prompt with a block of each word and an own end."""
        block = topology.BLOCK_TOKENS
        own = " ".join(f"w{self.random.random()}" for _ in range(20))
        text = "".join(f"{word} " * block for word in words) + own
        return topology.Prompt(customer, text, 8)

    async def test_part_that_crashes_its_servers(self):
        """Guards against one server after the other that a part crashes.

        No two requests with it are alike. Requests that share their customer
        and all other parts are answered.
        """
        for engine in self.system.backends.values():
            await self.system.inject_fault(engine, crash_words=["poison"])
        stop = asyncio.Event()
        failed = []
        answered = 0

        async def send_sound(host):
            nonlocal answered
            while not stop.is_set():
                prompt = self.make_parts_prompt("first", "second")
                try:
                    await self.send_checked(host, prompt)
                    answered += 1
                except (caller.CallError, aiohttp.ClientError) as error:
                    failed.append(repr(error))
                await asyncio.sleep(0.05)

        sound = [asyncio.create_task(send_sound(host)) for host in self.hosts]
        codes = []
        for index in range(16):
            prompt = self.make_parts_prompt("first", "poison", "second")
            try:
                await self.send(self.hosts[index % 2], prompt)
            except caller.CallError as error:
                codes.append(error.error["code"])
            except aiohttp.ClientError as error:
                codes.append(repr(error))
            await asyncio.sleep(0.5)
        failed_before = len(failed)
        await asyncio.sleep(2.0)
        stop.set()
        await asyncio.gather(*sound)
        crashes = await self.sum_counter("atlas", "crashes_by_word")
        self.assertLessEqual(crashes, 8, codes)
        self.assertEqual([1209] * 4, codes[-4:], codes)
        self.assertGreater(answered, 20)
        self.assertEqual(failed_before, len(failed), failed)


class CrashAfterStartTest(CrashingRequestTest):
    """The same before the hosts know each other from the host list."""

    topology = topology.Topology(
        data_centres={"north-1": "north"},
        engines=3,
        services=0,
        host_list_lag=1.0,
    )
