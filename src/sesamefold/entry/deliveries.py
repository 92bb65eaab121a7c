"""Delivery of the replies of backend servers to a caller."""

import asyncio
import math
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import events
from sesamefold.entry import pauses
from sesamefold.entry import placement as placements
from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold.entry import upstream
from sesamefold import exceptions

# Time without an event of a resumable stream after which it fails over to
# another server if its server has sent no event to other callers for as long
# either.
SERVER_SILENCE_SECONDS = 0.8
# Time without an event of a resumable stream after which it fails over in any
# case. The server may only have preempted the run, but callers leave after
# 2 s.
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

    `find_obstacle` returns why a stream without events cannot continue at
    another server, None if it can; while it returns a reason, silence does not
    end the attempt. `on_first_event` is called at the first event of the
    stream.
    """

    server: topology.Server
    placement: placements.Placement
    pauses: pauses.PauseMonitor
    log: decisions.DecisionLog
    resumable: bool
    find_obstacle: t.Callable[[], t.Optional[str]]
    on_first_event: t.Callable[[], None]


@attrs.define
class CallerResponse:
    """The response to a caller, over all attempts of its request.

    A stream that continues at another server keeps the head of the first,
    which is None until the response has started. `last_event_at` is when the
    last part of a stream arrived, in seconds of `clock.read_time`.
    """

    writer: ResponseWriter
    head: t.Optional[requests.ReplyHead] = None
    last_event_at: t.Optional[float] = None

    @property
    def started(self) -> bool:
        """Return whether the caller got the head of the response."""
        return self.head is not None

    def may_continue(self) -> bool:
        """Return whether the reply of another server may follow."""
        return self.head is None or self.head.is_event_stream()

    async def forward_reply(
        self, call: requests.Call, reply: upstream.Reply, attempt: Attempt
    ) -> None:
        """Forward a reply to the caller.

        Raises `RunFailed` for a reply without a success status and
        `exceptions.ReplyBroken` for an incomplete reply.
        """
        if not 200 <= reply.head.status < 300:
            raise RunFailed(reply.head, await reply.read_body())
        self._check_continuation(reply.head)
        if call.route.streamed:
            await self._forward_stream(call, reply, attempt)
            return
        await self._send_complete(reply.head, await reply.read_body())

    def _check_continuation(self, head: requests.ReplyHead) -> None:
        """Check that a reply continues a response that has started.

        Any body could hold bytes that look like events, and an empty one
        would end the stream as complete. Raises `exceptions.ReplyBroken`.
        """
        if self.head is not None and (
            head.status != self.head.status or not head.is_event_stream()
        ):
            raise exceptions.ReplyBroken(
                "the reply does not continue a stream"
            )

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
        if self.head is None:
            await self.writer.start(head)
            self.head = head

    async def _forward_stream(
        self, call: requests.Call, reply: upstream.Reply, attempt: Attempt
    ) -> None:
        stream = _EventStream(self, call, attempt, reply)
        first = True
        while whole_events := await stream.read_events():
            if first:
                first = False
                attempt.on_first_event()
            self.last_event_at = clock.read_time()
            await self._ensure_started(reply.head)
            await self.writer.write(whole_events)
            call.last_event_id = (
                stream.buffer.last_event_id or call.last_event_id
            )
        if stream.buffer.partial:
            raise exceptions.ReplyBroken("the stream ends within an event")
        await self._ensure_started(reply.head)
        await self.writer.finish()


@attrs.define
class _EventStream:
    """The events of one reply, and how long the last one has been waited for.

    Only an event with an id of its own ends the silence of a stream; neither
    comments nor bytes that complete no event do. Time in which the caller
    does not take data, or in which the event loop stands still, is no silence
    of the server.
    """

    response: CallerResponse
    call: requests.Call
    attempt: Attempt
    reply: upstream.Reply
    buffer: events.EventBuffer = attrs.field(factory=events.EventBuffer)
    silence_seconds: float = 0.0
    next_check_seconds: float = SERVER_SILENCE_SECONDS

    async def read_events(self) -> bytes:
        """Return the next whole events and comments, b"" at the end.

        Raises `exceptions.ReplyBroken` when a resumable stream has had no
        event for so long that it should fail over.
        """
        while True:
            waiting_since = clock.read_time()
            paused_before = self.attempt.pauses.measure_paused_seconds()
            try:
                async with asyncio.timeout(self._get_wait_seconds()):
                    chunk = await self.reply.read_chunk()
            except TimeoutError as error:
                paused = (
                    self.attempt.pauses.measure_paused_seconds()
                    - paused_before
                )
                self.silence_seconds += max(
                    0.0, clock.read_time() - waiting_since - paused
                )
                if (
                    self.reply.has_unread_data()
                    or self.silence_seconds < self.next_check_seconds
                ):
                    self._log_silence(paused, "no silence")
                    continue
                if self._should_fail_over(paused):
                    raise exceptions.ReplyBroken(
                        f"no event for {self.silence_seconds:.1f} s"
                    ) from error
                self.next_check_seconds = (
                    self.silence_seconds + SERVER_SILENCE_SECONDS
                )
                continue
            self.silence_seconds += clock.read_time() - waiting_since
            whole_events = self._feed(chunk)
            if whole_events or not chunk:
                return whole_events

    def _feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes."""
        previous_id = self.buffer.last_event_id
        whole_events = self.buffer.feed(chunk)
        if self.buffer.last_event_id != previous_id:
            self.silence_seconds = 0.0
            self.next_check_seconds = SERVER_SILENCE_SECONDS
            self.attempt.placement.record_activity(self.attempt.server)
        return whole_events

    def _get_wait_seconds(self) -> t.Optional[float]:
        if not self.attempt.resumable:
            return None
        return max(0.0, self.next_check_seconds - self.silence_seconds)

    def _should_fail_over(self, paused_seconds: float) -> bool:
        obstacle = self.attempt.find_obstacle()
        if obstacle is None and not self._is_silent():
            obstacle = "the server sends data to others"
        self._log_silence(paused_seconds, obstacle)
        return obstacle is None

    def _is_silent(self) -> bool:
        if self.silence_seconds >= STREAM_SILENCE_SECONDS:
            return True
        silence = self.attempt.placement.measure_silence(self.attempt.server)
        return self.response.started and silence >= SERVER_SILENCE_SECONDS

    def _log_silence(
        self, paused_seconds: float, obstacle: t.Optional[str]
    ) -> None:
        """Log a wait that timed out, and why the attempt goes on."""
        silence = self.attempt.placement.measure_silence(self.attempt.server)
        self.attempt.log.write(
            "stream_silent",
            request=self.call.request_id,
            server=self.attempt.server.id,
            seconds=round(self.silence_seconds, 3),
            server_seconds=round_finite(silence),
            started=self.response.started,
            unread=self.reply.has_unread_data() or None,
            paused=round(paused_seconds, 3) or None,
            decision="move" if obstacle is None else "wait",
            reason=obstacle,
        )


def round_finite(seconds: float) -> t.Optional[float]:
    """Return the seconds rounded for the log, None if they are infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
