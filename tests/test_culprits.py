"""Tests of the decision which requests and parts crash servers."""

import itertools
import typing as t
import unittest

from sesamefold import culprits as culprits_module
from sesamefold import suspicions
from tests import entry_fakes

RUN, SUSPECT, REFUSE = (
    culprits_module.Verdict.RUN,
    culprits_module.Verdict.SUSPECT,
    culprits_module.Verdict.REFUSE,
)
REQUEST_CRASHES = 3


def make_part(name: str) -> bytes:
    """Return the digest of a part."""
    return culprits_module.digest_part("m", name)


class CulpritsTest(unittest.TestCase):
    """Crashes of servers with requests in flight."""

    def setUp(self) -> None:
        """Make hosts that know of no crash."""
        self.clock = entry_fakes.FakeClock()
        self.rank = 0
        self.others_end_well = True
        self.host = self.make_host()
        self.numbers = itertools.count()

    def make_host(self) -> culprits_module.Culprits:
        """Return what one host knows."""
        return culprits_module.Culprits(
            suspicions.Suspicions(clock=self.clock),
            REQUEST_CRASHES,
            lambda subject: self.rank,
            self.clock,
        )

    def make(
        self,
        parts: str = "",
        customer: str = "one",
        request: t.Optional[str] = None,
    ) -> culprits_module.Fingerprint:
        """Return a new request whose parts have names of one letter."""
        name = request or f"r{next(self.numbers)}"
        return culprits_module.Fingerprint(
            name.encode().ljust(16, b"."),
            culprits_module.digest_customer(customer),
            tuple(map(make_part, parts)),
        )

    def crash(self, *requests: culprits_module.Fingerprint) -> None:
        """Let a server crash with requests in flight."""
        self.clock.now += 0.5
        crash_id = f"c{next(self.numbers)}".encode().ljust(8, b".")
        self.host.record_crash(crash_id, requests)
        self.clock.now += 0.1
        if self.others_end_well:
            self.end_well("Z", "other")

    def end_well(self, parts: str, customer: str = "one") -> None:
        """Let a request with parts end well."""
        self.host.record_success(self.make(parts, customer))

    def judge(
        self, parts: str, customer: str = "one", request: str = ""
    ) -> culprits_module.Verdict:
        """Return the verdict on a request with parts."""
        fingerprint = self.make(parts, customer, request or None)
        return self.host.judge(fingerprint).verdict

    def test_part_at_each_crash_is_refused(self) -> None:
        """Guards against one crash after the other by one part."""
        self.end_well("FS")
        for subject in "ABC":
            self.assertNotEqual(REFUSE, self.judge(f"F{subject}P"))
            self.crash(self.make(f"F{subject}P"), self.make("FS"))
        self.assertEqual(REFUSE, self.judge("FDP"))
        self.assertEqual(RUN, self.judge("FS"))
        self.assertEqual(RUN, self.judge("FA"))

    def test_refusal_says_what_it_rests_on(self) -> None:
        self.end_well("F")
        for _ in range(4):
            self.crash(self.make("FP"))
        judgement = self.host.judge(self.make("FP"))
        self.assertEqual({make_part("P")}, judgement.subjects)
        self.assertTrue(judgement.is_part)
        self.assertEqual((4, 1), (judgement.crashes, judgement.customers))
        self.assertGreater(judgement.retry_seconds, 100.0)

    def test_shared_parts_of_a_service_without_servers_are_not_refused(
        self,
    ) -> None:
        """Guards against a service that is shut out with its culprit.

        While no server answers, the first part is at more crashes than the
        deadly one, because one server crashes for another reason.
        """
        self.end_well("F")
        self.crash(self.make("F"))
        for subject in "ABCDE":
            self.crash(self.make(f"F{subject}P"), self.make("F"))
        self.assertEqual(REFUSE, self.judge("FP"))
        self.assertEqual(RUN, self.judge("F"))

    def test_nothing_is_refused_while_no_request_ends_well(self) -> None:
        """Guards against a service that is shut out when it starts.

        Its servers crash for other reasons before any has answered, so that
        the part of all prompts is at each crash, and never ended well.
        """
        self.others_end_well = False
        for _ in range(culprits_module.SOUND_PART_CRASHES - 1):
            self.crash(self.make("F"), self.make("F"))
            self.assertNotEqual(REFUSE, self.judge("F"))
        self.end_well("F")
        self.assertEqual(RUN, self.judge("F"))

    def test_one_request_that_is_sent_again_condemns_no_part(self) -> None:
        """Guards against a request whose own parts are at its crashes."""
        for _ in range(5):
            self.crash(self.make("FS", request="same"))
        self.assertNotEqual(REFUSE, self.judge("FS"))

    def test_repeated_request_is_refused_and_others_with_its_parts_run(
        self,
    ) -> None:
        for number in range(REQUEST_CRASHES):
            self.assertNotEqual(REFUSE, self.judge("FS", request="same"))
            self.crash(self.make("FS", request="same"))
        self.assertEqual(REFUSE, self.judge("FS", request="same"))
        self.assertEqual(RUN, self.judge(""))

    def test_request_beside_a_deadly_part_is_not_refused(self) -> None:
        """Guards against sound requests that were at each crash of a part."""
        self.end_well("F")
        for _ in range(4):
            self.crash(self.make("FP"), self.make("FS", request="sound"))
        self.assertNotEqual(REFUSE, self.judge("FS", request="sound"))

    def test_two_parts_at_once_are_told_apart(self) -> None:
        """Guards against a second part that hides behind the first."""
        self.end_well("F")
        for in_flight in ("PQ", "P", "Q", "QP", "Q", "P", "Q", "P"):
            self.crash(*(self.make(f"F{part}") for part in (*in_flight, "")))
        self.assertEqual(REFUSE, self.judge("FP"))
        self.assertEqual(REFUSE, self.judge("FQ"))
        self.assertEqual(RUN, self.judge("F"))

    def test_crashes_of_other_causes_condemn_nothing(self) -> None:
        """Guards against suspects among cold servers crashed by load."""
        for number in range(20):
            subjects = [f"{chr(65 + (number + n) % 26)}" for n in range(8)]
            self.crash(*(self.make(f"F{subject}") for subject in subjects))
            for subject in subjects:
                self.end_well(f"F{subject}")
        for subject in map(chr, range(65, 91)):
            self.assertEqual(RUN, self.judge(f"F{subject}"))

    def test_answer_that_ends_well_clears_a_wrong_suspicion(self) -> None:
        for _ in range(4):
            self.crash(self.make("FS"))
        self.assertEqual(REFUSE, self.judge("FS"))
        self.end_well("FS", "two")
        self.assertEqual(RUN, self.judge("FS"))

    def test_parts_at_the_same_crashes_are_refused_together_only(self) -> None:
        """Guards against a sound part that is refused with a deadly one."""
        for _ in range(4):
            self.crash(self.make("SP"))
        self.assertEqual(REFUSE, self.judge("SP"))
        self.assertEqual(SUSPECT, self.judge("S"))
        self.end_well("S")
        self.assertEqual(RUN, self.judge("S"))
        self.assertEqual(REFUSE, self.judge("P"))

    def test_customer_cannot_have_requests_of_another_refused(self) -> None:
        """Guards against a part that one customer brings into disrepute."""
        for _ in range(20):
            self.crash(self.make("SP", "evil"))
        for _ in range(20):
            self.crash(self.make("SQ", "evil"))
        self.assertEqual(REFUSE, self.judge("SP", "evil"))
        self.assertEqual(SUSPECT, self.judge("S", "good"))
        self.end_well("S", "good")
        self.assertEqual(RUN, self.judge("S", "good"))
        self.assertEqual(REFUSE, self.judge("P", "evil"))

    def test_part_of_many_customers_is_refused_for_all(self) -> None:
        self.end_well("F")
        for customer in ("one", "two", "three"):
            self.assertNotEqual(REFUSE, self.judge("FP", customer))
            self.crash(self.make("FP", customer))
        self.assertEqual(REFUSE, self.judge("FP", "four"))

    def test_few_requests_run_after_five_crashes_of_many_customers(
        self,
    ) -> None:
        """Guards against a crash for each customer that has the part.

        Counts how many servers the slowest order of customers crashes.
        """
        self.end_well("F")
        crashes = 0
        for customer in ("one", "two") * 4 + tuple(map(str, range(20))):
            fingerprint = self.make("FP", customer)
            if self.host.judge(fingerprint).verdict is not REFUSE:
                crashes += 1
                self.crash(fingerprint)
        self.assertLessEqual(crashes, 8)

    def test_culprit_is_tried_again_later_and_ever_more_seldom(self) -> None:
        """Guards against a part that is refused for good, or run often."""
        for _ in range(3):
            self.crash(self.make("P"))
        times = []
        for _ in range(24 * 60):
            self.clock.now += 5.0
            fingerprint = self.make("P")
            judgement = self.host.judge(fingerprint)
            if judgement.verdict is REFUSE:
                self.host.record_refusal(judgement)
            else:
                times.append(self.clock.now)
                self.host.record_run(fingerprint)
                self.assertEqual(REFUSE, self.judge("P"))
                self.crash(fingerprint)
        self.assertLessEqual(len(times), 5, times)
        pauses = [b - a for a, b in zip(times, times[1:])]
        self.assertEqual(sorted(pauses), pauses)
        self.assertGreater(pauses[-1], 1000.0)

    def test_trial_is_left_to_the_host_that_ranks_first(self) -> None:
        for _ in range(3):
            self.crash(self.make("P"))
        self.assertEqual(REFUSE, self.judge("P"))
        self.clock.now += culprits_module.TRIAL_SECONDS + 0.1
        self.rank = 3
        self.assertEqual(REFUSE, self.judge("P"))
        self.rank = 0
        self.assertEqual(SUSPECT, self.judge("P"))

    def test_new_host_learns_the_culprits_from_another(self) -> None:
        """Guards against crashes by way of a host that has just started."""
        self.end_well("F")
        for _ in range(4):
            self.crash(self.make("FP"))
        old, self.host = self.host, self.make_host()
        self.host.store.merge(old.list_changes())
        self.host.last_success_at = old.last_success_at
        self.assertEqual(REFUSE, self.judge("FP"))
        self.assertEqual(RUN, self.judge("F"))

    def test_part_that_another_host_knows_as_sound_is_not_refused(
        self,
    ) -> None:
        """Guards against a host that has just started and knows no part."""
        other = self.make_host()
        other.record_success(self.make("S"))
        for _ in range(4):
            self.crash(self.make("S"))
            self.host.merge(other.merge(self.host.store.list_changes()))
        self.assertEqual(RUN, self.judge("S"))

    def test_part_that_turns_deadly_is_refused_in_the_end(self) -> None:
        """Guards against a part that is trusted for ever."""
        for _ in range(3):
            self.end_well("FP")
        for _ in range(culprits_module.SOUND_PART_CRASHES):
            self.assertEqual(RUN, self.judge("FP"))
            self.crash(self.make("FP"))
            self.end_well("F")
        self.assertEqual(REFUSE, self.judge("FP"))
        self.assertEqual(RUN, self.judge("F"))

    def test_late_report_of_a_cleared_crash_does_not_count(self) -> None:
        """Guards against messages that arrive after the answer."""
        late = self.make_host()
        request = self.make("S")
        for number in range(4):
            crash_id = f"c{number}".encode().ljust(8, b".")
            self.host.record_crash(crash_id, [request, self.make("S")])
        changes = self.host.store.list_changes()
        self.end_well("S")
        late.store.merge(self.host.store.list_changes())
        late.store.merge(changes)
        self.assertEqual(RUN, late.judge(self.make("S")).verdict)

    def test_parts_that_an_earlier_host_passed_on_refuse_nothing(self) -> None:
        """Guards against hosts of two versions that refuse sound requests.

        An earlier one does not pass on which request was at a crash.
        """
        self.end_well("F")
        for _ in range(9):
            self.crash(self.make("FS"))
        changes = self.host.store.list_changes()
        for change in changes:
            for crash in change.crashes:
                crash.request = crash.customer = b""
        self.host = self.make_host()
        self.host.store.merge(changes)
        self.assertNotEqual(REFUSE, self.judge("FS"))

    def test_memory_is_bounded(self) -> None:
        """Guards against a customer that fills the memory with parts."""
        for _ in range(3000):
            self.crash(self.make("FS"))
        for number in range(30_000):
            self.host.record_sound_parts([make_part(f"p{number}")])
        self.assertLessEqual(len(self.host.store.list_changes()), 2000)
        self.assertLessEqual(
            len(self.host._sound), culprits_module.REMEMBERED_PARTS
        )

    def test_all_is_forgotten_when_no_such_request_comes(self) -> None:
        for _ in range(4):
            self.crash(self.make("P"))
        self.clock.now += 601.0
        self.assertEqual(RUN, self.judge("P"))
        self.host.store.drop_expired()
        self.assertFalse(self.host.has_suspects())
