"""The gateway daemon: serves callers at one entry host.

It follows the control daemon of its host for the configuration and the
states of backend servers.
"""

import asyncio
import contextlib
import functools
import itertools
import json
import logging
import os
import random
import signal
import sys
import typing as t

import aiohttp
from aiohttp import http_exceptions
from aiohttp import web
import logbook
import mode

from sesamefold import api
from sesamefold import authentication
from sesamefold import connections
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import failover
from sesamefold import hostlist
from sesamefold import logs
from sesamefold import revisions
from sesamefold import settings as settings_module
from sesamefold import state as states
from sesamefold import transport
from sesamefold.wire import control_pb2

_log = logbook.Logger("gateway")

# Delay before the first reconnection to the control daemon. It doubles with
# each attempt.
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 2.0
_STATUS_INTERVAL_SECONDS = 3.0
_HOST_LIST_TIMEOUT_SECONDS = 1.0
# The first polls follow each other faster, because a control daemon that
# starts together with its gateway does not know its peers yet.
_FIRST_STATUS_INTERVALS_SECONDS = (0.25, 0.5, 0.5, 1.0, 1.0)
# Limit of connections to all backend servers together. There is no lower
# limit for a single server.
_MAX_CONNECTIONS = 4096
# A stream without any data for this long is resumed. Engines send keep-alive
# lines at least once a second.
_ENGINE_IDLE_TIMEOUT_SECONDS = 5.0


def run(settings: settings_module.Settings) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code."""
    logs.set_up(sys.stderr)
    return asyncio.run(_serve(settings))


async def _serve(settings: settings_module.Settings) -> int:
    gateway = Gateway(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.handle_signal)
    await gateway.start()
    print(json.dumps({"gateway_address": gateway.address}), flush=True)
    await gateway.wait_until_stopped()
    if gateway.drain_task is None:
        await gateway.stop()
        return 1
    await gateway.drain_task
    return 0


class Gateway(mode.Service):
    """Serves callers, with the state received from a control daemon.

    `address` is the IP address and port that the gateway listens on, and
    `drain_task` the graceful shutdown, None before the first signal.
    """

    address: str = ""
    gateway_state: states.GatewayState

    def __init__(
        self,
        settings: settings_module.Settings,
        make_engine: t.Optional[
            t.Callable[[aiohttp.ClientSession, str], engines.Engine]
        ] = None,
        **options: t.Any,
    ) -> None:
        super().__init__(**options)
        self._settings = settings
        self._make_engine = make_engine
        self._chunks: t.Dict[str, bytes] = {}
        self._connection_watches: t.Dict[
            str, t.Tuple[str, "asyncio.Task[t.Any]"]
        ] = {}
        self.drain_task: t.Optional["asyncio.Task[None]"] = None

    async def on_start(self) -> None:
        """Connect to the control daemon and listen for callers."""
        generator = random.Random()
        self._link = failover.ControlLink(
            self._settings.control_address,
            self._find_control_addresses,
            generator,
        )
        self.gateway_state = states.GatewayState(
            settings=self._settings,
            session=build_backend_session(),
            control_link=self._link,
            make_engine=self._make_engine or _connect_engine,
            random_generator=generator,
        )
        self.add_dependency(self._link)
        await self._link.maybe_start()
        application = api.Api(self.gateway_state).build_application()
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            keepalive_timeout=defaults.IDLE_CONNECTION_SECONDS,
            shutdown_timeout=self._settings.drain_time,
            max_line_size=defaults.MAX_HEADER_BYTES,
            max_field_size=defaults.MAX_HEADER_BYTES,
            access_log=None,
            logger=_build_http_logger(),
        )
        await self._runner.setup()
        host, _, port = self._settings.gateway_address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        bound = self._runner.addresses[0]
        self.address = f"{bound[0]}:{bound[1]}"

    async def on_stop(self) -> None:
        """Close the callers' connections, then cancel remaining tasks."""
        await self._runner.cleanup()
        remaining = [
            *self.gateway_state.background_tasks,
            *self.gateway_state.call_tasks,
        ]
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        await self.gateway_state.session.close()

    def handle_signal(self) -> None:
        """Start the graceful shutdown; exit at once on a second signal."""
        if self.gateway_state.leaving:
            _log.warning("received a second signal; exiting without draining")
            sys.stdout.flush()
            os._exit(1)
        self.gateway_state.leaving = True
        self.drain_task = asyncio.get_running_loop().create_task(self.drain())

    async def drain(self) -> None:
        """Shut down gracefully.

        The gateway reports that it is not ready, and still accepts requests
        for `drain_delay` seconds, so that callers can notice. It then refuses
        new connections and stops once all responses have finished, after
        `drain_time` seconds at the latest. Requests without a complete
        response get a final one shortly before.
        """
        self.gateway_state.leaving = True
        self.gateway_state.drain.begin(
            self._settings.drain_delay, self._settings.drain_time
        )
        await asyncio.sleep(self._settings.drain_delay)
        drain_deadline = deadlines.Deadline.after(self._settings.drain_time)
        # Updates from the control daemon are still applied, so that runs can
        # continue on other servers.
        await self._runner.cleanup()
        while (
            self.gateway_state.call_tasks and not drain_deadline.has_passed()
        ):
            await asyncio.wait(
                self.gateway_state.call_tasks,
                timeout=drain_deadline.remaining(),
            )
        await self.stop()

    @mode.Service.task
    async def follow_configuration(self) -> None:
        """Keep the configuration up to date."""
        await self._read_repeatedly(self._read_configuration)

    @mode.Service.task
    async def follow_backends(self) -> None:
        """Keep the states of backend servers up to date."""
        await self._read_repeatedly(self._read_backends)

    @mode.Service.task
    async def poll_status(self) -> None:
        """Keep the hosts known to the control daemon up to date.

        These are the gateways of other data centres, for forwarding, and the
        number of entry hosts in this data centre.
        """
        for interval in itertools.chain(
            _FIRST_STATUS_INTERVALS_SECONDS,
            itertools.repeat(_STATUS_INTERVAL_SECONDS),
        ):
            status = await self.gateway_state.try_call_control(
                self.gateway_state.stub.GetStatus,
                control_pb2.GetStatusRequest(whole=True),
                _STATUS_INTERVAL_SECONDS,
            )
            if status is not None:
                self._apply_status(status)
            await self.sleep(
                interval
                * self.gateway_state.random_generator.uniform(0.8, 1.2)
            )
            if self.should_stop:
                return

    async def _find_control_addresses(self) -> t.List[str]:
        """Return the addresses of the control daemons in this data centre.

        The host list completes the last status, because a control daemon
        that fails right after its start has not reported its peers yet.
        """
        own = self._settings.data_centre
        status = self.gateway_state.remote_status or control_pb2.Status()
        reported = {
            host.member.control_address
            for centre in status.data_centres
            if centre.name == own
            for host in centre.hosts
        }
        try:
            listing = await hostlist.HttpHostList(
                self.gateway_state.session, self._settings.host_list_url
            ).fetch(
                own, 0, deadlines.Deadline.after(_HOST_LIST_TIMEOUT_SECONDS)
            )
        except exceptions.PlatformError:
            listing = None
        listed = {
            host.control_address
            for host in (listing.hosts if listing else ())
            if host.kind == "entry" and host.data_centre == own
        }
        return sorted((reported | listed) - {""})

    async def _read_repeatedly(
        self, read: t.Callable[[], t.Coroutine[t.Any, t.Any, bool]]
    ) -> None:
        """Call `read` until the gateway stops, with backoff between calls.

        `read` applies the messages of one stream and returns whether it
        received any, which resets the backoff. Between streams, the state
        received last stays in use.
        """
        backoff = _INITIAL_BACKOFF_SECONDS
        while not self.should_stop:
            # A switch to another control daemon cancels the current stream.
            if await failover.run_until(self._link.changed.event, read()):
                backoff = _INITIAL_BACKOFF_SECONDS
            await self.sleep(
                backoff * self.gateway_state.random_generator.uniform(0.5, 1.0)
            )
            backoff = min(2 * backoff, _MAX_BACKOFF_SECONDS)

    async def _read_configuration(self) -> bool:
        """Apply the received configurations and return whether any came."""
        received = False
        try:
            watch = self._link.current.watch_configuration(list(self._chunks))
            async with contextlib.aclosing(watch) as messages:
                async for message in messages:
                    received = True
                    self._apply_configuration(message)
        except exceptions.SesamefoldError as error:
            _log.info("configuration stream ended: {}", error.message)
        except (KeyError, ValueError, TypeError) as error:
            _log.error("cannot decode the configuration: {}", error)
            # Without known digests, the next stream sends all chunks.
            self._chunks = {}
        return received

    def _apply_configuration(self, message: control_pb2.Configuration) -> None:
        """Apply a configuration of a higher revision; ignore any other."""
        self._chunks.update(
            {chunk.digest: chunk.data for chunk in message.chunks}
        )
        if message.revision <= self.gateway_state.configuration.revision:
            return
        head = revisions.Head.decode(message.head)
        built = revisions.build_configuration(head, self._chunks, True)
        needed = set(head.list_digests(True))
        self._chunks = {
            digest: data
            for digest, data in self._chunks.items()
            if digest in needed
        }
        self.gateway_state.authenticator = authentication.Authenticator(
            built.customers.values()
        )
        self.gateway_state.configuration = built
        self.gateway_state.metrics.configuration_revision.set(built.revision)
        _log.info("applied configuration revision {}", built.revision)

    async def _read_backends(self) -> bool:
        """Apply the received backend states and return whether any came."""
        received = False
        try:
            watch = self._link.current.watch_backends()
            async with contextlib.aclosing(watch) as messages:
                async for message in messages:
                    received = True
                    self._apply_backends(message)
        except exceptions.SesamefoldError as error:
            _log.info("backend state stream ended: {}", error.message)
        return received

    def _apply_backends(self, message: control_pb2.BackendStates) -> None:
        """Apply changed and removed states, or replace all of them."""
        if message.full:
            self.gateway_state.backends.clear()
            # The control daemon may have restarted or missed reports
            # since the last message.
            suspicions = self.gateway_state.quarantine.list_suspicions()
            if suspicions:
                self.gateway_state.report_suspicions(suspicions)
        self.gateway_state.quarantine.merge(message.suspicions)
        for backend in message.states:
            self.gateway_state.backends[backend.name] = backend
        for name in message.removed:
            self.gateway_state.backends.pop(name, None)
            self.gateway_state.failures.pop(name, None)
        self._update_connection_watches()

    def _update_connection_watches(self) -> None:
        """Keep one idle connection to each engine to detect its restart.

        The control daemon that owns the engine detects the restart, too, but
        its message arrives later than a busy gateway's next requests.
        """
        engine_addresses = {
            name: backend.address
            for name, backend in self.gateway_state.backends.items()
            if backend.epoch
        }
        for name, (address, task) in list(self._connection_watches.items()):
            if engine_addresses.get(name) != address:
                task.cancel()
                del self._connection_watches[name]
        for name in engine_addresses.keys() - self._connection_watches.keys():
            on_loss = functools.partial(
                self.gateway_state.record_connection_loss, name
            )
            address = engine_addresses[name]
            task = self.gateway_state.spawn(
                connections.watch(address, on_loss)
            )
            self._connection_watches[name] = (address, task)

    def _apply_status(self, status: control_pb2.Status) -> None:
        """Record the usable remote gateways and the number of members."""
        own = self._settings.data_centre
        self.gateway_state.remote_status = status
        self.gateway_state.remote_gateways = tuple(
            (centre.name, host.member.gateway_address)
            for centre in status.data_centres
            if centre.name != own
            for host in centre.hosts
            if host.reachable
            and host.member.gateway_address
            and not host.member.leaving
        )
        self.gateway_state.member_count = max(
            1,
            sum(
                host.reachable
                for centre in status.data_centres
                if centre.name == own
                for host in centre.hosts
            ),
        )


def _connect_engine(
    session: aiohttp.ClientSession, address: str
) -> engines.Engine:
    return engines.HttpEngine(session, address, _ENGINE_IDLE_TIMEOUT_SECONDS)


def _build_http_logger() -> logging.Logger:
    """Return a logger that drops records of malformed requests.

    aiohttp logs them with a traceback that shows parts of the request.
    """

    def is_allowed(record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        return not isinstance(error, http_exceptions.HttpProcessingError)

    logger = logging.getLogger("sesamefold.http")
    logger.filters[:] = [is_allowed]
    return logger


def build_backend_session() -> aiohttp.ClientSession:
    """Return the client session for requests to backend servers."""
    return transport.make_session(
        max_connections=_MAX_CONNECTIONS,
        report=logs.log_stray_answer,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=2.0),
        auto_decompress=False,
    )
