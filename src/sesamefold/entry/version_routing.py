"""Which versions of a service this host sends requests to.

It answers this pattern of load: servers of a new version start beside those of
the old one under full traffic. Until the new version is proved, it must get
only the share of requests that the coordinator of the rollout allows, from all
hosts together, and none from hosts that the coordinator cannot reach.
"""

import hashlib
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import rollout_records
from sesamefold.entry import topology
from sesamefold.entry import version_evidence

# Age at which a permission of the coordinator expires, seconds. It is sent
# four times a second, so that five messages in a row may be lost.
PERMISSION_SECONDS = 1.5


@attrs.frozen
class Permission:
    """What the coordinator allows this host to send to a new version.

    `order` is the revision of the rollout's order and `share` the share of
    requests. If `servers` is not empty, only these may get them. Permissions
    of a later `term`, the coordinator's fencing token, replace those of
    earlier ones.
    """

    order: int
    term: int
    share: float
    servers: t.FrozenSet[str]
    expires_at: float

    @property
    def is_complete(self) -> bool:
        """Return whether all requests go to the new version."""
        return self.share >= 1.0


@attrs.define
class Tally:
    """What this host has seen of one rollout.

    `requests` counts those to any version of the service, `exposed` those to
    the new one. `run_seconds` has the times of whole answers of the old one.
    """

    order: int
    requests: int = 0
    exposed: int = 0
    outcomes: t.Dict[t.Tuple[str, bool], version_evidence.Outcomes] = (
        attrs.field(factory=dict)
    )
    run_seconds: version_evidence.Outcomes = attrs.field(
        factory=version_evidence.Outcomes
    )


class Observation:
    """The answer to one request during a rollout, until it ends.

    An answer that is cut off by its caller or its deadline counts with the
    time until then, which is a lower bound.
    """

    def __init__(
        self,
        tally: t.Optional[Tally],
        route: str,
        is_new: bool,
        read_time: t.Callable[[], float],
    ) -> None:
        self._tally = tally
        self._key = (route, is_new)
        self._read_time = read_time
        self._sent_at = read_time()
        self._first_seconds: t.Optional[float] = None

    def record_first_event(self) -> None:
        """Record that the first event of a stream has arrived."""
        if self._first_seconds is None:
            self._first_seconds = self._read_time() - self._sent_at

    def finish(self, failed: bool) -> None:
        """Count the answer; further calls have no effect."""
        tally, self._tally = self._tally, None
        if tally is None:
            return
        seconds = self._read_time() - self._sent_at
        outcomes = tally.outcomes.setdefault(
            self._key, version_evidence.Outcomes()
        )
        first = seconds if self._first_seconds is None else self._first_seconds
        outcomes.record(failed, first)
        if not failed and not self._key[1]:
            tally.run_seconds.record(False, seconds)

    def discard(self) -> None:
        """Forget an attempt that got no answer."""
        self._tally = None


@attrs.define
class VersionRouting:
    """Chooses between the versions of a service by the state of its rollout.

    Without `enabled`, all versions count as the same. A version that appears
    beside one that serves already gets no request before an order names it:
    its servers may be known before the order is.

    A server of the target gets requests as the latest permission says, and
    all of them once the rollout is complete. After a rollout was rolled back,
    the target gets none until a later order. The callbacks in `on_share` are
    called with a service and its new share.
    """

    catalog: catalogs.Catalog
    enabled: bool
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    records: t.Dict[str, rollout_records.RolloutRecord] = attrs.field(
        factory=dict
    )
    on_share: t.List[t.Callable[[str, float], None]] = attrs.field(
        factory=list
    )
    _permissions: t.Dict[str, Permission] = attrs.field(factory=dict)
    _tallies: t.Dict[str, Tally] = attrs.field(factory=dict)
    _proved: t.Dict[str, t.FrozenSet[str]] = attrs.field(factory=dict)

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Replace the records of rollouts by those of a complete read."""
        self.records.clear()
        self.apply_changes(records)

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Apply changes of the records of rollouts."""
        for change in records:
            service = rollout_records.read_service(change)
            if service is None:
                continue
            if change.value is None:
                self.records.pop(service, None)
                continue
            try:
                record = rollout_records.decode(change.value)
            except ValueError as error:
                self.log.write(
                    "record_rejected", key=change.key, reason=str(error)[:100]
                )
                continue
            self.apply_record(service, record)

    def apply_record(
        self, service: str, record: rollout_records.RolloutRecord
    ) -> None:
        """Adopt the state of a rollout from its record or its coordinator.

        The state of an earlier order, and a state before the final one, are
        ignored.
        """
        known = self.records.get(service)
        if known is not None and (
            record.order < known.order
            or (
                record.order == known.order
                and known.state is not rollout_records.State.RUNNING
            )
        ):
            return
        self.records[service] = record
        if record.state is rollout_records.State.COMPLETED:
            self._proved[service] = frozenset({record.target})
        elif record.base:
            self._proved[service] = frozenset(record.base)
        if known is None or record.state is not known.state:
            self.log.write(
                "rollout_state",
                service=service,
                target=record.target,
                order=record.order,
                state=record.state.value,
                reason=record.reason or None,
            )

    def grant(self, service: str, permission: Permission) -> None:
        """Adopt a permission of the coordinator, unless it is outdated."""
        known = self._permissions.get(service)
        if known is not None and (permission.order, permission.term) < (
            known.order,
            known.term,
        ):
            return
        if known is None or known.share != permission.share:
            for listener in self.on_share:
                listener(service, permission.share)
            self.log.write(
                "rollout_share",
                service=service,
                order=permission.order,
                share=round(permission.share, 4),
                servers=sorted(permission.servers) or None,
            )
        self._permissions[service] = permission

    def get_record(
        self, order: catalogs.RolloutOrder
    ) -> t.Optional[rollout_records.RolloutRecord]:
        """Return the record of an order's rollout, None if there is none."""
        record = self.records.get(order.service)
        if record is None or record.order != order.revision:
            return None
        return record

    def is_running(self, order: catalogs.RolloutOrder) -> bool:
        """Return whether the rollout of an order has no final state yet."""
        record = self.get_record(order)
        return record is None or record.state is rollout_records.State.RUNNING

    def list_proved_versions(self, service: str) -> t.FrozenSet[str]:
        """Return the versions that serve without a rollout.

        They are those of the servers that this host found at first, less the
        target of a rollout, until a rollout is complete.
        """
        if service not in self._proved:
            order = self.catalog.rollouts.get(service)
            found = frozenset(
                server.version
                for server in self.catalog.servers.values()
                if server.service == service
            )
            others = found - {order.target} if order else found
            if not others:
                return found
            self._proved[service] = others
        return self._proved[service]

    def select_servers(
        self, call: requests.Call, servers: t.Sequence[topology.Server]
    ) -> t.Sequence[topology.Server]:
        """Return the servers whose versions may get a request.

        routing.select_servers(call, catalog.list_usable_servers("chat"))
        """
        if not self.enabled or not servers:
            return servers
        proved = self.list_proved_versions(call.service)
        permission = self._find_permission(call)
        order = self.catalog.rollouts.get(call.service)
        chosen = [
            server
            for server in servers
            if server.version in proved
            or (
                permission is not None
                and order is not None
                and server.version == order.target
                and (not permission.servers or server.id in permission.servers)
            )
        ]
        if chosen or order is not None:
            return chosen
        # All servers of the versions known were replaced without an order.
        known = any(
            server.service == call.service and server.version in proved
            for server in self.catalog.servers.values()
        )
        if known:
            return chosen
        self._proved.pop(call.service, None)
        return servers

    def prefer_servers(
        self, call: requests.Call, servers: t.Sequence[topology.Server]
    ) -> t.Sequence[topology.Server]:
        """Return those of the new version if the request is meant for it.

        All servers are returned if none of the new version is among them.
        """
        if not self.enabled:
            return servers
        if self._find_permission(call) is None:
            return servers
        target = self.catalog.rollouts[call.service].target
        return [s for s in servers if s.version == target] or servers

    def _find_permission(self, call: requests.Call) -> t.Optional[Permission]:
        """Return the permission to send a request to a new version.

        A request whose first attempt failed goes to the old version, unless
        all requests go to the new one.
        """
        order = self.catalog.rollouts.get(call.service)
        permission = self._permissions.get(call.service)
        if (
            order is None
            or permission is None
            or permission.order != order.revision
            or self.read_time() >= permission.expires_at
            or not self.is_running(order)
        ):
            return None
        if permission.is_complete:
            return permission
        if call.tried_servers:
            return None
        point = _hash_request(order.revision, call.request_id)
        return permission if point < permission.share else None

    def get_tally(self, service: str) -> t.Optional[Tally]:
        """Return what was counted of a service's running rollout."""
        order = self.catalog.rollouts.get(service)
        if not self.enabled or order is None or not self.is_running(order):
            self._tallies.pop(service, None)
            return None
        tally = self._tallies.get(service)
        if tally is None or tally.order != order.revision:
            tally = self._tallies[service] = Tally(order.revision)
        return tally

    def observe(
        self, call: requests.Call, server: topology.Server
    ) -> Observation:
        """Count a request about to be sent and return its observation."""
        tally = self.get_tally(call.service)
        is_new = False
        if tally is not None:
            is_new = (
                server.version == self.catalog.rollouts[call.service].target
            )
            tally.requests += 1
            tally.exposed += is_new
        return Observation(tally, call.route.name, is_new, self.read_time)


def _hash_request(order: int, request_id: str) -> float:
    """Return a number from 0 to 1 that is the same for each attempt."""
    digest = hashlib.blake2b(
        f"{order}:{request_id}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big") / 2**64
