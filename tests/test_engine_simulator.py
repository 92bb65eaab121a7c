"""The model of an engine's memory, and of managed stores."""

import asyncio
import random
import time
import unittest

import attrs

from standins import engine_simulator
from standins import platform_context_store

ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=4, queue_limit=8, memory_tokens=4000, step_seconds=0.0005
)


def make_prompt(
    *parts: tuple[str, int], own: int = 64, output: int = 8, priority: int = 5
) -> engine_simulator.Prompt:
    """Return a prompt of a model."""
    return engine_simulator.Prompt("m", "1/", parts, own, output, priority)


class MemoryCase(unittest.IsolatedAsyncioTestCase):
    """An engine at work."""

    async def asyncSetUp(self) -> None:
        """Start the engine."""
        self.engine = engine_simulator.EngineSimulator(ENGINE_OPTIONS)
        working = asyncio.create_task(self.engine.run())
        self.addCleanup(working.cancel)

    async def finish(
        self, request: engine_simulator.SimulatedRequest
    ) -> list[int]:
        """Return the tokens of a request."""
        tokens = []
        async with asyncio.timeout(5.0):
            while (number := await request.token_queue.get()) > 0:
                tokens.append(number)
        return tokens


class EngineTest(MemoryCase):
    """Batches, blocks, parts and lives."""

    async def test_a_cached_part_is_read_once(self) -> None:
        prompt = make_prompt(("a", 500))
        for _ in range(2):
            tokens = await self.finish(self.engine.submit(prompt))
            self.assertEqual(list(range(1, 9)), tokens)
        self.assertEqual(500 + 2 * 64, self.engine.counters["read"])
        self.assertEqual(500, self.engine.counters["found"])

    async def test_a_part_counts_only_after_those_before_it(self) -> None:
        await self.finish(self.engine.submit(make_prompt(("b", 100))))
        prompt = make_prompt(("a", 100), ("b", 100))
        await self.finish(self.engine.submit(prompt))
        self.assertEqual(0, self.engine.counters["found"])

    async def test_the_least_recently_used_part_yields(self) -> None:
        for part in ("a", "b", "a", "c"):
            await self.finish(self.engine.submit(make_prompt((part, 1700))))
        self.assertEqual(
            ["a", "c"], [part for _, part, _ in self.engine.cached]
        )
        rows = self.engine.events.encode_since(0)["events"]
        self.assertIn(["-", "1/", "b"], [row[1:4] for row in rows])

    async def test_runs_keep_within_the_memory(self) -> None:
        """Runs that grow put back the newest of the least urgent."""
        prompts = [
            make_prompt((f"p{n}", 900), output=400, priority=n % 2)
            for n in range(4)
        ]
        requests = [self.engine.submit(prompt) for prompt in prompts]
        waiting = asyncio.gather(
            *(self.finish(request) for request in requests)
        )
        while not waiting.done():
            self.assertLessEqual(
                self.engine.count_used_tokens(), ENGINE_OPTIONS.memory_tokens
            )
            await asyncio.sleep(0.001)
        for tokens in waiting.result():
            self.assertEqual(list(range(1, 401)), tokens)
        self.assertGreater(self.engine.counters["preemptions"], 0)
        self.assertEqual([0, 0], [requests[n].preemptions for n in (0, 2)])

    async def test_a_full_engine_refuses(self) -> None:
        with self.assertRaises(engine_simulator.AdmissionError):
            self.engine.submit(make_prompt(("a", 4100)))
        for _ in range(8):
            self.engine.submit(make_prompt())
        with self.assertRaises(engine_simulator.AdmissionError):
            self.engine.submit(make_prompt())

    async def test_random_requests_end_or_are_refused(self) -> None:
        for seed in range(5):
            generator = random.Random(seed)
            requests = []
            for _ in range(40):
                part = (f"p{generator.randrange(6)}", 600)
                prompt = make_prompt(
                    part,
                    own=generator.randrange(1, 300),
                    output=generator.randrange(1, 60),
                    priority=generator.randrange(3),
                )
                try:
                    request = self.engine.submit(prompt)
                except engine_simulator.AdmissionError:
                    await asyncio.sleep(0.005)
                    continue
                requests.append((prompt.output_tokens, request))
                if generator.random() < 0.2:
                    self.engine.remove(request)
                    requests.pop()
            for output, request in requests:
                found = await self.finish(request)
                self.assertEqual(output, len(found), f"seed {seed}")
            self.assertEqual(
                0, self.engine.count_used_tokens(), f"seed {seed}"
            )

    async def test_a_cold_engine_crashes_above_its_rate(self) -> None:
        options = engine_simulator.EngineOptions(
            cold_seconds=5.0, cold_requests_per_second=3.0
        )
        engine = engine_simulator.EngineSimulator(options)
        first = engine.submit(make_prompt())
        for _ in range(5):
            engine.submit(make_prompt())
        boot_epoch = engine.boot_epoch
        with self.assertRaises(ConnectionResetError):
            engine.submit(make_prompt())
        self.assertNotEqual(boot_epoch, engine.boot_epoch)
        self.assertEqual(-1, first.token_queue.get_nowait())

    async def test_new_weights_drop_the_context(self) -> None:
        await self.finish(self.engine.submit(make_prompt(("a", 100))))
        loading = asyncio.create_task(self.engine.load_weights("m", 2))
        await asyncio.sleep(0.01)
        with self.assertRaises(engine_simulator.AdmissionError):
            self.engine.submit(make_prompt())
        await loading
        self.assertEqual({"m": 2}, self.engine.weights)
        self.assertFalse(self.engine.cached)

    async def test_context_of_another_origin_is_seen(self) -> None:
        await self.finish(self.engine.submit(make_prompt(("a", 100))))
        prompt = attrs.evolve(make_prompt(("a", 100)), origin="2/")
        await self.finish(self.engine.submit(prompt))
        self.assertEqual(1, self.engine.counters["foreign"])

    async def test_a_run_goes_on_under_new_weights(self) -> None:
        request = self.engine.submit(make_prompt(("a", 100), output=600))
        await asyncio.sleep(0.05)
        await self.engine.load_weights("m", 2)
        self.assertEqual(list(range(1, 601)), await self.finish(request))
        self.assertFalse(self.engine.cached)
        self.assertEqual(0, self.engine.count_used_tokens())

    async def test_lost_events_are_told(self) -> None:
        await self.finish(self.engine.submit(make_prompt(("a", 100))))
        self.assertFalse(self.engine.events.encode_since(0)["lost"])
        self.engine.events.discard()
        self.assertTrue(self.engine.events.encode_since(0)["lost"])
        self.assertFalse(self.engine.events.encode_since(1)["lost"])


class ContextStoreTest(unittest.IsolatedAsyncioTestCase):
    """Space, transfers and lives of a store."""

    KEY = ("1/", "a", "m")

    async def test_space_is_reserved_at_once(self) -> None:
        store = platform_context_store.ContextStore(
            1000, tokens_per_second=10_000
        )
        saving = asyncio.create_task(store.save(self.KEY, 600))
        await asyncio.sleep(0.01)
        self.assertEqual({self.KEY: 600}, store.partial_tokens)
        self.assertFalse(await store.save(("1/", "b", "m"), 600))
        self.assertTrue(await saving)
        self.assertEqual(600, await store.fetch(self.KEY, time.time() + 1))

    async def test_a_late_fetch_is_discarded(self) -> None:
        store = platform_context_store.ContextStore(tokens_per_second=10_000)
        await store.save(self.KEY, 500)
        self.assertEqual(0, await store.fetch(self.KEY, time.time() + 0.01))

    async def test_a_read_of_freed_space_is_seen(self) -> None:
        store = platform_context_store.ContextStore(tokens_per_second=10_000)
        await store.save(self.KEY, 500)
        reading = asyncio.create_task(store.fetch(self.KEY, time.time() + 1))
        await asyncio.sleep(0.01)
        store.free([("1/", "a")])
        await reading
        self.assertEqual(1, store.reads_of_freed_parts)

    async def test_a_restart_loses_what_is_written(self) -> None:
        store = platform_context_store.ContextStore(tokens_per_second=10_000)
        saving = asyncio.create_task(store.save(self.KEY, 500))
        await asyncio.sleep(0.01)
        store.restart()
        self.assertFalse(await saving)
        self.assertFalse(store.stored_tokens)
