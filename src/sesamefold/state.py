"""State that the parts of one gateway share."""

import asyncio
import collections
import random
import time
import typing as t

import aiohttp
import attrs
import grpc
import logbook

from sesamefold import authentication
from sesamefold import client
from sesamefold import configuration as configurations
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import failover
from sesamefold import limits
from sesamefold import metrics as metrics_module
from sesamefold import quarantine as quarantines
from sesamefold import routing
from sesamefold import settings as settings_module
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc

_log = logbook.Logger("gateway")

# A server that failed gets no request for this long, seconds. Until its next
# report it then counts as cold, because it may have restarted.
_AVOID_SECONDS = 1.0


@attrs.frozen
class Failure:
    """A failure that the gateway saw itself, at an instant in Unix seconds."""

    epoch: str
    at: float
    avoid_until: float = 0.0


@attrs.define(eq=False)
class GatewayState:
    """What one gateway knows; owned by the gateway's event loop.

    `remote_gateways` holds the data centre and address of each gateway of
    another data centre, `member_count` the number of entry hosts of this one.
    """

    settings: settings_module.Settings
    session: aiohttp.ClientSession
    control_link: failover.ControlLink
    make_engine: t.Callable[[aiohttp.ClientSession, str], engines.Engine]
    random_generator: random.Random = attrs.field(factory=random.Random)
    metrics: metrics_module.GatewayMetrics = attrs.field(
        factory=metrics_module.GatewayMetrics
    )
    configuration: configurations.Configuration = attrs.field(
        factory=configurations.Configuration
    )
    authenticator: authentication.Authenticator = attrs.field(
        factory=authentication.Authenticator
    )
    backends: t.Dict[str, control_pb2.BackendState] = attrs.field(factory=dict)
    failures: t.Dict[str, Failure] = attrs.field(factory=dict)
    in_flight: t.Counter[str] = attrs.field(factory=collections.Counter)
    rates: t.Dict[str, routing.Rates] = attrs.field(factory=dict)
    remote_gateways: t.Tuple[t.Tuple[str, str], ...] = ()
    remote_status: t.Optional[control_pb2.Status] = None
    member_count: int = 1
    leaving: bool = False
    retries: limits.RetryBudget = attrs.field(factory=limits.RetryBudget)
    quarantine: quarantines.Quarantine = attrs.field(
        factory=quarantines.Quarantine
    )
    background_tasks: t.Set["asyncio.Task[t.Any]"] = attrs.field(factory=set)
    call_tasks: t.Set["asyncio.Task[t.Any]"] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.quarantine.report_changes = self.report_suspicions

    @property
    def stub(self) -> control_pb2_grpc.ControlStub:
        """Return the stub of the control that is followed."""
        return self.control_link.current.stub

    def report_suspicions(
        self, suspicions: t.List[control_pb2.Suspicion]
    ) -> None:
        """Tell the control of requests that were in flight at crashes."""
        report = control_pb2.ReportSuspicionsRequest(suspicions=suspicions)
        self.spawn(
            self.try_call_control(self.stub.ReportSuspicions, report, 1.0)
        )

    def is_in_service(self) -> bool:
        """Tell whether this data centre takes new work."""
        return self.configuration.is_in_service(self.settings.data_centre)

    def is_ready(self) -> bool:
        """Tell whether callers should send new requests here."""
        return (
            not self.leaving
            and self.configuration.revision > 0
            and self.is_in_service()
        )

    def list_remote_gateways(self) -> t.List[str]:
        """Return the gateways to forward to, in random order."""
        usable = [
            address
            for data_centre, address in self.remote_gateways
            if self.configuration.is_in_service(data_centre)
        ]
        self.random_generator.shuffle(usable)
        return usable

    def expects_backend(self, model: str) -> bool:
        """Tell whether a server of this data centre may soon offer a model.

        That is so while one loads its weights or has not reported yet.
        """
        groups = self.configuration.find_groups(
            self.settings.data_centre, model=model
        )
        found = self.list_backends({group.name for group in groups})
        return bool(groups) and (
            not found or any(b.state in routing.USABLE_STATES for b in found)
        )

    def list_backends(
        self, names: t.Container[str]
    ) -> t.List[control_pb2.BackendState]:
        """Return the servers of the named groups.

        A failure that the gateway saw itself takes precedence over reports
        that are older.
        """
        return [
            self._apply_failure(backend)
            for backend in self.backends.values()
            if backend.group in names
        ]

    def _apply_failure(
        self, backend: control_pb2.BackendState
    ) -> control_pb2.BackendState:
        failure = self.failures.get(backend.name)
        if failure is None or backend.state not in routing.USABLE_STATES:
            return backend
        if backend.measured_at > failure.at + defaults.CLOCK_SKEW:
            del self.failures[backend.name]
            return backend
        changed = control_pb2.BackendState()
        changed.CopyFrom(backend)
        avoided = time.time() < failure.avoid_until
        changed.state = "down" if avoided else "unknown"
        return changed

    def record_connection_loss(self, name: str) -> None:
        """Require permits for a server that may have restarted cold."""
        backend, known = self.backends.get(name), self.failures.get(name)
        if backend is not None:
            self.failures[name] = Failure(
                backend.epoch,
                time.time(),
                known.avoid_until if known else 0.0,
            )

    def record_failure(
        self, backend: control_pb2.BackendState, request: str, reason: str
    ) -> None:
        """Avoid a server that failed, and tell the control."""
        now = time.time()
        self.failures[backend.name] = Failure(
            backend.epoch, now, now + _AVOID_SECONDS
        )
        report = control_pb2.ReportFailureRequest(
            backend=backend.name,
            epoch=backend.epoch,
            request=request,
            reason=reason[:200],
        )
        self.spawn(self.try_call_control(self.stub.ReportFailure, report, 1.0))

    async def call_control(
        self, method: t.Any, request: t.Any, seconds: float
    ) -> t.Any:
        """Call the control daemon.

        Raises the error of the numbered code that it answers with, and
        `exceptions.ControlUnavailable` when it does not answer.
        """
        try:
            return await method(request, timeout=max(0.001, seconds))
        except grpc.RpcError as error:
            raise client.convert_error(error) from error

    async def try_call_control(
        self, method: t.Any, request: t.Any, seconds: float
    ) -> t.Any:
        """Call the control daemon; return None when the call fails."""
        try:
            return await self.call_control(method, request, seconds)
        except exceptions.SesamefoldError:
            return None

    def spawn(
        self, coroutine: t.Coroutine[t.Any, t.Any, t.Any]
    ) -> "asyncio.Task[t.Any]":
        """Run a coroutine in the background until the gateway stops."""
        return _spawn(coroutine, self.background_tasks)

    def spawn_call(
        self, coroutine: t.Coroutine[t.Any, t.Any, t.Any]
    ) -> "asyncio.Task[t.Any]":
        """Run a coroutine that a graceful shutdown waits for."""
        return _spawn(coroutine, self.call_tasks)

    def get_rates(self, model: str) -> routing.Rates:
        """Return the measured rates of a model."""
        return self.rates.get(model, routing.Rates())

    def list_stores(self) -> t.Dict[str, routing.StoreEndpoint]:
        """Return all store hosts, as seen from this data centre."""
        own = self.configuration.data_centres.get(self.settings.data_centre)
        region = own.region if own else ""
        return {
            store.name: routing.StoreEndpoint(
                f"http://{store.address}", store.region == region
            )
            for store in self.configuration.stores.values()
        }

    def compute_run_limit(self, group: str) -> int:
        """Return how many runs this gateway may have on a warm server."""
        found = self.configuration.groups.get(group)
        return (
            max(1, found.warm_limit // max(1, self.member_count))
            if found
            else 1
        )

    async def cancel_run(self, engine: engines.Engine, request: str) -> None:
        """Cancel a run; a failure leaves it to the engine's deadline."""
        try:
            await engine.cancel(request, deadlines.Deadline.after(2.0))
        except exceptions.RoutingError:
            pass


def _spawn(
    coroutine: t.Coroutine[t.Any, t.Any, t.Any],
    tasks: t.Set["asyncio.Task[t.Any]"],
) -> "asyncio.Task[t.Any]":
    task = asyncio.get_running_loop().create_task(coroutine)
    tasks.add(task)

    def finish(done: "asyncio.Task[t.Any]") -> None:
        tasks.discard(done)
        if not done.cancelled() and done.exception() is not None:
            error = done.exception()
            if not isinstance(error, exceptions.SesamefoldError):
                _log.error("a background task failed: {}", type(error))

    task.add_done_callback(finish)
    return task
