"""Positions in the history of the platform's store.

A store that is restored from a copy goes back to an earlier revision and gives
out the later ones again, for other changes. Each time it begins a new era. A
position has both in one number, so that positions of a later era are greater
than all earlier ones, and a position serves as a fencing token.
"""

# Revisions of an era. Positions of the first 32 eras are exact in JSON, whose
# numbers have 53 bits, and those of all eras in whole numbers of 64 bits.
_REVISIONS_PER_ERA = 2**48
MAX_ERA = 2**14 - 1


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision.

    Raises `ValueError` if the era or the revision is out of range.

        make_position(0, 17) == 17
    """
    if not 0 <= era <= MAX_ERA or not 0 <= revision < _REVISIONS_PER_ERA:
        raise ValueError(f"revision {revision} of era {era} is out of range")
    return era * _REVISIONS_PER_ERA + revision


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position // _REVISIONS_PER_ERA


def get_revision(position: int) -> int:
    """Return the revision of a position within its era."""
    return position % _REVISIONS_PER_ERA
