"""Client of the platform's list of live and leaving hosts."""

import typing as t

import aiohttp
import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import transport


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
    """Source of the host list, which lags behind the state of the hosts.

    An entry is therefore only a hint that the host is there.
    """

    async def fetch(
        self,
        data_centre: str,
        known_revision: int,
        deadline: deadlines.Deadline,
    ) -> t.Optional[Listing]:
        """Return all entry hosts, and the backend servers of `data_centre`.

        Returns None when revision `known_revision` is still current. Raises
        `exceptions.PlatformUnavailable` when the list cannot be fetched.
        """


class HttpHostList:
    """Fetches the host list over HTTP: `GET /hosts?data_centre=D&known=N`.

    The response is 204 when revision N is still current, otherwise JSON with
    `revision` and `hosts`.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def fetch(
        self,
        data_centre: str,
        known_revision: int,
        deadline: deadlines.Deadline,
    ) -> t.Optional[Listing]:
        """Return the hosts, None when `known_revision` is still current."""
        try:
            async with self._session.get(
                f"{self._url}/hosts",
                params={
                    "data_centre": data_centre,
                    "known": str(known_revision),
                },
                timeout=transport.make_timeout(deadline),
            ) as response:
                if response.status == 204:
                    return None
                response.raise_for_status()
                body = await response.json()
                return Listing(
                    int(body["revision"]),
                    tuple(_decode_host(host) for host in body["hosts"]),
                )
        except transport.CALL_ERRORS as error:
            raise exceptions.PlatformUnavailable(
                f"host list: {transport.describe_error(error)}"
            ) from error


def _decode_host(host: t.Mapping[str, t.Any]) -> Host:
    """Return a host, without fields that a later version may have added."""
    field_names = {field.name for field in attrs.fields(Host)}
    return Host(**{key: host[key] for key in field_names & host.keys()})
