"""Contract tests of the engine adapter against its stand-in."""

import asyncio
import contextlib
import unittest

import attrs

from sesamefold import blocks
from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import transport
from standins import engine as standin

PROMPT = " ".join(f"word-{index}" for index in range(35))


def soon(seconds=10.0):
    return deadlines.Deadline.after(seconds)


def make_request(request_id="r-1", **fields):
    return engines.CompletionRequest(
        **{
            "request_id": request_id,
            "model": "drafting-7b",
            "weight_version": "v1",
            "prompt": PROMPT,
            "max_tokens": 6,
            "cache_salt": "salt",
            "seed": 1,
            "deadline": soon(),
            **fields,
        }
    )


def list_tokens(request, first=1):
    return [
        standin.compute_token(
            request.cache_salt,
            request.model,
            request.weight_version,
            request.prompt,
            position,
        )
        for position in range(first, request.max_tokens + 1)
    ]


class EngineCase(unittest.IsolatedAsyncioTestCase):
    options = {}

    async def asyncSetUp(self):
        self.session = transport.make_session()
        self.addAsyncCleanup(self.session.close)
        self.server, self.engine = await self.start_engine(**self.options)

    async def start_engine(self, **options):
        server = standin.EngineServer(
            standin.Options(**{"block_tokens": 10, **options})
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        return server, engines.HttpEngine(self.session, server.address)

    async def reconnect(self):
        """Use new connections, as kept ones are reset in a crash."""
        self.session = transport.make_session()
        self.addAsyncCleanup(self.session.close)
        self.engine = engines.HttpEngine(self.session, self.server.address)

    async def collect(self, events):
        """Return the events and the error that ended them."""
        seen = []
        try:
            async for event in events:
                seen.append(event)
        except exceptions.SesamefoldError as error:
            return seen, type(error)
        return seen, None

    async def complete(self, engine=None, **fields):
        """Return the started event; checks every token of the answer."""
        request = make_request(**fields)
        seen, error = await self.collect(
            (engine or self.engine).complete(request)
        )
        self.assertIsNone(error)
        self.assertEqual("finished", seen[-1].kind)
        self.assertEqual(
            list_tokens(request, request.offset + 1),
            [event.text for event in seen if event.kind == "token"],
        )
        return seen[0]

    async def wait_until(self, check):
        async with asyncio.timeout(30):
            while not check():
                await asyncio.sleep(0.005)


class CompletionTest(EngineCase):
    async def test_prefix_cache(self):
        """Guards against cached context of another customer or version."""
        answer = "".join(list_tokens(make_request()))
        await self.complete()
        cases = (
            ({"request_id": "same"}, 30),
            ({"request_id": "salt", "cache_salt": "other"}, 0),
            ({"request_id": "longer", "prompt": PROMPT + " more"}, 30),
            ({"request_id": "start", "prompt": "new " + PROMPT}, 0),
            ({"request_id": "tail", "prompt": PROMPT[:-20] + " end"}, 30),
            ({"request_id": "next", "prompt": PROMPT + answer + " on"}, 40),
        )
        for fields, cached in cases:
            with self.subTest(**fields):
                started = await self.complete(**fields)
                self.assertEqual(cached, started.cached_tokens)
        self.assertEqual(7, self.server.counters["runs"])
        self.assertEqual(130, self.server.counters["tokens_cached"])

    async def test_wrong_block_gives_wrong_tokens(self):
        """Guards against a stand-in that hides wrongly used context."""
        await self.complete()
        names = list(self.server.cache)
        good = dict(self.server.cache)
        first = blocks.name_blocks(
            "salt", "drafting-7b", "v1", PROMPT.split(), 10
        )[0]
        second = next(n for n in names if good[n].tokens[0] == "word-10")
        changes = (
            (first, {"tokens": ("other",) * 10}),
            (first, {"salt": "other"}),
            (first, {"version": "v0"}),
            (second, {"before": "another context"}),
        )
        for index, (name, change) in enumerate(changes):
            with self.subTest(change=change):
                self.server.cache.clear()
                self.server.cache.update(good)
                self.server.cache[name] = attrs.evolve(good[name], **change)
                request = make_request(f"wrong-{index}")
                seen, _ = await self.collect(self.engine.complete(request))
                got = [event.text for event in seen if event.kind == "token"]
                for token in list_tokens(request):
                    self.assertNotIn(token, got)

    async def test_refusals(self):
        """Guards against a refusal that claims more than is known."""
        refused = exceptions.BackendRefused
        failed = exceptions.BackendFailed
        cases = (
            ({"refuse": 1}, {}, refused),
            ({}, {"weight_version": "v9"}, refused),
            ({"clock_offset": 60}, {}, refused),  # deadline passed in queue
            ({"fail": 1}, {}, failed),
            ({"outage": "503"}, {}, failed),
            ({"outage": "silent"}, {"deadline": 0.2}, failed),
            ({}, {"deadline": -1}, exceptions.BackendUnreachable),
        )
        for index, (faults, fields, expected) in enumerate(cases):
            with self.subTest(faults=faults, fields=fields):
                self.server.inject(**{"outage": "", **faults})
                if "deadline" in fields:
                    fields = {"deadline": soon(fields["deadline"])}
                request = make_request(f"r-{index}", **fields)
                _, error = await self.collect(self.engine.complete(request))
                self.assertIs(expected, error)
        self.assertEqual(0, self.server.counters["runs"])
        await self.server.stop()
        _, error = await self.collect(self.engine.complete(make_request()))
        self.assertIs(exceptions.BackendUnreachable, error)

    async def test_stream_faults(self):
        """Guards against stream faults that pass unseen by the adapter."""
        offsets = [1, 2, 3, 4, 5, 6]
        failed = exceptions.BackendFailed
        cases = (
            ({"kind": "break", "after": 2}, [1, 2], failed),
            ({"kind": "stall", "after": 2}, [1, 2], failed),
            ({"kind": "repeat", "after": 2}, [1, 2, 3, 3, 4, 5, 6], None),
            ({"kind": "skip", "after": 2}, [1, 2, 4, 5, 6], None),
            ({"kind": "other_id", "after": 2}, offsets, None),
            ({"kind": "wrong_version", "after": 2}, offsets, None),
        )
        strict = engines.HttpEngine(self.session, self.server.address, 0.3)
        for index, (fault, expected, expected_error) in enumerate(cases):
            with self.subTest(fault=fault):
                self.server.inject(stream=fault)
                request = make_request(f"r-{index}")
                engine = strict if fault["kind"] == "stall" else self.engine
                seen, error = await self.collect(engine.complete(request))
                tokens = [event for event in seen if event.kind == "token"]
                self.assertEqual(expected, [e.offset for e in tokens])
                self.assertIs(expected_error, error)
                ours = [
                    event.offset
                    for event in tokens
                    if event.request_id == request.request_id
                    and event.weight_version == "v1"
                ]
                wrong = fault["kind"] in ("other_id", "wrong_version")
                self.assertEqual([1, 2] if wrong else expected, ours)
                # The run went on; its stream is resumed at an offset.
                seen, error = await self.collect(
                    self.engine.resume(request.request_id, 2, soon())
                )
                self.assertIsNone(error)
                self.assertEqual(
                    list_tokens(request, 3),
                    [event.text for event in seen if event.kind == "token"],
                )
        self.assertEqual(len(cases), self.server.counters["runs"])

    async def test_continue_on_another_engine(self):
        """Guards against an answer that changes when its engine does."""
        output = tuple(list_tokens(make_request())[:4])
        for fields in ({"output": output}, {}):
            with self.subTest(**fields):
                _, other = await self.start_engine()
                await self.complete(other, offset=4, **fields)
        request = make_request(offset=4, output=output[:3] + (" wrong",))
        seen, _ = await self.collect(self.engine.complete(request))
        self.assertNotIn(list_tokens(request)[4], [e.text for e in seen])

    async def test_closing_cancels_and_resume_does_not(self):
        """Guards against runs that nobody reads, and cancelled resumes."""
        self.server.inject(token_seconds=0.01)
        request = make_request(max_tokens=100_000)
        async with contextlib.aclosing(self.engine.complete(request)) as run:
            async for event in run:
                if event.offset == 2:
                    break
            async with contextlib.aclosing(
                self.engine.resume("r-1", 0, soon())
            ) as resumed:
                self.assertEqual("started", (await anext(resumed)).kind)
            self.assertEqual(0, self.server.counters["cancelled"])
        self.assertEqual(1, self.server.counters["cancelled"])
        await self.engine.cancel("r-1", soon())
        with self.assertRaises(exceptions.BackendRefused) as caught:
            await anext(self.engine.resume("r-1", 0, soon()))
        self.assertEqual("unknown", caught.exception.executed)


class AdmissionTest(EngineCase):
    options = {"limit": 1, "warm_up": 3600.0, "cold_limit": 2}

    def spawn(self, request_id, **fields):
        request = make_request(request_id, **fields)
        return asyncio.create_task(self.collect(self.engine.complete(request)))

    async def test_cold_start_crash(self):
        """Guards against a stand-in that bears any load when cold."""
        await self.complete()
        self.server.inject(token_seconds=3600.0)
        first = self.spawn("first")
        await self.wait_until(lambda: self.server.counters["runs"] == 2)
        second = self.spawn("second")
        await self.wait_until(lambda: self.server.counters["complete"] == 3)
        before = await self.engine.fetch_load(soon())
        self.assertEqual(
            (True, 1, 1, 2),
            (before.cold, before.running, before.queued, before.limit),
        )
        third = self.spawn("third")
        for task in (first, second, third):
            self.assertIs(exceptions.BackendFailed, (await task)[1])
        await self.reconnect()
        after = await self.engine.fetch_load(soon())
        self.assertNotEqual(before.epoch, after.epoch)
        self.assertEqual((True, 0), (after.cold, after.running))
        self.assertEqual([], await self.engine.list_blocks(soon()))
        self.assertEqual(1, self.server.counters["cold_crashes"])
        # Warm, the engine queues what is beyond its limit.
        self.server.inject(cold=False)
        tasks = [self.spawn(f"warm-{index}") for index in range(4)]
        await self.wait_until(lambda: self.server.counters["complete"] == 8)
        load = await self.engine.fetch_load(soon())
        self.assertEqual((False, 1, 3), (load.cold, load.running, load.queued))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_priority_and_deadline_in_queue(self):
        """Guards against a queue that ignores priority or deadline."""
        self.server.inject(cold=False, token_seconds=3600.0)
        order = []
        first = self.spawn("first")
        await self.wait_until(lambda: self.server.counters["runs"] == 1)
        tasks = []
        for name, fields in (
            ("low", {"deadline": soon(60.0)}),
            ("high", {"deadline": soon(60.0), "priority": 5}),
            ("late", {"deadline": soon(20.0), "priority": 9}),
        ):
            tasks.append(self.spawn(name, **fields))
            tasks[-1].add_done_callback(lambda _, n=name: order.append(n))
            await self.wait_until(
                lambda: len(self.server._queue) == len(tasks)
            )
        self.server.inject(token_seconds=0.0, clock_offset=30.0)
        await self.engine.cancel("first", soon())
        self.assertIs(exceptions.BackendFailed, (await first)[1])
        errors = [error for _, error in await asyncio.gather(*tasks)]
        self.assertEqual([None, None, exceptions.BackendRefused], errors)
        self.assertEqual(["late", "high", "low"], order)
        self.assertEqual(3, self.server.counters["runs"])

    async def test_crash_word(self):
        """Guards against a crashing prompt that spares its engine."""
        self.server.inject(crash_words=["poison"], cold=False)
        _, error = await self.spawn("bad", prompt="some poison here")
        self.assertIs(exceptions.BackendFailed, error)
        self.assertEqual(1, self.server.counters["crashes_by_word"])
        await self.reconnect()
        await self.complete(prompt="harmless")


class ReportTest(EngineCase):
    options = {"memory_blocks": 4, "versions": ("v1", "v2")}

    async def test_cache_events(self):
        """Guards against a view of the cache that no event corrects."""
        # Three prompts of four blocks each, with their answers.
        self.server.inject(skip_events=1)
        await self.complete()
        self.server.inject(repeat_events=1)
        for index in range(2):
            await self.complete(
                request_id=f"r{index}", prompt=f"{index} {PROMPT}"
            )
        events = await self.engine.fetch_events(0, soon())
        self.assertEqual(
            [2, 3, 4, 5, 5, *range(6, self.server._sequence + 1)],
            [event.sequence for event in events],
        )
        view = set()
        for event in events:
            change = view.add if event.kind == "stored" else view.discard
            change(event.block)
        held = await self.engine.list_blocks(soon())
        self.assertEqual(set(held), view & set(held))
        self.assertEqual(4, len(held))
        self.assertEqual(
            events[-2:],
            await self.engine.fetch_events(events[-3].sequence, soon()),
        )
        self.server.inject(crash=True)
        await self.reconnect()
        self.assertEqual([], await self.engine.fetch_events(99, soon()))
        self.server.inject(event_lag=3600.0)
        await self.complete(request_id="late")
        self.assertEqual([], await self.engine.fetch_events(0, soon()))

    async def test_eviction_keeps_the_start_of_a_chain(self):
        """Guards against blocks that are held but can no longer be used."""
        await self.complete()
        short = " ".join(PROMPT.split()[:10])
        await self.complete(
            request_id="short", prompt=short, cache_salt="other"
        )
        started = await self.complete(request_id="again")
        self.assertEqual(30, started.cached_tokens)

    async def test_load_lag(self):
        """Guards against a load report without the configured lag."""
        self.server.inject(load_lag=3600.0, leaving=True)
        self.assertFalse((await self.engine.fetch_load(soon())).leaving)
        self.server.inject(load_lag=0.0)
        self.assertTrue((await self.engine.fetch_load(soon())).leaving)
        self.server.inject(hide_load=True)
        with self.assertRaises(exceptions.BackendFailed):
            await self.engine.fetch_load(soon())

    async def test_orders(self):
        """Guards against late orders, with and without a fencing check."""
        order = engines.Order(2, 5, ("drafting-7b@v3",))
        late = engines.Order(1, 4, ("drafting-7b@v2",), "standby")
        for checks in (True, False):
            with self.subTest(checks=checks):
                server, engine = await self.start_engine(
                    checks_fencing=checks, load_seconds=0.05
                )
                self.server.inject(lose_answers=1)
                await engine.send_order(order, soon())
                await engine.send_order(order, soon())
                await self.wait_until(
                    lambda s=server: s.versions == {"drafting-7b@v3"}
                )
                self.assertEqual(1, server.counters["versions_loaded"])
                await self.complete(engine, weight_version="v3")
                if checks:
                    with self.assertRaises(exceptions.FencingRefused):
                        await engine.send_order(late, soon())
                    self.assertEqual(order, await engine.fetch_order(soon()))
                    continue
                await engine.send_order(late, soon())
                self.assertEqual(late, await engine.fetch_order(soon()))
                _, error = await self.collect(
                    engine.complete(make_request("x", weight_version="v3"))
                )
                self.assertIs(exceptions.BackendRefused, error)

    async def test_lost_answer_of_order(self):
        """Guards against an order that is thought to have had no effect."""
        order = engines.Order(1, 1, ("drafting-7b@v2",))
        self.server.inject(lose_answers=1)
        with self.assertRaises(exceptions.BackendFailed):
            await self.engine.send_order(order, soon())
        self.assertEqual(order, await self.engine.fetch_order(soon()))
