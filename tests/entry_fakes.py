"""Fakes and test cases for the tests of the entry host."""

import asyncio
import collections
import contextlib
import os
import typing as t
import unittest

import aiohttp
import multidict

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import host as entry_host
from sesamefold.entry import requests
from sesamefold.entry import settings as entry_settings
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold.platform import client
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import stores
from sesamefold import transport
from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store


class FakeClock:
    """Clock whose time is set by the test."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class RecordingLog(decisions.DecisionLog):
    """Decision log that records the names of the events."""

    def __init__(self) -> None:
        super().__init__(-1, "host")
        self.events: t.List[str] = []

    def write(self, event: str, **fields: t.Any) -> None:
        """Record the name of the event."""
        self.events.append(event)


class FakeFleet:
    """Entry hosts of region-1, and `remote_hosts` of region-2."""

    def __init__(
        self, hosts: t.Sequence[str], remote_hosts: t.Sequence[str] = ()
    ) -> None:
        self.hosts = hosts
        self.remote_hosts = remote_hosts

    def list_hosts(self) -> t.AbstractSet[str]:
        """Return the names of all hosts."""
        return {*self.hosts, *self.remote_hosts}

    def list_hosts_in(self, region: t.Optional[str]) -> t.Collection[str]:
        """Return the names of the hosts of a region."""
        return self.remote_hosts if region == "region-2" else self.hosts


class FakeNetwork:
    """Network that delivers messages synchronously or drops them.

    `message_log` has the topic, sender and receiver of each message. Unless
    `delayed_deliveries` is None, deliveries are appended there instead of
    being made.
    """

    def __init__(self) -> None:
        self.channels: t.Dict[datagrams.Address, "FakeChannel"] = {}
        self.lost_topics: t.Set[str] = set()
        self.sent: t.Counter[str] = collections.Counter()
        self.message_log: t.List[t.Tuple[str, str, str]] = []
        self.received: t.Counter[str] = collections.Counter()
        self.delayed_deliveries: t.Optional[t.List[t.Callable[[], None]]] = (
            None
        )


class FakeChannel:
    """Peer channel of one host in a fake network."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        self.network = network
        self.host = host
        self.address = (host, 1)
        self.handlers: t.Dict[str, datagrams.Handler] = {}
        network.channels[self.address] = self

    def subscribe(self, topic: str, handler: datagrams.Handler) -> None:
        """Register the handler of a topic."""
        self.handlers[topic] = handler

    def send(
        self, topic: str, body: t.Any, addresses: t.Iterable[t.Any]
    ) -> None:
        """Call the handlers of the receivers, or delay the calls."""
        self.network.sent[topic] += 1
        if topic in self.network.lost_topics:
            return
        for address in addresses:
            receiver = self.network.channels.get(address)
            if receiver is None:
                continue
            self.network.received[topic] += 1
            self.network.message_log.append((topic, self.host, receiver.host))

            def deliver(handler: t.Any = receiver.handlers[topic]) -> None:
                handler(self.host, self.address, body)

            if self.network.delayed_deliveries is None:
                deliver()
            else:
                self.network.delayed_deliveries.append(deliver)


class FakePeers:
    """Peers of a host: in its own region and in other regions."""

    def __init__(
        self,
        host: str,
        region_hosts: t.Sequence[str],
        remote_hosts: t.Sequence[str] = (),
    ) -> None:
        self.host = host
        self.region_hosts = region_hosts
        self.remote_hosts = remote_hosts

    def get_link_mbps(self, host: str) -> float:
        """Return a high bandwidth for one host and a low one for the rest."""
        return 1000.0 if host.endswith("-7") else 10.0

    def list_peers(self, same_region: bool) -> t.Dict[str, datagrams.Address]:
        """Return the addresses of the peers in this or in other regions."""
        hosts = self.region_hosts if same_region else self.remote_hosts
        return {host: (host, 1) for host in hosts if host != self.host}


def make_log() -> decisions.DecisionLog:
    """Return a decision log that writes to the null device."""
    return decisions.DecisionLog(os.open(os.devnull, os.O_WRONLY), "host")


def make_server(server_id: str, **fields: t.Any) -> topology.Server:
    """Return a server that accepts requests."""
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


def make_call(
    request_id: str = "r-1",
    prompt: t.Optional[requests.Prompt] = None,
    **fields: t.Any,
) -> requests.Call:
    """Return a call, of a streamed route if it has a prompt."""
    route = topology.Route(
        name="route-1",
        host="callers.example",
        path_prefix="/",
        services=(topology.ServiceShare("chat", 1.0),),
        streamed=prompt is not None,
        resumable=prompt is not None,
        idempotent=False,
        public=True,
        max_servers=3,
        timeout=10.0,
        first_byte_target=1.0,
        priority=1,
    )
    values: t.Dict[str, t.Any] = {
        "head": requests.RequestHead(
            request_id, multidict.CIMultiDict(), prompt=prompt
        ),
        "route": route,
        "service": "chat",
        "customer": None,
        "method": "POST",
        "target": "/",
        "body": b"",
        "arrived_at": 0.0,
        "deadline": float("inf"),
    }
    return requests.Call(**{**values, **fields})


def make_catalog(clock: t.Callable[[], float]) -> catalog.Catalog:
    """Return an empty catalog."""
    return catalog.Catalog(make_log(), clock)


def make_report_batch(*servers: topology.Server) -> changes.Batch:
    """Return a batch of changes in which the servers report themselves."""
    return changes.Batch(tuple(map(changes.ServerReported, servers)), 1)


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
        "weights_limits": catalog.WeightsLimits(10.0, 4.0),
        "shutdown_seconds": 8.0,
        "order_pause_seconds": 3.0,
        "leaving_seconds": 2.5,
        "link_mbps": 100.0,
    }
    return entry_settings.EntrySettings(**{**values, **fields})


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a platform store and a client of it."""

    store_era: t.Optional[int] = None

    async def asyncSetUp(self) -> None:
        """Start the store."""
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.store = platform_store.PlatformStore(era=self.store_era)
        self.address = await platform_fixtures.start_server(
            self.stack, self.store.build_app()
        )
        session = await self.stack.enter_async_context(
            transport.make_session()
        )
        self.client = client.StoreClient(session, self.address)


class EntryHostCase(StoreCase):
    """Test case with an entry host, two servers and a store in one process."""

    settings_fields: t.Dict[str, t.Any] = {}

    async def asyncSetUp(self) -> None:
        """Start the servers and the entry host."""
        await super().asyncSetUp()
        self.store.put("op/config", platform_fixtures.make_configuration())
        self.engines = [
            platform_engine.PlatformEngine(f"i-{number}")
            for number in range(2)
        ]
        for engine in self.engines:
            engine_address = await platform_fixtures.start_server(
                self.stack, engine.handle
            )
            self.put_server_entry(engine.id, engine_address)
        self.settings = make_settings(
            await platform_fixtures.find_free_ports(4),
            self.address,
            **self.settings_fields,
        )
        await self.start_host()
        self.caller = await self.stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False)
        )

    def put_server_entry(
        self, server_id: str, address: str, **fields: t.Any
    ) -> None:
        """Write a server's entry to the store."""
        entry = platform_fixtures.make_server_entry(address, **fields)
        self.store.put(f"servers/{server_id}", entry)

    async def start_host(self) -> None:
        """Start the entry host and wait until it is ready."""
        session = await self.stack.enter_async_context(
            transport.make_session()
        )
        self.host = entry_host.EntryHost(
            self.settings,
            entry_host.PlatformAdapters(
                self.client,
                self.client,
                headers.HeaderCodec(),
                engines.EngineClient(session),
                stores.ContextStoreClient(session),
                records.encode_rollout_status,
            ),
            make_log(),
        )
        await self.host.start()
        self.stack.push_async_callback(self.host.stop)
        await self.wait_until(self.host.is_ready)
        await self.wait_until(self.host.members.list_sharing_hosts)

    async def wait_until(
        self, condition: t.Callable[[], t.Any], seconds: float = 5.0
    ) -> None:
        """Wait until a condition holds; fail after `seconds`."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self, path: str, request_id: str = "r-1", **fields: t.Any
    ) -> t.Tuple[int, t.Mapping[str, str], bytes]:
        """Send a request and return status, headers and body."""
        sent = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Sesamefold-Request-Id": request_id,
            "Sesamefold-Deadline-Ms": "2000",
            "Api-Key": platform_fixtures.API_KEY,
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
