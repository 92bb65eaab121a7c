"""Tests of servers that announce that they leave or ask for a rest."""

import asyncio
import itertools
import time
import typing as t

import aiohttp

from standins import platform_engine
from standins import platform_fixtures
from tests import entry_fakes

PROMPT = {
    "Sesamefold-Model": platform_fixtures.MODEL,
    "Sesamefold-Token-Usage": "900,80",
    "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
}
LEAVING_HEADER = "Server-Leaving"
# Pause between two requests of a steady load, seconds.
SEND_INTERVAL_SECONDS = 0.03
# Time for which a test looks past the bound of the rule, seconds.
MARGIN_SECONDS = 0.5
# Time after an answer that asks for a rest within which requests that were on
# their way may still arrive, seconds.
IN_FLIGHT_SECONDS = 0.5
# Most requests that may arrive in the rest of that time.
MAX_RESTING_ARRIVALS = 2
# Slots of an engine, as its entry states them.
SLOTS = 8
# Time within which a server that asked for no valid rest is used again.
MAX_MALFORMED_SECONDS = 5.0
MALFORMED_RESTS = (
    "",
    "-1",
    "inf",
    "nan",
    "soon",
    "1e9",
    "1,1",
    "9" * 5000,
    "Wed, 21 Oct 2015 07:28:00 GMT",
    "Wed, 99 Oct 2099 99:99:99 GMT",
)
# Longest time that a refusal may take, seconds; the routes' timeout is twice
# as long.
REFUSAL_SECONDS = 1.0


class NoticeCase(entry_fakes.EntryHostCase):
    """Test case that sends a steady load and looks at who gets it.

    Requests with keys are served without the store as well.
    """

    settings_fields = {"key_withdrawal_seconds": None}

    async def asyncSetUp(self) -> None:
        """Start the servers and the entry host."""
        await super().asyncSetUp()
        self.request_numbers = itertools.count()
        self.sent_at: t.Dict[str, float] = {}
        self.addresses = {
            server.id: server.address
            for server in self.host.catalog.servers.values()
        }

    async def send(
        self, path: str = "/safe/", **fields: t.Any
    ) -> t.Tuple[int, t.Mapping[str, str], bytes]:
        """Send a request with an id of its own and return the response."""
        request_id = f"n-{next(self.request_numbers)}"
        if path in ("/stream/", "/resumable/"):
            fields["headers"] = PROMPT
        self.sent_at[request_id] = time.monotonic()
        return await self.call(path, request_id, **fields)

    async def send_until(
        self, end: float, path: str = "/safe/"
    ) -> t.Counter[int]:
        """Send a steady load until `end`; return the numbers of statuses."""
        statuses: t.Counter[int] = t.Counter()
        while time.monotonic() < end:
            statuses[(await self.send(path))[0]] += 1
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        return statuses

    async def send_past_bound(
        self, noticed_at: float, path: str = "/safe/"
    ) -> t.Counter[int]:
        """Send a steady load until the bound of a notice has passed.

        Returns the numbers of statuses.
        """
        bound = noticed_at + self.settings.leaving_seconds
        return await self.send_until(bound + MARGIN_SECONDS, path)

    async def find_used_engine(
        self, path: str = "/safe/"
    ) -> t.Tuple[
        platform_engine.PlatformEngine, platform_engine.PlatformEngine
    ]:
        """Return the engine that gets such requests now, and the other."""
        status, _, _ = await self.send(path)
        self.assertEqual(200, status)
        first, second = self.engines
        return (first, second) if first.arrivals else (second, first)

    async def remove_server(self, server_id: str) -> None:
        """Remove a server's entry and wait until the host has read it."""
        self.store.remove(f"servers/{server_id}")
        await self.wait_until(
            lambda: server_id not in self.host.catalog.servers
        )

    async def report(
        self, engine: platform_engine.PlatformEngine, **fields: t.Any
    ) -> None:
        """Write an engine's entry and wait until the host has read it."""
        address = self.addresses[engine.id]
        self.put_server_entry(engine.id, address, **fields)
        expected = (fields.get("born", 1), fields.get("seq", 1))
        await self.wait_until(
            lambda: engine.id in self.host.catalog.servers
            and expected
            == (
                self.host.catalog.servers[engine.id].started_at,
                self.host.catalog.servers[engine.id].sequence,
            )
        )

    async def use_one_engine(
        self, path: str = "/safe/"
    ) -> platform_engine.PlatformEngine:
        """Remove one engine from the list and return the other."""
        engine, other = await self.find_used_engine(path)
        await self.remove_server(other.id)
        return engine

    async def leave_alone(
        self,
    ) -> t.Tuple[platform_engine.PlatformEngine, float]:
        """Let the host's only engine announce that it leaves.

        Returns the engine, and when the caller had the answer.
        """
        leaver = await self.use_one_engine()
        leaver.leaving = "1"
        status, _, _ = await self.send()
        self.assertEqual(200, status)
        return leaver, time.monotonic()

    def list_arrivals(
        self,
        engine: platform_engine.PlatformEngine,
        after: float,
        before: float,
    ) -> t.List[platform_engine.Arrival]:
        """Return the requests that reached an engine between two times."""
        return [a for a in engine.arrivals if after < a.at < before]

    def list_arrivals_sent_after(
        self, engine: platform_engine.PlatformEngine, at: float
    ) -> t.List[platform_engine.Arrival]:
        """Return the requests to an engine that were sent after a time."""
        return [a for a in engine.arrivals if self.sent_at[a.request_id] > at]


class LeavingTest(NoticeCase):
    """Servers that announce in a response that they leave.

    No request that a caller sends later than `leaving_seconds` after the
    response reaches the server from this host.
    """

    async def check_leaver_is_avoided(
        self,
        leaver: platform_engine.PlatformEngine,
        noticed_at: float,
        path: str,
    ) -> None:
        """Check that only the other engine gets requests from now on."""
        statuses = await self.send_past_bound(noticed_at, path)
        self.assertEqual({200}, set(statuses))
        self.assertEqual([], self.list_arrivals_sent_after(leaver, noticed_at))

    async def check_leaver_is_not_used_late(
        self, leaver: platform_engine.PlatformEngine, noticed_at: float
    ) -> None:
        """Check that requests after the bound are refused at once.

        There is no other engine. The bound is `leaving_seconds` after
        `noticed_at`.
        """
        bound = noticed_at + self.settings.leaving_seconds
        await asyncio.sleep(bound - time.monotonic())
        after = time.monotonic()
        for _ in range(10):
            sent_at = time.monotonic()
            status, headers, _ = await self.send()
            self.assertEqual(503, status)
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertLess(time.monotonic() - sent_at, REFUSAL_SECONDS)
        self.assertEqual([], self.list_arrivals_sent_after(leaver, after))

    async def test_leaving_told_in_a_whole_answer_ends_the_use(self) -> None:
        """Guards against requests to a server that said it leaves (DRAIN)."""
        leaver, _ = await self.find_used_engine()
        leaver.leaving = "1"
        await self.send()
        await self.check_leaver_is_avoided(leaver, time.monotonic(), "/safe/")

    async def test_leaving_told_in_the_head_of_a_stream_ends_the_use(
        self,
    ) -> None:
        """Guards against learning from a stream only at its end (DRAIN)."""
        leaver, _ = await self.find_used_engine("/resumable/")
        leaver.leaving = "1"
        leaver.event_seconds = 0.5
        arrived = len(leaver.arrivals)
        stream = asyncio.create_task(self.send("/resumable/"))
        await self.wait_until(lambda: len(leaver.arrivals) > arrived)
        # The first event has left the server and the second has not.
        await asyncio.sleep(1.5 * leaver.event_seconds)
        self.assertFalse(stream.done())
        await self.check_leaver_is_avoided(
            leaver, time.monotonic(), "/resumable/"
        )
        self.assertEqual(200, (await stream)[0])

    async def test_leaving_told_in_a_stream_that_breaks_ends_the_use(
        self,
    ) -> None:
        """Guards against dropping what a broken stream's head said (DRAIN)."""
        leaver = await self.use_one_engine()
        leaver.leaving = "1"
        leaver.faults = ["cut"]
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.send("/stream/")
        noticed_at = time.monotonic()
        leaver.leaving = None
        await self.check_leaver_is_not_used_late(leaver, noticed_at)

    async def test_leaving_told_in_a_refusal_ends_the_use(self) -> None:
        """Guards against dropping what a refusal's head said (DRAIN)."""
        leaver, _ = await self.find_used_engine()
        leaver.leaving = "1"
        leaver.faults = ["refuse"]
        await self.send()
        await self.check_leaver_is_avoided(leaver, time.monotonic(), "/safe/")

    async def test_leaving_told_in_a_failure_ends_the_use(self) -> None:
        """Guards against dropping what a failure's head said (DRAIN)."""
        leaver, _ = await self.find_used_engine()
        leaver.leaving = "1"
        leaver.faults = ["fail"]
        await self.send("/unsafe/")
        await self.check_leaver_is_avoided(
            leaver, time.monotonic(), "/unsafe/"
        )

    async def test_answers_without_the_notice_do_not_take_it_back(
        self,
    ) -> None:
        """Guards against a notice that only the last answer decides (DRAIN).

        A request that was in progress is answered well after the notice.
        """
        leaver, other = await self.find_used_engine()
        await self.remove_server(other.id)
        leaver.faults = ["late"]
        arrived = len(leaver.arrivals)
        late = asyncio.create_task(self.send())
        await self.wait_until(lambda: len(leaver.arrivals) > arrived)
        leaver.leaving = "1"
        await self.send()
        noticed_at = time.monotonic()
        leaver.leaving = None
        self.assertFalse(late.done())
        self.assertEqual(200, (await late)[0])
        await self.report(other, seq=2)
        await self.send_until(noticed_at + self.settings.leaving_seconds)
        await self.check_leaver_is_avoided(leaver, time.monotonic(), "/safe/")

    async def test_leaving_holds_while_the_store_is_down(self) -> None:
        """Guards against a notice that needs the store (DRAIN)."""
        leaver, _ = await self.find_used_engine()
        self.store.error_status = 503
        leaver.leaving = "1"
        await self.send()
        await self.check_leaver_is_avoided(leaver, time.monotonic(), "/safe/")

    async def test_later_reports_of_the_incarnation_do_not_take_it_back(
        self,
    ) -> None:
        """Guards against a list that still says ready (DRAIN)."""
        leaver, _ = await self.find_used_engine()
        leaver.leaving = "1"
        await self.send()
        noticed_at = time.monotonic()
        leaver.leaving = None
        await self.report(leaver, seq=2)
        await self.check_leaver_is_avoided(leaver, noticed_at, "/safe/")
        await self.report(leaver, seq=3)
        self.assertEqual(200, (await self.send())[0])
        self.assertEqual([], self.list_arrivals_sent_after(leaver, noticed_at))

    async def test_an_entry_that_lapses_and_returns_does_not_take_it_back(
        self,
    ) -> None:
        """Guards against forgetting the notice with the entry (DRAIN)."""
        leaver, noticed_at = await self.leave_alone()
        await self.remove_server(leaver.id)
        await self.report(leaver, seq=2)
        await self.check_leaver_is_not_used_late(leaver, noticed_at)

    async def test_a_new_engine_at_the_same_address_is_not_leaving(
        self,
    ) -> None:
        """Guards against a notice that is kept by address."""
        leaver, noticed_at = await self.leave_alone()
        await self.remove_server(leaver.id)
        self.addresses["i-9"] = self.addresses[leaver.id]
        leaver.id, leaver.leaving = "i-9", None
        await self.report(leaver)
        self.assertEqual({200}, set(await self.send_past_bound(noticed_at)))

    async def test_a_restart_under_the_same_id_is_not_leaving(self) -> None:
        """Guards against a notice that outlives its incarnation."""
        leaver, noticed_at = await self.leave_alone()
        leaver.leaving = None
        await self.report(leaver, born=2)
        self.assertEqual({200}, set(await self.send_past_bound(noticed_at)))

    async def test_a_late_answer_of_the_old_incarnation_spares_the_new(
        self,
    ) -> None:
        """Guards against a notice for the incarnation that is listed now.

        The answer begins before the restart is read and ends after it.
        """
        leaver = await self.use_one_engine()
        leaver.leaving = "1"
        leaver.faults = ["late"]
        arrived = len(leaver.arrivals)
        late = asyncio.create_task(self.send())
        await self.wait_until(lambda: len(leaver.arrivals) > arrived)
        await self.report(leaver, born=2)
        self.assertFalse(late.done())
        await late
        noticed_at = time.monotonic()
        leaver.leaving = None
        self.assertEqual({200}, set(await self.send_past_bound(noticed_at)))

    async def test_the_notice_does_not_reach_the_caller(self) -> None:
        """Guards against a header of the servers that callers see."""
        for engine in self.engines:
            engine.leaving = "1"
        for path, fault, expected in (
            ("/safe/", "", 200),
            ("/unsafe/", "fail", 500),
            ("/stream/", "", 200),
        ):
            with self.subTest(path=path, fault=fault):
                for engine in self.engines:
                    engine.faults = [fault]
                status, headers, _ = await self.send(path)
                self.assertEqual(expected, status)
                self.assertNotIn(LEAVING_HEADER, headers)

    async def test_malformed_notices_are_ignored(self) -> None:
        """Guards against a server that is given up for any value."""
        engine = await self.use_one_engine()
        for value in ("0", "yes", "", "1,1", "-1", "1.0", "true"):
            with self.subTest(value=value):
                engine.leaving = value
                self.assertEqual(200, (await self.send())[0])
        statuses = await self.send_past_bound(time.monotonic())
        self.assertEqual({200}, set(statuses))

    async def test_the_only_engine_is_used_until_the_bound_and_not_after(
        self,
    ) -> None:
        """Guards against both a lost service and a late request (DRAIN)."""
        leaver, noticed_at = await self.leave_alone()
        statuses = await self.send_until(
            noticed_at + 0.6 * self.settings.leaving_seconds
        )
        self.assertEqual({200}, set(statuses))
        await self.check_leaver_is_not_used_late(leaver, noticed_at)


class RestTest(NoticeCase):
    """Servers that refuse a request with the time for which they want none.

    At most two requests of this host arrive later than half a second after
    that and before the end.
    """

    async def rest(
        self, engine: platform_engine.PlatformEngine, retry_after: str
    ) -> float:
        """Let an engine refuse the next request that reaches it.

        Returns the arrival of that request. The engine must be the one that
        gets the next request.
        """
        engine.faults = ["rest"]
        engine.retry_after = retry_after
        arrived = len(engine.arrivals)
        await self.send()
        self.assertEqual(arrived + 1, len(engine.arrivals))
        return engine.arrivals[-1].at

    async def test_nothing_reaches_a_resting_server_before_the_end(
        self,
    ) -> None:
        """Guards against requests to a server that wants none (BUDGET)."""
        engine, other = await self.find_used_engine()
        rested_at = await self.rest(engine, "2")
        statuses = await self.send_until(rested_at + 2.0)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(
            [], self.list_arrivals(engine, rested_at, rested_at + 2.0)
        )
        self.assertGreaterEqual(len(other.arrivals), sum(statuses.values()))

    async def test_fractions_of_a_second_are_observed(self) -> None:
        """Guards against a rest that is cut to whole seconds (BUDGET)."""
        engine, _ = await self.find_used_engine()
        rested_at = await self.rest(engine, "1.8")
        self.assertEqual({200}, set(await self.send_until(rested_at + 1.8)))
        self.assertEqual(
            [], self.list_arrivals(engine, rested_at, rested_at + 1.8)
        )

    async def test_a_rest_holds_in_the_absence_of_other_servers(self) -> None:
        """Guards against use for want of another server (BUDGET)."""
        engine = await self.use_one_engine()
        rested_at = await self.rest(engine, "3")
        self.assertEqual({503}, set(await self.send_until(rested_at + 1.5)))
        self.assertEqual(
            [], self.list_arrivals(engine, rested_at, rested_at + 3.0)
        )

    async def test_a_rest_told_to_a_stream_holds_for_streams(self) -> None:
        """Guards against a rest that only plain requests observe (BUDGET)."""
        engine = await self.use_one_engine()
        engine.faults = ["rest"]
        engine.retry_after = "3"
        await self.send("/stream/")
        rested_at = engine.arrivals[-1].at
        statuses = await self.send_until(rested_at + 1.5, "/stream/")
        self.assertEqual({503}, set(statuses))
        self.assertEqual(
            [], self.list_arrivals(engine, rested_at, rested_at + 3.0)
        )

    async def test_a_report_does_not_end_a_rest(self) -> None:
        """Guards against a rest that the list ends (BUDGET)."""
        engine, _ = await self.find_used_engine()
        rested_at = await self.rest(engine, "2")
        await self.report(engine, seq=2)
        self.assertEqual({200}, set(await self.send_until(rested_at + 2.0)))
        self.assertEqual(
            [], self.list_arrivals(engine, rested_at, rested_at + 2.0)
        )

    async def test_answers_of_other_requests_do_not_end_a_rest(self) -> None:
        """Guards against a success or a shorter rest that ends it (BUDGET).

        Both come after the longer rest.
        """
        engine = await self.use_one_engine()
        engine.faults = ["late", "late"]
        arrived = len(engine.arrivals)
        late = [asyncio.create_task(self.send()) for _ in range(2)]
        await self.wait_until(lambda: len(engine.arrivals) == arrived + 2)
        rested_at = await self.rest(engine, "3")
        self.assertFalse(any(task.done() for task in late))
        answers = await asyncio.gather(*late)
        self.assertEqual([200, 200], [answer[0] for answer in answers])
        await self.send_until(rested_at + 2.5)
        self.assertEqual(
            [], self.list_arrivals(engine, rested_at, rested_at + 3.0)
        )

    async def test_a_burst_at_a_resting_server_ends_with_those_on_the_way(
        self,
    ) -> None:
        """Guards against requests that wait and then come all the same.

        They are sent at once and go on through the rest (BUDGET).
        """
        engine, _ = await self.find_used_engine()
        engine.faults = ["rest"] * 100
        arrived = len(engine.arrivals)
        await asyncio.gather(
            *(
                self.send(path)
                for path in ("/safe/", "/unsafe/", "/stream/", "/resumable/")
                for _ in range(4)
            )
        )
        self.assertGreater(len(engine.arrivals), arrived)
        engine.faults = []
        first = engine.arrivals[arrived].at
        loads = [self.send_until(first + 2.0) for _ in range(5)]
        await asyncio.gather(*loads)
        late = self.list_arrivals(
            engine, first + IN_FLIGHT_SECONDS, first + 2.0
        )
        self.assertLessEqual(len(late), MAX_RESTING_ARRIVALS)

    async def test_callers_are_told_when_to_come_back_if_all_servers_rest(
        self,
    ) -> None:
        """Guards against callers that come back too early or all at once.

        `Retry-After` is at least the time to the end of the first rest.
        """
        for engine, retry_after in zip(self.engines, ("3", "4")):
            engine.faults = ["rest"]
            engine.retry_after = retry_after
        self.assertEqual(503, (await self.send())[0])
        end = min(
            engine.arrivals[-1].at + float(engine.retry_after)
            for engine in self.engines
        )

        async def compute_return() -> float:
            """Return when a caller that comes now is to come again."""
            sent_at = time.monotonic()
            status, headers, _ = await self.send()
            answered_at = time.monotonic()
            self.assertEqual(503, status)
            self.assertLess(answered_at - sent_at, REFUSAL_SECONDS)
            return answered_at + float(headers["Retry-After"])

        returns = await asyncio.gather(*(compute_return() for _ in range(6)))
        # The header has two decimals.
        self.assertGreaterEqual(min(returns) + 0.01, end)
        self.assertGreater(max(returns) - min(returns), 0.1)
        self.assertEqual([1, 1], [len(e.arrivals) for e in self.engines])

    async def test_malformed_rests_are_bounded(self) -> None:
        """Guards against a server that is lost, or a host that fails."""
        engine = await self.use_one_engine()
        for retry_after in MALFORMED_RESTS:
            with self.subTest(retry_after=retry_after[:40]):
                await self.rest(engine, retry_after)
                async with asyncio.timeout(MAX_MALFORMED_SECONDS):
                    while (await self.send())[0] != 200:
                        await asyncio.sleep(SEND_INTERVAL_SECONDS)

    async def test_a_very_long_rest_leaves_the_other_server_in_use(
        self,
    ) -> None:
        """Guards against a host that fails on a rest of a day."""
        engine, _ = await self.find_used_engine()
        rested_at = await self.rest(engine, "86400")
        self.assertEqual({200}, set(await self.send_until(rested_at + 3.0)))
        late = self.list_arrivals(engine, rested_at, float("inf"))
        self.assertLessEqual(len(late), MAX_RESTING_ARRIVALS)

    async def test_a_date_as_the_end_of_a_rest_leaves_the_service_up(
        self,
    ) -> None:
        """Guards against a host that fails on the other form of the header.

        The platform's servers state seconds; a date may count or not.
        """
        engine, _ = await self.find_used_engine()
        rested_at = await self.rest(engine, "Wed, 21 Oct 2099 07:28:00 GMT")
        self.assertEqual({200}, set(await self.send_until(rested_at + 1.0)))

    async def test_a_restart_ends_a_rest(self) -> None:
        """Guards against a rest that outlives its incarnation."""
        engine = await self.use_one_engine()
        await self.rest(engine, "60")
        self.assertEqual(503, (await self.send())[0])
        await self.report(engine, born=2)
        self.assertEqual(200, (await self.send())[0])

    async def test_a_server_is_used_again_after_its_rest_by_few_at_first(
        self,
    ) -> None:
        """Guards against a burst that fills a server again at once.

        At most half of its slots are taken in the first 0.3 seconds.
        """
        engine = await self.use_one_engine()
        rested_at = await self.rest(engine, "1")
        # Each request takes longer than the test looks at.
        engine.faults = ["late"] * 1000
        load = []
        while time.monotonic() < rested_at + 1.5:
            load.append(asyncio.create_task(self.send()))
            await asyncio.sleep(0.01)
        await asyncio.gather(*load)
        arrivals = self.list_arrivals(engine, rested_at, float("inf"))
        self.assertTrue(arrivals)
        at_once = [a for a in arrivals if a.at < arrivals[0].at + 0.3]
        self.assertLessEqual(len(at_once), SLOTS // 2)
        engine.faults = []
        async with asyncio.timeout(MAX_MALFORMED_SECONDS):
            while (await self.send())[0] != 200:
                await asyncio.sleep(SEND_INTERVAL_SECONDS)
