"""The control daemon."""

import asyncio
import functools
import importlib
import json
import os
import random
import signal
import sys
import types
import typing as t

import grpc
import logbook
import mode
import prometheus_client

from sesamefold import backends as backend_states
from sesamefold import client
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import keyvalue
from sesamefold import logs
from sesamefold import membership as memberships
from sesamefold import monitoring
from sesamefold import orders
from sesamefold import relay as relays
from sesamefold import settings as process_settings
from sesamefold import status
from sesamefold import transport
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc

_log = logbook.Logger("control")

_calls_served = prometheus_client.Counter(
    "sesamefold_control_calls", "Calls served, by method", ["method"]
)
_calls_failed = prometheus_client.Counter(
    "sesamefold_control_errors", "Calls that failed", ["method", "code"]
)

# Time that calls in progress have to finish when the server stops.
_STOP_GRACE_SECONDS = 1.0

# Mean time between two deletions of expired buckets of the journal.
_JOURNAL_EXPIRY_INTERVAL_SECONDS = 300.0

# Maps the HTTP status of an error class to the gRPC status of the reply.
_GRPC_STATUS_CODES = {
    400: grpc.StatusCode.INVALID_ARGUMENT,
    401: grpc.StatusCode.UNAUTHENTICATED,
    404: grpc.StatusCode.NOT_FOUND,
    409: grpc.StatusCode.ABORTED,
    413: grpc.StatusCode.INVALID_ARGUMENT,
    422: grpc.StatusCode.FAILED_PRECONDITION,
    429: grpc.StatusCode.RESOURCE_EXHAUSTED,
    503: grpc.StatusCode.UNAVAILABLE,
    504: grpc.StatusCode.DEADLINE_EXCEEDED,
}


async def _abort(
    context: grpc.aio.ServicerContext, method: str, error: Exception
) -> None:
    """Abort a call with the gRPC status of an error; always raises."""
    if isinstance(error, grpc.RpcError):
        error = client.convert_error(error)
    if not isinstance(error, exceptions.SesamefoldError):
        _log.exception("{} failed", method)
        error = exceptions.InternalError(f"{type(error).__name__} in {method}")
    _calls_failed.labels(method, error.code).inc()
    await context.abort(
        _GRPC_STATUS_CODES.get(error.status, grpc.StatusCode.INTERNAL),
        f"{error.code}: {error}",
        ((client.EXECUTED_KEY, error.executed),),
    )


def _handle_unary(method: t.Callable[..., t.Any]) -> t.Callable[..., t.Any]:
    """Wrap a unary method to count its calls and abort with its errors."""
    name = method.__name__

    @functools.wraps(method)
    async def handle(
        self: t.Any, request: t.Any, context: grpc.aio.ServicerContext
    ) -> t.Any:
        _calls_served.labels(name).inc()
        try:
            return await method(self, request, context)
        except grpc.aio.AbortError:
            raise
        except Exception as error:
            await _abort(context, name, error)

    return handle


def _choose_permits(request: t.Any) -> str:
    """Return the name of the component for a request of permits."""
    return "exclusive_permits" if request.exclusive else "permits"


class _Servicer(control_pb2_grpc.ControlServicer):
    def __init__(self, control: "Control") -> None:
        self._control = control

    async def WatchConfiguration(self, request, context):
        _calls_served.labels("WatchConfiguration").inc()
        with self._control.count_stream():
            async for message in self._control.relay.watch(
                request.known_digests
            ):
                yield message

    async def WatchBackends(self, request, context):
        _calls_served.labels("WatchBackends").inc()
        with self._control.count_stream():
            async for message in self._control.backends.watch():
                yield message

    @_handle_unary
    async def Heartbeat(self, request, context):
        return self._control.membership.handle_heartbeat(request)

    @_handle_unary
    async def FetchConfiguration(self, request, context):
        relay = self._control.relay
        if relay.revision <= request.revision:
            return control_pb2.Configuration(revision=relay.revision)
        return relay.export(frozenset(request.known_digests))

    @_handle_unary
    async def GetStatus(self, request, context):
        return await self._control.status.build_status(request.whole)

    @_handle_unary
    async def ReportFailure(self, request, context):
        metadata = dict(context.invocation_metadata() or ())
        await self._control.backends.report_failure(
            request, client.FORWARDED_KEY in metadata
        )
        return control_pb2.Empty()

    @_handle_unary
    async def ReportSuspicions(self, request, context):
        self._control.backends.report_suspicions(request.suspicions)
        return control_pb2.Empty()

    async def _delegate(self, name, method, request, context):
        component = self._control.optional_components.get(name)
        if component is None:
            await context.abort(
                grpc.StatusCode.UNIMPLEMENTED,
                f"this control daemon has no {name}",
            )
        return await getattr(component, method)(request)

    @_handle_unary
    async def AcquirePermit(self, request, context):
        return await self._delegate(
            _choose_permits(request), "acquire", request, context
        )

    @_handle_unary
    async def RenewPermit(self, request, context):
        return await self._delegate(
            _choose_permits(request), "renew", request, context
        )

    @_handle_unary
    async def ReleasePermit(self, request, context):
        reply = await self._delegate(
            _choose_permits(request), "release", request, context
        )
        return reply or control_pb2.Empty()

    @_handle_unary
    async def BeginCall(self, request, context):
        return await self._delegate("journal", "begin", request, context)

    @_handle_unary
    async def FinishCall(self, request, context):
        reply = await self._delegate("journal", "finish", request, context)
        return reply or control_pb2.Empty()

    @_handle_unary
    async def LookupBlocks(self, request, context):
        return await self._delegate("directory", "lookup", request, context)

    @_handle_unary
    async def ReportBlocks(self, request, context):
        reply = await self._delegate("directory", "report", request, context)
        return reply or control_pb2.Empty()


class Control(mode.Service):
    """Serves the gateway of its host and the other control daemons.

    It provides the configuration, membership, backend states, permits,
    journal and block directory. `optional_components` holds, by name, those
    whose modules may be missing.
    """

    mundane_level = "debug"

    def __init__(
        self, settings: process_settings.Settings, **kwargs: t.Any
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.optional_components: t.Dict[str, t.Any] = {}
        self.control_address = ""
        self.metrics_address = ""
        self.leaving = False
        self._streams = 0
        self._streams_ended = asyncio.Event()

    # Adapters, which tests replace with fakes.

    def open_key_value(self) -> keyvalue.KeyValue:
        """Return the adapter of the key-value service."""
        return keyvalue.HttpKeyValue(self.session, self.settings.key_value_url)

    def open_host_list(self) -> hostlist.HostList:
        """Return the adapter of the host list."""
        return hostlist.HttpHostList(self.session, self.settings.host_list_url)

    def open_engine(self, address: str) -> engines.Engine:
        """Return the adapter of an engine."""
        return engines.HttpEngine(self.session, address)

    # Life cycle.

    async def on_start(self) -> None:
        """Bind the ports and set up the components."""
        self.session = transport.make_session(report=logs.log_stray_answer)
        self._server = grpc.aio.server(
            options=(*client.CHANNEL_OPTIONS, ("grpc.so_reuseport", 0))
        )
        control_pb2_grpc.add_ControlServicer_to_server(
            _Servicer(self), self._server
        )
        self.control_address = self._bind(self.settings.control_address)
        self._monitoring = monitoring.MonitoringServer(
            self.list_unmet_conditions
        )
        self.metrics_address = await self._monitoring.start(
            self.settings.metrics_address
        )
        self._build_components()
        await self._server.start()

    def _bind(self, address: str) -> str:
        host, _, _ = address.rpartition(":")
        return f"{host}:{self._server.add_insecure_port(address)}"

    def _build_components(self) -> None:
        settings = self.settings
        self.key_value = self.open_key_value()
        self.membership = memberships.Membership(
            control_pb2.Member(
                name=settings.host,
                data_centre=settings.data_centre,
                control_address=self.control_address,
                gateway_address=settings.gateway_address,
            ),
            self.open_host_list(),
        )
        self.relay = relays.Relay(self.key_value, self.membership)
        self._build_optional_components()
        directory = self.optional_components.get("directory")
        self.backends = backend_states.Backends(
            self.membership,
            self.open_engine,
            lambda: self.relay.configuration,
            report_blocks=getattr(directory, "report", None),
            drop_holder=getattr(directory, "drop_holder", None),
        )
        self.orderer = orders.Orderer(
            self.key_value,
            self.membership,
            self.backends,
            self.open_engine,
            lambda: self.relay.configuration,
            is_platform_up=lambda: self.relay.platform_available,
        )
        self.status = status.StatusReporter(
            self.membership, self.relay, self.backends
        )
        self.membership.reports = self.backends
        self.membership.get_revision = lambda: self.relay.revision
        self.membership.on_peer_revision = self.relay.record_peer_revision
        self.membership.is_platform_down = self.relay.is_platform_down
        services = (
            self.membership,
            self.relay,
            self.backends,
            self.orderer,
        )
        for service in services:
            self.add_dependency(service)

    def _build_optional_components(self) -> None:
        journal = _import_optional_module("journal")
        if journal is not None:
            self.optional_components["journal"] = journal.Journal(
                self.key_value, self.membership
            )
        permits = _import_optional_module("permits")
        if permits is not None:
            self.optional_components["permits"] = permits.Permits(
                self.membership,
                self.get_cold_limit,
                count_hosts=self.membership.count_hosts,
            )
            # A suspect that gets none runs after a while all the same, so
            # the handover covers only the time until holders have renewed
            # their permits at a new owner.
            self.optional_components["exclusive_permits"] = permits.Permits(
                self.membership,
                lambda _: 1,
                knows_members=self.membership.knows_members,
                handover_seconds=defaults.PERMIT_RENEWAL_INTERVAL
                + defaults.CLOCK_SKEW,
            )
        directory = _import_optional_module("directory")
        if directory is not None:
            self.optional_components["directory"] = directory.Directory(
                self.membership
            )

    def get_cold_limit(self, backend: str) -> int:
        """Return how many requests a cold backend server may run.

        It is 0 when the server or its group is not known.
        """
        state = self.backends.get_state(backend)
        group = self.relay.configuration.groups.get(
            "" if state is None else state.group
        )
        return 0 if group is None else group.cold_limit

    @mode.Service.task
    async def _run_permits(self) -> None:
        await asyncio.gather(
            *(
                self.optional_components[name].run()
                for name in ("permits", "exclusive_permits")
                if name in self.optional_components
            )
        )

    @mode.Service.task
    async def _expire_journal(self) -> None:
        journal = self.optional_components.get("journal")
        while journal is not None and not self.should_stop:
            # Jitter keeps the hosts from searching at the same time.
            await self.sleep(
                _JOURNAL_EXPIRY_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
            )
            try:
                deleted = await journal.delete_expired()
            except exceptions.PlatformError as error:
                _log.warning(
                    "cannot delete expired journal buckets: {}", error
                )
            else:
                if deleted:
                    _log.info("deleted {} expired journal buckets", deleted)

    async def on_started(self) -> None:
        """Print the bound addresses as JSON."""
        addresses = {
            "control_address": self.control_address,
            "metrics_address": self.metrics_address,
        }
        print(json.dumps(addresses), flush=True)

    async def drain(self) -> None:
        """Leave the membership, then wait until the gateway has disconnected.

        Requests that the gateway still runs need the journal and the permits,
        so the daemon keeps serving until the streams of the gateway end, but
        no longer than the gateway itself may take to drain.
        """
        self.leaving = True
        await self.membership.leave()
        seconds = self.settings.drain_delay + self.settings.drain_time
        try:
            async with asyncio.timeout(seconds):
                while self._streams:
                    self._streams_ended.clear()
                    await self._streams_ended.wait()
        except TimeoutError:
            _log.warning("the gateway is still connected after {} s", seconds)

    async def on_stop(self) -> None:
        """Stop serving."""
        await self._server.stop(_STOP_GRACE_SECONDS)
        if "journal" in self.optional_components:
            await self.optional_components["journal"].stop()

    async def on_shutdown(self) -> None:
        """Close the monitoring server and the HTTP session."""
        await self._monitoring.stop()
        await self.session.close()

    def count_stream(self) -> "_StreamCount":
        """Return a context manager that counts a stream of a gateway."""
        return _StreamCount(self)

    def list_unmet_conditions(self) -> t.List[str]:
        """Return the unmet conditions for readiness."""
        return [
            reason
            for reason, applies in (
                ("leaving", self.leaving),
                ("configuration", not self.relay.initialised),
            )
            if applies
        ]


class _StreamCount:
    def __init__(self, control: Control) -> None:
        self._control = control

    def __enter__(self) -> None:
        self._control._streams += 1

    def __exit__(self, *exc_info: t.Any) -> None:
        self._control._streams -= 1
        self._control._streams_ended.set()


def _import_optional_module(name: str) -> t.Optional[types.ModuleType]:
    """Return a module of the package, None when it does not exist."""
    full_name = f"{__package__}.{name}"
    try:
        return importlib.import_module(full_name)
    except ModuleNotFoundError as error:
        if error.name != full_name:
            raise
        _log.warning("module {} does not exist", full_name)
        return None


async def _run(settings: process_settings.Settings) -> int:
    control = Control(settings)
    stop_requested = asyncio.Event()

    def request_stop() -> None:
        if stop_requested.is_set():
            _log.warning("received a second signal; exiting immediately")
            os._exit(1)
        stop_requested.set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    try:
        await control.start()
    except (OSError, RuntimeError) as error:
        _log.error("the control daemon cannot start: {}", error)
        return 1
    await control.wait_first(stop_requested)
    if control.crashed:
        _log.error("the control daemon failed: {!r}", control.crash_reason)
    else:
        await control.drain()
    await control.stop()
    return 1 if control.crashed else 0


def run(settings: process_settings.Settings) -> int:
    """Run the control daemon until SIGTERM; returns the exit code.

    The first signal lets the gateway finish; the second one exits at once.
    """
    logs.set_up(sys.stderr)
    return asyncio.run(_run(settings))
