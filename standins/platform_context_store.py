"""Stand-in of the users' managed stores of cached context."""

import asyncio
import time
import typing as t

from aiohttp import web
import attrs

from standins import engine_simulator

# Cache salt and part, by which the store's API names a part.
PartName = t.Tuple[str, str]


@attrs.define
class ContextStore:
    """A store that evicts nothing itself and does not track its readers.

    A save reserves its space at once or fails; a part can be fetched when
    its transfer is complete. Transfers run one after another at
    `tokens_per_second`. `stored_tokens` and `partial_tokens` are the sizes of
    complete parts and of those in transfer. `reads_of_freed_parts` counts the
    fetches during which the part was freed, which clients of the store must
    prevent.
    """

    capacity_tokens: int = 100_000
    tokens_per_second: float = 2_000_000.0
    event_limit: int = 1000
    reads_of_freed_parts: int = 0
    boot_epoch: int = attrs.field(factory=time.time_ns)
    stored_tokens: t.Dict[engine_simulator.PartKey, int] = attrs.field(
        factory=dict
    )
    origins: t.Dict[engine_simulator.PartKey, str] = attrs.field(factory=dict)
    partial_tokens: t.Dict[engine_simulator.PartKey, int] = attrs.field(
        factory=dict
    )
    events: engine_simulator.CacheEvents = attrs.field(init=False)
    _transfer_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def __attrs_post_init__(self) -> None:
        self.events = engine_simulator.CacheEvents(self.event_limit)

    def restart(self) -> None:
        """Start a new boot epoch without contents."""
        self.boot_epoch += 1
        self.stored_tokens.clear()
        self.partial_tokens.clear()
        self.events = engine_simulator.CacheEvents(self.event_limit)

    async def save(
        self, key: engine_simulator.PartKey, tokens: int, origin: str = ""
    ) -> bool:
        """Store a part and return whether that succeeded.

        A save fails if the part exists, if space is lacking, or if the store
        restarts or the part is freed during the transfer.
        """
        used_tokens = sum(self.stored_tokens.values()) + sum(
            self.partial_tokens.values()
        )
        if key in self.stored_tokens or key in self.partial_tokens:
            return False
        if used_tokens + tokens > self.capacity_tokens:
            return False
        boot_epoch, self.partial_tokens[key] = self.boot_epoch, tokens
        await self._transfer(tokens)
        if (
            boot_epoch != self.boot_epoch
            or self.partial_tokens.pop(key, None) is None
        ):
            return False
        self.stored_tokens[key], self.origins[key] = tokens, origin
        self.events.record(True, key, tokens)
        return True

    async def fetch(
        self, key: engine_simulator.PartKey, deadline: float
    ) -> int:
        """Return the number of tokens fetched, 0 for a miss.

        A fetch that ends after `deadline`, in Unix seconds, counts as a miss.
        """
        tokens, boot_epoch = self.stored_tokens.get(key, 0), self.boot_epoch
        if not tokens:
            return 0
        await self._transfer(tokens)
        if time.time() > deadline:
            return 0
        if boot_epoch == self.boot_epoch and key not in self.stored_tokens:
            self.reads_of_freed_parts += 1
        return tokens

    async def _transfer(self, tokens: int) -> None:
        async with self._transfer_lock:
            await asyncio.sleep(tokens / self.tokens_per_second)

    def free(self, parts: t.Iterable[PartName]) -> None:
        """Free parts at once, even those that are being fetched."""
        names = set(parts)
        for key in [key for key in self.stored_tokens if key[:2] in names]:
            self.events.record(False, key, self.stored_tokens.pop(key))
        for key in [key for key in self.partial_tokens if key[:2] in names]:
            del self.partial_tokens[key]

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/kv-events", self._get_events)
        app.router.add_get("/kv-list", self._list_parts)
        app.router.add_post("/kv-free", self._free_parts)
        return app

    def _respond(self, body: t.Mapping[str, t.Any]) -> web.Response:
        clock_ms = time.time() * 1000.0
        return web.json_response(
            {**body, "boot_epoch": self.boot_epoch, "clock_ms": clock_ms}
        )

    async def _get_events(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        return self._respond(await wait_for_events(self, since, request))

    async def _list_parts(self, request: web.Request) -> web.Response:
        return self._respond(
            {
                "next": self.events.last_number,
                "held": [
                    [salt, part, tokens, model]
                    for (
                        salt,
                        part,
                        model,
                    ), tokens in self.stored_tokens.items()
                ],
                "partial": [
                    [salt, part, 0, tokens]
                    for (salt, part, _), tokens in self.partial_tokens.items()
                ],
            }
        )

    async def _free_parts(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("boot_epoch", self.boot_epoch) != self.boot_epoch:
            return web.Response(status=409)
        if time.time() * 1000.0 >= body.get("until_ms", float("inf")):
            return web.Response(status=409)
        self.free((salt, part) for salt, part in body["parts"])
        return self._respond({})


class CacheEventSource(t.Protocol):
    """An engine or store that records cache events."""

    events: engine_simulator.CacheEvents


async def wait_for_events(
    source: CacheEventSource, since: int, request: web.BaseRequest
) -> t.Dict[str, t.Any]:
    """Return the JSON body with the events after `since`.

    Waits for an event for as long as the header `Wait-Ms` says, at most one
    second.
    """
    seconds = min(1000, int(request.headers.get("Wait-Ms", "0"))) / 1000.0
    changed = source.events.changed
    if source.events.last_number <= since and seconds:
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            # Without a new event the body has an empty list.
            return source.events.encode_since(since)
    return source.events.encode_since(since)
