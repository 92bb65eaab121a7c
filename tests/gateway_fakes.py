"""Fake engine and fake control daemon for the tests of the gateway."""

import asyncio
import hashlib
import itertools
import typing as t
import unittest
import unittest.mock
import zlib

import aiohttp
import attrs
import grpc

from sesamefold import configuration
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import gateway
from sesamefold import revisions
from sesamefold import settings
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc

MODEL = configuration.Model("model-a", "v1", block_tokens=4)
TOKENS = {"acme": "token-acme", "other": "token-other"}


def build_token_text(index: int) -> str:
    """Return the text of the token with an index, counted from 1."""
    return f"w{index} "


@attrs.define
class Fault:
    """A fault of one stream of a fake engine, at the token with index `at`.

    `kind` is "refuse", "unreachable", "crash", "disconnect", "wrong request",
    "wrong version", "duplicate", "skip", "hang", "late finish" or "odd
    offset", which no verifier can compare.
    """

    kind: str
    at: int = 1


class FakeEngine:
    """An engine that injects one fault of `faults` into each stream.

    It sends a token every `token_delay_seconds`, and appends `padding` to the
    text of each. A crashed engine refuses all connections, or resets them if
    `resets_connections` is set. `epoch` names its incarnation; a run that is
    meant for another one is refused.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.faults: t.List[Fault] = []
        self.requests: t.List[engines.CompletionRequest] = []
        self.resume_offsets: t.List[int] = []
        self.cancelled: t.List[str] = []
        self.exported: t.List[str] = []
        self.epoch = "1"
        self.crashed = False
        self.resets_connections = False
        self.token_delay_seconds = 0.0
        self.cached_tokens = 0
        self.padding = ""

    def _check_connection(self):
        if self.crashed:
            raise (
                exceptions.BackendFailed("connection reset")
                if self.resets_connections
                else exceptions.BackendUnreachable("connection refused")
            )

    async def complete(self, request):
        fault = self.faults.pop(0) if self.faults else Fault("none")
        self._check_connection()
        if fault.kind == "unreachable":
            raise exceptions.BackendUnreachable("connection refused")
        if fault.kind == "refuse":
            raise exceptions.BackendRefused("not admitted")
        if request.epoch not in ("", self.epoch):
            raise exceptions.BackendRestarted("the engine has restarted")
        self.requests.append(request)
        async for event in self._stream(request, request.offset, fault):
            yield event

    async def resume(self, request_id, offset, deadline):
        self.resume_offsets.append(offset)
        known = {request.request_id: request for request in self.requests}
        self._check_connection()
        if request_id not in known or request_id in self.cancelled:
            raise exceptions.BackendRefused("no such run")
        fault = self.faults.pop(0) if self.faults else Fault("none")
        async for event in self._stream(known[request_id], offset, fault):
            yield event

    async def _stream(self, request, offset, fault):
        yield self._event(request, "started", offset)
        for index in range(offset + 1, request.max_tokens + 1):
            if self.token_delay_seconds:
                await asyncio.sleep(self.token_delay_seconds)
            if index == fault.at and fault.kind in ("crash", "disconnect"):
                self.crashed = fault.kind == "crash"
                raise exceptions.BackendFailed("connection reset")
            if index == fault.at and fault.kind == "hang":
                await asyncio.Event().wait()
            for event in self._distort(request, index, fault):
                yield event
        yield self._event(request, "finished", request.max_tokens)

    def _distort(self, request, index, fault):
        event = self._event(request, "token", index)
        if index != fault.at:
            return [event]
        return {
            "wrong request": [
                attrs.evolve(event, request_id="0" * 32, text="secret "),
                event,
            ],
            "wrong version": [
                attrs.evolve(event, weight_version="v0", text="secret ")
            ],
            "duplicate": [event, event],
            "odd offset": [attrs.evolve(event, offset="x")],
            "skip": [],
        }.get(fault.kind, [event])

    def _event(self, request, kind, offset):
        return engines.TokenEvent(
            kind=kind,
            request_id=request.request_id,
            weight_version=request.weight_version,
            offset=offset,
            text=(
                build_token_text(offset) + self.padding
                if kind == "token"
                else ""
            ),
            finish_reason="length" if kind == "finished" else "",
            prompt_tokens=len(request.prompt.split()),
            cached_tokens=self.cached_tokens,
        )

    async def cancel(self, request_id, deadline):
        self.cancelled.append(request_id)

    async def fetch_load(self, deadline):
        self._check_connection()
        return engines.Load(
            self.epoch, False, False, 0, 0, 8, (), "serve", 0.0
        )

    async def export_blocks(self, blocks, store, deadline):
        self.exported.extend(blocks)
        return [
            engines.ImportBlock(block, store, "g1", 10, "00")
            for block in blocks
        ]


class FakeControl(control_pb2_grpc.ControlServicer):
    """A control daemon that replies with values set by the test.

    It records the requests that it receives. At most `permit_limit` permits
    are granted at a time, and renewed only if `renews_permits` is set. The
    servers in `reserved_servers` run suspects of other gateways, or their
    owner grants nothing until `reservable_at`; answers about them take
    `reservation_delay_seconds`.
    """

    def __init__(self) -> None:
        self.backends: t.Dict[str, control_pb2.BackendState] = {}
        self.changed = asyncio.Event()
        self.status = control_pb2.Status()
        self.configuration = control_pb2.Configuration()
        self.permit_limit = 0
        self.granted: t.List[str] = []
        self.released: t.List[str] = []
        self.renews_permits = True
        self.reserved_servers: t.Set[str] = set()
        self.reservable_at = 0.0
        self.reservation_delay_seconds = 0.0
        self.holders: t.Dict[str, t.List[control_pb2.Holder]] = {}
        self.lookups: t.List[t.Tuple[str, ...]] = []
        self.failed_backends: t.List[str] = []
        self.stored_blocks: t.List[str] = []
        self.decision = control_pb2.BeginCallReply.RUN
        self.outcome = control_pb2.Outcome()
        self.begin_requests: t.List[control_pb2.BeginCallRequest] = []
        self.finish_requests: t.List[control_pb2.FinishCallRequest] = []
        self.begin_error = ""
        self.server: t.Optional[grpc.aio.Server] = None

    async def start(self, address: str = "127.0.0.1:0") -> str:
        self.server = grpc.aio.server()
        control_pb2_grpc.add_ControlServicer_to_server(self, self.server)
        port = self.server.add_insecure_port(address)
        await self.server.start()
        return f"127.0.0.1:{port}"

    def publish(self) -> None:
        """Send the current configuration and states to the gateway."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def WatchConfiguration(self, request, context):  # noqa: N802
        while True:
            changed = self.changed
            yield self.configuration
            await changed.wait()

    async def WatchBackends(self, request, context):  # noqa: N802
        while True:
            changed = self.changed
            yield control_pb2.BackendStates(
                full=True, states=self.backends.values()
            )
            await changed.wait()

    async def GetStatus(self, request, context):  # noqa: N802
        return self.status

    async def AcquirePermit(self, request, context):  # noqa: N802
        if request.exclusive:
            await asyncio.sleep(self.reservation_delay_seconds)
            return control_pb2.Permit(
                id="" if request.backend in self.reserved_servers else "r",
                backend=request.backend,
                deadline=request.deadline + 5,
                retry_at=self.reservable_at,
            )
        if len(self.granted) - len(self.released) >= self.permit_limit:
            return control_pb2.Permit()
        self.granted.append(request.request)
        return control_pb2.Permit(
            id=f"p{len(self.granted)}",
            backend=request.backend,
            deadline=request.deadline + 5,
        )

    async def RenewPermit(self, request, context):  # noqa: N802
        if not self.renews_permits:
            return control_pb2.Permit()
        return control_pb2.Permit(
            id=request.id, backend=request.backend, deadline=2**40
        )

    async def ReleasePermit(self, request, context):  # noqa: N802
        if not request.exclusive:
            self.released.append(request.id)
        return control_pb2.Empty()

    async def LookupBlocks(self, request, context):  # noqa: N802
        self.lookups.append(tuple(request.blocks))
        return control_pb2.LookupBlocksReply(
            entries=[
                control_pb2.BlockEntry(block=b, holders=self.holders[b])
                for b in request.blocks
                if b in self.holders
            ]
        )

    async def ReportBlocks(self, request, context):  # noqa: N802
        self.stored_blocks.extend(entry.block for entry in request.stored)
        return control_pb2.Empty()

    async def ReportFailure(self, request, context):  # noqa: N802
        self.failed_backends.append(request.backend)
        return control_pb2.Empty()

    async def BeginCall(self, request, context):  # noqa: N802
        self.begin_requests.append(request)
        if self.begin_error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, self.begin_error)
        return control_pb2.BeginCallReply(
            decision=self.decision, outcome=self.outcome
        )

    async def FinishCall(self, request, context):  # noqa: N802
        self.finish_requests.append(request)
        return control_pb2.Empty()


def build_message(config: configuration.Configuration):
    """Return the message for a configuration that a control sends."""
    chunks = {
        section: zlib.compress(
            configuration.encode_records(getattr(config, section).values())
        )
        for section in configuration.SECTIONS
    }
    digests = {
        section: hashlib.sha256(data).hexdigest()
        for section, data in chunks.items()
    }
    head = revisions.Head(
        revision=config.revision,
        edit_id="e",
        author="a",
        changed_at=0.0,
        sections={section: (digests[section],) for section in digests},
        regions=("r",),
        policy=attrs.asdict(config.policy),
    )
    return control_pb2.Configuration(
        revision=config.revision,
        head=head.encode(),
        chunks=[
            control_pb2.Chunk(digest=digests[section], data=chunks[section])
            for section in chunks
        ],
    )


def build_configuration(
    revision: int = 1,
    in_service: bool = True,
    model: configuration.Model = MODEL,
    **sections: t.Any,
) -> configuration.Configuration:
    """Return a configuration with one model and two customers.

    `sections` replace the default records of a section.
    """
    values = {
        "data_centres": [
            configuration.DataCentre("dc-1", "r", in_service),
            configuration.DataCentre("dc-2", "r"),
        ],
        "models": [model],
        "groups": [
            configuration.Group("g", "dc-1", "engine", model="model-a"),
            configuration.Group("p", "dc-1", "service", service="ledger"),
        ],
        "stores": [configuration.Store("store-1", "r", "127.0.0.1:9")],
        "services": [
            configuration.Service(
                "draft", "model", "model-a", depends_on=("ledger",)
            ),
            configuration.Service(
                "ledger", "plain", repeatable=("GET *", "POST /lookup")
            ),
        ],
        "customers": [
            configuration.Customer(
                name, hashlib.sha256(token.encode()).hexdigest()
            )
            for name, token in TOKENS.items()
        ],
        **sections,
    }
    return configuration.Configuration(
        revision=revision,
        **{
            section: {record.name: record for record in records}
            for section, records in values.items()
        },
    )


def build_backend(name: str, **fields: t.Any) -> control_pb2.BackendState:
    """Return the state of a warm server, with `fields` replaced."""
    values = {
        "address": f"{name}:1",
        "group": "g",
        "data_centre": "dc-1",
        "state": "warm",
        "epoch": "1",
        "limit": 8,
        "versions": ["model-a@v1"],
        **fields,
    }
    return control_pb2.BackendState(name=name, **values)


def build_status(
    gateways: t.Iterable[t.Tuple[str, str, bool, bool]],
) -> control_pb2.Status:
    """Return the status of other hosts that a control reports.

    `gateways` are rows of data centre, address of the gateway, whether the
    host is reachable and whether it is leaving.
    """
    return control_pb2.Status(
        data_centres=[
            control_pb2.DataCentreStatus(
                name=centre,
                reachable=True,
                hosts=[
                    control_pb2.HostStatus(
                        reachable=reachable,
                        member=control_pb2.Member(
                            gateway_address=address, leaving=leaving
                        ),
                    )
                ],
            )
            for centre, address, reachable, leaving in gateways
        ]
    )


class Bench:
    """A gateway with a fake control and fake engines by name."""

    def __init__(self, names: t.Sequence[str] = ("a", "b")) -> None:
        self.engines = {f"{name}:1": FakeEngine(f"{name}:1") for name in names}
        self.control = FakeControl()
        self.control.backends = {
            **{name: build_backend(name) for name in names},
            "ledger-1": build_backend(
                "ledger-1", group="p", versions=[], address="127.0.0.1:9"
            ),
        }
        self.control.configuration = build_message(build_configuration())

    async def start(self, make_engine: t.Any = None, **options) -> None:
        # The default of 20 ms may be too short on a busy machine.
        self.patch = unittest.mock.patch.object(
            defaults, "DIRECTORY_LOOKUP_SECONDS", 5.0
        )
        self.patch.start()
        address = await self.control.start()
        self.settings = settings.Settings(
            **{
                "host": "h1",
                "data_centre": "dc-1",
                "key_value_url": "",
                "host_list_url": "",
                "control_address": address,
                "handle_keys": (settings.HandleKey("k1", "secret"),),
                "drain_delay": 0.0,
                "drain_time": 5.0,
                **options,
            }
        )
        self.gateway = gateway.Gateway(
            self.settings,
            make_engine or (lambda session, address: self.engines[address]),
        )
        await self.gateway.start()
        self.state = self.gateway.gateway_state
        self.session = aiohttp.ClientSession(
            base_url=f"http://{self.gateway.address}"
        )
        await wait_until(
            lambda: self.state.configuration.revision
            and len(self.state.backends) == len(self.control.backends)
        )

    async def stop(self) -> None:
        self.patch.stop()
        await self.session.close()
        await self.gateway.stop()
        await self.control.server.stop(None)

    @property
    def engine_requests(self) -> t.List[engines.CompletionRequest]:
        """Return the completion requests that the engines received."""
        return list(
            itertools.chain.from_iterable(
                engine.requests for engine in self.engines.values()
            )
        )

    def post(self, body: t.Any = None, customer: str = "acme", **headers):
        """Return a completion request as a context manager."""
        return self.session.post(
            "/v1/completions",
            json=build_content(**(body or {})),
            headers={
                "Authorization": f"Bearer {TOKENS[customer]}",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
        )


def build_content(**fields: t.Any) -> t.Dict[str, t.Any]:
    """Return the body of a completion request, with `fields` replaced."""
    return {
        "model": "draft",
        "prompt": "one two three four five",
        "max_tokens": 6,
        **fields,
    }


async def wait_until(
    condition: t.Callable[[], t.Any], seconds: float = 10.0
) -> None:
    """Wait until a condition holds; raise TimeoutError if it never does."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """A gateway with a fake control and two fake engines."""

    options = {}

    async def asyncSetUp(self):
        self.bench = Bench()
        await self.bench.start(**self.options)
        self.addAsyncCleanup(self.bench.stop)

    async def read_error(self, response):
        """Return `code` and `executed` of an error, and check its fields."""
        error = (await response.json())["error"]
        self.assertEqual(
            {"code", "type", "message", "retryable", "executed", "request"},
            set(error),
        )
        return error["code"], error["executed"]

    async def publish(self, **values):
        """Publish a configuration and wait until the gateway applies it."""
        revision = self.bench.state.configuration.revision + 1
        self.bench.control.configuration = build_message(
            build_configuration(revision=revision, **values)
        )
        self.bench.control.publish()
        await wait_until(
            lambda: self.bench.state.configuration.revision == revision
        )

    async def wait_for_backends(self):
        """Wait until the gateway has received the published states."""
        await wait_until(
            lambda: self.bench.state.backends == self.bench.control.backends
        )
