"""Responses of completions, streamed or as a whole."""

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

# Below this, aiohttp's writer does not wait: its limit of 64 KB less the
# framing of one event.
_WRITER_LIMIT = 65_000


class Answer:
    """Writes one response from the events of a completion."""

    def __init__(
        self,
        state: states.GatewayState,
        completion: completions.Completion,
        begun: float,
        exporter: exports.BlockExporter,
    ) -> None:
        self._state = state
        self._completion = completion
        self._exports = exporter
        self._form = streams.ResponseFormat(
            completion.request_id,
            completion.prompt.model_or_service,
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
        body = self._form.render_body(
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
            forwarding.abort_connection(request)
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
            forwarding.abort_connection(request)

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
        self._state.metrics.first_token_seconds.observe(
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
            metrics.context_tokens.labels(source).inc(tokens)
        count = len(self._completion.token_texts)
        if count > 1:
            elapsed = time.monotonic() - self._first_token
            metrics.token_gap_seconds.observe(elapsed / (count - 1))


async def _end(response: web.StreamResponse, data: bytes) -> None:
    """End a response; raises TimeoutError for a slow reader."""
    async with asyncio.timeout(defaults.SLOW_READER_SECONDS):
        await response.write_eof(data)


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
