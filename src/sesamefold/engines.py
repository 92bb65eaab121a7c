"""Client interface of model engines, and its HTTP implementation."""

import asyncio
import contextlib
import typing as t

import aiohttp
import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import jsonvalues
from sesamefold import transport

# Deadline of the call that cancels a run when its stream is closed, seconds.
_CANCEL_TIMEOUT_SECONDS = 1.0
# Largest whole number of an engine, and largest count of its load reports.
_MAX_INTEGER = 2**63 - 1
_MAX_REPORTED_COUNT = 2**32 - 1


@attrs.frozen
class ImportBlock:
    """A sealed store entry that an engine imports before it runs a prompt."""

    block: str
    store: str  # base URL of the store host
    generation: str
    length: int  # bytes
    sha256: str  # hex, of the stored bytes


@attrs.frozen
class CompletionRequest:
    """Request for one run of a prompt on an engine.

    An engine whose boot epoch differs from `epoch` refuses the run with
    status 412 before execution; an empty one allows any. A run without a
    permit names the epoch for which it was admitted, because the engine may
    restart cold before the run arrives.
    """

    request_id: str
    model: str
    weight_version: str
    prompt: str
    max_tokens: int
    cache_salt: str
    seed: int
    deadline: deadlines.Deadline
    priority: int = 0
    offset: int = 0  # output tokens that the caller already has
    output: t.Tuple[str, ...] = ()  # the text of these tokens, if known
    imports: t.Tuple[ImportBlock, ...] = ()
    epoch: str = ""


@attrs.frozen
class TokenEvent:
    """An event of a run's stream.

    `offset` is the number of output tokens up to and including this event.
    The first event of a stream has `kind` "started"; its counts say how many
    tokens of the prompt were found in the cache or imported from a store's
    memory or disk. The last event has `kind` "finished".
    """

    kind: str  # "started", "token" or "finished"
    request_id: str
    weight_version: str
    offset: int
    text: str = ""
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_memory_tokens: int = 0
    imported_disk_tokens: int = 0


@attrs.frozen
class Load:
    """A load report; it may be out of date when the engine returns it."""

    epoch: str  # changes when the engine restarts
    cold: bool  # not yet warm after its start; `limit` may be lower
    leaving: bool  # the engine is about to shut down
    running: int
    queued: int
    limit: int  # capacity in concurrent requests
    versions: t.Tuple[str, ...]  # "model@version"
    role: str
    measured_at: float  # Unix seconds


@attrs.frozen
class CacheEvent:
    """The addition or eviction of a block in an engine's cache."""

    sequence: int  # counts up; starts again at 1 when the engine restarts
    kind: str  # "stored" or "freed"
    block: str


@attrs.frozen
class Order:
    """The complete desired state of an engine; sending it is idempotent."""

    revision: int
    fencing: int  # fencing token; engines may refuse a lower one
    versions: t.Tuple[str, ...]  # "model@version", to be loaded
    role: str = "serve"


class Engine(t.Protocol):
    """Client of one engine at a fixed address.

    Methods raise `exceptions.BackendRefused` when the engine states that it
    refused the call before execution, `exceptions.BackendUnreachable` when no
    byte was sent, and `exceptions.BackendFailed` for all other failures.
    """

    address: str

    def complete(
        self, request: CompletionRequest
    ) -> t.AsyncIterator[TokenEvent]:
        """Run a prompt and yield its events.

        Closing the iterator before the last event cancels the run.
        """

    def resume(
        self,
        request_id: str,
        offset: int,
        deadline: deadlines.Deadline,
    ) -> t.AsyncIterator[TokenEvent]:
        """Yield the events of a run whose offset is above `offset`.

        Closing the iterator does not cancel the run. Raises
        `exceptions.BackendRefused` when the engine has no such run; `executed`
        is then "unknown".
        """

    async def cancel(
        self, request_id: str, deadline: deadlines.Deadline
    ) -> None:
        """Cancel a run; do nothing if the engine has no such run."""

    async def fetch_load(self, deadline: deadlines.Deadline) -> Load:
        """Return the latest load report."""

    async def fetch_events(
        self, after: int, deadline: deadlines.Deadline
    ) -> t.List[CacheEvent]:
        """Return the cache events after a sequence number.

        Events may be missing. Sequence numbers at or below `after` show that
        the engine restarted.
        """

    async def list_blocks(self, deadline: deadlines.Deadline) -> t.List[str]:
        """Return the names of the blocks in the engine's cache."""

    async def export_blocks(
        self,
        blocks: t.Sequence[str],
        store: str,
        deadline: deadlines.Deadline,
    ) -> t.List[ImportBlock]:
        """Copy blocks to a store and return their sealed entries.

        `store` is the base URL of the store host. Blocks that are no longer
        cached or could not be written are missing from the result.
        """

    async def send_order(
        self, order: Order, deadline: deadlines.Deadline
    ) -> None:
        """Send the desired state.

        Raises `exceptions.FencingRefused` when the engine checks fencing
        tokens and has accepted an order with a higher one.
        """

    async def fetch_order(self, deadline: deadlines.Deadline) -> Order:
        """Return the last order that the engine accepted."""


class HttpEngine:
    """HTTP client of an engine; docs/design.md section 5 lists the calls.

    Streams are server-sent events whose data is a JSON object. A stream on
    which no line arrives for `idle_seconds` fails with
    `exceptions.BackendSilent`; engines send comment lines while a run is
    queued or in prefill. 0 disables the limit. A timeout
    around the iteration would close the iterator and so cancel the run; this
    limit leaves the run alive, so that it can be resumed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        idle_seconds: float = 0.0,
    ) -> None:
        self._session = session
        self.address = address
        self._idle_seconds = idle_seconds

    async def complete(
        self, request: CompletionRequest
    ) -> t.AsyncIterator[TokenEvent]:
        """Run a prompt and yield its events.

        Closing the iterator before the last event cancels the run.
        """
        body = {**attrs.asdict(request), "deadline": request.deadline.at}
        finished = False
        try:
            async with contextlib.aclosing(
                self._stream_events(
                    "POST", "v1/completions", request.deadline, json=body
                )
            ) as events:
                async for event in events:
                    finished = event.kind == "finished"
                    yield event
        except (GeneratorExit, asyncio.CancelledError):
            if not finished:
                with contextlib.suppress(exceptions.SesamefoldError):
                    await self.cancel(
                        request.request_id,
                        deadlines.Deadline.after(_CANCEL_TIMEOUT_SECONDS),
                    )
            raise

    async def resume(
        self,
        request_id: str,
        offset: int,
        deadline: deadlines.Deadline,
    ) -> t.AsyncIterator[TokenEvent]:
        """Yield the events of a run whose offset is above `offset`.

        Closing the iterator does not cancel the run.
        """
        async with contextlib.aclosing(
            self._stream_events(
                "GET",
                f"v1/requests/{request_id}",
                deadline,
                params={"offset": str(offset)},
            )
        ) as events:
            async for event in events:
                yield event

    async def cancel(
        self, request_id: str, deadline: deadlines.Deadline
    ) -> None:
        """Cancel a run; do nothing if the engine has no such run."""
        await self._call(
            "DELETE", f"v1/requests/{request_id}", deadline, missing_ok=True
        )

    async def fetch_load(self, deadline: deadlines.Deadline) -> Load:
        """Return the latest load report."""
        return await self._call(
            "GET",
            "load",
            deadline,
            decode=_decode_load,
        )

    async def fetch_events(
        self, after: int, deadline: deadlines.Deadline
    ) -> t.List[CacheEvent]:
        """Return the cache events after a sequence number.

        Events may be missing. Sequence numbers at or below `after` show that
        the engine restarted.
        """
        return await self._call(
            "GET",
            "events",
            deadline,
            decode=lambda body: [
                _build_from_json(CacheEvent, event) for event in body["events"]
            ],
            params={"after": str(after)},
        )

    async def list_blocks(self, deadline: deadlines.Deadline) -> t.List[str]:
        """Return the names of the blocks in the engine's cache."""
        return await self._call(
            "GET", "blocks", deadline, decode=lambda body: body["blocks"]
        )

    async def export_blocks(
        self,
        blocks: t.Sequence[str],
        store: str,
        deadline: deadlines.Deadline,
    ) -> t.List[ImportBlock]:
        """Copy blocks to a store and return their sealed entries.

        `store` is the base URL of the store host. Blocks that are no longer
        cached or could not be written are missing from the result.
        """
        return await self._call(
            "POST",
            "context/export",
            deadline,
            decode=lambda body: [
                _build_from_json(ImportBlock, entry)
                for entry in body["entries"]
            ],
            json={
                "blocks": list(blocks),
                "store": store,
                "deadline": deadline.at,
            },
        )

    async def send_order(
        self, order: Order, deadline: deadlines.Deadline
    ) -> None:
        """Send the desired state.

        Raises `exceptions.FencingRefused` when the engine checks fencing
        tokens and has accepted an order with a higher one.
        """
        await self._call("POST", "orders", deadline, json=attrs.asdict(order))

    async def fetch_order(self, deadline: deadlines.Deadline) -> Order:
        """Return the last order that the engine accepted."""
        return await self._call(
            "GET",
            "orders",
            deadline,
            decode=lambda body: _build_from_json(Order, body),
        )

    async def _stream_events(
        self,
        method: str,
        path: str,
        deadline: deadlines.Deadline,
        **options: t.Any,
    ) -> t.AsyncIterator[TokenEvent]:
        self._check_deadline(deadline)
        try:
            async with self._request(
                method, path, deadline, self._idle_seconds, **options
            ) as response:
                if method == "GET" and response.status == 404:
                    # The engine may have executed the run and deleted it.
                    raise exceptions.BackendRefused(
                        f"engine {self.address} has no such run",
                        executed=exceptions.UNKNOWN,
                    )
                await self._check_status(response)
                while line := await self._read_line(response):
                    if not line.startswith(b"data:"):
                        continue
                    event = self._decode_event(
                        jsonvalues.decode(line[len(b"data:") :])
                    )
                    yield event
                    if event.kind == "finished":
                        return
        except transport.CALL_ERRORS as error:
            raise self._convert_error(error) from error
        raise exceptions.BackendFailed(
            f"engine {self.address}: the stream ended before the final event"
        )

    def _request(
        self,
        method: str,
        path: str,
        deadline: deadlines.Deadline,
        idle_seconds: float = 0.0,
        **options: t.Any,
    ) -> t.AsyncContextManager[aiohttp.ClientResponse]:
        identity = transport.make_identity()
        return transport.request(
            self._session,
            method,
            f"http://{self.address}/{path}",
            transport.make_exchange(self._session, identity),
            headers={transport.EXCHANGE_HEADER: identity.request_id},
            timeout=transport.make_timeout(deadline, idle_seconds),
            **options,
        )

    async def _read_line(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the next line of a stream, b"" at its end.

        Raises `TimeoutError` when no line is complete within the idle time;
        single bytes do not extend it.
        """
        async with asyncio.timeout(self._idle_seconds or None):
            return await response.content.readline()

    def _decode_event(self, body: t.Mapping[str, t.Any]) -> TokenEvent:
        if body["kind"] != "error":
            return _build_from_json(TokenEvent, body)
        message = f"engine {self.address}: {body['error']}"
        if body["error"] == "not_admitted":
            raise exceptions.BackendRefused(message)
        raise exceptions.BackendFailed(message)

    async def _call(
        self,
        method: str,
        path: str,
        deadline: deadlines.Deadline,
        decode: t.Callable[[t.Any], t.Any] = lambda body: None,
        missing_ok: bool = False,
        **options: t.Any,
    ) -> t.Any:
        self._check_deadline(deadline)
        try:
            async with self._request(
                method, path, deadline, **options
            ) as response:
                if missing_ok and response.status == 404:
                    return None
                await self._check_status(response)
                return decode(
                    jsonvalues.decode(await transport.read_body(response))
                )
        except transport.CALL_ERRORS as error:
            raise self._convert_error(error) from error

    def _check_deadline(self, deadline: deadlines.Deadline) -> None:
        if deadline.has_passed():
            raise exceptions.BackendUnreachable(
                f"engine {self.address}: the deadline has passed"
            )

    async def _check_status(self, response: aiohttp.ClientResponse) -> None:
        if response.status == 200:
            return
        reason = (await transport.read_error_body(response)).get("error")
        message = f"engine {self.address}: status {response.status}, {reason}"
        if response.headers.get("Sesamefold-Executed") == "no":
            if response.status in (429, 503):
                raise exceptions.BackendRefused(message)
            if response.status == 412:
                raise exceptions.BackendRestarted(message)
        if response.status == 409 and reason == "fencing":
            raise exceptions.FencingRefused(message)
        raise exceptions.BackendFailed(message)

    def _convert_error(self, error: BaseException) -> exceptions.RoutingError:
        message = f"engine {self.address}: {transport.describe_error(error)}"
        if transport.is_unsent(error):
            return exceptions.BackendUnreachable(message)
        if isinstance(error, TimeoutError):
            return exceptions.BackendSilent(message)
        return exceptions.BackendFailed(message)


def _decode_load(body: t.Any) -> Load:
    """Return a load report that messages between hosts can hold.

    Raises `TypeError` or `ValueError` for any other.
    """
    load: Load = _build_from_json(Load, body)
    if max(load.running, load.queued, load.limit) > _MAX_REPORTED_COUNT:
        raise ValueError("a count is out of range")
    # Raises ValueError for text that is no valid Unicode.
    "".join((load.epoch, load.role, *load.versions)).encode()
    return load


def _build_from_json(cls: type, body: t.Any) -> t.Any:
    """Return an attrs object from a JSON object.

    Unknown fields are ignored; lists become tuples. Raises `TypeError` or
    `ValueError` for a body of another form.
    """
    if not isinstance(body, dict):
        raise TypeError("it is no object")
    return cls(
        **{
            field.name: _check_value(field, body[field.name])
            for field in attrs.fields(cls)
            if field.name in body
        }
    )


def _check_value(field: "attrs.Attribute[t.Any]", value: t.Any) -> t.Any:
    """Return the value of a field of the type `field` has.

    Raises `TypeError`, or `ValueError` for a number out of range.
    """
    if field.type not in (bool, int, float, str):
        if not isinstance(value, list) or not all(
            isinstance(entry, str) for entry in value
        ):
            raise TypeError(f"{field.name} is no list of text")
        return tuple(value)
    accepted = (int, float) if field.type is float else (field.type,)
    if not isinstance(value, accepted) or (
        isinstance(value, bool) and field.type is not bool
    ):
        raise TypeError(f"{field.name} has the wrong type")
    if field.type is int and not 0 <= value <= _MAX_INTEGER:
        raise ValueError(f"{field.name} is out of range")
    if field.type is float and not -_MAX_INTEGER <= value <= _MAX_INTEGER:
        raise ValueError(f"{field.name} is out of range")
    return value
