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
from sesamefold import keyvalue

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/chunk/"

# Chunks read or written at once. The key-value service handles several
# hundred writes a second for all its users.
PARALLEL_CALLS = 4
# Time for finding unused chunks, about 300 reads once in 64 edits.
_UNUSED_SECONDS = 5.0


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
        raw["sections"] = {
            section: tuple(digests)
            for section, digests in raw["sections"].items()
        }
        known = {field.name for field in attrs.fields(cls)}
        return cls(
            **{
                key: tuple(value) if isinstance(value, list) else value
                for key, value in raw.items()
                if key in known
            }
        )

    def list_digests(self, include_customers: bool) -> t.List[str]:
        """Return the digests that a host needs, with or without customers."""
        return list(
            itertools.chain.from_iterable(
                digests
                for section, digests in self.sections.items()
                if include_customers or section != "customers"
            )
        )


def build_configuration(
    head: Head,
    chunks: t.Mapping[str, bytes],
    include_customers: bool,
    cache: t.Optional[chunking.RecordCache] = None,
) -> configuration.Configuration:
    """Return the configuration of `head`.

    `chunks` maps digests to the zlib-compressed JSON records as stored. A
    digest that is missing there and in `cache` raises KeyError. The cache
    then holds the chunks of `head` only.
    """
    records = chunking.RecordCache() if cache is None else cache
    sections = {
        section: {
            record.name: record
            for digest in digests
            for record in records.decode(section, digest, chunks)
        }
        for section, digests in head.sections.items()
        if section in configuration.SECTIONS
        and (include_customers or section != "customers")
    }
    records.retain(head.list_digests(include_customers))
    known = {field.name for field in attrs.fields(configuration.Policy)}
    return configuration.Configuration(
        revision=head.revision,
        regions=head.regions,
        policy=configuration.Policy(
            **{k: v for k, v in head.policy.items() if k in known}
        ),
        **sections,
    )


@attrs.frozen
class Manifest:
    """What is kept of a revision beside its audit entry.

    `text` holds the digests of its text, `replaced` those of the chunks that
    only earlier revisions use. The revision makes its digest unique.
    """

    revision: int
    text: t.Tuple[str, ...]
    replaced: t.Tuple[str, ...]

    def encode(self) -> bytes:
        """Return the manifest as JSON."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Return the manifest that `encode` wrote."""
        raw = json.loads(data)
        return cls(
            raw["revision"], *map(tuple, (raw["text"], raw["replaced"]))
        )


async def _retry(
    call: t.Callable[[], t.Awaitable[t.Any]],
    deadline: deadlines.Deadline,
    errors: t.Tuple[t.Type[Exception], ...],
) -> t.Any:
    """Repeat a call that fails with one of `errors` until the deadline."""
    pause = defaults.PLATFORM_BACKOFF
    while True:
        try:
            return await call()
        except errors:
            wait = random.uniform(0, pause)  # noqa: S311
            if deadline.remaining() <= wait:
                raise
            await asyncio.sleep(wait)
            pause = min(2 * pause, defaults.PLATFORM_BACKOFF_LIMIT)


_UNAVAILABLE = (exceptions.PlatformUnavailable,)
_LOST = (exceptions.PlatformUnavailable, exceptions.OutcomeUnknown)


async def _get(
    store: keyvalue.KeyValue, key: str, deadline: deadlines.Deadline
) -> t.Optional[keyvalue.Entry]:
    return await _retry(
        lambda: store.get(key, deadline.cap(defaults.PLATFORM_TIMEOUT)),
        deadline,
        _UNAVAILABLE,
    )


async def _read_entry(
    store: keyvalue.KeyValue, deadline: deadlines.Deadline
) -> t.Tuple[int, t.Optional[Head]]:
    """Return version and head, (0, None) before the first edit."""
    entry = await _get(store, HEAD_KEY, deadline)
    if entry is None:
        return 0, None
    return entry.version, Head.decode(entry.value)


async def read_head(
    store: keyvalue.KeyValue, deadline: deadlines.Deadline
) -> t.Optional[Head]:
    """Return the latest head, None before the first edit."""
    return (await _read_entry(store, deadline))[1]


async def _gather(
    calls: t.Iterable[t.Callable[[], t.Awaitable[t.Any]]],
) -> t.List[t.Any]:
    """Run calls, at most `PARALLEL_CALLS` at once; results in order."""
    slots = asyncio.Semaphore(PARALLEL_CALLS)

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
    """Return chunks by digest, verified against it.

    Raises `exceptions.RevisionUnknown` for a chunk that does not exist and
    `exceptions.InternalError` for a damaged one.
    """

    async def read(digest: str) -> t.Tuple[str, bytes]:
        entry = await _get(store, CHUNK_PREFIX + digest, deadline)
        if entry is None:
            raise exceptions.RevisionUnknown(f"chunk {digest} is not kept")
        if hashlib.sha256(entry.value).hexdigest() != digest:
            raise exceptions.InternalError(f"chunk {digest} is damaged")
        return digest, entry.value

    return dict(
        await _unwrap(
            _gather(
                functools.partial(read, digest)
                for digest in dict.fromkeys(digests)
            )
        )
    )


async def _unwrap(work: t.Awaitable[t.Any]) -> t.Any:
    """Raise the first error of a task group instead of the group."""
    try:
        return await work
    except BaseExceptionGroup as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None


async def _read_pieces(
    store: keyvalue.KeyValue,
    digests: t.Sequence[str],
    deadline: deadlines.Deadline,
) -> str:
    chunks = await read_chunks(store, digests, deadline)
    return b"".join(chunking.decompress(chunks[d]) for d in digests).decode()


async def _read_manifest(
    store: keyvalue.KeyValue, digest: str, deadline: deadlines.Deadline
) -> Manifest:
    chunks = await read_chunks(store, [digest], deadline)
    return Manifest.decode(chunking.decompress(chunks[digest]))


async def read_text(
    store: keyvalue.KeyValue,
    deadline: deadlines.Deadline,
    revision: t.Optional[int] = None,
) -> t.Tuple[int, str]:
    """Return revision and operator's text, by default the latest.

    Raises `exceptions.RevisionUnknown` when the revision is not kept or no
    edit was accepted yet. A kept revision can have lost its text, when the
    same text was replaced by an edit whose audit page was deleted.
    """
    head = await read_head(store, deadline)
    if head is None:
        raise exceptions.RevisionUnknown("no configuration was accepted yet")
    if revision is None or revision == head.revision:
        return head.revision, await _read_pieces(store, head.text, deadline)
    async for entry in read_history(store, head, deadline):
        if entry["revision"] == revision:
            manifest = await _read_manifest(store, entry["text"], deadline)
            return revision, await _read_pieces(store, manifest.text, deadline)
        if entry["revision"] < revision:
            break
    raise exceptions.RevisionUnknown(
        f"revision {revision} is not kept; the latest is {head.revision}"
    )


async def _read_page(
    store: keyvalue.KeyValue, digest: str, deadline: deadlines.Deadline
) -> t.List[t.Dict[str, t.Any]]:
    """Return the entries of an audit page, none if it does not exist."""
    page = await _get(store, audit.PAGE_PREFIX + digest, deadline)
    if page is None:
        return []
    if hashlib.sha256(page.value).hexdigest() != digest:
        raise exceptions.InternalError(f"audit page {digest} is damaged")
    return audit.decode(page.value)


async def read_history(
    store: keyvalue.KeyValue, head: Head, deadline: deadlines.Deadline
) -> t.AsyncIterator[t.Mapping[str, t.Any]]:
    """Yield audit entries, latest first; pages are read when needed.

    A page that was deleted meanwhile ends the history.
    """
    for entry in reversed(head.audit):
        yield entry
    for digest in reversed(head.pages):
        entries = await _read_page(store, digest, deadline)
        if not entries:
            return
        for entry in reversed(entries):
            yield entry


async def _write(
    store: keyvalue.KeyValue,
    values: t.Mapping[str, bytes],
    deadline: deadlines.Deadline,
) -> None:
    """Write immutable values; a repeated write changes nothing."""

    async def put(key: str, value: bytes) -> None:
        await _retry(
            lambda: store.put(
                key, value, None, deadline.cap(defaults.PLATFORM_TIMEOUT)
            ),
            deadline,
            _LOST,
        )

    await _unwrap(
        _gather(
            functools.partial(put, key, value) for key, value in values.items()
        )
    )


async def _list_changes(
    store: keyvalue.KeyValue,
    base: t.Optional[Head],
    compiled: chunking.Compiled,
    parsed: configuration.Configuration,
    deadline: deadlines.Deadline,
) -> t.List[audit.Change]:
    """Return the differences from `base`; reads its changed chunks only."""
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

    def collect(
        digests: t.Mapping[str, t.Iterable[str]],
    ) -> t.Dict[str, t.Dict[str, t.Any]]:
        cache = chunking.RecordCache()
        return {
            section: {
                record.name: record
                for digest in names
                for record in cache.decode(section, digest, chunks)
            }
            for section, names in digests.items()
        }

    return [
        *audit.list_other_changes(
            base.regions if base else (),
            parsed.regions,
            base.policy if base else {},
            attrs.asdict(parsed.policy),
        ),
        *audit.list_changes(collect(removed), collect(added)),
    ]


def _conflict(head: t.Optional[Head], what: str) -> exceptions.EditConflict:
    revision, author = (head.revision, head.author) if head else (0, "nobody")
    return exceptions.EditConflict(
        f"{what}: revision {revision} by {author!r} is in force"
    )


async def _find_edit(
    store: keyvalue.KeyValue,
    head: t.Optional[Head],
    edit: Head,
    deadline: deadlines.Deadline,
) -> bool:
    """Tell whether `edit` is `head` or one of the edits before it."""
    if head is None or head.revision < edit.revision:
        return False
    async for entry in read_history(store, head, deadline):
        if entry["revision"] <= edit.revision:
            return entry["edit_id"] == edit.edit_id
    return False


async def _swap_head(
    store: keyvalue.KeyValue,
    version: int,
    head: Head,
    deadline: deadlines.Deadline,
) -> None:
    """Write the head if it still has `version`.

    A lost answer is settled by reading back. When the edit is not there, the
    write is repeated with the same expected version: if the first one takes
    effect late, the repetition conflicts and the edit id is found.
    """
    lost = False
    value = head.encode()

    async def attempt() -> None:
        nonlocal lost
        try:
            await store.put(
                HEAD_KEY,
                value,
                version,
                deadline.cap(defaults.PLATFORM_TIMEOUT),
            )
        except exceptions.OutcomeUnknown:
            lost = True
            raise
        except exceptions.VersionConflict:
            current = await read_head(store, deadline)
            if not await _find_edit(store, current, head, deadline):
                raise _conflict(
                    current, "another edit was accepted first"
                ) from None

    try:
        await _retry(attempt, deadline, _LOST)
    except exceptions.PlatformError as error:
        if not lost:
            raise
        raise exceptions.OutcomeUnknown(
            f"the answer to edit {head.edit_id} (revision {head.revision}) "
            f"was lost and could not be settled: {error}; 'history' shows "
            "whether it took effect",
            executed=exceptions.UNKNOWN,
        ) from None


async def _list_unused(
    store: keyvalue.KeyValue,
    pages: t.Sequence[str],
    used: t.Container[str],
    deadline: deadlines.Deadline,
) -> t.List[t.Tuple[str, int]]:
    """Return keys and versions that are unused once `pages` are deleted.

    These are the pages, the manifests of their entries, and the chunks that
    their edits replaced, except those in `used`.
    """

    async def read_replaced(digest: str) -> t.Sequence[str]:
        try:
            manifest = await _read_manifest(store, digest, deadline)
        except exceptions.RevisionUnknown:
            return ()
        return manifest.replaced

    async def read_version(key: str) -> t.Tuple[str, int]:
        entry = await _get(store, key, deadline)
        return key, entry.version if entry else 0

    found = await _gather(
        functools.partial(_read_page, store, page, deadline) for page in pages
    )
    manifests = [
        entry["text"] for entry in itertools.chain.from_iterable(found)
    ]
    replaced = await _gather(
        functools.partial(read_replaced, digest) for digest in manifests
    )
    digests = {*manifests, *itertools.chain.from_iterable(replaced)}
    keys = [audit.PAGE_PREFIX + page for page in pages] + [
        CHUNK_PREFIX + digest for digest in digests if digest not in used
    ]
    versions = await _gather(
        functools.partial(read_version, key) for key in keys
    )
    return [(key, version) for key, version in versions if version]


async def _delete(
    store: keyvalue.KeyValue,
    unused: t.Iterable[t.Tuple[str, int]],
    deadline: deadlines.Deadline,
) -> None:
    """Delete keys that still have their version; errors are ignored.

    A chunk that another edit needs again has been written again, and has
    another version: the versions were read before the head was written, and
    that edit is based on this head or a later one. A key that stays because
    of an error is only unused space.
    """

    async def delete(key: str, version: int) -> None:
        with contextlib.suppress(exceptions.PlatformError):
            await store.delete(
                key, version, deadline.cap(defaults.PLATFORM_TIMEOUT)
            )

    await _gather(functools.partial(delete, *item) for item in unused)


async def apply_text(
    store: keyvalue.KeyValue,
    text: str,
    author: str,
    deadline: deadlines.Deadline,
    expected_revision: t.Optional[int] = None,
) -> Head:
    """Make a text the latest revision and return its head.

    A text equal to the latest one makes no revision; the head is returned as
    it is. `expected_revision` is the revision that the author edited (0:
    none), None stands for the latest one.

    Raises `exceptions.InvalidText`; `exceptions.EditConflict` when another
    edit won or the latest revision is not the expected one;
    `exceptions.PlatformUnavailable` when the edit did not take effect, and
    `exceptions.OutcomeUnknown` when it may have.
    """
    # Daemons import this module and have no memory for the validation.
    from sesamefold import validation

    parsed = validation.parse_text(text)
    compiled = chunking.compile_chunks(parsed, text)
    version, base = await _read_entry(store, deadline)
    revision = base.revision if base else 0
    if expected_revision not in (None, revision):
        raise _conflict(
            base, f"the edit is based on revision {expected_revision}"
        )
    if base is not None and base.text == compiled.text:
        return base
    edit_id = str(uuid.uuid4())
    now = time.time()
    held = {*base.list_digests(True), *base.text} if base else set()
    manifest, manifest_data = chunking.pack(
        Manifest(
            revision + 1,
            compiled.text,
            tuple(sorted(held.difference(compiled.chunks))),
        ).encode()
    )
    entry = audit.build_entry(
        revision + 1,
        edit_id,
        author,
        now,
        await _list_changes(store, base, compiled, parsed, deadline),
        manifest,
    )
    entries = base.audit if base else ()
    pages = base.pages if base else ()
    values = {CHUNK_PREFIX + manifest: manifest_data}
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
        if digest not in held
    )
    largest = max(map(len, (*values.values(), head.encode())))
    if largest > defaults.MAX_VALUE_BYTES:
        raise exceptions.ConfigurationError(
            f"the configuration needs a value of {largest} bytes; the "
            f"key-value service holds {defaults.MAX_VALUE_BYTES}"
        )
    await _write(store, values, deadline)
    unused: t.List[t.Tuple[str, int]] = []
    dropped = pages[: -defaults.AUDIT_PAGES]
    if dropped:
        # Space that is not freed does not justify to fail the edit.
        with contextlib.suppress(exceptions.SesamefoldError):
            unused = await _unwrap(
                _list_unused(
                    store,
                    dropped,
                    compiled.chunks,
                    deadline.cap(_UNUSED_SECONDS),
                )
            )
    await _swap_head(store, version, head, deadline)
    await _delete(store, unused, deadline)
    return head
