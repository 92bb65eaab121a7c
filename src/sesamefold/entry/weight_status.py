"""News of engines that load weights, from the host that orders to all."""

import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import datagrams
from sesamefold.entry import placement as placements

TOPIC = "weights"


@attrs.define
class WeightStatusSharing:
    """Tells all entry hosts which engines load weights, and have loaded them.

    An engine refuses requests while it loads, and its own report of the new
    weights takes up to two seconds. Lost news cost only that: a host learns
    the same from refusals and reports.
    """

    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    catalog: catalogs.Catalog
    placement: placements.Placement

    def __attrs_post_init__(self) -> None:
        self.channel.subscribe(TOPIC, self._take)

    def announce_loading(self, server_id: str) -> None:
        """Tell that an engine was ordered to load weights."""
        self._announce(server_id, {})

    def announce_loaded(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Tell the weights that an engine has."""
        self._announce(server_id, weights)

    def _announce(self, server_id: str, weights: t.Mapping[str, int]) -> None:
        self._note(server_id, weights)
        addresses = [
            address
            for neighbours in (True, False)
            for address in self.peers.list_peers(neighbours).values()
        ]
        self.channel.send(TOPIC, [server_id, dict(weights)], addresses)

    def _take(self, host: str, sender: datagrams.Address, body: t.Any) -> None:
        server_id, weights = body
        self._note(
            str(server_id), {str(m): int(v) for m, v in weights.items()}
        )

    def _note(self, server_id: str, weights: t.Mapping[str, int]) -> None:
        server = self.catalog.servers.get(server_id)
        if server is None:
            return
        if not weights:
            self.placement.record_loading(server)
            return
        # News may be late; an engine's weights only get newer.
        newer = {
            model: max(version, server.weights.get(model, 0))
            for model, version in weights.items()
        }
        self.catalog.note_weights(server_id, {**server.weights, **newer})
        self.placement.record_loaded(server)
