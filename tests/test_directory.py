"""Tests of the block directory."""

import asyncio
import hashlib

from sesamefold import directory
from sesamefold.wire import control_pb2
from tests import journal_fakes


def name_block(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


BLOCKS = [name_block(number) for number in range(60)]


def make_engine(name: str = "e1") -> control_pb2.Holder:
    return control_pb2.Holder(kind="engine", name=name)


def make_store(generation: str, name: str = "s1", **fields):
    values = {"length": 5, "sha256": "ab" * 32, "tier": "disk"}
    return control_pb2.Holder(
        kind="store", name=name, generation=generation, **{**values, **fields}
    )


def make_report(blocks, *holders, removed=False):
    entry = control_pb2.BlockEntry
    entries = [entry(block=block, holders=holders) for block in blocks]
    field = "removed" if removed else "stored"
    return control_pb2.ReportBlocksRequest(**{field: entries})


class DirectoryTest(journal_fakes.VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.network = journal_fakes.Network(("a", "b", "c"))
        self.directories = {name: self.start(name) for name in "abc"}

    def start(self, name, **options):
        created = directory.Directory(
            self.network.create_peers(name),
            clock=journal_fakes.read_clock,
            **options,
        )
        self.network.register_handlers(
            name, LookupBlocks=created.lookup, ReportBlocks=created.report
        )
        return created

    async def report(self, blocks, *holders, **fields):
        report = make_report(blocks, *holders, **fields)
        await self.directories["a"].report(report)

    async def lookup(self, name, blocks, **fields):
        """Return the holders by block."""
        reply = await self.directories[name].lookup(
            control_pb2.LookupBlocksRequest(blocks=blocks, **fields)
        )
        return {entry.block: list(entry.holders) for entry in reply.entries}

    async def test_lookup_and_report_take_one_message_per_owner(self):
        """Guards against several messages of one call to the same owner."""
        await self.report(BLOCKS, make_engine())
        for name in "abc":
            found = await self.lookup(name, BLOCKS + [name_block(99)])
            self.assertEqual({b: [make_engine()] for b in BLOCKS}, found)
            # Callers read from the order how long a prefix is cached.
            self.assertEqual(BLOCKS, list(found))
        sizes = [len(item) for item in self.directories.values()]
        self.assertEqual(len(BLOCKS), sum(sizes))
        self.assertGreater(min(sizes), 5)
        self.assertEqual({1, 2}, set(self.network.calls.values()))
        self.assertEqual(8, sum(self.network.calls.values()))

    async def test_only_blocks_of_stores_reach_other_data_centres(self):
        """Guards against blocks in stores that only one data centre finds.

        Blocks in engines are of no use to other data centres, and a forwarded
        report must not be sent back to the data centre that sent it.
        """
        self.network.running_hosts = list("abcdef")
        local, remote = list("abc"), list("def")
        for name in local + remote:
            own, other = local, remote
            if name in remote:
                own, other = remote, local
                self.directories[name] = self.start(name)
            self.network.host_views[name] = own
            self.network.remote_hosts[name] = {"other": other}
        stored = make_store("g1")
        await self.report(BLOCKS, make_engine(), stored)
        for name in remote:
            found = await self.lookup(name, BLOCKS)
            self.assertEqual({b: [stored] for b in BLOCKS}, found)
        for name in local:
            found = await self.lookup(name, BLOCKS)
            self.assertEqual(
                {b: [make_engine(), stored] for b in BLOCKS}, found
            )
        self.network.calls.clear()
        await self.report(BLOCKS[:1], make_engine())
        self.assertLessEqual(sum(self.network.calls.values()), 1)

    async def test_lookup_without_answer_of_owner_returns_other_blocks(self):
        """Guards against a lookup that fails or waits for a silent owner."""
        await self.report(BLOCKS, make_engine())
        await self.lookup("b", BLOCKS)
        lost = len(self.directories["c"])

        async def hang(request):
            await asyncio.sleep(60.0)

        cases = ("down", "reply lost", "hangs", "unknown", "owner restarted")
        for name in cases:
            with self.subTest(name):
                if name == "hangs":
                    self.network.register_handlers("c", LookupBlocks=hang)
                elif name == "unknown":
                    self.network.running_hosts.remove("c")
                    self.network.host_views["b"] = ["a", "b", "c"]
                elif name == "owner restarted":
                    self.network.running_hosts.append("c")
                    self.start("c")
                else:
                    fault = (
                        journal_fakes.CALL_FAILED
                        if name == "down"
                        else journal_fakes.REPLY_LOST
                    )
                    self.network.faults["c", "LookupBlocks"] = [fault]
                start = journal_fakes.read_clock()
                found = await self.lookup("b", BLOCKS)
                self.assertEqual(len(BLOCKS) - lost, len(found))
                self.assertLess(journal_fakes.read_clock() - start, 0.021)
        # After the deadline no owner is called; own entries are returned.
        self.network.calls.clear()
        found = await self.lookup(
            "b", BLOCKS, deadline=journal_fakes.START_UNIX_SECONDS - 1
        )
        self.assertEqual(len(self.directories["b"]), len(found))
        self.assertEqual(0, sum(self.network.calls.values()))

    async def test_different_memberships_forward_only_once(self):
        """Guards against messages that hosts forward in a circle."""
        self.network.host_views = {"a": ["b"], "b": ["c"], "c": ["a"]}
        await self.report(BLOCKS, make_engine())
        self.assertEqual(len(BLOCKS), len(await self.lookup("a", BLOCKS)))
        self.assertEqual(len(BLOCKS), len(self.directories["b"]))
        self.assertEqual(2, sum(self.network.calls.values()))

    async def test_blocks_are_found_after_an_owner_left(self):
        """Guards against cached owners of shards that are not members now."""
        await self.lookup("a", BLOCKS)
        self.network.running_hosts.remove("c")
        await self.report(BLOCKS, make_engine())
        self.assertEqual(len(BLOCKS), len(await self.lookup("b", BLOCKS)))

    async def test_removal_removes_only_the_given_holder(self):
        """Guards against the removal of a holder that was not given.

        A case consists of the holders that are stored one after the other, the
        one that is removed, and those that are left, None for all of them.
        """
        engine, other = make_engine(), make_engine("e2")
        first, second = make_store("g1"), make_store("g2")
        cases = (
            ([engine, other], engine, [other]),
            ([engine], other, [engine]),
            ([engine, engine], other, [engine]),
            ([first], first, []),
            ([first, second], first, [second]),
            ([first, second], other, [second]),
            ([engine, make_store("g1", "e1")], other, None),
            ([first], make_store(""), [first]),
            ([first, engine], second, [first, engine]),
            ([first, make_store("g1", "s2")], first, [make_store("g1", "s2")]),
            (
                [engine, make_store("g1", "e1")],
                engine,
                [make_store("g1", "e1")],
            ),
            ([make_store("g1", tier="tape")], engine, []),
            ([make_store("g1", sha256="ab")], engine, []),
            ([make_store("g1", tier="memory", length=2**40)], engine, None),
        )
        for number, (stored, removed, left) in enumerate(cases):
            with self.subTest(number):
                block = BLOCKS[number]
                for holder in stored:
                    await self.report([block], holder)
                await self.directories["b"].report(
                    make_report([block], removed, removed=True)
                )
                found = await self.lookup("c", [block])
                left = stored if left is None else left
                self.assertEqual(left, found.get(block, []))

    async def test_dropped_server_holds_no_blocks_until_next_report(self):
        """Guards against entries of blocks that a server lost on restart."""
        holders = (make_engine(), make_engine("e2"), make_store("g1", "e1"))
        await self.report(BLOCKS, *holders)
        for item in self.directories.values():
            item.drop_holder("engine", "e1")
        found = await self.lookup("a", BLOCKS)
        self.assertEqual({b: list(holders[1:]) for b in BLOCKS}, found)
        for item in self.directories.values():
            item.drop_holder("store", "e1")
            item.drop_holder("engine", "e2")
        self.assertEqual({}, await self.lookup("a", BLOCKS))
        self.assertEqual([0, 0, 0], list(map(len, self.directories.values())))
        await self.report(BLOCKS, *holders)
        self.assertEqual(len(BLOCKS), len(await self.lookup("a", BLOCKS)))

    async def test_full_table_evicts_least_recently_used_entries(self):
        """Guards against unbounded memory, and eviction of used entries."""
        self.network.running_hosts = ["a"]
        item = self.directories["a"] = self.start("a", capacity=50)
        await item.report(make_report(BLOCKS[:50], make_engine()))
        await self.lookup("a", BLOCKS[:5])
        await item.report(make_report(BLOCKS[50:], make_engine()))
        self.assertEqual(50, len(item))
        found = await self.lookup("a", BLOCKS)
        self.assertEqual(BLOCKS[:5] + BLOCKS[15:], list(found))
        engines = [make_engine(str(number)) for number in range(20)]
        await item.report(make_report(BLOCKS[:1], *engines))
        found = await self.lookup("a", BLOCKS[:1])
        self.assertEqual(
            engines[-directory.MAX_HOLDERS_PER_BLOCK :], found[BLOCKS[0]]
        )

    async def test_malformed_block_names_are_ignored(self):
        """Guards against a report that fails for one malformed entry."""
        names = ["", "xyz", "00", "zz" * 32, BLOCKS[0] + "00"]
        report = make_report(names + BLOCKS[:1], make_engine())
        await self.directories["a"].report(report)
        found = await self.lookup("a", names + BLOCKS[:1])
        self.assertEqual(BLOCKS[:1], list(found))
