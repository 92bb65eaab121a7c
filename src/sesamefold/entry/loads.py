"""Load of backend servers, summed over the entry hosts."""

import asyncio
import itertools
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import requests
from sesamefold import rendezvous

# Topics of the messages: a host's own loads, and a region's sums.
TOPIC = "loads"
SUMS_TOPIC = "load-sums"
# Time between two messages, seconds. Runs take some hundred milliseconds or
# more, so that a view of this age still tells where room is.
SHARE_INTERVAL = 0.1
# Peers in a region up to which each host tells all others. In larger fleets
# the hosts tell a few of their region, which pass on the sums.
SHARE_PEERS = 10
COLLECTORS = 2
COLLECTING_INTERVAL = 0.25
# Time between two messages to the hosts of other regions, seconds, and to
# those of large ones: the link between regions is narrow and paid by volume.
FAR_INTERVAL = 0.4
FAR_SUMS_INTERVAL = 1.0
# Longest time without a message while nothing changes, seconds.
REPEAT_INTERVAL = 0.5
# Age from which what a peer told no longer counts, seconds.
PEER_SECONDS = 1.5
# Own messages that are remembered, to take them out of sums.
REMEMBERED_MESSAGES = 20


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

    def record_prefill(self) -> None:
        """Note that the server has read the prompt."""
        unread, self._unread_tokens = self._unread_tokens, 0
        if unread:
            self._loads.add(self._server_id, Load(0, 0, -unread))

    def release(self) -> None:
        """Note that the request has ended, in whatever way."""
        self.record_prefill()
        self._loads.add(self._server_id, Load(-1, -self._memory_tokens))


LoadTable = t.Mapping[str, Load]


def _decode(rows: t.Mapping[str, t.Sequence[int]]) -> t.Dict[str, Load]:
    return {
        server_id: Load(*(int(n) for n in numbers))
        for server_id, numbers in rows.items()
    }


def _encode(loads: LoadTable) -> t.Dict[str, t.Tuple[int, ...]]:
    return {
        server_id: attrs.astuple(load) for server_id, load in loads.items()
    }


def _sum(tables: t.Iterable[LoadTable]) -> t.Dict[str, Load]:
    """Return the sums of the loads, without servers that have none."""
    sums: t.Dict[str, Load] = {}
    for server_id, load in itertools.chain.from_iterable(
        table.items() for table in tables
    ):
        known = sums.get(server_id)
        sums[server_id] = load if known is None else known + load
    return {s: load for s, load in sums.items() if load != _NO_LOAD}


@attrs.define
class _Told:
    """The loads that a host told, of its own or of its region."""

    host: str
    sequence: int
    at: float
    loads: LoadTable


@attrs.define
class Loads:
    """This host's load on each server, and that of its peers.

    Loads are soft state: a peer that falls silent no longer counts, and one
    that cannot be reached is missing from the sum. The sums of a region go
    before what its hosts told one by one.
    """

    host: str
    region: str
    read_time: t.Callable[[], float] = clock.read_time
    _own: t.Dict[str, Load] = attrs.field(factory=dict)
    _peers: t.Dict[str, _Told] = attrs.field(factory=dict)
    _regions: t.Dict[str, _Told] = attrs.field(factory=dict)
    _sent: t.Dict[int, LoadTable] = attrs.field(factory=dict)
    _others: t.Optional[t.Dict[str, Load]] = None
    _changed: bool = False

    def add(self, server_id: str, load: Load) -> None:
        """Change this host's load on a server."""
        total = self._own.get(server_id, _NO_LOAD) + load
        if total == _NO_LOAD:
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
        if self._others is None:
            self._others = self._sum_others()
        other = self._others.get(server_id)
        own = self._own.get(server_id)
        if own is None:
            return other or _NO_LOAD
        return own if other is None else own + other

    def _sum_others(self) -> t.Dict[str, Load]:
        if self.region in self._regions:
            return _sum(told.loads for told in self._regions.values())
        return _sum(
            told.loads
            for told in itertools.chain(
                self._peers.values(), self._regions.values()
            )
        )

    def forget_silent(self) -> None:
        """Take the loads of peers that fell silent out of the sums."""
        oldest = self.read_time() - PEER_SECONDS
        for tables in (self._peers, self._regions):
            for name in [n for n, told in tables.items() if told.at < oldest]:
                del tables[name]
                self._others = None

    def encode(self, sequence: int) -> t.Any:
        """Return the body of the message that tells this host's loads."""
        self._sent[sequence] = dict(self._own)
        if len(self._sent) > REMEMBERED_MESSAGES:
            del self._sent[next(iter(self._sent))]
        return [sequence, _encode(self._own)]

    def encode_sums(self, sequence: int) -> t.Any:
        """Return the body of the message that tells the region's loads.

        It names the message of each host that is in the sums.
        """
        sums = _sum(
            [self._own, *(told.loads for told in self._peers.values())]
        )
        included = {host: told.sequence for host, told in self._peers.items()}
        return [sequence, self.region, _encode(sums), included]

    def receive_loads(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Take a peer's message; an older one than the last is ignored."""
        sequence, rows = body
        told = _Told(host, int(sequence), self.read_time(), _decode(rows))
        self._take(self._peers, host, told)

    def receive_sums(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Take a region's sums, less what this host itself told."""
        sequence, region, rows, included = body
        sums = _decode(rows)
        if region == self.region:
            own = self._sent.get(included.get(self.host), {})
            sums = _sum([sums, {s: -load for s, load in own.items()}])
        told = _Told(host, int(sequence), self.read_time(), sums)
        self._take(self._regions, str(region), told)

    def _take(
        self, tables: t.Dict[str, _Told], name: str, told: _Told
    ) -> None:
        known = tables.get(name)
        if (
            known is not None
            and known.host == told.host
            and told.at - known.at < PEER_SECONDS
            and told.sequence <= known.sequence
        ):
            return
        tables[name] = told
        self._others = None

    def take_changed(self) -> bool:
        """Return whether this host's loads changed since the last call."""
        changed, self._changed = self._changed, False
        return changed


class LoadSharing:
    """Tells this host's loads to its peers and listens to theirs."""

    def __init__(
        self,
        loads: Loads,
        channel: datagrams.PeerChannel,
        peers: datagrams.Peers,
    ) -> None:
        self._loads = loads
        self._channel = channel
        self._peers = peers
        # A restarted host goes on above the numbers of its earlier life.
        self._sequence = int(clock.read_time() * 1000)
        self._sent_at = self._sent_far_at = 0.0
        self._ranked: t.Tuple[t.Any, t.List[str]] = (None, [])
        channel.subscribe(TOPIC, loads.receive_loads)
        channel.subscribe(SUMS_TOPIC, self._take_sums)

    def list_collectors(self) -> t.List[str]:
        """Return the hosts that sum up the region's loads.

        There are none if each host can tell all others.
        """
        neighbours = self._peers.list_peers(neighbours=True)
        far = self._peers.list_peers(neighbours=False)
        if self._ranked[0] != (neighbours, far):
            collectors = self._rank_collectors(neighbours, far)
            self._ranked = ((neighbours, far), collectors)
        return self._ranked[1]

    def _rank_collectors(
        self, neighbours: t.Collection[str], far: t.Collection[str]
    ) -> t.List[str]:
        if max(len(neighbours), len(far)) <= SHARE_PEERS:
            return []
        hosts = [self._loads.host, *neighbours]
        ranked = rendezvous.rank_owners(TOPIC, hosts)
        # Sums for 40 hosts are 4 Mbit/s, as much as a small host's link.
        ranked.sort(key=self._peers.get_link_mbps, reverse=True)
        return ranked[:COLLECTORS]

    def _take_sums(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Take sums; a host that sums up itself needs those of others only."""
        collects = self._loads.host in self.list_collectors()
        if not collects or body[1] != self._loads.region:
            self._loads.receive_sums(host, address, body)

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            collectors = self.list_collectors()
            await asyncio.sleep(
                COLLECTING_INTERVAL if collectors else SHARE_INTERVAL
            )
            self.tell(collectors, clock.read_time())

    def tell(self, collectors: t.Sequence[str], now: float) -> None:
        """Tell what changed, or all again after a while."""
        self._loads.forget_silent()
        self._sequence = max(self._sequence + 1, int(now * 1000))
        if self._loads.host in collectors:
            self._tell_sums(collectors, now)
        changed = self._loads.take_changed()
        if not changed and now - self._sent_at < REPEAT_INTERVAL:
            return
        self._sent_at = now
        neighbours = self._peers.list_peers(neighbours=True)
        receivers = [
            address
            for host, address in neighbours.items()
            if not collectors or host in collectors
        ]
        if not collectors and now - self._sent_far_at >= FAR_INTERVAL:
            self._sent_far_at = now
            receivers += self._peers.list_peers(neighbours=False).values()
        body = self._loads.encode(self._sequence)
        self._channel.send(TOPIC, body, receivers)

    def _tell_sums(self, collectors: t.Sequence[str], now: float) -> None:
        neighbours = self._peers.list_peers(neighbours=True)
        receivers = [
            address
            for host, address in neighbours.items()
            if host not in collectors
        ]
        first = self._loads.host == collectors[0]
        if first and now - self._sent_far_at >= FAR_SUMS_INTERVAL:
            self._sent_far_at = now
            receivers += self._peers.list_peers(neighbours=False).values()
        body = self._loads.encode_sums(self._sequence)
        self._channel.send(SUMS_TOPIC, body, receivers)
