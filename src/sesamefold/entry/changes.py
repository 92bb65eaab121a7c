"""Changes that an entry host reads from the platform store."""

import typing as t

import attrs

from sesamefold.entry import topology


@attrs.frozen
class ConfigurationAccepted:
    """A configuration written by the operator.

    `bytes` is the size of its record and `decode_seconds` the time that
    decoding it took. They do not count in comparisons.
    """

    configuration: topology.Configuration
    bytes: t.Optional[int] = attrs.field(default=None, eq=False)
    decode_seconds: t.Optional[float] = attrs.field(default=None, eq=False)


@attrs.frozen
class EvacuationRequested:
    """A data centre whose backend servers must receive no new requests."""

    data_centre: str


@attrs.frozen
class EvacuationEnded:
    """A data centre whose evacuation was ended."""

    data_centre: str


@attrs.frozen
class TargetWeightsChanged:
    """The version of a model's weights that its engines should load."""

    model: str
    version: int


@attrs.frozen
class RolloutOrdered:
    """An order to move a service's requests to servers of another version.

    `seconds` is the time from the order within which the rollout is to end.
    `revision` is that of the record, which tells orders apart.
    """

    service: str
    target: str
    seconds: float
    revision: int


@attrs.frozen
class RolloutWithdrawn:
    """The removal of the order to roll out a version of a service."""

    service: str


@attrs.frozen
class ServerReported:
    """A status report written by a backend server."""

    server: topology.Server


@attrs.frozen
class ServerRemoved:
    """A backend server that shut down, or whose report expired."""

    id: str


@attrs.frozen
class RecordRejected:
    """A record that cannot be decoded or has an unknown key."""

    key: str
    reason: str


@attrs.frozen
class HostRecordChanged:
    """A record written by an entry host; a `value` of None means removed."""

    key: str
    value: t.Optional[bytes]


@attrs.frozen
class OperatorRecord:
    """A record of the operator as it is in the store.

    A `value` of None means that the record was removed at `revision`.
    """

    key: str
    value: t.Optional[bytes]
    revision: int


Change = t.Union[
    ConfigurationAccepted,
    EvacuationRequested,
    EvacuationEnded,
    TargetWeightsChanged,
    RolloutOrdered,
    RolloutWithdrawn,
    ServerReported,
    ServerRemoved,
    RecordRejected,
]


@attrs.frozen
class Batch:
    """Changes up to a revision of the platform store.

    `host_record_changes` holds the changes of records that the entry hosts
    write themselves, and `operator_records` the records of the operator from
    which the changes in `changes` were decoded.
    """

    changes: t.Tuple[Change, ...]
    revision: int
    host_record_changes: t.Tuple[HostRecordChanged, ...] = ()
    operator_records: t.Tuple[OperatorRecord, ...] = ()
