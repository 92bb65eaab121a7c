"""Settings of an entry host."""

import typing as t

import attrs

from sesamefold.entry import catalog
from sesamefold.entry import exposure
from sesamefold.entry import throttle


@attrs.frozen
class EntrySettings:
    """Settings of one entry host.

    `regions` maps data centres to regions. `key_withdrawal_seconds` is the
    time after which a request with a withdrawn API key must not run on any
    host, None if hosts that cannot reach the store may continue to accept
    keys. `weights_limits` bounds the use of replaced weights, None if it is
    not limited. `shutdown_seconds` is the time that the process has to stop.
    `order_pause_seconds` is the minimum time between the orders of two
    different entry hosts. `rollout_limits` bounds the requests of a service's
    version that is rolled out, None if no rollouts are ordered.
    `queues_requests` says that requests wait for room until their callers
    leave, and that all hosts share the room evenly.
    `leaving_seconds` is the time after a server
    announces that it leaves from which it must get no new requests.
    `link_mbps` is the bandwidth of the host's link and `memory_bytes` the
    memory that the process may use, 0.0 if unknown.
    """

    host: str
    data_centre: str
    region: str
    regions: t.Mapping[str, str]
    listen_address: t.Tuple[str, int]
    ready_address: t.Tuple[str, int]
    metrics_address: t.Optional[t.Tuple[str, int]]
    peer_address: t.Tuple[str, int]
    store_address: str
    retries: throttle.RetryLimits
    key_withdrawal_seconds: t.Optional[float]
    weights_limits: t.Optional[catalog.WeightsLimits]
    shutdown_seconds: float
    order_pause_seconds: float
    leaving_seconds: float
    link_mbps: float
    memory_bytes: float = 0.0
    queues_requests: bool = False
    rollout_limits: t.Optional[exposure.RolloutLimits] = None
