"""Highest-random-weight (rendezvous) hashing."""

import hashlib
import typing as t


def rank_owners(key: str, names: t.Iterable[str]) -> t.List[str]:
    """Return `names` ordered by their weight for `key`, highest first.

    Hosts that hold the same names agree on the order without messages, and
    the loss of one name moves only the keys that it owned.
    """

    def weigh(name: str) -> bytes:
        return hashlib.blake2b(
            f"{key}\0{name}".encode(), digest_size=8
        ).digest()

    return sorted(set(names), key=lambda n: (weigh(n), n), reverse=True)


def choose_owner(key: str, names: t.Iterable[str]) -> t.Optional[str]:
    """Return the name with the highest weight for `key`, if there is one."""
    return next(iter(rank_owners(key, names)), None)
