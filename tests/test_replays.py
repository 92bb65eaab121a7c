"""Logged choices that are replayed with other policies."""

import pathlib
import tempfile
import unittest

import typer.testing

from sesamefold import commands
from sesamefold import exitcodes
from sesamefold import replays
from tests import test_timelines

CAPACITY = 10_000


def make_lines(count: int) -> list[str]:
    """Return lines of prompts of ten sessions at four engines, in turn."""
    return [
        test_timelines.make_line(
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
    """Reuse and balance under each policy."""

    def setUp(self) -> None:
        """Read the decisions of a log."""
        lines = [*reversed(make_lines(200)), "no JSON"]
        lines.append(test_timelines.make_line(1.0, "a", "sent", request="x"))
        self.decisions = replays.read_decisions(lines)

    def replay(self, name: str, capacity: int = CAPACITY) -> replays.Outcome:
        """Return the outcome of a policy."""
        return replays.replay(self.decisions, name, capacity)

    def test_decisions_come_in_the_order_of_time(self) -> None:
        self.assertEqual(200, len(self.decisions))
        self.assertEqual("s-0", self.decisions[0].session)

    def test_a_session_is_read_once_where_it_stays(self) -> None:
        outcome = self.replay("session")
        self.assertEqual(10 * 1000, outcome.read_tokens)
        self.assertEqual(200 * 1000, outcome.shared_tokens)
        logged = self.replay("logged")
        self.assertEqual(20 * 1000, logged.read_tokens)
        self.assertEqual(1.0, logged.balance)
        self.assertGreater(self.replay("random").read_tokens, 10_000)

    def test_a_small_memory_forgets(self) -> None:
        self.assertEqual(200_000, self.replay("logged", 2000).read_tokens)

    def test_no_decisions(self) -> None:
        for name in replays.POLICIES:
            outcome = replays.replay([], name, CAPACITY)
            self.assertEqual((0, 0.0), (outcome.read_tokens, outcome.balance))

    def test_the_command(self) -> None:
        runner = typer.testing.CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.log"
            path.write_text("\n".join(make_lines(40)))
            result = runner.invoke(commands.app, ["replay", str(path)])
            self.assertEqual(0, result.exit_code, result.output)
            for name in replays.POLICIES:
                self.assertIn(name, result.output)
            path.write_text("nothing")
            result = runner.invoke(commands.app, ["replay", str(path)])
            self.assertEqual(exitcodes.EXIT_DIFFERENT, result.exit_code)
