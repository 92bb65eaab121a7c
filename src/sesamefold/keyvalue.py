"""The platform's key-value service."""

import base64
import json
import typing as t
import urllib.parse

import aiohttp
import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import transport

# Time for the response of a watch to arrive after its deadline, seconds.
WATCH_MARGIN_SECONDS = 0.5


@attrs.frozen
class Entry:
    """A value with its version.

    Versions of a key are 1, 2, 3 ...; 0 stands for a key that does not exist.
    A key that was removed may start again at 1.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Lease:
    """A lease of the service; keys written under it vanish when it lapses."""

    id: str
    deadline: deadlines.Deadline


class KeyValue(t.Protocol):
    """Compare-and-swap, leases and watches.

    Every method raises `exceptions.PlatformUnavailable` when the call did
    certainly not take effect, and writes raise `exceptions.OutcomeUnknown`
    when it may have.
    """

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Return the entry of `key`, None when it does not exist."""

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        """Write `value` and return the new version.

        `expected` is the version that the key must have (0: must not exist),
        None writes in any case. Raises `exceptions.VersionConflict`.
        """

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        """Remove `key`; raises `exceptions.VersionConflict`."""

    async def list_keys(
        self, prefix: str, deadline: deadlines.Deadline
    ) -> t.List[str]:
        """Return the keys that start with `prefix`, sorted."""

    async def watch(
        self, key: str, after: int, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Wait until the version of `key` differs from `after`.

        Returns the entry, or None when the deadline passes first or the key
        does not exist.
        """

    async def grant_lease(
        self, seconds: float, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a new lease that lapses `seconds` from now."""

    async def renew_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> Lease:
        """Extend a lease; raises `exceptions.LeaseExpired`."""

    async def revoke_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> None:
        """End a lease and remove its keys."""


class HttpKeyValue:
    """Key-value service over HTTP with JSON bodies, values in base64.

    Writes use POST: aiohttp's default is to send PUT and DELETE again when
    the connection closes without a response, and a write that took effect
    would then be reported as a conflict.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Return the entry of `key`, None when it does not exist."""
        return await self._read(
            f"keys/{_quote(key)}", {}, deadline, _decode_entry
        )

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        """Write `value` and return the new version."""
        body = {
            "value": base64.b64encode(value).decode(),
            "expected": expected,
            "lease": lease,
        }
        status, version = await self._write(
            f"keys/{_quote(key)}", body, deadline, lambda a: a["version"]
        )
        _raise_on_conflict(status, key, expected, version)
        return version

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        """Remove `key`."""
        status, version = await self._write(
            f"delete/{_quote(key)}",
            {"expected": expected},
            deadline,
            lambda a: a.get("version", 0),
        )
        _raise_on_conflict(status, key, expected, version)

    async def list_keys(
        self, prefix: str, deadline: deadlines.Deadline
    ) -> t.List[str]:
        """Return the keys that start with `prefix`, sorted."""
        return await self._read(
            "keys", {"prefix": prefix}, deadline, lambda body: body["keys"]
        )

    async def watch(
        self, key: str, after: int, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Wait until the version of `key` differs from `after`."""
        return await self._read(
            f"watch/{_quote(key)}",
            {"after": str(after), "timeout": f"{deadline.remaining():.3f}"},
            deadlines.Deadline(deadline.at + WATCH_MARGIN_SECONDS),
            _decode_entry,
        )

    async def grant_lease(
        self, seconds: float, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a new lease that lapses `seconds` from now."""
        _, granted = await self._write(
            "leases", {"seconds": seconds}, deadline, _decode_lease
        )
        return granted

    async def renew_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> Lease:
        """Extend a lease."""
        _, renewed = await self._write(
            f"leases/{lease}/renew", {}, deadline, _decode_lease
        )
        return renewed

    async def revoke_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> None:
        """End a lease and remove its keys."""
        await self._write(
            f"leases/{lease}/revoke", {}, deadline, lambda a: None
        )

    async def _read(
        self,
        path: str,
        params: t.Mapping[str, str],
        deadline: deadlines.Deadline,
        decode: t.Callable[[t.Any], t.Any],
    ) -> t.Any:
        try:
            async with self._session.get(
                f"{self._url}/{path}",
                params=params,
                timeout=transport.make_timeout(deadline),
            ) as response:
                if response.status in (204, 404):
                    return None
                response.raise_for_status()
                return decode(json.loads(await response.read()))
        except transport.CALL_ERRORS as error:
            raise exceptions.PlatformUnavailable(
                f"key-value service: {transport.describe_error(error)}"
            ) from error

    async def _write(
        self,
        path: str,
        body: t.Mapping[str, t.Any],
        deadline: deadlines.Deadline,
        decode: t.Callable[[t.Any], t.Any],
    ) -> t.Tuple[int, t.Any]:
        """Return the status, 200 or 409, and the decoded response.

        A response that cannot be decoded comes from something else than the
        service, so it does not tell the outcome.
        """
        if deadline.has_passed():
            raise exceptions.PlatformUnavailable(
                "key-value service: the deadline has passed"
            )
        try:
            async with self._session.post(
                f"{self._url}/{path}",
                json=body,
                timeout=transport.make_timeout(deadline),
            ) as response:
                status = response.status
                answer = json.loads(await response.read())
                if status in (200, 409):
                    return status, decode(answer)
        except transport.CALL_ERRORS as error:
            message = f"key-value service: {transport.describe_error(error)}"
            if transport.is_unsent(error):
                raise exceptions.PlatformUnavailable(message) from error
            raise exceptions.OutcomeUnknown(message) from error
        if status == 410:
            raise exceptions.LeaseExpired("the lease does not exist any more")
        message = f"key-value service: status {status}, {answer}"
        # The service defines 413 and 503 as refusals without effect.
        if status in (413, 503):
            raise exceptions.PlatformUnavailable(message)
        raise exceptions.OutcomeUnknown(message)


def _quote(key: str) -> str:
    return urllib.parse.quote(key)


def _decode_entry(body: t.Mapping[str, t.Any]) -> Entry:
    return Entry(body["key"], base64.b64decode(body["value"]), body["version"])


def _decode_lease(body: t.Mapping[str, t.Any]) -> Lease:
    return Lease(body["id"], deadlines.Deadline(body["expires_at"]))


def _raise_on_conflict(
    status: int, key: str, expected: t.Optional[int], actual: int
) -> None:
    if status == 409:
        raise exceptions.VersionConflict(key, expected or 0, actual)
