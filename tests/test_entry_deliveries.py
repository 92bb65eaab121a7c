"""Tests of the delivery of streams that fall silent."""

import asyncio
import types
import typing as t
import unittest

import multidict

from sesamefold.entry import deliveries
from sesamefold.entry import requests
from sesamefold import exceptions
from tests import entry_fakes


class SilentReply:
    """Stream that pauses for some seconds after its first event."""

    def __init__(self, seconds: float) -> None:
        self.head = requests.ReplyHead(
            200, False, True, False, None, multidict.CIMultiDict()
        )
        self._chunks: t.Iterator[bytes] = iter(
            (b"id: 1\n\n", b"id: 2\n\n", b"")
        )
        self._resumes_at = asyncio.get_running_loop().time() + seconds
        self._first = True

    async def read_chunk(self) -> bytes:
        """Return the next event; a call after a cancelled one waits again."""
        if not self._first:
            now = asyncio.get_running_loop().time()
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

    async def deliver(self, may_fail_over: bool) -> RecordingWriter:
        """Forward a stream that pauses longer than the limit on silence."""
        placement: t.Any = types.SimpleNamespace(
            record_activity=lambda server: None,
            is_silent=lambda server, seconds: True,
        )
        attempt = deliveries.Attempt(
            entry_fakes.make_server("i-1"),
            placement,
            True,
            lambda: may_fail_over,
            lambda: None,
        )
        call: t.Any = types.SimpleNamespace(
            route=types.SimpleNamespace(streamed=True), last_event_id=None
        )
        writer = RecordingWriter()
        reply: t.Any = SilentReply(deliveries.STREAM_SILENCE_SECONDS + 0.4)
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

    async def test_a_silent_stream_that_can_fail_over_is_aborted(self) -> None:
        with self.assertRaises(exceptions.ReplyBroken):
            await self.deliver(may_fail_over=True)
