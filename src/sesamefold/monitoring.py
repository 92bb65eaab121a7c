"""HTTP server for metrics and health of the control daemon."""

import asyncio
import contextlib
import json
import typing as t

import prometheus_client

# Limits of one request: header bytes, and seconds until it is answered.
_MAX_HEADER_BYTES = 16 * 1024
_SECONDS = 5.0

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class MonitoringServer:
    """Answers GET and HEAD of `/metrics`, `/healthz` and `/readyz`.

    `list_missing` returns what the daemon lacks to be ready. Each connection
    serves one request. The server of aiohttp would add 2 MB to the resident
    memory of the daemon, which needs only these three paths.
    """

    def __init__(self, list_missing: t.Callable[[], t.List[str]]) -> None:
        self._list_missing = list_missing
        self._server: t.Optional[asyncio.Server] = None

    async def start(self, address: str) -> str:
        """Listen on `address` and return it with the port in use."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=_MAX_HEADER_BYTES
        )
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_SECONDS):
                try:
                    header = await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    header = b""
                except asyncio.LimitOverrunError:
                    header = b"too long"
                if header:
                    writer.write(self._answer(header))
                    await writer.drain()
        writer.close()

    def _answer(self, header: bytes) -> bytes:
        words = header.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
        method, target = (words + ["", ""])[:2]
        status, kind, body = 400, "text/plain; charset=utf-8", b""
        if len(words) == 3:
            status, kind, body = self._route(method, target.split("?")[0])
        lines = (
            f"HTTP/1.1 {status} {_REASONS[status]}",
            f"Content-Type: {kind}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            "",
            "",
        )
        head = "\r\n".join(lines).encode()
        return head if method == "HEAD" else head + body

    def _route(self, method: str, path: str) -> t.Tuple[int, str, bytes]:
        if method not in ("GET", "HEAD"):
            return 405, "text/plain", b""
        if path == "/metrics":
            return (
                200,
                prometheus_client.CONTENT_TYPE_LATEST,
                prometheus_client.generate_latest(),
            )
        if path == "/healthz":
            return 200, "application/json", b'{"status": "ok"}'
        if path == "/readyz":
            missing = self._list_missing()
            answer = {"ready": not missing, "missing": missing}
            return (
                503 if missing else 200,
                "application/json",
                json.dumps(answer).encode(),
            )
        return 404, "text/plain", b""
