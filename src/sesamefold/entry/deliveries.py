"""Delivery of a backend server's reply to a caller."""

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

# Silence of a resumable stream, seconds, after which it goes on elsewhere if
# its server sends nothing to others either, and after which it does so in any
# case: the server may have put the run back, but callers leave after 2 s.
SERVER_SILENCE_SECONDS = 0.8
STREAM_SILENCE_SECONDS = 1.8


class Writer(t.Protocol):
    """The connection to a caller."""

    async def start(self, head: requests.ReplyHead) -> None:
        """Send the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the answer as complete."""


class RunFailed(Exception):
    """The server ran the request and answered with a failure."""

    def __init__(self, head: requests.ReplyHead, body: bytes) -> None:
        super().__init__(f"status {head.status}")
        self.head = head
        self.body = body


@attrs.frozen
class Run:
    """One attempt at a server; `note_first` is called at its first event.

    `may_move` tells whether a stream that falls silent can go on at another
    server. If it cannot, silence is no reason to end it.
    """

    server: topology.Server
    placement: placements.Placement
    resumable: bool
    may_move: t.Callable[[], bool]
    note_first: t.Callable[[], None]


@attrs.define
class Answer:
    """The answer to a caller, over all attempts of its request.

    A stream that goes on at another server keeps the head of the first.
    """

    writer: Writer
    started: bool = False

    async def pass_reply(
        self, call: requests.Call, reply: upstream.Reply, run: Run
    ) -> None:
        """Pass a reply on; raises `RunFailed` and `ReplyBroken`."""
        if not 200 <= reply.head.status < 300:
            raise RunFailed(reply.head, await reply.read_body())
        if call.route.streamed:
            await self._pass_stream(call, reply, run)
            return
        await self._pass_whole(reply.head, await reply.read_body())

    async def pass_failure(self, failed: RunFailed) -> None:
        """Pass a server's own failure on.

        Raises `exceptions.AnswerCut` when the answer had begun.
        """
        if self.started:
            raise exceptions.AnswerCut(str(failed))
        await self._pass_whole(failed.head, failed.body)

    async def _pass_whole(self, head: requests.ReplyHead, body: bytes) -> None:
        await self._start(head)
        await self.writer.write(body)
        await self.writer.finish()

    async def _start(self, head: requests.ReplyHead) -> None:
        if not self.started:
            await self.writer.start(head)
            self.started = True

    async def _pass_stream(
        self, call: requests.Call, reply: upstream.Reply, run: Run
    ) -> None:
        buffer = events.EventBuffer()
        first = True
        while chunk := await self._read_chunk(run, reply):
            whole = buffer.feed(chunk)
            if not whole:
                continue
            if first:
                first = False
                run.note_first()
            await self._start(reply.head)
            await self.writer.write(whole)
            call.last_event_id = buffer.last_event_id or call.last_event_id
        if buffer.partial:
            raise exceptions.ReplyBroken("the stream ends within an event")
        await self._start(reply.head)
        await self.writer.finish()

    async def _read_chunk(self, run: Run, reply: upstream.Reply) -> bytes:
        """Return the next bytes of a stream, b"" at its end.

        Raises `exceptions.ReplyBroken` when a resumable stream is silent.
        """
        if not run.resumable:
            return await reply.read_chunk()
        began = clock.read_time()
        while True:
            try:
                async with asyncio.timeout(SERVER_SILENCE_SECONDS):
                    chunk = await reply.read_chunk()
            except TimeoutError as error:
                silence = clock.read_time() - began
                if self._is_lost(run, silence):
                    raise exceptions.ReplyBroken(
                        f"the stream was silent for {silence:.1f} s"
                    ) from error
            else:
                run.placement.record_activity(run.server)
                return chunk

    def _is_lost(self, run: Run, silence: float) -> bool:
        if not run.may_move():
            return False
        if silence >= STREAM_SILENCE_SECONDS:
            return True
        return self.started and run.placement.is_silent(
            run.server, SERVER_SILENCE_SECONDS
        )
