"""Tests of the exchange of crashes and suspicions between hosts."""

import json
import typing as t
import unittest

from sesamefold import culprits
from sesamefold.entry import crash_detection
from sesamefold.entry import datagrams
from sesamefold.entry import suspicion_exchange
from sesamefold import suspicions
from tests import entry_fakes

SERVER = entry_fakes.make_server("i-1", started_at=10)
CRASH = crash_detection.Crash("i-1", 10)
TOPIC = suspicion_exchange.TOPIC


class ExchangeCase(unittest.TestCase):
    """Test case with hosts that exchange what they know."""

    hosts = ["entry-1", "entry-2", "entry-3"]
    remote_hosts = ["entry-8", "entry-9"]

    def setUp(self) -> None:
        """Make the hosts of two regions."""
        self.clock = entry_fakes.FakeClock()
        self.network = entry_fakes.FakeNetwork()
        self.exchanges: t.Dict[str, suspicion_exchange.SuspicionExchange] = {}
        for host in [*self.hosts, *self.remote_hosts]:
            self.add_host(host)

    def add_host(self, host: str) -> suspicion_exchange.SuspicionExchange:
        """Make a host that knows of no crash."""
        catalog = entry_fakes.make_catalog(self.clock)
        catalog.apply_changes(entry_fakes.make_report_batch(SERVER))
        regions = [self.hosts, self.remote_hosts]
        if host in self.remote_hosts:
            regions.reverse()
        self.exchanges[host] = suspicion_exchange.SuspicionExchange(
            t.cast(
                datagrams.PeerChannel,
                entry_fakes.FakeChannel(self.network, host),
            ),
            host,
            entry_fakes.FakePeers(host, *regions),
            culprits.Culprits(
                suspicions.Suspicions(clock=self.clock),
                3,
                read_time=self.clock,
            ),
            crash_detection.CrashDetector(
                catalog, entry_fakes.make_log(), self.clock
            ),
            self.clock,
        )
        return self.exchanges[host]

    def crash(self, host: str, number: int = 1) -> None:
        """Let a host see a crash with the part "P" in flight."""
        exchange = self.exchanges[host]
        exchange.culprits.record_sound_parts([culprits.digest_part("m", "F")])
        request = culprits.Fingerprint(
            f"{host}{number}".encode().ljust(16, b"."),
            b"customer",
            (culprits.digest_part("m", "P"),),
        )
        crash_id = f"c{number}".encode().ljust(8, b".")
        self.clock.now += 0.1
        exchange.announce(
            exchange.culprits.record_crash(crash_id, [request]),
            crash_detection.Crash("i-1", 10, number),
        )

    def send(self, seconds: float = 0.0) -> None:
        """Let all hosts send what is due."""
        for _ in range(3):
            for exchange in self.exchanges.values():
                exchange.send_due()
        self.clock.now += seconds

    def list_refusing_hosts(self) -> t.List[str]:
        """Return the hosts that refuse requests with the part."""
        request = culprits.Fingerprint(
            b"new".ljust(16, b"."),
            b"customer",
            (culprits.digest_part("m", "P"),),
        )
        return [
            host
            for host, exchange in self.exchanges.items()
            if exchange.culprits.judge(request).verdict
            is culprits.Verdict.REFUSE
        ]


class SmallFleetTest(ExchangeCase):
    """Hosts that send to all others."""

    def test_crashes_seen_by_different_hosts_add_up(self) -> None:
        """Guards against one crash after the other, each at another host."""
        for number, host in enumerate(["entry-1", "entry-2", "entry-9"]):
            self.assertEqual([], self.list_refusing_hosts())
            self.crash(host, number)
            self.send()
        self.assertEqual([*self.exchanges], self.list_refusing_hosts())

    def test_the_same_crash_seen_by_many_hosts_counts_once(self) -> None:
        for host in self.exchanges:
            self.crash(host)
        self.send()
        self.assertEqual([], self.list_refusing_hosts())

    def test_lost_messages_are_repeated(self) -> None:
        """Guards against a message that a lossy link drops."""
        self.network.lost_topics = {TOPIC}
        for number in range(3):
            self.crash("entry-1", number)
        self.send(0.5)
        self.assertEqual(["entry-1"], self.list_refusing_hosts())
        self.network.lost_topics = set()
        self.send()
        self.assertEqual([*self.exchanges], self.list_refusing_hosts())

    def test_new_host_learns_the_culprits(self) -> None:
        """Guards against a host that starts and lets the requests run."""
        for number in range(3):
            self.crash("entry-1", number)
        self.send(5.0)
        self.hosts = [*self.hosts, "entry-4"]
        for exchange in self.exchanges.values():
            exchange.peers = entry_fakes.FakePeers(
                exchange.host, [*self.hosts, *self.remote_hosts]
            )
        self.add_host("entry-4")
        for _ in range(20):
            for exchange in self.exchanges.values():
                exchange.send_culprits()
        self.assertIn("entry-4", self.list_refusing_hosts())

    def test_crash_is_told_to_hosts_that_lost_a_connection(self) -> None:
        """Guards against crashes that an idle host takes for lost links."""
        found: t.List[str] = []
        detector = self.exchanges["entry-2"].crashes
        detector.on_crash.append(
            lambda crash, calls: found.extend(c.request_id for c in calls)
        )
        detector.record_loss(
            entry_fakes.make_call("r-1"), SERVER, self.clock.now - 1.0
        )
        self.exchanges["entry-1"].announce(crash=CRASH)
        self.send()
        self.assertEqual(["r-1"], found)

    def test_nothing_is_sent_without_crashes(self) -> None:
        self.send()
        for exchange in self.exchanges.values():
            exchange.send_culprits()
        self.assertEqual(0, self.network.sent[TOPIC])

    def test_message_is_cut_into_datagrams(self) -> None:
        """Guards against a crash of more requests than a datagram holds."""
        exchange = self.exchanges["entry-1"]
        requests = [
            culprits.Fingerprint(
                f"r{number}".encode().ljust(16, b"."),
                b"customer",
                (culprits.digest_part("m", f"p{number}"),),
            )
            for number in range(120)
        ]
        for number in range(8):
            crash_id = f"c{number}".encode().ljust(8, b".")
            exchange.announce(
                exchange.culprits.record_crash(crash_id, requests)
            )
        sizes: t.List[int] = []
        channel = t.cast(t.Any, exchange.channel)
        channel.send = lambda topic, body, addresses: sizes.append(
            len(json.dumps([topic, "entry-1", body], separators=(",", ":")))
        )
        exchange.send_due()
        self.assertGreater(len(sizes), 1)
        self.assertLessEqual(max(sizes), datagrams.MAX_MESSAGE_BYTES)

    def test_malformed_messages_are_rejected(self) -> None:
        log = entry_fakes.RecordingLog()
        channel = datagrams.PeerChannel("entry-2", ("127.0.0.1", 0), log)
        exchange = self.add_host("entry-2")
        exchange.channel = channel
        exchange.__attrs_post_init__()
        digest, short = "00" * 16, "00" * 8
        crash = [short, 5.0, 0, "", ""]
        bodies: t.Sequence[t.Any] = (
            None,
            5,
            {},
            [],
            [[], []],
            [[], [], "1"],
            [[], [], [], []],
            [[], [], float("nan")],
            [[["i-1", 10]], [], None],
            [[["i-1", "10", 1]], [], None],
            [[[7, 10, 1]], [], None],
            [[["i-1", 10, True]], [], None],
            [[], [[digest]], None],
            [[], [["xx", []]], None],
            [[], [[short, [crash]]], None],
            [[], [["00" * 18, [crash]]], None],
            [[], [[digest, [[digest, 5.0, 0, "", ""]]]], None],
            [[], [[digest, [[short, float("inf"), 0, "", ""]]]], None],
            [[], [[digest, [[short, "5", 0, "", ""]]]], None],
            [[], [[digest, [[short, 5.0, 0, "00", ""]]]], None],
            [[], [[digest, [crash] * 100]], None],
            [[], [[digest, [crash]]] * 100, None],
        )
        for body in bodies:
            with self.subTest(body=str(body)[:60]):
                log.events.clear()
                message = json.dumps([TOPIC, "entry-1", body]).encode()
                channel.datagram_received(message, ("127.0.0.1", 1))
                self.assertEqual(["peer_message_rejected"], log.events)
        self.assertFalse(exchange.culprits.has_suspects())


class LargeFleetTest(ExchangeCase):
    """Hosts of regions whose relays pass changes on."""

    hosts = [f"entry-{number}" for number in range(1, 21)]
    remote_hosts = [f"remote-{number}" for number in range(1, 21)]

    def test_all_hosts_learn_of_a_culprit_with_few_messages(self) -> None:
        """Guards against a message from each host to each other one."""
        for number, host in enumerate(self.hosts[:3]):
            self.crash(host, number)
            self.send()
        self.assertEqual([*self.exchanges], self.list_refusing_hosts())
        sent = [row for row in self.network.message_log if row[0] == TOPIC]
        # At most four relays in each step, which reach 19 peers each.
        self.assertLessEqual(len(sent), 3 * (4 + 4 * (19 + 2)))
