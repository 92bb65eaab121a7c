"""The lease of the host that orders."""

from sesamefold.entry import election
from tests import entry_fakes


class ElectionTest(entry_fakes.StoreCase):
    """Two hosts and one lease."""

    async def asyncSetUp(self) -> None:
        """Start a store and two candidates."""
        await super().asyncSetUp()
        self.clock = entry_fakes.FakeClock()
        self.first, self.second = (
            election.Election(
                name, self.client, 3.0, entry_fakes.make_log(), self.clock
            )
            for name in ("a", "b")
        )

    async def test_one_holder_at_a_time(self) -> None:
        await self.first.campaign()
        await self.second.campaign()
        self.assertTrue(self.first.may_act())
        self.assertFalse(self.second.is_holder())

    async def test_a_new_holder_waits_for_the_old_one_s_orders(self) -> None:
        await self.first.campaign()
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        self.assertTrue(self.second.is_holder())
        self.assertFalse(self.second.may_act())
        fence = self.first.get_fence()
        self.clock.now += 3.0
        self.second._act_until = self.clock.now + 10
        self.assertFalse(self.second.may_act())
        self.clock.now += election.PAUSE_MARGIN
        self.assertTrue(self.second.may_act())
        self.assertGreater(self.second.get_fence() or 0, fence or 0)

    async def test_the_same_host_goes_on_without_a_pause(self) -> None:
        await self.first.campaign()
        self.first._resign("test")
        self.store.remove(election.HOLDER_KEY)
        await self.first.campaign()
        self.assertTrue(self.first.may_act())

    async def test_a_frozen_holder_does_not_act(self) -> None:
        await self.first.campaign()
        self.clock.now += election.LEASE_SECONDS
        self.assertIsNone(self.first.get_fence())

    async def test_a_lost_answer_makes_no_holder(self) -> None:
        self.store.lose_answers = True
        await self.first.campaign()
        self.assertFalse(self.first.is_holder())
