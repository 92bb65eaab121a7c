"""Memory of an entry host beside servers, callers and stores without end."""

import asyncio
import pathlib
import typing as t
import unittest

import aiohttp

from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import memory
from sesamefold.platform import engines
from sesamefold.platform import stores
from sesamefold import transport
from standins import platform_fixtures
from standins import scripted_server
from tests import entry_fakes
from tests import entry_processes

# Memory of the smallest hosts. A process that needs more is ended.
MEMORY_MB = 128
CONCURRENT_CALLS = 90
ROUNDS = 3
HEAD = (
    "HTTP/1.1 200 OK\r\nSesamefold-Request-Id: {id}\r\n"
    "Sesamefold-Response-Seal: seal\r\n"
)
REFUSAL = (
    "HTTP/1.1 503 Full\r\nSesamefold-Request-Id: {id}\r\n"
    "Sesamefold-Not-Executed: 1\r\n"
)
EVENTS = "Content-Type: text/event-stream\r\n"
GIB = 1 << 30


def make_endless(head: str, executes: bool = True) -> scripted_server.Script:
    """Return a script of an answer that goes on until the caller closes."""
    return scripted_server.Script(
        (
            scripted_server.Step(head),
            scripted_server.Step("x" * 65536, endless=True),
        ),
        executes=executes,
    )


def make_sized(size: int) -> scripted_server.Script:
    """Return a script of a sound answer with a length."""
    head = f"{HEAD}Content-Length: {size}\r\n\r\n"
    return scripted_server.Script(
        (scripted_server.Step(head), scripted_server.Step("x" * size))
    )


class EntryMemoryTest(entry_processes.EntryProcessCase):
    """A host process, a sound server and one that plays scripts."""

    async def asyncSetUp(self) -> None:
        """Start the host; the second server is `faulty`."""
        await super().asyncSetUp()
        self.faulty = await self.enterAsyncContext(
            scripted_server.ScriptedServer("Sesamefold-Request-Id")
        )
        self.put_server("i-1", self.faulty.address)
        configuration = platform_fixtures.make_configuration()
        configuration["limits"]["max_body_bytes"] = 4_000_000
        for route in configuration["routes"]:
            route["timeout_ms"] = 8000
        self.store.put("op/config", configuration)
        self.write_settings(memory_mb=MEMORY_MB)
        await self.start()
        await self.wait_ready()
        # Until the host has a share of the extra retries.
        await asyncio.sleep(2.0)
        self.number = 0

    def put_server(self, server_id: str, address: str) -> None:
        """Write a server's entry to the store."""
        entry = platform_fixtures.make_server_entry(address, slots=100)
        self.store.put(f"servers/{server_id}", entry)

    def read_peak_mb(self) -> float:
        """Return the most memory that the process has used, in MB."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        (line,) = [
            line
            for line in path.read_text().splitlines()
            if line.startswith("VmHWM:")
        ]
        return int(line.split()[1]) * 1024 / 1e6

    async def send(
        self, path: str, data: bytes = b"body", takes: bool = True
    ) -> t.Tuple[int, int]:
        """Return the status of an answer and its size, -1 if it breaks off.

        With `takes` unset, the body is not read for three seconds.
        """
        self.number += 1
        async with self.caller.post(
            f"http://127.0.0.1:{self.ports[0]}{path}",
            headers={
                "Host": platform_fixtures.ROUTE_HOST,
                "Sesamefold-Request-Id": f"r-{self.number}",
                "Sesamefold-Deadline-Ms": "8000",
                "Api-Key": platform_fixtures.API_KEY,
                **(
                    {
                        "Sesamefold-Model": platform_fixtures.MODEL,
                        "Sesamefold-Token-Usage": "900,80",
                        "Sesamefold-Prompt-Prefix": "aa:400,bb:500",
                    }
                    if path in ("/stream/", "/resumable/")
                    else {}
                ),
            },
            data=data,
        ) as response:
            if not takes:
                await asyncio.sleep(3.0)
            try:
                return response.status, len(await response.read())
            except aiohttp.ClientError:
                return response.status, -1

    # Guards against a host that is ended for its memory, and with it the
    # requests of all other callers (LOST).
    async def check_endless(
        self, path: str, script: scripted_server.Script
    ) -> t.List[t.Tuple[int, int]]:
        self.faulty.scripts = [script] * (ROUNDS * CONCURRENT_CALLS)
        answers = []
        for _ in range(ROUNDS):
            answers += await asyncio.gather(
                *(self.send(path) for _ in range(CONCURRENT_CALLS))
            )
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.read_peak_mb(), MEMORY_MB)
        self.assertGreater(len(self.faulty.received), 0)
        return answers

    async def test_endless_bodies_on_a_route_that_may_repeat(self) -> None:
        answers = await self.check_endless(
            "/safe/", make_endless(f"{HEAD}\r\n")
        )
        self.assertEqual([200] * len(answers), [s for s, _ in answers])

    async def test_endless_bodies_on_an_unsafe_route(self) -> None:
        answers = await self.check_endless(
            "/unsafe/", make_endless(f"{HEAD}\r\n")
        )
        failed = sum(status == 502 for status, _ in answers)
        self.assertEqual(len(set(self.faulty.executed)), failed)
        self.assertEqual({200, 502}, {status for status, _ in answers})

    async def test_body_with_a_length_beyond_all_bounds(self) -> None:
        answers = await self.check_endless(
            "/safe/", make_endless(f"{HEAD}Content-Length: {GIB}\r\n\r\n")
        )
        self.assertEqual([200] * len(answers), [s for s, _ in answers])

    # The head says that the request has not run, so it may go on elsewhere.
    async def test_endless_refusals(self) -> None:
        for fields in ("", f"Content-Length: {GIB}\r\n"):
            answers = await self.check_endless(
                "/unsafe/", make_endless(f"{REFUSAL}{fields}\r\n", False)
            )
            # Some find the retry budget exhausted.
            self.assertLessEqual({status for status, _ in answers}, {200, 503})
            self.assertEqual([], self.faulty.executed)

    async def test_endless_events(self) -> None:
        for path in ("/stream/", "/resumable/"):
            await self.check_endless(
                path, make_endless(f"{HEAD}{EVENTS}\r\nid: 1\ndata: ")
            )

    async def test_large_sound_answer_passes_beside_endless_ones(self) -> None:
        """Guards against a bound that hits sound servers."""
        size = 6_000_000
        large = await self.enterAsyncContext(
            scripted_server.ScriptedServer("Sesamefold-Request-Id")
        )
        large.scripts = [make_sized(size)] * 20
        self.faulty.scripts = [make_endless(f"{HEAD}\r\n")] * 300
        # The engine ends, so that answers come from the two others.
        self.put_server("i-0", large.address)
        await asyncio.sleep(1.0)
        answers = await asyncio.gather(
            *(self.send("/safe/") for _ in range(9))
        )
        self.assertLess(self.read_peak_mb(), MEMORY_MB)
        sizes = [size for status, size in answers if status == 200]
        self.assertEqual([size] * len(answers), sizes)

    async def test_large_answers_to_slow_callers(self) -> None:
        self.faulty.scripts = [make_sized(6_000_000)] * 200
        answers, calm = await asyncio.gather(
            asyncio.gather(
                *(self.send("/safe/", takes=False) for _ in range(60))
            ),
            asyncio.gather(*(self.send("/unsafe/") for _ in range(20))),
        )
        self.assertLess(self.read_peak_mb(), MEMORY_MB)
        self.assertIsNone(self.process.returncode)

    async def test_large_bodies_of_requests(self) -> None:
        self.faulty.scripts = [make_sized(2)] * 200
        self.engine.faults = ["late"] * 60
        large = asyncio.gather(
            *(self.send("/safe/", data=b"x" * 3_900_000) for _ in range(60))
        )
        calm = await asyncio.gather(*(self.send("/safe/") for _ in range(20)))
        statuses = {status for status, _ in await large}
        self.assertEqual({200}, {status for status, _ in calm})
        # Those that do not fit have not run and may come back.
        self.assertLessEqual(statuses, {200, 503})
        self.assertLess(self.read_peak_mb(), MEMORY_MB)


class ControlMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Replies without end of stores and of engines to orders."""

    async def asyncSetUp(self) -> None:
        """Start a server of endless replies, and a session with a budget."""
        self.server = await self.enterAsyncContext(
            scripted_server.ScriptedServer("Host")
        )
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
        self.server.scripts = [make_endless(head)] * 40
        self.budget = memory.MemoryBudget(4_000_000)
        self.session = await self.enterAsyncContext(
            transport.make_session(budget=self.budget)
        )

    async def check_calls(
        self, call: t.Callable[[], t.Awaitable[t.Any]], error: t.Any
    ) -> None:
        """Make many calls at once, which all fail within the budget."""
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, self.budget.held)
                await asyncio.sleep(0.001)

        watching = asyncio.create_task(watch())
        outcomes = await asyncio.gather(
            *(call() for _ in range(20)), return_exceptions=True
        )
        watching.cancel()
        self.assertEqual({error}, {type(outcome) for outcome in outcomes})
        self.assertLessEqual(most, self.budget.limit)
        self.assertGreater(self.budget.evictions, 0)
        self.assertEqual(0, self.budget.held)

    async def test_context_store_without_end(self) -> None:
        client = stores.ContextStoreClient(self.session)
        store = topology.ContextStore(self.server.address, "dc-1", 1000)
        await self.check_calls(
            lambda: client.read_events(store, 0, 1.0),
            exceptions.StoreUnavailable,
        )

    async def test_engine_report_without_end(self) -> None:
        client = engines.EngineClient(self.session)
        server = entry_fakes.make_server("i-0", address=self.server.address)
        await self.check_calls(
            lambda: client.read_report(server), exceptions.BackendUnreachable
        )
