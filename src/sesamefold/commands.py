"""Command line."""

import asyncio
import contextlib
import difflib
import enum
import getpass
import importlib
import json
import os
import pathlib
import re
import sys
import time
import typing as t

import typer

import sesamefold
from sesamefold import addresses
from sesamefold import checks
from sesamefold import chunking
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import exitcodes
from sesamefold import log_commands
from sesamefold import placement_commands
from sesamefold import presentation
from sesamefold import settings as process_settings

if t.TYPE_CHECKING:
    from sesamefold import keyvalue
    from sesamefold import revisions

# The commands import the modules that they need when they run, so that the
# daemons do not hold the code of the operators' commands in memory.

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Serving system for prompts that return after long gaps.",
)

# `show` writes the revision of a text in its first line, `apply` takes it as
# the base of the edit and removes the line.
_HEADER = "# sesamefold revision: {}\n"
_HEADER_PATTERN = re.compile(r"# sesamefold revision: ([0-9]{1,18})\r?\n")

JsonOption = t.Annotated[
    bool, typer.Option("--json", help="Print JSON, errors too.")
]
SettingsOption = t.Annotated[
    pathlib.Path,
    typer.Option(
        "--settings", envvar="SESAMEFOLD_SETTINGS", help="Settings file."
    ),
]
FileArgument = t.Annotated[
    str, typer.Argument(metavar="FILE", help="Operator's text; '-': stdin.")
]
PlatformOption = t.Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="SESAMEFOLD_PLATFORM",
        metavar="URL",
        help="URL of the key-value service.",
    ),
]
ControlOption = t.Annotated[
    t.Optional[t.List[str]],
    typer.Option(
        "--control",
        envvar="SESAMEFOLD_CONTROL",
        metavar="IP:PORT",
        help="A control daemon to ask; repeatable, the first that answers.",
    ),
]
AuthorOption = t.Annotated[
    str,
    typer.Option(
        "--author",
        envvar="SESAMEFOLD_AUTHOR",
        help="Author for the audit trail; default: the user's name.",
    ),
]
WaitOption = t.Annotated[
    bool,
    typer.Option(
        "--wait", help="Wait until the revision is in force (--control)."
    ),
]
TimeoutOption = t.Annotated[
    float,
    typer.Option(
        "--timeout", min=0.1, max=3600, help="Seconds before giving up."
    ),
]


def _report(error: exceptions.SesamefoldError, as_json: bool) -> int:
    """Print an error in one line on stderr and return its exit code."""
    if as_json:
        line = json.dumps({"error": presentation.convert_error(error)})
    else:
        for problem in getattr(error, "problems", ()):
            print(presentation.escape(problem), file=sys.stderr)
        message = str(error)
        if isinstance(error, exceptions.SettingsError):
            message = f"the settings have {len(error.problems)} problem(s)"
        line = f"error {error.code}: {presentation.escape(message)}"
    print(line, file=sys.stderr)
    return exitcodes.find_exit_code(error)


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


def _read_file(path: str) -> t.Tuple[t.Optional[int], str]:
    """Return the revision in the first line, if there, and the text."""
    limit = defaults.MAX_TEXT_BYTES + 100
    try:
        if path == "-":
            data = sys.stdin.buffer.read(limit)
        else:
            with pathlib.Path(path).open("rb") as file:
                data = file.read(limit)
        text = data.decode()
    except UnicodeDecodeError as error:
        raise exceptions.ConfigurationError(
            f"{path} is not UTF-8: byte {error.start}"
        ) from None
    except OSError as error:
        raise exceptions.ConfigurationError(
            f"cannot read {path}: {error.strerror}"
        ) from None
    match = _HEADER_PATTERN.match(text)
    if match is None:
        return None, text
    return int(match[1]), text[match.end() :]


@contextlib.asynccontextmanager
async def _connect(url: str) -> t.AsyncIterator["keyvalue.KeyValue"]:
    import aiohttp

    from sesamefold import keyvalue

    async with aiohttp.ClientSession() as session:
        yield keyvalue.HttpKeyValue(session, url)


def _check_platform(url: str) -> None:
    if not checks.is_url(url):
        raise typer.BadParameter("--platform needs an http or https URL")


def _check_controls(controls: t.Optional[t.Sequence[str]]) -> None:
    if not controls or not all(map(addresses.is_address, controls)):
        raise typer.BadParameter("--control needs ip:port, at least once")


def _get_author(author: str) -> str:
    if author:
        return author
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _print(as_json: bool, content: t.Any, lines: t.Iterable[str]) -> None:
    """Print JSON or lines on stdout."""
    if as_json:
        print(json.dumps(content))
        return
    for line in lines:
        print(presentation.escape(line))


@app.command()
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check an operator's text; lists all its problems."""

    def call() -> None:
        from sesamefold import configuration
        from sesamefold import validation

        parsed = validation.parse_text(_read_file(file)[1])
        counts = {
            section: len(getattr(parsed, section))
            for section in ("regions", *configuration.SECTIONS)
        }
        _print(
            as_json,
            {"valid": True, "counts": counts},
            ["valid: " + ", ".join(f"{n} {s}" for s, n in counts.items())],
        )

    _run(call, as_json)


@app.command()
def diff(
    file: FileArgument,
    platform: PlatformOption = "",
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Compare the latest text with a file; exit code 1 if they differ."""
    _check_platform(platform)

    async def work() -> int:
        from sesamefold import revisions

        new = _read_file(file)[1]
        deadline = deadlines.Deadline.after(timeout)
        async with _connect(platform) as store:
            try:
                revision, old = await revisions.read_text(store, deadline)
            except exceptions.RevisionUnknown:
                revision, old = 0, ""
        lines = [
            line.rstrip("\r\n")
            for line in difflib.unified_diff(
                old.splitlines(),
                new.splitlines(),
                f"revision {revision}",
                file,
                lineterm="",
            )
        ]
        different = old != new
        _print(
            as_json,
            {"revision": revision, "different": different, "diff": lines},
            lines,
        )
        return exitcodes.EXIT_DIFFERENT if different else 0

    _run(lambda: asyncio.run(work()), as_json)


@app.command()
def apply(
    file: FileArgument,
    platform: PlatformOption = "",
    base: t.Annotated[
        t.Optional[int],
        typer.Option(
            "--base",
            min=0,
            help="Revision that was edited; default: the line that 'show' "
            "writes, else the latest.",
        ),
    ] = None,
    author: AuthorOption = "",
    wait: WaitOption = False,
    controls: ControlOption = None,
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Check a text and make it the latest revision."""
    _check_platform(platform)

    async def edit(
        store: "keyvalue.KeyValue", deadline: deadlines.Deadline
    ) -> "revisions.Head":
        from sesamefold import revisions

        marked, text = _read_file(file)
        return await revisions.apply_text(
            store,
            text,
            _get_author(author),
            deadline,
            marked if base is None else base,
        )

    _edit(edit, platform, wait, controls or [], timeout, as_json)


class State(str, enum.Enum):
    """What an operator wants of a data centre."""

    OUT = "out"
    IN = "in"


# Repetitions of an edit of one key when other edits win.
_ATTEMPTS = 5


@app.command()
def datacentre(
    state: State,
    name: str,
    platform: PlatformOption = "",
    author: AuthorOption = "",
    wait: WaitOption = False,
    controls: ControlOption = None,
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Take a data centre out of service or put it in again."""
    _check_platform(platform)

    async def attempt(
        store: "keyvalue.KeyValue", deadline: deadlines.Deadline
    ) -> "revisions.Head":
        from sesamefold import edits
        from sesamefold import revisions

        revision, text = await revisions.read_text(store, deadline)
        return await revisions.apply_text(
            store,
            edits.set_in_service(text, name, state is State.IN),
            _get_author(author),
            deadline,
            revision,
        )

    async def edit(
        store: "keyvalue.KeyValue", deadline: deadlines.Deadline
    ) -> "revisions.Head":
        for _ in range(_ATTEMPTS - 1):
            # The edit concerns one key only, so it is made again in the text
            # of the edit that won.
            with contextlib.suppress(exceptions.EditConflict):
                return await attempt(store, deadline)
        return await attempt(store, deadline)

    _edit(edit, platform, wait, controls or [], timeout, as_json)


def _edit(
    edit: t.Callable[..., t.Awaitable["revisions.Head"]],
    platform: str,
    wait: bool,
    controls: t.Sequence[str],
    timeout: float,
    as_json: bool,
) -> None:
    """Make an edit and, with `wait`, follow it through the data centres."""
    if wait:
        _check_controls(controls)

    async def work() -> int:
        from sesamefold import revisions

        deadline = deadlines.Deadline.after(timeout)
        async with _connect(platform) as store:
            before = await revisions.read_head(store, deadline)
            head = await edit(store, deadline)
            started = time.monotonic()
            names: t.List[str] = []
            if wait:
                # The edit is accepted, whether or not this succeeds; the
                # control daemons list the data centres too.
                with contextlib.suppress(exceptions.SesamefoldError):
                    names = await _list_data_centres(store, head, deadline)
        changed = before is None or head.edit_id != before.edit_id
        result: t.Dict[str, t.Any] = {
            "revision": head.revision,
            "edit_id": head.edit_id,
            "changed": changed,
        }
        if not as_json:
            print(
                f"revision {head.revision} accepted"
                if changed
                else f"unchanged; revision {head.revision} stays in force"
            )
        code = 0
        if wait:
            from sesamefold import rollout

            followed = []
            async for progress in rollout.follow(
                controls, head.revision, names, started, deadline
            ):
                followed.append(presentation.convert_progress(progress))
                if not progress.done:
                    code = exitcodes.EXIT_NOT_IN_FORCE
                if not as_json:
                    print(
                        presentation.escape(
                            presentation.format_progress(progress)
                        ),
                        flush=True,
                    )
            result["data_centres"] = followed
        if as_json:
            print(json.dumps(result))
        return code

    _run(lambda: asyncio.run(work()), as_json)


async def _list_data_centres(
    store: "keyvalue.KeyValue",
    head: "revisions.Head",
    deadline: deadlines.Deadline,
) -> t.List[str]:
    from sesamefold import configuration
    from sesamefold import revisions

    digests = head.sections["data_centres"]
    chunks = await revisions.read_chunks(store, digests, deadline)
    return [
        record.name
        for digest in digests
        for record in configuration.decode_records(
            "data_centres", chunking.decompress(chunks[digest])
        )
    ]


@app.command()
def show(
    revision: t.Annotated[
        t.Optional[int], typer.Option("--revision", min=1)
    ] = None,
    plain: t.Annotated[
        bool, typer.Option("--plain", help="Without the revision line.")
    ] = False,
    platform: PlatformOption = "",
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Print the operator's text of the latest or another kept revision."""
    _check_platform(platform)

    async def work() -> None:
        from sesamefold import revisions

        deadline = deadlines.Deadline.after(timeout)
        async with _connect(platform) as store:
            found, text = await revisions.read_text(store, deadline, revision)
        if as_json:
            print(json.dumps({"revision": found, "text": text}))
            return
        header = "" if plain else _HEADER.format(found)
        sys.stdout.buffer.write((header + text).encode())
        sys.stdout.flush()

    _run(lambda: asyncio.run(work()), as_json)


@app.command()
def history(
    limit: t.Annotated[
        int, typer.Option("--limit", min=1, help="Number of edits.")
    ] = 20,
    platform: PlatformOption = "",
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Print the audit trail, latest edit first."""
    _check_platform(platform)

    async def work() -> None:
        from sesamefold import revisions

        deadline = deadlines.Deadline.after(timeout)
        entries = []
        async with _connect(platform) as store:
            head = await revisions.read_head(store, deadline)
            if head is not None:
                async for entry in revisions.read_history(
                    store, head, deadline
                ):
                    entries.append(entry)
                    if len(entries) >= limit:
                        break
        lines = [
            line
            for entry in entries
            for line in presentation.format_audit_entry(entry)
        ]
        _print(as_json, entries, lines or ["no edit was accepted yet"])

    _run(lambda: asyncio.run(work()), as_json)


@app.command()
def status(
    controls: ControlOption = None,
    timeout: TimeoutOption = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Print the state of all data centres, as a control daemon sees it."""
    _check_controls(controls)

    async def work() -> int:
        from sesamefold import rollout

        found = presentation.convert_status(
            await rollout.fetch_status(
                controls or [], deadlines.Deadline.after(timeout)
            )
        )
        _print(as_json, found, presentation.format_status(found))
        return (
            0
            if all(centre["reachable"] for centre in found["data_centres"])
            else exitcodes.EXIT_NOT_IN_FORCE
        )

    _run(lambda: asyncio.run(work()), as_json)


app.command()(log_commands.explain)
app.command()(log_commands.replay)
app.command()(placement_commands.route)


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
