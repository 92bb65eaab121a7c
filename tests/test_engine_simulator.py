"""Tests of the engine simulator and of the stand-in of context stores."""

import asyncio
import random
import time
import unittest

import aiohttp
from aiohttp import test_utils
import attrs

from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import stores
from standins import engine_simulator
from standins import platform_context_store

ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=4, queue_limit=8, memory_tokens=4000, step_seconds=0.0005
)


def make_prompt(
    *parts: tuple[str, int],
    own_tokens: int = 64,
    output_tokens: int = 8,
    priority: int = 5,
) -> engine_simulator.Prompt:
    """Return a prompt for model "m" and cache salt "1/"."""
    return engine_simulator.Prompt(
        "m", "1/", parts, own_tokens, output_tokens, priority
    )


class SimulatorCase(unittest.IsolatedAsyncioTestCase):
    """A simulator that processes batches."""

    async def asyncSetUp(self) -> None:
        """Start the simulator."""
        self.engine = engine_simulator.EngineSimulator(ENGINE_OPTIONS)
        simulation = asyncio.create_task(self.engine.run())
        self.addCleanup(simulation.cancel)

    async def collect_tokens(
        self, request: engine_simulator.SimulatedRequest
    ) -> list[int]:
        """Return the token numbers of a request until it ends."""
        tokens = []
        async with asyncio.timeout(5.0):
            while (number := await request.token_queue.get()) > 0:
                tokens.append(number)
        return tokens


class EngineSimulatorTest(SimulatorCase):
    """Batches, memory, cached parts and boot epochs."""

    async def test_cached_part_is_prefilled_once(self) -> None:
        prompt = make_prompt(("a", 500))
        for _ in range(2):
            tokens = await self.collect_tokens(self.engine.submit(prompt))
            self.assertEqual(list(range(1, 9)), tokens)
        self.assertEqual(500 + 2 * 64, self.engine.counters["read"])
        self.assertEqual(500, self.engine.counters["found"])

    async def test_part_without_its_prefix_is_not_a_cache_hit(self) -> None:
        await self.collect_tokens(self.engine.submit(make_prompt(("b", 100))))
        prompt = make_prompt(("a", 100), ("b", 100))
        await self.collect_tokens(self.engine.submit(prompt))
        self.assertEqual(0, self.engine.counters["found"])

    async def test_least_recently_used_part_is_evicted(self) -> None:
        for part in ("a", "b", "a", "c"):
            await self.collect_tokens(
                self.engine.submit(make_prompt((part, 1700)))
            )
        self.assertEqual(
            ["a", "c"], [part for _, part, _ in self.engine.cached]
        )
        rows = self.engine.events.encode_since(0)["events"]
        self.assertIn(["-", "1/", "b"], [row[1:4] for row in rows])

    async def test_memory_limit_preempts_least_urgent_requests(self) -> None:
        """Growing requests preempt the newest of the least urgent."""
        prompts = [
            make_prompt((f"p{n}", 900), output_tokens=400, priority=n % 2)
            for n in range(4)
        ]
        requests = [self.engine.submit(prompt) for prompt in prompts]
        waiting = asyncio.gather(
            *(self.collect_tokens(request) for request in requests)
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

    async def test_full_engine_refuses_requests(self) -> None:
        with self.assertRaises(engine_simulator.AdmissionError):
            self.engine.submit(make_prompt(("a", 4100)))
        for _ in range(8):
            self.engine.submit(make_prompt())
        with self.assertRaises(engine_simulator.AdmissionError):
            self.engine.submit(make_prompt())

    async def test_random_requests_finish_or_are_refused(self) -> None:
        for seed in range(5):
            generator = random.Random(seed)
            requests = []
            for _ in range(40):
                part = (f"p{generator.randrange(6)}", 600)
                prompt = make_prompt(
                    part,
                    own_tokens=generator.randrange(1, 300),
                    output_tokens=generator.randrange(1, 60),
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
            for output_tokens, request in requests:
                tokens = await self.collect_tokens(request)
                self.assertEqual(output_tokens, len(tokens), f"seed {seed}")
            self.assertEqual(
                0, self.engine.count_used_tokens(), f"seed {seed}"
            )

    async def test_cold_engine_crashes_above_its_request_rate(self) -> None:
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

    async def test_loading_weights_drops_cached_context(self) -> None:
        await self.collect_tokens(self.engine.submit(make_prompt(("a", 100))))
        loading = asyncio.create_task(self.engine.load_weights("m", 2))
        await asyncio.sleep(0.01)
        with self.assertRaises(engine_simulator.AdmissionError):
            self.engine.submit(make_prompt())
        await loading
        self.assertEqual({"m": 2}, self.engine.weights)
        self.assertFalse(self.engine.cached)

    async def test_use_of_context_of_another_origin_is_counted(self) -> None:
        await self.collect_tokens(self.engine.submit(make_prompt(("a", 100))))
        prompt = attrs.evolve(make_prompt(("a", 100)), origin="2/")
        await self.collect_tokens(self.engine.submit(prompt))
        self.assertEqual(1, self.engine.counters["foreign"])

    async def test_running_request_continues_under_new_weights(self) -> None:
        request = self.engine.submit(
            make_prompt(("a", 100), output_tokens=600)
        )
        await asyncio.sleep(0.05)
        await self.engine.load_weights("m", 2)
        self.assertEqual(
            list(range(1, 601)), await self.collect_tokens(request)
        )
        self.assertFalse(self.engine.cached)
        self.assertEqual(0, self.engine.count_used_tokens())

    async def test_discarded_events_are_reported_as_lost(self) -> None:
        await self.collect_tokens(self.engine.submit(make_prompt(("a", 100))))
        self.assertFalse(self.engine.events.encode_since(0)["lost"])
        self.engine.events.discard()
        self.assertTrue(self.engine.events.encode_since(0)["lost"])
        self.assertFalse(self.engine.events.encode_since(1)["lost"])


class ContextStoreTest(unittest.IsolatedAsyncioTestCase):
    """Space, transfers and boot epochs of a store."""

    KEY = ("1/", "a", "m")

    async def test_save_reserves_space_at_once(self) -> None:
        store = platform_context_store.ContextStore(
            1000, tokens_per_second=10_000
        )
        saving = asyncio.create_task(store.save(self.KEY, 600))
        await asyncio.sleep(0.01)
        self.assertEqual({self.KEY: 600}, store.partial_tokens)
        self.assertFalse(await store.save(("1/", "b", "m"), 600))
        self.assertTrue(await saving)
        self.assertEqual(600, await store.fetch(self.KEY, time.time() + 1))

    async def test_fetch_after_its_deadline_is_a_miss(self) -> None:
        store = platform_context_store.ContextStore(tokens_per_second=10_000)
        await store.save(self.KEY, 500)
        self.assertEqual(0, await store.fetch(self.KEY, time.time() + 0.01))

    async def test_fetch_of_freed_part_is_counted(self) -> None:
        store = platform_context_store.ContextStore(tokens_per_second=10_000)
        await store.save(self.KEY, 500)
        fetching = asyncio.create_task(store.fetch(self.KEY, time.time() + 1))
        await asyncio.sleep(0.01)
        store.free([("1/", "a")])
        await fetching
        self.assertEqual(1, store.reads_of_freed_parts)

    # Guards against a call that is held up on its way and frees what hosts
    # have begun to fetch again meanwhile.
    async def test_call_after_its_deadline_frees_nothing(self) -> None:
        store = platform_context_store.ContextStore()
        await store.save(self.KEY, 500)
        server = test_utils.TestServer(store.build_app())
        await server.start_server()
        self.addAsyncCleanup(server.close)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        client = stores.ContextStoreClient(session)
        target = topology.ContextStore(
            f"{server.host}:{server.port}", "dc-1", 1000
        )
        parts = [("1/", "a")]
        with self.assertRaises(exceptions.StoreUnavailable):
            await client.free(
                target, store.boot_epoch, parts, time.time() - 0.1
            )
        self.assertIn(self.KEY, store.stored_tokens)
        await client.free(target, store.boot_epoch, parts, time.time() + 5.0)
        self.assertNotIn(self.KEY, store.stored_tokens)

    async def test_restart_fails_saves_in_progress(self) -> None:
        store = platform_context_store.ContextStore(tokens_per_second=10_000)
        saving = asyncio.create_task(store.save(self.KEY, 500))
        await asyncio.sleep(0.01)
        store.restart()
        self.assertFalse(await saving)
        self.assertFalse(store.stored_tokens)
