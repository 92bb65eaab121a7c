"""Tests of permits for cold backend servers."""

import asyncio
import random

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import permits
from sesamefold import rendezvous
from sesamefold.wire import control_pb2
from tests import journal_fakes

LIMIT = 2
# Time after which a permit has expired by the clock of each host.
EXPIRY_SECONDS = defaults.PERMIT_SECONDS + defaults.CLOCK_SKEW
HANDOVER_SECONDS = EXPIRY_SECONDS + permits.MEMBERSHIP_CONVERGENCE_SECONDS


class PermitsTestCase(journal_fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.network = journal_fakes.Network("abc")
        self.tasks = {}
        self.hosts = {}
        for name in "abc":
            self.start(name)
        self.owner = rendezvous.choose_owner("e1", "abc")
        self.other = min(set("abc") - {self.owner})

    async def asyncTearDown(self):
        for task in self.tasks.values():
            task.cancel()

    def start(self, name, skew=0.0, **options):
        """Start the permits of a host, or restart them."""
        if name in self.tasks:
            self.tasks[name].cancel()
        created = self.hosts[name] = permits.Permits(
            self.network.create_peers(name),
            lambda backend: LIMIT,
            clock=lambda: journal_fakes.read_clock() + skew,
            **options,
        )
        self.network.register_handlers(
            name,
            AcquirePermit=created.acquire,
            RenewPermit=created.renew,
            ReleasePermit=created.release,
        )
        self.tasks[name] = asyncio.create_task(created.run())

    async def request(self, name, request):
        """Return a permit that is requested from a host."""
        return await self.hosts[name].acquire(
            control_pb2.AcquirePermitRequest(
                backend="e1", holder=name, request=request
            )
        )

    async def acquire(self, name, request):
        """Return the id of a permit, "" if none was granted."""
        return (await self.request(name, request)).id

    async def renew(self, name, permit):
        return await self.hosts[name].renew(
            control_pb2.RenewPermitRequest(backend="e1", id=permit)
        )

    async def release(self, name, permit):
        await self.hosts[name].release(
            control_pb2.ReleasePermitRequest(backend="e1", id=permit)
        )

    async def check_grant_time(self, seconds):
        """Check that a permit is granted after `seconds`, and not before."""
        await asyncio.sleep(seconds - 0.3)
        self.assertEqual("", await self.acquire(self.other, "first"))
        await asyncio.sleep(0.6)
        self.assertTrue(await self.acquire(self.other, "first"))


class GrantTest(PermitsTestCase):
    async def test_permits_beyond_limit_are_refused_until_release(self):
        """Guards against exceeding the limit, and permits never given back."""
        await asyncio.sleep(HANDOVER_SECONDS)
        first = await self.acquire(self.other, "1")
        second = await self.acquire(self.owner, "2")
        self.assertTrue(first and second)
        self.assertEqual("", await self.acquire("b", "3"))
        # A caller that lost the reply repeats its request.
        self.assertEqual(first, await self.acquire(self.other, "1"))
        await self.release(self.other, first)
        await self.release(self.other, first)
        self.assertTrue(await self.acquire("b", "3"))
        self.assertEqual("", await self.acquire("b", "4"))

    async def test_unreleased_permits_are_granted_again_after_expiry(self):
        """Guards against a permit that is granted again while it is valid."""
        await asyncio.sleep(HANDOVER_SECONDS)
        for name in "xy":
            self.assertTrue(await self.acquire(self.other, name))
        await self.check_grant_time(EXPIRY_SECONDS)

    async def test_acquire_fails_without_the_owner(self):
        """Guards against a permit granted by a host that is not the owner."""
        await asyncio.sleep(HANDOVER_SECONDS)
        cases = {
            "unreachable": ({}, journal_fakes.CALL_FAILED),
            "reply lost": ({}, journal_fakes.REPLY_LOST),
            "sees another owner": ({self.owner: [self.other]}, None),
        }
        for name, (views, fault) in cases.items():
            with self.subTest(name):
                self.network.host_views = views
                self.network.calls.clear()
                self.network.faults[self.owner, "AcquirePermit"] = [fault]
                with self.assertRaises(exceptions.ControlUnavailable):
                    await self.acquire(self.other, "1")
                self.assertEqual(1, sum(self.network.calls.values()))
                await self.release(self.other, "unknown")


class StartTest(PermitsTestCase):
    async def test_hosts_that_have_not_met_grant_nothing(self):
        """Guards against two hosts that each grant the only reservation.

        They start together, and neither is on the host list of the other.
        """
        met = set()
        handover_seconds = 2.0
        for name in "ab":
            self.network.host_views[name] = [name]
            self.start(
                name,
                knows_members=lambda name=name: name in met,
                handover_seconds=handover_seconds,
            )
        await asyncio.sleep(3.0)
        for name in "ab":
            refusal = await self.request(name, "first")
            self.assertEqual("", refusal.id)
            self.assertAlmostEqual(
                journal_fakes.read_clock() + handover_seconds,
                refusal.retry_at,
                places=3,
            )
        met.update("ab")
        self.network.host_views.clear()
        self.network.running_hosts.remove("c")
        owner = rendezvous.choose_owner("e1", "ab")
        await asyncio.sleep(handover_seconds - 0.3)
        self.assertEqual("", await self.acquire("a", "first"))
        await asyncio.sleep(0.6)
        self.assertTrue(await self.acquire("a", "first"))
        self.assertEqual(1, self.hosts[owner].count_permits("e1"))
        # A refusal for lack of permits names no time.
        await self.acquire("b", "second")
        self.assertEqual(0.0, (await self.request("b", "third")).retry_at)


class OwnershipTest(PermitsTestCase):
    async def test_started_owner_grants_nothing_during_handover(self):
        """Guards against exceeding the limit with earlier permits.

        The permits of an earlier incarnation may still be in use.
        """
        await self.check_grant_time(HANDOVER_SECONDS)

    async def test_restarted_owner_counts_renewed_permits(self):
        """Guards against an owner that forgets permits in use."""
        await asyncio.sleep(HANDOVER_SECONDS)
        held = [await self.acquire(self.other, name) for name in "xy"]
        self.start(self.owner)
        for _ in range(8):
            for permit in held:
                renewed = await self.renew(self.other, permit)
                self.assertEqual(permit, renewed.id)
            await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
            self.assertEqual("", await self.acquire(self.other, "new"))
        self.assertEqual("", (await self.renew(self.other, "surplus")).id)
        await self.release(self.other, held[0])
        self.assertTrue(await self.acquire(self.other, "new"))

    async def test_regained_ownership_starts_a_new_handover(self):
        """Guards against exceeding the limit with permits of another owner.

        It may have granted some while it owned the backend server.
        """
        await asyncio.sleep(HANDOVER_SECONDS)
        self.network.running_hosts.remove(self.owner)
        await asyncio.sleep(0.5)
        self.network.running_hosts.append(self.owner)
        await self.check_grant_time(HANDOVER_SECONDS + 0.1)

    async def test_paused_owner_grants_nothing_when_it_resumes(self):
        """Guards against a paused owner that did not notice its successor."""
        await asyncio.sleep(HANDOVER_SECONDS)
        self.assertTrue(await self.acquire(self.owner, "1"))
        self.tasks[self.owner].cancel()
        await asyncio.sleep(
            permits.MAX_OBSERVATION_GAP_SECONDS + EXPIRY_SECONDS
        )
        self.assertEqual("", await self.acquire(self.owner, "2"))

    async def test_parts_of_a_partition_stay_within_the_limit(self):
        """Guards against two parts that each grant the full limit."""
        for name in "abc":
            self.start(name, count_hosts=lambda: 3)
        self.network.host_views = {
            "a": ["a"],
            "b": ["b", "c"],
            "c": ["b", "c"],
        }
        await asyncio.sleep(HANDOVER_SECONDS)
        granted = [
            await self.acquire(name, request)
            for name in "abc"
            for request in "xyz"
        ]
        self.assertEqual(LIMIT, len(set(granted) - {""}))

    async def test_random_member_changes_never_exceed_the_limit(self):
        """Guards against two owners whose permits exceed the limit.

        Hosts restart, join and leave; each host learns of it within the
        convergence time. Clocks differ by up to the clock skew.
        """
        # Seeds 174 and 270 exceed the limit when the handover does not include
        # the convergence time.
        seeds = (*range(8), 174, 270)
        granted = sum([await self.run_changes(seed) for seed in seeds])
        # Without this check, hosts that never grant a permit would pass.
        self.assertGreater(granted, 200)

    async def run_changes(self, seed):
        rng = random.Random(seed)
        names = ["a", "b", "c"]
        deadlines = {}  # deadline of each permit by the clock of its holder
        granted = 0
        skews = {name: rng.choice((-0.25, 0.25)) for name in names}
        self.network.host_views = {name: list(names) for name in names}
        for name in names:
            self.start(name, skews[name])

        async def use_permits(name):
            nonlocal granted
            while True:
                await asyncio.sleep(rng.random())
                try:
                    permit = await self.request(name, str(rng.random()))
                except exceptions.ControlUnavailable:
                    continue
                for _ in range(rng.randrange(5)):
                    if not permit.id:
                        break
                    granted += 1
                    deadlines[permit.id] = permit.deadline - skews[name]
                    now = journal_fakes.read_clock()
                    used = [at for at in deadlines.values() if at > now]
                    self.assertLessEqual(len(used), LIMIT, f"seed {seed}")
                    await asyncio.sleep(defaults.PERMIT_RENEWAL_INTERVAL)
                    try:
                        permit = await self.renew(name, permit.id)
                    except exceptions.ControlUnavailable:
                        continue
                # Some holders crash without releasing their permit.
                if permit.id and rng.random() < 0.7:
                    deadlines.pop(permit.id, None)
                    await self.release(name, permit.id)

        async def update_view(name, members):
            await asyncio.sleep(
                rng.random() * permits.MEMBERSHIP_CONVERGENCE_SECONDS
            )
            self.network.host_views[name] = members

        tasks = [asyncio.create_task(use_permits(name)) for name in names * 2]
        for _ in range(8):
            await asyncio.sleep(rng.choice((4.0, 10.0, 20.0)))
            members = sorted(rng.sample(names, rng.choice((2, 3, 3))))
            await asyncio.gather(
                *(update_view(name, members) for name in names)
            )
            if rng.random() < 0.5:
                restarted = rng.choice(names)
                self.start(restarted, skews[restarted])
        for task in tasks:
            task.cancel()
        # Raises the error of a check that failed in a task.
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result
        return granted
