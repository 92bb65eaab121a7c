"""Limits that all entry hosts keep together, and shared loads."""

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
                host = generator.choice(hosts)
                if host.has_room("i-1", 21.0):
                    host.record("i-1")
                    sent.append(clock.now)
            worst = max(
                sum(at <= other < at + 1.0 for other in sent) for at in sent
            )
            self.assertLessEqual(worst, 21 * 1.5 + 5, f"seed {seed}")

    def test_a_host_without_members_sends_nothing(self) -> None:
        host = throttle.ColdThrottle("entry-1", frozenset)
        self.assertFalse(host.has_room("i-1", 21.0))
        self.assertTrue(host.has_room("i-1", 0.0))

    def test_members_that_change(self) -> None:
        """Guards against a rank that outlives the members it is for."""
        members = {"entry-1"}
        host = throttle.ColdThrottle("entry-1", lambda: members)
        self.assertTrue(host.has_room("i-1", 21.0))
        others = {f"entry-{n}" for n in range(2, 40)}
        members = {"entry-1", *others}
        ranked = rendezvous.rank_owners("i-1", members)
        expected = "entry-1" in ranked[: throttle.COLD_SENDERS]
        self.assertEqual(expected, host.has_room("i-1", 21.0))
        self.assertFalse(expected)


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
            host.try_acquire_retry("chat")
            for host in hosts
            for _ in range(200)
        )
        self.assertLessEqual(spent, 0.2 * 900 + 58)
        self.assertGreater(spent, 100)

    def test_the_window_ends(self) -> None:
        clock = entry_fakes.FakeClock()
        host = throttle.RetryThrottle(
            throttle.RetryLimits(0.0, 4, 10), lambda: ["a"], clock
        )
        spent = [host.try_acquire_retry("chat") for _ in range(5)]
        self.assertEqual([True, True, True, False, False], spent)
        clock.now += 10.1
        self.assertTrue(host.try_acquire_retry("chat"))


class PeerChannelTest(unittest.IsolatedAsyncioTestCase):
    """Messages between hosts."""

    async def asyncSetUp(self) -> None:
        """Open a channel whose messages are kept."""
        self.log = entry_fakes.RecordingLog()
        self.got: t.List[t.Any] = []
        self.channel = datagrams.PeerChannel("a", ("127.0.0.1", 0), self.log)
        self.channel.subscribe("numbers", self.take)
        await self.channel.open()
        self.addCleanup(self.channel.close)

    def take(self, host: str, address: t.Any, body: t.Any) -> None:
        """Keep a number, or fail as a handler may."""
        self.got.append((host, int(body["n"])))

    def test_broken_messages_are_logged_and_ignored(self) -> None:
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
        self.assertEqual([("b", 7)], self.got)
        rejected = [e for e in self.log.events if e == "peer_message_rejected"]
        self.assertEqual(5, len(rejected))

    async def test_a_message_reaches_a_peer_and_not_itself(self) -> None:
        other = datagrams.PeerChannel("b", ("127.0.0.1", 0), self.log)
        await other.open()
        self.addCleanup(other.close)
        for channel in (other, self.channel):
            channel.send("numbers", {"n": 3}, [self.channel.get_address()])
        for _ in range(100):
            if self.got:
                break
            await asyncio.sleep(0.01)
        self.assertEqual([("b", 3)], self.got)


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
