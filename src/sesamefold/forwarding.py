"""Forwarding of requests to gateways of other data centres."""

import asyncio
import typing as t

import aiohttp
from aiohttp import web

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import state as states

FORWARDED_HEADER = "Sesamefold-Forwarded"
# Headers that are forwarded; all others apply to one connection only.
_REQUEST_HEADERS = (
    "Accept",
    "Authorization",
    "Content-Type",
    "Idempotency-Key",
    "Last-Event-ID",
    "Sesamefold-Deadline",
    "Sesamefold-Resume",
)
_RESPONSE_HEADERS = (
    "Content-Type",
    "Cache-Control",
    "Sesamefold-Executed",
    "Sesamefold-Handle",
    "Sesamefold-Request",
)
_CONNECT_TIMEOUT_SECONDS = 2.0
_READ_TIMEOUT_SECONDS = 30.0


async def forward(
    state: states.GatewayState,
    request: web.Request,
    body: bytes,
    deadline: deadlines.Deadline,
    reason: exceptions.SesamefoldError,
) -> web.StreamResponse:
    """Return the response of a gateway of another data centre.

    The next gateway is tried only if a connection can't be opened or a
    gateway says that the request was not executed. Raises `reason` when no
    gateway is left or the request was forwarded before, and
    `exceptions.BackendFailed` on any other failure of a gateway.
    """
    if FORWARDED_HEADER in request.headers:
        raise reason
    for address in state.list_remote_gateways():
        try:
            response = await _forward_to(
                state, request, body, deadline, address
            )
            if response is not None:
                return response
        except aiohttp.ClientConnectorError:
            continue
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.BackendFailed(
                f"the gateway of another data centre failed:"
                f" {type(error).__name__}"
            ) from error
    raise reason


async def _forward_to(
    state: states.GatewayState,
    request: web.Request,
    body: bytes,
    deadline: deadlines.Deadline,
    address: str,
) -> t.Optional[web.StreamResponse]:
    """Return the response of the gateway at `address`.

    Returns None when it refused the request without executing it.
    """
    headers = {
        name: request.headers[name]
        for name in _REQUEST_HEADERS
        if name in request.headers
    }
    headers[FORWARDED_HEADER] = "1"
    headers["Sesamefold-Deadline"] = f"{deadline.at:.3f}"
    timeout = aiohttp.ClientTimeout(
        total=deadline.remaining() + defaults.CLOCK_SKEW,
        sock_connect=_CONNECT_TIMEOUT_SECONDS,
        sock_read=_READ_TIMEOUT_SECONDS,
    )
    async with state.session.request(
        request.method,
        f"http://{address}{request.path_qs}",
        data=body,
        headers=headers,
        timeout=timeout,
        allow_redirects=False,
    ) as reply:
        executed = reply.headers.get("Sesamefold-Executed")
        if reply.status == 503 and executed == exceptions.NO:
            return None
        return await _relay_response(request, reply)


async def _relay_response(
    request: web.Request, reply: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Return the response after its body was passed on to the caller.

    An error after the headers were sent aborts the caller's connection.
    """
    response = web.StreamResponse(status=reply.status)
    for name in _RESPONSE_HEADERS:
        if name in reply.headers:
            response.headers[name] = reply.headers[name]
    await response.prepare(request)
    try:
        async for chunk in reply.content.iter_any():
            async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
                await response.write(chunk)
        await response.write_eof()
    except (aiohttp.ClientError, OSError, TimeoutError):
        abort_connection(request)
    return response


def abort_connection(request: web.BaseRequest) -> None:
    """Abort a caller's connection before the end of the response.

    The caller can then see that the response is incomplete.
    """
    transport: t.Optional[asyncio.Transport] = request.transport
    if transport is not None:
        transport.abort()
