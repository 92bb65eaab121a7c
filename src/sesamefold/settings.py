"""Process settings."""

import typing as t

import attrs


@attrs.frozen
class HandleKey:
    """A key that authenticates resume handles; the first one signs."""

    id: str
    secret: str


@attrs.frozen
class Settings:
    """Settings of the daemons of one entry host.

    Addresses are ip:port; port 0 lets the kernel choose.
    """

    host: str  # name of the entry host
    data_centre: str
    key_value_url: str
    host_list_url: str
    gateway_address: str = "127.0.0.1:0"
    control_address: str = "127.0.0.1:0"
    metrics_address: str = "127.0.0.1:0"  # of the control daemon
    handle_keys: t.Tuple[HandleKey, ...] = ()
    drain_delay: float = 2.0  # seconds between not ready and closing
    drain_time: float = 60.0  # seconds that streams get to finish
