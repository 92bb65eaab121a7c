"""Invariants of single requests through entry hosts, for the soak test."""

import typing as t

import attrs

from standins import platform_engine

# Events that a complete stream has.
STREAM_EVENTS = 5
# Timeout that each request carries.
TIMEOUT_SECONDS = 2.0
# Time after which no request with a revoked key may be executed.
KEY_REVOCATION_SECONDS = 5.0
# Largest excess of the remaining time passed to a server over the timeout.
DEADLINE_SLACK_SECONDS = 0.5
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
    response ended without an error. `sent_at` is in monotonic seconds.
    """

    kind: str
    key: str
    sent_at: float
    status: t.Optional[int] = None
    complete: bool = False
    response_id: t.Optional[str] = None
    body: bytes = b""


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


def _matches_engine_response(request: SentRequest) -> bool:
    """Return whether a body is the server's, or a prefix if incomplete."""
    is_plain = request.kind in ("/safe/", "/unsafe/")
    expected_body = b"answer" if is_plain else _COMPLETE_STREAM
    return (
        request.body == expected_body
        if request.complete
        else expected_body.startswith(request.body)
    )
