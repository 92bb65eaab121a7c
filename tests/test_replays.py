"""Tests of the replay of logged placement decisions."""

import pathlib
import tempfile
import unittest

import typer.testing

from sesamefold import commands
from sesamefold import exitcodes
from sesamefold import replays
from tests import test_timelines

CAPACITY_TOKENS = 10_000


def make_sent_lines(count: int) -> list[str]:
    """Return log lines that send ten sessions to four engines in turn."""
    return [
        test_timelines.make_log_line(
            float(number),
            "a",
            "sent",
            request=f"r-{number}",
            session=f"s-{number % 10}",
            shared=1000,
            server=f"i-{number % 4}",
        )
        for number in range(count)
    ]


class ReplayTest(unittest.TestCase):
    """Prefill and balance under each policy."""

    def setUp(self) -> None:
        """Read decisions from log lines in reverse order, some without one."""
        lines = [*reversed(make_sent_lines(200)), "no JSON"]
        lines.append(
            test_timelines.make_log_line(1.0, "a", "sent", request="x")
        )
        self.decisions = replays.read_decisions(lines)

    def replay(
        self, name: str, capacity: int = CAPACITY_TOKENS
    ) -> replays.Outcome:
        """Return the result of a policy."""
        return replays.replay(self.decisions, name, capacity)

    def test_decisions_are_ordered_by_time(self) -> None:
        self.assertEqual(200, len(self.decisions))
        self.assertEqual("s-0", self.decisions[0].session)

    def test_session_policy_prefills_each_session_once(self) -> None:
        outcome = self.replay("session")
        self.assertEqual(10 * 1000, outcome.prefill_tokens)
        self.assertEqual(200 * 1000, outcome.shared_tokens)
        logged = self.replay("logged")
        self.assertEqual(20 * 1000, logged.prefill_tokens)
        self.assertEqual(1.0, logged.balance)
        self.assertGreater(self.replay("random").prefill_tokens, 10_000)

    def test_too_small_cache_prefills_every_prompt(self) -> None:
        self.assertEqual(200_000, self.replay("logged", 2000).prefill_tokens)

    def test_replay_without_decisions_gives_zeros(self) -> None:
        for name in replays.POLICIES:
            outcome = replays.replay([], name, CAPACITY_TOKENS)
            self.assertEqual(
                (0, 0.0), (outcome.prefill_tokens, outcome.balance)
            )

    def test_replay_command_lists_all_policies(self) -> None:
        runner = typer.testing.CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.log"
            path.write_text("\n".join(make_sent_lines(40)))
            result = runner.invoke(commands.app, ["replay", str(path)])
            self.assertEqual(0, result.exit_code, result.output)
            for name in replays.POLICIES:
                self.assertIn(name, result.output)
            path.write_text("nothing")
            result = runner.invoke(commands.app, ["replay", str(path)])
            self.assertEqual(exitcodes.EXIT_DIFFERENT, result.exit_code)
