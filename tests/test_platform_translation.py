"""Tests of the platform's settings, records, headers and store client."""

import asyncio
import pathlib
import tempfile
import typing as t
import unittest
from unittest import mock

import multidict

from sesamefold.entry import changes
from sesamefold.entry import requests
from sesamefold.entry import store
from sesamefold import exceptions
from sesamefold.platform import client
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import settings
from sesamefold.platform import wire
from standins import platform_fixtures
from tests import entry_fakes

SETTINGS = """
node_name = "front-1"
zone = "dc-1"
region = "region-1"
ip = "10.0.0.1"
inner_ports = [7700, 7715]
unknown = 1
[zones]
dc-1 = "region-1"
[listen_addrs]
front = "10.0.0.1:8005"
ready = "10.0.0.1:8002"
[bounds]
retry_budget_ratio = 0.2
retry_budget_extra = 58
budget_window_s = 10
revoke_ms = 5000
revoke_fail_closed = true
grace_s = 8
lease_ms = 3000
drain_ms = 2500
[platform]
address = "10.200.1.7:8007"
"""


class SettingsTest(unittest.TestCase):
    """Reading the settings file."""

    def setUp(self) -> None:
        """Write a valid settings file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.toml"
        self.path.write_text(SETTINGS)

    def test_file_is_decoded_and_changes_are_detected(self) -> None:
        file = settings.SettingsFile(self.path)
        self.assertTrue(file.has_changed())
        read = file.read()
        self.assertEqual("front-1", read.host)
        self.assertEqual(5.0, read.key_withdrawal_seconds)
        self.assertEqual(("10.0.0.1", 7700), read.peer_address)
        self.assertEqual(2.5, read.leaving_seconds)
        self.assertEqual(0.0, read.link_mbps)
        self.assertFalse(file.has_changed())
        self.path.write_text(SETTINGS.replace("5000", "6000"))
        self.assertTrue(file.has_changed())

    def test_invalid_or_missing_files_raise_settings_error(self) -> None:
        for text in ("", "x = ", SETTINGS.replace("[platform]", "[other]")):
            with self.subTest(text=text[:20]):
                self.path.write_text(text)
                with self.assertRaises(exceptions.SettingsError):
                    settings.SettingsFile(self.path).read()
        with self.assertRaises(exceptions.SettingsError):
            settings.SettingsFile(self.path.parent / "none").read()


class RecordsTest(unittest.TestCase):
    """Decoding records of servers and of the operator."""

    def test_malformed_server_records_are_rejected(self) -> None:
        valid = {
            "service": "chat",
            "address": "10.0.0.1:80",
            "zone": "dc-1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 5,
        }
        change = records.decode_record("servers/i", wire.encode(valid))
        self.assertIsInstance(change, changes.ServerReported)
        malformed = [
            b"",
            b"\xff\xfe",
            b"[]",
            *(wire.encode({**valid, name: None}) for name in valid),
            wire.encode({**valid, "state": "sleeping"}),
            wire.encode({**valid, "address": "nowhere"}),
            wire.encode({**valid, "seq": True}),
            wire.encode({**valid, "born": "5"}),
            wire.encode({**valid, "models": [{"name": "m"}]}),
            wire.encode({**valid, "models": 4}),
        ]
        for data in malformed:
            with self.subTest(data=data):
                change = records.decode_record("servers/i", data)
                self.assertIsInstance(change, changes.RecordRejected)

    def test_route_with_the_longest_path_prefix_is_chosen(self) -> None:
        body = platform_fixtures.make_configuration()
        body["routes"].append(
            {**body["routes"][0], "name": "longer", "path_prefix": "/safe/a/"}
        )
        change = records.decode_record("op/config", wire.encode(body))
        assert isinstance(change, changes.ConfigurationAccepted)
        configuration = change.configuration
        host = platform_fixtures.ROUTE_HOST
        self.assertEqual(
            "longer", configuration.find_route(host, "/safe/a/b").name
        )
        self.assertEqual(
            "safe", configuration.find_route(host, "/safe/b").name
        )
        with self.assertRaises(exceptions.UnknownPath):
            configuration.find_route(host, "/saf")

    def test_traffic_split_divides_requests_by_weight(self) -> None:
        body = platform_fixtures.make_configuration()
        shares = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        body["routes"][0]["traffic_split"] = shares
        change = records.decode_record("op/config", wire.encode(body))
        assert isinstance(change, changes.ConfigurationAccepted)
        route = change.configuration.routes[0]
        chosen = [route.choose_service(f"r-{n}") for n in range(1000)]
        self.assertAlmostEqual(100, chosen.count("b"), delta=40)


class HeadersTest(unittest.TestCase):
    """Headers that are repeated, missing or malformed."""

    def test_invalid_headers_raise_malformed_request(self) -> None:
        cases = (
            [("Sesamefold-Request-Id", "a"), ("sesamefold-request-id", "b")],
            [
                ("Sesamefold-Request-Id", "a"),
                ("Api-Key", "x"),
                ("api-key", "y"),
            ],
            [],
            [
                ("Sesamefold-Request-Id", "a"),
                ("Sesamefold-Model", "m"),
                ("Sesamefold-Token-Usage", "many"),
            ],
            [
                ("Sesamefold-Request-Id", "a"),
                ("Sesamefold-Model", "m"),
                ("Sesamefold-Token-Usage", "1,2"),
                ("Sesamefold-Prompt-Prefix", "aa"),
            ],
        )
        for pairs in cases:
            with self.subTest(pairs=pairs):
                with self.assertRaises(exceptions.MalformedRequest):
                    headers.HeaderCodec().read_request(
                        multidict.CIMultiDictProxy(
                            multidict.CIMultiDict(pairs)
                        )
                    )

    def read_reply(
        self, pairs: t.Iterable[t.Tuple[str, str]], status: int = 200
    ) -> requests.ReplyHead:
        """Return the decoded head of a reply with the headers."""
        return headers.HeaderCodec().read_reply(
            status, multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
        )

    def test_only_the_documented_value_means_that_a_server_leaves(
        self,
    ) -> None:
        """Guards against a malformed header that takes a server out."""
        self.assertFalse(self.read_reply([]).leaving)
        for status in (200, 421, 500, 503):
            for name in ("Server-Leaving", "server-leaving"):
                head = self.read_reply([(name, "1")], status)
                self.assertTrue(head.leaving)
                self.assertEqual((), head.ignored_headers)
                self.assertEqual({}, dict(head.forwarded))
        for values in (
            ["0"],
            [""],
            ["true"],
            ["1, 1"],
            ["1", "0"],
            ["11"],
            ["\u0661"],
            ["x" * 5000],
        ):
            with self.subTest(values=values):
                head = self.read_reply([("Server-Leaving", v) for v in values])
                self.assertFalse(head.leaving)
                (ignored,) = head.ignored_headers
                self.assertLessEqual(len(ignored), 80)
                self.assertEqual({}, dict(head.forwarded))

    def read_rest(self, *values: str) -> t.Optional[float]:
        """Return the rest that a refusal with the values asks for."""
        codec = headers.HeaderCodec(lambda: 1445412400.0)
        pairs = [("Retry-After", value) for value in values]
        head = codec.read_reply(
            503, multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
        )
        self.ignored_headers = head.ignored_headers
        return head.rest_seconds

    def test_rest_is_read_from_seconds_and_dates(self) -> None:
        cases = (
            ((), None),
            (("2",), 2.0),
            (("0.25",), 0.25),
            (("0",), 0.0),
            (("86400",), 86400.0),
            (("9" * 30,), 1e30),
            (("1", "3", "2"), 3.0),
            (("Wed, 21 Oct 2015 07:28:00 GMT",), 80.0),
            (("Wednesday, 21-Oct-15 07:28:00 GMT",), 80.0),
            (("Wed Oct 21 07:28:00 2015",), 80.0),
            (("Wed, 21 Oct 2015 07:20:00 GMT",), 0.0),
        )
        for values, expected in cases:
            with self.subTest(values=values):
                self.assertEqual(expected, self.read_rest(*values))
                self.assertEqual((), self.ignored_headers)
        head = self.read_reply([("Retry-After", "2")], 500)
        self.assertIsNone(head.rest_seconds)

    def test_malformed_rest_is_ignored(self) -> None:
        """Guards against a crash or a long rest by a malformed value."""
        for value in (
            "",
            "-1",
            "-0.5",
            "inf",
            "-inf",
            "NaN",
            "Infinity",
            "1e3",
            "0x10",
            "2 s",
            "soon",
            "\u0662",
            "1,5",
            "9" * 5000,
            "Wed, 99 Oct 2015 07:28:00 GMT",
            "Wed, 21 Oct 99999999 07:28:00 GMT",
            "\udcff",
        ):
            with self.subTest(value=value):
                self.assertIsNone(self.read_rest(value))
                (ignored,) = self.ignored_headers
                self.assertLessEqual(len(ignored), 80)

    def test_leaving_header_of_a_caller_is_not_forwarded(self) -> None:
        head = headers.HeaderCodec().read_request(
            multidict.CIMultiDictProxy(
                multidict.CIMultiDict(
                    {"Sesamefold-Request-Id": "a", "Server_Leaving": "1"}
                )
            )
        )
        self.assertEqual([], [n for n in head.forwarded if "eaving" in n])


class StoreClientTest(entry_fakes.StoreCase):
    """Store client against the stand-in's replies and faults."""

    async def test_watch_returns_changes_and_raises_on_lost_history(
        self,
    ) -> None:
        batch = await self.client.read_all()
        self.store.put("op/evacuate/dc-1", {})
        self.store.put("status/x", {})
        self.store.put("servers/i-1", {"state": "ready"})
        watched = await self.client.watch(batch.revision, 0.2)
        evacuation, malformed = watched.changes
        self.assertEqual(changes.EvacuationRequested("dc-1"), evacuation)
        self.assertIsInstance(malformed, changes.RecordRejected)
        self.store.put("op/evacuate/dc-2", {})
        self.store.drop_history()
        with self.assertRaises(exceptions.HistoryLost):
            await self.client.watch(watched.revision, 0.2)

    async def test_read_all_follows_all_pages(self) -> None:
        for number in range(1100):
            self.store.put(f"op/evacuate/dc-{number}", {})
        batch = await self.client.read_all()
        self.assertEqual(1100, len(batch.changes))

    def put_large_configuration(self, routes: int = 900) -> int:
        """Write a configuration of many routes; return its size in bytes."""
        body = platform_fixtures.make_configuration(2)
        route = body["routes"][0]
        body["routes"] = [
            {**route, "name": f"r-{number}", "path_prefix": f"/r-{number}/"}
            for number in range(routes)
        ]
        self.store.put("op/config", body)
        return len(self.store.get("op/config") or b"")

    # Guards against streams that pause while a large configuration is decoded.
    async def test_other_tasks_run_while_a_configuration_is_decoded(
        self,
    ) -> None:
        self.put_large_configuration()
        value = self.store.get("op/config") or b""
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        task = asyncio.create_task(count_turns())
        change = await records.decode_record_in_pieces("op/config", value)
        task.cancel()
        self.assertGreaterEqual(turns, 9)
        self.assertEqual(records.decode_record("op/config", value), change)

    # Guards against asking anew for a large record that is on its way, which
    # keeps a slow link busy with what has been sent already.
    async def test_reply_that_arrives_slowly_but_steadily_is_read(
        self,
    ) -> None:
        batch = await self.client.read_all()
        size = self.put_large_configuration()
        self.store.bytes_per_second = size * 4 / 3 / 2.0
        watched = await self.client.watch(batch.revision, 0.2)
        (change,) = watched.changes
        self.assertIsInstance(change, changes.ConfigurationAccepted)
        batch = await self.client.read_all()
        self.assertEqual(1, len(batch.changes))
        self.assertEqual(2, self.store.sent_keys["op/config"])

    async def test_reply_that_stalls_is_given_up(self) -> None:
        batch = await self.client.read_all()
        self.put_large_configuration()
        self.store.stall_after = 50_000
        for call in (
            self.client.watch(batch.revision, 0.2),
            self.client.read_all(),
        ):
            async with asyncio.timeout(3.0):
                with self.assertRaises(exceptions.PlatformUnavailable):
                    await call

    async def test_reply_that_never_ends_is_given_up(self) -> None:
        self.put_large_configuration()
        self.store.bytes_per_second = 50_000
        with mock.patch.object(client, "MAX_TRANSFER_SECONDS", 1.5):
            async with asyncio.timeout(3.0):
                with self.assertRaises(exceptions.PlatformUnavailable):
                    await self.client.read_all()

    async def test_large_and_broken_replies_are_reported(self) -> None:
        transfers: t.List[client.Transfer] = []
        self.client.report = transfers.append
        batch = await self.client.read_all()
        await self.client.watch(batch.revision, 0.1)
        self.assertEqual([], transfers)
        size = self.put_large_configuration()
        await self.client.read_all()
        self.store.stall_after = 50_000
        for _ in range(2):
            with self.assertRaises(exceptions.PlatformUnavailable):
                await self.client.read_all()
        complete, first, second = transfers
        self.assertGreater(complete.bytes, size)
        self.assertIsNone(complete.reason)
        self.assertEqual((1, 2), (first.attempt, second.attempt))
        self.assertGreaterEqual(first.bytes, 50_000)
        self.assertIsNotNone(first.head_seconds)
        self.assertIsNotNone(first.reason)

    async def test_calls_raise_errors_by_their_possible_effect(self) -> None:
        self.store.error_status = 429
        with self.assertRaises(exceptions.PlatformUnavailable):
            await self.client.grant_lease(1.0)
        self.store.error_status = 0
        lease = await self.client.grant_lease(5.0)
        self.store.lose_answers = True
        write = store.Write("sesamefold/x", b"1", lease)
        with self.assertRaises(exceptions.OutcomeUnknown):
            await self.client.write({"sesamefold/x": 0}, [write])
        self.store.lose_answers = False
        with self.assertRaises(exceptions.VersionConflict):
            await self.client.write({"sesamefold/x": 0}, [write])
        await self.client.revoke_lease(lease)
        self.assertIsNone(self.store.get("sesamefold/x"))
        with self.assertRaises(exceptions.LeaseExpired):
            await self.client.renew_lease(lease)
