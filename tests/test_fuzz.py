"""Property tests of the decoders of external input."""

import contextlib
import copy
import json
import typing as t
import unittest

from aiohttp import web
import hypothesis
from hypothesis import strategies
import multidict

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import context_stores
from sesamefold.entry import datagrams
from sesamefold.entry import events
from sesamefold.entry import loads
from sesamefold.entry import requests
from sesamefold.entry import server_notices
from sesamefold.entry import server_status
from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import engines
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import stores
from sesamefold.platform import wire
from sesamefold import transport
from standins import platform_fixtures
from tests import entry_fakes

# Every run generates the same input. There is no deadline for one example,
# because a busy machine would exceed it.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, max_examples=200
)
hypothesis.settings.load_profile("repeatable")

HEADER_NAMES = (
    wire.REQUEST_ID,
    wire.TIMEOUT_MS,
    wire.API_KEY,
    wire.MODEL,
    wire.TOKEN_COUNTS,
    wire.PROMPT_PARTS,
    wire.LAST_EVENT_ID,
    wire.OUTPUT_ESTIMATE,
    wire.CUSTOMER,
    wire.CACHE_SALT,
    wire.SERVER_LOAD,
    wire.RESPONSE_SEAL,
    "Connection",
    "Content-Length",
    "X-Other",
)
NUMBERS = strategies.one_of(
    strategies.integers(-5, 10**6).map(str),
    strategies.sampled_from(("", ".", "1.5", "-1", "²", "٣", "1e9", "nan")),
    strategies.integers(300, 5000).map(lambda count: "9" * count),
)
HEADER_VALUES = strategies.one_of(
    strategies.text(strategies.characters(codec="utf-8"), max_size=30),
    strategies.lists(NUMBERS, max_size=4).map(",".join),
    strategies.lists(
        strategies.tuples(strategies.sampled_from("ab-:"), NUMBERS).map(
            ":".join
        ),
        max_size=4,
    ).map(",".join),
)
DATES = strategies.tuples(
    strategies.sampled_from(("Wed, ", "Wed ", "")),
    strategies.integers(0, 99).map(str),
    strategies.sampled_from((" Oct ", " Xyz ", "-10-")),
    NUMBERS,
    strategies.sampled_from((" 07:28:00", " 99:99:99", " 24:00", "")),
    strategies.sampled_from((" GMT", " +9999", " -0000", "")),
).map("".join)
# What servers announce: that they leave, and how long they want no requests.
NOTICES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("Server-Leaving", "Retry-After")),
        strategies.one_of(NUMBERS, DATES, HEADER_VALUES),
    ),
    max_size=4,
).map(multidict.CIMultiDict)
HEADERS = strategies.lists(
    strategies.tuples(strategies.sampled_from(HEADER_NAMES), HEADER_VALUES),
    max_size=12,
).map(multidict.CIMultiDict)
NUMBER_PAIRS = strategies.lists(NUMBERS, min_size=2, max_size=2).map(",".join)
PART_LISTS = strategies.lists(NUMBERS.map("a:{}".format), max_size=3).map(
    ",".join
)
# Headers of prompts in which only the numbers may be invalid.
PROMPT_HEADERS = strategies.fixed_dictionaries(
    {
        wire.REQUEST_ID: strategies.just("r-1"),
        wire.MODEL: strategies.just("m"),
        wire.TOKEN_COUNTS: NUMBER_PAIRS,
        wire.PROMPT_PARTS: PART_LISTS,
    },
    optional={
        wire.TIMEOUT_MS: NUMBERS,
        wire.OUTPUT_ESTIMATE: NUMBERS,
        "Content-Length": NUMBERS,
        wire.SERVER_LOAD: strategies.lists(
            NUMBERS, min_size=3, max_size=3
        ).map(",".join),
    },
).map(multidict.CIMultiDict)
JSON_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=10),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=5),
        strategies.dictionaries(strategies.text(max_size=8), inner),
    ),
    max_leaves=20,
)
RECORD_KEYS = (
    "op/config",
    "op/version/m",
    "op/evacuate/z",
    "servers/i-1",
    "op/x",
)
SERVER_RECORD = {
    "service": "chat",
    "address": "127.0.0.1:1",
    "zone": "dc-1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1,
    "models": [{"name": "m", "version": 1}],
}


class HeadersTest(unittest.TestCase):
    """Headers of callers and backend servers."""

    @hypothesis.given(strategies.one_of(HEADERS, PROMPT_HEADERS))
    def test_any_request_is_decoded_or_malformed(
        self, generated: "multidict.CIMultiDict[str]"
    ) -> None:
        codec = headers.HeaderCodec()
        try:
            request_head = codec.read_request(
                multidict.CIMultiDictProxy(generated)
            )
        except exceptions.MalformedRequest:
            return
        for name in (wire.CUSTOMER, wire.CACHE_SALT, wire.API_KEY):
            self.assertNotIn(name, request_head.forwarded)
        added = requests.AddedHeaders("i-1", 1.0, "customer-1", 0)
        sent = codec.write_request(request_head, added)
        self.assertEqual(["customer-1"], sent.getall(wire.CUSTOMER))

    @hypothesis.given(NOTICES, strategies.sampled_from((200, 421, 500, 503)))
    def test_any_notice_of_a_server_is_decoded_or_ignored(
        self, generated: "multidict.CIMultiDict[str]", status: int
    ) -> None:
        """Guards against a notice that ends the request it comes with."""
        reply_head = headers.HeaderCodec().read_reply(status, generated)
        self.assertEqual(status, reply_head.status)
        self.assertNotIn("Server-Leaving", reply_head.forwarded)

    @hypothesis.given(
        strategies.one_of(HEADERS, PROMPT_HEADERS),
        strategies.integers(100, 599),
    )
    def test_any_reply_is_decoded(
        self, generated: "multidict.CIMultiDict[str]", status: int
    ) -> None:
        reply_head = headers.HeaderCodec().read_reply(status, generated)
        self.assertEqual(status, reply_head.status)

    @hypothesis.given(
        strategies.one_of(
            strategies.text(max_size=40),
            strategies.lists(
                strategies.sampled_from(
                    ("Wed", ",", " ", "21", "Oct", "-1", "0", ":", "GMT", "9")
                )
            ).map("".join),
        )
    )
    def test_any_time_of_rest_is_a_finite_number_or_ignored(
        self, value: str
    ) -> None:
        generated = multidict.CIMultiDict({"Retry-After": value})
        reply_head = headers.HeaderCodec().read_reply(503, generated)
        seconds = reply_head.rest_seconds
        if seconds is None:
            self.assertEqual(1, len(reply_head.ignored_headers))
        else:
            self.assertTrue(0.0 <= seconds < float("inf"))


class RecordsTest(unittest.TestCase):
    """Records of the operator and the servers."""

    @hypothesis.given(
        strategies.sampled_from(RECORD_KEYS),
        strategies.one_of(
            strategies.binary(max_size=40),
            JSON_VALUES.map(lambda body: json.dumps(body).encode()),
        ),
    )
    def test_any_record_gives_a_change(self, key: str, value: bytes) -> None:
        self.assertIsNotNone(records.decode_record(key, value))

    @hypothesis.given(
        strategies.sampled_from(sorted(SERVER_RECORD)), JSON_VALUES
    )
    def test_server_record_with_any_field_value_gives_a_change(
        self, name: str, value: object
    ) -> None:
        body = json.dumps({**SERVER_RECORD, name: value}).encode()
        self.assertIsNotNone(records.decode_record("servers/i-1", body))

    def test_too_deeply_nested_record_is_rejected(self) -> None:
        """Guards against a record whose nesting ends the watch task.

        `json.loads` raises `RecursionError` for it, not `ValueError`.
        """
        for key in RECORD_KEYS:
            change = records.decode_record(key, b"[" * 100_000)
            self.assertIsInstance(change, changes.RecordRejected)

    def test_odd_entry_names_no_server(self) -> None:
        """Guards against an entry of another writer that ends the watch."""
        entries = platform_fixtures.make_odd_server_entries("127.0.0.1:1")
        for server_id, entry in entries.items():
            with self.subTest(entry=entry[-200:]):
                change = records.decode_record(f"servers/{server_id}", entry)
                self.assertIsInstance(change, changes.RecordRejected)

    def test_server_id_that_no_header_can_hold_is_rejected(self) -> None:
        """Guards against an id with which no request can be sent."""
        entry = json.dumps(SERVER_RECORD).encode()
        for server_id in ("", "i 1", "i\n1", "\u00e9", "\ud800", "i\x00"):
            with self.subTest(server_id=server_id):
                change = records.decode_record(f"servers/{server_id}", entry)
                self.assertIsInstance(change, changes.RecordRejected)

    def test_server_address_without_valid_port_is_rejected(self) -> None:
        for port in ("\u00b2", "0", "65536", "-1", "", "1.5"):
            body = json.dumps(
                {**SERVER_RECORD, "address": f"127.0.0.1:{port}"}
            )
            change = records.decode_record("servers/i-1", body.encode())
            self.assertIsInstance(change, changes.RecordRejected, port)


class StoreEventsTest(unittest.IsolatedAsyncioTestCase):
    """Bodies of stores of context and of engines' reports."""

    async def asyncSetUp(self) -> None:
        """Start a server that answers each call with `self.body`."""
        self.body: object = None
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.address = await platform_fixtures.start_server(stack, self.answer)
        self.session = await stack.enter_async_context(
            transport.make_session()
        )

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Return the body as JSON."""
        return web.json_response(self.body)

    def generate_bodies(self, sound: t.Dict[str, t.Any]) -> t.List[t.Any]:
        """Return bodies in which one value at any depth has another type."""
        values = (None, True, -1, 1.5, "x", [], {}, [1], {"a": 1}, 10**30)
        return [
            body
            for value in values
            for body in (value, *_replace_each(sound, value))
        ]

    async def test_malformed_events_are_an_error_of_the_store(self) -> None:
        """Guards against an event that ends the task that reads a store."""
        client = stores.ContextStoreClient(self.session)
        store = topology.ContextStore(self.address, "dc-1", 1000)
        sound = {
            "boot_epoch": 7,
            "next": 3,
            "lost": False,
            "clock_ms": 5,
            "events": [[1, "+", "s", "a", 10, "m"]],
            "held": [["s", "a", 10, "m"]],
        }
        for self.body in self.generate_bodies(sound):
            for read in (
                client.read_events(store, 0, 0.0),
                client.read_snapshot(store),
            ):
                with self.subTest(body=self.body):
                    try:
                        batch = await read
                    except exceptions.StoreUnavailable:
                        continue
                    view = store_views.StoreView(store)
                    view.apply_batch(batch, 0.0, 0.0)
                    self.assertGreaterEqual(view.stored_tokens, 0)
                    self.assertFalse(view.may_save(0.0, 10**9))

    async def test_malformed_report_is_an_error_of_the_engine(self) -> None:
        """Guards against a report that ends the rollout of weights."""
        client = engines.EngineClient(self.session)
        server = entry_fakes.make_server("i-1", address=self.address)
        sound = {
            "models": [{"name": "m", "version": 1}],
            "seq": 1,
            "busy": False,
        }
        for self.body in self.generate_bodies(sound):
            with self.subTest(body=self.body):
                try:
                    report = await client.read_report(server)
                except exceptions.BackendUnreachable:
                    continue
                self.assertGreaterEqual(report.weights.get("m", 0), 0)
                self.assertGreaterEqual(report.orders_accepted, 0)


def _replace_each(body: t.Any, value: t.Any) -> t.Iterator[t.Any]:
    """Yield copies of a JSON value with one value at any depth replaced."""
    entries: t.Any = ()
    if isinstance(body, dict):
        entries = body.items()
    elif isinstance(body, list):
        entries = enumerate(body)
    for key, inner in entries:
        for replaced in (value, *_replace_each(inner, value)):
            copied = copy.copy(body)
            copied[key] = replaced
            yield copied


class EventsTest(unittest.TestCase):
    """Event streams that arrive in chunks."""

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                (b"id: 1\n", b"id:2\r\n", b"data: x", b"\n", b"\r\n", b"\r")
            )
        ).map(b"".join),
        strategies.lists(strategies.integers(1, 5)),
    )
    def test_chunked_stream_is_returned_whole(
        self, data: bytes, sizes: list[int]
    ) -> None:
        buffer = events.EventBuffer()
        output = b""
        remaining = data
        for size in sizes:
            output += buffer.feed(remaining[:size])
            remaining = remaining[size:]
        output += buffer.feed(remaining)
        # The end of an event brings out the bytes that wait for it.
        output += buffer.feed(b"\n\n")
        self.assertEqual(data + b"\n\n", output)


class DatagramsTest(unittest.TestCase):
    """Datagrams of other versions or of unknown senders."""

    def setUp(self) -> None:
        """Subscribe the handlers of a host to their topics."""
        self.log = entry_fakes.RecordingLog()
        self.channel = datagrams.PeerChannel("a", ("127.0.0.1", 0), self.log)
        self.loads = loads.Loads("a", "region-1")
        self.channel.subscribe(loads.TOPIC, self.loads.receive_loads)
        self.channel.subscribe(loads.SUMS_TOPIC, self.loads.receive_sums)
        server_notices.exchange_notices(
            self.channel,
            entry_fakes.FakePeers("a", "ab"),
            entry_fakes.make_catalog(clock.read_time),
            server_status.ServerStatuses(self.log),
        )

    def test_infinite_sequence_is_rejected(self) -> None:
        """Guards against an error of the socket's callback."""
        for topic, rest in (
            (loads.TOPIC, "{}"),
            (loads.SUMS_TOPIC, '"region-1", {}, {}'),
        ):
            self.channel.datagram_received(
                f'["{topic}", "b", [1e400, {rest}]]'.encode(), ("b", 1)
            )
        self.assertEqual(["peer_message_rejected"] * 2, self.log.events)

    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=60),
            strategies.tuples(
                strategies.sampled_from(
                    (
                        loads.TOPIC,
                        loads.SUMS_TOPIC,
                        server_notices.LEAVING_TOPIC,
                    )
                ),
                strategies.sampled_from("ab"),
                JSON_VALUES,
            ).map(lambda message: json.dumps(message).encode()),
        )
    )
    def test_any_datagram_is_handled(self, data: bytes) -> None:
        self.channel.datagram_received(data, ("127.0.0.1", 1))
        self.loads.get_load("i-1")

    def test_too_deeply_nested_datagram_is_rejected(self) -> None:
        self.channel.datagram_received(b"[" * 50_000, ("127.0.0.1", 1))
        self.assertEqual(["peer_message_rejected"], self.log.events)


class SaltTest(unittest.TestCase):
    """Salts of cached context that other writers may have chosen."""

    @hypothesis.given(strategies.text(max_size=12))
    def test_any_salt_gives_a_version_or_value_error(self, salt: str) -> None:
        try:
            model, version, _ = context_stores.parse_salt(salt)
            self.assertIsInstance(model, str)
            self.assertIsInstance(version, int)
        except ValueError:
            # Documented for a salt of another format.
            return
