"""Tests of the delivery of streams that fall silent."""

import asyncio
import math
import types
import typing as t
import unittest

import multidict

from sesamefold.entry import deliveries
from sesamefold.entry import events
from sesamefold.entry import pauses
from sesamefold.entry import requests
from sesamefold.entry import successors
from sesamefold import exceptions
from tests import entry_fakes


class SilentReply:
    """Stream that pauses for some seconds after its first event.

    With `trickle`, it sends these bytes each 0.1 s of the pause.
    """

    def __init__(self, seconds: float, trickle: bytes = b"") -> None:
        self._trickle = trickle
        self.head = requests.ReplyHead(
            200, False, True, False, None, multidict.CIMultiDict()
        )
        self._chunks: t.Iterator[bytes] = iter(
            (b"id: 1\n\n", b"id: 2\n\n", b"")
        )
        self._resumes_at = asyncio.get_running_loop().time() + seconds
        self._first = True

    def has_unread_data(self) -> bool:
        """Return that nothing has arrived."""
        return False

    async def read_chunk(self) -> bytes:
        """Return the next event; a call after a cancelled one waits again."""
        if not self._first:
            now = asyncio.get_running_loop().time()
            if self._trickle and now < self._resumes_at:
                await asyncio.sleep(0.1)
                return self._trickle
            await asyncio.sleep(max(0.0, self._resumes_at - now))
        self._first = False
        return next(self._chunks)


class RecordingWriter:
    """Response writer that records what a caller receives."""

    def __init__(self) -> None:
        self.data = b""
        self.finished = False

    async def start(self, head: requests.ReplyHead) -> None:
        """Ignore the head."""

    async def write(self, data: bytes) -> None:
        """Record a part of the body."""
        self.data += data

    async def finish(self) -> None:
        """Record the end of the response."""
        self.finished = True


class SilentStreamTest(unittest.IsolatedAsyncioTestCase):
    """Resumable streams whose server falls silent."""

    placement_is_silent = True

    async def deliver(
        self, may_fail_over: bool, trickle: bytes = b"", seconds: float = 0.4
    ) -> RecordingWriter:
        """Forward a stream that pauses longer than the limit on silence."""
        placement: t.Any = types.SimpleNamespace(
            record_activity=lambda server: None,
            measure_silence=lambda server: (
                math.inf if self.placement_is_silent else 0.0
            ),
        )
        call: t.Any = types.SimpleNamespace(
            route=types.SimpleNamespace(streamed=True),
            last_event_id=None,
            request_id="r-1",
        )
        writer = RecordingWriter()
        reply: t.Any = SilentReply(
            deliveries.STREAM_SILENCE_SECONDS + seconds, trickle
        )
        async with successors.Succession(
            lambda claim: (
                asyncio.create_task(claim.acquire())
                if may_fail_over
                else "retry budget"
            ),
            (exceptions.ReplyBroken,),
        ) as succession:
            attempt = deliveries.Attempt(
                entry_fakes.make_server("i-1"),
                placement,
                pauses.PauseMonitor(entry_fakes.make_log()),
                entry_fakes.make_log(),
                True,
                succession,
                lambda: None,
            )
            await deliveries.CallerResponse(writer).forward_reply(
                call, reply, attempt
            )
        return writer

    async def test_a_silent_stream_that_cannot_fail_over_continues(
        self,
    ) -> None:
        """Guards against a response cut short only because its server paused.

        That happened to streams with no retry left to continue elsewhere.
        """
        writer = await self.deliver(may_fail_over=False)
        self.assertEqual(b"id: 1\n\nid: 2\n\n", writer.data)
        self.assertTrue(writer.finished)

    async def test_a_silent_stream_is_taken_over_by_a_successor(self) -> None:
        with self.assertRaises(successors.TakenOver):
            await self.deliver(may_fail_over=True)

    async def test_bytes_that_are_no_event_do_not_end_the_silence(
        self,
    ) -> None:
        """Guards against a stalled stream that single bytes keep alive."""
        for trickle in (b"i", b": comment\n\n", b"data: no id\n\n"):
            with self.subTest(trickle=trickle):
                with self.assertRaises(successors.TakenOver):
                    await self.deliver(may_fail_over=True, trickle=trickle)

    async def test_slow_stream_is_kept_if_its_events_come_in_pieces(
        self,
    ) -> None:
        """Guards against the loss of a sound stream that is only slow.

        Its pause is shorter than the limit of a stream, and other streams of
        its server go on.
        """
        self.placement_is_silent = False
        writer = await self.deliver(True, b": comment\n\n", seconds=-0.4)
        self.assertTrue(writer.data.endswith(b"id: 2\n\n"))
        self.assertTrue(writer.finished)

    async def test_event_without_end_breaks_the_stream(self) -> None:
        """Guards against an event that takes memory without end."""
        buffer = events.EventBuffer()
        with self.assertRaises(exceptions.ReplyBroken):
            for _ in range(events.MAX_EVENT_BYTES):
                buffer.feed(b"data: " + b"x" * 1000)


class EventBufferTest(unittest.TestCase):
    """Splitting of what a faulty server sends."""

    def feed_until_broken(self, chunk: bytes) -> int:
        """Return the bytes after which a stream counts as broken."""
        buffer = events.EventBuffer()
        buffer.feed(b"id: 1\ndata: a\n\n")
        size = 0
        with self.assertRaises(exceptions.ReplyBroken):
            while size <= 2 * events.MAX_EVENT_BYTES:
                size += len(chunk)
                buffer.feed(chunk)
        return size

    def test_bytes_that_lead_to_no_event_break_the_stream(self) -> None:
        """Guards against a stream that takes memory or time without end."""
        for name, line in (
            ("an event without end", b"x"),
            ("blank lines", b"\n"),
            ("blank lines with returns", b"\r\n"),
            ("comments", b":\n\n"),
            ("events without an id", b"data: x\n\n"),
            ("one event again and again", b"id: 1\ndata: a\n\n"),
        ):
            for count in (1, 1000):
                with self.subTest(name, count=count):
                    size = self.feed_until_broken(line * count)
                    self.assertGreater(size, events.MAX_EVENT_BYTES)

    def test_stream_of_many_events_is_whole(self) -> None:
        """Guards against a bound on a stream that moves on."""
        buffer = events.EventBuffer()
        event = b": comment\n\nid: %d\r\ndata: x\r\n\r\n"
        stream = b"".join(event % number for number in range(20_000))
        whole = b"".join(
            buffer.feed(stream[start : start + 7])
            for start in range(0, len(stream), 7)
        )
        self.assertEqual(stream, whole)
        self.assertEqual("19999", buffer.last_event_id)
        self.assertEqual(b"", buffer.finish())

    def test_id_of_the_last_whole_event_is_known(self) -> None:
        """Guards against a stream that goes on at a wrong event."""
        for stream, event_id in (
            (b"id: 1\n\nid: 2\n", "1"),
            (b"id:7\r\ndata: x\r\n\r\nid: 8\r\n\r", "7"),
            (b"id: 1\ndata: id: 3\n\n", "1"),
            (b"data: x\nid:  4 \n\n\n\ni", "4"),
            (b"data: x\n\n", None),
            (b"", None),
        ):
            for size in (1, 3, 100):
                with self.subTest(stream=stream, size=size):
                    buffer = events.EventBuffer()
                    for start in range(0, len(stream), size):
                        buffer.feed(stream[start : start + size])
                    self.assertEqual(event_id, buffer.last_event_id)
