"""Stand-in of the users' managed stores of cached context."""

import asyncio
import time
import typing as t

from aiohttp import web
import attrs

from standins import engine_simulator

# (salt, part) as the store's calls name a part.
PartName = t.Tuple[str, str]


@attrs.define
class ManagedStore:
    """A store that drops nothing by itself and knows no readers.

    A save reserves its space at once or is lost; the part is there when it
    is complete. Transfers run one after another at `tokens_per_second`.
    `read_while_freed` counts reads of parts that were freed meanwhile, which
    its users must not let happen.
    """

    capacity: int = 100_000
    tokens_per_second: float = 2_000_000.0
    events_limit: int = 1000
    read_while_freed: int = 0
    epoch: int = attrs.field(factory=time.time_ns)
    held: t.Dict[engine_simulator.Key, int] = attrs.field(factory=dict)
    origins: t.Dict[engine_simulator.Key, str] = attrs.field(factory=dict)
    partial: t.Dict[engine_simulator.Key, int] = attrs.field(factory=dict)
    events: engine_simulator.CacheEvents = attrs.field(init=False)
    _link: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def __attrs_post_init__(self) -> None:
        self.events = engine_simulator.CacheEvents(self.events_limit)

    def restart(self) -> None:
        """Lose all contents."""
        self.epoch += 1
        self.held.clear()
        self.partial.clear()
        self.events = engine_simulator.CacheEvents(self.events_limit)

    async def save(
        self, key: engine_simulator.Key, tokens: int, origin: str = ""
    ) -> bool:
        """Take a part from an engine; return False when it is lost."""
        taken = sum(self.held.values()) + sum(self.partial.values())
        if key in self.held or key in self.partial:
            return False
        if taken + tokens > self.capacity:
            return False
        epoch, self.partial[key] = self.epoch, tokens
        await self._transfer(tokens)
        if epoch != self.epoch or self.partial.pop(key, None) is None:
            return False
        self.held[key], self.origins[key] = tokens, origin
        self.events.note(True, key, tokens)
        return True

    async def fetch(self, key: engine_simulator.Key, until: float) -> int:
        """Return the tokens that were read, 0 for a miss.

        A read that has not ended at `until`, in Unix seconds, is discarded.
        """
        tokens, epoch = self.held.get(key, 0), self.epoch
        if not tokens:
            return 0
        await self._transfer(tokens)
        if time.time() > until:
            return 0
        if epoch == self.epoch and key not in self.held:
            self.read_while_freed += 1
        return tokens

    async def _transfer(self, tokens: int) -> None:
        async with self._link:
            await asyncio.sleep(tokens / self.tokens_per_second)

    def free(self, parts: t.Iterable[PartName]) -> None:
        """Free parts at once, whoever reads them."""
        names = set(parts)
        for key in [key for key in self.held if key[:2] in names]:
            self.events.note(False, key, self.held.pop(key))
        for key in [key for key in self.partial if key[:2] in names]:
            del self.partial[key]

    def build(self) -> web.Application:
        """Return the HTTP interface."""
        app = web.Application()
        app.router.add_get("/kv-events", self._tell_events)
        app.router.add_get("/kv-list", self._list)
        app.router.add_post("/kv-free", self._free)
        return app

    def _describe(self, body: t.Mapping[str, t.Any]) -> web.Response:
        clock_ms = time.time() * 1000.0
        return web.json_response(
            {**body, "boot_epoch": self.epoch, "clock_ms": clock_ms}
        )

    async def _tell_events(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        return self._describe(await wait_for_events(self, since, request))

    async def _list(self, request: web.Request) -> web.Response:
        return self._describe(
            {
                "next": self.events.next,
                "held": [
                    [salt, part, tokens, model]
                    for (salt, part, model), tokens in self.held.items()
                ],
                "partial": [
                    [salt, part, 0, tokens]
                    for (salt, part, _), tokens in self.partial.items()
                ],
            }
        )

    async def _free(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("boot_epoch", self.epoch) != self.epoch:
            return web.Response(status=409)
        self.free((salt, part) for salt, part in body["parts"])
        return self._describe({})


class Source(t.Protocol):
    """An engine or store with cache events."""

    events: engine_simulator.CacheEvents


async def wait_for_events(
    source: Source, since: int, request: web.BaseRequest
) -> t.Dict[str, t.Any]:
    """Return the events after `since`, waiting for one as the caller asks."""
    seconds = min(1000, int(request.headers.get("Wait-Ms", "0"))) / 1000.0
    changed = source.events.changed
    if source.events.next <= since and seconds:
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            # Nothing happened; the answer says so.
            return source.events.encode(since)
    return source.events.encode(since)
