"""Splitting of a stream of server-sent events at event boundaries."""

import typing as t

from sesamefold import exceptions

# Size of an event, and bytes since the last event with a new id, above which
# the stream counts as malformed. Events of engines hold a few tokens.
MAX_EVENT_BYTES = 256 * 1024
# A blank line ends an event. The line before it may end in any way.
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_ID_FIELD = b"id:"


class EventBuffer:
    """Reassembles the chunks of a stream into whole events.

    A server may fail in the middle of an event. Only whole events are passed
    to the caller, so that the stream can be resumed after the last of them.

        buffer = EventBuffer()
        whole = buffer.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        # whole == b"id: 1\\ndata: a\\n\\n", buffer.last_event_id == "1"

    The event loop serves no other request while a chunk is split, so that no
    step is taken for each line or event: a faulty server may send blank lines
    as fast as its connection takes them.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._idle_bytes = 0
        self.last_event_id: t.Optional[str] = None

    def count_partial_bytes(self) -> int:
        """Return the number of bytes after the last whole event."""
        return len(self._partial)

    def finish(self) -> bytes:
        """Return blank lines behind the last event, at the stream's end.

        Raises `exceptions.ReplyBroken` if the stream ends within an event.
        """
        if self._partial.strip(b"\r\n"):
            raise exceptions.ReplyBroken("the stream ends within an event")
        rest = bytes(self._partial)
        self._partial.clear()
        return rest

    def feed(self, data: bytes) -> bytes:
        """Add a chunk and return the events that it completes, else b"".

        Raises `exceptions.ReplyBroken` for an event that is too large, and
        for too many bytes without an event that has a new id.
        """
        # The end of an event may have begun in the chunk before.
        searched = max(0, len(self._partial) - max(map(len, _EVENT_ENDS)))
        self._partial += data
        end = max(
            (
                position + len(mark)
                for mark in _EVENT_ENDS
                if (position := self._partial.rfind(mark, searched)) >= 0
            ),
            default=0,
        )
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        event_id = _find_last_id(whole)
        if event_id is None or event_id == self.last_event_id:
            self._idle_bytes += len(data)
        else:
            self.last_event_id = event_id
            self._idle_bytes = len(self._partial)
        if self._idle_bytes > MAX_EVENT_BYTES:
            raise exceptions.ReplyBroken(
                f"{MAX_EVENT_BYTES} bytes lead to no event with a new id"
            )
        return whole


def _find_last_id(whole_events: bytes) -> t.Optional[str]:
    """Return the id in the last line that has one, None without one."""
    start = whole_events.rfind(b"\n" + _ID_FIELD) + 1
    if not whole_events.startswith(_ID_FIELD, start):
        return None
    line, *_ = whole_events[start:].split(b"\n", 1)
    return line[len(_ID_FIELD) :].decode("latin-1").strip()
