"""Tests of the election of the lease holder."""

import asyncio
import time
import unittest.mock

from sesamefold.entry import changes
from sesamefold.entry import election
from sesamefold import exceptions
from sesamefold.platform import client
from tests import entry_fakes


class ElectionTest(entry_fakes.StoreCase):
    """Two candidates for one lease."""

    async def asyncSetUp(self) -> None:
        """Start a store and create two candidates."""
        await super().asyncSetUp()
        self.clock = entry_fakes.FakeClock()
        self.first, self.second = map(self.make_candidate, ("a", "b"))

    def make_candidate(self, name: str) -> election.Election:
        """Return a candidate, as it is when its process starts."""
        return election.Election(
            name, self.client, 3.0, entry_fakes.make_log(), self.clock
        )

    async def test_second_candidate_acquires_no_held_lease(
        self,
    ) -> None:
        await self.first.campaign()
        await self.second.campaign()
        self.assertTrue(self.first.may_send_orders())
        self.assertFalse(self.second.holds_lease())

    async def test_new_holder_sends_no_orders_during_handover_pause(
        self,
    ) -> None:
        await self.first.campaign()
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        self.assertTrue(self.second.holds_lease())
        self.assertFalse(self.second.may_send_orders())
        fence = self.first.get_fencing_token()
        self.clock.now += 3.0
        self.second._active_until = self.clock.now + 10
        self.assertFalse(self.second.may_send_orders())
        self.clock.now += election.HANDOVER_MARGIN_SECONDS
        self.assertTrue(self.second.may_send_orders())
        self.assertGreater(self.second.get_fencing_token() or 0, fence or 0)

    async def test_same_holder_sends_orders_again_without_pause(self) -> None:
        await self.first.campaign()
        self.first._resign("test")
        self.store.remove(election.HOLDER_KEY)
        await self.first.campaign()
        self.assertTrue(self.first.may_send_orders())

    async def test_lease_lost_in_the_handover_pause_does_not_end_it(
        self,
    ) -> None:
        """Guards against orders of two holders shortly after each other (ONE).

        The holder is the last one on record, but another one sent orders
        right before.
        """
        await self.first.campaign()
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        self.clock.now += 1.0
        self.second._resign("test")
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        self.assertTrue(self.second.holds_lease())
        self.assertFalse(self.second.may_send_orders())
        self.clock.now += 2.0 + election.HANDOVER_MARGIN_SECONDS
        self.second._active_until = self.clock.now + 10
        self.assertTrue(self.second.may_send_orders())

    async def test_restarted_process_waits_as_any_new_holder(self) -> None:
        """Guards against a wait that a new process does not know of (ONE).

        The last holder on record is this host, but its process was started
        again during the wait for the orders of another host.
        """
        await self.first.campaign()
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        restarted = self.make_candidate("b")
        await restarted.campaign()
        self.assertTrue(restarted.holds_lease())
        self.assertFalse(restarted.may_send_orders())
        self.clock.now += 3.0 + election.HANDOVER_MARGIN_SECONDS
        restarted._active_until = self.clock.now + 10
        self.assertTrue(restarted.may_send_orders())

    async def test_election_without_an_answer_is_no_reason_not_to_wait(
        self,
    ) -> None:
        """Guards against a record of this host that skips the wait (ONE).

        The host was the holder before another one. The answer to its next
        election is lost, and so are the reads after it.
        """
        await self.first.campaign()
        self.first._resign("test")
        self.store.remove(election.HOLDER_KEY)
        await self.second.campaign()
        self.store.remove(election.HOLDER_KEY)
        self.store.lose_answers, self.store.lossy_path_prefix = True, "/kv-txn"
        with unittest.mock.patch.object(
            election.Election,
            "_find_fencing_token",
            side_effect=exceptions.PlatformUnavailable("store: lost"),
        ):
            await self.first.campaign()
        self.store.lose_answers = False
        self.assertFalse(self.first.holds_lease())
        await self.first.campaign()
        self.assertTrue(self.first.holds_lease())
        self.assertFalse(self.first.may_send_orders())

    async def test_copy_of_the_store_does_not_know_the_last_holder(
        self,
    ) -> None:
        """Guards against two holders after the store returned (ONE).

        The copy names this process as the last holder, or none at all, though
        another host was the holder until the return.
        """
        self.store.era = 1
        for holds_before in (False, True):
            with self.subTest(holds_before=holds_before):
                first = self.make_candidate("a")
                if holds_before:
                    await first.campaign()
                    self.clock.now += 60.0
                saved = self.store.take_copy()
                first._resign("test")
                self.store.remove(election.HOLDER_KEY)
                await self.second.campaign()
                token = self.second._fencing_token or 0
                self.second._resign("test")
                self.store.return_from(saved)
                await self.client.list_records("")
                await first.campaign()
                self.assertTrue(first.holds_lease())
                self.assertFalse(first.may_send_orders())
                self.assertGreater(first._fencing_token or 0, token)
                first._resign("test")

    async def test_lease_of_an_earlier_era_has_ended(self) -> None:
        """Guards against a lease whose id another host has by now."""
        self.store.era = 1
        saved = self.store.take_copy()
        await self.first.campaign()
        lease = self.first._lease or 0
        self.store.return_from(saved)
        other = await self.grant()
        self.assertNotEqual(lease, other)
        await self.first._renew(lease)
        self.assertFalse(self.first.holds_lease())

    async def test_holder_frozen_past_its_lease_has_no_token(
        self,
    ) -> None:
        await self.first.campaign()
        self.clock.now += election.LEASE_SECONDS
        self.assertIsNone(self.first.get_fencing_token())

    async def test_write_with_lost_answer_acquires_lease(self) -> None:
        """Guards against a host that holds the lease without knowing it.

        The write takes effect, but its answer is lost.
        """
        self.store.lose_answers, self.store.lossy_path_prefix = True, "/kv-txn"
        await self.first.campaign()
        self.assertTrue(self.first.may_send_orders())
        await self.second.campaign()
        self.assertFalse(self.second.holds_lease())
        self.clock.now += election.SAFE_LEASE_SHARE * election.LEASE_SECONDS
        self.assertFalse(self.first.may_send_orders())

    async def test_write_without_effect_revokes_lease(
        self,
    ) -> None:
        """Guards against a holder without a record, or with another's.

        The write has no effect, and its answer is lost.
        """
        unanswered = exceptions.OutcomeUnknown("store: lost")
        with unittest.mock.patch.object(
            client.StoreClient, "write", side_effect=unanswered
        ):
            await self.first.campaign()
        self.assertFalse(self.first.holds_lease())
        self.assertIn("DELETE", self.store.calls[-1])
        self.store.put(election.HOLDER_KEY, b"a", lease=99)
        self.assertIsNone(
            await self.first._find_fencing_token(await self.grant())
        )

    async def test_unanswered_renewals_keep_lease(
        self,
    ) -> None:
        """Guards against a change of holders because of one lost answer."""
        self.first.read_time = time.monotonic
        await self.first.campaign()
        renewing = asyncio.create_task(self.first.run())
        self.addCleanup(renewing.cancel)
        self.store.lose_answers, self.store.lossy_path_prefix = (
            True,
            "/kv-keep",
        )
        await asyncio.sleep(0.6)
        self.store.lose_answers = False
        for _ in range(15):
            await asyncio.sleep(0.1)
            self.assertTrue(self.first.may_send_orders())
        self.store.lose_answers = True
        await asyncio.sleep(election.LEASE_SECONDS)
        self.assertFalse(self.first.holds_lease())

    async def test_vacant_follows_record_of_holder(self) -> None:
        """Guards against a pause that begins with new target weights.

        Hosts elect a holder beforehand if they see that there is none.
        """
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
        """Return the id of a lease without records."""
        return await self.client.grant_lease(election.LEASE_SECONDS)

    async def test_unanswered_calls_acquire_no_lease(self) -> None:
        self.store.lose_answers = True
        await self.first.campaign()
        self.assertFalse(self.first.holds_lease())
