"""Tests of the rollout of new weights, without a network."""

import asyncio
import typing as t
import unittest

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import election
from sesamefold.entry import orders
from sesamefold.entry import store
from sesamefold.entry import topology
from sesamefold import exceptions
from tests import entry_fakes


class FakeElection(election.Election):
    """Election whose host always holds the lease."""

    def may_send_orders(self) -> bool:
        """Return that orders may be sent."""
        return True

    def get_fencing_token(self) -> t.Optional[int]:
        """Return a constant token."""
        return 1


class FakeEngines:
    """Engines that load weights at once; implements `orders.EngineControl`.

    Those of `replaced` have ended, and another engine answers at their
    address. `unreachable` has the ids of engines whose calls fail after
    `answer_seconds`.
    `ordered` has the ids of engines in the order of their orders.
    """

    def __init__(self) -> None:
        self.weights: t.Dict[str, t.Dict[str, int]] = {}
        self.unreachable: t.Set[str] = set()
        self.replaced: t.Set[str] = set()
        self.answer_seconds = 0.5
        self.ordered: t.List[str] = []

    async def read_report(
        self, server: topology.Server
    ) -> orders.EngineReport:
        """Return the weights of an engine."""
        if server.id in self.unreachable:
            await asyncio.sleep(self.answer_seconds)
            raise exceptions.BackendUnreachable("no answer")
        started_at = server.started_at + (server.id in self.replaced)
        return orders.EngineReport(
            self.weights[server.id], 0, False, started_at
        )

    async def order_weights(
        self, server: topology.Server, order: orders.WeightsOrder
    ) -> None:
        """Record an order and load the weights."""
        self.ordered.append(server.id)
        self.weights[server.id] = {order.model: order.version}


class FakeAnnouncer:
    """Announcer that applies the status to a catalog."""

    def __init__(self, catalog: t.Any) -> None:
        self.catalog = catalog

    def announce_loading(self, server_id: str) -> None:
        """Ignore that an engine loads weights."""

    def announce_loaded(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Update the catalog."""
        self.catalog.update_weights(server_id, weights)


class WeightsRolloutTest(unittest.IsolatedAsyncioTestCase):
    """The lease holder and fake engines."""

    async def asyncSetUp(self) -> None:
        """Create a rollout without engines."""
        self.catalog = entry_fakes.make_catalog(clock.read_time)
        self.engines = FakeEngines()
        log = entry_fakes.make_log()
        self.rollout = orders.WeightsRollout(
            "entry-1",
            self.catalog,
            self.engines,
            FakeElection(
                "entry-1", t.cast(store.HostRecordStore, None), 0.0, log
            ),
            FakeAnnouncer(self.catalog),
            lambda: ["entry-1"],
            log,
        )

    def name_weights(self, version: int) -> None:
        """Apply a new target version."""
        change = changes.TargetWeightsChanged("m", version)
        self.catalog.confirm(clock.read_time())
        self.catalog.apply_changes(changes.Batch((change,), 1))

    def add_engines(self, versions: t.Mapping[str, int]) -> None:
        """Add engines with their versions, in the given order."""
        for server_id, version in versions.items():
            weights = {"m": version}
            self.engines.weights[server_id] = weights
            server = entry_fakes.make_server(server_id, weights=weights)
            self.catalog.apply_changes(entry_fakes.make_report_batch(server))

    async def run_until_loaded(self, count: int, seconds: float) -> None:
        """Run the rollout until a number of orders were sent."""
        task = asyncio.create_task(self.rollout.run())
        try:
            async with asyncio.timeout(seconds):
                while len(self.engines.ordered) < count:
                    await asyncio.sleep(0.01)
        finally:
            task.cancel()

    async def test_engine_whose_weights_expire_first_is_ordered_first(
        self,
    ) -> None:
        """Guards against engines that wait beyond their expiry (VERSION).

        Engines that had nearly new weights were ordered first, because the
        store listed them first.
        """
        for version in (5, 6, 7):
            self.name_weights(version)
        self.add_engines({"i-0": 6, "i-1": 6, "i-2": 5, "i-3": 4})
        await self.run_until_loaded(4, 5.0)
        self.assertEqual(["i-3", "i-2"], self.engines.ordered[:2])

    async def test_progress_with_one_of_two_models_is_no_stall(self) -> None:
        """Guards against a second holder beside a rollout that goes on.

        Two models whose versions are equal counted as one.
        """
        for model in ("m", "other"):
            change = changes.TargetWeightsChanged(model, 2)
            self.catalog.apply_changes(changes.Batch((change,), 1))
        times = self.rollout.read_time = entry_fakes.FakeClock()
        for weights in ({"m": 1, "other": 1}, {"m": 2, "other": 1}):
            server = entry_fakes.make_server("i-0", weights=weights)
            self.catalog.apply_changes(entry_fakes.make_report_batch(server))
            self.rollout._track_progress(self.rollout._list_outdated_engines())
            self.assertFalse(self.rollout._is_stalled())
            times.now += orders.STALL_TIMEOUT_SECONDS + 0.1
        self.assertTrue(self.rollout._is_stalled())

    async def test_unreachable_engines_do_not_hold_up_the_others(self) -> None:
        """Guards against a rollout that stalls on engines that have crashed.

        They are asked again and again, which took the places of engines that
        could load.
        """
        self.name_weights(2)
        self.add_engines({f"i-{number}": 1 for number in range(6)})
        self.engines.unreachable = {"i-0", "i-1", "i-2", "i-3"}
        await self.run_until_loaded(2, 5.0)
        self.assertEqual({"i-4", "i-5"}, set(self.engines.ordered))

    async def test_report_of_another_engine_at_the_address_proves_nothing(
        self,
    ) -> None:
        """Guards against beliefs about an engine that has ended.

        The weights of its successor at the address counted as its own, and
        it got orders that its successor refused.
        """
        self.name_weights(2)
        self.add_engines({"i-0": 1, "i-1": 1, "i-2": 1})
        self.engines.weights["i-0"] = {"m": 2}
        self.engines.replaced = {"i-0", "i-1"}
        await self.run_until_loaded(1, 5.0)
        self.assertEqual(["i-2"], self.engines.ordered)
        for server_id in ("i-0", "i-1"):
            known = self.catalog.servers[server_id]
            self.assertEqual({"m": 1}, known.weights)

    async def test_engines_do_not_wait_for_an_answer_of_another_one(
        self,
    ) -> None:
        """Guards against a rollout that waits for engines that have crashed.

        Each of them delayed all others by the time that its call took.
        """
        self.name_weights(2)
        self.add_engines({f"i-{number}": 1 for number in range(6)})
        self.engines.unreachable = {"i-0"}
        self.engines.answer_seconds = 30.0
        await self.run_until_loaded(5, 8.0)
        self.assertNotIn("i-0", self.engines.ordered)
