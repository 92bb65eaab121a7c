"""Timelines of requests from logs."""

import json
import pathlib
import tempfile
import unittest

import typer.testing

from sesamefold import commands
from sesamefold import exitcodes
from sesamefold import timelines


def make_line(at: float, host: str, event: str, **fields: object) -> str:
    """Return a line as a log collector keeps it."""
    body = {"time": at, "host": host, "event": event, **fields}
    return f"  1.5 {host} {json.dumps(body)}"


LINES = [
    make_line(10.2, "b", "sent", request="r-2"),
    make_line(10.0, "a", "sent", request="r-1", server="i-1"),
    make_line(10.4, "a", "failed", request="r-1", code=1216),
    make_line(9.0, "a", "server_suspected", server="i-1"),
    make_line(1.0, "a", "server_suspected", server="i-0"),
    make_line(9.0, "b", "store_lost"),
    "no JSON",
    "{}",
]


class TimelineTest(unittest.TestCase):
    """What explains a request."""

    def test_the_request_and_what_its_host_believed(self) -> None:
        timeline = timelines.build_timeline("r-1", LINES)
        self.assertEqual(
            [
                ("server_suspected", False),
                ("sent", True),
                ("failed", True),
            ],
            [(line.event, own) for line, own in timeline],
        )
        self.assertEqual([], timelines.build_timeline("r-9", LINES))

    def test_the_command(self) -> None:
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
