"""Tests of an entry host with simulated engines and a store of context."""

import asyncio
import random
import typing as t

import attrs

from sesamefold.entry import store_views
from standins import engine_simulator
from standins import platform_context_store
from standins import platform_fixtures
from tests import entry_fakes

ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=8, queue_limit=16, memory_tokens=8000, step_seconds=0.002
)
# Tokens of a session's shared context.
SESSION_TOKENS = 2000
# Tokens of a request's own prompt.
OWN_TOKENS = 100
OUTPUT_TOKENS = 20


class SimulatedEnginesCase(entry_fakes.EntryHostCase):
    """Two engines with little memory and a large store of context."""

    engine_options = ENGINE_OPTIONS

    async def asyncSetUp(self) -> None:
        """Start the servers and wait until the store can be used."""
        await super().asyncSetUp()
        self.context_store = platform_context_store.ContextStore(
            capacity_tokens=200_000
        )
        address = await platform_fixtures.start_server(
            self.stack, self.context_store.build_app()
        )
        for engine in self.engines:
            engine.weights = {platform_fixtures.MODEL: 1}
            engine.simulator = engine_simulator.EngineSimulator(
                self.engine_options
            )
            engine.context_stores = {address: self.context_store}
            simulation = asyncio.create_task(engine.simulator.run())
            self.stack.callback(simulation.cancel)
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
        await self.wait_until(
            lambda: address in self.host.context_stores.views
        )
        self.view = self.host.context_stores.views[address]
        await self.wait_until(lambda: self.view.boot_epoch is not None)
        # The host saves nothing until it has known a boot epoch of a store
        # for this delay.
        self.view.boot_epoch_seen_at -= store_views.SAVE_DELAY_SECONDS
        await self.wait_until(
            lambda: all(s.weights for s in self.host.catalog.servers.values())
        )

    def make_configuration(self, address: str) -> t.Any:
        """Return a configuration that includes the store."""
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
                "kv_capacity": self.context_store.capacity_tokens,
            }
        )
        return configuration

    async def send_prompt(self, number: int, session: str, path: str) -> int:
        """Send a prompt of a session and return the status.

        Checks that a response with status 200 has all tokens.
        """
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

    def sum_counter(self, name: str) -> int:
        """Return the sum of a counter over all simulators."""
        return sum(
            engine.simulator.counters[name]
            for engine in self.engines
            if engine.simulator is not None
        )


class ContextTest(SimulatedEnginesCase):
    """Context that is kept in the store."""

    async def test_evicted_sessions_are_fetched_from_the_store(self) -> None:
        """Guards against prefilling again what the store still has.

        The engines evict a session's context before its next request.
        """
        sessions = [f"a{number:02x}" for number in range(20)]
        for number, session in enumerate(sessions):
            self.assertEqual(
                200, await self.send_prompt(number, session, "/stream/")
            )
        await self.wait_until(
            lambda: len(self.view.stored_parts) == len(sessions)
        )
        prefilled_before = self.sum_counter("read")
        for number, session in enumerate(sessions):
            status = await self.send_prompt(100 + number, session, "/stream/")
            self.assertEqual(200, status)
        # Only the requests' own tokens are prefilled; the engines' memory
        # holds just 7 sessions.
        prefilled = self.sum_counter("read") - prefilled_before
        self.assertEqual(OWN_TOKENS * len(sessions), prefilled)
        self.assertEqual(0, self.context_store.reads_of_freed_parts)

    async def test_restarted_store_counts_as_empty_and_gets_no_saves(
        self,
    ) -> None:
        """Guards against fetches of contents of an earlier boot epoch."""
        await self.send_prompt(1, "a1", "/stream/")
        await self.wait_until(lambda: self.view.stored_parts)
        self.context_store.restart()
        await self.wait_until(lambda: not self.view.stored_parts)
        self.assertEqual(200, await self.send_prompt(2, "a2", "/stream/"))
        await asyncio.sleep(0.1)
        # Nothing is saved while other hosts may still plan fetches from the
        # contents of the earlier boot epoch.
        self.assertFalse(self.context_store.stored_tokens)

    async def test_context_of_replaced_weights_is_not_used(self) -> None:
        """Guards against reuse of context of replaced weights."""
        await self.send_prompt(1, "a1", "/stream/")
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
        prefilled_before = self.sum_counter("read")
        self.assertEqual(200, await self.send_prompt(2, "a1", "/stream/"))
        prefilled = self.sum_counter("read") - prefilled_before
        self.assertEqual(SESSION_TOKENS + OWN_TOKENS, prefilled)


class OverloadTest(SimulatedEnginesCase):
    """More requests than the engines can admit, and failed engines."""

    async def test_excess_prompts_are_refused_without_preemptions(
        self,
    ) -> None:
        """Guards against overload that makes engines repeat prefills."""
        generator = random.Random(3)
        statuses = await asyncio.gather(
            *(
                self.send_prompt(
                    number, f"{generator.randrange(999):x}", "/stream/"
                )
                for number in range(40)
            )
        )
        self.assertLessEqual(set(statuses), {200, 503})
        size = SESSION_TOKENS + OWN_TOKENS + OUTPUT_TOKENS
        min_admitted = len(self.engines) * (
            ENGINE_OPTIONS.memory_tokens // size
        )
        self.assertGreaterEqual(statuses.count(200), min_admitted)
        self.assertEqual(0, self.sum_counter("preemptions"))

    async def test_refused_requests_are_not_recorded_as_runs(self) -> None:
        """Guards against a stand-in that records what it did not execute.

        An engine that loads weights admits no request.
        """
        busy_simulator = self.engines[0].simulator
        assert busy_simulator is not None
        busy_simulator.loading = True
        statuses = [
            await self.send_prompt(number, f"{number:x}", "/stream/")
            for number in range(6)
        ]
        self.assertEqual([200] * 6, statuses)
        runs = [run.request_id for run in self.list_runs()]
        self.assertEqual(sorted(set(runs)), sorted(runs))
        self.assertEqual([], self.engines[0].runs)

    async def test_resumable_streams_survive_an_engine_crash(self) -> None:
        """Guards against losing streams that another engine can resume."""
        sending = asyncio.gather(
            *(self.send_prompt(n, f"b{n}", "/resumable/") for n in range(4))
        )
        simulators = [
            e.simulator for e in self.engines if e.simulator is not None
        ]
        await self.wait_until(lambda: any(s.running for s in simulators))
        await asyncio.sleep(0.02)
        max(simulators, key=lambda simulator: len(simulator.running)).crash()
        self.assertEqual([200] * 4, await sending)


class SlowEnginesTest(SimulatedEnginesCase):
    """Engines whose streams last much longer than a refusal is delayed."""

    engine_options = attrs.evolve(ENGINE_OPTIONS, step_seconds=0.03)

    async def test_a_broken_stream_without_events_waits_for_memory(
        self,
    ) -> None:
        """Guards against an error for a stream that only has to wait.

        The other engine has no memory for the last of the streams before one
        of its own ends, and the caller of that stream cannot be told that it
        was not executed.
        """
        sending = asyncio.gather(
            *(self.send_prompt(n, f"b{n}", "/resumable/") for n in range(4))
        )
        simulators = [
            e.simulator for e in self.engines if e.simulator is not None
        ]
        await self.wait_until(
            lambda: sum(len(s.running) for s in simulators) == 4
        )
        simulators[0].crash()
        self.assertEqual([200] * 4, await sending)
