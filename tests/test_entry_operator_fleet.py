"""Tests of how a region of entry hosts learns the operator's records."""

import asyncio
import typing as t

from sesamefold.entry import host as entry_host
from sesamefold.platform import client
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import stores
from sesamefold import transport
from standins import platform_fixtures
from tests import entry_fakes

HOSTS = 14
# Hosts of a region that may read a record of the operator from the store.
MAX_READERS = 2


class RegionTest(entry_fakes.StoreCase):
    """The entry hosts of one large region, and the platform's store."""

    async def asyncSetUp(self) -> None:
        """Start the hosts and wait until they know each other."""
        await super().asyncSetUp()
        self.store.put("op/config", platform_fixtures.make_configuration())
        self.hosts: t.List[entry_host.EntryHost] = []
        for number in range(HOSTS):
            await self.start_host(f"entry-{number}")
        await self.wait_until(
            lambda: all(
                host.is_ready() and len(host.members.list_hosts()) == HOSTS
                for host in self.hosts
            ),
            10.0,
        )

    async def start_host(self, name: str) -> None:
        """Start an entry host."""
        # Found for one host at a time: connections of the hosts that run may
        # take ports that are free.
        ports = await platform_fixtures.find_free_ports(4)
        session = await self.stack.enter_async_context(
            transport.make_session()
        )
        store_client = client.StoreClient(session, self.address)
        host = entry_host.EntryHost(
            entry_fakes.make_settings(ports, self.address, host=name),
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

    async def wait_until(
        self, condition: t.Callable[[], t.Any], seconds: float
    ) -> None:
        """Wait until a condition holds; fail after `seconds`."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    def list_versions(self) -> t.Set[int]:
        """Return the versions of the configuration that the hosts have."""
        return {
            host.catalog.configuration.version
            for host in self.hosts
            if host.catalog.configuration is not None
        }

    # Guards against a large configuration that fills the link between the
    # regions because each host of the other region reads it.
    async def test_store_sends_a_configuration_to_few_hosts_of_a_region(
        self,
    ) -> None:
        # Each host has followed the store since it knew the others.
        await asyncio.sleep(2.0)
        sent = self.store.sent_keys["op/config"]
        body = platform_fixtures.make_configuration(2)
        route = body["routes"][0]
        body["routes"] += [
            {**route, "name": f"r-{number}", "path_prefix": f"/r-{number}/"}
            for number in range(900)
        ]
        self.store.put("op/config", body)
        await self.wait_until(lambda: self.list_versions() == {2}, 4.0)
        self.assertLessEqual(
            self.store.sent_keys["op/config"] - sent, MAX_READERS
        )
        self.store.put("op/evacuate/dc-2", {})
        await self.wait_until(
            lambda: all(
                host.catalog.evacuated_data_centres == {"dc-2"}
                for host in self.hosts
            ),
            4.0,
        )
        self.store.remove("op/evacuate/dc-2")
        await self.wait_until(
            lambda: not any(
                host.catalog.evacuated_data_centres for host in self.hosts
            ),
            4.0,
        )
        self.assertTrue(all(host.is_ready() for host in self.hosts))

    # Guards against a restart of many hosts that reads the configuration over
    # the link between the regions for each of them.
    async def test_starting_host_learns_the_configuration_from_a_reader(
        self,
    ) -> None:
        await asyncio.sleep(2.0)
        sent = self.store.sent_keys["op/config"]
        await self.start_host("entry-late")
        await self.wait_until(self.hosts[-1].is_ready, 2.0)
        self.assertEqual(sent, self.store.sent_keys["op/config"])

    # Guards against keys that are refused, or configurations that are late,
    # after the hosts that read them for the others have ended.
    async def test_hosts_stay_ready_when_both_readers_end(self) -> None:
        await asyncio.sleep(2.0)
        readers = [h for h in self.hosts if h.relay.is_reader()]
        self.assertEqual(MAX_READERS, len(readers))
        for host in readers:
            await host.stop()
            self.hosts.remove(host)
        ends_at = asyncio.get_running_loop().time() + 5.0
        while asyncio.get_running_loop().time() < ends_at:
            self.assertTrue(all(host.is_ready() for host in self.hosts))
            await asyncio.sleep(0.05)
        sent = self.store.sent_keys["op/config"]
        self.store.put("op/config", platform_fixtures.make_configuration(2))
        await self.wait_until(lambda: self.list_versions() == {2}, 4.0)
        self.assertLessEqual(
            self.store.sent_keys["op/config"] - sent, MAX_READERS
        )
