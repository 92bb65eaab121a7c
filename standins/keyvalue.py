"""Stand-in of the platform's key-value service."""

import asyncio
import base64
import collections
import math
import time
import typing as t
import uuid

from aiohttp import web
import attrs

from standins import server

MAX_VALUE_BYTES = 1024 * 1024
# Bytes of earlier values that the fault `stale` can answer with.
KEPT_BYTES = 32 * 1024 * 1024


@attrs.define
class Options:
    """Rates per second; 0 is unlimited."""

    reads_per_second: float = 0.0
    writes_per_second: float = 0.0


@attrs.define
class _Value:
    data: bytes
    version: int
    lease: str = ""


class KeyValueServer(server.Server):
    """Compare-and-swap on versions, leases and long-poll watches.

    Writes use POST, because HTTP clients may repeat PUT and DELETE on their
    own. The version of a key that was removed starts again at 1.

    Further faults: `stale` is {"key": K, "back": B, "count": N}; the next N
    reads or watches of K get the value that is B writes older.
    """

    options_class = Options
    writes = frozenset(
        ("put", "delete", "lease_grant", "lease_renew", "lease_revoke")
    )

    def __init__(self, options: t.Optional[Options] = None) -> None:
        super().__init__(options)
        self.values: t.Dict[str, _Value] = {}
        self.leases: t.Dict[str, t.Tuple[float, float]] = {}
        self._history: t.Deque[t.Tuple[str, _Value]] = collections.deque()
        self._history_bytes = 0
        self._changed = asyncio.Event()
        self._stale: t.Dict[str, t.List[int]] = {}
        self._reads = server.RateLimit(self.options.reads_per_second)
        self._writes = server.RateLimit(self.options.writes_per_second)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/keys", self._list, name="list")
        router.add_get("/keys/{key:.+}", self._get, name="get")
        router.add_post("/keys/{key:.+}", self._put, name="put")
        router.add_post("/delete/{key:.+}", self._delete, name="delete")
        router.add_get("/watch/{key:.+}", self._watch, name="watch")
        router.add_post("/leases", self._grant, name="lease_grant")
        router.add_post("/leases/{id}/renew", self._renew, name="lease_renew")
        router.add_post(
            "/leases/{id}/revoke", self._revoke, name="lease_revoke"
        )

    def fault_outage(self, value: str) -> None:
        """Start or end an outage; pending watches meet it too."""
        super().fault_outage(value)
        self._notify()

    def fault_clock_offset(self, value: float) -> None:
        """Set the clock ahead; leases lapse earlier."""
        super().fault_clock_offset(value)
        self._notify()

    def fault_stale(self, value: t.Mapping[str, t.Any]) -> None:
        """Answer reads of a key with an older value."""
        self._stale[value["key"]] = [value.get("back", 1), value["count"]]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = self.read_clock()
        for lease in [k for k, (_, at) in self.leases.items() if at <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: str) -> None:
        del self.leases[lease]
        keys = [k for k, v in self.values.items() if v.lease == lease]
        for key in keys:
            del self.values[key]
        if keys:
            self._notify()

    def _find(self, key: str) -> t.Optional[_Value]:
        self._expire()
        value = self.values.get(key)
        stale = self._stale.get(key)
        if not stale or stale[1] <= 0:
            return value
        history = [v for k, v in self._history if k == key]
        if not history:
            return value
        stale[1] -= 1
        return history[max(0, len(history) - 1 - stale[0])]

    def _keep(self, key: str, value: _Value) -> None:
        self._history.append((key, value))
        self._history_bytes += len(value.data)
        while self._history_bytes > KEPT_BYTES:
            _, oldest = self._history.popleft()
            self._history_bytes -= len(oldest.data)

    @staticmethod
    def _encode(key: str, value: _Value) -> web.Response:
        return web.json_response(
            {
                "key": key,
                "value": base64.b64encode(value.data).decode(),
                "version": value.version,
            }
        )

    def _check(
        self, key: str, expected: t.Optional[int]
    ) -> t.Optional[web.Response]:
        self._expire()
        found = self.values.get(key)
        actual = found.version if found else 0
        if expected is None or expected == actual:
            return None
        return server.make_error_response(
            409, "version conflict", version=actual
        )

    async def _get(self, request: web.Request) -> web.Response:
        await self._reads.acquire()
        key = request.match_info["key"]
        value = self._find(key)
        if value is None:
            return server.make_error_response(404, "no such key")
        return self._encode(key, value)

    async def _list(self, request: web.Request) -> web.Response:
        await self._reads.acquire()
        self._expire()
        prefix = request.query.get("prefix", "")
        return web.json_response(
            {"keys": sorted(k for k in self.values if k.startswith(prefix))}
        )

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        body = await request.json()
        data = base64.b64decode(body["value"])
        if len(data) > MAX_VALUE_BYTES:
            return server.make_error_response(413, "value is larger than 1 MB")
        await self._writes.acquire()
        conflict = self._check(key, body.get("expected"))
        if conflict is not None:
            return conflict
        lease = body.get("lease") or ""
        if lease and lease not in self.leases:
            return server.make_error_response(410, "no such lease")
        old = self.values.get(key)
        value = _Value(data, old.version + 1 if old else 1, lease)
        self.values[key] = value
        self._keep(key, value)
        self.counters["bytes_written"] += len(data)
        self._notify()
        return web.json_response({"version": value.version})

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        expected = (await request.json()).get("expected")
        await self._writes.acquire()
        conflict = self._check(key, expected)
        if conflict is not None:
            return conflict
        if self.values.pop(key, None) is not None:
            self._notify()
        return web.json_response({})

    async def _watch(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        after = int(request.query["after"])
        end = time.monotonic() + min(float(request.query["timeout"]), 300.0)
        self.counters["watches_pending"] += 1
        try:
            while True:
                changed = self._changed
                refused = await self.check_outage(request)
                if refused is not None:
                    return refused
                value = self._find(key)
                if (value.version if value else 0) != after:
                    break
                # Leases lapse without a write, so they bound the wait.
                lapse = min(
                    (at for _, at in self.leases.values()), default=math.inf
                )
                wait = min(end - time.monotonic(), lapse - self.read_clock())
                if time.monotonic() >= end or request.transport is None:
                    return web.Response(status=204)
                try:
                    await asyncio.wait_for(changed.wait(), max(wait, 0.001))
                except asyncio.TimeoutError:
                    continue
        finally:
            self.counters["watches_pending"] -= 1
        if value is None:
            return server.make_error_response(404, "no such key")
        return self._encode(key, value)

    def _renew_lease(self, lease: str, seconds: float) -> web.Response:
        at = self.read_clock() + seconds
        self.leases[lease] = (seconds, at)
        return web.json_response({"id": lease, "expires_at": at})

    async def _grant(self, request: web.Request) -> web.Response:
        seconds = (await request.json())["seconds"]
        await self._writes.acquire()
        return self._renew_lease(uuid.uuid4().hex, seconds)

    async def _renew(self, request: web.Request) -> web.Response:
        await self._writes.acquire()
        self._expire()
        lease = request.match_info["id"]
        if lease not in self.leases:
            return server.make_error_response(410, "no such lease")
        return self._renew_lease(lease, self.leases[lease][0])

    async def _revoke(self, request: web.Request) -> web.Response:
        await self._writes.acquire()
        self._expire()
        lease = request.match_info["id"]
        if lease in self.leases:
            self._end_lease(lease)
        return web.json_response({})
