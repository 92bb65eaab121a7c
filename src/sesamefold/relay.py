"""Watch of the configuration and its distribution in a data centre."""

import asyncio
import hashlib
import json
import random
import time
import typing as t

import grpc
import logbook
import mode
import prometheus_client

from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import keyvalue as keyvalues
from sesamefold import membership as memberships
from sesamefold import notification
from sesamefold import revisions
from sesamefold.wire import control_pb2

_log = logbook.Logger("relay")

_revision = prometheus_client.Gauge(
    "sesamefold_configuration_revision", "Configuration revision in force"
)
_older = prometheus_client.Counter(
    "sesamefold_configuration_older_revisions",
    "Answers with an older or a conflicting revision, never applied",
    ["source"],
)
_unreadable = prometheus_client.Counter(
    "sesamefold_configuration_unreadable",
    "Revisions that could not be read, never applied",
    ["source"],
)
_platform_up = prometheus_client.Gauge(
    "sesamefold_key_value_up",
    "1 while the last call of this host to the key-value service succeeded",
)
_fetches = prometheus_client.Counter(
    "sesamefold_configuration_fetches",
    "Fetches of the configuration from other controls, by result",
    ["result"],
)

# Reads of chunks from the key-value service at once.
_PARALLEL_READS = 8
# Failures in a row after which another control takes the watch.
_FAILURES_TO_YIELD = 2
# Fields of the head that only the command line uses, which reads them from
# the key-value service. The audit entries alone may take 256 KB.
_UNUSED_FIELDS = ("audit", "pages", "text")


def strip_head(data: bytes) -> bytes:
    """Return the head without the fields that no host uses."""
    head = json.loads(data)
    return json.dumps(
        {k: v for k, v in head.items() if k not in _UNUSED_FIELDS},
        sort_keys=True,
        separators=(",", ":"),
    ).encode()


class Relay(mode.Service):
    """Holds the configuration in force.

    One control of the data centre, the first in rank, watches the key-value
    service; the others take a new revision from the member that they hear it
    from. The chunks of customers are passed on as stored, not decoded.
    """

    mundane_level = "debug"

    def __init__(
        self,
        keyvalue: keyvalues.KeyValue,
        membership: memberships.Membership,
        *,
        seed: t.Optional[int] = None,
        **kwargs: t.Any,
    ) -> None:
        super().__init__(**kwargs)
        self.head: t.Optional[revisions.Head] = None
        self.configuration = configuration.Configuration()
        self.changed = notification.Notification()
        # True once the key-value service or a member has answered.
        self.initialised = False
        self._keyvalue = keyvalue
        self._membership = membership
        self._random = random.Random(seed)
        self._data = b""
        self._chunks: t.Dict[str, bytes] = {}
        # Chunks of a head that could not be read completely.
        self._spare: t.Dict[str, bytes] = {}
        self._failures = 0
        self._reached = False  # the last call of the watch succeeded
        self._yielded_until = 0.0
        self._learned_at = time.monotonic()
        self._offers: t.Dict[str, int] = {}
        self._offered = notification.Notification()

    @property
    def revision(self) -> int:
        """The revision in force, 0 when there is none yet."""
        return 0 if self.head is None else self.head.revision

    @property
    def platform_available(self) -> bool:
        """Whether the watcher reaches the key-value service."""
        if self.is_watcher():
            return self._reached
        peers = self._membership.list_peers()
        return any(
            not peers[name].platform_down
            for name in self._membership.list_members()
            if name in peers and peers[name].heartbeat_seen
        )

    def is_platform_down(self) -> bool:
        """Tell whether this host leaves the watch to others."""
        return time.monotonic() < self._yielded_until

    def is_watcher(self) -> bool:
        """Tell whether this control is first in rank for the watch."""
        return self._membership.is_owner("configuration")

    # What gateways and other controls get.

    def get_digests(self) -> t.FrozenSet[str]:
        """Return the digests of the chunks in force, customers included."""
        if self.head is None:
            return frozenset()
        return frozenset(self.head.list_digests(include_customers=True))

    def export(self, known: t.Container[str]) -> control_pb2.Configuration:
        """Return the head and the chunks whose digests are not known."""
        if self.head is None:
            return control_pb2.Configuration()
        return control_pb2.Configuration(
            revision=self.head.revision,
            head=self._data,
            chunks=[
                control_pb2.Chunk(digest=digest, data=self._chunks[digest])
                for digest in sorted(self.get_digests())
                if digest not in known
            ],
        )

    async def watch(
        self, known: t.Iterable[str]
    ) -> t.AsyncIterator[control_pb2.Configuration]:
        """Yield the configuration in force at once, then each change."""
        held = frozenset(known)
        sent = -1
        while True:
            event = self.changed.event
            if self.revision > sent:
                sent = self.revision
                message = self.export(held)
                held = self.get_digests()
                yield message
            await event.wait()

    # Taking in revisions.

    def is_newer(self, revision: int, edit_id: str, source: str) -> bool:
        """Tell whether a revision may be applied; alarm when it is older.

        `source` is "keyvalue" or "peer". A peer may lag behind, so only the
        key-value service's answer raises the alarm for a lower number.
        """
        if self.head is None:
            return True
        if revision > self.revision:
            return True
        same = revision == self.revision and edit_id == self.head.edit_id
        if not same and (source == "keyvalue" or revision == self.revision):
            _older.labels(source).inc()
            _log.error(
                "code {}: {} answered revision {} (edit {}) while revision"
                " {} (edit {}) is in force; it is not applied",
                exceptions.RevisionDowngrade.code,
                source,
                revision,
                edit_id,
                self.revision,
                self.head.edit_id,
            )
        return False

    def apply(
        self, data: bytes, chunks: t.Mapping[str, bytes], source: str
    ) -> bool:
        """Put a head into force; returns False when it is not newer.

        `chunks` must hold every chunk that is not held yet, else KeyError is
        raised and nothing changes.
        """
        head = revisions.Head.decode(data)
        if not self.is_newer(head.revision, head.edit_id, source):
            return False
        digests = head.list_digests(include_customers=True)
        merged = {
            digest: self._chunks.get(digest) or chunks[digest]
            for digest in digests
        }
        self.configuration = revisions.build_configuration(
            head, merged, include_customers=False
        )
        self.head = revisions.Head.decode(strip_head(data))
        self._data = strip_head(data)
        self._chunks = merged
        self._spare = {}
        self.initialised = True
        _revision.set(head.revision)
        _log.info(
            "revision {} of {} is in force, from {}",
            head.revision,
            head.author,
            source,
        )
        self.changed.notify()
        return True

    def try_apply(
        self, data: bytes, chunks: t.Mapping[str, bytes], source: str
    ) -> bool:
        """Put a head into force; an unreadable revision is only reported.

        A revision that this version cannot read must not end the daemons of
        all data centres; the revision before it stays in force.
        """
        try:
            return self.apply(data, chunks, source)
        except (
            KeyError,
            TypeError,
            ValueError,
            exceptions.SesamefoldError,
        ) as error:
            _unreadable.labels(source).inc()
            _log.error("{} sent an unreadable revision: {!r}", source, error)
            return False

    # From other controls.

    def record_peer_revision(self, revision: int, name: str) -> None:
        """Note the revision that a member reported."""
        self._learned_at = time.monotonic()
        if not self.initialised and revision == self.revision:
            self.initialised = True
        if revision > self.revision:
            self._offers[name] = revision
            self._offered.notify()

    async def fetch(self, name: str, seconds: float = 2.0) -> bool:
        """Take the configuration of another control if it is newer.

        Raises `grpc.RpcError` and `exceptions.ControlUnavailable`.
        """
        reply = await self._membership.get_stub(name).FetchConfiguration(
            control_pb2.FetchConfigurationRequest(
                revision=self.revision, known_digests=self._chunks
            ),
            timeout=seconds,
        )
        self._learned_at = time.monotonic()
        if reply.revision <= self.revision or not reply.head:
            return False
        chunks = {chunk.digest: chunk.data for chunk in reply.chunks}
        if any(not _matches(digest, data) for digest, data in chunks.items()):
            _log.error("{} sent a chunk that differs from its digest", name)
            return False
        return self.try_apply(reply.head, chunks, "peer")

    @mode.Service.task
    async def _fetch_offers(self) -> None:
        while not self.should_stop:
            event = self._offered.event
            offers = {
                name: revision
                for name, revision in self._offers.items()
                if revision > self.revision
            }
            self._offers = {}
            # Any member that has the revision may serve it, so the load of a
            # change spreads over the members.
            for name in self._random.sample(sorted(offers), len(offers)):
                if offers[name] > self.revision:
                    await self._try_fetch(name)
            if not self._offers:
                await self._wait(event, None)

    async def _try_fetch(self, name: str) -> bool:
        try:
            found = await self.fetch(name)
        except (grpc.RpcError, exceptions.ControlUnavailable) as error:
            _fetches.labels("failed").inc()
            _log.warning("{} sent no configuration: {!r}", name, error)
            return False
        _fetches.labels("newer" if found else "same").inc()
        return True

    @mode.Service.task
    async def _break_silence(self) -> None:
        """Ask a random host when nothing was heard for a while.

        While the key-value service is out of reach, the watcher asks a host
        of another data centre.
        """
        while not self.should_stop:
            await self.sleep(
                defaults.RELAY_SILENCE_SECONDS * self._random.uniform(0.8, 1.2)
            )
            names = {*self._membership.list_entry_hosts()}
            members = {*self._membership.list_members()}
            others = names - members
            silent = (
                time.monotonic() - self._learned_at
                > defaults.RELAY_SILENCE_SECONDS
            )
            choice = sorted(members - {self._membership.name})
            if self._failures and self.is_watcher() and others:
                await self._try_fetch(self._random.choice(sorted(others)))
            elif silent and choice:
                await self._try_fetch(self._random.choice(choice))

    # From the key-value service.

    @mode.Service.task
    async def _watch_head(self) -> None:
        version = 0  # of the key; 0 reads it anew
        backoff = defaults.PLATFORM_BACKOFF
        while not self.should_stop:
            event = self._membership.changed.event
            if not self.is_watcher():
                version = 0
                await self._wait(event, 1.0)
                continue
            try:
                version = await self._read_head(version)
            except exceptions.PlatformError as error:
                version = 0
                self._note_failure(error)
                # Jitter keeps the data centres apart after an outage.
                await self.sleep(backoff * self._random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, defaults.PLATFORM_BACKOFF_LIMIT)
            else:
                backoff = defaults.PLATFORM_BACKOFF
                self._note_success()

    def _note_failure(self, error: Exception) -> None:
        self._failures += 1
        self._reached = False
        _platform_up.set(0)
        _log.warning("the key-value service did not answer: {}", error)
        if self._failures >= _FAILURES_TO_YIELD:
            self._yielded_until = (
                time.monotonic() + defaults.WATCH_PENALTY_SECONDS
            )

    def _note_success(self) -> None:
        self._failures = 0
        self._yielded_until = 0.0
        self._reached = True
        self.initialised = True
        self._learned_at = time.monotonic()
        _platform_up.set(1)

    async def _read_head(self, version: int) -> int:
        """Read the head, or wait for a change; returns the key's version."""
        began = time.monotonic()
        if version:
            seconds = defaults.WATCH_SECONDS
            call = self._keyvalue.watch(
                revisions.HEAD_KEY, version, deadlines.Deadline.after(seconds)
            )
        else:
            seconds = defaults.PLATFORM_TIMEOUT
            call = self._keyvalue.get(
                revisions.HEAD_KEY, deadlines.Deadline.after(seconds)
            )
        try:
            # The adapter keeps the deadline; this bounds one that does not.
            async with asyncio.timeout(seconds + 1.0):
                entry = await call
        except TimeoutError as error:
            raise exceptions.PlatformUnavailable(
                "the key-value service did not answer in time"
            ) from error
        if entry is None and version and time.monotonic() - began > 1.0:
            return version
        if entry is None:
            # The key does not exist, so there is nothing to watch.
            if self.head is not None:
                self.is_newer(0, "", "keyvalue")
            await self.sleep(1.0)
            return 0
        await self._take_entry(entry)
        return entry.version

    async def _take_entry(self, entry: keyvalues.Entry) -> None:
        try:
            head = revisions.Head.decode(entry.value)
        except (KeyError, TypeError, ValueError) as error:
            _unreadable.labels("keyvalue").inc()
            _log.error("the head is not readable: {!r}", error)
            return
        if not self.is_newer(head.revision, head.edit_id, "keyvalue"):
            return
        missing = [
            digest
            for digest in dict.fromkeys(
                head.list_digests(include_customers=True)
            )
            if digest not in self._chunks
        ]
        chunks = await self._read_chunks(missing)
        self.try_apply(entry.value, chunks, "keyvalue")

    async def _read_chunks(
        self, digests: t.Sequence[str]
    ) -> t.Mapping[str, bytes]:
        """Read chunks; those read before a failure are kept for the retry."""
        limit = asyncio.Semaphore(_PARALLEL_READS)

        async def read(digest: str) -> None:
            async with limit:
                entry = await self._keyvalue.get(
                    revisions.CHUNK_PREFIX + digest,
                    deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
                )
            if entry is None or not _matches(digest, entry.value):
                raise exceptions.PlatformUnavailable(
                    f"chunk {digest} is missing or differs from its digest"
                )
            self._spare[digest] = entry.value

        try:
            async with asyncio.TaskGroup() as group:
                for digest in digests:
                    if digest not in self._spare:
                        group.create_task(read(digest))
        except* exceptions.PlatformError as errors:
            failure = errors.exceptions[0]
        else:
            return self._spare
        raise exceptions.PlatformUnavailable(str(failure))

    async def _wait(
        self, event: asyncio.Event, seconds: t.Optional[float]
    ) -> None:
        """Wait for an event, the time to pass, or the end of the service."""
        await self.wait_first(event, timeout=seconds)


def _matches(digest: str, data: bytes) -> bool:
    return hashlib.sha256(data).hexdigest() == digest
