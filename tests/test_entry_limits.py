"""Limits that all entry hosts keep together, and shared loads."""

import itertools
import random
import unittest

from sesamefold.entry import events
from sesamefold.entry import loads
from sesamefold.entry import requests
from sesamefold.entry import throttle
from tests import entry_fakes


class ColdThrottleTest(unittest.TestCase):
    """The bound on a cold server over all hosts."""

    def test_the_sum_over_all_hosts(self) -> None:
        """Hosts that see different members stay within rate x 1.5 + 5."""
        for seed in range(20):
            generator = random.Random(seed)
            clock = entry_fakes.FakeClock()
            names = [f"entry-{n}" for n in range(generator.randint(1, 12))]
            hosts = [
                throttle.ColdThrottle(
                    name,
                    lambda missing=generator.choice(names), own=name: [
                        n for n in names if n == own or n != missing
                    ],
                    clock,
                )
                for name in names
            ]
            sent: list[float] = []
            for _ in range(3000):
                clock.now += generator.expovariate(300.0)
                host = generator.choice(hosts)
                if host.has_room("i-1", 21.0):
                    host.record("i-1")
                    sent.append(clock.now)
            worst = max(
                sum(at <= other < at + 1.0 for other in sent) for at in sent
            )
            self.assertLessEqual(worst, 21 * 1.5 + 5, f"seed {seed}")

    def test_a_host_without_members_sends_nothing(self) -> None:
        host = throttle.ColdThrottle("entry-1", lambda: [])
        self.assertFalse(host.has_room("i-1", 21.0))
        self.assertTrue(host.has_room("i-1", 0.0))


class RetryThrottleTest(unittest.TestCase):
    """The fleet's budget of retries."""

    def test_the_sum_over_all_hosts(self) -> None:
        clock = entry_fakes.FakeClock()
        limits = throttle.RetryLimits(0.2, 58, 10)
        names = [f"entry-{n}" for n in range(9)]
        hosts = [
            throttle.RetryThrottle(limits, lambda: names, clock) for _ in names
        ]
        for host in hosts:
            for _ in range(100):
                host.record_request("chat")
        spent = sum(
            host.try_spend("chat") for host in hosts for _ in range(200)
        )
        self.assertLessEqual(spent, 0.2 * 900 + 58)
        self.assertGreater(spent, 100)

    def test_the_window_ends(self) -> None:
        clock = entry_fakes.FakeClock()
        host = throttle.RetryThrottle(
            throttle.RetryLimits(0.0, 4, 10), lambda: ["a"], clock
        )
        spent = [host.try_spend("chat") for _ in range(5)]
        self.assertEqual([True, True, True, False, False], spent)
        clock.now += 10.1
        self.assertTrue(host.try_spend("chat"))


class LoadsTest(unittest.TestCase):
    """Loads of several hosts."""

    def setUp(self) -> None:
        """Make two hosts."""
        self.clock = entry_fakes.FakeClock()
        self.hosts = [
            loads.Loads(name, entry_fakes.make_log(), self.clock)
            for name in ("a", "b")
        ]

    def test_the_sum_and_its_end(self) -> None:
        first, second = self.hosts
        own = first.reserve("i-1", 100, 50)
        second.reserve("i-1", 30, 30)
        first.take(second.encode(1))
        self.assertEqual(loads.Load(2, 130, 80), first.get_load("i-1"))
        own.note_read()
        self.assertEqual(loads.Load(2, 130, 30), first.get_load("i-1"))
        own.end()
        self.assertEqual(loads.Load(1, 30, 30), first.get_load("i-1"))
        self.clock.now += loads.PEER_SECONDS + 0.1
        first.forget_silent()
        self.assertEqual(loads.Load(), first.get_load("i-1"))

    def test_messages_out_of_order_and_broken(self) -> None:
        first, second = self.hosts
        reservation = second.reserve("i-1", 30, 30)
        older = second.encode(1)
        reservation.end()
        newer = second.encode(2)
        for message in (newer, older, b"x", b"[1,2]", b'["c",1,{"i":[1]}]'):
            first.take(message)
        self.assertEqual(loads.Load(), first.get_load("i-1"))


class EventBufferTest(unittest.TestCase):
    """Events cut at every place."""

    def test_every_cut(self) -> None:
        data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata"
        whole = data[: data.rindex(b"id: 3")]
        for cut in range(len(data)):
            buffer = events.EventBuffer()
            passed = buffer.feed(data[:cut]) + buffer.feed(data[cut:])
            self.assertEqual(whole, passed)
            self.assertEqual("2", buffer.last_id)
            self.assertEqual(b"id: 3\ndata", buffer.partial)


class PriorityTest(unittest.TestCase):
    """Ranks of requests at engines."""

    def test_customers_go_before_routes(self) -> None:
        ranks = [
            requests.RANKS_PER_PRIORITY * customer + route
            for customer, route in itertools.product(range(3), range(3))
        ]
        self.assertEqual(sorted(ranks), ranks)
        self.assertLessEqual(max(ranks), 9)
