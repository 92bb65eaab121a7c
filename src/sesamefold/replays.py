"""Logged choices of engines, replayed with other policies.

A model of the engines' memories only: which prompts of a session find the
session's context in the memory of the engine that a policy chooses. Stores,
time and room are left out, so it ranks policies by reuse and balance and says
nothing of latency.
"""

import collections
import random
import typing as t

import attrs

from sesamefold import rendezvous
from sesamefold import timelines

# Decisions of a host's log that name the engine of a request.
SENT = "sent"
# Columns of the longest bar of a report.
BAR_COLUMNS = 40


@attrs.frozen
class Decision:
    """A prompt that was sent: `shared_tokens` are those of its session."""

    at: float
    session: str
    shared_tokens: int
    server: str


class Policy(t.Protocol):
    """A rule that chooses the engine of a prompt."""

    def choose(
        self, decision: Decision, sent: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return one of the engines, which `sent` counts the prompts of."""


@attrs.frozen
class LoggedPolicy:
    """What the entry hosts chose."""

    def choose(
        self, decision: Decision, sent: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return the logged engine."""
        return decision.server


@attrs.frozen
class RandomPolicy:
    """Any engine with the same probability."""

    generator: random.Random = attrs.field(factory=lambda: random.Random(1))

    def choose(
        self, decision: Decision, sent: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return an engine drawn at random."""
        return self.generator.choice(sorted(sent))


@attrs.frozen
class LeastSentPolicy:
    """The engine that got the fewest prompts so far."""

    def choose(
        self, decision: Decision, sent: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return the first of the engines with the fewest prompts."""
        return min(sorted(sent), key=sent.__getitem__)


@attrs.frozen
class SessionPolicy:
    """The engine that ranks first for the session."""

    def choose(
        self, decision: Decision, sent: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return the owner of the session."""
        return rendezvous.choose_owner(decision.session, sent)


POLICIES: t.Mapping[str, t.Callable[[], Policy]] = {
    "logged": LoggedPolicy,
    "random": RandomPolicy,
    "least sent": LeastSentPolicy,
    "session": SessionPolicy,
}


@attrs.frozen
class Outcome:
    """What became of the prompts under one policy.

    `balance` is the number of prompts of the busiest engine, as a multiple
    of the mean.
    """

    policy: str
    shared_tokens: int
    read_tokens: int
    balance: float

    def format(self) -> str:
        """Return a row of the report with a bar of the tokens read."""
        share = self.read_tokens / max(1, self.shared_tokens)
        bar = "#" * round(share * BAR_COLUMNS)
        return (
            f"{self.policy:<12}{self.read_tokens:>12}{share:>8.1%}"
            f"{self.balance:>8.2f}  {bar}"
        )


HEADER = f"{'policy':<12}{'read':>12}{'share':>8}{'balance':>8}"


class _Memory:
    """The sessions in an engine's memory; the least recently used yield."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._held: "collections.OrderedDict[str, int]" = (
            collections.OrderedDict()
        )

    def use(self, session: str, tokens: int) -> int:
        """Return the tokens that must be read, and keep the session."""
        found = min(tokens, self._held.pop(session, 0))
        self._held[session] = tokens
        while sum(self._held.values()) > self._capacity and self._held:
            self._held.popitem(last=False)
        return tokens - found


def read_decisions(texts: t.Iterable[str]) -> t.List[Decision]:
    """Return the prompts of logs that were sent, in the order of time."""
    lines = filter(None, map(timelines.parse_line, texts))
    decisions = [
        Decision(
            line.at,
            str(line.fields["session"]),
            int(line.fields["shared"]),
            str(line.fields["server"]),
        )
        for line in lines
        if line.event == SENT and line.fields.get("session")
    ]
    return sorted(decisions, key=lambda decision: decision.at)


def replay(
    decisions: t.Sequence[Decision], name: str, capacity: int
) -> Outcome:
    """Return what a policy of `POLICIES` makes of the prompts.

    `capacity` are the tokens of one engine's memory. All engines that the
    decisions name count as usable all the time.
    """
    policy = POLICIES[name]()
    sent = dict.fromkeys(sorted({d.server for d in decisions}), 0)
    memories = {server: _Memory(capacity) for server in sent}
    read = 0
    for decision in decisions:
        server = policy.choose(decision, sent)
        if server is None:
            continue
        sent[server] += 1
        read += memories[server].use(decision.session, decision.shared_tokens)
    mean = sum(sent.values()) / max(1, len(sent))
    return Outcome(
        name,
        sum(decision.shared_tokens for decision in decisions),
        read,
        max(sent.values(), default=0) / mean if mean else 0.0,
    )
