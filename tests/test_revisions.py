"""Tests of edits, concurrent edits, lost replies and the audit trail."""

import asyncio
import contextlib
import itertools
import typing as t
import unittest
from unittest import mock
import zlib

from sesamefold import audit
from sesamefold import chunking
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import keyvalue
from sesamefold import revisions


def write_text(customers: int, share: int = 1, region: str = "lima") -> str:
    """Return a valid text; `share` is that of the first customer."""
    lines = [
        f"regions: {{{region}: {{}}}}",
        f"data_centres: {{lima-a: {{region: {region}}}}}",
        "customers:",
    ]
    lines += [
        f'  customer-{i:05}: {{token_sha256: "{i:064x}", '
        f"share: {share if i == 0 else 1}}}"
        for i in range(customers)
    ]
    return "\n".join(lines) + "\n"


class MemoryKeyValue:
    """Key-value service in memory that injects faults into writes.

    `head_put_faults` maps the number of a put of the head, from 1, to "lost"
    (takes effect, reply lost), "late" (reply lost, takes effect before the
    next call) or "down" (no effect).
    """

    def __init__(self, head_put_faults: t.Mapping[int, str] = {}) -> None:
        self.entries: t.Dict[str, keyvalue.Entry] = {}
        self.head_put_faults = dict(head_put_faults)
        self.head_puts = 0
        self.writes: t.List[str] = []
        self.late: t.Optional[t.Callable[[], None]] = None

    def _apply_late_write(self) -> None:
        if self.late is not None:
            late, self.late = self.late, None
            with contextlib.suppress(exceptions.VersionConflict):
                late()

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[keyvalue.Entry]:
        await asyncio.sleep(0)
        self._apply_late_write()
        return self.entries.get(key)

    def _store(self, key: str, value: bytes, expected: t.Optional[int]) -> int:
        found = self.entries.get(key)
        version = found.version if found else 0
        if expected not in (None, version):
            raise exceptions.VersionConflict(key, expected, version)
        self.entries[key] = keyvalue.Entry(key, value, version + 1)
        return version + 1

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        await asyncio.sleep(0)
        self._apply_late_write()
        self.writes.append(key)
        fault = None
        if key == revisions.HEAD_KEY:
            self.head_puts += 1
            fault = self.head_put_faults.get(self.head_puts)
        if fault == "down":
            raise exceptions.PlatformUnavailable("down")
        if fault == "late":
            self.late = lambda: self._store(key, value, expected) and None
            raise exceptions.OutcomeUnknown("late")
        version = self._store(key, value, expected)
        if fault == "lost":
            raise exceptions.OutcomeUnknown("lost")
        return version

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        await asyncio.sleep(0)
        found = self.entries.get(key)
        version = found.version if found else 0
        if expected not in (None, version):
            raise exceptions.VersionConflict(key, expected, version)
        self.entries.pop(key, None)


class RevisionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(defaults, "PLATFORM_BACKOFF", 0.001)
        patch.start()
        self.addCleanup(patch.stop)
        self.deadline = deadlines.Deadline.after(60)

    async def apply(
        self, store: t.Any, text: str, author: str = "ana", **more: t.Any
    ) -> revisions.Head:
        return await revisions.apply_text(
            store, text, author, self.deadline, **more
        )

    async def load_configuration(
        self, store: t.Any
    ) -> configuration.Configuration:
        head = await revisions.read_head(store, self.deadline)
        assert head is not None
        chunks = await revisions.read_chunks(
            store, head.list_digests(True), self.deadline
        )
        return revisions.build_configuration(head, chunks, True)

    async def test_accepted_edit_is_read_back(self) -> None:
        """Guards against records lost when a text is split into chunks."""
        store = MemoryKeyValue()
        for customers in (0, 1, 500):
            text = write_text(customers)
            await self.apply(store, text)
            loaded = await self.load_configuration(store)
            self.assertEqual(customers, len(loaded.customers))
            self.assertEqual(("lima",), loaded.regions)
            self.assertEqual(
                (loaded.revision, text),
                await revisions.read_text(store, self.deadline),
            )

    async def test_unchanged_text_creates_no_revision(self) -> None:
        """Guards against revisions and audit entries without a change."""
        store = MemoryKeyValue()
        first = await self.apply(store, write_text(3))
        writes = len(store.writes)
        self.assertEqual(first, await self.apply(store, write_text(3)))
        self.assertEqual(writes, len(store.writes))

    async def test_one_changed_customer_writes_few_chunks(self) -> None:
        """Guards against an edit that rewrites all customers."""
        store = MemoryKeyValue()
        await self.apply(store, write_text(2000))
        before = len(store.writes)
        head = await self.apply(store, write_text(2000, share=2))
        # Chunk of the customer, chunk of the text, manifest and head; the
        # head comes last, so that no host sees a head without its chunks.
        self.assertLessEqual(len(store.writes) - before, 4)
        self.assertEqual(revisions.HEAD_KEY, store.writes[-1])
        self.assertEqual(
            [["customers.customer-00000.share", 1, 2]],
            head.audit[-1]["changes"],
        )

    def test_repeated_lines_create_no_chunk_each(self) -> None:
        """Guards against one chunk per customer when all share a line.

        With 19,000 customers, the list of chunks exceeded the size limit of a
        value.
        """
        share = next(
            f"    share: {number}"
            for number in itertools.count(1)
            if zlib.crc32(f"    share: {number}\n".encode())
            % chunking.MEAN_LINES_PER_CHUNK
            == 0
        )
        text = "".join(f"  c{n}:\n{share}\n" for n in range(5000))
        chunks = list(chunking.split_text(text))
        self.assertEqual(text.encode(), b"".join(chunks))
        self.assertLess(len(chunks), 5000 // 8)

    async def test_lost_reply_is_resolved(self) -> None:
        """Guards against an edit reported wrongly or applied twice."""
        for name, head_put_faults in (
            ("answer lost", {1: "lost"}),
            ("write takes effect late", {1: "late"}),
            ("service down for one call", {1: "down"}),
            ("down, then lost", {1: "down", 2: "lost"}),
            ("late twice", {1: "late", 2: "late"}),
        ):
            with self.subTest(name):
                store = MemoryKeyValue(head_put_faults)
                head = await self.apply(store, write_text(2))
                found = await revisions.read_head(store, self.deadline)
                self.assertEqual(head.edit_id, found.edit_id)
                self.assertEqual(1, found.revision)
                self.assertEqual(1, len(found.audit))

    async def test_lost_reply_is_resolved_after_later_edits(self) -> None:
        """Guards against a false conflict after edits by others.

        The edit is looked up in the head's entries and in the audit pages.
        """
        for later in (1, defaults.AUDIT_HEAD_ENTRIES + 2):
            with self.subTest(later=later):
                store = MemoryKeyValue({1: "lost"})
                get = store.get
                pending = [later]

                async def edit_first(key, deadline, get=get, s=store):
                    if s.head_puts and pending and key == revisions.HEAD_KEY:
                        count = pending.pop()
                        for share in range(2, 2 + count):
                            await self.apply(s, write_text(2, share), "eva")
                    return await get(key, deadline)

                with mock.patch.object(store, "get", edit_first):
                    head = await self.apply(store, write_text(2))
                self.assertEqual(1, head.revision)
                latest = await revisions.read_head(store, self.deadline)
                self.assertEqual(1 + later, latest.revision)

    async def test_conflict_names_the_accepted_edit(self) -> None:
        """Guards against a silent overwrite of another operator's edit."""
        store = MemoryKeyValue()
        results = await asyncio.gather(
            *(
                self.apply(store, write_text(1, share), f"author-{share}")
                for share in (2, 3, 4)
            ),
            return_exceptions=True,
        )
        heads = [r for r in results if isinstance(r, revisions.Head)]
        lost = [r for r in results if isinstance(r, Exception)]
        self.assertEqual([1, 2], [len(heads), len(lost)])
        for error in lost:
            self.assertIsInstance(error, exceptions.EditConflict)
            self.assertIn(f"revision 1 by '{heads[0].author}'", str(error))

    async def test_late_write_and_concurrent_edit_accept_one(self) -> None:
        """Guards against success reported for an edit that conflicted."""
        store = MemoryKeyValue({1: "late"})
        late = self.apply(store, write_text(1, 2), "ana")
        results = await asyncio.gather(
            late,
            self.apply(store, write_text(1, 3), "eva"),
            return_exceptions=True,
        )
        found = await revisions.read_head(store, self.deadline)
        winners = [r for r in results if isinstance(r, revisions.Head)]
        self.assertEqual([found.edit_id], [w.edit_id for w in winners])

    async def test_edit_based_on_older_revision_is_refused(self) -> None:
        """Guards against undoing an edit that the author has not seen."""
        store = MemoryKeyValue()
        await self.apply(store, write_text(1, 1), expected_revision=0)
        await self.apply(store, write_text(1, 2), expected_revision=1)
        for expected in (0, 1, 3):
            with self.assertRaises(exceptions.EditConflict) as caught:
                await self.apply(
                    store, write_text(1, 9), expected_revision=expected
                )
            self.assertIn("revision 2 by 'ana'", str(caught.exception))

    async def test_unresolved_lost_reply_is_reported_as_unknown(self) -> None:
        """Guards against a definite result while the outcome is unknown."""
        for fault, error in (
            ("late", exceptions.OutcomeUnknown),
            ("down", exceptions.PlatformUnavailable),
        ):
            with self.subTest(fault):
                store = MemoryKeyValue(dict.fromkeys(range(1, 10000), fault))
                deadline = deadlines.Deadline.after(0.05)
                with (
                    mock.patch.object(
                        store, "_apply_late_write", lambda: None
                    ),
                    self.assertRaises(error),
                ):
                    await revisions.apply_text(
                        store, write_text(1), "ana", deadline
                    )

    async def test_audit_pages_are_bounded(self) -> None:
        """Guards against unbounded growth of the head and its pages."""
        store = MemoryKeyValue()
        with (
            mock.patch.object(defaults, "AUDIT_HEAD_ENTRIES", 3),
            mock.patch.object(defaults, "AUDIT_PAGES", 2),
        ):
            for share in range(1, 21):
                head = await self.apply(store, write_text(1, share))
        history = [
            entry["revision"]
            async for entry in revisions.read_history(
                store, head, self.deadline
            )
        ]
        self.assertEqual(list(range(20, 12, -1)), history)
        pages = [key for key in store.entries if key.startswith("audit/")]
        self.assertEqual([2, 2], [len(pages), len(head.pages)])
        self.assertEqual(
            (14, write_text(1, 14)),
            await revisions.read_text(store, self.deadline, 14),
        )
        for gone in (1, 99):
            with self.assertRaises(exceptions.RevisionUnknown):
                await revisions.read_text(store, self.deadline, gone)

    async def test_unused_chunks_are_deleted(self) -> None:
        """Guards against chunks that accumulate or are deleted while used."""
        store = MemoryKeyValue()
        counts = []
        with (
            mock.patch.object(defaults, "AUDIT_HEAD_ENTRIES", 3),
            mock.patch.object(defaults, "AUDIT_PAGES", 2),
        ):
            for number in range(60):
                # Every fourth edit restores the first text.
                share = 1 if number % 4 == 0 else 2 + number
                await self.apply(store, write_text(200, share))
                loaded = await self.load_configuration(store)
                self.assertEqual(
                    share, loaded.customers["customer-00000"].share
                )
                counts.append(len(store.entries))
        self.assertEqual(max(counts[20:40]), max(counts[40:]))
        latest = await revisions.read_text(store, self.deadline)
        self.assertEqual((60, write_text(200, 61)), latest)

    async def test_chunk_needed_by_concurrent_edit_is_kept(self) -> None:
        """Guards against deleting a chunk that a concurrent edit wrote."""
        for writer_first in (True, False):
            store = MemoryKeyValue()
            with (
                self.subTest(writer_first=writer_first),
                mock.patch.object(defaults, "AUDIT_HEAD_ENTRIES", 3),
                mock.patch.object(defaults, "AUDIT_PAGES", 2),
            ):
                for share in range(1, 10):
                    await self.apply(store, write_text(1, share))
                delete = store.delete
                lock = asyncio.Lock()
                pending = [True]

                async def edit_first(
                    key, version, deadline, s=store, d=delete, p=pending
                ):
                    # The first text is applied before or after all
                    # deletions.
                    async with lock:
                        if writer_first and p:
                            p.clear()
                            await self.apply(s, write_text(1, 1), "eva")
                    await d(key, version, deadline)

                with mock.patch.object(store, "delete", edit_first):
                    await self.apply(store, write_text(1, 10))
                if not writer_first:
                    await self.apply(store, write_text(1, 1), "eva")
                loaded = await self.load_configuration(store)
                self.assertEqual(11, loaded.revision)
                self.assertEqual(
                    (11, write_text(1, 1)),
                    await revisions.read_text(store, self.deadline),
                )

    async def test_large_edit_keeps_audit_entry_bounded(self) -> None:
        """Guards against an edit of all customers that overfills the head."""
        store = MemoryKeyValue()
        head = await self.apply(store, write_text(5000))
        entry = head.audit[-1]
        # All customers, the region, the data centre and the policy.
        self.assertEqual(5003, len(entry["changes"]) + entry["omitted"])
        self.assertLessEqual(
            len(audit.encode([entry])), defaults.AUDIT_ENTRY_BYTES
        )
        self.assertNotIn(f"{7:064x}", str(entry))

    async def test_cache_needs_only_changed_chunks(self) -> None:
        """Guards against decoding all customers for each edit."""
        store = MemoryKeyValue()
        cache = chunking.RecordCache()
        for share in (1, 2):
            head = await self.apply(store, write_text(1000, share))
            needed = [d for d in head.list_digests(True) if d not in cache]
            chunks = await revisions.read_chunks(store, needed, self.deadline)
            built = revisions.build_configuration(head, chunks, True, cache)
        self.assertLessEqual(len(needed), 2)
        self.assertEqual(await self.load_configuration(store), built)

    async def test_damaged_chunk_is_refused(self) -> None:
        """Guards against a configuration made of damaged data."""
        store = MemoryKeyValue()
        head = await self.apply(store, write_text(1))
        key = revisions.CHUNK_PREFIX + head.sections["customers"][0]
        store.entries[key] = keyvalue.Entry(key, b"damaged", 2)
        with self.assertRaises(exceptions.InternalError):
            await self.load_configuration(store)
