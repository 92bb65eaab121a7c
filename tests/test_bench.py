"""Tests of the evaluation of the benchmark."""

import random
import unittest

from sesamefold import exceptions
from tools import bench
from tools import caller
from tools import topology


def make_outcome(at, first):
    prompt = topology.Prompt("ada", "word")
    arrival = bench.Arrival(at, prompt, False, 0.0)
    return bench.Outcome(arrival, "in time", first=first)


class BenchTest(unittest.TestCase):
    def test_plan(self):
        """Guards against placements that are measured with other requests."""
        first, second = (
            bench.plan_arrivals(random.Random(1)) for _ in range(2)
        )
        self.assertEqual(first, second)
        seen = {}
        for arrival in first:
            text = arrival.prompt.text
            self.assertEqual(text in seen, arrival.returning)
            if arrival.returning:
                gap = arrival.at - seen[text]
                self.assertGreaterEqual(gap, bench.GAP_SECONDS[0])
            seen[text] = arrival.at

    def test_errors(self):
        """Guards against a lost request that counts as a refused one."""
        for error, expected in (
            (exceptions.Overloaded("full"), "refused"),
            (exceptions.RunTimeout("late"), "late"),
            (exceptions.StreamLost("broken"), "lost"),
        ):
            body = {"code": error.code, "executed": error.executed}
            kind = bench.judge_error(caller.CallError(error.status, body))
            self.assertEqual(expected, kind)

    def test_recovery(self):
        """Guards against a recovery that is found before the rise ends."""
        slow = [
            make_outcome(at / 10, 0.9 if 50 <= at < 70 else 0.1)
            for at in range(120)
        ]
        seconds = bench.find_recovery(slow, 5.0)
        self.assertAlmostEqual(4.0, seconds, delta=0.2)
        self.assertIsNone(bench.find_recovery(slow[:70], 5.0))
