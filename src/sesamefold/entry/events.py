"""Events of a stream, cut at their boundaries."""

import re
import typing as t

# A blank line ends an event.
_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventBuffer:
    """Collects the bytes of a stream into whole events.

    A server may stop in the middle of an event; only whole events go on to
    the caller, so that the stream can be resumed after the last one.

        buffer = EventBuffer()
        whole = buffer.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        # whole == b"id: 1\\ndata: a\\n\\n", buffer.last_id == "1"
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_event_id: t.Optional[str] = None

    @property
    def partial(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the whole events, b"" if there are none yet."""
        data = self._partial + data
        end = 0
        for match in _BOUNDARY.finditer(data):
            end = match.end()
        whole, self._partial = data[:end], data[end:]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1").strip()
        return whole
