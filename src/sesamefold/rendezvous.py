"""Highest-random-weight (rendezvous) hashing."""

import hashlib
import typing as t


def rank_owners(key: str, names: t.Iterable[str]) -> t.List[str]:
    """Return the distinct `names` by their weight for `key`, highest first.

    Hosts with the same set of names compute the same order without
    communication, and the removal of a name reassigns only its own keys.
    """

    compute_weight = _make_weight_function(key)
    return sorted(set(names), key=compute_weight, reverse=True)


def choose_owner(key: str, names: t.Iterable[str]) -> t.Optional[str]:
    """Return the name with the highest weight for `key`, if there is one."""
    return max(names, key=_make_weight_function(key), default=None)


def _make_weight_function(key: str) -> t.Callable[[str], t.Tuple[bytes, str]]:
    """Return the weight function of `key`; names break ties."""
    prefix = hashlib.blake2b(f"{key}\0".encode(), digest_size=8)

    def compute_weight(name: str) -> t.Tuple[bytes, str]:
        digest = prefix.copy()
        digest.update(name.encode())
        return digest.digest(), name

    return compute_weight
