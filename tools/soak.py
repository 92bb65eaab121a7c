"""Random faults against real entry hosts, with their promises checked.

Starts entry hosts as processes before the stand-ins of the users' store and
engines, each connection through a loopback proxy, and injects faults by a
seed: connections that are delayed, reset, cut one way or silent; processes
that are paused, killed, stopped and started again; a store that refuses,
loses answers or its history; servers that refuse, break off or restart;
keys that are withdrawn; weights that are named; a store of context that
restarts or whose events are held back. Prints one JSON line a seed; exits
with 1 if a promise was broken.

    python -m tools.soak --seeds 1 2 3 --seconds 15 --hosts 3
"""

import argparse
import asyncio
import collections
import contextlib
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

from standins import engine_memory
from standins import platform_cache
from standins import platform_engine
from standins import platform_fixtures
from standins import platform_store
from standins import proxy
from tools import soak_promises

ENGINES = 4
REQUESTS_PER_SECOND = 60
# Bounds of a run.
MAX_HOSTS = 100
MAX_SECONDS = 120
# Time after the last fault in which the hosts must serve again, and the share
# of requests that they must answer then.
RECOVERY_SECONDS = 12.0
RECOVERED_SHARE = 0.9
SECOND_KEY = "another-key"
# The customer with the second key; its context is apart.
ISOLATED = "customer-2"
SHARED_TOKENS = 200
TRAITS = engine_memory.Traits(
    slots=8, memory_tokens=4000, step_seconds=0.03, load_seconds=0.5
)
ENGINE_FAULTS = (
    "refuse",
    "misdirect",
    "reset",
    "fail",
    "foreign",
    "unsealed",
    "cut",
    "late",
)


@attrs.define
class Host:
    """An entry host's process and its own way to the store."""

    name: str
    address: str
    path: pathlib.Path
    ports: t.Sequence[int]
    store: proxy.Proxy
    process: t.Optional[asyncio.subprocess.Process] = None
    ended_on_purpose: bool = False


class Soak:
    """One run by one seed."""

    def __init__(self, seed: int, seconds: float, hosts: int) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._host_count = hosts
        self._stack = contextlib.AsyncExitStack()
        self._sent: t.Dict[str, soak_promises.Sent] = {}
        self._config_version = 1
        self._weights = 1
        self._second_key_until = float("inf")
        self._lives = 0
        self.faults: t.List[str] = []
        self.broken: t.List[str] = []

    async def run(self) -> t.Dict[str, t.Any]:
        """Run and return what was counted and which promises were broken."""
        async with self._stack:
            await self._start()
            began = time.monotonic()
            end = began + self._seconds
            callers = asyncio.create_task(self._call_until(end))
            while time.monotonic() < end:
                await asyncio.sleep(self._random.uniform(0.1, 0.8))
                self._inject()
            await callers
            await asyncio.gather(*self._tasks)
            await self._check_recovery()
            self._check_promises()
        statuses = collections.Counter(
            str(sent.status) for sent in self._sent.values()
        )
        return {
            "requests": len(self._sent),
            "statuses": statuses,
            "faults": len(self.faults),
            "broken": self.broken[:10],
        }

    async def _start(self) -> None:
        self._tasks: t.Set["asyncio.Task[None]"] = set()
        self.store = platform_store.PlatformStore()
        store_address = await platform_fixtures.start_server(
            self._stack, self.store.build_app()
        )
        self.cache = platform_cache.ManagedStore()
        self.way_to_cache = proxy.Proxy(
            await platform_fixtures.start_server(
                self._stack, self.cache.build()
            )
        )
        await self.way_to_cache.start(self._stack)
        self._put_configuration()
        self._put_weights()
        self.engines = []
        for number in range(ENGINES):
            engine = platform_engine.PlatformEngine(
                "",
                memory=engine_memory.Engine(TRAITS),
                stores={self.way_to_cache.address: self.cache},
                isolated=(ISOLATED,),
            )
            working = asyncio.create_task(engine.memory.work())
            self._stack.callback(working.cancel)
            target = await platform_fixtures.start_server(
                self._stack, engine.handle
            )
            way = proxy.Proxy(target)
            await way.start(self._stack)
            self.engines.append((engine, way))
            self._start_life(engine, way)
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.hosts = []
        for number in range(self._host_count):
            way = proxy.Proxy(store_address)
            await way.start(self._stack)
            ports = await platform_fixtures.find_free_ports(3)
            name = f"entry-{number}"
            path = pathlib.Path(folder) / f"{name}.toml"
            text = platform_fixtures.format_settings(ports, way.address)
            path.write_text(text.replace("entry-1", name))
            self.hosts.append(Host(name, "127.0.0.1", path, ports, way))
        self._stack.push_async_callback(self._kill_all)
        for host in self.hosts:
            await self._start_process(host)
        async with asyncio.timeout(20.0):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await asyncio.sleep(0.1)
        reporting = asyncio.create_task(self._report_servers())
        self._stack.callback(reporting.cancel)

    async def _start_process(self, host: Host) -> None:
        host.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/entry.py",
            env={**os.environ, "SESAMEFOLD_CONFIG": str(host.path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        host.ended_on_purpose = False

    async def _kill_all(self) -> None:
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()

    async def _is_ready(self, host: Host) -> bool:
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
        isolated = {
            **configuration["tenants"][0],
            "name": ISOLATED,
            "isolated": True,
            "api_keys": (
                [SECOND_KEY] if self._second_key_until == float("inf") else []
            ),
        }
        configuration["tenants"].append(isolated)
        configuration["services"].append(
            {
                "name": "cache",
                "kv_store_addr": self.way_to_cache.address,
                "zone": "dc-1",
                "kv_capacity": self.cache.capacity,
            }
        )
        self.store.put("op/config", configuration)

    def _put_weights(self) -> None:
        self.store.put(
            f"op/version/{platform_fixtures.MODEL}",
            {"model": platform_fixtures.MODEL, "version": self._weights},
        )

    def _start_life(
        self, engine: platform_engine.PlatformEngine, way: proxy.Proxy
    ) -> None:
        """Let a server start as a new one at its address."""
        self._lives += 1
        if engine.id:
            self.store.remove(f"servers/{engine.id}")
        engine.id = f"i-{self._lives}"
        engine.weights = {platform_fixtures.MODEL: self._weights}
        engine.orders.clear()
        engine.memory.crash()
        self._report(engine, way)

    def _report(
        self, engine: platform_engine.PlatformEngine, way: proxy.Proxy
    ) -> None:
        models = [
            {"name": name, "version": version}
            for name, version in engine.weights.items()
        ]
        entry = platform_fixtures.make_server_entry(
            way.address, seq=int(time.time() * 1000), models=models
        )
        self.store.put(f"servers/{engine.id}", entry)

    async def _report_servers(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for engine, way in self.engines:
                self._report(engine, way)

    async def _call_until(self, end: float) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)
                group.create_task(self._call())

    async def _call(self) -> soak_promises.Sent:
        request_id = f"r-{len(self._sent)}"
        kind = self._random.choice(soak_promises.KINDS)
        key = self._random.choice((platform_fixtures.API_KEY, SECOND_KEY))
        host = self._random.choice(self.hosts)
        sent = self._sent[request_id] = soak_promises.Sent(
            kind, key, time.monotonic()
        )
        headers = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Sesamefold-Request-Id": request_id,
            "Sesamefold-Deadline-Ms": str(int(soak_promises.WAIT * 1000)),
            "Api-Key": key,
        }
        if kind in ("/stream/", "/resumable/"):
            session = self._random.randrange(20)
            headers |= {
                "Sesamefold-Model": platform_fixtures.MODEL,
                "Sesamefold-Token-Usage": (
                    f"{100 + SHARED_TOKENS},{soak_promises.EVENTS}"
                ),
                "Sesamefold-Prompt-Prefix": (
                    f"a:50,{session:x}:{SHARED_TOKENS},c:50"
                ),
            }
        try:
            async with self.session.post(
                f"http://{host.address}:{host.ports[0]}{kind}x",
                headers=headers,
                data=b"body",
                timeout=aiohttp.ClientTimeout(total=soak_promises.WAIT + 1.0),
            ) as response:
                sent.status = response.status
                sent.answered_id = response.headers.get(
                    "Sesamefold-Request-Id"
                )
                async for chunk in response.content.iter_any():
                    sent.body += chunk
                sent.whole = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The promises are checked on what arrived.
            pass
        return sent

    def _inject(self) -> None:
        """Start one fault; several may last at the same time."""
        fault = self._random.choice(
            (
                self._disturb_store,
                self._disturb_way_to_store,
                self._disturb_way_to_engine,
                self._spoil_answers,
                self._restart_engine,
                self._pause_host,
                self._end_host,
                self._change_keys,
                self._name_weights,
                self._disturb_cache,
            )
        )
        seconds = self._random.uniform(0.3, 3.0)
        self.faults.append(fault.__name__)
        task = asyncio.create_task(fault(seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _disturb_store(self, seconds: float) -> None:
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

    async def _disturb_way_to_store(self, seconds: float) -> None:
        await self._disturb(self._random.choice(self.hosts).store, seconds)

    async def _disturb_way_to_engine(self, seconds: float) -> None:
        _, way = self._random.choice(self.engines)
        await self._disturb(way, seconds)

    async def _disturb(self, way: proxy.Proxy, seconds: float) -> None:
        kind = self._random.choice(
            ("delay", "reset", "forward", "backward", "silence")
        )
        if kind == "delay":
            way.delay = 0.2
        elif kind == "reset":
            way.reset()
        way.cut_forward = kind in ("forward", "silence")
        way.cut_backward = kind in ("backward", "silence")
        await asyncio.sleep(seconds)
        way.heal()

    async def _spoil_answers(self, seconds: float) -> None:
        engine, _ = self._random.choice(self.engines)
        count = self._random.randrange(1, 6)
        engine.faults += self._random.choices(ENGINE_FAULTS, k=count)

    async def _restart_engine(self, seconds: float) -> None:
        engine, way = self._random.choice(self.engines)
        way.reset()
        self._start_life(engine, way)

    async def _pause_host(self, seconds: float) -> None:
        process = self._random.choice(self.hosts).process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def _end_host(self, seconds: float) -> None:
        host = self._random.choice(self.hosts)
        process = host.process
        if process is None or host.ended_on_purpose:
            return
        if process.returncode is not None:
            self.broken.append(
                f"{host.name} ended by itself, {process.returncode}"
            )
            return
        host.ended_on_purpose = True
        process.send_signal(
            self._random.choice((signal.SIGKILL, signal.SIGTERM))
        )
        await process.wait()
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await self._start_process(host)

    async def _change_keys(self, seconds: float) -> None:
        """Withdraw the second key for good, or change the version only."""
        self._config_version += 1
        if self._second_key_until == float("inf") and self._random.random() < (
            0.3
        ):
            self._second_key_until = time.monotonic()
        self._put_configuration()

    async def _name_weights(self, seconds: float) -> None:
        self._weights += 1
        self._put_weights()

    async def _disturb_cache(self, seconds: float) -> None:
        """Empty the store of context, or hold its events back."""
        if self._random.random() < 0.5:
            self.cache.restart()
        else:
            await self._disturb(self.way_to_cache, seconds)

    async def _check_recovery(self) -> None:
        for engine, _ in self.engines:
            engine.faults.clear()
        await asyncio.sleep(RECOVERY_SECONDS)
        answers = []
        for _ in range(60):
            sent = await self._call()
            if sent.key == platform_fixtures.API_KEY:
                answers.append(sent.status == 200 and sent.whole)
        if sum(answers) < RECOVERED_SHARE * len(answers):
            self.broken.append(
                f"{sum(answers)} of {len(answers)} served after the faults"
            )
        for host in self.hosts:
            if host.process is None or host.process.returncode is not None:
                self.broken.append(f"{host.name} ended by itself")

    def _check_promises(self) -> None:
        runs: t.Dict[str, t.List[platform_engine.Run]] = {}
        if self.cache.read_while_freed:
            self.broken.append("context was freed while it was read")
        for engine, _ in self.engines:
            foreign = engine.memory.counters["foreign"]
            if foreign:
                self.broken.append(f"{engine.id} used {foreign} foreign parts")
            if engine.weights[platform_fixtures.MODEL] != self._weights:
                self.broken.append(f"{engine.id} has {engine.weights}")
            for run in engine.runs:
                runs.setdefault(run.request_id, []).append(run)
        for request_id in runs.keys() - self._sent.keys():
            self.broken.append(f"{request_id} ran, and nobody sent it")
        for request_id, sent in self._sent.items():
            withdrawn = (
                sent.key == SECOND_KEY
                and sent.at
                > self._second_key_until + soak_promises.REVOKE_SECONDS
            )
            for fault in soak_promises.find_broken(
                sent, runs.get(request_id, []), withdrawn
            ):
                self.broken.append(f"{request_id} {sent.kind} {fault}")
            if sent.whole and sent.answered_id not in (None, request_id):
                self.broken.append(f"{request_id} got another's answer")


def main() -> int:
    """Parse the arguments, run the seeds and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--hosts", type=int, default=3)
    arguments = parser.parse_args()
    # The stand-ins' errors are the faults that are injected.
    logging.getLogger("aiohttp.server").disabled = True
    broken = False
    for seed in arguments.seeds:
        soak = Soak(
            seed,
            min(arguments.seconds, MAX_SECONDS),
            min(arguments.hosts, MAX_HOSTS),
        )
        result = asyncio.run(soak.run())
        print(json.dumps({"seed": seed, **result}), flush=True)
        broken = broken or bool(result["broken"])
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
