"""Stand-in of a plain service."""

import asyncio
import collections
import hashlib
import typing as t

from aiohttp import web
import attrs

from standins import server


@attrs.define
class Options:
    """`name` is part of each answer; a call takes `seconds` to execute."""

    name: str = "service"
    seconds: float = 0.0
    answer_bytes: int = 0


class ServiceServer(server.Server):
    """Answers calls of any path and method, and counts its executions.

    `GET /executions` returns the counts per method, path, SHA-256 of the body
    and Idempotency-Key. The answer names all of them and the running number
    of the execution, so that a crossed answer shows. `answer_bytes` pads it.

    Further faults, each for the next N calls: `drop_before` and `drop_after`
    reset the connection before or after the execution, `refuse` answers with
    status 503 defined as before execution, `fail` executes and answers with
    status 500. `late` is the time between execution and answer in seconds.
    """

    options_class = Options
    writes = frozenset(("call",))

    def __init__(self, options: t.Optional[Options] = None) -> None:
        super().__init__(options)
        self.executions: t.Counter[t.Tuple[str, ...]] = collections.Counter()
        self.late = 0.0
        self._faults: t.Counter[str] = collections.Counter()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes."""
        router.add_get("/executions", self._list)
        router.add_route("*", "/{path:.*}", self._call, name="call")

    def fault_late(self, value: float) -> None:
        """Set the time between execution and answer."""
        self.late = value

    def fault_drop_before(self, value: int) -> None:
        """Reset connections before execution."""
        self._faults["drop_before"] = value

    def fault_drop_after(self, value: int) -> None:
        """Reset connections after execution."""
        self._faults["drop_after"] = value

    def fault_refuse(self, value: int) -> None:
        """Refuse calls before execution."""
        self._faults["refuse"] = value

    def fault_fail(self, value: int) -> None:
        """Execute calls and answer with an error."""
        self._faults["fail"] = value

    def _takes(self, fault: str) -> bool:
        applies = self._faults[fault] > 0
        self._faults[fault] -= applies
        return applies

    async def _list(self, request: web.Request) -> web.Response:
        names = ("method", "path", "sha256", "key")
        return web.json_response(
            [
                {**dict(zip(names, call)), "count": count}
                for call, count in self.executions.items()
            ]
        )

    async def _call(self, request: web.Request) -> web.Response:
        if self._takes("drop_before"):
            return await self.reset_connection(request)
        if self._takes("refuse"):
            return server.make_error_response(503, "refused", executed="no")
        body = await request.read()
        call = (
            request.method,
            request.path,
            hashlib.sha256(body).hexdigest(),
            request.headers.get("Idempotency-Key", ""),
        )
        await asyncio.sleep(self.options.seconds)
        self.executions[call] += 1
        number = self.executions[call]
        self.counters["executions"] += 1
        await asyncio.sleep(self.late)
        if self._takes("drop_after"):
            return await self.reset_connection(request)
        if self._takes("fail"):
            return server.make_error_response(500, "failed after execution")
        return web.json_response(
            {
                "service": self.options.name,
                "method": call[0],
                "path": call[1],
                "sha256": call[2],
                "key": call[3],
                "execution": number,
                "padding": "." * self.options.answer_bytes,
            }
        )
