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
        made = directory.Directory(
            self.network.join(name), clock=journal_fakes.read_clock, **options
        )
        self.network.serve(
            name, LookupBlocks=made.lookup, ReportBlocks=made.report
        )
        return made

    async def report(self, blocks, *holders, **fields):
        report = make_report(blocks, *holders, **fields)
        await self.directories["a"].report(report)

    async def lookup(self, name, blocks, **fields):
        """Return the holders by block."""
        reply = await self.directories[name].lookup(
            control_pb2.LookupBlocksRequest(blocks=blocks, **fields)
        )
        return {entry.block: list(entry.holders) for entry in reply.entries}

    async def test_sharding(self):
        """Guards against more than one message for each owner."""
        await self.report(BLOCKS, make_engine())
        for name in "abc":
            found = await self.lookup(name, BLOCKS + [name_block(99)])
            self.assertEqual({b: [make_engine()] for b in BLOCKS}, found)
            # The requested order shows how long a prefix is cached.
            self.assertEqual(BLOCKS, list(found))
        sizes = [len(item) for item in self.directories.values()]
        self.assertEqual(len(BLOCKS), sum(sizes))
        self.assertGreater(min(sizes), 5)
        self.assertEqual({1, 2}, set(self.network.calls.values()))
        self.assertEqual(8, sum(self.network.calls.values()))

    async def test_other_data_centres(self):
        """Guards against stored blocks that only one data centre finds.

        Engines of other data centres are no use to a data centre, and a
        report must not return to where it came from.
        """
        self.network.names = list("abcdef")
        local, remote = list("abc"), list("def")
        for name in local + remote:
            own, other = local, remote
            if name in remote:
                own, other = remote, local
                self.directories[name] = self.start(name)
            self.network.views[name] = own
            self.network.remote[name] = {"other": other}
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

    async def test_shards_that_do_not_answer(self):
        """Guards against a lookup that fails or waits for a lost shard."""
        await self.report(BLOCKS, make_engine())
        await self.lookup("b", BLOCKS)
        lost = len(self.directories["c"])

        async def hang(request):
            await asyncio.sleep(60.0)

        cases = ("down", "reply lost", "hangs", "unknown", "owner restarted")
        for name in cases:
            with self.subTest(name):
                if name == "hangs":
                    self.network.serve("c", LookupBlocks=hang)
                elif name == "unknown":
                    self.network.names.remove("c")
                    self.network.views["b"] = ["a", "b", "c"]
                elif name == "owner restarted":
                    self.network.names.append("c")
                    self.start("c")
                else:
                    fault = (
                        journal_fakes.DOWN
                        if name == "down"
                        else journal_fakes.LOST
                    )
                    self.network.faults["c", "LookupBlocks"] = [fault]
                start = journal_fakes.read_clock()
                found = await self.lookup("b", BLOCKS)
                self.assertEqual(len(BLOCKS) - lost, len(found))
                self.assertLess(journal_fakes.read_clock() - start, 0.021)
        # Nothing is asked after the deadline; own entries still count.
        self.network.calls.clear()
        found = await self.lookup(
            "b", BLOCKS, deadline=journal_fakes.START - 1
        )
        self.assertEqual(len(self.directories["b"]), len(found))
        self.assertEqual(0, sum(self.network.calls.values()))

    async def test_members_disagree(self):
        """Guards against messages that are sent on in a circle."""
        self.network.views = {"a": ["b"], "b": ["c"], "c": ["a"]}
        await self.report(BLOCKS, make_engine())
        self.assertEqual(len(BLOCKS), len(await self.lookup("a", BLOCKS)))
        self.assertEqual(len(BLOCKS), len(self.directories["b"]))
        self.assertEqual(2, sum(self.network.calls.values()))

    async def test_members_change(self):
        """Guards against shards of an owner that left."""
        await self.lookup("a", BLOCKS)
        self.network.names.remove("c")
        await self.report(BLOCKS, make_engine())
        self.assertEqual(len(BLOCKS), len(await self.lookup("b", BLOCKS)))

    async def test_removals(self):
        """Guards against the removal of another entry.

        Each case has the holders stored one after the other, the one removed
        and those left.
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

    async def test_restarted_server(self):
        """Guards against blocks that a server lost when it restarted."""
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

    async def test_bounds(self):
        """Guards against memory without bound, and loss of used entries."""
        self.network.names = ["a"]
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
        self.assertEqual(engines[-directory.MAX_HOLDERS :], found[BLOCKS[0]])

    async def test_malformed_names(self):
        """Guards against a report that fails because of one entry."""
        names = ["", "xyz", "00", "zz" * 32, BLOCKS[0] + "00"]
        report = make_report(names + BLOCKS[:1], make_engine())
        await self.directories["a"].report(report)
        found = await self.lookup("a", names + BLOCKS[:1])
        self.assertEqual(BLOCKS[:1], list(found))
