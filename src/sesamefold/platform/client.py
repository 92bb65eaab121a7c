"""Client of the platform's store."""

import base64
import itertools
import typing as t

import aiohttp
import attrs

from sesamefold.entry import changes
from sesamefold.entry import store
from sesamefold import exceptions
from sesamefold.platform import records
from sesamefold.platform import wire
from sesamefold import transport

# Time for the answer of a call, seconds. The store usually takes 4 ms, and
# up to some hundred when it is slow.
CALL_SECONDS = 1.0
# Time for the answer of a watch after its wait, seconds.
WATCH_MARGIN = 1.0
CONNECT_SECONDS = 0.5
_MS = 1000.0

# Records of the operator and the servers. One watch covers both: calls are
# paid for, and the servers report all the time.
_PREFIXES = (wire.OPERATIONS_PREFIX, wire.SERVERS_PREFIX)
_ALL_KEYS = ""
# Refusals after which the store has done nothing.
_REFUSALS = (429, 503)

Body = t.Mapping[str, t.Any]


@attrs.define
class StoreClient:
    """Implements `store.RecordSource` and `store.HostRecordStore`."""

    session: aiohttp.ClientSession
    address: str

    async def read_all(self) -> changes.Batch:
        """Return the records of the operator, the servers and the hosts."""
        items: t.List[Body] = []
        revisions = []
        for prefix in (*_PREFIXES, store.HOSTS_PREFIX):
            found, revision = await self._read_range(prefix)
            items += found
            revisions.append(revision)
        # A watch from the first range on brings what changed meanwhile.
        return _make_batch(items, revisions[0])

    async def watch(self, after: int, seconds: float) -> changes.Batch:
        """Return the changes after a revision."""
        params = {
            "path_prefix": _ALL_KEYS,
            "after": str(after),
            "wait_ms": str(int(seconds * _MS)),
        }
        status, body = await self._call(
            "GET", "/kv-watch", params, None, seconds + WATCH_MARGIN
        )
        if status == 410:
            raise exceptions.HistoryLost("the store has dropped the history")
        _require(status == 200, status)
        return _make_batch(body["events"], max(after, int(body["as_of"])))

    async def list_records(self, prefix: str) -> t.List[store.HostRecord]:
        """Return the records whose keys begin with `prefix`."""
        items, _ = await self._read_range(prefix)
        return [
            store.HostRecord(
                item["key"],
                _decode_value(item),
                item["revision"],
                item["created"],
                item["lease"],
            )
            for item in items
        ]

    async def _read_range(self, prefix: str) -> t.Tuple[t.List[Body], int]:
        """Return all items under a prefix and the revision of the first page.

        Pages are no snapshot; a watch from the first page's revision brings
        what changed during the others.
        """
        items: t.List[Body] = []
        revision: t.Optional[int] = None
        for _ in itertools.count():
            params = {"path_prefix": prefix}
            if items:
                params["after"] = items[-1]["key"]
            status, body = await self._call(
                "GET", "/kv-range", params, None, CALL_SECONDS
            )
            _require(status == 200, status)
            items.extend(body["items"])
            revision = body["as_of"] if revision is None else revision
            if not body.get("has_more") or not body["items"]:
                break
        return items, int(revision or 0)

    async def write(
        self, expected: t.Mapping[str, int], writes: t.Sequence[store.Write]
    ) -> int:
        """Write all records or none."""
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "writes": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": write.lease,
                }
                for write in writes
            ],
            "deletes": [],
        }
        status, answer = await self._write("/kv-txn", body)
        if status == 404:
            raise exceptions.LeaseExpired("the lease has ended")
        if status == 412:
            raise exceptions.VersionConflict(
                ", ".join(expected),
                0,
                answer["items"][0]["revision"] if answer["items"] else 0,
            )
        _require(status == 200, status)
        return int(answer["revision"])

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease."""
        status, answer = await self._write(
            "/kv-lease", {"ttl_ms": int(seconds * _MS)}
        )
        _require(status == 200, status)
        return int(answer["lease"])

    async def renew_lease(self, lease: int) -> None:
        """Extend a lease."""
        status, _ = await self._write(f"/kv-keep/{lease}", None)
        if status == 404:
            raise exceptions.LeaseExpired("the lease has ended")
        _require(status == 200, status)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._call(
            "DELETE", f"/kv-lease-end/{lease}", {}, None, CALL_SECONDS
        )

    async def _write(
        self, path: str, body: t.Optional[Body]
    ) -> t.Tuple[int, t.Any]:
        return await self._call("POST", path, {}, body, CALL_SECONDS)

    async def _call(
        self,
        method: str,
        path: str,
        params: t.Mapping[str, str],
        body: t.Optional[Body],
        seconds: float,
    ) -> t.Tuple[int, t.Any]:
        """Return the status and the decoded body of a call.

        A call that may have taken effect without an answer raises
        `exceptions.OutcomeUnknown` if it writes.
        """
        try:
            async with self.session.request(
                method,
                f"http://{self.address}{path}",
                params=params,
                data=None if body is None else wire.encode(body),
                headers={"Content-Type": wire.CONTENT_TYPE} if body else None,
                timeout=aiohttp.ClientTimeout(
                    total=seconds, sock_connect=CONNECT_SECONDS
                ),
            ) as response:
                data = await response.read()
                if response.status in _REFUSALS:
                    raise exceptions.PlatformUnavailable(
                        f"the store answered {response.status}"
                    )
                decoded = wire.decode(data) if data else None
                return response.status, decoded
        except transport.CALL_ERRORS as error:
            message = f"store: {transport.describe(error)}"
            if method == "GET" or transport.is_unsent(error):
                raise exceptions.PlatformUnavailable(message) from error
            raise exceptions.OutcomeUnknown(message) from error


def _require(condition: bool, status: int) -> None:
    if not condition:
        raise exceptions.PlatformUnavailable(f"the store answered {status}")


def _decode_value(item: Body) -> bytes:
    """Return the value; bytes that are no base64 are left as they are."""
    text = item.get("value", "")
    try:
        return base64.b64decode(text)
    except ValueError:
        return str(text).encode()


def _make_batch(events: t.Sequence[Body], revision: int) -> changes.Batch:
    """Return what items and events of the store tell.

    All keys that belong neither to the operator nor to the servers are the
    entry hosts' own.
    """
    decoded = (
        _decode_event(event)
        for event in events
        if event["key"].startswith(_PREFIXES)
    )
    own = (
        changes.HostRecordChanged(
            event["key"],
            None if event.get("removed") else _decode_value(event),
        )
        for event in events
        if not event["key"].startswith(_PREFIXES)
    )
    return changes.Batch(tuple(filter(None, decoded)), revision, tuple(own))


def _decode_event(event: Body) -> t.Optional[changes.Change]:
    if event.get("removed"):
        return records.decode_removal(event["key"])
    return records.decode_record(event["key"], _decode_value(event))
