"""Permits that limit the requests to cold backend servers."""

import asyncio
import time
import typing as t
import uuid

import attrs
import grpc

from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import peers as peers_module
from sesamefold import rendezvous
from sesamefold.wire import control_pb2

# Timeout of a request that is forwarded to the owner of a backend server.
FORWARD_TIMEOUT_SECONDS = 1.0
# Longest time for which the memberships of two hosts with working connections
# may differ: a silent host stops being a member after this time.
MEMBERSHIP_CONVERGENCE_SECONDS = defaults.HEARTBEAT_TIMEOUT
# After a longer gap between two observations of the membership (a pause of the
# process), this host counts as just started, because another one may have
# owned its backend servers in the meantime.
MAX_OBSERVATION_GAP_SECONDS = 2.0
# Interval between two observations of the membership.
OBSERVATION_INTERVAL_SECONDS = 0.25


@attrs.define
class _Grant:
    """A permit that counts towards the limit until its deadline has passed.

    The largest clock skew is added to the deadline.
    """

    id: str
    holder: str
    request: str
    deadline: float  # Unix seconds


@attrs.frozen
class _View:
    """The members that this host saw from `start_time` to the next view."""

    start_time: float  # Unix seconds
    members: t.Tuple[str, ...]


class Permits:
    """Grants a limited number of permits for each cold backend server.

    The owner of a backend server grants its permits, and the other entry hosts
    forward requests to it. Rendezvous hashing of the server's name over the
    members chooses the owner. A host that starts, becomes owner or was paused
    grants nothing for `handover_seconds`: the sum of the duration of a permit,
    the clock skew and the convergence time of the membership. Until then it
    only accepts renewals of permits that an earlier owner granted, so these
    count when it starts to grant.

    While memberships differ for at most MEMBERSHIP_CONVERGENCE_SECONDS, the
    valid permits of a backend server never exceed its limit. The earlier owner
    stops granting at most that long after the new one became owner, and its
    last permit expires within the rest of `handover_seconds`.

    A partition lasts longer. An owner that has m of n hosts as members (n from
    `count_hosts`) then grants at most max(1, limit * m // n). The parts of a
    partition are disjoint, so their m add up to at most n. Two parts stay
    within a limit of 2 or more; k parts grant at most limit + k - 2 (k when
    the limit is below k). When messages are lost in one direction only, the
    memberships can overlap, and the bound is the limit times the number of
    hosts that consider themselves the owner. Without `count_hosts`, this is
    also the bound in a partition.

    `get_limit` returns the limit of a backend server, 0 when it is unknown.
    Until `knows_members` has returned true once, this host counts as just
    started: others that it has not met may grant permits as well. `clock`
    returns Unix seconds.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        get_limit: t.Callable[[str], int],
        *,
        count_hosts: t.Optional[t.Callable[[], int]] = None,
        knows_members: t.Callable[[], bool] = lambda: True,
        clock: t.Callable[[], float] = time.time,
        handover_seconds: float = defaults.PERMIT_SECONDS
        + defaults.CLOCK_SKEW
        + MEMBERSHIP_CONVERGENCE_SECONDS,
    ) -> None:
        self._peers = peers
        self._get_limit = get_limit
        self._count_hosts = count_hosts
        self._knows_members = knows_members
        self._has_known_members = False
        self._clock = clock
        self._handover_seconds = handover_seconds
        self._grants: t.Dict[str, t.Dict[str, _Grant]] = {}
        self._views: t.List[_View] = []
        self._observed_at = clock()
        self.record_membership()

    def record_membership(self) -> None:
        """Record the current membership.

        It must be called at each change and at least once a second, which
        `run` does. A gap of more than MAX_OBSERVATION_GAP_SECONDS counts as a
        start.
        """
        now = self._clock()
        members = tuple(sorted(self._peers.list_members()))
        if (
            not self._has_known_members
            or now - self._observed_at > MAX_OBSERVATION_GAP_SECONDS
        ):
            self._views.clear()
        self._has_known_members = (
            self._has_known_members or self._knows_members()
        )
        self._observed_at = now
        if not self._views:
            # The view without members covers the time before the start.
            self._views = [_View(0.0, ()), _View(now, members)]
        elif self._views[-1].members != members:
            self._views.append(_View(now, members))
        # The handover window starts within the last view that began before
        # it, so this view is kept.
        while (
            len(self._views) > 1
            and self._views[1].start_time <= now - self._handover_seconds
        ):
            del self._views[0]

    async def run(self) -> None:
        """Record the membership at regular intervals until cancelled."""
        while True:
            self.record_membership()
            await asyncio.sleep(OBSERVATION_INTERVAL_SECONDS)

    def find_grant_time(self, backend: str) -> t.Optional[float]:
        """Return the Unix time from which this host may grant permits.

        Returns None if this host is not the owner of the backend server.
        """
        name = self._peers.name
        if rendezvous.choose_owner(backend, self._views[-1].members) != name:
            return None
        foreign_view_ends = [
            later.start_time
            for view, later in zip(self._views, self._views[1:])
            if rendezvous.choose_owner(backend, view.members) != name
        ]
        return (
            max(foreign_view_ends, default=float("-inf"))
            + self._handover_seconds
        )

    def count_permits(self, backend: str) -> int:
        """Return the number of unexpired permits that this host keeps."""
        return len(self._remove_expired(backend))

    async def acquire(
        self, request: control_pb2.AcquirePermitRequest
    ) -> control_pb2.Permit:
        """Return a permit; its id is empty when none is granted.

        A refusal has a `retry_at` (Unix seconds) while this host is the owner
        and does not grant permits yet.
        A holder that repeats a request gets the same permit again. Raises
        `exceptions.ControlUnavailable` when there is no owner or it does not
        answer.
        """
        self.record_membership()
        owner = self._choose_owner(request.backend)
        if owner != self._peers.name:
            return await self._forward(
                owner, "AcquirePermit", request, request.deadline
            )
        now = self._clock()
        refusal = control_pb2.Permit(backend=request.backend)
        if request.deadline and request.deadline <= now:
            return refusal
        grants = self._remove_expired(request.backend)
        for grant in grants.values():
            if (grant.holder, grant.request) == (
                request.holder,
                request.request,
            ):
                return self._extend_grant(request.backend, grant)
        grant_time = self.find_grant_time(request.backend) or 0.0
        if now < grant_time:
            refusal.retry_at = grant_time
            return refusal
        if len(grants) >= self._compute_grant_limit(request.backend):
            return refusal
        return self._add_grant(
            request.backend, uuid.uuid4().hex, request.holder, request.request
        )

    async def renew(
        self, request: control_pb2.RenewPermitRequest
    ) -> control_pb2.Permit:
        """Extend a permit; the reply's id is empty when the permit is lost.

        Raises `exceptions.ControlUnavailable` when there is no owner or it
        does not answer.
        """
        self.record_membership()
        owner = self._choose_owner(request.backend)
        if owner != self._peers.name:
            return await self._forward(owner, "RenewPermit", request, 0.0)
        grants = self._remove_expired(request.backend)
        if request.id in grants:
            return self._extend_grant(request.backend, grants[request.id])
        # An earlier owner granted the permit, and its request still runs.
        if request.id and len(grants) < self._compute_grant_limit(
            request.backend
        ):
            return self._add_grant(request.backend, request.id, "", "")
        return control_pb2.Permit(backend=request.backend)

    async def release(
        self, request: control_pb2.ReleasePermitRequest
    ) -> control_pb2.Empty:
        """Release a permit; if the owner cannot be reached, it expires."""
        self.record_membership()
        owner = self._choose_owner(request.backend)
        if owner == self._peers.name:
            self._remove_expired(request.backend).pop(request.id, None)
        else:
            try:
                await self._forward(owner, "ReleasePermit", request, 0.0)
            except exceptions.ControlUnavailable:
                pass
        return control_pb2.Empty()

    def _choose_owner(self, backend: str) -> t.Optional[str]:
        return rendezvous.choose_owner(backend, self._views[-1].members)

    async def _forward(
        self,
        owner: t.Optional[str],
        method: str,
        request: t.Any,
        deadline: float,
    ) -> t.Any:
        """Return the owner's reply to a request that is forwarded only once.

        Raises `exceptions.ControlUnavailable` when there is no owner, when the
        request was already forwarded, or when the owner does not answer within
        FORWARD_TIMEOUT_SECONDS and before `deadline` (Unix seconds, 0.0 for
        none).
        """
        if owner is None or request.forwarded:
            raise exceptions.ControlUnavailable(
                f"no entry host owns backend server {request.backend!r}"
                if owner is None
                else f"the owner of backend server {request.backend!r} is "
                f"{owner}, not the host that the request was forwarded to"
            )
        forwarded = type(request)()
        forwarded.CopyFrom(request)
        forwarded.forwarded = True
        seconds = FORWARD_TIMEOUT_SECONDS
        if deadline:
            seconds = min(seconds, max(0.0, deadline - self._clock()))
        try:
            stub = self._peers.get_stub(owner)
            async with asyncio.timeout(seconds):
                return await getattr(stub, method)(forwarded, timeout=seconds)
        except grpc.RpcError as error:
            reason = repr(error.code())
        except TimeoutError:
            reason = f"no answer within {seconds:.2f} s"
        raise exceptions.ControlUnavailable(
            f"{method} at {owner}, the owner of backend server "
            f"{request.backend!r}, failed: {reason}"
        )

    def _remove_expired(self, backend: str) -> t.Dict[str, _Grant]:
        """Remove expired permits and return the others by id.

        A holder whose clock is behind uses its permit for up to the clock
        skew after its deadline, so the skew is added to the deadline.
        """
        expired_before = self._clock() - defaults.CLOCK_SKEW
        grants = self._grants.get(backend, {})
        for grant in [
            g for g in grants.values() if g.deadline <= expired_before
        ]:
            del grants[grant.id]
        if not grants:
            self._grants.pop(backend, None)
        return grants

    def _compute_grant_limit(self, backend: str) -> int:
        """Return how many permits this host may grant for a backend server."""
        limit = self._get_limit(backend)
        if limit <= 0 or self._count_hosts is None:
            return limit
        members = len(self._views[-1].members)
        hosts = max(members, self._count_hosts())
        return max(1, limit * members // hosts)

    def _add_grant(
        self, backend: str, permit_id: str, holder: str, request: str
    ) -> control_pb2.Permit:
        grant = _Grant(permit_id, holder, request, 0.0)
        self._grants.setdefault(backend, {})[permit_id] = grant
        return self._extend_grant(backend, grant)

    def _extend_grant(self, backend: str, grant: _Grant) -> control_pb2.Permit:
        grant.deadline = self._clock() + defaults.PERMIT_SECONDS
        return control_pb2.Permit(
            id=grant.id, backend=backend, deadline=grant.deadline
        )
