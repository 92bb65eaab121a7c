"""Tests of the membership."""

import asyncio
import unittest

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import membership
from sesamefold import rendezvous
from sesamefold.wire import control_pb2
from tests import control_fakes


def make_member(name, incarnation="i1", leaving=False):
    return control_pb2.Member(
        name=name,
        data_centre="dc",
        control_address="127.0.0.1:1",
        incarnation=incarnation,
        leaving=leaving,
    )


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 1000.0
        self.membership = membership.Membership(
            make_member("a"),
            control_fakes.HostList(),
            clock=lambda: self.now,
            seed=1,
        )

    def list_hosts(self, *names, revision=1):
        self.membership.apply_listing(
            hostlist.Listing(
                revision,
                tuple(control_fakes.make_host(name) for name in names),
            )
        )

    def hear(self, name, sent_at=None, **kwargs):
        at = self.now if sent_at is None else sent_at
        self.membership.handle_heartbeat(
            control_pb2.HeartbeatRequest(
                sender=make_member(name, **kwargs),
                deadline=at + defaults.HEARTBEAT_TIMEOUT,
            )
        )

    def step(self, *steps):
        """Run steps: ("list", names), ("hear", name, options), ("pass", s)."""
        for action, *arguments in steps:
            if action == "list":
                self.list_hosts(*arguments)
            elif action == "hear":
                self.hear(arguments[0], **dict(arguments[1:]))
            else:
                # The process runs all the time: it looks at the clock.
                for _ in range(int(arguments[0] / 0.5)):
                    self.now += 0.5
                    self.membership.list_members()

    async def test_members(self):
        """Guards against dead members, and against ignoring live ones."""
        cases = (
            ("listed at the start", "ab", [("list", "a", "b")]),
            (
                "listed, silent past the deadline",
                "a",
                [("list", "a", "b"), ("pass", 4.5)],
            ),
            (
                "listed later, not heard yet",
                "a",
                [("list", "a"), ("list", "a", "b")],
            ),
            ("heard, not listed yet", "ab", [("list", "a"), ("hear", "b")]),
            (
                "heard, then silent",
                "a",
                [("list", "a", "b"), ("hear", "b"), ("pass", 4.5)],
            ),
            (
                "heard after silence",
                "ab",
                [("list", "a", "b"), ("pass", 9.0), ("hear", "b")],
            ),
            (
                "leaving",
                "a",
                [("list", "a", "b"), ("hear", "b", ("leaving", True))],
            ),
            (
                "restarted after leaving",
                "ab",
                [
                    ("hear", "b", ("leaving", True)),
                    ("pass", 1.0),
                    ("hear", "b", ("incarnation", "i2")),
                ],
            ),
            (
                "late heartbeat of the process before the restart",
                "ab",
                [
                    ("hear", "b", ("incarnation", "i2")),
                    ("hear", "b", ("leaving", True), ("sent_at", 998.0)),
                ],
            ),
            (
                "heartbeat held up on the way",
                "a",
                [("hear", "b", ("sent_at", 990.0))],
            ),
        )
        for name, expected, steps in cases:
            with self.subTest(name):
                self.setUp()
                self.step(*steps)
                self.assertEqual(
                    list(expected), self.membership.list_members()
                )

    async def test_paused_process_keeps_its_peers(self):
        """Guards against a resumed process that believes to be alone."""
        self.step(("list", "a", "b", "c"), ("hear", "b"), ("pass", 3.0))
        self.hear("b")
        self.step(("pass", 2.0))  # c has been silent for too long
        self.now += 60.0  # paused
        self.assertEqual(["a", "b"], self.membership.list_members())
        self.step(("pass", 5.0))
        self.assertEqual(["a"], self.membership.list_members())

    async def test_urgent_change_reaches_the_peer_that_calls(self):
        """Guards against an urgent state that waits for the peer's call."""
        names = (f"p{index}" for index in range(100))
        name = next(
            n for n in names if self.membership.name != self.choose_caller(n)
        )
        self.hear(name)
        called = []

        async def record(peer, seconds):
            called.append(peer)

        self.membership._send_heartbeat = record
        await self.membership.start()
        self.addAsyncCleanup(self.membership.stop)
        await asyncio.sleep(0.2)
        self.assertEqual([], called)
        self.membership.send_heartbeats_now()
        await control_fakes.wait_until(lambda: called == [name])

    def choose_caller(self, name):
        pair = sorted((self.membership.name, name))
        return rendezvous.choose_owner("/".join(pair), pair)

    async def test_hosts_of_other_data_centres(self):
        """Guards against a journal that ignores other data centres."""
        other = control_fakes.make_host("x", data_centre="dd")
        out = control_fakes.make_host("y", data_centre="dd", state="leaving")
        self.membership.apply_listing(hostlist.Listing(1, (other, out)))
        self.assertEqual(["a", "x"], self.membership.list_entry_hosts())
        self.assertEqual({"dd": ["x"]}, self.membership.list_remote_hosts())
        with self.assertRaises(exceptions.ControlUnavailable):
            self.membership.get_stub("z")

    async def test_unreachable_platform_costs_the_duty(self):
        """Guards against a watcher that is cut off from the platform."""
        self.step(("list", "a"), ("hear", "b"), ("hear", "c"))
        peers = self.membership.list_peers()
        keys = [f"duty-{index}" for index in range(50)]
        before = [key for key in keys if self.membership.is_owner(key)]
        peers["b"].platform_down = peers["c"].platform_down = True
        self.assertTrue(all(map(self.membership.is_owner, keys)))
        self.membership.is_platform_down = lambda: True
        after = [key for key in keys if self.membership.is_owner(key)]
        self.assertEqual(before, after)
