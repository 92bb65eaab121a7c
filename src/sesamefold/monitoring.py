"""HTTP server for metrics and health of the control daemon."""

import asyncio
import contextlib
import json
import typing as t

import prometheus_client

# Size limit of the header of one request.
_MAX_HEADER_BYTES = 16 * 1024
# Time in which one request must be received and answered.
_REQUEST_TIMEOUT_SECONDS = 5.0

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class MonitoringServer:
    """Answers GET and HEAD of `/metrics`, `/healthz` and `/readyz`.

    `list_unmet_conditions` returns the unmet conditions for readiness; the
    daemon is ready when there are none. Each connection serves one request.
    The server of aiohttp would add 2 MB to the resident memory of the daemon,
    which needs only these three paths.
    """

    def __init__(
        self, list_unmet_conditions: t.Callable[[], t.List[str]]
    ) -> None:
        self._list_unmet_conditions = list_unmet_conditions
        self._server: t.Optional[asyncio.Server] = None

    async def start(self, address: str) -> str:
        """Listen on `address` (ip:port); return it with the actual port."""
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
            async with asyncio.timeout(_REQUEST_TIMEOUT_SECONDS):
                try:
                    header = await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    header = b""
                except asyncio.LimitOverrunError:
                    header = b"too long"
                if header:
                    writer.write(self._build_response(header))
                    await writer.drain()
        writer.close()

    def _build_response(self, header: bytes) -> bytes:
        fields = header.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
        method, target = (fields + ["", ""])[:2]
        status, content_type, body = 400, "text/plain; charset=utf-8", b""
        if len(fields) == 3:
            status, content_type, body = self._route(
                method, target.split("?")[0]
            )
        lines = (
            f"HTTP/1.1 {status} {_REASON_PHRASES[status]}",
            f"Content-Type: {content_type}",
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
            unmet = self._list_unmet_conditions()
            readiness = {"ready": not unmet, "missing": unmet}
            return (
                503 if unmet else 200,
                "application/json",
                json.dumps(readiness).encode(),
            )
        return 404, "text/plain", b""
