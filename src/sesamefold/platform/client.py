"""Client of the platform's key-value store."""

import asyncio
import base64
import collections
import itertools
import os
import typing as t

import aiohttp
import attrs

from sesamefold.entry import changes
from sesamefold.entry import positions
from sesamefold.entry import store
from sesamefold import exceptions
from sesamefold.platform import records
from sesamefold.platform import wire
from sesamefold import transport

# The store usually answers within 4 ms, and within some hundred milliseconds
# when it is slow.
CALL_TIMEOUT_SECONDS = 1.0
# How much longer than its wait a watch may take to answer.
WATCH_MARGIN_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
# Time without any byte of a reply's body after which the call fails. A large
# reply over a busy link takes seconds, and asking for it again would send the
# same bytes once more.
SILENCE_TIMEOUT_SECONDS = 1.0
# Longest time of a call from the head of its reply to the end of the body.
MAX_TRANSFER_SECONDS = 20.0
_MS_PER_SECOND = 1000.0

# Records that the operator and the backend servers write.
_PLATFORM_PREFIXES = (wire.OPERATIONS_PREFIX, wire.SERVERS_PREFIX)
# Ranges that a read of a scope covers.
_RANGES = {
    store.Scope.ALL: (*_PLATFORM_PREFIXES, store.HOSTS_PREFIX),
    store.Scope.FLEET: (wire.SERVERS_PREFIX, store.HOSTS_PREFIX),
    store.Scope.OPERATOR: (wire.OPERATIONS_PREFIX,),
}
# Prefix that a watch of a scope covers: one watch covers several ranges,
# because the platform charges for each call and servers report continuously.
_WATCHED_PREFIXES = {
    store.Scope.ALL: "",
    store.Scope.FLEET: os.path.commonprefix(
        [wire.SERVERS_PREFIX, store.HOSTS_PREFIX]
    ),
    store.Scope.OPERATOR: wire.OPERATIONS_PREFIX,
}
# Largest reply of the store: a watch may return many values of up to a
# megabyte.
MAX_REPLY_BYTES = 32 * 1024 * 1024
# Bits of the store's ids of leases.
_LEASE_ID_BITS = 64
# Statuses with which the store rejects a call without executing it.
_REJECTION_STATUSES = (429, 503)

# Replies that are reported: those of this size, and those that take this much
# longer than the store was asked to wait.
REPORTED_REPLY_BYTES = 64 * 1024
REPORTED_REPLY_SECONDS = 0.5

JsonObject = t.Mapping[str, t.Any]


@attrs.frozen
class Transfer:
    """A reply of the store that was large or slow, or that did not arrive.

    `bytes` counts those of the body that arrived. `head_seconds` is the time
    from the call to the head of the reply, None if there was none, `seconds`
    that to the end of the call. `attempt` counts the calls of this path since
    the last one that succeeded. `reason` is None for a complete reply.
    """

    path: str
    attempt: int
    bytes: int
    head_seconds: t.Optional[float]
    seconds: float
    reason: t.Optional[str] = None


Reporter = t.Callable[[Transfer], None]
FaultReporter = t.Callable[[str], None]


def _ignore_transfer(transfer: Transfer) -> None:
    """Report nothing; for clients without a log."""


def _ignore_fault(reason: str) -> None:
    """Report nothing; for clients without a log."""


@attrs.frozen
class _Reply:
    """The status and the decoded body of a reply, and the era it came in."""

    status: int
    body: t.Any
    era: int

    def make_position(self, revision: t.Any) -> int:
        """Return the position of a revision of the era.

        Raises `exceptions.PlatformUnavailable` for one that is out of range.
        """
        try:
            return positions.make_position(self.era, int(revision))
        except ValueError as error:
            raise exceptions.PlatformUnavailable(f"store: {error}") from error


@attrs.define
class _Progress:
    """How much of a reply has arrived, on the clock of the event loop.

    `timeout` ends the call. It starts with the time until the head and moves
    on with each part of the body, up to `MAX_TRANSFER_SECONDS` after the head.
    """

    timeout: asyncio.Timeout

    began_at: float = attrs.field(
        factory=lambda: asyncio.get_running_loop().time()
    )
    head_at: t.Optional[float] = None
    bytes: int = 0

    def record_head(self) -> None:
        """Record that the head of the reply has arrived."""
        self.head_at = asyncio.get_running_loop().time()
        self._extend_timeout(self.head_at)

    def record_bytes(self, count: int) -> None:
        """Record that a part of the body has arrived."""
        self.bytes += count
        self._extend_timeout(asyncio.get_running_loop().time())

    def _extend_timeout(self, now: float) -> None:
        assert self.head_at is not None
        self.timeout.reschedule(
            min(
                now + SILENCE_TIMEOUT_SECONDS,
                self.head_at + MAX_TRANSFER_SECONDS,
            )
        )

    def describe(
        self, path: str, attempt: int, reason: t.Optional[str]
    ) -> Transfer:
        """Return the transfer, which ends now."""
        now = asyncio.get_running_loop().time()
        return Transfer(
            path,
            attempt,
            self.bytes,
            (
                None
                if self.head_at is None
                else round(self.head_at - self.began_at, 3)
            ),
            round(now - self.began_at, 3),
            reason,
        )


@attrs.define
class StoreClient:
    """Client of the store.

    Implements `store.RecordSource` and `store.HostRecordStore`. `report` is
    called with each reply that was large or slow, and with those to calls of
    `GET` that did not arrive, `report_fault` once with the reason why a reply
    was not used whose era is none.

    Revisions are positions, and the ids of leases have the era as well, since
    the store gives them out again when it returns from a copy. `era` is the
    latest one of any reply, None before the first.
    """

    session: aiohttp.ClientSession
    address: str
    report: Reporter = _ignore_transfer
    report_fault: FaultReporter = _ignore_fault
    era: t.Optional[int] = None
    _fault_reported: bool = False
    _failures: t.Counter[str] = attrs.field(factory=collections.Counter)

    async def read_all(
        self, scope: store.Scope = store.Scope.ALL
    ) -> changes.Batch:
        """Return all records of a scope.

        The batch has the revision of the first page that was read.
        """
        items: t.List[JsonObject] = []
        found_at = []
        for prefix in _RANGES[scope]:
            found, position = await self._read_range(prefix)
            items += found
            found_at.append(position)
        _check_one_era(found_at)
        # Ranges are read one after another. A watch from the revision of the
        # first one returns what changed meanwhile.
        return await _make_batch(
            items, found_at[0], positions.get_era(found_at[0])
        )

    async def watch(
        self,
        after: int,
        seconds: float,
        scope: store.Scope = store.Scope.ALL,
    ) -> changes.Batch:
        """Return the changes after a revision, waiting up to `seconds`.

        Raises `exceptions.HistoryLost`.
        """
        self._check_watched_era(after, self.era)
        params = {
            "path_prefix": _WATCHED_PREFIXES[scope],
            "after": str(positions.get_revision(after)),
            "wait_ms": str(int(seconds * _MS_PER_SECOND)),
        }
        reply = await self._call(
            "GET", "/kv-watch", params, None, seconds + WATCH_MARGIN_SECONDS
        )
        self._check_watched_era(after, reply.era)
        if reply.status == 410:
            raise exceptions.HistoryLost("the store no longer has the history")
        _check_status(reply.status == 200, reply.status)
        as_of = reply.make_position(reply.body["as_of"])
        return await _make_batch(
            reply.body["events"], max(after, as_of), reply.era
        )

    def _check_watched_era(self, after: int, era: t.Optional[int]) -> None:
        """Raise `exceptions.HistoryLost` for a position of another era.

        The store answers as if the position were its own if it has given out
        the revision again.
        """
        if positions.get_era(after) != era:
            raise exceptions.HistoryLost("the store returned from a copy")

    async def decode(
        self, operator_records: t.Iterable[changes.OperatorRecord]
    ) -> t.Tuple[changes.Change, ...]:
        """Return the changes that records of the operator stand for."""
        decoded = [
            await _decode_change(record.key, record.value, record.revision)
            for record in operator_records
        ]
        return tuple(filter(None, decoded))

    async def list_records(self, prefix: str) -> t.List[store.HostRecord]:
        """Return the records whose keys begin with `prefix`."""
        items, position = await self._read_range(prefix)
        era = positions.get_era(position)
        return [
            store.HostRecord(
                item["key"],
                _decode_value(item),
                positions.make_position(era, item["revision"]),
                positions.make_position(era, item["created"]),
                item["lease"] and _make_lease(era, item["lease"]),
            )
            for item in items
        ]

    async def _read_range(
        self, prefix: str
    ) -> t.Tuple[t.List[JsonObject], int]:
        """Return all items under a prefix and the position of the first page.

        The pages are no consistent snapshot. A watch from the position of the
        first page returns what changed while the others were read.
        """
        items: t.List[JsonObject] = []
        found_at: t.List[int] = []
        for _ in itertools.count():
            params = {"path_prefix": prefix}
            if items:
                params["after"] = items[-1]["key"]
            reply = await self._call(
                "GET", "/kv-range", params, None, CALL_TIMEOUT_SECONDS
            )
            _check_status(reply.status == 200, reply.status)
            items.extend(reply.body["items"])
            found_at.append(reply.make_position(reply.body["as_of"]))
            if not reply.body.get("has_more") or not reply.body["items"]:
                break
        _check_one_era(found_at)
        return items, found_at[0]

    async def write(
        self, expected: t.Mapping[str, int], writes: t.Sequence[store.Write]
    ) -> int:
        """Write all records or none, and return their revision.

        `expected` maps keys to the revisions that they must have, 0 for a key
        that must not exist. Raises `exceptions.LeaseExpired` and
        `exceptions.VersionConflict`, also for those of an earlier era.
        """
        era = self.era
        if any(p and positions.get_era(p) != era for p in expected.values()):
            raise exceptions.VersionConflict(", ".join(expected), 0, 0)
        for write in writes:
            self._check_lease(write.lease)
        body = {
            "expected": [
                {"key": key, "revision": positions.get_revision(position)}
                for key, position in expected.items()
            ],
            "writes": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": _get_lease_id(write.lease),
                }
                for write in writes
            ],
            "deletes": [],
        }
        reply = await self._post("/kv-txn", body)
        if era is not None and reply.era != era and reply.status == 200:
            raise exceptions.OutcomeUnknown(
                "the store returned from a copy before the write"
            )
        if reply.status == 404:
            raise exceptions.LeaseExpired("the lease has ended")
        if reply.status == 412:
            items = reply.body["items"]
            raise exceptions.VersionConflict(
                ", ".join(expected),
                0,
                reply.make_position(items[0]["revision"]) if items else 0,
            )
        _check_status(reply.status == 200, reply.status)
        return reply.make_position(reply.body["revision"])

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease that ends `seconds` from now."""
        reply = await self._post(
            "/kv-lease", {"ttl_ms": int(seconds * _MS_PER_SECOND)}
        )
        _check_status(reply.status == 200, reply.status)
        return _make_lease(reply.era, int(reply.body["lease"]))

    async def renew_lease(self, lease: int) -> None:
        """Extend a lease; raises `exceptions.LeaseExpired`."""
        self._check_lease(lease)
        reply = await self._post(f"/kv-keep/{_get_lease_id(lease)}", None)
        self._check_lease(lease)
        if reply.status == 404:
            raise exceptions.LeaseExpired("the lease has ended")
        _check_status(reply.status == 200, reply.status)

    def _check_lease(self, lease: int) -> None:
        """Raise `exceptions.LeaseExpired` for a lease of an earlier era.

        The store may have given out its id again, to another host.
        """
        if lease and _get_lease_era(lease) != self.era:
            raise exceptions.LeaseExpired("the store returned from a copy")

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, which removes its records.

        One of an earlier era is left to end by itself.
        """
        if _get_lease_era(lease) == self.era:
            await self._call(
                "DELETE",
                f"/kv-lease-end/{_get_lease_id(lease)}",
                {},
                None,
                CALL_TIMEOUT_SECONDS,
            )

    async def _post(self, path: str, body: t.Optional[JsonObject]) -> _Reply:
        return await self._call("POST", path, {}, body, CALL_TIMEOUT_SECONDS)

    async def _call(
        self,
        method: str,
        path: str,
        params: t.Mapping[str, str],
        body: t.Optional[JsonObject],
        seconds: float,
    ) -> _Reply:
        """Return the reply to a call.

        The head of the reply must arrive within `seconds`, and the body must
        keep arriving from then on.

        Raises `exceptions.PlatformUnavailable` when the call failed without
        an effect, and `exceptions.OutcomeUnknown` for a write that may have
        taken effect.
        """
        timeout = asyncio.timeout(seconds)
        progress = _Progress(timeout)
        reason: t.Optional[str] = None
        try:
            async with (
                timeout,
                self.session.request(
                    method,
                    f"http://{self.address}{path}",
                    params=params,
                    data=None if body is None else wire.encode(body),
                    headers=(
                        {"Content-Type": wire.JSON_CONTENT_TYPE}
                        if body
                        else None
                    ),
                    timeout=aiohttp.ClientTimeout(
                        total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
                    ),
                ) as response,
            ):
                progress.record_head()
                era = self._read_era(response.headers.get(wire.STORE_ERA))
                data = await _read_body(response, progress)
                if response.status in _REJECTION_STATUSES:
                    raise exceptions.PlatformUnavailable(
                        f"the store answered {response.status}"
                    )
                decoded = wire.decode(data) if data else None
                return _Reply(response.status, decoded, era)
        except transport.CALL_ERRORS as error:
            reason = transport.describe_error(error)
            message = f"store: {reason}"
            if method == "GET" or transport.is_unsent(error):
                raise exceptions.PlatformUnavailable(message) from error
            raise exceptions.OutcomeUnknown(message) from error
        finally:
            if method == "GET":
                self._report_read(path, params, progress, reason)

    def _read_era(self, text: t.Optional[str]) -> int:
        """Return the era of a reply, that of the latest one without a header.

        Raises `ValueError` for a header that is no era or an earlier one.
        """
        known = self.era or 0
        if text is None:
            self.era = known
            return known
        era = int(text) if text.isascii() and text.isdigit() else -1
        if not known <= era <= positions.MAX_ERA:
            reason = f"the store's era is {text[:40]!r} after {known}"
            if not self._fault_reported:
                self._fault_reported = True
                self.report_fault(reason)
            raise ValueError(reason)
        self.era = era
        return era

    def _report_read(
        self,
        path: str,
        params: t.Mapping[str, str],
        progress: _Progress,
        reason: t.Optional[str],
    ) -> None:
        """Report a reply if it was large or slow or did not arrive."""
        transfer = progress.describe(path, self._failures[path] + 1, reason)
        waited = int(params.get("wait_ms", 0)) / _MS_PER_SECOND
        if (
            reason is not None
            or transfer.bytes >= REPORTED_REPLY_BYTES
            or transfer.seconds >= waited + REPORTED_REPLY_SECONDS
        ):
            self.report(transfer)
        if reason is None:
            del self._failures[path]
        else:
            self._failures[path] += 1


async def _read_body(
    response: aiohttp.ClientResponse, progress: _Progress
) -> bytes:
    """Return the whole body; raises `transport.BodyTooLarge`."""
    chunks = []
    while chunk := await response.content.readany():
        progress.record_bytes(len(chunk))
        if progress.bytes > MAX_REPLY_BYTES:
            response.close()
            raise transport.BodyTooLarge(
                f"the body exceeds {MAX_REPLY_BYTES} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def _make_lease(era: int, lease_id: int) -> int:
    """Return the id of a lease with its era.

    The store's ids are no revisions and may have up to 64 bits.
    """
    return era << _LEASE_ID_BITS | lease_id


def _get_lease_id(lease: int) -> int:
    return lease & (1 << _LEASE_ID_BITS) - 1


def _get_lease_era(lease: int) -> int:
    return lease >> _LEASE_ID_BITS


def _check_one_era(found_at: t.Sequence[int]) -> None:
    """Raise `exceptions.PlatformUnavailable` for reads of several eras."""
    if len(set(map(positions.get_era, found_at))) > 1:
        raise exceptions.PlatformUnavailable(
            "the store returned from a copy during the read"
        )


def _check_status(succeeded: bool, status: int) -> None:
    """Raise `exceptions.PlatformUnavailable` unless a call succeeded."""
    if not succeeded:
        raise exceptions.PlatformUnavailable(f"the store answered {status}")


def _decode_value(item: JsonObject) -> bytes:
    """Return an item's value; one that is not base64 is returned as it is."""
    text = item.get("value", "")
    try:
        return base64.b64decode(text)
    except ValueError:
        return str(text).encode()


async def _make_batch(
    events: t.Sequence[JsonObject], revision: int, era: int
) -> changes.Batch:
    """Return the changes that items or events of the store stand for.

    `revision` is a position, those of the events are of its era. Records under
    any key that belongs neither to the operator nor to the servers are the
    entry hosts' own.
    """
    values = [
        None if event.get("removed") else _decode_value(event)
        for event in events
    ]
    found_at = [
        positions.make_position(era, event["revision"]) for event in events
    ]
    decoded = [
        await _decode_change(event["key"], value, position)
        for event, value, position in zip(events, values, found_at)
        if event["key"].startswith(_PLATFORM_PREFIXES)
    ]
    host_records = (
        changes.HostRecordChanged(event["key"], value)
        for event, value in zip(events, values)
        if not event["key"].startswith(_PLATFORM_PREFIXES)
    )
    operator_records = (
        changes.OperatorRecord(event["key"], value, position)
        for event, value, position in zip(events, values, found_at)
        if event["key"].startswith(wire.OPERATIONS_PREFIX)
    )
    return changes.Batch(
        tuple(filter(None, decoded)),
        revision,
        tuple(host_records),
        tuple(operator_records),
    )


async def _decode_change(
    key: str, value: t.Optional[bytes], revision: int
) -> t.Optional[changes.Change]:
    """Return the change that a record, or its removal, stands for."""
    if value is None:
        return records.decode_removal(key)
    return await records.decode_record_in_pieces(key, value, revision)
