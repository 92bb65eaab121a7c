"""Conversion of results for the command line: JSON values and text.

Functions named `convert_...` return values for JSON, those named
`format_...` return text.
"""

import datetime
import json
import typing as t

from sesamefold import exceptions

if t.TYPE_CHECKING:
    from sesamefold import rollout


def escape(value: t.Any) -> str:
    """Return the text of a value with unprintable characters escaped.

    The result is a single line that is safe to print on a terminal.
    """
    return "".join(
        (
            char
            if char.isprintable() or char == "\t"
            else char.encode("unicode_escape").decode()
        )
        for char in str(value).encode(errors="backslashreplace").decode()
    )


def convert_error(error: exceptions.SesamefoldError) -> t.Dict[str, t.Any]:
    """Return an error as JSON values."""
    converted: t.Dict[str, t.Any] = {
        "code": error.code,
        "type": type(error).__name__,
        "message": str(error),
        "retryable": error.retryable,
        "executed": error.executed,
    }
    problems = getattr(error, "problems", None)
    if problems is not None:
        converted["problems"] = [convert_problem(p) for p in problems]
    return converted


def convert_problem(problem: t.Any) -> t.Dict[str, t.Any]:
    """Return a problem found in a text or in settings as JSON values."""
    return {
        "line": problem.line,
        "column": problem.column,
        "path": problem.path,
        "code": problem.code,
        "message": problem.message,
    }


def convert_progress(progress: "rollout.Progress") -> t.Dict[str, t.Any]:
    """Return the progress of a revision in a data centre as JSON values."""
    return {
        "name": progress.name,
        "in_force": progress.done,
        "seconds": progress.seconds,
        "reachable": progress.reachable,
        "hosts": progress.hosts,
        "behind": progress.behind,
        "unreachable_hosts": progress.unreachable_hosts,
    }


def format_progress(progress: "rollout.Progress") -> str:
    """Return the progress of a revision in a data centre as one line."""
    line = f"{progress.name}: "
    if progress.done:
        line += f"in force after {progress.seconds:.1f} s"
        line += f" on {progress.hosts} host(s)"
    elif progress.reachable:
        line += "not in force yet on " + ", ".join(progress.behind)
    else:
        line += "could not be reached"
    if progress.unreachable_hosts:
        line += "; hosts not reached: " + ", ".join(progress.unreachable_hosts)
    return line


def format_time(seconds: float) -> str:
    """Return a time in Unix seconds as ISO 8601 text in UTC."""
    return datetime.datetime.fromtimestamp(
        seconds, datetime.timezone.utc
    ).isoformat(timespec="seconds")


def format_audit_entry(entry: t.Mapping[str, t.Any]) -> t.Iterator[str]:
    """Yield the lines of text for one entry of the audit trail."""
    yield (
        f"revision {entry['revision']}  {format_time(entry['time'])}  "
        f"{entry['author']}"
    )
    for path, old, new in entry["changes"]:
        yield f"    {path}: {json.dumps(old)} -> {json.dumps(new)}"
    if entry["omitted"]:
        yield f"    and {entry['omitted']} more change(s)"


def format_status(status: t.Mapping[str, t.Any]) -> t.Iterator[str]:
    """Yield the lines of text for a status from `convert_status`."""
    yield f"revision {status['revision']}"
    if not status["platform_available"]:
        yield "the key-value service is not available"
    for centre in status["data_centres"]:
        state = "in service" if centre["in_service"] else "out of service"
        if not centre["reachable"]:
            yield f"{centre['name']}: {state}, could not be reached"
            continue
        yield f"{centre['name']}: {state}"
        for host in centre["hosts"]:
            description = (
                f"revision {host['revision']}"
                if host["reachable"]
                else "could not be reached"
            )
            leaving = ", leaving" if host["leaving"] else ""
            yield f"    {host['name']}: {description}{leaving}"
        for group, states in centre["backends"].items():
            counts = ", ".join(
                f"{count} {name}" for name, count in states.items()
            )
            yield f"    group {group}: {counts}"


def convert_status(status: t.Any) -> t.Dict[str, t.Any]:
    """Return the status of all data centres as JSON values."""

    def count_states(backends: t.Any) -> t.Dict[str, t.Dict[str, int]]:
        counts: t.Dict[str, t.Dict[str, int]] = {}
        for backend in backends:
            states = counts.setdefault(backend.group, {})
            states[backend.state] = states.get(backend.state, 0) + 1
        return counts

    return {
        "revision": status.revision,
        "platform_available": status.platform_available,
        "data_centres": [
            {
                "name": centre.name,
                "in_service": centre.in_service,
                "reachable": centre.reachable,
                "hosts": [
                    {
                        "name": host.member.name,
                        "revision": host.revision,
                        "reachable": host.reachable,
                        "leaving": host.member.leaving,
                    }
                    for host in centre.hosts
                ],
                "backends": count_states(centre.backends),
            }
            for centre in status.data_centres
        ],
    }


_CANDIDATE_COLUMNS = (
    ("server", "server"),
    ("data centre", "data_centre"),
    ("requests", "requests"),
    ("slots", "slots"),
    ("memory", "memory_tokens"),
    ("prefill", "prefill_tokens"),
    ("slowdown", "slowdown"),
    ("room", "has_room"),
    ("cost ms", "cost_ms"),
    ("obstacle", "obstacle"),
)


def format_explanation(explained: t.Mapping[str, t.Any]) -> str:
    """Return the explanation of a request's placement as text.

    The first lines say what would happen and by which figures; a line for
    each server follows.
    """
    server = explained["server"]
    target = f" to {server}" if server else ""
    lines = [
        f"{explained['outcome']}{target}: {explained['reason']}",
        f"route {explained['route']}, service {explained['service']}, "
        f"customer {explained['customer'] or '-'}, "
        f"configuration {explained['configuration']}",
        f"by the figures of {explained['host']}, "
        f"{explained['figure_seconds']} s old",
    ]
    rows = [
        [title for title, _ in _CANDIDATE_COLUMNS],
        *(
            [_format_cell(row[key]) for _, key in _CANDIDATE_COLUMNS]
            for row in explained["candidates"]
        ),
    ]
    widths = [max(map(len, column)) for column in zip(*rows)]
    lines += [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths))
        for row in rows
    ]
    return "\n".join(escape(line.rstrip()) for line in lines)


def _format_cell(value: t.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
