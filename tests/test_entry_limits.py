"""Tests of fleet-wide limits, messages between hosts and event buffers."""

import asyncio
import itertools
import random
import typing as t
import unittest

from sesamefold.entry import datagrams
from sesamefold.entry import events
from sesamefold.entry import requests
from sesamefold.entry import throttle
from sesamefold import rendezvous
from tests import entry_fakes


class ColdThrottleTest(unittest.TestCase):
    """The fleet-wide rate limit of a cold server."""

    def test_requests_of_all_hosts_stay_within_tolerated_rate(self) -> None:
        """Hosts with different lists of hosts send at most rate x 1.5 + 5."""
        for seed in range(20):
            generator = random.Random(seed)
            clock = entry_fakes.FakeClock()
            names = [f"entry-{n}" for n in range(generator.randint(1, 12))]
            limiters = [
                throttle.ColdThrottle(
                    name,
                    lambda missing=generator.choice(names), own=name: {
                        n for n in names if n == own or n != missing
                    },
                    clock,
                )
                for name in names
            ]
            sent: list[float] = []
            for _ in range(3000):
                clock.now += generator.expovariate(300.0)
                limiter = generator.choice(limiters)
                if limiter.allows_request("i-1", 21.0):
                    limiter.record_request("i-1")
                    sent.append(clock.now)
            worst = max(
                sum(at <= other < at + 1.0 for other in sent) for at in sent
            )
            self.assertLessEqual(worst, 21 * 1.5 + 5, f"seed {seed}")

    def test_host_without_list_of_hosts_sends_only_without_limit(self) -> None:
        limiter = throttle.ColdThrottle("entry-1", frozenset)
        self.assertFalse(limiter.allows_request("i-1", 21.0))
        self.assertTrue(limiter.allows_request("i-1", 0.0))

    def test_changed_hosts_change_senders(self) -> None:
        """Guards against a cached ranking of earlier hosts."""
        hosts = {"entry-1"}
        limiter = throttle.ColdThrottle("entry-1", lambda: hosts)
        self.assertTrue(limiter.allows_request("i-1", 21.0))
        others = {f"entry-{n}" for n in range(2, 40)}
        hosts = {"entry-1", *others}
        ranked = rendezvous.rank_owners("i-1", hosts)
        expected = "entry-1" in ranked[: throttle.MAX_COLD_SENDERS]
        self.assertEqual(expected, limiter.allows_request("i-1", 21.0))
        self.assertFalse(expected)


class RetryThrottleTest(unittest.TestCase):
    """The fleet-wide retry budget."""

    def test_retries_of_all_hosts_stay_within_budget(self) -> None:
        clock = entry_fakes.FakeClock()
        limits = throttle.RetryLimits(0.2, 58, 10)
        names = [f"entry-{n}" for n in range(9)]
        limiters = [
            throttle.RetryThrottle(limits, lambda: names, clock) for _ in names
        ]
        for limiter in limiters:
            for _ in range(100):
                limiter.record_request("chat")
        spent = sum(
            limiter.try_acquire_retry("chat")
            for limiter in limiters
            for _ in range(200)
        )
        self.assertLessEqual(spent, 0.2 * 900 + 58)
        self.assertGreater(spent, 100)

    def test_retries_are_allowed_again_after_window(self) -> None:
        clock = entry_fakes.FakeClock()
        limiter = throttle.RetryThrottle(
            throttle.RetryLimits(0.0, 4, 10), lambda: ["a"], clock
        )
        spent = [limiter.try_acquire_retry("chat") for _ in range(5)]
        self.assertEqual([True, True, True, False, False], spent)
        clock.now += 10.1
        self.assertTrue(limiter.try_acquire_retry("chat"))


class PeerChannelTest(unittest.IsolatedAsyncioTestCase):
    """Messages between entry hosts."""

    async def asyncSetUp(self) -> None:
        """Open a channel whose messages are recorded."""
        self.log = entry_fakes.RecordingLog()
        self.received: t.List[t.Any] = []
        self.channel = datagrams.PeerChannel("a", ("127.0.0.1", 0), self.log)
        self.channel.subscribe("numbers", self.receive)
        await self.channel.open()
        self.addCleanup(self.channel.close)

    def receive(self, host: str, address: t.Any, body: t.Any) -> None:
        """Record a number; raises an error as a handler may."""
        self.received.append((host, int(body["n"])))

    def test_malformed_messages_are_logged_and_ignored(self) -> None:
        for data in (
            b"x",
            b"[1,2]",
            b'["numbers","b",{"n":"x"}]',
            b'["numbers","b",{}]',
            b'["numbers","b",[]]',
            b'["other","b",{"n":1}]',
            b'["numbers","a",{"n":1}]',
            b'["numbers","b",{"n":7}]',
        ):
            self.channel.datagram_received(data, ("127.0.0.1", 1))
        self.assertEqual([("b", 7)], self.received)
        rejected = [e for e in self.log.events if e == "peer_message_rejected"]
        self.assertEqual(5, len(rejected))

    async def test_message_reaches_peer_but_not_its_sender(self) -> None:
        other = datagrams.PeerChannel("b", ("127.0.0.1", 0), self.log)
        await other.open()
        self.addCleanup(other.close)
        for channel in (other, self.channel):
            channel.send("numbers", {"n": 3}, [self.channel.get_address()])
        for _ in range(100):
            if self.received:
                break
            await asyncio.sleep(0.01)
        self.assertEqual([("b", 3)], self.received)


class EventBufferTest(unittest.TestCase):
    """Event streams that are split at any byte."""

    def test_split_at_any_byte_keeps_whole_events(self) -> None:
        data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata"
        whole = data[: data.rindex(b"id: 3")]
        for split in range(len(data)):
            buffer = events.EventBuffer()
            returned = buffer.feed(data[:split]) + buffer.feed(data[split:])
            self.assertEqual(whole, returned)
            self.assertEqual("2", buffer.last_event_id)
            self.assertEqual(len(b"id: 3\ndata"), buffer.count_partial_bytes())
            self.assertEqual(b"id: 3\ndata\n\n", buffer.feed(b"\n\n"))


class PriorityTest(unittest.TestCase):
    """Priorities of requests at engines."""

    def test_customer_priority_precedes_route_priority(self) -> None:
        ranks = [
            requests.ROUTE_PRIORITY_LEVELS * customer + route
            for customer, route in itertools.product(range(3), range(3))
        ]
        self.assertEqual(sorted(ranks), ranks)
        self.assertLessEqual(max(ranks), 9)
