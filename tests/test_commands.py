"""Tests of the command line."""

import concurrent.futures
import contextlib
import json
import pathlib
import socket
import sys
import tempfile
import types
import typing as t
import unittest
from unittest import mock

import grpc
import typer.testing

from sesamefold import commands
from sesamefold import keyvalue
from sesamefold import rollout
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc
from tests import test_revisions

TEXT = """\
# Owned by the platform team.
regions: {lima: {}, cusco: {}}
data_centres:
  lima-a: {region: lima}  # the first
  cusco-a: {region: cusco, in: true}  # the second
"""


class StandInControl(control_pb2_grpc.ControlServicer):
    """Answers GetStatus from a list; the last answer is repeated."""

    def __init__(self, answers: t.Sequence[control_pb2.Status]) -> None:
        self.answers = list(answers)

    def GetStatus(self, request: t.Any, context: t.Any) -> t.Any:
        """Return the next answer."""
        assert request.whole
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]


def build_status(**centres: t.Any) -> control_pb2.Status:
    """Return a status; None is a data centre that cannot be reached.

    Others are lists of revisions of their hosts, None for a host that cannot
    be reached.
    """
    return control_pb2.Status(
        revision=2,
        platform_available=True,
        data_centres=[
            control_pb2.DataCentreStatus(
                name=name.replace("_", "-"),
                in_service=True,
                reachable=hosts is not None,
                hosts=[
                    control_pb2.HostStatus(
                        member=control_pb2.Member(name=f"host-{i}"),
                        revision=revision or 0,
                        reachable=revision is not None,
                    )
                    for i, revision in enumerate(hosts or [])
                ],
                backends=[
                    control_pb2.BackendState(group="g", state=state)
                    for state in ("warm", "warm", "cold")
                ],
            )
            for name, hosts in centres.items()
        ],
    )


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "text.yaml"
        self.path.write_text(TEXT)
        self.store = test_revisions.MemoryKeyValue()
        patch = mock.patch.object(
            keyvalue,
            "HttpKeyValue",
            lambda session, url: self.store,
            create=True,
        )
        patch.start()
        self.addCleanup(patch.stop)
        patch = mock.patch.object(rollout, "POLL_INTERVAL_SECONDS", 0.01)
        patch.start()
        self.addCleanup(patch.stop)

    def run_command(self, *arguments: str) -> t.Tuple[int, str, str]:
        result = typer.testing.CliRunner().invoke(
            commands.app,
            arguments,
            env={
                "SESAMEFOLD_PLATFORM": "http://x",
                "SESAMEFOLD_AUTHOR": "ana",
            },
        )
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        return result.exit_code, result.stdout, result.stderr

    @contextlib.contextmanager
    def start_control(self, *answers: control_pb2.Status) -> t.Iterator[str]:
        pool = concurrent.futures.ThreadPoolExecutor(1)
        server = grpc.server(pool)
        control_pb2_grpc.add_ControlServicer_to_server(
            StandInControl(answers), server
        )
        port = server.add_insecure_port("127.0.0.1:0")
        server.start()
        try:
            yield f"127.0.0.1:{port}"
        finally:
            server.stop(None).wait()
            pool.shutdown()

    def test_check(self) -> None:
        """Guards against an exit code or output that scripts misread."""
        file = str(self.path)
        self.assertEqual(
            (0, "valid: 2 regions, 2 data_centres, 0 models"),
            (lambda r: (r[0], r[1][:42]))(self.run_command("check", file)),
        )
        self.path.write_text(TEXT.replace("lima}", "x, y: 1}"))
        code, output, errors = self.run_command("check", file)
        self.assertEqual((3, ""), (code, output))
        lines = errors.splitlines()
        self.assertEqual(3, len(lines))
        self.assertIn("line 4, column 20: data_centres.lima-a", lines[0])
        self.assertEqual("error 1401: the text has 2 problem(s)", lines[2])
        code, output, errors = self.run_command("check", file, "--json")
        self.assertEqual((3, ""), (code, output))
        error = json.loads(errors)["error"]
        self.assertEqual(
            [(4, 1422), (4, 1414)],
            [(p["line"], p["code"]) for p in error["problems"]],
        )
        self.path.write_bytes(b"\xff")
        for path in (file, file + ".missing"):
            code, output, errors = self.run_command("check", path)
            self.assertEqual((3, ""), (code, output))
            self.assertRegex(errors, r"^error 1400: .*\n$")

    def test_edit_of_a_shown_text(self) -> None:
        """Guards against an edit that undoes one its author has not seen."""
        file = str(self.path)
        self.assertEqual(1, self.run_command("diff", file)[0])
        self.assertIn("revision 1", self.run_command("apply", file)[1])
        self.assertIn("unchanged", self.run_command("apply", file)[1])
        self.assertEqual((0, "", ""), self.run_command("diff", file))
        shown = self.run_command("show")[1]
        self.assertEqual("# sesamefold revision: 1\n" + TEXT, shown)
        self.path.write_text(shown.replace("second", "2nd"))
        code, output, _ = self.run_command("diff", file)
        self.assertEqual(1, code)
        self.assertIn(
            "+  cusco-a: {region: cusco, in: true}  # the 2nd", output
        )
        self.assertEqual(0, self.run_command("apply", file)[0])
        # The file still says that it is an edit of revision 1.
        code, _, errors = self.run_command("apply", file)
        self.assertEqual(4, code)
        self.assertIn("error 1402: ", errors)
        self.assertIn("revision 2 by 'ana'", errors)
        self.assertEqual(
            TEXT, self.run_command("show", "--plain", "--revision", "1")[1]
        )
        self.assertEqual(8, self.run_command("show", "--revision", "9")[0])
        entries = json.loads(self.run_command("history", "--json")[1])
        self.assertEqual([2, 1], [entry["revision"] for entry in entries])
        lines = self.run_command("history", "--limit", "1")[1].splitlines()
        self.assertRegex(lines[0], r"^revision 2  \S+\+00:00  ana$")

    def test_datacentre(self) -> None:
        """Guards against a changed comment or a changed other entry."""
        file = str(self.path)
        missing = self.run_command("datacentre", "out", "lima-a")
        self.assertEqual(8, missing[0])
        self.run_command("apply", file)
        self.assertEqual(0, self.run_command("datacentre", "out", "lima-a")[0])
        self.assertEqual(
            0, self.run_command("datacentre", "out", "cusco-a")[0]
        )
        expected = TEXT.replace("{region: lima}", "{in: false, region: lima}")
        expected = expected.replace("in: true", "in: false")
        self.assertEqual(expected, self.run_command("show", "--plain")[1])
        self.assertEqual(0, self.run_command("datacentre", "in", "lima-a")[0])
        self.assertIn(
            "unchanged; revision 4",
            self.run_command("datacentre", "in", "lima-a")[1],
        )
        entries = json.loads(self.run_command("history", "--json")[1])
        self.assertEqual(
            [["data_centres.lima-a.in_service", False, True]],
            entries[0]["changes"],
        )
        self.assertEqual(3, self.run_command("datacentre", "in", "x")[0])

    def test_apply_waits_for_each_data_centre(self) -> None:
        """Guards against "in force" while a host has an older revision."""
        file = str(self.path)
        with (
            self.start_control(
                build_status(lima_a=[1, 0], cusco_a=None),
                build_status(lima_a=[1, 0], cusco_a=[0]),
                build_status(lima_a=[1, 1], cusco_a=[0]),
                build_status(lima_a=[1, 1], cusco_a=[1, None]),
            ) as address,
            socket.socket() as silent,
        ):
            silent.bind(("127.0.0.1", 0))
            refused = "127.0.0.1:%d" % silent.getsockname()[1]
            options = ("--wait", "--control", refused, "--control", address)
            code, output, errors = self.run_command("apply", file, *options)
        self.assertEqual((0, ""), (code, errors))
        lines = output.splitlines()
        self.assertEqual("revision 1 accepted", lines[0])
        self.assertRegex(lines[1], r"^lima-a: in force after \S+ s on 2 host")
        self.assertRegex(
            lines[2], r"^cusco-a: in .* 1 host\(s\); hosts not reached: host-1"
        )
        for answers, reachable, behind in (
            ([build_status(lima_a=[1], cusco_a=None)], False, []),
            ([build_status(lima_a=[1], cusco_a=[0, 1])], True, ["host-0"]),
            ([build_status(lima_a=[1])], False, []),
        ):
            with self.start_control(*answers) as address:
                code, output, _ = self.run_command(
                    *("apply", file, "--wait", "--control", address),
                    *("--timeout", "0.5", "--json"),
                )
            self.assertEqual(7, code)
            first, second = json.loads(output)["data_centres"]
            self.assertEqual(
                ("lima-a", True), (first["name"], first["in_force"])
            )
            self.assertEqual(
                ("cusco-a", False, reachable, behind),
                tuple(
                    second[key]
                    for key in ("name", "in_force", "reachable", "behind")
                ),
            )

    def test_status(self) -> None:
        """Guards against an unreachable data centre that looks well."""
        for centres, expected in (
            ({"lima_a": [2]}, 0),
            ({"lima_a": [2], "cusco_a": None}, 7),
        ):
            with self.start_control(build_status(**centres)) as address:
                options = ("status", "--control", address)
                code, output, _ = self.run_command(*options)
                found = json.loads(self.run_command(*options, "--json")[1])
            self.assertEqual(expected, code)
            self.assertIn("    group g: 2 warm, 1 cold", output)
            self.assertEqual(
                2, found["data_centres"][0]["hosts"][0]["revision"]
            )
            self.assertEqual(
                len(centres) > 1, "cusco-a: in service, could not" in output
            )
        code, _, errors = self.run_command("status", "--control", address)
        self.assertEqual(5, code)
        self.assertIn("error 1506: ", errors)

    def test_daemons(self) -> None:
        """Guards against a daemon whose exit code is lost."""
        settings = self.path.with_name("settings.yaml")
        settings.write_text(
            "{host: a, data_centre: b, key_value_url: 'http://127.0.0.1:1', "
            "host_list_url: 'http://127.0.0.1:2'}"
        )
        for name in ("gateway", "control"):
            module = types.ModuleType(name)
            module.run = lambda found: 9 if found.host == "a" else 0
            with mock.patch.dict(sys.modules, {f"sesamefold.{name}": module}):
                result = self.run_command(name, "--settings", str(settings))
            self.assertEqual((9, "", ""), result)
            code, _, errors = self.run_command(
                name, "--settings", str(self.path), "--json"
            )
            self.assertEqual(3, code)
            self.assertEqual(1600, json.loads(errors)["error"]["code"])
        self.assertEqual((0, "0.1.0\n", ""), self.run_command("--version"))

    def test_wrong_options(self) -> None:
        """Guards against a command that starts without what it needs."""
        file = str(self.path)
        for arguments in (
            ("status",),
            ("status", "--control", "localhost:1"),
            ("apply", file, "--wait"),
            ("apply", file, "--platform", "127.0.0.1:1"),
            ("datacentre", "off", "lima-a"),
            ("gateway",),
        ):
            with self.subTest(arguments):
                self.assertEqual(2, self.run_command(*arguments)[0])
        self.assertEqual([], self.store.writes)
