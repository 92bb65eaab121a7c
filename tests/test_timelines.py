"""Tests of the timelines that are built from logs."""

import json
import pathlib
import tempfile
import unittest

import typer.testing

from sesamefold import commands
from sesamefold import exitcodes
from sesamefold import timelines


def make_log_line(time: float, host: str, event: str, **fields: object) -> str:
    """Return a log line with the prefix of a log collector."""
    body = {"time": time, "host": host, "event": event, **fields}
    return f"  1.5 {host} {json.dumps(body)}"


LINES = [
    make_log_line(10.2, "b", "sent", request="r-2"),
    make_log_line(10.0, "a", "sent", request="r-1", server="i-1"),
    make_log_line(10.4, "a", "failed", request="r-1", code=1216),
    make_log_line(9.0, "a", "server_suspected", server="i-1"),
    make_log_line(9.5, "a", "server_leaving", server="i-1"),
    make_log_line(9.6, "a", "server_resting", server="i-1"),
    make_log_line(1.0, "a", "server_suspected", server="i-0"),
    make_log_line(9.0, "b", "store_lost"),
    "no JSON",
    "{}",
]


class TimelineTest(unittest.TestCase):
    """Timelines of single requests."""

    def test_timeline_holds_the_request_and_state_events_of_its_host(
        self,
    ) -> None:
        timeline = timelines.build_timeline("r-1", LINES)
        self.assertEqual(
            [
                ("server_suspected", False),
                ("server_leaving", False),
                ("server_resting", False),
                ("sent", True),
                ("failed", True),
            ],
            [(line.event, about_request) for line, about_request in timeline],
        )
        self.assertEqual([], timelines.build_timeline("r-9", LINES))

    def test_explain_shows_the_timeline_and_reports_missing_input(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "a.log"
            path.write_text("\n".join(LINES))
            runner = typer.testing.CliRunner()
            shown = runner.invoke(commands.app, ["explain", "r-1", str(path)])
            self.assertEqual(0, shown.exit_code)
            self.assertIn("code=1216", shown.stdout)
            missing = runner.invoke(commands.app, ["explain", "x", str(path)])
            self.assertEqual(exitcodes.EXIT_DIFFERENT, missing.exit_code)
            absent = runner.invoke(
                commands.app, ["explain", "x", f"{path}.none"]
            )
            self.assertEqual(exitcodes.EXIT_INVALID, absent.exit_code)
