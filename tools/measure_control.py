"""Measures memory, CPU and traffic of control daemons on loopback.

Each run starts stand-ins and N control daemons of one data centre, lets them
settle, and measures for some seconds. Traffic is the payload of the daemons'
TCP connections as `ss` counts it, and an estimate with headers of 52 bytes
per segment. Connections that are opened or closed meanwhile are not counted.
"""

import argparse
import asyncio
import json
import os
import re
import statistics
import subprocess
import sys
import time
import typing as t
import uuid

import attrs

from sesamefold import client
from sesamefold import deadline as deadlines
from sesamefold import keyvalue
from sesamefold import revisions
from tools import launcher

HEADER_BYTES = 52
_SOCKET = re.compile(r'\("[^"]*",pid=(\d+),fd=(\d+)\)')
_FIELD = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


@attrs.frozen
class Sample:
    """Counters of one process; `sockets` maps descriptors to TCP counters."""

    at: float
    cpu: float  # seconds
    resident: float  # MB
    sockets: t.Mapping[t.Tuple[int, str], t.Mapping[str, int]]


def read_sockets() -> t.Dict[int, t.Dict[t.Tuple[int, str], t.Any]]:
    """Return the counters of TCP connections by process."""
    output = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    found: t.Dict[int, t.Dict[t.Tuple[int, str], t.Any]] = {}
    for line in output.splitlines():
        addresses = " ".join(line.split()[3:5])
        fields = {key: int(value) for key, value in _FIELD.findall(line)}
        for pid, descriptor in _SOCKET.findall(line):
            sockets = found.setdefault(int(pid), {})
            sockets[int(descriptor), addresses] = fields
    return found


def take_sample(pid: int, sockets: t.Any) -> Sample:
    """Return the counters of a process."""
    with open(f"/proc/{pid}/stat") as stream:
        fields = stream.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as stream:
        status = dict(line.split(":", 1) for line in stream)
    ticks = int(fields[11]) + int(fields[12])
    return Sample(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        int(status["VmRSS"].split()[0]) / 1024,
        sockets.get(pid, {}),
    )


def compare(before: Sample, after: Sample) -> t.Dict[str, float]:
    """Return memory, share of a core and bytes per second."""
    seconds = after.at - before.at
    total = {"sent": 0, "received": 0, "segments": 0}
    for key, new in after.sockets.items():
        old = before.sockets.get(key)
        if old is None:
            continue

        def grow(field: str) -> int:
            return new.get(field, 0) - old.get(field, 0)

        total["sent"] += grow("bytes_sent")
        total["received"] += grow("bytes_received")
        total["segments"] += grow("segs_out") + grow("segs_in")
    payload = total["sent"] + total["received"]
    return {
        "resident_mb": after.resident,
        "cpu_percent": 100 * (after.cpu - before.cpu) / seconds,
        "payload_bytes_per_s": payload / seconds,
        "bytes_per_s": (payload + HEADER_BYTES * total["segments"]) / seconds,
    }


def write_text(customers: int, models: int) -> str:
    """Return an operator's text with one group for the engines."""
    names = [f"model-{index}" for index in range(models)]
    sections = {
        "regions": {"lima": {}},
        "data_centres": {"lima-a": {"region": "lima", "in": True}},
        "models": {name: {"version": "v1"} for name in names},
        "groups": {
            "engines": {
                "data_centre": "lima-a",
                "kind": "engine",
                "model": names[0],
            }
        },
        "services": {name: {"kind": "model", "model": name} for name in names},
        "customers": {
            f"customer-{index}": {
                "token_sha256": launcher.hash_token(str(index))
            }
            for index in range(customers)
        },
    }
    # One record a line, as operators write it.
    return "".join(
        f"{section}:\n"
        + "".join(
            f"  {name}: {json.dumps(record)}\n"
            for name, record in records.items()
        )
        for section, records in sections.items()
    )


async def start_controls(
    system: launcher.System, count: int
) -> t.List[launcher.Child]:
    """Start control daemons and list them."""
    found = []
    for index in range(count):
        name = f"host-{index}"
        path = system.launcher.folder / f"{name}.yaml"
        path.write_text(
            json.dumps(
                {
                    "host": name,
                    "data_centre": "lima-a",
                    "key_value_url": system.key_value_url,
                    "host_list_url": system.host_list_url,
                    "handle_keys": [{"id": "k1", "secret": "s" * 32}],
                    "drain_delay": 0.1,
                    "drain_time": 0.1,
                }
            )
        )
        child = await system.launcher.start(
            name, "sesamefold", "control", "--settings", str(path)
        )
        await system.list_host(
            name,
            kind="entry",
            data_centre="lima-a",
            address="127.0.0.1:1",
            control_address=child.ready["control_address"],
        )
        found.append(child)
    return found


async def is_settled(children: t.Sequence[launcher.Child]) -> bool:
    """Return whether all daemons know all members and warm engines."""
    for child in children:
        async with client.ControlClient(
            child.ready["control_address"]
        ) as control:
            status = await control.get_status()
        centre = status.data_centres[0]
        if (
            not status.revision
            or sum(host.reachable for host in centre.hosts) < len(children)
            or any(b.state != "warm" for b in centre.backends)
        ):
            return False
    return True


async def measure(arguments: argparse.Namespace, count: int) -> None:
    """Run `count` control daemons and print one JSON line."""
    async with launcher.Launcher() as started:
        system = launcher.System(
            started,
            await started.start_standin("keyvalue"),
            await started.start_standin("hostlist"),
        )
        for index in range(arguments.engines):
            engine = await started.start_standin(
                "engine", "--model=model-0", "--versions=v1"
            )
            await system.list_host(
                f"engine-{index}",
                kind="backend",
                data_centre="lima-a",
                address=engine.ready["address"],
                group="engines",
            )
        await revisions.apply_text(
            keyvalue.HttpKeyValue(started.session, system.key_value_url),
            write_text(arguments.customers, arguments.models),
            "rosa",
            deadlines.Deadline.after(60.0),
        )
        children = await start_controls(system, count)
        await launcher.wait_until(
            lambda: is_settled(children), "members and engines", 40.0
        )
        await asyncio.sleep(3.0)
        pids = [child.process.pid for child in children]
        sockets = read_sockets()
        before = [take_sample(pid, sockets) for pid in pids]
        await asyncio.sleep(arguments.seconds)
        sockets = read_sockets()
        after = [take_sample(pid, sockets) for pid in pids]
        results = [compare(*pair) for pair in zip(before, after)]
        codes = await asyncio.gather(*(child.stop() for child in children))
    line: t.Dict[str, t.Any] = {
        "run": uuid.uuid4().hex[:8],
        "members": count,
        "engines": arguments.engines,
        "customers": arguments.customers,
        "seconds": arguments.seconds,
        "exit_codes": sorted(set(codes)),
    }
    for key in results[0]:
        values = [result[key] for result in results]
        line[key] = {
            "median": round(statistics.median(values), 2),
            "max": round(max(values), 2),
        }
    print(json.dumps(line), flush=True)


def main() -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", type=int, nargs="+", default=[2, 5, 9])
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--customers", type=int, default=10)
    parser.add_argument("--models", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    for count in arguments.members:
        asyncio.run(measure(arguments, count))
    return 0


if __name__ == "__main__":
    sys.exit(main())
