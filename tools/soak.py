"""Soak test of entry host processes under random faults.

Starts entry hosts as processes with the stand-ins of the users' store and
engines. Their connections go through loopback proxies. Faults are chosen by a
seed: connections that are delayed, reset, or cut in one or both directions;
processes that are paused, killed, or stopped and restarted; a store that
refuses calls, loses answers, drops its history or returns from a copy; servers
that refuse requests, fail with the status of a refusal, break off responses,
restart, announce that they leave, ask for a rest, ignore orders, or fall
silent and go on; revoked API keys; grown configurations; new target versions
of the weights; a store of context that restarts or whose connections are
disrupted; customers that are isolated for a while; hosts with a queue for
room, and servers that say how long work takes; prompts with a part that
crashes each server which begins to answer them.
Prints one JSON line for each seed, and exits with status 1 if an invariant
was violated.

    python -m tools.soak --seeds 1 2 3 --seconds 15 --hosts 3
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import itertools
import json
import logging
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing as t

import aiohttp
import attrs

from standins import engine_simulator
from standins import platform_context_store
from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store
from standins import proxy
from tools import soak_invariants

ENGINE_COUNTS = (2, 3, 4)
REQUESTS_PER_SECOND = 60
# Most entry hosts that a run starts.
MAX_HOSTS = 100
# Longest time for which a run injects faults.
MAX_SECONDS = 120
# Time after the last fault within which the hosts must recover.
RECOVERY_SECONDS = 12.0
# Time from a server's announcement that it leaves to its end.
LEAVING_SECONDS = soak_invariants.LEAVING_SECONDS + 1.5
# Time in which a server ignores orders, and the most that it ignores.
IGNORED_ORDERS_SECONDS = soak_invariants.WEIGHTS_EXPIRY_SECONDS + 2.0
MAX_IGNORED_ORDERS = 1000
# Rests that servers ask for.
RETRY_AFTERS = ("0.7", "1.5", "3", "4")
# Least share of requests that must succeed after the recovery.
MIN_RECOVERED_SHARE = 0.9
SECOND_API_KEY = "another-key"
# The customer with the second key; its context is isolated.
ISOLATED_CUSTOMER = "customer-2"
# A customer without requests that is isolated at times, which changes the
# space that the others share.
SILENT_CUSTOMER = "customer-3"
SHARED_TOKENS = 200
# Contract with which requests wait in a queue for room.
PRESSURE_CONTRACT = "pressure"
# Times that servers say work takes, in percent of the usual one.
SLOWDOWNS = ((), (100,), (250,))
ENGINE_OPTIONS = engine_simulator.EngineOptions(
    slots=8, memory_tokens=4000, step_seconds=0.03, load_seconds=0.5
)
# Share of faults that come in a series, its length, and its interval.
SERIES_SHARE = 0.2
SERIES_FAULTS = 3
SERIES_INTERVAL_SECONDS = 0.2
# Share of faults beside which servers fall silent, and the times of silence.
SILENCE_SHARE = 0.3
SILENCE_SECONDS = (0.4, 2.5)
# Share of the prompts that have the deadly part while there are any, and for
# how long there are, seconds.
DEADLY_SHARE = 0.06
DEADLY_SECONDS = 8.0
# Time for which a store is away before it returns from a copy, and the longest
# time until the operator and the servers have written their records again.
STORE_RETURN_SECONDS = 0.3
MAX_REWRITE_SECONDS = 0.8
# Routes by which a configuration may grow.
ADDED_ROUTES = 900
ENGINE_FAULTS = (
    "refuse",
    "misdirect",
    "reset",
    "fail",
    "fail-unavailable",
    "foreign",
    "unsealed",
    "cut",
    "unframed",
    "cut-unframed",
    "late",
)


@attrs.define
class HostProcess:
    """An entry host's process and its own link to the store.

    `terminated_by_soak` is set from the moment when the soak ends the process
    until it has started a new one. Links are proxies of the connections.
    """

    name: str
    address: str
    settings_path: pathlib.Path
    ports: t.Sequence[int]
    store_link: proxy.Proxy
    process: t.Optional[asyncio.subprocess.Process] = None
    terminated_by_soak: bool = False


class Soak:
    """A soak run with one seed."""

    def __init__(self, seed: int, seconds: float, hosts: int) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._host_count = hosts
        self._stack = contextlib.AsyncExitStack()
        self._sent_requests: t.Dict[str, soak_invariants.SentRequest] = {}
        self._config_version = 1
        self._added_routes = 0
        self._silent_isolated = False
        self._orders: t.List[t.List[t.Dict[str, t.Any]]] = []
        self._target_version = 1
        self._superseded_at: t.Dict[int, float] = {}
        self._second_key_revoked_at = float("inf")
        self._started_instances = 0
        self._deadly_until = 0.0
        self._disruptions: t.Dict[str, t.List[soak_invariants.Disruption]] = (
            collections.defaultdict(list)
        )
        # Pauses and kills of hosts; a host that is asked to stop is not
        # excused from answering.
        self._host_failures: t.Dict[
            str, t.List[soak_invariants.Disruption]
        ] = collections.defaultdict(list)
        # Silences of servers, which delay their notices, by address.
        self._silences: t.Dict[str, t.List[soak_invariants.Disruption]] = (
            collections.defaultdict(list)
        )
        # Addresses of the links to the instances of servers.
        self._instance_links: t.Dict[str, str] = {}
        self.injected_faults: t.List[str] = []
        self.violations: t.List[str] = []

    async def run(self) -> t.Dict[str, t.Any]:
        """Run, and return the counts and the first violations."""
        async with self._stack:
            await self._start()
            began = time.monotonic()
            end = began + self._seconds
            sending = asyncio.create_task(self._send_requests_until(end))
            while time.monotonic() < end:
                await asyncio.sleep(self._random.uniform(0.1, 0.8))
                self._inject_fault()
            await sending
            await asyncio.gather(*self._tasks)
            await self._check_recovery()
            self._check_invariants()
        statuses = collections.Counter(
            str(request.status) for request in self._sent_requests.values()
        )
        return {
            "requests": len(self._sent_requests),
            "statuses": statuses,
            "faults": len(self.injected_faults),
            "broken": self.violations[:10],
        }

    async def _start(self) -> None:
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        self.store = platform_store.PlatformStore(era=1)
        store_address = await platform_fixtures.start_server(
            self._stack, self.store.build_app()
        )
        self.context_store = platform_context_store.ContextStore()
        self.context_store_link = proxy.Proxy(
            await platform_fixtures.start_server(
                self._stack, self.context_store.build_app()
            )
        )
        await self.context_store_link.start(self._stack)
        self._put_configuration()
        self._put_target_version()
        self.engines = []
        for _ in range(self._random.choice(ENGINE_COUNTS)):
            engine = platform_engine.PlatformEngine(
                "",
                simulator=engine_simulator.EngineSimulator(ENGINE_OPTIONS),
                context_stores={
                    self.context_store_link.address: self.context_store
                },
                isolated_customers=(ISOLATED_CUSTOMER,),
                stream_events=soak_invariants.STREAM_EVENTS,
                slowdown_percent=self._random.choice(SLOWDOWNS),
                deadly_parts={soak_invariants.DEADLY_PART},
            )
            simulation = asyncio.create_task(engine.simulator.run())
            self._stack.callback(simulation.cancel)
            target = await platform_fixtures.start_server(
                self._stack, engine.handle
            )
            link = proxy.Proxy(target)
            await link.start(self._stack)
            self.engines.append((engine, link))
            engine.on_crash = functools.partial(self._crash, engine, link)
            self._start_instance(engine, link)
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.hosts = []
        contracts = self._random.choice(([], [PRESSURE_CONTRACT]))
        for number in range(self._host_count):
            link = proxy.Proxy(store_address)
            await link.start(self._stack)
            ports = await platform_fixtures.find_free_ports(3)
            name = f"entry-{number}"
            path = pathlib.Path(folder) / f"{name}.toml"
            text = platform_fixtures.format_settings(
                ports,
                link.address,
                contact_ms=500,
                contracts=contracts,
                version_ms=int(
                    1000 * soak_invariants.WEIGHTS_LIFETIME_SECONDS
                ),
            )
            path.write_text(text.replace("entry-1", name))
            self.hosts.append(
                HostProcess(name, "127.0.0.1", path, ports, link)
            )
        self._stack.push_async_callback(self._kill_hosts)
        for host in self.hosts:
            await self._start_process(host)
        async with asyncio.timeout(20.0):
            for host in self.hosts:
                while not await self._is_ready(host):
                    self._check_start(host)
                    await asyncio.sleep(0.1)
        publishing = asyncio.create_task(self._publish_server_entries())
        self._stack.callback(publishing.cancel)

    async def _start_process(self, host: HostProcess) -> None:
        host.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/entry.py",
            env={**os.environ, "SESAMEFOLD_CONFIG": str(host.settings_path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        host.terminated_by_soak = False

    def _check_start(self, host: HostProcess) -> None:
        """Raise `RuntimeError` if a host has exited before it was ready.

        Another process may have taken one of its ports.
        """
        if host.process.returncode is not None:
            raise RuntimeError(
                f"{host.name} exited with status {host.process.returncode} "
                f"before it was ready, ports {host.ports}"
            )

    async def _kill_hosts(self) -> None:
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()

    async def _is_ready(self, host: HostProcess) -> bool:
        url = f"http://{host.address}:{host.ports[1]}/ready"
        try:
            async with self.session.get(
                url, timeout=aiohttp.ClientTimeout(total=1.0)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _put_configuration(self) -> None:
        configuration = platform_fixtures.make_configuration(
            self._config_version
        )
        configuration["routes"] += [
            {
                **configuration["routes"][0],
                "name": f"added-{number}",
                "path_prefix": f"/added-{number}/",
            }
            for number in range(self._added_routes)
        ]
        isolated = {
            **configuration["tenants"][0],
            "name": ISOLATED_CUSTOMER,
            "isolated": True,
            "api_keys": (
                [SECOND_API_KEY]
                if self._second_key_revoked_at == float("inf")
                else []
            ),
        }
        silent = {
            **isolated,
            "name": SILENT_CUSTOMER,
            "isolated": self._silent_isolated,
            "api_keys": [],
        }
        configuration["tenants"] += [isolated, silent]
        configuration["services"].append(
            {
                "name": "cache",
                "kv_store_addr": self.context_store_link.address,
                "zone": "dc-1",
                "kv_capacity": self.context_store.capacity_tokens,
            }
        )
        self.store.put("op/config", configuration)

    def _put_target_version(self) -> None:
        self.store.put(
            f"op/version/{platform_fixtures.MODEL}",
            {
                "model": platform_fixtures.MODEL,
                "version": self._target_version,
            },
        )

    def _start_instance(
        self, engine: platform_engine.PlatformEngine, link: proxy.Proxy
    ) -> None:
        """Restart a server as a new instance at the same address."""
        self._started_instances += 1
        if engine.id:
            self.store.remove(f"servers/{engine.id}")
        engine.id = f"i-{self._started_instances}"
        engine.leaving = None
        self._instance_links[engine.id] = link.address
        # A restarted server keeps its weights, a new one has the newest.
        if not engine.weights or self._random.random() < 0.5:
            engine.weights = {platform_fixtures.MODEL: self._target_version}
        self._orders.append(engine.orders[:])
        engine.orders.clear()
        engine.simulator.crash()
        self._publish_server_entry(engine, link)

    def _publish_server_entry(
        self, engine: platform_engine.PlatformEngine, link: proxy.Proxy
    ) -> None:
        models = [
            {"name": name, "version": version}
            for name, version in engine.weights.items()
        ]
        entry = platform_fixtures.make_server_entry(
            link.address, seq=int(time.time() * 1000), models=models
        )
        self.store.put(f"servers/{engine.id}", entry)

    async def _publish_server_entries(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for engine, link in self.engines:
                self._publish_server_entry(engine, link)

    async def _send_requests_until(self, end: float) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)
                group.create_task(self._send_request())

    async def _send_request(self) -> soak_invariants.SentRequest:
        request_id = f"r-{len(self._sent_requests)}"
        kind = self._random.choice(soak_invariants.REQUEST_KINDS)
        key = self._random.choice((platform_fixtures.API_KEY, SECOND_API_KEY))
        host = self._random.choice(self.hosts)
        request = self._sent_requests[request_id] = (
            soak_invariants.SentRequest(kind, key, time.monotonic(), host.name)
        )
        headers = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Sesamefold-Request-Id": request_id,
            "Sesamefold-Deadline-Ms": str(
                int(soak_invariants.TIMEOUT_SECONDS * 1000)
            ),
            "Api-Key": key,
        }
        if kind in ("/stream/", "/resumable/"):
            session = self._random.randrange(20)
            parts = ["a:50", f"{session:x}:{SHARED_TOKENS}"]
            if (
                time.monotonic() < self._deadly_until
                and self._random.random() < DEADLY_SHARE
            ):
                parts.append(f"{soak_invariants.DEADLY_PART}:1")
            headers |= {
                "Sesamefold-Model": platform_fixtures.MODEL,
                "Sesamefold-Token-Usage": (
                    f"{100 + SHARED_TOKENS},{soak_invariants.STREAM_EVENTS}"
                ),
                "Sesamefold-Prompt-Prefix": ",".join(
                    [*parts, f"{request_id}:50"]
                ),
            }
        try:
            async with self.session.post(
                f"http://{host.address}:{host.ports[0]}{kind}x",
                headers=headers,
                data=b"body",
                timeout=aiohttp.ClientTimeout(
                    total=soak_invariants.TIMEOUT_SECONDS + 1.0
                ),
            ) as response:
                request.status = response.status
                request.response_id = response.headers.get(
                    "Sesamefold-Request-Id"
                )
                async for chunk in response.content.iter_any():
                    request.body += chunk
                request.complete = True
        except aiohttp.ClientConnectorError:
            request.taken = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The invariants are checked on what was received.
            pass
        request.ended_at = time.monotonic()
        return request

    def _inject_fault(self) -> None:
        """Start a random fault, or a series of them; several may overlap."""
        fault = self._random.choice(
            (
                self._disrupt_store,
                self._disrupt_store_link,
                self._return_store,
                self._disrupt_engine_link,
                self._queue_engine_faults,
                self._restart_engine,
                self._end_engine,
                self._ignore_orders,
                self._rest_engine,
                self._pause_host,
                self._terminate_host,
                self._change_keys,
                self._change_target_version,
                self._disrupt_context_store,
                self._send_deadly_part,
            )
        )
        series = self._random.random() < SERIES_SHARE
        for number in range(SERIES_FAULTS if series else 1):
            self._start_fault(fault, number * SERIES_INTERVAL_SECONDS)
        if self._random.random() < SILENCE_SHARE:
            self._start_fault(self._silence_engines, 0.0)

    def _start_fault(
        self, fault: t.Callable[[float], t.Any], delay: float
    ) -> None:
        async def run() -> None:
            await asyncio.sleep(delay)
            await fault(self._random.uniform(0.3, 3.0))

        self.injected_faults.append(fault.__name__)
        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _silence_engines(self, seconds: float) -> None:
        count = self._random.randint(1, len(self.engines))
        now = time.monotonic()
        for engine, link in self._random.sample(self.engines, count):
            silent_until = now + self._random.uniform(*SILENCE_SECONDS)
            engine.silent_until = max(engine.silent_until, silent_until)
            self._silences[link.address].append(
                soak_invariants.Disruption(now, silent_until)
            )

    async def _disrupt_store(self, seconds: float) -> None:
        kind = self._random.choice(("refuse", "silent", "lose", "forget"))
        if kind == "refuse":
            self.store.error_status = self._random.choice((429, 503))
        elif kind == "forget":
            self.store.drop_history()
        else:
            self.store.silent = kind == "silent"
            self.store.lose_answers = kind == "lose"
        await asyncio.sleep(seconds)
        self.store.error_status = 0
        self.store.silent = self.store.lose_answers = False

    async def _return_store(self, seconds: float) -> None:
        """Let the store return from a copy that is `seconds` old.

        What the operator and the servers have written since is written again
        a little later, and entries of servers that have ended are removed.
        """
        saved = self.store.take_copy()
        await asyncio.sleep(seconds)
        self.store.error_status = 503
        await asyncio.sleep(STORE_RETURN_SECONDS)
        self.store.return_from(saved)
        self.store.error_status = 0
        await asyncio.sleep(self._random.uniform(0.0, MAX_REWRITE_SECONDS))
        rewrites: t.List[t.Callable[[], None]] = [
            self._put_configuration,
            self._put_target_version,
            *(
                functools.partial(self._publish_server_entry, engine, link)
                for engine, link in self.engines
            ),
        ]
        self._random.shuffle(rewrites)
        for rewrite in rewrites:
            rewrite()
        running = {f"servers/{engine.id}" for engine, _ in self.engines}
        for key in set(self.store.list_keys("servers/")) - running:
            self.store.remove(key)

    async def _disrupt_store_link(self, seconds: float) -> None:
        await self._disrupt_link(
            self._random.choice(self.hosts).store_link, seconds
        )

    async def _disrupt_engine_link(self, seconds: float) -> None:
        _, link = self._random.choice(self.engines)
        with self._record_disruption(link.address):
            await self._disrupt_link(link, seconds)

    @contextlib.contextmanager
    def _record_disruption(
        self, name: str, host_failed: bool = False
    ) -> t.Iterator[None]:
        """Record the time in the context as one of a host or of a link."""
        began_at = time.monotonic()
        try:
            yield
        finally:
            disruption = soak_invariants.Disruption(began_at, time.monotonic())
            self._disruptions[name].append(disruption)
            if host_failed:
                self._host_failures[name].append(disruption)

    async def _disrupt_link(self, link: proxy.Proxy, seconds: float) -> None:
        kind = self._random.choice(
            ("delay", "reset", "forward", "backward", "silence")
        )
        if kind == "delay":
            link.delay = 0.2
        elif kind == "reset":
            link.reset()
        link.cut_forward = kind in ("forward", "silence")
        link.cut_backward = kind in ("backward", "silence")
        await asyncio.sleep(seconds)
        link.heal()

    async def _queue_engine_faults(self, seconds: float) -> None:
        engine, _ = self._random.choice(self.engines)
        count = self._random.randrange(1, 6)
        engine.faults += self._random.choices(ENGINE_FAULTS, k=count)

    async def _restart_engine(self, seconds: float) -> None:
        engine, link = self._random.choice(self.engines)
        link.reset()
        self._start_instance(engine, link)

    def _crash(
        self, engine: platform_engine.PlatformEngine, link: proxy.Proxy
    ) -> None:
        """Restart a server that a request has crashed."""
        link.reset()
        self._start_instance(engine, link)

    async def _send_deadly_part(self, seconds: float) -> None:
        """Let some of the prompts have a part that crashes servers."""
        self._deadly_until = time.monotonic() + DEADLY_SECONDS

    async def _end_engine(self, seconds: float) -> None:
        """Let a server announce that it leaves, and later replace it."""
        engine, link = self._random.choice(self.engines)
        if engine.leaving is not None:
            return
        engine.leaving = platform_engine.LEAVING_VALUE
        instance = engine.id
        await asyncio.sleep(LEAVING_SECONDS)
        if engine.id == instance:
            self._start_instance(engine, link)

    async def _ignore_orders(self, seconds: float) -> None:
        """Let a server keep its weights, beyond their expiry if replaced."""
        engine, _ = self._random.choice(self.engines)
        engine.orders_to_ignore = MAX_IGNORED_ORDERS
        await asyncio.sleep(IGNORED_ORDERS_SECONDS)
        engine.orders_to_ignore = 0

    async def _rest_engine(self, seconds: float) -> None:
        engine, _ = self._random.choice(self.engines)
        engine.retry_after = self._random.choice(RETRY_AFTERS)
        engine.faults.insert(0, "rest")

    async def _pause_host(self, seconds: float) -> None:
        host = self._random.choice(self.hosts)
        process = host.process
        if process is None or process.returncode is not None:
            return
        with self._record_disruption(host.name, host_failed=True):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)

    async def _terminate_host(self, seconds: float) -> None:
        host = self._random.choice(self.hosts)
        process = host.process
        if process is None or host.terminated_by_soak:
            return
        if process.returncode is not None:
            self.violations.append(
                f"{host.name} exited unexpectedly, status {process.returncode}"
            )
            return
        host.terminated_by_soak = True
        killed = self._random.random() < 0.5
        with self._record_disruption(host.name, host_failed=killed):
            process.send_signal(signal.SIGKILL if killed else signal.SIGTERM)
            await process.wait()
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            await self._start_process(host)

    async def _change_keys(self, seconds: float) -> None:
        """Revoke the second key for good, or just publish a new version.

        The version may isolate the silent customer or not.
        """
        self._config_version += 1
        self._silent_isolated = self._random.random() < 0.5
        self._added_routes = self._random.choice((0, ADDED_ROUTES))
        if (
            self._second_key_revoked_at == float("inf")
            and self._random.random() < 0.3
        ):
            self._second_key_revoked_at = time.monotonic()
        self._put_configuration()

    async def _change_target_version(self, seconds: float) -> None:
        self._superseded_at[self._target_version] = time.monotonic()
        self._target_version += 1
        self._put_target_version()

    async def _disrupt_context_store(self, seconds: float) -> None:
        """Restart the store of context, or disrupt its connections."""
        if self._random.random() < 0.5:
            self.context_store.restart()
        else:
            await self._disrupt_link(self.context_store_link, seconds)

    async def _check_recovery(self) -> None:
        for engine, _ in self.engines:
            engine.faults.clear()
        await asyncio.sleep(RECOVERY_SECONDS)
        succeeded = []
        for _ in range(60):
            request = await self._send_request()
            if request.key == platform_fixtures.API_KEY:
                succeeded.append(request.status == 200 and request.complete)
        if sum(succeeded) < MIN_RECOVERED_SHARE * len(succeeded):
            self.violations.append(
                f"{sum(succeeded)} of {len(succeeded)} requests"
                " succeeded after the faults"
            )
        for host in self.hosts:
            if host.process is None or host.process.returncode is not None:
                self.violations.append(f"{host.name} exited unexpectedly")

    def _check_invariants(self) -> None:
        attempts: t.Dict[str, t.List[soak_invariants.Attempt]] = {}
        if self.context_store.reads_of_freed_parts:
            self.violations.append("context was freed during a fetch")
        for engine, link in self.engines:
            foreign = engine.simulator.counters["foreign"]
            if foreign:
                self.violations.append(
                    f"{engine.id} used {foreign} parts of another origin"
                )
            if engine.weights[platform_fixtures.MODEL] != self._target_version:
                self.violations.append(
                    f"{engine.id} has weights {engine.weights}"
                )
            self.violations += soak_invariants.find_expired_weights(
                engine.runs, self._superseded_at
            )
            for run in engine.runs:
                attempts.setdefault(run.request_id, []).append(
                    soak_invariants.Attempt(
                        run,
                        engine.simulator.crash_times,
                        self._disruptions[link.address],
                        self._silences[link.address],
                    )
                )
        self._orders += [engine.orders for engine, _ in self.engines]
        for orders in self._orders:
            self.violations += soak_invariants.find_order_violations(orders)
        self.violations += soak_invariants.find_excess_crashes(
            itertools.chain.from_iterable(e.runs for e, _ in self.engines),
            self._sent_requests,
            self._disruptions,
        )
        self.violations += soak_invariants.find_notice_violations(
            [a for engine, _ in self.engines for a in engine.arrivals],
            self._sent_requests,
            {
                **self._disruptions,
                **{
                    server_id: [
                        *self._disruptions[address],
                        *self._silences[address],
                    ]
                    for server_id, address in self._instance_links.items()
                },
            },
        )
        for request_id in attempts.keys() - self._sent_requests.keys():
            self.violations.append(f"{request_id} was executed but never sent")
        for request_id, request in self._sent_requests.items():
            key_revoked = (
                request.key == SECOND_API_KEY
                and request.sent_at
                > self._second_key_revoked_at
                + soak_invariants.KEY_REVOCATION_SECONDS
            )
            own_attempts = attempts.get(request_id, [])
            for violation in itertools.chain(
                soak_invariants.find_violations(
                    request, [a.run for a in own_attempts], key_revoked
                ),
                soak_invariants.find_lost_response(
                    request, own_attempts, self._host_failures[request.host]
                ),
            ):
                self.violations.append(
                    f"{request_id} {request.kind} {violation}"
                )
            if request.complete and request.response_id not in (
                None,
                request_id,
            ):
                self.violations.append(
                    f"{request_id} got the response to another request"
                )


def main() -> int:
    """Parse the arguments, run the seeds and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=3)
    arguments = parser.parse_args()
    # Errors that the stand-ins log are only the injected faults.
    logging.getLogger("aiohttp.server").disabled = True
    violated = False
    for seed in arguments.seeds:
        soak = Soak(
            seed,
            min(arguments.seconds, MAX_SECONDS),
            min(arguments.hosts, MAX_HOSTS),
        )
        result = asyncio.run(soak.run())
        print(json.dumps({"seed": seed, **result}), flush=True)
        violated = violated or bool(result["broken"])
    return int(violated)


if __name__ == "__main__":
    sys.exit(main())
