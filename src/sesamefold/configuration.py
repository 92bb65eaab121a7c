"""The operators' configuration as typed data."""

import json
import typing as t

import attrs

from sesamefold import defaults
from sesamefold import jsonvalues


@attrs.frozen
class DataCentre:
    """A data centre; `in_service` is false while operators have it out."""

    name: str
    region: str
    in_service: bool = True


def name_version(model: str, version: str) -> str:
    """Return "model@version"."""
    return f"{model}@{version}"


@attrs.frozen
class Model:
    """A model and the weight version that new requests use."""

    name: str
    version: str
    block_tokens: int = defaults.BLOCK_TOKENS

    @property
    def version_name(self) -> str:
        """Return "model@version", as engines name what they have loaded."""
        return name_version(self.name, self.version)


@attrs.frozen
class Group:
    """Backend servers of one data centre; the host list names the members.

    `kind` is "engine" (then `model` is set) or "service" (then `service`).
    """

    name: str
    data_centre: str
    kind: str
    model: str = ""
    service: str = ""
    checks_fencing: bool = False
    cold_limit: int = 1
    warm_limit: int = 16
    concurrent_loads: int = 2


@attrs.frozen
class Store:
    """A store host of a region, `address` as ip:port."""

    name: str
    region: str
    address: str


@attrs.frozen
class Service:
    """What callers address: a model service or a plain service.

    `repeatable` holds "METHOD path" patterns of a plain service; "*" matches
    any rest. Calls that match none are non-idempotent.
    """

    name: str
    kind: str  # "model" or "plain"
    model: str = ""
    depends_on: t.Tuple[str, ...] = ()
    repeatable: t.Tuple[str, ...] = ()


@attrs.frozen
class Customer:
    """A customer, with the SHA-256 of its bearer token in hex."""

    name: str
    token_sha256: str
    share: int = 1


@attrs.frozen
class Policy:
    """Weights of the routing decision."""

    seconds_per_link_megabyte: float = 0.0


SECTIONS: t.Dict[str, type] = {
    "data_centres": DataCentre,
    "models": Model,
    "groups": Group,
    "stores": Store,
    "services": Service,
    "customers": Customer,
}


@attrs.frozen
class Configuration:
    """One accepted revision, its sections keyed by name.

    Control daemons leave `customers` empty.
    """

    revision: int = 0
    regions: t.Tuple[str, ...] = ()
    data_centres: t.Mapping[str, DataCentre] = attrs.field(factory=dict)
    models: t.Mapping[str, Model] = attrs.field(factory=dict)
    groups: t.Mapping[str, Group] = attrs.field(factory=dict)
    stores: t.Mapping[str, Store] = attrs.field(factory=dict)
    services: t.Mapping[str, Service] = attrs.field(factory=dict)
    customers: t.Mapping[str, Customer] = attrs.field(factory=dict)
    policy: Policy = Policy()

    def is_in_service(self, data_centre: str) -> bool:
        """Return whether a data centre is known and not taken out."""
        found = self.data_centres.get(data_centre)
        return found is not None and found.in_service

    def find_groups(
        self, data_centre: str, model: str = "", service: str = ""
    ) -> t.List[Group]:
        """Return the groups of a data centre for a model or a service."""
        return [
            group
            for group in self.groups.values()
            if group.data_centre == data_centre
            and group.model == model
            and group.service == service
        ]


def encode_records(records: t.Iterable[t.Any]) -> bytes:
    """Return JSON of attrs records, sorted keys, without spaces."""
    return json.dumps(
        [attrs.asdict(record) for record in records],
        sort_keys=True,
        separators=(",", ":"),
    ).encode()


def decode_records(section: str, data: bytes) -> t.List[t.Any]:
    """Return the records of a section from the JSON of a chunk.

    Fields that this version does not know are ignored, so that hosts of two
    versions can run beside each other during a rolling replacement. Raises
    `TypeError` or `ValueError` for other data.
    """
    cls = SECTIONS[section]
    known = {field.name for field in attrs.fields(cls)}
    records = jsonvalues.decode(data)
    if not all(isinstance(record, dict) for record in records):
        raise TypeError("a record is no object")
    return [
        cls(
            **{
                key: tuple(value) if isinstance(value, list) else value
                for key, value in record.items()
                if key in known
            }
        )
        for record in records
    ]
