"""Requests from the entry host to backend servers."""

import contextlib
import typing as t

import aiohttp
import yarl

from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import transport

# Time to set up a connection to a server, seconds. Ten round trips between
# regions; a server without power does not answer at all.
CONNECT_SECONDS = 0.4
# Most bytes of a reply that is not a stream.
MAX_REPLY_BYTES = 8 * 1024 * 1024
# Idle time after which a connection to a server is not used again, seconds.
# Servers close idle connections, and a request that crosses the close of one
# may have run.
KEEPALIVE_SECONDS = 4.0
# Headers that aiohttp would add to those of the caller.
_AUTOMATIC_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)


class Reply:
    """A reply whose head has arrived."""

    def __init__(
        self, response: aiohttp.ClientResponse, head: requests.ReplyHead
    ) -> None:
        self.head = head
        self._response = response
        self._protocol = (
            response.connection.protocol if response.connection else None
        )
        self._open_ended = (
            "Content-Length" not in response.headers
            and "Transfer-Encoding" not in response.headers
        )

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, b"" at its end.

        May be called again after it was cancelled. Raises `ReplyBroken`.
        """
        try:
            chunk = await self._response.content.readany()
        except transport.CALL_ERRORS as error:
            raise exceptions.ReplyBroken(transport.describe(error)) from error
        if not chunk and self._open_ended and self._was_reset():
            raise exceptions.ReplyBroken("the connection was reset")
        return chunk

    async def read_body(self) -> bytes:
        """Return the whole body; raises `ReplyBroken`."""
        chunks = []
        size = 0
        while chunk := await self.read_chunk():
            size += len(chunk)
            if size > MAX_REPLY_BYTES:
                raise exceptions.ReplyBroken("the reply is too large")
            chunks.append(chunk)
        return b"".join(chunks)

    def _was_reset(self) -> bool:
        """Tell whether a body without a length ended by a reset.

        aiohttp ends such a body at every loss of the connection.
        """
        if self._protocol is None:
            return False
        error = self._protocol.exception()
        return error is not None and not isinstance(
            error, aiohttp.ServerDisconnectedError
        )


class Upstream:
    """Sends requests to backend servers over kept connections."""

    def __init__(
        self, session: aiohttp.ClientSession, codec: requests.Codec
    ) -> None:
        self._session = session
        self._codec = codec

    @contextlib.asynccontextmanager
    async def send(
        self,
        server: topology.Server,
        call: requests.Call,
        dispatch: requests.AddedHeaders,
    ) -> t.AsyncIterator[Reply]:
        """Send a request and return its reply once the head is there.

        Leaving the context ends the request at the server when its reply
        has not been read to the end. Raises `NotExecuted` and `ReplyBroken`.
        """
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    self._session.request(
                        call.method,
                        yarl.URL(
                            f"http://{server.address}{call.target}",
                            encoded=True,
                        ),
                        headers=self._codec.write_request(call.head, dispatch),
                        data=call.body or None,
                        skip_auto_headers=_AUTOMATIC_HEADERS,
                        allow_redirects=False,
                        timeout=aiohttp.ClientTimeout(
                            total=None, sock_connect=CONNECT_SECONDS
                        ),
                    )
                )
            except transport.CALL_ERRORS as error:
                raise _convert(error) from error
            head = self._codec.read_reply(response.status, response.headers)
            reply = Reply(response, head)
            if head.not_executed:
                # Reading it to the end keeps the connection usable.
                await reply.read_body()
            _check(head, call)
            yield reply


def _convert(error: BaseException) -> exceptions.RoutingError:
    message = transport.describe(error)
    if transport.is_unsent(error):
        return exceptions.NotExecuted(message, reachable=False)
    return exceptions.ReplyBroken(message)


def _check(head: requests.ReplyHead, call: requests.Call) -> None:
    """Accept the head of a genuine reply to this request.

    Raises `NotExecuted` and `ReplyBroken` for all others.
    """
    if head.not_executed:
        raise exceptions.NotExecuted(
            f"the server answered {head.status}",
            reachable=True,
            mismatched=head.mismatched,
        )
    if head.request_id != call.request_id:
        raise exceptions.ReplyBroken("the reply belongs to another request")
    if head.content_encoded:
        raise exceptions.ReplyBroken(
            "the reply has an encoding nobody asked for"
        )
    if 200 <= head.status < 300 and not head.sealed:
        raise exceptions.ReplyBroken("a success without the server's seal")


def make_session() -> aiohttp.ClientSession:
    """Return the session for requests to backend servers."""
    return transport.make_session(
        keepalive_seconds=KEEPALIVE_SECONDS, auto_decompress=False
    )
