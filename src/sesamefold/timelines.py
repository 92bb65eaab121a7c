"""Timeline of one request from the logs of all entry hosts."""

import json
import typing as t

import attrs

# Events that change what a host knows of servers, stores and configuration;
# those shortly before a decision explain it.
STATE_EVENTS = frozenset(
    {
        "configuration",
        "context_store_slow",
        "evacuation",
        "members",
        "server",
        "server_lapsed",
        "server_leaving",
        "server_removed",
        "server_resting",
        "server_suspected",
        "store_lost",
        "store_regained",
        "weights_named",
    }
)
# How long before the first line of a request state events are shown.
STATE_WINDOW_SECONDS = 5.0


@attrs.frozen
class LogLine:
    """One line of a host's log; `time` is in Unix seconds."""

    time: float
    host: str
    event: str
    fields: t.Mapping[str, t.Any]

    def format(self, start: float) -> str:
        """Return the line as text, with its time in seconds after `start`."""
        fields = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time - start:+9.3f} {self.host} {self.event} {fields}"


def parse_line(text: str) -> t.Optional[LogLine]:
    """Return the parsed line of a log, None if it has another format.

    Text before the JSON object, such as the timestamp of a log collector, is
    ignored.
    """
    try:
        body = json.loads(text[text.index("{") :])
        return LogLine(
            float(body.pop("time")),
            str(body.pop("host")),
            str(body.pop("event")),
            body,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def build_timeline(
    request_id: str, raw_lines: t.Iterable[str]
) -> t.List[t.Tuple[LogLine, bool]]:
    """Return the lines that explain a request, ordered by time.

    Each is paired with whether it is about the request itself. The others are
    state events of the hosts that handled the request.
    """
    lines = [line for line in map(parse_line, raw_lines) if line is not None]
    request_lines = [
        line for line in lines if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return []
    first = min(line.time for line in request_lines)
    last = max(line.time for line in request_lines)
    hosts = {line.host for line in request_lines}
    state_lines = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and line.host in hosts
        and first - STATE_WINDOW_SECONDS <= line.time <= last
    ]
    paired = [(line, True) for line in request_lines]
    paired += [(line, False) for line in state_lines]
    return sorted(paired, key=lambda pair: pair[0].time)
