"""Quarantine of requests that crash backend servers."""

import asyncio
import time
import typing as t

import attrs

from sesamefold import blocks
from sesamefold import culprits as culprits_module
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import suspicions
from sesamefold.wire import control_pb2

# Customer and SHA-256 digest of the request body.
Identity = t.Tuple[str, bytes]
# Crashes from which a request and its repetitions are refused. A suspect runs
# without other requests on its server, so that the second one has one cause.
REQUEST_CRASHES = 2
# The types that gateways and controls exchange.
MESSAGE_TYPES = suspicions.MessageTypes(
    control_pb2.Suspicion, control_pb2.Crash
)


def make_identity(customer: str, content_sha256: str) -> Identity:
    """Return the identity by which a repeated request is recognised.

    `content_sha256` is the SHA-256 digest of the body in hexadecimal.
    """
    return customer, bytes.fromhex(content_sha256)


def digest_blocks(
    model: str, tokens: t.Sequence[str], block_tokens: int
) -> t.Tuple[bytes, ...]:
    """Return the digests of the blocks that prompts may have in common.

    A block has the same digest in each prompt that holds it at the bounds of
    blocks, whatever comes before it.
    """
    texts = blocks.list_block_texts(tokens, block_tokens)
    return tuple(
        culprits_module.digest_part(model, text)
        for text in texts[: culprits_module.MAX_PARTS]
    )


@attrs.define(eq=False)
class InFlightRequest:
    """One attempt of a request, in flight on a backend server.

    `epoch` is the boot epoch of the server. `known_crashes` are the ids of
    the request's crashes, cleared ones included, that this gateway knew when
    the attempt started. `exclusive` is set if the request is a suspect and
    has the server to itself. `parts` are the digests of the blocks of its
    prompt, and `begun_at` is the Unix time of the first token, 0 before it.
    """

    identity: Identity
    server: str
    epoch: str = ""
    parts: t.Tuple[bytes, ...] = ()
    begun_at: float = 0.0
    known_crashes: t.Tuple[bytes, ...] = ()
    exclusive: bool = False
    ended: bool = False


class Quarantine:
    """Refuses requests that repeatedly crash backend servers.

    All requests in flight on a server when it crashes become suspects. As far
    as this gateway can tell, a suspect runs on a server without other
    requests, and only one suspect runs at a time, so the next crash has a
    single possible cause. A suspect that completes is cleared. A request that
    was in flight at two crashes is refused until at most one of its crashes
    has not expired, unless a part of prompts explains them. Which parts are
    refused, and which requests, is decided by `culprits.Culprits`.

    The gateways of a data centre share the crashes through their controls:
    `report_changes` is called with each local change, and `merge` applies the
    changes of other gateways. A request that is retried after each failure
    therefore crashes at most two servers, whichever gateways it is sent
    through. Concurrent attempts may crash more: one server for each attempt
    that started before its gateway knew the first crash, and one for each
    gateway whose suspect started before that gateway knew the second crash.
    Suspects are serialised per gateway, not per data centre: with G gateways
    up to G suspects run at once. The gateways reserve the servers for them.

    `reserved_servers` are the servers on which a suspect runs or waits for
    other requests to end; they get no further requests.

    Crashes expire after `retention_seconds`. At most `capacity` requests are
    kept. `clock` returns the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        retention_seconds: float = defaults.QUARANTINE_SECONDS,
        capacity: int = defaults.QUARANTINE_REQUESTS,
        report_changes: t.Callable[
            [t.List[control_pb2.Suspicion]], None
        ] = lambda _: None,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self.report_changes = report_changes
        self._clock = clock
        self._suspicions = suspicions.Suspicions(
            retention_seconds=retention_seconds,
            capacity=capacity,
            clock=clock,
            types=MESSAGE_TYPES,
        )
        self._culprits = culprits_module.Culprits(
            self._suspicions, REQUEST_CRASHES, read_time=clock
        )
        self._in_flight: t.Dict[str, t.Set[InFlightRequest]] = {}
        self.reserved_servers: t.Set[str] = set()
        self._suspect_lock = asyncio.Lock()
        self._request_ended = asyncio.Event()

    def count_crashes(self, identity: Identity) -> int:
        """Return the number of crashes that count against a request."""
        return len(self._list_crashes(identity))

    def _list_crashes(self, identity: Identity) -> t.Tuple[bytes, ...]:
        digest = suspicions.digest_request(*identity)
        return self._suspicions.list_crashes(digest)

    def merge(self, changes: t.Iterable[control_pb2.Suspicion]) -> None:
        """Merge the changes of suspicions that other gateways made."""
        vouchers = self._culprits.merge(list(changes))
        if vouchers:
            self.report_changes(vouchers)

    def list_suspicions(self) -> t.List[control_pb2.Suspicion]:
        """Return all suspicions, to resend to a control that may lack some."""
        return self._suspicions.list_changes()

    def ensure_not_quarantined(
        self, identity: Identity, parts: t.Tuple[bytes, ...] = ()
    ) -> None:
        """Raise `exceptions.RequestQuarantined` if a request is refused."""
        judgement = self._judge(identity, parts)
        if judgement.verdict is not culprits_module.Verdict.REFUSE:
            return
        if changes := self._culprits.record_refusal(judgement):
            self.report_changes(changes)
        subject = (
            "a part of the prompt" if judgement.is_part else "the request"
        )
        raise exceptions.RequestQuarantined(
            f"{subject} was running at {judgement.crashes} crashes of "
            "backend servers"
        )

    def may_repeat(
        self, identity: Identity, parts: t.Tuple[bytes, ...] = ()
    ) -> bool:
        """Return whether a request may run again after a crash.

        It may not if a part of its prompt is suspect, because the request is
        then not the cause by itself.
        """
        judgement = self._judge(identity, parts)
        return (
            judgement.verdict is culprits_module.Verdict.RUN
            or judgement.subjects.isdisjoint(parts)
        )

    def _judge(
        self, identity: Identity, parts: t.Tuple[bytes, ...]
    ) -> culprits_module.Judgement:
        return self._culprits.judge(_make_fingerprint(identity, parts))

    async def start(
        self,
        identity: Identity,
        server: str,
        deadline: deadlines.Deadline,
        epoch: str = "",
        parts: t.Tuple[bytes, ...] = (),
    ) -> t.Optional[InFlightRequest]:
        """Register and return an attempt of a request on a server.

        `parts` are the digests of the blocks of its prompt.

        Returns None while the server is reserved for a suspect. A suspect
        waits until no other request of this gateway is in flight on the
        server. Raises `exceptions.RequestQuarantined` if the request is
        refused, and `exceptions.DeadlineUnreachable` if a suspect waits past
        `deadline`.
        """
        self.ensure_not_quarantined(identity, parts)
        verdict = self._judge(identity, parts).verdict
        if self.count_crashes(identity) or (
            verdict is culprits_module.Verdict.SUSPECT
        ):
            return await self._start_exclusive(
                identity, server, deadline, epoch, parts
            )
        if server in self.reserved_servers:
            return None
        return self._register(
            self._make_request(identity, server, epoch, parts)
        )

    def record_begin(self, request: InFlightRequest) -> None:
        """Record that an attempt has given a token."""
        request.begun_at = request.begun_at or self._clock()

    def finish(self, request: InFlightRequest, completed: bool) -> None:
        """Unregister an attempt and clear a suspect that completed.

        The suspect is cleared of the crashes that were known when the attempt
        started. Does nothing if the attempt has already ended.
        """
        if request.ended:
            return
        crashes = set(self._list_crashes(request.identity)).intersection(
            request.known_crashes
        )
        if completed and crashes:
            digest = suspicions.digest_request(*request.identity)
            self.report_changes(
                [self._suspicions.clear_crashes(digest, sorted(crashes))]
            )
        if completed:
            self._clear_parts(request)
        self._unregister(request)

    def _clear_parts(self, request: InFlightRequest) -> None:
        """Clear the parts of the prompt of a request that completed."""
        changes = self._culprits.record_sound_parts(request.parts)
        if changes:
            self.report_changes(changes)

    def record_crash(self, request: InFlightRequest) -> None:
        """Count a crash of the server on which an attempt was in flight.

        Each attempt on the server may report the same crash; it counts once.
        """
        if not request.ended:
            self.record_server_crash(request.server)

    def record_server_crash(self, server: str) -> None:
        """Count a crash of a server against all requests in flight on it."""
        requests = list(self._in_flight.get(server, ()))
        by_identity = {
            request.identity: request for request in reversed(requests)
        }
        changes = [
            self._suspicions.add_crash(
                suspicions.digest_request(*identity),
                suspicions.make_crash_id(
                    server, request.epoch, request.known_crashes
                ),
            )
            for identity, request in by_identity.items()
        ]
        now = self._clock()
        for identity, request in by_identity.items():
            if request.begun_at and (
                now - request.begun_at > culprits_module.BEGIN_SECONDS
            ):
                continue
            changes += self._culprits.record_part_crash(
                suspicions.make_crash_id(server, request.epoch, ()),
                _make_fingerprint(identity, request.parts),
            )
        if changes:
            self.report_changes(changes)
        for request in requests:
            self._unregister(request)

    async def _start_exclusive(
        self,
        identity: Identity,
        server: str,
        deadline: deadlines.Deadline,
        epoch: str,
        parts: t.Tuple[bytes, ...],
    ) -> InFlightRequest:
        try:
            async with asyncio.timeout(deadline.remaining(self._clock())):
                await self._suspect_lock.acquire()
                try:
                    self.reserved_servers.add(server)
                    while self._in_flight.get(server):
                        self._request_ended.clear()
                        await self._request_ended.wait()
                    # A concurrent attempt of the same request may have
                    # crashed a server while this one waited.
                    self.ensure_not_quarantined(identity, parts)
                    request = self._make_request(
                        identity, server, epoch, parts
                    )
                    request.exclusive = True
                    self._culprits.record_run(
                        _make_fingerprint(identity, parts)
                    )
                    return self._register(request)
                except BaseException:
                    self.reserved_servers.discard(server)
                    self._suspect_lock.release()
                    raise
        except TimeoutError:
            raise exceptions.DeadlineUnreachable(
                "timed out waiting to run a suspect request on its own"
            ) from None

    def _make_request(
        self,
        identity: Identity,
        server: str,
        epoch: str,
        parts: t.Tuple[bytes, ...],
    ) -> InFlightRequest:
        digest = suspicions.digest_request(*identity)
        return InFlightRequest(
            identity,
            server,
            epoch,
            parts,
            known_crashes=self._suspicions.list_all_crashes(digest),
        )

    def _register(self, request: InFlightRequest) -> InFlightRequest:
        self._in_flight.setdefault(request.server, set()).add(request)
        return request

    def _unregister(self, request: InFlightRequest) -> None:
        request.ended = True
        requests = self._in_flight[request.server]
        requests.discard(request)
        if not requests:
            del self._in_flight[request.server]
        if request.exclusive:
            self.reserved_servers.discard(request.server)
            self._suspect_lock.release()
        self._request_ended.set()


def _make_fingerprint(
    identity: Identity, parts: t.Tuple[bytes, ...]
) -> culprits_module.Fingerprint:
    return culprits_module.Fingerprint(
        suspicions.digest_request(*identity),
        culprits_module.digest_customer(identity[0]),
        parts,
    )
