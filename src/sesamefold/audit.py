"""Audit trail of accepted edits."""

import json
import typing as t

import attrs

from sesamefold import configuration
from sesamefold import defaults

PAGE_PREFIX = "audit/"
MAX_AUTHOR_CHARACTERS = 64

# The trail identifies a token hash by its first digits only.
_HASH_DIGITS = 8

Change = t.Tuple[str, t.Any, t.Any]  # path, old and new value (None: absent)
Sections = t.Mapping[str, t.Mapping[str, t.Any]]


def _describe(record: t.Any) -> t.Optional[t.Dict[str, t.Any]]:
    if record is None:
        return None
    fields = attrs.asdict(record)
    del fields["name"]
    if "token_sha256" in fields:
        fields["token_sha256"] = fields["token_sha256"][:_HASH_DIGITS] + "..."
    return fields


def list_changes(old: Sections, new: Sections) -> t.Iterator[Change]:
    """Yield the differences of records by section and name.

    A record that was added or removed is one change, a changed field of a
    record another one each.
    """
    for section in configuration.SECTIONS:
        before, after = old.get(section, {}), new.get(section, {})
        for name in sorted(before.keys() | after.keys()):
            first, second = before.get(name), after.get(name)
            if first == second:
                continue
            path = f"{section}.{name}"
            old_fields, new_fields = _describe(first), _describe(second)
            if old_fields is None or new_fields is None:
                yield path, old_fields, new_fields
                continue
            for field in new_fields:
                if getattr(first, field) != getattr(second, field):
                    yield f"{path}.{field}", old_fields[field], new_fields[
                        field
                    ]


def list_other_changes(
    old_regions: t.Sequence[str],
    regions: t.Sequence[str],
    old_policy: t.Mapping[str, t.Any],
    policy: t.Mapping[str, t.Any],
) -> t.Iterator[Change]:
    """Yield the differences of regions and policy."""
    for name in sorted(set(old_regions) ^ set(regions)):
        added = name in regions
        yield f"regions.{name}", None if added else {}, {} if added else None
    for key in sorted(old_policy.keys() | policy.keys()):
        if old_policy.get(key) != policy.get(key):
            yield f"policy.{key}", old_policy.get(key), policy.get(key)


def build_entry(
    revision: int,
    edit_id: str,
    author: str,
    time: float,
    changes: t.Iterable[Change],
    text: str,
) -> t.Dict[str, t.Any]:
    """Return the audit entry of an edit as a JSON object.

    Changes are added until the entry has `defaults.AUDIT_ENTRY_BYTES`; the
    others are counted in `omitted`. `text` is the digest of the manifest of
    the operator's text; `time` is in Unix seconds.
    """
    entry: t.Dict[str, t.Any] = {
        "revision": revision,
        "previous": revision - 1,
        "edit_id": edit_id,
        "author": author[:MAX_AUTHOR_CHARACTERS],
        "time": time,
        "text": text,
        "changes": [],
        "omitted": 0,
    }
    # Ten digits more for the count of omitted changes.
    size = len(encode([entry])) + 10
    for change in changes:
        size += len(encode([list(change)]))
        if entry["omitted"] or size > defaults.AUDIT_ENTRY_BYTES:
            entry["omitted"] += 1
        else:
            entry["changes"].append(list(change))
    return entry


def encode(entries: t.Sequence[t.Any]) -> bytes:
    """Return entries as JSON."""
    return json.dumps(entries, sort_keys=True, separators=(",", ":")).encode()


def decode(data: bytes) -> t.List[t.Dict[str, t.Any]]:
    """Return the entries that `encode` wrote."""
    return json.loads(data)
