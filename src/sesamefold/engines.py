"""Model engines as the gateway and the control see them."""

import asyncio
import contextlib
import json
import typing as t

import aiohttp
import attrs

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import transport

# Time that closing a stream may take to cancel its run, seconds.
CANCEL_SECONDS = 1.0


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
    """One run of a prompt on an engine."""

    request_id: str
    model: str
    weight_version: str
    prompt: str
    max_tokens: int
    cache_salt: str
    seed: int
    deadline: deadlines.Deadline
    priority: int = 0
    offset: int = 0  # tokens that the caller already has
    output: t.Tuple[str, ...] = ()  # these tokens, when they are known
    imports: t.Tuple[ImportBlock, ...] = ()


@attrs.frozen
class TokenEvent:
    """One token, the final event, or the first event of a stream.

    `offset` counts the tokens up to and including this one. The first event
    of a stream has `kind` "started" and tells how the context was obtained,
    in tokens; the last has `kind` "finished".
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
    """A load report; engines send it with a lag."""

    epoch: str  # changes when the engine restarts
    cold: bool
    leaving: bool
    running: int
    queued: int
    limit: int  # requests that the engine bears at once
    versions: t.Tuple[str, ...]  # "model@version"
    role: str
    measured_at: float  # Unix seconds


@attrs.frozen
class CacheEvent:
    """A block that an engine stored or freed."""

    sequence: int
    kind: str  # "stored" or "freed"
    block: str


@attrs.frozen
class Order:
    """Absolute desired state of an engine; repeating it changes nothing."""

    revision: int
    fencing: int
    versions: t.Tuple[str, ...]  # "model@version", to be loaded
    role: str = "serve"


class Engine(t.Protocol):
    """One engine at a fixed address.

    Methods raise `exceptions.BackendRefused` for a refusal that is defined as
    before execution, `exceptions.BackendUnreachable` when no byte was sent,
    and `exceptions.BackendFailed` for everything after that.
    """

    address: str

    def complete(
        self, request: CompletionRequest
    ) -> t.AsyncIterator[TokenEvent]:
        """Run a prompt and yield its events; closing the iterator cancels."""

    def resume(
        self,
        request_id: str,
        offset: int,
        deadline: deadlines.Deadline,
    ) -> t.AsyncIterator[TokenEvent]:
        """Yield the events of a run after `offset`.

        Closing the iterator does not cancel the run. Raises
        `exceptions.BackendRefused` when the engine has no such run; `executed`
        is then "unknown".
        """

    async def cancel(
        self, request_id: str, deadline: deadlines.Deadline
    ) -> None:
        """Cancel a run; unknown runs are ignored."""

    async def fetch_load(self, deadline: deadlines.Deadline) -> Load:
        """Return the latest load report."""

    async def fetch_events(
        self, after: int, deadline: deadlines.Deadline
    ) -> t.List[CacheEvent]:
        """Return cache events after a sequence number; gaps are possible."""

    async def list_blocks(self, deadline: deadlines.Deadline) -> t.List[str]:
        """Return the names of the blocks that the engine holds."""

    async def export_blocks(
        self,
        blocks: t.Sequence[str],
        store: str,
        deadline: deadlines.Deadline,
    ) -> t.List[ImportBlock]:
        """Copy blocks to a store; returns the sealed entries."""

    async def send_order(
        self, order: Order, deadline: deadlines.Deadline
    ) -> None:
        """Send the desired state; raises `exceptions.FencingRefused`."""

    async def fetch_order(self, deadline: deadlines.Deadline) -> Order:
        """Return the order that the engine follows."""


class HttpEngine:
    """Engine over HTTP; docs/design.md section 5 lists the calls.

    Streams are server-sent events whose data is a JSON object. A stream that
    is silent for `idle_seconds` fails; engines send comment lines while a
    run is queued or in prefill. 0 disables the limit. Unlike a timeout around
    the iteration, the limit does not cancel the run, so it can be resumed.
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
        """Run a prompt and yield its events; closing the iterator cancels."""
        body = {**attrs.asdict(request), "deadline": request.deadline.at}
        ended = False
        try:
            async with contextlib.aclosing(
                self._stream(
                    "POST", "v1/completions", request.deadline, json=body
                )
            ) as events:
                async for event in events:
                    ended = event.kind == "finished"
                    yield event
        except (GeneratorExit, asyncio.CancelledError):
            if not ended:
                with contextlib.suppress(exceptions.SesamefoldError):
                    await self.cancel(
                        request.request_id,
                        deadlines.Deadline.after(CANCEL_SECONDS),
                    )
            raise

    async def resume(
        self,
        request_id: str,
        offset: int,
        deadline: deadlines.Deadline,
    ) -> t.AsyncIterator[TokenEvent]:
        """Yield the events of a run after `offset`.

        Closing the iterator does not cancel the run.
        """
        async with contextlib.aclosing(
            self._stream(
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
        """Cancel a run; unknown runs are ignored."""
        await self._call(
            "DELETE", f"v1/requests/{request_id}", deadline, missing_ok=True
        )

    async def fetch_load(self, deadline: deadlines.Deadline) -> Load:
        """Return the latest load report."""
        return await self._call(
            "GET", "load", deadline, decode=lambda body: _build(Load, body)
        )

    async def fetch_events(
        self, after: int, deadline: deadlines.Deadline
    ) -> t.List[CacheEvent]:
        """Return cache events after a sequence number; gaps are possible.

        Sequence numbers at or below `after` show that the engine restarted.
        """
        return await self._call(
            "GET",
            "events",
            deadline,
            decode=lambda body: [
                _build(CacheEvent, event) for event in body["events"]
            ],
            params={"after": str(after)},
        )

    async def list_blocks(self, deadline: deadlines.Deadline) -> t.List[str]:
        """Return the names of the blocks that the engine holds."""
        return await self._call(
            "GET", "blocks", deadline, decode=lambda body: body["blocks"]
        )

    async def export_blocks(
        self,
        blocks: t.Sequence[str],
        store: str,
        deadline: deadlines.Deadline,
    ) -> t.List[ImportBlock]:
        """Copy blocks to a store; returns the sealed entries."""
        return await self._call(
            "POST",
            "context/export",
            deadline,
            decode=lambda body: [
                _build(ImportBlock, entry) for entry in body["entries"]
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
        """Send the desired state; raises `exceptions.FencingRefused`."""
        await self._call("POST", "orders", deadline, json=attrs.asdict(order))

    async def fetch_order(self, deadline: deadlines.Deadline) -> Order:
        """Return the order that the engine follows."""
        return await self._call(
            "GET", "orders", deadline, decode=lambda body: _build(Order, body)
        )

    async def _stream(
        self,
        method: str,
        path: str,
        deadline: deadlines.Deadline,
        **options: t.Any,
    ) -> t.AsyncIterator[TokenEvent]:
        self._check_deadline(deadline)
        try:
            async with self._session.request(
                method,
                f"http://{self.address}/{path}",
                timeout=transport.make_timeout(deadline, self._idle_seconds),
                **options,
            ) as response:
                if method == "GET" and response.status == 404:
                    # The run may have been executed and forgotten.
                    raise exceptions.BackendRefused(
                        f"engine {self.address} has no such run",
                        executed=exceptions.UNKNOWN,
                    )
                await self._check(response)
                async for line in response.content:
                    if not line.startswith(b"data:"):
                        continue
                    event = self._decode(json.loads(line[len(b"data:") :]))
                    yield event
                    if event.kind == "finished":
                        return
        except transport.CALL_ERRORS as error:
            raise self._wrap(error) from error
        raise exceptions.BackendFailed(
            f"engine {self.address}: the stream ended early"
        )

    def _decode(self, body: t.Mapping[str, t.Any]) -> TokenEvent:
        if body["kind"] != "error":
            return _build(TokenEvent, body)
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
            async with self._session.request(
                method,
                f"http://{self.address}/{path}",
                timeout=transport.make_timeout(deadline),
                **options,
            ) as response:
                if missing_ok and response.status == 404:
                    return None
                await self._check(response)
                return decode(await response.json())
        except transport.CALL_ERRORS as error:
            raise self._wrap(error) from error

    def _check_deadline(self, deadline: deadlines.Deadline) -> None:
        if deadline.has_passed():
            raise exceptions.BackendUnreachable(
                f"engine {self.address}: the deadline has passed"
            )

    async def _check(self, response: aiohttp.ClientResponse) -> None:
        if response.status == 200:
            return
        reason = (await transport.read_error_body(response)).get("error")
        message = f"engine {self.address}: status {response.status}, {reason}"
        if (
            response.status in (429, 503)
            and response.headers.get("Sesamefold-Executed") == "no"
        ):
            raise exceptions.BackendRefused(message)
        if response.status == 409 and reason == "fencing":
            raise exceptions.FencingRefused(message)
        raise exceptions.BackendFailed(message)

    def _wrap(self, error: BaseException) -> exceptions.RoutingError:
        message = f"engine {self.address}: {transport.describe_error(error)}"
        if transport.is_unsent(error):
            return exceptions.BackendUnreachable(message)
        return exceptions.BackendFailed(message)


def _build(cls: type, body: t.Mapping[str, t.Any]) -> t.Any:
    """Return an attrs object; fields that are not known are ignored."""
    known = {field.name for field in attrs.fields(cls)} & body.keys()
    return cls(
        **{
            key: tuple(body[key]) if isinstance(body[key], list) else body[key]
            for key in known
        }
    )
