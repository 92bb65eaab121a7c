"""Stand-in of the users' engines and of their services without a model."""

import asyncio
import socket
import struct
import time
import typing as t

from aiohttp import web
import attrs
import multidict

from standins import engine_simulator
from standins import platform_context_store
from standins import silence

RESPONSE_SEAL = "3e1b.07.5a2"
HEALTH_PATH = "/healthz"
# Value of the header `Server-Leaving` of a server that leaves.
LEAVING_VALUE = "1"


@attrs.define
class Run:
    """A request whose execution began on the server.

    `weight_version` is that of the request's model, None without a model,
    `began_at` is in monotonic seconds, and `fault` is what the server does to
    the response. The connection was lost before the response was complete at
    `abandoned_at`, in monotonic seconds.
    """

    request_id: str
    method: str
    target: str
    headers: t.Mapping[str, str]
    body: bytes
    weight_version: t.Optional[int]
    began_at: float
    fault: str = ""
    abandoned_at: float = float("inf")


@attrs.frozen
class Arrival:
    """A request that reached the server, executed or not.

    `at` is in monotonic seconds. `server_id` is the instance that it reached,
    `leaving` whether this instance announced at that time that it leaves, and
    `retry_after` the time for which it then asked for a rest, if it did.
    """

    request_id: str
    at: float
    server_id: str = ""
    leaving: bool = False
    retry_after: t.Optional[str] = None


@attrs.define
class PlatformEngine:
    """A backend server with faults that a test sets.

    Each request takes the next of `faults`: "refuse" (not executed, status
    503), "rest" (the same with `retry_after` as the header `Retry-After`),
    "misdirect" (not executed, status 421, as from another instance),
    "reset" (executed, connection reset without a response), "fail" (executed,
    status 500), "fail-unavailable" (executed, status 503 without the statement
    that it was not), "foreign" (the request ID of another request in the
    response), "unsealed" (no response seal), "cut" (a stream reset after its
    first event), "unframed" (a body with neither a length nor chunks, which
    the close of the connection ends), "cut-unframed" (the same, reset before
    its end), "late" (responds after a second), or "" for none.

    A plain request takes `work_seconds` and is answered with `answer`. It ends
    with status 504 at the deadline that it names, if that is earlier.

    `born` is the Unix time of the server's start in milliseconds. A stream
    sends `stream_events` events, one each `event_seconds`. `runs` are the
    requests that were executed and `arrivals` those that named this instance
    and its weights, unless `keep_runs` is off; `refusals` counts the others.
    `cancelled_requests` counts those cancelled while they waited. The next
    `orders_to_ignore` orders are held for 30 s, longer than callers wait, so
    they get no response and have no effect. With `lose_order_answers`, orders
    are applied and the connection is reset instead of a response.

    Until `silent_until`, in monotonic seconds, no byte leaves the server, on
    any connection; everything else goes on.

    Unless `leaving` is None, all responses carry it as the header
    `Server-Leaving`; `LEAVING_VALUE` announces that the server leaves.

    `on_crash` is called when the server begins to write an answer to a prompt
    with one of `deadly_parts`, or to a body in `deadly_bodies`.

    With a `simulator`, streams take its time and memory, and cached context
    is fetched from and saved to `context_stores`, by address. The context of
    `isolated_customers` is not shared with other customers. The load that it
    reports ends with `slowdown_percent`, which holds at most one figure.
    """

    id: str
    born: int = 1
    stream_events: int = 3
    faults: t.List[str] = attrs.field(factory=list)
    runs: t.List[Run] = attrs.field(factory=list)
    arrivals: t.List[Arrival] = attrs.field(factory=list)
    leaving: t.Optional[str] = None
    retry_after: str = "2"
    cancelled_requests: int = 0
    refusals: int = 0
    weights: t.Dict[str, int] = attrs.field(factory=dict)
    orders: t.List[t.Dict[str, t.Any]] = attrs.field(factory=list)
    lose_order_answers: bool = False
    orders_to_ignore: int = 0
    event_seconds: float = 0.0
    work_seconds: float = 0.0
    answer: bytes = b"answer"
    silent_until: float = 0.0
    keep_runs: bool = True
    deadly_parts: t.Set[str] = attrs.field(factory=set)
    deadly_bodies: t.Set[bytes] = attrs.field(factory=set)
    on_crash: t.Callable[[], None] = lambda: None
    simulator: t.Optional[engine_simulator.EngineSimulator] = None
    context_stores: t.Dict[str, platform_context_store.ContextStore] = (
        attrs.field(factory=dict)
    )
    isolated_customers: t.Container[str] = ()
    slowdown_percent: t.Sequence[int] = ()
    _tasks: t.Set["asyncio.Task[t.Any]"] = attrs.field(factory=set)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        silence.silence_connection(request, lambda: self.silent_until)
        response = await self._answer(request)
        if not response.prepared:
            response.headers.update(self._make_notice())
        return response

    def _make_notice(self) -> t.Dict[str, str]:
        """Return the header that announces that the server leaves."""
        return {} if self.leaving is None else {"Server-Leaving": self.leaving}

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == HEALTH_PATH:
            return self._answer_health_check()
        if request.path == "/report":
            return self._answer_report()
        if request.path == "/order":
            return await self._answer_order(request)
        if self.simulator is not None and request.path == "/kv-events":
            since = int(request.query["since"])
            body = await platform_context_store.wait_for_events(
                self.simulator, since, request
            )
            return web.json_response(
                {**body, "boot_epoch": self.simulator.boot_epoch}
            )
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "misdirect" or not self._has_expected_target(request):
            self.refusals += 1
            refusal = _make_refusal(request, 421)
            refusal.headers["Sesamefold-Instance-Id"] = (
                "another" if fault == "misdirect" else self.id
            )
            return refusal
        retry_after = self.retry_after if fault == "rest" else None
        if self.keep_runs:
            self.arrivals.append(
                Arrival(
                    request.headers["Sesamefold-Request-Id"],
                    time.monotonic(),
                    self.id,
                    self.leaving == LEAVING_VALUE,
                    retry_after,
                )
            )
        if fault in ("refuse", "rest"):
            refusal = _make_refusal(request, 503)
            if retry_after is not None:
                refusal.headers["Retry-After"] = retry_after
            return refusal
        return await self._execute(request, fault)

    def _has_expected_target(self, request: web.BaseRequest) -> bool:
        """Return whether a request names this instance and its weights."""
        headers = request.headers
        version = headers.get("Sesamefold-Expect-Version")
        weights = self.weights.get(headers.get("Sesamefold-Model", ""))
        return headers.get("Sesamefold-Expect-Instance") == self.id and (
            version in (None, str(weights))
        )

    async def _execute(
        self, request: web.BaseRequest, fault: str
    ) -> web.StreamResponse:
        run = Run(
            request.headers["Sesamefold-Request-Id"],
            request.method,
            request.raw_path,
            multidict.CIMultiDict(request.headers),
            await request.read(),
            self.weights.get(request.headers.get("Sesamefold-Model", "")),
            time.monotonic(),
            fault,
        )
        if self.keep_runs:
            self.runs.append(run)
        try:
            response = await self._respond(request, run, fault)
            # The response is complete once its last byte may leave.
            while (silence := self.silent_until - time.monotonic()) > 0:
                await self._sleep_unless_cancelled(silence)
            return response
        except asyncio.CancelledError:
            run.abandoned_at = time.monotonic()
            raise

    async def _respond(
        self, request: web.BaseRequest, run: Run, fault: str
    ) -> web.StreamResponse:
        if self._is_deadly(run):
            await self._sleep_unless_cancelled(self.event_seconds)
            self.on_crash()
            self._reset_connection(request)
        if fault == "late":
            await self._sleep_unless_cancelled(1.0)
        if fault == "reset":
            self._reset_connection(request)
        headers = {
            "Sesamefold-Request-Id": (
                "another" if fault == "foreign" else run.request_id
            ),
            **self._make_notice(),
        }
        if fault != "unsealed":
            headers["Sesamefold-Response-Seal"] = RESPONSE_SEAL
        if fault in ("fail", "fail-unavailable"):
            status = 500 if fault == "fail" else 503
            return web.Response(status=status, headers=headers, body=b"failed")
        if fault in ("unframed", "cut-unframed"):
            return await self._send_unframed(request, headers, fault)
        if (
            "Sesamefold-Model" in request.headers
            and self.simulator is not None
        ):
            try:
                return await self._stream_simulated_tokens(
                    request, headers, self.simulator, fault
                )
            except engine_simulator.AdmissionError:
                # A request that was not admitted was not executed.
                self.runs = [r for r in self.runs if r is not run]
                return _make_refusal(request, 503)
        if "Sesamefold-Model" in request.headers:
            return await self._stream_fixed_events(request, headers, fault)
        left = float(request.headers["Sesamefold-Deadline-Ms"]) / 1000.0
        await self._sleep_unless_cancelled(min(self.work_seconds, left))
        if left < self.work_seconds:
            return web.Response(status=504, headers=headers, body=b"late")
        return web.Response(headers=headers, body=self.answer)

    def _is_deadly(self, run: Run) -> bool:
        """Return whether the server crashes as it answers a request."""
        if run.body in self.deadly_bodies:
            return True
        if "Sesamefold-Model" not in run.headers or not self.deadly_parts:
            return False
        parts = parse_prompt(run.headers).shared_parts
        return any(part_id in self.deadly_parts for part_id, _ in parts)

    async def _sleep_unless_cancelled(self, seconds: float) -> None:
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled_requests += 1
            raise

    async def _stream_fixed_events(
        self, request: web.BaseRequest, headers: t.Dict[str, str], fault: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.stream_events + 1):
            if self.event_seconds:
                await self._sleep_unless_cancelled(self.event_seconds)
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            if fault == "cut":
                await response.write(b"id: 99\nda")
                await asyncio.sleep(0.05)
                self._reset_connection(request)
        await response.write_eof()
        return response

    async def _stream_simulated_tokens(
        self,
        request: web.BaseRequest,
        headers: t.Dict[str, str],
        simulator: engine_simulator.EngineSimulator,
        fault: str,
    ) -> web.StreamResponse:
        """Stream the tokens that the simulator generates.

        Raises `engine_simulator.AdmissionError` if it does not admit the
        request.
        """
        prompt = self._parse_scoped_prompt(request.headers)
        await self._fetch_parts(request.headers, prompt, simulator)
        try:
            generated_tokens = int(request.headers.get("Last-Event-Id", "0"))
            simulated = simulator.submit(prompt, generated_tokens)
        except ConnectionResetError:
            self._reset_connection(request)
        running, waiting = len(simulator.running), len(simulator.waiting)
        response = web.StreamResponse(
            headers={
                **headers,
                "Content-Type": "text/event-stream",
                "Sesamefold-Server-Load": ",".join(
                    map(
                        str,
                        (
                            running,
                            waiting,
                            simulator.options.slots,
                            *self.slowdown_percent,
                        ),
                    )
                ),
            }
        )
        try:
            while number := await simulated.token_queue.get():
                if number < 0:
                    self._reset_connection(request)
                if not response.prepared:
                    await response.prepare(request)
                    self._save_parts(request.headers, prompt)
                await response.write(f"id: {number}\ndata: x\n\n".encode())
                if fault == "cut":
                    await response.write(b"id: 99\nda")
                    await asyncio.sleep(0.05)
                    self._reset_connection(request)
        finally:
            simulator.remove(simulated)
        await response.write_eof()
        return response

    def _parse_scoped_prompt(
        self, headers: t.Mapping[str, str]
    ) -> engine_simulator.Prompt:
        prompt = parse_prompt(headers)
        customer = headers.get("Sesamefold-Tenant-Name", "")
        owner = customer if customer in self.isolated_customers else ""
        origin = f"{self.weights.get(prompt.model)}/{owner}"
        return attrs.evolve(prompt, origin=origin)

    async def _fetch_parts(
        self,
        headers: t.Mapping[str, str],
        prompt: engine_simulator.Prompt,
        simulator: engine_simulator.EngineSimulator,
    ) -> None:
        """Fetch the parts that a header names and that are not cached."""
        deadline = int(headers.get("Sesamefold-Kv-Until", "0")) / 1000.0
        sources = headers.get("Sesamefold-Kv-Fetch", "").split(",")
        for key, source in zip(prompt.list_keys(), sources):
            store = self.context_stores.get(source.partition("/")[0])
            if store is None or key in simulator.cached:
                continue
            tokens = await store.fetch(key, deadline or time.time() + 60.0)
            if tokens:
                simulator.cache_part(key, tokens, store.origins[key])

    def _save_parts(
        self, headers: t.Mapping[str, str], prompt: engine_simulator.Prompt
    ) -> None:
        """Start saving the parts that a header names to their stores."""
        targets = headers.get("Sesamefold-Kv-Save", "").split(",")
        for key, part, target in zip(
            prompt.list_keys(), prompt.shared_parts, targets
        ):
            store = self.context_stores.get(target)
            if store is not None:
                self._start_task(store.save(key, part[1], prompt.origin))

    def _start_task(self, coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load_weights(
        self,
        simulator: engine_simulator.EngineSimulator,
        model: str,
        version: int,
    ) -> None:
        await simulator.load_weights(model, version)
        self.weights[model] = version

    async def _send_unframed(
        self, request: web.BaseRequest, headers: t.Dict[str, str], fault: str
    ) -> t.NoReturn:
        """Send a body that its connection ends, or a part of one."""
        pieces = [self.answer[:3], self.answer[3:]]
        if "Sesamefold-Model" in request.headers:
            headers["Content-Type"] = "text/event-stream"
            first = int(request.headers.get("Last-Event-Id", "0")) + 1
            pieces = [
                f"id: {number}\ndata: x\n\n".encode()
                for number in range(first, self.stream_events + 1)
            ]
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        head = "\r\n".join([*lines, "Connection: close", "", ""])
        connection = t.cast(asyncio.Transport, request.transport)
        connection.write(head.encode())
        for piece in pieces[:1] if fault == "cut-unframed" else pieces:
            connection.write(piece)
            await self._sleep_unless_cancelled(self.event_seconds)
        if fault == "cut-unframed":
            await asyncio.sleep(0.05)
            self._reset_connection(request)
        connection.close()
        raise asyncio.CancelledError()

    def _reset_connection(self, request: web.BaseRequest) -> t.NoReturn:
        """Reset the connection and cancel the handler."""
        assert request.transport is not None
        connection = request.transport.get_extra_info("socket")
        # With a linger time of 0, closing the socket sends a reset.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        t.cast(asyncio.Transport, request.transport).abort()
        raise asyncio.CancelledError()

    def _answer_health_check(self) -> web.Response:
        return web.Response(
            status=503 if self.leaving == LEAVING_VALUE else 200,
            headers={"Sesamefold-Instance-Id": self.id},
        )

    def _answer_report(self) -> web.Response:
        return web.json_response(
            {
                "models": [
                    {"name": name, "version": version, "adapters": []}
                    for name, version in self.weights.items()
                ],
                "busy": self.simulator is not None and self.simulator.loading,
                "seq": len(self.orders),
                "born": self.born,
            }
        )

    async def _answer_order(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        order = await request.json()
        if self.orders_to_ignore:
            self.orders_to_ignore -= 1
            await asyncio.sleep(30.0)
        busy = self.simulator is not None and self.simulator.loading
        if busy or order.get("expected") != len(self.orders):
            return web.Response(status=409)
        self.orders.append(order)
        if self.simulator is not None:
            self._start_task(
                self._load_weights(
                    self.simulator, order["model"], order["version"]
                )
            )
        else:
            self.weights[order["model"]] = order["version"]
        if self.lose_order_answers:
            self._reset_connection(request)
        return web.Response(status=202)


def _make_refusal(request: web.BaseRequest, status: int) -> web.Response:
    """Return the statement that a request was not executed."""
    return web.Response(
        status=status,
        headers={
            "Sesamefold-Not-Executed": "1",
            "Sesamefold-Request-Id": request.headers["Sesamefold-Request-Id"],
        },
    )


def parse_prompt(headers: t.Mapping[str, str]) -> engine_simulator.Prompt:
    """Return the prompt that the headers of a request describe."""
    size, output = (
        int(n) for n in headers["Sesamefold-Token-Usage"].split(",")
    )
    entries = [
        entry.partition(":")
        for entry in headers.get("Sesamefold-Prompt-Prefix", "").split(",")
        if entry
    ]
    # Only this request uses the last part, so it is not shared.
    parts = tuple((part, int(tokens)) for part, _, tokens in entries[:-1])
    return engine_simulator.Prompt(
        model=headers["Sesamefold-Model"],
        salt=headers.get("Sesamefold-Cache-Salt", ""),
        shared_parts=parts,
        own_tokens=size - sum(tokens for _, tokens in parts),
        output_tokens=output,
        priority=int(headers.get("Sesamefold-Request-Priority", "5")),
    )
