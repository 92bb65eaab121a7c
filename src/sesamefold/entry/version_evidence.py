"""Comparison of the answers of two versions of a service.

It answers these faults of a new version: a part of its answers are failures,
or take several times as long as those of the old version, at once, late, under
load or on one route only. Old and new version serve the same routes at the
same time, so load and outages that hit both do not count against the new one.

A version is judged to be bad if so many failed or slow answers would come from
a version as good as the old one with a probability below `FALSE_ALARM`. While
a rollout lasts 15 s, each of two signs is checked about 60 times, for the
whole time and for the latest seconds. The checks share most of their answers,
so a good version is rolled back in less than 1 of 100 rollouts. Of a version
that fails 3 of 10 answers where the old one fails none, 20 answers are enough
to judge it in 89 of 100 cases, and 30 in 97.
"""

import bisect
import math
import typing as t

import attrs

# Probability of so many failed or slow answers of a good version from which
# the version counts as bad.
FALSE_ALARM = 2e-4
# Fewest failed or slow answers of a bad version. One server that crashes may
# fail as many as two requests at once.
MIN_BAD_ANSWERS = 3
# Least probability of a failure, and of a slow answer, that is assumed of the
# old version, whose answers are only a sample.
MIN_EXPECTED_SHARE = 0.01
# Answers of the old version of a route from which its times are known.
MIN_TIMED_ANSWERS = 20
# Share of the old version's answers that may be beyond the bound of a slow
# answer, and the number of duration classes that are added to it: the bound is
# then about three times the usual duration.
SLOW_SHARE = 0.05
SLOW_MARGIN_CLASSES = 1
# Upper bounds of the classes of durations, seconds: from 5 ms to 28 s, each
# 1.41 times the one before.
DURATION_BOUNDS = tuple(0.005 * 2 ** (n / 2) for n in range(26))


@attrs.define
class Outcomes:
    """Answers of one version on one route.

    `durations` counts the answers by class of `DURATION_BOUNDS`; the last
    class is without a bound.
    """

    answers: int = 0
    failed: int = 0
    durations: t.List[int] = attrs.field(
        factory=lambda: [0] * (len(DURATION_BOUNDS) + 1)
    )

    def record(self, failed: bool, seconds: float) -> None:
        """Count an answer and the time that it took."""
        self.answers += 1
        self.failed += failed
        if not failed:
            self.durations[bisect.bisect_left(DURATION_BOUNDS, seconds)] += 1

    def __add__(self, other: "Outcomes") -> "Outcomes":
        return self._combine(other, 1)

    def __sub__(self, other: "Outcomes") -> "Outcomes":
        return self._combine(other, -1)

    def _combine(self, other: "Outcomes", sign: int) -> "Outcomes":
        return Outcomes(
            self.answers + sign * other.answers,
            self.failed + sign * other.failed,
            [
                mine + sign * its
                for mine, its in zip(self.durations, other.durations)
            ],
        )

    def find_quantile(self, share: float) -> t.Optional[float]:
        """Return a bound on the time of a share of the answers, seconds.

        None if no answer was timed.
        """
        timed = sum(self.durations)
        if not timed:
            return None
        counted = 0
        for bound, count in zip(DURATION_BOUNDS, self.durations):
            counted += count
            if counted >= share * timed:
                return bound
        return DURATION_BOUNDS[-1]


# Outcomes by route and by whether the new version answered.
Table = t.Mapping[t.Tuple[str, bool], Outcomes]


@attrs.frozen
class Verdict:
    """Why a version counts as bad.

    `sign` is "failures" or "slow answers". `bad` of `answers` on the route
    were so, where `expected` would be usual; `route` is "" for all routes.
    """

    sign: str
    route: str
    bad: int
    answers: int
    expected: float

    def describe(self) -> str:
        """Return the verdict as one line of text."""
        where = f"on {self.route}" if self.route else "on all routes"
        return (
            f"{self.sign} {where}: {self.bad} of {self.answers}, "
            f"expected {self.expected:.1f}"
        )


def sum_tables(
    tables: t.Iterable[Table],
) -> t.Dict[t.Tuple[str, bool], Outcomes]:
    """Return the sum of the outcomes of several hosts."""
    sums: t.Dict[t.Tuple[str, bool], Outcomes] = {}
    for table in tables:
        for key, outcomes in table.items():
            known = sums.get(key)
            sums[key] = outcomes if known is None else known + outcomes
    return sums


def subtract_tables(
    later: Table, earlier: Table
) -> t.Dict[t.Tuple[str, bool], Outcomes]:
    """Return the outcomes between two sums of the same hosts."""
    return {
        key: outcomes - earlier[key] if key in earlier else outcomes
        for key, outcomes in later.items()
    }


def judge(table: Table) -> t.Optional[Verdict]:
    """Return why the new version counts as bad, None if nothing shows it."""
    routes = sorted({route for route, is_new in table if is_new})
    for sign, count in (
        ("failures", _count_failures),
        ("slow answers", _count_slow),
    ):
        found = [
            Verdict(sign, route, *counts)
            for route in routes
            if (
                counts := count(
                    table[route, True], table.get((route, False), Outcomes())
                )
            )
        ]
        found.append(
            Verdict(
                sign,
                "",
                sum(verdict.bad for verdict in found),
                sum(verdict.answers for verdict in found),
                sum(verdict.expected for verdict in found),
            )
        )
        for verdict in found:
            if _is_bad(verdict):
                return verdict
    return None


def _is_bad(verdict: Verdict) -> bool:
    return (
        verdict.bad >= MIN_BAD_ANSWERS
        and compute_tail(verdict.bad, verdict.expected) < FALSE_ALARM
    )


_Counts = t.Optional[t.Tuple[int, int, float]]


def _count_failures(new: Outcomes, old: Outcomes) -> _Counts:
    """Return failed answers, all answers and the expected failures."""
    share = (old.failed + 1) / (old.answers + 2)
    expected = new.answers * max(MIN_EXPECTED_SHARE, share)
    return new.failed, new.answers, expected


def _count_slow(new: Outcomes, old: Outcomes) -> _Counts:
    """Return slow answers, timed answers and the expected slow ones.

    None while the times of the old version are not known.
    """
    timed = sum(old.durations)
    if timed < MIN_TIMED_ANSWERS:
        return None
    counted, bound = 0, 0
    for bound, count in enumerate(old.durations):
        counted += count
        if counted >= (1 - SLOW_SHARE) * timed:
            break
    first_slow = bound + 1 + SLOW_MARGIN_CLASSES
    share = (sum(old.durations[first_slow:]) + 1) / (timed + 2)
    new_timed = sum(new.durations)
    return (
        sum(new.durations[first_slow:]),
        new_timed,
        new_timed * max(MIN_EXPECTED_SHARE, share),
    )


def compute_tail(count: int, expected: float) -> float:
    """Return the probability of `count` or more events of a Poisson law."""
    term = math.exp(-expected)
    below = 0.0
    for number in range(count):
        below += term
        term *= expected / (number + 1)
    return max(0.0, 1.0 - below)
