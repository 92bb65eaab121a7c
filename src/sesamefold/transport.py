"""HTTP sessions, timeouts and errors that all HTTP clients share."""

import asyncio
import typing as t

import aiohttp

from sesamefold import deadline as deadlines

# Largest fraction of the remaining time that connecting may take. A timeout
# while connecting shows that a host which drops packets has not received the
# request; a timeout of the whole call would leave that unknown.
CONNECT_TIMEOUT_FRACTION = 0.5

# Errors of a call. ValueError covers responses that are not valid JSON,
# KeyError and TypeError those that lack fields.
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
    """Convert the errors after which aiohttp retries some requests.

    aiohttp retries GET, HEAD, OPTIONS, TRACE, PUT and DELETE once when the
    connection closes without a response, although the first request may have
    been executed. Raises `ConnectionLost` instead of these errors.
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
    """Return an HTTP session for all clients of a process.

    It sends each request at most once, so a call fails when the server has
    closed a reused connection. It stores no cookies, which would pass from
    the call of one customer to that of another, and has no limit of
    connections, because waiting for a free one would count as time to
    connect. Redirects are followed unless the call disables them. A
    connection that was idle for `keepalive_seconds` is not reused.
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
    """Return the timeouts of a call that must end by `deadline`.

    The call also fails when no data arrives for `idle_seconds`; 0 disables
    this timeout.
    """
    # aiohttp takes a total of 0 as no timeout.
    remaining = max(deadline.remaining(), 0.001)
    return aiohttp.ClientTimeout(
        total=remaining,
        connect=remaining * CONNECT_TIMEOUT_FRACTION,
        sock_read=idle_seconds or None,
    )


def is_unsent(error: BaseException) -> bool:
    """Return whether a call failed before any byte was sent."""
    return isinstance(
        error,
        (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError),
    )


def describe_error(error: BaseException) -> str:
    """Return the text of an error for a message, never an empty one."""
    return f"{type(error).__name__}: {error}" if str(error) else repr(error)


async def read_error_body(
    response: aiohttp.ClientResponse,
) -> t.Dict[str, t.Any]:
    """Return the JSON object of an error response, {} without one."""
    try:
        body = await response.json(content_type=None)
    except CALL_ERRORS:
        return {}
    return body if isinstance(body, dict) else {}
