"""Structured log of decisions, bounded and non-blocking."""

import asyncio
import collections
import json
import os
import time
import typing as t

# Lines queued for standard output. Further lines are dropped and counted.
MAX_QUEUED_LINES = 2000
FLUSH_INTERVAL_SECONDS = 0.2
# Lines a second of one event. Further lines are dropped and counted.
MAX_EVENT_LINES_PER_SECOND = 100


class DecisionLog:
    """Log with one JSON line for each decision.

    Lines are queued and written to a non-blocking file descriptor, so that no
    request is delayed when the reader of standard output stalls. Lines are
    dropped while the queue is full or their event exceeds its rate; the next
    line that is written has the number of dropped lines.

        log = DecisionLog(1, "front-1")
        log.write("sent", request="9c41", server="i-7f", left=0.02)
    """

    def __init__(
        self,
        descriptor: int,
        host: str,
        clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._descriptor = descriptor
        self._host = host
        self._clock = clock
        self._queue: t.Deque[bytes] = collections.deque()
        self._unwritten = b""
        self._current_second = 0
        self._event_counts: t.Counter[str] = collections.Counter()
        self.dropped = 0

    def write(self, event: str, **fields: t.Any) -> None:
        """Queue one line with the fields that are not None."""
        now = self._clock()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._event_counts.clear()
        self._event_counts[event] += 1
        queue_full = len(self._queue) >= MAX_QUEUED_LINES
        if (
            queue_full
            or self._event_counts[event] > MAX_EVENT_LINES_PER_SECOND
        ):
            self.dropped += 1
            return
        line = {"time": round(now, 3), "host": self._host, "event": event}
        line.update((k, v) for k, v in fields.items() if v is not None)
        if self.dropped:
            line["dropped_lines"], self.dropped = self.dropped, 0
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._queue.append(text.encode() + b"\n")

    def flush(self) -> None:
        """Write as much as possible without blocking and keep the rest."""
        data = self._unwritten + b"".join(self._queue)
        self._queue.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        self._unwritten = data[written:]

    async def run(self) -> None:
        """Flush until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()
