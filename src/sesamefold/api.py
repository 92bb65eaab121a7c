"""HTTP routes and handlers of the gateway."""

import asyncio
import math
import secrets
import time
import typing as t

import aiohttp
from aiohttp import web
import logbook

from sesamefold import admission
from sesamefold import calls
from sesamefold import completion_requests
from sesamefold import completions
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import exports
from sesamefold import forwarding
from sesamefold import prompts
from sesamefold import responses
from sesamefold import services
from sesamefold import state as states

_log = logbook.Logger("api")

# Longest deadline that a caller may set, from the arrival of the request.
MAX_REQUEST_SECONDS = 3600.0
# Time that a request waits for a server to load its weight version or to
# report its state for the first time. An engine takes about 1 s to load new
# weights, and its state arrives about 2 s later.
_BACKEND_WAIT_SECONDS = 5.0
# Delay between two attempts within that time.
_BACKEND_POLL_SECONDS = 0.25
# A request whose body takes longer to arrive is refused.
_BODY_TIMEOUT_SECONDS = 30.0
_REQUEST_KIND = web.RequestKey("handled", str)
_REQUEST_ID = web.RequestKey("request_id", str)
_STARTED_RESPONSE = web.RequestKey("started_response", web.StreamResponse)


class Api:
    """HTTP handlers that share the state of one gateway."""

    def __init__(self, state: states.GatewayState) -> None:
        self._state = state
        self._slots = admission.Admission(state)
        self._exporter = exports.BlockExporter(state)
        self._calls = calls.Calls(state)

    def build_application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(
            client_max_size=defaults.MAX_BODY_BYTES,
            middlewares=[self._handle_errors],
        )
        application.on_response_prepare.append(_record_start)
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
    async def _handle_errors(
        self, request: web.Request, handler: t.Any
    ) -> web.StreamResponse:
        """Call the handler, turn its errors into responses and count them.

        After an error within a response, the connection is closed without
        the end of the body, so that the caller does not take a partial
        response for a complete one. A response that has ended, also with an
        error event, is left as it is.
        """
        request[_REQUEST_ID] = secrets.token_hex(16)
        request[_REQUEST_KIND] = ""
        code = 0
        self._state.metrics.in_progress.inc()
        try:
            _check_headers(request)
            async with self._state.drain.limit_answer():
                response = await handler(request)
        except Exception as error:
            converted = _convert_error(error)
            code = converted.code
            response = request.get(_STARTED_RESPONSE) or _build_error_response(
                converted, request[_REQUEST_ID]
            )
            if (
                response.prepared
                and not response.get(responses.ENDED)
                and request.transport is not None
            ):
                request.transport.close()
        finally:
            self._state.metrics.in_progress.dec()
        if request[_REQUEST_KIND]:
            self._state.metrics.count_request(request[_REQUEST_KIND], code)
        if self._state.leaving and not response.prepared:
            # Otherwise the shutdown could close the connection while the
            # caller sends its next request on it.
            response.force_close()
        return response

    async def show_health(self, request: web.Request) -> web.Response:
        """Return success as long as the process handles requests."""
        return web.json_response({"healthy": True})

    async def show_readiness(self, request: web.Request) -> web.Response:
        """Return status 200 if callers should send new requests, else 503."""
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
        """Return the metrics in the Prometheus text format."""
        body, content_type = self._state.metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def list_models(self, request: web.Request) -> web.Response:
        """Return models and model services in the format of OpenAI's API."""
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
        """Return the customer that sent the request.

        Raises `exceptions.Unauthenticated`, and `exceptions.NoBackend` before
        the first configuration.
        """
        if self._state.configuration.revision == 0:
            raise exceptions.NoBackend(
                "no configuration has been received yet"
            )
        return self._state.authenticator.authenticate(
            request.headers.get("Authorization")
        )

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion request, streamed or in one piece.

        Without a usable server here, the request is forwarded to another
        data centre. If none takes it, it is tried again here as long as a
        server may soon become usable.
        """
        started_at = time.monotonic()
        request[_REQUEST_KIND] = "completion"
        customer = self._authenticate(request)
        body = await read_body(request)
        prompt = prompts.parse_prompt(
            body, chat=request.path.startswith("/v1/chat/")
        )
        deadline = self._state.drain.cap(parse_deadline(request))
        resume_handle, offset = _parse_resume(request)
        if not self._state.is_in_service() and not resume_handle:
            return await forwarding.forward(
                self._state,
                request,
                body,
                deadline,
                self._build_out_of_service_error(),
            )
        wait_deadline = deadline.cap(_BACKEND_WAIT_SECONDS)
        retry_delay_seconds = _BACKEND_POLL_SECONDS
        earlier_error: t.Optional[exceptions.RoutingError] = None
        while True:
            completion = completion_requests.create_completion(
                self._state,
                self._slots,
                customer,
                prompt,
                body,
                deadline,
                resume_handle,
                offset,
            )
            request[_REQUEST_ID] = completion.request_id
            try:
                return await self._send_response(
                    request, completion, started_at
                )
            except (exceptions.NoBackend, exceptions.DataCentreOut) as error:
                # A request that failed on a server is not forwarded.
                reason = completion.convert_error(error)
                if completion.failures:
                    raise reason from error
            except exceptions.DeadlineUnreachable:
                # The error of an earlier attempt says what is missing.
                if earlier_error is not None:
                    raise earlier_error from None
                raise
            except exceptions.BackendRefused:
                # A server that switches to new weights refuses the earlier
                # version, even before this gateway receives the new
                # configuration or the server's new state. Other refusals are
                # retried only within the retry budget.
                await asyncio.sleep(retry_delay_seconds)
                retry_delay_seconds *= 2
                if wait_deadline.has_passed() or (
                    completion.is_version_offered()
                    and not self._state.retries.try_acquire_retry()
                ):
                    raise
                continue
            try:
                return await forwarding.forward(
                    self._state, request, body, deadline, reason
                )
            except exceptions.NoBackend:
                if (
                    wait_deadline.remaining() <= _BACKEND_POLL_SECONDS
                    or forwarding.FORWARDED_HEADER in request.headers
                    or not self._state.expects_backend(completion.model.name)
                ):
                    raise
            earlier_error = reason
            await asyncio.sleep(_BACKEND_POLL_SECONDS)

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Answer a call of a plain service, here or in another data centre."""
        request[_REQUEST_KIND] = "call"
        customer = self._authenticate(request)
        service = services.find_plain_service(
            self._state, request.match_info["service"]
        )
        body = await read_body(request)
        full_path, _, query = request.raw_path.partition("?")
        call = calls.Call(
            customer=customer.name,
            service=service,
            method=request.method,
            path="/" + full_path.split("/", 4)[4],
            query=query,
            headers=tuple(request.headers.items()),
            body=body,
            request_id=request[_REQUEST_ID],
            deadline=self._state.drain.cap(parse_deadline(request)),
            key=request.headers.get("Idempotency-Key", ""),
        )
        try:
            if not self._state.is_in_service():
                raise self._build_out_of_service_error()
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

    def _build_out_of_service_error(self) -> exceptions.DataCentreOut:
        """Return the error for a data centre that is out of service."""
        name = self._state.settings.data_centre
        return exceptions.DataCentreOut(
            f"data centre {name!r} is out of service"
        )

    async def _send_response(
        self,
        request: web.Request,
        completion: completions.Completion,
        started_at: float,
    ) -> web.StreamResponse:
        """Send the response within the deadline of the completion."""
        writer = responses.ResponseWriter(
            self._state, completion, started_at, self._exporter
        )
        try:
            async with asyncio.timeout(completion.deadline.remaining()):
                response = await writer.send(request)
        except TimeoutError:
            raise completion.build_timeout() from None
        return response


async def read_body(request: web.Request) -> bytes:
    """Return the body of a request.

    Raises `exceptions.RequestTooLarge`, and `exceptions.MalformedRequest` if
    the body does not arrive in time.
    """
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_SECONDS):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise exceptions.RequestTooLarge(
            f"the body exceeds {defaults.MAX_BODY_BYTES} bytes"
        ) from None
    except TimeoutError:
        raise exceptions.MalformedRequest(
            f"the body did not arrive within {_BODY_TIMEOUT_SECONDS} s"
        ) from None


def parse_deadline(request: web.BaseRequest) -> deadlines.Deadline:
    """Return the deadline that the caller set, or the default.

    Raises `exceptions.MalformedRequest` and `exceptions.DeadlinePassed`.
    """
    text = request.headers.get("Sesamefold-Deadline")
    if text is None:
        return deadlines.Deadline.after(defaults.REQUEST_SECONDS)
    try:
        timestamp = float(text)
    except ValueError:
        timestamp = math.nan
    if not math.isfinite(timestamp):
        raise exceptions.MalformedRequest(
            "Sesamefold-Deadline must be Unix seconds"
        )
    deadline = deadlines.Deadline(timestamp)
    if deadline.has_passed():
        raise exceptions.DeadlinePassed("the deadline has passed")
    return deadline.cap(MAX_REQUEST_SECONDS)


def _parse_resume(request: web.Request) -> t.Tuple[str, int]:
    """Return the resume handle and the number of tokens already received.

    The handle is empty for a new request. Raises
    `exceptions.MalformedRequest`.
    """
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
    """Raise `exceptions.RequestTooLarge` for headers above the size limit."""
    size = sum(len(key) + len(value) for key, value in request.raw_headers)
    if size > defaults.MAX_HEADER_BYTES:
        raise exceptions.RequestTooLarge(
            f"the headers exceed {defaults.MAX_HEADER_BYTES} bytes"
        )


async def _record_start(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Record a response whose head is about to be sent."""
    request[_STARTED_RESPONSE] = response


def _convert_error(error: Exception) -> exceptions.SesamefoldError:
    """Return the error with a code for any exception of a handler."""
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
        return exceptions.InternalError("the caller closed the connection")
    _log.exception("request handler failed")
    return exceptions.InternalError("internal error")


def _build_error_response(
    error: exceptions.SesamefoldError, request_id: str
) -> web.Response:
    return web.json_response(
        responses.build_error_body(error, request_id),
        status=error.status,
        headers={
            "Sesamefold-Request": request_id,
            "Sesamefold-Executed": error.executed,
        },
    )
