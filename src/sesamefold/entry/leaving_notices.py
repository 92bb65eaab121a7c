"""Notices of leaving servers, exchanged by the hosts of a region."""

import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import datagrams
from sesamefold.entry import server_status
from sesamefold.entry import topology

TOPIC = "leaving"


@attrs.define
class LeavingNotices:
    """Informs the entry hosts of the region of servers that leave.

    A host without requests at a server would otherwise learn only from the
    next list of servers that it leaves. A lost message costs no more than
    that delay or one request.

    A message holds a server id and the time of the server's start. Messages
    about servers or incarnations that the receiver does not know are ignored,
    and no notice is passed on.
    """

    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    catalog: catalogs.Catalog
    statuses: server_status.ServerStatuses

    def __attrs_post_init__(self) -> None:
        self.channel.subscribe(TOPIC, self._receive_notice)
        self.statuses.on_leaving.append(self._announce)

    def _announce(self, server: topology.Server) -> None:
        self.channel.send(
            TOPIC,
            [server.id, server.started_at],
            self.peers.list_peers(same_region=True).values(),
        )

    def _receive_notice(
        self, host: str, sender: datagrams.Address, body: t.Any
    ) -> None:
        server_id, started_at = body
        if not isinstance(server_id, str) or type(started_at) is not int:
            raise TypeError("a server id and a time of start are expected")
        server = self.catalog.servers.get(server_id)
        if server is not None and server.started_at == started_at:
            self.statuses.record_peer_notice(server, host)
