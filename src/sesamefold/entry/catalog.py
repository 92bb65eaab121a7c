"""Current configuration and usable backend servers."""

import math
import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import positions
from sesamefold.entry import shared_spaces
from sesamefold.entry import store
from sesamefold.entry import topology
from sesamefold import exceptions

# Time after the end of a store outage within which live servers whose reports
# expired during the outage report again. The platform states 2 s.
EXPIRY_GRACE_SECONDS = 2.2
# Time after the return of the store from a copy in which records that the copy
# lacks are taken for not written again yet.
RETURN_GRACE_SECONDS = 5.0
# Deleted servers that are remembered, for reports in a copy from before.
MAX_DELETED_SERVERS = 1000
# Time without an answer of the store that counts as an outage. A watch is
# answered within 1.5 s and starts within 1.3 s of the previous one.
MAX_CONTACT_GAP_SECONDS = 3.0
# Time from the start of the process to that of the catalog: imports and
# settings. The platform counts from the start of the process.
STARTUP_SECONDS = 1.0
# Target versions remembered for each model. No engine is that many versions
# behind.
MAX_TARGET_HISTORY = 100


@attrs.frozen
class _TargetWeights:
    """A target version of a model's weights.

    `superseded_at` is the earliest time at which it may have replaced older
    versions, `read_at` when this host read it, and `older_expire_at` the time
    from which no request may begin on an older version, all in seconds of
    `clock.read_time`.
    """

    version: int
    superseded_at: float
    read_at: float
    older_expire_at: float


@attrs.frozen
class RolloutOrder:
    """The operator's order to roll out a version of a service.

    `revision` tells orders apart. `ordered_at` is the earliest time at which
    the order may have been given and `deadline` when the rollout must have
    ended at the latest, in seconds of `clock.read_time`. Both are later for
    an order that is older than this host's first read of the store.
    """

    service: str
    target: str
    revision: int
    ordered_at: float
    deadline: float


@attrs.frozen
class WeightsLimits:
    """Limits on the use of weights after a newer version was named.

    No request begins on them after `lifetime_seconds`. A host that was out of
    contact with the store cannot tell when the version was named; it may use
    them for `contact_grace_seconds` after the contact began.
    """

    lifetime_seconds: float
    contact_grace_seconds: float


@attrs.define
class Catalog:
    """State read from the platform store, and how recent it is.

    `confirmed_at` is the latest time at which the catalog is known to have
    been up to date, in seconds of `clock.read_time`. `has_snapshot` is set
    after the first complete read. `target_weights` maps each model to the
    weight version that its engines should load. Without `weights_limits`,
    replaced weights never expire. `rollouts` maps services to the latest order
    to roll out a version of them.

    A configuration is never replaced by an older one. A server whose report
    expired during a store outage stays usable for `EXPIRY_GRACE_SECONDS` after
    the outage. A draining server stays draining until it restarts.

    A store that returns from a copy shows older records, or none, until they
    are written again. For `RETURN_GRACE_SECONDS`, servers and evacuations that
    it lacks remain. A server that was deleted before does not come back with a
    report of that time.

    The callbacks in `on_report` are called with a server after each accepted
    report, those in `on_removal` with the id of each server that is deleted.
    """

    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    weights_limits: t.Optional[WeightsLimits] = None
    configuration: t.Optional[topology.Configuration] = None
    confirmed_at: float = float("-inf")
    servers: t.Dict[str, topology.Server] = attrs.field(factory=dict)
    evacuated_data_centres: t.Set[str] = attrs.field(factory=set)
    target_weights: t.Dict[str, int] = attrs.field(factory=dict)
    rollouts: t.Dict[str, RolloutOrder] = attrs.field(factory=dict)
    has_snapshot: bool = False
    shared_space: shared_spaces.SharedSpace = attrs.field(
        factory=shared_spaces.SharedSpace
    )
    on_report: t.List[t.Callable[[topology.Server], None]] = attrs.field(
        factory=list
    )
    on_removal: t.List[t.Callable[[str], None]] = attrs.field(factory=list)
    _target_history: t.Dict[str, t.List[_TargetWeights]] = attrs.field(
        factory=dict
    )
    _removal_deadlines: t.Dict[str, float] = attrs.field(factory=dict)
    # When data centres whose evacuation a copy of the store lacks are used
    # again.
    _evacuation_ends: t.Dict[str, float] = attrs.field(factory=dict)
    _era: t.Optional[int] = None
    _returned_until: float = float("-inf")
    # Era of the deletion and the last report of deleted servers.
    _deleted: t.Dict[str, t.Tuple[int, topology.Server]] = attrs.field(
        factory=dict
    )
    _reconnected_at: float = float("-inf")
    _last_contact_at: float = attrs.field(init=False)
    _contact_since: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._contact_since = self.read_time() - STARTUP_SECONDS
        self._last_contact_at = self._contact_since

    def require_configuration(self) -> topology.Configuration:
        """Return the configuration.

        Raises `exceptions.PlatformUnavailable` before the first one is read.
        """
        if self.configuration is None:
            raise exceptions.PlatformUnavailable(
                "no configuration has been read yet"
            )
        return self.configuration

    def confirm(self, at: float, complete: bool = False) -> None:
        """Record that the catalog was up to date at the time `at`.

        `complete` says whether all configurations since the confirmation
        before were applied, not only the latest.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        self._update_shared_space()
        self.shared_space.confirm(at, self.read_time(), complete)

    def _update_shared_space(self) -> None:
        if self.configuration is not None:
            changed = self.shared_space.record_configuration(
                self.configuration, self.read_time()
            )
            if changed:
                self.log.write(
                    "shared_space",
                    space=self.shared_space.name,
                    version=self.configuration.version,
                )

    def apply_snapshot(
        self, batch: changes.Batch, scope: store.Scope = store.Scope.ALL
    ) -> None:
        """Replace servers and evacuations with those of a complete read.

        Those that the scope of the read does not cover remain.
        """
        self._update_era(batch.revision)
        if scope is not store.Scope.FLEET:
            evacuated = {
                change.data_centre
                for change in batch.changes
                if isinstance(change, changes.EvacuationRequested)
            }
            for data_centre in self.evacuated_data_centres - evacuated:
                self._end_evacuation(data_centre)
            ordered = {
                change.service
                for change in batch.changes
                if isinstance(change, changes.RolloutOrdered)
            }
            for service in self.rollouts.keys() - ordered:
                self._withdraw_rollout(service)
        if scope is not store.Scope.OPERATOR:
            self._remove_unlisted_servers(batch)
            self.has_snapshot = True
        self.apply_changes(batch)

    def _remove_unlisted_servers(self, batch: changes.Batch) -> None:
        now = self.read_time()
        listed = {
            change.server.id
            for change in batch.changes
            if isinstance(change, changes.ServerReported)
        }
        for server_id in self.servers.keys() - listed:
            self._apply_removal(server_id, now)

    def record_store_contact(self, after_failure: bool) -> None:
        """Record an answer of the store and detect the end of an outage.

        `after_failure` says whether the previous call failed.
        """
        now = self.read_time()
        overdue = now - self._last_contact_at > MAX_CONTACT_GAP_SECONDS
        if self.has_snapshot and (overdue or after_failure):
            self._reconnected_at = self._contact_since = now
        elif overdue:
            self._contact_since = now
        self._last_contact_at = now

    def get_contact_start(self) -> float:
        """Return since when the store has answered, without an outage."""
        return self._contact_since

    def _update_era(self, position: int) -> None:
        """Notice that the store has returned from a copy."""
        era = positions.get_era(position)
        if self._era is not None and era > self._era:
            now = self.read_time()
            self._reconnected_at = self._contact_since = now
            self._returned_until = now + RETURN_GRACE_SECONDS
            self.log.write(
                "store_returned",
                era=era,
                previous_era=self._era,
                revision=positions.get_revision(position),
            )
        self._era = max(era, self._era or 0)

    def _end_evacuation(self, data_centre: str) -> None:
        """Use a data centre again, after a return of the store not at once."""
        if self.read_time() < self._returned_until:
            self._evacuation_ends[data_centre] = self._returned_until
            self.log.write(
                "evacuation_kept",
                data_centre=data_centre,
                until=self._returned_until,
            )
        elif data_centre in self.evacuated_data_centres:
            self._evacuation_ends.pop(data_centre, None)
            self.evacuated_data_centres.discard(data_centre)
            self.log.write("evacuation_ended", data_centre=data_centre)

    def apply_changes(self, batch: changes.Batch) -> None:
        """Apply changes in their order."""
        self._update_era(batch.revision)
        now = self.read_time()
        for change in batch.changes:
            self._apply_change(change, now)

    def _apply_change(self, change: changes.Change, now: float) -> None:
        if isinstance(change, changes.ServerReported):
            self._apply_report(change.server, now)
        elif isinstance(change, changes.ServerRemoved):
            self._apply_removal(change.id, now)
        elif isinstance(change, changes.ConfigurationAccepted):
            self._accept_configuration(change)
        elif isinstance(change, changes.EvacuationRequested):
            self.evacuated_data_centres.add(change.data_centre)
            self._evacuation_ends.pop(change.data_centre, None)
            self.log.write("evacuation", data_centre=change.data_centre)
        elif isinstance(change, changes.EvacuationEnded):
            self._end_evacuation(change.data_centre)
        elif isinstance(change, changes.TargetWeightsChanged):
            known = self.target_weights.get(change.model, 0)
            if change.version > known:
                self._set_target_weights(change.model, change.version)
                self.log.write(
                    "weights_named",
                    model=change.model,
                    version=change.version,
                )
        elif isinstance(change, changes.RolloutOrdered):
            self._order_rollout(change)
        elif isinstance(change, changes.RolloutWithdrawn):
            self._withdraw_rollout(change.service)
        else:
            self.log.write(
                "record_rejected", key=change.key, reason=change.reason
            )

    def _order_rollout(self, change: changes.RolloutOrdered) -> None:
        known = self.rollouts.get(change.service)
        if known is not None and known.revision >= change.revision:
            return
        ordered_at = self.confirmed_at
        if not math.isfinite(ordered_at):
            ordered_at = self.read_time()
        order = RolloutOrder(
            change.service,
            change.target,
            change.revision,
            ordered_at,
            ordered_at + change.seconds,
        )
        self.rollouts[change.service] = order
        self.log.write(
            "rollout_ordered",
            service=order.service,
            target=order.target,
            revision=order.revision,
            seconds=change.seconds,
            replaced=known.target if known else None,
        )

    def _withdraw_rollout(self, service: str) -> None:
        if self.rollouts.pop(service, None) is not None:
            self.log.write("rollout_withdrawn", service=service)

    def _set_target_weights(self, model: str, version: int) -> None:
        self.target_weights[model] = version
        history = self._target_history.setdefault(model, [])
        history.append(
            _TargetWeights(
                version,
                self.confirmed_at,
                self.read_time(),
                self._compute_older_expiry(),
            )
        )
        del history[:-MAX_TARGET_HISTORY]

    def _compute_older_expiry(self) -> float:
        """Return when weights expire that were found to be replaced now."""
        if self.weights_limits is None:
            return float("inf")
        return max(
            self.confirmed_at + self.weights_limits.lifetime_seconds,
            self._contact_since + self.weights_limits.contact_grace_seconds,
        )

    def find_earliest_supersession(self, model: str, version: int) -> float:
        """Return the earliest time at which a newer version may have been set.

        This is the last confirmation before this host read the newer target
        version of `model`, and `inf` while it knows of none.
        """
        target = self._find_successor(model, version)
        return target.superseded_at if target else float("inf")

    def find_latest_supersession(self, model: str, version: int) -> float:
        """Return the latest time at which a newer version may have been set.

        This is when this host read the newer target version of `model`. It is
        `inf` while it knows of none.
        """
        target = self._find_successor(model, version)
        return target.read_at if target else float("inf")

    def find_weights_expiry(self, model: str, version: int) -> float:
        """Return the time from which no request may begin on a version.

        It is `inf` while this host knows of no newer target version.
        """
        target = self._find_successor(model, version)
        return target.older_expire_at if target else float("inf")

    def _find_successor(
        self, model: str, version: int
    ) -> t.Optional[_TargetWeights]:
        """Return the first target version of a model after `version`."""
        return next(
            (
                target
                for target in self._target_history.get(model, ())
                if target.version > version
            ),
            None,
        )

    def _accept_configuration(
        self, change: changes.ConfigurationAccepted
    ) -> None:
        configuration = change.configuration
        known = self.configuration.version if self.configuration else 0
        if configuration.version < known:
            self.log.write(
                "configuration_refused",
                version=configuration.version,
                known=known,
            )
        elif configuration.version > known:
            self.configuration = configuration
            self._update_shared_space()
            self.log.write(
                "configuration",
                version=configuration.version,
                previous=known,
                routes=len(configuration.routes),
                keys=len(configuration.customers),
                bytes=change.bytes,
                decode_seconds=change.decode_seconds,
            )

    def _apply_report(self, server: topology.Server, now: float) -> None:
        known = self.servers.get(server.id)
        if known is None and self._is_deleted(server):
            self.log.write("server_report_outdated", server=server.id)
            return
        if known is not None:
            if _get_age_key(server) < _get_age_key(known):
                return
            same_incarnation = server.started_at == known.started_at
            if same_incarnation and known.draining and not server.draining:
                return
        if known is None or attrs.evolve(
            known, sequence=0, cold_until=0.0
        ) != attrs.evolve(server, sequence=0, cold_until=0.0):
            self.log.write(
                "server",
                server=server.id,
                service=server.service,
                address=server.address,
                data_centre=server.data_centre,
                draining=server.draining,
                cold=round(max(0.0, server.cold_until - now), 2),
                version=server.version or None,
                weights=dict(server.weights),
                started_at=server.started_at,
            )
        self.servers[server.id] = server
        self._removal_deadlines.pop(server.id, None)
        for listener in self.on_report:
            listener(server)

    def _apply_removal(self, server_id: str, now: float) -> None:
        server = self.servers.get(server_id)
        if server is None:
            return
        until = max(
            self._reconnected_at + EXPIRY_GRACE_SECONDS, self._returned_until
        )
        if not server.draining and now < until:
            self._removal_deadlines.setdefault(server_id, until)
            self.log.write("server_lapsed", server=server_id, until=until)
            return
        self._delete_server(server_id)

    def _is_deleted(self, server: topology.Server) -> bool:
        """Return whether a report is from before a server was deleted.

        Only a copy of the store can still show it.
        """
        if server.id not in self._deleted:
            return False
        era, last = self._deleted[server.id]
        return (self._era or 0) > era and (
            _get_age_key(server) <= _get_age_key(last)
        )

    def _delete_server(self, server_id: str) -> None:
        server = self.servers.pop(server_id, None)
        if server is not None:
            self._deleted.pop(server_id, None)
            self._deleted[server_id] = (self._era or 0, server)
            if len(self._deleted) > MAX_DELETED_SERVERS:
                del self._deleted[next(iter(self._deleted))]
        self._removal_deadlines.pop(server_id, None)
        self.log.write("server_removed", server=server_id)
        for listener in self.on_removal:
            listener(server_id)

    def update_weights(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Set a server's weight versions, learnt before its next report."""
        server = self.servers.get(server_id)
        if server is not None and dict(server.weights) != dict(weights):
            self.servers[server_id] = attrs.evolve(server, weights=weights)
            self.log.write("weights", server=server_id, weights=dict(weights))

    def list_usable_servers(self, service: str) -> t.List[topology.Server]:
        """Return the servers of a service that may receive new requests."""
        now = self.read_time()
        for server_id in [
            i for i, at in self._removal_deadlines.items() if now >= at
        ]:
            self._delete_server(server_id)
        for data_centre in [
            d for d, at in self._evacuation_ends.items() if now >= at
        ]:
            self._end_evacuation(data_centre)
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and not server.draining
            and server.data_centre not in self.evacuated_data_centres
        ]


def _get_age_key(server: topology.Server) -> t.Tuple[int, int]:
    """Return what orders the reports of a server by age."""
    return server.started_at, server.sequence
