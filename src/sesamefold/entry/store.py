"""Interfaces of the platform store, as used by the entry host."""

import enum
import typing as t

import attrs

from sesamefold.entry import changes

# Keys of the records that the entry hosts write themselves.
HOSTS_PREFIX = "sesamefold/"
# Keys of the membership records, one per entry host.
MEMBERS_PREFIX = f"{HOSTS_PREFIX}members/"


class Scope(enum.Enum):
    """The records that a read of the store covers.

    `FLEET` stands for those of the backend servers and the entry hosts, which
    are small and change continuously, `OPERATOR` for those of the operator,
    which may be large and change seldom.
    """

    ALL = "all"
    FLEET = "fleet"
    OPERATOR = "operator"


class RecordSource(t.Protocol):
    """Read access to all records of the platform store.

    All revisions are positions (`positions`): they rise also when the store
    returns from a copy.

    They are written by the operator, the backend servers and the entry hosts.
    Methods raise `exceptions.PlatformUnavailable` if the store does not
    answer in time.
    """

    async def read_all(self, scope: Scope = Scope.ALL) -> changes.Batch:
        """Return all records of a scope, as of the store's last revision."""

    async def watch(
        self, after: int, seconds: float, scope: Scope = Scope.ALL
    ) -> changes.Batch:
        """Return the changes after a revision, waiting up to `seconds`.

        Raises `exceptions.HistoryLost` if the store no longer has them all or
        has returned from a copy since.
        """

    async def decode(
        self, records: t.Iterable[changes.OperatorRecord]
    ) -> t.Tuple[changes.Change, ...]:
        """Return the changes that records of the operator stand for."""


@attrs.frozen
class HostRecord:
    """A record written by an entry host.

    `revision` is the revision of the last write, `created` that of the first.
    The record is removed when its `lease` ends, unless that is 0.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.frozen
class Write:
    """A value to write; a `lease` of 0 means that it does not expire."""

    key: str
    value: bytes
    lease: int = 0


class HostRecordStore(t.Protocol):
    """Access to the records of the entry hosts and to their leases.

    Revisions are positions (`positions`). A lease of an earlier era has ended.

    Methods raise `exceptions.PlatformUnavailable` if the call failed without
    an effect. Methods that write raise `exceptions.OutcomeUnknown` if the
    call may have taken effect.
    """

    async def list_records(self, prefix: str) -> t.List[HostRecord]:
        """Return the records whose keys begin with `prefix`."""

    async def write(
        self, expected: t.Mapping[str, int], writes: t.Sequence[Write]
    ) -> int:
        """Write all records or none, and return their revision.

        `expected` maps keys to the revisions that they must have, 0 for a key
        that must not exist. Raises `exceptions.VersionConflict` if a key has
        another revision and `exceptions.LeaseExpired` if a lease has ended.
        """

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease with a duration of `seconds`."""

    async def renew_lease(self, lease: int) -> None:
        """Restart a lease's duration; raises `exceptions.LeaseExpired`."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its records."""
