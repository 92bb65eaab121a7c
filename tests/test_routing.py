"""Tests of the selection of a backend server."""

import collections
import random
import unittest

from sesamefold import routing
from sesamefold import settings
from sesamefold.wire import control_pb2
from tests import gateway_fakes

BLOCKS = ("b1", "b2", "b3")


def hold(kind, name, tier="memory", length=1_000_000):
    return control_pb2.Holder(kind=kind, name=name, tier=tier, length=length)


def make_query(holders=(), price=0.0):
    """Return a query over three blocks of 1,000 tokens."""
    found = collections.defaultdict(list)
    for block, holder in holders:
        found[block].append(holder)
    return routing.Query(
        model="model-a",
        version="v1",
        prompt_tokens=3100,
        block_tokens=1000,
        blocks=BLOCKS,
        holders=found,
        stores={
            "near": routing.StoreEndpoint("http://near", True),
            "far": routing.StoreEndpoint("http://far", False),
        },
        seconds_per_link_megabyte=price,
    )


class RoutingTest(unittest.TestCase):
    def choose(self, query, backends, in_flight=None, seed=1):
        return routing.choose_backend(
            query,
            backends,
            in_flight or {},
            routing.Rates(),
            random.Random(seed),
        )

    def test_choice(self):
        """Guards against longer waits for the first token than needed."""
        build = gateway_fakes.build_backend
        cached = [(block, hold("engine", "a")) for block in BLOCKS]
        table = [
            ("cached", cached, [build("a"), build("b")], {}, "a"),
            (
                "cached but long queue",
                cached,
                [build("a", running=8, queued=8), build("b")],
                {},
                "b",
            ),
            (
                "own runs that no report has yet",
                [],
                [build("a"), build("b")],
                {"a": 8},
                "b",
            ),
            (
                "warm before cold",
                [],
                [build("a", state="cold"), build("b")],
                {},
                "b",
            ),
            (
                "leaving, down and other version",
                cached,
                [
                    build("a", state="leaving"),
                    build("c", state="down"),
                    build("d", versions=["model-a@v2"]),
                    build("e", versions=["model-b@v1"]),
                    build("b", queued=100),
                ],
                {},
                "b",
            ),
        ]
        for name, holders, backends, in_flight, expected in table:
            for seed in range(5):
                with self.subTest(name, seed=seed):
                    choice = self.choose(
                        make_query(holders), backends, in_flight, seed
                    )
                    self.assertEqual(expected, choice.backend.name)
        self.assertIsNone(self.choose(make_query(), []))

    def test_imports(self):
        """Guards against imports that are slower than recomputation."""
        near, far = hold("store", "near"), hold("store", "far")
        slow = hold("store", "near", "disk", 100_000_000)
        small = hold("store", "far", length=10_000)
        table = [
            ("all near", [(b, near) for b in BLOCKS], 0.0, 3, 0),
            ("gap at the start", [("b2", near), ("b3", near)], 0.0, 0, 0),
            (
                "engine, then store",
                [("b1", hold("engine", "a")), ("b2", near)],
                0.0,
                1,
                1000,
            ),
            ("slow disk", [(b, slow) for b in BLOCKS], 0.0, 0, 0),
            ("far and large", [(b, far) for b in BLOCKS], 0.0, 0, 0),
            ("far and small", [(b, small) for b in BLOCKS], 0.0, 3, 0),
            ("far and dear", [(b, small) for b in BLOCKS], 100.0, 0, 0),
            ("unknown store", [("b1", hold("store", "x"))], 0.0, 0, 0),
        ]
        for name, holders, price, imports, cached in table:
            with self.subTest(name):
                choice = self.choose(
                    make_query(holders, price),
                    [gateway_fakes.build_backend("a")],
                )
                self.assertEqual(imports, len(choice.imports))
                self.assertEqual(cached, choice.cached_tokens)

    def test_ties_are_spread(self):
        """Guards against a server that gets all requests of a tie."""
        backends = [gateway_fakes.build_backend(name) for name in "abc"]
        generator = random.Random(3)
        counts = collections.Counter(
            routing.choose_backend(
                make_query(), backends, {}, routing.Rates(), generator
            ).backend.name
            for _ in range(300)
        )
        self.assertGreater(min(counts.values()), 60)

    def test_placements(self):
        """Guards against baselines that import or ignore their rule."""
        build = gateway_fakes.build_backend
        holders = [
            *((block, hold("store", "near")) for block in BLOCKS),
            ("b1", hold("engine", "a")),
            ("b1", hold("engine", "b")),
            ("b2", hold("engine", "b")),
        ]
        backends = [
            build("a", running=1),
            build("b", running=6),
            build("c", running=3),
        ]
        table = [
            ("random", {"a", "b", "c"}, False),
            ("least_loaded", {"a"}, False),
            ("affinity", {"b"}, False),
            ("estimate", {"a"}, True),
        ]
        self.assertEqual(settings.PLACEMENTS, tuple(routing.PLACEMENTS))
        for name, expected, imports in table:
            with self.subTest(name):
                chosen = [
                    routing.rank_backends(
                        make_query(holders),
                        backends,
                        # Reports lag behind the gateway's own runs.
                        {"c": 4},
                        routing.Rates(),
                        random.Random(seed),
                        routing.PLACEMENTS[name],
                    )[0]
                    for seed in range(20)
                ]
                self.assertEqual(expected, {c.backend.name for c in chosen})
                self.assertEqual(imports, any(c.imports for c in chosen))
