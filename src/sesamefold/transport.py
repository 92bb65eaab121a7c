"""HTTP sessions, timeouts and errors that all HTTP clients share."""

import asyncio
import typing as t
import uuid

import aiohttp
import yarl

from sesamefold import deadline as deadlines
from sesamefold import exchanges
from sesamefold import jsonvalues
from sesamefold import memory

# Largest fraction of the remaining time that connecting may take. A timeout
# while connecting shows that a host which drops packets has not received the
# request; a timeout of the whole call would leave that unknown.
CONNECT_TIMEOUT_FRACTION = 0.5

# Header with the id of a request on its connection, which the answer repeats.
EXCHANGE_HEADER = "Sesamefold-Exchange"
# Largest body of an answer that is read as a whole, as the lists of an
# engine's blocks are.
MAX_BODY_BYTES = 8 * 1024 * 1024

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


class BodyTooLarge(aiohttp.ClientError):
    """The body of an answer is larger than any answer to the request."""


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


def _ignore_stray_answer(stray: exchanges.StrayAnswer) -> None:
    """Report nothing; for sessions without a log."""


def make_session(
    keepalive_seconds: float = 15.0,
    max_connections: int = 0,
    report: exchanges.Reporter = _ignore_stray_answer,
    budget: t.Optional[memory.MemoryBudget] = None,
    **options: t.Any,
) -> aiohttp.ClientSession:
    """Return an HTTP session for all clients of a process.

    It sends each request at most once, so a call fails when the server has
    closed a reused connection. A connection on which bytes arrive while no
    request waits is closed, and `report` is called. The session stores no
    cookies, which would pass from the call of one customer to that of
    another. It has no limit of connections unless `max_connections` is set,
    because waiting for a free one would count as time to connect. Redirects
    are followed unless the call disables them. A connection that was idle for
    `keepalive_seconds` is not reused. Answers that are being read count to
    `budget`, one of the session's own by default.
    """
    connector = exchanges.ExchangeConnector(
        report,
        budget or memory.MemoryBudget(),
        limit=max_connections,
        keepalive_timeout=keepalive_seconds,
    )

    async def open_exchange(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        return await exchanges.Exchange(connector)(request, handler)

    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_prevent_automatic_retry, open_exchange),
        **options,
    )


def make_exchange(
    session: aiohttp.ClientSession,
    identity: exchanges.Identity,
    keeps_answer: bool = False,
) -> exchanges.Exchange:
    """Return an exchange for one request of a session of `make_session`."""
    connector = t.cast(exchanges.ExchangeConnector, session.connector)
    return exchanges.Exchange(connector, identity, keeps_answer)


def request(
    session: aiohttp.ClientSession,
    method: str,
    url: t.Union[str, yarl.URL],
    exchange: exchanges.Exchange,
    **options: t.Any,
) -> t.AsyncContextManager[aiohttp.ClientResponse]:
    """Send a request of a session and yield the answer to it.

    Any other answer raises `exchanges.ForeignAnswer`, one of `CALL_ERRORS`.
    `session` is one of `make_session`; the options are those of aiohttp.
    """
    return session.request(
        method,
        url,
        middlewares=(_prevent_automatic_retry, exchange),
        **options,
    )


def make_identity(anonymous: bool = False) -> exchanges.Identity:
    """Return the identity of one call of this product's own interfaces.

    The request carries its id in the header `EXCHANGE_HEADER`, and the answer
    repeats it.
    """
    return exchanges.Identity(
        uuid.uuid4().hex,
        lambda headers: headers.get(EXCHANGE_HEADER),
        anonymous,
    )


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body; raises `BodyTooLarge` above `max_bytes`."""
    chunks: t.List[bytes] = []
    size = 0
    try:
        while chunk := await response.content.readany():
            size += len(chunk)
            if size > max_bytes:
                response.close()
                raise BodyTooLarge(f"the body exceeds {max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        # The traceback of an error would keep them.
        chunks.clear()


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


def is_refused(error: BaseException) -> bool:
    """Return whether no process listens at the address of a call."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )


def describe_error(error: BaseException) -> str:
    """Return the text of an error for a message, never an empty one."""
    return f"{type(error).__name__}: {error}" if str(error) else repr(error)


async def read_error_body(
    response: aiohttp.ClientResponse,
) -> t.Dict[str, t.Any]:
    """Return the JSON object of an error response, {} without one."""
    try:
        body = jsonvalues.decode(await read_body(response))
    except CALL_ERRORS:
        return {}
    return body if isinstance(body, dict) else {}
