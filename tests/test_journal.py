"""Tests of the journal of non-idempotent calls."""

import asyncio
import collections
import random
import typing as t
import uuid

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import journal
from sesamefold import rendezvous
from sesamefold.wire import control_pb2
from tests import journal_fakes

RUN = control_pb2.BeginCallReply.RUN
RECORDED = control_pb2.BeginCallReply.RECORDED
UNKNOWN = control_pb2.BeginCallReply.UNKNOWN
MISMATCH = control_pb2.BeginCallReply.MISMATCH
EXPIRED = control_pb2.BeginCallReply.EXPIRED

REFUSED = "refused"


def make_key(number: int = 1, issued: float = journal_fakes.START) -> str:
    """Return a UUIDv7 of an issue time."""
    value = int(issued * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def make_begin(attempt: str, **fields: t.Any) -> control_pb2.BeginCallRequest:
    values = {"customer": "acme", "key": make_key(), "fingerprint": b"one"}
    return control_pb2.BeginCallRequest(
        attempt=attempt, **{**values, **fields}
    )


def make_finish(
    attempt: str, **fields: t.Any
) -> control_pb2.FinishCallRequest:
    values = {"customer": "acme", "key": make_key()}
    return control_pb2.FinishCallRequest(
        attempt=attempt, **{**values, **fields}
    )


class JournalTestCase(journal_fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        random.seed(1)  # of the pauses between attempts
        self.service = journal_fakes.FakeKeyValue(latency=0.003)
        self.network = journal_fakes.Network(("a", "b", "c"))
        self.journals = {name: self.make(name) for name in "abc"}
        found = rendezvous.choose_owner(
            f"journal/{self.locate(make_key())[1]}", self.network.names
        )
        self.owner = self.journals[found]
        self.owner_name = found
        self.other = self.journals[min(set("abc") - {found})]

    async def asyncTearDown(self):
        for item in self.journals.values():
            await item.stop()

    def make(self, name, **options):
        made = journal.Journal(
            self.service,
            self.network.join(name),
            clock=journal_fakes.read_clock,
            **options,
        )
        self.network.serve(name, BeginCall=made.begin, FinishCall=made.finish)
        return made

    @staticmethod
    def locate(key: str, customer: str = "acme") -> t.Tuple[str, int]:
        parsed = journal.parse_key(key)
        return journal._locate(parsed, journal._identify(customer, parsed))

    def read_record(self, key: str) -> t.Optional[journal.Record]:
        """Return the record of a key as the service holds it."""
        entry = self.service.entries.get(self.locate(key)[0])
        if entry is None:
            return None
        data = journal.decode_bucket(entry.value).get(
            journal._identify("acme", journal.parse_key(key))
        )
        return None if data is None else journal.Record.decode(data)

    async def decide(self, item, request) -> t.Any:
        try:
            return (await item.begin(request)).decision
        except exceptions.JournalUnavailable as error:
            self.assertEqual(exceptions.NO, error.executed)
            return REFUSED


class LostAnswersTest(JournalTestCase):
    async def test_faults_of_the_service(self):
        """Guards against a call that runs unrecorded, or twice."""
        lost, late = journal_fakes.LOST, journal_fakes.LATE
        cases = {
            "none": {},
            "read failed": {"get": [journal_fakes.DOWN]},
            "write failed": {"put": [journal_fakes.DOWN]},
            "answer lost": {"put": [lost]},
            "answers lost": {"put": [lost, lost], "get": [None, lost]},
            "request lost": {"put": [journal_fakes.UNKNOWN]},
            "request late": {"put": [late]},
            "requests late": {"put": [late, late, late]},
        }
        for number, (name, faults) in enumerate(cases.items(), start=1):
            with self.subTest(name):
                self.service.faults.update(faults)
                key = make_key(number)
                first = await self.decide(
                    self.owner, make_begin("1", key=key, forwarded=True)
                )
                # The owner of a forwarded begin keeps no list of attempts,
                # so only the record can stop the second RUN.
                again = await self.decide(
                    self.owner, make_begin("1", key=key, forwarded=True)
                )
                other = await self.decide(
                    self.other, make_begin("2", key=key, forwarded=True)
                )
                self.assertEqual(
                    [RUN, UNKNOWN, UNKNOWN], [first, again, other]
                )
                self.assertEqual(
                    journal.State.STARTED, self.read_record(key).state
                )

    async def test_outage(self):
        """Guards against a call that runs while nothing can be recorded."""
        self.service.choose_fault = lambda method: journal_fakes.DOWN
        self.assertEqual(
            REFUSED, await self.decide(self.other, make_begin("1"))
        )
        self.service.choose_fault = None
        await asyncio.sleep(10.0)
        self.assertEqual(RUN, await self.decide(self.other, make_begin("2")))

    async def test_given_up_during_an_outage(self):
        """Guards against a refused call that is recorded after the outage.

        Its repeats would never run. The caller gives up during a pause
        between two attempts to read the bucket.
        """
        self.service.faults["get"] = [journal_fakes.DOWN] * 4
        request = make_begin(
            "1", forwarded=True, deadline=journal_fakes.START + 0.45
        )
        self.assertEqual(REFUSED, await self.decide(self.owner, request))
        await asyncio.sleep(10.0)
        self.assertEqual([], self.service.faults["get"])
        self.assertIsNone(self.read_record(make_key()))

    async def test_outcome_unknown_until_the_deadline(self):
        """Guards against RUN while the intent may be unrecorded.

        The write took effect, and every later call fails: the attempt is
        refused. It is withdrawn afterwards, so a repeat may run.
        """
        self.service.faults["put"] = [journal_fakes.LOST]
        self.service.faults["get"] = [None] + [journal_fakes.DOWN] * 12
        item = self.owner
        self.assertEqual(REFUSED, await self.decide(item, make_begin("1")))
        self.assertEqual(
            journal.State.STARTED, self.read_record(make_key()).state
        )
        self.service.faults.clear()
        await asyncio.sleep(30.0)
        self.assertEqual(RUN, await self.decide(item, make_begin("2")))


class WritersTest(JournalTestCase):
    async def test_two_writers(self):
        """Guards against two writers that overwrite each other's records."""
        for name in self.network.names:
            self.network.views[name] = [name]
        keys = [make_key(number) for number in range(1, 41)]
        decisions = await asyncio.gather(
            *(
                self.decide(self.journals[name], make_begin(name, key=key))
                for key in keys
                for name in "abc"
            )
        )
        self.assertEqual(
            {RUN: len(keys), UNKNOWN: 2 * len(keys)},
            dict(collections.Counter(decisions)),
        )
        for key in keys:
            self.assertIsNotNone(self.read_record(key))

    async def test_forwarding(self):
        """Guards against a lost reply that blocks a call or runs it twice."""
        cases = {
            "none": None,
            "owner unreachable": journal_fakes.DOWN,
            "owner killed before its reply": journal_fakes.LOST,
            "request arrives after the error": journal_fakes.LATE,
        }
        for number, (name, fault) in enumerate(cases.items(), start=1):
            with self.subTest(name):
                key = make_key(8 * number)
                owner = rendezvous.choose_owner(
                    f"journal/{self.locate(key)[1]}", self.network.names
                )
                other = self.journals[min(set("abc") - {owner})]
                self.network.faults[owner, "BeginCall"] = [fault]
                self.network.calls.clear()
                decisions = [
                    await self.decide(other, make_begin("1", key=key))
                    for _ in range(3)
                ]
                await asyncio.sleep(5.0)
                self.assertEqual([RUN, UNKNOWN, UNKNOWN], decisions)
                self.assertEqual(1, sum(self.network.calls.values()))
                self.assertEqual(
                    UNKNOWN,
                    await self.decide(other, make_begin("2", key=key)),
                )

    async def test_owners_disagree(self):
        """Guards against a begin that is forwarded in a circle."""
        self.network.views.update(a=["b"], b=["c"], c=["a"])
        decision = await self.decide(self.journals["a"], make_begin("1"))
        self.assertEqual(RUN, decision)
        self.assertEqual({("b", "BeginCall"): 1}, dict(self.network.calls))

    async def test_paused_owner(self):
        """Guards against a paused writer that runs a call run elsewhere."""
        resume = asyncio.Event()

        async def pause(method):
            if method == "put":
                self.service.before = None
                await resume.wait()

        self.service.before = pause
        paused = asyncio.create_task(
            self.decide(self.owner, make_begin("1", forwarded=True))
        )
        await asyncio.sleep(0.1)
        self.assertEqual(
            RUN,
            await self.decide(self.other, make_begin("2", forwarded=True)),
        )
        resume.set()
        self.assertEqual(UNKNOWN, await paused)

    async def test_write_after_the_deadline(self):
        """Guards against RUN after a pause that outlasted the deadline."""
        pauses = [0.0]
        item = journal.Journal(
            self.service,
            self.network.join("a"),
            clock=lambda: journal_fakes.read_clock() + sum(pauses),
        )

        async def pause(method):
            if method == "put":
                self.service.before = None
                pauses.append(2.0)

        self.service.before = pause
        self.network.views["a"] = ["a"]
        request = make_begin("1", deadline=journal_fakes.START + 1.0)
        self.assertEqual(REFUSED, await self.decide(item, request))
        await item.stop()
        self.assertEqual(
            journal.State.NOT_RUN, self.read_record(make_key()).state
        )


class RulesTest(JournalTestCase):
    async def test_keys(self):
        """Guards against answers that belong to another call."""
        day = defaults.JOURNAL_KEY_SECONDS
        self.assertEqual(RUN, await self.decide(self.other, make_begin("0")))
        cases = (
            ("other customer", {"customer": "globex"}, RUN, ""),
            ("other body", {"fingerprint": b"two"}, MISMATCH, ""),
            ("upper case", {"key": make_key().upper()}, UNKNOWN, ""),
            (
                "old",
                {"key": make_key(1, journal_fakes.START - day)},
                EXPIRED,
                "old",
            ),
            (
                "nearly old",
                {"key": make_key(1, 60 + journal_fakes.START - day)},
                RUN,
                "",
            ),
            (
                "future",
                {"key": make_key(1, journal_fakes.START + 70)},
                EXPIRED,
                "future",
            ),
            (
                "near future",
                {"key": make_key(1, journal_fakes.START + 50)},
                RUN,
                "",
            ),
        )
        for name, fields, decision, message in cases:
            with self.subTest(name):
                reply = await self.other.begin(make_begin(name, **fields))
                self.assertEqual(decision, reply.decision)
                self.assertIn(message, reply.message)
        for key in ("", "x", str(uuid.UUID(int=4 << 76 | 2 << 62))):
            with self.assertRaises(exceptions.KeyMalformed):
                await self.other.begin(make_begin("9", key=key))

    async def test_transitions(self):
        """Guards against transitions that would allow a second run.

        Each case is a list of steps: an attempt begins (with its decision),
        finishes or reports that it did not run.
        """
        begin, finish, not_run = "begin", "finish", "not run"
        cases = (
            [(begin, "1", RUN), (finish, "1"), (begin, "2", RECORDED)],
            [(begin, "1", RUN), (not_run, "1"), (begin, "2", RUN)],
            [(begin, "1", RUN), (not_run, "2"), (begin, "2", UNKNOWN)],
            [(begin, "1", RUN), (finish, "2"), (begin, "2", UNKNOWN)],
            [
                (begin, "1", RUN),
                (finish, "1"),
                (not_run, "1"),
                (begin, "2", RECORDED),
            ],
            [
                (begin, "1", RUN),
                (not_run, "1"),
                (finish, "1"),
                (begin, "1", UNKNOWN),
                (begin, "2", RUN),
                (not_run, "1"),
                (begin, "3", UNKNOWN),
            ],
            [(finish, "1"), (not_run, "1"), (begin, "1", RUN)],
        )
        outcome = control_pb2.Outcome(status=201, body=b"{}")
        for number, steps in enumerate(cases, start=1):
            key = make_key(number)
            with self.subTest(steps=steps):
                for step, attempt, *decision in steps:
                    if step == begin:
                        reply = await self.owner.begin(
                            make_begin(attempt, key=key, forwarded=True)
                        )
                        self.assertEqual(decision, [reply.decision])
                        if reply.decision == RECORDED:
                            self.assertEqual(outcome, reply.outcome)
                        continue
                    await self.other.finish(
                        make_finish(
                            attempt,
                            key=key,
                            not_run=step == not_run,
                            outcome=outcome,
                        )
                    )

    async def test_outcomes(self):
        """Guards against an outcome that is altered or too large."""
        cases = (
            (b"x" * defaults.JOURNAL_BODY_BYTES, "text/plain", False),
            (b"x" * (defaults.JOURNAL_BODY_BYTES + 1), "text/plain", True),
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
                await self.other.begin(make_begin("1", key=key))
                await self.other.finish(
                    make_finish("1", key=key, outcome=outcome)
                )
                reply = await self.other.begin(make_begin("2", key=key))
                self.assertEqual(RECORDED, reply.decision)
                self.assertEqual(truncated, reply.outcome.truncated)
                self.assertEqual(409, reply.outcome.status)
                if not truncated:
                    self.assertEqual(outcome, reply.outcome)

    async def test_full_bucket(self):
        """Guards against a value over 1 MB, and a call without its outcome."""
        bucket, shard = self.locate(make_key())
        keys = [
            key
            for key in map(make_key, range(1, 400))
            if self.locate(key)[1] == shard
        ]
        await self.owner.begin(make_begin("1", key=keys[0], forwarded=True))
        entry = self.service.entries[bucket]
        room = journal.BUCKET_BYTES - journal._RESERVED_BYTES
        filler = b"".join(
            journal.Record(
                number.to_bytes(16, "big"), b"", b"", journal.State.STARTED
            ).encode()
            for number in range(room // journal._RESERVED_BYTES)
        )
        self.service.entries[bucket] = journal_fakes.keyvalue.Entry(
            bucket, entry.value + filler, entry.version + 1
        )
        with self.assertRaises(exceptions.JournalFull):
            await self.other.begin(make_begin("1", key=keys[1]))
        outcome = control_pb2.Outcome(status=200, body=b"x" * 4096)
        await self.other.finish(make_finish("1", key=keys[0], outcome=outcome))
        reply = await self.other.begin(make_begin("2", key=keys[0]))
        self.assertEqual(RECORDED, reply.decision)
        self.assertTrue(reply.outcome.truncated)
        self.assertLessEqual(self.service.largest, defaults.MAX_VALUE_BYTES)

    async def test_bodies_leave_room(self):
        """Guards against bodies that use up the room for new calls."""
        self.network.views["a"] = ["a"]
        outcome = control_pb2.Outcome(status=200, body=b"x" * 4096)
        keys = [make_key(number) for number in range(1, 1501)]
        for start in range(0, len(keys), 500):
            part = keys[start : start + 500]
            for call in (
                lambda key: self.journals["a"].begin(make_begin("1", key=key)),
                lambda key: self.journals["a"].finish(
                    make_finish("1", key=key, outcome=outcome)
                ),
            ):
                await asyncio.gather(*map(call, part))
        size = self.service.largest
        self.assertGreater(size, journal.BODIES_BYTES - 8192)
        self.assertLess(size, journal.BODIES_BYTES + 8192)

    async def test_expiry(self):
        """Guards against buckets that are deleted too early or never."""
        for shard in range(3):
            for age in (0, 24 * 60 + 50, 25 * 60 - 1, 25 * 60 + 1, 26 * 60):
                minute = int(journal_fakes.START // 60) - age
                key = f"journal/{minute}/{shard}"
                await self.service.put(key, b"\x01", 0, None)
        deleted = [
            await item.delete_expired() for item in self.journals.values()
        ]
        self.assertEqual([0, 0, 6], sorted(deleted))
        self.assertEqual(1, self.service.calls["list_keys"])
        self.assertEqual(9, len(self.service.entries))

    async def test_group_commit(self):
        """Guards against one write for each call."""
        begins = [
            self.other.begin(make_begin("1", key=make_key(number)))
            for number in range(800)
        ]
        replies = await asyncio.gather(*begins)
        self.assertEqual({RUN}, {reply.decision for reply in replies})
        self.assertLessEqual(self.service.calls["put"], 16)

    async def test_many_minutes(self):
        """Guards against a write rate that grows with the age of keys."""
        start = journal_fakes.read_clock()
        begins = [
            self.owner.begin(
                make_begin(
                    "1",
                    key=make_key(number, journal_fakes.START - 60 * number),
                    deadline=start + 4,
                    forwarded=True,
                )
            )
            for number in range(300)
        ]
        await asyncio.gather(*begins)
        seconds = journal_fakes.read_clock() - start
        rate = self.service.calls["put"] / seconds
        self.assertLess(rate, 2.2 * 8 / defaults.JOURNAL_WRITE_INTERVAL)
        await asyncio.sleep(1.0)
        self.assertLessEqual(len(self.owner._buckets), journal.CACHED_BUCKETS)


class InterleavingsTest(JournalTestCase):
    async def test_random_interleavings(self):
        """Guards against two runs of one key under any mix of faults."""
        total = collections.Counter()
        for seed in range(60):
            with self.subTest(seed=seed):
                total += await self.run_interleaving(seed)
        # The mix must reach all decisions, else it proves nothing.
        for decision in (RUN, UNKNOWN, RECORDED, REFUSED, "rerun"):
            self.assertGreater(total[decision], 10, decision)

    async def run_interleaving(self, seed: int) -> t.Counter[t.Any]:
        rng = random.Random(seed)
        names = ["a", "b", "c"]
        service = journal_fakes.FakeKeyValue(latency=0.002)
        network = journal_fakes.Network(names)
        kinds = [
            journal_fakes.DOWN,
            journal_fakes.LOST,
            journal_fakes.UNKNOWN,
            journal_fakes.LATE,
        ]
        rate = rng.choice((0.05, 0.3, 0.6))

        def choose_fault(*_):
            return rng.choice(kinds) if rng.random() < rate else None

        async def delay(_):
            await asyncio.sleep(rng.choice((0.0, 0.001, 0.01, 0.05)))

        service.choose_fault = network.choose_fault = choose_fault
        service.before = delay
        journals = [
            journal.Journal(
                service,
                network.join(name),
                clock=journal_fakes.read_clock,
                write_interval=0.005,
                forward_seconds=0.05,
            )
            for name in names
        ]
        for name, item in zip(names, journals):
            network.serve(name, BeginCall=item.begin, FinishCall=item.finish)
        counts: t.Counter[t.Any] = collections.Counter()
        # Attempts that got RUN and have not ended in `not_run`.
        running: t.Dict[str, t.Set[str]] = collections.defaultdict(set)
        ran: t.Set[str] = set()

        async def attempt(number: int, key: str) -> None:
            await asyncio.sleep(rng.random() * 0.4)
            name = f"{seed}-{number}"
            item = rng.choice(journals)
            request = make_begin(
                name,
                key=key,
                deadline=journal_fakes.read_clock()
                + rng.choice((0.05, 0.3, 2.0)),
            )
            copies = rng.choice((1, 1, 2))
            decisions = await asyncio.gather(
                *(self.decide(item, request) for _ in range(copies))
            )
            counts.update(decisions)
            if RUN not in decisions:
                return
            self.assertEqual(1, decisions.count(RUN))
            self.assertEqual(set(), running[key], "two runs at once")
            counts["rerun"] += key in ran
            running[key].add(name)
            ran.add(key)
            await asyncio.sleep(rng.random() * 0.1)
            end = rng.choice(("finish", "not run", "not run", "crash"))
            if end == "crash":
                return
            if end == "not run":
                running[key].discard(name)
            request = make_finish(
                name,
                key=key,
                not_run=end == "not run",
                outcome=control_pb2.Outcome(status=200, body=b"{}"),
            )
            # A repeated and delayed finish must not end a later attempt.
            for _ in range(rng.choice((1, 2))):
                try:
                    await rng.choice(journals).finish(request)
                except exceptions.JournalUnavailable:
                    pass
                await asyncio.sleep(rng.random() * 0.1)

        async def flip_views() -> None:
            while True:
                for name in names:
                    network.views[name] = rng.sample(names, rng.choice((1, 3)))
                await asyncio.sleep(0.05)

        flipping = asyncio.create_task(flip_views())
        keys = [make_key(number) for number in (1, 2, 3)]
        await asyncio.gather(
            *(attempt(number, rng.choice(keys)) for number in range(24))
        )
        flipping.cancel()
        for item in journals:
            await item.stop()
        return counts
