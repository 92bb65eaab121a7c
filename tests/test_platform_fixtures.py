"""Tests of the platform fixtures."""

import socket
import unittest

from standins import platform_fixtures


class PortsTest(unittest.IsolatedAsyncioTestCase):
    """Free ports for the addresses of an entry host."""

    async def test_ports_in_use_by_udp_are_not_free(self) -> None:
        """Guards against entry hosts that fail to bind their UDP port.

        A port that is free for TCP may be used by another process's UDP
        socket.
        """
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            taken = other.getsockname()[1]
            self.assertFalse(platform_fixtures.is_udp_port_free(taken))
            ports = await platform_fixtures.find_free_ports(20)
        self.assertEqual(20, len(set(ports)))
        self.assertNotIn(taken, ports)
        self.assertTrue(platform_fixtures.is_udp_port_free(taken))
