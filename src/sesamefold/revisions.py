"""Revisions of the configuration in the key-value service."""

import asyncio
import contextlib
import functools
import hashlib
import itertools
import json
import random
import time
import typing as t
import uuid

import attrs

from sesamefold import audit
from sesamefold import chunking
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import jsonvalues
from sesamefold import keyvalue

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/chunk/"

# Largest revision, which messages between hosts can hold.
MAX_REVISION = 2**63 - 1
# Values read or written concurrently. The key-value service handles several
# hundred writes a second for all its users.
MAX_PARALLEL_CALLS = 4
# Bound of the search for unused chunks, which makes about 300 reads once in
# 64 edits.
_UNUSED_SEARCH_SECONDS = 5.0


@attrs.frozen
class Head:
    """Value of the key `config/head`, the latest revision.

    `sections` maps a section to the digests of its chunks in order; `text`
    holds the digests of the chunks of the operator's text. `audit` holds the
    latest audit entries as JSON objects, oldest first; `pages` holds the
    digests of the pages with older entries, oldest first.
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
        """Return the head as UTF-8 JSON."""
        return json.dumps(
            attrs.asdict(self), sort_keys=True, separators=(",", ":")
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Head":
        """Return the head from the result of `encode`.

        Unknown fields are ignored. Raises KeyError, TypeError or ValueError
        when the data is not a head.
        """
        raw = jsonvalues.decode(data)
        _check_head(raw)
        known = {field.name for field in attrs.fields(cls)}
        values = {
            key: tuple(value) if isinstance(value, list) else value
            for key, value in raw.items()
            if key in known
        }
        values["sections"] = {
            section: tuple(digests)
            for section, digests in raw["sections"].items()
        }
        return cls(**values)

    def list_digests(self, include_customers: bool) -> t.List[str]:
        """Return the digests of all sections, optionally with customers."""
        return list(
            itertools.chain.from_iterable(
                digests
                for section, digests in self.sections.items()
                if include_customers or section != "customers"
            )
        )


def _check_head(raw: t.Any) -> None:
    """Check the types of the fields that lead to the configuration.

    Raises `KeyError`, `TypeError` or `ValueError`.
    """
    fields = {"policy": {}, **raw}
    for name, expected_type in (
        ("revision", int),
        ("edit_id", str),
        ("author", str),
        ("sections", dict),
        ("policy", dict),
    ):
        value = fields[name]
        if not isinstance(value, expected_type) or isinstance(value, bool):
            raise TypeError(f"{name} has the wrong type")
    if not 0 < raw["revision"] <= MAX_REVISION:
        raise ValueError("the revision is out of range")
    if not all(
        isinstance(digests, list) and all(isinstance(d, str) for d in digests)
        for digests in raw["sections"].values()
    ):
        raise TypeError("a section holds no list of digests")


def build_configuration(
    head: Head,
    chunks: t.Mapping[str, bytes],
    include_customers: bool,
    cache: t.Optional[chunking.RecordCache] = None,
) -> configuration.Configuration:
    """Return the configuration of `head`.

    `chunks` maps digests to the zlib-compressed JSON records as stored. A
    digest that is missing there and in `cache` raises KeyError. Afterwards
    the cache holds only the records of the chunks of `head`.
    """
    record_cache = chunking.RecordCache() if cache is None else cache
    sections = {
        section: {
            record.name: record
            for digest in digests
            for record in record_cache.decode(section, digest, chunks)
        }
        for section, digests in head.sections.items()
        if section in configuration.SECTIONS
        and (include_customers or section != "customers")
    }
    record_cache.retain(head.list_digests(include_customers))
    policy_fields = {
        field.name for field in attrs.fields(configuration.Policy)
    }
    return configuration.Configuration(
        revision=head.revision,
        regions=head.regions,
        policy=configuration.Policy(
            **{k: v for k, v in head.policy.items() if k in policy_fields}
        ),
        **sections,
    )


@attrs.frozen
class Manifest:
    """Stored data of a revision that its audit entry refers to.

    `text` holds the digests of the chunks of its text, `replaced` those of
    the chunks of the previous revision that it no longer uses. The revision
    number makes the digest of the manifest unique.
    """

    revision: int
    text: t.Tuple[str, ...]
    replaced: t.Tuple[str, ...]

    def encode(self) -> bytes:
        """Return the manifest as UTF-8 JSON."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Return the manifest from the result of `encode`."""
        raw = jsonvalues.decode(data)
        return cls(
            raw["revision"], *map(tuple, (raw["text"], raw["replaced"]))
        )


async def _retry(
    call: t.Callable[[], t.Awaitable[t.Any]],
    deadline: deadlines.Deadline,
    errors: t.Tuple[t.Type[Exception], ...],
) -> t.Any:
    """Return the result of a call, retried after one of `errors`.

    Retries follow a random, exponentially growing delay; the last error is
    raised when the deadline leaves no time for another one.
    """
    max_delay_seconds = defaults.PLATFORM_BACKOFF
    while True:
        try:
            return await call()
        except errors:
            delay_seconds = random.uniform(0, max_delay_seconds)  # noqa: S311
            if deadline.remaining() <= delay_seconds:
                raise
            await asyncio.sleep(delay_seconds)
            max_delay_seconds = min(
                2 * max_delay_seconds, defaults.PLATFORM_BACKOFF_LIMIT
            )


_READ_RETRY_ERRORS = (exceptions.PlatformUnavailable,)
_WRITE_RETRY_ERRORS = (
    exceptions.PlatformUnavailable,
    exceptions.OutcomeUnknown,
)


async def _get_entry(
    store: keyvalue.KeyValue, key: str, deadline: deadlines.Deadline
) -> t.Optional[keyvalue.Entry]:
    """Return the entry of a key, None if there is none, with retries."""
    return await _retry(
        lambda: store.get(key, deadline.cap(defaults.PLATFORM_TIMEOUT)),
        deadline,
        _READ_RETRY_ERRORS,
    )


async def _read_versioned_head(
    store: keyvalue.KeyValue, deadline: deadlines.Deadline
) -> t.Tuple[int, t.Optional[Head]]:
    """Return the version of the head's key and the head.

    Before the first edit these are 0 and None.
    """
    entry = await _get_entry(store, HEAD_KEY, deadline)
    if entry is None:
        return 0, None
    return entry.version, Head.decode(entry.value)


async def read_head(
    store: keyvalue.KeyValue, deadline: deadlines.Deadline
) -> t.Optional[Head]:
    """Return the latest head, None before the first edit."""
    return (await _read_versioned_head(store, deadline))[1]


async def _run_parallel(
    calls: t.Iterable[t.Callable[[], t.Awaitable[t.Any]]],
) -> t.List[t.Any]:
    """Return the results of calls in order.

    At most `MAX_PARALLEL_CALLS` run at a time.
    """
    slots = asyncio.Semaphore(MAX_PARALLEL_CALLS)

    async def run(call: t.Callable[[], t.Awaitable[t.Any]]) -> t.Any:
        async with slots:
            return await call()

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run(call)) for call in calls]
    return [task.result() for task in tasks]


async def read_chunks(
    store: keyvalue.KeyValue,
    digests: t.Iterable[str],
    deadline: deadlines.Deadline,
) -> t.Dict[str, bytes]:
    """Return chunks by digest, each verified against its digest.

    Raises `exceptions.RevisionUnknown` for a chunk that does not exist and
    `exceptions.InternalError` for a damaged one.
    """

    async def read(digest: str) -> t.Tuple[str, bytes]:
        entry = await _get_entry(store, CHUNK_PREFIX + digest, deadline)
        if entry is None:
            raise exceptions.RevisionUnknown(f"chunk {digest} is not stored")
        if hashlib.sha256(entry.value).hexdigest() != digest:
            raise exceptions.InternalError(
                f"chunk {digest} does not match its digest"
            )
        return digest, entry.value

    return dict(
        await _unwrap_error_group(
            _run_parallel(
                functools.partial(read, digest)
                for digest in dict.fromkeys(digests)
            )
        )
    )


async def _unwrap_error_group(awaitable: t.Awaitable[t.Any]) -> t.Any:
    """Return a result; raise the first error of a group by itself."""
    try:
        return await awaitable
    except BaseExceptionGroup as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None


async def _read_text_chunks(
    store: keyvalue.KeyValue,
    digests: t.Sequence[str],
    deadline: deadlines.Deadline,
) -> str:
    """Return the text whose chunks have the given digests."""
    chunks = await read_chunks(store, digests, deadline)
    return b"".join(chunking.decompress(chunks[d]) for d in digests).decode()


async def _read_manifest(
    store: keyvalue.KeyValue, digest: str, deadline: deadlines.Deadline
) -> Manifest:
    """Return the manifest with the given digest."""
    chunks = await read_chunks(store, [digest], deadline)
    return Manifest.decode(chunking.decompress(chunks[digest]))


async def read_text(
    store: keyvalue.KeyValue,
    deadline: deadlines.Deadline,
    revision: t.Optional[int] = None,
) -> t.Tuple[int, str]:
    """Return a revision number and its operator's text.

    The default is the latest revision. Raises `exceptions.RevisionUnknown`
    when the revision is not in the history or no edit was accepted yet. A
    revision in the history can have lost its text: when the same text was
    replaced by an earlier edit, its chunks are deleted with the audit page
    of that edit.
    """
    head = await read_head(store, deadline)
    if head is None:
        raise exceptions.RevisionUnknown("no configuration was accepted yet")
    if revision is None or revision == head.revision:
        return head.revision, await _read_text_chunks(
            store, head.text, deadline
        )
    async for entry in read_history(store, head, deadline):
        if entry["revision"] == revision:
            manifest = await _read_manifest(store, entry["text"], deadline)
            return revision, await _read_text_chunks(
                store, manifest.text, deadline
            )
        if entry["revision"] < revision:
            break
    raise exceptions.RevisionUnknown(
        f"revision {revision} is not stored; the latest is {head.revision}"
    )


async def _read_audit_page(
    store: keyvalue.KeyValue, digest: str, deadline: deadlines.Deadline
) -> t.List[t.Dict[str, t.Any]]:
    """Return the entries of an audit page, [] if it does not exist."""
    page = await _get_entry(store, audit.PAGE_PREFIX + digest, deadline)
    if page is None:
        return []
    if hashlib.sha256(page.value).hexdigest() != digest:
        raise exceptions.InternalError(
            f"audit page {digest} does not match its digest"
        )
    return audit.decode(page.value)


async def read_history(
    store: keyvalue.KeyValue, head: Head, deadline: deadlines.Deadline
) -> t.AsyncIterator[t.Mapping[str, t.Any]]:
    """Yield audit entries, latest first; pages are read when needed.

    The history ends at a page that was deleted in the meantime.
    """
    for entry in reversed(head.audit):
        yield entry
    for digest in reversed(head.pages):
        entries = await _read_audit_page(store, digest, deadline)
        if not entries:
            return
        for entry in reversed(entries):
            yield entry


async def _write_values(
    store: keyvalue.KeyValue,
    values: t.Mapping[str, bytes],
    deadline: deadlines.Deadline,
) -> None:
    """Write values by key, with retries.

    The values are immutable, so a repeated write changes nothing.
    """

    async def put(key: str, value: bytes) -> None:
        await _retry(
            lambda: store.put(
                key, value, None, deadline.cap(defaults.PLATFORM_TIMEOUT)
            ),
            deadline,
            _WRITE_RETRY_ERRORS,
        )

    await _unwrap_error_group(
        _run_parallel(
            functools.partial(put, key, value) for key, value in values.items()
        )
    )


async def _list_changes(
    store: keyvalue.KeyValue,
    base: t.Optional[Head],
    compiled: chunking.CompiledConfiguration,
    parsed: configuration.Configuration,
    deadline: deadlines.Deadline,
) -> t.List[audit.Change]:
    """Return the changes from `base`.

    Only the chunks of `base` that differ are read.
    """
    old_sections = base.sections if base else {}
    removed = {
        section: [
            digest
            for digest in old_sections.get(section, ())
            if digest not in compiled.chunks
        ]
        for section in configuration.SECTIONS
    }
    added = {
        section: set(digests).difference(old_sections.get(section, ()))
        for section, digests in compiled.sections.items()
    }
    chunks = {
        **compiled.chunks,
        **await read_chunks(
            store, itertools.chain.from_iterable(removed.values()), deadline
        ),
    }

    def decode_sections(
        digests: t.Mapping[str, t.Iterable[str]],
    ) -> t.Dict[str, t.Dict[str, t.Any]]:
        cache = chunking.RecordCache()
        return {
            section: {
                record.name: record
                for digest in section_digests
                for record in cache.decode(section, digest, chunks)
            }
            for section, section_digests in digests.items()
        }

    return [
        *audit.list_region_and_policy_changes(
            base.regions if base else (),
            parsed.regions,
            base.policy if base else {},
            attrs.asdict(parsed.policy),
        ),
        *audit.list_record_changes(
            decode_sections(removed), decode_sections(added)
        ),
    ]


def _make_conflict(
    head: t.Optional[Head], reason: str
) -> exceptions.EditConflict:
    """Return the error of an edit that conflicts with the latest head."""
    revision, author = (head.revision, head.author) if head else (0, "nobody")
    return exceptions.EditConflict(
        f"{reason}: revision {revision} by {author!r} is in force"
    )


async def _contains_edit(
    store: keyvalue.KeyValue,
    head: t.Optional[Head],
    edit: Head,
    deadline: deadlines.Deadline,
) -> bool:
    """Return whether `edit` is `head` or an edit in its history."""
    if head is None or head.revision < edit.revision:
        return False
    async for entry in read_history(store, head, deadline):
        if entry["revision"] <= edit.revision:
            return entry["edit_id"] == edit.edit_id
    return False


async def _compare_and_swap_head(
    store: keyvalue.KeyValue,
    version: int,
    head: Head,
    deadline: deadlines.Deadline,
) -> None:
    """Write the head if its key still has `version`.

    After a lost reply the write is repeated with the same expected version.
    If the first write took effect, even late, the repetition conflicts; the
    edit id is then looked up in the head and its history.

    Raises `exceptions.EditConflict` when another edit was accepted first,
    `exceptions.OutcomeUnknown` when a lost reply could not be resolved by the
    deadline, and `exceptions.PlatformUnavailable` when nothing was written.
    """
    reply_lost = False
    value = head.encode()

    async def attempt() -> None:
        nonlocal reply_lost
        try:
            await store.put(
                HEAD_KEY,
                value,
                version,
                deadline.cap(defaults.PLATFORM_TIMEOUT),
            )
        except exceptions.OutcomeUnknown:
            reply_lost = True
            raise
        except exceptions.VersionConflict:
            current = await read_head(store, deadline)
            if not await _contains_edit(store, current, head, deadline):
                raise _make_conflict(
                    current, "another edit was accepted first"
                ) from None

    try:
        await _retry(attempt, deadline, _WRITE_RETRY_ERRORS)
    except exceptions.PlatformError as error:
        if not reply_lost:
            raise
        raise exceptions.OutcomeUnknown(
            f"the reply to edit {head.edit_id} (revision {head.revision}) "
            f"was lost and its outcome is unknown: {error}; 'history' shows "
            "whether it took effect",
            executed=exceptions.UNKNOWN,
        ) from None


async def _list_unused_keys(
    store: keyvalue.KeyValue,
    pages: t.Sequence[str],
    used: t.Container[str],
    deadline: deadlines.Deadline,
) -> t.List[t.Tuple[str, int]]:
    """Return keys, with their versions, that no revision needs any more.

    These are the audit pages `pages`, which leave the history, the manifests
    of their entries, and the chunks that their edits replaced. Chunks whose
    digest is in `used` are left out.
    """

    async def read_replaced(digest: str) -> t.Sequence[str]:
        try:
            manifest = await _read_manifest(store, digest, deadline)
        except exceptions.RevisionUnknown:
            return ()
        return manifest.replaced

    async def read_version(key: str) -> t.Tuple[str, int]:
        entry = await _get_entry(store, key, deadline)
        return key, entry.version if entry else 0

    page_entries = await _run_parallel(
        functools.partial(_read_audit_page, store, page, deadline)
        for page in pages
    )
    manifest_digests = [
        entry["text"] for entry in itertools.chain.from_iterable(page_entries)
    ]
    replaced_digests = await _run_parallel(
        functools.partial(read_replaced, digest) for digest in manifest_digests
    )
    digests = {
        *manifest_digests,
        *itertools.chain.from_iterable(replaced_digests),
    }
    keys = [audit.PAGE_PREFIX + page for page in pages] + [
        CHUNK_PREFIX + digest for digest in digests if digest not in used
    ]
    versions = await _run_parallel(
        functools.partial(read_version, key) for key in keys
    )
    return [(key, version) for key, version in versions if version]


async def _delete_keys(
    store: keyvalue.KeyValue,
    unused: t.Iterable[t.Tuple[str, int]],
    deadline: deadlines.Deadline,
) -> None:
    """Delete keys that still have the given version.

    A concurrent edit may need a chunk again. It then writes the chunk again,
    which changes the version: the versions in `unused` were read before the
    head was written, and that edit is based on this head or a later one.
    Errors are ignored, because a key that remains only takes space.
    """

    async def delete(key: str, version: int) -> None:
        with contextlib.suppress(exceptions.PlatformError):
            await store.delete(
                key, version, deadline.cap(defaults.PLATFORM_TIMEOUT)
            )

    await _run_parallel(functools.partial(delete, *item) for item in unused)


async def apply_text(
    store: keyvalue.KeyValue,
    text: str,
    author: str,
    deadline: deadlines.Deadline,
    expected_revision: t.Optional[int] = None,
) -> Head:
    """Store a text as the latest revision and return its head.

    A text equal to the latest one creates no revision; the latest head is
    returned. `expected_revision` is the revision on which the edit is based:
    0 before the first edit, None to accept whichever is the latest.

    Raises `exceptions.InvalidText` for an invalid text;
    `exceptions.ConfigurationError` when a value is too large for the
    key-value service; `exceptions.EditConflict` when another edit was
    accepted first or the latest revision is not the expected one;
    `exceptions.PlatformUnavailable` when the edit did not take effect, and
    `exceptions.OutcomeUnknown` when it may have.
    """
    # Imported here, because daemons import this module without needing the
    # validation and should not spend memory on it.
    from sesamefold import validation

    parsed = validation.parse_text(text)
    compiled = chunking.compile_chunks(parsed, text)
    version, base = await _read_versioned_head(store, deadline)
    revision = base.revision if base else 0
    if expected_revision not in (None, revision):
        raise _make_conflict(
            base, f"the edit is based on revision {expected_revision}"
        )
    if base is not None and base.text == compiled.text:
        return base
    edit_id = str(uuid.uuid4())
    now = time.time()
    stored_digests = {*base.list_digests(True), *base.text} if base else set()
    manifest_digest, manifest_data = chunking.build_chunk(
        Manifest(
            revision + 1,
            compiled.text,
            tuple(sorted(stored_digests.difference(compiled.chunks))),
        ).encode()
    )
    entry = audit.build_entry(
        revision + 1,
        edit_id,
        author,
        now,
        await _list_changes(store, base, compiled, parsed, deadline),
        manifest_digest,
    )
    entries = base.audit if base else ()
    pages = base.pages if base else ()
    values = {CHUNK_PREFIX + manifest_digest: manifest_data}
    if len(entries) >= defaults.AUDIT_HEAD_ENTRIES:
        page = audit.encode(entries)
        digest = hashlib.sha256(page).hexdigest()
        values[audit.PAGE_PREFIX + digest] = page
        pages, entries = (*pages, digest), ()
    head = Head(
        revision=revision + 1,
        edit_id=edit_id,
        author=author[: audit.MAX_AUTHOR_CHARACTERS],
        changed_at=now,
        sections=compiled.sections,
        regions=parsed.regions,
        policy=attrs.asdict(parsed.policy),
        text=compiled.text,
        audit=(*entries, entry),
        pages=pages[-defaults.AUDIT_PAGES :],
    )
    values.update(
        (CHUNK_PREFIX + digest, data)
        for digest, data in compiled.chunks.items()
        if digest not in stored_digests
    )
    largest_value_bytes = max(map(len, (*values.values(), head.encode())))
    if largest_value_bytes > defaults.MAX_VALUE_BYTES:
        raise exceptions.ConfigurationError(
            "the configuration needs a value of "
            f"{largest_value_bytes} bytes; the key-value service holds "
            f"{defaults.MAX_VALUE_BYTES}"
        )
    await _write_values(store, values, deadline)
    unused_keys: t.List[t.Tuple[str, int]] = []
    removed_pages = pages[: -defaults.AUDIT_PAGES]
    if removed_pages:
        # Failing to free space is no reason to fail the edit.
        with contextlib.suppress(exceptions.SesamefoldError):
            unused_keys = await _unwrap_error_group(
                _list_unused_keys(
                    store,
                    removed_pages,
                    compiled.chunks,
                    deadline.cap(_UNUSED_SEARCH_SECONDS),
                )
            )
    await _compare_and_swap_head(store, version, head, deadline)
    await _delete_keys(store, unused_keys, deadline)
    return head
