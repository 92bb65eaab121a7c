"""Tests of what a host has learnt of the backend servers."""

import unittest

from sesamefold.entry import requests
from sesamefold.entry import server_status
from tests import entry_fakes


class ServerStatusCase(unittest.TestCase):
    """Test case with the statuses of a host that knows one server."""

    def setUp(self) -> None:
        """Make the statuses and a server in two incarnations."""
        self.clock = entry_fakes.FakeClock()
        self.log = entry_fakes.RecordingLog()
        self.statuses = server_status.ServerStatuses(self.log, self.clock)
        self.server = entry_fakes.make_server("i-1", started_at=10)
        self.restarted = entry_fakes.make_server("i-1", started_at=20)

    def is_available(self, server: object = None) -> bool:
        """Return whether a server may get requests now."""
        status = self.statuses.get(server or self.server)  # type: ignore
        return status.is_available(self.clock.now)


class IncarnationTest(ServerStatusCase):
    """Statuses of a server that restarts under the same id."""

    def make_bad_status(self) -> None:
        """Record all that keeps requests from a server."""
        self.statuses.suspect(self.server, "refused")
        self.statuses.record_refusal(self.server)
        for _ in range(10):
            self.statuses.record_outcome(self.server, failed=True)
        self.statuses.record_load(self.server, requests.ReportedLoad(8, 40, 8))

    def test_restarted_server_begins_with_an_empty_status(self) -> None:
        """Guards against failures of a former incarnation that count on."""
        self.make_bad_status()
        self.assertFalse(self.is_available())
        status = self.statuses.get(self.restarted)
        now = self.clock.now
        self.assertTrue(status.is_available(now))
        self.assertFalse(status.is_failing(now))
        self.assertEqual(0, status.count_reported_requests(now))

    def test_late_answer_of_a_former_incarnation_changes_nothing(self) -> None:
        """Guards against a restarted server that is paused for nothing."""
        self.statuses.get(self.restarted)
        self.make_bad_status()
        self.assertTrue(self.is_available(self.restarted))
        self.assertFalse(
            self.statuses.get(self.restarted).is_failing(self.clock.now)
        )

    def test_status_of_a_removed_server_is_dropped(self) -> None:
        self.make_bad_status()
        self.statuses.forget_server(self.server.id)
        self.assertTrue(self.is_available())


class ExpiryTest(ServerStatusCase):
    """Ends of what was learnt of a server."""

    def test_pauses_end_at_their_deadlines(self) -> None:
        for record, seconds in (
            (
                self.statuses.record_refusal,
                server_status.REFUSAL_BACKOFF_SECONDS,
            ),
            (
                self.statuses.record_loading,
                server_status.LOADING_BACKOFF_SECONDS,
            ),
            (
                lambda server: self.statuses.suspect(server, "refused"),
                server_status.SUSPICION_SECONDS,
            ),
        ):
            with self.subTest(seconds=seconds):
                record(self.server)
                self.clock.now += seconds - 0.01
                self.assertFalse(self.is_available())
                self.clock.now += 0.02
                self.assertTrue(self.is_available())

    def test_report_after_the_suspicion_ends_it(self) -> None:
        self.statuses.suspect(self.server, "refused")
        self.statuses.record_report(self.server)
        self.assertFalse(self.is_available())
        self.statuses.record_report(
            entry_fakes.make_server("i-1", started_at=10, sequence=2)
        )
        self.assertTrue(self.is_available())
        self.assertEqual(
            ["server_suspected", "server_trusted"], self.log.events
        )

    def test_reported_load_expires(self) -> None:
        load = requests.ReportedLoad(3, 4, 8)
        self.statuses.record_load(self.server, load)
        status = self.statuses.get(self.server)
        self.assertEqual(7, status.count_reported_requests(self.clock.now))
        self.clock.now += server_status.REPORTED_LOAD_EXPIRY_SECONDS + 0.01
        self.assertEqual(0, status.count_reported_requests(self.clock.now))
