"""Tests of the journal of non-idempotent calls."""

import asyncio
import collections
import random
import uuid

from sesamefold import buckets
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import expiry
from sesamefold import journal
from sesamefold import keyvalue
from sesamefold import records
from sesamefold import rendezvous
from sesamefold.wire import control_pb2
from tests import journal_fakes

RUN = control_pb2.BeginCallReply.RUN
RECORDED = control_pb2.BeginCallReply.RECORDED
UNKNOWN = control_pb2.BeginCallReply.UNKNOWN
MISMATCH = control_pb2.BeginCallReply.MISMATCH
EXPIRED = control_pb2.BeginCallReply.EXPIRED
REFUSED = "refused"

OUTCOME = control_pb2.Outcome(status=201, body=b"{}")
LARGE = control_pb2.Outcome(status=200, body=b"x" * 4096)


def make_key(number=1, issued=journal_fakes.START_UNIX_SECONDS):
    """Return a UUIDv7 of an issue time."""
    value = int(issued * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def locate(key):
    """Return the key and the shard of a bucket, and the id of the call."""
    parsed = records.parse_key(key)
    call = records.compute_call_id("acme", parsed)
    return (*records.locate_bucket(parsed, call), call)


async def begin(item, attempt, key=None, **fields):
    """Return the reply to an attempt."""
    fields = {"customer": "acme", "fingerprint": b"one", **fields}
    return await item.begin(
        control_pb2.BeginCallRequest(
            attempt=attempt, key=make_key() if key is None else key, **fields
        )
    )


async def decide(item, attempt, key=None, **fields):
    """Return the decision on an attempt, or REFUSED."""
    try:
        return (await begin(item, attempt, key, **fields)).decision
    except exceptions.JournalUnavailable as error:
        assert error.executed == exceptions.NO
        return REFUSED


async def finish(item, attempt, key=None, outcome=OUTCOME):
    """Record an outcome, with None that the call did not run."""
    await item.finish(
        control_pb2.FinishCallRequest(
            customer="acme",
            key=key or make_key(),
            attempt=attempt,
            not_run=outcome is None,
            outcome=outcome,
        )
    )


async def gather(calls):
    """Return the results of calls that run at the same time."""
    return await asyncio.gather(*calls)


class JournalTestCase(journal_fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        random.seed(1)  # of the pauses between attempts
        self.service = journal_fakes.FakeKeyValue(latency=0.003)
        self.network = journal_fakes.Network("abc")
        self.journals = {name: self.make(name) for name in "abc"}
        self.owner, self.other = self.choose(make_key())

    async def asyncTearDown(self):
        for item in self.journals.values():
            await item.stop()

    def make(self, name, clock=journal_fakes.read_clock, **options):
        peers = self.network.create_peers(name)
        made = journal.Journal(self.service, peers, clock=clock, **options)
        self.network.register_handlers(
            name, BeginCall=made.begin, FinishCall=made.finish
        )
        return made

    def choose(self, key):
        """Return the journal of a key's owner, and another one."""
        owner = rendezvous.choose_owner(f"journal/{locate(key)[1]}", "abc")
        other = min(set("abc") - {owner})
        return self.journals[owner], self.journals[other]

    def read_state(self, key=None):
        """Return the state of a call as the service holds it."""
        bucket, _, call = locate(key or make_key())
        entry = self.service.entries.get(bucket)
        calls = records.decode_bucket(entry.value) if entry else {}
        if call not in calls:
            return None
        return records.Record.decode(calls[call]).state


class LostAnswersTest(JournalTestCase):
    async def test_faults_of_the_service(self):
        """Guards against a call that runs unrecorded, or twice."""
        lost, late = journal_fakes.REPLY_LOST, journal_fakes.REQUEST_DELAYED
        cases = {
            "none": {},
            "read failed": {"get": [journal_fakes.CALL_FAILED]},
            "write failed": {"put": [journal_fakes.CALL_FAILED]},
            "answer lost": {"put": [lost]},
            "answers lost": {"put": [lost, lost], "get": [None, lost]},
            "request lost": {"put": [journal_fakes.REQUEST_LOST]},
            "request late": {"put": [late]},
            "requests late": {"put": [late, late, late]},
        }
        for number, (name, faults) in enumerate(cases.items(), start=1):
            with self.subTest(name):
                self.service.faults.update(faults)
                key = make_key(number)
                # For a forwarded begin no list of attempts is kept, so only
                # the record can stop the second RUN.
                calls = (self.owner, "1"), (self.owner, "1"), (self.other, "2")
                decisions = [
                    await decide(item, attempt, key, forwarded=True)
                    for item, attempt in calls
                ]
                self.assertEqual([RUN, UNKNOWN, UNKNOWN], decisions)
                self.assertEqual(records.State.STARTED, self.read_state(key))

    async def test_outage(self):
        """Guards against a call that runs while nothing can be recorded."""
        self.service.choose_fault = lambda method: journal_fakes.CALL_FAILED
        self.assertEqual(REFUSED, await decide(self.other, "1"))
        self.service.choose_fault = None
        await asyncio.sleep(10.0)
        self.assertEqual(RUN, await decide(self.other, "2"))

    async def test_given_up_during_an_outage(self):
        """Guards against a refused call that is recorded after the outage.

        Its repeats would never run. The caller gives up during a pause
        between two attempts to read the bucket.
        """
        self.service.faults["get"] = [journal_fakes.CALL_FAILED] * 4
        fields = {
            "forwarded": True,
            "deadline": journal_fakes.START_UNIX_SECONDS + 0.45,
        }
        self.assertEqual(REFUSED, await decide(self.owner, "1", **fields))
        await asyncio.sleep(10.0)
        self.assertEqual([], self.service.faults["get"])
        self.assertIsNone(self.read_state())

    async def test_outcome_unknown_until_the_deadline(self):
        """Guards against RUN while the intent may be unrecorded.

        The write took effect, and every later call fails: the attempt is
        refused. It is withdrawn afterwards, so a repeat may run.
        """
        self.service.faults["put"] = [journal_fakes.REPLY_LOST]
        self.service.faults["get"] = [None] + [journal_fakes.CALL_FAILED] * 12
        self.assertEqual(REFUSED, await decide(self.owner, "1"))
        self.assertEqual(records.State.STARTED, self.read_state())
        self.service.faults.clear()
        await asyncio.sleep(30.0)
        self.assertEqual(RUN, await decide(self.owner, "2"))


class WritersTest(JournalTestCase):
    async def test_two_writers(self):
        """Guards against two writers that overwrite each other's records."""
        self.network.host_views = {name: [name] for name in "abc"}
        keys = [make_key(number) for number in range(1, 41)]
        decisions = await gather(
            decide(item, name, key)
            for key in keys
            for name, item in self.journals.items()
        )
        counts = collections.Counter(decisions)
        self.assertEqual({RUN: 40, UNKNOWN: 80}, dict(counts))
        self.assertNotIn(None, map(self.read_state, keys))

    async def test_forwarding(self):
        """Guards against a lost reply that blocks a call or runs it twice."""
        cases = {
            "none": None,
            "owner unreachable": journal_fakes.CALL_FAILED,
            "owner killed before its reply": journal_fakes.REPLY_LOST,
            "request arrives after the error": journal_fakes.REQUEST_DELAYED,
        }
        for number, (name, fault) in enumerate(cases.items(), start=1):
            with self.subTest(name):
                key = make_key(8 * number)
                _, other = self.choose(key)
                self.network.choose_fault = lambda method: fault
                self.network.calls.clear()
                decisions = [await decide(other, "1", key) for _ in range(3)]
                await asyncio.sleep(5.0)
                self.assertEqual([RUN, UNKNOWN, UNKNOWN], decisions)
                self.assertEqual(1, sum(self.network.calls.values()))
                self.assertEqual(UNKNOWN, await decide(other, "2", key))

    async def test_owners_disagree(self):
        """Guards against a begin that is forwarded in a circle."""
        self.network.host_views.update(a=["b"], b=["c"], c=["a"])
        self.assertEqual(RUN, await decide(self.journals["a"], "1"))
        self.assertEqual({("b", "BeginCall"): 1}, dict(self.network.calls))

    async def test_paused_owner(self):
        """Guards against a paused writer that runs a call run elsewhere."""
        resume = asyncio.Event()

        async def pause(method):
            if method == "put":
                self.service.before_call = None
                await resume.wait()

        self.service.before_call = pause
        paused = asyncio.create_task(decide(self.owner, "1", forwarded=True))
        await asyncio.sleep(0.1)
        self.assertEqual(RUN, await decide(self.other, "2", forwarded=True))
        resume.set()
        self.assertEqual(UNKNOWN, await paused)

    async def test_write_after_the_deadline(self):
        """Guards against RUN after a pause that outlasted the deadline."""
        pauses = [0.0]
        item = self.make("a", lambda: journal_fakes.read_clock() + sum(pauses))

        async def pause(method):
            if method == "put":
                self.service.before_call = None
                pauses.append(2.0)

        self.service.before_call = pause
        self.network.host_views["a"] = ["a"]
        decision = await decide(
            item, "1", deadline=journal_fakes.START_UNIX_SECONDS + 1.0
        )
        self.assertEqual(REFUSED, decision)
        await item.stop()
        self.assertEqual(records.State.NOT_RUN, self.read_state())


class RulesTest(JournalTestCase):
    async def test_keys(self):
        """Guards against answers that belong to another call."""
        old = journal_fakes.START_UNIX_SECONDS - defaults.JOURNAL_KEY_SECONDS
        self.assertEqual(RUN, await decide(self.other, "0"))
        cases = (
            ("other customer", {"customer": "globex"}, RUN, ""),
            ("other body", {"fingerprint": b"two"}, MISMATCH, ""),
            ("upper case", {"key": make_key().upper()}, UNKNOWN, ""),
            ("old", {"key": make_key(1, old)}, EXPIRED, "old"),
            ("nearly old", {"key": make_key(1, old + 60)}, RUN, ""),
            (
                "ahead",
                {"key": make_key(1, journal_fakes.START_UNIX_SECONDS + 50)},
                RUN,
                "",
            ),
            (
                "far",
                {"key": make_key(1, journal_fakes.START_UNIX_SECONDS + 70)},
                EXPIRED,
                "future",
            ),
        )
        for name, fields, decision, message in cases:
            with self.subTest(name):
                reply = await begin(self.other, name, **fields)
                self.assertEqual(decision, reply.decision)
                self.assertIn(message, reply.message)
        for key in ("", "x", str(uuid.UUID(int=4 << 76 | 2 << 62))):
            with self.assertRaises(exceptions.KeyMalformed):
                await begin(self.other, "9", key)

    async def test_transitions(self):
        """Guards against transitions that would allow a second run.

        Each case is a list of attempts with a decision on their begin, or
        with the outcome that they report (None: not run).
        """
        cases = (
            [("1", RUN), ("1", OUTCOME), ("2", RECORDED)],
            [("1", RUN), ("1", None), ("2", RUN)],
            [("1", RUN), ("2", None), ("2", UNKNOWN)],
            [("1", RUN), ("2", OUTCOME), ("2", UNKNOWN)],
            [("1", RUN), ("1", OUTCOME), ("1", None), ("2", RECORDED)],
            [("1", RUN), ("1", None), ("1", OUTCOME), ("1", UNKNOWN)]
            + [("2", RUN), ("1", None), ("3", UNKNOWN)],
            [("1", OUTCOME), ("1", None), ("1", RUN)],
        )
        for number, steps in enumerate(cases, start=1):
            key = make_key(number)
            for attempt, step in steps:
                with self.subTest(number, attempt=attempt, step=step):
                    if step in (None, OUTCOME):
                        await finish(self.other, attempt, key, step)
                        continue
                    reply = await begin(
                        self.owner, attempt, key, forwarded=True
                    )
                    self.assertEqual(step, reply.decision)
                    if step == RECORDED:
                        self.assertEqual(OUTCOME, reply.outcome)

    async def test_outcomes(self):
        """Guards against an outcome that is altered or too large."""
        kept = defaults.JOURNAL_BODY_BYTES
        cases = (
            (b"x" * kept, "text/plain", False),
            (b"x" * (kept + 1), "text/plain", True),
            (b"", "", False),
            (b"{}", "application/problem+json", False),
            (b"{}", "x" * 256, True),
        )
        for number, (body, content_type, truncated) in enumerate(cases, 1):
            with self.subTest(number):
                key = make_key(number)
                outcome = control_pb2.Outcome(
                    status=409, content_type=content_type, body=body
                )
                await begin(self.other, "1", key)
                await finish(self.other, "1", key, outcome)
                reply = await begin(self.other, "2", key)
                self.assertEqual(RECORDED, reply.decision)
                self.assertEqual(truncated, reply.outcome.truncated)
                self.assertEqual(409, reply.outcome.status)
                if not truncated:
                    self.assertEqual(outcome, reply.outcome)

    async def test_full_bucket(self):
        """Guards against a value over 1 MB, and a call without its outcome."""
        bucket, shard, _ = locate(make_key())
        keys = [
            k for k in map(make_key, range(1, 99)) if locate(k)[1] == shard
        ]
        await begin(self.owner, "1", keys[0], forwarded=True)
        entry = self.service.entries[bucket]
        record = records.Record(bytes(16), b"", b"", records.State.STARTED)
        count = records.MAX_BUCKET_BYTES // records.RESERVED_RECORD_BYTES - 1
        filler = b"".join(
            number.to_bytes(16, "big") + record.encode()[16:]
            for number in range(count)
        )
        self.service.entries[bucket] = keyvalue.Entry(
            bucket, entry.value + filler, entry.version + 1
        )
        with self.assertRaises(exceptions.JournalFull):
            await begin(self.other, "1", keys[1])
        await finish(self.other, "1", keys[0], LARGE)
        reply = await begin(self.other, "2", keys[0])
        self.assertEqual(RECORDED, reply.decision)
        self.assertTrue(reply.outcome.truncated)
        size = len(self.service.entries[bucket].value)
        self.assertLessEqual(size, defaults.MAX_VALUE_BYTES)

    async def test_bodies_leave_room(self):
        """Guards against bodies that use up the room for new calls."""
        self.network.host_views["a"] = ["a"]
        item = self.journals["a"]
        keys = [make_key(number) for number in range(1, 1501)]
        for start in range(0, len(keys), 500):
            part = keys[start : start + 500]
            await gather(begin(item, "1", key) for key in part)
            await gather(finish(item, "1", key, LARGE) for key in part)
        size = max(len(e.value) for e in self.service.entries.values())
        self.assertAlmostEqual(
            records.BODY_BUCKET_LIMIT_BYTES, size, delta=8192
        )

    async def test_expiry(self):
        """Guards against buckets that are deleted too early or never."""
        now = int(journal_fakes.START_UNIX_SECONDS // 3600)
        for age in (0, 24, 25, 26, 30, 100):
            for shard in range(3):
                key = f"journal/{now - age}/719/{shard}"
                await self.service.put(key, b"\x01", 0, None)
        await self.service.put("journal/other", b"", 0, None)
        deleted, listings = await self.expire_rounds(7)
        self.assertEqual([0, 0, 9], sorted(deleted))
        # The last 7 days, since no mark tells where to start.
        self.assertEqual(expiry.LOOKBACK_HOURS, listings)
        hours = {key.split("/")[1] for key in self.service.entries}
        kept = {str(now - age) for age in (0, 24, 25)}
        self.assertEqual({"other", "expired", *kept}, hours)

    async def test_expiry_after_an_outage(self):
        """Guards against hours that are skipped, or listed without bound."""
        end = int(journal_fakes.START_UNIX_SECONDS // 3600) - 25
        start = end - 300
        mark = str(start).encode()
        await self.service.put(expiry.PROGRESS_KEY, mark, 0, None)
        keys = [f"journal/{start}/{n // 8}/{n % 8}" for n in range(2500)]
        for key in keys + [f"journal/{end - 1}/0/0"]:
            self.service.entries[key] = keyvalue.Entry(key, b"\x01", 1)
        deleted, listings = await self.expire_rounds(1)
        self.assertEqual(
            [0, 0, expiry.MAX_DELETIONS_PER_ROUND], sorted(deleted)
        )
        self.assertEqual(1, listings)
        self.service.faults["list_keys"] = [journal_fakes.CALL_FAILED]
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.expire_rounds(1)
        deleted, listings = await self.expire_rounds(20)
        self.assertEqual([0, 0, 1501], sorted(deleted))
        self.assertLessEqual(listings, 302)
        self.assertEqual([expiry.PROGRESS_KEY], list(self.service.entries))

    async def expire_rounds(self, rounds):
        """Return the deletions of each control, and the listings."""
        self.service.calls.clear()
        totals = [0] * len(self.journals)
        for _ in range(rounds):
            before = self.service.calls["list_keys"]
            for number, item in enumerate(self.journals.values()):
                totals[number] += await item.delete_expired()
            self.assertLessEqual(
                self.service.calls["list_keys"] - before,
                expiry.MAX_LISTINGS_PER_ROUND,
            )
        return totals, self.service.calls["list_keys"]

    async def test_group_commit(self):
        """Guards against one write for each call, or two for slow ones."""
        keys = [make_key(number) for number in range(800)]
        replies = await gather(decide(self.other, "1", key) for key in keys)
        self.assertEqual({RUN}, set(replies))
        self.assertLessEqual(self.service.calls["put"], 16)
        self.service.calls.clear()
        finishing = []
        for key in (
            make_key(number, journal_fakes.START_UNIX_SECONDS + 1)
            for number in range(80)
        ):
            await begin(self.other, "1", key)
            finishing.append(asyncio.create_task(finish(self.other, "1", key)))
        await asyncio.gather(*finishing)
        self.assertLess(self.service.calls["put"], 110)

    async def test_many_periods(self):
        """Guards against a write rate that grows with the age of keys."""
        period = defaults.JOURNAL_PERIOD_SECONDS
        keys = [
            make_key(1, journal_fakes.START_UNIX_SECONDS - period * n)
            for n in range(300)
        ]
        await gather(begin(self.owner, "1", k, forwarded=True) for k in keys)
        rate = self.service.calls["put"] / (
            journal_fakes.read_clock() - journal_fakes.START_UNIX_SECONDS
        )
        self.assertLess(rate, 2.2 * 8 / defaults.JOURNAL_WRITE_INTERVAL)
        await asyncio.sleep(1.0)
        cached = len(self.owner._bucket_writer)
        self.assertLessEqual(cached, buckets.MAX_CACHED_BUCKETS)


class InterleavingsTest(JournalTestCase):
    async def test_random_interleavings(self):
        """Guards against two runs of one key under any mix of faults."""
        total = collections.Counter()
        for seed in range(60):
            with self.subTest(seed=seed):
                total += await self.run_interleaving(random.Random(seed))
        # The mix must reach all decisions, else it proves nothing.
        for decision in (RUN, UNKNOWN, RECORDED, REFUSED, "rerun"):
            self.assertGreater(total[decision], 10, decision)

    async def run_interleaving(self, rng):
        """Return the number of decisions of 24 attempts at 3 keys."""
        self.service = journal_fakes.FakeKeyValue(latency=0.002)
        self.network = journal_fakes.Network("abc")
        kinds = (
            journal_fakes.CALL_FAILED,
            journal_fakes.REPLY_LOST,
            journal_fakes.REQUEST_LOST,
            journal_fakes.REQUEST_DELAYED,
        )
        rate = rng.choice((0.05, 0.3, 0.6))

        def choose_fault(method):
            return rng.choice(kinds) if rng.random() < rate else None

        async def delay(method):
            await asyncio.sleep(rng.choice((0.0, 0.001, 0.01, 0.05)))

        self.service.choose_fault = self.network.choose_fault = choose_fault
        self.service.before_call = delay
        options = {
            "write_interval_seconds": 0.005,
            "forward_timeout_seconds": 0.05,
        }
        items = [self.make(name, **options) for name in "abc"]
        counts = collections.Counter()
        # Attempts that got RUN and have not ended in `not_run`.
        running = collections.defaultdict(set)

        async def attempt(name, key):
            await asyncio.sleep(rng.random() * 0.4)
            item = rng.choice(items)
            deadline = journal_fakes.read_clock() + rng.choice(
                (0.05, 0.3, 2.0)
            )
            decisions = await gather(
                decide(item, name, key, deadline=deadline)
                for _ in range(rng.choice((1, 1, 2)))
            )
            counts.update(decisions)
            if RUN not in decisions:
                return
            self.assertEqual(1, decisions.count(RUN))
            self.assertEqual(set(), running[key], "two runs of one key")
            counts["rerun"] += counts[key]
            counts[key] = 1
            running[key].add(name)
            await asyncio.sleep(rng.random() * 0.1)
            end = rng.choice(("finish", "not run", "not run", "crash"))
            if end == "crash":
                return
            if end == "not run":
                running[key].discard(name)
            # A repeated and delayed finish must not end a later attempt.
            for _ in range(rng.choice((1, 2))):
                outcome = OUTCOME if end == "finish" else None
                try:
                    await finish(rng.choice(items), name, key, outcome)
                except exceptions.JournalUnavailable:
                    pass
                await asyncio.sleep(rng.random() * 0.1)

        async def change_views():
            while True:
                for name in "abc":
                    view = rng.sample("abc", rng.choice((1, 3)))
                    self.network.host_views[name] = view
                await asyncio.sleep(0.05)

        changing = asyncio.create_task(change_views())
        await gather(
            attempt(str(number), make_key(rng.choice((1, 2, 3))))
            for number in range(24)
        )
        changing.cancel()
        for item in items:
            await item.stop()
        return counts
