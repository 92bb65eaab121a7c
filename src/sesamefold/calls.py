"""Lifecycle of a call of a plain service."""

import asyncio
import fnmatch
import hashlib
import re
import time
import typing as t
import uuid

import aiohttp
import attrs
import yarl

from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import services
from sesamefold import state as states
from sesamefold import transport
from sesamefold.wire import control_pb2

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Servers to which a call may be sent. A call that is not repeatable is sent
# to another server only if it was not executed.
MAX_ATTEMPTED_SERVERS = 3
_BEGIN_TIMEOUT_SECONDS = 5.0
_FINISH_TIMEOUT_SECONDS = 5.0
_FINISH_RETRIES = 5
_FINISH_INITIAL_DELAY_SECONDS = 0.2
# Headers that are not forwarded: they belong to one connection, to the gateway
# or to the credentials of the customer.
_UNFORWARDED_HEADERS = frozenset(
    {
        "accept-encoding",
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "sesamefold-customer",
        "sesamefold-exchange",
        "sesamefold-executed",
        "sesamefold-forwarded",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_EXECUTED_HEADER = "Sesamefold-Executed"


@attrs.frozen
class ServiceResponse:
    """Response of a plain service."""

    status: int
    content_type: str
    body: bytes
    headers: t.Tuple[t.Tuple[str, str], ...] = ()


@attrs.frozen
class Call:
    """A call by a customer; `path` starts with "/", `query` has no "?".

    `key` is the Idempotency-Key, empty if the caller sent none.
    """

    customer: str
    service: configuration.Service
    method: str
    path: str
    query: str
    headers: t.Tuple[t.Tuple[str, str], ...]
    body: bytes
    request_id: str
    deadline: deadlines.Deadline
    key: str = ""

    def is_repeatable(self) -> bool:
        """Return whether the service declares the call as repeatable."""
        return any(
            _matches(pattern, self.method, self.path)
            for pattern in self.service.repeatable
        )

    def compute_fingerprint(self) -> bytes:
        """Return the SHA-256 of method, service, path, query and body.

        It detects a key that is used again for another call.
        """
        prefix = "\0".join(
            (self.method, self.service.name, self.path, self.query)
        )
        return hashlib.sha256(prefix.encode() + b"\0" + self.body).digest()


def _matches(pattern: str, method: str, path: str) -> bool:
    """Return whether the pattern "METHOD path" matches a call.

    "*" matches any text. A path with dot segments, empty segments or escapes
    never matches, because the server could interpret it as another path.
    """
    pattern_method, _, pattern_path = pattern.partition(" ")
    if "%" in path or "//" in path or re.search(r"/\.{1,2}(/|$)", path):
        return False
    literal = re.sub(
        r"[\[?]", lambda found: f"[{found[0]}]", pattern_path.strip()
    )
    return pattern_method in (method, "*") and fnmatch.fnmatchcase(
        path, literal
    )


def check_key(key: str) -> None:
    """Raise `KeyMissing` or `KeyMalformed` unless `key` is a UUIDv7.

    Only the canonical spelling is accepted, in either case.
    """
    if not key:
        raise exceptions.KeyMissing(
            "this call needs an Idempotency-Key header"
        )
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7 or str(parsed) != key.lower():
        raise exceptions.KeyMalformed("the Idempotency-Key is not a UUIDv7")


class Calls:
    """Sends calls to the servers of plain services."""

    def __init__(self, state: states.GatewayState) -> None:
        self._state = state

    async def run(self, call: Call) -> ServiceResponse:
        """Return the response of a server.

        A call that is not repeatable is recorded in the journal before it is
        sent, and is executed at most once. `executed` of each error is "no"
        only if no byte was sent or the server refused the call before
        execution.
        """
        services.check_dependencies(self._state, [call.service])
        if call.is_repeatable():
            return await self._run_repeatable(call)
        check_key(call.key)
        # The task records the outcome even if the caller disconnects.
        task = self._state.spawn_call(self._run_recorded(call))
        return await asyncio.shield(task)

    async def _run_repeatable(self, call: Call) -> ServiceResponse:
        excluded: t.Set[str] = set()
        executed = exceptions.NO
        while True:
            try:
                return await self._send_to_best_backend(call, excluded)
            except exceptions.NoBackend as error:
                if executed != exceptions.NO:
                    raise exceptions.BackendFailed(
                        error.message, executed=executed
                    ) from error
                raise
            except exceptions.RunTimeout:
                raise
            except exceptions.RoutingError as error:
                if error.executed != exceptions.NO:
                    executed = error.executed
                if len(excluded) >= MAX_ATTEMPTED_SERVERS:
                    raise type(error)(
                        error.message, executed=executed
                    ) from error
                self._state.metrics.retries.labels("call").inc()

    async def _run_recorded(self, call: Call) -> ServiceResponse:
        attempt = str(uuid.uuid4())
        recorded_response = await self._record_intent(call, attempt)
        if recorded_response is not None:
            return recorded_response
        try:
            response = await self._send_until_executed(call)
        except exceptions.SesamefoldError as error:
            if error.executed == exceptions.NO:
                await self._record_outcome(call, attempt, None)
            elif error.executed == exceptions.YES:
                outcome = control_pb2.Outcome(
                    status=error.status, truncated=True
                )
                await self._record_outcome(call, attempt, outcome)
            raise
        await self._record_outcome(call, attempt, _build_outcome(response))
        return response

    async def _send_until_executed(self, call: Call) -> ServiceResponse:
        """Return the response to a call that is not repeatable.

        Another server is tried only if the call was not executed.
        """
        excluded: t.Set[str] = set()
        while True:
            try:
                return await self._send_to_best_backend(call, excluded)
            except exceptions.NoBackend:
                raise
            except exceptions.RoutingError as error:
                if (
                    error.executed != exceptions.NO
                    or len(excluded) >= MAX_ATTEMPTED_SERVERS
                ):
                    raise
                self._state.metrics.retries.labels("call").inc()

    async def _record_intent(
        self, call: Call, attempt: str
    ) -> t.Optional[ServiceResponse]:
        """Record the intent to send a call in the journal.

        Returns the response to an earlier attempt, None if the call is to be
        sent. Raises `exceptions.CallError` if it must not be sent.
        """
        begin_deadline = call.deadline.cap(_BEGIN_TIMEOUT_SECONDS)
        request = control_pb2.BeginCallRequest(
            customer=call.customer,
            key=call.key.lower(),
            fingerprint=call.compute_fingerprint(),
            attempt=attempt,
            deadline=begin_deadline.at,
        )
        try:
            reply = await self._state.call_control(
                self._state.stub.BeginCall, request, begin_deadline.remaining()
            )
        except exceptions.CallError:
            raise
        except exceptions.SesamefoldError as error:
            # The intent may have been recorded. Only this attempt may send
            # the call and it does not, so the call is recorded as not run.
            self._state.spawn(
                self._retry_record_outcome(
                    _build_finish_request(call, attempt, None)
                )
            )
            raise exceptions.JournalUnavailable(
                f"the call could not be recorded: {error.message}"
            ) from error
        if reply.decision == control_pb2.BeginCallReply.RUN:
            return None
        return _read_decision(reply, call.key)

    async def _record_outcome(
        self,
        call: Call,
        attempt: str,
        outcome: t.Optional[control_pb2.Outcome],
    ) -> None:
        """Record the outcome, None for a call that was not executed.

        The first attempt is awaited, so that a repeated call finds the
        outcome; further attempts run in the background. Without a record, a
        repeated call is reported as unknown, which is safe.
        """
        request = _build_finish_request(call, attempt, outcome)
        reply = await self._state.try_call_control(
            self._state.stub.FinishCall, request, _FINISH_TIMEOUT_SECONDS
        )
        if reply is None:
            self._state.spawn(self._retry_record_outcome(request))

    async def _retry_record_outcome(
        self, request: control_pb2.FinishCallRequest
    ) -> None:
        for retry in range(_FINISH_RETRIES):
            await asyncio.sleep(_FINISH_INITIAL_DELAY_SECONDS * 2**retry)
            reply = await self._state.try_call_control(
                self._state.stub.FinishCall, request, _FINISH_TIMEOUT_SECONDS
            )
            if reply is not None:
                return

    async def _send_to_best_backend(
        self, call: Call, excluded: t.Set[str]
    ) -> ServiceResponse:
        """Send the call to the least loaded server not in `excluded`."""
        backend = self._choose_backend(call, excluded)
        excluded.add(backend.name)
        self._state.in_flight[backend.name] += 1
        try:
            return await self._send(call, backend)
        except (
            exceptions.BackendUnreachable,
            exceptions.BackendFailed,
        ) as error:
            if error.executed != exceptions.YES:
                self._state.record_failure(
                    backend, call.request_id, error.message
                )
            raise
        finally:
            self._state.in_flight[backend.name] -= 1

    def _choose_backend(
        self, call: Call, excluded: t.Container[str]
    ) -> control_pb2.BackendState:
        """Return the best usable server not in `excluded`.

        Warm servers come first, then those with the fewest calls in flight
        from this gateway.
        """
        groups = self._state.configuration.find_groups(
            self._state.settings.data_centre, service=call.service.name
        )
        usable = [
            backend
            for backend in self._state.list_backends({g.name for g in groups})
            if backend.state in routing.USABLE_STATES
            and backend.name not in excluded
        ]
        self._state.random_generator.shuffle(usable)
        if not usable:
            raise exceptions.NoBackend(
                f"no usable server offers service {call.service.name!r}"
            )
        return min(
            usable,
            key=lambda backend: (
                backend.state != routing.WARM,
                self._state.in_flight[backend.name],
            ),
        )

    async def _send(
        self, call: Call, backend: control_pb2.BackendState
    ) -> ServiceResponse:
        """Return the response of `backend`, to which the call is sent once.

        Raises `DeadlinePassed` before the call is sent, `BackendUnreachable`
        if no connection was made, `BackendRefused` for a refusal before
        execution, and `RunTimeout` or `BackendFailed` otherwise.
        """
        if call.deadline.has_passed():
            raise exceptions.DeadlinePassed("the deadline has passed")
        started = False
        try:
            async with asyncio.timeout(call.deadline.remaining()):
                async with self._request(call, backend) as response:
                    started = True
                    _raise_if_refused(response)
                    return await _read_response(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise exceptions.BackendUnreachable(
                f"server {backend.name!r} refused the connection"
            ) from error
        except TimeoutError as error:
            raise exceptions.RunTimeout(
                "the deadline passed during the call",
                executed=exceptions.YES if started else None,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise exceptions.BackendFailed(
                f"server {backend.name!r} interrupted the call",
                executed=exceptions.YES if started else None,
            ) from error

    def _request(self, call: Call, backend: control_pb2.BackendState) -> t.Any:
        query = f"?{call.query}" if call.query else ""
        identity = transport.make_identity(anonymous=True)
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _UNFORWARDED_HEADERS
        ] + [
            ("Sesamefold-Customer", call.customer),
            ("Sesamefold-Request", call.request_id),
            ("Sesamefold-Deadline", f"{call.deadline.at:.3f}"),
            (transport.EXCHANGE_HEADER, identity.request_id),
        ]
        return transport.request(
            self._state.session,
            call.method,
            yarl.URL(
                f"http://{backend.address}{call.path}{query}", encoded=True
            ),
            transport.make_exchange(self._state.session, identity),
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
        )


def _raise_if_refused(response: aiohttp.ClientResponse) -> None:
    if (
        response.status in (429, 503)
        and response.headers.get(_EXECUTED_HEADER, "").lower() == exceptions.NO
    ):
        raise exceptions.BackendRefused(
            f"the server refused with status {response.status}"
        )


async def _read_response(response: aiohttp.ClientResponse) -> ServiceResponse:
    body = await response.content.read(MAX_RESPONSE_BYTES + 1)
    parts = [body]
    size = len(body)
    while body and size <= MAX_RESPONSE_BYTES:
        body = await response.content.read(MAX_RESPONSE_BYTES + 1 - size)
        parts.append(body)
        size += len(body)
    if size > MAX_RESPONSE_BYTES:
        raise exceptions.BackendFailed(
            f"the response exceeds {MAX_RESPONSE_BYTES} bytes",
            executed=exceptions.YES,
        )
    forwarded_headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _UNFORWARDED_HEADERS
        and name.lower() not in ("content-type", "date", "server")
    )
    return ServiceResponse(
        status=response.status,
        content_type=response.headers.get(
            "Content-Type", "application/octet-stream"
        ),
        body=b"".join(parts),
        headers=forwarded_headers,
    )


def _build_outcome(response: ServiceResponse) -> control_pb2.Outcome:
    truncated = len(response.body) > defaults.JOURNAL_BODY_BYTES
    return control_pb2.Outcome(
        status=response.status,
        content_type=response.content_type,
        body=b"" if truncated else response.body,
        truncated=truncated,
    )


def _build_finish_request(
    call: Call, attempt: str, outcome: t.Optional[control_pb2.Outcome]
) -> control_pb2.FinishCallRequest:
    return control_pb2.FinishCallRequest(
        customer=call.customer,
        key=call.key.lower(),
        attempt=attempt,
        not_run=outcome is None,
        outcome=outcome,
    )


def _classify_expired_key(key: str) -> str:
    """Return whether a call with an expired key was executed.

    It is "no" for a key from the future and "unknown" for an old one. The
    first 48 bits of a UUIDv7 are its issue time in milliseconds. Every
    control daemon refuses keys from the future, so such a call has not run.
    """
    issued_at = (uuid.UUID(key).int >> 80) / 1000
    is_from_future = issued_at > time.time() + defaults.CLOCK_SKEW
    return exceptions.NO if is_from_future else exceptions.UNKNOWN


def _read_decision(
    reply: control_pb2.BeginCallReply, key: str
) -> ServiceResponse:
    """Return the recorded response.

    Raises the error that says why there is none.
    """
    decisions = control_pb2.BeginCallReply
    message = reply.message
    if reply.decision == decisions.RECORDED:
        outcome = reply.outcome
        if outcome.truncated:
            raise exceptions.OutcomeNotKept(
                f"the call was finished with status {outcome.status}; its"
                " body was not kept"
            )
        return ServiceResponse(
            outcome.status, outcome.content_type, outcome.body
        )
    if reply.decision == decisions.UNKNOWN:
        raise exceptions.OutcomePending(
            message or "the outcome of the earlier attempt is not known"
        )
    if reply.decision == decisions.MISMATCH:
        raise exceptions.KeyMismatch(
            message or "the key was used for another request"
        )
    if reply.decision == decisions.EXPIRED:
        raise exceptions.KeyExpired(
            message or "the key is too old or from the future",
            executed=_classify_expired_key(key),
        )
    raise exceptions.JournalUnavailable(
        message or "the control daemon returned no decision"
    )
