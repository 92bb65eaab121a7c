"""The newest configuration and the usable backend servers."""

import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import topology
from sesamefold import exceptions

# Time after the return of the store in which the reports of living servers
# that lapsed during its absence come back, seconds; the platform states 2.
LAPSE_GRACE_SECONDS = 2.2
# Age of the last contact from which the store counts as away, seconds. A
# watch is answered within 1.5 s and follows the one before within 1.3 s.
CONTACT_GAP = 3.0
# Namings of one model's weights that are remembered. No engine is as many
# versions behind.
NAMINGS = 100


@attrs.define
class Catalog:
    """What the platform says, and how fresh it is.

    `confirmed_at` is the latest instant at which the configuration is known
    to have been the newest, in seconds of `clock.read_time`.

    Rules: a configuration is never replaced by an older one; a server whose
    report lapsed while the store was away stays usable until `LAPSE_GRACE`
    after the store's return; a server that announced its leaving does not
    come back before it starts again.
    """

    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    configuration: t.Optional[topology.Configuration] = None
    confirmed_at: float = float("-inf")
    servers: t.Dict[str, topology.Server] = attrs.field(factory=dict)
    evacuated: t.Set[str] = attrs.field(factory=set)
    target_weights: t.Dict[str, int] = attrs.field(factory=dict)
    has_snapshot: bool = False
    on_report: t.List[t.Callable[[topology.Server], None]] = attrs.field(
        factory=list
    )
    on_removal: t.List[t.Callable[[str], None]] = attrs.field(factory=list)
    _namings: t.Dict[str, t.List[t.Tuple[int, float]]] = attrs.field(
        factory=dict
    )
    _lapsed: t.Dict[str, float] = attrs.field(factory=dict)
    _contact_at: float = float("-inf")
    _returned_at: float = float("-inf")

    def require_configuration(self) -> topology.Configuration:
        """Return the configuration.

        Raises `exceptions.PlatformUnavailable` while none is known.
        """
        if self.configuration is None:
            raise exceptions.PlatformUnavailable(
                "no configuration is known yet"
            )
        return self.configuration

    def confirm(self, at: float) -> None:
        """Note that the configuration was the newest at `at`."""
        self.confirmed_at = max(self.confirmed_at, at)

    def apply_snapshot(self, batch: changes.Batch) -> None:
        """Take the complete set of records."""
        now = self.read_time()
        self.evacuated = {
            change.data_centre
            for change in batch.changes
            if isinstance(change, changes.EvacuationRequested)
        }
        listed = {
            change.server.id
            for change in batch.changes
            if isinstance(change, changes.ServerReported)
        }
        for server_id in self.servers.keys() - listed:
            self._remove(server_id, now)
        self.apply_changes(batch)
        self.has_snapshot = True

    def record_store_contact(self, after_failure: bool) -> None:
        """Note an answer of the store.

        `after_failure` tells that the call before it failed.
        """
        now = self.read_time()
        silent = now - self._contact_at > CONTACT_GAP
        if self.has_snapshot and (silent or after_failure):
            self._returned_at = now
        self._contact_at = now

    def apply_changes(self, batch: changes.Batch) -> None:
        """Take changes in their order."""
        now = self.read_time()
        for change in batch.changes:
            self._apply(change, now)

    def _apply(self, change: changes.Change, now: float) -> None:
        if isinstance(change, changes.ServerReported):
            self._report(change.server, now)
        elif isinstance(change, changes.ServerRemoved):
            self._remove(change.id, now)
        elif isinstance(change, changes.ConfigurationAccepted):
            self._accept_configuration(change.configuration)
        elif isinstance(change, changes.EvacuationRequested):
            self.evacuated.add(change.data_centre)
            self.log.write("evacuation", data_centre=change.data_centre)
        elif isinstance(change, changes.EvacuationEnded):
            self.evacuated.discard(change.data_centre)
            self.log.write("evacuation_ended", data_centre=change.data_centre)
        elif isinstance(change, changes.TargetWeightsChanged):
            known = self.target_weights.get(change.model, 0)
            if change.version > known:
                self._name_weights(change.model, change.version)
                self.log.write(
                    "weights_named",
                    model=change.model,
                    version=change.version,
                )
        else:
            self.log.write(
                "record_rejected", key=change.key, reason=change.reason
            )

    def _name_weights(self, model: str, version: int) -> None:
        self.target_weights[model] = version
        namings = self._namings.setdefault(model, [])
        namings.append((version, self.confirmed_at))
        del namings[:-NAMINGS]

    def find_earliest_supersession(self, model: str, version: int) -> float:
        """Return an instant before which no newer version was named.

        It is the last confirmation before this host learned of one, and
        `inf` while it knows of none.
        """
        return next(
            (at for v, at in self._namings.get(model, ()) if v > version),
            float("inf"),
        )

    def _accept_configuration(
        self, configuration: topology.Configuration
    ) -> None:
        known = self.configuration.version if self.configuration else 0
        if configuration.version < known:
            self.log.write(
                "configuration_refused",
                version=configuration.version,
                known=known,
            )
        elif configuration.version > known:
            self.configuration = configuration
            self.log.write(
                "configuration",
                version=configuration.version,
                previous=known,
                routes=len(configuration.routes),
                keys=len(configuration.customers),
            )

    def _report(self, server: topology.Server, now: float) -> None:
        known = self.servers.get(server.id)
        if known is not None:
            older = (server.started_at, server.sequence) < (
                known.started_at,
                known.sequence,
            )
            if older:
                return
            same_life = server.started_at == known.started_at
            if same_life and known.draining and not server.draining:
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
                weights=dict(server.weights),
                started_at=server.started_at,
            )
        self.servers[server.id] = server
        self._lapsed.pop(server.id, None)
        for listener in self.on_report:
            listener(server)

    def _remove(self, server_id: str, now: float) -> None:
        server = self.servers.get(server_id)
        if server is None:
            return
        if (
            not server.draining
            and now < self._returned_at + LAPSE_GRACE_SECONDS
        ):
            until = self._returned_at + LAPSE_GRACE_SECONDS
            self._lapsed.setdefault(server_id, until)
            self.log.write("server_lapsed", server=server_id, until=until)
            return
        self._forget(server_id)

    def _forget(self, server_id: str) -> None:
        self.servers.pop(server_id, None)
        self._lapsed.pop(server_id, None)
        self.log.write("server_removed", server=server_id)
        for listener in self.on_removal:
            listener(server_id)

    def update_weights(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Take the weights that a server itself has told."""
        server = self.servers.get(server_id)
        if server is not None and dict(server.weights) != dict(weights):
            self.servers[server_id] = attrs.evolve(server, weights=weights)
            self.log.write("weights", server=server_id, weights=dict(weights))

    def list_usable_servers(self, service: str) -> t.List[topology.Server]:
        """Return the servers of a service that may get new requests."""
        now = self.read_time()
        for server_id in [i for i, at in self._lapsed.items() if now >= at]:
            self._forget(server_id)
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and not server.draining
            and server.data_centre not in self.evacuated
        ]
