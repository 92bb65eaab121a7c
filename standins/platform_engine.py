"""Stand-in of the users' engines and plain services."""

import asyncio
import socket
import struct
import time
import typing as t

from aiohttp import web
import attrs
import multidict

from standins import engine_memory
from standins import platform_cache

SEAL = "3e1b.07.5a2"


@attrs.frozen
class Run:
    """A request that a server began to work on."""

    request_id: str
    method: str
    target: str
    headers: t.Mapping[str, str]
    body: bytes


@attrs.define
class PlatformEngine:
    """A server whose next answers a test chooses.

    `faults` are taken one for each request, in their order: "refuse" (not
    run), "misdirect" (another instance), "reset" (run, no answer), "fail"
    (run, status 500), "foreign" (the answer of another request), "unsealed",
    "cut" (a stream broken after its first event), "cut-unframed" (a body
    without a length that is reset), "late" (answers after a second). An event
    of a stream takes `event_seconds`. The next `orders_to_ignore` orders get
    no
    answer and no effect. With a `memory`, streams take the time and space
    that it says, and context comes from and goes to `stores`, by address.
    The context of `isolated` customers is apart.
    """

    id: str
    events: int = 3
    faults: t.List[str] = attrs.field(factory=list)
    runs: t.List[Run] = attrs.field(factory=list)
    cancelled_requests: int = 0
    weights: t.Dict[str, int] = attrs.field(factory=dict)
    orders: t.List[t.Dict[str, t.Any]] = attrs.field(factory=list)
    lose_order_answers: bool = False
    orders_to_ignore: int = 0
    event_seconds: float = 0.0
    keep_runs: bool = True
    memory: t.Optional[engine_memory.Engine] = None
    stores: t.Dict[str, platform_cache.ManagedStore] = attrs.field(
        factory=dict
    )
    isolated: t.Container[str] = ()
    _tasks: t.Set["asyncio.Task[t.Any]"] = attrs.field(factory=set)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == "/report":
            return self._report()
        if request.path == "/order":
            return await self._order(request)
        if self.memory is not None and request.path == "/kv-events":
            since = int(request.query["since"])
            body = await platform_cache.wait_for_events(
                self.memory, since, request
            )
            return web.json_response({**body, "boot_epoch": self.memory.epoch})
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "misdirect" or not self._is_meant(request):
            return web.Response(status=421)
        if fault == "refuse":
            return web.Response(
                status=503, headers={"Sesamefold-Not-Executed": "1"}
            )
        return await self._run(request, fault)

    def _is_meant(self, request: web.BaseRequest) -> bool:
        """Tell whether a request is for this server and its weights."""
        headers = request.headers
        version = headers.get("Sesamefold-Expect-Version")
        weights = self.weights.get(headers.get("Sesamefold-Model", ""))
        return headers.get("Sesamefold-Expect-Instance") == self.id and (
            version in (None, str(weights))
        )

    async def _run(
        self, request: web.BaseRequest, fault: str
    ) -> web.StreamResponse:
        request_id = request.headers["Sesamefold-Request-Id"]
        run = Run(
            request_id,
            request.method,
            request.raw_path,
            multidict.CIMultiDict(request.headers),
            await request.read(),
        )
        if self.keep_runs:
            self.runs.append(run)
        if fault == "late":
            try:
                await asyncio.sleep(1.0)
            except asyncio.CancelledError:
                self.cancelled_requests += 1
                raise
        if fault == "reset":
            self._abort(request)
        headers = {
            "Sesamefold-Request-Id": (
                "another" if fault == "foreign" else request_id
            )
        }
        if fault != "unsealed":
            headers["Sesamefold-Response-Seal"] = SEAL
        if fault == "fail":
            return web.Response(status=500, headers=headers, body=b"failed")
        if "Sesamefold-Model" in request.headers and self.memory is not None:
            try:
                return await self._generate(
                    request, headers, self.memory, fault
                )
            except engine_memory.Full:
                # A request that is not admitted is no run.
                self.runs = [r for r in self.runs if r is not run]
                return web.Response(
                    status=503, headers={"Sesamefold-Not-Executed": "1"}
                )
        if "Sesamefold-Model" in request.headers:
            return await self._stream(request, headers, fault)
        if fault == "cut-unframed":
            return await self._send_unframed(request, headers)
        return web.Response(headers=headers, body=b"answer")

    async def _stream(
        self, request: web.BaseRequest, headers: t.Dict[str, str], fault: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events + 1):
            if self.event_seconds:
                await asyncio.sleep(self.event_seconds)
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            if fault == "cut":
                await response.write(b"id: 99\nda")
                await asyncio.sleep(0.05)
                self._abort(request)
        await response.write_eof()
        return response

    async def _generate(
        self,
        request: web.BaseRequest,
        headers: t.Dict[str, str],
        memory: engine_memory.Engine,
        fault: str,
    ) -> web.StreamResponse:
        """Answer from a run in the memory.

        Raises `engine_memory.Full` for a request that is not admitted.
        """
        prompt = self._make_prompt(request.headers)
        await self._fetch(request.headers, prompt, memory)
        try:
            made = int(request.headers.get("Last-Event-Id", "0"))
            run = memory.submit(prompt, made)
        except ConnectionResetError:
            self._abort(request)
        running, waiting = len(memory.running), len(memory.waiting)
        response = web.StreamResponse(
            headers={
                **headers,
                "Content-Type": "text/event-stream",
                "Sesamefold-Server-Load": (
                    f"{running},{waiting},{memory.traits.slots}"
                ),
            }
        )
        try:
            while number := await run.tokens.get():
                if number < 0:
                    self._abort(request)
                if not response.prepared:
                    await response.prepare(request)
                    self._save(request.headers, prompt)
                await response.write(f"id: {number}\ndata: x\n\n".encode())
                if fault == "cut":
                    await response.write(b"id: 99\nda")
                    await asyncio.sleep(0.05)
                    self._abort(request)
        finally:
            memory.leave(run)
        await response.write_eof()
        return response

    def _make_prompt(
        self, headers: t.Mapping[str, str]
    ) -> engine_memory.Prompt:
        prompt = parse_prompt(headers)
        customer = headers.get("Sesamefold-Tenant-Name", "")
        owner = customer if customer in self.isolated else ""
        origin = f"{self.weights.get(prompt.model)}/{owner}"
        return attrs.evolve(prompt, origin=origin)

    async def _fetch(
        self,
        headers: t.Mapping[str, str],
        prompt: engine_memory.Prompt,
        memory: engine_memory.Engine,
    ) -> None:
        """Fetch the parts that a header names and the memory lacks."""
        until = int(headers.get("Sesamefold-Kv-Until", "0")) / 1000.0
        sources = headers.get("Sesamefold-Kv-Fetch", "").split(",")
        for key, source in zip(prompt.list_keys(), sources):
            store = self.stores.get(source.partition("/")[0])
            if store is None or key in memory.cached:
                continue
            tokens = await store.fetch(key, until or time.time() + 60.0)
            if tokens:
                memory.hold(key, tokens, store.origins[key])

    def _save(
        self, headers: t.Mapping[str, str], prompt: engine_memory.Prompt
    ) -> None:
        """Send the parts that a header names to their stores."""
        targets = headers.get("Sesamefold-Kv-Save", "").split(",")
        for key, part, target in zip(
            prompt.list_keys(), prompt.parts, targets
        ):
            store = self.stores.get(target)
            if store is not None:
                self._spawn(store.save(key, part[1], prompt.origin))

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(
        self, memory: engine_memory.Engine, model: str, version: int
    ) -> None:
        await memory.load(model, version)
        self.weights[model] = version

    async def _send_unframed(
        self, request: web.BaseRequest, headers: t.Dict[str, str]
    ) -> web.StreamResponse:
        assert request.transport is not None
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        head = "\r\n".join([*lines, "Connection: close", "", ""])
        t.cast(asyncio.Transport, request.transport).write(
            head.encode() + b"ans"
        )
        await asyncio.sleep(0.05)
        self._abort(request)
        return web.Response()

    def _abort(self, request: web.BaseRequest) -> t.NoReturn:
        """Reset the connection."""
        assert request.transport is not None
        connection = request.transport.get_extra_info("socket")
        # Without lingering, a close sends a reset.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        t.cast(asyncio.Transport, request.transport).abort()
        raise asyncio.CancelledError()

    def _report(self) -> web.Response:
        return web.json_response(
            {
                "models": [
                    {"name": name, "version": version, "adapters": []}
                    for name, version in self.weights.items()
                ],
                "busy": self.memory is not None and self.memory.loading,
                "seq": len(self.orders),
            }
        )

    async def _order(self, request: web.BaseRequest) -> web.StreamResponse:
        order = await request.json()
        if self.orders_to_ignore:
            self.orders_to_ignore -= 1
            await asyncio.sleep(30.0)
        busy = self.memory is not None and self.memory.loading
        if busy or order.get("expected") != len(self.orders):
            return web.Response(status=409)
        self.orders.append(order)
        if self.memory is not None:
            self._spawn(
                self._load(self.memory, order["model"], order["version"])
            )
        else:
            self.weights[order["model"]] = order["version"]
        if self.lose_order_answers:
            self._abort(request)
        return web.Response(status=202)


def parse_prompt(headers: t.Mapping[str, str]) -> engine_memory.Prompt:
    """Return the prompt that the headers of a request describe."""
    size, output = (
        int(n) for n in headers["Sesamefold-Token-Usage"].split(",")
    )
    entries = [
        entry.partition(":")
        for entry in headers.get("Sesamefold-Prompt-Prefix", "").split(",")
        if entry
    ]
    # The last part belongs to the request alone.
    parts = tuple((part, int(tokens)) for part, _, tokens in entries[:-1])
    return engine_memory.Prompt(
        model=headers["Sesamefold-Model"],
        salt=headers.get("Sesamefold-Cache-Salt", ""),
        parts=parts,
        own_tokens=size - sum(tokens for _, tokens in parts),
        output_tokens=output,
        priority=int(headers.get("Sesamefold-Request-Priority", "5")),
    )
