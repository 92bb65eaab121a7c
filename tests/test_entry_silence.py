"""Tests of streams whose sound server sends nothing for a while."""

import asyncio
import signal
import time
import typing as t

import aiohttp

from sesamefold.entry import clock
from standins import platform_engine
from standins import platform_fixtures
from tests import entry_fakes
from tests import entry_processes

HEADERS = {
    "Host": platform_fixtures.ROUTE_HOST,
    "Sesamefold-Deadline-Ms": "9000",
    "Api-Key": platform_fixtures.API_KEY,
    "Sesamefold-Model": platform_fixtures.MODEL,
    "Sesamefold-Token-Usage": "900,80",
    "Sesamefold-Prompt-Prefix": "aa:400,bb:300,cc:200",
}
STREAMS = 8
EVENTS = 20
EVENT_SECONDS = 0.1
WHOLE_STREAM = "".join(f"id: {n}\ndata: x\n\n" for n in range(1, EVENTS + 1))


def make_slow_configuration(version: int) -> t.Any:
    """Return a configuration whose routes allow long streams."""
    configuration = platform_fixtures.make_configuration(version)
    for route in configuration["routes"]:
        route["timeout_ms"] = 9000
    return configuration


async def read_stream(
    caller: aiohttp.ClientSession, address: str, request_id: str
) -> str:
    """Return the events that a caller receives, without its end if cut."""
    received = b""
    async with caller.post(
        f"http://{address}/resumable/",
        headers={**HEADERS, "Sesamefold-Request-Id": request_id},
    ) as response:
        try:
            async for chunk in response.content.iter_any():
                received += chunk
        except aiohttp.ClientError:
            return f"{received.decode()}CUT"
    return received.decode()


def silence(engine: platform_engine.PlatformEngine, seconds: float) -> None:
    """Let no byte leave a server for some seconds; its runs go on."""
    engine.silent_until = time.monotonic() + seconds


class SilentServerTest(entry_fakes.EntryHostCase):
    """Streams at a sound server that falls silent and goes on."""

    async def asyncSetUp(self) -> None:
        """Start with a single server; tests add the other one."""
        await super().asyncSetUp()
        self.store.put("op/config", make_slow_configuration(2))
        for engine in self.engines:
            engine.stream_events = EVENTS
            engine.event_seconds = EVENT_SECONDS
        self.first, self.other = self.engines
        self.other_address = self.host.catalog.servers[self.other.id].address
        await self.remove_other()
        await self.wait_until(
            lambda: self.host.catalog.require_configuration().version == 2
        )

    async def remove_other(self) -> None:
        """Take the other server off the list."""
        self.store.remove(f"servers/{self.other.id}")
        await self.wait_until(
            lambda: self.other.id not in self.host.catalog.servers
        )

    async def add_other(self) -> None:
        """Put the other server on the list again."""
        self.put_server_entry(self.other.id, self.other_address, seq=2)
        await self.wait_until(
            lambda: self.other.id in self.host.catalog.servers
        )

    async def allow_three_servers(self) -> None:
        """Put a configuration in force that lets a run try three servers."""
        configuration = make_slow_configuration(3)
        for route in configuration["routes"]:
            route["max_attempts"] = 3
        self.store.put("op/config", configuration)
        await self.wait_until(
            lambda: self.host.catalog.require_configuration().version == 3
        )

    async def add_third(self) -> platform_engine.PlatformEngine:
        """Start a third server, put it on the list and return it."""
        third = platform_engine.PlatformEngine("i-2")
        third.stream_events = EVENTS
        address = await platform_fixtures.start_server(
            self.stack, third.handle
        )
        self.put_server_entry(third.id, address)
        return third

    async def start_streams(self) -> t.List["asyncio.Task[str]"]:
        """Start streams at the first server and wait for their events."""
        address = ":".join(map(str, self.settings.listen_address))
        streams = [
            asyncio.create_task(
                read_stream(self.caller, address, f"s-{number}")
            )
            for number in range(STREAMS)
        ]
        await self.wait_until(lambda: len(self.first.runs) == STREAMS)
        await asyncio.sleep(5 * EVENT_SECONDS)
        return streams

    async def check_whole(
        self, streams: t.Iterable["asyncio.Task[str]"]
    ) -> None:
        """Check that each caller gets all events once and in order."""
        for received in await asyncio.gather(*streams):
            self.assertEqual(WHOLE_STREAM, received)

    async def check_only_first_runs(
        self, streams: t.Iterable["asyncio.Task[str]"]
    ) -> None:
        """Check that all streams are whole and ran once."""
        await self.check_whole(streams)
        self.assertEqual(STREAMS, len(self.first.runs))
        self.assertEqual([], self.other.runs)

    async def test_single_server_silent_for_a_second(self) -> None:
        """Guards against a response that is cut while its server works."""
        streams = await self.start_streams()
        silence(self.first, 1.2)
        await self.check_only_first_runs(streams)

    async def test_single_server_silent_for_two_seconds(self) -> None:
        """Guards against responses that are cut while their server works."""
        streams = await self.start_streams()
        silence(self.first, 2.2)
        await self.check_only_first_runs(streams)

    async def test_other_server_leaves(self) -> None:
        """Guards against streams that are given up for a leaving server."""
        streams = await self.start_streams()
        await self.add_other()
        self.host.server_statuses.leaving_seconds = 0.5
        self.host.server_statuses.record_leaving(
            self.host.catalog.servers[self.other.id], "r-0"
        )
        silence(self.first, 2.2)
        await self.check_only_first_runs(streams)

    async def test_other_server_is_excluded_meanwhile(self) -> None:
        """Guards against a successor in a region that is excluded since.

        The customer was permitted there when its streams began (HOME).
        """
        streams = await self.start_streams()
        await self.add_other()
        configuration = make_slow_configuration(3)
        configuration["tenants"][0]["allowed_regions"] = ["region-9"]
        self.store.put("op/config", configuration)
        await self.wait_until(
            lambda: self.host.catalog.require_configuration().version == 3
        )
        silence(self.first, 1.2)
        await self.check_only_first_runs(streams)

    async def test_other_server_rests(self) -> None:
        """Guards against streams that are given up for a resting server."""
        streams = await self.start_streams()
        await self.add_other()
        self.host.server_statuses.record_rest(
            self.host.catalog.servers[self.other.id], 9.0, "r-0"
        )
        silence(self.first, 2.2)
        await self.check_only_first_runs(streams)

    async def test_other_server_refuses(self) -> None:
        """Guards against streams that end because the next server refuses."""
        streams = await self.start_streams()
        self.other.faults = ["refuse"] * 100
        await self.add_other()
        silence(self.first, 2.2)
        await self.check_only_first_runs(streams)
        self.assertGreater(len(self.other.arrivals), 0)

    async def test_other_server_is_silent_too(self) -> None:
        """Guards against responses cut while no server sends anything."""
        streams = await self.start_streams()
        await self.add_other()
        silence(self.first, 2.2)
        silence(self.other, 2.2)
        await self.check_whole(streams)

    async def test_stream_that_has_not_begun_goes_to_another(self) -> None:
        """Guards against a stream that waits for its first event at a server.

        The server has sent the head, and its first event would come later
        than callers wait.
        """
        self.first.event_seconds = 6.0
        streams = await self.start_streams()
        await self.add_other()
        await self.check_whole(streams)
        self.assertEqual(STREAMS, len(self.other.runs))

    async def test_stream_that_has_not_begun_is_kept(self) -> None:
        """Guards against an error for a stream whose server is only slow."""
        self.first.event_seconds = 3.5
        streams = await self.start_streams()
        self.first.event_seconds = EVENT_SECONDS
        self.other.faults = ["refuse"] * 100
        await self.add_other()
        await self.check_only_first_runs(streams)
        self.assertGreater(len(self.other.arrivals), 0)

    async def test_other_server_fails(self) -> None:
        """Guards against streams that end because the next server fails."""
        streams = await self.start_streams()
        self.other.faults = ["fail", "reset"] * 50
        await self.add_other()
        silence(self.first, 2.2)
        await self.check_whole(streams)
        self.assertEqual(STREAMS, len(self.first.runs))

    async def test_other_server_refuses_after_it_took_over(self) -> None:
        """Guards against streams cut because a successor refuses late (LOST).

        The refusals arrive when the first server's runs have been given up;
        it could still go on with them.
        """
        streams = await self.start_streams()
        self.other.faults = ["refuse"] * 100
        await self.add_other()
        silence(self.first, 1.5)
        silence(self.other, 1.3)
        await self.check_whole(streams)
        self.assertGreater(len(self.other.arrivals), 0)

    async def test_other_server_fails_after_it_took_over(self) -> None:
        """Guards against streams cut because a successor fails late (LOST)."""
        streams = await self.start_streams()
        self.other.faults = ["fail", "reset"] * 50
        await self.add_other()
        silence(self.first, 1.5)
        silence(self.other, 1.3)
        await self.check_whole(streams)

    async def test_other_server_breaks_off_after_it_took_over(self) -> None:
        """Guards against streams cut although their first server is sound.

        Each run at the other server is reset after its first event.
        """
        streams = await self.start_streams()
        self.other.faults = ["cut"] * 100
        await self.add_other()
        silence(self.first, 1.2)
        await self.check_whole(streams)
        self.assertGreater(len(self.other.runs), 0)

    async def test_other_server_is_dead(self) -> None:
        """Guards against a sound server given up for one that never answers.

        The first server goes on after 1.4 s; the other one takes the request
        and sends nothing, not even the head of a reply.
        """
        streams = await self.start_streams()
        await self.add_other()
        silence(self.first, 1.4)
        silence(self.other, 60.0)
        await self.check_whole(streams)

    async def test_silent_successor_does_not_hold_back_the_next(self) -> None:
        """Guards against streams that wait at two dead servers.

        A third one, which the route allows, has room and could go on.
        """
        await self.allow_three_servers()
        streams = await self.start_streams()
        await self.add_other()
        silence(self.first, 60.0)
        silence(self.other, 60.0)
        await self.wait_until(lambda: self.other.runs)
        await self.add_third()
        await self.check_whole(streams)

    async def test_successor_that_waits_in_a_queue_is_kept(self) -> None:
        """Guards against runs that leave a queue just before their turn.

        The successor's server sends nothing for these streams, but data for
        others, and a third server could take them.
        """
        await self.allow_three_servers()
        streams = await self.start_streams()
        await self.add_other()
        silence(self.first, 3.5)
        silence(self.other, 60.0)
        await self.wait_until(lambda: len(self.other.runs) == STREAMS)
        third = await self.add_third()
        for _ in range(20):
            self.host.placement.record_activity(
                self.host.catalog.servers[self.other.id]
            )
            await asyncio.sleep(0.1)
        self.assertEqual([], third.runs)
        await self.check_whole(streams)

    async def test_other_server_is_gone_in_a_new_configuration(self) -> None:
        """Guards against streams that are given up for a removed server."""
        await self.add_other()
        self.other.faults = ["refuse"] * 100
        streams = await self.start_streams()
        silence(self.first, 2.2)
        await self.remove_other()
        self.store.put("op/config", make_slow_configuration(3))
        await self.check_whole(streams)

    async def test_configuration_is_not_confirmed(self) -> None:
        """Guards against streams that are given up although none may follow.

        Once the configuration is no longer confirmed, no further attempt of a
        request with a key is made for silence alone.
        """
        streams = await self.start_streams()
        await self.add_other()
        self.host.dispatcher.key_withdrawal_seconds = 0.0
        silence(self.first, 2.2)
        await self.check_only_first_runs(streams)

    async def test_run_goes_on_without_a_confirmed_configuration(self) -> None:
        """Guards against a cut of a run that began with a confirmed key.

        Its server breaks off after the first event, when the configuration is
        no longer confirmed. A request that has not begun is refused.
        """
        self.first.faults = self.other.faults = ["cut"]
        self.first.event_seconds = self.other.event_seconds = 0.4
        await self.add_other()
        address = ":".join(map(str, self.settings.listen_address))
        stream = asyncio.create_task(read_stream(self.caller, address, "s-0"))
        await self.wait_until(self.list_runs)
        self.host.dispatcher.key_withdrawal_seconds = 0.0
        status, _, _ = await self.call("/resumable/", headers=HEADERS)
        self.assertEqual(503, status)
        self.first.event_seconds = self.other.event_seconds = EVENT_SECONDS
        self.assertEqual(WHOLE_STREAM, await stream)
        self.assertEqual(
            ["s-0", "s-0"], [run.request_id for run in self.list_runs()]
        )

    async def test_other_server_takes_over(self) -> None:
        """Guards against streams that wait at a dead server.

        The other server goes on after the last event, soon after the limit of
        silence, and the runs at the first server are cancelled.
        """
        streams = await self.start_streams()
        await self.add_other()
        silence(self.first, 60.0)
        silent_at = clock.read_time()
        await self.check_whole(streams)
        self.assertLess(
            clock.read_time() - silent_at, 2.0 + EVENTS * EVENT_SECONDS
        )
        self.assertEqual(STREAMS, len(self.other.runs))
        self.assertLessEqual(
            {run.headers["Last-Event-Id"] for run in self.other.runs},
            {str(number) for number in range(1, EVENTS)},
        )

    async def test_two_servers_work_on_a_stream_only_shortly(self) -> None:
        """Guards against a run that goes on at two servers (TWICE).

        The other server sends its first event a second after it has begun.
        """
        self.first.event_seconds = 3 * EVENT_SECONDS
        streams = await self.start_streams()
        self.other.event_seconds = 1.0
        await self.add_other()
        silence(self.first, 60.0)
        await self.wait_until(lambda: len(self.other.runs) == STREAMS)
        last_began_at = self.other.runs[-1].began_at
        await self.wait_until(
            lambda: self.first.cancelled_requests == STREAMS, 1.0
        )
        self.assertLess(time.monotonic() - last_began_at, 0.4)
        self.other.event_seconds = EVENT_SECONDS
        await self.check_whole(streams)

    async def test_first_server_speaks_before_its_successor(self) -> None:
        """Guards against a successor whose run goes on beside the first."""
        streams = await self.start_streams()
        await self.add_other()
        silence(self.first, 1.3)
        silence(self.other, 60.0)
        await self.check_whole(streams)
        self.assertGreater(len(self.other.runs), 0)
        self.assertEqual(len(self.other.runs), self.other.cancelled_requests)


class SilentProcessTest(entry_processes.EntryProcessCase):
    """An entry host process whose streams get no data for a while."""

    async def start_streams(self) -> t.List["asyncio.Task[str]"]:
        """Start the process and streams, and wait for their events."""
        self.engine.stream_events = EVENTS
        self.engine.event_seconds = EVENT_SECONDS
        self.store.put("op/config", make_slow_configuration(2))
        self.write_settings()
        await self.start()
        await self.wait_ready()
        address = f"127.0.0.1:{self.ports[0]}"
        streams = [
            asyncio.create_task(
                read_stream(self.caller, address, f"s-{number}")
            )
            for number in range(STREAMS)
        ]
        await self.wait_until(lambda: len(self.engine.runs) == STREAMS)
        await asyncio.sleep(5 * EVENT_SECONDS)
        return streams

    async def check_whole(
        self, streams: t.Iterable["asyncio.Task[str]"]
    ) -> None:
        """Check that each caller gets all events once, of a single run."""
        for received in await asyncio.gather(*streams):
            self.assertEqual(WHOLE_STREAM, received)
        self.assertEqual(STREAMS, len(self.engine.runs))
        self.assertEqual([], self.find_lines("answer_cut"))

    async def test_no_answer_is_lost_beside_a_configuration(self) -> None:
        """Guards against responses cut beside a new configuration (LOST).

        The link to the only engine carries nothing for 2.2 s, while the
        configuration changes.
        """
        streams = await self.start_streams()
        silence(self.engine, 2.2)
        self.store.put("op/config", make_slow_configuration(3))
        await self.check_whole(streams)

    async def test_no_answer_is_lost_when_the_process_is_stopped(self) -> None:
        """Guards against a host that takes its own pause for silence (LOST).

        The events of the pause lie in the sockets when the process goes on.
        """
        streams = await self.start_streams()
        for _ in range(2):
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.2)
            self.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.3)
        await self.check_whole(streams)
        self.assertEqual([], self.find_lines("attempt_failed"))
