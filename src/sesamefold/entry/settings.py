"""Settings of an entry host."""

import typing as t

import attrs

from sesamefold.entry import throttle


@attrs.frozen
class EntrySettings:
    """What one entry host is told when it starts.

    `regions` maps data centres to regions. `key_withdrawal_seconds` is the
    time after which a request with a withdrawn key must not run on any host,
    None where hosts without the store may go on. `order_pause_seconds` is
    the time that must lie between orders of two entry hosts.
    `leaving_seconds` is the time after a server's announcement that it leaves
    from which it must get no new request. `link_mbps` is the host's link, 0.0
    if it is not known.
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
    shutdown_seconds: float
    order_pause_seconds: float
    leaving_seconds: float
    link_mbps: float
