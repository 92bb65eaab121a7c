"""Listener of a server that crashes and comes back at its address."""

import asyncio
import contextlib
import typing as t

from aiohttp import web

from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store


class CrashingServer:
    """A server whose crashes end its connections and its listener.

    It is back `down_seconds` after a crash as a new incarnation with the same
    id and address, which the platform's store then lists. `crash_times` are
    those of its crashes in seconds of the event loop. An engine with
    `platform_engine.PlatformEngine.deadly_parts` crashes by its requests.
    """

    def __init__(
        self,
        engine: platform_engine.PlatformEngine,
        store: platform_store.PlatformStore,
        down_seconds: float = 0.5,
    ) -> None:
        self.engine = engine
        self.down_seconds = down_seconds
        self.crash_times: t.List[float] = []
        self._store = store
        self._web_server = web.Server(
            engine.handle, handler_cancellation=True, access_log=None
        )
        self._listener: t.Optional[asyncio.AbstractServer] = None
        self._port = 0
        self._restart: t.Optional["asyncio.Task[None]"] = None
        engine.on_crash = self.crash

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen and appear in the store until `stack` is closed."""
        stack.push_async_callback(self.stop)
        await self._listen()

    async def _listen(self) -> None:
        self._listener = await asyncio.get_running_loop().create_server(
            self._web_server, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self._store.put(
            f"servers/{self.engine.id}",
            platform_fixtures.make_server_entry(
                f"127.0.0.1:{self._port}",
                born=self.engine.born,
                models=[{"name": platform_fixtures.MODEL, "version": 1}],
            ),
        )

    def crash(self) -> None:
        """End all connections now and come back later."""
        if self._listener is None:
            return
        self.crash_times.append(asyncio.get_running_loop().time())
        self._listener.close()
        self._listener = None
        for connection in self._web_server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.down_seconds)
        self.engine.born += 1
        await self._listen()

    async def stop(self) -> None:
        """Stop for good."""
        if self._restart is not None:
            self._restart.cancel()
            await asyncio.wait({self._restart})
        if self._listener is not None:
            self._listener.close()
        await self._web_server.shutdown(0.1)
