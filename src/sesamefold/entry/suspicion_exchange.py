"""Exchange of crashes, and of what is suspected of them, between hosts."""

import asyncio
import itertools
import math
import random
import typing as t

import attrs

from sesamefold import culprits as culprits_module
from sesamefold import defaults
from sesamefold.entry import clock
from sesamefold.entry import crash_detection
from sesamefold.entry import datagrams
from sesamefold import rendezvous
from sesamefold import suspicions

TOPIC = "suspicions"
# Time in which changes are collected before they are sent, seconds.
COLLECTION_SECONDS = 0.05
# Times after a change at which it is sent, seconds; messages may be lost.
SEND_DELAYS_SECONDS = (0.0, 0.3, 1.0)
# Time between two messages with the culprits to `GOSSIP_PEERS` peers, from
# which hosts that have just started or were cut off learn them, seconds.
GOSSIP_INTERVAL_SECONDS = 1.0
GOSSIP_PEERS = 2
# Largest number of peers in this region, and in the other ones, at which each
# host sends to all of them. In larger fleets hosts send to a few relays of
# each region, which pass the changes on there.
MAX_DIRECT_PEERS = 10
RELAYS = 2
# Suspicions in one message, which must fit into a datagram.
MAX_SUSPICIONS = 50
MAX_CRASHES = 50
_SHORT_BYTES = 8


@attrs.define(eq=False)
class SuspicionExchange:
    """Sends the crashes and suspicions of this host to the other hosts.

    Messages hold states, not events, and merging them is idempotent, so they
    may be lost, repeated and reordered. A message is a list of crashes,
    `[server, started_at, number]`, one of suspicions, `[subject, crashes]`
    with crashes of the form `[id, seconds, cleared, request, customer]`, where
    `seconds` is how much longer one counts, and the seconds since a request
    with a prompt last ended well, null if none has. Digests are in
    hexadecimal.
    """

    channel: datagrams.PeerChannel
    host: str
    peers: datagrams.Peers
    culprits: culprits_module.Culprits
    crashes: crash_detection.CrashDetector
    read_time: t.Callable[[], float] = clock.read_time
    # Subjects and crashes to send, with the times at which they are due.
    _due: t.Dict[t.Any, t.List[float]] = attrs.field(factory=dict)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.channel.subscribe(TOPIC, self._receive)

    def announce(
        self,
        changes: t.Iterable[suspicions.Suspicion] = (),
        crash: t.Optional[crash_detection.Crash] = None,
    ) -> None:
        """Send changes of suspicions and a crash to the other hosts."""
        self._enqueue(change.request for change in changes)
        if crash is not None:
            self._enqueue([crash])

    def _enqueue(self, items: t.Iterable[t.Any]) -> None:
        now = self.read_time()
        for item in items:
            self._due[item] = [now + delay for delay in SEND_DELAYS_SECONDS]
        if self._due:
            self._changed.set()

    async def run(self) -> None:
        """Send what is due until cancelled."""
        gossip_at = self.read_time() + GOSSIP_INTERVAL_SECONDS
        while True:
            try:
                async with asyncio.timeout(self._get_wait_seconds(gossip_at)):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            await asyncio.sleep(COLLECTION_SECONDS)
            self.send_due()
            if self.read_time() >= gossip_at:
                gossip_at = self.read_time() + GOSSIP_INTERVAL_SECONDS
                self.culprits.store.drop_expired()
                self.send_culprits()

    def _get_wait_seconds(self, gossip_at: float) -> t.Optional[float]:
        """Return the seconds until something is due, None if nothing is."""
        if not self._due and not self.culprits.has_suspects():
            return None
        times = itertools.chain([gossip_at], *self._due.values())
        return max(0.0, min(times) - self.read_time())

    def send_due(self) -> None:
        """Send the changes that are due."""
        now = self.read_time()
        items = [item for item, times in self._due.items() if times[0] <= now]
        for item in items:
            times = [at for at in self._due.pop(item) if at > now]
            if times:
                self._due[item] = times
        subjects = {item for item in items if isinstance(item, bytes)}
        crashes = [item for item in items if not isinstance(item, bytes)]
        changes = (
            [
                change
                for change in self.culprits.store.list_changes()
                if change.request in subjects
            ]
            if subjects
            else []
        )
        self._send(crashes, changes, self._list_receivers())

    def send_culprits(self) -> None:
        """Send what is known of the culprits to some peers."""
        if not self.culprits.has_suspects():
            return
        addresses = [
            address
            for same_region in (True, False)
            for address in self.peers.list_peers(same_region).values()
        ]
        receivers = random.sample(addresses, min(GOSSIP_PEERS, len(addresses)))
        self._send([], self.culprits.list_changes(), receivers)

    def _list_receivers(self) -> t.Collection[datagrams.Address]:
        """Return the hosts that get this host's changes."""
        local = self.peers.list_peers(same_region=True)
        remote = self.peers.list_peers(same_region=False)
        if max(len(local), len(remote)) <= MAX_DIRECT_PEERS:
            return [*local.values(), *remote.values()]
        relays = self._choose_relays([self.host, *local])
        receivers = {
            address
            for host, address in local.items()
            if self.host in relays or host in relays
        }
        return receivers.union(
            remote[host] for host in self._choose_relays(remote)
        )

    def _choose_relays(self, hosts: t.Iterable[str]) -> t.List[str]:
        """Return the hosts of a region that pass changes on in it."""
        ranked = rendezvous.rank_owners(TOPIC, hosts)
        ranked.sort(key=self.peers.get_link_mbps, reverse=True)
        return ranked[:RELAYS]

    def _is_relay(self) -> bool:
        local = self.peers.list_peers(same_region=True)
        remote = self.peers.list_peers(same_region=False)
        return max(
            len(local), len(remote)
        ) > MAX_DIRECT_PEERS and self.host in self._choose_relays(
            [self.host, *local]
        )

    def _send(
        self,
        crashes: t.Sequence[crash_detection.Crash],
        changes: t.Sequence[suspicions.Suspicion],
        receivers: t.Collection[datagrams.Address],
    ) -> None:
        rows = [self._encode(change) for change in changes]
        for start in range(
            0, max(len(rows), len(crashes)), min(MAX_SUSPICIONS, MAX_CRASHES)
        ):
            end = start + min(MAX_SUSPICIONS, MAX_CRASHES)
            self.channel.send(
                TOPIC,
                [
                    [
                        list(attrs.astuple(crash))
                        for crash in crashes[start:end]
                    ],
                    rows[start:end],
                    self._get_success_age(),
                ],
                receivers,
            )

    def _get_success_age(self) -> t.Optional[float]:
        age = self.read_time() - self.culprits.last_success_at
        return round(age, 3) if math.isfinite(age) else None

    def _encode(self, change: suspicions.Suspicion) -> t.List[t.Any]:
        now = self.read_time()
        return [
            change.request.hex(),
            [
                [
                    crash.id.hex(),
                    round(crash.until - now, 3),
                    int(crash.cleared),
                    crash.request.hex(),
                    crash.customer.hex(),
                ]
                for crash in change.crashes
            ],
        ]

    def _receive(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        crashes, rows, success_age = body
        if len(crashes) > MAX_CRASHES or len(rows) > MAX_SUSPICIONS:
            raise ValueError("the message is too long")
        if success_age is None:
            success_age = math.inf
        elif not math.isfinite(success_age):
            raise ValueError("the age is not finite")
        changes = [self._decode(row) for row in rows]
        notices = [_decode_crash_notice(row) for row in crashes]
        self.culprits.last_success_at = max(
            self.culprits.last_success_at,
            self.read_time() - max(0.0, success_age),
        )
        news = []
        for change in changes:
            revision = self.culprits.store.revision
            self.announce(self.culprits.merge([change]))
            if self.culprits.store.revision != revision:
                news.append(change.request)
        new_crashes = [
            crash for crash in notices if self.crashes.record_notice(crash)
        ]
        if self._is_relay():
            self._enqueue([*news, *new_crashes])
        # Wakes `run`, which waits for a change while nothing is suspected.
        self._changed.set()

    def _decode(self, row: t.Any) -> suspicions.Suspicion:
        subject, crashes = row
        if len(crashes) > defaults.QUARANTINE_CRASHES:
            raise ValueError("too many crashes")
        return suspicions.Suspicion(
            request=_decode_digest(
                subject,
                culprits_module.REQUEST_DIGEST_BYTES,
                culprits_module.PART_DIGEST_BYTES,
            ),
            crashes=[self._decode_crash(*crash) for crash in crashes],
        )

    def _decode_crash(
        self,
        crash_id: str,
        seconds: float,
        cleared: int,
        request: str,
        customer: str,
    ) -> suspicions.CrashMessage:
        if not math.isfinite(seconds):
            raise ValueError("the time is not finite")
        return suspicions.CrashMessage(
            id=_decode_digest(crash_id, _SHORT_BYTES),
            until=self.read_time()
            + min(float(seconds), defaults.QUARANTINE_SECONDS),
            cleared=bool(cleared),
            request=_decode_digest(request, _SHORT_BYTES, 0),
            customer=_decode_digest(customer, _SHORT_BYTES, 0),
        )


def _decode_digest(text: str, *lengths: int) -> bytes:
    digest = bytes.fromhex(text)
    if len(digest) not in lengths:
        raise ValueError("a digest has another length")
    return digest


def _decode_crash_notice(row: t.Any) -> crash_detection.Crash:
    server_id, *numbers = row
    if not isinstance(server_id, str) or [type(n) for n in numbers] != [
        int,
        int,
    ]:
        raise TypeError("a server id and two numbers are expected")
    return crash_detection.Crash(server_id, *numbers)
