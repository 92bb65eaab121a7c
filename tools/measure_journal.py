"""Measures the journal and the block directory.

Prints key-value writes for each call and added latency at several rates,
bytes of a record, and memory of a directory entry. The key-value service is
a double in this process that answers after a fixed time.
"""

import argparse
import asyncio
import gc
import hashlib
import os
import random
import time
import tracemalloc
import typing as t
import uuid

from sesamefold import deadline as deadlines
from sesamefold import directory
from sesamefold import exceptions
from sesamefold import journal
from sesamefold import keyvalue
from sesamefold import records
from sesamefold.wire import control_pb2

ANSWER_SECONDS = 0.003
HOSTS = ("entry-1", "entry-2", "entry-3")


class KeyValueDouble:
    """Compare-and-swap that takes ANSWER_SECONDS and counts its work."""

    def __init__(self) -> None:
        self._entries: t.Dict[str, keyvalue.Entry] = {}
        self.reads = 0
        self.writes = 0
        self.written = 0  # bytes
        self.largest = 0  # bytes

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[keyvalue.Entry]:
        self.reads += 1
        await asyncio.sleep(ANSWER_SECONDS)
        return self._entries.get(key)

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        self.writes += 1
        self.written += len(value)
        self.largest = max(self.largest, len(value))
        await asyncio.sleep(ANSWER_SECONDS)
        entry = self._entries.get(key)
        actual = 0 if entry is None else entry.version
        if expected is not None and expected != actual:
            raise exceptions.VersionConflict(key, expected, actual)
        self._entries[key] = keyvalue.Entry(key, value, actual + 1)
        return actual + 1


class _Peers:
    """Hosts in one process; a call to another host is a function call."""

    def __init__(
        self, name: str, journals: t.Dict[str, journal.Journal]
    ) -> None:
        self.name = name
        self._journals = journals

    def list_members(self) -> t.List[str]:
        return list(self._journals)

    list_entry_hosts = list_members

    def get_stub(self, name: str) -> t.Any:
        owner = self._journals[name]

        class Stub:
            async def BeginCall(self, request, timeout):
                return await owner.begin(request)

            async def FinishCall(self, request, timeout):
                return await owner.finish(request)

        return Stub()


def make_key() -> str:
    """Return a UUIDv7 issued now."""
    value = int(time.time() * 1000) << 80
    value |= int.from_bytes(os.urandom(10), "big")
    value &= ~(0xF << 76 | 3 << 62)
    return str(uuid.UUID(int=value | 7 << 76 | 2 << 62))


def find_percentile(values: t.Sequence[float], share: float) -> float:
    """Return the value below which `share` of the sorted values lie."""
    return values[min(len(values) - 1, int(share * len(values)))]


async def measure_rate(
    rate: float, seconds: float, body: int, call_seconds: float
) -> str:
    """Return a line of figures for calls that arrive at random times."""
    service = KeyValueDouble()
    journals: t.Dict[str, journal.Journal] = {}
    for name in HOSTS:
        journals[name] = journal.Journal(service, _Peers(name, journals))
    begin_seconds: t.List[float] = []
    failed = 0

    async def call() -> None:
        nonlocal failed
        host = journals[random.choice(HOSTS)]
        key, attempt = make_key(), str(uuid.uuid4())
        start = time.perf_counter()
        try:
            reply = await host.begin(
                control_pb2.BeginCallRequest(
                    customer="acme",
                    key=key,
                    fingerprint=hashlib.sha256(key.encode()).digest(),
                    attempt=attempt,
                    deadline=time.time() + 4.0,
                )
            )
            begin_seconds.append(time.perf_counter() - start)
            failed += reply.decision != control_pb2.BeginCallReply.RUN
            await asyncio.sleep(random.uniform(0.0, 2 * call_seconds))
            await host.finish(
                control_pb2.FinishCallRequest(
                    customer="acme",
                    key=key,
                    attempt=attempt,
                    outcome=control_pb2.Outcome(
                        status=200,
                        content_type="application/json",
                        body=b"x" * body,
                    ),
                )
            )
        except exceptions.SesamefoldError:
            failed += 1

    processor = time.process_time()
    start = time.perf_counter()
    tasks = []
    due = start
    while due < start + seconds:
        due += random.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.create_task(call()))
    await asyncio.gather(*tasks)
    elapsed = time.perf_counter() - start
    processor = time.process_time() - processor
    for host in journals.values():
        await host.stop()
    begin_seconds.sort()
    calls = len(tasks)
    return (
        f"{rate:>7.0f} {calls:>7} {failed:>6} "
        f"{service.writes / calls:>11.3f} {service.writes / elapsed:>8.0f} "
        f"{service.reads / calls:>10.3f} "
        f"{find_percentile(begin_seconds, 0.50) * 1000:>7.1f} "
        f"{find_percentile(begin_seconds, 0.95) * 1000:>7.1f} "
        f"{service.largest / 1024:>9.0f} "
        f"{service.written / elapsed / 1024:>9.0f} "
        f"{processor / elapsed * 100:>6.0f}"
    )


def measure_records() -> t.Iterator[str]:
    """Yield the bytes of records, and the records that a bucket takes."""
    outcomes = {
        "started": None,
        "finished, no body": control_pb2.Outcome(
            status=200, content_type="application/json"
        ),
        "finished, body of 100 bytes": control_pb2.Outcome(
            status=200, content_type="application/json", body=b"x" * 100
        ),
    }
    for name, outcome in outcomes.items():
        record = records.Record(
            bytes(16),
            bytes(8),
            bytes(8),
            records.State.FINISHED if outcome else records.State.STARTED,
            outcome,
        )
        yield f"{name:<30} {len(record.encode()):>5} bytes"


def measure_bucket(count: int) -> str:
    """Return the memory of a bucket while it is written."""
    encoded = [
        records.Record(
            index.to_bytes(16, "big"),
            bytes(8),
            bytes(8),
            records.State.STARTED,
        ).encode()
        for index in range(count)
    ]
    value = records.encode_bucket(encoded)
    gc.collect()
    tracemalloc.start()
    cached = records.decode_bucket(value)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return f"bucket of {len(cached)} records {size / count:>6.0f} bytes/record"


def measure_directory(count: int, stores: bool) -> str:
    """Return the memory of a shard with `count` entries."""
    rng = random.Random(1)
    names = [rng.randbytes(32).hex() for _ in range(count)]
    engines = [
        control_pb2.Holder(kind="engine", name=f"engine-{number}")
        for number in range(20)
    ]
    gc.collect()
    tracemalloc.start()
    shard = directory.Shard(count)
    for name in names:
        shard.add_holder(name, rng.choice(engines))
        if stores:
            shard.add_holder(
                name,
                control_pb2.Holder(
                    kind="store",
                    name="store-1",
                    generation=rng.randbytes(16).hex(),
                    length=1 << 20,
                    sha256=rng.randbytes(32).hex(),
                    tier="disk",
                ),
            )
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    kind = "engine and store" if stores else "engine"
    return (
        f"{count:>7} {kind:<17} {size / count:>6.0f} bytes/entry "
        f"{size / 1024 / 1024:>6.1f} MB"
    )


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--body", type=int, default=100, help="bytes")
    parser.add_argument(
        "--call-seconds",
        type=float,
        default=0.05,
        help="mean time from the intent to the outcome",
    )
    parser.add_argument(
        "--rates", type=float, nargs="+", default=[50.0, 200.0, 1000.0]
    )
    options = parser.parse_args()
    random.seed(1)
    print(
        "calls/s   calls failed writes/call writes/s reads/call  p50 ms  "
        "p95 ms KB/bucket KB/s writ. core %"
    )
    for rate in options.rates:
        print(
            asyncio.run(
                measure_rate(
                    rate, options.seconds, options.body, options.call_seconds
                )
            ),
            flush=True,
        )
    print("\n".join(measure_records()))
    print(measure_bucket(7500))
    for stores in (False, True):
        for count in (10_000, 25_000, 50_000):
            print(measure_directory(count, stores))


if __name__ == "__main__":
    main()
