"""Replay of logged placement decisions with other policies.

Only the context caches of the engines are modelled: whether a prompt finds
the context of its session cached at the engine that a policy chooses. Stores,
timing and free slots are left out, so the replay ranks policies by reuse and
balance and says nothing about latency.
"""

import collections
import random
import typing as t

import attrs

from sesamefold import rendezvous
from sesamefold import timelines

# Log event that names the engine to which a request was sent.
SENT_EVENT = "sent"
# Length of a bar that stands for all tokens.
BAR_COLUMNS = 40


@attrs.frozen
class PlacementDecision:
    """The engine to which a prompt was sent.

    `time` is in Unix seconds. `shared_tokens` are the tokens of the prompt
    that belong to its session's context, which other prompts may share.
    """

    time: float
    session: str
    shared_tokens: int
    server: str


class Policy(t.Protocol):
    """A rule that chooses the engine for a prompt."""

    def choose(
        self, decision: PlacementDecision, prompt_counts: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return one of the engines that are the keys of `prompt_counts`.

        The values count the prompts sent to each engine so far.
        """


@attrs.frozen
class LoggedPolicy:
    """Chooses the engine that the entry host chose."""

    def choose(
        self, decision: PlacementDecision, prompt_counts: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return the logged engine."""
        return decision.server


@attrs.frozen
class RandomPolicy:
    """Chooses each engine with the same probability."""

    generator: random.Random = attrs.field(factory=lambda: random.Random(1))

    def choose(
        self, decision: PlacementDecision, prompt_counts: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return a random engine."""
        return self.generator.choice(sorted(prompt_counts))


@attrs.frozen
class LeastSentPolicy:
    """Chooses the engine that got the fewest prompts so far."""

    def choose(
        self, decision: PlacementDecision, prompt_counts: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return the engine with the fewest prompts, the first by name."""
        return min(sorted(prompt_counts), key=prompt_counts.__getitem__)


@attrs.frozen
class SessionPolicy:
    """Chooses the same engine for all prompts of a session."""

    def choose(
        self, decision: PlacementDecision, prompt_counts: t.Mapping[str, int]
    ) -> t.Optional[str]:
        """Return the owner of the session by rendezvous hashing."""
        return rendezvous.choose_owner(decision.session, prompt_counts)


POLICIES: t.Mapping[str, t.Callable[[], Policy]] = {
    "logged": LoggedPolicy,
    "random": RandomPolicy,
    "least sent": LeastSentPolicy,
    "session": SessionPolicy,
}


@attrs.frozen
class Outcome:
    """Result of one policy.

    Of the `shared_tokens` of all prompts, `prefill_tokens` were not cached
    and had to be computed. `balance` is the number of prompts of the busiest
    engine, as a multiple of the mean.
    """

    policy: str
    shared_tokens: int
    prefill_tokens: int
    balance: float

    def format(self) -> str:
        """Return a row of the report, with a bar for the prefilled share."""
        share = self.prefill_tokens / max(1, self.shared_tokens)
        bar = "#" * round(share * BAR_COLUMNS)
        return (
            f"{self.policy:<12}{self.prefill_tokens:>12}{share:>8.1%}"
            f"{self.balance:>8.2f}  {bar}"
        )


REPORT_HEADER = f"{'policy':<12}{'prefill':>12}{'share':>8}{'balance':>8}"


class _ContextCache:
    """Least-recently-used cache of the sessions' contexts at one engine."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._cached_tokens: "collections.OrderedDict[str, int]" = (
            collections.OrderedDict()
        )

    def prefill(self, session: str, tokens: int) -> int:
        """Return the tokens that must be prefilled, and cache the session."""
        cached = min(tokens, self._cached_tokens.pop(session, 0))
        self._cached_tokens[session] = tokens
        while (
            sum(self._cached_tokens.values()) > self._capacity_tokens
            and self._cached_tokens
        ):
            self._cached_tokens.popitem(last=False)
        return tokens - cached


def read_decisions(raw_lines: t.Iterable[str]) -> t.List[PlacementDecision]:
    """Return the decisions that name a session, ordered by time."""
    lines = filter(None, map(timelines.parse_line, raw_lines))
    decisions = [
        PlacementDecision(
            line.time,
            str(line.fields["session"]),
            int(line.fields["shared"]),
            str(line.fields["server"]),
        )
        for line in lines
        if line.event == SENT_EVENT and line.fields.get("session")
    ]
    return sorted(decisions, key=lambda decision: decision.time)


def replay(
    decisions: t.Sequence[PlacementDecision],
    policy_name: str,
    capacity_tokens: int,
) -> Outcome:
    """Return the result of the policy `policy_name` of `POLICIES`.

    `capacity_tokens` is the size of one engine's cache. Every engine that is
    named in a decision counts as usable all the time.
    """
    policy = POLICIES[policy_name]()
    prompt_counts = dict.fromkeys(sorted({d.server for d in decisions}), 0)
    caches = {
        server: _ContextCache(capacity_tokens) for server in prompt_counts
    }
    total_prefill_tokens = 0
    for decision in decisions:
        server = policy.choose(decision, prompt_counts)
        if server is None:
            continue
        prompt_counts[server] += 1
        total_prefill_tokens += caches[server].prefill(
            decision.session, decision.shared_tokens
        )
    mean = sum(prompt_counts.values()) / max(1, len(prompt_counts))
    return Outcome(
        policy_name,
        sum(decision.shared_tokens for decision in decisions),
        total_prefill_tokens,
        max(prompt_counts.values(), default=0) / mean if mean else 0.0,
    )
