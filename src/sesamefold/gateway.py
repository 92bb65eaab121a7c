"""The gateway daemon."""

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
from sesamefold.wire import control_pb2

_log = logbook.Logger("gateway")

# Reconnection to the own control daemon, seconds; it doubles.
_BACKOFF = 0.1
_BACKOFF_LIMIT = 2.0
_STATUS_INTERVAL = 3.0
_LISTING_SECONDS = 1.0
# A control that starts with its gateway does not know its peers yet.
_FIRST_STATUS_INTERVALS = (0.25, 0.5, 0.5, 1.0, 1.0)
# Connections to one backend server and in total.
_MAX_CONNECTIONS = 4096
# Engines send keep-alive lines at least each second; a stream that is silent
# for longer is resumed, seconds.
_ENGINE_IDLE_SECONDS = 5.0


def run(settings: settings_module.Settings) -> int:
    """Serve until SIGTERM; return the exit code."""
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
    if gateway.stopping is None:
        await gateway.stop()
        return 1
    await gateway.stopping
    return 0


class Gateway(mode.Service):
    """Serves callers, and follows the control daemon of its entry host."""

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
        self._watches: t.Dict[str, t.Tuple[str, "asyncio.Task[t.Any]"]] = {}
        self.stopping: t.Optional["asyncio.Task[None]"] = None

    async def on_start(self) -> None:
        """Connect to the control and listen for callers."""
        generator = random.Random()
        self._link = failover.ControlLink(
            self._settings.control_address,
            self._find_controls,
            generator,
        )
        self.gateway_state = states.GatewayState(
            settings=self._settings,
            session=build_session(),
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
        """Close connections, then cancel what is left."""
        await self._runner.cleanup()
        left = [
            *self.gateway_state.background_tasks,
            *self.gateway_state.call_tasks,
        ]
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        await self.gateway_state.session.close()

    def handle_signal(self) -> None:
        """Begin the graceful shutdown; a second signal exits at once."""
        if self.gateway_state.leaving:
            _log.warning("second signal, exiting without a drain")
            sys.stdout.flush()
            os._exit(1)
        self.gateway_state.leaving = True
        self.stopping = asyncio.get_running_loop().create_task(self.drain())

    async def drain(self) -> None:
        """Leave: not ready, no new connections, streams finish, stop.

        Callers get `drain_delay` to notice before connections are refused,
        and streams `drain_time` to finish.
        """
        self.gateway_state.leaving = True
        await asyncio.sleep(self._settings.drain_delay)
        limit = deadlines.Deadline.after(self._settings.drain_time)
        # The state is still followed, so that runs can continue elsewhere.
        await self._runner.cleanup()
        while self.gateway_state.call_tasks and not limit.has_passed():
            await asyncio.wait(
                self.gateway_state.call_tasks, timeout=limit.remaining()
            )
        await self.stop()

    @mode.Service.task
    async def follow_configuration(self) -> None:
        """Keep the configuration in force."""
        await self._follow(self._read_configuration)

    @mode.Service.task
    async def follow_backends(self) -> None:
        """Keep the states of backend servers."""
        await self._follow(self._read_backends)

    @mode.Service.task
    async def poll_status(self) -> None:
        """Keep the gateways of other data centres and the own members."""
        for interval in itertools.chain(
            _FIRST_STATUS_INTERVALS, itertools.repeat(_STATUS_INTERVAL)
        ):
            status = await self.gateway_state.try_call_control(
                self.gateway_state.stub.GetStatus,
                control_pb2.GetStatusRequest(whole=True),
                _STATUS_INTERVAL,
            )
            if status is not None:
                self._apply_status(status)
            await self.sleep(
                interval
                * self.gateway_state.random_generator.uniform(0.8, 1.2)
            )
            if self.should_stop:
                return

    async def _find_controls(self) -> t.List[str]:
        """Return the controls of the data centre from status and host list.

        A control that stops answering right after its start has not told its
        peers yet.
        """
        own = self._settings.data_centre
        status = self.gateway_state.remote_status or control_pb2.Status()
        known = {
            host.member.control_address
            for centre in status.data_centres
            if centre.name == own
            for host in centre.hosts
        }
        try:
            listing = await hostlist.HttpHostList(
                self.gateway_state.session, self._settings.host_list_url
            ).fetch(own, 0, deadlines.Deadline.after(_LISTING_SECONDS))
        except exceptions.PlatformError:
            listing = None
        listed = {
            host.control_address
            for host in (listing.hosts if listing else ())
            if host.kind == "entry" and host.data_centre == own
        }
        return sorted((known | listed) - {""})

    async def _follow(
        self, read: t.Callable[[], t.Coroutine[t.Any, t.Any, bool]]
    ) -> None:
        """Call `read` again and again; the last state stays in force.

        `read` tells whether it got anything, which resets the backoff.
        """
        backoff = _BACKOFF
        while not self.should_stop:
            # A switch to another control ends the reading of the last one.
            if await failover.run_until(self._link.changed.event, read()):
                backoff = _BACKOFF
            await self.sleep(
                backoff * self.gateway_state.random_generator.uniform(0.5, 1.0)
            )
            backoff = min(2 * backoff, _BACKOFF_LIMIT)

    async def _read_configuration(self) -> bool:
        received = False
        try:
            watch = self._link.current.watch_configuration(list(self._chunks))
            async with contextlib.aclosing(watch) as messages:
                async for message in messages:
                    received = True
                    self._apply_configuration(message)
        except exceptions.SesamefoldError as error:
            _log.info("configuration watch ended: {}", error.message)
        except (KeyError, ValueError, TypeError) as error:
            _log.error("configuration not readable: {}", error)
            # Without known digests, the next watch brings all chunks.
            self._chunks = {}
        return received

    def _apply_configuration(self, message: control_pb2.Configuration) -> None:
        """Put a higher revision in force; others are ignored."""
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
        _log.info("configuration {} in force", built.revision)

    async def _read_backends(self) -> bool:
        received = False
        try:
            watch = self._link.current.watch_backends()
            async with contextlib.aclosing(watch) as messages:
                async for message in messages:
                    received = True
                    self._apply_backends(message)
        except exceptions.SesamefoldError as error:
            _log.info("backend watch ended: {}", error.message)
        return received

    def _apply_backends(self, message: control_pb2.BackendStates) -> None:
        if message.full:
            self.gateway_state.backends.clear()
            # The control may have restarted or missed reports meanwhile.
            known = self.gateway_state.quarantine.list_suspicions()
            if known:
                self.gateway_state.report_suspicions(known)
        self.gateway_state.quarantine.merge(message.suspicions)
        for backend in message.states:
            self.gateway_state.backends[backend.name] = backend
        for name in message.removed:
            self.gateway_state.backends.pop(name, None)
            self.gateway_state.failures.pop(name, None)
        self._watch_connections()

    def _watch_connections(self) -> None:
        """Keep one idle connection to each engine of the data centre.

        The owner of an engine sees its restart, too, but its message takes
        longer than the next requests of a busy gateway.
        """
        engines_known = {
            name: backend.address
            for name, backend in self.gateway_state.backends.items()
            if backend.epoch
        }
        for name, (address, task) in list(self._watches.items()):
            if engines_known.get(name) != address:
                task.cancel()
                del self._watches[name]
        for name in engines_known.keys() - self._watches.keys():
            lose = functools.partial(
                self.gateway_state.record_connection_loss, name
            )
            address = engines_known[name]
            task = self.gateway_state.spawn(connections.watch(address, lose))
            self._watches[name] = (address, task)

    def _apply_status(self, status: control_pb2.Status) -> None:
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
    return engines.HttpEngine(session, address, _ENGINE_IDLE_SECONDS)


def _build_http_logger() -> logging.Logger:
    """Return a logger that leaves out malformed requests.

    aiohttp logs them with a traceback that shows parts of the request.
    """

    def keep(record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        return not isinstance(error, http_exceptions.HttpProcessingError)

    logger = logging.getLogger("sesamefold.http")
    logger.filters[:] = [keep]
    return logger


def build_session() -> aiohttp.ClientSession:
    """Return the session towards backend servers."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=_MAX_CONNECTIONS, limit_per_host=0
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=2.0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
    # By default aiohttp repeats a PUT or DELETE whose connection broke. Such
    # a call may have run, and calls must run at most once. There is no
    # public option for this.
    session._retry_connection = False
    return session
