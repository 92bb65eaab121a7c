"""Relay of the operator's records between the entry hosts of a region.

All hosts need a new configuration at once, and it may have a megabyte. If each
host reads it from the store, the link between the regions carries it a hundred
times and nothing else meanwhile. In a large region only a few hosts, the
readers, watch these records in the store. The others ask a reader about once a
second how recent its records are, and fetch those that changed from it.
"""

import asyncio
import contextlib
import math
import random
import typing as t
import zlib

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import operator_records
from sesamefold.entry import store
from sesamefold import exceptions
from sesamefold import rendezvous

QUESTION_TOPIC = "operator-question"
ANSWER_TOPIC = "operator-answer"
NEWS_TOPIC = "operator-news"
# Largest number of peers in this region with which each host reads the
# operator's records from the store itself.
MAX_DIRECT_PEERS = 10
# Number of peers below which a host that used the relay reads them itself
# again.
MIN_RELAYED_PEERS = 8
# Hosts of a region that read the operator's records from the store.
READERS_PER_REGION = 2
# Hosts that read them next when no reader answers.
BACKUPS_PER_REGION = 2
# Longest wait of a reader's watch. Its answers confirm an age of up to twice
# this time.
READER_WATCH_SECONDS = 0.5
# Time between two watches, which bounds the calls while records change often.
READ_INTERVAL_SECONDS = 0.1
# Wait of a watch in place of the readers' answers.
FALLBACK_WATCH_SECONDS = 0.05
# Interval between questions while the records are confirmed.
QUESTION_INTERVAL_SECONDS = 0.8
# Age of the last confirmation from which a host asks all readers and backups,
# and the interval between its questions then.
STALE_SECONDS = 2.0
STALE_QUESTION_INTERVAL_SECONDS = 0.3
# Age of the last confirmation at which a host reads the store itself: a
# backup, and the other hosts one after another. API keys must be confirmed
# every 4.5 s.
BACKUP_FALLBACK_SECONDS = 2.4
FALLBACK_SECONDS = 3.2
FALLBACK_SPREAD_SECONDS = 0.9
# The same for a host that has just started and has no records yet.
BACKUP_START_FALLBACK_SECONDS = 0.25
START_FALLBACK_SECONDS = 0.5
START_FALLBACK_SPREAD_SECONDS = 0.5
# Shortest and longest delay after a failed fetch. Fetches are refused while
# many hosts fetch at once.
FETCH_RETRY_SECONDS = (0.1, 0.25)
# Shortest and longest delay after a failed read of the store.
READ_RETRY_SECONDS = (0.2, 0.5)
# Interval at which an idle relay checks whether it is used.
IDLE_INTERVAL_SECONDS = 0.1
# Questions whose answers are accepted.
REMEMBERED_QUESTIONS = 20
# Keys in a log line about fetched records.
MAX_LOGGED_KEYS = 10


@attrs.frozen
class Received:
    """Records fetched from another host.

    `age` is the time since that host's last confirmation, in seconds, when it
    began to answer.
    """

    records: operator_records.RecordSet
    age: float


class RecordTransfers(t.Protocol):
    """Transfers of records that may be too large for datagrams."""

    async def fetch(self, address: datagrams.Address, after: int) -> Received:
        """Return the records of a host that changed after a revision.

        Raises `exceptions.PlatformUnavailable`.
        """


@attrs.frozen
class _Offer:
    """Records of another host that are newer than those of this one."""

    digest: str
    as_of: int


class OperatorRelay:
    """Learns the operator's records from the readers of the region.

    A host's records contain all changes that the store acknowledged before
    `catalog.confirmed_at`. A host that has all records of another one can
    therefore adopt its confirmation. The other host states the age of its
    confirmation, and the age counts from the sending of the question, so
    that delays and pauses on the way only make a confirmation older.

    The relay is used while `active`; otherwise the store follower reads the
    records. Each host answers questions in any case.
    """

    def __init__(
        self,
        host: str,
        channel: datagrams.PeerChannel,
        peers: datagrams.Peers,
        source: store.RecordSource,
        transfers: RecordTransfers,
        catalog: catalogs.Catalog,
        log: decisions.DecisionLog,
        read_time: t.Callable[[], float] = clock.read_time,
    ) -> None:
        self._host = host
        self._channel = channel
        self._peers = peers
        self._source = source
        self._transfers = transfers
        self._catalog = catalog
        self._log = log
        self._read_time = read_time
        self.records = operator_records.OperatorRecords()
        self.active = False
        self._activated_at = float("inf")
        self._history_lost = False
        # Set after a fetch of changes that do not fit this host's records.
        self._needs_all = False
        # The store is read before the next fetch if this host is due to.
        self._fetch_failed = False
        self._last_failure = ""
        self._mode = ""
        self._offers: t.Dict[datagrams.Address, _Offer] = {}
        self._questions: t.Dict[float, None] = {}
        self._wake = asyncio.Event()
        self._cached_ranking: t.Tuple[t.Any, t.List[str]] = (None, [host])
        channel.subscribe(QUESTION_TOPIC, self._answer)
        channel.subscribe(ANSWER_TOPIC, self._receive_answer)
        channel.subscribe(NEWS_TOPIC, self._receive_news)

    def update_activity(self) -> bool:
        """Use the relay if the region is large; return whether it is used."""
        peers = len(self._peers.list_peers(same_region=True))
        limit = MIN_RELAYED_PEERS - 1 if self.active else MAX_DIRECT_PEERS
        if (peers > limit) != self.active:
            self.active = not self.active
            self._activated_at = (
                self._read_time() if self.active else float("inf")
            )
            self._set_mode("" if self.active else "direct")
        return self.active

    def rank_readers(self) -> t.List[str]:
        """Return the hosts of the region in the order in which they read."""
        peers = self._peers.list_peers(same_region=True)
        if self._cached_ranking[0] != peers:
            ranked = rendezvous.rank_owners(
                QUESTION_TOPIC, [self._host, *peers]
            )
            # A configuration of a megabyte takes a small host's link a second
            # for ten receivers.
            ranked.sort(key=self._peers.get_link_mbps, reverse=True)
            self._cached_ranking = (dict(peers), ranked)
        return self._cached_ranking[1]

    def is_reader(self) -> bool:
        """Return whether this host reads the store for others."""
        return self._host in self.rank_readers()[:READERS_PER_REGION]

    def is_due_to_read(self) -> bool:
        """Return whether this host reads the store now.

        Hosts that no reader answers read it one after another, so that the
        first of them can answer the others.
        """
        ranked = self.rank_readers()
        rank = ranked.index(self._host)
        if rank < READERS_PER_REGION:
            return True
        backup = rank < READERS_PER_REGION + BACKUPS_PER_REGION
        share = rank / len(ranked)
        if not self.records.as_of:
            wait = (
                BACKUP_START_FALLBACK_SECONDS
                if backup
                else START_FALLBACK_SECONDS
                + START_FALLBACK_SPREAD_SECONDS * share
            )
            return self._read_time() - self._activated_at >= wait
        return self._compute_age() >= (
            BACKUP_FALLBACK_SECONDS
            if backup
            else FALLBACK_SECONDS + FALLBACK_SPREAD_SECONDS * share
        )

    def _compute_age(self) -> float:
        return self._read_time() - self._catalog.confirmed_at

    def _is_stale(self) -> bool:
        return not self.records.as_of or self._compute_age() >= STALE_SECONDS

    async def run(self) -> None:
        """Learn records until cancelled, while the relay is active."""
        while True:
            await self._wait(await self.step())

    async def step(self) -> float:
        """Fetch records, read them or ask; return the seconds to wait then."""
        if not self.active:
            return IDLE_INTERVAL_SECONDS
        try:
            due = self.is_due_to_read()
            address = self._choose_offer()
            if address is not None and not (due and self._fetch_failed):
                await self._fetch(address)
                return 0.0
            if due:
                await self._read_store()
                return READ_INTERVAL_SECONDS
        except exceptions.HistoryLost:
            self._history_lost = True
            return 0.0
        except exceptions.PlatformError as error:
            self._record_failure(error)
            self.ask()
            return random.uniform(
                *(
                    FETCH_RETRY_SECONDS
                    if self._fetch_failed
                    else READ_RETRY_SECONDS
                )
            )
        self.ask()
        return random.uniform(0.9, 1.0) * (
            STALE_QUESTION_INTERVAL_SECONDS
            if self._is_stale()
            else QUESTION_INTERVAL_SECONDS
        )

    async def _wait(self, seconds: float) -> None:
        """Wait for a time or until another host has newer records."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        self._wake.clear()

    async def _read_store(self) -> None:
        """Read the changes of the records from the store and apply them."""
        reader = self.is_reader()
        self._set_mode("reader" if reader else "fallback")
        started_at = self._read_time()
        activated_at = self._activated_at
        complete = not self.records.as_of or self._history_lost
        if complete:
            batch = await self._source.read_all(store.Scope.OPERATOR)
        else:
            batch = await self._source.watch(
                self.records.as_of,
                READER_WATCH_SECONDS if reader else FALLBACK_WATCH_SECONDS,
                store.Scope.OPERATOR,
            )
        self._fetch_failed = False
        self._last_failure = ""
        if self._activated_at != activated_at:
            # The store follower has read the records meanwhile.
            return
        digest = self.records.digest
        if complete:
            self._history_lost = False
            self._catalog.apply_snapshot(batch, store.Scope.OPERATOR)
            self.records.apply_snapshot(batch.operator_records, batch.revision)
        else:
            self._catalog.apply_changes(batch)
            self.records.apply_changes(batch.operator_records, batch.revision)
        self._catalog.confirm(started_at, not complete)
        if digest != self.records.digest:
            self._announce()

    def _announce(self) -> None:
        """Tell the hosts that ask this one that its records have changed."""
        if self._host in self._list_candidates():
            self._channel.send(
                NEWS_TOPIC,
                [self.records.digest, self.records.as_of],
                self._peers.list_peers(same_region=True).values(),
            )

    def _list_candidates(self) -> t.List[str]:
        """Return the readers and the backups of the region."""
        return self.rank_readers()[: READERS_PER_REGION + BACKUPS_PER_REGION]

    def ask(self) -> None:
        """Ask a reader how recent its records are, or all if none answers."""
        if not self.active:
            return
        candidates = self._list_candidates()
        if not self._is_stale():
            readers = candidates[:READERS_PER_REGION]
            number = zlib.crc32(self._host.encode()) % len(readers)
            candidates = [readers[number]]
        peers = self._peers.list_peers(same_region=True)
        now = self._read_time()
        self._questions[now] = None
        if len(self._questions) > REMEMBERED_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        self._channel.send(
            QUESTION_TOPIC,
            [now],
            [peers[host] for host in candidates if host in peers],
        )

    def _answer(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        (asked_at,) = body
        age = self._compute_age()
        if self.records.as_of and math.isfinite(age):
            self._channel.send(
                ANSWER_TOPIC,
                [asked_at, self.records.digest, self.records.as_of, age],
                [address],
            )

    def _receive_answer(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        asked_at, digest, as_of, age = body
        if not self.active or asked_at not in self._questions:
            return
        if not isinstance(age, (int, float)) or not 0 <= age < math.inf:
            raise ValueError("the age is out of range")
        self._receive_news(host, address, [digest, as_of])
        if self.records.as_of >= as_of:
            self._set_mode("relay")
            self._catalog.confirm(asked_at - age)

    def _receive_news(
        self, host: str, address: datagrams.Address, body: t.Any
    ) -> None:
        digest, as_of = body
        if not isinstance(digest, str) or not isinstance(as_of, int):
            raise TypeError("the digest or the revision has the wrong type")
        if not self.active:
            return
        if digest == self.records.digest:
            self.records.extend(as_of)
        elif as_of > self.records.as_of:
            self._offers[address] = _Offer(digest, as_of)
            self._wake.set()

    def _choose_offer(self) -> t.Optional[datagrams.Address]:
        """Return the address of a host with newer records, if there is one.

        Hosts that learn of new records together choose among those that have
        them at random.
        """
        self._offers = {
            address: offer
            for address, offer in self._offers.items()
            if offer.as_of > self.records.as_of
            and offer.digest != self.records.digest
        }
        if not self._offers:
            return None
        address = random.choice(list(self._offers))
        del self._offers[address]
        return address

    async def _fetch(self, address: datagrams.Address) -> None:
        """Fetch the records of another host and apply what changed."""
        started_at = self._read_time()
        activated_at = self._activated_at
        after = 0 if self._needs_all else self.records.as_of
        try:
            received = await self._transfers.fetch(address, after)
            changed = self.records.list_changes(received.records)
        except ValueError as error:
            self._fetch_failed = self._needs_all = True
            raise exceptions.PlatformUnavailable(
                f"{address[0]}: {error}"
            ) from error
        except exceptions.PlatformUnavailable:
            self._fetch_failed = True
            raise
        self._fetch_failed = self._needs_all = False
        self._last_failure = ""
        decoded = await self._source.decode(changed)
        if self._activated_at != activated_at:
            # The store follower has read the records meanwhile.
            return
        as_of = received.records.as_of
        if as_of > self.records.as_of:
            self.records.apply_changes(changed, as_of)
            self._catalog.apply_changes(changes.Batch(decoded, as_of))
        self._catalog.confirm(started_at - received.age)
        self._set_mode("relay")
        self._log.write(
            "operator_fetched",
            address=":".join(map(str, address)),
            as_of=self.records.as_of,
            keys=[record.key for record in changed[:MAX_LOGGED_KEYS]],
            seconds=round(self._read_time() - started_at, 3),
            age=round(received.age, 3),
        )

    def _record_failure(self, error: exceptions.PlatformError) -> None:
        """Log a failure unless the one before had the same reason."""
        if error.message != self._last_failure:
            self._last_failure = error.message
            self._log.write("operator_unread", reason=error.message)

    def _set_mode(self, mode: str) -> None:
        """Log a change of where the operator's records come from."""
        if mode and mode != self._mode:
            self._log.write("operator_source", source=mode)
        self._mode = mode
