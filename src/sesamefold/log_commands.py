"""Commands that read the logs of entry hosts."""

import pathlib
import sys
import typing as t

import typer

from sesamefold import exitcodes

# Memory of an engine of the users' first site, tokens.
REPLAYED_MEMORY_TOKENS = 150_000


def explain(
    request_id: t.Annotated[str, typer.Argument(help="Id of a request.")],
    logs: t.Annotated[
        t.List[pathlib.Path], typer.Argument(help="Logs of entry hosts.")
    ],
) -> None:
    """Show the timeline of a request from the logs of entry hosts.

    Example: sesamefold explain 9c41d07be2a35f68 front-*.log
    """
    from sesamefold import timelines

    timeline = timelines.build_timeline(request_id, _read_logs(logs))
    if not timeline:
        print(f"no line about {request_id}", file=sys.stderr)
        raise typer.Exit(exitcodes.EXIT_DIFFERENT)
    start = timeline[0][0].at
    for line, about_request in timeline:
        print("*" if about_request else " ", line.format(start))


def replay(
    logs: t.Annotated[
        t.List[pathlib.Path], typer.Argument(help="Logs of entry hosts.")
    ],
    memory: t.Annotated[
        int, typer.Option(help="Tokens of one engine's memory.", min=1)
    ] = REPLAYED_MEMORY_TOKENS,
) -> None:
    """Replay logged choices of engines with other policies.

    Shows the tokens of sessions that each policy would have read, and the
    prompts of the busiest engine as a multiple of the mean.

    Example: sesamefold replay --memory 150000 front-*.log
    """
    from sesamefold import replays

    decisions = replays.read_decisions(_read_logs(logs))
    if not decisions:
        print("no line about a prompt that was sent", file=sys.stderr)
        raise typer.Exit(exitcodes.EXIT_DIFFERENT)
    print(replays.HEADER)
    for name in replays.POLICIES:
        print(replays.replay(decisions, name, memory).format())


def _read_logs(paths: t.Iterable[pathlib.Path]) -> t.List[str]:
    """Return the lines of logs; ends the command if one cannot be read."""
    texts: t.List[str] = []
    for path in paths:
        try:
            texts.extend(path.read_text(errors="replace").splitlines())
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            raise typer.Exit(exitcodes.EXIT_INVALID) from error
    return texts
