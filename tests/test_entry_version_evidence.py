"""Tests of the comparison of the answers of two versions."""

import random
import typing as t
import unittest

from sesamefold.entry import version_evidence


def make_table(
    old_failures: float,
    new_failures: float,
    answers: int,
    slow_factor: float = 1.0,
    seed: int = 1,
) -> t.Dict[t.Tuple[str, bool], version_evidence.Outcomes]:
    """Return outcomes of two routes, of which the new version is one in 20.

    Only the second route of the new version is worse than the old one.
    """
    generator = random.Random(seed)
    table = {}
    for route in ("read", "write"):
        for is_new in (False, True):
            outcomes = version_evidence.Outcomes()
            worse = is_new and route == "write"
            for _ in range(answers if is_new else 20 * answers):
                seconds = generator.lognormvariate(-3.0, 0.5)
                outcomes.record(
                    generator.random()
                    < (new_failures if worse else old_failures),
                    seconds * (slow_factor if worse else 1.0),
                )
            table[route, is_new] = outcomes
    return table


class JudgementTest(unittest.TestCase):
    """A new version with few requests beside the old one."""

    def test_failures_on_one_route_are_found(self) -> None:
        """Guards against a version that is bad on one route only."""
        verdict = version_evidence.judge(make_table(0.0, 0.4, 30))
        assert verdict is not None
        self.assertEqual((verdict.sign, verdict.route), ("failures", "write"))
        self.assertIn("on write", verdict.describe())

    def test_slow_answers_on_one_route_are_found(self) -> None:
        """Guards against a version whose answers come several times slower."""
        verdict = version_evidence.judge(
            make_table(0.0, 0.0, 20, slow_factor=4.0)
        )
        assert verdict is not None
        self.assertEqual(verdict.sign, "slow answers")

    def test_failures_that_the_old_version_has_too_do_not_count(self) -> None:
        """Guards against a roll-back because of a route that often fails."""
        verdicts = [
            version_evidence.judge(make_table(0.14, 0.14, 60, seed=seed))
            for seed in range(200)
        ]
        self.assertLessEqual(sum(map(bool, verdicts)), 2)

    def test_good_version_is_seldom_rolled_back(self) -> None:
        """Bounds the false alarms over the checks of a whole rollout."""
        alarms = 0
        for seed in range(60):
            generator = random.Random(seed)
            sums = make_table(0.01, 0.01, 1, seed=seed)
            for _ in range(60):
                sums = version_evidence.sum_tables(
                    [sums, make_table(0.01, 0.01, 1, seed=generator.random())]
                )
                if version_evidence.judge(sums) is not None:
                    alarms += 1
                    break
        self.assertLessEqual(alarms, 2)

    def test_version_that_turns_bad_is_found_in_the_latest_answers(
        self,
    ) -> None:
        earlier = make_table(0.0, 0.0, 300)
        later = version_evidence.sum_tables(
            [earlier, make_table(0.0, 0.5, 12, seed=2)]
        )
        latest = version_evidence.subtract_tables(later, earlier)
        self.assertIsNotNone(version_evidence.judge(latest))

    def test_nothing_is_judged_without_answers_of_the_old_version(
        self,
    ) -> None:
        outcomes = version_evidence.Outcomes()
        for _ in range(10):
            outcomes.record(False, 2.0)
        self.assertIsNone(version_evidence.judge({("read", True): outcomes}))

    def test_two_failures_do_not_convict(self) -> None:
        """Guards against a roll-back because one server has crashed."""
        table = make_table(0.0, 0.0, 20)
        table["read", True].failed += 2
        self.assertIsNone(version_evidence.judge(table))
