"""Requests that a gateway sends on to one of another data centre."""

import asyncio
import typing as t

import aiohttp
from aiohttp import web

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import state as states

FORWARDED_HEADER = "Sesamefold-Forwarded"
# Headers that are passed on; all others belong to one connection.
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
_CONNECT_SECONDS = 2.0
_READ_SECONDS = 30.0


async def forward(
    state: states.State,
    request: web.Request,
    body: bytes,
    deadline: deadlines.Deadline,
    reason: exceptions.SesamefoldError,
) -> web.StreamResponse:
    """Answer `request` through a gateway of another data centre.

    Only failed connections and refusals as not run lead to the next gateway.
    Raises `reason` when none can answer or the request was forwarded before,
    and `exceptions.BackendFailed` when a gateway broke off.
    """
    if FORWARDED_HEADER in request.headers:
        raise reason
    for address in state.list_gateways():
        try:
            response = await _send(state, request, body, deadline, address)
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


async def _send(
    state: states.State,
    request: web.Request,
    body: bytes,
    deadline: deadlines.Deadline,
    address: str,
) -> t.Optional[web.StreamResponse]:
    """Return the answer, None when the gateway refused it as not run."""
    headers = {
        name: request.headers[name]
        for name in _REQUEST_HEADERS
        if name in request.headers
    }
    headers[FORWARDED_HEADER] = "1"
    headers["Sesamefold-Deadline"] = f"{deadline.at:.3f}"
    timeout = aiohttp.ClientTimeout(
        total=deadline.remaining() + defaults.CLOCK_SKEW,
        sock_connect=_CONNECT_SECONDS,
        sock_read=_READ_SECONDS,
    )
    async with state.session.request(
        request.method,
        f"http://{address}{request.path_qs}",
        data=body,
        headers=headers,
        timeout=timeout,
        allow_redirects=False,
    ) as answer:
        executed = answer.headers.get("Sesamefold-Executed")
        if answer.status == 503 and executed == exceptions.NO:
            return None
        return await _relay(request, answer)


async def _relay(
    request: web.Request, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Pass an answer on; a break after its head closes the connection."""
    response = web.StreamResponse(status=answer.status)
    for name in _RESPONSE_HEADERS:
        if name in answer.headers:
            response.headers[name] = answer.headers[name]
    await response.prepare(request)
    try:
        async for chunk in answer.content.iter_any():
            async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
                await response.write(chunk)
        await response.write_eof()
    except (aiohttp.ClientError, OSError, TimeoutError):
        abort_connection(request)
    return response


def abort_connection(request: web.BaseRequest) -> None:
    """Close a caller's connection without a regular end of the response.

    The caller then sees that the response is incomplete.
    """
    transport: t.Optional[asyncio.Transport] = request.transport
    if transport is not None:
        transport.abort()
