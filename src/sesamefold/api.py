"""HTTP handlers of the gateway."""

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

# Longest time that a caller may ask for, seconds.
MAX_REQUEST_SECONDS = 3600.0
# Time that a request waits for a server to load its weight version or to
# report for the first time, and the interval of the tries, seconds. New
# weights take an engine about a second, and a report about two more.
_BACKEND_WAIT_SECONDS = 5.0
_BACKEND_POLL_SECONDS = 0.25
# A body that arrives more slowly is refused, seconds.
_BODY_SECONDS = 30.0
_HANDLED = web.RequestKey("handled", str)
_REQUEST_ID = web.RequestKey("request_id", str)


class Api:
    """Handlers over the state of one gateway."""

    def __init__(self, state: states.GatewayState) -> None:
        self._state = state
        self._places = admission.Admission(state)
        self._exports = exports.BlockExporter(state)
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
        lack: t.Optional[exceptions.RoutingError] = None
        while True:
            completion = completion_requests.open_completion(
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
                reason = completion.convert_error(error)
                if completion.failures:
                    raise reason from error
            except exceptions.DeadlineUnreachable:
                # The look before this one says what is missing.
                if lack is not None:
                    raise lack from None
                raise
            except exceptions.BackendRefused:
                # A server that swaps its weights refuses the earlier version
                # before the new one is in force here or reported. Other
                # refusals are retried within the budget only.
                await asyncio.sleep(pause)
                pause *= 2
                if limit.has_passed() or (
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
                    limit.remaining() <= _BACKEND_POLL_SECONDS
                    or forwarding.FORWARDED_HEADER in request.headers
                    or not self._state.expects_backend(completion.model.name)
                ):
                    raise
            lack = reason
            await asyncio.sleep(_BACKEND_POLL_SECONDS)

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Answer a call of a plain service."""
        request[_HANDLED] = "call"
        customer = self._authenticate(request)
        service = services.find_plain_service(
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
        answer = responses.Answer(
            self._state, completion, begun, self._exports
        )
        try:
            async with asyncio.timeout(completion.deadline.remaining()):
                response = await answer.send(request)
        except TimeoutError:
            raise completion.build_timeout() from None
        return response


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


def _build_error(
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
