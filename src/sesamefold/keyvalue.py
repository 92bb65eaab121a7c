"""The platform's key-value service."""

import typing as t

import attrs

from sesamefold import deadline as deadlines


@attrs.frozen
class Entry:
    """A value with its version.

    Versions of a key are 1, 2, 3 ...; 0 stands for a key that does not exist.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Lease:
    """A lease of the service; keys written under it vanish when it lapses."""

    id: str
    deadline: deadlines.Deadline


class KeyValue(t.Protocol):
    """Compare-and-swap, leases and watches.

    Every method raises `exceptions.PlatformUnavailable` when the call did
    certainly not take effect, and writes raise `exceptions.OutcomeUnknown`
    when it may have.
    """

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Return the entry of `key`, None when it does not exist."""

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        """Write `value` and return the new version.

        `expected` is the version that the key must have (0: must not exist),
        None writes in any case. Raises `exceptions.VersionConflict`.
        """

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        """Remove `key`; raises `exceptions.VersionConflict`."""

    async def list_keys(
        self, prefix: str, deadline: deadlines.Deadline
    ) -> t.List[str]:
        """Return the keys that start with `prefix`, sorted."""

    async def watch(
        self, key: str, after: int, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Wait until the version of `key` differs from `after`.

        Returns the entry, or None when the deadline passes first or the key
        does not exist.
        """

    async def grant_lease(
        self, seconds: float, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a new lease that lapses `seconds` from now."""

    async def renew_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> Lease:
        """Extend a lease; raises `exceptions.LeaseExpired`."""

    async def revoke_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> None:
        """End a lease and remove its keys."""
