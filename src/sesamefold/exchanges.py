"""Connections that carry one request and the answer to it at a time."""

import asyncio
import collections
import fcntl
import itertools
import re
import struct
import termios
import time
import typing as t
import weakref

import aiohttp
import attrs
import multidict

from sesamefold import exceptions
from sesamefold import memory

# Bytes that are read from a connection at a time. Other connections wait while
# they are parsed, and small chunks or interim responses take 0.3 us a byte.
READ_BYTES = 16 * 1024
# Bytes that an answer may have beside those of its body: interim responses,
# its head and the framing of chunks. The HTTP client takes a step in Python
# for each, so that small ones without end would stop all other requests.
MAX_OVERHEAD_BYTES = 64 * 1024
# Further such bytes: a share of the body, enough for chunks of 128 bytes, and
# for each second those of the fastest engine's events, in a chunk each.
OVERHEAD_SHARE = 1 / 16
OVERHEAD_BYTES_PER_SECOND = 4 * 1024
# Latest requests of a connection whose ids may not be sent on it again.
REMEMBERED_REQUESTS = 64

_HEAD_END = b"\r\n\r\n"
# The begin of a head. Within another head it shows that the first one was cut
# off, so that its fields would count as those of the second.
_STATUS_LINE = re.compile(r"HTTP/1\.[01] [0-9]{3}")
# Format of the counter that the system returns for a connection.
_COUNTER = struct.Struct("i")
_connection_numbers = itertools.count(1)

IdReader = t.Callable[["multidict.MultiMapping[str]"], t.Optional[str]]


class ForeignAnswer(aiohttp.ClientError):
    """An answer is not shown to belong to the request that waits for it."""


@attrs.frozen
class StrayAnswer:
    """Report of bytes that do not belong to the request of their connection.

    `connection` counts the connections of the process, `age_seconds` is how
    long ago this one was opened and `exchanges` how many requests it carried
    before. `request_id` is that of the request that waits, None if none does;
    `received_id` is that of the answer, None if it has none.
    """

    reason: str
    address: str
    connection: int
    age_seconds: float
    exchanges: int
    request_id: t.Optional[str] = None
    received_id: t.Optional[str] = None
    code: int = exceptions.ForeignReply.code


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether a body has neither a length nor chunks."""
    return not any(
        name in response.headers
        for name in ("Content-Length", "Transfer-Encoding")
    )


Reporter = t.Callable[[StrayAnswer], None]


@attrs.frozen
class Identity:
    """The id of a request and how the id in the head of an answer is read.

    With `anonymous`, an answer without an id is accepted as well, but only on
    a connection that has carried no other request, and ends that connection.
    """

    request_id: str
    read_id: IdReader
    anonymous: bool = False


@attrs.define(eq=False)
class Exchange:
    """One request and the answer to it, as a middleware of the HTTP client.

    No caller of the client gets an answer that is not shown to be that of its
    request. Without an identity, all answers that arrive while the request
    waits are accepted. `is_first` says whether the connection has carried no
    other request, `was_reset` whether it was lost with an error before the
    answer was complete, and `ended_early` whether the server sent no more
    before it had received the whole request.

    What the process holds of the answer counts as `holding` until the exchange
    ends or, with `keeps_answer`, until `close`; it is None for an answer that
    is too small to count. `passed_bytes` are those of the body that are not
    held any more. An answer that `is_kept` is not given up.
    """

    connector: "ExchangeConnector"
    identity: t.Optional[Identity] = None
    keeps_answer: bool = False
    response: t.Optional[aiohttp.ClientResponse] = None
    carrier: t.Optional["_Carrier"] = None
    is_first: bool = False
    was_reset: bool = False
    ended_early: bool = False
    holding: t.Optional[memory.Holding] = None
    passed_bytes: int = 0
    is_kept: bool = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: t.Any
    ) -> aiohttp.ClientResponse:
        """Send the request once and return the answer to it.

        Raises `ForeignAnswer`.
        """
        self.connector.register(request, self)
        response = await handler(request)
        try:
            self._check_answer(response)
        except ForeignAnswer:
            response.close()
            raise
        self.response = response
        self._check_end()
        return response

    def record_reset(self) -> None:
        """Record that the connection was lost with an error."""
        self.was_reset = True
        self._check_end()

    def record_early_end(self) -> None:
        """Record the end of the answer before that of the request.

        A server that closes its connection with a part of the request on the
        way sends the end of its answer first and a reset for that part.
        """
        self.ended_early = True
        self._check_end()

    def begin(self, carrier: "_Carrier") -> None:
        """Begin on a connection."""
        self.carrier = carrier
        self.is_first = not carrier.exchanges

    def end(self) -> None:
        """End on the connection; the answer is complete or was given up."""
        if not self.keeps_answer:
            self.close()

    def close(self) -> None:
        """Hold nothing of the answer any more."""
        if self.holding is not None:
            self.holding.close()

    def keep(self) -> None:
        """Do not give the answer up from now on."""
        self.is_kept = True
        if self.holding is not None:
            self.holding.keep()

    def record_passed(self, body_bytes: int) -> None:
        """Record how many bytes of the body are not held any more."""
        self.passed_bytes = body_bytes
        if self.holding is not None:
            self.record_held(self.count_body_bytes())

    def record_held(self, received_bytes: int) -> None:
        """Record what is held after so many bytes of the answer."""
        size = received_bytes - self.passed_bytes
        if self.holding is None:
            if size <= memory.UNCOUNTED_BYTES or self.carrier is None:
                return
            self.holding = self.connector.budget.open(
                self.carrier.address, None if self.is_kept else self.give_up
            )
        self.holding.resize(size)

    def give_up(self) -> None:
        """End the connection because the process holds too many bytes."""
        if self.carrier is not None and self.carrier.carries(self):
            self.record_reset()
            self.carrier.discard(
                "the process holds too many bytes",
                self.identity.request_id if self.identity else None,
            )

    def _check_end(self) -> None:
        """Let reads of a body fail that its connection has ended wrongly.

        The HTTP client takes any loss of the connection as the regular end
        of a body without a length. A failure may be sent before the request
        is complete, a success may not.
        """
        if self.response is None or not ends_with_connection(self.response):
            return
        if self.was_reset:
            reason = "the connection was reset"
        elif self.ended_early and 200 <= self.response.status < 300:
            reason = "the answer ended before the request"
        else:
            return
        self.response.content.set_exception(aiohttp.ClientPayloadError(reason))

    def _check_answer(self, response: aiohttp.ClientResponse) -> None:
        assert self.carrier is not None
        if response.status < 100:
            self._reject("the answer has no valid status", None)
        if response.status < 200:
            self._reject("the answer switches to another protocol", None)
        if self.identity is None:
            return
        texts = (response.reason or "", *response.headers.values())
        if any(map(_STATUS_LINE.search, texts)):
            self._reject("the head contains the begin of another one", None)
        received_id = self.identity.read_id(response.headers)
        if received_id == self.identity.request_id:
            return
        if received_id is not None:
            self._reject("the answer has another request's id", received_id)
        if not self.identity.anonymous or not self.is_first:
            self._reject("the answer has no request id", None)
        self.carrier.retire()

    def _reject(self, reason: str, received_id: t.Optional[str]) -> t.NoReturn:
        assert self.carrier is not None
        request_id = self.identity.request_id if self.identity else None
        self.carrier.discard(reason, request_id, received_id)
        raise ForeignAnswer(reason)

    def count_body_bytes(self) -> int:
        """Return the size of the answer's body so far."""
        return self.response.content.total_bytes if self.response else 0


class _Carrier(asyncio.BufferedProtocol):
    """Owner of a connection, between its transport and the HTTP client.

    Bytes reach the HTTP client only while an exchange is open. Those that
    arrive at another time, or that lead to no answer, end the connection.
    They are read into `buffer`, which all connections share, since none keeps
    it beyond `buffer_updated`.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        handler: t.Any,
        report: Reporter,
        buffer: memoryview,
    ) -> None:
        self.exchanges = 0
        self._transport = transport
        self._handler = handler
        self._report = report
        self._buffer = buffer
        self._number = next(_connection_numbers)
        # None for a connection that was lost before it could be used.
        peer = transport.get_extra_info("peername") or ("unknown", 0)
        self.address = f"{peer[0]}:{peer[1]}"
        self._opened_at = time.monotonic()
        self._exchange: t.Optional[Exchange] = None
        self._request_ids: t.Deque[str] = collections.deque(
            maxlen=REMEMBERED_REQUESTS
        )
        self._began_at = self._opened_at
        self._received_bytes = 0
        self._body_bytes = 0
        self._bytes_since_growth = 0
        transport.set_protocol(self)

    def may_carry(self, exchange: Exchange) -> bool:
        """Return whether a request can be told apart from all earlier ones.

        A late copy of an answer has the id of the request that it answered.
        """
        if self._handler.should_close:
            return False
        return exchange.identity is None or (
            exchange.identity.request_id not in self._request_ids
        )

    def carries(self, exchange: Exchange) -> bool:
        """Return whether an exchange is open on the connection."""
        return self._exchange is exchange

    def begin(self, exchange: Exchange) -> None:
        """Open an exchange; the connection carries no other until `end`."""
        self._exchange = exchange
        exchange.begin(self)
        self._began_at = time.monotonic()
        self._received_bytes = self._body_bytes = self._bytes_since_growth = 0

    def end(self) -> None:
        """Close the exchange; its answer is complete or was given up."""
        if self._exchange is None:
            return
        if self._exchange.identity is not None:
            self._request_ids.append(self._exchange.identity.request_id)
        self._exchange.end()
        self._exchange = None
        self.exchanges += 1

    def retire(self) -> None:
        """Let the connection carry no further request."""
        if self._exchange is None:
            self._transport.close()
        else:
            self._handler.force_close()

    def discard(
        self,
        reason: str,
        request_id: t.Optional[str] = None,
        received_id: t.Optional[str] = None,
    ) -> None:
        """Report bytes that belong to no request and end the connection."""
        if self._transport.is_closing():
            return
        self._report(
            StrayAnswer(
                reason,
                self.address,
                self._number,
                time.monotonic() - self._opened_at,
                self.exchanges,
                request_id,
                received_id,
            )
        )
        self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory into which bytes are read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes on that were read."""
        self._receive(bytes(self._buffer[:nbytes]))

    def _receive(self, data: bytes) -> None:
        """Pass bytes on to the HTTP client while an exchange is open."""
        if self._exchange is None:
            self.discard("bytes arrived while no request was waiting")
            return
        for part in self._split_after_head(data):
            self._handler.data_received(part)
        if self._exchange is None:
            if self._handler.should_close:
                self.discard("another answer follows a complete one")
            return
        exchange = self._exchange
        body_bytes = exchange.count_body_bytes()
        self._received_bytes += len(data)
        if self._received_bytes - body_bytes > self._limit_overhead(
            body_bytes
        ):
            self.discard(
                "the bytes lead to no answer",
                exchange.identity.request_id if exchange.identity else None,
            )
            return
        exchange.record_held(
            body_bytes + self._count_since_growth(len(data), body_bytes)
        )

    def _limit_overhead(self, body_bytes: int) -> float:
        """Return how many bytes may be no part of a body of this size."""
        return (
            MAX_OVERHEAD_BYTES
            + OVERHEAD_SHARE * body_bytes
            + OVERHEAD_BYTES_PER_SECOND * (time.monotonic() - self._began_at)
        )

    def _split_after_head(self, data: bytes) -> t.Iterable[bytes]:
        """Return the data in one part or, behind a head, in two.

        The HTTP client discards a head that arrives together with bytes that
        are malformed. In a part of its own, the head and a body of its length
        are kept if such bytes follow them.
        """
        assert self._exchange is not None
        if self._exchange.response is not None:
            return (data,)
        head, end, rest = data.partition(_HEAD_END)
        return (head + end, rest) if end and rest else (data,)

    def _count_since_growth(self, size: int, body_bytes: int) -> int:
        """Return the bytes since the answer's body last grew."""
        if body_bytes > self._body_bytes:
            self._body_bytes, self._bytes_since_growth = body_bytes, 0
        else:
            self._bytes_since_growth += size
        return self._bytes_since_growth

    def eof_received(self) -> t.Optional[bool]:
        """Tell the HTTP client that the server sends no more."""
        if self._exchange is not None and self._count_unsent_bytes():
            self._exchange.record_early_end()
        return t.cast(t.Optional[bool], self._handler.eof_received())

    def _count_unsent_bytes(self) -> int:
        """Return the bytes of the request that the server has not received.

        Those are counted that the server's system has not acknowledged, as far
        as this system tells.
        """
        unsent = self._transport.get_write_buffer_size()
        connection = self._transport.get_extra_info("socket")
        try:
            data = fcntl.ioctl(connection, termios.TIOCOUTQ, _COUNTER.pack(0))
            return unsent + t.cast(int, _COUNTER.unpack(data)[0])
        except (OSError, TypeError, ValueError):
            return unsent

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        """Tell the HTTP client that the connection is closed."""
        if exc is not None and self._exchange is not None:
            self._exchange.record_reset()
        self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Tell the HTTP client to stop sending."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Tell the HTTP client to go on sending."""
        self._handler.resume_writing()


class ExchangeConnector(aiohttp.TCPConnector):
    """Connector whose connections carry one exchange at a time.

    `report` is called with each `StrayAnswer`. Each request must be sent
    through an `Exchange`. What is held of the answers counts to `budget`.
    """

    def __init__(
        self,
        report: Reporter,
        budget: memory.MemoryBudget,
        **options: t.Any,
    ) -> None:
        super().__init__(**options)
        self.budget = budget
        self._report_stray = report
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._exchanges: t.MutableMapping[aiohttp.ClientRequest, Exchange] = (
            weakref.WeakKeyDictionary()
        )

    def register(
        self, request: aiohttp.ClientRequest, exchange: Exchange
    ) -> None:
        """Name the exchange to which a request belongs."""
        self._exchanges[request] = exchange

    async def connect(
        self, req: aiohttp.ClientRequest, *args: t.Any, **options: t.Any
    ) -> t.Any:
        """Return a connection on which the answer to `req` can be told."""
        exchange = self._exchanges[req]
        while True:
            connection = await super().connect(req, *args, **options)
            carrier = self._take_over(connection)
            if carrier.may_carry(exchange):
                carrier.begin(exchange)
                connection.add_callback(carrier.end)
                return connection
            connection.close()

    def _take_over(self, connection: t.Any) -> _Carrier:
        """Return the carrier of a connection, a new one for a new one."""
        protocol = connection.transport.get_protocol()
        if isinstance(protocol, _Carrier):
            return protocol
        return _Carrier(
            connection.transport,
            connection.protocol,
            self._report_stray,
            self._buffer,
        )
