"""Structured log of decisions, bounded and never blocking."""

import asyncio
import collections
import json
import os
import time
import typing as t

# Lines that wait for standard output; more are dropped and counted.
QUEUE_LINES = 2000
# Time between two writes of the waiting lines, seconds.
FLUSH_INTERVAL = 0.2
# Lines a second that one event may write; the rest is counted.
EVENT_LINES_PER_SECOND = 100


class DecisionLog:
    """Writes one JSON line for each decision.

    Lines are queued and written to a non-blocking descriptor, so that a
    reader of standard output that stops delays no request. Lines that find
    the queue full, or their event above its rate, are dropped; the number
    of dropped lines is written with the next line.

        log = DecisionLog(1, "front-1")
        log.write("placed", request="9c41", server="i-7f", waited=0.02)
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
        self._lines: t.Deque[bytes] = collections.deque()
        self._pending = b""
        self._window = 0
        self._counts: t.Counter[str] = collections.Counter()
        self.dropped = 0

    def write(self, event: str, **fields: t.Any) -> None:
        """Queue one line."""
        now = self._clock()
        if int(now) != self._window:
            self._window = int(now)
            self._counts.clear()
        self._counts[event] += 1
        full = len(self._lines) >= QUEUE_LINES
        if full or self._counts[event] > EVENT_LINES_PER_SECOND:
            self.dropped += 1
            return
        line = {"time": round(now, 3), "host": self._host, "event": event}
        line.update((k, v) for k, v in fields.items() if v is not None)
        if self.dropped:
            line["dropped_lines"], self.dropped = self.dropped, 0
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._lines.append(text.encode() + b"\n")

    def flush(self) -> None:
        """Write what standard output takes without blocking."""
        data = self._pending + b"".join(self._lines)
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        self._pending = data[written:]

    async def run(self) -> None:
        """Flush until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL)
            self.flush()
