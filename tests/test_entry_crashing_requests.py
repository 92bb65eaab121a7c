"""Tests of entry hosts whose servers crash by requests."""

import asyncio
import itertools
import typing as t

import aiohttp

from sesamefold.entry import host as entry_host
from sesamefold.platform import client
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import stores
from sesamefold import transport
from standins import crashing_server
from standins import platform_engine
from standins import platform_fixtures
from tests import entry_fakes

# Crashes after which, and time after the last of these from which, few further
# requests of the kind that caused them may reach servers.
CRASHES = 5
CONTACT_SECONDS = 4.0
MAX_LATER_ARRIVALS = 3
# Share of the sound requests that must be served from then on.
MIN_SERVED_SHARE = 0.5
SERVERS = 5
HOSTS = 3
KEYS = ("key-1", "key-2")


class CrashingRequestCase(entry_fakes.StoreCase):
    """Test case with several entry hosts, and servers that may crash."""

    max_attempts = 2
    settings_fields: t.Dict[str, t.Any] = {}

    async def asyncSetUp(self) -> None:
        """Start the servers and the entry hosts."""
        await super().asyncSetUp()
        self.store.put("op/config", self.make_configuration())
        self.servers = []
        for number in range(SERVERS):
            engine = platform_engine.PlatformEngine(
                f"i-{number}",
                event_seconds=0.02,
                weights={platform_fixtures.MODEL: 1},
            )
            server = crashing_server.CrashingServer(engine, self.store)
            await server.start(self.stack)
            self.servers.append(server)
        self.hosts: t.List[entry_host.EntryHost] = []
        for _ in range(HOSTS):
            await self.start_host()
        await self.wait_for_members()
        self.caller = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.numbers = itertools.count(1)
        self.outcomes: t.List[t.Tuple[float, int, bool]] = []

    def make_configuration(self) -> t.Any:
        """Return a configuration with two customers."""
        configuration = platform_fixtures.make_configuration()
        for route in configuration["routes"]:
            route["max_attempts"] = self.max_attempts
        configuration["tenants"] = [
            {**configuration["tenants"][0], "name": key, "api_keys": [key]}
            for key in KEYS
        ]
        return configuration

    async def start_host(self) -> entry_host.EntryHost:
        """Start one more entry host and wait until it is ready."""
        name = f"entry-{len(self.hosts) + 1}"
        session = await self.stack.enter_async_context(
            transport.make_session()
        )
        store_client = client.StoreClient(session, self.address)
        settings = entry_fakes.make_settings(
            await platform_fixtures.find_free_ports(4),
            self.address,
            host=name,
            **self.settings_fields,
        )
        host = entry_host.EntryHost(
            settings,
            entry_host.PlatformAdapters(
                store_client,
                store_client,
                headers.HeaderCodec(),
                engines.EngineClient(session),
                stores.ContextStoreClient(session),
                records.encode_rollout_status,
            ),
            entry_fakes.make_log(),
        )
        await host.start()
        self.stack.push_async_callback(host.stop)
        self.hosts.append(host)
        async with asyncio.timeout(5.0):
            while not host.is_ready():
                await asyncio.sleep(0.01)
        return host

    async def wait_for_members(self) -> None:
        """Wait until all hosts know each other."""
        async with asyncio.timeout(5.0):
            while any(
                len(host.members.list_sharing_hosts()) < len(self.hosts)
                for host in self.hosts
            ):
                await asyncio.sleep(0.01)

    def read_time(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def list_crash_times(self) -> t.List[float]:
        """Return the times of the crashes of all servers."""
        return sorted(
            itertools.chain.from_iterable(s.crash_times for s in self.servers)
        )

    async def send(
        self,
        parts: t.Sequence[str],
        key: str = KEYS[0],
        route: str = "resumable",
        host: t.Optional[entry_host.EntryHost] = None,
        body: bytes = b"body",
    ) -> t.Tuple[int, str]:
        """Send a request, with a prompt if it has parts.

        Returns the status and the code of the error, if there is one. A
        response that breaks off has status 0.
        """
        number = next(self.numbers)
        host = host or self.hosts[number % len(self.hosts)]
        address = ":".join(map(str, host.settings.listen_address))
        sent = {
            "Host": platform_fixtures.ROUTE_HOST,
            "Sesamefold-Request-Id": f"r-{number}",
            "Sesamefold-Deadline-Ms": "2000",
            "Api-Key": key,
        }
        if parts:
            entries = [f"{part}:100" for part in (*parts, f"own{number}")]
            sent["Sesamefold-Model"] = platform_fixtures.MODEL
            sent["Sesamefold-Token-Usage"] = f"{100 * len(entries)},8"
            sent["Sesamefold-Prompt-Prefix"] = ",".join(entries)
        try:
            async with self.caller.post(
                f"http://{address}/{route}/", headers=sent, data=body
            ) as response:
                return response.status, await response.text()
        except aiohttp.ClientError:
            return 0, ""

    async def send_sound(self, parts: t.Sequence[str], key: str) -> None:
        """Send a sound request and record its outcome."""
        sent_at = self.read_time()
        status, _ = await self.send(parts, key)
        self.outcomes.append((sent_at, status, True))

    async def send_repeatedly(
        self,
        seconds: float,
        interval: float,
        send: t.Callable[[], t.Coroutine[t.Any, t.Any, t.Any]],
    ) -> None:
        """Send requests at a steady rate and wait for their ends."""
        end = self.read_time() + seconds
        tasks = set()
        while self.read_time() < end:
            tasks.add(asyncio.create_task(send()))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)

    async def send_sound_repeatedly(self, seconds: float) -> None:
        """Send requests of both customers that share parts."""
        numbers = itertools.count()

        async def send() -> None:
            number = next(numbers)
            await self.send_sound(
                ["first", f"subject{number % 7}"], KEYS[number % 2]
            )

        await self.send_repeatedly(seconds, 0.03, send)

    def list_arrivals(self, part: str) -> t.List[float]:
        """Return the times at which requests with a part began to run."""
        return sorted(
            run.began_at
            for server in self.servers
            for run in server.engine.runs
            if part in run.headers.get("Sesamefold-Prompt-Prefix", "")
        )

    def check_arrivals(self, times: t.Sequence[float]) -> None:
        """Check that few requests reach servers after enough crashes.

        `times` are those of requests that each crash their server.
        """
        later = [
            at
            for at in times
            if len(times) >= CRASHES
            and at > times[CRASHES - 1] + CONTACT_SECONDS
        ]
        self.assertLessEqual(len(later), MAX_LATER_ARRIVALS, times)

    def check_sound_requests(self, since: float) -> None:
        """Check that sound requests are served, as those before it were."""
        statuses = [status for at, status, _ in self.outcomes if at > since]
        self.assertGreaterEqual(len(statuses), 20)
        served = statuses.count(200) / len(statuses)
        self.assertGreaterEqual(served, MIN_SERVED_SHARE)


class PartCase(CrashingRequestCase):
    """Test case with parts that crash each server that begins to answer."""

    async def check_part(self, *parts: str, interval: float = 0.3) -> None:
        """Check the bounds while requests with deadly parts arrive."""
        for server in self.servers:
            server.engine.deadly_parts.update(parts)
        choices = itertools.cycle(parts)

        async def send() -> None:
            number = next(self.numbers)
            await self.send(
                ["first", f"subject{number % 7}", next(choices)],
                KEYS[number % 2],
            )

        started_at = self.read_time()
        await asyncio.gather(
            self.send_sound_repeatedly(12.0),
            self.send_repeatedly(12.0, interval, send),
        )
        self.assertGreater(len(self.list_crash_times()), 1)
        for part in parts:
            self.check_arrivals(self.list_arrivals(part))
        self.check_sound_requests(started_at + 8.0)


class CrashingPartTest(PartCase):
    """A part of prompts crashes each server that begins to answer."""

    async def test_part_crashes_few_servers(self) -> None:
        """Guards against one server after the other that a part crashes.

        The requests with it are never alike and arrive at all hosts.
        """
        await self.check_part("deadly")

    async def test_two_parts_crash_few_servers_each(self) -> None:
        """Guards against a second part that hides behind the first."""
        await self.check_part("deadly", "lethal", interval=0.2)

    async def test_part_is_found_beside_crashes_of_other_causes(self) -> None:
        """Guards against servers that crash anyway and hide the part."""

        async def crash_servers() -> None:
            for server in itertools.islice(itertools.cycle(self.servers), 12):
                await asyncio.sleep(0.9)
                server.crash()

        crashing = asyncio.create_task(crash_servers())
        await self.check_part("deadly")
        await crashing


class NewHostTest(PartCase):
    """A host that starts while a part crashes servers."""

    async def test_host_that_has_just_started_refuses_the_part(self) -> None:
        """Guards against crashes by way of hosts that know of none yet."""

        async def start_host() -> None:
            await asyncio.sleep(8.0)
            await self.start_host()

        starting = asyncio.create_task(start_host())
        await self.check_part("deadly", interval=0.15)
        await starting


class LostMessagesTest(PartCase):
    """The hosts do not hear of each other."""

    async def test_host_out_of_touch_finds_the_part_itself(self) -> None:
        """Guards against a host that sends on what it cannot ask others."""
        for host in self.hosts:
            host.suspicion_exchange.peers = entry_fakes.FakePeers("", [])
        for server in self.servers:
            server.engine.deadly_parts.add("deadly")
        statuses = []

        async def send() -> None:
            number = next(self.numbers)
            statuses.append(
                await self.send(
                    ["first", f"subject{number % 7}", "deadly"],
                    host=self.hosts[0],
                )
            )

        await asyncio.gather(
            self.send_sound_repeatedly(8.0),
            self.send_repeatedly(8.0, 0.3, send),
        )
        self.check_arrivals(self.list_arrivals("deadly"))
        self.assertEqual([503] * 3, [status for status, _ in statuses[-3:]])


class SilentStoreTest(PartCase):
    """The platform's store does not answer while a part crashes servers."""

    # Otherwise keyed requests are refused while the store is away.
    settings_fields = {"key_withdrawal_seconds": None}

    async def test_part_is_found_while_the_store_is_silent(self) -> None:
        """Guards against a belief that depends on the store."""
        self.store.silent = True
        await self.check_part("deadly")


class RepeatedRequestTest(CrashingRequestCase):
    """One request crashes each server that runs it, and comes again."""

    async def test_repeated_request_crashes_few_servers(self) -> None:
        """Guards against a request that crashes servers again and again.

        It comes with the same path, caller and body at all hosts.
        """
        for server in self.servers:
            server.engine.deadly_bodies.add(b"deadly")

        async def send() -> None:
            await self.send([], route="safe", body=b"deadly")

        await asyncio.gather(
            self.send_sound_repeatedly(10.0),
            self.send_repeatedly(10.0, 0.3, send),
        )
        times = sorted(
            run.began_at
            for server in self.servers
            for run in server.engine.runs
            if run.body == b"deadly"
        )
        self.assertGreaterEqual(len(times), 2)
        later = [at for at in times if at > times[2] + CONTACT_SECONDS]
        self.assertLessEqual(len(later), MAX_LATER_ARRIVALS, times)
