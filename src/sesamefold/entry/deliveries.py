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
from sesamefold.entry import successors
from sesamefold.entry import topology
from sesamefold.entry import upstream
from sesamefold import exceptions

# Time without an event of a resumable stream after which another server is
# asked to go on with it, if its own has sent no event to other callers for as
# long either.
SERVER_SILENCE_SECONDS = 0.8
# Time without an event of a resumable stream after which another server is
# asked in any case. The server may only have preempted the run, but callers
# leave after 2 s.
STREAM_SILENCE_SECONDS = 1.8
# Size of the parts in which a whole body is sent. The next one is sent when
# the caller has taken most of it, and is not copied before.
WRITE_BYTES = 64 * 1024
# Time after which another server is looked for again if there was none,
# seconds.
SUCCESSOR_RETRY_SECONDS = 0.2


class ResponseWriter(t.Protocol):
    """The connection to a caller."""

    async def start(self, head: requests.ReplyHead) -> None:
        """Send the head of the response."""

    async def write(self, data: t.Union[bytes, memoryview]) -> None:
        """Send a part of the body; wait while the caller takes none."""

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

    `succession` has the attempts that may take a silent stream over from this
    one; `claim` is that of this attempt to the stream of another one, None if
    there is none. `on_first_event` is called at the first event of the stream.
    """

    server: topology.Server
    placement: placements.Placement
    pauses: pauses.PauseMonitor
    log: decisions.DecisionLog
    resumable: bool
    succession: successors.Succession
    on_first_event: t.Callable[[], None]
    claim: t.Optional[successors.Claim] = None

    def claim_stream(self) -> None:
        """Claim the stream of the attempt before, if there is one."""
        if self.claim is not None:
            self.claim.submit()

    async def acquire_stream(self) -> None:
        """Wait until no other attempt serves the stream."""
        if self.claim is not None:
            await self.claim.acquire()


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

        Raises `RunFailed` for a reply without a success status,
        `exceptions.ReplyBroken` for an incomplete reply, and
        `successors.TakenOver` if another attempt serves the rest.
        """
        if not 200 <= reply.head.status < 300:
            raise RunFailed(
                reply.head, await reply.read_body(upstream.MAX_FAILURE_BYTES)
            )
        self._check_continuation(reply.head)
        if call.route.streamed:
            attempt.claim_stream()
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

        Raises `exceptions.AnswerCut` if the response has started, and
        `exceptions.ReplyBroken` if the caller would take the failure for a
        promise that no server has executed the request.
        """
        if self.started:
            raise exceptions.AnswerCut(str(failure))
        if failure.head.is_refusal:
            raise exceptions.ReplyBroken(
                f"the server failed with status {failure.head.status}, but "
                "does not state that it did not execute the request"
            )
        await self._send_complete(failure.head, failure.body)

    async def _send_complete(
        self, head: requests.ReplyHead, body: bytes
    ) -> None:
        await self._ensure_started(head)
        if len(body) <= WRITE_BYTES:
            await self.writer.write(body)
        else:
            view = memoryview(body)
            for start in range(0, len(body), WRITE_BYTES):
                await self.writer.write(view[start : start + WRITE_BYTES])
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
                await attempt.acquire_stream()
            self.last_event_at = clock.read_time()
            await self._ensure_started(reply.head)
            await self.writer.write(whole_events)
            call.last_event_id = (
                stream.buffer.last_event_id or call.last_event_id
            )
        if first and reply.ends_with_connection():
            # A server that crashes as it begins to answer closes it too.
            raise exceptions.ReplyBroken("the stream ends without an event")
        await attempt.acquire_stream()
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
    last_obstacle: t.Optional[str] = None

    async def read_events(self) -> bytes:
        """Return the next whole events and comments, b"" at the end.

        Raises `exceptions.ReplyBroken`, and `successors.TakenOver` if another
        attempt serves the rest of the stream.
        """
        while True:
            chunk = await self._read_chunk()
            previous_id = self.buffer.last_event_id
            whole_events = self._feed(chunk) or (
                b"" if chunk else self.buffer.finish()
            )
            if not chunk or self.buffer.last_event_id != previous_id:
                await self._cancel_successor()
            if whole_events or not chunk:
                return whole_events

    async def _cancel_successor(self) -> None:
        if self.attempt.succession.is_under_way():
            self.attempt.log.write(
                "stream_kept",
                request=self.call.request_id,
                server=self.attempt.server.id,
            )
            await self.attempt.succession.cancel()

    async def _read_chunk(self) -> bytes:
        """Return the next bytes; look for a successor while none come."""
        while True:
            waiting_since = clock.read_time()
            paused_before = self.attempt.pauses.measure_paused_seconds()
            if self.attempt.succession.is_under_way():
                chunk = await self._read_beside_successor()
                if not self.attempt.succession.is_under_way():
                    self.next_check_seconds = self.silence_seconds
            else:
                chunk = await self._read_until_silent()
            paused = (
                self.attempt.pauses.measure_paused_seconds() - paused_before
            )
            self.silence_seconds += max(
                0.0, clock.read_time() - waiting_since - paused
            )
            if chunk is not None:
                return chunk
            if (
                self.silence_seconds < self.next_check_seconds
                or self.reply.has_unread_data()
            ):
                continue
            if self.attempt.succession.is_under_way():
                await self._replace_successor(paused)
            else:
                self._start_successor(paused)

    async def _read_until_silent(self) -> t.Optional[bytes]:
        """Return the next bytes, None if none come until the next check."""
        try:
            async with asyncio.timeout(self._get_wait_seconds()):
                return await self.reply.read_chunk()
        except TimeoutError:
            return None

    async def _read_beside_successor(self) -> t.Optional[bytes]:
        """Return the next bytes, None if the successor fails before.

        None is also returned at the next check.
        """
        reading = asyncio.create_task(self.reply.read_chunk())
        try:
            await self.attempt.succession.wait_beside(
                reading,
                self.reply.has_unread_data,
                max(0.0, self.next_check_seconds - self.silence_seconds),
            )
        finally:
            if not reading.done():
                reading.cancel()
                await asyncio.wait({reading})
        return None if reading.cancelled() else reading.result()

    def _feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes."""
        previous_id = self.buffer.last_event_id
        whole_events = self.buffer.feed(chunk)
        self.reply.kept_bytes = self.buffer.count_partial_bytes()
        if self.buffer.last_event_id != previous_id:
            self.silence_seconds = 0.0
            self.next_check_seconds = SERVER_SILENCE_SECONDS
            self.attempt.placement.record_activity(self.attempt.server)
        return whole_events

    def _get_wait_seconds(self) -> t.Optional[float]:
        if not self.attempt.resumable:
            return None
        return max(0.0, self.next_check_seconds - self.silence_seconds)

    def _start_successor(self, paused_seconds: float) -> None:
        """Start a successor if the stream is silent and there is one."""
        if self._is_silent():
            obstacle = self.attempt.succession.start()
            self._schedule_check(obstacle)
        else:
            obstacle = "the server sends data to others"
            self._schedule_check(None)
        self._log_decision(paused_seconds, obstacle)

    async def _replace_successor(self, paused_seconds: float) -> None:
        """Replace a successor whose server is silent, if there is another.

        A server that sends data to other callers has it wait in its queue.
        """
        succession = self.attempt.succession
        server = succession.get_server()
        silence = self.attempt.placement.measure_silence(server)
        if silence < SERVER_SILENCE_SECONDS:
            self._schedule_check(None)
            return
        obstacle = await succession.replace()
        self._schedule_check(obstacle)
        self._log_decision(paused_seconds, obstacle, server)

    def _schedule_check(self, obstacle: t.Optional[str]) -> None:
        """Set when a successor is next looked for, also for one under way."""
        self.next_check_seconds = self.silence_seconds + (
            SUCCESSOR_RETRY_SECONDS if obstacle else SERVER_SILENCE_SECONDS
        )

    def _log_decision(
        self,
        paused_seconds: float,
        obstacle: t.Optional[str],
        successor: t.Optional[topology.Server] = None,
    ) -> None:
        """Log a decision about a silent stream unless it is as before."""
        if obstacle is None or obstacle != self.last_obstacle:
            self._log_silence(paused_seconds, obstacle, successor)
        self.last_obstacle = obstacle

    def _is_silent(self) -> bool:
        if self.silence_seconds >= STREAM_SILENCE_SECONDS:
            return True
        silence = self.attempt.placement.measure_silence(self.attempt.server)
        return self.response.started and silence >= SERVER_SILENCE_SECONDS

    def _log_silence(
        self,
        paused_seconds: float,
        obstacle: t.Optional[str],
        successor: t.Optional[topology.Server],
    ) -> None:
        """Log that a stream is silent, and why it has no other successor."""
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
            successor=successor and successor.id,
            decision="successor" if obstacle is None else "wait",
            reason=obstacle,
        )


def round_finite(seconds: float) -> t.Optional[float]:
    """Return the seconds rounded for the log, None if they are infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
