"""HTTP interface of the entry host to callers."""

import asyncio
import typing as t

from aiohttp import web
import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import dispatch
from sesamefold.entry import metrics as entry_metrics
from sesamefold.entry import requests
from sesamefold import exceptions

# Time that a caller waits when it does not say, seconds.
DEFAULT_WAIT_SECONDS = 30.0
# Idle time after which a caller's connection is closed while no configuration
# states one, seconds.
IDLE_SECONDS = 75.0
# Bound on a body while no configuration states one, bytes.
MAX_BODY_BYTES = 4 * 1024 * 1024
# When callers of a refused request should come back, seconds: the runs of
# engines end within a few seconds.
RETRY_AFTER_SECONDS = 1.0


@attrs.define
class _ResponseWriter:
    """Writes an answer to a caller's connection."""

    request: web.BaseRequest
    closing: bool
    response: t.Optional[web.StreamResponse] = None

    async def start(self, head: requests.ReplyHead) -> None:
        """Send the head of the answer."""
        response = web.StreamResponse(
            status=head.status, headers=head.forwarded
        )
        if head.content_length is None or self._is_stream(head):
            if self.request.version >= (1, 1):
                response.enable_chunked_encoding()
        else:
            response.content_length = head.content_length
        if self.closing:
            response.force_close()
        self.response = response
        await response.prepare(self.request)

    def _is_stream(self, head: requests.ReplyHead) -> bool:
        kind = head.forwarded.get("Content-Type", "")
        return kind.startswith("text/event-stream")

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and self.response is not None:
            await self.response.write(data)

    async def finish(self) -> None:
        """End the answer as complete."""
        if self.response is not None:
            await self.response.write_eof()


@attrs.define
class Frontend:
    """Takes the requests of callers.

    While `draining`, each answer closes its connection; while `refusing`, no
    new request is served.
    """

    catalog: catalogs.Catalog
    dispatcher: dispatch.Dispatcher
    codec: requests.Codec
    log: decisions.DecisionLog
    metrics: entry_metrics.EntryMetrics
    draining: bool = False
    refusing: bool = False
    in_progress: int = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrived = clock.read_time()
        self.in_progress += 1
        request_id: t.Optional[str] = None
        writer = _ResponseWriter(request, self.draining)
        code = 0
        try:
            intake = self.codec.read_request(request.headers)
            request_id = intake.request_id
            call = await self._make_call(request, intake, arrived)
            await self.dispatcher.serve(call, writer)
            assert writer.response is not None
            return writer.response
        except exceptions.SesamefoldError as error:
            code = error.code
            return self._answer_error(request, request_id, writer, error)
        except asyncio.CancelledError:
            code = exceptions.CallerLeft.code
            raise
        except ConnectionError as error:
            code = exceptions.CallerLeft.code
            raise asyncio.CancelledError() from error
        except Exception as error:
            # A fault of this host; the log must not call it an answer.
            unexpected = exceptions.InternalError(
                f"{type(error).__name__}: {error}"
            )
            code = unexpected.code
            return self._answer_error(request, request_id, writer, unexpected)
        finally:
            self.in_progress -= 1
            seconds = clock.read_time() - arrived
            self.metrics.count_request(code, seconds)
            self.log.write(
                "answered" if code == 0 else "failed",
                request=request_id,
                code=code,
                seconds=round(seconds, 3),
            )

    async def _make_call(
        self,
        request: web.BaseRequest,
        intake: requests.RequestHead,
        arrived: float,
    ) -> requests.Call:
        if self.refusing:
            raise exceptions.ShuttingDown("the entry host stops")
        configuration = self.catalog.require_configuration()
        path = request.raw_path.partition("?")[0]
        route = configuration.find_route(request.headers.get("Host", ""), path)
        customer = configuration.find_customer(route, intake.api_key)
        body = await self._read_body(
            request, configuration.limits.max_body_bytes
        )
        wait = intake.timeout_seconds or DEFAULT_WAIT_SECONDS
        return requests.Call(
            head=intake,
            route=route,
            service=route.choose_service(intake.request_id),
            customer=customer,
            method=request.method,
            target=request.raw_path,
            body=body,
            arrived=arrived,
            deadline=arrived + min(wait, route.timeout),
            last_event_id=intake.last_event_id,
        )

    async def _read_body(self, request: web.BaseRequest, limit: int) -> bytes:
        if not request.body_exists:
            return b""
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        chunks = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > limit:
                raise exceptions.RequestTooLarge(f"the body exceeds {limit}")
            chunks.append(chunk)
        return b"".join(chunks)

    def _answer_error(
        self,
        request: web.BaseRequest,
        request_id: t.Optional[str],
        writer: _ResponseWriter,
        error: exceptions.SesamefoldError,
    ) -> web.StreamResponse:
        self.log.write(
            "error",
            request=request_id,
            code=error.code,
            executed=error.executed,
            reason=error.message[:200],
            confirmed=round(clock.read_time() - self.catalog.confirmed_at, 2),
        )
        if writer.response is not None:
            # The caller must not take a part of the answer for the whole.
            if request.transport is not None:
                request.transport.close()
            raise asyncio.CancelledError()
        retry = RETRY_AFTER_SECONDS if error.status in (429, 503) else None
        response = web.Response(
            status=error.status,
            headers=self.codec.write_error(request_id, retry),
            text=f'{{"code":{error.code}}}',
            content_type="application/json",
        )
        if self.draining:
            response.force_close()
        return response
