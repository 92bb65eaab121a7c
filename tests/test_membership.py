"""Tests of the membership of entry hosts."""

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

    def apply_host_list(self, *names, revision=1):
        self.membership.apply_listing(
            hostlist.Listing(
                revision,
                tuple(control_fakes.make_host(name) for name in names),
            )
        )

    def send_heartbeat(self, name, sent_at=None, **kwargs):
        at = self.now if sent_at is None else sent_at
        self.membership.handle_heartbeat(
            control_pb2.HeartbeatRequest(
                sender=make_member(name, **kwargs),
                deadline=at + defaults.HEARTBEAT_TIMEOUT,
            )
        )

    def run_steps(self, *steps):
        """Run steps of three kinds.

        They are ("list", names), ("heartbeat", name, options) and
        ("wait", seconds).
        """
        for action, *arguments in steps:
            if action == "list":
                self.apply_host_list(*arguments)
            elif action == "heartbeat":
                self.send_heartbeat(arguments[0], **dict(arguments[1:]))
            else:
                # Reads the clock often enough that no pause is detected.
                for _ in range(int(arguments[0] / 0.5)):
                    self.now += 0.5
                    self.membership.list_members()

    async def test_members_follow_host_list_and_heartbeats(self):
        """Guards against silent hosts as members, and live ones that are not.

        The second value of a case has the names of the expected members.
        """
        cases = (
            ("listed at the start", "ab", [("list", "a", "b")]),
            (
                "listed, silent past the deadline",
                "a",
                [("list", "a", "b"), ("wait", 4.5)],
            ),
            (
                "listed later, no heartbeat yet",
                "a",
                [("list", "a"), ("list", "a", "b")],
            ),
            (
                "heartbeat, not listed yet",
                "ab",
                [("list", "a"), ("heartbeat", "b")],
            ),
            (
                "silent after a heartbeat",
                "a",
                [("list", "a", "b"), ("heartbeat", "b"), ("wait", 4.5)],
            ),
            (
                "heartbeat after silence",
                "ab",
                [("list", "a", "b"), ("wait", 9.0), ("heartbeat", "b")],
            ),
            (
                "leaving",
                "a",
                [("list", "a", "b"), ("heartbeat", "b", ("leaving", True))],
            ),
            (
                "leaving, earlier heartbeat delayed",
                "a",
                [
                    ("heartbeat", "b", ("leaving", True)),
                    ("heartbeat", "b", ("sent_at", 999.5)),
                ],
            ),
            (
                "restarted after leaving",
                "ab",
                [
                    ("heartbeat", "b", ("leaving", True)),
                    ("wait", 1.0),
                    ("heartbeat", "b", ("incarnation", "i2")),
                ],
            ),
            (
                "delayed heartbeat of the earlier incarnation",
                "ab",
                [
                    ("heartbeat", "b", ("incarnation", "i2")),
                    ("heartbeat", "b", ("leaving", True), ("sent_at", 998.0)),
                ],
            ),
            (
                "heartbeat delayed past its deadline",
                "a",
                [("heartbeat", "b", ("sent_at", 990.0))],
            ),
        )
        for name, expected, steps in cases:
            with self.subTest(name):
                self.setUp()
                self.run_steps(*steps)
                self.assertEqual(
                    list(expected), self.membership.list_members()
                )

    async def test_paused_process_keeps_its_live_peers(self):
        """Guards against a resumed process that takes itself as only member.

        All deadlines pass during a pause, although the peers are alive.
        """
        self.run_steps(
            ("list", "a", "b", "c"), ("heartbeat", "b"), ("wait", 3.0)
        )
        self.send_heartbeat("b")
        self.run_steps(("wait", 2.0))  # the deadline of c passes
        self.now += 60.0  # paused
        self.assertEqual(["a", "b"], self.membership.list_members())
        self.run_steps(("wait", 5.0))
        self.assertEqual(["a"], self.membership.list_members())

    def test_hosts_that_start_together_know_their_members_once_met(self):
        """Guards against a host that decides alone before it is listed."""
        self.assertFalse(self.membership.knows_members())
        self.apply_host_list("b")
        self.send_heartbeat("b")
        self.assertFalse(self.membership.knows_members())
        self.apply_host_list("a", "b", revision=2)
        self.assertTrue(self.membership.knows_members())

    def test_host_that_is_not_listed_in_time_goes_on_alone(self):
        """Guards against a host that waits forever to be listed."""
        self.apply_host_list("b")
        self.run_steps(("wait", 9.0))
        self.assertFalse(self.membership.knows_members())
        self.run_steps(("wait", 2.0))
        self.assertTrue(self.membership.knows_members())

    async def test_urgent_heartbeat_goes_to_peer_that_usually_calls(self):
        """Guards against an urgent change that waits for a peer's heartbeat.

        Of each pair, one host only answers heartbeats; it must send one itself
        when a change is urgent.
        """
        name, called = await self.start_with_calling_peer()
        await asyncio.sleep(0.2)
        self.assertEqual([], called)
        self.membership.send_heartbeats_now()
        await control_fakes.wait_until(lambda: called == [name])

    async def test_urgent_heartbeat_goes_to_a_peer_just_met(self):
        """Guards against an urgent change that a new peer misses.

        The change comes during the delay before the first heartbeat.
        """
        name, called = await self.start_with_calling_peer()
        await asyncio.sleep(0.0)
        self.membership.send_heartbeats_now()
        await control_fakes.wait_until(lambda: called == [name], 1.0)

    async def start_with_calling_peer(self):
        """Start with a peer that usually sends the heartbeats of the pair.

        Returns its name, and a list of the peers that are sent heartbeats.
        """
        names = (f"p{index}" for index in range(100))
        name = next(
            n for n in names if self.membership.name != self.choose_caller(n)
        )
        self.send_heartbeat(name)
        called = []

        async def record(peer, seconds):
            called.append(peer)

        self.membership._send_heartbeat = record
        await self.membership.start()
        self.addAsyncCleanup(self.membership.stop)
        return name, called

    def choose_caller(self, name):
        pair = sorted((self.membership.name, name))
        return rendezvous.choose_owner("/".join(pair), pair)

    async def test_other_data_centres_contribute_listed_live_hosts(self):
        """Guards against remote live hosts that the journal never calls."""
        other = control_fakes.make_host("x", data_centre="dd")
        leaving_host = control_fakes.make_host(
            "y", data_centre="dd", state="leaving"
        )
        self.membership.apply_listing(
            hostlist.Listing(1, (other, leaving_host))
        )
        self.assertEqual(["a", "x"], self.membership.list_entry_hosts())
        self.assertEqual({"dd": ["x"]}, self.membership.list_remote_hosts())
        with self.assertRaises(exceptions.ControlUnavailable):
            self.membership.get_stub("z")

    async def test_host_without_platform_loses_ownership_to_others(self):
        """Guards against a task owner that cannot reach the platform."""
        self.run_steps(("list", "a"), ("heartbeat", "b"), ("heartbeat", "c"))
        peers = self.membership.list_peers()
        keys = [f"duty-{index}" for index in range(50)]
        before = [key for key in keys if self.membership.is_owner(key)]
        peers["b"].platform_down = peers["c"].platform_down = True
        self.assertTrue(all(map(self.membership.is_owner, keys)))
        self.membership.is_platform_down = lambda: True
        after = [key for key in keys if self.membership.is_owner(key)]
        self.assertEqual(before, after)
