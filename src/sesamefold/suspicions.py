"""Store of what was in flight when backend servers crashed."""

import collections
import hashlib
import time
import typing as t

import attrs

from sesamefold import defaults


def digest_request(customer: str, content: bytes) -> bytes:
    """Return the 16-byte digest that identifies a request on all hosts.

    `content` is the SHA-256 digest of the request body. Equal requests of
    one customer have the same digest.
    """
    name = customer.encode()
    prefix = len(name).to_bytes(4, "big")
    return hashlib.sha256(prefix + name + content).digest()[:16]


def make_crash_id(
    server: str, epoch: str, known_crashes: t.Iterable[bytes]
) -> bytes:
    """Return the 8-byte id of a crash at which a request was in flight.

    Gateways that see the same crash derive the same id, so it counts once.
    `known_crashes` are the ids of the request's crashes that the gateway knew
    when it sent the request to `server`. They make the ids differ when a
    server crashes twice before its new epoch is reported, so that both
    crashes count.
    """
    parts = [server.encode(), epoch.encode(), *sorted(known_crashes)]
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()[:8]


@attrs.define
class CrashMessage:
    """A crash as hosts exchange it; see `Crash`.

    `until` is when it no longer counts, in seconds of the sender's clock.
    """

    id: bytes
    until: float = 0.0
    cleared: bool = False
    request: bytes = b""
    customer: bytes = b""


@attrs.define
class Suspicion:
    """Crashes at which a subject was in flight, as hosts exchange them.

    `request` is the digest of the subject.
    """

    request: bytes
    crashes: t.Sequence[CrashMessage]


@attrs.frozen
class MessageTypes:
    """Types of exchanged messages, with the fields of the defaults."""

    suspicion: t.Callable[..., t.Any] = Suspicion
    crash: t.Callable[..., t.Any] = CrashMessage


@attrs.define(eq=False)
class Crash:
    """A crash that counts against a subject until it is cleared.

    `expires_at` is in seconds of the clock of the store. `request` and
    `customer` identify a request with the subject that was in flight;
    `request` is empty if the subject is itself a request. `at` is when the
    crash happened, or became known if that is not known.
    """

    at: float
    expires_at: float
    cleared: bool = False
    request: bytes = b""
    customer: bytes = b""


@attrs.define(eq=False)
class _Record:
    crashes: t.Dict[bytes, Crash] = attrs.field(factory=dict)
    change_number: int = 0  # of the latest change of this record


class Suspicions:
    """Crashes by subject, replicated between hosts.

    A subject is the digest of a request or of a part of prompts. A merge
    takes the union of the crashes, and a crash that is cleared on any host
    stays cleared, so hosts may exchange records in any order and more than
    once. Crashes expire after `retention_seconds`, unless they are renewed.
    At most `capacity` subjects are kept, with at most
    `defaults.QUARANTINE_CRASHES` crashes each; the subjects changed least
    recently and the crashes added first are dropped.

    `allocate_change_number` returns a number that increases with each call
    and is stored with the changed record; see `list_changes`. `clock` returns
    the time in seconds; hosts that exchange records as they are need the same
    time. Changes are returned as messages of the `types`. `revision` grows
    with each change.
    """

    def __init__(
        self,
        *,
        retention_seconds: float = defaults.QUARANTINE_SECONDS,
        capacity: int = defaults.QUARANTINE_REQUESTS,
        allocate_change_number: t.Callable[[], int] = lambda: 0,
        clock: t.Callable[[], float] = time.time,
        types: MessageTypes = MessageTypes(),
    ) -> None:
        self._types = types
        self._retention_seconds = retention_seconds
        self._capacity = capacity
        self._allocate_change_number = allocate_change_number
        self._clock = clock
        self.revision = 0
        self._records: "collections.OrderedDict[bytes, _Record]" = (
            collections.OrderedDict()
        )

    def is_empty(self) -> bool:
        """Return whether there is nothing that may count."""
        return not self._records

    def list_counting(self) -> t.Dict[bytes, t.Dict[bytes, Crash]]:
        """Return the crashes that count, by subject and id."""
        now = self._clock()
        found = {
            subject: {
                crash_id: crash
                for crash_id, crash in record.crashes.items()
                if crash.expires_at > now and not crash.cleared
            }
            for subject, record in self._records.items()
        }
        return {
            subject: crashes for subject, crashes in found.items() if crashes
        }

    def has_cleared_crash(self, subject: bytes) -> bool:
        """Return whether a subject was cleared of one of its crashes."""
        record = self._records.get(subject)
        return record is not None and any(
            crash.cleared for crash in record.crashes.values()
        )

    def list_crashes(self, digest: bytes) -> t.Tuple[bytes, ...]:
        """Return the ids of the crashes that count against a request."""
        return self._list_unexpired(digest, False)

    def list_all_crashes(self, digest: bytes) -> t.Tuple[bytes, ...]:
        """Return the ids of a request's crashes, including cleared ones."""
        return self._list_unexpired(digest, True)

    def _list_unexpired(
        self, digest: bytes, include_cleared: bool
    ) -> t.Tuple[bytes, ...]:
        record = self._records.get(digest)
        if record is None:
            return ()
        now = self._clock()
        return tuple(
            crash_id
            for crash_id, crash in record.crashes.items()
            if crash.expires_at > now
            and (include_cleared or not crash.cleared)
        )

    def add_crash(
        self,
        digest: bytes,
        crash_id: bytes,
        request: bytes = b"",
        customer: bytes = b"",
    ) -> Suspicion:
        """Count a crash against a subject and return the change to send."""
        return self._apply_change(
            digest,
            [
                self._types.crash(
                    id=crash_id, request=request, customer=customer
                )
            ],
        )

    def clear_crashes(
        self, digest: bytes, crash_ids: t.Iterable[bytes]
    ) -> Suspicion:
        """Clear a subject of crashes and return the change to send.

        The crashes no longer count against the subject on any host that
        merges the change.
        """
        return self._apply_change(
            digest,
            [self._types.crash(id=id_, cleared=True) for id_ in crash_ids],
        )

    def renew(self, digest: bytes) -> t.Optional[Suspicion]:
        """Let the crashes of a subject count for the whole retention again.

        Returns the change to send, None if they were renewed shortly before.
        """
        crashes = self._records[digest].crashes
        renewed_at = self._clock() + self._retention_seconds
        if all(
            crash.expires_at + defaults.QUARANTINE_RENEWAL_SECONDS > renewed_at
            for crash in crashes.values()
        ):
            return None
        return self._apply_change(
            digest,
            [
                self._types.crash(id=crash_id)
                for crash_id, crash in crashes.items()
                if not crash.cleared
            ],
        )

    def _apply_change(
        self, digest: bytes, crashes: t.Sequence[CrashMessage]
    ) -> Suspicion:
        for crash in crashes:
            crash.until = self._clock() + self._retention_seconds
        change = self._types.suspicion(request=digest, crashes=crashes)
        self.merge([change])
        return change

    def merge(self, changes: t.Iterable[Suspicion]) -> bool:
        """Merge changes from another host; return whether any was new."""
        now = self._clock()
        changed = False
        for change in changes:
            changed = self._merge_one(change, now) or changed
        if changed:
            self._evict_records(now)
        return changed

    def _merge_one(self, change: Suspicion, now: float) -> bool:
        # A host whose clock is ahead must not extend the time that a crash
        # counts.
        latest_expiry = now + self._retention_seconds + defaults.CLOCK_SKEW
        record = self._records.get(change.request, _Record())
        changed = False
        for crash in change.crashes:
            known = record.crashes.get(crash.id)
            if crash.until <= now:
                continue
            expires_at = min(crash.until, latest_expiry)
            if known is None:
                record.crashes[crash.id] = Crash(
                    min(now, expires_at - self._retention_seconds),
                    expires_at,
                    crash.cleared,
                    crash.request,
                    crash.customer,
                )
                changed = True
                continue
            if crash.cleared and not known.cleared:
                known.cleared = True
                changed = True
            # Two hosts may have seen different requests of the same crash.
            if crash.request > known.request:
                known.request, known.customer = crash.request, crash.customer
                changed = True
            renewal = expires_at - known.expires_at
            if renewal >= defaults.QUARANTINE_RENEWAL_SECONDS:
                known.expires_at = expires_at
                changed = True
        if changed:
            self.revision += 1
            while len(record.crashes) > defaults.QUARANTINE_CRASHES:
                del record.crashes[next(iter(record.crashes))]
            record.change_number = self._allocate_change_number()
            self._records[change.request] = record
            self._records.move_to_end(change.request)
        return changed

    def drop_expired(self) -> None:
        """Drop subjects none of whose crashes counts any more."""
        self._evict_records(self._clock())

    def _evict_records(self, now: float) -> None:
        # Records are ordered by their latest change, oldest first.
        while self._records:
            digest, record = next(iter(self._records.items()))
            has_unexpired = any(
                crash.expires_at > now for crash in record.crashes.values()
            )
            if has_unexpired and len(self._records) <= self._capacity:
                return
            del self._records[digest]

    def list_changes(self, after: int = -1) -> t.List[Suspicion]:
        """Return unexpired records whose change number is above `after`."""
        now = self._clock()
        found = []
        for digest, record in reversed(self._records.items()):
            if record.change_number <= after:
                break
            crashes = [
                self._types.crash(
                    id=crash_id,
                    until=crash.expires_at,
                    cleared=crash.cleared,
                    request=crash.request,
                    customer=crash.customer,
                )
                for crash_id, crash in record.crashes.items()
                if crash.expires_at > now
            ]
            if crashes:
                found.append(
                    self._types.suspicion(request=digest, crashes=crashes)
                )
        return found

    def remove_all(self) -> None:
        """Remove the records of all subjects."""
        self._records.clear()
        self.revision += 1
