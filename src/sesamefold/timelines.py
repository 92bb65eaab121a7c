"""Timeline of one request from the logs of all entry hosts."""

import json
import typing as t

import attrs

# Events that change what a host believes; those shortly before a decision
# explain it.
BELIEFS = frozenset(
    {
        "configuration",
        "context_store_slow",
        "evacuation",
        "members",
        "server",
        "server_lapsed",
        "server_removed",
        "server_suspected",
        "store_lost",
        "store_regained",
        "weights_named",
    }
)
# How long before the first decision beliefs are shown, seconds.
BELIEF_SECONDS = 5.0


@attrs.frozen
class Line:
    """One line of a host's log; `at` is in Unix seconds."""

    at: float
    host: str
    event: str
    fields: t.Mapping[str, t.Any]

    def format(self, start: float) -> str:
        """Return the line as text, with its time after `start`."""
        fields = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at - start:+9.3f} {self.host} {self.event} {fields}"


def parse_line(text: str) -> t.Optional[Line]:
    """Return a line of a log, None for text of another form.

    What stands before the JSON object, such as the time of a log collector,
    is ignored.
    """
    try:
        body = json.loads(text[text.index("{") :])
        return Line(
            float(body.pop("time")),
            str(body.pop("host")),
            str(body.pop("event")),
            body,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def build_timeline(
    request_id: str, texts: t.Iterable[str]
) -> t.List[t.Tuple[Line, bool]]:
    """Return the lines that explain a request, in the order of their times.

    Each is paired with whether it is about the request itself; the others
    are beliefs of the hosts that handled it, and of the servers it reached.
    """
    lines = [line for line in map(parse_line, texts) if line is not None]
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    hosts = {line.host for line in own}
    beliefs = [
        line
        for line in lines
        if line.event in BELIEFS
        and line.host in hosts
        and first - BELIEF_SECONDS <= line.at <= last
    ]
    paired = [(line, True) for line in own]
    paired += [(line, False) for line in beliefs]
    return sorted(paired, key=lambda pair: pair[0].at)
