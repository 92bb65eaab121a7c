"""Measures checking, applying and loading of a configuration.

Run by `python -m tools.measure_configuration`. Prints one JSON line for each
number of customers. Memory is the peak of Python's allocations during a step
(tracemalloc, in a separate run, since it slows the step down); time is the
median of several runs.
"""

import argparse
import asyncio
import hashlib
import json
import resource
import statistics
import sys
import time
import tracemalloc
import typing as t

from sesamefold import chunking
from sesamefold import deadline as deadlines
from sesamefold import keyvalue
from sesamefold import revisions
from sesamefold import validation

_SECONDS = 300.0


class CountingKeyValue:
    """The part of a key-value service that edits use, in memory."""

    def __init__(self) -> None:
        self.entries: t.Dict[str, keyvalue.Entry] = {}
        self.written: t.Dict[str, int] = {}

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[keyvalue.Entry]:
        """Return the entry of `key`."""
        return self.entries.get(key)

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        """Write a value and count its bytes; there are no conflicts."""
        found = self.entries.get(key)
        version = (found.version if found else 0) + 1
        self.entries[key] = keyvalue.Entry(key, value, version)
        self.written[key] = len(value)
        return version


def write_text(customers: int, changed: int = -1) -> str:
    """Return a text of 38 models in 12 data centres and `customers`.

    The customer with the number `changed` has another share.
    """
    regions = [f"region-{i}" for i in range(5)]
    centres = [f"centre-{i:02}" for i in range(12)]
    models = [f"model-{i:02}" for i in range(38)]
    lines = ["regions: {" + ", ".join(f"{r}: {{}}" for r in regions) + "}"]
    lines.append("data_centres:")
    lines += [
        f"  {name}: {{region: {regions[i % len(regions)]}, in: true}}"
        for i, name in enumerate(centres)
    ]
    lines.append("models:")
    lines += [f'  {name}: {{version: "v1"}}' for name in models]
    lines.append("groups:")
    lines += [
        f"  {model}-{centre}: {{data_centre: {centre}, kind: engine, "
        f"model: {model}, checks_fencing: true, cold_limit: 2}}"
        for model in models
        for centre in centres
    ]
    lines.append("services:")
    lines += [f"  {name}: {{kind: model, model: {name}}}" for name in models]
    lines.append("customers:")
    lines += [
        f"  customer-{i:05}: {{token_sha256: "
        f'"{hashlib.sha256(b"%d" % i).hexdigest()}", '
        f"share: {7 if i == changed else 1 + i % 5}}}"
        for i in range(customers)
    ]
    return "\n".join(lines) + "\n"


def _apply(store: t.Any, text: str) -> revisions.Head:
    return asyncio.run(
        revisions.apply_text(
            store, text, "measurement", deadlines.Deadline.after(_SECONDS)
        )
    )


def _time(call: t.Callable[[], t.Any], repeat: int) -> float:
    """Return the median of the seconds of `repeat` calls."""
    seconds = []
    for _ in range(repeat):
        start = time.perf_counter()
        call()
        seconds.append(time.perf_counter() - start)
    return round(statistics.median(seconds), 4)


def _trace(call: t.Callable[[], t.Any]) -> float:
    """Return the peak of allocated memory during a call in MB."""
    tracemalloc.start()
    try:
        call()
        return round(tracemalloc.get_traced_memory()[1] / 1e6, 1)
    finally:
        tracemalloc.stop()


def _read_chunks(
    store: CountingKeyValue, digests: t.Iterable[str]
) -> t.Dict[str, bytes]:
    return {
        digest: store.entries[revisions.CHUNK_PREFIX + digest].value
        for digest in digests
    }


def measure(customers: int, repeat: int, memory: bool) -> t.Dict[str, t.Any]:
    """Return the figures for a number of customers; sizes are in bytes."""
    text = write_text(customers)
    changed = write_text(customers, customers // 2)
    figures: t.Dict[str, t.Any] = {
        "customers": customers,
        "text_bytes": len(text),
        "check_seconds": _time(lambda: validation.parse_text(text), repeat),
        "first_apply_seconds": _time(
            lambda: _apply(CountingKeyValue(), text), repeat
        ),
    }
    if memory:
        figures["check_peak_mb"] = _trace(lambda: validation.parse_text(text))
        figures["first_apply_peak_mb"] = _trace(
            lambda: _apply(CountingKeyValue(), text)
        )
    store = CountingKeyValue()
    first = _apply(store, text)
    figures["first_writes"] = len(store.written)
    figures["first_written_bytes"] = sum(store.written.values())
    chunks = _read_chunks(store, first.list_digests(True))
    store.written.clear()
    start = time.perf_counter()
    second = _apply(store, changed)
    figures["edit_apply_seconds"] = round(time.perf_counter() - start, 4)
    figures["edit_head_bytes"] = store.written.pop(revisions.HEAD_KEY)
    digests = set(second.list_digests(True))
    loaded = {
        key: size
        for key, size in store.written.items()
        if key.removeprefix(revisions.CHUNK_PREFIX) in digests
    }
    figures["edit_host_chunks"] = len(loaded)
    figures["edit_host_chunk_bytes"] = sum(loaded.values())
    figures["edit_text_chunks"] = len(store.written) - len(loaded)
    figures["edit_text_chunk_bytes"] = (
        sum(store.written.values()) - figures["edit_host_chunk_bytes"]
    )
    new_chunks = _read_chunks(store, second.list_digests(True))

    def build(cache: t.Optional[chunking.RecordCache], head: t.Any) -> None:
        revisions.build_configuration(
            head, {**chunks, **new_chunks}, True, cache
        )

    figures["build_seconds"] = _time(lambda: build(None, second), repeat)
    figures["build_control_seconds"] = _time(
        lambda: revisions.build_configuration(second, new_chunks, False),
        repeat,
    )
    seconds = []
    for _ in range(repeat):
        cache = chunking.RecordCache()
        build(cache, first)
        start = time.perf_counter()
        build(cache, second)
        seconds.append(time.perf_counter() - start)
    figures["build_cached_seconds"] = round(statistics.median(seconds), 4)
    if memory:
        cache = chunking.RecordCache()
        figures["build_peak_mb"] = _trace(lambda: build(cache, second))
    # The peak of the process so far, this program included.
    figures["process_peak_mb"] = round(
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3, 1
    )
    return figures


def main(arguments: t.Sequence[str]) -> int:
    """Measure for each number of customers and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "customers", nargs="*", type=int, default=[1000, 5000, 19_000]
    )
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--no-memory", action="store_true")
    options = parser.parse_args(arguments)
    for customers in options.customers:
        figures = measure(customers, options.repeat, not options.no_memory)
        print(json.dumps(figures), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
