"""Watch of the configuration and its distribution in a data centre.

One control per data centre watches the key-value service; the others and the
gateways get each revision from a control.
"""

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
_rejected_revisions = prometheus_client.Counter(
    "sesamefold_configuration_older_revisions",
    "Answers with an older or a conflicting revision, never applied",
    ["source"],
)
_unreadable_revisions = prometheus_client.Counter(
    "sesamefold_configuration_unreadable",
    "Revisions that could not be read, never applied",
    ["source"],
)
_platform_up = prometheus_client.Gauge(
    "sesamefold_key_value_up",
    "1 while the last call of this host to the key-value service succeeded",
)
_fetch_results = prometheus_client.Counter(
    "sesamefold_configuration_fetches",
    "Fetches of the configuration from other controls, by result",
    ["result"],
)

# Chunks read from the key-value service concurrently.
_MAX_PARALLEL_READS = 8
# Consecutive failed calls after which this control leaves the watch to others.
_FAILURES_BEFORE_YIELD = 2
# Fields of the head that only the command line uses. It reads them from the
# key-value service, so they are not sent between hosts: the audit entries
# alone may take 256 KB.
_COMMAND_LINE_FIELDS = ("audit", "pages", "text")


def strip_head(data: bytes) -> bytes:
    """Return an encoded head without the fields of the command line."""
    head = json.loads(data)
    return json.dumps(
        {k: v for k, v in head.items() if k not in _COMMAND_LINE_FIELDS},
        sort_keys=True,
        separators=(",", ":"),
    ).encode()


class Relay(mode.Service):
    """Configuration in force on this control.

    The first control in the rank order of the data centre watches the
    key-value service; the others fetch a new revision from a member that
    reported it. Chunks of customers are forwarded as stored, not decoded.
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
        # True once the key-value service has answered, a member has reported
        # this host's revision, or a revision was applied.
        self.initialised = False
        self._keyvalue = keyvalue
        self._membership = membership
        self._random = random.Random(seed)
        self._head_data = b""
        self._chunks: t.Dict[str, bytes] = {}
        # Verified chunks of a head whose other chunks are not read yet.
        self._partial_chunks: t.Dict[str, bytes] = {}
        self._watch_failures = 0
        self._last_call_succeeded = False
        self._yielded_until = 0.0
        self._last_contact_at = time.monotonic()
        self._peer_revisions: t.Dict[str, int] = {}
        self._peer_revision_received = notification.Notification()

    @property
    def revision(self) -> int:
        """Revision in force, 0 when there is none yet."""
        return 0 if self.head is None else self.head.revision

    @property
    def platform_available(self) -> bool:
        """Whether the data centre reaches the key-value service.

        The watcher knows this from its last call, the others from the
        heartbeats of the members.
        """
        if self.is_watcher():
            return self._last_call_succeeded
        peers = self._membership.list_peers()
        return any(
            not peers[name].platform_down
            for name in self._membership.list_members()
            if name in peers and peers[name].heartbeat_seen
        )

    def is_platform_down(self) -> bool:
        """Return whether this host leaves the watch to others.

        This is so for `defaults.WATCH_PENALTY_SECONDS` after repeated
        failures of the key-value service, unless a call succeeds earlier.
        """
        return time.monotonic() < self._yielded_until

    def is_watcher(self) -> bool:
        """Return whether this control watches the configuration head."""
        return self._membership.is_owner("configuration")

    # Distribution to gateways and other controls.

    def get_digests(self) -> t.FrozenSet[str]:
        """Return the digests of all chunks in force, also of customers."""
        if self.head is None:
            return frozenset()
        return frozenset(self.head.list_digests(include_customers=True))

    def export(self, known: t.Container[str]) -> control_pb2.Configuration:
        """Return the head in force and its chunks that are not in `known`.

        The message is empty while there is no revision.
        """
        if self.head is None:
            return control_pb2.Configuration()
        return control_pb2.Configuration(
            revision=self.head.revision,
            head=self._head_data,
            chunks=[
                control_pb2.Chunk(digest=digest, data=self._chunks[digest])
                for digest in sorted(self.get_digests())
                if digest not in known
            ],
        )

    async def watch(
        self, known: t.Iterable[str]
    ) -> t.AsyncIterator[control_pb2.Configuration]:
        """Yield the configuration in force at once, then each newer one.

        `known` holds the digests of the chunks that the subscriber has. A
        message contains only the chunks that the subscriber lacks.
        """
        held_digests = frozenset(known)
        sent = -1
        while True:
            event = self.changed.event
            if self.revision > sent:
                sent = self.revision
                message = self.export(held_digests)
                held_digests = self.get_digests()
                yield message
            await event.wait()

    # Checking and applying revisions.

    def check_newer(self, revision: int, edit_id: str, source: str) -> bool:
        """Return whether a revision is newer than the one in force.

        A downgrade is counted and logged as an error. `source` is "keyvalue"
        or "peer". A peer may lag behind, so a lower number counts as a
        downgrade only from the key-value service; the same number with
        another edit id counts from both.
        """
        if self.head is None:
            return True
        if revision > self.revision:
            return True
        same = revision == self.revision and edit_id == self.head.edit_id
        if not same and (source == "keyvalue" or revision == self.revision):
            _rejected_revisions.labels(source).inc()
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
        """Apply an encoded head; return whether it was newer.

        `chunks` maps digests to chunks as stored. A chunk that is neither
        there nor part of the revision in force raises KeyError, and nothing
        changes. A head or chunk that cannot be decoded raises KeyError,
        TypeError, ValueError or `exceptions.InternalError`.
        """
        head = revisions.Head.decode(data)
        if not self.check_newer(head.revision, head.edit_id, source):
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
        self._head_data = strip_head(data)
        self._chunks = merged
        self._partial_chunks = {}
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
        """Return whether a head was applied; log an unreadable revision.

        A revision that this version cannot read must not stop the daemons of
        all data centres, so the previous revision stays in force.
        """
        try:
            return self.apply(data, chunks, source)
        except (
            KeyError,
            TypeError,
            ValueError,
            exceptions.SesamefoldError,
        ) as error:
            _unreadable_revisions.labels(source).inc()
            _log.error("cannot read the revision from {}: {!r}", source, error)
            return False

    # Revisions from other controls.

    def record_peer_revision(self, revision: int, name: str) -> None:
        """Record the revision that a member reported; fetch it if newer."""
        self._last_contact_at = time.monotonic()
        if not self.initialised and revision == self.revision:
            self.initialised = True
        if revision > self.revision:
            self._peer_revisions[name] = revision
            self._peer_revision_received.notify()

    async def fetch(self, name: str, seconds: float = 2.0) -> bool:
        """Return whether another control had a newer revision; apply it.

        The call times out after `seconds`. Raises `grpc.RpcError` and
        `exceptions.ControlUnavailable`.
        """
        reply = await self._membership.get_stub(name).FetchConfiguration(
            control_pb2.FetchConfigurationRequest(
                revision=self.revision, known_digests=self._chunks
            ),
            timeout=seconds,
        )
        self._last_contact_at = time.monotonic()
        if reply.revision <= self.revision or not reply.head:
            return False
        chunks = {chunk.digest: chunk.data for chunk in reply.chunks}
        if any(
            not _matches_digest(digest, data)
            for digest, data in chunks.items()
        ):
            _log.error("{} sent a chunk that does not match its digest", name)
            return False
        return self.try_apply(reply.head, chunks, "peer")

    @mode.Service.task
    async def _fetch_newer_revisions(self) -> None:
        while not self.should_stop:
            event = self._peer_revision_received.event
            reported = {
                name: revision
                for name, revision in self._peer_revisions.items()
                if revision > self.revision
            }
            self._peer_revisions = {}
            # The order is random, so that the fetches of a new revision
            # spread over the members that have it.
            for name in self._random.sample(sorted(reported), len(reported)):
                if reported[name] > self.revision:
                    await self._try_fetch(name)
            if not self._peer_revisions:
                await self._wait_for_event(event, None)

    async def _try_fetch(self, name: str) -> bool:
        """Return whether a control answered a fetch; count its result."""
        try:
            newer = await self.fetch(name)
        except (grpc.RpcError, exceptions.ControlUnavailable) as error:
            _fetch_results.labels("failed").inc()
            _log.warning(
                "fetching the configuration from {} failed: {!r}", name, error
            )
            return False
        _fetch_results.labels("newer" if newer else "same").inc()
        return True

    @mode.Service.task
    async def _poll_random_host(self) -> None:
        """Fetch from a random member after a time without contact.

        While the key-value service is unreachable, the watcher fetches from
        a host of another data centre instead.
        """
        while not self.should_stop:
            await self.sleep(
                defaults.RELAY_SILENCE_SECONDS * self._random.uniform(0.8, 1.2)
            )
            names = {*self._membership.list_entry_hosts()}
            members = {*self._membership.list_members()}
            remote_hosts = names - members
            no_contact = (
                time.monotonic() - self._last_contact_at
                > defaults.RELAY_SILENCE_SECONDS
            )
            peers = sorted(members - {self._membership.name})
            if self._watch_failures and self.is_watcher() and remote_hosts:
                await self._try_fetch(
                    self._random.choice(sorted(remote_hosts))
                )
            elif no_contact and peers:
                await self._try_fetch(self._random.choice(peers))

    # Revisions from the key-value service.

    @mode.Service.task
    async def _watch_head(self) -> None:
        version = 0  # of the key; 0 reads it instead of waiting for a change
        backoff_seconds = defaults.PLATFORM_BACKOFF
        while not self.should_stop:
            event = self._membership.changed.event
            if not self.is_watcher():
                version = 0
                await self._wait_for_event(event, 1.0)
                continue
            try:
                version = await self._read_head(version)
            except exceptions.PlatformError as error:
                version = 0
                self._record_watch_failure(error)
                # Jitter keeps the data centres from retrying at the same time
                # after an outage.
                await self.sleep(
                    backoff_seconds * self._random.uniform(0.5, 1.0)
                )
                backoff_seconds = min(
                    2 * backoff_seconds, defaults.PLATFORM_BACKOFF_LIMIT
                )
            else:
                backoff_seconds = defaults.PLATFORM_BACKOFF
                self._record_watch_success()

    def _record_watch_failure(self, error: Exception) -> None:
        """Record a failed call; give up the watch after repeated ones."""
        self._watch_failures += 1
        self._last_call_succeeded = False
        _platform_up.set(0)
        _log.warning("call to the key-value service failed: {}", error)
        if self._watch_failures >= _FAILURES_BEFORE_YIELD:
            self._yielded_until = (
                time.monotonic() + defaults.WATCH_PENALTY_SECONDS
            )

    def _record_watch_success(self) -> None:
        """Record that the key-value service answered."""
        self._watch_failures = 0
        self._yielded_until = 0.0
        self._last_call_succeeded = True
        self.initialised = True
        self._last_contact_at = time.monotonic()
        _platform_up.set(1)

    async def _read_head(self, version: int) -> int:
        """Read and apply the head; return the version of its key.

        With a `version`, the call waits up to `defaults.WATCH_SECONDS` for a
        newer one. Returns 0 when the key does not exist. Raises
        `exceptions.PlatformError`.
        """
        started_at = time.monotonic()
        if version:
            timeout_seconds = defaults.WATCH_SECONDS
            call = self._keyvalue.watch(
                revisions.HEAD_KEY,
                version,
                deadlines.Deadline.after(timeout_seconds),
            )
        else:
            timeout_seconds = defaults.PLATFORM_TIMEOUT
            call = self._keyvalue.get(
                revisions.HEAD_KEY, deadlines.Deadline.after(timeout_seconds)
            )
        try:
            # Bounds the call of an adapter that does not keep the deadline.
            async with asyncio.timeout(timeout_seconds + 1.0):
                entry = await call
        except TimeoutError as error:
            raise exceptions.PlatformUnavailable(
                "no answer from the key-value service before the deadline"
            ) from error
        if entry is None and version and time.monotonic() - started_at > 1.0:
            return version
        if entry is None:
            # The key does not exist, so there is nothing to watch.
            if self.head is not None:
                self.check_newer(0, "", "keyvalue")
            await self.sleep(1.0)
            return 0
        await self._apply_entry(entry)
        return entry.version

    async def _apply_entry(self, entry: keyvalues.Entry) -> None:
        """Apply the head of an entry after reading its missing chunks.

        An unreadable head is logged and ignored. Raises
        `exceptions.PlatformError` when a chunk could not be read.
        """
        try:
            head = revisions.Head.decode(entry.value)
        except (KeyError, TypeError, ValueError) as error:
            _unreadable_revisions.labels("keyvalue").inc()
            _log.error("cannot decode the configuration head: {!r}", error)
            return
        if not self.check_newer(head.revision, head.edit_id, "keyvalue"):
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
        """Return chunks by digest, verified against it.

        Chunks read before a failure are kept for the next attempt. Raises
        `exceptions.PlatformUnavailable` when a chunk could not be read.
        """
        limit = asyncio.Semaphore(_MAX_PARALLEL_READS)

        async def read(digest: str) -> None:
            async with limit:
                entry = await self._keyvalue.get(
                    revisions.CHUNK_PREFIX + digest,
                    deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT),
                )
            if entry is None or not _matches_digest(digest, entry.value):
                raise exceptions.PlatformUnavailable(
                    f"chunk {digest} is missing or does not match its digest"
                )
            self._partial_chunks[digest] = entry.value

        try:
            async with asyncio.TaskGroup() as group:
                for digest in digests:
                    if digest not in self._partial_chunks:
                        group.create_task(read(digest))
        except* exceptions.PlatformError as errors:
            failure = errors.exceptions[0]
        else:
            return self._partial_chunks
        raise exceptions.PlatformUnavailable(str(failure))

    async def _wait_for_event(
        self, event: asyncio.Event, seconds: t.Optional[float]
    ) -> None:
        """Wait for an event, a timeout in seconds or the service's stop."""
        await self.wait_first(event, timeout=seconds)


def _matches_digest(digest: str, data: bytes) -> bool:
    """Return whether the SHA-256 of a chunk is its digest."""
    return hashlib.sha256(data).hexdigest() == digest
