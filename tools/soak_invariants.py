"""What entry hosts promise for one request, checked by the soak."""

import typing as t

import attrs

from standins import platform_engine

# Events of a stream.
EVENTS = 5
# Time that callers wait, and the bound on withdrawn keys, seconds.
WAIT = 2.0
REVOKE_SECONDS = 5.0
# Largest time by which a server is handed more than is left, seconds.
DEADLINE_SLACK = 0.5
# Statuses that promise that a request did not run and never will.
PROMISES = (408, 421, 429, 503)
# Kinds of requests that may run once only, and all.
ONCE_KINDS = ("/unsafe/", "/stream/")
KINDS = ("/safe/", "/resumable/", *ONCE_KINDS)
_WHOLE_STREAM = b"".join(
    f"id: {number}\ndata: x\n\n".encode() for number in range(1, EVENTS + 1)
)


@attrs.define
class Sent:
    """A caller's request and what became of it.

    `status` is None while nothing was answered; `whole` tells that the answer
    ended as complete.
    """

    kind: str
    key: str
    at: float
    status: t.Optional[int] = None
    whole: bool = False
    answered_id: t.Optional[str] = None
    body: bytes = b""


def find_broken(
    sent: Sent, runs: t.Sequence[platform_engine.Run], withdrawn: bool
) -> t.Iterator[str]:
    """Yield the promises that were broken for one request.

    `runs` are those of the servers; `withdrawn` tells that its key was taken
    away longer ago than the bound when it was sent.
    """
    if sent.kind in ONCE_KINDS:
        if len(runs) > 1:
            yield f"ran {len(runs)} times"
        if runs and sent.status in PROMISES:
            yield f"ran and was answered {sent.status}"
    if runs and withdrawn:
        yield "ran with a withdrawn key"
    for run in runs:
        left = float(run.headers["Sesamefold-Deadline-Ms"]) / 1000
        if left > WAIT + DEADLINE_SLACK:
            yield f"was handed {left} s"
        sent_as = ("POST", f"{sent.kind}x", b"body")
        if (run.method, run.target, run.body) != sent_as:
            yield "was changed on its way"
    if sent.status == 200 and not _is_genuine(sent):
        yield f"got {sent.body!r}, whole: {sent.whole}"


def _is_genuine(sent: Sent) -> bool:
    """Tell whether an answer is the server's own, as far as it goes."""
    plain = sent.kind in ("/safe/", "/unsafe/")
    whole = b"answer" if plain else _WHOLE_STREAM
    return sent.body == whole if sent.whole else whole.startswith(sent.body)
