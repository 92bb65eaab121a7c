"""Contract tests of the HTTP engine client against the engine stand-in."""

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
        """Use a new session; a crash resets the connections of the old one."""
        self.session = transport.make_session()
        self.addAsyncCleanup(self.session.close)
        self.engine = engines.HttpEngine(self.session, self.server.address)

    async def collect(self, events):
        """Return the events and the class of the error that ended them."""
        received = []
        try:
            async for event in events:
                received.append(event)
        except exceptions.SesamefoldError as error:
            return received, type(error)
        return received, None

    async def complete(self, engine=None, **fields):
        """Return the started event; check every token of the answer."""
        request = make_request(**fields)
        received, error = await self.collect(
            (engine or self.engine).complete(request)
        )
        self.assertIsNone(error)
        self.assertEqual("finished", received[-1].kind)
        self.assertEqual(
            list_tokens(request, request.offset + 1),
            [event.text for event in received if event.kind == "token"],
        )
        return received[0]

    async def wait_until(self, check):
        async with asyncio.timeout(30):
            while not check():
                await asyncio.sleep(0.005)


class CompletionTest(EngineCase):
    async def test_prefix_is_cached_per_customer(self):
        """Guards against the use of blocks cached for another customer."""
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

    async def test_wrong_cached_block_gives_wrong_tokens(self):
        """Guards against a stand-in whose tokens don't depend on its cache."""
        await self.complete()
        names = list(self.server.cache)
        valid = dict(self.server.cache)
        first = blocks.name_blocks(
            "salt", "drafting-7b", "v1", PROMPT.split(), 10
        )[0]
        second = next(n for n in names if valid[n].tokens[0] == "word-10")
        changes = (
            (first, {"tokens": ("other",) * 10}),
            (first, {"salt": "other"}),
            (first, {"version": "v0"}),
            (second, {"before": "another context"}),
        )
        for index, (name, change) in enumerate(changes):
            with self.subTest(change=change):
                self.server.cache.clear()
                self.server.cache.update(valid)
                self.server.cache[name] = attrs.evolve(valid[name], **change)
                request = make_request(f"wrong-{index}")
                received, _ = await self.collect(self.engine.complete(request))
                tokens = [
                    event.text for event in received if event.kind == "token"
                ]
                for token in list_tokens(request):
                    self.assertNotIn(token, tokens)

    async def test_errors_state_whether_request_was_executed(self):
        """Guards against a refusal reported for a run that may have begun."""
        refused = exceptions.BackendRefused
        failed = exceptions.BackendFailed
        cases = (
            ({"refuse": 1}, {}, refused),
            ({}, {"weight_version": "v9"}, refused),
            (
                {"clock_offset": 60},
                {},
                refused,
            ),  # expires in the queue
            ({"fail": 1}, {}, failed),
            ({"outage": "503"}, {}, failed),
            (
                {"outage": "silent"},
                {"deadline": 0.2},
                exceptions.BackendSilent,
            ),
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

    async def test_stream_faults_are_reported_or_passed_on(self):
        """Guards against stream faults that the client hides from its caller.

        A cut or silent stream is an error; wrong, repeated and missing events
        are passed on for the caller to check.
        """
        offsets = [1, 2, 3, 4, 5, 6]
        failed = exceptions.BackendFailed
        cases = (
            ({"kind": "break", "after": 2}, [1, 2], failed),
            (
                {"kind": "stall", "after": 2},
                [1, 2],
                exceptions.BackendSilent,
            ),
            ({"kind": "repeat", "after": 2}, [1, 2, 3, 3, 4, 5, 6], None),
            ({"kind": "skip", "after": 2}, [1, 2, 4, 5, 6], None),
            ({"kind": "other_id", "after": 2}, offsets, None),
            ({"kind": "wrong_version", "after": 2}, offsets, None),
        )
        idle_limited = engines.HttpEngine(
            self.session, self.server.address, 0.3
        )
        for index, (fault, expected, expected_error) in enumerate(cases):
            with self.subTest(fault=fault):
                self.server.inject(stream=fault)
                request = make_request(f"r-{index}")
                engine = (
                    idle_limited if fault["kind"] == "stall" else self.engine
                )
                received, error = await self.collect(engine.complete(request))
                tokens = [event for event in received if event.kind == "token"]
                self.assertEqual(expected, [e.offset for e in tokens])
                self.assertIs(expected_error, error)
                matching = [
                    event.offset
                    for event in tokens
                    if event.request_id == request.request_id
                    and event.weight_version == "v1"
                ]
                mismatched = fault["kind"] in ("other_id", "wrong_version")
                self.assertEqual([1, 2] if mismatched else expected, matching)
                # The run continued; its stream can be resumed at an offset.
                received, error = await self.collect(
                    self.engine.resume(request.request_id, 2, soon())
                )
                self.assertIsNone(error)
                self.assertEqual(
                    list_tokens(request, 3),
                    [
                        event.text
                        for event in received
                        if event.kind == "token"
                    ],
                )
        self.assertEqual(len(cases), self.server.counters["runs"])

    async def test_continuation_on_another_engine_gives_same_tokens(self):
        """Guards against an answer that changes when the engine changes."""
        output = tuple(list_tokens(make_request())[:4])
        for fields in ({"output": output}, {}):
            with self.subTest(**fields):
                _, other = await self.start_engine()
                await self.complete(other, offset=4, **fields)
        request = make_request(offset=4, output=output[:3] + (" wrong",))
        received, _ = await self.collect(self.engine.complete(request))
        self.assertNotIn(list_tokens(request)[4], [e.text for e in received])

    async def test_closing_complete_cancels_run_and_closing_resume_does_not(
        self,
    ):
        """Guards against runs that continue without a reader.

        Closing a resumed stream must leave the run to its other reader.
        """
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

    async def test_cold_engine_crashes_above_its_limit(self):
        """Guards against a stand-in that accepts any load when cold."""
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
        # A warm engine queues the requests above its limit.
        self.server.inject(cold=False)
        tasks = [self.spawn(f"warm-{index}") for index in range(4)]
        await self.wait_until(lambda: self.server.counters["complete"] == 8)
        load = await self.engine.fetch_load(soon())
        self.assertEqual((False, 1, 3), (load.cold, load.running, load.queued))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_request_from_before_a_crash_does_not_run_after_it(self):
        """Guards against a stand-in that runs requests of lost connections.

        They would count towards the limit of the restarted cold engine.
        """
        self.server.inject(delay=0.2)
        task = self.spawn("early")
        await self.wait_until(lambda: self.server.counters["complete"] == 1)
        self.server.crash()
        self.assertIs(exceptions.BackendFailed, (await task)[1])
        await asyncio.sleep(0.4)
        self.assertEqual(0, self.server.counters["runs"])
        self.server.inject(delay=0.0)
        await self.reconnect()
        await self.complete()

    async def test_run_for_an_earlier_epoch_is_refused_before_execution(self):
        """Guards against runs that a restarted cold engine did not admit."""
        epoch = (await self.engine.fetch_load(soon())).epoch
        await self.complete(request_id="first", epoch=epoch)
        self.server.crash()
        await self.reconnect()
        with self.assertRaises(exceptions.BackendRestarted) as caught:
            await anext(self.engine.complete(make_request(epoch=epoch)))
        self.assertEqual("no", caught.exception.executed)
        self.assertEqual(1, self.server.counters["runs"])
        await self.complete(request_id="third")

    async def test_queue_follows_priority_and_drops_expired_requests(self):
        """Guards against a queue that ignores priority or deadline."""
        self.server.inject(cold=False, token_seconds=3600.0)
        finished = []
        first = self.spawn("first")
        await self.wait_until(lambda: self.server.counters["runs"] == 1)
        tasks = []
        for name, fields in (
            ("low", {"deadline": soon(60.0)}),
            ("high", {"deadline": soon(60.0), "priority": 5}),
            ("late", {"deadline": soon(20.0), "priority": 9}),
        ):
            tasks.append(self.spawn(name, **fields))
            tasks[-1].add_done_callback(lambda _, n=name: finished.append(n))
            await self.wait_until(
                lambda: len(self.server._queue) == len(tasks)
            )
        self.server.inject(token_seconds=0.0, clock_offset=30.0)
        await self.engine.cancel("first", soon())
        self.assertIs(exceptions.BackendFailed, (await first)[1])
        errors = [error for _, error in await asyncio.gather(*tasks)]
        self.assertEqual([None, None, exceptions.BackendRefused], errors)
        self.assertEqual(["late", "high", "low"], finished)
        self.assertEqual(3, self.server.counters["runs"])

    async def test_prompt_with_crash_word_crashes_engine(self):
        """Guards against a stand-in that survives a crash word in a prompt."""
        self.server.inject(crash_words=["poison"], cold=False)
        _, error = await self.spawn("bad", prompt="some poison here")
        self.assertIs(exceptions.BackendFailed, error)
        self.assertEqual(1, self.server.counters["crashes_by_word"])
        await self.reconnect()
        await self.complete(prompt="harmless")


class ReportTest(EngineCase):
    options = {"memory_blocks": 4, "versions": ("v1", "v2")}

    async def test_cache_events_match_cache_despite_gap_and_repeat(self):
        """Guards against events that don't match the content of the cache."""
        # Three runs; each prompt fills four blocks with its answer.
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
        known = set()
        for event in events:
            change = known.add if event.kind == "stored" else known.discard
            change(event.block)
        cached = await self.engine.list_blocks(soon())
        self.assertEqual(set(cached), known & set(cached))
        self.assertEqual(4, len(cached))
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

    async def test_eviction_keeps_start_of_block_chain(self):
        """Guards against cached blocks whose earlier blocks were evicted."""
        await self.complete()
        short = " ".join(PROMPT.split()[:10])
        await self.complete(
            request_id="short", prompt=short, cache_salt="other"
        )
        started = await self.complete(request_id="again")
        self.assertEqual(30, started.cached_tokens)

    async def test_load_report_lags_as_configured(self):
        """Guards against a load report without the configured lag."""
        self.server.inject(load_lag=3600.0, leaving=True)
        self.assertFalse((await self.engine.fetch_load(soon())).leaving)
        self.server.inject(load_lag=0.0)
        self.assertTrue((await self.engine.fetch_load(soon())).leaving)
        self.server.inject(hide_load=True)
        with self.assertRaises(exceptions.BackendFailed):
            await self.engine.fetch_load(soon())

    async def test_late_order_is_refused_only_with_fencing_check(self):
        """Guards against a late order that replaces a newer one.

        Engines that don't check fencing tokens follow the late order.
        """
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

    async def test_order_takes_effect_although_response_is_lost(self):
        """Guards against taking an unanswered order for one without effect."""
        order = engines.Order(1, 1, ("drafting-7b@v2",))
        self.server.inject(lose_answers=1)
        with self.assertRaises(exceptions.BackendFailed):
            await self.engine.send_order(order, soon())
        self.assertEqual(order, await self.engine.fetch_order(soon()))
