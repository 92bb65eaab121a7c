"""Rules that the adapters of HTTP services share."""

import asyncio
import typing as t

import aiohttp

from sesamefold import deadline as deadlines

# Largest share of the time left that setting up a connection may take, so
# that a host that drops packets is told apart from one that got the request.
CONNECT_SHARE = 0.5

# Errors of a call; ValueError covers responses that are not valid JSON.
CALL_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


def make_timeout(
    deadline: deadlines.Deadline, idle_seconds: float = 0.0
) -> aiohttp.ClientTimeout:
    """Return the timeout of a call that must end by `deadline`.

    The call also fails when no byte arrives for `idle_seconds`; 0 disables
    this limit.
    """
    # A total of 0 would mean no timeout to aiohttp.
    remaining = max(deadline.remaining(), 0.001)
    return aiohttp.ClientTimeout(
        total=remaining,
        connect=remaining * CONNECT_SHARE,
        sock_read=idle_seconds or None,
    )


def is_unsent(error: BaseException) -> bool:
    """Tell whether a call failed before any byte was sent."""
    return isinstance(
        error,
        (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError),
    )


def describe(error: BaseException) -> str:
    """Return an error as text for a message; many have no text."""
    return f"{type(error).__name__}: {error}" if str(error) else repr(error)


async def read_error(response: aiohttp.ClientResponse) -> t.Dict[str, t.Any]:
    """Return the JSON object of an error response, {} when it has none."""
    try:
        body = await response.json(content_type=None)
    except CALL_ERRORS:
        return {}
    return body if isinstance(body, dict) else {}
