"""Commands that read the logs of entry hosts."""

import pathlib
import sys
import typing as t

import typer

from sesamefold import exitcodes

# Memory of an engine at the users' first site.
DEFAULT_MEMORY_TOKENS = 150_000


def explain(
    request_id: t.Annotated[str, typer.Argument(help="Request id.")],
    logs: t.Annotated[
        t.List[pathlib.Path], typer.Argument(help="Log files of entry hosts.")
    ],
) -> None:
    """Show the timeline of a request from the logs of entry hosts.

    Example: sesamefold explain 9c41d07be2a35f68 front-*.log
    """
    from sesamefold import timelines

    timeline = timelines.build_timeline(request_id, _read_logs(logs))
    if not timeline:
        print(f"no log line about request {request_id}", file=sys.stderr)
        raise typer.Exit(exitcodes.EXIT_DIFFERENT)
    start = timeline[0][0].time
    for line, about_request in timeline:
        print("*" if about_request else " ", line.format(start))


def replay(
    logs: t.Annotated[
        t.List[pathlib.Path], typer.Argument(help="Log files of entry hosts.")
    ],
    memory: t.Annotated[
        int, typer.Option(help="Memory of one engine, in tokens.", min=1)
    ] = DEFAULT_MEMORY_TOKENS,
) -> None:
    """Replay logged placement decisions with other policies.

    Shows the tokens of sessions that would have been prefilled under each
    policy, and the prompts of the busiest engine as a multiple of the mean.

    Example: sesamefold replay --memory 150000 front-*.log
    """
    from sesamefold import replays

    decisions = replays.read_decisions(_read_logs(logs))
    if not decisions:
        print(
            "no log line about a prompt that was sent to an engine",
            file=sys.stderr,
        )
        raise typer.Exit(exitcodes.EXIT_DIFFERENT)
    print(replays.REPORT_HEADER)
    for name in replays.POLICIES:
        print(replays.replay(decisions, name, memory).format())


def _read_logs(paths: t.Iterable[pathlib.Path]) -> t.List[str]:
    """Return the lines of log files.

    Exits with `EXIT_INVALID` if one cannot be read.
    """
    raw_lines: t.List[str] = []
    for path in paths:
        try:
            raw_lines.extend(path.read_text(errors="replace").splitlines())
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            raise typer.Exit(exitcodes.EXIT_INVALID) from error
    return raw_lines
