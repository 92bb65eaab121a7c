"""Tests of the HTTP transfer of the operator's records between hosts."""

import contextlib
import typing as t
import unittest

from aiohttp import web

from sesamefold.entry import catalog
from sesamefold.entry import changes
from sesamefold.entry import datagrams
from sesamefold.entry import operator_records
from sesamefold.entry import operator_transfers
from sesamefold import exceptions
from sesamefold import transport
from standins import platform_fixtures
from tests import entry_fakes

VALUE = bytes(range(256)) * 1000


class TransferTest(unittest.IsolatedAsyncioTestCase):
    """A host with one record, and another one that fetches it."""

    async def asyncSetUp(self) -> None:
        """Serve the records."""
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.clock = entry_fakes.FakeClock()
        self.catalog = catalog.Catalog(entry_fakes.make_log(), self.clock)
        self.records = operator_records.OperatorRecords()
        self.server = operator_transfers.TransferServer(
            self.records, self.catalog, self.clock
        )
        self.address = await self.serve(self.server.handle)
        self.client = operator_transfers.TransferClient(
            await self.stack.enter_async_context(transport.make_session())
        )

    async def serve(self, handler: t.Any) -> datagrams.Address:
        """Serve a handler; return its address."""
        address = await platform_fixtures.start_server(self.stack, handler)
        host, _, port = address.rpartition(":")
        return host, int(port)

    def fill(self) -> None:
        """Let the server have one record, confirmed 2 s ago."""
        record = changes.OperatorRecord("key", VALUE, 7)
        self.records.apply_snapshot([record], 9)
        self.catalog.confirm(self.clock.now - 2.0)

    async def check_refused(self, address: datagrams.Address) -> None:
        """Check that a fetch fails."""
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.client.fetch(address, 0)

    async def test_records_arrive_with_the_age_of_their_confirmation(
        self,
    ) -> None:
        self.fill()
        received = await self.client.fetch(self.address, 0)
        self.assertEqual(2.0, received.age)
        self.assertEqual(9, received.records.as_of)
        self.assertEqual({"key": 7}, received.records.revisions)
        self.assertEqual([VALUE], [r.value for r in received.records.changed])
        received = await self.client.fetch(self.address, 7)
        self.assertEqual({"key": 7}, received.records.revisions)
        self.assertEqual((), received.records.changed)

    async def test_host_without_records_refuses(self) -> None:
        await self.check_refused(self.address)

    async def test_host_with_many_transfers_refuses(self) -> None:
        self.fill()
        self.server._in_progress = operator_transfers.MAX_TRANSFERS
        await self.check_refused(self.address)
        self.server._in_progress = 0
        await self.client.fetch(self.address, 0)
        self.assertEqual(0, self.server._in_progress)

    async def test_host_that_does_not_listen_refuses(self) -> None:
        (port,) = await platform_fixtures.find_free_ports(1)
        await self.check_refused(("127.0.0.1", port))

    async def test_odd_requests_are_refused(self) -> None:
        self.fill()
        for path, status in (
            ("/operator-records", 400),
            ("/operator-records?after=x", 400),
            (f"/operator-records?after={'9' * 5000}", 400),
            ("/other", 404),
        ):
            with self.subTest(path=path[:40]):
                host, port = self.address
                async with self.client.session.get(
                    f"http://{host}:{port}{path}"
                ) as response:
                    self.assertEqual(status, response.status)

    async def test_odd_answers_are_refused(self) -> None:
        self.fill()
        body = self.records.encode_changes(0)
        for revision, age, data in (
            ("9", "1.0", b"x"),
            ("9", "-1.0", body),
            ("9", "nan", body),
            ("x", "1.0", body),
            (None, "1.0", body),
            ("9", None, body),
        ):
            with self.subTest(revision=revision, age=age):
                headers = {
                    operator_transfers.REVISION_HEADER: revision,
                    operator_transfers.AGE_HEADER: age,
                }

                async def answer(
                    request: web.BaseRequest,
                    data: bytes = data,
                    headers: t.Any = headers,
                ) -> web.Response:
                    return web.Response(
                        body=data,
                        headers={k: v for k, v in headers.items() if v},
                    )

                await self.check_refused(await self.serve(answer))
