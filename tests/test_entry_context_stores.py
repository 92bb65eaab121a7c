"""Fetching, saving and freeing cached context."""

import typing as t
import unittest

from sesamefold.entry import changes
from sesamefold.entry import clock as clocks
from sesamefold.entry import context_stores
from sesamefold.entry import requests
from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from tests import entry_fakes
from tests import test_entry_catalog

STORE = topology.ContextStore("10.0.0.1:1", "dc-1", 10_000)


class FakeStore:
    """A store whose events a test sets."""

    def __init__(self) -> None:
        self.batch = store_views.EventBatch(1, 0, 1, False, 50.0, ())
        self.contents = self.batch
        self.freed: t.List[t.Tuple[int, t.Tuple[t.Tuple[str, str], ...]]] = []

    async def read_events(
        self, store: topology.ContextStore, position: int, seconds: float
    ) -> store_views.EventBatch:
        """Return the events."""
        return self.batch

    async def read_snapshot(
        self, store: topology.ContextStore
    ) -> store_views.EventBatch:
        """Return the contents."""
        return self.contents

    async def free(
        self,
        store: topology.ContextStore,
        boot_epoch: int,
        parts: t.Sequence[t.Tuple[str, str]],
    ) -> None:
        """Remember what is freed."""
        if boot_epoch != self.batch.boot_epoch:
            raise exceptions.StoreUnavailable("another boot epoch")
        self.freed.append((boot_epoch, tuple(parts)))


class ContextsTest(unittest.IsolatedAsyncioTestCase):
    """When context is fetched, saved and freed."""

    async def asyncSetUp(self) -> None:
        """Know one store that holds the first part of a prompt."""
        self.clock = entry_fakes.FakeClock()
        self.catalog = entry_fakes.make_catalog(self.clock)
        self.catalog.confirm(self.clock.now)
        self.catalog.target_weights["m"] = 1
        self.store = FakeStore()
        self.contexts = context_stores.ContextStores(
            "entry-1",
            {"dc-1": "region-1"},
            self.catalog,
            self.store,
            entry_fakes.FakeFleet(["entry-1"]),
            entry_fakes.make_log(),
            self.clock,
        )
        self.view = store_views.StoreView(STORE)
        self.contexts.views[STORE.address] = self.view
        self.take(("1/", "aa", 400))
        self.clock.now += store_views.SAVE_DELAY_SECONDS
        self.take()
        self.catalog.confirm(self.clock.now)
        self.server = entry_fakes.make_server("i-1", weights={"m": 1})

    def take(
        self,
        *parts: t.Tuple[str, str, int],
        boot_epoch: int = 1,
        view: t.Optional[store_views.StoreView] = None,
    ) -> None:
        """Take events of a store, as read now."""
        events = tuple(
            store_views.ContextEvent(2, True, *part) for part in parts
        )
        batch = store_views.EventBatch(boot_epoch, 0, 2, False, 50.0, events)
        view = view or self.view
        view.take(batch, self.clock.now, self.clock.now)

    def name_weights(self, version: int) -> None:
        """Learn of newer weights."""
        change = changes.TargetWeightsChanged("m", version)
        self.catalog.apply_changes(changes.Batch((change,), version))

    def plan(self, **customer: t.Any) -> requests.ContextPlan:
        """Return the plan for a prompt of three parts."""
        parts = tuple(
            requests.PromptPart(name, 400) for name in ("aa", "bb", "cc")
        )
        intake = requests.RequestHead(
            "r-1",
            requests.Headers(),
            prompt=requests.Prompt("m", 1200, 80, parts),
        )
        configuration = test_entry_catalog.make_configuration(1)
        now = clocks.read_time()
        call = requests.Call(
            intake,
            configuration.routes[2],
            "chat",
            topology.Customer("c", **customer),
            "POST",
            "/",
            b"",
            now,
            now + 10,
        )
        plan = self.contexts.plan_context(call, self.server)
        assert plan is not None
        return plan

    def test_known_parts_are_fetched_and_others_saved(self) -> None:
        plan = self.plan()
        fetch = requests.ContextFetch(STORE.address, 400)
        self.assertEqual((fetch, None, None), plan.fetches)
        self.assertEqual((None, STORE.address, None), plan.saves)
        self.assertAlmostEqual(
            50.0 + store_views.FETCH_SECONDS, plan.fetch_deadline
        )

    async def test_nothing_is_fetched_in_doubt(self) -> None:

        def age() -> None:
            self.clock.now += store_views.FRESH_SECONDS + 0.1
            self.catalog.confirm(self.clock.now)

        def lose_confirmation() -> None:
            self.clock.now += context_stores.OLD_WEIGHTS_SECONDS + 0.1
            self.take()

        def name_weights_long_ago() -> None:
            self.name_weights(2)
            self.clock.now += context_stores.OLD_WEIGHTS_SECONDS + 0.1
            self.catalog.confirm(self.clock.now)
            self.take()

        def restart() -> None:
            self.take(boot_epoch=2)

        for happen in (
            age,
            lose_confirmation,
            name_weights_long_ago,
            restart,
        ):
            with self.subTest(happen=happen.__name__):
                self.assertTrue(any(self.plan().fetches))
                happen()
                self.assertFalse(any(self.plan().fetches))
                await self.asyncSetUp()

    def test_nothing_is_saved_soon_after_a_restart(self) -> None:
        self.take(boot_epoch=2)
        self.assertFalse(any(self.plan().saves))
        self.clock.now += store_views.SAVE_DELAY_SECONDS
        self.catalog.confirm(self.clock.now)
        self.take(boot_epoch=2)
        self.assertTrue(any(self.plan().saves))

    def test_an_isolated_customer_shares_nothing(self) -> None:
        plan = self.plan(isolated=True)
        self.assertEqual("1/c", plan.salt)
        self.assertFalse(any(plan.fetches))

    def test_context_stays_in_the_customer_s_regions(self) -> None:
        plan = self.plan(regions=frozenset({"region-2"}))
        self.assertFalse(any(plan.fetches) or any(plan.saves))

    def test_a_full_store_gets_nothing(self) -> None:
        self.take(("1/", "zz", 9_500))
        self.assertFalse(any(self.plan().saves))

    async def test_old_context_is_freed_when_no_fetch_can_last(self) -> None:
        self.name_weights(2)
        await self.contexts._free_outdated(self.view)
        self.clock.now += context_stores.FREE_DELAY - 0.1
        await self.contexts._free_outdated(self.view)
        self.assertEqual([], self.store.freed)
        self.clock.now += 0.2
        await self.contexts._free_outdated(self.view)
        self.assertEqual([(1, (("1/", "aa"),))], self.store.freed)

    async def test_old_weights_fetch_until_their_context_may_be_freed(
        self,
    ) -> None:
        confirmed = self.clock.now
        self.clock.now += 1.0
        named = self.clock.now
        self.name_weights(2)
        self.clock.now += 0.5
        self.name_weights(3)
        last_end = 0.0
        while self.clock.now < named + context_stores.FREE_DELAY:
            self.take()
            self.catalog.confirm(self.clock.now)
            if any(self.plan().fetches):
                last_end = self.clock.now + store_views.FETCH_SECONDS
            await self.contexts._free_outdated(self.view)
            self.assertEqual([], self.store.freed)
            self.clock.now += 0.1
        self.assertLess(last_end, named + context_stores.FREE_DELAY)
        self.assertAlmostEqual(
            confirmed
            + context_stores.OLD_WEIGHTS_SECONDS
            + store_views.FETCH_SECONDS,
            last_end,
            delta=0.11,
        )

    def test_context_is_used_while_the_store_is_away(self) -> None:
        """No newer weights' naming can be old enough to free it."""
        self.clock.now += context_stores.OLD_WEIGHTS_SECONDS - 0.1
        self.take()
        self.assertTrue(any(self.plan().fetches))

    def test_a_host_that_learns_late_does_not_fetch_longer(self) -> None:
        self.clock.now += context_stores.OLD_WEIGHTS_SECONDS + 1.0
        self.name_weights(2)
        self.catalog.confirm(self.clock.now)
        self.take()
        self.assertFalse(any(self.plan().fetches))

    def test_a_slow_store_is_left_alone_for_a_while(self) -> None:
        prompt = requests.Prompt("m", 1200, 80)
        plain = requests.ContextPlan("1/", 1)
        for _ in range(40):
            self.contexts.record_first_token(prompt, plain, 0.1)
        for _ in range(40):
            self.contexts.record_first_token(prompt, self.plan(), 0.1)
        self.assertTrue(any(self.plan().fetches))
        for _ in range(10):
            fetching = self.plan()
            self.contexts.record_first_token(prompt, fetching, 0.9)
        self.assertFalse(any(self.plan().fetches))
        self.clock.now += context_stores.SLOW_SECONDS
        self.catalog.confirm(self.clock.now)
        self.take()
        self.assertTrue(any(self.plan().fetches))
