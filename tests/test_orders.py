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
    """Stands for `backends.Backends`: a state per engine."""

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
        self.orderer = self.open()

    def open(self, name="a"):
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

    async def begin(self, orderer=None):
        orderer = orderer or self.orderer
        orderer.tenure = await orderer.acquire()
        # The fakes grant leases by the real clock.
        orderer.tenure.deadline = self.now + 9.5

    async def test_lost_answers_while_acquiring(self):
        """Guards against an orderer that does not know that it is one."""
        for lost in range(3):
            with self.subTest(lost=lost):
                self.setUp()
                self.key_value.lose_answers = lost
                tenure = await self.orderer.acquire()
                self.assertEqual(1, tenure.fencing)
                other = self.open("b")
                self.assertIsNone(await other.acquire())
                await self.key_value.revoke_lease(tenure.lease, None)
                following = await other.acquire()
                self.assertEqual(2, following.fencing, "never falls")

    async def test_lost_race_is_not_taken_for_success(self):
        """Guards against two holders after a lost answer."""

        async def put(key, value, expected, deadline, lease=None):
            await original(key, b'{"attempt": "other"}', None, deadline)
            raise exceptions.OutcomeUnknown("answer lost")

        original = self.key_value.put
        self.key_value.put = put
        self.assertIsNone(await self.orderer.acquire())
        self.assertEqual({}, self.key_value.leases)

    async def test_platform_down(self):
        """Guards against orders without a lease."""
        self.key_value.down = True
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.orderer.acquire()
        self.assertFalse(self.orderer.holds())

    async def test_concurrent_loads(self):
        """Guards against a data centre that loads on all engines at once."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.begin()
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

    async def test_new_orderer_counts_loads_in_progress(self):
        """Guards against too many loads when the orderer changes."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.begin()
        await self.orderer.reconcile()
        await self.orderer._give_up("test")
        other = self.open("b")
        await self.begin(other)
        await other.reconcile()
        self.assertEqual(2, len(self.list_orders()))

    async def test_paused_before_the_send(self):
        """Guards against an order after the lease has ended."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.begin()
        read_back = self.orderer._read_back

        async def pause(target):
            await read_back(target)
            self.now += 60.0

        self.orderer._read_back = pause
        await self.orderer.reconcile()
        self.assertEqual({}, self.list_orders())

    async def test_corrections(self):
        """Guards against engines that follow a late or an old order."""
        new = engines.Order(2, 1, ("m@v2",))
        late = engines.Order(1, 0, ("m@v1",))
        refused = exceptions.BackendUnreachable("refused")
        cases = (
            ("as desired", new, ("m@v2",), "warm", None, []),
            ("restarted", engines.Order(0, 0, ()), (), "cold", None, [new]),
            ("late order, old load", late, ("m@v1",), "warm", None, [new]),
            ("late order, new load", late, ("m@v2",), "warm", None, [new]),
            ("down", late, (), "down", None, []),
            ("leaving", late, (), "leaving", None, []),
            ("not readable", late, (), "cold", refused, []),
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
                await self.begin()
                await self.orderer.reconcile()
                self.assertEqual(expected, engine.orders)

    async def test_late_order_is_found_by_reading_back(self):
        """Guards against a late order to a server that ignores fencing."""
        self.add_engines()
        await self.begin()
        await self.orderer.reconcile()
        self.engines["e0"].order = engines.Order(1, 0, ("m@v0",))
        self.now += 6.0
        await self.orderer.reconcile()
        self.assertEqual({"e0": ["m@v1"]}, self.list_orders())

    async def test_newer_orderer(self):
        """Guards against an orderer that goes on after it was replaced."""

        async def refuse(order, deadline):
            raise exceptions.FencingRefused("old fencing number")

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
                await self.begin()
                await self.orderer.reconcile()
                self.assertEqual({}, self.list_orders())
                self.assertIsNone(self.orderer.tenure)
                self.assertNotIn(HOLDER, self.key_value.entries)
                tenure = await self.orderer.acquire()
                self.assertEqual(following, tenure.fencing)

    async def test_lost_answer_to_an_order(self):
        """Guards against loads that are not counted."""
        self.add_engines()
        self.configure("v2", revision=2)
        await self.begin()

        async def lose(order, deadline):
            raise exceptions.BackendFailed("answer lost")

        for engine in self.engines.values():
            engine.send_order = lose
        await self.orderer.reconcile()
        self.assertEqual(
            2,
            sum(
                target.followed.versions == ("m@v2",)
                for target in self.orderer._targets.values()
            ),
        )
