"""Datagrams between entry hosts."""

import asyncio
import json
import typing as t

from sesamefold.entry import decisions

# Largest message, bytes; a datagram takes no more.
MAX_MESSAGE_BYTES = 60_000

Address = t.Tuple[str, int]
# Called with the name of the sending host, its address and the body.
Handler = t.Callable[[str, Address, t.Any], None]


class Peers(t.Protocol):
    """The other entry hosts."""

    def list_peers(self, same_region: bool) -> t.Mapping[str, Address]:
        """Return the addresses of the hosts of this region, or the others."""

    def get_link_mbps(self, host: str) -> float:
        """Return the link of a host, 0.0 if it is not known."""


class PeerChannel(asyncio.DatagramProtocol):
    """Sends and receives the messages of entry hosts, by topic.

    Messages may be lost, repeated or late, and a peer may run another
    version; a body that its handler cannot read is logged and ignored.

        channel.subscribe("loads", loads.receive_loads)
        channel.send("loads", [1, {}], peers)
    """

    def __init__(
        self, host: str, address: Address, log: decisions.DecisionLog
    ) -> None:
        self._host = host
        self._address = address
        self._log = log
        self._handlers: t.Dict[str, Handler] = {}
        self._transport: t.Optional[asyncio.DatagramTransport] = None

    def subscribe(self, topic: str, handler: Handler) -> None:
        """Give the messages of a topic to a handler.

        It may raise `ValueError`, `TypeError`, `KeyError` and
        `AttributeError` for a body that it cannot read.
        """
        self._handlers[topic] = handler

    async def open(self) -> None:
        """Open the socket; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def get_address(self) -> Address:
        """Return the address of the open socket."""
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")
        return host, port

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(
        self, topic: str, body: t.Any, addresses: t.Iterable[Address]
    ) -> None:
        """Send a message to hosts, as far as the network takes it."""
        if self._transport is None:
            return
        message = json.dumps([topic, self._host, body], separators=(",", ":"))
        data = message.encode()
        if len(data) > MAX_MESSAGE_BYTES:
            self._log.write("peer_message_too_long", topic=topic)
            return
        for address in addresses:
            self._transport.sendto(data, address)

    def datagram_received(
        self, data: bytes, addr: t.Tuple[t.Any, ...]
    ) -> None:
        """Give a message to its topic's handler."""
        try:
            topic, host, body = json.loads(data)
            handler = self._handlers.get(topic)
            if handler is not None and host != self._host:
                handler(host, (addr[0], addr[1]), body)
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            RecursionError,
        ) as error:
            self._log.write(
                "peer_message_rejected",
                address=str(addr),
                reason=f"{type(error).__name__}: {error}"[:100],
            )

    def error_received(self, exc: Exception) -> None:
        """Note that a message could not be sent."""
        self._log.write("peer_message_unsent", reason=str(exc)[:100])
