"""Tests of the HTTP session that all HTTP clients share."""

import contextlib
import socket
import unittest

import aiohttp

from sesamefold import deadline as deadlines
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import transport
from standins import service


class SessionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = service.ServiceServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def test_request_is_not_retried_after_a_lost_reply(self):
        """Guards against a request that aiohttp retries on its own."""
        async with transport.make_session() as session:
            for method in ("POST", "PUT", "DELETE", "GET"):
                with self.subTest(method=method):
                    url = f"{self.server.url}/{method}"
                    async with session.post(f"{self.server.url}/keep"):
                        pass
                    self.server.inject(drop_after=1)
                    with self.assertRaises(aiohttp.ClientError) as caught:
                        await session.request(method, url, data=b"body")
                    self.assertFalse(transport.is_unsent(caught.exception))
                    counts = {
                        call[1]: count
                        for call, count in self.server.executions.items()
                    }
                    self.assertEqual(1, counts[f"/{method}"])
            await self.server.stop()
            with self.assertRaises(aiohttp.ClientError) as caught:
                await session.post(self.server.url)
            self.assertTrue(transport.is_unsent(caught.exception))

    async def test_host_that_drops_packets_is_unreachable(self):
        """Guards against an unknown outcome of a request that was not sent.

        A listening socket with a full backlog drops the SYN, as a network
        partition does.
        """
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(
                socket.create_server(("127.0.0.1", 0))
            )
            listener.listen(0)
            address = ("127.0.0.1", listener.getsockname()[1])
            for _ in range(4):
                backlog_socket = stack.enter_context(socket.socket())
                backlog_socket.setblocking(False)
                backlog_socket.connect_ex(address)
            async with transport.make_session() as session:
                engine = engines.HttpEngine(session, "%s:%d" % address)
                with self.assertRaises(exceptions.BackendUnreachable):
                    await engine.fetch_load(deadlines.Deadline.after(1.0))
