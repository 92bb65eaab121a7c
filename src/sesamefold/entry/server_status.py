"""What this host has learnt of each backend server, and for how long it holds.

Servers report themselves to the platform's store every second or two. Between
reports, and while the store is away, the answers of a server and failures to
reach it are the only signs of the load that it bears.

It answers these patterns of load:

- A server is emptied under load, for planned maintenance or for fewer servers
  at night. Requests that still go to it are lost when it ends, so it gets no
  more as soon as an answer says so, and the others take its share.
- A service is full, and its servers ask for a rest. Retries would keep them
  busy with refusals, and all callers that waited would come back at the same
  moment. So a server that asks for it gets nothing until its rest ends, the
  callers are told different times to come back, and the first requests after
  the rest go to it in steps.
"""

import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import topology

# Time without requests for a server that could not be reached, seconds, unless
# it reports itself earlier. A server whose reports are missing for three
# intervals of about 1.2 s is removed anyway.
SUSPICION_SECONDS = 4.0
# Time without requests for a server whose address another server has taken,
# seconds, unless it reports itself anew. Its entry may outlast it for several
# outages of the store, and each host would try it once in each of them.
REPLACED_SECONDS = 60.0
# Age above which a load reported by a server is ignored, seconds. An engine
# takes about a second for a request.
REPORTED_LOAD_EXPIRY_SECONDS = 1.0
# Age above which the slowdown that a server reported is ignored, seconds. Its
# machine is shared with others, and the figure changes many times a second.
SLOWDOWN_EXPIRY_SECONDS = 0.5
# Largest slowdown that is believed: beyond it, a server gets next to nothing.
MAX_SLOWDOWN = 10.0
# Time without requests for a server that refused one, seconds. Engines refuse
# requests while they load weights, which takes about a second.
REFUSAL_BACKOFF_SECONDS = 0.4
# Time without requests for an engine that was ordered to load weights,
# seconds, unless it is known to have loaded them. Loading takes about a
# second.
LOADING_BACKOFF_SECONDS = 1.2
# Weight of the latest outcome in the moving average of a server's failures.
FAILURE_WEIGHT = 0.2
# Failure rate above which a server gets requests only if no other server can
# take them.
FAILURE_RATE_LIMIT = 0.25
# Time after its last failure from which a server with a high failure rate is
# tried again, seconds.
FAILURE_RETRY_SECONDS = 1.5

# Time before the latest instant of requests to a leaving server from which it
# gets none, seconds. It covers the latency of the request and differences
# between the clocks.
LEAVING_MARGIN_SECONDS = 0.3
# Time for which another host's notice that a server leaves is believed,
# seconds. By then the server has ended or has told this host itself.
PEER_NOTICE_SECONDS = 15.0
# Longest rest of a server, seconds. Longer ones that servers ask for are cut:
# the time may be wrong, and the first request afterwards shows whether the
# server still asks for it.
MAX_REST_SECONDS = 30.0
# Time after a rest in which the number of requests is limited, and the time in
# which the limit doubles, seconds. It is 1 at the end of the rest.
RAMP_SECONDS = 1.0
RAMP_DOUBLING_SECONDS = 0.25
# Number of removed servers whose notices are remembered.
REMEMBERED_SERVERS = 1000

_NEVER = float("-inf")
_ALWAYS = float("inf")


@attrs.frozen
class LeavingNotice:
    """Notice that a server is about to end.

    `learnt_at` is when this host learnt of it. Until `expires_at`, the server
    gets requests only if no other server can take them, and from `closes_at`
    none. The notice of another host, `host`, only lowers the server's rank:
    its `closes_at` is infinite, so that a wrong message cannot shut out all
    servers.
    """

    learnt_at: float
    expires_at: float
    closes_at: float
    host: t.Optional[str] = None


@attrs.define
class Rest:
    """A time without requests that a server has asked for.

    `learnt_at` is when it asked and `until` when the rest ends.
    `requests_since` counts the requests sent since then, of which only a few
    are allowed until `RAMP_SECONDS` after the rest.
    """

    learnt_at: float
    until: float
    requests_since: int = 0

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent to the server at `now`."""
        seconds = now - self.until
        if seconds < 0:
            return False
        return seconds >= RAMP_SECONDS or self.requests_since < int(
            2 ** (seconds / RAMP_DOUBLING_SECONDS)
        )


@attrs.define
class ServerStatus:
    """What this host has learnt of one incarnation of a server.

    `started_at` identifies the incarnation as in `topology.Server`. All other
    instants are in seconds of `clock.read_time`. No request is sent before
    `backoff_until` and `suspected_until`. `suspected_sequence` is that of the
    server's latest report when the server became suspected. Until
    `replaced_until`, other servers are preferred because another host says
    that the address of this one belongs to another server.
    `versions_before_refusal` has, by model, the weight version that was known
    before a refusal made another one seem likely, until one is reported.
    """

    started_at: int
    reported_load: t.Optional[requests.ReportedLoad] = None
    load_expires_at: float = _NEVER
    slowdown_expires_at: float = _NEVER
    backoff_until: float = _NEVER
    suspected_until: float = _NEVER
    suspected_sequence: int = 0
    replaced_until: float = _NEVER
    versions_before_refusal: t.Dict[str, int] = attrs.field(factory=dict)
    last_activity_at: float = _NEVER
    failure_rate: float = 0.0
    avoided_until: float = _NEVER
    leaving: t.Optional[LeavingNotice] = None
    rest: t.Optional[Rest] = None

    def is_available(self, now: float) -> bool:
        """Return whether requests may be sent to the server at `now`."""
        return (
            now >= self.suspected_until
            and now >= self.backoff_until
            and self.may_serve(now)
            and (self.rest is None or self.rest.allows_request(now))
        )

    def is_resting(self, now: float) -> bool:
        """Return whether the server has asked for no requests at `now`."""
        return self.rest is not None and now < self.rest.until

    def is_leaving(self, now: float) -> bool:
        """Return whether the server is believed to be about to end."""
        return self.leaving is not None and now < self.leaving.expires_at

    def may_serve(self, now: float) -> bool:
        """Return whether the server may get requests before it ends."""
        return self.leaving is None or now < self.leaving.closes_at

    def is_failing(self, now: float) -> bool:
        """Return whether other servers should be preferred at `now`."""
        return now < self.replaced_until or (
            self.failure_rate > FAILURE_RATE_LIMIT and now < self.avoided_until
        )

    def find_slowdown(self, now: float) -> t.Optional[float]:
        """Return the slowdown that the server reported, None if it is old."""
        load = self.reported_load
        if load is None or load.slowdown is None:
            return None
        if now > self.slowdown_expires_at:
            return None
        return min(load.slowdown, MAX_SLOWDOWN)

    def count_reported_requests(self, now: float) -> int:
        """Return the running and queued requests that the server reported.

        0 if it has reported no load or if its report has expired.
        """
        if self.reported_load is None or now > self.load_expires_at:
            return 0
        return self.reported_load.running + self.reported_load.queued


@attrs.define
class ServerStatuses:
    """Status of each server in its current incarnation.

    What was learnt of an earlier incarnation says nothing of a later one: a
    server that restarts under the same id begins with an empty status, and an
    answer that an earlier incarnation gave does not change it. A removed
    server's notice that it leaves, and its rest, are remembered, because an
    entry that lapsed may come back.

    A server that has said that it leaves gets no requests from
    `leaving_seconds` after it, less `LEAVING_MARGIN_SECONDS`. The callbacks
    in `on_leaving` are called with a server whose first such answer arrives,
    those in `on_rest` with one that asks for a rest, and those in
    `on_replaced` with one whose address this host found to be another's.
    `sharing_services` has the services whose servers say how long work takes,
    because they share their machines with others.

        statuses.suspect(server, "connection refused")
        if statuses.get(server).is_available(now):
            ...
    """

    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    leaving_seconds: float = 0.0
    on_leaving: t.List[t.Callable[[topology.Server], None]] = attrs.field(
        factory=list
    )
    on_rest: t.List[t.Callable[[topology.Server], None]] = attrs.field(
        factory=list
    )
    on_replaced: t.List[t.Callable[[topology.Server], None]] = attrs.field(
        factory=list
    )
    sharing_services: t.Set[str] = attrs.field(factory=set)
    _statuses: t.Dict[str, ServerStatus] = attrs.field(factory=dict)
    _removed: t.Dict[str, ServerStatus] = attrs.field(factory=dict)

    def get(self, server: topology.Server) -> ServerStatus:
        """Return the status of a server's incarnation.

        That of an incarnation before the latest known one is empty, and
        changes to it are lost.
        """
        status = self._statuses.get(server.id)
        if status is not None and status.started_at == server.started_at:
            return status
        if status is not None and status.started_at > server.started_at:
            return ServerStatus(server.started_at)
        removed = self._removed.get(server.id)
        if removed is not None and removed.started_at > server.started_at:
            return ServerStatus(server.started_at)
        self._removed.pop(server.id, None)
        if removed is None or removed.started_at < server.started_at:
            removed = ServerStatus(server.started_at)
        self._statuses[server.id] = removed
        return removed

    def is_leaving(self, server: topology.Server) -> bool:
        """Return whether a server is believed to be about to end."""
        return self.get(server).is_leaving(self.read_time())

    def record_leaving(self, server: topology.Server, request_id: str) -> None:
        """Record that a server's answer to a request says that it leaves.

        Later answers do not extend the time in which it may get requests.
        """
        status = self.get(server)
        if status.leaving is not None and status.leaving.host is None:
            return
        if not self._is_latest(status, server):
            return
        now = self.read_time()
        status.leaving = LeavingNotice(
            now,
            _ALWAYS,
            now + max(0.0, self.leaving_seconds - LEAVING_MARGIN_SECONDS),
        )
        self._log_leaving(server, status.leaving, request=request_id)
        for listener in self.on_leaving:
            listener(server)

    def record_peer_notice(self, server: topology.Server, host: str) -> None:
        """Record that another host was told that a server leaves."""
        status = self.get(server)
        now = self.read_time()
        if status.is_leaving(now) or not self._is_latest(status, server):
            return
        status.leaving = LeavingNotice(
            now, now + PEER_NOTICE_SECONDS, _ALWAYS, host
        )
        self._log_leaving(server, status.leaving, source=host)

    def record_rest(
        self, server: topology.Server, seconds: float, request_id: str
    ) -> None:
        """Record that a server asks for no requests for some seconds.

        At most `MAX_REST_SECONDS` count. A shorter rest does not end a longer
        one that the server has asked for.
        """
        status = self.get(server)
        now = self.read_time()
        until = now + min(seconds, MAX_REST_SECONDS)
        if until <= now or (
            status.rest is not None and until <= status.rest.until
        ):
            return
        if not self._is_latest(status, server):
            return
        status.rest = Rest(now, until)
        self.log.write(
            "server_resting",
            server=server.id,
            request=request_id,
            seconds=round(until - now, 3),
            requested=seconds if seconds > MAX_REST_SECONDS else None,
        )
        for listener in self.on_rest:
            listener(server)

    def record_request(self, server: topology.Server) -> None:
        """Record a request about to be sent to a server."""
        status = self.get(server)
        if status.rest is not None:
            status.rest.requests_since += 1

    def _is_latest(
        self, status: ServerStatus, server: topology.Server
    ) -> bool:
        """Return whether a status is that of the latest incarnation."""
        return self._statuses.get(server.id) is status

    def _log_leaving(
        self, server: topology.Server, notice: LeavingNotice, **source: str
    ) -> None:
        until = min(notice.closes_at, notice.expires_at)
        self.log.write(
            "server_leaving",
            server=server.id,
            started_at=server.started_at,
            seconds=round(until - notice.learnt_at, 2),
            **source,
        )

    def record_load(
        self, server: topology.Server, load: requests.ReportedLoad
    ) -> None:
        """Record the load that a server reports in an answer."""
        status = self.get(server)
        now = self.read_time()
        status.reported_load = load
        status.load_expires_at = now + REPORTED_LOAD_EXPIRY_SECONDS
        status.slowdown_expires_at = now + SLOWDOWN_EXPIRY_SECONDS
        if load.slowdown is not None:
            self.sharing_services.add(server.service)

    def record_refusal(self, server: topology.Server) -> None:
        """Pause requests to a server that refused one.

        The pause lasts `REFUSAL_BACKOFF_SECONDS`.
        """
        until = self.read_time() + REFUSAL_BACKOFF_SECONDS
        self.get(server).backoff_until = until

    def record_loading(self, server: topology.Server) -> None:
        """Pause requests to an engine that loads weights.

        The pause lasts `LOADING_BACKOFF_SECONDS`.
        """
        until = self.read_time() + LOADING_BACKOFF_SECONDS
        self.get(server).backoff_until = until

    def record_loaded(self, server: topology.Server) -> None:
        """End the pause of an engine that has loaded weights."""
        status = self.get(server)
        status.backoff_until = _NEVER
        status.versions_before_refusal.clear()

    def record_outcome(self, server: topology.Server, failed: bool) -> None:
        """Update a server's failure rate with the outcome of a request."""
        status = self.get(server)
        status.failure_rate += FAILURE_WEIGHT * (failed - status.failure_rate)
        if failed:
            status.avoided_until = self.read_time() + FAILURE_RETRY_SECONDS

    def record_crash(self, server: topology.Server) -> None:
        """Prefer other servers to one that is said to have crashed.

        It may still get requests, because the message may be wrong.
        """
        status = self.get(server)
        status.failure_rate = 1.0
        status.avoided_until = self.read_time() + SUSPICION_SECONDS

    def record_activity(self, server: topology.Server) -> None:
        """Record that a server has just sent data."""
        self.get(server).last_activity_at = self.read_time()

    def measure_silence(self, server: topology.Server) -> float:
        """Return the seconds since a server last sent data, `inf` if never.

        Data of every request that this host has at the server counts.
        """
        return self.read_time() - self.get(server).last_activity_at

    def suspect(self, server: topology.Server, reason: str) -> None:
        """Pause requests to a server until it reports itself again.

        `server` is the latest report known of the incarnation. The pause ends
        after `SUSPICION_SECONDS` in any case.
        """
        status = self.get(server)
        status.suspected_until = self.read_time() + SUSPICION_SECONDS
        status.suspected_sequence = server.sequence
        self.log.write("server_suspected", server=server.id, reason=reason)

    def record_replaced(self, server: topology.Server, reason: str) -> None:
        """Send no request to a server whose address another one has taken.

        `server` is the latest report known of the incarnation. A later report
        of it ends this, and `REPLACED_SECONDS` do in any case.
        """
        status = self.get(server)
        known = status.suspected_until - self.read_time() > SUSPICION_SECONDS
        self.suspect(server, reason)
        status.suspected_until = self.read_time() + REPLACED_SECONDS
        if known or not self._is_latest(status, server):
            return
        for listener in self.on_replaced:
            listener(server)

    def record_replaced_notice(
        self, server: topology.Server, host: str
    ) -> None:
        """Record that another host found a server's address to be another's.

        The message may be wrong, so that the server still gets requests that
        no other one can take.
        """
        status = self.get(server)
        if not self._is_latest(status, server):
            return
        status.suspected_sequence = max(
            status.suspected_sequence, server.sequence
        )
        status.replaced_until = self.read_time() + REPLACED_SECONDS
        self.log.write("server_replaced", server=server.id, source=host)

    def record_report(self, server: topology.Server) -> None:
        """Drop what a newer report of a server replaces."""
        known = self._statuses.get(server.id)
        if known is None:
            return
        known.versions_before_refusal.clear()
        if known.suspected_until == known.replaced_until == _NEVER:
            return
        if (server.started_at, server.sequence) > (
            known.started_at,
            known.suspected_sequence,
        ):
            status = self.get(server)
            status.suspected_until = status.replaced_until = _NEVER
            self.log.write("server_trusted", server=server.id)

    def forget_server(self, server_id: str) -> None:
        """Drop the status of a server that was removed.

        Its own notice that it leaves and its rest are kept if its entry names
        the incarnation.
        """
        status = self._statuses.pop(server_id, None)
        if status is None or not status.started_at:
            return
        leaving = status.leaving
        if leaving is not None and leaving.host is not None:
            leaving = None
        if leaving is not None or status.is_resting(self.read_time()):
            self._removed.pop(server_id, None)
            self._removed[server_id] = ServerStatus(
                status.started_at, leaving=leaving, rest=status.rest
            )
            if len(self._removed) > REMEMBERED_SERVERS:
                self._removed.pop(next(iter(self._removed)))

    def clear(self) -> None:
        """Drop the status of all servers."""
        self._statuses.clear()
        self._removed.clear()
