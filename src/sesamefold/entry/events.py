"""Splitting of a stream of server-sent events at event boundaries."""

import re
import typing as t

from sesamefold import exceptions

# A blank line ends an event.
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Size of an event above which the stream counts as malformed. Events of
# engines hold a few tokens.
MAX_EVENT_BYTES = 256 * 1024
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventBuffer:
    """Reassembles the chunks of a stream into whole events.

    A server may fail in the middle of an event. Only whole events are passed
    to the caller, so that the stream can be resumed after the last of them.

        buffer = EventBuffer()
        whole = buffer.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        # whole == b"id: 1\\ndata: a\\n\\n", buffer.last_event_id == "1"
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_event_id: t.Optional[str] = None

    @property
    def partial(self) -> bytes:
        """Return the bytes received after the last whole event."""
        return self._partial

    def finish(self) -> bytes:
        """Return blank lines behind the last event, at the stream's end.

        Raises `exceptions.ReplyBroken` if the stream ends within an event.
        """
        if self._partial.strip(b"\r\n"):
            raise exceptions.ReplyBroken("the stream ends within an event")
        rest, self._partial = self._partial, b""
        return rest

    def feed(self, data: bytes) -> bytes:
        """Add a chunk and return the events that it completes, else b"".

        Raises `exceptions.ReplyBroken` for an event that is too large.
        """
        data = self._partial + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        whole, self._partial = data[:end], data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise exceptions.ReplyBroken(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1").strip()
        return whole
