"""Stand-in of a backend server that answers with bytes without end.

Run as a process, so that its load is not that of its caller:

    python -m standins.endless_server SEED BYTES_PER_SECOND

It prints its address and then a line for each request that it received. Each
of its answers is a flood that the seed chooses, at most this many bytes a
second on each connection, until the caller closes.
"""

import asyncio
import itertools
import random
import sys
import time
import typing as t

import attrs

_HEAD = (
    "HTTP/1.1 {status}\r\nSesamefold-Request-Id: {{id}}\r\n{fields}"
    "Connection: close\r\n"
)
_SEAL = "Sesamefold-Response-Seal: 3e1b.07.5a2\r\n"
_EVENTS = "Content-Type: text/event-stream\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n"
# Heads with a body behind them; the last is a refusal.
_BODY_HEADS = (
    _HEAD.format(status="200 OK", fields=_SEAL + _EVENTS),
    _HEAD.format(status="200 OK", fields=_SEAL),
    _HEAD.format(status="500 Failed", fields=_SEAL),
    _HEAD.format(status="503 Full", fields="Sesamefold-Not-Executed: 1\r\n"),
)
# Parts of a body; "{n}" is a number that rises.
_BODY_PARTS = (
    "\n",
    "\r\n",
    ":\n",
    ": comment\n\n",
    "data: x\n",
    "data: x\n\n",
    "id: 1\n\n",
    "id: {n}\ndata: x\n\n",
    "x",
)
# Size of what is written at a time.
_PIECE_BYTES = 64 * 1024


@attrs.frozen
class Flood:
    """An answer without end: its begin, and what is repeated behind it.

    `begin` may contain "{id}", the id of the request. With `chunk_bytes`, the
    units are sent in chunks of this size, with `extension` behind the size.
    """

    place: str
    begin: str
    unit: str
    chunk_bytes: int = 0
    extension: str = ""

    def describe(self) -> str:
        """Return a short name of the kind of flood."""
        chunks = f" in chunks of {self.chunk_bytes}" * bool(self.chunk_bytes)
        status = self.begin[9:12] or "no status"
        return f"{self.place}, {status}, {self.unit[:40]!r}{chunks}"

    def iterate_pieces(self) -> t.Iterator[bytes]:
        """Yield the pieces behind the begin, without end."""
        numbers = itertools.count(1)
        if "{n}" not in self.unit:
            yield from itertools.repeat(self._make_piece(numbers))
        while True:
            yield self._make_piece(numbers)

    def _make_piece(self, numbers: t.Iterator[int]) -> bytes:
        count = max(1, _PIECE_BYTES // len(self.unit))
        text = "".join(
            self.unit.replace("{n}", str(next(numbers))) for _ in range(count)
        )
        return (self._frame(text) if self.chunk_bytes else text).encode()

    def _frame(self, text: str) -> str:
        size = self.chunk_bytes
        return "".join(
            f"{len(chunk):x}{self.extension}\r\n{chunk}\r\n"
            for start in range(0, len(text), size)
            for chunk in [text[start : start + size]]
        )


def generate_flood(seed: int) -> Flood:
    """Return the flood of a seed."""
    rng = random.Random(seed)
    place = rng.choice(("interim", "head", "body", "chunks", "chunks"))
    fields = "".join(
        f"{'X' * rng.randint(1, 9)}: {'y' * rng.choice((0, 1, 30))}\r\n"
        for _ in range(rng.choice((0, 0, 1, 3)))
    )
    if place == "interim":
        status = rng.choice((100, 102, 103))
        return Flood(place, "", f"HTTP/1.1 {status}\r\n{fields}\r\n")
    if place == "head":
        unit = rng.choice(("x", "X: y\r\n", fields or "X:\r\n"))
        return Flood(place, "HTTP/1.1 200 OK\r\n", unit)
    head = rng.choice(_BODY_HEADS)
    unit = "".join(rng.choices(_BODY_PARTS, k=rng.choice((1, 1, 2, 3))))
    if place == "body":
        return Flood(place, f"{head}\r\n", unit)
    return Flood(
        place,
        f"{head}{_CHUNKED}\r\n",
        unit,
        rng.choice((1, 2, 5, 20, len(unit), 100)),
        rng.choice(("", "", ";x", ";name=value")),
    )


async def _serve(
    flood: Flood,
    bytes_per_second: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Read the head of a request and answer with the flood."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(
            line.lower().split(": ", 1) for line in head.splitlines()[1:-1]
        )
        request_id = fields["sesamefold-request-id"]
        print(request_id, flush=True)
        writer.write(flood.begin.replace("{id}", request_id).encode())
        began_at, sent = time.monotonic(), 0
        for piece in flood.iterate_pieces():
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            due = began_at + sent / bytes_per_second - time.monotonic()
            await asyncio.sleep(max(0.0, due))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main(seed: int, bytes_per_second: int) -> None:
    """Serve until the process is ended."""
    flood = generate_flood(seed)
    server = await asyncio.start_server(
        lambda *streams: _serve(flood, bytes_per_second, *streams), "127.0.0.1"
    )
    print("%s:%d" % server.sockets[0].getsockname(), flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:])))
