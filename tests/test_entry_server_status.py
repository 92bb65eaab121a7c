"""Tests of what a host has learnt of the backend servers."""

import typing as t
import unittest

from sesamefold.entry import requests
from sesamefold.entry import server_status
from sesamefold.entry import topology
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

    def is_available(self, server: t.Optional[topology.Server] = None) -> bool:
        """Return whether a server may get requests now."""
        status = self.statuses.get(server or self.server)
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


class ReplacedTest(ServerStatusCase):
    """Servers that crashed and whose addresses others have taken.

    While the store is away or has lost its history, their entries outlast
    them, and each host would try each of them every few seconds.
    """

    def test_replaced_server_gets_nothing_while_its_entry_lasts(self) -> None:
        self.statuses.record_replaced(self.server, "another one")
        self.statuses.record_report(self.server)
        self.clock.now += server_status.REPLACED_SECONDS - 0.01
        self.assertFalse(self.is_available())
        self.clock.now += 0.02
        self.assertTrue(self.is_available())

    def test_new_report_of_a_replaced_server_is_believed(self) -> None:
        """Guards against a wrong answer that shuts a sound server out."""
        for record in (
            lambda: self.statuses.record_replaced(self.server, "another one"),
            lambda: self.statuses.record_replaced_notice(self.server, "b"),
        ):
            record()
            self.statuses.record_report(
                entry_fakes.make_server("i-1", started_at=10, sequence=2)
            )
            self.assertTrue(self.is_available())
            status = self.statuses.get(self.server)
            self.assertFalse(status.is_failing(self.clock.now))

    def test_notice_of_another_host_only_lowers_the_rank(self) -> None:
        """Guards against a wrong message that shuts out all servers."""
        self.statuses.record_replaced_notice(self.server, "b")
        self.assertTrue(self.is_available())
        status = self.statuses.get(self.server)
        self.clock.now += server_status.SUSPICION_SECONDS + 1
        self.assertTrue(status.is_failing(self.clock.now))

    def test_hosts_are_told_once(self) -> None:
        told: t.List[topology.Server] = []
        self.statuses.on_replaced.append(told.append)
        for _ in range(3):
            self.statuses.record_replaced(self.server, "another one")
        self.assertEqual(told, [self.server])


class LeavingTest(ServerStatusCase):
    """Servers whose answers say that they leave."""

    def setUp(self) -> None:
        """Allow 2.5 s of requests to a leaving server."""
        super().setUp()
        self.statuses.leaving_seconds = 2.5
        self.announced: t.List[topology.Server] = []
        self.statuses.on_leaving.append(self.announced.append)

    def may_serve(self, server: t.Optional[topology.Server] = None) -> bool:
        """Return whether a server may get requests in need."""
        status = self.statuses.get(server or self.server)
        return status.may_serve(self.clock.now)

    def test_leaving_server_may_serve_until_the_bound(self) -> None:
        """Guards against requests to a server after its time to leave."""
        self.statuses.record_leaving(self.server, "r-1")
        self.assertTrue(self.statuses.is_leaving(self.server))
        self.assertTrue(self.may_serve())
        self.clock.now += 2.5 - server_status.LEAVING_MARGIN_SECONDS - 0.01
        self.assertTrue(self.may_serve())
        self.clock.now += 0.02
        self.assertFalse(self.may_serve())
        self.assertFalse(self.is_available())
        self.clock.now += 1e6
        self.assertFalse(self.may_serve())

    def test_further_answers_do_not_extend_the_bound(self) -> None:
        """Guards against a server in use as long as it answers."""
        for number in range(6):
            self.statuses.record_leaving(self.server, f"r-{number}")
            self.clock.now += 0.5
        self.assertFalse(self.may_serve())
        self.assertEqual([self.server], self.announced)
        self.assertEqual(["server_leaving"], self.log.events)

    def test_report_does_not_undo_the_notice(self) -> None:
        """Guards against a late list that says that the server is ready."""
        self.statuses.record_leaving(self.server, "r-1")
        self.statuses.record_report(
            entry_fakes.make_server("i-1", started_at=10, sequence=9)
        )
        self.assertTrue(self.statuses.is_leaving(self.server))

    def test_entry_that_lapsed_and_came_back_does_not_undo_the_notice(
        self,
    ) -> None:
        """Guards against a notice that is lost while the store is away."""
        self.statuses.record_leaving(self.server, "r-1")
        self.statuses.forget_server(self.server.id)
        self.clock.now += 3.0
        self.assertTrue(self.statuses.is_leaving(self.server))
        self.assertFalse(self.may_serve())

    def test_notice_does_not_apply_to_the_next_incarnation(self) -> None:
        """Guards against a restarted server that gets no requests."""
        self.statuses.record_leaving(self.server, "r-1")
        self.assertFalse(self.statuses.is_leaving(self.restarted))
        self.statuses.record_leaving(self.server, "r-2")
        self.statuses.record_peer_notice(self.server, "entry-2")
        self.assertFalse(self.statuses.is_leaving(self.restarted))
        self.assertEqual([self.server], self.announced)
        self.statuses.record_leaving(self.restarted, "r-3")
        self.statuses.forget_server(self.server.id)
        self.statuses.suspect(self.server, "refused")
        self.statuses.record_leaving(self.server, "r-4")
        self.assertTrue(self.statuses.is_leaving(self.restarted))
        self.assertTrue(self.is_available(self.restarted))
        self.assertEqual(2, self.log.events.count("server_leaving"))

    def test_removed_servers_are_remembered_up_to_a_limit(self) -> None:
        for number in range(server_status.REMEMBERED_SERVERS + 5):
            server = entry_fakes.make_server(f"s-{number}", started_at=1)
            self.statuses.record_leaving(server, "r-1")
            self.statuses.forget_server(server.id)
        self.assertEqual(
            server_status.REMEMBERED_SERVERS, len(self.statuses._removed)
        )

    def test_notice_of_another_host_never_shuts_a_server_out(self) -> None:
        """Guards against one wrong message that empties a service."""
        self.statuses.record_peer_notice(self.server, "entry-2")
        self.assertTrue(self.statuses.is_leaving(self.server))
        self.clock.now += server_status.PEER_NOTICE_SECONDS - 0.01
        self.assertTrue(self.statuses.is_leaving(self.server))
        self.assertTrue(self.may_serve())
        self.clock.now += 0.02
        self.assertFalse(self.statuses.is_leaving(self.server))
        self.assertTrue(self.may_serve())

    def test_notice_of_another_host_ends_with_the_entry(self) -> None:
        self.statuses.record_peer_notice(self.server, "entry-2")
        self.statuses.record_rest(self.server, 5.0, "r-1")
        self.statuses.forget_server(self.server.id)
        self.assertFalse(self.statuses.is_leaving(self.server))

    def test_own_notice_outranks_that_of_another_host(self) -> None:
        self.statuses.record_peer_notice(self.server, "entry-2")
        self.statuses.record_leaving(self.server, "r-1")
        self.statuses.record_peer_notice(self.server, "entry-2")
        self.clock.now += 2.5
        self.assertFalse(self.may_serve())


class RestTest(ServerStatusCase):
    """Servers that ask for a time without requests."""

    def setUp(self) -> None:
        """Record which servers asked."""
        super().setUp()
        self.asked: t.List[topology.Server] = []
        self.statuses.on_rest.append(self.asked.append)

    def rest(self, seconds: float) -> None:
        """Record that the server asks for a rest."""
        self.statuses.record_rest(self.server, seconds, "r-1")

    def send_available(self) -> int:
        """Send requests as long as the server is available; count them."""
        count = 0
        while count < 100 and self.is_available():
            self.statuses.record_request(self.server)
            count += 1
        return count

    def test_resting_server_gets_nothing_until_the_end(self) -> None:
        """Guards against requests to a server that asked for none."""
        self.rest(3.0)
        self.assertEqual(["server_resting"], self.log.events)
        self.assertEqual([self.server], self.asked)
        for _ in range(29):
            self.assertFalse(self.is_available())
            self.clock.now += 0.1
        self.statuses.record_loaded(self.server)
        self.assertFalse(self.is_available())
        self.clock.now += 0.11
        self.assertTrue(self.is_available())

    def test_shorter_rest_does_not_end_a_longer_one(self) -> None:
        """Guards against refusals that arrive in another order."""
        self.rest(5.0)
        self.clock.now += 1.0
        self.rest(0.5)
        self.rest(0.0)
        self.clock.now += 3.9
        self.assertFalse(self.is_available())
        self.clock.now += 0.2
        self.assertTrue(self.is_available())

    def test_requests_return_in_steps_after_a_rest(self) -> None:
        """Guards against all waiting requests at once after a rest."""
        self.rest(2.0)
        self.clock.now += 2.0
        counts = []
        for _ in range(4):
            counts.append(self.send_available())
            self.clock.now += server_status.RAMP_DOUBLING_SECONDS
        self.assertEqual([1, 1, 2, 4], counts)
        self.assertEqual(100, self.send_available())

    def test_rest_during_the_return_begins_anew(self) -> None:
        self.rest(2.0)
        self.clock.now += 2.3
        self.assertEqual(2, self.send_available())
        self.rest(2.0)
        self.assertEqual(0, self.send_available())
        self.clock.now += 2.0
        self.assertEqual(1, self.send_available())

    def test_excessive_rest_is_bounded(self) -> None:
        """Guards against a wrong time that takes a server out for long."""
        for seconds in (86400.0, 1e300, float("inf")):
            with self.subTest(seconds=seconds):
                self.statuses.clear()
                self.rest(seconds)
                self.clock.now += server_status.MAX_REST_SECONDS - 0.1
                self.assertFalse(self.is_available())
                self.clock.now += 0.2
                self.assertEqual(1, self.send_available())

    def test_rest_belongs_to_one_incarnation(self) -> None:
        self.rest(5.0)
        self.assertTrue(self.is_available(self.restarted))
        self.rest(5.0)
        self.assertTrue(self.is_available(self.restarted))
        self.assertEqual(1, len(self.asked))

    def test_entry_that_lapsed_and_came_back_does_not_end_the_rest(
        self,
    ) -> None:
        self.rest(5.0)
        self.statuses.forget_server(self.server.id)
        self.assertFalse(self.is_available())
        self.clock.now += 5.0
        self.assertTrue(self.is_available())
