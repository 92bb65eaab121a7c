"""Tests of rendezvous hashing."""

import collections
import unittest

from sesamefold import rendezvous


class RendezvousTest(unittest.TestCase):
    def test_removed_host_reassigns_only_its_keys(self):
        """Guards against a reassignment of all shards when one host leaves."""
        names = [f"host-{index}" for index in range(9)]
        keys = [f"key-{index}" for index in range(2000)]
        before = {key: rendezvous.choose_owner(key, names) for key in keys}
        after = {key: rendezvous.choose_owner(key, names[1:]) for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual(
            {key for key in keys if before[key] == names[0]}, moved
        )

    def test_keys_are_distributed_evenly(self):
        """Guards against a host that owns most keys."""
        names = [f"host-{index}" for index in range(9)]
        counts = collections.Counter(
            rendezvous.choose_owner(f"key-{index}", names)
            for index in range(9000)
        )
        self.assertGreater(min(counts.values()), 800)
        self.assertLess(max(counts.values()), 1200)

    def test_no_hosts_have_no_owner(self):
        """Guards against an error while the membership is empty."""
        self.assertIsNone(rendezvous.choose_owner("key", []))
