"""Rate limits that apply to all entry hosts together."""

import collections
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold import rendezvous

# Length of the window in which requests to a cold server are counted, seconds.
# The servers count over 1 s; the rest covers the latency of the requests.
COLD_WINDOW_SECONDS = 1.1
# Largest number of entry hosts that send requests to the same cold server.
MAX_COLD_SENDERS = 3
# Share of the fleet's retry budget that is distributed to the hosts. The rest
# covers hosts that disagree on the number of hosts.
RETRY_BUDGET_SHARE = 0.75


@attrs.frozen
class RetryLimits:
    """Limits on the retries of all entry hosts together.

    Within `window_seconds`, the hosts may send `retries_per_request` retries
    for each request, and `extra_retries` more.
    """

    retries_per_request: float
    extra_retries: float
    window_seconds: float


@attrs.define
class _SlidingWindow:
    """Instants of the events in the last `seconds`."""

    seconds: float
    instants: t.Deque[float] = attrs.field(factory=collections.deque)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends at `now`."""
        while self.instants and self.instants[0] <= now - self.seconds:
            self.instants.popleft()
        return len(self.instants)


@attrs.define
class ColdThrottle:
    """Limits the requests that this host sends to cold servers.

    Only the few hosts that rank first for a cold server by rendezvous hashing
    send requests to it, each at an equal share of the rate that the server
    can take. While the lists of hosts differ between hosts, there may be more
    senders; servers tolerate half as many requests again.
    """

    host: str
    list_hosts: t.Callable[[], t.AbstractSet[str]]
    read_time: t.Callable[[], float] = clock.read_time
    _sent_requests: t.Dict[str, _SlidingWindow] = attrs.field(factory=dict)
    _ranked_senders: t.Dict[str, t.Tuple[t.Set[str], t.Sequence[str]]] = (
        attrs.field(factory=dict)
    )

    def allows_request(self, server_id: str, rate: float) -> bool:
        """Return whether a request may be sent to a cold server now.

        `rate` is the number of requests per second that the server can take
        from all hosts; 0 means that there is no limit.
        """
        if rate <= 0:
            return True
        hosts = self.list_hosts()
        if self.host not in hosts:
            return False
        senders = max(1, min(MAX_COLD_SENDERS, len(hosts), int(rate)))
        if self.host not in self._rank_senders(server_id, hosts)[:senders]:
            return False
        window = self._sent_requests.get(server_id)
        sent = window.count(self.read_time()) if window else 0
        return sent < int(rate / senders)

    def _rank_senders(
        self, server_id: str, hosts: t.Collection[str]
    ) -> t.Sequence[str]:
        """Return the hosts that rank first for a server.

        The ranking is cached until the list of hosts changes.
        """
        known = self._ranked_senders.get(server_id)
        if known is None or known[0] != hosts:
            ranked = rendezvous.rank_owners(server_id, hosts)[
                :MAX_COLD_SENDERS
            ]
            known = self._ranked_senders[server_id] = (set(hosts), ranked)
        return known[1]

    def record_request(self, server_id: str) -> None:
        """Record a request that is sent to a cold server."""
        window = self._sent_requests.setdefault(
            server_id, _SlidingWindow(COLD_WINDOW_SECONDS)
        )
        window.instants.append(self.read_time())

    def forget_server(self, server_id: str) -> None:
        """Drop the state of a server that was removed."""
        self._sent_requests.pop(server_id, None)
        self._ranked_senders.pop(server_id, None)


@attrs.define
class RetryThrottle:
    """Limits the retries of this host to its share of the fleet's budget.

    A host that does not know the other hosts yet gets no share of
    `RetryLimits.extra_retries`, only the retries for its own requests.
    """

    limits: RetryLimits
    list_hosts: t.Callable[[], t.Collection[str]]
    read_time: t.Callable[[], float] = clock.read_time
    _requests: t.Dict[str, _SlidingWindow] = attrs.field(factory=dict)
    _retries: t.Dict[str, _SlidingWindow] = attrs.field(factory=dict)

    def record_request(self, service: str) -> None:
        """Record the first attempt of a request to a service."""
        window = self._get_window(self._requests, service)
        now = self.read_time()
        window.count(now)
        window.instants.append(now)

    def allows_retry(self, service: str) -> bool:
        """Return whether the budget allows a retry now."""
        now = self.read_time()
        requests = self._get_window(self._requests, service).count(now)
        retries = self._get_window(self._retries, service).count(now)
        host_count = len(self.list_hosts())
        extra = self.limits.extra_retries / host_count if host_count else 0.0
        allowed = RETRY_BUDGET_SHARE * (
            self.limits.retries_per_request * requests + extra
        )
        return retries + 1 <= allowed

    def try_acquire_retry(self, service: str) -> bool:
        """Record a retry if the budget allows it; return whether it does."""
        if not self.allows_retry(service):
            return False
        retries = self._get_window(self._retries, service)
        retries.instants.append(self.read_time())
        return True

    def _get_window(
        self, windows: t.Dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _SlidingWindow(
                self.limits.window_seconds
            )
        return window
