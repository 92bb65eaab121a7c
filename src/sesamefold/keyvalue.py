"""Client of the key-value service of the platform."""

import base64
import typing as t
import urllib.parse

import aiohttp
import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import jsonvalues
from sesamefold import transport

# The service ends a watch at its deadline; the response may arrive this much
# later.
WATCH_MARGIN_SECONDS = 0.5


@attrs.frozen
class Entry:
    """A key with its value and version.

    Versions of a key are 1, 2, 3 and so on; 0 stands for a key that does not
    exist. The versions of a deleted key may start again at 1.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Lease:
    """A lease; keys written under it are deleted when it expires."""

    id: str
    deadline: deadlines.Deadline


class KeyValue(t.Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Every method raises `exceptions.PlatformUnavailable` when the call
    certainly had no effect, and writes raise `exceptions.OutcomeUnknown` when
    it may have had one.
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

        `expected` is the version that the key must have, 0 when it must not
        exist, None to write unconditionally. The key is deleted when `lease`
        expires. Raises `exceptions.VersionConflict`, and
        `exceptions.LeaseExpired` when the lease does not exist.
        """

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        """Delete `key` if it has the version `expected` or that is None.

        Raises `exceptions.VersionConflict`.
        """

    async def list_keys(
        self, prefix: str, deadline: deadlines.Deadline
    ) -> t.List[str]:
        """Return the keys that start with `prefix`, sorted."""

    async def watch(
        self, key: str, after: int, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Return the entry of `key` once its version differs from `after`.

        Returns None when the deadline passes first or the key does not exist.
        """

    async def grant_lease(
        self, seconds: float, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a new lease that expires `seconds` from now."""

    async def renew_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a lease after extending it.

        Raises `exceptions.LeaseExpired` when it no longer exists.
        """

    async def revoke_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> None:
        """Revoke a lease and delete its keys."""


class HttpKeyValue:
    """Client of the service over HTTP, with JSON bodies and base64 values.

    Writes use POST. By default aiohttp retries PUT and DELETE when the
    connection closes without a response, and the retry of a write that took
    effect would be reported as a conflict.
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
            f"keys/{_quote(key)}",
            body,
            deadline,
            lambda reply: reply["version"],
        )
        _raise_on_conflict(status, key, expected, version)
        return version

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        """Delete `key`."""
        status, version = await self._write(
            f"delete/{_quote(key)}",
            {"expected": expected},
            deadline,
            lambda reply: reply.get("version", 0),
        )
        _raise_on_conflict(status, key, expected, version)

    async def list_keys(
        self, prefix: str, deadline: deadlines.Deadline
    ) -> t.List[str]:
        """Return the keys that start with `prefix`, sorted."""
        return await self._read(
            "keys", {"prefix": prefix}, deadline, lambda reply: reply["keys"]
        )

    async def watch(
        self, key: str, after: int, deadline: deadlines.Deadline
    ) -> t.Optional[Entry]:
        """Return the entry of `key` once its version differs from `after`."""
        return await self._read(
            f"watch/{_quote(key)}",
            {"after": str(after), "timeout": f"{deadline.remaining():.3f}"},
            deadlines.Deadline(deadline.at + WATCH_MARGIN_SECONDS),
            _decode_entry,
        )

    async def grant_lease(
        self, seconds: float, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a new lease that expires `seconds` from now."""
        _, granted = await self._write(
            "leases", {"seconds": seconds}, deadline, _decode_lease
        )
        return granted

    async def renew_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> Lease:
        """Return a lease after extending it."""
        _, renewed = await self._write(
            f"leases/{lease}/renew", {}, deadline, _decode_lease
        )
        return renewed

    async def revoke_lease(
        self, lease: str, deadline: deadlines.Deadline
    ) -> None:
        """Revoke a lease and delete its keys."""
        await self._write(
            f"leases/{lease}/revoke", {}, deadline, lambda reply: None
        )

    async def _read(
        self,
        path: str,
        params: t.Mapping[str, str],
        deadline: deadlines.Deadline,
        decode: t.Callable[[t.Any], t.Any],
    ) -> t.Any:
        """Return the decoded response, None for the statuses 204 and 404.

        Raises `exceptions.PlatformUnavailable`.
        """
        try:
            async with self._session.get(
                f"{self._url}/{path}",
                params=params,
                timeout=transport.make_timeout(deadline),
            ) as response:
                if response.status in (204, 404):
                    return None
                response.raise_for_status()
                return decode(
                    jsonvalues.decode(await transport.read_body(response))
                )
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

        Raises `exceptions.OutcomeUnknown` for a response that cannot be
        decoded: it does not come from the service, so it does not show
        whether the write took effect. Raises `exceptions.LeaseExpired` for
        the status 410 and `exceptions.PlatformUnavailable` when the write had
        no effect.
        """
        if deadline.has_passed():
            raise exceptions.PlatformUnavailable(
                "key-value service: the deadline passed before the call"
            )
        try:
            async with self._session.post(
                f"{self._url}/{path}",
                json=body,
                timeout=transport.make_timeout(deadline),
            ) as response:
                status = response.status
                reply = jsonvalues.decode(await transport.read_body(response))
                if status in (200, 409):
                    return status, decode(reply)
        except transport.CALL_ERRORS as error:
            message = f"key-value service: {transport.describe_error(error)}"
            if transport.is_unsent(error):
                raise exceptions.PlatformUnavailable(message) from error
            raise exceptions.OutcomeUnknown(message) from error
        if status == 410:
            raise exceptions.LeaseExpired("the lease no longer exists")
        message = f"key-value service: failed with status {status}: {reply}"
        # By the API of the service, 413 and 503 refuse a write without effect.
        if status in (413, 503):
            raise exceptions.PlatformUnavailable(message)
        raise exceptions.OutcomeUnknown(message)


def _quote(key: str) -> str:
    return urllib.parse.quote(key)


def _decode_entry(reply: t.Mapping[str, t.Any]) -> Entry:
    return Entry(
        reply["key"], base64.b64decode(reply["value"]), reply["version"]
    )


def _decode_lease(reply: t.Mapping[str, t.Any]) -> Lease:
    return Lease(reply["id"], deadlines.Deadline(reply["expires_at"]))


def _raise_on_conflict(
    status: int, key: str, expected: t.Optional[int], actual: int
) -> None:
    if status == 409:
        raise exceptions.VersionConflict(key, expected or 0, actual)
