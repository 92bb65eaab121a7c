"""Tests of the durations of runs and of the deadlines of a shutdown."""

import asyncio
import typing as t
import unittest
import unittest.mock

import multidict

from sesamefold.entry import clock
from sesamefold.entry import durations
from sesamefold.entry import requests
from sesamefold.entry import shutdown
from sesamefold.entry import topology
from sesamefold import exceptions
from tests import entry_fakes


def make_call(
    deadline: float,
    idempotent: bool = True,
    output_tokens: t.Optional[int] = None,
) -> requests.Call:
    """Return a call, with a prompt if it has output tokens."""
    route = topology.Route(
        name="route",
        host="callers.example",
        path_prefix="/",
        services=(),
        idempotent=idempotent,
        streamed=False,
        resumable=False,
        public=True,
        max_servers=2,
        timeout=30.0,
        first_byte_target=1.0,
        priority=1,
    )
    prompt = None
    if output_tokens is not None:
        prompt = requests.Prompt("model-1", 100, output_tokens)
    return requests.Call(
        head=requests.RequestHead(
            "r-1", multidict.CIMultiDict(), prompt=prompt
        ),
        route=route,
        service="chat",
        customer=None,
        method="POST",
        target="/",
        body=b"",
        arrived_at=0.0,
        deadline=deadline,
    )


class DurationsTest(unittest.TestCase):
    """The longest recent runs."""

    def setUp(self) -> None:
        """Create durations with a clock of the test."""
        self.clock = entry_fakes.FakeClock()
        self.durations = durations.Durations(self.clock)

    def test_the_longest_run_counts_for_one_to_two_windows(self) -> None:
        """Guards against a slow run that is forgotten, or never is."""
        call = make_call(0.0)
        self.assertIsNone(self.durations.find_longest(call))
        self.durations.record(call, 4.0)
        self.durations.record(call, 1.0)
        self.assertEqual(4.0, self.durations.find_longest(call))
        self.clock.now += 1.1 * durations.WINDOW_SECONDS
        self.durations.record(call, 2.0)
        self.assertEqual(4.0, self.durations.find_longest(call))
        self.clock.now += durations.WINDOW_SECONDS
        self.assertEqual(2.0, self.durations.find_longest(call))
        self.clock.now += 5.0 * durations.WINDOW_SECONDS
        self.assertIsNone(self.durations.find_longest(call))

    def test_runs_of_other_kinds_say_nothing(self) -> None:
        """Guards against expecting that a long kind is as short as another."""
        self.durations.record(make_call(0.0), 1.0)
        self.assertIsNone(
            self.durations.find_longest(make_call(0.0, idempotent=False))
        )

    def test_a_larger_prompt_than_any_known_has_no_known_duration(
        self,
    ) -> None:
        """Guards against expecting that a long output is as short."""
        small, middle, large = (
            make_call(0.0, output_tokens=tokens) for tokens in (10, 100, 1000)
        )
        self.durations.record(middle, 3.0)
        self.assertEqual(3.0, self.durations.find_longest(small))
        self.assertIsNone(self.durations.find_longest(large))
        self.durations.record(large, 9.0)
        self.durations.record(small, 1.0)
        self.assertEqual(1.0, self.durations.find_longest(small))
        self.assertEqual(3.0, self.durations.find_longest(middle))
        self.durations.record(small, 5.0)
        self.assertEqual(5.0, self.durations.find_longest(middle))

    def test_entries_without_recent_runs_are_removed(self) -> None:
        """Guards against growth with each service that ever existed."""
        self.durations.record(make_call(0.0), 1.0)
        self.clock.now += 5.0 * durations.WINDOW_SECONDS
        self.durations.record(make_call(0.0, idempotent=False), 1.0)
        self.assertEqual(1, len(self.durations._maxima))


class ShutdownTest(unittest.TestCase):
    """Which requests a host that shuts down sends to a server."""

    def setUp(self) -> None:
        """Begin a shutdown of 8 s, after runs of 2 s."""
        self.clock = entry_fakes.FakeClock()
        patch = unittest.mock.patch.object(clock, "read_time", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.shutdown = shutdown.Shutdown(durations.Durations(self.clock))

    def is_refused(self, call: requests.Call) -> bool:
        """Return whether a call that has not run is refused."""
        try:
            self.shutdown.check(call)
        except exceptions.ShuttingDown as error:
            self.assertLess(error.retry_after or 9.0, 0.5)
            return True
        return False

    def test_nothing_is_refused_or_limited_before_the_signal(self) -> None:
        """Guards against deadlines of a shutdown that was not requested."""
        call = make_call(self.clock.now + 30.0)
        self.assertFalse(self.is_refused(call))
        self.assertEqual(30.0, self.shutdown.get_run_seconds(call))
        self.shutdown.refuse_new()

    def test_an_unknown_request_is_sent_only_if_its_deadline_is_near(
        self,
    ) -> None:
        """Guards against requests taken that outlive the process (LOST)."""
        self.shutdown.begin(8.0)
        self.assertTrue(self.is_refused(make_call(self.clock.now + 7.5)))
        self.assertFalse(self.is_refused(make_call(self.clock.now + 7.0)))

    def test_requests_that_cannot_be_repeated_have_a_stricter_bound(
        self,
    ) -> None:
        """Guards against cuts that callers can do nothing about."""
        calls = [
            make_call(self.clock.now + 30.0, idempotent=idempotent)
            for idempotent in (True, False)
        ]
        for call in calls:
            with self.shutdown.measure_run(call):
                self.clock.now += 2.0
        self.shutdown.begin(8.0)
        refused = []
        for _ in range(3):
            refused.append([self.is_refused(call) for call in calls])
            self.clock.now += 2.2
        self.assertEqual(
            [[False, False], [False, False], [False, True]], refused
        )
        self.clock.now += 0.1
        self.assertTrue(self.is_refused(calls[0]))

    def test_servers_get_no_deadline_after_the_end_of_the_runs(self) -> None:
        """Guards against engines at work on what nobody can pass on."""
        call = make_call(self.clock.now + 30.0)
        self.shutdown.begin(8.0)
        self.assertLess(self.shutdown.get_run_seconds(call), 7.3)
        self.assertLess(
            self.shutdown.runs_end_at, self.shutdown.answers_end_at
        )

    def test_a_run_that_broke_off_says_nothing(self) -> None:
        """Guards against taking a broken run for a short one."""
        call = make_call(self.clock.now + 30.0)
        with self.assertRaises(exceptions.ReplyBroken):
            with self.shutdown.measure_run(call):
                raise exceptions.ReplyBroken("reset")
        self.assertIsNone(self.shutdown.durations.find_longest(call))

    def test_a_run_that_is_given_up_counts_only_beside_complete_ones(
        self,
    ) -> None:
        """Guards against taking a caller that left early for a short run."""
        call = make_call(self.clock.now + 30.0)

        def leave_after(seconds: float) -> None:
            with self.assertRaises(asyncio.CancelledError):
                with self.shutdown.measure_run(call):
                    self.clock.now += seconds
                    raise asyncio.CancelledError

        leave_after(0.1)
        self.assertIsNone(self.shutdown.durations.find_longest(call))
        with self.shutdown.measure_run(call):
            self.clock.now += 1.0
        leave_after(0.1)
        leave_after(3.0)
        longest = self.shutdown.durations.find_longest(call)
        assert longest is not None
        self.assertAlmostEqual(3.0, longest)

    def test_the_deadlines_are_in_order_for_any_time_to_stop(self) -> None:
        """Guards against refusing only after the end of a short shutdown."""
        for seconds in (0.5, 1.0, 3.0, 6.0, 8.0, 60.0):
            planned = shutdown.Shutdown()
            planned.begin(seconds)
            deadlines = [
                planned.requested_at,
                planned.refuse_at,
                planned.refused_until,
                planned.answers_end_at,
                planned.flushed_at,
                planned.requested_at + seconds,
            ]
            self.assertEqual(sorted(deadlines), deadlines)
