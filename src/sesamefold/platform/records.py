"""Decoders of the records that the operator and the servers write."""

import asyncio
import re
import time
import typing as t

from sesamefold import addresses
from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import store
from sesamefold.entry import topology
from sesamefold.platform import wire

_MS_PER_SECOND = 1000.0
# `kind` of routes whose replies are streams of events.
_STREAMING_KIND = "streaming"
# `kind` of routes whose requests may run more than once.
_IDEMPOTENT_KIND = "safe"
# Whether a server with this `state` is draining.
_DRAINING_BY_STATE = {"ready": False, "draining": True}

# Errors of decoding a record of another form. A number that is too large to
# convert raises OverflowError.
_DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)
# Records have up to a megabyte, which an error may quote.
_MAX_REASON_LENGTH = 200

# Routes that are decoded before other tasks may run. A configuration may have
# thousands, which take tens of milliseconds.
_ROUTES_PER_PIECE = 100

JsonObject = t.Mapping[str, t.Any]


def decode_record(
    key: str, value: bytes, revision: int = 0
) -> t.Optional[changes.Change]:
    """Return the change that a written record stands for.

    A record that cannot be decoded, or has an unknown key, becomes
    `changes.RecordRejected`.
    """
    pieces = _decode_in_pieces(key, value, revision)
    while True:
        try:
            next(pieces)
        except StopIteration as end:
            return t.cast(changes.Change, end.value)


async def decode_record_in_pieces(
    key: str, value: bytes, revision: int = 0
) -> t.Optional[changes.Change]:
    """Do as `decode_record`, and let other tasks run in between."""
    pieces = _decode_in_pieces(key, value, revision)
    while True:
        try:
            next(pieces)
        except StopIteration as end:
            return t.cast(changes.Change, end.value)
        await asyncio.sleep(0)


_Pieces = t.Generator[None, None, changes.Change]


def _decode_in_pieces(key: str, value: bytes, revision: int) -> _Pieces:
    """Decode a record; yield where other tasks may run."""
    started_at = time.perf_counter()
    try:
        body = wire.decode(value)
        if key.startswith(wire.SERVERS_PREFIX):
            server_id = key.removeprefix(wire.SERVERS_PREFIX)
            return changes.ServerReported(_decode_server(server_id, body))
        if key == wire.CONFIGURATION_KEY:
            configuration = yield from _decode_configuration(body)
            return changes.ConfigurationAccepted(
                configuration,
                len(value),
                round(time.perf_counter() - started_at, 4),
            )
        if key.startswith(wire.EVACUATION_PREFIX):
            return changes.EvacuationRequested(
                key.removeprefix(wire.EVACUATION_PREFIX)
            )
        if key.startswith(wire.WEIGHTS_PREFIX):
            return changes.TargetWeightsChanged(
                wire.get_field(body, "model", str),
                wire.get_count(body, "version"),
            )
        if key.startswith(wire.ROLLOUT_PREFIX):
            return _decode_rollout(
                key.removeprefix(wire.ROLLOUT_PREFIX), body, revision
            )
    except _DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        return changes.RecordRejected(key, reason[:_MAX_REASON_LENGTH])
    return changes.RecordRejected(key, "unknown key")


def decode_removal(key: str) -> t.Optional[changes.Change]:
    """Return the change that the removal of a record stands for."""
    if key.startswith(wire.SERVERS_PREFIX):
        return changes.ServerRemoved(key.removeprefix(wire.SERVERS_PREFIX))
    if key.startswith(wire.EVACUATION_PREFIX):
        return changes.EvacuationEnded(
            key.removeprefix(wire.EVACUATION_PREFIX)
        )
    if key.startswith(wire.ROLLOUT_PREFIX):
        return changes.RolloutWithdrawn(key.removeprefix(wire.ROLLOUT_PREFIX))
    return changes.RecordRejected(key, "removed record with an unknown key")


def _decode_rollout(
    service: str, body: JsonObject, revision: int
) -> changes.RolloutOrdered:
    if wire.get_field(body, "service", str) != service:
        raise ValueError("the service is not the one in the key")
    target = wire.get_field(body, "target", str)
    seconds = wire.get_number(body, "duration_s")
    if not target or seconds <= 0:
        raise ValueError("the target or the duration is empty")
    return changes.RolloutOrdered(service, target, seconds, revision)


def encode_rollout_status(
    service: str, target: str, state: str
) -> store.Write:
    """Return the write that tells the operator the state of a rollout.

    `state` is "running", "completed" or "rolled_back".
    """
    return store.Write(
        f"{wire.ROLLOUT_STATUS_PREFIX}{service}",
        wire.encode({"target": target, "state": state}),
    )


def _decode_server(server_id: str, body: JsonObject) -> topology.Server:
    # Requests name the server in a header.
    if not re.fullmatch(r"[!-~]+", server_id):
        raise ValueError("the id is not printable ASCII")
    state = wire.get_field(body, "state", str)
    if state not in _DRAINING_BY_STATE:
        raise ValueError(f"unknown state {state}")
    address = wire.get_field(body, "address", str)
    if not addresses.is_address(address):
        raise ValueError("the address is not ip:port")
    # How long the server stays cold from now on.
    cold_ms = wire.get_number(body, "cold_left_ms")
    return topology.Server(
        id=server_id,
        service=wire.get_field(body, "service", str),
        address=address,
        data_centre=wire.get_field(body, "zone", str),
        slots=wire.get_count(body, "slots"),
        draining=_DRAINING_BY_STATE[state],
        # Unix time of the start, milliseconds. A server may restart under the
        # same id.
        started_at=wire.get_count(body, "born") if "born" in body else 0,
        sequence=wire.get_count(body, "seq"),
        cold_until=(
            clock.read_time() + cold_ms / _MS_PER_SECOND
            if cold_ms > 0
            else 0.0
        ),
        weights={
            wire.get_field(model, "name", str): wire.get_count(
                model, "version"
            )
            for model in body.get("models", ())
        },
        version=(
            wire.get_field(body, "version", str) if "version" in body else ""
        ),
    )


def _decode_configuration(
    body: JsonObject,
) -> t.Generator[None, None, topology.Configuration]:
    limits = body["limits"]
    routes = []
    for number, route in enumerate(body["routes"], 1):
        routes.append(_decode_route(route))
        if number % _ROUTES_PER_PIECE == 0:
            yield
    customers = [
        (_decode_customer(entry), entry.get("api_keys") or ())
        for entry in body.get("tenants") or ()
    ]
    return topology.Configuration(
        version=wire.get_field(body, "version", int),
        routes=tuple(routes),
        services={
            service["name"]: _decode_service(service)
            for service in body["services"]
        },
        customers={
            key: customer for customer, keys in customers for key in keys
        },
        needs_key="tenants" in body,
        limits=topology.ClientLimits(
            max_body_bytes=limits["max_body_bytes"],
        ),
        isolated_customers=frozenset(
            customer.name for customer, _ in customers if customer.isolated
        ),
    )


def _decode_route(body: JsonObject) -> topology.Route:
    shares = body.get("traffic_split") or [
        {"service": body["service"], "weight": 1}
    ]
    timeout_ms = body["timeout_ms"]
    return topology.Route(
        name=body["name"],
        host=body["host"],
        path_prefix=body["path_prefix"],
        services=tuple(
            topology.ServiceShare(share["service"], float(share["weight"]))
            for share in shares
        ),
        idempotent=body["kind"] == _IDEMPOTENT_KIND,
        streamed=body["kind"] == _STREAMING_KIND,
        resumable=bool(body.get("resumable")),
        public=bool(body.get("public")),
        # Despite its name, `max_attempts` limits the servers that a request
        # may run on, not the attempts.
        max_servers=int(body.get("max_attempts") or 1),
        timeout=timeout_ms / _MS_PER_SECOND,
        first_byte_target=(body.get("target_latency_ms") or timeout_ms)
        / _MS_PER_SECOND,
        priority=int(body.get("priority") or 0),
        regions=frozenset(body.get("allowed_regions") or ()),
    )


def _decode_service(body: JsonObject) -> topology.Service:
    engine = body.get("engine")
    return topology.Service(
        name=body["name"],
        cold_rate=float(body.get("cold_per_s") or 0.0),
        context_store=_decode_context_store(body),
        engine=(
            topology.EngineTraits(engine["kv_capacity"]) if engine else None
        ),
    )


def _decode_context_store(
    body: JsonObject,
) -> t.Optional[topology.ContextStore]:
    if not body.get("kv_store_addr"):
        return None
    return topology.ContextStore(
        address=body["kv_store_addr"],
        data_centre=body["zone"],
        capacity_tokens=int(body["kv_capacity"]),
    )


def _decode_customer(body: JsonObject) -> topology.Customer:
    priority = body.get("priority")
    return topology.Customer(
        name=body["name"],
        priority=None if priority is None else int(priority),
        isolated=bool(body.get("isolated")),
        regions=frozenset(body.get("allowed_regions") or ()),
    )
