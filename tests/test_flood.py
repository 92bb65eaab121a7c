"""A short run of the floods, and tests of what generates them."""

import itertools
import unittest

from standins import endless_server
from tools import flood

# Seeds of interim responses and of small chunks.
SEEDS = (14, 25)
SECONDS = 2.0
CONNECTIONS = 24


class FloodTest(unittest.IsolatedAsyncioTestCase):
    async def test_look_ups_are_served_beside_floods(self) -> None:
        """Guards against a host that one server keeps from serving others."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = flood.FloodRun(seed, SECONDS, CONNECTIONS)
                result = await run.run()
                self.assertEqual(CONNECTIONS, result["floods"], result)
                self.assertTrue(result["held"], result)

    def test_same_seed_gives_the_same_flood(self) -> None:
        """Guards against a finding that its seed does not bring back."""
        for seed in range(20):
            first, second = (
                endless_server.generate_flood(seed) for _ in range(2)
            )
            self.assertEqual(first, second)

    def test_chunks_of_floods_are_well_formed(self) -> None:
        """Guards against floods that end for an error of the generator."""
        floods = [
            generated
            for generated in map(endless_server.generate_flood, range(60))
            if generated.chunk_bytes
        ]
        self.assertGreater(len(floods), 10)
        for generated in floods:
            for piece in itertools.islice(generated.iterate_pieces(), 2):
                rest = piece
                while rest:
                    line, _, rest = rest.partition(b"\r\n")
                    size = int(line.partition(b";")[0], 16)
                    self.assertEqual(b"\r\n", rest[size : size + 2])
                    rest = rest[size + 2 :]
