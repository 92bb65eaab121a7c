"""UDP messages between entry hosts."""

import asyncio
import json
import typing as t

from sesamefold.entry import decisions

# Largest encoded message, somewhat below the limit of a UDP datagram.
MAX_MESSAGE_BYTES = 60_000

Address = t.Tuple[str, int]
# Called with the name of the sending host, the address that the datagram came
# from and the decoded body.
Handler = t.Callable[[str, Address, t.Any], None]


class Peers(t.Protocol):
    """The other entry hosts."""

    def list_peers(self, same_region: bool) -> t.Mapping[str, Address]:
        """Return the addresses of other hosts by name.

        These are the hosts of this region if `same_region` is set, else those
        of all other regions.
        """

    def get_link_mbps(self, host: str) -> float:
        """Return the bandwidth of a host's link in Mbit/s, 0.0 if unknown."""


class PeerChannel(asyncio.DatagramProtocol):
    """Exchanges messages with other entry hosts over UDP, by topic.

    Messages may be lost, duplicated or delayed, and a peer may run another
    version. A message that cannot be decoded or handled is logged and
    dropped; one with an unknown topic is dropped without a log line.

        channel.subscribe("loads", loads.receive_loads)
        channel.send("loads", [1, {}], peers.list_peers(True).values())
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
        """Register the handler of a topic's messages.

        The handler may raise `ValueError`, `TypeError`, `KeyError` or
        `AttributeError` for a body that it cannot decode.
        """
        self._handlers[topic] = handler

    async def open(self) -> None:
        """Bind the socket; raises `OSError` if that fails."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )

    def get_address(self) -> Address:
        """Return the IP address and port that the socket is bound to."""
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
        """Send a message to each address, without a guarantee of delivery.

        Nothing is sent before `open`. A message of more than
        `MAX_MESSAGE_BYTES` is logged and dropped.
        """
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
        """Pass a message to its topic's handler; drop this host's own."""
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
            OverflowError,
            RecursionError,
        ) as error:
            self._log.write(
                "peer_message_rejected",
                address=str(addr),
                reason=f"{type(error).__name__}: {error}"[:100],
            )

    def error_received(self, exc: Exception) -> None:
        """Log that a message could not be sent."""
        self._log.write("peer_message_unsent", reason=str(exc)[:100])
