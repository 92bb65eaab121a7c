"""Store of the requests that were in flight when backend servers crashed."""

import collections
import hashlib
import time
import typing as t

import attrs

from sesamefold import defaults
from sesamefold.wire import control_pb2


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
class _Crash:
    expires_at: float  # Unix time, seconds
    cleared: bool = False


@attrs.define
class _RequestRecord:
    crashes: t.Dict[bytes, _Crash] = attrs.field(factory=dict)
    change_number: int = 0  # of the latest change of this record


class Suspicions:
    """Crashes by request digest, replicated between hosts.

    A merge takes the union of the crashes, and a crash that is cleared on any
    host stays cleared, so hosts may exchange records in any order and more
    than once. Crashes expire after `retention_seconds`. At most `capacity`
    requests are kept, with at most `defaults.QUARANTINE_CRASHES` crashes
    each; the requests changed least recently and the crashes added first are
    dropped.

    `allocate_change_number` returns a number that increases with each call
    and is stored with the changed record; see `list_changes`. `clock` returns
    the Unix time in seconds.
    """

    def __init__(
        self,
        *,
        retention_seconds: float = defaults.QUARANTINE_SECONDS,
        capacity: int = defaults.QUARANTINE_REQUESTS,
        allocate_change_number: t.Callable[[], int] = lambda: 0,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._retention_seconds = retention_seconds
        self._capacity = capacity
        self._allocate_change_number = allocate_change_number
        self._clock = clock
        self._records: "collections.OrderedDict[bytes, _RequestRecord]" = (
            collections.OrderedDict()
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
        self, digest: bytes, crash_id: bytes
    ) -> control_pb2.Suspicion:
        """Count a crash against a request and return the change to send."""
        return self._apply_change(digest, [crash_id], False)

    def clear_crashes(
        self, digest: bytes, crash_ids: t.Iterable[bytes]
    ) -> control_pb2.Suspicion:
        """Clear a request of crashes and return the change to send.

        The crashes no longer count against the request on any host that
        merges the change.
        """
        return self._apply_change(digest, crash_ids, True)

    def _apply_change(
        self, digest: bytes, crash_ids: t.Iterable[bytes], cleared: bool
    ) -> control_pb2.Suspicion:
        expires_at = self._clock() + self._retention_seconds
        change = control_pb2.Suspicion(
            request=digest,
            crashes=[
                control_pb2.Crash(
                    id=crash_id, until=expires_at, cleared=cleared
                )
                for crash_id in crash_ids
            ],
        )
        self.merge([change])
        return change

    def merge(self, changes: t.Iterable[control_pb2.Suspicion]) -> bool:
        """Merge changes from another host; return whether any was new."""
        now = self._clock()
        changed = False
        for change in changes:
            changed = self._merge_one(change, now) or changed
        if changed:
            self._evict_records(now)
        return changed

    def _merge_one(self, change: control_pb2.Suspicion, now: float) -> bool:
        # A host whose clock is ahead must not extend the time that a crash
        # counts.
        latest_expiry = now + self._retention_seconds + defaults.CLOCK_SKEW
        record = self._records.get(change.request, _RequestRecord())
        changed = False
        for crash in change.crashes:
            known = record.crashes.get(crash.id)
            if crash.until <= now:
                continue
            if known is None:
                expires_at = min(crash.until, latest_expiry)
                record.crashes[crash.id] = _Crash(expires_at, crash.cleared)
                changed = True
            elif crash.cleared and not known.cleared:
                known.cleared = True
                changed = True
        if changed:
            while len(record.crashes) > defaults.QUARANTINE_CRASHES:
                del record.crashes[next(iter(record.crashes))]
            record.change_number = self._allocate_change_number()
            self._records[change.request] = record
            self._records.move_to_end(change.request)
        return changed

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

    def list_changes(self, after: int = -1) -> t.List[control_pb2.Suspicion]:
        """Return unexpired records whose change number is above `after`."""
        now = self._clock()
        found = []
        for digest, record in reversed(self._records.items()):
            if record.change_number <= after:
                break
            crashes = [
                control_pb2.Crash(
                    id=crash_id, until=crash.expires_at, cleared=crash.cleared
                )
                for crash_id, crash in record.crashes.items()
                if crash.expires_at > now
            ]
            if crashes:
                found.append(
                    control_pb2.Suspicion(request=digest, crashes=crashes)
                )
        return found

    def remove_all(self) -> None:
        """Remove the records of all requests."""
        self._records.clear()
