"""Client of the platform's list of live and leaving hosts."""

import re
import typing as t

import aiohttp
import attrs
import logbook

from sesamefold import addresses
from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import jsonvalues
from sesamefold import transport

_log = logbook.Logger("hostlist")

_STATES = ("live", "leaving")


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
    `revision` and `hosts`. An entry that names no host that can be used is
    skipped.
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
                body = jsonvalues.decode_readable(
                    await transport.read_body(response)
                )
                return _decode_listing(body)
        except transport.CALL_ERRORS as error:
            raise exceptions.PlatformUnavailable(
                f"host list: {transport.describe_error(error)}"
            ) from error


def _decode_listing(body: t.Mapping[str, t.Any]) -> Listing:
    """Return a listing without odd entries.

    Raises `KeyError`, `TypeError` or `ValueError` if it is no list of hosts.
    """
    revision, entries = body["revision"], body["hosts"]
    if not isinstance(revision, int) or not isinstance(entries, list):
        raise ValueError("it has no revision or no hosts")
    hosts = tuple(filter(None, map(_decode_host, entries)))
    if len(hosts) < len(entries):
        _log.warning(
            "skipped {} odd entries of {}, revision {}",
            len(entries) - len(hosts),
            len(entries),
            revision,
        )
    return Listing(revision, hosts)


def _decode_host(entry: t.Any) -> t.Optional[Host]:
    """Return a host, None for an entry that names none that can be used.

    Fields that a later version may have added are ignored.
    """
    if not isinstance(entry, dict):
        return None
    names = {field.name for field in attrs.fields(Host)} & entry.keys()
    if not all(_is_text(entry[name]) for name in names):
        return None
    try:
        host = Host(**{name: entry[name] for name in names})
    except TypeError:
        # A field is missing.
        return None
    located = all(
        ip and addresses.is_port(port)
        for ip, _, port in (
            address.rpartition(":")
            for address in {host.address, host.control_address or host.address}
        )
    )
    return host if host.name and host.state in _STATES and located else None


def _is_text(value: t.Any) -> bool:
    """Return whether a value is text of printable ASCII without spaces."""
    return isinstance(value, str) and bool(re.fullmatch("[!-~]*", value))
