"""Runs the tests and compares the failures with KNOWN-RED.txt."""

import itertools
import pathlib
import sys
import typing as t
import unittest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red(path: pathlib.Path, kind: str) -> t.Set[str]:
    """Return the test ids of the list; other lines are explanations.

    An entry starts with `test: ` at the beginning of a line if the test
    always fails, and with `sometimes: ` if it does so in some runs.
    """
    if not path.exists():
        return set()
    return {
        line.removeprefix(f"{kind}: ").strip()
        for line in path.read_text().splitlines()
        if line.startswith(f"{kind}: ")
    }


def main(names: t.Sequence[str]) -> int:
    """Run the named tests, or all; return the exit code.

    A listed test may fail. One that is listed as failing always and passes
    fails the run, so that it is taken off the list.
    """
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover("tests", top_level_dir=".")
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    always = read_known_red(KNOWN_RED, "test")
    known = always | read_known_red(KNOWN_RED, "sometimes")
    red = {
        test.id().partition(" ")[0]
        for test, _ in itertools.chain(result.failures, result.errors)
    }
    passing = set() if names else always - red
    print(
        "".join(f"known red: {name}\n" for name in sorted(known & red)), end=""
    )
    print(
        "".join(
            f"listed in KNOWN-RED.txt but passes: {name}\n"
            for name in sorted(passing)
        ),
        end="",
    )
    failed = len(red - known) + len(passing)
    skipped = len(result.skipped) + len(known & red)
    passed = result.testsRun - len(result.skipped) - len(red)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
