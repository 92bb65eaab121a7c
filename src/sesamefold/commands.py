"""Command line."""

import importlib
import json
import os
import pathlib
import sys
import typing as t

import typer

import sesamefold
from sesamefold import exceptions
from sesamefold import settings as process_settings

EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_PLATFORM = 5
EXIT_UNKNOWN = 6
EXIT_NOT_IN_FORCE = 7
EXIT_NOT_KEPT = 8
EXIT_OTHER = 10

# The exit code of an error is that of the first class it belongs to.
EXIT_CODES: t.Tuple[t.Tuple[t.Type[Exception], int], ...] = (
    (exceptions.InvalidText, EXIT_INVALID),
    (exceptions.SettingsError, EXIT_INVALID),
    (exceptions.EditConflict, EXIT_CONFLICT),
    (exceptions.RevisionUnknown, EXIT_NOT_KEPT),
    (exceptions.OutcomeUnknown, EXIT_UNKNOWN),
    (exceptions.PlatformError, EXIT_PLATFORM),
    (exceptions.SesamefoldError, EXIT_OTHER),
)

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Serving system for prompts that return after long gaps.",
)

JsonOption = t.Annotated[
    bool, typer.Option("--json", help="Print JSON, errors too.")
]
SettingsOption = t.Annotated[
    pathlib.Path,
    typer.Option(
        "--settings", envvar="SESAMEFOLD_SETTINGS", help="Settings file."
    ),
]


def _report(error: exceptions.SesamefoldError, as_json: bool) -> int:
    """Print an error in one line on stderr and return its exit code."""
    if as_json:
        line = json.dumps({"error": _describe(error)})
    else:
        # Problems are printed one a line by the commands that check a text.
        message = " ".join(str(error).split())
        line = f"error {error.code}: {message}"
    print(line, file=sys.stderr)
    return next(code for cls, code in EXIT_CODES if isinstance(error, cls))


def _describe(error: exceptions.SesamefoldError) -> t.Dict[str, t.Any]:
    described: t.Dict[str, t.Any] = {
        "code": error.code,
        "type": type(error).__name__,
        "message": str(error),
        "retryable": error.retryable,
        "executed": error.executed,
    }
    problems = getattr(error, "problems", None)
    if problems is not None:
        described["problems"] = [_describe_problem(p) for p in problems]
    return described


def _describe_problem(problem: t.Any) -> t.Dict[str, t.Any]:
    return {
        "line": problem.line,
        "column": problem.column,
        "path": problem.path,
        "code": problem.code,
        "message": problem.message,
    }


def _run(call: t.Callable[[], t.Optional[int]], as_json: bool) -> None:
    """Run a command and exit; an error is one line, not a traceback."""
    try:
        code = call() or 0
    except exceptions.SesamefoldError as error:
        code = _report(error, as_json)
    raise typer.Exit(code)


def _run_daemon(name: str, path: pathlib.Path, as_json: bool) -> None:
    def call() -> int:
        settings = process_settings.load_settings(path, os.environ)
        module = importlib.import_module(f"sesamefold.{name}")
        return module.run(settings)

    _run(call, as_json)


@app.command()
def gateway(settings: SettingsOption, as_json: JsonOption = False) -> None:
    """Run the gateway daemon of an entry host."""
    _run_daemon("gateway", settings, as_json)


@app.command()
def control(settings: SettingsOption, as_json: JsonOption = False) -> None:
    """Run the control daemon of an entry host."""
    _run_daemon("control", settings, as_json)


def _print_version(value: bool) -> None:
    if value:
        print(sesamefold.__version__)
        raise typer.Exit(0)


@app.callback()
def _main(
    version: t.Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True),
    ] = False,
) -> None:
    pass


def main() -> None:
    """Run the command line."""
    app()
