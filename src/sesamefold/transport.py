"""Rules that the adapters of HTTP services share."""

import asyncio
import typing as t

import aiohttp

from sesamefold import deadline as deadlines

# Largest share of the time left that setting up a connection may take, so
# that a host that drops packets is told apart from one that got the request.
CONNECT_TIMEOUT_FRACTION = 0.5

# Errors of a call; ValueError covers responses that are not valid JSON.
CALL_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


class ConnectionLost(aiohttp.ClientConnectionError):
    """The connection closed after the request may have been sent."""


async def _prevent_automatic_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Convert the errors after which aiohttp sends some requests again.

    aiohttp repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE once when the
    connection closes without a response, although the first request may have
    been executed.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if is_unsent(error):
            raise
        raise ConnectionLost(describe_error(error)) from error


def make_session(
    keepalive_seconds: float = 15.0, **options: t.Any
) -> aiohttp.ClientSession:
    """Return the session of a process, for adapters and plain services.

    It sends each request at most once, so a call fails when a kept connection
    turns out to be closed. It keeps no cookies, which would pass from one
    customer's call to another's, and has no limit of connections, because
    waiting for one would count as time to connect. Redirects are followed
    unless the call disables them. A connection that was idle for
    `keepalive_seconds` is not used again.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=keepalive_seconds
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_prevent_automatic_retry,),
        **options,
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
        connect=remaining * CONNECT_TIMEOUT_FRACTION,
        sock_read=idle_seconds or None,
    )


def is_unsent(error: BaseException) -> bool:
    """Tell whether a call failed before any byte was sent."""
    return isinstance(
        error,
        (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError),
    )


def describe_error(error: BaseException) -> str:
    """Return an error as text for a message; many have no text."""
    return f"{type(error).__name__}: {error}" if str(error) else repr(error)


async def read_error_body(
    response: aiohttp.ClientResponse,
) -> t.Dict[str, t.Any]:
    """Return the JSON object of an error response, {} when it has none."""
    try:
        body = await response.json(content_type=None)
    except CALL_ERRORS:
        return {}
    return body if isinstance(body, dict) else {}
