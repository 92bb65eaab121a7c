"""State shared by the components of one gateway."""

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
from sesamefold import drains
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

# A server that failed gets no request for this long. After that it counts as
# cold until its next report, because it may have restarted.
_FAILURE_AVOIDANCE_SECONDS = 1.0


@attrs.frozen
class ObservedFailure:
    """A failure of a server that this gateway observed itself.

    `epoch` is the boot epoch of the server as last reported, `failed_at` the
    Unix time of the failure. The server gets no request before the Unix time
    `avoid_until`; 0.0 stands for no such time.
    """

    epoch: str
    failed_at: float
    avoid_until: float = 0.0


@attrs.define(eq=False)
class GatewayState:
    """State of one gateway, accessed only by its event loop.

    `backends` holds the reported states of backend servers, `failures` the
    failures observed by this gateway and `in_flight` its numbers of requests
    in progress, all by name of the server. `rates` holds measured rates by
    name of the model. `remote_gateways` holds the data centre and address of
    each gateway of another data centre, `remote_status` the last status of
    all data centres, and `member_count` the number of reachable entry hosts
    of this one. Graceful shutdown waits for `call_tasks`.
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
    failures: t.Dict[str, ObservedFailure] = attrs.field(factory=dict)
    in_flight: t.Counter[str] = attrs.field(factory=collections.Counter)
    rates: t.Dict[str, routing.Rates] = attrs.field(factory=dict)
    remote_gateways: t.Tuple[t.Tuple[str, str], ...] = ()
    remote_status: t.Optional[control_pb2.Status] = None
    member_count: int = 1
    leaving: bool = False
    drain: drains.Drain = attrs.field(factory=drains.Drain)
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
        """Return the stub of the control daemon in use."""
        return self.control_link.current.stub

    def report_suspicions(
        self, suspicions: t.List[control_pb2.Suspicion]
    ) -> None:
        """Report requests in flight at crashes to the control daemon."""
        report = control_pb2.ReportSuspicionsRequest(suspicions=suspicions)
        self.spawn(
            self.try_call_control(self.stub.ReportSuspicions, report, 1.0)
        )

    def is_in_service(self) -> bool:
        """Return whether this data centre is in service for new requests."""
        return self.configuration.is_in_service(self.settings.data_centre)

    def is_ready(self) -> bool:
        """Return whether clients should send new requests to this gateway."""
        return (
            not self.leaving
            and self.configuration.revision > 0
            and self.is_in_service()
        )

    def list_remote_gateways(self) -> t.List[str]:
        """Return the addresses to forward requests to, in random order.

        These are the gateways of other data centres that are in service.
        """
        usable = [
            address
            for data_centre, address in self.remote_gateways
            if self.configuration.is_in_service(data_centre)
        ]
        self.random_generator.shuffle(usable)
        return usable

    def expects_backend(self, model: str) -> bool:
        """Return whether a server of this data centre may soon offer a model.

        That is so while a server of its groups is usable, for example still
        loading the weights, or while none has reported yet.
        """
        groups = self.configuration.find_groups(
            self.settings.data_centre, model=model
        )
        backends = self.list_backends({group.name for group in groups})
        return bool(groups) and (
            not backends
            or any(
                backend.state in routing.USABLE_STATES for backend in backends
            )
        )

    def list_backends(
        self, names: t.Container[str]
    ) -> t.List[control_pb2.BackendState]:
        """Return the states of the servers of the named groups.

        A failure that the gateway observed itself takes precedence over
        older reports.
        """
        return [
            self._apply_failure(backend)
            for backend in self.backends.values()
            if backend.group in names
        ]

    def get_backend(self, name: str) -> t.Optional[control_pb2.BackendState]:
        """Return the state of a server, None if it is not listed."""
        backend = self.backends.get(name)
        return None if backend is None else self._apply_failure(backend)

    def _apply_failure(
        self, backend: control_pb2.BackendState
    ) -> control_pb2.BackendState:
        failure = self.failures.get(backend.name)
        if failure is None or backend.state not in routing.USABLE_STATES:
            return backend
        if backend.measured_at > failure.failed_at + defaults.CLOCK_SKEW:
            del self.failures[backend.name]
            return backend
        overridden = control_pb2.BackendState()
        overridden.CopyFrom(backend)
        is_avoided = time.time() < failure.avoid_until
        overridden.state = "down" if is_avoided else "unknown"
        return overridden

    def record_connection_loss(self, name: str) -> None:
        """Require permits for a server that may have restarted and be cold."""
        backend, earlier = self.backends.get(name), self.failures.get(name)
        if backend is not None:
            self.failures[name] = ObservedFailure(
                backend.epoch,
                time.time(),
                earlier.avoid_until if earlier else 0.0,
            )

    def record_restart(self, backend: control_pb2.BackendState) -> None:
        """Require permits for a server that refused a run of an older epoch.

        Newer reports than the one by which the run was admitted stay in use.
        """
        current = self.backends.get(backend.name)
        if current is not None and current.epoch == backend.epoch:
            _log.info(
                "backend server {} restarted before a run arrived",
                backend.name,
            )
            self.record_connection_loss(backend.name)

    def record_failure(
        self, backend: control_pb2.BackendState, request_id: str, reason: str
    ) -> None:
        """Avoid a server that failed, and report it to the control daemon."""
        now = time.time()
        self.failures[backend.name] = ObservedFailure(
            backend.epoch, now, now + _FAILURE_AVOIDANCE_SECONDS
        )
        report = control_pb2.ReportFailureRequest(
            backend=backend.name,
            epoch=backend.epoch,
            request=request_id,
            reason=reason[:200],
        )
        self.spawn(self.try_call_control(self.stub.ReportFailure, report, 1.0))

    async def call_control(
        self, method: t.Any, request: t.Any, seconds: float
    ) -> t.Any:
        """Return the reply of the control daemon to a call.

        Raises the exception for the error code that it answers with, and
        `exceptions.ControlUnavailable` when it does not answer within
        `seconds`.
        """
        try:
            return await method(request, timeout=max(0.001, seconds))
        except grpc.RpcError as error:
            raise client.convert_error(error) from error

    async def try_call_control(
        self, method: t.Any, request: t.Any, seconds: float
    ) -> t.Any:
        """Return the reply of the control daemon, None when the call fails."""
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
        """Run a coroutine in the background; graceful shutdown awaits it."""
        return _spawn(coroutine, self.call_tasks)

    def get_rates(self, model: str) -> routing.Rates:
        """Return the measured rates of a model."""
        return self.rates.get(model, routing.Rates())

    def list_stores(self) -> t.Dict[str, routing.StoreEndpoint]:
        """Return the endpoints of all stores by name.

        Each says whether the store is in the region of this data centre.
        """
        own_data_centre = self.configuration.data_centres.get(
            self.settings.data_centre
        )
        region = own_data_centre.region if own_data_centre else ""
        return {
            store.name: routing.StoreEndpoint(
                f"http://{store.address}", store.region == region
            )
            for store in self.configuration.stores.values()
        }

    def compute_run_limit(self, group: str) -> int:
        """Return how many runs this gateway may have on one warm server.

        It is the share of this gateway in the limit of the group, at least 1,
        and 1 for an unknown group.
        """
        group_settings = self.configuration.groups.get(group)
        return (
            max(1, group_settings.warm_limit // max(1, self.member_count))
            if group_settings
            else 1
        )

    async def cancel_run(
        self, engine: engines.Engine, request_id: str
    ) -> None:
        """Cancel a run; if that fails, it ends by the engine's deadline."""
        try:
            await engine.cancel(request_id, deadlines.Deadline.after(2.0))
        except exceptions.RoutingError:
            pass


def _spawn(
    coroutine: t.Coroutine[t.Any, t.Any, t.Any],
    tasks: t.Set["asyncio.Task[t.Any]"],
) -> "asyncio.Task[t.Any]":
    task = asyncio.get_running_loop().create_task(coroutine)
    tasks.add(task)

    def on_done(finished_task: "asyncio.Task[t.Any]") -> None:
        tasks.discard(finished_task)
        if (
            not finished_task.cancelled()
            and finished_task.exception() is not None
        ):
            error = finished_task.exception()
            if not isinstance(error, exceptions.SesamefoldError):
                _log.error("background task failed with {}", type(error))

    task.add_done_callback(on_done)
    return task
