"""Load of backend servers, summed over the entry hosts."""

import asyncio
import json
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests

# Time between two messages to the peers, seconds. Runs take some hundred
# milliseconds or more, so that a view of this age still tells where room is.
SHARE_INTERVAL = 0.1
# Longest time without a message while nothing changes, seconds.
REPEAT_INTERVAL = 0.5
# Age from which a peer's load no longer counts, seconds.
PEER_SECONDS = 1.5
# Largest message, bytes; a datagram takes no more.
MAX_MESSAGE_BYTES = 60_000


@attrs.frozen
class Load:
    """Requests at a server: their number, tokens in memory, tokens to read.

    `unread_tokens` are those of prompts that have produced nothing yet.
    """

    requests: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.requests + other.requests,
            self.memory_tokens + other.memory_tokens,
            self.unread_tokens + other.unread_tokens,
        )


def estimate_memory(prompt: t.Optional[requests.Prompt]) -> int:
    """Return the tokens that a run will have in memory at its end.

    The caller's estimate of the output is right at the median only; without
    one, half of the most that is allowed counts.
    """
    if prompt is None:
        return 0
    expected = prompt.expected_output
    if expected is None:
        expected = prompt.output_tokens // 2
    return prompt.tokens + min(expected, prompt.output_tokens)


class Reservation:
    """One request's part of the load of a server, until it ends."""

    def __init__(
        self,
        loads: "Loads",
        server_id: str,
        memory_tokens: int,
        unread_tokens: int,
    ) -> None:
        self._loads = loads
        self._server_id = server_id
        self._memory_tokens = memory_tokens
        self._unread_tokens = unread_tokens
        loads.add(server_id, Load(1, memory_tokens, unread_tokens))

    def note_read(self) -> None:
        """Note that the server has read the prompt."""
        unread, self._unread_tokens = self._unread_tokens, 0
        if unread:
            self._loads.add(self._server_id, Load(0, 0, -unread))

    def end(self) -> None:
        """Note that the request has ended, in whatever way."""
        self.note_read()
        self._loads.add(self._server_id, Load(-1, -self._memory_tokens))


@attrs.define
class _PeerLoads:
    """The loads that another entry host told."""

    sequence: int
    at: float
    loads: t.Dict[str, Load]


@attrs.define
class Loads:
    """This host's load on each server, and that of its peers.

    Loads are soft state: a peer that falls silent no longer counts, and one
    that cannot be reached is missing from the sum.
    """

    host: str
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _own: t.Dict[str, Load] = attrs.field(factory=dict)
    _peers: t.Dict[str, _PeerLoads] = attrs.field(factory=dict)
    _changed: bool = False

    def add(self, server_id: str, load: Load) -> None:
        """Change this host's load on a server."""
        total = self._own.get(server_id, Load()) + load
        if total == Load():
            self._own.pop(server_id, None)
        else:
            self._own[server_id] = total
        self._changed = True

    def reserve(
        self, server_id: str, memory_tokens: int, unread_tokens: int
    ) -> Reservation:
        """Add a request to a server's load."""
        return Reservation(self, server_id, memory_tokens, unread_tokens)

    def get_load(self, server_id: str) -> Load:
        """Return the load of a server, over all entry hosts that are heard."""
        oldest = self.read_time() - PEER_SECONDS
        total = self._own.get(server_id, Load())
        for peer in self._peers.values():
            if peer.at >= oldest and server_id in peer.loads:
                total += peer.loads[server_id]
        return total

    def encode(self, sequence: int) -> bytes:
        """Return the message that tells this host's loads."""
        loads = {
            server_id: attrs.astuple(load)
            for server_id, load in self._own.items()
        }
        message = json.dumps(
            [self.host, sequence, loads], separators=(",", ":")
        )
        return message.encode()

    def take(self, message: bytes) -> None:
        """Take a peer's message; an older one than the last is ignored."""
        try:
            host, sequence, loads = json.loads(message)
            decoded = {
                server_id: Load(*(int(n) for n in numbers))
                for server_id, numbers in loads.items()
            }
        except (ValueError, TypeError, AttributeError) as error:
            self.log.write("peer_message_rejected", reason=str(error)[:100])
            return
        known = self._peers.get(host)
        now = self.read_time()
        if known is not None and now - known.at < PEER_SECONDS:
            if sequence <= known.sequence:
                return
        if host != self.host:
            self._peers[host] = _PeerLoads(sequence, now, decoded)

    def take_changed(self) -> bool:
        """Return whether this host's loads changed since the last call."""
        changed, self._changed = self._changed, False
        return changed


class LoadSharing(asyncio.DatagramProtocol):
    """Tells this host's loads to its peers and listens to theirs."""

    def __init__(
        self,
        loads: Loads,
        address: t.Tuple[str, int],
        list_peers: t.Callable[[], t.Iterable[t.Tuple[str, int]]],
    ) -> None:
        self._loads = loads
        self._address = address
        self._list_peers = list_peers

    def datagram_received(
        self, data: bytes, addr: t.Tuple[t.Any, ...]
    ) -> None:
        """Take a peer's message."""
        self._loads.take(data)

    async def run(self) -> None:
        """Send until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )
        try:
            await self._send(transport)
        finally:
            transport.close()

    async def _send(self, transport: asyncio.DatagramTransport) -> None:
        # A restarted host goes on above the numbers of its earlier life.
        sequence = int(clock.read_time() * 1000)
        sent_at = 0.0
        while True:
            await asyncio.sleep(SHARE_INTERVAL)
            now = clock.read_time()
            changed = self._loads.take_changed()
            if not changed and now - sent_at < REPEAT_INTERVAL:
                continue
            sent_at = now
            sequence = max(sequence + 1, int(now * 1000))
            message = self._loads.encode(sequence)
            if len(message) <= MAX_MESSAGE_BYTES:
                for peer in self._list_peers():
                    transport.sendto(message, peer)
