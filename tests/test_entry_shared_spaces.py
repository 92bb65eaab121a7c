"""Since when the present shared space is known to be in force."""

import typing as t
import unittest

import attrs

from sesamefold.entry import shared_spaces
from tests import test_entry_catalog

SETTLING = shared_spaces.SETTLING_SECONDS
GAP = shared_spaces.MAX_CONFIRMATION_GAP_SECONDS


class SharedSpaceTest(unittest.TestCase):
    """Confirmations of configurations that isolate customers."""

    def setUp(self) -> None:
        """Read a first configuration that isolates nobody."""
        self.space = shared_spaces.SharedSpace()
        self.version = 0
        self.read(1000.0)

    def read(self, now: float, *isolated: str, complete: bool = False) -> None:
        """Read a new configuration and confirm it at once."""
        self.version += 1
        self.space.record_configuration(
            attrs.evolve(
                test_entry_catalog.make_configuration(self.version),
                isolated_customers=frozenset(isolated),
            ),
            now,
        )
        self.space.confirm(now, now, complete)

    def get_times(self) -> t.Tuple[float, float]:
        """Return what fetching and freeing count from."""
        return self.space.adopted_at, self.space.unbroken_since

    def test_a_host_that_starts_counts_from_its_first_read(self) -> None:
        self.assertEqual((1000.0, 1000.0), self.get_times())
        self.assertEqual(1000.0 + SETTLING, self.space.get_fetch_start())

    # Guards against a time without fetches after each outage of the store.
    def test_an_outage_without_a_change_breaks_nothing(self) -> None:
        self.space.confirm(1060.0, 1060.0, False)
        self.assertEqual((1000.0, 1000.0), self.get_times())

    def test_configurations_that_are_all_read_break_nothing(self) -> None:
        for now in (1002.0, 1002.1, 1060.0):
            self.read(now, complete=True)
        self.assertEqual((1000.0, 1000.0), self.get_times())

    # Guards against a space that is taken for unchanged although another one
    # was in force in between, so that its context is freed too early.
    def test_a_configuration_may_be_missed_beside_the_latest(self) -> None:
        self.read(1002.0)
        self.assertEqual((1000.0, 1002.0), self.get_times())

    # Guards against fetches of what hosts free that have read, and held for
    # long enough, a configuration that this one has missed.
    def test_a_long_gap_may_hide_a_time_in_which_others_free(self) -> None:
        self.read(1000.0 + GAP)
        self.assertEqual((1000.0, 1000.0 + GAP), self.get_times())
        now = 1000.1 + 2 * GAP
        self.read(now)
        self.assertEqual((now, now), self.get_times())

    def test_another_space_begins_both_times_anew(self) -> None:
        self.read(1010.5, "b", complete=True)
        self.read(1011.0, complete=True)
        self.assertEqual((1011.0, 1011.0), self.get_times())
