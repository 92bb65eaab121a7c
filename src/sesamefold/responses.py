"""HTTP responses to completion requests, streamed or in one piece."""

import asyncio
import contextlib
import json
import time
import typing as t

from aiohttp import web

from sesamefold import completions
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import exports
from sesamefold import forwarding
from sesamefold import state as states
from sesamefold import streams

# Below this size of its buffer, aiohttp's writer does not wait for the
# socket: its limit of 64 KB less the framing of one event.
_WRITER_BUFFER_BYTES = 65_000
# Set on a response to which nothing can be added.
ENDED = web.ResponseKey("ended", bool)


class ResponseWriter:
    """Writes the response of one completion from its events.

    `started_at` is the monotonic time at which the request arrived.
    """

    def __init__(
        self,
        state: states.GatewayState,
        completion: completions.Completion,
        started_at: float,
        exporter: exports.BlockExporter,
    ) -> None:
        self._state = state
        self._completion = completion
        self._exporter = exporter
        self._formatter = streams.ResponseFormat(
            completion.request_id,
            completion.prompt.model_or_service,
            completion.prompt.chat,
        )
        self._started_at = started_at
        self._first_token_at = 0.0
        self._unsent_events = 0

    async def send(self, request: web.Request) -> web.StreamResponse:
        """Run the completion and write the response.

        Errors before the first event are raised. The code that calls this
        must limit the time.
        """
        async with contextlib.aclosing(self._completion.run()) as events:
            first = await anext(events)
            if self._completion.prompt.stream:
                return await self.send_stream(request, first, events)
            return await self.send_whole(first, events)

    def _build_headers(self) -> t.Dict[str, str]:
        """Return the headers with the request's id and resume handle."""
        return {
            "Sesamefold-Request": self._completion.request_id,
            "Sesamefold-Handle": self._completion.sign_handle(),
        }

    async def send_whole(
        self,
        first: engines.TokenEvent,
        events: t.AsyncIterator[engines.TokenEvent],
    ) -> web.Response:
        """Return the response in one piece once the run has finished."""
        reason = first.finish_reason
        if first.kind == "token":
            self._record_first_token()
        async for event in events:
            if event.kind == "token":
                self._record_first_token()
            elif event.kind == "finished":
                reason = event.finish_reason
        self._record_usage()
        body = self._formatter.render_body(
            "".join(self._completion.token_texts),
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
        """Send server-sent events as the tokens arrive.

        Once the headers are sent, an error is reported in an event of its
        own, and the stream ends without `[DONE]`.
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
            # The caller reads too slowly or closed the connection.
            forwarding.abort_connection(request)
        except asyncio.CancelledError:
            if self._completion.deadline.has_passed():
                error = self._completion.build_timeout()
                await self._send_error(request, response, error)
            raise
        self._record_usage()
        return response

    async def _prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Send the headers; raise ConnectionResetError if that fails."""
        writer = await response.prepare(request)
        if writer is None or request.transport is None:
            raise ConnectionResetError("the caller closed the connection")
        self._writer = writer
        # A drain then waits until the kernel has taken all bytes.
        request.transport.set_write_buffer_limits(high=0)

    async def _send_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        first: engines.TokenEvent,
        events: t.AsyncIterator[engines.TokenEvent],
    ) -> None:
        """Send all events of a run and end the response."""
        if first.kind == "token":
            await self._write(request, self._render_origin())
        # A "started" event is written together with the next one. Each write
        # is a system call, which costs more than all other work for an event.
        pending = self._render(first)
        async for event in events:
            if event.kind == "finished":
                await _end(response, pending + self._render(event))
            elif event.kind == "started":
                pending += self._render(event)
            else:
                await self._write(request, pending + self._render(event))
                pending = b""

    async def _send_error(
        self,
        request: web.Request,
        response: web.StreamResponse,
        error: exceptions.SesamefoldError,
    ) -> None:
        """Send an error event and end the stream."""
        content = build_error_body(error, self._completion.request_id)
        data = f"data: {json.dumps(content)}\n\n".encode()
        try:
            await _end(response, data)
        except (TimeoutError, ConnectionError):
            forwarding.abort_connection(request)

    async def _write(self, request: web.Request, data: bytes) -> None:
        """Write to the caller; raise TimeoutError if it reads too slowly.

        The writer waits for the socket only when its buffer exceeds its
        limit. Below the limit, and with all earlier bytes sent, no timer is
        needed. Raises ConnectionResetError for a closed connection.
        """
        transport, writer = request.transport, self._writer
        if transport is None:
            raise ConnectionResetError("the caller closed the connection")
        all_sent = not transport.get_write_buffer_size()
        self._unsent_events = 0 if all_sent else self._unsent_events + 1
        if all_sent and writer.buffer_size + len(data) < _WRITER_BUFFER_BYTES:
            await writer.write(data)
            return
        async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
            if self._unsent_events >= defaults.MAX_BUFFERED_EVENTS:
                await writer.drain()
                self._unsent_events = 0
            await writer.write(data)

    def _render(self, event: engines.TokenEvent) -> bytes:
        """Return an event of the run as server-sent events."""
        if event.kind == "token":
            self._record_first_token()
            return self._formatter.render_token(event)
        if event.kind == "started":
            return self._render_origin()
        return self._formatter.render_end(
            event.finish_reason,
            self._completion.build_usage(),
            event.offset,
        )

    def _render_origin(self) -> bytes:
        """Return the SSE comment with the origin and the resume handle."""
        return self._formatter.render_origin(
            self._completion.origin, self._completion.sign_handle()
        )

    def _record_first_token(self) -> None:
        """Record the time to the first token and export the prompt's blocks.

        Later calls do nothing.
        """
        if self._first_token_at:
            return
        self._first_token_at = time.monotonic()
        self._state.metrics.first_token_seconds.observe(
            self._first_token_at - self._started_at
        )
        # The engine holds the prompt's blocks now, and may evict them once
        # the run has ended.
        self._exporter.schedule(
            self._completion.engine_address,
            self._completion.block_names,
            self._completion.holders,
        )

    def _record_usage(self) -> None:
        """Record the prompt tokens by source and the time between tokens."""
        metrics = self._state.metrics
        origin = self._completion.origin
        for source, tokens in (
            ("cached", origin.cached_tokens),
            ("memory", origin.imported_memory_tokens),
            ("disk", origin.imported_disk_tokens),
            ("recomputed", origin.recomputed_tokens),
        ):
            metrics.context_tokens.labels(source).inc(tokens)
        count = len(self._completion.token_texts)
        if count > 1:
            elapsed = time.monotonic() - self._first_token_at
            metrics.token_gap_seconds.observe(elapsed / (count - 1))


async def _end(response: web.StreamResponse, data: bytes) -> None:
    """End a response; raise TimeoutError if the caller reads too slowly."""
    async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
        await response.write_eof(data)
    response[ENDED] = True


def build_error_body(
    error: exceptions.SesamefoldError, request_id: str
) -> t.Dict[str, t.Any]:
    """Return the body of an error response as JSON values."""
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
