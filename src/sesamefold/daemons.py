"""Start of the daemons without the imports of the command line."""

import importlib
import os
import pathlib
import sys
import typing as t

from sesamefold import exceptions
from sesamefold import settings as process_settings

NAMES = ("control", "gateway")


def _find_settings(arguments: t.Sequence[str]) -> t.Optional[pathlib.Path]:
    """Return the settings file, None when there are other arguments."""
    if not arguments:
        arguments = ["--settings", os.environ.get("SESAMEFOLD_SETTINGS", "")]
    if len(arguments) == 1:
        arguments = arguments[0].split("=", 1)
    if len(arguments) != 2 or arguments[0] != "--settings":
        return None
    return pathlib.Path(arguments[1]) if arguments[1] else None


def main() -> None:
    """Run a daemon, or the command line for all other arguments.

    The command line, which parses with typer and pydantic, adds 9 MB to the
    resident memory of a daemon. It also reports errors in the settings.
    """
    name, *arguments = sys.argv[1:] or [""]
    path = _find_settings(arguments) if name in NAMES else None
    if path is not None:
        try:
            settings = process_settings.load_settings(path, os.environ)
        except exceptions.SettingsError:
            pass
        else:
            module = importlib.import_module(f"sesamefold.{name}")
            sys.exit(module.run(settings))
    importlib.import_module("sesamefold.commands").main()
