"""Settings, records and servers of a small platform on loopback."""

import contextlib
import json
import socket
import typing as t

from aiohttp import web

ROUTE_HOST = "callers.example"
API_KEY = "a-key"
MODEL = "model-1"

SETTINGS_TEMPLATE = """
node_name = "entry-1"
zone = "dc-1"
region = "region-1"
ip = "127.0.0.1"
inner_ports = [{ports[2]}, {ports[2]}]
contracts = {contracts}
[zones]
dc-1 = "region-1"
[listen_addrs]
front = "127.0.0.1:{ports[0]}"
ready = "127.0.0.1:{ports[1]}"
[limits]
memory_mb = {memory_mb}
[bounds]
retry_budget_ratio = {ratio}
retry_budget_extra = 58
budget_window_s = 10
revoke_ms = {revoke_ms}
revoke_fail_closed = true
grace_s = {grace_s}
lease_ms = 3000
drain_ms = 2500
contact_ms = {contact_ms}
version_ms = {version_ms}
[platform]
address = "{store}"
"""


def format_settings(
    ports: t.Sequence[int], store: str, **changes: t.Any
) -> str:
    """Return the settings file of an entry host as TOML.

    `ports` are those for callers, for readiness checks and for other entry
    hosts; `store` is the address of the platform's store. `changes` may set
    `ratio`, the retry budget ratio, and the bounds `revoke_ms`, `contact_ms`,
    `version_ms` and `grace_s`, `memory_mb`, the memory of the host, and
    `contracts`, a list of the parts of the rules that are in force.
    """
    values = {
        "ratio": 0.2,
        "revoke_ms": 5000,
        "contact_ms": 4000,
        "version_ms": 10000,
        "grace_s": 6,
        "memory_mb": 128,
        "contracts": [],
        **changes,
    }
    return SETTINGS_TEMPLATE.format(ports=ports, store=store, **values)


def make_server_entry(address: str, **fields: t.Any) -> t.Dict[str, t.Any]:
    """Return a backend server's entry in the platform's store."""
    return {
        "service": "chat",
        "address": address,
        "zone": "dc-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
        **fields,
    }


def make_odd_server_entries(address: str) -> t.Dict[str, bytes]:
    """Return servers' entries of another writer, by server id.

    Each would be an entry of a server at `address`, but for one field or for
    bytes around it. None of them names a server that may be used.
    """
    sound = make_server_entry(address, models=[{"name": MODEL, "version": 1}])
    digits = "9" * 400
    values = {
        "address": (
            '""',
            "null",
            '"127.0.0.1"',
            '"127.0.0.1:0"',
            '"127.0.0.1:65536"',
            '"127.0.0.1:-1"',
            f'"127.0.0.1:{digits}"',
            '"a b/c?:80"',
            '"\\ud800:80"',
        ),
        "models": (
            '{"name": 1}',
            '"ab"',
            "null",
            "7",
            "[7]",
            '[{"name": null, "version": 1}]',
            '[{"name": "m", "version": 1e400}]',
            '[{"name": "m", "version": -1}]',
            '[{"name": "m", "version": %s}]' % digits,
        ),
        "cold_left_ms": ("NaN", "Infinity", "1e400", digits, '"1"', "true"),
    }
    whole = ("1e400", "NaN", "-1", "1.5", digits, "-" + digits, str(2**63))
    texts = [
        json.dumps({**sound, name: "@"}).replace('"@"', value, 1)
        for name, choices in (
            *values.items(),
            *((name, (*whole, "9" * 5000)) for name in ("slots", "seq")),
            ("born", whole),
            ("state", ('"asleep"', "[]", "{}")),
            ("service", ("1", "{}")),
            ("zone", ("null", "[1]")),
        )
        for value in choices
    ]
    encoded = json.dumps(sound).encode()
    entries = [
        *map(str.encode, texts),
        b"",
        b"\xff\xfe\x00",
        encoded[:-1],
        encoded + b"}",
        b"[" * 100_000,
        b'{"models":' * 50_000,
        encoded.replace(b'"slots": 8', b'"slots": 8, "slots": -1'),
    ]
    return {f"odd-{number}": entry for number, entry in enumerate(entries)}


def make_odd_member_records() -> t.Dict[str, bytes]:
    """Return malformed records of entry hosts, by host name."""
    digits = "9" * 400
    rows = [
        *(
            f'["region-1", "127.0.0.1", {port}, 1.0]'
            for port in ("0", "65536", "-1", "1e400", "NaN", digits, '"x"')
        ),
        *(
            f'["region-1", "127.0.0.1", 1, {link}]'
            for link in ("NaN", "1e400", digits, "-1", "null")
        ),
        '["region-1", "a b", 1, 1.0]',
        '["region-1", null, 1, 1.0]',
        '[7, "127.0.0.1", 1, 1.0]',
        "{}",
        "7",
        "",
    ]
    records = [*map(str.encode, rows), b"\xff\xfe", b"[" * 100_000]
    return {f"odd-{number}": row for number, row in enumerate(records)}


def make_configuration(version: int = 1, **fields: t.Any) -> t.Any:
    """Return the operator's configuration in the platform's format."""

    def route(name: str, kind: str, **more: t.Any) -> t.Dict[str, t.Any]:
        return {
            "name": name,
            "host": ROUTE_HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 1,
            "service": "chat",
            "max_attempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
            "target_gap_ms": 200,
            "allowed_regions": [],
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("safe", "safe"),
            route("unsafe", "unsafe"),
            route("stream", "streaming"),
            route("resumable", "streaming", resumable=True),
            route("short", "unsafe", timeout_ms=300),
        ],
        "services": [
            {
                "name": "chat",
                "health_path": "/healthz",
                "max_connections": 100,
                "cold_start_s": 3.0,
                "cold_per_s": 21.0,
                "engine": {"slots": 64, "kv_capacity": 100_000},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "customer-1",
                "api_keys": [API_KEY],
                "priority": 1,
                "allowed_regions": [],
            }
        ],
        **fields,
    }


async def start_server(
    stack: contextlib.AsyncExitStack, handler: t.Any
) -> str:
    """Serve an application or a handler; return the address.

    The server stops when `stack` is closed.
    """
    if isinstance(handler, web.Application):
        runner: web.BaseRunner[t.Any] = web.AppRunner(
            handler, shutdown_timeout=0.1
        )
    else:
        runner = web.ServerRunner(
            web.Server(handler, handler_cancellation=True),
            shutdown_timeout=0.1,
        )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def find_free_ports(count: int) -> t.List[int]:
    """Return ports of loopback that are free for both TCP and UDP."""
    ports: t.List[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            if is_udp_port_free(port):
                ports.append(port)
    return ports


def is_udp_port_free(port: int) -> bool:
    """Return whether a UDP socket can be bound to a port of loopback."""
    with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        try:
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            # Another process uses the port.
            return False
    return True
