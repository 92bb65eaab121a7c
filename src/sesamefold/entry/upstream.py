"""Client for requests from the entry host to backend servers."""

import asyncio
import contextlib
import typing as t

import aiohttp
import yarl

from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import exchanges
from sesamefold import memory
from sesamefold import transport

# Timeout for connecting to a server: ten round trips between regions. A server
# without power does not reply to connection attempts at all.
CONNECT_TIMEOUT_SECONDS = 0.4
# Largest body of a successful reply that is not streamed.
MAX_REPLY_BYTES = 8 * 1024 * 1024
# Largest body of a failure.
MAX_FAILURE_BYTES = 1024 * 1024
# Size of a refusal's body up to which it is read, so that its connection can
# be used again. The head says all that matters.
MAX_REFUSAL_BYTES = 64 * 1024
# Time in which that body must arrive.
REFUSAL_BODY_SECONDS = 0.2
# Idle time after which a connection to a server is not reused. Servers close
# idle connections, and a request sent while its connection is being closed may
# have been executed.
KEEPALIVE_SECONDS = 4.0
# Headers that aiohttp would otherwise add to those of the caller.
_AUTOMATIC_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)


class _ReplyTooLarge(exceptions.ReplyBroken):
    """The body of a reply is larger than any that is passed on."""


class Reply:
    """A backend server's reply, of which the head has arrived.

    `kept_bytes` are those of the bytes that were read which are still needed.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: requests.ReplyHead,
        exchange: exchanges.Exchange,
    ) -> None:
        self.head = head
        self._response = response
        self._exchange = exchange
        self.kept_bytes = 0
        self._read_bytes = 0

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, b"" at its end.

        The bytes before count as passed on, except `kept_bytes`. May be called
        again after a cancellation. Raises `exceptions.ReplyBroken`.
        """
        self._exchange.record_passed(self._read_bytes - self.kept_bytes)
        try:
            chunk = await self._response.content.readany()
        except transport.CALL_ERRORS as error:
            raise exceptions.ReplyBroken(
                transport.describe_error(error)
            ) from error
        self._read_bytes += len(chunk)
        return chunk

    def ends_with_connection(self) -> bool:
        """Return whether only the close of the connection ends the body."""
        return exchanges.ends_with_connection(self._response)

    def has_unread_data(self) -> bool:
        """Return whether more of the body, or its end, has arrived.

        A timeout may cancel a read whose data arrived at the same time.
        """
        content = self._response.content
        return (
            content.is_eof()
            or content.exception() is not None
            or content.total_bytes > self._read_bytes
        )

    async def read_body(self, max_bytes: int = MAX_REPLY_BYTES) -> bytes:
        """Return the whole body.

        Raises `exceptions.ReplyBroken`, also for a body of over `max_bytes`,
        before it is read if its length is known.
        """
        length = self.head.content_length
        if (length or 0) > max_bytes:
            raise _ReplyTooLarge("the reply is too large")
        if length is not None:
            self._exchange.keep()
        chunks: t.List[bytes] = []
        try:
            while chunk := await self.read_chunk():
                self.kept_bytes = self._read_bytes
                if self._read_bytes > max_bytes:
                    raise _ReplyTooLarge("the reply is too large")
                chunks.append(chunk)
                if length is not None and self._exchange.holding is not None:
                    await self._exchange.holding.wait_for_room()
            self._exchange.keep()
            return b"".join(chunks)
        finally:
            # The traceback of an error would keep them.
            chunks.clear()

    async def read_refusal(self) -> None:
        """Read the body of a refusal, if it is short.

        The connection is used again only after the whole body has been read.
        A body that is long or late ends the connection. Raises
        `exceptions.ReplyBroken` for one that breaks off.
        """
        self._exchange.keep()
        with contextlib.suppress(_ReplyTooLarge, TimeoutError):
            async with asyncio.timeout(REFUSAL_BODY_SECONDS):
                await self.read_body(MAX_REFUSAL_BYTES)


class UpstreamClient:
    """Sends requests to backend servers over persistent connections."""

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
        added: requests.AddedHeaders,
        on_head: t.Callable[[requests.ReplyHead], None] = lambda head: None,
    ) -> t.AsyncIterator[Reply]:
        """Send a request and yield the reply once its head has arrived.

        `on_head` is called with the head of any reply to the request, also if
        the reply is a refusal or not genuine.
        Leaving the context before the reply has been read to the end closes
        the connection, which cancels the request at the server. Raises
        `exceptions.NotExecuted` and `exceptions.ReplyBroken`.
        """
        identity = exchanges.Identity(
            call.request_id, self._codec.read_reply_id
        )
        exchange = transport.make_exchange(
            self._session, identity, keeps_answer=True
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(exchange.close)
            try:
                response = await stack.enter_async_context(
                    transport.request(
                        self._session,
                        call.method,
                        yarl.URL(
                            f"http://{server.address}{call.target}",
                            encoded=True,
                        ),
                        exchange,
                        headers=self._codec.write_request(call.head, added),
                        data=call.body or None,
                        skip_auto_headers=_AUTOMATIC_HEADERS,
                        allow_redirects=False,
                        timeout=aiohttp.ClientTimeout(
                            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
                        ),
                    )
                )
            except transport.CALL_ERRORS as error:
                raise _convert_transport_error(error) from error
            head = self._codec.read_reply(response.status, response.headers)
            on_head(head)
            reply = Reply(response, head, exchange)
            if head.not_executed:
                await reply.read_refusal()
            _check_reply_head(head, server)
            yield reply


def _convert_transport_error(error: BaseException) -> exceptions.RoutingError:
    message = transport.describe_error(error)
    if transport.is_unsent(error):
        return exceptions.NotExecuted(
            message, reachable=False, ended=transport.is_refused(error)
        )
    if isinstance(error, exchanges.ForeignAnswer):
        return exceptions.ForeignReply(message)
    return exceptions.ReplyBroken(message)


def _check_reply_head(
    head: requests.ReplyHead, server: topology.Server
) -> None:
    """Check that the head of a server's reply to a request is a genuine one.

    Raises `exceptions.NotExecuted` or `exceptions.ReplyBroken` otherwise. A
    refusal by another server at the address says that `server` has ended, and
    nothing about its weights.
    """
    if head.mismatched and head.server_id not in (None, server.id):
        raise exceptions.NotExecuted(
            f"the server at {server.address} is another one",
            reachable=False,
            ended=True,
            replaced=True,
        )
    if head.not_executed:
        raise exceptions.NotExecuted(
            f"the server replied with status {head.status}",
            reachable=True,
            mismatched=head.mismatched,
        )
    if head.content_encoded:
        raise exceptions.ReplyBroken(
            "the reply has a content encoding that was not requested"
        )
    if not head.is_genuine():
        raise exceptions.ReplyBroken(
            "a successful reply lacks the server's seal"
        )


def make_session(
    report: exchanges.Reporter,
    budget: t.Optional[memory.MemoryBudget] = None,
) -> aiohttp.ClientSession:
    """Return the session for requests to backend servers.

    `report` is called with each answer that belongs to no request. What is
    held of the answers counts to `budget`.
    """
    return transport.make_session(
        keepalive_seconds=KEEPALIVE_SECONDS,
        report=report,
        budget=budget,
        auto_decompress=False,
    )
