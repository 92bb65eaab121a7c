"""Stand-in of the rate-limited weight store."""

import asyncio
import typing as t

from aiohttp import web
import attrs

from standins import server

CHUNK_BYTES = 64 * 1024


@attrs.define
class Options:
    """Size of a weight version in bytes, and rates in bytes per second.

    `rate` is shared by all transfers; one transfer gets at most
    `connection_rate`. With the defaults a transfer takes 1 s, and longer when
    more than two run at once. 0 is unlimited.
    """

    size: int = 4 * 1024 * 1024
    rate: float = 10.0 * 1024 * 1024
    connection_rate: float = 4.0 * 1024 * 1024


class WeightServer(server.Server):
    """Serves weights of the same size under every name `model@version`.

    Faults besides those of `server.Server`: `break_transfers` breaks off the
    next N transfers half-way.
    """

    options_class = Options

    def __init__(self, options: t.Optional[Options] = None) -> None:
        super().__init__(options)
        self.transfers_to_break = 0
        self._shared_limit = server.RateLimit(self.options.rate)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/weights/{version}", self._fetch, name="fetch")

    def fault_break_transfers(self, value: int) -> None:
        """Break off the next `value` transfers half-way."""
        self.transfers_to_break = value

    async def _fetch(self, request: web.Request) -> web.StreamResponse:
        size = self.options.size
        should_break = self.transfers_to_break > 0
        self.transfers_to_break -= should_break
        response = web.StreamResponse(headers={"Content-Length": str(size)})
        await response.prepare(request)
        connection_limit = server.RateLimit(self.options.connection_rate)
        self.counters["transfers"] += 1
        self.counters["most_transfers"] = max(
            self.counters["most_transfers"], self.counters["transfers"]
        )
        try:
            for start in range(0, size, CHUNK_BYTES):
                if should_break and start >= size // 2:
                    return await self.reset_connection(request)
                chunk = bytes(min(CHUNK_BYTES, size - start))
                limits = (connection_limit, self._shared_limit)
                await asyncio.sleep(max(r.reserve(len(chunk)) for r in limits))
                await response.write(chunk)
        finally:
            self.counters["transfers"] -= 1
        await response.write_eof()
        return response
