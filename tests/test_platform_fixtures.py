"""The small deployment of the stand-ins."""

import socket
import unittest

from standins import platform_fixtures


class PortsTest(unittest.IsolatedAsyncioTestCase):
    """Ports for an entry host."""

    async def test_ports_are_free_for_datagrams(self) -> None:
        """Guards against hosts that cannot start beside other processes."""
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            taken = other.getsockname()[1]
            self.assertFalse(platform_fixtures.is_udp_port_free(taken))
            ports = await platform_fixtures.find_free_ports(20)
        self.assertEqual(20, len(set(ports)))
        self.assertNotIn(taken, ports)
        self.assertTrue(platform_fixtures.is_udp_port_free(taken))
