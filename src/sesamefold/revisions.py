"""Revisions of the configuration in the key-value service."""

import itertools
import json
import typing as t
import zlib

import attrs

from sesamefold import configuration

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/chunk/"


@attrs.frozen
class Head:
    """What the key `config/head` holds.

    `sections` maps a section to the digests of its chunks in order; `text`
    holds the digests of the operator's text. `audit` has the latest entries
    as JSON objects, oldest first; `pages` the digests of older pages.
    """

    revision: int
    edit_id: str
    author: str
    changed_at: float  # Unix seconds
    sections: t.Mapping[str, t.Tuple[str, ...]]
    regions: t.Tuple[str, ...] = ()
    policy: t.Mapping[str, float] = attrs.field(factory=dict)
    text: t.Tuple[str, ...] = ()
    audit: t.Tuple[t.Mapping[str, t.Any], ...] = ()
    pages: t.Tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the head as JSON."""
        return json.dumps(
            attrs.asdict(self), sort_keys=True, separators=(",", ":")
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Head":
        """Return the head that `encode` wrote."""
        raw = json.loads(data)
        known = {field.name for field in attrs.fields(cls)}
        return cls(
            **{
                key: tuple(value) if isinstance(value, list) else value
                for key, value in raw.items()
                if key in known
            }
        )

    def list_digests(self, customers: bool) -> t.List[str]:
        """Return the digests that a host needs, with or without customers."""
        return list(
            itertools.chain.from_iterable(
                digests
                for section, digests in self.sections.items()
                if customers or section != "customers"
            )
        )


def build_configuration(
    head: Head, chunks: t.Mapping[str, bytes], customers: bool
) -> configuration.Configuration:
    """Return the configuration of `head`.

    `chunks` maps digests to the zlib-compressed JSON records as stored; a
    digest that is missing raises KeyError.
    """
    sections = {
        section: {
            record.name: record
            for digest in digests
            for record in configuration.decode_records(
                section, zlib.decompress(chunks[digest])
            )
        }
        for section, digests in head.sections.items()
        if section in configuration.SECTIONS
        and (customers or section != "customers")
    }
    return configuration.Configuration(
        revision=head.revision,
        regions=head.regions,
        policy=configuration.Policy(**head.policy),
        **sections,
    )
