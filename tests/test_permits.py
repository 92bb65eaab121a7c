"""Tests of permits for cold backend servers."""

import asyncio
import random
import typing as t

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import permits
from sesamefold import rendezvous
from sesamefold.wire import control_pb2
from tests import fakes

LIMIT = 2
HANDOVER = (
    defaults.PERMIT_SECONDS
    + defaults.CLOCK_SKEW
    + permits.DISAGREEMENT_SECONDS
)
# Long enough for a permit to be certainly expired.
EXPIRY = defaults.PERMIT_SECONDS + defaults.CLOCK_SKEW


class PermitsTestCase(fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.network = fakes.Network(("a", "b", "c"))
        self.tasks: t.Dict[str, asyncio.Task] = {}
        self.hosts: t.Dict[str, permits.Permits] = {}
        for name in self.network.names:
            self.start(name)
        self.owner = rendezvous.choose_owner("e1", "abc")
        self.other = min(set("abc") - {self.owner})
        # The owner after the loss of the first one.
        self.next = rendezvous.choose_owner("e1", set("abc") - {self.owner})

    async def asyncTearDown(self):
        for task in self.tasks.values():
            task.cancel()

    def start(self, name: str, skew: float = 0.0, **options: t.Any) -> None:
        """Start the permits of a host, or restart them."""
        if name in self.tasks:
            self.tasks[name].cancel()
        made = permits.Permits(
            self.network.join(name),
            lambda backend: LIMIT,
            clock=lambda: fakes.read_clock() + skew,
            **options,
        )
        self.network.serve(
            name,
            AcquirePermit=made.acquire,
            RenewPermit=made.renew,
            ReleasePermit=made.release,
        )
        self.hosts[name] = made
        self.tasks[name] = asyncio.create_task(made.run())

    async def acquire(self, name: str, request: str) -> str:
        """Return the id of a permit, "" if none was granted."""
        permit = await self.hosts[name].acquire(
            control_pb2.AcquirePermitRequest(
                backend="e1", holder=name, request=request
            )
        )
        return permit.id

    async def renew(self, name: str, permit: str) -> str:
        reply = await self.hosts[name].renew(
            control_pb2.RenewPermitRequest(backend="e1", id=permit)
        )
        return reply.id

    async def release(self, name: str, permit: str) -> None:
        await self.hosts[name].release(
            control_pb2.ReleasePermitRequest(backend="e1", id=permit)
        )


class RulesTest(PermitsTestCase):
    async def test_limit(self):
        """Guards against more permits than the limit, and lost ones."""
        await asyncio.sleep(HANDOVER)
        first = await self.acquire(self.other, "1")
        second = await self.acquire(self.owner, "2")
        self.assertTrue(first and second)
        self.assertEqual("", await self.acquire("b", "3"))
        # A caller whose reply was lost asks again.
        self.assertEqual(first, await self.acquire(self.other, "1"))
        await self.release(self.other, first)
        await self.release(self.other, first)
        third = await self.acquire("b", "3")
        self.assertTrue(third)
        self.assertEqual("", await self.acquire("b", "4"))

    async def test_expiry_without_release(self):
        """Guards against a permit that is used again while it is valid."""
        await asyncio.sleep(HANDOVER)
        [await self.acquire(self.other, f"{n}") for n in "xy"]
        await asyncio.sleep(EXPIRY - 0.1)
        self.assertEqual("", await self.acquire(self.other, "z"))
        await asyncio.sleep(0.2)
        self.assertTrue(await self.acquire(self.other, "z"))

    async def test_owner_unreachable(self):
        """Guards against a permit granted by a host that is not the owner."""
        await asyncio.sleep(HANDOVER)
        cases = {
            "unreachable": ({}, fakes.DOWN),
            "reply lost": ({}, fakes.LOST),
            "owner sees another owner": ({self.owner: [self.next]}, None),
        }
        for name, (views, fault) in cases.items():
            with self.subTest(name):
                self.network.views = views
                self.network.calls.clear()
                self.network.faults[self.owner, "AcquirePermit"] = [fault]
                with self.assertRaises(exceptions.ControlUnavailable):
                    await self.acquire(self.other, "1")
                self.assertEqual(1, sum(self.network.calls.values()))
                await self.release(self.other, "unknown")


class OwnersTest(PermitsTestCase):
    async def test_start(self):
        """Guards against grants beside those of an earlier incarnation."""
        self.assertEqual("", await self.acquire(self.other, "1"))
        await asyncio.sleep(HANDOVER - 0.1)
        self.assertEqual("", await self.acquire(self.other, "1"))
        await asyncio.sleep(0.2)
        self.assertTrue(await self.acquire(self.other, "1"))

    async def test_restart(self):
        """Guards against an owner that forgets permits in use."""
        await asyncio.sleep(HANDOVER)
        held = [await self.acquire(self.other, str(n)) for n in range(LIMIT)]
        self.start(self.owner)
        for _ in range(8):
            for permit in held:
                self.assertEqual(permit, await self.renew(self.other, permit))
            await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
            self.assertEqual("", await self.acquire(self.other, "new"))
        self.assertEqual("", await self.renew(self.other, "surplus"))
        await self.release(self.other, held[0])
        self.assertTrue(await self.acquire(self.other, "new"))

    async def test_short_loss_of_ownership(self):
        """Guards against grants beside those of an owner in between."""
        await asyncio.sleep(HANDOVER)
        self.network.names.remove(self.owner)
        await asyncio.sleep(0.5)
        self.network.names.append(self.owner)
        await asyncio.sleep(HANDOVER - 0.4)
        self.assertEqual("", await self.acquire(self.other, "1"))
        await asyncio.sleep(0.8)
        self.assertTrue(await self.acquire(self.other, "1"))

    async def test_pause(self):
        """Guards against a paused owner that did not notice its successor."""
        await asyncio.sleep(HANDOVER)
        self.assertTrue(await self.acquire(self.owner, "1"))
        self.tasks[self.owner].cancel()
        await asyncio.sleep(permits.OBSERVATION_SECONDS + EXPIRY)
        self.assertEqual("", await self.acquire(self.owner, "2"))

    async def test_partition(self):
        """Guards against two parts that each grant the whole limit."""
        count_hosts = len(self.network.names)
        for name in self.network.names:
            self.start(name, count_hosts=lambda: count_hosts)
        self.network.views = {"a": ["a"], "b": ["b", "c"], "c": ["b", "c"]}
        await asyncio.sleep(HANDOVER)
        granted = [
            bool(await self.acquire(name, str(number)))
            for name in "abc"
            for number in range(3)
        ]
        self.assertEqual(LIMIT, sum(granted))

    async def test_random_changes_of_members(self):
        """Guards against two owners whose permits exceed the limit.

        Hosts restart, join and leave; each learns of it within the longest
        disagreement. Clocks differ by up to the clock skew.
        """
        # Seeds 174 and 270 exceed the limit when the handover leaves out the
        # disagreement.
        seeds = (*range(8), 174, 270)
        granted = sum([await self.run_changes(seed) for seed in seeds])
        # Hosts that never grant anything would pass as well.
        self.assertGreater(granted, 200)

    async def run_changes(self, seed: int) -> int:
        rng = random.Random(seed)
        names = ["a", "b", "c"]
        valid: t.Dict[str, float] = {}  # deadline by the holder's clock
        granted = 0
        skews = {name: rng.choice((-0.25, 0.25)) for name in names}
        self.network.views = {name: list(names) for name in names}
        for name in names:
            self.start(name, skews[name])

        def check():
            now = fakes.read_clock()
            for permit in [p for p, at in valid.items() if at <= now]:
                del valid[permit]
            self.assertLessEqual(len(valid), LIMIT, f"seed {seed}")

        async def use(name: str) -> None:
            nonlocal granted
            while True:
                await asyncio.sleep(rng.random())
                host = self.hosts[name]
                request = control_pb2.AcquirePermitRequest(
                    backend="e1", holder=name, request=str(rng.random())
                )
                try:
                    permit = await host.acquire(request)
                except exceptions.ControlUnavailable:
                    continue
                for _ in range(rng.randrange(5)):
                    if not permit.id:
                        break
                    granted += 1
                    valid[permit.id] = permit.deadline - skews[name]
                    check()
                    await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
                    renewal = control_pb2.RenewPermitRequest(
                        backend="e1", id=permit.id
                    )
                    try:
                        permit = await self.hosts[name].renew(renewal)
                    except exceptions.ControlUnavailable:
                        continue
                # Some holders die with their permit.
                if permit.id and rng.random() < 0.7:
                    valid.pop(permit.id, None)
                    await self.release(name, permit.id)

        async def learn(name: str, members: t.List[str]) -> None:
            await asyncio.sleep(rng.random() * permits.DISAGREEMENT_SECONDS)
            self.network.views[name] = members

        tasks = [asyncio.create_task(use(name)) for name in names * 2]
        for _ in range(8):
            await asyncio.sleep(rng.choice((4.0, 10.0, 20.0)))
            # Members that were lost are back at every second change.
            members = rng.sample(names, rng.choice((2, 3, 3)))
            await asyncio.gather(
                *(learn(name, sorted(members)) for name in names)
            )
            if rng.random() < 0.5:
                restarted = rng.choice(names)
                self.start(restarted, skews[restarted])
        for task in tasks:
            task.cancel()
        # A task that failed ends with the failed check.
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result
        return granted
