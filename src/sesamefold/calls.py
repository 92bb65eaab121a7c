"""Lifecycle of one call of a plain service."""

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
from sesamefold.wire import control_pb2

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Sends of one repeatable call in total, and servers that may refuse a call.
MAX_SENDS = 3
_BEGIN_SECONDS = 5.0
_FINISH_SECONDS = 5.0
_FINISH_TRIES = 5
_FINISH_BACKOFF = 0.2
# Headers of one connection, of the gateway, and of the customer's account.
_PRIVATE_HEADERS = frozenset(
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
        "sesamefold-executed",
        "sesamefold-forwarded",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_EXECUTED = "Sesamefold-Executed"


@attrs.frozen
class Answer:
    """What a plain service answered."""

    status: int
    content_type: str
    body: bytes
    headers: t.Tuple[t.Tuple[str, str], ...] = ()


@attrs.frozen
class Call:
    """One call of a caller; `path` starts with "/", `query` has no "?"."""

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
        """Tell whether the call matches a repeatable pattern."""
        return any(
            _matches(pattern, self.method, self.path)
            for pattern in self.service.repeatable
        )

    def compute_fingerprint(self) -> bytes:
        """Return the SHA-256 of method, service, path, query and body."""
        head = "\0".join(
            (self.method, self.service.name, self.path, self.query)
        )
        return hashlib.sha256(head.encode() + b"\0" + self.body).digest()


def _matches(pattern: str, method: str, path: str) -> bool:
    """Tell whether "METHOD path" fits; "*" stands for any text.

    A path with dot segments or escapes never fits, because the server could
    read it as another path.
    """
    wanted, _, rest = pattern.partition(" ")
    if "%" in path or "//" in path or re.search(r"/\.{1,2}(/|$)", path):
        return False
    literal = re.sub(r"[\[?]", lambda found: f"[{found[0]}]", rest.strip())
    return wanted in (method, "*") and fnmatch.fnmatchcase(path, literal)


def check_key(key: str) -> None:
    """Raise `KeyMissing` or `KeyMalformed` unless `key` is a UUIDv7."""
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

    async def run(self, call: Call) -> Answer:
        """Return the answer of a server.

        A non-idempotent call is recorded in the journal before it is sent
        and is sent at most once. `executed` of each error tells what is
        known: "no" only when no byte was sent or the server refused before
        execution.
        """
        services.check_dependencies(self._state, [call.service])
        if call.is_repeatable():
            return await self._run_repeatable(call)
        check_key(call.key)
        # The outcome is recorded even if the caller goes away.
        task = self._state.spawn_call(self._run_once(call))
        return await asyncio.shield(task)

    async def _run_repeatable(self, call: Call) -> Answer:
        excluded: t.Set[str] = set()
        executed = exceptions.NO
        while True:
            try:
                return await self._send_somewhere(call, excluded)
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
                if len(excluded) >= MAX_SENDS:
                    raise type(error)(
                        error.message, executed=executed
                    ) from error
                self._state.metrics.retries.labels("call").inc()

    async def _run_once(self, call: Call) -> Answer:
        attempt = str(uuid.uuid4())
        recorded = await self._begin(call, attempt)
        if recorded is not None:
            return recorded
        try:
            answer = await self._send_first(call)
        except exceptions.SesamefoldError as error:
            if error.executed == exceptions.NO:
                await self._finish(call, attempt, None)
            elif error.executed == exceptions.YES:
                outcome = control_pb2.Outcome(
                    status=error.status, truncated=True
                )
                await self._finish(call, attempt, outcome)
            raise
        await self._finish(call, attempt, _build_outcome(answer))
        return answer

    async def _send_first(self, call: Call) -> Answer:
        """Send a call; only refusals as not run lead to another server."""
        excluded: t.Set[str] = set()
        while True:
            try:
                return await self._send_somewhere(call, excluded)
            except exceptions.NoBackend:
                raise
            except exceptions.RoutingError as error:
                if (
                    error.executed != exceptions.NO
                    or len(excluded) >= MAX_SENDS
                ):
                    raise
                self._state.metrics.retries.labels("call").inc()

    async def _begin(self, call: Call, attempt: str) -> t.Optional[Answer]:
        """Record the intent; return the answer of an earlier attempt.

        Raises `exceptions.CallError` when the call must not be sent.
        """
        limit = call.deadline.cap(_BEGIN_SECONDS)
        request = control_pb2.BeginCallRequest(
            customer=call.customer,
            key=call.key.lower(),
            fingerprint=call.compute_fingerprint(),
            attempt=attempt,
            deadline=limit.at,
        )
        try:
            reply = await self._state.call_control(
                self._state.stub.BeginCall, request, limit.remaining()
            )
        except exceptions.CallError:
            raise
        except exceptions.SesamefoldError as error:
            # The intent may be recorded. Only this attempt could send the
            # call, and it does not.
            self._state.spawn(
                self._repeat_finish(_build_finish(call, attempt, None))
            )
            raise exceptions.JournalUnavailable(
                f"the call could not be recorded: {error.message}"
            ) from error
        if reply.decision == control_pb2.BeginCallReply.RUN:
            return None
        return _read_decision(reply, call.key)

    async def _finish(
        self,
        call: Call,
        attempt: str,
        outcome: t.Optional[control_pb2.Outcome],
    ) -> None:
        """Record the outcome, None for a call that was not sent.

        The first try is awaited so that a repeat finds the outcome; further
        tries go on in the background. Without a record, repeats are answered
        as unknown, which is safe.
        """
        request = _build_finish(call, attempt, outcome)
        reply = await self._state.try_call_control(
            self._state.stub.FinishCall, request, _FINISH_SECONDS
        )
        if reply is None:
            self._state.spawn(self._repeat_finish(request))

    async def _repeat_finish(
        self, request: control_pb2.FinishCallRequest
    ) -> None:
        for number in range(_FINISH_TRIES):
            await asyncio.sleep(_FINISH_BACKOFF * 2**number)
            reply = await self._state.try_call_control(
                self._state.stub.FinishCall, request, _FINISH_SECONDS
            )
            if reply is not None:
                return

    async def _send_somewhere(
        self, call: Call, excluded: t.Set[str]
    ) -> Answer:
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
        """Return a server; warm ones first, then the fewest own calls."""
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
    ) -> Answer:
        """Send the call to one server, once.

        Raises `BackendUnreachable` when the connection was refused,
        `BackendRefused` for a refusal before execution, `RunTimeout` and
        `BackendFailed` otherwise.
        """
        if call.deadline.has_passed():
            raise exceptions.DeadlinePassed("the deadline has passed")
        started = False
        try:
            async with asyncio.timeout(call.deadline.remaining()):
                async with self._request(call, backend) as response:
                    started = True
                    _check_refusal(response)
                    return await _read_answer(response)
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
                f"server {backend.name!r} broke off the call",
                executed=exceptions.YES if started else None,
            ) from error

    def _request(self, call: Call, backend: control_pb2.BackendState) -> t.Any:
        query = f"?{call.query}" if call.query else ""
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _PRIVATE_HEADERS
        ] + [
            ("Sesamefold-Customer", call.customer),
            ("Sesamefold-Request", call.request_id),
            ("Sesamefold-Deadline", f"{call.deadline.at:.3f}"),
        ]
        return self._state.session.request(
            call.method,
            yarl.URL(
                f"http://{backend.address}{call.path}{query}", encoded=True
            ),
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
        )


def _check_refusal(response: aiohttp.ClientResponse) -> None:
    if (
        response.status in (429, 503)
        and response.headers.get(_EXECUTED, "").lower() == exceptions.NO
    ):
        raise exceptions.BackendRefused(
            f"the server refused with status {response.status}"
        )


async def _read_answer(response: aiohttp.ClientResponse) -> Answer:
    body = await response.content.read(MAX_RESPONSE_BYTES + 1)
    parts = [body]
    size = len(body)
    while body and size <= MAX_RESPONSE_BYTES:
        body = await response.content.read(MAX_RESPONSE_BYTES + 1 - size)
        parts.append(body)
        size += len(body)
    if size > MAX_RESPONSE_BYTES:
        raise exceptions.BackendFailed(
            f"the answer exceeds {MAX_RESPONSE_BYTES} bytes",
            executed=exceptions.YES,
        )
    kept = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _PRIVATE_HEADERS
        and name.lower() not in ("content-type", "date", "server")
    )
    return Answer(
        status=response.status,
        content_type=response.headers.get(
            "Content-Type", "application/octet-stream"
        ),
        body=b"".join(parts),
        headers=kept,
    )


def _build_outcome(answer: Answer) -> control_pb2.Outcome:
    truncated = len(answer.body) > defaults.JOURNAL_BODY_BYTES
    return control_pb2.Outcome(
        status=answer.status,
        content_type=answer.content_type,
        body=b"" if truncated else answer.body,
        truncated=truncated,
    )


def _build_finish(
    call: Call, attempt: str, outcome: t.Optional[control_pb2.Outcome]
) -> control_pb2.FinishCallRequest:
    return control_pb2.FinishCallRequest(
        customer=call.customer,
        key=call.key.lower(),
        attempt=attempt,
        not_run=outcome is None,
        outcome=outcome,
    )


def _judge_expired(key: str) -> str:
    """Return "no" for a key from the future, "unknown" for an old one.

    The first 48 bits of a UUIDv7 are its issue time in milliseconds. Every
    control refuses keys from the future, so such a call has not run.
    """
    issued = (uuid.UUID(key).int >> 80) / 1000
    future = issued > time.time() + defaults.CLOCK_SKEW
    return exceptions.NO if future else exceptions.UNKNOWN


def _read_decision(reply: control_pb2.BeginCallReply, key: str) -> Answer:
    """Return the recorded answer, or raise why there is none."""
    kinds = control_pb2.BeginCallReply
    message = reply.message
    if reply.decision == kinds.RECORDED:
        outcome = reply.outcome
        if outcome.truncated:
            raise exceptions.OutcomeNotKept(
                f"the call was finished with status {outcome.status}; its"
                " body was not kept"
            )
        return Answer(outcome.status, outcome.content_type, outcome.body)
    if reply.decision == kinds.UNKNOWN:
        raise exceptions.OutcomePending(
            message or "the outcome of the earlier attempt is not known"
        )
    if reply.decision == kinds.MISMATCH:
        raise exceptions.KeyMismatch(
            message or "the key was used for another request"
        )
    if reply.decision == kinds.EXPIRED:
        raise exceptions.KeyExpired(
            message or "the key is too old or from the future",
            executed=_judge_expired(key),
        )
    raise exceptions.JournalUnavailable(
        message or "the control did not decide"
    )
