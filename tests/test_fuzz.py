"""Decoders of what comes from outside, with generated input."""

import json
import unittest

import hypothesis
from hypothesis import strategies
import multidict

from sesamefold.entry import changes
from sesamefold.entry import context_stores
from sesamefold.entry import datagrams
from sesamefold.entry import events
from sesamefold.entry import loads
from sesamefold.entry import requests
from sesamefold import exceptions
from sesamefold.platform import headers
from sesamefold.platform import records
from sesamefold.platform import wire
from tests import entry_fakes

# The same input in each run; without a time limit, which load would exceed.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, max_examples=200
)
hypothesis.settings.load_profile("repeatable")

NAMES = (
    wire.REQUEST_ID,
    wire.DEADLINE,
    wire.API_KEY,
    wire.MODEL,
    wire.TOKENS,
    wire.PROMPT_PARTS,
    wire.LAST_EVENT,
    wire.OUTPUT_ESTIMATE,
    wire.CUSTOMER,
    wire.CACHE_SALT,
    wire.SERVER_LOAD,
    wire.SEAL,
    "Connection",
    "Content-Length",
    "X-Other",
)
NUMBERS = strategies.one_of(
    strategies.integers(-5, 10**6).map(str),
    strategies.sampled_from(("", ".", "1.5", "-1", "²", "٣", "1e9", "nan")),
    strategies.integers(300, 5000).map(lambda count: "9" * count),
)
VALUES = strategies.one_of(
    strategies.text(strategies.characters(codec="utf-8"), max_size=30),
    strategies.lists(NUMBERS, max_size=4).map(",".join),
    strategies.lists(
        strategies.tuples(strategies.sampled_from("ab-:"), NUMBERS).map(
            ":".join
        ),
        max_size=4,
    ).map(",".join),
)
HEADERS = strategies.lists(
    strategies.tuples(strategies.sampled_from(NAMES), VALUES), max_size=12
).map(multidict.CIMultiDict)
PAIRS = strategies.lists(NUMBERS, min_size=2, max_size=2).map(",".join)
PARTS = strategies.lists(NUMBERS.map("a:{}".format), max_size=3).map(",".join)
# Requests of which only the numbers are in doubt.
PROMPTS = strategies.fixed_dictionaries(
    {
        wire.REQUEST_ID: strategies.just("r-1"),
        wire.MODEL: strategies.just("m"),
        wire.TOKENS: PAIRS,
        wire.PROMPT_PARTS: PARTS,
    },
    optional={
        wire.DEADLINE: NUMBERS,
        wire.OUTPUT_ESTIMATE: NUMBERS,
        "Content-Length": NUMBERS,
        wire.SERVER_LOAD: strategies.lists(
            NUMBERS, min_size=3, max_size=3
        ).map(",".join),
    },
).map(multidict.CIMultiDict)
JSON = strategies.recursive(
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
KEYS = ("op/config", "op/version/m", "op/evacuate/z", "servers/i-1", "op/x")
ENTRY = {
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
    """Headers of callers and servers."""

    @hypothesis.given(strategies.one_of(HEADERS, PROMPTS))
    def test_a_request_is_read_or_refused(
        self, found: "multidict.CIMultiDict[str]"
    ) -> None:
        codec = headers.HeaderCodec()
        try:
            head = codec.read_request(multidict.CIMultiDictProxy(found))
        except exceptions.MalformedRequest:
            return
        for name in (wire.CUSTOMER, wire.CACHE_SALT, wire.API_KEY):
            self.assertNotIn(name, head.forwarded)
        added = requests.AddedHeaders("i-1", 1.0, "customer-1", 0)
        sent = codec.write_request(head, added)
        self.assertEqual(["customer-1"], sent.getall(wire.CUSTOMER))

    @hypothesis.given(
        strategies.one_of(HEADERS, PROMPTS), strategies.integers(100, 599)
    )
    def test_a_reply_is_read(
        self, found: "multidict.CIMultiDict[str]", status: int
    ) -> None:
        head = headers.HeaderCodec().read_reply(status, found)
        self.assertEqual(status, head.status)


class RecordsTest(unittest.TestCase):
    """Records of other writers."""

    @hypothesis.given(
        strategies.sampled_from(KEYS),
        strategies.one_of(
            strategies.binary(max_size=40),
            JSON.map(lambda body: json.dumps(body).encode()),
        ),
    )
    def test_any_record_is_a_change(self, key: str, value: bytes) -> None:
        self.assertIsNotNone(records.decode_record(key, value))

    @hypothesis.given(strategies.sampled_from(sorted(ENTRY)), JSON)
    def test_a_server_with_one_field_of_another_form(
        self, name: str, value: object
    ) -> None:
        body = json.dumps({**ENTRY, name: value}).encode()
        self.assertIsNotNone(records.decode_record("servers/i-1", body))

    def test_a_record_that_is_nested_too_deep(self) -> None:
        """Guards against a follower that ends by a foreign record."""
        for key in KEYS:
            change = records.decode_record(key, b"[" * 100_000)
            self.assertIsInstance(change, changes.RecordRejected)

    def test_addresses_that_name_no_port(self) -> None:
        for port in ("\u00b2", "0", "65536", "-1", "", "1.5"):
            body = json.dumps({**ENTRY, "address": f"127.0.0.1:{port}"})
            change = records.decode_record("servers/i-1", body.encode())
            self.assertIsInstance(change, changes.RecordRejected, port)


class EventsTest(unittest.TestCase):
    """Streams that arrive in pieces."""

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                (b"id: 1\n", b"id:2\r\n", b"data: x", b"\n", b"\r\n", b"\r")
            )
        ).map(b"".join),
        strategies.lists(strategies.integers(1, 5)),
    )
    def test_nothing_is_lost(self, data: bytes, sizes: list[int]) -> None:
        buffer = events.EventBuffer()
        whole = b""
        rest = data
        for size in sizes:
            whole += buffer.feed(rest[:size])
            rest = rest[size:]
        whole += buffer.feed(rest)
        self.assertEqual(data, whole + buffer.partial)


class DatagramsTest(unittest.TestCase):
    """Messages of other versions, or of nobody."""

    def setUp(self) -> None:
        """Subscribe the handlers of a host."""
        self.log = entry_fakes.RecordingLog()
        self.channel = datagrams.PeerChannel("a", ("127.0.0.1", 0), self.log)
        self.loads = loads.Loads("a", "region-1")
        self.channel.subscribe(loads.TOPIC, self.loads.receive_loads)
        self.channel.subscribe(loads.SUMS_TOPIC, self.loads.receive_sums)

    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=60),
            strategies.tuples(
                strategies.sampled_from((loads.TOPIC, loads.SUMS_TOPIC)),
                strategies.sampled_from("ab"),
                JSON,
            ).map(lambda message: json.dumps(message).encode()),
        )
    )
    def test_any_message(self, data: bytes) -> None:
        self.channel.datagram_received(data, ("127.0.0.1", 1))
        self.loads.get_load("i-1")

    def test_a_message_that_is_nested_too_deep(self) -> None:
        self.channel.datagram_received(b"[" * 50_000, ("127.0.0.1", 1))
        self.assertEqual(["peer_message_rejected"], self.log.events)


class SaltTest(unittest.TestCase):
    """Names of context that other writers may have chosen."""

    @hypothesis.given(strategies.text(max_size=12))
    def test_any_salt(self, salt: str) -> None:
        try:
            self.assertIsInstance(context_stores.parse_version(salt), int)
        except ValueError:
            # The documented error.
            return
