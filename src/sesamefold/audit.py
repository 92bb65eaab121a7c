"""Entries of the audit trail of accepted edits."""

import json
import typing as t

import attrs

from sesamefold import configuration
from sesamefold import defaults

PAGE_PREFIX = "audit/"
MAX_AUTHOR_CHARACTERS = 64

# Hexadecimal digits of a token hash that the audit trail shows; the full hash
# is left out.
_TOKEN_HASH_DIGITS = 8

# Path, old value and new value; None stands for an absent value.
Change = t.Tuple[str, t.Any, t.Any]
# Records by section and name.
Sections = t.Mapping[str, t.Mapping[str, t.Any]]


def _to_dict(record: t.Any) -> t.Optional[t.Dict[str, t.Any]]:
    """Return the fields of a record without its name, with short hashes."""
    if record is None:
        return None
    fields = attrs.asdict(record)
    del fields["name"]
    if "token_sha256" in fields:
        fields["token_sha256"] = (
            fields["token_sha256"][:_TOKEN_HASH_DIGITS] + "..."
        )
    return fields


def list_record_changes(old: Sections, new: Sections) -> t.Iterator[Change]:
    """Yield the changes of records in the order of sections and names.

    A record that was added or removed is one change. For a changed record
    each changed field is one change.
    """
    for section in configuration.SECTIONS:
        before, after = old.get(section, {}), new.get(section, {})
        for name in sorted(before.keys() | after.keys()):
            old_record, new_record = before.get(name), after.get(name)
            if old_record == new_record:
                continue
            path = f"{section}.{name}"
            old_fields, new_fields = _to_dict(old_record), _to_dict(new_record)
            if old_fields is None or new_fields is None:
                yield path, old_fields, new_fields
                continue
            for field in new_fields:
                if getattr(old_record, field) != getattr(new_record, field):
                    yield f"{path}.{field}", old_fields[field], new_fields[
                        field
                    ]


def list_region_and_policy_changes(
    old_regions: t.Sequence[str],
    regions: t.Sequence[str],
    old_policy: t.Mapping[str, t.Any],
    policy: t.Mapping[str, t.Any],
) -> t.Iterator[Change]:
    """Yield the changes of regions and of the policy."""
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

    Changes are included as long as the entry fits into
    `defaults.AUDIT_ENTRY_BYTES`; the rest is only counted, in `omitted`.
    `text` is the digest of the manifest of the operator's text; `time` is in
    Unix seconds.
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
    # Reserves ten digits for the count of omitted changes.
    size = len(encode([entry])) + 10
    for change in changes:
        size += len(encode([list(change)]))
        if entry["omitted"] or size > defaults.AUDIT_ENTRY_BYTES:
            entry["omitted"] += 1
        else:
            entry["changes"].append(list(change))
    return entry


def encode(entries: t.Sequence[t.Any]) -> bytes:
    """Return entries as UTF-8 JSON."""
    return json.dumps(entries, sort_keys=True, separators=(",", ":")).encode()


def decode(data: bytes) -> t.List[t.Dict[str, t.Any]]:
    """Return the entries from the result of `encode`."""
    return json.loads(data)
