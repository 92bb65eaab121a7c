"""Tests of the detection of crashes of backend servers."""

import typing as t
import unittest

from sesamefold.entry import crash_detection
from sesamefold.entry import requests
from sesamefold.entry import topology
from tests import entry_fakes

FIRST = entry_fakes.make_server("i-1", started_at=10)
CRASH = crash_detection.Crash("i-1", 10)
RESTARTED = entry_fakes.make_server("i-1", started_at=11)


class CrashDetectorTest(unittest.TestCase):
    """Calls that lose their connections to a server."""

    def setUp(self) -> None:
        """Make a detector that knows one server."""
        self.clock = entry_fakes.FakeClock()
        self.catalog = entry_fakes.make_catalog(self.clock)
        self.report(FIRST)
        self.detector = crash_detection.CrashDetector(
            self.catalog, entry_fakes.make_log(), self.clock
        )
        self.found: t.List[t.Tuple[crash_detection.Crash, str]] = []
        self.detector.on_crash.append(
            lambda crash, calls: self.found.extend(
                (crash, call.request_id) for call in calls
            )
        )

    def report(self, server: topology.Server) -> None:
        """Let a server report itself."""
        self.catalog.apply_changes(entry_fakes.make_report_batch(server))

    def lose(
        self, request_id: str, begun_at: t.Optional[float] = None
    ) -> requests.Call:
        """Lose the connection of a call to the server."""
        call = entry_fakes.make_call(request_id, begun_at=begun_at)
        self.detector.record_loss(call, FIRST, self.clock.now - 0.5)
        return call

    def test_each_sign_of_the_end_of_a_server_confirms_a_crash(self) -> None:
        """Guards against crashes that are noticed only under load."""
        signs: t.Mapping[str, t.Callable[[], None]] = {
            "refused": lambda: self.detector.record_end(FIRST),
            "restarted": lambda: self.report(RESTARTED),
            "removed": lambda: self.catalog.apply_snapshot(
                entry_fakes.make_report_batch()
            ),
            "another host": lambda: self.detector.record_notice(CRASH),
        }
        for name, sign in signs.items():
            with self.subTest(name):
                self.setUp()
                self.lose("r-1")
                self.assertEqual([], self.found)
                sign()
                self.assertEqual([(CRASH, "r-1")], self.found)

    def test_lost_connections_to_a_living_server_show_no_crash(self) -> None:
        """Guards against faulty networks that make requests suspect."""
        self.lose("r-1")
        self.report(entry_fakes.make_server("i-1", started_at=10, sequence=2))
        self.clock.now += crash_detection.CONFIRMATION_SECONDS + 0.1
        self.detector.record_end(FIRST)
        self.assertEqual([], self.found)

    def test_answer_that_had_begun_is_not_the_cause(self) -> None:
        """Guards against suspects among the answers that a crash cuts off."""
        self.lose("r-1", self.clock.now - 0.6)
        self.lose("r-2", self.clock.now - 0.1)
        self.detector.record_end(FIRST)
        self.assertEqual([(CRASH, "r-2")], self.found)

    def test_loss_after_the_crash_is_known_counts_once(self) -> None:
        self.lose("r-1")
        self.detector.record_end(FIRST)
        self.lose("r-2")
        self.detector.record_end(FIRST)
        self.assertEqual(["r-1", "r-2"], [name for _, name in self.found])

    def test_server_that_crashes_again_unnoticed_has_two_crashes(self) -> None:
        """Guards against crashes that count once while the store is away."""
        self.lose("r-1")
        self.detector.record_end(FIRST)
        self.clock.now += 3.0
        self.lose("r-2")
        self.detector.record_end(FIRST)
        self.detector.record_end(FIRST)
        self.assertEqual([1, 2], [crash.number for crash, _ in self.found])

    def test_notice_of_a_known_crash_is_no_news(self) -> None:
        self.assertTrue(self.detector.record_notice(CRASH))
        self.assertFalse(self.detector.record_notice(CRASH))
        second = crash_detection.Crash("i-1", 10, 2)
        self.assertTrue(self.detector.record_notice(second))
        self.assertFalse(self.detector.record_notice(CRASH))

    def test_end_of_an_idle_server_is_not_reported(self) -> None:
        self.detector.record_end(FIRST)
        self.report(RESTARTED)
        self.assertEqual([], self.found)

    def test_lost_connections_are_bounded(self) -> None:
        for number in range(crash_detection.MAX_LOST_CONNECTIONS + 5):
            self.lose(f"r-{number}")
        self.detector.record_end(FIRST)
        self.assertEqual(crash_detection.MAX_LOST_CONNECTIONS, len(self.found))
