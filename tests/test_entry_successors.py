"""Tests of the takeover of a stream, without network."""

import asyncio
import typing as t
import unittest

from sesamefold.entry import successors
from sesamefold import exceptions


class SuccessionTest(unittest.IsolatedAsyncioTestCase):
    """Which of two attempts gets the stream."""

    async def asyncSetUp(self) -> None:
        """Make a succession whose successor does what the test says."""
        self.steps: t.List[str] = []
        self.failing = asyncio.Event()
        self.error: Exception = exceptions.ReplyBroken("closed")
        self.unread = False
        self.wait_seconds = 5.0
        self.succession = successors.Succession(
            lambda claim: asyncio.create_task(self.run_successor(claim)),
            (exceptions.ReplyBroken,),
        )
        self.addAsyncCleanup(self.succession.cancel)
        self.data: "asyncio.Future[bytes]" = asyncio.Future()

    async def run_successor(self, claim: successors.Claim) -> None:
        """Fail when the test says so, else claim the stream at an event."""
        self.claim = claim
        self.steps.append("begin")
        try:
            await self.failing.wait()
            raise self.error
        finally:
            self.steps.append("end")

    async def run_granted(self, claim: successors.Claim) -> None:
        """Claim the stream at once and serve it when granted."""
        await claim.acquire()
        self.steps.append("granted")

    def start_granted(self, claim: successors.Claim) -> t.Any:
        """Start a successor that claims the stream at once."""
        return asyncio.create_task(self.run_granted(claim))

    async def read(self) -> bytes:
        """Return the predecessor's data."""
        return await self.data

    async def wait(self) -> "asyncio.Task[bytes]":
        """Wait for the predecessor's data or the successor."""
        reading = asyncio.create_task(self.read())
        self.addCleanup(reading.cancel)
        async with asyncio.timeout(5.0):
            await self.succession.wait_beside(
                reading, lambda: self.unread, self.wait_seconds
            )
        return reading

    async def start(self) -> None:
        """Start the successor and let it run."""
        self.assertIsNone(self.succession.start())
        await asyncio.sleep(0)

    async def test_predecessor_that_sends_first_keeps_the_stream(self) -> None:
        await self.start()
        self.data.set_result(b"event")
        reading = await self.wait()
        self.assertEqual(b"event", reading.result())
        await self.succession.cancel()
        self.assertEqual(["begin", "end"], self.steps)
        self.assertFalse(self.succession.is_under_way())

    async def test_successor_serves_only_after_it_was_granted(self) -> None:
        """Guards against events of two runs in one response."""
        self.succession.choose = self.start_granted
        await self.start()
        with self.assertRaises(successors.TakenOver):
            await self.wait()
        self.assertEqual([], self.steps)
        await self.succession.finish()
        self.assertEqual(["granted"], self.steps)

    async def test_failed_successor_leaves_the_stream(self) -> None:
        """Guards against a cut of a stream whose first server goes on."""
        await self.start()
        self.failing.set()
        reading = await self.wait()
        self.assertFalse(reading.done())
        self.assertFalse(self.succession.is_under_way())
        self.succession.choose = self.start_granted
        await self.start()
        with self.assertRaises(successors.TakenOver):
            await self.wait()

    async def test_broken_predecessor_waits_for_its_successor(self) -> None:
        await self.start()
        self.data.set_exception(exceptions.ReplyBroken("reset"))
        reading = await self.wait()
        self.assertIsInstance(reading.exception(), exceptions.ReplyBroken)
        self.assertTrue(self.succession.is_under_way())
        self.failing.set()
        with self.assertRaises(exceptions.ReplyBroken):
            await self.succession.finish()

    async def test_data_that_has_arrived_goes_first(self) -> None:
        """Guards against a takeover although the next event is there."""
        self.succession.choose = self.start_granted
        await self.start()
        self.unread = True
        asyncio.get_running_loop().call_later(
            0.05, self.data.set_result, b"event"
        )
        reading = await self.wait()
        self.assertEqual(b"event", reading.result())

    async def test_two_servers_work_on_a_request_only_shortly(self) -> None:
        """Guards against a run that goes on at two servers (TWICE).

        A successor whose server does not reply leaves the stream where it is;
        the time counts from its reply.
        """
        await self.start()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.wait()
        loop = asyncio.get_running_loop()
        replied_at = loop.time()
        self.claim.submit()
        with self.assertRaises(successors.TakenOver):
            await self.wait()
        self.assertLess(loop.time() - replied_at, 0.4)

    async def test_successor_is_replaced_by_the_next_one(self) -> None:
        """Guards against a stream that waits for a silent successor."""
        await self.start()
        self.wait_seconds = 0.05
        reading = await self.wait()
        self.assertFalse(reading.done())
        self.succession.choose = self.start_granted
        self.assertIsNone(await self.succession.replace())
        self.assertEqual(["begin", "end"], self.steps)
        with self.assertRaises(successors.TakenOver):
            await self.wait()

    async def test_caller_that_leaves_meanwhile_ends_the_next_one(
        self,
    ) -> None:
        """Guards against a run that goes on for a caller who left (GONE)."""
        first_ends = asyncio.Event()

        async def end_slowly(claim: successors.Claim) -> None:
            try:
                await asyncio.Event().wait()
            finally:
                await first_ends.wait()

        self.succession.choose = lambda claim: asyncio.create_task(
            end_slowly(claim)
        )
        await self.start()
        self.succession.choose = lambda claim: asyncio.create_task(
            self.run_successor(claim)
        )
        replacing = asyncio.create_task(self.succession.replace())
        await asyncio.sleep(0.01)
        self.assertEqual(["begin"], self.steps)
        replacing.cancel()
        first_ends.set()
        await asyncio.wait({replacing})
        await self.succession.cancel()
        self.assertEqual(["begin", "end"], self.steps)

    async def test_successor_goes_on_if_there_is_no_other(self) -> None:
        """Guards against the loss of the only server that may still answer."""
        await self.start()
        self.succession.choose = lambda claim: "limit of servers"
        self.assertEqual("limit of servers", await self.succession.replace())
        self.assertTrue(self.succession.is_under_way())
        self.assertEqual(["begin"], self.steps)
        self.claim.submit()
        with self.assertRaises(successors.TakenOver):
            await self.wait()

    async def test_unexpected_error_is_not_hidden(self) -> None:
        self.error = ValueError("a fault")
        await self.start()
        self.failing.set()
        with self.assertRaises(ValueError):
            await self.wait()

    async def test_without_a_successor_the_reason_is_told(self) -> None:
        self.succession.choose = lambda claim: "retry budget"
        self.assertEqual("retry budget", self.succession.start())
        self.assertFalse(self.succession.is_under_way())
