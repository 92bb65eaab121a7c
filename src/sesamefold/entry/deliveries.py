"""Delivery of the replies of backend servers to a caller."""

import asyncio
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import events
from sesamefold.entry import placement as placements
from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold.entry import upstream
from sesamefold import exceptions

# Silence of a resumable stream after which it fails over to another server if
# its server has sent nothing to other callers for as long either.
SERVER_SILENCE_SECONDS = 0.8
# Silence of a resumable stream after which it fails over in any case. The
# server may only have preempted the run, but callers leave after 2 s.
STREAM_SILENCE_SECONDS = 1.8


class ResponseWriter(t.Protocol):
    """The connection to a caller."""

    async def start(self, head: requests.ReplyHead) -> None:
        """Send the head of the response."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the response as complete."""


class RunFailed(Exception):
    """The server executed the request and replied with a failure."""

    def __init__(self, head: requests.ReplyHead, body: bytes) -> None:
        super().__init__(f"status {head.status}")
        self.head = head
        self.body = body


@attrs.frozen
class Attempt:
    """One attempt to serve a request at a server.

    `may_fail_over` returns whether a stream that falls silent can continue at
    another server; while it returns False, silence does not end the attempt.
    `on_first_event` is called at the first event of the stream.
    """

    server: topology.Server
    placement: placements.Placement
    resumable: bool
    may_fail_over: t.Callable[[], bool]
    on_first_event: t.Callable[[], None]


@attrs.define
class CallerResponse:
    """The response to a caller, over all attempts of its request.

    A stream that continues at another server keeps the head of the first.
    """

    writer: ResponseWriter
    started: bool = False

    async def forward_reply(
        self, call: requests.Call, reply: upstream.Reply, attempt: Attempt
    ) -> None:
        """Forward a reply to the caller.

        Raises `RunFailed` for a reply without a success status and
        `exceptions.ReplyBroken` for an incomplete reply.
        """
        if not 200 <= reply.head.status < 300:
            raise RunFailed(reply.head, await reply.read_body())
        if call.route.streamed:
            await self._forward_stream(call, reply, attempt)
            return
        await self._send_complete(reply.head, await reply.read_body())

    async def forward_failure(self, failure: RunFailed) -> None:
        """Forward a server's own failure to the caller.

        Raises `exceptions.AnswerCut` if the response has started.
        """
        if self.started:
            raise exceptions.AnswerCut(str(failure))
        await self._send_complete(failure.head, failure.body)

    async def _send_complete(
        self, head: requests.ReplyHead, body: bytes
    ) -> None:
        await self._ensure_started(head)
        await self.writer.write(body)
        await self.writer.finish()

    async def _ensure_started(self, head: requests.ReplyHead) -> None:
        if not self.started:
            await self.writer.start(head)
            self.started = True

    async def _forward_stream(
        self, call: requests.Call, reply: upstream.Reply, attempt: Attempt
    ) -> None:
        buffer = events.EventBuffer()
        first = True
        while chunk := await self._read_chunk(attempt, reply):
            whole_events = buffer.feed(chunk)
            if not whole_events:
                continue
            if first:
                first = False
                attempt.on_first_event()
            await self._ensure_started(reply.head)
            await self.writer.write(whole_events)
            call.last_event_id = buffer.last_event_id or call.last_event_id
        if buffer.partial:
            raise exceptions.ReplyBroken("the stream ends within an event")
        await self._ensure_started(reply.head)
        await self.writer.finish()

    async def _read_chunk(
        self, attempt: Attempt, reply: upstream.Reply
    ) -> bytes:
        """Return the next bytes of a stream, b"" at its end.

        Raises `exceptions.ReplyBroken` when a resumable stream has been
        silent for so long that it should fail over.
        """
        if not attempt.resumable:
            return await reply.read_chunk()
        waiting_since = clock.read_time()
        while True:
            try:
                async with asyncio.timeout(SERVER_SILENCE_SECONDS):
                    chunk = await reply.read_chunk()
            except TimeoutError as error:
                silence = clock.read_time() - waiting_since
                if self._should_fail_over(attempt, silence):
                    raise exceptions.ReplyBroken(
                        f"the stream was silent for {silence:.1f} s"
                    ) from error
            else:
                attempt.placement.record_activity(attempt.server)
                return chunk

    def _should_fail_over(
        self, attempt: Attempt, silence_seconds: float
    ) -> bool:
        if not attempt.may_fail_over():
            return False
        if silence_seconds >= STREAM_SILENCE_SECONDS:
            return True
        return self.started and attempt.placement.is_silent(
            attempt.server, SERVER_SILENCE_SECONDS
        )
