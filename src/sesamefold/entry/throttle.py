"""Rates that all entry hosts together must keep."""

import collections
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold import rendezvous

# Length of the window in which requests to a cold server are counted,
# seconds; the servers' own window is 1 s, the rest covers their travel time.
COLD_WINDOW = 1.1
# Entry hosts that may send to one cold server at the same time.
COLD_SENDERS = 3
# Share of the retries allowed to the fleet that is given out; the rest covers
# hosts that disagree on their number.
BUDGET_SHARE = 0.75


@attrs.frozen
class RetryLimits:
    """The retries of the fleet: `ratio` x requests + `extra` in `window` s."""

    retries_per_request: float
    extra_retries: float
    window_seconds: float


@attrs.define
class _Window:
    """Instants of the events of the last seconds."""

    seconds: float
    instants: t.Deque[float] = attrs.field(factory=collections.deque)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends at `now`."""
        while self.instants and self.instants[0] <= now - self.seconds:
            self.instants.popleft()
        return len(self.instants)


@attrs.define
class ColdThrottle:
    """Requests that this host sends to cold servers.

    A cold server takes requests from the few hosts that rank first for it,
    and each of them has an equal share of what the server bears. Hosts that
    disagree on the members for a moment add senders; what a server bears
    has room for half as many again.
    """

    host: str
    members: t.Callable[[], t.AbstractSet[str]]
    read_time: t.Callable[[], float] = clock.read_time
    _sent: t.Dict[str, _Window] = attrs.field(factory=dict)
    _ranks: t.Dict[str, t.Tuple[t.Set[str], t.Sequence[str]]] = attrs.field(
        factory=dict
    )

    def has_room(self, server: str, rate: float) -> bool:
        """Tell whether a request may be sent to a cold server now."""
        if rate <= 0:
            return True
        members = self.members()
        if self.host not in members:
            return False
        senders = max(1, min(COLD_SENDERS, len(members), int(rate)))
        if self.host not in self._rank(server, members)[:senders]:
            return False
        window = self._sent.get(server)
        sent = window.count(self.read_time()) if window else 0
        return sent < int(rate / senders)

    def _rank(
        self, server: str, members: t.Collection[str]
    ) -> t.Sequence[str]:
        """Return the first hosts for a server; kept while they are alike."""
        known = self._ranks.get(server)
        if known is None or known[0] != members:
            ranked = rendezvous.rank_owners(server, members)[:COLD_SENDERS]
            known = self._ranks[server] = (set(members), ranked)
        return known[1]

    def record(self, server: str) -> None:
        """Count a request that is sent to a cold server."""
        window = self._sent.setdefault(server, _Window(COLD_WINDOW))
        window.instants.append(self.read_time())

    def forget(self, server: str) -> None:
        """Drop what is kept of a server that is gone."""
        self._sent.pop(server, None)
        self._ranks.pop(server, None)


@attrs.define
class RetryThrottle:
    """Retries that this host may send, as a share of the fleet's budget.

    A host that does not know the members yet has the part for its own
    requests only.
    """

    limits: RetryLimits
    members: t.Callable[[], t.Collection[str]]
    read_time: t.Callable[[], float] = clock.read_time
    _requests: t.Dict[str, _Window] = attrs.field(factory=dict)
    _retries: t.Dict[str, _Window] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Count the first sending of a request to a service."""
        window = self._find(self._requests, service)
        now = self.read_time()
        window.count(now)
        window.instants.append(now)

    def allows_retry(self, service: str) -> bool:
        """Tell whether the budget allows a retry now."""
        now = self.read_time()
        requests = self._find(self._requests, service).count(now)
        retries = self._find(self._retries, service).count(now)
        members = len(self.members())
        extra = self.limits.extra_retries / members if members else 0.0
        allowed = BUDGET_SHARE * (
            self.limits.retries_per_request * requests + extra
        )
        return retries + 1 <= allowed

    def try_acquire_retry(self, service: str) -> bool:
        """Count a retry if the budget allows it."""
        if not self.allows_retry(service):
            return False
        retries = self._find(self._retries, service)
        retries.instants.append(self.read_time())
        return True

    def _find(self, windows: t.Dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self.limits.window_seconds)
        return window
