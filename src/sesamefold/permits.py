"""Permits for requests to cold backend servers."""

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

# Time that an owner has to answer another control, seconds.
FORWARD_SECONDS = 1.0
# Longest time for which two hosts with working connections may hold different
# memberships: a silent host is dropped after this time.
DISAGREEMENT_SECONDS = defaults.HEARTBEAT_TIMEOUT
# After a longer time without a look at the membership (a paused process),
# the control counts as started anew, because another one may have owned its
# backend servers meanwhile.
OBSERVATION_SECONDS = 2.0
OBSERVATION_INTERVAL = 0.25


@attrs.define
class _Grant:
    """A permit that counts until `deadline` plus the clock skew."""

    id: str
    holder: str
    request: str
    deadline: float  # Unix seconds


@attrs.frozen
class _View:
    """The membership from `since` until the next view."""

    since: float  # Unix seconds
    members: t.Tuple[str, ...]


class Permits:
    """Grants a bounded number of permits for each cold backend server.

    The owner of a backend server, by rendezvous hashing of its name over the
    members, grants its permits; other controls forward to it. A control that
    starts, becomes owner or was paused grants nothing for `handover` seconds:
    the duration of a permit, the clock skew and the longest disagreement of
    two memberships. Until then it only takes over permits that are renewed,
    so they count when it starts to grant.

    With memberships that differ for at most DISAGREEMENT_SECONDS, the valid
    permits of a backend server never exceed its limit: the earlier owner
    stops granting at most that long after the new one became owner, and its
    last permit expires within the rest of `handover`.

    A partition lasts longer. Then an owner that sees m of n hosts (n from
    `count_hosts`) grants at most max(1, limit * m // n). Parts of a partition
    are disjoint, so their m add up to at most n. Two parts stay within a
    limit of 2 or more; k parts grant at most limit + k - 2 (k when the limit
    is below k). With asymmetric loss of messages the memberships can overlap,
    and the bound is the limit times the number of hosts that see themselves
    as owner. Without `count_hosts` this is also the bound of a partition.

    `limit_of` returns the limit of a backend server, 0 when it is unknown.
    `clock` returns Unix seconds.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        limit_of: t.Callable[[str], int],
        *,
        count_hosts: t.Optional[t.Callable[[], int]] = None,
        clock: t.Callable[[], float] = time.time,
        handover: float = defaults.PERMIT_SECONDS
        + defaults.CLOCK_SKEW
        + DISAGREEMENT_SECONDS,
    ) -> None:
        self._peers = peers
        self._limit_of = limit_of
        self._count_hosts = count_hosts
        self._clock = clock
        self._handover = handover
        self._grants: t.Dict[str, t.Dict[str, _Grant]] = {}
        self._views: t.List[_View] = []
        self._observed = clock()
        self.observe()

    def observe(self) -> None:
        """Take note of the membership.

        To be called at each change and at least once a second, which `run`
        does; a longer gap counts as a start.
        """
        now = self._clock()
        members = tuple(sorted(self._peers.list_members()))
        if now - self._observed > OBSERVATION_SECONDS:
            self._views.clear()
        self._observed = now
        if not self._views:
            # An empty membership stands for the time before the start.
            self._views = [_View(0.0, ()), _View(now, members)]
        elif self._views[-1].members != members:
            self._views.append(_View(now, members))
        # The last view that began before the window still counts.
        while (
            len(self._views) > 1
            and self._views[1].since <= now - self._handover
        ):
            del self._views[0]

    async def run(self) -> None:
        """Observe the membership until cancelled."""
        while True:
            self.observe()
            await asyncio.sleep(OBSERVATION_INTERVAL)

    def find_grant_time(self, backend: str) -> t.Optional[float]:
        """Return when this control may grant, None if it is not the owner."""
        name = self._peers.name
        if rendezvous.choose_owner(backend, self._views[-1].members) != name:
            return None
        ends = [
            later.since
            for view, later in zip(self._views, self._views[1:])
            if rendezvous.choose_owner(backend, view.members) != name
        ]
        return max(ends, default=float("-inf")) + self._handover

    def count_permits(self, backend: str) -> int:
        """Return the number of permits that count at this control."""
        return len(self._prune(backend))

    async def acquire(
        self, request: control_pb2.AcquirePermitRequest
    ) -> control_pb2.Permit:
        """Return a permit, without an id when none is free.

        A repeated request of one holder gets the same permit. Raises
        `exceptions.ControlUnavailable` when the owner does not answer.
        """
        self.observe()
        owner = self._choose_owner(request.backend)
        if owner != self._peers.name:
            return await self._forward(
                owner, "AcquirePermit", request, request.deadline
            )
        now = self._clock()
        refusal = control_pb2.Permit(backend=request.backend)
        if request.deadline and request.deadline <= now:
            return refusal
        grants = self._prune(request.backend)
        for grant in grants.values():
            if (grant.holder, grant.request) == (
                request.holder,
                request.request,
            ):
                return self._extend(request.backend, grant)
        if now < (self.find_grant_time(request.backend) or 0.0):
            return refusal
        if len(grants) >= self._bound(request.backend):
            return refusal
        return self._add(
            request.backend, uuid.uuid4().hex, request.holder, request.request
        )

    async def renew(
        self, request: control_pb2.RenewPermitRequest
    ) -> control_pb2.Permit:
        """Extend a permit; the reply has no id when the permit is lost.

        Raises `exceptions.ControlUnavailable` when the owner does not answer.
        """
        self.observe()
        owner = self._choose_owner(request.backend)
        if owner != self._peers.name:
            return await self._forward(owner, "RenewPermit", request, 0.0)
        grants = self._prune(request.backend)
        if request.id in grants:
            return self._extend(request.backend, grants[request.id])
        # A permit of an earlier owner, whose request is still running.
        if request.id and len(grants) < self._bound(request.backend):
            return self._add(request.backend, request.id, "", "")
        return control_pb2.Permit(backend=request.backend)

    async def release(
        self, request: control_pb2.ReleasePermitRequest
    ) -> control_pb2.Empty:
        """Give a permit back; one that cannot be given back expires."""
        self.observe()
        owner = self._choose_owner(request.backend)
        if owner == self._peers.name:
            self._prune(request.backend).pop(request.id, None)
        else:
            try:
                await self._forward(owner, "ReleasePermit", request, 0.0)
            except exceptions.ControlUnavailable:
                pass
        return control_pb2.Empty()

    def _choose_owner(self, backend: str) -> t.Optional[str]:
        return rendezvous.choose_owner(backend, self._views[-1].members)

    async def _forward(
        self, owner: t.Optional[str], method: str, request: t.Any, until: float
    ) -> t.Any:
        """Return the owner's reply; never sends a forwarded request on."""
        if owner is None or request.forwarded:
            raise exceptions.ControlUnavailable(
                f"no control owns backend server {request.backend!r}"
                if owner is None
                else f"the owner of backend server {request.backend!r} is "
                f"{owner}"
            )
        forwarded = type(request)()
        forwarded.CopyFrom(request)
        forwarded.forwarded = True
        seconds = FORWARD_SECONDS
        if until:
            seconds = min(seconds, max(0.0, until - self._clock()))
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

    def _prune(self, backend: str) -> t.Dict[str, _Grant]:
        """Return the permits that count, without the expired ones.

        A holder whose clock is behind uses its permit for up to the clock
        skew after its deadline.
        """
        limit = self._clock() - defaults.CLOCK_SKEW
        grants = self._grants.get(backend, {})
        for grant in [g for g in grants.values() if g.deadline <= limit]:
            del grants[grant.id]
        if not grants:
            self._grants.pop(backend, None)
        return grants

    def _bound(self, backend: str) -> int:
        """Return how many permits this control may grant."""
        limit = self._limit_of(backend)
        if limit <= 0 or self._count_hosts is None:
            return limit
        members = len(self._views[-1].members)
        hosts = max(members, self._count_hosts())
        return max(1, limit * members // hosts)

    def _add(
        self, backend: str, permit: str, holder: str, request: str
    ) -> control_pb2.Permit:
        grant = _Grant(permit, holder, request, 0.0)
        self._grants.setdefault(backend, {})[permit] = grant
        return self._extend(backend, grant)

    def _extend(self, backend: str, grant: _Grant) -> control_pb2.Permit:
        grant.deadline = self._clock() + defaults.PERMIT_SECONDS
        return control_pb2.Permit(
            id=grant.id, backend=backend, deadline=grant.deadline
        )
