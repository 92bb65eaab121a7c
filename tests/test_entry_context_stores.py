"""Fetching, saving and freeing cached context."""

import itertools
import typing as t
import unittest

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock as clocks
from sesamefold.entry import context_stores
from sesamefold.entry import requests
from sesamefold.entry import shared_spaces
from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from tests import entry_fakes
from tests import test_entry_catalog

STORE = topology.ContextStore("10.0.0.1:1", "dc-1", 10_000)


class FakeStore:
    """Calls to a store that return the batches which a test prepares."""

    def __init__(self) -> None:
        self.batch = store_views.EventBatch(1, 0, 1, False, 50.0, ())
        self.snapshot = self.batch
        self.freed: t.List[t.Tuple[int, t.Tuple[t.Tuple[str, str], ...]]] = []
        self.deadlines: t.List[t.Optional[float]] = []

    async def read_events(
        self, store: topology.ContextStore, position: int, seconds: float
    ) -> store_views.EventBatch:
        """Return the batch of events."""
        return self.batch

    async def read_snapshot(
        self, store: topology.ContextStore
    ) -> store_views.EventBatch:
        """Return the snapshot."""
        return self.snapshot

    async def free(
        self,
        store: topology.ContextStore,
        boot_epoch: int,
        parts: t.Sequence[t.Tuple[str, str]],
        deadline: t.Optional[float] = None,
    ) -> None:
        """Record the parts; raises `StoreUnavailable` as a store does."""
        if boot_epoch != self.batch.boot_epoch:
            raise exceptions.StoreUnavailable("another boot epoch")
        self.freed.append((boot_epoch, tuple(parts)))
        self.deadlines.append(deadline)


class ContextStoresTest(unittest.IsolatedAsyncioTestCase):
    """Conditions under which context is fetched, saved and freed."""

    async def asyncSetUp(self) -> None:
        """Make a view of a store that holds the first part of the prompt."""
        self.clock = entry_fakes.FakeClock()
        self.catalog = entry_fakes.make_catalog(self.clock)
        self.catalog.confirm(self.clock.now)
        self.catalog.target_weights["m"] = 1
        self.store = FakeStore()
        self.context_stores = context_stores.ContextStores(
            "entry-1",
            {"dc-1": "region-1"},
            self.catalog,
            self.store,
            entry_fakes.FakeFleet(["entry-1"]),
            entry_fakes.make_log(),
            self.clock,
        )
        self.view = store_views.StoreView(STORE)
        self.context_stores.views[STORE.address] = self.view
        self.apply_parts(("1/m/", "aa", 400))
        self.clock.now += store_views.SAVE_DELAY_SECONDS
        self.apply_parts()
        self.catalog.confirm(self.clock.now)
        self.server = entry_fakes.make_server("i-1", weights={"m": 1})

    def apply_parts(
        self,
        *parts: t.Tuple[str, str, int],
        boot_epoch: int = 1,
        view: t.Optional[store_views.StoreView] = None,
    ) -> None:
        """Apply additions of parts, as if they were read now."""
        events = tuple(
            store_views.ContextEvent(2, True, *part) for part in parts
        )
        batch = store_views.EventBatch(boot_epoch, 0, 2, False, 50.0, events)
        view = view or self.view
        view.apply_batch(batch, self.clock.now, self.clock.now)

    def set_target_version(self, version: int, model: str = "m") -> None:
        """Apply a newer target version of a model's weights."""
        change = changes.TargetWeightsChanged(model, version)
        self.catalog.apply_changes(changes.Batch((change,), version))

    def make_call(self, model: str, **customer: t.Any) -> requests.Call:
        """Return a call with a prompt of three parts, the last not shared."""
        parts = tuple(
            requests.PromptPart(name, 400) for name in ("aa", "bb", "cc")
        )
        head = requests.RequestHead(
            "r-1",
            requests.Headers(),
            prompt=requests.Prompt(model, 1200, 80, parts),
        )
        configuration = test_entry_catalog.make_configuration(1)
        now = clocks.read_time()
        return requests.Call(
            head,
            configuration.routes[2],
            "chat",
            topology.Customer("c", **customer),
            "POST",
            "/",
            b"",
            now,
            now + 10,
        )

    def make_plan(
        self, model: str = "m", **customer: t.Any
    ) -> requests.ContextPlan:
        """Return the plan for such a call."""
        call = self.make_call(model, **customer)
        plan = self.context_stores.plan_context(call, self.server)
        assert plan is not None
        return plan

    def count_fetchable_tokens(self) -> int:
        """Return the tokens that can be fetched for such a call."""
        return self.context_stores.count_fetchable_tokens(
            self.make_call("m"), self.server
        )

    def test_stored_part_is_fetched_and_missing_part_is_saved(self) -> None:
        plan = self.make_plan()
        fetch = requests.ContextFetch(STORE.address, 400)
        self.assertEqual((fetch, None, None), plan.fetches)
        self.assertEqual((None, STORE.address, None), plan.saves)
        self.assertAlmostEqual(
            50.0 + store_views.FETCH_TIMEOUT_SECONDS, plan.fetch_deadline
        )

    async def test_nothing_is_fetched_when_context_may_be_gone(self) -> None:

        def expire_view() -> None:
            self.clock.now += store_views.MAX_VIEW_AGE_SECONDS + 0.1
            self.catalog.confirm(self.clock.now)

        def expire_confirmation() -> None:
            self.clock.now += context_stores.OLD_WEIGHTS_GRACE_SECONDS + 0.1
            self.apply_parts()

        def supersede_version_long_ago() -> None:
            self.set_target_version(2)
            self.clock.now += context_stores.OLD_WEIGHTS_GRACE_SECONDS + 0.1
            self.catalog.confirm(self.clock.now)
            self.apply_parts()

        def restart_store() -> None:
            self.apply_parts(boot_epoch=2)

        for make_uncertain in (
            expire_view,
            expire_confirmation,
            supersede_version_long_ago,
            restart_store,
        ):
            with self.subTest(cause=make_uncertain.__name__):
                self.assertTrue(any(self.make_plan().fetches))
                make_uncertain()
                self.assertFalse(any(self.make_plan().fetches))
                await self.asyncSetUp()

    def test_nothing_is_saved_until_save_delay_after_restart(self) -> None:
        self.apply_parts(boot_epoch=2)
        self.assertFalse(any(self.make_plan().saves))
        self.clock.now += store_views.SAVE_DELAY_SECONDS
        self.catalog.confirm(self.clock.now)
        self.apply_parts(boot_epoch=2)
        self.assertTrue(any(self.make_plan().saves))

    def test_isolated_customer_shares_no_context(self) -> None:
        plan = self.make_plan(isolated=True)
        self.assertEqual("1/m/c", plan.salt)
        self.assertFalse(any(plan.fetches))

    def isolate(self, *names: str) -> None:
        """Apply a configuration in which customers are isolated."""
        known = self.catalog.configuration
        version = known.version + 1 if known else 1
        self.catalog.configuration = attrs.evolve(
            test_entry_catalog.make_configuration(version),
            isolated_customers=frozenset(names),
        )
        self.catalog.confirm(self.clock.now)

    # Guards against context that a customer's requests made before it was
    # isolated, and that the requests of others go on using (WALL).
    async def test_context_of_a_customer_is_not_shared_once_it_is_isolated(
        self,
    ) -> None:
        self.isolate()
        self.assertTrue(any(self.make_plan().fetches))
        await self.context_stores._free_outdated(self.view)
        self.isolate("b")
        plan = self.make_plan()
        self.assertFalse(any(plan.fetches))
        self.assertNotEqual("1/m/", plan.salt)
        self.assertEqual(plan.salt, self.make_plan().salt)
        own = self.make_plan(isolated=True).salt
        self.assertEqual("1/m/c", own)
        self.isolate("b", "d")
        self.assertNotIn(self.make_plan().salt, (plan.salt, own))
        self.isolate("b", "c")
        self.assertEqual(own, self.make_plan().salt)

    async def test_context_shared_before_is_freed_after_the_delay(
        self,
    ) -> None:
        self.isolate()
        await self.context_stores._free_outdated(self.view)
        self.isolate("b")
        shared = self.make_plan().salt
        self.apply_parts((shared, "bb", 400), ("1/m/b", "aa", 400))
        await self.context_stores._free_outdated(self.view)
        self.clock.now += context_stores.FREE_DELAY_SECONDS - 0.1
        self.catalog.confirm(self.clock.now)
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([], self.store.freed)
        self.clock.now += 0.2
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([(1, (("1/m/", "aa"),))], self.store.freed)

    # Guards against context that is freed while engines fetch it (MIXED): a
    # host that is cut off from the platform's store does not know that a later
    # configuration shares a former space again.
    async def test_cut_off_host_frees_nothing_shared_before(self) -> None:
        self.isolate()
        self.isolate("b")
        self.clock.now += context_stores.FREE_DELAY_SECONDS + 0.1
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([], self.store.freed)
        age = shared_spaces.MAX_CONFIRMATION_AGE_SECONDS
        self.catalog.confirm(self.clock.now - age)
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([], self.store.freed)
        self.catalog.confirm(self.clock.now - age + 0.1)
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([(1, (("1/m/", "aa"),))], self.store.freed)
        # A call that arrives late must fail.
        offset = self.view.engine_clock_offset or 0.0
        self.assertEqual(
            [self.catalog.confirmed_at + age + offset], self.store.deadlines
        )

    # Guards against a fetch under a space that other hosts, which read the
    # latest configuration later, still free.
    def test_returning_space_is_fetched_from_once_it_has_settled(self) -> None:
        self.isolate("b")
        self.clock.now += 60.0
        self.isolate()
        self.apply_parts()
        self.assertFalse(any(self.make_plan().fetches))
        self.assertEqual(0, self.count_fetchable_tokens())
        self.clock.now += shared_spaces.SETTLING_SECONDS - 0.1
        self.apply_parts()
        self.assertFalse(any(self.make_plan().fetches))
        self.clock.now += 0.1
        self.apply_parts()
        self.assertTrue(any(self.make_plan().fetches))
        self.assertEqual(400, self.count_fetchable_tokens())

    def test_returning_space_is_fetched_from_only_after_a_read(self) -> None:
        self.isolate("b")
        self.isolate()
        self.clock.now += shared_spaces.SETTLING_SECONDS - 0.1
        self.apply_parts()
        self.clock.now += 0.1
        self.assertFalse(any(self.make_plan().fetches))
        self.apply_parts()
        self.assertTrue(any(self.make_plan().fetches))

    # Two hosts read three configurations at different times, and one of them
    # is cut off from some time on.
    async def test_no_free_of_one_host_meets_a_fetch_of_another(self) -> None:
        for lasted, delay, cut_after in itertools.product(
            (12.0, 14.6), (0.0, 0.4), (0.0, 11.6, 14.3, 14.6, 60.0)
        ):
            with self.subTest(lasted=lasted, delay=delay, cut=cut_after):
                await self.asyncSetUp()
                await self.check_frees_and_fetches(lasted, delay, cut_after)

    async def check_frees_and_fetches(
        self, lasted: float, delay: float, cut_after: float
    ) -> None:
        """Isolate a customer for a time and compare what two hosts do.

        The freeing host reads each configuration `delay` seconds late and
        nothing from `cut_after` seconds after the first change on.
        """
        catalog = entry_fakes.make_catalog(self.clock)
        freeing = attrs.evolve(self.context_stores, catalog=catalog)
        began_at = self.clock.now
        frees, fetches = [], []
        while (elapsed := self.clock.now - began_at) < 25.0:
            self.isolate(*(("b",) if elapsed < lasted else ()))
            known_at = min(elapsed, cut_after) - delay
            isolated = frozenset({"b"} if 0 <= known_at < lasted else ())
            if elapsed <= cut_after:
                catalog.configuration = attrs.evolve(
                    test_entry_catalog.make_configuration(
                        1 + (known_at >= 0) + (known_at >= lasted)
                    ),
                    isolated_customers=isolated,
                )
                catalog.confirm(self.clock.now - delay)
            self.apply_parts()
            known = len(self.store.freed)
            await freeing._free_outdated(self.view)
            offset = self.view.engine_clock_offset
            frees += [
                (
                    self.clock.now,
                    self.clock.now if deadline is None else deadline - offset,
                )
                for deadline in self.store.deadlines[known:]
            ]
            if any(self.make_plan().fetches) and elapsed >= lasted:
                fetches.append(self.clock.now)
            self.clock.now += 0.1
        self.assertTrue(fetches)
        for (freed_at, deadline), fetched_at in itertools.product(
            frees, fetches
        ):
            self.assertFalse(
                freed_at <= fetched_at + store_views.FETCH_TIMEOUT_SECONDS
                and fetched_at <= deadline,
                f"freed at {freed_at} to {deadline}, fetched at {fetched_at}",
            )

    def test_nothing_is_transferred_outside_permitted_regions(self) -> None:
        plan = self.make_plan(regions=frozenset({"region-2"}))
        self.assertFalse(any(plan.fetches) or any(plan.saves))

    def test_nothing_is_saved_to_full_store(self) -> None:
        self.apply_parts(("1/m/", "zz", 9_500))
        self.assertFalse(any(self.make_plan().saves))

    async def test_outdated_context_is_freed_only_after_free_delay(
        self,
    ) -> None:
        self.set_target_version(2)
        await self.context_stores._free_outdated(self.view)
        self.clock.now += context_stores.FREE_DELAY_SECONDS - 0.1
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([], self.store.freed)
        self.clock.now += 0.2
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([(1, (("1/m/", "aa"),))], self.store.freed)

    # Guards against context that is freed while engines fetch it: the versions
    # of different models were compared with each other.
    async def test_new_weights_leave_context_of_other_models(self) -> None:
        self.apply_parts(("1/other/", "aa", 400), ("1/other/c", "bb", 400))
        self.set_target_version(2)
        for _ in range(2):
            self.clock.now += context_stores.FREE_DELAY_SECONDS + 0.1
            await self.context_stores._free_outdated(self.view)
        freed = {part for _, parts in self.store.freed for part in parts}
        self.assertEqual({("1/m/", "aa")}, freed)

    # A model that is named for the first time, with others at higher versions.
    async def test_new_weights_free_context_beside_other_models(self) -> None:
        for model, version in (("first", 7), ("second", 3)):
            self.set_target_version(version, model)
        self.clock.now += context_stores.FREE_DELAY_SECONDS + 0.1
        self.set_target_version(2)
        self.apply_parts(
            ("1/second/", "aa", 400),
            ("3/second/", "bb", 400),
            ("6/first/", "cc", 400),
            ("7/first/", "dd", 400),
        )
        await self.context_stores._free_outdated(self.view)
        expected = {("1/second/", "aa"), ("6/first/", "cc")}
        self.assertEqual(expected, set(self.store.freed[-1][1]))
        self.clock.now += context_stores.FREE_DELAY_SECONDS
        await self.context_stores._free_outdated(self.view)
        self.assertIn(("1/m/", "aa"), self.store.freed[-1][1])

    async def test_a_newer_version_does_not_delay_freeing(self) -> None:
        self.set_target_version(2)
        self.clock.now += context_stores.FREE_DELAY_SECONDS - 0.1
        self.set_target_version(3)
        self.apply_parts(("2/m/", "bb", 400))
        self.clock.now += 0.2
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([(1, (("1/m/", "aa"),))], self.store.freed)

    # A host that became the first to free a store has not looked before.
    async def test_new_first_follower_frees_what_was_outdated_before(
        self,
    ) -> None:
        self.set_target_version(2)
        self.clock.now += context_stores.FREE_DELAY_SECONDS + 0.1
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([(1, (("1/m/", "aa"),))], self.store.freed)

    async def test_context_with_unknown_salt_is_not_freed(self) -> None:
        self.apply_parts(("0/", "bb", 400), ("x/m/", "bb", 400))
        self.set_target_version(2)
        self.clock.now += context_stores.FREE_DELAY_SECONDS + 0.1
        await self.context_stores._free_outdated(self.view)
        self.assertEqual([(1, (("1/m/", "aa"),))], self.store.freed)

    # Guards against a fetch of another model's part, and against frees by a
    # name that two models share.
    def test_parts_of_other_models_are_not_fetched(self) -> None:
        self.server = entry_fakes.make_server(
            "i-1", weights={"m": 1, "a/b": 1}
        )
        plan = self.make_plan("a/b")
        self.assertFalse(any(plan.fetches))
        self.assertNotEqual(self.make_plan().salt, plan.salt)
        self.assertEqual(("a/b", 1, ""), context_stores.parse_salt(plan.salt))

    async def test_fetches_for_old_weights_end_before_context_is_freed(
        self,
    ) -> None:
        confirmed_at = self.clock.now
        self.clock.now += 1.0
        superseded_at = self.clock.now
        self.set_target_version(2)
        self.clock.now += 0.5
        self.set_target_version(3)
        last_deadline = 0.0
        while (
            self.clock.now < superseded_at + context_stores.FREE_DELAY_SECONDS
        ):
            self.apply_parts()
            self.catalog.confirm(self.clock.now)
            if any(self.make_plan().fetches):
                last_deadline = (
                    self.clock.now + store_views.FETCH_TIMEOUT_SECONDS
                )
            await self.context_stores._free_outdated(self.view)
            self.assertEqual([], self.store.freed)
            self.clock.now += 0.1
        self.assertLess(
            last_deadline, superseded_at + context_stores.FREE_DELAY_SECONDS
        )
        self.assertAlmostEqual(
            confirmed_at
            + context_stores.OLD_WEIGHTS_GRACE_SECONDS
            + store_views.FETCH_TIMEOUT_SECONDS,
            last_deadline,
            delta=0.11,
        )

    def test_context_is_fetched_during_outage_of_platform_store(self) -> None:
        """A newer version set in the outage is too recent to free context."""
        self.clock.now += context_stores.OLD_WEIGHTS_GRACE_SECONDS - 0.1
        self.apply_parts()
        self.assertTrue(any(self.make_plan().fetches))

    def test_late_notice_of_newer_version_does_not_extend_fetching(
        self,
    ) -> None:
        self.clock.now += context_stores.OLD_WEIGHTS_GRACE_SECONDS + 1.0
        self.set_target_version(2)
        self.catalog.confirm(self.clock.now)
        self.apply_parts()
        self.assertFalse(any(self.make_plan().fetches))

    def test_slow_store_is_not_used_until_backoff_ends(self) -> None:
        prompt = requests.Prompt("m", 1200, 80)
        no_fetch = requests.ContextPlan("1/m/", 1)
        for _ in range(40):
            self.context_stores.record_first_token(prompt, no_fetch, 0.1)
        for _ in range(40):
            self.context_stores.record_first_token(
                prompt, self.make_plan(), 0.1
            )
        self.assertTrue(any(self.make_plan().fetches))
        for _ in range(10):
            plan = self.make_plan()
            self.context_stores.record_first_token(prompt, plan, 0.9)
        self.assertFalse(any(self.make_plan().fetches))
        self.clock.now += context_stores.SLOW_STORE_BACKOFF_SECONDS
        self.catalog.confirm(self.clock.now)
        self.apply_parts()
        self.assertTrue(any(self.make_plan().fetches))
