"""Tests of the operator's text: problems, bounds and random mutations."""

import random
import typing as t
import unittest
from unittest import mock

import yaml

from sesamefold import configuration
from sesamefold import documents
from sesamefold import exceptions
from sesamefold import validation

TEXT = """\
regions: {lima: {}, cusco: {}}
data_centres:
  lima-a: {region: lima, in: true}
  cusco-a: {region: cusco, in: false}
models:
  drafting-7b: {version: "v3", block_tokens: 1000}
groups:
  drafting-lima-a: {data_centre: lima-a, kind: engine,
                    model: drafting-7b, checks_fencing: true,
                    cold_limit: 2, warm_limit: 16, concurrent_loads: 3}
  registry-lima-a: {data_centre: lima-a, kind: service, service: registry}
stores:
  store-lima: {region: lima, address: "127.0.0.1:9000"}
services:
  draft: {kind: model, model: drafting-7b, depends_on: []}
  ledger: {kind: plain}
  registry: {kind: plain, depends_on: [ledger],
             repeatable: ["GET *", "POST /lookup"]}
customers:
  acme: {token_sha256: "%s", share: 10}
  no: {token_sha256: "%s"}
policy: {seconds_per_link_megabyte: 0.5}
""" % (
    "a" * 64,
    "b" * 64,
)


def find_problems(text: str) -> t.List[documents.Problem]:
    """Return the problems of a text, none when it is valid."""
    try:
        validation.parse_text(text)
    except exceptions.InvalidText as error:
        return list(error.problems)
    return []


class ValidationTest(unittest.TestCase):
    maxDiff = None

    def test_the_text_of_the_design_page(self) -> None:
        """Guards against a valid key that is refused or not read."""
        parsed = validation.parse_text(TEXT)
        self.assertEqual(("lima", "cusco"), parsed.regions)
        self.assertFalse(parsed.is_in_service("cusco-a"))
        self.assertEqual(
            configuration.Group(
                "drafting-lima-a",
                "lima-a",
                "engine",
                "drafting-7b",
                "",
                True,
                2,
                16,
                3,
            ),
            parsed.groups["drafting-lima-a"],
        )
        self.assertEqual(("ledger",), parsed.services["registry"].depends_on)
        self.assertEqual(["acme", "no"], list(parsed.customers))
        self.assertEqual(0.5, parsed.policy.seconds_per_link_megabyte)

    def test_every_kind_of_problem_is_placed(self) -> None:
        """Guards against a problem without position, or a missed one.

        In each new piece of the text, ^ marks the expected position.
        """
        registry = "registry: {kind: plain, depends_on: "
        other = "other: {kind: plain, depends_on: [registry]}\n  "
        store = 'other: {region: cusco, address: "127.0.0.1:9000"}'
        for old, new, path, code in (
            ("in: true", "^out: true", "data_centres.lima-a.out", 1414),
            ("policy", "^polices", "polices", 1414),
            ("cusco-a:", "^lima-a:", "data_centres.lima-a", 1415),
            ("policy: {", "^models: {", "models", 1415),
            ("share: 10", "share: 1, ^share: 2", "customers.acme.share", 1415),
            ("in: true", "in: ^yes", "data_centres.lima-a.in", 1416),
            ('"v3"', "^3", "models.drafting-7b.version", 1416),
            ("[ledger]", "^ledger", "services.registry.depends_on", 1416),
            ("0.5", "^.inf", "policy.seconds_per_link_megabyte", 1416),
            ("  acme", "  ? ^[a]\n  : 1\n  acme", "customers", 1416),
            ("{region: cusco, ", "^{", "data_centres.cusco-a", 1417),
            ("share: 10", "share: ^0", "customers.acme.share", 1418),
            ("0.5", "^1e999", "policy.seconds_per_link_megabyte", 1418),
            ('["GET *', '[^"get *', "services.registry.repeatable[0]", 1419),
            ('"127.0.0.1', '^"host', "stores.store-lima.address", 1420),
            ('"127.0.0.1', '^"[::1', "stores.store-lima.address", 1420),
            (
                '"127.0.0.1:9000"',
                '^"::1:0"',
                "stores.store-lima.address",
                1420,
            ),
            ("  no:", '  ^"a b":', "customers.a b", 1421),
            ("[ledger]", "[^ledge]", "services.registry.depends_on", 1422),
            (
                "on: lima, in",
                "on: ^lma, in",
                "data_centres.lima-a.region",
                1422,
            ),
            ("[ledger]", "^[registry]", "services.registry.depends_on", 1423),
            (
                f"{registry}[ledger]",
                f"{other}{registry}^[other]",
                "services.registry.depends_on",
                1423,
            ),
            (
                f'"{"b" * 64}',
                f'^"{"a" * 64}',
                "customers.no.token_sha256",
                1424,
            ),
            (
                '  store-lima: {region: lima, address: "',
                f'  {store}\n  store-lima: {{region: lima, address: ^"',
                "stores.store-lima.address",
                1425,
            ),
            (
                "engine,\n                    model: drafting-7b",
                "^engine",
                "groups.drafting-lima-a",
                1426,
            ),
            (
                "service: registry",
                "service: ^draft",
                "groups.registry-lima-a",
                1426,
            ),
            ("{kind: plain}", "{kind: ^model}", "services.ledger", 1426),
            ("in: true", "in: ^!!bool true", "", 1413),
            ("policy:", "^---\npolicy:", "", 1413),
            ("regions:", "^%TAG ! x\n---\nregions:", "", 1413),
            ("in: true", "in: ^*a", "", 1412),
            ("lima-a: {", "lima-a: &a {x: ^*a, ", "", 1412),
            ("lima-a:", "lima-^\x00a:", "", 1412),
            ("lima-a:", "lima-^\ud800a:", "", 1412),
            (TEXT, "^", "", 1410),
            (TEXT, "^---\n", "", 1410),
            (TEXT, "^x", "", 1416),
            (TEXT, "^{regions: {lima: }}", "data_centres", 1417),
        ):
            with self.subTest(new=new[:40]):
                self.assertIn(old, TEXT)
                marked = TEXT.replace(old, new, 1)
                before = marked[: marked.index("^")]
                line = before.count("\n") + 1
                column = len(before) - before.rfind("\n")
                self.assertEqual(
                    [(line, column, path, code)],
                    [
                        (p.line, p.column, p.path, p.code)
                        for p in find_problems(marked.replace("^", "", 1))
                    ],
                )

    def test_all_problems_are_reported_at_once(self) -> None:
        """Guards against an operator who repairs one problem a time."""
        text = TEXT
        for old, new in (
            ("in: true", "in: 1"),
            ("block_tokens: 1000", "block_tokens: 0"),
            ("cold_limit", "cold"),
            ("[ledger]", "[x]"),
            ("b" * 64, "B" * 64),
        ):
            text = text.replace(old, new)
        self.assertEqual(
            [1416, 1418, 1414, 1422, 1419],
            [problem.code for problem in find_problems(text)],
        )

    def test_hostile_texts_are_bounded(self) -> None:
        """Guards against exhaustion of memory, stack or time."""
        wide = "{" + ", ".join(f"k{i}: 1" for i in range(2000)) + "}"
        aliases = ", ".join(f"g{i}: *a" for i in range(900))
        chain = "".join(
            f"  s{i}: {{kind: plain, depends_on: [s{i + 1}]}}\n"
            for i in range(20_000)
        )
        cycle = chain.replace("[s20000]", "[s0]")
        chained = TEXT.replace("  ledger: {kind: plain}\n", cycle)
        aliased = f"x: &a {wide}\nstores: {{{aliases}}}"
        for name, text, code in (
            ("too long", "x" * (8 * 1024 * 1024 + 1), 1411),
            # libyaml has a bound of its own on nested flow collections.
            ("deep flow", "[" * 1_000_000, 1412),
            ("less deep flow", "[" * 17 + "]" * 17, 1411),
            ("deep block", "- " * 1_000_000, 1411),
            ("many nodes", "[" + "a," * 1_000_000 + "]", 1411),
            ("many aliases", "[&a a," + "*a," * 2000 + "]", 1411),
            ("aliases of a wide mapping", aliased, 1439),
            ("many problems", "customers: " + wide, 1439),
            ("long number", f"policy: {'9' * 100_000}", 1416),
            ("long key", f"? {'k' * 1_000_000}\n: 1", 1414),
            ("directives", "%TAG !a! x\n" * 100_000, 1413),
            ("long cycle", chained, 1423),
        ):
            with self.subTest(name):
                found = find_problems(text)
                self.assertIn(code, [problem.code for problem in found])
                self.assertLessEqual(len(found), documents.MAX_PROBLEMS + 1)
                self.assertLess(max(len(str(p)) for p in found), 1000)
        with mock.patch.object(documents, "MAX_VISITS", 1000):
            text = f"x: &a {{{', '.join(f'k{i}: 1' for i in range(90))}}}\n"
            found = find_problems(text + f"stores: {{{aliases}}}")
            self.assertIn(1411, [problem.code for problem in found])

    def test_random_mutations(self) -> None:
        """Guards against any error but InvalidText."""
        source = random.Random(20_261)
        pieces = [
            "{", "}", "[", "]", ":", ": ", ",", "\n", "  ", "- ", "? ", "&a ",
            "*a", "!!str ", "!x ", "|", ">", "'", '"', "#", "%", "---\n",
            "...\n", "null", "~", "true", "yes", "1e5", ".nan", "0x10", "-1",
            "9" * 30, "<<: *a", "\t", "\0", "\ud800", "\ufeff", "\x85", "é",
            "\U0001f600", "in", "kind: engine", "depends_on: [draft]", "``",
        ]  # fmt: skip
        lines = TEXT.splitlines(keepends=True)
        accepted = 0
        for number in range(3000):
            text = TEXT
            for _ in range(source.choice((1, 1, 2, 5))):
                start = source.randrange(len(text) + 1)
                end = min(len(text), start + source.choice((0, 0, 1, 3, 20)))
                insert = source.choice(
                    (
                        source.choice(pieces),
                        source.choice(lines),
                        text[end : end + source.randrange(40)],
                        "",
                    )
                )
                text = text[:start] + insert + text[end:]
            try:
                parsed = validation.parse_text(text)
            except exceptions.InvalidText as error:
                self.assertTrue(error.problems, number)
            except Exception as error:
                self.fail(f"mutation {number}: {error!r} for {text!r}")
            else:
                accepted += 1
                self.assertIsInstance(parsed, configuration.Configuration)
                # An accepted text means the same to PyYAML's own loader.
                loaded = yaml.load(text, yaml.CBaseLoader)  # noqa: S506
                self.assertEqual(
                    list(loaded.get("customers") or ()),
                    list(parsed.customers),
                )
        self.assertGreater(accepted, 100)
