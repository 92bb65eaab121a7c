"""Fakes and an assembled entry host for the tests of the platform's side."""

import asyncio
import contextlib
import os
import typing as t
import unittest

import aiohttp
from aiohttp import web

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import decisions
from sesamefold.entry import host as entry_host
from sesamefold.entry import settings as entry_settings
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold.platform import client
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import stores
from sesamefold import transport
from standins import platform_engine
from standins import platform_store

HOST = "callers.example"
KEY = "a-key"
MODEL = "model-1"


class FakeClock:
    """A clock that a test sets."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


def make_log() -> decisions.DecisionLog:
    """Return a log whose lines nobody reads."""
    return decisions.DecisionLog(os.open(os.devnull, os.O_WRONLY), "host")


def make_server(server_id: str, **fields: t.Any) -> topology.Server:
    """Return a server that is ready."""
    values: t.Dict[str, t.Any] = {
        "service": "chat",
        "address": "127.0.0.1:1",
        "data_centre": "dc-1",
        "slots": 8,
        "draining": False,
        "started_at": 1,
        "sequence": 1,
    }
    return topology.Server(id=server_id, **{**values, **fields})


def make_catalog(clock: t.Callable[[], float]) -> catalog.Catalog:
    """Return an empty catalog."""
    return catalog.Catalog(make_log(), clock)


def report(*servers: topology.Server) -> changes.Batch:
    """Return a batch of reports."""
    return changes.Batch(tuple(map(changes.ServerReported, servers)), 1)


def make_configuration(version: int = 1, **fields: t.Any) -> t.Any:
    """Return the operator's record as the platform writes it."""

    def route(name: str, kind: str, **more: t.Any) -> t.Dict[str, t.Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 1,
            "service": "chat",
            "max_attempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
            "target_gap_ms": 200,
            "allowed_regions": [],
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("safe", "safe"),
            route("unsafe", "unsafe"),
            route("stream", "streaming"),
            route("resumable", "streaming", resumable=True),
            route("short", "unsafe", timeout_ms=300),
        ],
        "services": [
            {
                "name": "chat",
                "health_path": "/healthz",
                "max_connections": 100,
                "cold_start_s": 3.0,
                "cold_per_s": 21.0,
                "engine": {"slots": 64, "kv_capacity": 100_000},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "customer-1",
                "api_keys": [KEY],
                "priority": 1,
                "allowed_regions": [],
            }
        ],
        **fields,
    }


def make_settings(
    ports: t.Sequence[int], store: str, **fields: t.Any
) -> entry_settings.EntrySettings:
    """Return the settings of a host on loopback."""
    values: t.Dict[str, t.Any] = {
        "host": "entry-1",
        "data_centre": "dc-1",
        "region": "region-1",
        "regions": {"dc-1": "region-1", "dc-2": "region-2"},
        "listen_address": ("127.0.0.1", ports[0]),
        "ready_address": ("127.0.0.1", ports[1]),
        "metrics_address": ("127.0.0.1", ports[2]),
        "peer_address": ("127.0.0.1", ports[3]),
        "store_address": store,
        "retries": throttle.RetryLimits(0.2, 58, 10),
        "key_withdrawal_seconds": 5.0,
        "shutdown_seconds": 8.0,
        "order_pause_seconds": 3.0,
    }
    return entry_settings.EntrySettings(**{**values, **fields})


async def start_server(
    stack: contextlib.AsyncExitStack, handler: t.Any
) -> str:
    """Serve an application or a handler and return its address."""
    if isinstance(handler, web.Application):
        runner: web.BaseRunner[t.Any] = web.AppRunner(
            handler, shutdown_timeout=0.1
        )
    else:
        runner = web.ServerRunner(
            web.Server(handler, handler_cancellation=True),
            shutdown_timeout=0.1,
        )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def find_ports(count: int) -> t.List[int]:
    """Return ports that are free."""
    servers = [
        await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        for _ in range(count)
    ]
    ports = [s.sockets[0].getsockname()[1] for s in servers]
    for server in servers:
        server.close()
        await server.wait_closed()
    return ports


class EntryHostCase(unittest.IsolatedAsyncioTestCase):
    """An entry host before two servers and a store, all in this process."""

    settings_fields: t.Dict[str, t.Any] = {}

    async def asyncSetUp(self) -> None:
        """Start the store, the servers and the entry host."""
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.store = platform_store.PlatformStore()
        address = await start_server(self.stack, self.store.build())
        self.store.put("op/config", make_configuration())
        self.engines = [
            platform_engine.PlatformEngine(f"i-{number}")
            for number in range(2)
        ]
        for engine in self.engines:
            engine_address = await start_server(self.stack, engine.handle)
            self.report(engine.id, engine_address)
        self.settings = make_settings(
            await find_ports(4), address, **self.settings_fields
        )
        await self.start_host()
        self.caller = await self.stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False)
        )

    def report(self, server_id: str, address: str, **fields: t.Any) -> None:
        """Write a server's entry."""
        body = {
            "service": "chat",
            "address": address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
            **fields,
        }
        self.store.put(f"servers/{server_id}", body)

    async def start_host(self) -> None:
        """Start the entry host and wait until it is ready."""
        session = await self.stack.enter_async_context(
            transport.make_session()
        )
        store_client = client.StoreClient(session, self.settings.store_address)
        self.host = entry_host.EntryHost(
            self.settings,
            entry_host.Platform(
                store_client,
                store_client,
                headers.HeaderCodec(),
                engines.EngineClient(session),
                stores.ContextStoreClient(session),
            ),
            make_log(),
        )
        await self.host.start()
        self.stack.push_async_callback(self.host.stop)
        await self.wait_until(self.host.is_ready)

    async def wait_until(
        self, condition: t.Callable[[], t.Any], seconds: float = 5.0
    ) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self, path: str, request_id: str = "r-1", **fields: t.Any
    ) -> t.Tuple[int, t.Mapping[str, str], bytes]:
        """Send a request and return status, headers and body."""
        sent = {
            "Host": HOST,
            "Sesamefold-Request-Id": request_id,
            "Sesamefold-Deadline-Ms": "2000",
            "Api-Key": KEY,
            **fields.pop("headers", {}),
        }
        address = ":".join(map(str, self.settings.listen_address))
        async with self.caller.post(
            f"http://{address}{path}",
            headers={k: v for k, v in sent.items() if v is not None},
            data=fields.pop("data", b"body"),
        ) as response:
            return response.status, response.headers, await response.read()

    def list_runs(self) -> t.List[platform_engine.Run]:
        """Return the runs of all servers."""
        return [run for engine in self.engines for run in engine.runs]
