"""Notices about backend servers, exchanged by the hosts of a region."""

import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import datagrams
from sesamefold.entry import server_status
from sesamefold.entry import topology

# Topics of notices of servers that leave, and of those whose address another
# server has taken.
LEAVING_TOPIC = "leaving"
REPLACED_TOPIC = "replaced"


@attrs.define
class ServerNotices:
    """Tells the entry hosts of the region what this host learnt of a server.

    A host without requests at a server would otherwise learn it only from the
    next list of servers. A lost message costs no more than that delay or one
    request.

    A message holds a server id and the time of the server's start. Messages
    about servers or incarnations that the receiver does not know are ignored,
    and no notice is passed on. `record` is called with the server and the
    name of the host that sent a notice.
    """

    topic: str
    channel: datagrams.PeerChannel
    peers: datagrams.Peers
    catalog: catalogs.Catalog
    record: t.Callable[[topology.Server, str], None]

    def __attrs_post_init__(self) -> None:
        self.channel.subscribe(self.topic, self._receive_notice)

    def announce(self, server: topology.Server) -> None:
        """Send a notice about a server."""
        self.channel.send(
            self.topic,
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
            self.record(server, host)


def exchange_notices(
    channel: datagrams.PeerChannel,
    peers: datagrams.Peers,
    catalog: catalogs.Catalog,
    statuses: server_status.ServerStatuses,
) -> None:
    """Tell the hosts of the region of servers that leave or were replaced."""
    leaving = ServerNotices(
        LEAVING_TOPIC, channel, peers, catalog, statuses.record_peer_notice
    )
    statuses.on_leaving.append(leaving.announce)
    replaced = ServerNotices(
        REPLACED_TOPIC,
        channel,
        peers,
        catalog,
        statuses.record_replaced_notice,
    )
    statuses.on_replaced.append(replaced.announce)
