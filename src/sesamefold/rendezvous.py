"""Highest-random-weight (rendezvous) hashing."""

import hashlib
import typing as t


def rank_owners(key: str, names: t.Iterable[str]) -> t.List[str]:
    """Return `names` ordered by their weight for `key`, highest first.

    Hosts that hold the same names agree on the order without messages, and
    the loss of one name moves only the keys that it owned.
    """

    weigh = _make_weigher(key)
    return sorted(set(names), key=weigh, reverse=True)


def choose_owner(key: str, names: t.Iterable[str]) -> t.Optional[str]:
    """Return the name with the highest weight for `key`, if there is one."""
    return max(names, key=_make_weigher(key), default=None)


def _make_weigher(key: str) -> t.Callable[[str], t.Tuple[bytes, str]]:
    """Return the function that weighs names; equal weights go by name."""
    prefix = hashlib.blake2b(f"{key}\0".encode(), digest_size=8)

    def weigh(name: str) -> t.Tuple[bytes, str]:
        digest = prefix.copy()
        digest.update(name.encode())
        return digest.digest(), name

    return weigh
