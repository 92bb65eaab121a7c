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
    """Return a UUIDv7 that was issued at a Unix time in seconds."""
    value = int(issued * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def locate_call(key):
    """Return the bucket key, the shard and the id of a call."""
    parsed = records.parse_key(key)
    call_id = records.compute_call_id("acme", parsed)
    return (*records.locate_bucket(parsed, call_id), call_id)


async def begin_call(instance, attempt, key=None, **fields):
    """Return the reply to the begin of an attempt."""
    fields = {"customer": "acme", "fingerprint": b"one", **fields}
    return await instance.begin(
        control_pb2.BeginCallRequest(
            attempt=attempt, key=make_key() if key is None else key, **fields
        )
    )


async def request_decision(instance, attempt, key=None, **fields):
    """Return the decision on an attempt, REFUSED for an error."""
    try:
        return (await begin_call(instance, attempt, key, **fields)).decision
    except exceptions.JournalUnavailable as error:
        assert error.executed == exceptions.NO
        return REFUSED


async def finish_call(instance, attempt, key=None, outcome=OUTCOME):
    """Record an outcome; None means that the call did not run."""
    await instance.finish(
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
        random.seed(1)  # for the delays of the backoff
        self.service = journal_fakes.FakeKeyValue(latency=0.003)
        self.network = journal_fakes.Network("abc")
        self.journals = {name: self.make_journal(name) for name in "abc"}
        self.owner, self.other = self.choose_journals(make_key())

    async def asyncTearDown(self):
        for instance in self.journals.values():
            await instance.stop()

    def make_journal(self, name, clock=journal_fakes.read_clock, **options):
        peers = self.network.create_peers(name)
        instance = journal.Journal(self.service, peers, clock=clock, **options)
        self.network.register_handlers(
            name, BeginCall=instance.begin, FinishCall=instance.finish
        )
        return instance

    def choose_journals(self, key):
        """Return the journal of the owner of a key's shard, and another."""
        owner = rendezvous.choose_owner(
            f"journal/{locate_call(key)[1]}", "abc"
        )
        other = min(set("abc") - {owner})
        return self.journals[owner], self.journals[other]

    def read_state(self, key=None):
        """Return the stored state of a call, None without a record."""
        bucket, _, call_id = locate_call(key or make_key())
        entry = self.service.entries.get(bucket)
        calls = records.decode_bucket(entry.value) if entry else {}
        if call_id not in calls:
            return None
        return records.Record.decode(calls[call_id]).state


class KeyValueFaultsTest(JournalTestCase):
    async def test_key_value_fault_lets_one_attempt_run(self):
        """Guards against a call that runs unrecorded or twice."""
        lost, delayed = journal_fakes.REPLY_LOST, journal_fakes.REQUEST_DELAYED
        cases = {
            "none": {},
            "read failed": {"get": [journal_fakes.CALL_FAILED]},
            "write failed": {"put": [journal_fakes.CALL_FAILED]},
            "reply lost": {"put": [lost]},
            "replies lost": {"put": [lost, lost], "get": [None, lost]},
            "request lost": {"put": [journal_fakes.REQUEST_LOST]},
            "request delayed": {"put": [delayed]},
            "requests delayed": {"put": [delayed, delayed, delayed]},
        }
        for number, (name, faults) in enumerate(cases.items(), start=1):
            with self.subTest(name):
                self.service.faults.update(faults)
                key = make_key(number)
                # A control does not register the attempts of forwarded
                # begins, so only the record can prevent the second RUN.
                calls = (self.owner, "1"), (self.owner, "1"), (self.other, "2")
                decisions = [
                    await request_decision(
                        instance, attempt, key, forwarded=True
                    )
                    for instance, attempt in calls
                ]
                self.assertEqual([RUN, UNKNOWN, UNKNOWN], decisions)
                self.assertEqual(records.State.STARTED, self.read_state(key))

    async def test_begin_is_refused_during_an_outage(self):
        """Guards against a call that runs while nothing can be recorded."""
        self.service.choose_fault = lambda method: journal_fakes.CALL_FAILED
        self.assertEqual(REFUSED, await request_decision(self.other, "1"))
        self.service.choose_fault = None
        await asyncio.sleep(10.0)
        self.assertEqual(RUN, await request_decision(self.other, "2"))

    async def test_begin_past_its_deadline_is_not_recorded(self):
        """Guards against a refused call that is recorded after an outage.

        Its retries would never run. The deadline passes during the delay
        between two attempts to read the bucket.
        """
        self.service.faults["get"] = [journal_fakes.CALL_FAILED] * 4
        fields = {
            "forwarded": True,
            "deadline": journal_fakes.START_UNIX_SECONDS + 0.45,
        }
        self.assertEqual(
            REFUSED, await request_decision(self.owner, "1", **fields)
        )
        await asyncio.sleep(10.0)
        self.assertEqual([], self.service.faults["get"])
        self.assertIsNone(self.read_state())

    async def test_begin_with_unknown_outcome_is_refused_and_withdrawn(self):
        """Guards against RUN while the intent may be unrecorded.

        The write took effect but every later call fails, so the attempt is
        refused. It is withdrawn afterwards, so that a retry may run.
        """
        self.service.faults["put"] = [journal_fakes.REPLY_LOST]
        self.service.faults["get"] = [None] + [journal_fakes.CALL_FAILED] * 12
        self.assertEqual(REFUSED, await request_decision(self.owner, "1"))
        self.assertEqual(records.State.STARTED, self.read_state())
        self.service.faults.clear()
        await asyncio.sleep(30.0)
        self.assertEqual(RUN, await request_decision(self.owner, "2"))


class ConcurrentWritersTest(JournalTestCase):
    async def test_concurrent_writers_keep_all_records(self):
        """Guards against writers that overwrite each other's records."""
        self.network.host_views = {name: [name] for name in "abc"}
        keys = [make_key(number) for number in range(1, 41)]
        decisions = await gather(
            request_decision(instance, name, key)
            for key in keys
            for name, instance in self.journals.items()
        )
        counts = collections.Counter(decisions)
        self.assertEqual({RUN: 40, UNKNOWN: 80}, dict(counts))
        self.assertNotIn(None, map(self.read_state, keys))

    async def test_failed_forwarding_lets_one_attempt_run(self):
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
                _, other = self.choose_journals(key)
                self.network.choose_fault = lambda method: fault
                self.network.calls.clear()
                decisions = [
                    await request_decision(other, "1", key) for _ in range(3)
                ]
                await asyncio.sleep(5.0)
                self.assertEqual([RUN, UNKNOWN, UNKNOWN], decisions)
                self.assertEqual(1, sum(self.network.calls.values()))
                self.assertEqual(
                    UNKNOWN, await request_decision(other, "2", key)
                )

    async def test_begin_is_forwarded_once_when_owners_disagree(self):
        """Guards against a begin that is forwarded in a loop.

        Each control takes another one for the owner of the shard.
        """
        self.network.host_views.update(a=["b"], b=["c"], c=["a"])
        self.assertEqual(RUN, await request_decision(self.journals["a"], "1"))
        self.assertEqual({("b", "BeginCall"): 1}, dict(self.network.calls))

    async def test_resumed_owner_does_not_run_a_call_run_elsewhere(self):
        """Guards against a second RUN by a writer that was paused."""
        resume = asyncio.Event()

        async def pause(method):
            if method == "put":
                self.service.before_call = None
                await resume.wait()

        self.service.before_call = pause
        paused = asyncio.create_task(
            request_decision(self.owner, "1", forwarded=True)
        )
        await asyncio.sleep(0.1)
        self.assertEqual(
            RUN, await request_decision(self.other, "2", forwarded=True)
        )
        resume.set()
        self.assertEqual(UNKNOWN, await paused)

    async def test_write_after_the_deadline_is_refused_and_withdrawn(self):
        """Guards against RUN after a pause longer than the deadline."""
        pauses = [0.0]
        instance = self.make_journal(
            "a", lambda: journal_fakes.read_clock() + sum(pauses)
        )

        async def pause(method):
            if method == "put":
                self.service.before_call = None
                pauses.append(2.0)

        self.service.before_call = pause
        self.network.host_views["a"] = ["a"]
        decision = await request_decision(
            instance, "1", deadline=journal_fakes.START_UNIX_SECONDS + 1.0
        )
        self.assertEqual(REFUSED, decision)
        await instance.stop()
        self.assertEqual(records.State.NOT_RUN, self.read_state())


class CallRecordsTest(JournalTestCase):
    async def test_key_customer_and_body_identify_a_call(self):
        """Guards against a reply that belongs to another call."""
        old = journal_fakes.START_UNIX_SECONDS - defaults.JOURNAL_KEY_SECONDS
        self.assertEqual(RUN, await request_decision(self.other, "0"))
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
                reply = await begin_call(self.other, name, **fields)
                self.assertEqual(decision, reply.decision)
                self.assertIn(message, reply.message)
        for key in ("", "x", str(uuid.UUID(int=4 << 76 | 2 << 62))):
            with self.assertRaises(exceptions.KeyMalformed):
                await begin_call(self.other, "9", key)

    async def test_transitions_allow_no_second_run(self):
        """Guards against transitions that would allow a second run.

        Each step of a case is an attempt with the expected decision on its
        begin, or with the outcome that it reports (None: not run).
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
                        await finish_call(self.other, attempt, key, step)
                        continue
                    reply = await begin_call(
                        self.owner, attempt, key, forwarded=True
                    )
                    self.assertEqual(step, reply.decision)
                    if step == RECORDED:
                        self.assertEqual(OUTCOME, reply.outcome)

    async def test_outcome_is_kept_or_truncated_by_size(self):
        """Guards against an outcome that is altered or too large."""
        limit = defaults.JOURNAL_BODY_BYTES
        cases = (
            (b"x" * limit, "text/plain", False),
            (b"x" * (limit + 1), "text/plain", True),
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
                await begin_call(self.other, "1", key)
                await finish_call(self.other, "1", key, outcome)
                reply = await begin_call(self.other, "2", key)
                self.assertEqual(RECORDED, reply.decision)
                self.assertEqual(truncated, reply.outcome.truncated)
                self.assertEqual(409, reply.outcome.status)
                if not truncated:
                    self.assertEqual(outcome, reply.outcome)

    async def test_full_bucket_refuses_calls_but_records_outcomes(self):
        """Guards against a value over 1 MB and against a lost outcome."""
        bucket, shard, _ = locate_call(make_key())
        keys = [
            k
            for k in map(make_key, range(1, 99))
            if locate_call(k)[1] == shard
        ]
        await begin_call(self.owner, "1", keys[0], forwarded=True)
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
            await begin_call(self.other, "1", keys[1])
        await finish_call(self.other, "1", keys[0], LARGE)
        reply = await begin_call(self.other, "2", keys[0])
        self.assertEqual(RECORDED, reply.decision)
        self.assertTrue(reply.outcome.truncated)
        size = len(self.service.entries[bucket].value)
        self.assertLessEqual(size, defaults.MAX_VALUE_BYTES)

    async def test_bodies_fill_half_of_a_bucket(self):
        """Guards against bodies that leave no space for new calls."""
        self.network.host_views["a"] = ["a"]
        instance = self.journals["a"]
        keys = [make_key(number) for number in range(1, 1501)]
        for start in range(0, len(keys), 500):
            batch = keys[start : start + 500]
            await gather(begin_call(instance, "1", key) for key in batch)
            await gather(
                finish_call(instance, "1", key, LARGE) for key in batch
            )
        size = max(len(e.value) for e in self.service.entries.values())
        self.assertAlmostEqual(
            records.BODY_BUCKET_LIMIT_BYTES, size, delta=8192
        )

    async def test_expired_buckets_are_deleted(self):
        """Guards against buckets that are deleted too early or never."""
        now = int(journal_fakes.START_UNIX_SECONDS // 3600)
        for age in (0, 24, 25, 26, 30, 100):
            for shard in range(3):
                key = f"journal/{now - age}/719/{shard}"
                await self.service.put(key, b"\x01", 0, None)
        await self.service.put("journal/other", b"", 0, None)
        deleted, listings = await self.expire_rounds(7)
        self.assertEqual([0, 0, 9], sorted(deleted))
        # The last 7 days, because no progress has been stored yet.
        self.assertEqual(expiry.LOOKBACK_HOURS, listings)
        hours = {key.split("/")[1] for key in self.service.entries}
        kept = {str(now - age) for age in (0, 24, 25)}
        self.assertEqual({"other", "expired", *kept}, hours)

    async def test_deletion_after_an_outage_skips_no_hour(self):
        """Guards against hours that are skipped, or listed without bound."""
        end = int(journal_fakes.START_UNIX_SECONDS // 3600) - 25
        start = end - 300
        progress = str(start).encode()
        await self.service.put(expiry.PROGRESS_KEY, progress, 0, None)
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
        """Return the deletions of each control and the number of listings."""
        self.service.calls.clear()
        totals = [0] * len(self.journals)
        for _ in range(rounds):
            before = self.service.calls["list_keys"]
            for number, instance in enumerate(self.journals.values()):
                totals[number] += await instance.delete_expired()
            self.assertLessEqual(
                self.service.calls["list_keys"] - before,
                expiry.MAX_LISTINGS_PER_ROUND,
            )
        return totals, self.service.calls["list_keys"]

    async def test_concurrent_calls_share_writes(self):
        """Guards against one write for each call, or two for slow calls."""
        keys = [make_key(number) for number in range(800)]
        replies = await gather(
            request_decision(self.other, "1", key) for key in keys
        )
        self.assertEqual({RUN}, set(replies))
        self.assertLessEqual(self.service.calls["put"], 16)
        self.service.calls.clear()
        finish_tasks = []
        for key in (
            make_key(number, journal_fakes.START_UNIX_SECONDS + 1)
            for number in range(80)
        ):
            await begin_call(self.other, "1", key)
            finish_tasks.append(
                asyncio.create_task(finish_call(self.other, "1", key))
            )
        await asyncio.gather(*finish_tasks)
        self.assertLess(self.service.calls["put"], 110)

    async def test_write_rate_does_not_grow_with_the_age_of_keys(self):
        """Guards against a write rate that grows with the age of keys."""
        period = defaults.JOURNAL_PERIOD_SECONDS
        keys = [
            make_key(1, journal_fakes.START_UNIX_SECONDS - period * n)
            for n in range(300)
        ]
        await gather(
            begin_call(self.owner, "1", k, forwarded=True) for k in keys
        )
        rate = self.service.calls["put"] / (
            journal_fakes.read_clock() - journal_fakes.START_UNIX_SECONDS
        )
        self.assertLess(rate, 2.2 * 8 / defaults.JOURNAL_WRITE_INTERVAL)
        await asyncio.sleep(1.0)
        cached = len(self.owner._bucket_writer)
        self.assertLessEqual(cached, buckets.MAX_CACHED_BUCKETS)


class RandomInterleavingsTest(JournalTestCase):
    async def test_random_faults_allow_no_second_run(self):
        """Guards against two runs of one key under any mix of faults."""
        total = collections.Counter()
        for seed in range(60):
            with self.subTest(seed=seed):
                total += await self.run_interleaving(random.Random(seed))
        # Without all decisions the test would not cover all transitions.
        for decision in (RUN, UNKNOWN, RECORDED, REFUSED, "rerun"):
            self.assertGreater(total[decision], 10, decision)

    async def run_interleaving(self, rng):
        """Return the counts of the decisions on 24 attempts with 3 keys."""
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
        instances = [self.make_journal(name, **options) for name in "abc"]
        counts = collections.Counter()
        # Attempts by key that got RUN and did not report `not_run`.
        running = collections.defaultdict(set)

        async def attempt(name, key):
            await asyncio.sleep(rng.random() * 0.4)
            instance = rng.choice(instances)
            deadline = journal_fakes.read_clock() + rng.choice(
                (0.05, 0.3, 2.0)
            )
            decisions = await gather(
                request_decision(instance, name, key, deadline=deadline)
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
            # A repeated, delayed finish must not affect a later attempt.
            for _ in range(rng.choice((1, 2))):
                outcome = OUTCOME if end == "finish" else None
                try:
                    await finish_call(
                        rng.choice(instances), name, key, outcome
                    )
                except exceptions.JournalUnavailable:
                    pass
                await asyncio.sleep(rng.random() * 0.1)

        async def vary_host_views():
            while True:
                for name in "abc":
                    view = rng.sample("abc", rng.choice((1, 3)))
                    self.network.host_views[name] = view
                await asyncio.sleep(0.05)

        view_task = asyncio.create_task(vary_host_views())
        await gather(
            attempt(str(number), make_key(rng.choice((1, 2, 3))))
            for number in range(24)
        )
        view_task.cancel()
        for instance in instances:
            await instance.stop()
        return counts
