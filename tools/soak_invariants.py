"""Invariants of requests through entry hosts, for the soak test."""

import collections
import itertools
import typing as t

import attrs

from standins import platform_engine

# Events that a complete stream has.
STREAM_EVENTS = 10
# Timeout that each request carries.
TIMEOUT_SECONDS = 2.0
# Time after which no request with a revoked key may be executed.
KEY_REVOCATION_SECONDS = 5.0
# Bound on the use of replaced weights in the settings of the hosts.
WEIGHTS_LIFETIME_SECONDS = 1.5
# Time after the naming of newer weights from which no request may begin on
# older ones. A host that cannot read the newer version refuses all requests
# with a key once it could not confirm the key.
WEIGHTS_EXPIRY_SECONDS = WEIGHTS_LIFETIME_SECONDS + KEY_REVOCATION_SECONDS
# Largest excess of the remaining time passed to a server over the timeout.
DEADLINE_SLACK_SECONDS = 0.5
# Time after a host has passed on a server's announcement that it leaves from
# which no request may be sent to the server.
LEAVING_SECONDS = 2.5
# Time after a server has asked a host for a rest within which requests that
# are on their way may arrive, and the most that may arrive later in the rest.
IN_FLIGHT_SECONDS = 0.5
MAX_RESTING_ARRIVALS = 2
# Part of prompts that crashes each server which begins to answer it. Crashes
# by it after which, and time after the last of these from which, few requests
# with it may reach servers, and how many.
DEADLY_PART = "dead"
DEADLY_CRASHES = 5
CONTACT_SECONDS = 4.0
MAX_DEADLY_ARRIVALS = 3
# Tolerance of the caller's measurement of a request's end.
DEADLINE_TOLERANCE_SECONDS = 0.1
# Faults that leave a server's response whole.
SOUND_FAULTS = ("", "late", "unframed")
# Statuses of responses that only a server can have made.
SERVER_STATUSES = (200, 500)
# Statuses that guarantee that a request was not and will not be executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Kinds of requests that may be executed once at most.
NON_REPEATABLE_KINDS = ("/unsafe/", "/stream/")
# All kinds of requests.
REQUEST_KINDS = ("/safe/", "/resumable/", *NON_REPEATABLE_KINDS)
_COMPLETE_STREAM = b"".join(
    f"id: {number}\ndata: x\n\n".encode()
    for number in range(1, STREAM_EVENTS + 1)
)


@attrs.define
class SentRequest:
    """A request that a caller sent, and the response so far.

    `status` is None until a response begins; `complete` says whether the
    response ended without an error. The caller had the response, or
    gave up, at `ended_at`. `taken` is false if the host accepted no
    connection. Instants are in monotonic seconds.
    """

    kind: str
    key: str
    sent_at: float
    host: str = ""
    ended_at: float = float("inf")
    status: t.Optional[int] = None
    complete: bool = False
    response_id: t.Optional[str] = None
    body: bytes = b""
    taken: bool = True

    def is_from_server(self) -> bool:
        """Return whether the response is a complete one of a server."""
        return self.complete and self.status in SERVER_STATUSES


@attrs.frozen
class Disruption:
    """A pause or restart of a host, or a cut of its connections.

    Both instants are in monotonic seconds.
    """

    began_at: float
    ended_at: float


@attrs.frozen
class Attempt:
    """A run of a request, with the troubles of its server and the link.

    `crash_times` are in monotonic seconds. No byte left the server during
    `silences`.
    """

    run: platform_engine.Run
    crash_times: t.Sequence[float]
    link_disruptions: t.Sequence[Disruption]
    silences: t.Sequence[Disruption] = ()

    def is_sound(self, until: float) -> bool:
        """Return whether the server and the link were sound until an instant.

        A silent server is.
        """
        return (
            self.run.fault in SOUND_FAULTS
            and not any(
                self.run.began_at <= at <= until for at in self.crash_times
            )
            and not _is_disrupted(
                self.link_disruptions, self.run.began_at, until
            )
        )

    def is_replaced(self, attempts: t.Iterable["Attempt"]) -> bool:
        """Return whether the host left a silent server for another one.

        A host tries another server in a silence and closes the connection to
        the one that is behind.
        """
        return any(
            silence.began_at
            <= other.run.began_at
            <= min(silence.ended_at, self.run.abandoned_at)
            for other in attempts
            if other is not self and self.run.abandoned_at < float("inf")
            for silence in self.silences
        )


def find_violations(
    request: SentRequest,
    runs: t.Sequence[platform_engine.Run],
    key_revoked: bool,
) -> t.Iterator[str]:
    """Yield a description of each invariant that a request violates.

    `runs` are its executions on all servers; `key_revoked` says whether its
    key had been revoked for more than `KEY_REVOCATION_SECONDS` when it was
    sent.
    """
    if request.kind in NON_REPEATABLE_KINDS:
        if len(runs) > 1:
            yield f"was executed {len(runs)} times"
        if runs and request.status in NOT_EXECUTED_STATUSES:
            yield f"was executed and got status {request.status}"
    if runs and key_revoked:
        yield "was executed with a revoked key"
    for run in runs:
        remaining = float(run.headers["Sesamefold-Deadline-Ms"]) / 1000
        if remaining > TIMEOUT_SECONDS + DEADLINE_SLACK_SECONDS:
            yield f"reached a server with {remaining} s left"
        expected_request = ("POST", f"{request.kind}x", b"body")
        if (run.method, run.target, run.body) != expected_request:
            yield "was altered before it reached a server"
    if request.status == 200 and not _matches_engine_response(request):
        yield f"got {request.body!r}, complete: {request.complete}"


def find_lost_response(
    request: SentRequest,
    attempts: t.Sequence[Attempt],
    host_disruptions: t.Sequence[Disruption],
) -> t.Iterator[str]:
    """Yield how the response to a request that was taken got lost.

    A host that is neither paused nor killed, which are its disruptions,
    answers or refuses each request. A stream is not cut before its deadline
    while a server that runs it is sound, unless the host replaced the server
    in a silence.
    """
    if not request.taken or _is_disrupted(
        host_disruptions, request.sent_at, request.ended_at
    ):
        return
    seconds = request.ended_at - request.sent_at
    if request.status is None:
        yield f"got neither an answer nor a refusal within {seconds:.2f} s"
    elif (
        request.status == 200
        and not request.complete
        and seconds < TIMEOUT_SECONDS - DEADLINE_TOLERANCE_SECONDS
        and any(
            attempt.is_sound(request.ended_at)
            and not attempt.is_replaced(attempts)
            for attempt in attempts
        )
    ):
        yield f"was cut after {seconds:.2f} s although its server was sound"


def _matches_engine_response(request: SentRequest) -> bool:
    """Return whether a body is the server's, or a prefix if incomplete."""
    is_plain = request.kind in ("/safe/", "/unsafe/")
    expected_body = b"answer" if is_plain else _COMPLETE_STREAM
    return (
        request.body == expected_body
        if request.complete
        else expected_body.startswith(request.body)
    )


def find_notice_violations(
    arrivals: t.Sequence[platform_engine.Arrival],
    requests: t.Mapping[str, SentRequest],
    disruptions: t.Mapping[str, t.Sequence[Disruption]],
) -> t.Iterator[str]:
    """Yield a description of each notice of a server that a host ignored.

    `arrivals` are those at all servers, whose ids are unique. `disruptions`
    maps the names of hosts to their disruptions, and the ids of servers to
    those of the connections to them. Unknown requests are skipped.
    """
    attempts = collections.Counter(a.request_id for a in arrivals)
    by_pair: t.Dict[t.Tuple[str, str], t.List[platform_engine.Arrival]] = (
        collections.defaultdict(list)
    )
    for arrival in arrivals:
        if arrival.request_id in requests:
            host = requests[arrival.request_id].host
            by_pair[host, arrival.server_id].append(arrival)
    for (host, server_id), pair_arrivals in by_pair.items():
        pair_disruptions = [
            *disruptions.get(host, ()),
            *disruptions.get(server_id, ()),
        ]
        # After several attempts, the response may be that of another server.
        notices = [
            requests[arrival.request_id].ended_at
            for arrival in pair_arrivals
            if arrival.leaving
            and attempts[arrival.request_id] == 1
            and requests[arrival.request_id].is_from_server()
        ]
        for violation in itertools.chain(
            _find_late_arrivals(
                pair_arrivals, requests, notices, pair_disruptions
            ),
            _find_excess_arrivals(pair_arrivals, pair_disruptions),
        ):
            yield f"{host} and {server_id}: {violation}"


def _find_late_arrivals(
    arrivals: t.Sequence[platform_engine.Arrival],
    requests: t.Mapping[str, SentRequest],
    notices: t.Sequence[float],
    disruptions: t.Sequence[Disruption],
) -> t.Iterator[str]:
    """Yield the requests that were sent too late to a server that leaves.

    `notices` are the times at which callers had the announcements.
    """
    for arrival in arrivals:
        sent_at = requests[arrival.request_id].sent_at
        if any(
            sent_at > noticed_at + LEAVING_SECONDS
            and not _is_disrupted(disruptions, noticed_at, arrival.at)
            for noticed_at in notices
        ):
            yield f"{arrival.request_id} was sent to a server that leaves"


def _find_excess_arrivals(
    arrivals: t.Sequence[platform_engine.Arrival],
    disruptions: t.Sequence[Disruption],
) -> t.Iterator[str]:
    """Yield the rests in which too many requests arrived."""
    for refused in arrivals:
        if refused.retry_after is None:
            continue
        end = refused.at + float(refused.retry_after)
        late = [
            arrival.request_id
            for arrival in arrivals
            if refused.at + IN_FLIGHT_SECONDS < arrival.at < end
            and not _is_disrupted(disruptions, refused.at, arrival.at)
        ]
        if len(late) > MAX_RESTING_ARRIVALS:
            yield f"{late} arrived in the rest after {refused.request_id}"


def _is_disrupted(
    disruptions: t.Sequence[Disruption], start: float, end: float
) -> bool:
    """Return whether a disruption overlaps the time between two instants."""
    return any(d.began_at <= end and d.ended_at >= start for d in disruptions)


def find_order_violations(
    orders: t.Sequence[t.Mapping[str, t.Any]],
) -> t.Iterator[str]:
    """Yield the violations in the orders that one server accepted.

    Fencing tokens never fall, and one token belongs to one holder.
    """
    for before, after in itertools.pairwise(orders):
        if after["fence_token"] < before["fence_token"]:
            yield (
                f"an order of {after['holder']} has a lower fencing token"
                f" than one of {before['holder']} before"
            )
    holders: t.Dict[int, t.Set[str]] = collections.defaultdict(set)
    for order in orders:
        holders[order["fence_token"]].add(order["holder"])
    for token, names in holders.items():
        if len(names) > 1:
            yield f"{sorted(names)} sent orders with the token {token}"


def find_expired_weights(
    runs: t.Iterable[platform_engine.Run],
    superseded_at: t.Mapping[int, float],
) -> t.Iterator[str]:
    """Yield a description of each run that began on expired weights.

    `superseded_at` maps each version that was replaced to the time at which
    the next one was named, in monotonic seconds.
    """
    for run in runs:
        if run.weight_version is None:
            continue
        age = run.began_at - superseded_at.get(
            run.weight_version, float("inf")
        )
        if age > WEIGHTS_EXPIRY_SECONDS:
            yield (
                f"{run.request_id} began on version {run.weight_version}, "
                f"{age:.1f} s after the next one was named"
            )


def find_excess_crashes(
    runs: t.Iterable[platform_engine.Run],
    requests: t.Mapping[str, SentRequest],
    disruptions: t.Mapping[str, t.Sequence[Disruption]],
) -> t.Iterator[str]:
    """Yield a description of too many runs with the deadly part.

    Runs that hosts sent which were paused or restarted in `CONTACT_SECONDS`
    before do not count; `disruptions` are those of the hosts.
    """
    deadly = sorted(
        (
            run
            for run in runs
            if DEADLY_PART in run.headers.get("Sesamefold-Prompt-Prefix", "")
        ),
        key=lambda run: run.began_at,
    )
    if len(deadly) < DEADLY_CRASHES:
        return
    since = deadly[DEADLY_CRASHES - 1].began_at + CONTACT_SECONDS
    late = [
        run.request_id
        for run in deadly
        if run.began_at > since
        and not _is_disrupted(
            disruptions.get(requests[run.request_id].host, ()),
            run.began_at - CONTACT_SECONDS,
            run.began_at,
        )
    ]
    if len(late) > MAX_DEADLY_ARRIVALS:
        yield f"{late} reached servers with a part that crashes them"
