"""Tests of the entry host as a process: settings, signals and pauses."""

import asyncio
import contextlib
import re
import signal
import time

import aiohttp

from standins import platform_fixtures
from tests import entry_processes

PROMPT = {
    "Sesamefold-Model": platform_fixtures.MODEL,
    "Sesamefold-Token-Usage": "900,80",
    "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
}


class ProcessTest(entry_processes.EntryProcessCase):
    """One entry host process with stand-ins of the platform."""

    async def test_settings_are_awaited_at_start_and_reloaded_when_changed(
        self,
    ) -> None:
        self.path.write_text("broken = ")
        await self.start()
        await self.wait_until(lambda: self.find_lines("settings_rejected"))
        self.write_settings()
        await self.wait_ready()
        self.write_settings(ratio=0.1)
        self.process.send_signal(signal.SIGHUP)
        await self.wait_until(lambda: self.find_lines("reload"))
        self.assertEqual(["retries"], self.find_lines("reload")[0]["applied"])
        self.path.write_text("broken = ")
        await self.wait_until(lambda: self.find_lines("reload_failed"))
        self.assertEqual(200, await self.call("/safe/", "r-1"))

    async def test_sigterm_lets_requests_in_progress_finish(self) -> None:
        self.write_settings()
        await self.start()
        await self.wait_ready()
        self.engine.faults = ["late"]
        running = asyncio.create_task(self.call("/unsafe/", "r-1"))
        await self.wait_until(lambda: self.engine.runs)
        started = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(200, await running)
        self.assertEqual(200, await self.call("/unsafe/", "r-2"))
        self.assertEqual(0, await self.process.wait())
        self.assertLess(time.monotonic() - started, 6.0)
        await self.wait_until(lambda: self.find_lines("stopped"))
        self.assertEqual(0, self.find_lines("stopped")[0]["unfinished"])

    async def test_a_key_withdrawn_while_the_process_is_paused_is_refused(
        self,
    ) -> None:
        """Guards against running a request whose key was withdrawn in a pause.

        The request waits in the socket while the process is stopped.
        """
        self.write_settings()
        await self.start()
        await self.wait_ready()
        self.assertEqual(200, await self.call("/unsafe/", "r-1"))
        self.process.send_signal(signal.SIGSTOP)
        configuration = platform_fixtures.make_configuration(2)
        configuration["tenants"][0]["api_keys"] = []
        self.store.put("op/config", configuration)
        await asyncio.sleep(5.0)
        sent = asyncio.create_task(self.call("/unsafe/", "r-2"))
        await asyncio.sleep(0.2)
        self.process.send_signal(signal.SIGCONT)
        self.assertIn(await sent, (401, 503))
        self.assertEqual(["r-1"], [run.request_id for run in self.engine.runs])

    async def check_odd_entries_are_skipped(self) -> None:
        """Check that the sound server serves and later changes are followed.

        A removed server and a new one at its address are such changes.
        """
        prompt = {**PROMPT, "Sesamefold-Deadline-Ms": "1000"}
        for number in range(20):
            for path, headers in (("/unsafe/", {}), ("/resumable/", prompt)):
                request_id = f"{self.engine.id}-{path[1]}-{number}"
                self.assertEqual(
                    200, await self.call(path, request_id, **headers)
                )
        self.store.remove(f"servers/{self.engine.id}")
        self.engine.id = f"{self.engine.id}-next"
        self.store.put(
            f"servers/{self.engine.id}",
            platform_fixtures.make_server_entry(self.engine_address),
        )
        await self.wait_until(
            lambda: self.engine.id
            in {line["server"] for line in self.find_lines("server")}
        )
        self.assertEqual(200, await self.call("/unsafe/", self.engine.id))

    def put_odd_entries(self) -> int:
        """Write records of another writer; return how many are rejected."""
        odd = platform_fixtures.make_odd_server_entries(self.engine_address)
        members = platform_fixtures.make_odd_member_records()
        for prefix, records in (
            ("servers", odd),
            ("sesamefold/members", members),
        ):
            for name, record in records.items():
                self.store.put(f"{prefix}/{name}", record)
        self.store.put("sesamefold/orders/last-holder", b"\xff" * 9)
        return len(odd) + len(members)

    async def test_odd_entries_do_not_end_the_process_or_its_watch(
        self,
    ) -> None:
        """Guards against entries of another writer that end the process.

        They come on the watch first, and are there at a second start.
        """
        self.write_settings()
        await self.start()
        await self.wait_ready()
        count = self.put_odd_entries()
        await self.wait_until(
            lambda: len(self.find_lines("record_rejected")) == count
        )
        await self.check_odd_entries_are_skipped()
        self.assertIsNone(self.process.returncode)
        await self.kill()
        self.lines.clear()
        await self.start()
        await self.wait_ready()
        await self.check_odd_entries_are_skipped()
        self.assertEqual(count, len(self.find_lines("record_rejected")))
        self.assertIsNone(self.process.returncode)

    async def exchange(self, *pieces: bytes, pause: float = 0.0) -> bytes:
        """Send bytes on a connection of their own; return all that comes."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports[0]
        )
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause)
        try:
            async with asyncio.timeout(8.0):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def test_no_request_is_cut_by_a_stop_under_load(self) -> None:
        """Guards against requests cut off that had just been accepted.

        Around SIGTERM, requests are sent whole, in halves and two at a time;
        each runs for a second. Each that was read is answered, and one
        without an answer has not run.
        """
        self.engine.faults = ["late"] * 400
        self.write_settings()
        await self.start()
        await self.wait_ready()
        loads = []
        for number in range(90):
            whole = make_request(f"w-{number}")
            first, second = whole[: len(whole) // 2], whole[len(whole) // 2 :]
            pair = make_request(f"p-{number}"), make_request(f"q-{number}")
            loads += [
                asyncio.create_task(self.exchange(whole)),
                asyncio.create_task(self.exchange(first, second, pause=0.4)),
                asyncio.create_task(self.exchange(pair[0] + pair[1])),
            ]
            if number == 10:
                self.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.015)
        received = await asyncio.gather(*loads, return_exceptions=True)
        answers = b"".join(r for r in received if isinstance(r, bytes))
        answered = set(
            re.findall(rb"Sesamefold-Request-Id: ([wpq]-[0-9]+)", answers)
        )
        executed = {run.request_id.encode() for run in self.engine.runs}
        self.assertEqual(set(), executed - answered)
        self.assertEqual(
            answers.count(b"HTTP/1.1 200 OK"), answers.count(b"answer")
        )
        self.assertGreater(len(executed), 100)
        self.assertEqual(0, await self.process.wait())
        await self.wait_until(lambda: self.find_lines("stopped"))
        self.assertEqual(0, self.find_lines("stopped")[0]["unfinished"])

    async def test_restart_does_not_use_what_was_withdrawn_meanwhile(
        self,
    ) -> None:
        """Guards against a key or server that is in use again by a restart.

        Both are withdrawn while the process is away. The store then refuses
        all calls for two seconds, so that nothing newer can be read.
        """
        self.write_settings()
        await self.start()
        await self.wait_ready()
        self.assertEqual(200, await self.call("/unsafe/", "r-1"))
        await self.kill()
        configuration = platform_fixtures.make_configuration(2)
        configuration["tenants"][0]["api_keys"] = []
        self.store.put("op/config", configuration)
        self.store.remove("servers/i-0")
        self.store.error_status = 503
        await self.start()
        statuses = set()
        for number in range(40):
            if number == 20:
                self.store.error_status = 0
            with contextlib.suppress(aiohttp.ClientError):
                statuses.add(await self.call("/unsafe/", f"s-{number}"))
            await asyncio.sleep(0.1)
        self.assertLessEqual(statuses, {401, 503})
        self.assertIn(401, statuses)
        self.assertEqual(["r-1"], [run.request_id for run in self.engine.runs])

    async def test_no_request_begins_on_weights_that_expired(self) -> None:
        """Guards against requests on weights replaced for too long (VERSION).

        The engine takes no order, so it keeps the old weights. A request is
        then refused at once, and served once the engine has the new ones.
        """
        models = [{"name": platform_fixtures.MODEL, "version": 1}]
        entry = platform_fixtures.make_server_entry(
            self.engine_address, models=models
        )
        self.store.put("servers/i-0", entry)
        self.engine.weights = {platform_fixtures.MODEL: 1}
        self.engine.orders_to_ignore = 1000
        self.write_settings(contact_ms=500, version_ms=2000)
        await self.start()
        await self.wait_ready()
        self.assertEqual(200, await self.call("/resumable/", "r-1", **PROMPT))
        self.store.put(
            "op/version/model-1",
            {"model": platform_fixtures.MODEL, "version": 2},
        )
        await asyncio.sleep(2.0)
        sent_at = time.monotonic()
        self.assertEqual(503, await self.call("/resumable/", "r-2", **PROMPT))
        self.assertLess(time.monotonic() - sent_at, 1.0)
        self.assertEqual(["r-1"], [run.request_id for run in self.engine.runs])
        self.engine.orders_to_ignore = 0
        await self.wait_until(lambda: self.engine.orders)
        await self.wait_until(lambda: self.find_lines("weights"))
        self.assertEqual(200, await self.call("/resumable/", "r-3", **PROMPT))


def make_request(request_id: str) -> bytes:
    """Return a request that may run only once."""
    return (
        "POST /unsafe/ HTTP/1.1\r\n"
        f"Host: {platform_fixtures.ROUTE_HOST}\r\n"
        f"Sesamefold-Request-Id: {request_id}\r\n"
        "Sesamefold-Deadline-Ms: 4000\r\n"
        f"Api-Key: {platform_fixtures.API_KEY}\r\n"
        "Content-Length: 4\r\n\r\nbody"
    ).encode()
