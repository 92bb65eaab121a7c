"""Tests of the bound on a new version's requests and of a rollout's steps."""

import typing as t
import unittest

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import exposure
from sesamefold.entry import rollout_records
from sesamefold.entry import rollout_steps
from sesamefold.entry import version_evidence

LIMITS = exposure.RolloutLimits(0.1, 50)
ORDER = catalogs.RolloutOrder("orders", "v2", 7, 0.0, 12.0)
RUNNING = rollout_records.State.RUNNING


def make_outlook(**fields: t.Any) -> rollout_steps.Outlook:
    """Return what is known 4 s after an order, with 100 requests a second."""
    values: t.Dict[str, t.Any] = {
        "limits": LIMITS,
        "order": ORDER,
        "ordered_at": 0.0,
        "deadline": 12.0,
        "traffic": exposure.Traffic(400, 12, 100.0),
        "answers": 12,
        "verdict": None,
        "slots": 36,
        "target_slots": 36,
        "run_seconds": 0.2,
        "complete_at": None,
        "now": 4.0,
    }
    return rollout_steps.Outlook(**{**values, **fields})


class ExposureTest(unittest.TestCase):
    """A rollout under constant traffic, played with the planned shares."""

    def play(
        self, rate: float, seconds: float, drain_seconds: float
    ) -> t.Tuple[float, float, float]:
        """Return the requests, those of the new version and the last step.

        The last step begins when it is due and lasts until the deadline, as
        if the version turned bad unnoticed.
        """
        now, requests, exposed, interval = 0.0, 0.0, 0.0, 0.25
        switch_at = None
        while now < seconds:
            plan = exposure.plan_exposure(
                LIMITS,
                exposure.Traffic(int(requests), int(exposed), rate),
                0.0,
                seconds,
                drain_seconds,
                now,
            )
            if switch_at is None and now >= plan.switch_at:
                switch_at = now
            share = plan.share if switch_at is None else 1.0
            requests += rate * interval
            exposed += share * rate * interval
            now += interval
        window = seconds - (switch_at or seconds)
        return requests, exposed, window

    def test_version_gets_at_most_its_share_until_the_deadline(self) -> None:
        """Guards EXPOSURE for a version that turns bad late."""
        for rate in (5, 50, 100, 400, 2000):
            for seconds in (8, 12, 20, 60):
                for drain_seconds in (0.3, 1.5, 5.0):
                    with self.subTest(
                        rate=rate, seconds=seconds, drain=drain_seconds
                    ):
                        requests, exposed, _ = self.play(
                            rate, seconds, drain_seconds
                        )
                        self.assertLessEqual(exposed, 0.1 * requests + 50)

    def test_last_step_lets_short_runs_end(self) -> None:
        """Runs of the old servers are cut when the rollout is complete."""
        for rate, seconds in ((5, 8), (100, 12), (400, 20), (2000, 60)):
            with self.subTest(rate=rate, seconds=seconds):
                self.assertGreaterEqual(self.play(rate, seconds, 0.6)[2], 0.6)

    def test_version_gets_enough_requests_to_be_judged(self) -> None:
        plan = exposure.plan_exposure(
            LIMITS, exposure.Traffic(200, 4, 100.0), 0.0, 12.0, 0.6, 2.0
        )
        self.assertGreaterEqual(plan.share * 100 * 8, 20)

    def test_share_is_small_before_first_answers(self) -> None:
        plan = exposure.plan_exposure(
            LIMITS, exposure.Traffic(50, 1, 100.0), 0.0, 12.0, 0.6, 0.5
        )
        self.assertEqual(plan.share, exposure.FIRST_SHARE)


class StepTest(unittest.TestCase):
    """The steps of a rollout from its order to its end."""

    def test_bad_version_is_rolled_back_at_each_step(self) -> None:
        verdict = version_evidence.Verdict("failures", "r", 5, 12, 0.1)
        for complete_at in (None, 3.0, 11.0):
            step = rollout_steps.decide_step(
                make_outlook(verdict=verdict, complete_at=complete_at)
            )
            self.assertEqual(step.state, rollout_records.State.ROLLED_BACK)
            self.assertEqual(step.share, 0.0)

    def test_all_requests_move_before_the_deadline(self) -> None:
        traffic = exposure.Traffic(1140, 60, 100.0)
        step = rollout_steps.decide_step(
            make_outlook(now=11.4, traffic=traffic)
        )
        self.assertEqual((step.share, step.state), (1.0, RUNNING))
        assert step.complete_at is not None
        self.assertLess(step.complete_at, ORDER.deadline)
        ended = rollout_steps.decide_step(
            make_outlook(now=step.complete_at, complete_at=step.complete_at)
        )
        self.assertEqual(ended.state, rollout_records.State.COMPLETED)

    def test_missing_target_gets_nothing_and_is_given_up_at_the_deadline(
        self,
    ) -> None:
        """Guards against orders for a version that no server has."""
        traffic = exposure.Traffic(400, 0, 100.0)
        outlook = make_outlook(target_slots=0, answers=0, traffic=traffic)
        step = rollout_steps.decide_step(outlook)
        self.assertEqual((step.share, step.state), (0.0, RUNNING))
        self.assertIn("0 places", step.reason)
        step = rollout_steps.decide_step(
            make_outlook(target_slots=0, answers=0, traffic=traffic, now=12.0)
        )
        self.assertEqual(step.state, rollout_records.State.ROLLED_BACK)

    def test_requests_do_not_move_to_half_of_the_servers(self) -> None:
        """Guards against an overload when new servers fail midway."""
        step = rollout_steps.decide_step(
            make_outlook(target_slots=12, now=11.5)
        )
        self.assertLess(step.share, 0.1)
        self.assertEqual(step.state, RUNNING)

    def test_version_without_answers_is_not_completed(self) -> None:
        step = rollout_steps.decide_step(make_outlook(answers=0, now=12.1))
        self.assertEqual(step.state, rollout_records.State.ROLLED_BACK)

    def test_rollout_is_complete_if_no_old_server_is_left(self) -> None:
        step = rollout_steps.decide_step(make_outlook(slots=0))
        self.assertEqual(step.state, rollout_records.State.COMPLETED)

    def test_late_coordinator_still_moves_a_good_version(self) -> None:
        """Guards against a roll-back because the store was away."""
        step = rollout_steps.decide_step(make_outlook(now=14.0))
        self.assertEqual((step.share, step.state), (1.0, RUNNING))
