"""The platform's list of live and leaving hosts."""

import typing as t

import attrs

from sesamefold import deadline as deadlines


@attrs.frozen
class Host:
    """An entry host or a backend server as the platform lists it.

    `address` is the gateway's `ip:port` of an entry host and the HTTP
    `ip:port` of a backend server; `control_address` is empty for the latter.
    """

    name: str
    kind: str  # "entry" or "backend"
    data_centre: str
    address: str
    control_address: str = ""
    group: str = ""
    state: str = "live"  # "live" or "leaving"


@attrs.frozen
class Listing:
    """Hosts as of one revision of the list."""

    revision: int
    hosts: t.Tuple[Host, ...]


class HostList(t.Protocol):
    """A list that lags behind the hosts; an entry is a hint."""

    async def fetch(
        self,
        data_centre: str,
        known: int,
        deadline: deadlines.Deadline,
    ) -> t.Optional[Listing]:
        """Return all entry hosts, and the backend servers of `data_centre`.

        Returns None when revision `known` is still current. Raises
        `exceptions.PlatformUnavailable`.
        """
