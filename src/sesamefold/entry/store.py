"""The platform's store, as the entry host uses it."""

import typing as t

import attrs

from sesamefold.entry import changes

# The entry hosts' own records; each keeps one of itself under the second.
HOSTS_PREFIX = "sesamefold/"
MEMBERS_PREFIX = f"{HOSTS_PREFIX}members/"


class RecordSource(t.Protocol):
    """Records of the operator, the backend servers and the entry hosts.

    Methods raise `exceptions.PlatformUnavailable` when the store does not
    answer in time.
    """

    async def read_all(self) -> changes.Batch:
        """Return all records, as current as the store's head."""

    async def watch(self, after: int, seconds: float) -> changes.Batch:
        """Return the changes after a revision, waiting up to `seconds`.

        Raises `exceptions.HistoryLost`.
        """


@attrs.frozen
class HostRecord:
    """A record of the entry hosts themselves.

    `revision` is that of the last write, `created` that of the first. The
    record ends with its `lease`, if that is not 0.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.frozen
class Write:
    """A value to write, under a lease if it has one."""

    key: str
    value: bytes
    lease: int = 0


class HostRecordStore(t.Protocol):
    """The entry hosts' own records, and leases that end them.

    Methods raise `exceptions.PlatformUnavailable` when the call had no
    effect, and writes `exceptions.OutcomeUnknown` when they may have.
    """

    async def list_records(self, prefix: str) -> t.List[HostRecord]:
        """Return the records whose keys begin with `prefix`."""

    async def write(
        self, expected: t.Mapping[str, int], writes: t.Sequence[Write]
    ) -> int:
        """Write all records or none, and return their revision.

        `expected` are the revisions that keys must have, 0 for a key that
        must not exist. Raises `exceptions.VersionConflict` when one has
        another and `exceptions.LeaseExpired`.
        """

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease that ends `seconds` from now."""

    async def renew_lease(self, lease: int) -> None:
        """Extend a lease by its time; raises `exceptions.LeaseExpired`."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its records."""
