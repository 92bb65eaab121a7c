"""Requests that were in flight when backend servers crashed."""

import asyncio
import time
import typing as t

import attrs

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import suspicions
from sesamefold.wire import control_pb2

# A request as (customer, SHA-256 of its content).
Identity = t.Tuple[str, bytes]


def make_identity(customer: str, content_sha256: str) -> Identity:
    """Return the identity by which a repeated request is recognised."""
    return customer, bytes.fromhex(content_sha256)


@attrs.define(eq=False)
class InFlightRequest:
    """A request in flight on a backend server."""

    identity: Identity
    server: str
    epoch: str = ""
    # The crashes of the request that were known when the run began.
    known_crashes: t.Tuple[bytes, ...] = ()
    exclusive: bool = False
    ended: bool = False


class Quarantine:
    """Keeps a request that crashes backend servers away from them.

    The requests in flight on a server that crashed become suspects. A suspect
    runs alone on a server, and one suspect at a time, as far as this gateway
    can tell; so the next crash points at one request. A suspect that
    completes is cleared. A request that was in flight at two crashes is
    refused until its verdict expires.

    The gateways of a data centre share the crashes through their controls:
    `report_changes` gets each change, and `merge` takes in the others. So a
    request that is sent again after each failure loses two servers, through
    whichever gateways it comes. Attempts that overlap in time may lose more:
    one server for each attempt that began before the first crash was known
    at its gateway, and one for each gateway whose suspect began before the
    second crash was known there. Suspects run one at a time per gateway, not
    per data centre: with G gateways at most G of them run at once, and two
    of them may be on one server.

    `clock` returns Unix seconds.
    """

    def __init__(
        self,
        *,
        seconds: float = defaults.QUARANTINE_SECONDS,
        capacity: int = defaults.QUARANTINE_REQUESTS,
        report_changes: t.Callable[
            [t.List[control_pb2.Suspicion]], None
        ] = lambda _: None,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self.report_changes = report_changes
        self._clock = clock
        self._suspicions = suspicions.Suspicions(
            seconds=seconds, capacity=capacity, clock=clock
        )
        self._runs: t.Dict[str, t.Set[InFlightRequest]] = {}
        # Servers that a suspect uses or waits for.
        self._reserved: t.Set[str] = set()
        self._turn = asyncio.Lock()
        self._changed = asyncio.Event()

    def count_crashes(self, identity: Identity) -> int:
        """Return at how many crashes a request was in flight."""
        return len(self._list_crashes(identity))

    def _list_crashes(self, identity: Identity) -> t.Tuple[bytes, ...]:
        digest = suspicions.digest_request(*identity)
        return self._suspicions.list_crashes(digest)

    def merge(self, changes: t.Iterable[control_pb2.Suspicion]) -> None:
        """Take in the crashes that other gateways saw."""
        self._suspicions.merge(changes)

    def list_suspicions(self) -> t.List[control_pb2.Suspicion]:
        """Return all that is known, for a control that may have lost it."""
        return self._suspicions.list_changes()

    def check(self, identity: Identity) -> None:
        """Raise `exceptions.RequestQuarantined` for a refused request."""
        if self.count_crashes(identity) >= 2:
            raise exceptions.RequestQuarantined(
                "the request was running at two crashes of backend servers"
            )

    async def start(
        self,
        identity: Identity,
        server: str,
        deadline: deadlines.Deadline,
        epoch: str = "",
    ) -> t.Optional[InFlightRequest]:
        """Register a run; return None while a suspect has the server.

        A suspect waits until no other request of this gateway runs on the
        server. Raises `exceptions.RequestQuarantined`, and
        `exceptions.DeadlineUnreachable` when a suspect waits too long.
        """
        self.check(identity)
        if self.count_crashes(identity):
            return await self._start_alone(identity, server, deadline, epoch)
        if server in self._reserved:
            return None
        return self._add_run(self._make_run(identity, server, epoch))

    def finish(self, run: InFlightRequest, completed: bool) -> None:
        """End a run; a suspect that completed is cleared.

        It is cleared of the crashes from before the run.
        """
        if run.ended:
            return
        crashes = set(self._list_crashes(run.identity)).intersection(
            run.known_crashes
        )
        if completed and crashes:
            digest = suspicions.digest_request(*run.identity)
            self.report_changes(
                [self._suspicions.clear_crashes(digest, sorted(crashes))]
            )
        self._end(run)

    def record_crash(self, run: InFlightRequest) -> None:
        """Report that the server of a run crashed during it.

        Each run of the server may report the same crash; it counts once.
        """
        if not run.ended:
            self.record_server_crash(run.server)

    def record_server_crash(self, server: str) -> None:
        """Report that a server crashed with all runs that are on it."""
        runs = list(self._runs.get(server, ()))
        first = {run.identity: run for run in reversed(runs)}
        changes = [
            self._suspicions.add_crash(
                suspicions.digest_request(*identity),
                suspicions.name_crash(server, run.epoch, run.known_crashes),
            )
            for identity, run in first.items()
        ]
        if changes:
            self.report_changes(changes)
        for run in runs:
            self._end(run)

    async def _start_alone(
        self,
        identity: Identity,
        server: str,
        deadline: deadlines.Deadline,
        epoch: str,
    ) -> InFlightRequest:
        try:
            async with asyncio.timeout(deadline.remaining(self._clock())):
                await self._turn.acquire()
                try:
                    self._reserved.add(server)
                    while self._runs.get(server):
                        self._changed.clear()
                        await self._changed.wait()
                    # Another copy of the request may have crashed a server
                    # while this one waited.
                    self.check(identity)
                    run = self._make_run(identity, server, epoch)
                    run.exclusive = True
                    return self._add_run(run)
                except BaseException:
                    self._reserved.discard(server)
                    self._turn.release()
                    raise
        except TimeoutError:
            raise exceptions.DeadlineUnreachable(
                "no server was free for a request that runs alone"
            ) from None

    def _make_run(
        self, identity: Identity, server: str, epoch: str
    ) -> InFlightRequest:
        digest = suspicions.digest_request(*identity)
        return InFlightRequest(
            identity, server, epoch, self._suspicions.list_known(digest)
        )

    def _add_run(self, run: InFlightRequest) -> InFlightRequest:
        self._runs.setdefault(run.server, set()).add(run)
        return run

    def _end(self, run: InFlightRequest) -> None:
        run.ended = True
        runs = self._runs[run.server]
        runs.discard(run)
        if not runs:
            del self._runs[run.server]
        if run.exclusive:
            self._reserved.discard(run.server)
            self._turn.release()
        self._changed.set()
