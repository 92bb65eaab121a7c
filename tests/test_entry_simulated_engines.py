"""An entry host before engines with a memory, and a managed store."""

import asyncio
import random
import typing as t

from sesamefold.entry import store_views
from standins import engine_simulator
from standins import platform_context_store
from standins import platform_fixtures
from tests import entry_fakes

ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=8, queue_limit=16, memory_tokens=8000, step_seconds=0.002
)
# Tokens of a session's context and of a request's own prompt.
SESSION_TOKENS = 2000
OWN_TOKENS = 100
OUTPUT_TOKENS = 20


class SimulatedEnginesCase(entry_fakes.EntryHostCase):
    """Two engines with little memory, and a store with much."""

    async def asyncSetUp(self) -> None:
        """Start all parts, and wait until the store can be used."""
        await super().asyncSetUp()
        self.cache = platform_context_store.ContextStore(
            capacity_tokens=200_000
        )
        address = await platform_fixtures.start_server(
            self.stack, self.cache.build_app()
        )
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 1}
            engine.simulator = engine_simulator.EngineSimulator(ENGINE_OPTIONS)
            engine.context_stores = {address: self.cache}
            working = asyncio.create_task(engine.simulator.run())
            self.stack.callback(working.cancel)
            server = self.host.catalog.servers[engine.id]
            self.put_server_entry(
                engine.id,
                server.address,
                seq=2,
                models=[{"name": platform_fixtures.MODEL, "version": 1}],
            )
        self.store.put("op/config", self.make_configuration(address))
        self.store.put(
            f"op/version/{platform_fixtures.MODEL}",
            {"model": platform_fixtures.MODEL, "version": 1},
        )
        await self.wait_until(lambda: address in self.host.contexts.views)
        self.view = self.host.contexts.views[address]
        await self.wait_until(lambda: self.view.boot_epoch is not None)
        # As if the host had known the store for long.
        self.view.boot_epoch_seen_at -= store_views.SAVE_DELAY_SECONDS
        await self.wait_until(
            lambda: all(s.weights for s in self.host.catalog.servers.values())
        )

    def make_configuration(self, address: str) -> t.Any:
        """Return a configuration with the store."""
        configuration = platform_fixtures.make_configuration(2)
        engine = {
            "slots": ENGINE_OPTIONS.slots,
            "kv_capacity": ENGINE_OPTIONS.memory_tokens,
        }
        configuration["services"][0]["engine"] = engine
        configuration["services"].append(
            {
                "name": "cache",
                "kv_store_addr": address,
                "zone": "dc-1",
                "kv_capacity": self.cache.capacity_tokens,
            }
        )
        return configuration

    async def ask(self, number: int, session: str, path: str) -> int:
        """Send a prompt of a session and return the status."""
        size = SESSION_TOKENS + OWN_TOKENS
        status, _, body = await self.call(
            path,
            f"r-{number}",
            headers={
                "Sesamefold-Model": platform_fixtures.MODEL,
                "Sesamefold-Token-Usage": f"{size},{OUTPUT_TOKENS}",
                "Sesamefold-Length-Hint": str(OUTPUT_TOKENS),
                "Sesamefold-Prompt-Prefix": (
                    f"{session}:{SESSION_TOKENS},{number:x}:{OWN_TOKENS}"
                ),
            },
        )
        if status == 200:
            self.assertEqual(OUTPUT_TOKENS, body.count(b"data: x"))
        return status

    def count(self, name: str) -> int:
        """Return the sum of a counter of the engines."""
        return sum(
            engine.simulator.counters[name]
            for engine in self.engines
            if engine.simulator is not None
        )


class ContextTest(SimulatedEnginesCase):
    """Context that outlives an engine's memory."""

    async def test_sessions_come_back_from_the_store(self) -> None:
        """Guards against prompts that are read again after a gap."""
        sessions = [f"a{number:02x}" for number in range(20)]
        for number, session in enumerate(sessions):
            self.assertEqual(200, await self.ask(number, session, "/stream/"))
        await self.wait_until(
            lambda: len(self.view.stored_parts) == len(sessions)
        )
        before = self.count("read")
        for number, session in enumerate(sessions):
            status = await self.ask(100 + number, session, "/stream/")
            self.assertEqual(200, status)
        # Only the requests' own tokens; the simulators hold 7 sessions.
        read = self.count("read") - before
        self.assertEqual(OWN_TOKENS * len(sessions), read)
        self.assertEqual(0, self.cache.reads_of_freed_parts)

    async def test_a_store_that_restarts_is_empty(self) -> None:
        """Guards against trust in contents of an earlier life."""
        await self.ask(1, "a1", "/stream/")
        await self.wait_until(lambda: self.view.stored_parts)
        self.cache.restart()
        await self.wait_until(lambda: not self.view.stored_parts)
        self.assertEqual(200, await self.ask(2, "a2", "/stream/"))
        await asyncio.sleep(0.1)
        # Nothing is saved while other hosts may still fetch by old news.
        self.assertFalse(self.cache.stored_tokens)

    async def test_new_weights_find_no_old_context(self) -> None:
        """Guards against context of replaced weights."""
        await self.ask(1, "a1", "/stream/")
        await self.wait_until(lambda: self.view.stored_parts)
        self.store.put(
            f"op/version/{platform_fixtures.MODEL}",
            {"model": platform_fixtures.MODEL, "version": 2},
        )
        await self.wait_until(
            lambda: all(
                engine.weights[platform_fixtures.MODEL] == 2
                for engine in self.engines
            )
        )
        await self.wait_until(
            lambda: all(
                server.weights[platform_fixtures.MODEL] == 2
                for server in self.host.catalog.servers.values()
            )
        )
        before = self.count("read")
        self.assertEqual(200, await self.ask(2, "a1", "/stream/"))
        read = self.count("read") - before
        self.assertEqual(SESSION_TOKENS + OWN_TOKENS, read)


class OverloadTest(SimulatedEnginesCase):
    """More prompts than the engines have memory."""

    async def test_refusals_instead_of_preemptions(self) -> None:
        """Guards against engines that read prompts again and again."""
        generator = random.Random(3)
        statuses = await asyncio.gather(
            *(
                self.ask(number, f"{generator.randrange(999):x}", "/stream/")
                for number in range(40)
            )
        )
        self.assertLessEqual(set(statuses), {200, 503})
        size = SESSION_TOKENS + OWN_TOKENS + OUTPUT_TOKENS
        fitting = len(self.engines) * (ENGINE_OPTIONS.memory_tokens // size)
        self.assertGreaterEqual(statuses.count(200), fitting)
        self.assertEqual(0, self.count("preemptions"))

    async def test_a_refused_request_is_no_run(self) -> None:
        """Guards against a stand-in that calls refused requests runs."""
        loading = self.engines[0].simulator
        assert loading is not None
        loading.loading = True
        statuses = [
            await self.ask(number, f"{number:x}", "/stream/")
            for number in range(6)
        ]
        self.assertEqual([200] * 6, statuses)
        runs = [run.request_id for run in self.list_runs()]
        self.assertEqual(sorted(set(runs)), sorted(runs))
        self.assertEqual([], self.engines[0].runs)

    async def test_a_crash_moves_resumable_streams(self) -> None:
        """Guards against the loss of streams that may go on elsewhere."""
        asking = asyncio.gather(
            *(self.ask(n, f"b{n}", "/resumable/") for n in range(4))
        )
        simulators = [
            e.simulator for e in self.engines if e.simulator is not None
        ]
        await self.wait_until(lambda: any(s.running for s in simulators))
        await asyncio.sleep(0.02)
        max(simulators, key=lambda simulator: len(simulator.running)).crash()
        self.assertEqual([200] * 4, await asking)
