"""Crashes of backend servers at which requests were in flight."""

import collections
import hashlib
import time
import typing as t

import attrs

from sesamefold import defaults
from sesamefold.wire import control_pb2


def digest_request(customer: str, content: bytes) -> bytes:
    """Return 16 bytes that name a request to other hosts.

    `content` is the SHA-256 of the request's body.
    """
    name = customer.encode()
    prefix = len(name).to_bytes(4, "big")
    return hashlib.sha256(prefix + name + content).digest()[:16]


def name_crash(server: str, epoch: str, known: t.Iterable[bytes]) -> bytes:
    """Return 8 bytes that name a crash at which a request was in flight.

    Gateways that saw one crash name it alike, so it counts once. `known` are
    the crashes that were known of the request when its run began: a server
    that crashes twice before its new epoch is reported counts twice.
    """
    parts = [server.encode(), epoch.encode(), *sorted(known)]
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()[:8]


@attrs.define
class _Crash:
    until: float  # Unix seconds
    cleared: bool = False


@attrs.define
class _Record:
    crashes: t.Dict[bytes, _Crash] = attrs.field(factory=dict)
    number: int = 0  # of the last change


class Suspicions:
    """The crashes of requests, by digest; merges what other hosts know.

    A merge takes the union of the crashes, and a crash that is cleared
    anywhere stays cleared, so hosts may exchange records in any order. All
    crashes expire after `seconds`. At most `capacity` requests are kept, and
    of each at most `defaults.QUARANTINE_CRASHES` crashes; the oldest are
    dropped.

    `count_change` returns the number of a change; numbers increase. `clock`
    returns Unix seconds.
    """

    def __init__(
        self,
        *,
        seconds: float = defaults.QUARANTINE_SECONDS,
        capacity: int = defaults.QUARANTINE_REQUESTS,
        count_change: t.Callable[[], int] = lambda: 0,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._seconds = seconds
        self._capacity = capacity
        self._count_change = count_change
        self._clock = clock
        self._records: "collections.OrderedDict[bytes, _Record]" = (
            collections.OrderedDict()
        )

    def list_crashes(self, digest: bytes) -> t.Tuple[bytes, ...]:
        """Return the crashes that count against a request."""
        return self._list(digest, False)

    def list_known(self, digest: bytes) -> t.Tuple[bytes, ...]:
        """Return the crashes of a request, also those it is cleared of."""
        return self._list(digest, True)

    def _list(self, digest: bytes, cleared: bool) -> t.Tuple[bytes, ...]:
        record = self._records.get(digest)
        if record is None:
            return ()
        now = self._clock()
        return tuple(
            name
            for name, crash in record.crashes.items()
            if crash.until > now and (cleared or not crash.cleared)
        )

    def add_crash(self, digest: bytes, crash: bytes) -> control_pb2.Suspicion:
        """Count a crash against a request; return the change."""
        return self._change(digest, [crash], False)

    def clear_crashes(
        self, digest: bytes, crashes: t.Iterable[bytes]
    ) -> control_pb2.Suspicion:
        """Clear a request of crashes; return the change."""
        return self._change(digest, crashes, True)

    def _change(
        self, digest: bytes, crashes: t.Iterable[bytes], cleared: bool
    ) -> control_pb2.Suspicion:
        until = self._clock() + self._seconds
        change = control_pb2.Suspicion(
            request=digest,
            crashes=[
                control_pb2.Crash(id=crash, until=until, cleared=cleared)
                for crash in crashes
            ],
        )
        self.merge([change])
        return change

    def merge(self, changes: t.Iterable[control_pb2.Suspicion]) -> bool:
        """Take in what another host knows; tell whether any was new."""
        now = self._clock()
        changed = False
        for change in changes:
            changed = self._merge_one(change, now) or changed
        if changed:
            self._drop_old(now)
        return changed

    def _merge_one(self, change: control_pb2.Suspicion, now: float) -> bool:
        # A host whose clock is ahead must not extend a verdict.
        limit = now + self._seconds + defaults.CLOCK_SKEW
        record = self._records.get(change.request, _Record())
        changed = False
        for crash in change.crashes:
            known = record.crashes.get(crash.id)
            if crash.until <= now:
                continue
            if known is None:
                until = min(crash.until, limit)
                record.crashes[crash.id] = _Crash(until, crash.cleared)
                changed = True
            elif crash.cleared and not known.cleared:
                known.cleared = True
                changed = True
        if changed:
            while len(record.crashes) > defaults.QUARANTINE_CRASHES:
                del record.crashes[next(iter(record.crashes))]
            record.number = self._count_change()
            self._records[change.request] = record
            self._records.move_to_end(change.request)
        return changed

    def _drop_old(self, now: float) -> None:
        # The least recently changed come first.
        while self._records:
            digest, record = next(iter(self._records.items()))
            current = any(c.until > now for c in record.crashes.values())
            if current and len(self._records) <= self._capacity:
                return
            del self._records[digest]

    def list_changes(self, after: int = -1) -> t.List[control_pb2.Suspicion]:
        """Return the records whose last change has a number above `after`."""
        now = self._clock()
        found = []
        for digest, record in reversed(self._records.items()):
            if record.number <= after:
                break
            crashes = [
                control_pb2.Crash(
                    id=name, until=crash.until, cleared=crash.cleared
                )
                for name, crash in record.crashes.items()
                if crash.until > now
            ]
            if crashes:
                found.append(
                    control_pb2.Suspicion(request=digest, crashes=crashes)
                )
        return found

    def remove_all(self) -> None:
        """Forget all requests."""
        self._records.clear()
