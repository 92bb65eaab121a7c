"""Tests of the bound on the bytes of messages that a process holds."""

import asyncio
import typing as t
import unittest

from sesamefold import memory

MB = 1_000_000


class MemoryBudgetTest(unittest.TestCase):
    """A budget of 10 MB and the messages that it has given up."""

    def setUp(self) -> None:
        """Create the budget."""
        self.budget = memory.MemoryBudget(10 * MB)
        self.evicted: t.List[str] = []

    def open(self, name: str, source: str, size: int) -> memory.Holding:
        """Return a holding of a size whose eviction is recorded."""
        holding = self.budget.open(source, lambda: self.evicted.append(name))
        holding.resize(size)
        return holding

    def test_source_that_holds_the_most_loses_its_largest_message(
        self,
    ) -> None:
        """Guards against a faulty server whose bytes hit those of others."""
        self.open("sound", "a", 4 * MB)
        self.open("endless-1", "b", 3 * MB)
        self.open("endless-2", "b", 2 * MB)
        self.assertEqual([], self.evicted)
        self.open("endless-3", "b", 2 * MB)
        self.assertEqual(["endless-1"], self.evicted)
        self.assertEqual(8 * MB, self.budget.held)

    def test_messages_that_are_kept_are_not_given_up(self) -> None:
        kept = self.open("kept", "a", 4 * MB)
        kept.keep()
        self.open("endless", "b", 3 * MB)
        kept.resize(9 * MB)
        self.assertEqual(["endless"], self.evicted)
        kept.resize(12 * MB)
        self.assertEqual(["endless"], self.evicted)

    def test_bytes_that_are_passed_on_count_no_more(self) -> None:
        holding = self.open("large", "a", 9 * MB)
        holding.resize(1 * MB)
        self.open("next", "a", 8 * MB)
        self.assertEqual([], self.evicted)
        holding.close()
        self.assertEqual(8 * MB, self.budget.held)

    def test_closed_holding_counts_nothing(self) -> None:
        with self.open("large", "a", 9 * MB) as holding:
            self.assertEqual(9 * MB, self.budget.held)
        holding.resize(5 * MB)
        self.assertEqual(0, self.budget.held)

    def test_small_messages_are_not_counted(self) -> None:
        for number in range(100):
            self.open(str(number), "a", memory.UNCOUNTED_BYTES)
        self.assertEqual(0, self.budget.held)

    def test_fits_counts_what_is_held_already(self) -> None:
        holding = self.open("body", "a", 6 * MB)
        self.assertTrue(holding.fits(10 * MB))
        self.assertFalse(holding.fits(10 * MB + 1))
        other = self.open("other", "b", 0)
        self.assertFalse(other.fits(5 * MB))
        self.assertTrue(other.fits(memory.UNCOUNTED_BYTES))

    def test_limit_follows_the_memory_of_the_process(self) -> None:
        self.assertEqual(18_750_000, memory.compute_limit(150e6))
        self.assertEqual(memory.DEFAULT_LIMIT_BYTES, memory.compute_limit(0.0))
        self.assertEqual(memory.DEFAULT_LIMIT_BYTES, memory.compute_limit(4e9))


class WaitTest(unittest.IsolatedAsyncioTestCase):
    """Messages that wait for room."""

    async def read(self, budget: memory.MemoryBudget, number: int) -> None:
        """Read a message of 6 MB in parts."""
        with budget.open(str(number)) as holding:
            for size in range(MB, 7 * MB, MB):
                holding.resize(size)
                self.most = max(self.most, budget.held)
                await holding.wait_for_room()
                await asyncio.sleep(0)

    async def test_all_messages_are_read_within_the_limit(self) -> None:
        """Guards against messages that wait for each other."""
        self.most = 0
        budget = memory.MemoryBudget(10 * MB)
        async with asyncio.timeout(2.0):
            await asyncio.gather(*(self.read(budget, n) for n in range(8)))
        self.assertEqual(0, budget.held)
        self.assertLessEqual(self.most, budget.limit + 6 * MB + 8 * MB)

    async def test_message_that_is_given_up_lets_the_next_go_on(self) -> None:
        self.most = 0
        budget = memory.MemoryBudget(4 * MB)
        first = asyncio.create_task(self.read(budget, 0))
        await asyncio.sleep(0)
        others = [
            asyncio.create_task(self.read(budget, n)) for n in range(1, 4)
        ]
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(2.0):
            await asyncio.gather(*others)
