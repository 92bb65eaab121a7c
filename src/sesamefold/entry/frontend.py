"""HTTP server of the entry host for callers."""

import asyncio
import socket
import struct
import typing as t

from aiohttp import web
import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import dispatch
from sesamefold.entry import metrics as entry_metrics
from sesamefold.entry import requests
from sesamefold.entry import shutdown as shutdowns
from sesamefold import exceptions
from sesamefold import memory

# Timeout of a request whose headers name none.
DEFAULT_TIMEOUT_SECONDS = 30.0
# Idle time after which a caller's connection is closed. The idle timeout of
# the configuration is not applied.
IDLE_TIMEOUT_SECONDS = 75.0
# Largest body of a request while no configuration states a limit. Not used, as
# requests are refused while there is no configuration.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Delay after which callers should retry a refused request, unless the error
# says it. The runs of engines end within a few seconds.
RETRY_AFTER_SECONDS = 1.0


@attrs.define
class _HttpResponseWriter:
    """Writes a response to a caller's connection.

    The response closes the connection if the host shuts down. `writing` says
    whether the caller has not taken the last part of it yet.
    """

    request: web.BaseRequest
    shutdown: shutdowns.Shutdown
    response: t.Optional[web.StreamResponse] = None
    writing: bool = False

    async def start(self, head: requests.ReplyHead) -> None:
        """Send the head of the response."""
        response = web.StreamResponse(
            status=head.status, headers=head.forwarded
        )
        if head.content_length is None or head.is_event_stream():
            if self.request.version >= (1, 1):
                response.enable_chunked_encoding()
        else:
            response.content_length = head.content_length
        if self.shutdown.requested:
            response.force_close()
        self.response = response
        await response.prepare(self.request)

    async def write(self, data: t.Union[bytes, memoryview]) -> None:
        """Send a part of the body; wait while the caller takes none."""
        if data and self.response is not None:
            self.writing = True
            await self.response.write(data)
            self.writing = False

    async def finish(self) -> None:
        """End the response as complete."""
        if self.response is not None:
            self.writing = True
            await self.response.write_eof()
            self.writing = False


@attrs.define(eq=False)
class _ActiveRequest:
    """A request that is being served.

    `request_id` is None until the headers have been read, and `call` until
    the body has.
    """

    arrived_at: float
    writer: _HttpResponseWriter
    body: memory.Holding
    request_id: t.Optional[str] = None
    call: t.Optional[requests.Call] = None

    def describe(self) -> t.Dict[str, t.Any]:
        """Return what the log states about a request that the host ends."""
        fields: t.Dict[str, t.Any] = {
            "request": self.request_id,
            "seconds": round(clock.read_time() - self.arrived_at, 3),
            "after_signal": round(
                self.arrived_at - self.writer.shutdown.requested_at, 3
            ),
            "waiting_for": "body",
        }
        if self.call is not None:
            fields.update(
                waiting_for=(
                    "caller" if self.writer.writing else self.call.waiting_for
                ),
                waited=round(clock.read_time() - self.call.waiting_since, 3),
                server=(self.call.tried_servers or [None])[-1],
                attempts=len(self.call.tried_servers),
                kind=self.call.route.get_kind(),
                left=round(self.call.remaining(), 3),
                begun=self.writer.response is not None,
            )
        return fields


@attrs.define
class Frontend:
    """Handler of the requests of callers.

    Once `shutdown` is requested, each response closes its connection. The
    bodies of all requests in progress count to `body_budget`.
    """

    catalog: catalogs.Catalog
    dispatcher: dispatch.Dispatcher
    codec: requests.Codec
    log: decisions.DecisionLog
    metrics: entry_metrics.EntryMetrics
    shutdown: shutdowns.Shutdown
    body_budget: memory.MemoryBudget = attrs.field(factory=memory.MemoryBudget)
    _active: t.Set[_ActiveRequest] = attrs.field(factory=set)

    @property
    def in_progress(self) -> int:
        """Return the number of requests that are being served."""
        return len(self._active)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and return its response."""
        arrived_at = clock.read_time()
        writer = _HttpResponseWriter(request, self.shutdown)
        body = self.body_budget.open(request.remote or "")
        active = _ActiveRequest(arrived_at, writer, body)
        self._active.add(active)
        code = 0
        try:
            head = self.codec.read_request(request.headers)
            active.request_id = head.request_id
            call = await self._make_call(request, head, arrived_at, body)
            active.call = call
            await self.dispatcher.serve(call, writer)
            assert writer.response is not None
            return writer.response
        except exceptions.SesamefoldError as error:
            code = error.code
            return self._respond_with_error(active, error)
        except asyncio.CancelledError:
            code = exceptions.CallerLeft.code
            raise
        except ConnectionError as error:
            code = exceptions.CallerLeft.code
            raise asyncio.CancelledError() from error
        except Exception as error:
            # A fault of this host, which the log must not record as an
            # answered request.
            unexpected = exceptions.InternalError(
                f"{type(error).__name__}: {error}"
            )
            code = unexpected.code
            return self._respond_with_error(active, unexpected)
        finally:
            self._active.remove(active)
            body.close()
            if code and self.shutdown.has_given_up():
                self.log.write("ended_by_stop", code=code, **active.describe())
            seconds = clock.read_time() - arrived_at
            self.metrics.count_request(code, seconds)
            self.log.write(
                "answered" if code == 0 else "failed",
                request=active.request_id,
                code=code,
                seconds=round(seconds, 3),
            )

    async def _make_call(
        self,
        request: web.BaseRequest,
        head: requests.RequestHead,
        arrived_at: float,
        body: memory.Holding,
    ) -> requests.Call:
        self.shutdown.refuse_new()
        configuration = self.catalog.require_configuration()
        path = request.raw_path.partition("?")[0]
        route = configuration.find_route(request.headers.get("Host", ""), path)
        customer = configuration.find_customer(route, head.api_key)
        timeout = head.timeout_seconds or DEFAULT_TIMEOUT_SECONDS
        call = requests.Call(
            head=head,
            route=route,
            service=route.choose_service(head.request_id),
            customer=customer,
            method=request.method,
            target=request.raw_path,
            body=b"",
            arrived_at=arrived_at,
            deadline=arrived_at + min(timeout, route.timeout),
            last_event_id=head.last_event_id,
            configuration_version=configuration.version,
            key_version=configuration.version,
        )
        self.shutdown.check(call)
        async with self.shutdown.limit_body(call):
            call.body = await self._read_body(
                request, configuration.limits.max_body_bytes, body
            )
        return call

    async def _read_body(
        self, request: web.BaseRequest, limit: int, held: memory.Holding
    ) -> bytes:
        """Return the body of a request, which stays held until its end.

        Raises `exceptions.RequestTooLarge` above `limit` bytes, and
        `exceptions.NoRoom` if it does not fit beside those of other requests.
        """
        if not request.body_exists:
            return b""
        _check_body_size(request.content_length or 0, limit, held)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        chunks = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            _check_body_size(size, limit, held)
            held.resize(size)
            chunks.append(chunk)
        return b"".join(chunks)

    def _respond_with_error(
        self,
        active: _ActiveRequest,
        error: exceptions.SesamefoldError,
    ) -> web.StreamResponse:
        if isinstance(error, exceptions.ShuttingDown):
            self.log.write(
                "refused_by_stop", reason=error.message, **active.describe()
            )
        self.log.write(
            "error",
            request=active.request_id,
            code=error.code,
            executed=error.executed,
            reason=error.message[:200],
            confirmed=round(clock.read_time() - self.catalog.confirmed_at, 2),
        )
        if active.writer.response is not None:
            _break_connection(active.writer.request)
            raise asyncio.CancelledError()
        retry_after = error.retry_after
        if retry_after is None and error.status in (429, 503):
            retry_after = RETRY_AFTER_SECONDS
        response = web.Response(
            status=error.status,
            headers=self.codec.write_error(active.request_id, retry_after),
            text=f'{{"code":{error.code}}}',
            content_type="application/json",
        )
        if self.shutdown.requested:
            response.force_close()
        return response


def _check_body_size(size: int, limit: int, held: memory.Holding) -> None:
    """Check that a body may have a size.

    Raises `exceptions.RequestTooLarge` above `limit` bytes, and
    `exceptions.NoRoom` if it does not fit beside those of other requests.
    """
    if size > limit:
        raise exceptions.RequestTooLarge(f"the body exceeds {limit} bytes")
    if not held.fits(size):
        raise exceptions.NoRoom("the bodies of requests take all memory")


def _break_connection(request: web.BaseRequest) -> None:
    """Close a caller's connection without the end of the body.

    The caller then does not take a partial response for a complete one. To
    HTTP/1.0, the close is the end of the body, so that the connection is
    reset instead.
    """
    transport = t.cast(t.Optional[asyncio.Transport], request.transport)
    if transport is None:
        return
    if request.version >= (1, 1):
        transport.close()
        return
    # With a linger time of 0, closing the socket sends a reset.
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()
