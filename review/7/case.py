"""A host that is cut off from the store frees what others use again."""

import asyncio
import collections
import pathlib
import time

import bench2
from sesamefold import rendezvous
from standins import platform_context_store

CUT_SECONDS = 5.5
# Figures of nyaglaze: parts of up to 23,000 tokens of 18,432 bytes, over the
# 48,000 Mbit/s of a store, twice as long between zones.
SHARED_TOKENS = 23_000
TOKENS_PER_SECOND = 48_000e6 / 8 / 18_432 / 2
STORE_TOKENS = 1_083_165
ENGINE_TOKENS = 144_184
SESSIONS = 20
REQUESTS_PER_SECOND = 6.6


class Store(platform_context_store.ContextStore):
    """A store that tells apart a miss from a part freed in its transfer."""

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.freed_reads = []
        self.reading = None

    def free(self, parts):
        parts = list(parts)
        self.record.write("freed", parts=parts, reading=self.reading)
        super().free(parts)

    async def fetch(self, key, deadline):
        async with self._transfer_lock:
            tokens = self.stored_tokens.get(key, 0)
            if not tokens:
                return 0
            began_at = time.time()
            self.reading = key
            await asyncio.sleep(0.006 + tokens / self.tokens_per_second)
            self.reading = None
            if time.time() > deadline:
                return 0
            if key not in self.stored_tokens:
                self.freed_reads.append(
                    {"part": key[1], "salt": key[0], "began_at": began_at}
                )
            return tokens


class Engine(bench2.Engine):
    """An engine that fetches parts from a store and saves them there."""

    def __init__(self, engine_id, record, store):
        super().__init__(engine_id, record, 0.05)
        self.kv_store = store
        self.kept = collections.OrderedDict()

    async def read_prompt(self, headers, model):
        salt = headers.get("Sesamefold-Cache-Salt", "")
        entries = [
            entry.partition(":")
            for entry in headers["Sesamefold-Prompt-Prefix"].split(",")
        ]
        missing = ["-"] * len(entries)
        sources = headers.get("Sesamefold-Kv-Fetch", "").split(",")
        targets = headers.get("Sesamefold-Kv-Save", "").split(",")
        until = int(headers.get("Sesamefold-Kv-Until", "0")) / 1000.0
        fetched = []
        for (part, _, tokens), source, target in zip(
            entries, [*sources, *missing], [*targets, *missing]
        ):
            key = (salt, part, model)
            if key in self.kept:
                self.kept.move_to_end(key)
                continue
            if source not in ("-", ""):
                freed = len(self.kv_store.freed_reads)
                if await self.kv_store.fetch(key, until):
                    fetched.append(part)
                for read in self.kv_store.freed_reads[freed:]:
                    self.record.write(
                        "MIXED",
                        request=headers["Sesamefold-Request-Id"],
                        engine=self.id,
                        **read,
                    )
            self.kept[key] = int(tokens)
            if target not in ("-", ""):
                task = asyncio.create_task(
                    self.kv_store.save(key, int(tokens))
                )
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        while sum(self.kept.values()) > ENGINE_TOKENS:
            self.kept.popitem(last=False)
        return fetched


def make_configuration(version, isolated, store_address):
    return bench2.make_configuration(
        version,
        [bench2.make_route("draft", "streaming", resumable=True)],
        [
            bench2.make_tenant("beta", "key-beta", isolated=False),
            bench2.make_tenant("gamma", "key-gamma", isolated=isolated),
        ],
        [
            {
                "name": "cache",
                "kv_store_addr": store_address,
                "zone": "zone-b",
                "kv_capacity": STORE_TOKENS,
                "link_mbps": 48000.0,
                "max_in_flight": 12,
                "managed": True,
                "first_ms": 6.0,
            }
        ],
    )


async def script(world: bench2.World) -> bool:
    store = Store(STORE_TOKENS, TOKENS_PER_SECOND)
    store.record = world.record
    app = store.build_app()
    _, address = await bench2.start_server(
        world.stack, app, f"{world.net}.200"
    )
    world.configure(make_configuration(1, False, address))
    for number in range(2):
        await world.add_engine(Engine(f"i-{number}", world.record, store))
    links = {f"front-{n}": bench2.Link() for n in (1, 2)}
    hosts = {
        name: await world.add_host(name, link) for name, link in links.items()
    }
    for host in hosts.values():
        await host.wait_ready()
    # The machine that is cut is the one that frees; the other one serves.
    freeing = rendezvous.rank_owners(address, hosts)[0]
    serving = next(h for name, h in hosts.items() if name != freeing)
    tasks = set()

    async def send() -> None:
        number = 0
        while True:
            part = f"{number % SESSIONS + 1:08x}"
            task = asyncio.create_task(
                world.ask(
                    serving,
                    f"b{number}",
                    "/draft/x",
                    **{
                        "Api-Key": "key-beta",
                        "Sesamefold-Model": bench2.MODEL,
                        "Sesamefold-Token-Usage": f"{SHARED_TOKENS + 100},3",
                        "Sesamefold-Prompt-Prefix": (
                            f"{part}:{SHARED_TOKENS},{number + 4096:08x}:100"
                        ),
                        "Sesamefold-Deadline-Ms": "15000",
                    },
                )
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)

    sending = asyncio.create_task(send())
    world.stack.callback(sending.cancel)
    # Nothing is saved in the first seconds after a store was first seen.
    await asyncio.sleep(14.0)
    if len(store.stored_tokens) < SESSIONS:
        raise bench2.CannotRun("the parts were not saved")
    world.record.write("stored", parts=len(store.stored_tokens))

    world.configure(make_configuration(2, True, address))
    isolated_at = world.record.now()
    await asyncio.sleep(11.6)
    world.record.write("stored", parts=len(store.stored_tokens))
    if world.trouble:
        world.record.write("cut", host=freeing)
        links[freeing].open.clear()
    await asyncio.sleep(0.3)
    world.configure(make_configuration(3, False, address))
    await asyncio.sleep(CUT_SECONDS - 0.3)
    links[freeing].open.set()
    world.record.write("healed", host=freeing)
    await asyncio.sleep(isolated_at + 20.0 - world.record.now())
    sending.cancel()
    world.record.write("stored", parts=len(store.stored_tokens))
    await asyncio.gather(*tasks)
    return not store.freed_reads


bench2.run(pathlib.Path(__file__).resolve().parent, script)
