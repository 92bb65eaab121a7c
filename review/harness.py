"""Entry hosts as processes, with stand-ins, for the scripts of the cases."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import aiohttp  # noqa: E402

from standins import platform_fixtures  # noqa: E402
from standins import platform_store  # noqa: E402

# Exit statuses of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Time after which a script ends in any case.
MAX_SECONDS = 110.0
# Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Events of the hosts' logs that the record leaves out.
UNRECORDED = tuple(
    f'"event":"{event}"' for event in ("sent", "answered", "failed", "error")
)

# The bounds of the site nyaglaze.
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "gikondo"
region = "kigali"
inner_ports = [{peer_port}, {peer_port}]
heartbeat_ms = 1200
[zones]
gikondo = "kigali"
remera = "kigali"
muhoza = "musanze"
[listen_addrs]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
link_mbps = 1000.0
[bounds]
contact_ms = 4000
drain_ms = 2500
grace_s = 8
config_apply_ms = 2500
retry_budget_ratio = 0.2
retry_budget_extra = 56
budget_window_s = 10
revoke_fail_closed = true
revoke_ms = 5000
lease_ms = 3000
thaw_ms = 300
version_ms = 10000
version_all_ms = 14000
[platform]
address = "{store}"
"""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line with the seconds since the start of the script."""
        seconds = time.monotonic() - self._began_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class Host:
    """An entry host as the deploy file starts it."""

    def __init__(
        self, name: str, ip: str, ports: t.Sequence[int], folder: pathlib.Path
    ) -> None:
        self.name, self.ip = name, ip
        self.front_port, self.ready_port, self.peer_port = ports
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self.process: t.Optional[asyncio.subprocess.Process] = None

    async def start(self, store_address: str) -> None:
        """Start the process with settings that name the store's address."""
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                front_port=self.front_port,
                ready_port=self.ready_port,
                peer_port=self.peer_port,
                store=store_address,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["SESAMEFOLD_CONFIG"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ""


class Deployment:
    """Entry hosts and the platform's store on loopback addresses."""

    def __init__(self, record: Record, stack: contextlib.AsyncExitStack):
        self.record = record
        self.stack = stack
        self.store = platform_store.PlatformStore()
        self.store_address = ""
        self.hosts: t.List[Host] = []
        self._folder = pathlib.Path()

    async def open(self) -> None:
        """Start the store."""
        self._folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.store_address = await platform_fixtures.start_server(
            self.stack, self.store.build_app()
        )
        self.caller = await self.stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )

    async def start_host(self, name: str, ip: str) -> Host:
        """Start an entry host and wait until it is ready."""
        host = Host(name, ip, find_free_ports(ip, 3), self._folder)
        self.hosts.append(host)
        self.stack.push_async_callback(host.kill)
        await host.start(self.store_address)
        return host

    async def wait_ready(self, host: Host) -> None:
        """Wait until a host reports that it is ready."""
        url = f"http://{host.ip}:{host.ready_port}/ready"
        async with asyncio.timeout(20.0):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.caller.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)


def find_free_ports(ip: str, count: int) -> t.List[int]:
    """Return ports of an address that are free for both TCP and UDP."""
    ports: t.List[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            listener = stack.enter_context(socket.socket())
            listener.bind((ip, 0))
            port = listener.getsockname()[1]
            datagrams = stack.enter_context(
                socket.socket(type=socket.SOCK_DGRAM)
            )
            try:
                datagrams.bind((ip, port))
            except OSError:
                continue
            ports.append(port)
    return ports


Scenario = t.Callable[[Deployment], t.Awaitable[bool]]


async def _run(scenario: Scenario, record: Record) -> int:
    async with asyncio.timeout(MAX_SECONDS):
        async with contextlib.AsyncExitStack() as stack:
            deployment = Deployment(record, stack)
            await deployment.open()
            try:
                broken = await scenario(deployment)
            finally:
                for host in deployment.hosts:
                    await host.kill()
                    for line in host.read_log().splitlines():
                        if not any(event in line for event in UNRECORDED):
                            record.write(f"log of {host.name}: {line[:400]}")
            return BROKEN if broken else HELD


def run(scenario: Scenario, folder: pathlib.Path) -> t.NoReturn:
    """Run a scenario, which returns whether the rule was broken, and exit."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    try:
        status = asyncio.run(_run(scenario, record))
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        status = COULD_NOT_RUN
    record.write(f"exit status {status}")
    print(f"exit status {status}")
    sys.exit(status)
