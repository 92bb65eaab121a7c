"""Delivery of streams that fall silent."""

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
    """A stream that is silent for a while after its first event."""

    def __init__(self, seconds: float) -> None:
        self.head = requests.ReplyHead(
            200, "r-1", False, True, False, None, multidict.CIMultiDict()
        )
        self._chunks: t.Iterator[bytes] = iter(
            (b"id: 1\n\n", b"id: 2\n\n", b"")
        )
        self._resumes_at = asyncio.get_running_loop().time() + seconds
        self._first = True

    async def read_chunk(self) -> bytes:
        """Return the next event; waits again after it was cancelled."""
        if not self._first:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, self._resumes_at - now))
        self._first = False
        return next(self._chunks)


class RecordingWriter:
    """Keeps what a caller gets."""

    def __init__(self) -> None:
        self.data = b""
        self.finished = False

    async def start(self, head: requests.ReplyHead) -> None:
        """Ignore the head."""

    async def write(self, data: bytes) -> None:
        """Keep a part."""
        self.data += data

    async def finish(self) -> None:
        """Note the end."""
        self.finished = True


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """A resumable stream whose server is silent."""

    async def deliver(self, may_move: bool) -> RecordingWriter:
        """Pass on a stream that pauses beyond the bound on silence."""
        placement: t.Any = types.SimpleNamespace(
            record_activity=lambda server: None,
            is_silent=lambda server, seconds: True,
        )
        run = deliveries.Run(
            entry_fakes.make_server("i-1"),
            placement,
            True,
            lambda: may_move,
            lambda: None,
        )
        call: t.Any = types.SimpleNamespace(
            route=types.SimpleNamespace(streamed=True), last_event_id=None
        )
        writer = RecordingWriter()
        reply: t.Any = SilentReply(deliveries.STREAM_SILENCE_SECONDS + 0.4)
        await deliveries.Answer(writer).pass_reply(call, reply, run)
        return writer

    async def test_a_stream_that_cannot_move_waits(self) -> None:
        """Guards against an answer that is cut for its server's silence."""
        writer = await self.deliver(may_move=False)
        self.assertEqual(b"id: 1\n\nid: 2\n\n", writer.data)
        self.assertTrue(writer.finished)

    async def test_a_stream_that_can_move_is_given_up(self) -> None:
        with self.assertRaises(exceptions.ReplyBroken):
            await self.deliver(may_move=True)
