"""Loads of backend servers, summed over all entry hosts."""

import asyncio
import itertools
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import requests
from sesamefold import rendezvous

# Topic of messages with the loads of one host.
TOPIC = "loads"
# Topic of messages with the summed loads of a region.
SUMS_TOPIC = "load-sums"
# Time between two messages, seconds. Requests take some hundred milliseconds
# or more, so loads of this age still show which servers have capacity.
SHARE_INTERVAL_SECONDS = 0.1
# Largest number of peers in this region, and in the other ones, at which each
# host sends its loads to all others. In larger fleets, hosts send them only to
# a few hosts of their region, the aggregators, which send out the sums.
MAX_DIRECT_PEERS = 10
# Number of hosts in a region that sum up its loads.
AGGREGATORS_PER_REGION = 2
# Time between two messages in a fleet with aggregators, seconds.
AGGREGATION_INTERVAL_SECONDS = 0.25
# Time between two messages to the hosts of other regions, seconds. The link
# between regions is narrow and paid by volume.
REMOTE_INTERVAL_SECONDS = 0.4
# Time between two messages with the sums of a region to the hosts of other
# regions, seconds. The link between regions is narrow and paid by volume.
REMOTE_SUMS_INTERVAL_SECONDS = 1.0
# Longest time without a message while the loads do not change, seconds.
REFRESH_INTERVAL_SECONDS = 0.5
# Age at which the loads received from a peer expire, seconds.
PEER_EXPIRY_SECONDS = 1.5
# Number of own messages that are remembered, to subtract them from sums.
REMEMBERED_MESSAGES = 20


@attrs.frozen
class Load:
    """Load of a server: requests, tokens in memory and tokens to prefill.

    `prefill_tokens` counts those of prompts without any output yet.
    """

    requests: int = 0
    memory_tokens: int = 0
    prefill_tokens: int = 0

    def __neg__(self) -> "Load":
        return Load(-self.requests, -self.memory_tokens, -self.prefill_tokens)

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.requests + other.requests,
            self.memory_tokens + other.memory_tokens,
            self.prefill_tokens + other.prefill_tokens,
        )


_NO_LOAD = Load()
# Begin of the names of rows that stand for no server: ids of servers have no
# spaces. Hosts that do not know the rows pass them on.
_WAITING_MARK = " waiting"
_SLOWDOWN_MARK = " slowdown"


def make_waiting_row(service: str, rank: int) -> str:
    """Return the name of the row with what waits for a service.

    The row holds the requests of one rank that wait for room, and the memory
    that they need.
    """
    return f"{_WAITING_MARK} {rank} {service}"


def make_slowdown_row(server_id: str) -> str:
    """Return the name of the row with the slowdown of a server.

    `requests` counts the hosts that have learnt of it and `memory_tokens` is
    the sum of what they learnt, in percent.
    """
    return f"{_SLOWDOWN_MARK} {server_id}"


def estimate_memory(prompt: t.Optional[requests.Prompt]) -> int:
    """Return the tokens that a request will have in memory at its end.

    The caller's estimate of the output is right only at the median. Without
    one, half of the allowed output is expected.
    """
    if prompt is None:
        return 0
    expected = prompt.expected_output_tokens
    if expected is None:
        expected = prompt.max_output_tokens // 2
    return prompt.tokens + min(expected, prompt.max_output_tokens)


class Reservation:
    """The load that one request adds to a server until it is released."""

    def __init__(
        self,
        loads: "Loads",
        server_id: str,
        memory_tokens: int,
        prefill_tokens: int,
    ) -> None:
        self._loads = loads
        self._server_id = server_id
        self._memory_tokens = memory_tokens
        self._prefill_tokens = prefill_tokens
        self._released = False
        self.load = Load(1, memory_tokens, prefill_tokens)
        loads.add(server_id, Load(1, memory_tokens, prefill_tokens))

    def record_prefill(self) -> None:
        """Record that the server has prefilled the prompt."""
        prefilled, self._prefill_tokens = self._prefill_tokens, 0
        if prefilled:
            self._loads.add(self._server_id, Load(0, 0, -prefilled))

    def release(self) -> None:
        """Remove the request from the load, however the request ended.

        Further calls have no effect.
        """
        if self._released:
            return
        self._released = True
        self.record_prefill()
        self._loads.add(self._server_id, Load(-1, -self._memory_tokens))


class SharedValue:
    """A value in a row of this host's loads until it is released."""

    def __init__(
        self, loads: "Loads", row: str, value: int, expires_at: float
    ) -> None:
        self.expires_at = expires_at
        self._loads = loads
        self._row = row
        self._load = Load(1, value)
        self._released = False
        loads.add(row, self._load)

    def release(self) -> None:
        """Remove the value; further calls have no effect."""
        if not self._released:
            self._released = True
            self._loads.add(self._row, -self._load)


LoadsByServer = t.Mapping[str, Load]


def _decode(rows: t.Mapping[str, t.Sequence[int]]) -> t.Dict[str, Load]:
    return {
        server_id: Load(*(int(n) for n in numbers))
        for server_id, numbers in rows.items()
    }


def _encode(loads: LoadsByServer) -> t.Dict[str, t.Tuple[int, ...]]:
    return {
        server_id: attrs.astuple(load) for server_id, load in loads.items()
    }


def _sum_loads(tables: t.Iterable[LoadsByServer]) -> t.Dict[str, Load]:
    """Return the sum of loads by server, without servers that have none."""
    sums: t.Dict[str, Load] = {}
    for server_id, load in itertools.chain.from_iterable(
        table.items() for table in tables
    ):
        known = sums.get(server_id)
        sums[server_id] = load if known is None else known + load
    return {s: load for s, load in sums.items() if load != _NO_LOAD}


@attrs.define
class _Update:
    """Loads received from a host: its own or those of its region."""

    host: str
    sequence: int
    received_at: float
    loads: LoadsByServer


@attrs.define
class Loads:
    """Loads that this host and its peers put on each server.

    Loads are soft state: the loads of a peer expire when it sends no more
    messages, and those of an unreachable peer are missing from the sum.
    While sums of this host's own region are known, only the sums of regions
    are added to this host's own loads, not the loads of single peers.
    The callbacks in `on_change` are called when room may have become free.
    """

    host: str
    region: str
    read_time: t.Callable[[], float] = clock.read_time
    _own_loads: t.Dict[str, Load] = attrs.field(factory=dict)
    _peer_updates: t.Dict[str, _Update] = attrs.field(factory=dict)
    _region_updates: t.Dict[str, _Update] = attrs.field(factory=dict)
    _sent_loads: t.Dict[int, LoadsByServer] = attrs.field(factory=dict)
    _other_loads: t.Optional[t.Dict[str, Load]] = None
    _changed: bool = False
    _shared_values: t.List[SharedValue] = attrs.field(factory=list)
    on_change: t.List[t.Callable[[], None]] = attrs.field(factory=list)

    def add(self, server_id: str, load: Load) -> None:
        """Add to this host's load on a server; `load` may be negative."""
        total = self._own_loads.get(server_id, _NO_LOAD) + load
        if total == _NO_LOAD:
            self._own_loads.pop(server_id, None)
        else:
            self._own_loads[server_id] = total
        self._changed = True
        if load.requests < 0:
            self._notify()

    def _notify(self) -> None:
        for listener in self.on_change:
            listener()

    def get_update_interval(self) -> float:
        """Return the time between two figures of this region's loads."""
        if self.region in self._region_updates:
            return AGGREGATION_INTERVAL_SECONDS
        return SHARE_INTERVAL_SECONDS

    def get_figure_age(self, same_region: bool) -> float:
        """Return how old the figures of other hosts are on average, seconds.

        A figure waits half an interval on average at each host that passes it
        on, and is used for half an interval until the next one.
        """
        if self.region not in self._region_updates:
            return (
                SHARE_INTERVAL_SECONDS
                if same_region
                else REMOTE_INTERVAL_SECONDS
            )
        if same_region:
            return 1.5 * AGGREGATION_INTERVAL_SECONDS
        return AGGREGATION_INTERVAL_SECONDS + REMOTE_SUMS_INTERVAL_SECONDS

    def reserve(
        self, server_id: str, memory_tokens: int, prefill_tokens: int
    ) -> Reservation:
        """Add a request to a server's load and return its reservation."""
        return Reservation(self, server_id, memory_tokens, prefill_tokens)

    def share_value(
        self, row: str, value: int, expires_at: float
    ) -> SharedValue:
        """Add a value to a row until it expires, and return it."""
        shared = SharedValue(self, row, value, expires_at)
        self._shared_values.append(shared)
        return shared

    def get_load(self, server_id: str) -> Load:
        """Return the load of a server, summed over all unexpired hosts."""
        other = self.get_other_load(server_id)
        own = self._own_loads.get(server_id)
        if own is None:
            return other
        return own if other is _NO_LOAD else own + other

    def get_other_load(self, server_id: str) -> Load:
        """Return the load that the other hosts put on a server."""
        if self._other_loads is None:
            self._other_loads = self._sum_other_loads()
        return self._other_loads.get(server_id, _NO_LOAD)

    def _sum_other_loads(self) -> t.Dict[str, Load]:
        if self.region in self._region_updates:
            return _sum_loads(
                update.loads for update in self._region_updates.values()
            )
        return _sum_loads(
            update.loads
            for update in itertools.chain(
                self._peer_updates.values(), self._region_updates.values()
            )
        )

    def drop_expired(self) -> None:
        """Remove values and the loads of peers that have expired."""
        now = self.read_time()
        for shared in self._shared_values:
            if now >= shared.expires_at:
                shared.release()
        self._shared_values = [
            shared for shared in self._shared_values if now < shared.expires_at
        ]
        oldest = self.read_time() - PEER_EXPIRY_SECONDS
        for updates in (self._peer_updates, self._region_updates):
            for name in [
                n
                for n, update in updates.items()
                if update.received_at < oldest
            ]:
                del updates[name]
                self._other_loads = None

    def encode_loads(self, sequence: int) -> t.Any:
        """Return the body of a message with this host's loads."""
        self._sent_loads[sequence] = dict(self._own_loads)
        if len(self._sent_loads) > REMEMBERED_MESSAGES:
            del self._sent_loads[next(iter(self._sent_loads))]
        return [sequence, _encode(self._own_loads)]

    def encode_sums(self, sequence: int) -> t.Any:
        """Return the body of a message with the region's summed loads.

        The body also maps each peer in the sums to the sequence of its
        message that they include.
        """
        region_loads = _sum_loads(
            [
                self._own_loads,
                *(update.loads for update in self._peer_updates.values()),
            ]
        )
        included = {
            host: update.sequence
            for host, update in self._peer_updates.items()
        }
        return [sequence, self.region, _encode(region_loads), included]

    def receive_loads(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Store the loads of a peer; messages out of order are ignored."""
        sequence, rows = body
        update = _Update(host, int(sequence), self.read_time(), _decode(rows))
        self._store_update(self._peer_updates, host, update)

    def receive_sums(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Store a region's summed loads, less this host's own in them."""
        sequence, region, rows, included = body
        region_loads = _decode(rows)
        if region == self.region:
            own = self._sent_loads.get(included.get(self.host), {})
            region_loads = _sum_loads(
                [region_loads, {s: -load for s, load in own.items()}]
            )
        update = _Update(host, int(sequence), self.read_time(), region_loads)
        self._store_update(self._region_updates, str(region), update)

    def _store_update(
        self, updates: t.Dict[str, _Update], name: str, update: _Update
    ) -> None:
        known = updates.get(name)
        if (
            known is not None
            and known.host == update.host
            and update.received_at - known.received_at < PEER_EXPIRY_SECONDS
            and update.sequence <= known.sequence
        ):
            return
        updates[name] = update
        self._other_loads = None
        self._notify()

    def reset_changed(self) -> bool:
        """Return whether this host's loads changed, and reset the flag."""
        changed, self._changed = self._changed, False
        return changed


class LoadSharing:
    """Sends this host's loads to its peers and receives theirs."""

    def __init__(
        self,
        loads: Loads,
        channel: datagrams.PeerChannel,
        peers: datagrams.Peers,
    ) -> None:
        self._loads = loads
        self._channel = channel
        self._peers = peers
        # Milliseconds, so that sequences after a restart exceed earlier ones.
        self._sequence = int(clock.read_time() * 1000)
        self._sent_at = self._sent_remote_at = 0.0
        self._cached_aggregators: t.Tuple[t.Any, t.List[str]] = (None, [])
        channel.subscribe(TOPIC, loads.receive_loads)
        channel.subscribe(SUMS_TOPIC, self._receive_sums)

    def list_aggregators(self) -> t.List[str]:
        """Return the hosts that sum up the loads of this region.

        The list is empty if each host sends its loads to all others.
        """
        local_peers = self._peers.list_peers(same_region=True)
        remote_peers = self._peers.list_peers(same_region=False)
        if self._cached_aggregators[0] != (local_peers, remote_peers):
            aggregators = self._rank_aggregators(local_peers, remote_peers)
            self._cached_aggregators = (
                (local_peers, remote_peers),
                aggregators,
            )
        return self._cached_aggregators[1]

    def _rank_aggregators(
        self, local_peers: t.Collection[str], remote_peers: t.Collection[str]
    ) -> t.List[str]:
        if max(len(local_peers), len(remote_peers)) <= MAX_DIRECT_PEERS:
            return []
        hosts = [self._loads.host, *local_peers]
        ranked = rendezvous.rank_owners(TOPIC, hosts)
        # Sums for 40 hosts take 4 Mbit/s, the whole link of a small host.
        ranked.sort(key=self._peers.get_link_mbps, reverse=True)
        return ranked[:AGGREGATORS_PER_REGION]

    def _receive_sums(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        """Store the summed loads of a region.

        An aggregator ignores those of its own region, which it sums up itself.
        """
        aggregates = self._loads.host in self.list_aggregators()
        if not aggregates or body[1] != self._loads.region:
            self._loads.receive_sums(host, address, body)

    async def run(self) -> None:
        """Send loads periodically until cancelled."""
        while True:
            aggregators = self.list_aggregators()
            await asyncio.sleep(
                AGGREGATION_INTERVAL_SECONDS
                if aggregators
                else SHARE_INTERVAL_SECONDS
            )
            self.send_updates(aggregators, clock.read_time())

    def send_updates(self, aggregators: t.Sequence[str], now: float) -> None:
        """Send the loads if they changed or if a refresh is due.

        `now` is an instant of `clock.read_time`.
        """
        self._loads.drop_expired()
        self._sequence = max(self._sequence + 1, int(now * 1000))
        if self._loads.host in aggregators:
            self._send_sums(aggregators, now)
        changed = self._loads.reset_changed()
        if not changed and now - self._sent_at < REFRESH_INTERVAL_SECONDS:
            return
        self._sent_at = now
        local_peers = self._peers.list_peers(same_region=True)
        receivers = [
            address
            for host, address in local_peers.items()
            if not aggregators or host in aggregators
        ]
        if (
            not aggregators
            and now - self._sent_remote_at >= REMOTE_INTERVAL_SECONDS
        ):
            self._sent_remote_at = now
            receivers += self._peers.list_peers(same_region=False).values()
        body = self._loads.encode_loads(self._sequence)
        self._channel.send(TOPIC, body, receivers)

    def _send_sums(self, aggregators: t.Sequence[str], now: float) -> None:
        local_peers = self._peers.list_peers(same_region=True)
        receivers = [
            address
            for host, address in local_peers.items()
            if host not in aggregators
        ]
        first = self._loads.host == aggregators[0]
        if (
            first
            and now - self._sent_remote_at >= REMOTE_SUMS_INTERVAL_SECONDS
        ):
            self._sent_remote_at = now
            receivers += self._peers.list_peers(same_region=False).values()
        body = self._loads.encode_sums(self._sequence)
        self._channel.send(SUMS_TOPIC, body, receivers)
