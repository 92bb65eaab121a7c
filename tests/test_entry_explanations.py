"""Tests of explanations of where requests would go."""

import asyncio
import json
import typing as t

import typer.testing

from sesamefold import commands
from standins import platform_fixtures
from tests import entry_fakes

HEADERS = {
    "Sesamefold-Request-Id": "r-1",
    "Api-Key": platform_fixtures.API_KEY,
}
PROMPT = {
    "Sesamefold-Model": platform_fixtures.MODEL,
    "Sesamefold-Token-Usage": "900,80",
    "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
}


class ExplanationTest(entry_fakes.EntryHostCase):
    """Explanations of an entry host with two servers."""

    def explain(self, path: str, **headers: str) -> t.Dict[str, t.Any]:
        """Return the explanation of a request."""
        return self.host.explainer.explain(
            {
                "host": platform_fixtures.ROUTE_HOST,
                "path": path,
                "headers": {**HEADERS, **headers},
            }
        )

    async def run_command(
        self, *options: str, address: t.Optional[str] = None
    ) -> typer.testing.Result:
        """Run the command with the host's metrics address."""
        metrics_address = self.settings.metrics_address
        assert metrics_address is not None
        return await asyncio.to_thread(
            typer.testing.CliRunner().invoke,
            commands.app,
            [
                "route",
                address or ":".join(map(str, metrics_address)),
                platform_fixtures.ROUTE_HOST,
                *options,
            ],
        )

    def list_header_options(self) -> t.List[str]:
        """Return the options with the headers of a request."""
        return [
            option
            for name, value in {**HEADERS, **PROMPT}.items()
            for option in ("-H", f"{name}: {value}")
        ]

    async def test_request_goes_where_the_explanation_says(self) -> None:
        """Guards against an explanation that follows rules of its own."""
        for number in range(6):
            headers = {**PROMPT, "Sesamefold-Request-Id": f"r-{number}"}
            explained = self.explain("/resumable/", **headers)
            self.assertEqual("sent", explained["outcome"])
            await self.call("/resumable/", f"r-{number}", headers=headers)
            (run,) = [
                engine.id
                for engine in self.engines
                for run in engine.runs
                if run.request_id == f"r-{number}"
            ]
            self.assertEqual(run, explained["server"])

    async def test_explanation_sends_and_changes_nothing(self) -> None:
        """Guards against a tool that takes room or uses up budgets."""
        loads = dict(self.host.loads._own_loads)
        for _ in range(5):
            self.explain("/resumable/", **PROMPT)
        self.assertEqual(loads, self.host.loads._own_loads)
        self.assertEqual([], [r for e in self.engines for r in e.runs])

    async def test_obstacles_are_those_of_the_choice(self) -> None:
        """Guards against a server that is said to be usable and is not."""
        placement = self.host.placement
        server = self.host.catalog.servers["i-0"]
        for learn, obstacle in (
            (lambda: None, None),
            (
                lambda: placement.states.record_rest(server, 5.0, "r-0"),
                "rests as it asked",
            ),
            (lambda: placement.suspect(server, "reset"), "suspected"),
        ):
            learn()
            explained = self.explain("/resumable/", **PROMPT)
            rows = {row["server"]: row for row in explained["candidates"]}
            self.assertEqual(obstacle, rows["i-0"]["obstacle"])
            self.assertIsNone(rows["i-1"]["obstacle"])
            usable = {
                server.id
                for server, _ in placement._list_usable_servers(
                    entry_fakes.make_call("r-1"), placement.read_time()
                )
            }
            self.assertEqual(obstacle is None, "i-0" in usable)
        placement.suspect(self.host.catalog.servers["i-1"], "reset")
        explained = self.explain("/resumable/", **PROMPT)
        self.assertEqual("waits", explained["outcome"])
        self.assertIsNone(explained["server"])

    async def test_command_prints_text_and_json(self) -> None:
        result = await self.run_command(
            "/resumable/", *self.list_header_options()
        )
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn("sent to i-", result.output)
        self.assertIn("obstacle", result.output)
        result = await self.run_command(
            "/resumable/", "--json", *self.list_header_options()
        )
        explained = json.loads(result.output)
        self.assertEqual(
            {"i-0", "i-1"}, {row["server"] for row in explained["candidates"]}
        )

    async def test_command_reports_errors_in_one_line(self) -> None:
        """Guards against tracebacks, and errors that look like answers."""
        headers = self.list_header_options()
        for options, address, code, text in (
            (("/nowhere/", *headers), None, 10, "error 1"),
            (("/resumable/",), None, 10, "missing header"),
            (("/resumable/", "-H", "odd"), None, 3, "error 1400"),
            (("/resumable/",), "nowhere", 3, "error 1400"),
            (("/resumable/",), "127.0.0.1:1", 5, "error 1508"),
        ):
            with self.subTest(options=options, address=address):
                result = await self.run_command(*options, address=address)
                self.assertEqual(code, result.exit_code, result.output)
                self.assertIn(text, result.output)
                self.assertEqual(1, len(result.output.splitlines()))

    async def test_odd_descriptions_are_refused(self) -> None:
        """Guards against a task of the host that ends with an error."""
        host, port = self.settings.metrics_address or ("", 0)
        for body in (b"{", b"[]", b"{}", b'{"host": 1, "path": []}'):
            async with self.caller.post(
                f"http://{host}:{port}/explanation", data=body
            ) as response:
                self.assertEqual(400, response.status)
