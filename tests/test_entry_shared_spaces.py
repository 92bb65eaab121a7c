"""Since when the present shared space is known to be in force."""

import unittest

import attrs

from sesamefold.entry import shared_spaces
from tests import test_entry_catalog

SETTLING = shared_spaces.SETTLING_SECONDS
GAP = shared_spaces.MAX_CONFIRMATION_GAP_SECONDS


class SharedSpaceTest(unittest.TestCase):
    """Confirmations of configurations that isolate customers."""

    def setUp(self) -> None:
        """Confirm a first configuration that isolates nobody."""
        self.space = shared_spaces.SharedSpace()
        self.version = 0
        self.read(1000.0)
        self.settled_at = 1000.0 + SETTLING

    def read(self, now: float, *isolated: str) -> None:
        """Read a new configuration and confirm it at once."""
        self.version += 1
        self.space.record_configuration(
            attrs.evolve(
                test_entry_catalog.make_configuration(self.version),
                isolated_customers=frozenset(isolated),
            ),
            now,
        )
        self.space.confirm(now, now)

    def test_a_host_that_starts_waits_until_the_space_has_settled(
        self,
    ) -> None:
        self.assertEqual(float("inf"), self.space.get_fetch_start())
        self.space.confirm(self.settled_at - 0.1, self.settled_at)
        self.assertEqual(float("inf"), self.space.get_fetch_start())
        self.space.confirm(self.settled_at, self.settled_at)
        self.assertEqual(self.settled_at, self.space.get_fetch_start())

    # Without the version, each outage of the store would end with a time in
    # which nothing is fetched.
    def test_an_outage_without_a_change_breaks_nothing(self) -> None:
        self.space.confirm(1060.0, 1060.0)
        self.assertEqual(self.settled_at, self.space.get_fetch_start())

    def test_configurations_in_succession_break_nothing(self) -> None:
        for now in (1002.0, 1002.1, 1004.0):
            self.read(now)
        self.assertEqual(self.settled_at, self.space.get_fetch_start())

    # Guards against a space that is taken for unchanged although another one
    # was in force in between, so that its context is freed too early.
    def test_a_missed_configuration_begins_the_time_anew(self) -> None:
        self.space.confirm(1060.0, 1060.0)
        self.read(1060.1 + GAP)
        self.assertEqual(1060.1 + GAP, self.space.since)
        self.assertEqual(float("inf"), self.space.get_fetch_start())

    def test_another_space_begins_the_time_anew(self) -> None:
        self.space.confirm(1010.0, 1010.0)
        self.read(1010.5, "b")
        self.read(1011.0)
        self.assertEqual(1011.0, self.space.since)
