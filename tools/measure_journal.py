"""Measures the journal, the block directory and other state of control.

Prints key-value writes for each call and added latency at several rates,
bytes of a record, and memory of a directory entry, of the configuration and
of the hosts. The key-value service is
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

from sesamefold import backends
from sesamefold import buckets
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import directory
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import journal
from sesamefold import keyvalue
from sesamefold import membership
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
    """Return the memory of a shard with `count` entries.

    Twice as many entries were evicted before, as in a shard in use: the table
    then has more free room than one that was only filled.
    """
    rng = random.Random(1)
    names = [rng.randbytes(32).hex() for _ in range(3 * count)]
    engines = [
        control_pb2.Holder(kind="engine", name=f"engine-{number}")
        for number in range(20)
    ]
    gc.collect()
    tracemalloc.start()
    table = directory.EntryTable(count)
    for name in names:
        table.add_holder(name, rng.choice(engines))
        if stores:
            table.add_holder(
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


def make_configuration() -> configuration.Configuration:
    """Return 12 data centres with 38 models, as the design targets have."""
    centres = [f"region-{n % 5}-{n}" for n in range(12)]
    models = [f"model-{n}" for n in range(38)]
    groups = [
        configuration.Group(f"{model}-{centre}", centre, "engine", model=model)
        for model in models
        for centre in centres
    ]
    return configuration.Configuration(
        regions=tuple(f"region-{n}" for n in range(5)),
        data_centres={
            name: configuration.DataCentre(name, name[:8]) for name in centres
        },
        models={name: configuration.Model(name, "v1") for name in models},
        groups={group.name: group for group in groups},
        services={
            f"service-{name}": configuration.Service(
                f"service-{name}", "model", name, (f"service-{models[0]}",)
            )
            for name in models
        },
    )


def make_report(number: int) -> control_pb2.BackendState:
    """Return the state of one backend server."""
    return control_pb2.BackendState(
        name=f"backend-{number}",
        address=f"10.1.{number // 250}.{number % 250}:9000",
        group=f"group-{number % 38}",
        data_centre="data-centre-0",
        state="warm",
        epoch=str(uuid.uuid4()),
        versions=[f"model-{number % 38}@v1"],
        measured_at=1e9,
    )


def make_hosts() -> t.List[t.Any]:
    """Return what a control keeps of 400 nodes and its 292 servers."""
    hosts = [
        hostlist.Host(
            name=f"entry-{n}",
            kind="entry",
            data_centre=f"data-centre-{n % 12}",
            address=f"10.0.{n // 250}.{n % 250}:8000",
            control_address=f"10.0.{n // 250}.{n % 250}:8001",
        )
        for n in range(400)
    ]
    peers = [
        membership.Peer(
            control_pb2.Member(
                name=host.name,
                data_centre=host.data_centre,
                control_address=host.control_address,
                gateway_address=host.address,
                incarnation=str(uuid.uuid4()),
            ),
            1e9 + number,
        )
        for number, host in enumerate(hosts[:34])
    ]
    servers = [
        backends.BackendRecord(
            hostlist.Host(
                name=f"backend-{n}",
                kind="backend",
                data_centre="data-centre-0",
                address=f"10.1.{n // 250}.{n % 250}:9000",
                group=f"group-{n % 38}",
            ),
            report=make_report(n),
            source=f"entry-{n % 34}",
            refreshed_at=1e9 + n,
            effective_state=make_report(n),
        )
        for n in range(292)
    ]
    return [hosts, peers, servers]


def measure_state(name: str, make: t.Callable[[], t.Any]) -> str:
    """Return the memory of what `make` returns."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return f"{name:<30} {size / 1024 / 1024:>6.2f} MB"


def make_customers() -> t.List[bytes]:
    """Return chunks of 64 of 19,000 customers, which a control passes on."""
    customers = [
        configuration.Customer(f"customer-{n}", os.urandom(32).hex(), 10)
        for n in range(19_000)
    ]
    return [
        configuration.encode_records(customers[n : n + 64])
        for n in range(0, len(customers), 64)
    ]


def make_cache() -> t.List[t.Dict[bytes, bytes]]:
    """Return journal buckets up to the bounds of the cache."""
    count = buckets.MAX_CACHED_BYTES // (
        records.RESERVED_RECORD_BYTES + buckets.RECORD_OVERHEAD_BYTES
    )
    return [
        {
            os.urandom(16): os.urandom(33)
            for _ in range(count // buckets.MAX_CACHED_BUCKETS)
        }
        for _ in range(buckets.MAX_CACHED_BUCKETS)
    ]


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
        "--rates", type=float, nargs="*", default=[50.0, 200.0, 1000.0]
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
        for count in (10_000, 20_000, 25_000, 30_000, 50_000):
            print(measure_directory(count, stores))
    print(measure_state("journal cache", make_cache))
    print(measure_state("configuration", make_configuration))
    print(measure_state("chunks of customers", make_customers))
    print(measure_state("hosts", make_hosts))


if __name__ == "__main__":
    main()
