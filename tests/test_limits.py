"""Tests of fair queues, concurrency limits, retry budget and quarantine."""

import asyncio
import collections
import hashlib
import random

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import limits
from sesamefold import quarantine as quarantines
from tests import journal_fakes

RUN_SECONDS = 0.1


def make_deadline(seconds):
    return deadlines.Deadline.after(seconds, journal_fakes.read_clock())


class Server:
    """A backend server that runs `slots` requests of RUN_SECONDS at once."""

    def __init__(self, slots=10):
        self.free_slots = slots
        self.queue = limits.FairQueue(
            capacity=200, customer_capacity=100, clock=journal_fakes.read_clock
        )
        self.completed = collections.Counter()
        self.late_responses = 0
        self.refusals = collections.Counter()
        self.refusal_seconds = []

    def try_acquire(self):
        if not self.free_slots:
            return None
        self.free_slots -= 1
        return True

    def release(self, slot):
        self.free_slots += 1
        self.queue.dispatch()

    async def run(self, customer, share=1.0, seconds=1.0):
        start = journal_fakes.read_clock()
        try_acquire, release = self.try_acquire, self.release
        try:
            slot = await self.queue.wait(
                customer,
                share,
                make_deadline(seconds),
                try_acquire,
                release,
                RUN_SECONDS,
            )
        except exceptions.RoutingError as error:
            self.refusals[customer, type(error)] += 1
            self.refusal_seconds.append(journal_fakes.read_clock() - start)
            return
        await asyncio.sleep(RUN_SECONDS)
        self.release(slot)
        self.completed[customer] += 1
        self.late_responses += (
            journal_fakes.read_clock() > start + seconds + 0.001
        )

    async def offer(self, seconds, **rates):
        """Send requests of customers at the given rates per second."""
        rng = random.Random(1)
        tasks = []

        async def arrive(customer, rate):
            end = journal_fakes.read_clock() + seconds
            while journal_fakes.read_clock() < end:
                share = 3.0 if customer.startswith("triple") else 1.0
                run = self.run(customer, share)
                tasks.append(asyncio.create_task(run))
                await asyncio.sleep(rng.expovariate(rate))

        await asyncio.gather(*(arrive(*item) for item in rates.items()))
        await asyncio.gather(*tasks)


class FairQueueTest(journal_fakes.VirtualTimeTestCase):
    async def test_overload_keeps_goodput_and_shares(self):
        """Guards against starvation and lost goodput at 4 times overload.

        The server completes 100 requests a second. Eight small customers send
        10 each, one large customer 320.
        """
        server = Server()
        small = {f"small_{number}": 10.0 for number in range(8)}
        await server.offer(30.0, large=320.0, **small)
        self.assertEqual(0, server.late_responses)
        self.assertGreater(sum(server.completed.values()) / 30.0, 95.0)
        refused = collections.Counter()
        for (customer, _), count in server.refusals.items():
            refused[customer] += count
        for customer in small:
            share = refused[customer] / server.completed[customer]
            self.assertLess(share, 0.02, customer)
        early = sorted(server.refusal_seconds)
        self.assertLess(early[len(early) * 9 // 10], 0.05)

    async def test_customers_are_served_by_share(self):
        """Guards against customers that get less than their share."""
        server = Server()
        await server.offer(20.0, triple=200.0, single=200.0)
        ratio = server.completed["triple"] / server.completed["single"]
        self.assertAlmostEqual(3.0, ratio, delta=0.3)

    async def test_idle_customer_accumulates_no_credit(self):
        """Guards against a returning customer that blocks the others."""
        server = Server()
        await server.offer(1.0, returned=5.0)
        await server.offer(10.0, steady=200.0)
        before = server.completed.copy()
        await server.offer(2.0, steady=200.0, returned=200.0)
        done = server.completed - before
        self.assertLess(done["returned"], 1.2 * done["steady"])

    async def test_full_queue_rejects_requests(self):
        """Guards against queues without a limit of their length."""
        # Requests that customers send at once, and refusals by customer.
        cases = (
            ({"a": 250}, {"a": 140}),
            ({"a": 110, "b": 110, "c": 1}, {"a": 1, "b": 10}),
            ({"a": 110, "b": 100, "c": 50}, {"a": 25, "b": 25}),
        )
        for requests, refused in cases:
            with self.subTest(requests=requests):
                server = Server()
                tasks = []
                for customer, count in requests.items():
                    for _ in range(count):
                        run = server.run(customer, 1.0, 60.0)
                        tasks.append(asyncio.create_task(run))
                    await asyncio.sleep(0)
                self.assertLessEqual(server.queue.waiting_requests, 200)
                await asyncio.gather(*tasks)
                overloaded = exceptions.Overloaded
                expected = {(n, overloaded): c for n, c in refused.items()}
                self.assertEqual(expected, dict(server.refusals))
        server = Server(slots=0)
        await server.run("a", seconds=RUN_SECONDS + 1.0)
        unreachable = ("a", exceptions.DeadlineUnreachable)
        self.assertEqual({unreachable: 1}, dict(server.refusals))
        self.assertLess(server.refusal_seconds[0], 1.1)
        self.assertEqual(0, server.queue.waiting_requests)

    async def test_cancelled_request_releases_its_slot(self):
        """Guards against slots that stay in use after their caller left."""
        server = Server(slots=1)
        running = asyncio.create_task(server.run("a"))
        waiting = asyncio.create_task(server.run("a"))
        await asyncio.sleep(0.01)
        server.release(True)  # assigns the slot to the waiting request
        waiting.cancel()
        await asyncio.gather(running, waiting, return_exceptions=True)
        self.assertEqual(2, server.free_slots)
        self.assertEqual(0, server.queue.waiting_requests)


class ConcurrencyLimitTest(journal_fakes.VirtualTimeTestCase):
    async def test_limit_adapts_to_server_capacity(self):
        """Guards against a limit that ignores the capacity of a server."""
        for upper, server_capacity in ((16, 6), (16, 100), (1, 6)):
            with self.subTest(upper=upper, server_capacity=server_capacity):
                limit = limits.ConcurrencyLimit(
                    upper, clock=journal_fakes.read_clock
                )
                seen = []
                for _ in range(2000):
                    while limit.try_acquire():
                        pass
                    self.assertLessEqual(limit.running, upper)
                    seen.append(limit.limit)
                    await asyncio.sleep(0.05)
                    excess = limit.running - server_capacity
                    limit.release(max(0.0, excess * 0.15))
                expected = min(upper, server_capacity)
                self.assertLessEqual(max(seen[500:]), expected + 1)
                self.assertGreaterEqual(min(seen[500:]), int(expected * 0.6))

    async def test_limit_stays_positive_and_grows_only_when_reached(self):
        """Guards against a limit of 0 and against growth while unused."""
        limit = limits.ConcurrencyLimit(8, clock=journal_fakes.read_clock)
        for _ in range(100):
            self.assertTrue(limit.try_acquire())
            limit.release(0.0)
        self.assertEqual(4, limit.limit)
        self.assertTrue(limit.try_acquire())
        for _ in range(10):
            limit.running += 1
            limit.release(1.0)
        self.assertEqual(2, limit.limit)  # one burst, one decrease
        for _ in range(10):
            await asyncio.sleep(1.0)
            limit.running += 1
            limit.release(refused=True)
        self.assertEqual(1, limit.limit)


class RetryBudgetTest(journal_fakes.VirtualTimeTestCase):
    async def test_retries_are_limited_by_successes(self):
        """Guards against retries that multiply the load of an outage."""
        # Successes before 1,000 failures, and the retries allowed then.
        cases = ((0, 3), (10, 4), (100, 13), (100_000, 20))
        for successes, expected in cases:
            with self.subTest(successes=successes):
                budget = limits.RetryBudget()
                for _ in range(successes):
                    budget.record_success()
                retries = sum(budget.try_acquire_retry() for _ in range(1000))
                self.assertEqual(expected, retries)


def make_identity(customer, name):
    digest = hashlib.sha256(name.encode()).hexdigest()
    return quarantines.make_identity(customer, digest)


class QuarantineTest(journal_fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.quarantine = quarantines.Quarantine(
            clock=journal_fakes.read_clock
        )

    async def start(self, name, server, seconds=5.0, customer="acme"):
        identity = make_identity(customer, name)
        return await self.quarantine.start(
            identity, server, make_deadline(seconds)
        )

    async def crash(self, name, server):
        self.quarantine.record_crash(await self.start(name, server))

    async def test_crash_causing_request_is_quarantined_after_two_crashes(
        self,
    ):
        """Guards against a request that crashes one server after another.

        Its caller repeats it each time. Concurrent requests must complete.
        """
        counts = collections.Counter()
        rng = random.Random(2)

        async def send(name):
            for _ in range(20):
                try:
                    run = await self.start(name, rng.choice(("e1", "e2")))
                except exceptions.RequestQuarantined:
                    counts["quarantined"] += 1
                    await asyncio.sleep(0.5)
                    continue
                await asyncio.sleep(rng.random())
                if run is None:
                    continue
                if run.ended or name == "poison":
                    # The streams of the other requests break as well.
                    counts["crashes"] += not run.ended
                    self.quarantine.record_crash(run)
                    continue
                self.quarantine.finish(run, completed=True)
                counts[name] += 1

        names = ["poison"] + [f"request-{number}" for number in range(12)]
        await asyncio.gather(*map(send, names))
        self.assertEqual(2, counts["crashes"])
        for name in ["quarantined"] + names[1:]:
            self.assertGreater(counts[name], 5, name)

    async def test_suspects_run_alone(self):
        """Guards against a crash whose cause is one of several requests.

        Suspect requests run alone on a server, so that the next crash
        identifies the cause.
        """
        for run in [await self.start(name, "e1") for name in "xyz"]:
            self.quarantine.record_crash(run)
            self.assertEqual(1, self.quarantine.count_crashes(run.identity))
        other = await self.start("other", "e1")
        first = asyncio.create_task(self.start("x", "e1"))
        await asyncio.sleep(0.1)
        self.assertFalse(first.done())
        self.assertIsNone(await self.start("another", "e1"))
        self.quarantine.finish(other, completed=True)
        alone = await first
        second = asyncio.create_task(self.start("y", "e2"))
        await asyncio.sleep(0.1)
        self.assertFalse(second.done())
        self.assertIsNotNone(await self.start("another", "e2"))
        with self.assertRaises(exceptions.DeadlineUnreachable):
            await self.start("z", "e3", seconds=0.5)
        self.quarantine.finish(alone, completed=True)
        self.assertIsNotNone(await self.start("x", "e1"))
        self.assertFalse(second.done())

    async def test_reports_of_one_crash_count_once(self):
        """Guards against a crash that is counted for later runs."""
        first = await self.start("x", "e1")
        second = await self.start("y", "e1")
        self.quarantine.record_crash(first)
        later = await self.start("z", "e1")
        self.quarantine.record_crash(second)
        self.assertFalse(later.ended)
        # A waiting copy of the request is refused after the crash.
        alone = await self.start("x", "e2")
        copy = asyncio.create_task(self.start("x", "e2"))
        await asyncio.sleep(0.1)
        self.quarantine.record_crash(alone)
        with self.assertRaises(exceptions.RequestQuarantined):
            await copy
        self.assertTrue((await self.start("y", "e2")).exclusive)

    async def test_capacity_limits_recorded_crashes(self):
        """Guards against memory use that grows with each crash."""
        self.quarantine = quarantines.Quarantine(
            capacity=2, clock=journal_fakes.read_clock
        )
        for name in "xyz":
            await self.crash(name, "e1")
        self.assertFalse((await self.start("x", "e1")).exclusive)

    async def test_quarantine_covers_one_customer_and_ends(self):
        """Guards against a quarantine of other customers' requests.

        It also guards against one that does not end.
        """
        for _ in range(2):
            run = await self.start("x", "e1")
            self.quarantine.record_server_crash("e1")
            self.quarantine.finish(run, completed=False)
        with self.assertRaises(exceptions.RequestQuarantined):
            await self.start("x", "e2")
        self.assertIsNotNone(await self.start("x", "e2", customer="globex"))
        await asyncio.sleep(defaults.QUARANTINE_SECONDS)
        self.assertIsNotNone(await self.start("x", "e2"))

    async def test_incomplete_run_keeps_request_suspect(self):
        """Guards against a suspect that is cleared by a run without result."""
        await self.crash("x", "e1")
        run = await self.start("x", "e1")
        self.assertTrue(run.exclusive)
        self.quarantine.finish(run, completed=False)
        self.assertTrue((await self.start("x", "e1")).exclusive)


class SharedQuarantineTest(journal_fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.first, self.second = (
            quarantines.Quarantine(clock=journal_fakes.read_clock)
            for _ in range(2)
        )
        self.first.report_changes = self.second.merge
        self.second.report_changes = self.first.merge

    async def start(
        self, quarantine, name="x", server="e1", epoch="1", parts=()
    ):
        identity = make_identity("acme", name)
        return await quarantine.start(
            identity, server, make_deadline(5.0), epoch, parts
        )

    async def test_crashes_at_two_gateways_add_up(self):
        """Guards against gateways that count crashes separately.

        The server's new epoch is not known at the second crash.
        """
        self.first.record_crash(await self.start(self.first))
        run = await self.start(self.second)
        self.assertTrue(run.exclusive)
        self.second.record_crash(run)
        for quarantine in (self.first, self.second):
            with self.assertRaises(exceptions.RequestQuarantined):
                await self.start(quarantine, server="e2")
        await asyncio.sleep(defaults.QUARANTINE_SECONDS)
        for quarantine in (self.first, self.second):
            self.assertFalse((await self.start(quarantine)).exclusive)

    async def test_part_that_crashes_servers_is_refused_at_all_gateways(self):
        """Guards against a part of prompts that crashes server after server.

        No two requests are alike, and each comes through another gateway.
        """
        parts = quarantines.digest_blocks("m", ["f", "p", "own"], 1)
        sound = quarantines.digest_blocks("m", ["f", "s", "own"], 1)
        for number in range(3):
            quarantine = (self.first, self.second)[number % 2]
            run = await self.start(
                quarantine, f"x{number}", f"e{number}", parts=parts
            )
            quarantine.record_crash(run)
        for quarantine in (self.first, self.second):
            await asyncio.sleep(0.1)
            run = await self.start(quarantine, "r", "e9", parts=sound[1:])
            quarantine.finish(run, completed=True)
            with self.assertRaises(exceptions.RequestQuarantined):
                await self.start(quarantine, "new", "e9", parts=parts)
            run = await self.start(quarantine, "s", "e9", parts=sound)
            quarantine.finish(run, completed=True)
            self.assertFalse(
                (
                    await self.start(quarantine, "t", "e9", parts=sound)
                ).exclusive
            )

    async def test_answer_that_had_begun_makes_no_part_suspect(self):
        """Guards against parts refused for crashes of other causes."""
        parts = quarantines.digest_blocks("m", ["f", "s", "own"], 1)
        for number in range(5):
            run = await self.start(
                self.first, f"x{number}", f"e{number}", parts=parts
            )
            self.first.record_begin(run)
            await asyncio.sleep(1.0)
            self.first.record_crash(run)
        self.assertIsNotNone(
            await self.start(self.second, "new", "e9", parts=parts)
        )

    async def test_crash_reported_by_two_gateways_counts_once(self):
        """Guards against a quarantine after one crash."""
        runs = [await self.start(q) for q in (self.first, self.second)]
        self.first.record_crash(runs[0])
        self.second.record_crash(runs[1])
        self.assertEqual(1, self.first.count_crashes(runs[0].identity))
        self.assertEqual(1, self.second.count_crashes(runs[0].identity))

    async def test_completed_suspect_is_cleared_at_all_gateways(self):
        """Guards against a suspect that other gateways don't clear.

        An older record that arrives late doesn't undo it, a new crash does.
        """
        self.first.record_crash(await self.start(self.first))
        old = self.first.list_suspicions()
        run = await self.start(self.second)
        self.second.finish(run, completed=True)
        self.first.merge(old)
        self.assertEqual(0, self.first.count_crashes(run.identity))
        self.first.record_crash(await self.start(self.first))
        self.assertEqual(1, self.second.count_crashes(run.identity))

    async def test_clock_ahead_does_not_extend_quarantine(self):
        """Guards against a longer quarantine from a host with a fast clock."""
        run = await self.start(self.first)
        self.first.record_crash(run)
        changes = self.first.list_suspicions()
        changes[0].request = b"other" * 3 + b"!"
        changes[0].crashes[0].until += 10_000.0
        self.first.merge(changes)
        await asyncio.sleep(defaults.QUARANTINE_SECONDS + defaults.CLOCK_SKEW)
        self.assertEqual([], self.first.list_suspicions())
