"""Tests of the status of all data centres."""

import unittest

from sesamefold import client
from tests import control_fakes


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, name, data_centre, hosts):
        daemon = control_fakes.Control(
            name, control_fakes.KeyValue(), hosts, data_centre=data_centre
        )
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        hosts.add(
            control_fakes.make_host(
                name, daemon.control_address, data_centre=data_centre
            )
        )
        return daemon

    async def test_unreachable_data_centre_is_reported_as_such(self):
        """Guards against a status that omits an unreachable data centre.

        It must not fail either, or wait for that data centre without limit.
        """
        hosts = control_fakes.HostList(
            # Nothing listens on the discard port.
            control_fakes.make_host("z", "127.0.0.1:9", data_centre="lost")
        )
        first = await self.start("a", "dc", hosts)
        await self.start("b", "dd", hosts)
        await control_fakes.wait_until(
            lambda: len(first.membership.list_data_centres()) == 3
        )
        async with client.ControlClient(first.control_address) as control:
            whole = await control.get_status(whole=True)
            own = await control.get_status()
        self.assertEqual(["dc"], [centre.name for centre in own.data_centres])
        self.assertEqual(
            {"dc": True, "dd": True, "lost": False},
            {centre.name: centre.reachable for centre in whole.data_centres},
        )
        reported = {
            (host.member.name, host.reachable)
            for centre in whole.data_centres
            for host in centre.hosts
        }
        self.assertEqual({("a", True), ("b", True), ("z", False)}, reported)
