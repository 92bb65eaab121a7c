"""Tests that the pages on codes and keys agree with the code."""

import itertools
import pathlib
import typing as t
import unittest

from sesamefold import exceptions
from sesamefold import exitcodes
from sesamefold import settings
from sesamefold import validation

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def read_tables(name: str) -> t.Dict[str, t.List[t.List[str]]]:
    """Return the rows of the tables of a page by the heading above."""
    tables: t.Dict[str, t.List[t.List[str]]] = {}
    heading = ""
    for line in (DOCS / name).read_text().splitlines():
        if line.startswith("#"):
            heading = line.lstrip("# ")
        elif line.startswith("| ") and not line.startswith("| ---"):
            cells = [cell.strip().replace("`", "") for cell in line.split("|")]
            tables.setdefault(heading, []).append(cells[1:-1])
    return {heading: rows[1:] for heading, rows in tables.items()}


def list_classes(cls: t.Any) -> t.Iterator[t.Any]:
    """Yield an error class and all below it."""
    yield cls
    for below in cls.__subclasses__():
        yield from list_classes(below)


class PagesTest(unittest.TestCase):
    def test_errors(self) -> None:
        """Guards against a code without advice for the person on call."""
        rows = read_tables("errors.md")["Errors"]
        documented = [
            (int(row[0]), name, row[3], row[4], row[5])
            for row in rows
            for name in row[1].split(", ")
        ]
        classes = [
            (
                cls.code,
                cls.__name__,
                str(cls.status),
                "yes" if cls.retryable else "no",
                cls.executed,
            )
            for cls in list_classes(exceptions.SesamefoldError)
            if cls.__module__ == exceptions.__name__
        ]
        self.assertEqual(sorted(classes), sorted(documented))
        self.assertEqual([], [row for row in rows if len(row[6]) < 5])

    def test_problems(self) -> None:
        """Guards against a code of a problem that is not explained."""
        tables = read_tables("errors.md")
        for title, codes in (
            ("Problems of the operator's text", validation.CODES),
            ("Problems of the settings", settings.CODES),
        ):
            expected: t.Dict[str, str] = {}
            for kind, code in codes.items():
                known = expected.get(str(code))
                expected[str(code)] = (
                    f"{known}; {kind.value}" if known else kind.value
                )
            if codes is settings.CODES:
                expected[str(settings.UNREADABLE)] = "the file cannot be read"
            found = {row[0]: row[1] for row in tables[title]}
            self.assertEqual(expected, found)
        validated = validation.CODES.values()
        self.assertTrue(all(1410 <= code <= 1439 for code in validated))
        self.assertEqual(len(set(validated)), len(validated))

    def test_exit_codes(self) -> None:
        """Guards against an exit code that scripts cannot look up."""
        self.assertEqual(
            {
                name: str(value)
                for name, value in vars(exitcodes).items()
                if name.startswith("EXIT_") and isinstance(value, int)
            },
            {
                row[1]: row[0]
                for row in read_tables("errors.md")["Exit codes"]
                if row[1]
            },
        )

    def test_keys(self) -> None:
        """Guards against a key that is not documented."""
        tables = read_tables("configuration.md")
        for section, fields in itertools.chain(
            validation.FIELDS.items(),
            [("policy", validation.POLICY_FIELDS)],
            [("Settings", settings.FIELDS)],
        ):
            rows = tables[section]
            self.assertEqual(list(fields), [row[0] for row in rows])
            self.assertEqual(
                [name for name, field in fields.items() if field.required],
                [row[0] for row in rows if row[2] == "required"],
            )
