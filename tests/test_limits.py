"""Tests of the limits that a gateway applies."""

import asyncio
import collections
import random
import typing as t

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import limits
from tests import fakes

SLOTS = 10
RUN_SECONDS = 0.1


def after(seconds: float) -> deadlines.Deadline:
    return deadlines.Deadline.after(seconds, fakes.read_clock())


class Server:
    """A number of places, each of which takes RUN_SECONDS for a request."""

    def __init__(self, slots: int = SLOTS) -> None:
        self.free = slots
        self.queue = limits.FairQueue(
            capacity=200, customer_capacity=100, clock=fakes.read_clock
        )
        self.done: t.Counter[str] = collections.Counter()
        self.late = 0
        self.refused: t.Counter[t.Any] = collections.Counter()
        self.refusal_seconds: t.List[float] = []

    def take(self) -> t.Optional[bool]:
        if not self.free:
            return None
        self.free -= 1
        return True

    def give_back(self, slot: bool) -> None:
        self.free += 1
        self.queue.dispatch()

    async def run(
        self, customer: str, share: float = 1.0, seconds: float = 1.0
    ) -> None:
        start = fakes.read_clock()
        try:
            slot = await self.queue.wait(
                customer,
                share,
                after(seconds),
                self.take,
                self.give_back,
                RUN_SECONDS,
            )
        except exceptions.RoutingError as error:
            self.refused[customer, type(error)] += 1
            self.refusal_seconds.append(fakes.read_clock() - start)
            return
        await asyncio.sleep(RUN_SECONDS)
        self.give_back(slot)
        self.done[customer] += 1
        self.late += fakes.read_clock() > start + seconds + 0.001

    async def offer(
        self, rates: t.Dict[str, float], seconds: float, **fields: t.Any
    ) -> None:
        """Offer requests of customers at rates per second."""
        rng = random.Random(1)
        tasks: t.List[asyncio.Task] = []

        async def arrive(customer: str, rate: float) -> None:
            end = fakes.read_clock() + seconds
            while fakes.read_clock() < end:
                share = 3.0 if customer.startswith("triple") else 1.0
                run = self.run(customer, share, **fields)
                tasks.append(asyncio.create_task(run))
                await asyncio.sleep(rng.expovariate(rate))

        await asyncio.gather(*(arrive(*item) for item in rates.items()))
        await asyncio.gather(*tasks)


class FairQueueTest(fakes.VirtualTimeTestCase):
    async def test_overload(self):
        """Guards against starvation and lost goodput at 4 times overload.

        The servers bear 100 requests a second. Eight small customers offer 10
        each, one large customer 320.
        """
        server = Server()
        small = {f"small-{number}": 10.0 for number in range(8)}
        await server.offer({"large": 320.0, **small}, 30.0)
        self.assertEqual(0, server.late)
        goodput = sum(server.done.values()) / 30.0
        self.assertGreater(goodput, 95.0)
        for customer in small:
            refused = sum(
                count
                for (name, _), count in server.refused.items()
                if name == customer
            )
            self.assertLess(refused, 0.02 * server.done[customer], customer)
        early = sorted(server.refusal_seconds)
        self.assertLess(early[len(early) * 9 // 10], 0.05)

    async def test_shares(self):
        """Guards against customers that get less than their share."""
        server = Server()
        await server.offer({"triple": 200.0, "single": 200.0}, 20.0)
        ratio = server.done["triple"] / server.done["single"]
        self.assertAlmostEqual(3.0, ratio, delta=0.3)

    async def test_idle_customer_saves_nothing(self):
        """Guards against a customer that returns and blocks the others."""
        server = Server()
        await server.offer({"returned": 5.0}, 1.0)
        await server.offer({"steady": 200.0}, 10.0)
        before = server.done.copy()
        await server.offer({"steady": 200.0, "returned": 200.0}, 2.0)
        done = server.done - before
        self.assertLess(done["returned"], 1.2 * done["steady"])

    async def test_bounds(self):
        """Guards against queues without bound."""
        overloaded = exceptions.Overloaded
        unreachable = exceptions.DeadlineUnreachable
        cases = (
            # Requests of customers at once, and those refused.
            ({"a": 250}, {("a", overloaded): 140}),
            (
                {"a": 110, "b": 110, "c": 1},
                {("a", overloaded): 1, ("b", overloaded): 10},
            ),
            ({"a": 110, "b": 100, "c": 50}, {"total": 50}),
        )
        for requests, refused in cases:
            with self.subTest(requests=requests):
                server = Server()
                tasks = []
                for customer, count in requests.items():
                    tasks += [
                        asyncio.create_task(server.run(customer, 1.0, 60.0))
                        for _ in range(count)
                    ]
                    await asyncio.sleep(0)
                self.assertLessEqual(server.queue.waiting, 200)
                await asyncio.gather(*tasks)
                if "total" in refused:
                    self.assertEqual(50, sum(server.refused.values()))
                    self.assertEqual(50, server.done["c"])
                else:
                    self.assertEqual(refused, dict(server.refused))
        server = Server(slots=0)
        await server.run("a", seconds=RUN_SECONDS + 1.0)
        self.assertEqual({("a", unreachable): 1}, dict(server.refused))
        self.assertLess(server.refusal_seconds[0], 1.1)
        self.assertEqual(0, server.queue.waiting)

    async def test_cancelled_request_returns_its_slot(self):
        """Guards against slots that are lost with their caller."""
        server = Server(slots=1)
        running = asyncio.create_task(server.run("a"))
        waiting = asyncio.create_task(server.run("a"))
        await asyncio.sleep(0.01)
        server.give_back(True)  # hands the slot to the waiting request
        waiting.cancel()
        await asyncio.gather(running, waiting, return_exceptions=True)
        self.assertEqual(2, server.free)
        self.assertEqual(0, server.queue.waiting)


class ConcurrencyLimitTest(fakes.VirtualTimeTestCase):
    async def test_adapts_to_the_server(self):
        """Guards against a limit that ignores what a server bears."""
        cases = ((16, 6), (16, 100), (1, 6))
        for upper, bears in cases:
            with self.subTest(upper=upper, bears=bears):
                limit = limits.ConcurrencyLimit(upper, clock=fakes.read_clock)
                seen = []
                for _ in range(2000):
                    while limit.try_acquire():
                        pass
                    self.assertLessEqual(limit.running, upper)
                    seen.append(limit.limit)
                    await asyncio.sleep(0.05)
                    excess = limit.running - bears
                    limit.release(max(0.0, excess * 0.15))
                expected = min(upper, bears)
                late = seen[500:]
                self.assertLessEqual(max(late), expected + 1)
                self.assertGreaterEqual(min(late), int(expected * 0.6))

    async def test_bounds(self):
        """Guards against a limit of 0, and one that grows unused."""
        limit = limits.ConcurrencyLimit(8, clock=fakes.read_clock)
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


class RetryBudgetTest(fakes.VirtualTimeTestCase):
    async def test_budget(self):
        """Guards against retries that multiply the load of an outage."""
        cases = (
            # Successes before, failures, most retries.
            (0, 1000, 3),
            (10, 1000, 4),
            (100, 1000, 13),
            (100_000, 1000, 20),
        )
        for successes, failures, expected in cases:
            with self.subTest(successes=successes):
                budget = limits.RetryBudget()
                for _ in range(successes):
                    budget.record_success()
                retries = sum(budget.try_spend() for _ in range(failures))
                self.assertEqual(expected, retries)


class QuarantineTest(fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.quarantine = limits.Quarantine(clock=fakes.read_clock)

    async def start(self, name: str, server: str, seconds: float = 5.0):
        identity = limits.identify_request("acme", name.encode())
        return await self.quarantine.start(identity, server, after(seconds))

    async def test_crash_causing_request(self):
        """Guards against a request that crashes one server after another.

        Its caller sends it again each time. The requests beside it complete.
        """
        crashes = 0
        quarantined = 0
        done: t.Counter[str] = collections.Counter()
        runs: t.Dict[str, t.List[limits.Run]] = collections.defaultdict(list)
        servers = ["e1", "e2", "e3"]
        rng = random.Random(2)

        async def send(name: str) -> None:
            nonlocal crashes, quarantined
            for _ in range(20):
                server = rng.choice(servers)
                try:
                    run = await self.start(name, server)
                except exceptions.RequestQuarantined:
                    quarantined += 1
                    await asyncio.sleep(0.5)
                    continue
                if run is None:
                    await asyncio.sleep(0.1)
                    continue
                runs[server].append(run)
                await asyncio.sleep(rng.random())
                if run.ended:
                    # The stream broke; the gateway reports it as well.
                    self.quarantine.report_crash(run)
                    continue
                if name == "poison":
                    crashes += 1
                    self.quarantine.report_crash(run)
                    continue
                self.quarantine.finish(run, completed=True)
                done[name] += 1

        names = ["poison"] + [f"request-{number}" for number in range(12)]
        await asyncio.gather(*map(send, names))
        self.assertEqual(2, crashes)
        self.assertGreater(quarantined, 5)
        for name in names[1:]:
            self.assertGreater(done[name], 5, name)

    async def test_suspects_run_alone(self):
        """Guards against a crash that points at several requests."""
        runs = [await self.start(name, "e1") for name in ("x", "y", "z")]
        for run in runs:
            self.quarantine.report_crash(run)
        for name in ("x", "y", "z"):
            identity = limits.identify_request("acme", name.encode())
            self.assertEqual(1, self.quarantine.count_crashes(identity))
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

    async def test_reports_of_one_crash(self):
        """Guards against a crash that is counted for later runs."""
        first = await self.start("x", "e1")
        second = await self.start("y", "e1")
        self.quarantine.report_crash(first)
        later = await self.start("z", "e1")
        self.quarantine.report_crash(second)
        self.assertFalse(later.ended)
        # A copy that waits for its turn is refused after the other's crash.
        alone = await self.start("x", "e2")
        copy = asyncio.create_task(self.start("x", "e2"))
        await asyncio.sleep(0.1)
        self.quarantine.report_crash(alone)
        with self.assertRaises(exceptions.RequestQuarantined):
            await copy
        self.assertTrue((await self.start("y", "e2")).alone)

    async def test_capacity(self):
        """Guards against memory that grows with each crash."""
        self.quarantine = limits.Quarantine(capacity=2, clock=fakes.read_clock)
        for name in ("x", "y", "z"):
            self.quarantine.report_crash(await self.start(name, "e1"))
        self.assertFalse((await self.start("x", "e1")).alone)

    async def test_verdict(self):
        """Guards against a verdict on others, or without end."""
        for _ in range(2):
            run = await self.start("x", "e1")
            self.quarantine.report_restart("e1")
            self.quarantine.finish(run, completed=False)
        with self.assertRaises(exceptions.RequestQuarantined):
            await self.start("x", "e2")
        other = limits.identify_request("globex", b"x")
        self.assertIsNotNone(
            await self.quarantine.start(other, "e2", after(1.0))
        )
        await asyncio.sleep(limits.QUARANTINE_SECONDS)
        self.assertIsNotNone(await self.start("x", "e2"))

    async def test_incomplete_run_stays_suspect(self):
        """Guards against a suspect that is cleared by giving up."""
        self.quarantine.report_crash(await self.start("x", "e1"))
        run = await self.start("x", "e1")
        self.assertTrue(run.alone)
        self.quarantine.finish(run, completed=False)
        self.assertTrue((await self.start("x", "e1")).alone)
