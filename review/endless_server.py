"""Stand-in of a server in trouble that sends bytes without end.

    python3 endless_server.py PORT FLOOD_FILE KIND BYTES_PER_SECOND

It keeps requests waiting until the file FLOOD_FILE exists. Then it sends on
each connection, until the caller closes, bytes that are no answer: with KIND
"head" interim responses that no final one follows, with KIND "body" a stream
whose body holds only blank lines. With KIND "none" it sends a sound answer.
BYTES_PER_SECOND is the rate on each connection, 0 for no limit. It prints a
line for each request and each connection that the caller has closed.
"""

import asyncio
import pathlib
import sys
import time
import typing as t

INTERIM = b"HTTP/1.1 100\r\n\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\nSesamefold-Request-Id: %s\r\n"
    b"Sesamefold-Response-Seal: 3e1b.07.5a2\r\n"
    b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 9))
ANSWER = (
    b"HTTP/1.1 200 OK\r\nSesamefold-Request-Id: %s\r\n"
    b"Sesamefold-Response-Seal: 3e1b.07.5a2\r\nContent-Length: 2\r\n\r\nok"
)
PIECE_BYTES = 128 * 1024
POLL_SECONDS = 0.02


async def serve(
    kind: str,
    rate: int,
    flood: pathlib.Path,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve the requests of one connection."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = {
                name.strip().lower(): value.strip()
                for name, _, value in (
                    line.partition(b":") for line in head.split(b"\r\n")[1:]
                )
            }
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
            print("request", flush=True)
            request_id = fields.get(b"sesamefold-request-id", b"")
            while not flood.exists():
                await asyncio.sleep(POLL_SECONDS)
            if kind == "none":
                is_stream = b" /stream/" in head.split(b"\r\n")[0]
                writer.write(
                    STREAM % request_id + EVENTS
                    if is_stream
                    else ANSWER % request_id
                )
                await writer.drain()
                if is_stream:
                    return
                continue
            start, unit = b"", INTERIM
            if kind == "body":
                start, unit = STREAM % request_id, b"\n"
            writer.write(start)
            piece = unit * (PIECE_BYTES // len(unit))
            began_at, sent = time.monotonic(), 0
            while True:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                if rate:
                    due = began_at + sent / rate - time.monotonic()
                    await asyncio.sleep(max(0.0, due))
    except (OSError, asyncio.IncompleteReadError):
        print("closed", flush=True)
    finally:
        writer.close()


async def main(arguments: t.Sequence[str]) -> None:
    """Serve until the process is ended."""
    port, flood, kind = int(arguments[0]), arguments[1], arguments[2]
    rate = int(arguments[3])

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await serve(kind, rate, pathlib.Path(flood), reader, writer)

    server = await asyncio.start_server(handle, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
