"""Tests of the choice of an engine."""

import collections
import typing as t
import unittest

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import context_stores
from sesamefold.entry import loads
from sesamefold.entry import placement
from sesamefold.entry import requests
from sesamefold.entry import server_status
from sesamefold.entry import throttle
from sesamefold.entry import topology
from tests import entry_fakes
from tests import test_entry_catalog

CAPACITY = 10_000


class PlacementTest(unittest.TestCase):
    """Choice among engines of one data centre without context stores."""

    def make(self, engines: int, slots: int = 8) -> None:
        """Make a placement that knows `engines` engines."""
        log = entry_fakes.make_log()
        catalog = entry_fakes.make_catalog(clock.read_time)
        configuration = test_entry_catalog.make_configuration(1)
        self.route = configuration.routes[2]
        service = topology.Service(
            "chat", 0.0, engine=topology.EngineTraits(CAPACITY)
        )
        configuration.services["chat"] = service
        catalog.apply_changes(
            changes.Batch((changes.ConfigurationAccepted(configuration),), 1)
        )
        self.servers = [
            entry_fakes.make_server(f"i-{n}", slots=slots, weights={"m": 1})
            for n in range(engines)
        ]
        catalog.apply_changes(entry_fakes.make_report_batch(*self.servers))
        fleet = entry_fakes.FakeFleet(["entry-1"])
        self.loads = loads.Loads("entry-1", "region-1")
        self.placement = placement.Placement(
            catalog,
            throttle.ColdThrottle("entry-1", fleet.list_hosts),
            self.loads,
            context_stores.ContextStores(
                "entry-1",
                {"dc-1": "region-1"},
                catalog,
                t.cast(context_stores.ContextStoreApi, None),
                fleet,
                log,
            ),
            "dc-1",
            {"dc-1": "region-1"},
            "region-1",
            log,
        )

    def make_call(self, session: str, tokens: int = 300) -> requests.Call:
        """Return a request with a prompt that continues `session`."""
        parts = (
            requests.PromptPart(session, tokens // 3),
            requests.PromptPart(f"{session}0", tokens - tokens // 3),
        )
        prompt = requests.Prompt("m", tokens, 30, parts)
        now = clock.read_time()
        return requests.Call(
            requests.RequestHead("r-1", requests.Headers(), prompt=prompt),
            self.route,
            "chat",
            None,
            "POST",
            "/",
            b"",
            now,
            now + 10,
        )

    def choose(self, call: requests.Call) -> topology.Server:
        """Return the engine chosen for a request."""
        chosen = self.placement.choose_server(call)
        assert chosen is not None
        return chosen[0]

    def test_server_of_a_cancelled_attempt_may_be_used_again(self) -> None:
        """Guards against a stream that no server may take over any more.

        Its first server sent an event before the second, and breaks later.
        The third would be one more than the route allows.
        """
        self.make(3)
        first, second, _ = self.servers
        call = self.make_call("a")
        call.tried_servers += [first.id, second.id]
        call.route = attrs.evolve(call.route, max_servers=2)
        self.assertFalse(call.may_run_elsewhere())
        call.record_cancelled(second.id)
        self.assertTrue(call.may_run_elsewhere())
        self.assertEqual(second, self.choose(call))
        call.tried_servers.append(second.id)
        self.assertFalse(call.may_run_elsewhere())

    def test_refusals_do_not_count_as_runs(self) -> None:
        """Guards against a stream that is cut because a server refused it."""
        self.make(3)
        call = self.make_call("a")
        call.route = attrs.evolve(call.route, max_servers=2)
        call.tried_servers += ["i-0", "i-1"]
        call.record_refusal("i-1")
        self.assertTrue(call.may_run_elsewhere())
        call.tried_servers.append("i-2")
        self.assertFalse(call.may_run_elsewhere())

    def test_refusal_after_a_cancelled_run_does_not_count(self) -> None:
        """Guards against runs at more servers than the route allows (BUDGET).

        The second server began the run, was cancelled, and refuses the next
        attempt.
        """
        self.make(3)
        call = self.make_call("a")
        call.route = attrs.evolve(call.route, max_servers=2)
        call.tried_servers += ["i-0", "i-1"]
        call.record_cancelled("i-1")
        call.tried_servers.append("i-1")
        call.record_refusal("i-1")
        self.assertFalse(call.may_run_elsewhere())

    def test_engine_without_free_slot_has_no_capacity(self) -> None:
        self.make(1, slots=2)
        call = self.make_call("a")
        for expected in (True, True, False):
            server = self.choose(call)
            self.assertEqual(
                expected, self.placement.has_capacity(call, server)
            )
            self.placement.record_request(call, server, cold=False)

    def test_engine_without_free_memory_has_no_capacity(self) -> None:
        self.make(1)
        large = self.make_call("a", CAPACITY - 1000)
        server = self.choose(large)
        self.assertTrue(self.placement.has_capacity(large, server))
        self.placement.record_request(large, server, cold=False)
        self.assertFalse(
            self.placement.has_capacity(self.make_call("b", 2000), server)
        )

    def test_sums_from_peers_count_towards_capacity(self) -> None:
        """Guards against engines filled below or beyond their memory limit."""
        self.make(1)
        server = self.servers[0]
        self.loads.reserve(server.id, 4000, 0)
        call = self.make_call("a", 2500)
        for number, (peer_tokens, expected) in enumerate(
            ((2000, True), (3500, False))
        ):
            sums = {server.id: [1, peer_tokens, 0]}
            body = [number, "region-1", sums, {}]
            self.loads.receive_sums("b", ("b", 1), body)
            self.assertEqual(
                expected, self.placement.has_capacity(call, server)
            )

    def test_requests_beyond_slots_go_to_another_engine(self) -> None:
        self.make(2, slots=2)
        for number in range(4):
            call = self.make_call(f"{number}")
            self.placement.record_request(call, self.choose(call), cold=False)
        counts = [self.loads.get_load(s.id).requests for s in self.servers]
        self.assertEqual([2, 2], counts)

    def test_engine_gets_no_request_shortly_before_its_weights_expire(
        self,
    ) -> None:
        """Guards against requests that begin on expired weights (VERSION).

        The engine with the old weights is idle and the other one busy, so
        that only the expiry keeps the requests from it.
        """
        self.make(2)
        catalog = self.placement.catalog
        catalog.weights_limits = catalogs.WeightsLimits(10.0, 0.0)
        catalog.update_weights("i-1", {"m": 2})
        self.loads.reserve("i-1", CAPACITY - 1000, 3000)
        now = clock.read_time()
        times = entry_fakes.FakeClock(now)
        catalog.read_time = self.placement.read_time = times
        catalog.confirm(now)
        change = changes.TargetWeightsChanged("m", 2)
        catalog.apply_changes(changes.Batch((change,), 2))
        margin = placement.WEIGHTS_EXPIRY_MARGIN_SECONDS
        call = self.make_call("a")
        for seconds, expected in (
            (9.9 - margin, "i-0"),
            (10.1 - margin, "i-1"),
            (60.0, "i-1"),
        ):
            times.now = now + seconds
            self.assertEqual(expected, self.choose(call).id, seconds)

    def test_request_is_refused_when_all_weights_have_expired(self) -> None:
        self.make(2)
        catalog = self.placement.catalog
        catalog.weights_limits = catalogs.WeightsLimits(0.0, 0.0)
        change = changes.TargetWeightsChanged("m", 2)
        catalog.apply_changes(changes.Batch((change,), 2))
        call = self.make_call("a")
        self.assertIsNone(self.placement.choose_server(call))
        self.assertIn(
            "2 have expired weights",
            self.placement.describe_missing_capacity(call, None),
        )

    def make_outdated(self, engines: int) -> entry_fakes.FakeClock:
        """Make a placement whose engines' weights were replaced just now.

        They expire after 10 s. The result is the clock.
        """
        self.make(engines)
        catalog = self.placement.catalog
        catalog.weights_limits = catalogs.WeightsLimits(10.0, 0.0)
        times = entry_fakes.FakeClock(clock.read_time())
        catalog.read_time = self.placement.read_time = times
        catalog.confirm(times.now)
        change = changes.TargetWeightsChanged("m", 2)
        catalog.apply_changes(changes.Batch((change,), 2))
        return times

    def test_engine_that_refuses_the_supposed_weights_does_not_have_them(
        self,
    ) -> None:
        """Guards against a preference for engines that have ended.

        Another engine at the address refuses all requests to the old one,
        whatever weights they expect.
        """
        times = self.make_outdated(2)
        ended = self.servers[0]
        call = self.make_call("a")
        for _ in range(2):
            known = self.placement.catalog.servers[ended.id]
            self.placement.record_mismatch(call, known)
        times.now += server_status.REFUSAL_BACKOFF_SECONDS + 0.1
        known = self.placement.catalog.servers[ended.id]
        self.assertEqual({"m": 1}, dict(known.weights))

    def test_refusal_for_one_model_says_nothing_of_others(self) -> None:
        """Guards against weights of one model restored for another's refusal.

        Two models of an engine were refused, and then one of them again.
        """
        self.make_outdated(1)
        catalog = self.placement.catalog
        change = changes.TargetWeightsChanged("other", 5)
        catalog.apply_changes(changes.Batch((change,), 3))
        engine_id = self.servers[0].id
        catalog.update_weights(engine_id, {"m": 1, "other": 4})
        for model in ("m", "other", "m"):
            call = self.make_call("a")
            call.head = attrs.evolve(
                call.head,
                prompt=attrs.evolve(call.head.prompt, model=model),
            )
            self.placement.record_mismatch(call, catalog.servers[engine_id])
        self.assertEqual(
            {"m": 1, "other": 5}, dict(catalog.servers[engine_id].weights)
        )

    def test_expired_engine_is_not_replaced_by_one_that_has_ended(
        self,
    ) -> None:
        """Guards against weights that do not expire because of a refusal."""
        times = self.make_outdated(2)
        ended = self.servers[0]
        call = self.make_call("a")
        for _ in range(2):
            known = self.placement.catalog.servers[ended.id]
            self.placement.record_mismatch(call, known)
        times.now += 11.0
        self.assertIsNone(self.placement.choose_server(self.make_call("b")))

    def test_request_that_cannot_be_cancelled_begins_before_the_expiry(
        self,
    ) -> None:
        """Guards against requests that an engine begins on expired weights.

        Its prompts in progress take longer than the weights may be used.
        """
        times = self.make_outdated(1)
        self.route = attrs.evolve(self.route, resumable=False)
        backlog_seconds = 2.0
        backlog_tokens = (
            backlog_seconds * 1000.0 * placement.PREFILL_TOKENS_PER_MS
        )
        self.loads.reserve("i-0", 100, int(backlog_tokens))
        times.now += 10.0 - backlog_seconds / 2
        self.assertIsNone(self.placement.choose_server(self.make_call("a")))

    def test_hosts_with_equal_loads_choose_many_engines(self) -> None:
        """Guards against hosts that all choose the engine with the least load.

        Loads arrive late, so the same few engines would get all requests.
        """
        self.make(60)
        for number, server in enumerate(self.servers[1:]):
            self.loads.reserve(server.id, 100, 100 + number)
        chosen = collections.Counter(
            self.choose(self.make_call(f"{number}")).id
            for number in range(200)
        )
        self.assertGreater(len(chosen), 20)
        self.assertLess(max(chosen.values()), 60)

    def test_last_engine_of_session_is_among_sampled_engines(self) -> None:
        self.make(60)
        call = self.make_call("a", 3000)
        last = self.servers[7]
        self.placement.record_request(call, last, cold=False).release()
        self.assertEqual({last.id}, {self.choose(call).id for _ in range(20)})

    def test_restarted_engine_is_not_judged_by_its_former_incarnation(
        self,
    ) -> None:
        """Guards against pauses and failures that outlive an engine's run."""
        self.make(1)
        call = self.make_call("a")
        self.placement.record_refusal(self.servers[0])
        self.assertIsNone(self.placement.choose_server(call))
        restarted = entry_fakes.make_server(
            "i-0", weights={"m": 1}, started_at=2
        )
        self.placement.catalog.apply_changes(
            entry_fakes.make_report_batch(restarted)
        )
        self.assertEqual(restarted, self.choose(call))

    def make_head(self, status: int = 200, **fields: t.Any) -> t.Any:
        """Return the head of a reply."""
        values: t.Dict[str, t.Any] = {
            "not_executed": status in (421, 503),
            "sealed": True,
            "content_encoded": False,
            "content_length": None,
            "forwarded": requests.Headers(),
            "mismatched": status == 421,
        }
        return requests.ReplyHead(status, **{**values, **fields})

    def test_any_answer_may_say_that_an_engine_leaves(self) -> None:
        """Guards against requests to an engine that is about to end."""
        for status in (200, 500, 503):
            with self.subTest(status=status):
                self.make(2)
                call = self.make_call("a")
                first = self.choose(call)
                self.placement.record_reply(
                    call, first, self.make_head(status, leaving=True)
                )
                for number in range(20):
                    self.assertNotEqual(
                        first, self.choose(self.make_call(f"{number}"))
                    )

    def test_answer_of_another_server_says_nothing_of_this_one(self) -> None:
        """Guards against a leaving server at an address that is reused."""
        self.make(2)
        call = self.make_call("a")
        server = self.servers[0]
        for head in (
            self.make_head(421, leaving=True),
            self.make_head(200, leaving=True, sealed=False),
        ):
            self.placement.record_reply(call, server, head)
            self.assertFalse(self.placement.states.is_leaving(server))
        # An engine whose weights were old has probably loaded new ones.
        change = changes.TargetWeightsChanged("m", 2)
        self.placement.catalog.apply_changes(changes.Batch((change,), 2))
        self.placement.record_reply(
            call, server, self.make_head(421, leaving=True)
        )
        self.assertTrue(self.placement.states.is_leaving(server))

    def test_leaving_engine_serves_until_the_bound_if_no_other_can(
        self,
    ) -> None:
        """Guards against refusals while the last engine still serves."""
        self.make(2)
        times = entry_fakes.FakeClock(clock.read_time())
        self.placement.read_time = self.placement.states.read_time = times
        self.placement.states.leaving_seconds = 2.5
        leaving, other = self.servers
        call = self.make_call("a")
        self.placement.record_reply(
            call, leaving, self.make_head(leaving=True)
        )
        self.assertEqual(other, self.choose(call))
        self.placement.record_refusal(other)
        self.assertEqual(leaving, self.choose(call))
        retry = self.make_call("a")
        retry.tried_servers.append(other.id)
        self.assertEqual(leaving, self.choose(retry))
        self.assertTrue(self.placement.has_untried_server(retry))
        times.now += 2.5
        self.assertIsNone(self.placement.choose_server(retry))
        self.assertFalse(self.placement.has_untried_server(retry))
        self.assertEqual(other, self.choose(call))

    def test_headers_with_undocumented_values_are_logged(self) -> None:
        self.make(1)
        log = self.placement.log = entry_fakes.RecordingLog()
        head = self.make_head(ignored_headers=("Server-Leaving: yes",))
        self.placement.record_reply(self.make_call("a"), self.servers[0], head)
        self.assertEqual(["reply_header_ignored"], log.events)

    def test_refusal_with_a_rest_pauses_the_engine(self) -> None:
        """Guards against requests to an engine that asked for none."""
        self.make(2)
        resting, other = self.servers
        times = entry_fakes.FakeClock(clock.read_time())
        self.placement.read_time = self.placement.states.read_time = times
        call = self.make_call("a")
        self.placement.record_request(call, resting, cold=False)
        self.placement.record_reply(
            call, resting, self.make_head(503, rest_seconds=2.0)
        )
        self.assertEqual(other, self.choose(call))
        self.assertIsNone(self.placement.find_rest_end(call, False))
        self.placement.record_reply(
            call, other, self.make_head(503, rest_seconds=1.0)
        )
        self.assertIsNone(self.placement.choose_server(call))
        self.assertEqual(
            times.now + 1.0, self.placement.find_rest_end(call, False)
        )
        self.assertIn(
            "2 rest", self.placement.describe_missing_capacity(call, None)
        )
        call.tried_servers.append(other.id)
        self.assertEqual(
            times.now + 2.0, self.placement.find_rest_end(call, True)
        )
        times.now += 1.0
        waiting = [self.make_call(f"{number}") for number in range(5)]
        self.placement.record_request(waiting[0], other, cold=False)
        for call in waiting[1:]:
            self.assertIsNone(self.placement.choose_server(call))

    def test_server_that_has_left_does_not_count_as_free_of_rest(self) -> None:
        """Guards against callers that wait for a server that gets nothing."""
        self.make(2)
        left, resting = self.servers
        call = self.make_call("a")
        self.placement.record_reply(call, left, self.make_head(leaving=True))
        self.placement.record_reply(
            call, resting, self.make_head(503, rest_seconds=2.0)
        )
        self.assertIsNone(self.placement.choose_server(call))
        self.assertIsNotNone(self.placement.find_rest_end(call, False))
