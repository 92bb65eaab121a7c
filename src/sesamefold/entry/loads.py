"""Load of backend servers, summed over the entry hosts."""

import asyncio
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import requests

# Time between two messages to the peers, seconds. Runs take some hundred
# milliseconds or more, so that a view of this age still tells where room is.
SHARE_INTERVAL = 0.1
# Peers up to which that interval holds; with more it grows in proportion, up
# to a factor, so that the messages to one host stay within bounds.
SHARE_PEERS = 10
SHARE_STRETCH = 2.5
# Time between two messages to the hosts of other regions, seconds, and their
# largest number: the link between regions is narrow and paid by volume.
FAR_INTERVAL = 0.4
FAR_PEERS = 12
# Longest time without a message while nothing changes, seconds.
REPEAT_INTERVAL = 0.5
# Age from which a peer's load no longer counts, seconds.
PEER_SECONDS = 1.5
# Topic of the messages.
TOPIC = "loads"


@attrs.frozen
class Load:
    """Requests at a server: their number, tokens in memory, tokens to read.

    `unread_tokens` are those of prompts that have produced nothing yet.
    """

    requests: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0

    def __neg__(self) -> "Load":
        return Load(-self.requests, -self.memory_tokens, -self.unread_tokens)

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.requests + other.requests,
            self.memory_tokens + other.memory_tokens,
            self.unread_tokens + other.unread_tokens,
        )


_NO_LOAD = Load()


def _add(loads: t.Dict[str, Load], server_id: str, load: Load) -> None:
    total = loads.get(server_id, _NO_LOAD) + load
    if total == _NO_LOAD:
        loads.pop(server_id, None)
    else:
        loads[server_id] = total


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

    read_time: t.Callable[[], float] = clock.read_time
    _own: t.Dict[str, Load] = attrs.field(factory=dict)
    _peers: t.Dict[str, _PeerLoads] = attrs.field(factory=dict)
    _totals: t.Dict[str, Load] = attrs.field(factory=dict)
    _changed: bool = False

    def add(self, server_id: str, load: Load) -> None:
        """Change this host's load on a server."""
        _add(self._own, server_id, load)
        _add(self._totals, server_id, load)
        self._changed = True

    def reserve(
        self, server_id: str, memory_tokens: int, unread_tokens: int
    ) -> Reservation:
        """Add a request to a server's load."""
        return Reservation(self, server_id, memory_tokens, unread_tokens)

    def get_load(self, server_id: str) -> Load:
        """Return the load of a server, over all entry hosts that are heard."""
        return self._totals.get(server_id, _NO_LOAD)

    def forget_silent(self) -> None:
        """Take the loads of peers that fell silent out of the sums."""
        oldest = self.read_time() - PEER_SECONDS
        for host in [h for h, p in self._peers.items() if p.at < oldest]:
            self._replace(self._peers.pop(host).loads, {})

    def _replace(
        self, before: t.Mapping[str, Load], after: t.Mapping[str, Load]
    ) -> None:
        for server_id, load in before.items():
            _add(self._totals, server_id, -load)
        for server_id, load in after.items():
            _add(self._totals, server_id, load)

    def encode(self, sequence: int) -> t.Any:
        """Return the body of the message that tells this host's loads."""
        return [
            sequence,
            {
                server_id: attrs.astuple(load)
                for server_id, load in self._own.items()
            },
        ]

    def take(self, host: str, address: datagrams.Address, body: t.Any) -> None:
        """Take a peer's message; an older one than the last is ignored."""
        sequence, loads = body
        decoded = {
            server_id: Load(*(int(n) for n in numbers))
            for server_id, numbers in loads.items()
        }
        known = self._peers.get(host)
        now = self.read_time()
        if known is not None and now - known.at < PEER_SECONDS:
            if sequence <= known.sequence:
                return
        self._replace(known.loads if known else {}, decoded)
        self._peers[host] = _PeerLoads(sequence, now, decoded)

    def take_changed(self) -> bool:
        """Return whether this host's loads changed since the last call."""
        changed, self._changed = self._changed, False
        return changed


class Peers(t.Protocol):
    """The other entry hosts."""

    def list_peers(self, neighbours: bool) -> t.Dict[str, datagrams.Address]:
        """Return the addresses of the hosts of this region, or the others."""


class LoadSharing:
    """Tells this host's loads to its peers and listens to theirs."""

    def __init__(
        self, loads: Loads, channel: datagrams.PeerChannel, peers: Peers
    ) -> None:
        self._loads = loads
        self._channel = channel
        self._peers = peers
        channel.subscribe(TOPIC, loads.take)

    async def run(self) -> None:
        """Send until cancelled."""
        # A restarted host goes on above the numbers of its earlier life.
        sequence = int(clock.read_time() * 1000)
        sent_at = sent_far_at = 0.0
        while True:
            peers = self._peers.list_peers(neighbours=True)
            crowd = max(1.0, len(peers) / SHARE_PEERS)
            await asyncio.sleep(SHARE_INTERVAL * min(crowd, SHARE_STRETCH))
            self._loads.forget_silent()
            now = clock.read_time()
            changed = self._loads.take_changed()
            if not changed and now - sent_at < REPEAT_INTERVAL:
                continue
            sent_at = now
            sequence = max(sequence + 1, int(now * 1000))
            if now - sent_far_at >= FAR_INTERVAL:
                sent_far_at = now
                far = self._peers.list_peers(neighbours=False)
                peers = {**peers, **far} if len(far) <= FAR_PEERS else peers
            self._channel.send(
                TOPIC, self._loads.encode(sequence), peers.values()
            )
