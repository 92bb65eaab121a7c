"""HTTP server with fault injection, the base of all stand-ins."""

import asyncio
import collections
import json
import signal
import time
import typing as t

from aiohttp import web
import attrs

from standins import silence

# Interval of checks whether a silent outage or stall has ended.
POLL_INTERVAL_SECONDS = 0.02
MAX_BODY_BYTES = 64 * 1024 * 1024


class RateLimit:
    """Spaces units of work evenly over time; a rate of 0 is unlimited."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self._free_at = 0.0

    def reserve(self, units: float = 1.0) -> float:
        """Reserve units of work; return the seconds to wait for them."""
        if not self.per_second:
            return 0.0
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + units / self.per_second
        return self._free_at - now

    async def acquire(self, units: float = 1.0) -> None:
        """Reserve units of work and wait for them."""
        wait = self.reserve(units)
        if wait:
            await asyncio.sleep(wait)


@attrs.define
class Options:
    """Options of a stand-in that has none of its own."""


class Server:
    """HTTP server of a stand-in.

    Each route has a name, under which `GET /counters` counts its calls.
    `POST /faults` accepts a JSON object; for each key, the method
    `fault_<key>` is called with the value. The faults of all stand-ins are:

    - `outage`: "503" responds to all calls with status 503, "silent" does
      not respond, "" ends the outage.
    - `delay`: seconds before each call takes effect.
    - `lose_answers`: the next N calls to routes named in `writes` take
      effect, and their connections are reset without a response.
    - `silence`: seconds from now in which no byte leaves the stand-in, on any
      connection; everything else goes on.
    - `clock_offset`: seconds that the stand-in's clock is ahead.
    """

    options_class: t.ClassVar[type] = Options
    writes: t.ClassVar[t.FrozenSet[str]] = frozenset()

    def __init__(self, options: t.Any = None) -> None:
        self.options = options or self.options_class()
        self.counters: t.Counter[str] = collections.Counter()
        self.address = ""
        self.outage = ""
        self.delay = 0.0
        self.lost_answers = 0
        self.silent_until = 0.0  # monotonic seconds
        self.clock_offset = 0.0
        self._runner: t.Optional[web.AppRunner] = None
        self._tasks: t.Set[asyncio.Task] = set()

    @property
    def url(self) -> str:
        """The base URL without a trailing slash."""
        return f"http://{self.address}"

    def read_clock(self) -> float:
        """Return the time on the stand-in's clock in Unix seconds."""
        return time.time() + self.clock_offset

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the stand-in to the router."""
        raise NotImplementedError

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the address as ip:port."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.on_response_prepare.append(_repeat_exchange_id)
        app.router.add_post("/faults", self._post_faults)
        app.router.add_get("/counters", self._get_counters)
        self.add_routes(app.router)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.drop_connections()
        if self._runner is not None:
            await self._runner.cleanup()

    async def __aenter__(self) -> "t.Self":
        await self.start()
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        await self.stop()

    def spawn(self, coroutine: t.Coroutine) -> asyncio.Task:
        """Run a coroutine until it ends or the stand-in stops."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def list_connections(self) -> t.List[web.RequestHandler]:
        """Return the open connections."""
        server = self._runner.server if self._runner else None
        return list(server.connections) if server else []

    def drop_connections(
        self, keep: t.Optional[asyncio.Transport] = None
    ) -> None:
        """Reset all connections except `keep`."""
        for connection in self.list_connections():
            transport = connection.transport
            if transport is not None and transport is not keep:
                transport.abort()

    def inject(self, **faults: t.Any) -> None:
        """Set faults as `POST /faults` does.

        Raises ValueError for an unknown fault or value.
        """
        for name, value in faults.items():
            method = getattr(self, f"fault_{name}", None)
            if method is None:
                raise ValueError(f"unknown fault {name!r}")
            method(value)

    def fault_outage(self, value: str) -> None:
        """Start or end an outage."""
        self.outage = value

    def fault_delay(self, value: float) -> None:
        """Set the delay of each call, seconds."""
        self.delay = value

    def fault_lose_answers(self, value: int) -> None:
        """Lose the responses to the next `value` writes."""
        self.lost_answers = value

    def fault_silence(self, value: float) -> None:
        """Start a silence of so many seconds."""
        self.silent_until = time.monotonic() + value

    def fault_clock_offset(self, value: float) -> None:
        """Set how far the clock is ahead, seconds."""
        self.clock_offset = value

    async def _post_faults(self, request: web.Request) -> web.Response:
        try:
            self.inject(**await request.json())
        except ValueError as error:
            return make_error_response(400, str(error))
        return web.json_response({})

    async def _get_counters(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.counters))

    async def reset_connection(self, request: web.Request) -> web.Response:
        """Reset the connection of a request.

        Returns an empty response, since a handler must return one.
        """
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def check_outage(
        self, request: web.Request
    ) -> t.Optional[web.Response]:
        """Return the response during an outage, or None without an outage.

        In a silent outage, wait until it ends and then reset the connection.
        """
        if self.outage == "503":
            return make_error_response(503, "outage")
        if self.outage != "silent":
            return None
        while self.outage == "silent" and request.transport is not None:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return await self.reset_connection(request)

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        kind = request.match_info.route.name
        if kind is None:
            return await handler(request)
        silence.silence_connection(request, lambda: self.silent_until)
        self.counters[kind] += 1
        # Reads the body first, so that the call takes effect even if the
        # caller closes the connection during the delay.
        await request.read()
        if self.delay:
            await asyncio.sleep(self.delay)
        outage_response = await self.check_outage(request)
        if outage_response is not None:
            return outage_response
        response = await handler(request)
        if kind in self.writes and self.lost_answers > 0:
            self.lost_answers -= 1
            return await self.reset_connection(request)
        return response


async def _repeat_exchange_id(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Name the request that a response belongs to."""
    exchange_id = request.headers.get("Sesamefold-Exchange")
    if exchange_id is not None:
        response.headers["Sesamefold-Exchange"] = exchange_id


def make_error_response(
    status: int, message: str, executed: str = "", **details: t.Any
) -> web.Response:
    """Return an error response.

    `executed` "no" tells the caller that the request was not executed.
    """
    return web.json_response(
        {"error": message, **details},
        status=status,
        headers={"Sesamefold-Executed": executed} if executed else None,
    )


async def run(server: Server, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the address once listening."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await server.start(host, port)
    print(json.dumps({"address": server.address}), flush=True)
    await stopped.wait()
    await server.stop()
