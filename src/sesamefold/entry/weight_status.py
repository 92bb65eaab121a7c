"""Status of weight loading, announced to all hosts by the lease holder."""

import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import datagrams
from sesamefold.entry import placement as placements
from sesamefold.entry import topology

TOPIC = "weights"


@attrs.define
class WeightStatusSharing:
    """Informs all entry hosts of engines that load or have loaded weights.

    An engine refuses requests while it loads weights, and its own report of
    the new weights takes up to two seconds. A lost message costs no more than
    these delays, because hosts learn the same from refusals and reports.

    A message holds a server id, the weights of the engine, which are empty
    while the engine loads, and the start time of the engine. Messages of an
    earlier build lack the latter.
    """

    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    catalog: catalogs.Catalog
    placement: placements.Placement

    def __attrs_post_init__(self) -> None:
        self.channel.subscribe(TOPIC, self._receive_status)

    def announce_loading(self, server_id: str) -> None:
        """Announce that an engine was ordered to load weights."""
        self._announce_status(server_id, {})

    def announce_loaded(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Announce the weights that an engine has loaded."""
        self._announce_status(server_id, weights)

    def _announce_status(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        server = self.catalog.servers.get(server_id)
        if server is None:
            return
        self._apply_status(server, weights)
        addresses = [
            address
            for same_region in (True, False)
            for address in self.peers.list_peers(same_region).values()
        ]
        self.channel.send(
            TOPIC, [server_id, dict(weights), server.started_at], addresses
        )

    def _receive_status(
        self, host: str, sender: datagrams.Address, body: t.Any
    ) -> None:
        server_id, weights, *started_at = body
        server = self.catalog.servers.get(str(server_id))
        if server is None or started_at not in ([], [server.started_at]):
            return
        self._apply_status(
            server, {str(m): int(v) for m, v in weights.items()}
        )

    def _apply_status(
        self, server: topology.Server, weights: t.Mapping[str, int]
    ) -> None:
        if not weights:
            self.placement.record_loading(server)
            return
        # Messages may arrive late; the weights of an engine only get newer.
        newer = {
            model: max(version, server.weights.get(model, 0))
            for model, version in weights.items()
        }
        self.catalog.update_weights(server.id, {**server.weights, **newer})
        self.placement.record_loaded(server)
