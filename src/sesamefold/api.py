"""HTTP handlers of the gateway."""

import asyncio
import contextlib
import json
import math
import secrets
import time
import typing as t

import aiohttp
from aiohttp import web
import logbook

from sesamefold import admission
from sesamefold import calls
from sesamefold import completions
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import exports
from sesamefold import forwarding
from sesamefold import prompts
from sesamefold import services
from sesamefold import state as states
from sesamefold import streams

_log = logbook.Logger("api")

# Longest time that a caller may ask for, seconds.
MAX_REQUEST_SECONDS = 3600.0
# Time that a request waits for a server to load its weight version or to
# report for the first time, and the interval of the tries, seconds. New
# weights take an engine about a second, and a report about two more.
_BACKEND_WAIT_SECONDS = 5.0
_BACKEND_POLL_SECONDS = 0.25
# A body that arrives more slowly is refused, seconds.
_BODY_SECONDS = 30.0
# Below this, aiohttp's writer does not wait: its limit of 64 KB less the
# framing of one event.
_WRITER_LIMIT = 65_000
_HANDLED = web.RequestKey("handled", str)
_REQUEST_ID = web.RequestKey("request_id", str)


class Api:
    """Handlers over the state of one gateway."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._places = admission.Admission(state)
        self._exports = exports.Exports(state)
        self._calls = calls.Calls(state)

    def build_application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(
            client_max_size=defaults.MAX_BODY_BYTES,
            middlewares=[self._answer_errors],
        )
        application.add_routes(
            [
                web.post("/v1/completions", self.complete),
                web.post("/v1/chat/completions", self.complete),
                web.route("*", "/v1/services/{service}/{path:.*}", self.call),
                web.get("/v1/models", self.list_models),
                web.get("/metrics", self.show_metrics),
                web.get("/healthz", self.show_health),
                web.get("/readyz", self.show_readiness),
            ]
        )
        return application

    @web.middleware
    async def _answer_errors(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        request[_REQUEST_ID] = secrets.token_hex(16)
        request[_HANDLED] = ""
        code = 0
        self._state.metrics.in_progress.inc()
        try:
            _check_headers(request)
            response = await handler(request)
        except Exception as error:
            known = _convert_error(error)
            code = known.code
            response = _build_error(known, request[_REQUEST_ID])
        finally:
            self._state.metrics.in_progress.dec()
        if request[_HANDLED]:
            self._state.metrics.count_request(request[_HANDLED], code)
        if self._state.leaving and not response.prepared:
            # A kept connection could be closed under its next request.
            response.force_close()
        return response

    async def show_health(self, request: web.Request) -> web.Response:
        """Answer while the process serves."""
        return web.json_response({"healthy": True})

    async def show_readiness(self, request: web.Request) -> web.Response:
        """Tell whether callers should send new requests here."""
        state = self._state
        ready = state.is_ready()
        content = {
            "ready": ready,
            "leaving": state.leaving,
            "revision": state.configuration.revision,
            "in_service": state.is_in_service(),
        }
        return web.json_response(content, status=200 if ready else 503)

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the exposition format."""
        body, content_type = self._state.metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def list_models(self, request: web.Request) -> web.Response:
        """Return models and model services in the OpenAI form."""
        self._authenticate(request)
        config = self._state.configuration
        names = sorted(
            {
                *config.models,
                *(s.name for s in config.services.values() if s.model),
            }
        )
        data = [
            {"id": name, "object": "model", "owned_by": "sesamefold"}
            for name in names
        ]
        return web.json_response({"object": "list", "data": data})

    def _authenticate(self, request: web.Request) -> t.Any:
        if self._state.configuration.revision == 0:
            raise exceptions.NoBackend("there is no configuration yet")
        return self._state.authenticator.authenticate(
            request.headers.get("Authorization")
        )

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion request, streamed or as a whole."""
        begun = time.monotonic()
        request[_HANDLED] = "completion"
        customer = self._authenticate(request)
        body = await read_body(request)
        prompt = prompts.parse_prompt(
            body, chat=request.path.startswith("/v1/chat/")
        )
        deadline = parse_deadline(request)
        resume, offset = _parse_resume(request)
        if not self._state.is_in_service() and not resume:
            return await forwarding.forward(
                self._state, request, body, deadline, self._build_out()
            )
        limit = deadline.cap(_BACKEND_WAIT_SECONDS)
        pause = _BACKEND_POLL_SECONDS
        while True:
            completion = completions.open_completion(
                self._state,
                self._places,
                customer,
                prompt,
                body,
                deadline,
                resume,
                offset,
            )
            request[_REQUEST_ID] = completion.request_id
            try:
                return await self._answer(request, completion, begun)
            except (exceptions.NoBackend, exceptions.DataCentreOut) as error:
                # A request that a server failed on is not sent to more.
                reason = completion.state_executed(error)
                if completion.failures:
                    raise reason from error
            except exceptions.BackendRefused:
                # A server that swaps its weights refuses the earlier version
                # before the new one is in force here or reported. Other
                # refusals are retried within the budget only.
                await asyncio.sleep(pause)
                pause *= 2
                if limit.has_passed() or (
                    completion.is_version_offered()
                    and not self._state.retries.try_spend()
                ):
                    raise
                continue
            try:
                return await forwarding.forward(
                    self._state, request, body, deadline, reason
                )
            except exceptions.NoBackend:
                if (
                    limit.remaining() <= _BACKEND_POLL_SECONDS
                    or forwarding.FORWARDED in request.headers
                    or not self._state.expects_backend(completion.model.name)
                ):
                    raise
            await asyncio.sleep(_BACKEND_POLL_SECONDS)

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Answer a call of a plain service."""
        request[_HANDLED] = "call"
        customer = self._authenticate(request)
        service = services.find_plain(
            self._state, request.match_info["service"]
        )
        body = await read_body(request)
        raw, _, query = request.raw_path.partition("?")
        call = calls.Call(
            customer=customer.name,
            service=service,
            method=request.method,
            path="/" + raw.split("/", 4)[4],
            query=query,
            headers=tuple(request.headers.items()),
            body=body,
            request_id=request[_REQUEST_ID],
            deadline=parse_deadline(request),
            key=request.headers.get("Idempotency-Key", ""),
        )
        try:
            if not self._state.is_in_service():
                raise self._build_out()
            answer = await self._calls.run(call)
        except (exceptions.NoBackend, exceptions.DataCentreOut) as error:
            return await forwarding.forward(
                self._state, request, body, call.deadline, error
            )
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in answer.headers:
            response.headers.add(name, value)
        response.headers["Content-Type"] = answer.content_type
        response.headers["Sesamefold-Request"] = call.request_id
        response.headers["Sesamefold-Executed"] = exceptions.YES
        return response

    def _build_out(self) -> exceptions.DataCentreOut:
        name = self._state.settings.data_centre
        return exceptions.DataCentreOut(
            f"data centre {name!r} is out of service"
        )

    async def _answer(
        self,
        request: web.Request,
        completion: completions.Completion,
        begun: float,
    ) -> web.StreamResponse:
        answer = _Answer(self._state, completion, begun, self._exports)
        try:
            async with asyncio.timeout(completion.deadline.remaining()):
                response = await answer.send(request)
        except TimeoutError:
            raise completion.build_timeout() from None
        return response


class _Answer:
    """Writes one response from the events of a completion."""

    def __init__(
        self,
        state: states.State,
        completion: completions.Completion,
        begun: float,
        exporter: exports.Exports,
    ) -> None:
        self._state = state
        self._completion = completion
        self._exports = exporter
        self._form = streams.Format(
            completion.request_id,
            completion.prompt.name,
            completion.prompt.chat,
        )
        self._begun = begun
        self._first_token = 0.0
        self._unsent = 0

    async def send(self, request: web.Request) -> web.StreamResponse:
        """Run the completion and write the response.

        Errors before the first event are raised. The caller limits the time.
        """
        async with contextlib.aclosing(self._completion.run()) as events:
            first = await anext(events)
            if self._completion.prompt.stream:
                return await self.send_stream(request, first, events)
            return await self.send_whole(first, events)

    def _build_headers(self) -> t.Dict[str, str]:
        return {
            "Sesamefold-Request": self._completion.request_id,
            "Sesamefold-Handle": self._completion.sign_handle(),
        }

    async def send_whole(
        self,
        first: engines.TokenEvent,
        events: t.AsyncIterator[engines.TokenEvent],
    ) -> web.Response:
        """Return the response once the run has finished."""
        reason = first.finish_reason
        if first.kind == "token":
            self._note_token()
        async for event in events:
            if event.kind == "token":
                self._note_token()
            elif event.kind == "finished":
                reason = event.finish_reason
        self._count()
        body = self._form.render_whole(
            "".join(self._completion.output),
            reason,
            self._completion.build_usage(),
        )
        return web.json_response(body, headers=self._build_headers())

    async def send_stream(
        self,
        request: web.Request,
        first: engines.TokenEvent,
        events: t.AsyncIterator[engines.TokenEvent],
    ) -> web.StreamResponse:
        """Send SSE events as the tokens arrive.

        After the head, an error is told in an event of its own, without
        `[DONE]`.
        """
        response = web.StreamResponse(headers=self._build_headers())
        response.content_type = "text/event-stream"
        response.headers["Cache-Control"] = "no-store"
        if self._state.leaving:
            response.force_close()
        await self._prepare(request, response)
        try:
            await self._send_events(request, response, first, events)
        except exceptions.SesamefoldError as error:
            await self._send_error(request, response, error)
        except (TimeoutError, ConnectionError):
            # The caller reads too slowly or is gone.
            forwarding.close_connection(request)
        except asyncio.CancelledError:
            if self._completion.deadline.has_passed():
                error = self._completion.build_timeout()
                await self._send_error(request, response, error)
            raise
        self._count()
        return response

    async def _prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        writer = await response.prepare(request)
        if writer is None or request.transport is None:
            raise ConnectionResetError("the caller is gone")
        self._writer = writer
        # A drain then waits until all bytes are with the kernel.
        request.transport.set_write_buffer_limits(high=0)

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        first: engines.TokenEvent,
        events: t.AsyncIterator[engines.TokenEvent],
    ) -> None:
        if first.kind == "token":
            await self._write(request, self._render_origin())
        # A started event travels with the next one: each write is a call of
        # the system, which costs more than the rest of an event.
        ahead = self._render(first)
        async for event in events:
            if event.kind == "finished":
                await _end(response, ahead + self._render(event))
            elif event.kind == "started":
                ahead += self._render(event)
            else:
                await self._write(request, ahead + self._render(event))
                ahead = b""

    async def _send_error(
        self,
        request: web.Request,
        response: web.StreamResponse,
        error: exceptions.SesamefoldError,
    ) -> None:
        """End a stream with an error event."""
        content = build_error_body(error, self._completion.request_id)
        data = f"data: {json.dumps(content)}\n\n".encode()
        try:
            await _end(response, data)
        except (TimeoutError, ConnectionError):
            forwarding.close_connection(request)

    async def _write(self, request: web.Request, data: bytes) -> None:
        """Write to the caller; raises TimeoutError for a slow reader.

        The writer waits only when it has collected more than its limit, so
        the timer is left out before that while no bytes are unsent.
        """
        transport, writer = request.transport, self._writer
        if transport is None:
            raise ConnectionResetError("the caller is gone")
        idle = not transport.get_write_buffer_size()
        self._unsent = 0 if idle else self._unsent + 1
        if idle and writer.buffer_size + len(data) < _WRITER_LIMIT:
            await writer.write(data)
            return
        async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
            if self._unsent >= defaults.MAX_BUFFERED_EVENTS:
                await writer.drain()
                self._unsent = 0
            await writer.write(data)

    def _render(self, event: engines.TokenEvent) -> bytes:
        if event.kind == "token":
            self._note_token()
            return self._form.render_token(event)
        if event.kind == "started":
            return self._render_origin()
        return self._form.render_end(
            event.finish_reason,
            self._completion.build_usage(),
            event.offset,
        )

    def _render_origin(self) -> bytes:
        return self._form.render_origin(
            self._completion.origin, self._completion.sign_handle()
        )

    def _note_token(self) -> None:
        if self._first_token:
            return
        self._first_token = time.monotonic()
        self._state.metrics.first_token.observe(
            self._first_token - self._begun
        )
        # The engine has the prompt's blocks now and may evict them once the
        # run has ended.
        self._exports.schedule(
            self._completion.engine_address,
            self._completion.block_names,
            self._completion.holders,
        )

    def _count(self) -> None:
        metrics = self._state.metrics
        origin = self._completion.origin
        for source, tokens in (
            ("cached", origin.cached_tokens),
            ("memory", origin.imported_memory_tokens),
            ("disk", origin.imported_disk_tokens),
            ("recomputed", origin.recomputed_tokens),
        ):
            metrics.context.labels(source).inc(tokens)
        count = len(self._completion.output)
        if count > 1:
            elapsed = time.monotonic() - self._first_token
            metrics.token_gap.observe(elapsed / (count - 1))


async def _end(response: web.StreamResponse, data: bytes) -> None:
    """End a response; raises TimeoutError for a slow reader."""
    async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
        await response.write_eof(data)


async def read_body(request: web.Request) -> bytes:
    """Return the body; raises `exceptions.RequestTooLarge`."""
    try:
        async with asyncio.timeout(_BODY_SECONDS):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise exceptions.RequestTooLarge(
            f"the body exceeds {defaults.MAX_BODY_BYTES} bytes"
        ) from None
    except TimeoutError:
        raise exceptions.MalformedRequest(
            f"the body did not arrive within {_BODY_SECONDS} s"
        ) from None


def parse_deadline(request: web.BaseRequest) -> deadlines.Deadline:
    """Return the caller's deadline, or the default one.

    Raises `exceptions.MalformedRequest` and `exceptions.DeadlinePassed`.
    """
    text = request.headers.get("Sesamefold-Deadline")
    if text is None:
        return deadlines.Deadline.after(defaults.REQUEST_SECONDS)
    try:
        at = float(text)
    except ValueError:
        at = math.nan
    if not math.isfinite(at):
        raise exceptions.MalformedRequest(
            "Sesamefold-Deadline must be Unix seconds"
        )
    deadline = deadlines.Deadline(at)
    if deadline.has_passed():
        raise exceptions.DeadlinePassed("the deadline has passed")
    return deadline.cap(MAX_REQUEST_SECONDS)


def _parse_resume(request: web.Request) -> t.Tuple[str, int]:
    handle = request.headers.get("Sesamefold-Resume", "")
    text = request.headers.get("Last-Event-ID", "0") or "0"
    if not handle:
        return "", 0
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise exceptions.MalformedRequest(
            "Last-Event-ID must be a number of tokens"
        )
    return handle, int(text)


def _check_headers(request: web.BaseRequest) -> None:
    size = sum(len(key) + len(value) for key, value in request.raw_headers)
    if size > defaults.MAX_HEADER_BYTES:
        raise exceptions.RequestTooLarge(
            f"the headers exceed {defaults.MAX_HEADER_BYTES} bytes"
        )


def _convert_error(error: Exception) -> exceptions.SesamefoldError:
    """Return the numbered error for any exception of a handler."""
    if isinstance(error, exceptions.SesamefoldError):
        return error
    if isinstance(error, (web.HTTPNotFound, web.HTTPMethodNotAllowed)):
        return exceptions.UnknownPath("no resource has this path and method")
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return exceptions.RequestTooLarge("the body is too large")
    if isinstance(
        error, (web.HTTPException, aiohttp.http_exceptions.HttpProcessingError)
    ):
        return exceptions.MalformedRequest("the request is malformed")
    if isinstance(error, ConnectionError):
        return exceptions.InternalError("the caller is gone")
    _log.exception("handler failed")
    return exceptions.InternalError("internal error")


def build_error_body(
    error: exceptions.SesamefoldError, request_id: str
) -> t.Dict[str, t.Any]:
    """Return the JSON body of an error."""
    return {
        "error": {
            "code": error.code,
            "type": type(error).__name__,
            "message": error.message,
            "retryable": error.retryable,
            "executed": error.executed,
            "request": request_id,
        }
    }


def _build_error(
    error: exceptions.SesamefoldError, request_id: str
) -> web.Response:
    return web.json_response(
        build_error_body(error, request_id),
        status=error.status,
        headers={
            "Sesamefold-Request": request_id,
            "Sesamefold-Executed": error.executed,
        },
    )
