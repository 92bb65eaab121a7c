"""Text and JSON of the command line's output."""

import datetime
import json
import typing as t

from sesamefold import exceptions

if t.TYPE_CHECKING:
    from sesamefold import rollout


def escape(value: t.Any) -> str:
    """Return text in one line that a terminal shows as it is."""
    return "".join(
        (
            char
            if char.isprintable() or char == "\t"
            else char.encode("unicode_escape").decode()
        )
        for char in str(value).encode(errors="backslashreplace").decode()
    )


def convert_error(error: exceptions.SesamefoldError) -> t.Dict[str, t.Any]:
    """Return an error as JSON shows it."""
    described: t.Dict[str, t.Any] = {
        "code": error.code,
        "type": type(error).__name__,
        "message": str(error),
        "retryable": error.retryable,
        "executed": error.executed,
    }
    problems = getattr(error, "problems", None)
    if problems is not None:
        described["problems"] = [convert_problem(p) for p in problems]
    return described


def convert_problem(problem: t.Any) -> t.Dict[str, t.Any]:
    """Return a problem of a text or of settings as JSON shows it."""
    return {
        "line": problem.line,
        "column": problem.column,
        "path": problem.path,
        "code": problem.code,
        "message": problem.message,
    }


def convert_progress(progress: "rollout.Progress") -> t.Dict[str, t.Any]:
    """Return the progress of a revision as JSON shows it."""
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
    """Return an instant in Unix seconds as text in UTC."""
    return datetime.datetime.fromtimestamp(
        seconds, datetime.timezone.utc
    ).isoformat(timespec="seconds")


def format_audit_entry(entry: t.Mapping[str, t.Any]) -> t.Iterator[str]:
    """Yield the lines of an entry of the audit trail."""
    yield (
        f"revision {entry['revision']}  {format_time(entry['time'])}  "
        f"{entry['author']}"
    )
    for path, old, new in entry["changes"]:
        yield f"    {path}: {json.dumps(old)} -> {json.dumps(new)}"
    if entry["omitted"]:
        yield f"    and {entry['omitted']} more change(s)"


def format_status(status: t.Mapping[str, t.Any]) -> t.Iterator[str]:
    """Yield the lines of the state of all data centres."""
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
            seen = (
                f"revision {host['revision']}"
                if host["reachable"]
                else "could not be reached"
            )
            leaving = ", leaving" if host["leaving"] else ""
            yield f"    {host['name']}: {seen}{leaving}"
        for group, states in centre["backends"].items():
            counts = ", ".join(f"{n} {s}" for s, n in states.items())
            yield f"    group {group}: {counts}"


def convert_status(status: t.Any) -> t.Dict[str, t.Any]:
    """Return the state of all data centres as JSON shows it."""

    def count(backends: t.Any) -> t.Dict[str, t.Dict[str, int]]:
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
                "backends": count(centre.backends),
            }
            for centre in status.data_centres
        ],
    }
