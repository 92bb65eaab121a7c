"""Contract tests of the store client, and of imports from a store."""

import contextlib

import attrs

from sesamefold import exceptions
from sesamefold import stores
from standins import store as standin
from tests import test_engines

PART = stores.PART_BYTES
soon = test_engines.soon


class StoreCase(test_engines.EngineCase):
    store_options = {}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.host = standin.StoreServer(standin.Options(**self.store_options))
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        self.store = stores.HttpBlockStore(self.session, self.host.url)


class StoreTest(StoreCase):
    store_options = {"memory_bytes": 3 * PART, "disk_bytes": 2 * PART}

    async def test_only_current_generation_is_readable(self):
        """Guards against reading an older generation or a removed block."""
        old = await self.store.write_block("b", b"old" * PART, soon())
        new = await self.store.write_block("b", b"new", soon())
        other = await self.store.write_block("c", b"", soon())
        self.assertEqual(
            [new, other], await self.store.list_blocks("", soon())
        )
        self.assertEqual([other], await self.store.list_blocks("b", soon()))
        self.assertEqual(b"new", await self.store.read_block(new, soon()))
        with self.assertRaises(exceptions.BlockInvalid):
            await self.store.read_block(old, soon())
        await self.store.remove_block("b", soon())
        with self.assertRaises(exceptions.BlockInvalid):
            await self.store.read_block(new, soon())
        again = await self.store.write_block("b", b"new", soon())
        self.assertNotIn(again.generation, (old.generation, new.generation))
        with self.assertRaises(exceptions.BlockInvalid):
            await self.store.read_block(new, soon())

    async def test_read_that_differs_from_entry_is_rejected(self):
        """Guards against reads that don't verify bytes or generation."""
        old = await self.store.write_block("b", b"old!", soon())
        new = await self.store.write_block("b", b"new!", soon())
        for kind in sorted(standin.READ_FAULTS):
            with self.subTest(kind=kind):
                self.host.inject(read={"kind": kind})
                with self.assertRaises(exceptions.BlockInvalid):
                    await self.store.read_block(new, soon())
        with self.subTest("previous generation with the same bytes"):
            new = await self.store.write_block("b", b"new!", soon())
            self.host.inject(read={"kind": "old_entry"})
            with self.assertRaises(exceptions.BlockInvalid):
                await self.store.read_block(new, soon())
        async with self.session.get(
            f"{self.host.url}/blocks/b?generation={old.generation}"
        ) as response:
            self.assertEqual(410, response.status)
        for change in (
            {"length": 3},
            {"sha256": old.sha256},
            {"generation": old.generation},
        ):
            with self.subTest(change=change):
                with self.assertRaises(exceptions.BlockInvalid):
                    await self.store.read_block(
                        attrs.evolve(new, **change), soon()
                    )

    async def test_failed_write_leaves_no_readable_block(self):
        """Guards against a partly written block that can be read."""
        data = b"x" * (3 * PART)
        cases = (
            ({"die_after_parts": 2}, {"dead": False}),
            ({"full": True}, {"full": False}),
            ({"outage": "503"}, {"outage": ""}),
            ({"lose_answers": 1}, {}),
        )
        for fault, repair in cases:
            with self.subTest(fault=fault):
                self.host.inject(**fault)
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.store.write_block("b", data, soon())
                self.host.inject(**repair)
                self.assertEqual([], await self.store.list_blocks("", soon()))
                async with self.session.get(
                    f"{self.host.url}/blocks/b"
                ) as response:
                    self.assertEqual(404, response.status)
        # A seal with another hash, as after a corrupted part.
        url = f"{self.host.url}/blocks/b"
        async with self.session.post(f"{url}/begin") as response:
            generation = (await response.json())["generation"]
        for path, status in (
            ("parts?offset=1", 409),
            ("parts?offset=0", 200),
            ("seal", 409),
        ):
            async with self.session.post(
                f"{url}/{generation}/{path}",
                json={"length": 1, "sha256": "0" * 64},
            ) as response:
                self.assertEqual(status, response.status)
        await self.store.remove_block("b", soon())
        async with self.session.post(
            f"{url}/{generation}/parts?offset=0", data=b"x"
        ) as response:
            self.assertEqual(410, response.status)

    async def test_full_memory_moves_blocks_to_disk(self):
        """Guards against lost blocks and tiers that exceed their size."""
        data = b"x" * (2 * PART)
        first = await self.store.write_block("a", data, soon())
        await self.store.write_block("b", data, soon())
        self.assertEqual(
            ["disk", "memory"],
            [e.tier for e in await self.store.list_blocks("", soon())],
        )
        self.assertEqual(
            (data, "disk"),
            await self.store.read_block_and_tier(first, soon()),
        )
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.store.write_block("c", data, soon())
        # Blocks in memory are lost when the host crashes.
        self.host.inject(dead=True)
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.store.read_block(first, soon())
        self.host.inject(dead=False)
        self.assertEqual(
            ["a"], [e.block for e in await self.store.list_blocks("", soon())]
        )


class ContextTransferTest(StoreCase):
    async def export_to_new_engine(self, **options):
        """Export the blocks of a prompt and start another engine.

        Returns the store entries, the engine's server and its client.
        """
        await self.complete()
        names = await self.engine.list_blocks(soon())
        entries = await self.engine.export_blocks(
            [*names, "missing"], self.host.url, soon()
        )
        self.assertEqual(sorted(names), sorted(e.block for e in entries))
        return (tuple(entries), *await self.start_engine(**options))

    async def test_imported_blocks_are_not_recomputed(self):
        """Guards against prefill of tokens whose blocks were imported."""
        entries, server, engine = await self.export_to_new_engine()
        started = await self.complete(engine, imports=entries)
        self.assertEqual(30, started.imported_memory_tokens)
        self.assertEqual(5, server.counters["tokens_prefilled"])
        started = await self.complete(
            engine, request_id="r-2", imports=entries
        )
        self.assertEqual(30, started.cached_tokens)

    async def test_blocks_of_failed_import_are_recomputed(self):
        """Guards against wrong tokens after a failed import."""
        entries, *_ = await self.export_to_new_engine()
        cases = (
            ({"read": {"kind": "corrupt", "count": 9}}, {}),
            ({"dead": True}, {"dead": False}),
            ({"outage": "503"}, {"outage": ""}),
        )
        for fault, repair in cases:
            with self.subTest(fault=fault):
                server, engine = await self.start_engine()
                self.host.inject(**fault)
                started = await self.complete(engine, imports=entries)
                self.assertEqual(0, started.imported_memory_tokens)
                self.assertEqual(35, server.counters["tokens_prefilled"])
                self.host.inject(**repair)
        await self.complete(request_id="r-2")
        self.host.inject(full=True)
        names = await self.engine.list_blocks(soon())
        self.assertEqual(
            [], await self.engine.export_blocks(names, self.host.url, soon())
        )

    async def test_unverified_import_of_wrong_block_gives_wrong_tokens(self):
        """Guards against a stand-in that hides another customer's block."""
        entries, _, engine = await self.export_to_new_engine(
            verifies_imports=False
        )
        await self.complete(request_id="r-2", cache_salt="other")
        other_blocks = [
            n for n, c in self.server.cache.items() if c.salt == "other"
        ]
        data = self.server.cache[other_blocks[-1]].encode()
        for entry in entries:
            await self.store.write_block(entry.block, data, soon())
        request = test_engines.make_request(imports=entries)
        async with contextlib.aclosing(engine.complete(request)) as events:
            tokens = [e.text async for e in events if e.kind == "token"]
        self.assertEqual(6, len(tokens))
        for token in test_engines.list_tokens(request):
            self.assertNotIn(token, tokens)
