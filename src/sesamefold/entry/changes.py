"""Changes of what the platform tells an entry host."""

import typing as t

import attrs

from sesamefold.entry import topology


@attrs.frozen
class ConfigurationAccepted:
    """The operator's newest configuration."""

    configuration: topology.Configuration


@attrs.frozen
class EvacuationRequested:
    """A data centre whose backend servers must get no new requests."""

    data_centre: str


@attrs.frozen
class EvacuationEnded:
    """A data centre that may be used again."""

    data_centre: str


@attrs.frozen
class TargetWeightsChanged:
    """The version of a model's weights that its engines should have."""

    model: str
    version: int


@attrs.frozen
class ServerReported:
    """A backend server's report of itself."""

    server: topology.Server


@attrs.frozen
class ServerRemoved:
    """A backend server that left, or whose reports stopped."""

    id: str


@attrs.frozen
class RecordRejected:
    """A record that cannot be decoded, or is of an unknown kind."""

    key: str
    reason: str


@attrs.frozen
class HostRecordChanged:
    """A record of the entry hosts' own; `value` is None once it is removed."""

    key: str
    value: t.Optional[bytes]


Change = t.Union[
    ConfigurationAccepted,
    EvacuationRequested,
    EvacuationEnded,
    TargetWeightsChanged,
    ServerReported,
    ServerRemoved,
    RecordRejected,
]


@attrs.frozen
class Batch:
    """Changes up to a revision of the platform's store.

    `host_record_changes` are those of the entry hosts' own records.
    """

    changes: t.Tuple[Change, ...]
    revision: int
    host_record_changes: t.Tuple[HostRecordChanged, ...] = ()
