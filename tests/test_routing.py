"""Tests of the choice of a backend server."""

import collections
import random
import unittest

from sesamefold import routing
from sesamefold import settings
from sesamefold.wire import control_pb2
from tests import gateway_fakes

BLOCKS = ("b1", "b2", "b3")


def make_holder(kind, name, tier="memory", length=1_000_000):
    return control_pb2.Holder(kind=kind, name=name, tier=tier, length=length)


def make_query(holders=(), link_cost=0.0):
    """Return a query over three blocks of 1,000 tokens."""
    holders_by_block = collections.defaultdict(list)
    for block, holder in holders:
        holders_by_block[block].append(holder)
    return routing.Query(
        model="model-a",
        version="v1",
        prompt_tokens=3100,
        block_tokens=1000,
        blocks=BLOCKS,
        holders=holders_by_block,
        stores={
            "near": routing.StoreEndpoint("http://near", True),
            "far": routing.StoreEndpoint("http://far", False),
        },
        seconds_per_link_megabyte=link_cost,
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

    def test_choice_has_shortest_time_to_first_token(self):
        """Guards against a choice with a longer time to the first token."""
        build = gateway_fakes.build_backend
        cached = [(block, make_holder("engine", "a")) for block in BLOCKS]
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
                "own runs that are not reported yet",
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

    def test_imports_only_when_faster_than_recomputation(self):
        """Guards against imports that are slower than recomputation."""
        near, far = make_holder("store", "near"), make_holder("store", "far")
        slow = make_holder("store", "near", "disk", 100_000_000)
        small = make_holder("store", "far", length=10_000)
        table = [
            ("all near", [(b, near) for b in BLOCKS], 0.0, 3, 0),
            ("gap at the start", [("b2", near), ("b3", near)], 0.0, 0, 0),
            (
                "engine, then store",
                [("b1", make_holder("engine", "a")), ("b2", near)],
                0.0,
                1,
                1000,
            ),
            ("slow disk", [(b, slow) for b in BLOCKS], 0.0, 0, 0),
            ("far and large", [(b, far) for b in BLOCKS], 0.0, 0, 0),
            ("far and small", [(b, small) for b in BLOCKS], 0.0, 3, 0),
            (
                "far with a high link cost",
                [(b, small) for b in BLOCKS],
                100.0,
                0,
                0,
            ),
            ("unknown store", [("b1", make_holder("store", "x"))], 0.0, 0, 0),
        ]
        for name, holders, link_cost, imports, cached in table:
            with self.subTest(name):
                choice = self.choose(
                    make_query(holders, link_cost),
                    [gateway_fakes.build_backend("a")],
                )
                self.assertEqual(imports, len(choice.imports))
                self.assertEqual(cached, choice.cached_tokens)

    def test_ties_are_broken_at_random(self):
        """Guards against a tie that one backend server always wins."""
        backends = [gateway_fakes.build_backend(name) for name in "abc"]
        generator = random.Random(3)
        counts = collections.Counter(
            routing.choose_backend(
                make_query(), backends, {}, routing.Rates(), generator
            ).backend.name
            for _ in range(300)
        )
        self.assertGreater(min(counts.values()), 60)

    def test_each_placement_follows_its_rule(self):
        """Guards against placements that ignore their rule.

        Of all placements, only "estimate" imports blocks from stores.
        """
        build = gateway_fakes.build_backend
        holders = [
            *((block, make_holder("store", "near")) for block in BLOCKS),
            ("b1", make_holder("engine", "a")),
            ("b1", make_holder("engine", "b")),
            ("b2", make_holder("engine", "b")),
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
                        # More own runs than the three reported ones.
                        {"c": 4},
                        routing.Rates(),
                        random.Random(seed),
                        routing.PLACEMENTS[name],
                    )[0]
                    for seed in range(20)
                ]
                self.assertEqual(expected, {c.backend.name for c in chosen})
                self.assertEqual(imports, any(c.imports for c in chosen))
