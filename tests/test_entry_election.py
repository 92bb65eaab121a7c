"""The lease of the host that orders."""

import asyncio
import time
import unittest.mock

from sesamefold.entry import changes
from sesamefold.entry import election
from sesamefold import exceptions
from sesamefold.platform import client
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
        self.assertTrue(self.first.may_send_orders())
        self.assertFalse(self.second.holds_lease())

    async def test_a_new_holder_waits_for_the_old_one_s_orders(self) -> None:
        await self.first.campaign()
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        self.assertTrue(self.second.holds_lease())
        self.assertFalse(self.second.may_send_orders())
        fence = self.first.get_fencing_token()
        self.clock.now += 3.0
        self.second._act_until = self.clock.now + 10
        self.assertFalse(self.second.may_send_orders())
        self.clock.now += election.PAUSE_MARGIN
        self.assertTrue(self.second.may_send_orders())
        self.assertGreater(self.second.get_fencing_token() or 0, fence or 0)

    async def test_the_same_host_goes_on_without_a_pause(self) -> None:
        await self.first.campaign()
        self.first._resign("test")
        self.store.remove(election.HOLDER_KEY)
        await self.first.campaign()
        self.assertTrue(self.first.may_send_orders())

    async def test_a_frozen_holder_does_not_act(self) -> None:
        await self.first.campaign()
        self.clock.now += election.LEASE_SECONDS
        self.assertIsNone(self.first.get_fencing_token())

    async def test_a_lost_answer_to_the_writing(self) -> None:
        """Guards against a lease that its holder does not know to have."""
        self.store.lose_answers, self.store.lossy_path = True, "/kv-txn"
        await self.first.campaign()
        self.assertTrue(self.first.may_send_orders())
        await self.second.campaign()
        self.assertFalse(self.second.holds_lease())
        self.clock.now += election.SAFE_SHARE * election.LEASE_SECONDS
        self.assertFalse(self.first.may_send_orders())

    async def test_a_writing_that_was_not_done(self) -> None:
        """Guards against a holder without a record, and one of another."""
        unanswered = exceptions.OutcomeUnknown("store: lost")
        with unittest.mock.patch.object(
            client.StoreClient, "write", side_effect=unanswered
        ):
            await self.first.campaign()
        self.assertFalse(self.first.holds_lease())
        self.assertIn("DELETE", self.store.calls[-1])
        self.store.put(election.HOLDER_KEY, b"a", lease=99)
        self.assertIsNone(await self.first._find_fence(await self.grant()))

    async def test_a_holder_whose_renewals_are_not_answered(self) -> None:
        """Guards against a change of holders for one lost answer."""
        self.first.read_time = time.monotonic
        await self.first.campaign()
        renewing = asyncio.create_task(self.first.run())
        self.addCleanup(renewing.cancel)
        self.store.lose_answers, self.store.lossy_path = True, "/kv-keep"
        await asyncio.sleep(0.6)
        self.store.lose_answers = False
        for _ in range(15):
            await asyncio.sleep(0.1)
            self.assertTrue(self.first.may_send_orders())
        self.store.lose_answers = True
        await asyncio.sleep(election.LEASE_SECONDS)
        self.assertFalse(self.first.holds_lease())

    async def test_a_vacancy_is_known(self) -> None:
        """Guards against a pause that begins when weights are named."""
        self.assertFalse(self.first.vacant)
        self.first.apply_snapshot([])
        self.assertTrue(self.first.vacant)
        self.first.apply_changes(
            [changes.HostRecordChanged(election.HOLDER_KEY, b"b")]
        )
        self.assertFalse(self.first.vacant)
        self.first.apply_changes(
            [changes.HostRecordChanged(election.HOLDER_KEY, None)]
        )
        self.assertTrue(self.first.vacant)

    async def grant(self) -> int:
        """Return a lease without a record."""
        return await self.client.grant_lease(election.LEASE_SECONDS)

    async def test_a_lost_answer_makes_no_holder(self) -> None:
        self.store.lose_answers = True
        await self.first.campaign()
        self.assertFalse(self.first.holds_lease())
