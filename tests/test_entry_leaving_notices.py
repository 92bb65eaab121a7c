"""Tests of the notices of leaving servers between hosts."""

import json
import typing as t
import unittest

from sesamefold.entry import datagrams
from sesamefold.entry import server_notices
from sesamefold.entry import server_status
from tests import entry_fakes

HOSTS = ["entry-1", "entry-2", "entry-3"]


class LeavingNoticesTest(unittest.TestCase):
    """Notices that a host of the region receives."""

    def setUp(self) -> None:
        """Make hosts of one region, and one of another, with one server."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.server = entry_fakes.make_server("i-1", started_at=10)
        self.statuses = {host: self.make(host) for host in [*HOSTS, "entry-9"]}
        self.sender = self.statuses["entry-1"]
        self.receiver = self.statuses["entry-2"]

    def make(self, host: str) -> server_status.ServerStatuses:
        """Return the statuses of a host that exchanges notices."""
        host_catalog = entry_fakes.make_catalog(self.clock)
        host_catalog.apply_changes(entry_fakes.make_report_batch(self.server))
        statuses = server_status.ServerStatuses(
            entry_fakes.make_log(), self.clock, leaving_seconds=2.5
        )
        channel = entry_fakes.FakeChannel(self.network, host)
        server_notices.exchange_notices(
            t.cast(datagrams.PeerChannel, channel),
            entry_fakes.FakePeers(host, HOSTS, ["entry-9"]),
            host_catalog,
            statuses,
        )
        return statuses

    def test_hosts_of_the_region_learn_that_a_server_leaves(self) -> None:
        for _ in range(3):
            self.sender.record_leaving(self.server, "r-1")
        self.assertEqual(
            [True, True, True, False],
            [s.is_leaving(self.server) for s in self.statuses.values()],
        )
        self.assertEqual(1, self.network.sent[server_notices.LEAVING_TOPIC])

    def test_hosts_of_the_region_learn_that_a_server_was_replaced(
        self,
    ) -> None:
        """Guards against one refused request of each host."""
        self.sender.record_replaced(self.server, "another one")
        self.assertEqual(
            [False, True, True, False],
            [
                s.get(self.server).is_failing(self.clock.now)
                for s in self.statuses.values()
            ],
        )
        self.assertEqual(1, self.network.sent[server_notices.REPLACED_TOPIC])

    def test_notice_of_another_incarnation_is_ignored(self) -> None:
        """Guards against a late message that stops a restarted server."""
        for started_at in (9, 11):
            server = entry_fakes.make_server("i-1", started_at=started_at)
            self.sender = self.make("entry-8")
            self.sender.record_leaving(server, "r-1")
            self.assertFalse(self.receiver.is_leaving(self.server))
        self.sender.record_leaving(entry_fakes.make_server("i-7"), "r-1")
        self.assertFalse(self.receiver.is_leaving(self.server))

    def test_malformed_messages_are_rejected(self) -> None:
        log = entry_fakes.RecordingLog()
        channel = datagrams.PeerChannel("entry-2", ("127.0.0.1", 0), log)
        statuses = server_status.ServerStatuses(log, self.clock)
        host_catalog = entry_fakes.make_catalog(self.clock)
        host_catalog.apply_changes(entry_fakes.make_report_batch(self.server))
        server_notices.exchange_notices(
            channel,
            entry_fakes.FakePeers("entry-2", HOSTS),
            host_catalog,
            statuses,
        )
        bodies: t.Sequence[t.Any] = (
            None,
            5,
            {},
            [],
            ["i-1"],
            ["i-1", "10"],
            ["i-1", 10.0],
            ["i-1", True],
            ["i-1", None],
            ["i-1", 10, 0],
            [["i-1"], 10],
            [{}, 10],
        )
        for body in bodies:
            with self.subTest(body=body):
                log.events.clear()
                message = json.dumps(["leaving", "entry-1", body])
                channel.datagram_received(message.encode(), ("10.0.0.1", 7))
                self.assertEqual(["peer_message_rejected"], log.events)
        self.assertFalse(statuses.is_leaving(self.server))
        message = json.dumps(["leaving", "entry-1", ["i-1", 10]])
        channel.datagram_received(message.encode(), ("10.0.0.1", 7))
        self.assertTrue(statuses.is_leaving(self.server))
