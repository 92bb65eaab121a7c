"""Tests of the orders to engines."""

import unittest

import attrs

from sesamefold import configuration
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import membership
from sesamefold import orders
from sesamefold.wire import control_pb2
from tests import control_fakes

HOLDER = "orderer/dc/holder"


class States:
    """Fake of `backends.Backends` with one settable state per engine."""

    def __init__(self):
        self.states = {}

    def get_state(self, name):
        return self.states.get(name)

    def set(self, name, state="warm", versions=("m@v1",)):
        self.states[name] = control_pb2.BackendState(
            name=name, state=state, versions=versions
        )


class OrdererTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 1000.0
        self.key_value = control_fakes.KeyValue()
        self.states = States()
        self.engines = {}
        self.configuration = None
        self.configure("v1")
        self.orderer = self.make_orderer()

    def make_orderer(self, name="a"):
        members = membership.Membership(
            control_pb2.Member(name=name, data_centre="dc"),
            control_fakes.HostList(),
            clock=lambda: self.now,
        )
        members.apply_listing(
            hostlist.Listing(
                1,
                tuple(
                    attrs.evolve(
                        control_fakes.make_backend(f"e{index}"),
                        address=f"e{index}",
                    )
                    for index in range(5)
                ),
            )
        )
        return orders.Orderer(
            self.key_value,
            members,
            self.states,
            self.engines.__getitem__,
            lambda: self.configuration,
            clock=lambda: self.now,
            seed=1,
        )

    def configure(self, version, revision=1, checks_fencing=False):
        self.configuration = configuration.Configuration(
            revision=revision,
            models={"m": configuration.Model("m", version)},
            groups={
                "g": configuration.Group(
                    "g",
                    "dc",
                    "engine",
                    "m",
                    checks_fencing=checks_fencing,
                    concurrent_loads=2,
                )
            },
        )

    def add_engines(self, versions=("m@v1",), order=None):
        for index in range(5):
            name = f"e{index}"
            engine = self.engines[name] = control_fakes.Engine(name)
            engine.order = order or engines.Order(1, 0, versions)
            self.states.set(name, versions=versions)

    def list_orders(self):
        return {
            name: [order.versions[0] for order in engine.orders]
            for name, engine in self.engines.items()
            if engine.orders
        }

    async def become_orderer(self, orderer=None):
        orderer = orderer or self.orderer
        orderer.held_lease = await orderer.acquire_lease()
        # The fakes compute lease deadlines from the real clock.
        orderer.held_lease.deadline = self.now + 9.5

    async def test_lost_replies_while_acquiring_still_yield_the_lease(self):
        """Guards against an orderer that misses its lease on a lost reply."""
        for lost in range(3):
            with self.subTest(lost=lost):
                self.setUp()
                self.key_value.lose_answers = lost
                held_lease = await self.orderer.acquire_lease()
                self.assertEqual(1, held_lease.fencing_token)
                other = self.make_orderer("b")
                self.assertIsNone(await other.acquire_lease())
                await self.key_value.revoke_lease(held_lease.lease_id, None)
                following = await other.acquire_lease()
                self.assertEqual(
                    2,
                    following.fencing_token,
                    "the fencing token must not decrease",
                )

    async def test_lost_race_with_lost_reply_yields_no_lease(self):
        """Guards against two lease holders after a lost reply."""

        async def put(key, value, expected, deadline, lease=None):
            await original(key, b'{"attempt": "other"}', None, deadline)
            raise exceptions.OutcomeUnknown("reply lost")

        original = self.key_value.put
        self.key_value.put = put
        self.assertIsNone(await self.orderer.acquire_lease())
        self.assertEqual({}, self.key_value.leases)

    async def test_no_lease_while_the_platform_is_down(self):
        """Guards against orders sent without a lease during an outage."""
        self.key_value.down = True
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.orderer.acquire_lease()
        self.assertFalse(self.orderer.may_send_orders())

    async def test_loads_stay_within_the_limit_of_the_group(self):
        """Guards against more concurrent loads than the group allows."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.become_orderer()
        seen = []
        for _ in range(4):
            await self.orderer.reconcile()
            await self.orderer.reconcile()
            ordered = self.list_orders()
            seen.append(len(ordered))
            for name in ordered:
                self.states.set(name, versions=("m@v2",))
            self.now += 1.0
        self.assertEqual([2, 4, 5, 5], seen)
        self.assertEqual(
            {f"e{index}": ["m@v2"] for index in range(5)}, self.list_orders()
        )

    async def test_engines_that_are_down_do_not_count_as_loading(self):
        """Guards against a rollout that waits for engines that crashed.

        They crashed while they loaded, and stay listed.
        """
        self.add_engines()
        self.configure("v2", revision=2)
        await self.become_orderer()
        await self.orderer.reconcile()
        crashed = {*self.list_orders()}
        for name in crashed:
            self.states.set(name, "down", ())
        for _ in range(4):
            self.now += 1.0
            await self.orderer.reconcile()
        self.assertEqual(2, len({*self.list_orders()} - crashed))

    async def test_engines_without_reports_count_as_loading(self):
        """Guards against too many loads because of lost reports."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.become_orderer()
        await self.orderer.reconcile()
        for name in self.list_orders():
            self.states.set(name, "unknown")
        for _ in range(4):
            self.now += 1.0
            await self.orderer.reconcile()
        self.assertEqual(2, len(self.list_orders()))

    async def test_new_orderer_counts_loads_in_progress(self):
        """Guards against a new orderer that ignores loads in progress."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.become_orderer()
        await self.orderer.reconcile()
        await self.orderer._release_lease("test")
        other = self.make_orderer("b")
        await self.become_orderer(other)
        await other.reconcile()
        self.assertEqual(2, len(self.list_orders()))

    async def test_pause_beyond_the_lease_prevents_sending(self):
        """Guards against an order sent after a pause outlasted the lease."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.become_orderer()
        read_back = self.orderer._read_back

        async def pause(target):
            await read_back(target)
            self.now += 60.0

        self.orderer._read_back = pause
        await self.orderer.reconcile()
        self.assertEqual({}, self.list_orders())

    async def test_only_deviating_reachable_engines_get_an_order(self):
        """Guards against engines left on a delayed or outdated order."""
        new = engines.Order(2, 1, ("m@v2",))
        delayed = engines.Order(1, 0, ("m@v1",))
        refused = exceptions.BackendUnreachable("refused")
        cases = (
            ("as desired", new, ("m@v2",), "warm", None, []),
            ("restarted", engines.Order(0, 0, ()), (), "cold", None, [new]),
            (
                "delayed order, old load",
                delayed,
                ("m@v1",),
                "warm",
                None,
                [new],
            ),
            (
                "delayed order, new load",
                delayed,
                ("m@v2",),
                "warm",
                None,
                [new],
            ),
            ("down", delayed, (), "down", None, []),
            ("leaving", delayed, (), "leaving", None, []),
            ("not readable", delayed, (), "cold", refused, []),
            (
                "follows a newer configuration",
                engines.Order(3, 1, ("m@v3",)),
                ("m@v3",),
                "warm",
                None,
                [],
            ),
        )
        for name, followed, loaded, state, error, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.add_engines(("m@v2",), new)
                self.configure("v2", revision=2)
                engine = self.engines["e0"]
                engine.order, engine.error = followed, error
                self.states.set("e0", state, loaded)
                await self.become_orderer()
                await self.orderer.reconcile()
                self.assertEqual(expected, engine.orders)

    async def test_delayed_order_is_detected_by_reading_back(self):
        """Guards against a delayed order going unnoticed.

        A server that does not check fencing tokens accepts such an order.
        """
        self.add_engines()
        await self.become_orderer()
        await self.orderer.reconcile()
        self.engines["e0"].order = engines.Order(1, 0, ("m@v0",))
        self.now += 6.0
        await self.orderer.reconcile()
        self.assertEqual({"e0": ["m@v1"]}, self.list_orders())

    async def test_newer_fencing_token_makes_the_orderer_resign(self):
        """Guards against an orderer that continues after being replaced."""

        async def refuse(order, deadline):
            raise exceptions.FencingRefused("old fencing token")

        for case, refuses, following in (
            ("seen in an order", False, 8),
            ("refused", True, 2),
        ):
            with self.subTest(case):
                self.setUp()
                self.add_engines(order=engines.Order(2, 7, ("m@v1",)))
                if refuses:
                    self.add_engines()
                    for engine in self.engines.values():
                        engine.send_order = refuse
                self.configure("v2", revision=2, checks_fencing=refuses)
                await self.become_orderer()
                await self.orderer.reconcile()
                self.assertEqual({}, self.list_orders())
                self.assertIsNone(self.orderer.held_lease)
                self.assertNotIn(HOLDER, self.key_value.entries)
                held_lease = await self.orderer.acquire_lease()
                self.assertEqual(following, held_lease.fencing_token)

    async def test_order_with_lost_reply_counts_as_a_load(self):
        """Guards against loads that are not counted.

        An order whose reply was lost may have started a load.
        """
        self.add_engines()
        self.configure("v2", revision=2)
        await self.become_orderer()

        async def lose(order, deadline):
            raise exceptions.BackendFailed("reply lost")

        for engine in self.engines.values():
            engine.send_order = lose
        await self.orderer.reconcile()
        self.assertEqual(
            2,
            sum(
                target.current_order.versions == ("m@v2",)
                for target in self.orderer._targets.values()
            ),
        )
