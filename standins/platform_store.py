"""Stand-in of the users' store with its published HTTP protocol."""

import asyncio
import base64
import collections
import contextlib
import copy
import json
import time
import typing as t

from aiohttp import web
import attrs

# Time between two pieces of a body that is sent slowly.
PIECE_SECONDS = 0.1


@attrs.define
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@attrs.frozen
class StoreCopy:
    """What a store keeps, as of one instant."""

    revision: int
    items: t.Mapping[str, _Item]
    history: t.Sequence[t.Dict[str, t.Any]]
    leases: t.Mapping[int, t.Tuple[float, float]]
    last_lease: int


@attrs.define
class PlatformStore:
    """A key-value store in memory, with faults that tests set.

    `error_status`, unless 0, is the status of every response. `silent` holds
    every call for a minute. `lose_answers` executes the calls whose path
    begins with `lossy_path_prefix`, but holds their responses for a minute.
    `calls` are the methods and paths of all calls. `bytes_per_second`, unless
    0, is the rate at which the body of each reply is sent, and `stall_after`,
    unless 0, the number of its bytes after which it stops for a minute.
    `sent_keys` counts how often the value of each key was sent to readers.
    Unless `era` is None, all answers have it in the header `Store-Era`.
    """

    error_status: int = 0
    silent: bool = False
    lose_answers: bool = False
    lossy_path_prefix: str = "/"
    bytes_per_second: float = 0.0
    stall_after: int = 0
    calls: t.List[str] = attrs.field(factory=list)
    sent_keys: t.Counter[str] = attrs.field(factory=collections.Counter)
    revision: int = 1
    era: t.Optional[int] = None
    _items: t.Dict[str, _Item] = attrs.field(factory=dict)
    _history: t.List[t.Dict[str, t.Any]] = attrs.field(factory=list)
    _dropped_revision: int = 0
    _leases: t.Dict[int, t.Tuple[float, float]] = attrs.field(factory=dict)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Ids of leases are large, unlike revisions.
    _last_lease: int = 2**63

    def put(self, key: str, body: t.Any, lease: int = 0) -> int:
        """Write a value and return the new revision.

        Bytes are written as they are, anything else as JSON.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self._write(key, base64.b64encode(data).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record_event(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def get(self, key: str) -> t.Optional[bytes]:
        """Return the value of a key, or None if there is none."""
        self._expire_leases()
        item = self._items.get(key)
        return base64.b64decode(item.value) if item else None

    def list_keys(self, prefix: str) -> t.List[str]:
        """Return the keys that begin with a prefix."""
        self._expire_leases()
        return [key for key in self._items if key.startswith(prefix)]

    def drop_history(self) -> None:
        """Drop the history, so that watches of older revisions get 410."""
        self._dropped_revision = self.revision
        self._history.clear()
        self._changed.set()

    def take_copy(self) -> "StoreCopy":
        """Return a copy of all records, their history and the leases."""
        return StoreCopy(
            self.revision,
            copy.deepcopy(self._items),
            list(self._history),
            dict(self._leases),
            self._last_lease,
        )

    def return_from(self, saved: "StoreCopy") -> None:
        """Go back to a copy and begin the next era.

        What was written since is gone, and its revisions and ids of leases are
        given out again. Watches that wait go on or get 410.
        """
        self.revision, self._last_lease = saved.revision, saved.last_lease
        self._items = copy.deepcopy(saved.items)
        self._history = list(saved.history)
        self._leases = dict(saved.leases)
        self.era = (self.era or 0) + 1
        self._changed.set()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._apply_faults])
        app.router.add_get("/kv-key", self._get_key)
        app.router.add_get("/kv-range", self._get_range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._execute_transaction)
        app.router.add_post("/kv-lease", self._grant_lease)
        app.router.add_post("/kv-keep/{id}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{id}", self._revoke_lease)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        if self.silent:
            await asyncio.sleep(60.0)
        response = await self._answer(request, handler)
        if self.era is not None and not response.prepared:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _answer(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        """Return the response, or one that a fault calls for."""
        if self.error_status:
            return web.Response(status=self.error_status)
        self._expire_leases()
        response = await handler(request)
        loses_answer = self.lose_answers and request.path.startswith(
            self.lossy_path_prefix
        )
        if loses_answer:
            await asyncio.sleep(60.0)
        if self.bytes_per_second or self.stall_after:
            return await self._send_slowly(request, response)
        return response

    async def _send_slowly(
        self, request: web.Request, response: web.Response
    ) -> web.StreamResponse:
        """Send a reply's body in pieces."""
        body = response.body
        assert isinstance(body, bytes)
        slow = web.StreamResponse(status=response.status)
        slow.content_type = "application/json"
        slow.content_length = len(body)
        await slow.prepare(request)
        size = int(self.bytes_per_second * PIECE_SECONDS) or self.stall_after
        # The reader may have given up.
        with contextlib.suppress(ConnectionResetError):
            for start in range(0, len(body), size):
                await slow.write(body[start : start + size])
                if self.stall_after and start + size >= self.stall_after:
                    await asyncio.sleep(60.0)
                if start + size < len(body):
                    await asyncio.sleep(PIECE_SECONDS)
        return slow

    def _write(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        known = self._items.get(key)
        created = known.created if known else self.revision
        item = _Item(value, self.revision, created, lease)
        self._items[key] = item
        self._record_event(self._encode(key, item))
        return self.revision

    def _record_event(self, event: t.Dict[str, t.Any]) -> None:
        self._history.append(event)
        self._changed.set()

    def _encode(self, key: str, item: _Item) -> t.Dict[str, t.Any]:
        return {"key": key, **attrs.asdict(item)}

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease in [i for i, (_, at) in self._leases.items() if at <= now]:
            self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i.lease == lease]:
            self.remove(key)

    async def _get_key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self._items:
            return web.json_response({"as_of": self.revision}, status=404)
        body = self._encode(key, self._items[key])
        return web.json_response({**body, "as_of": self.revision})

    async def _get_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["path_prefix"], request.query.get(
            "after"
        )
        keys = sorted(
            k
            for k in self._items
            if k.startswith(prefix) and (after is None or k > after)
        )
        page = keys[:500]
        self.sent_keys.update(page)
        return web.json_response(
            {
                "items": [self._encode(k, self._items[k]) for k in page],
                "has_more": len(keys) > len(page),
                "as_of": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if not self._dropped_revision <= after <= self.revision:
                return web.Response(status=410)
            events = [
                e
                for e in self._history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                self.sent_keys.update(e["key"] for e in events)
                return web.json_response(
                    {"events": events, "as_of": self.revision}
                )
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    async def _execute_transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = {e["key"]: e["revision"] for e in body["expected"]}
        actual = {
            key: self._items[key].revision if key in self._items else 0
            for key in expected
        }
        if actual != expected:
            items = [
                self._encode(k, self._items[k])
                for k in expected
                if k in self._items
            ]
            return web.json_response({"items": items}, status=412)
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in self._leases:
                return web.Response(status=404)
        for write in body["writes"]:
            self._write(write["key"], write["value"], write["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        seconds = (await request.json())["ttl_ms"] / 1000
        self._last_lease += 1
        lease = self._last_lease
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        return web.json_response({"lease": lease, "ttl_ms": seconds * 1000})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.Response(status=404)
        seconds, _ = self._leases[lease]
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        return web.json_response({"ttl_ms": seconds * 1000})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info["id"]))
        return web.json_response({})
