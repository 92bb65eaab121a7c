"""Records of the operator and the servers, decoded into product types."""

import typing as t

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import topology
from sesamefold.platform import wire

_MS = 1000.0
_MAX_PORT = 65535
_STREAM = "streaming"
_SAFE = "safe"
_STATES = {"ready": False, "draining": True}

Body = t.Mapping[str, t.Any]


def decode_record(key: str, value: bytes) -> t.Optional[changes.Change]:
    """Return the change that a written record stands for.

    None means that the record does not concern the entry hosts.
    """
    try:
        body = wire.decode(value)
        if key.startswith(wire.SERVERS_PREFIX):
            server_id = key.removeprefix(wire.SERVERS_PREFIX)
            return changes.ServerReported(_decode_server(server_id, body))
        if key == wire.CONFIGURATION_KEY:
            return changes.ConfigurationAccepted(_decode_configuration(body))
        if key.startswith(wire.EVACUATION_PREFIX):
            return changes.EvacuationRequested(
                key.removeprefix(wire.EVACUATION_PREFIX)
            )
        if key.startswith(wire.WEIGHTS_PREFIX):
            return changes.TargetWeightsChanged(
                _read(body, "model", str), _read(body, "version", int)
            )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return changes.RecordRejected(key, f"{type(error).__name__}: {error}")
    return changes.RecordRejected(key, "unknown key")


def decode_removal(key: str) -> t.Optional[changes.Change]:
    """Return the change that a removed record stands for."""
    if key.startswith(wire.SERVERS_PREFIX):
        return changes.ServerRemoved(key.removeprefix(wire.SERVERS_PREFIX))
    if key.startswith(wire.EVACUATION_PREFIX):
        return changes.EvacuationEnded(
            key.removeprefix(wire.EVACUATION_PREFIX)
        )
    return changes.RecordRejected(key, "an unknown key was removed")


def _read(body: Body, name: str, kind: t.Any) -> t.Any:
    """Return a field; raises `TypeError` when it has another type."""
    value = body[name]
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{name} is {type(value).__name__}")
    return value


def _decode_server(server_id: str, body: Body) -> topology.Server:
    state = _read(body, "state", str)
    if state not in _STATES:
        raise ValueError(f"unknown state {state}")
    host, _, port = _read(body, "address", str).rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError("the address has no port")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError("the port is out of range")
    # The milliseconds for which the server is still cold.
    cold_ms = _read(body, "cold_left_ms", (int, float))
    return topology.Server(
        id=server_id,
        service=_read(body, "service", str),
        address=f"{host}:{port}",
        data_centre=_read(body, "zone", str),
        slots=_read(body, "slots", int),
        draining=_STATES[state],
        # Unix milliseconds of the start; the same id may start again.
        started_at=_read(body, "born", int) if "born" in body else 0,
        sequence=_read(body, "seq", int),
        cold_until=clock.read_time() + cold_ms / _MS if cold_ms > 0 else 0.0,
        weights={
            _read(model, "name", str): _read(model, "version", int)
            for model in body.get("models", ())
        },
    )


def _decode_configuration(body: Body) -> topology.Configuration:
    limits = body["limits"]
    return topology.Configuration(
        version=_read(body, "version", int),
        routes=tuple(_decode_route(route) for route in body["routes"]),
        services={
            service["name"]: _decode_service(service)
            for service in body["services"]
        },
        customers={
            key: customer
            for entry in body.get("tenants") or ()
            for customer in [_decode_customer(entry)]
            for key in entry.get("api_keys") or ()
        },
        needs_key="tenants" in body,
        limits=topology.ClientLimits(
            max_body_bytes=limits["max_body_bytes"],
        ),
    )


def _decode_route(body: Body) -> topology.Route:
    split = body.get("traffic_split") or [
        {"service": body["service"], "weight": 1}
    ]
    timeout_ms = body["timeout_ms"]
    return topology.Route(
        name=body["name"],
        host=body["host"],
        path_prefix=body["path_prefix"],
        services=tuple(
            topology.ServiceShare(share["service"], float(share["weight"]))
            for share in split
        ),
        idempotent=body["kind"] == _SAFE,
        streamed=body["kind"] == _STREAM,
        resumable=bool(body.get("resumable")),
        public=bool(body.get("public")),
        # The most servers, not attempts, that one request may run on.
        max_servers=int(body.get("max_attempts") or 1),
        timeout=timeout_ms / _MS,
        first_byte_target=(body.get("target_latency_ms") or timeout_ms) / _MS,
        priority=int(body.get("priority") or 0),
        regions=frozenset(body.get("allowed_regions") or ()),
    )


def _decode_service(body: Body) -> topology.Service:
    engine = body.get("engine")
    return topology.Service(
        name=body["name"],
        cold_rate=float(body.get("cold_per_s") or 0.0),
        context_store=_decode_cache_store(body),
        engine=(
            topology.EngineTraits(engine["kv_capacity"]) if engine else None
        ),
    )


def _decode_cache_store(body: Body) -> t.Optional[topology.ContextStore]:
    if not body.get("kv_store_addr"):
        return None
    return topology.ContextStore(
        address=body["kv_store_addr"],
        data_centre=body["zone"],
        capacity_tokens=int(body["kv_capacity"]),
    )


def _decode_customer(body: Body) -> topology.Customer:
    priority = body.get("priority")
    return topology.Customer(
        name=body["name"],
        priority=None if priority is None else int(priority),
        isolated=bool(body.get("isolated")),
        regions=frozenset(body.get("allowed_regions") or ()),
    )
