"""Entry host service: assembly, settings reload and shutdown."""

import asyncio
import signal
import typing as t

from aiohttp import web
import attrs
import mode

from sesamefold import culprits
from sesamefold import defaults
from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import context_relay
from sesamefold.entry import context_stores
from sesamefold.entry import crash_detection
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import dispatch
from sesamefold.entry import election
from sesamefold.entry import explanations
from sesamefold.entry import fleet_relay
from sesamefold.entry import follower
from sesamefold.entry import frontend
from sesamefold.entry import loads
from sesamefold.entry import members as member_lists
from sesamefold.entry import metrics as entry_metrics
from sesamefold.entry import operator_relay
from sesamefold.entry import operator_transfers
from sesamefold.entry import orders
from sesamefold.entry import pauses
from sesamefold.entry import placement
from sesamefold.entry import quarantine
from sesamefold.entry import requests
from sesamefold.entry import rollout_coordinator
from sesamefold.entry import room_queue
from sesamefold.entry import server_notices
from sesamefold.entry import server_status
from sesamefold.entry import settings as entry_settings
from sesamefold.entry import shutdown as shutdowns
from sesamefold.entry import store
from sesamefold.entry import suspicion_exchange
from sesamefold.entry import throttle
from sesamefold.entry import upstream
from sesamefold.entry import version_routing
from sesamefold.entry import weight_status
from sesamefold import exceptions
from sesamefold import exchanges
from sesamefold import memory
from sesamefold import rendezvous
from sesamefold import suspicions
from sesamefold import transport

SETTINGS_POLL_INTERVAL_SECONDS = 2.0
# Settings that a reload applies. The others need a restart.
RELOADABLE_SETTINGS = frozenset(
    {
        "retries",
        "key_withdrawal_seconds",
        "weights_limits",
        "shutdown_seconds",
        "order_pause_seconds",
    }
)
DRAIN_POLL_INTERVAL_SECONDS = 0.05
# Time in which a handler can end after its connection is closed.
HANDLER_END_SECONDS = 0.1


@attrs.frozen
class PlatformAdapters:
    """The adapters through which an entry host uses its platform."""

    record_source: store.RecordSource
    host_records: store.HostRecordStore
    codec: requests.Codec
    engine_control: orders.EngineControl
    context_store_api: context_stores.ContextStoreApi
    encode_rollout_status: rollout_coordinator.StatusEncoder


class EntryHost(mode.Service):
    """The components of an entry host and their background tasks.

    The catalog, the decision log and the settings are shared by all
    components. What the process holds of answers counts to `answer_budget`,
    and the bodies of requests to another one of the same size.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        platform: PlatformAdapters,
        log: decisions.DecisionLog,
        answer_budget: t.Optional[memory.MemoryBudget] = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.platform = platform
        # Not named `log`, which is an attribute of mode.Service.
        self.decisions = log
        self.metrics = entry_metrics.EntryMetrics()
        limit = memory.compute_limit(settings.memory_bytes)
        self.answer_budget = answer_budget or memory.MemoryBudget(limit)
        self.body_budget = memory.MemoryBudget(limit)
        self.catalog = catalogs.Catalog(
            self.decisions, weights_limits=settings.weights_limits
        )
        self.members = member_lists.Membership(
            member_lists.Member(
                settings.host,
                settings.region,
                settings.peer_address,
                settings.link_mbps,
            ),
            platform.host_records,
            self.decisions,
            find_contact_start=self.catalog.get_contact_start,
        )
        self.channel = datagrams.PeerChannel(
            settings.host, settings.peer_address, self.decisions
        )
        self.loads = loads.Loads(settings.host, settings.region)
        self.context_stores = context_stores.ContextStores(
            settings.host,
            settings.regions,
            self.catalog,
            platform.context_store_api,
            self.members,
            self.decisions,
        )
        self.context_relay = context_relay.ContextRelay(
            self.channel, self.members, self.context_stores, self.decisions
        )
        self.pauses = pauses.PauseMonitor(self.decisions)
        self.crashes = crash_detection.CrashDetector(
            self.catalog, self.decisions
        )
        self.server_statuses = server_status.ServerStatuses(
            self.decisions, leaving_seconds=settings.leaving_seconds
        )
        self.versions = version_routing.VersionRouting(
            self.catalog, settings.rollout_limits is not None, self.decisions
        )
        self.versions.on_share.append(
            lambda service, share: self.metrics.rollout_share.labels(
                service
            ).set(share)
        )
        self.placement = placement.Placement(
            self.catalog,
            throttle.ColdThrottle(
                settings.host, self.members.list_sharing_hosts
            ),
            self.loads,
            self.context_stores,
            settings.data_centre,
            settings.regions,
            settings.region,
            self.decisions,
            states=self.server_statuses,
            versions=self.versions,
            balances=settings.queues_requests,
        )
        self.server_statuses.on_leaving.append(
            lambda server: self.metrics.count_notice("leaving")
        )
        self.server_statuses.on_rest.append(
            lambda server: self.metrics.count_notice("resting")
        )
        self.server_statuses.on_replaced.append(
            lambda server: self.metrics.count_notice("replaced")
        )
        server_notices.exchange_notices(
            self.channel, self.members, self.catalog, self.server_statuses
        )
        self.weight_status = weight_status.WeightStatusSharing(
            self.channel, self.members, self.catalog, self.placement
        )
        self.suspicion_exchange = suspicion_exchange.SuspicionExchange(
            self.channel,
            settings.host,
            self.members,
            culprits.Culprits(
                suspicions.Suspicions(clock=clock.read_time),
                quarantine.REQUEST_CRASHES,
                self._rank_for_trial,
                clock.read_time,
            ),
            self.crashes,
        )
        self.quarantine = quarantine.Quarantine(
            self.suspicion_exchange.culprits,
            self.crashes,
            self.suspicion_exchange,
            self.server_statuses,
            self.decisions,
        )
        self.election = election.Election(
            settings.host,
            platform.host_records,
            settings.order_pause_seconds,
            self.decisions,
        )
        self.rollouts = rollout_coordinator.RolloutCoordinator(
            settings.host,
            self.versions,
            settings.rollout_limits,
            self.channel,
            self.members,
            self.election,
            platform.host_records,
            platform.encode_rollout_status,
            self.decisions,
        )
        self.explainer = explanations.Explainer(
            settings.host,
            settings.data_centre,
            self.catalog,
            self.placement,
            platform.codec,
            self.quarantine,
            settings.queues_requests,
        )
        self.shutdown = shutdowns.Shutdown()
        self._runners: t.List[web.ServerRunner] = []

    async def on_start(self) -> None:
        """Open the listening sockets."""
        self.decisions.write(
            "start",
            data_centre=self.settings.data_centre,
            address=":".join(map(str, self.settings.listen_address)),
            metrics=":".join(map(str, self.settings.metrics_address or ())),
        )
        await self.channel.open()
        await self._open_relay()
        self.session = upstream.make_session(
            self._log_stray_answer, self.answer_budget
        )
        queue: t.Optional[room_queue.RoomQueue] = None
        if self.settings.queues_requests:
            queue = room_queue.RoomQueue(
                self.placement, self.loads, self.decisions
            )
            queue.on_wait.append(self.metrics.record_wait)
            self.metrics.room_waiting.set_function(queue.count_waiting)
        self.dispatcher = dispatch.Dispatcher(
            self.catalog,
            self.placement,
            self.context_stores,
            throttle.RetryThrottle(
                self.settings.retries, self.members.list_sharing_hosts
            ),
            upstream.UpstreamClient(self.session, self.platform.codec),
            self.decisions,
            self.settings.key_withdrawal_seconds,
            self.pauses,
            self.crashes,
            self.quarantine,
            self.shutdown,
            queue,
        )
        self.frontend = frontend.Frontend(
            self.catalog,
            self.dispatcher,
            self.platform.codec,
            self.decisions,
            self.metrics,
            self.shutdown,
            self.body_budget,
        )
        await self._listen(self.settings.ready_address, self._handle_ready)
        await self._serve_metrics()
        await self._listen(self.settings.listen_address, self.frontend.handle)

    async def _open_relay(self) -> None:
        """Prepare the relays of what hosts read from the store.

        Without its listener, the host serves, but other hosts cannot fetch
        records from it. Those of the servers and the hosts are relayed as
        well.
        """
        self.peer_session = transport.make_session(budget=self.answer_budget)
        self.relay = operator_relay.OperatorRelay(
            self.settings.host,
            self.channel,
            self.members,
            self.platform.record_source,
            operator_transfers.TransferClient(self.peer_session),
            self.catalog,
            self.decisions,
        )
        self.fleet_relay = fleet_relay.FleetRelay(
            self.settings.host,
            self.channel,
            self.members,
            self.relay,
            self.decisions,
        )
        self.fleet_relay.on_source.append(self.metrics.count_fleet_changes)
        try:
            await self._listen(
                self.channel.get_address(),
                operator_transfers.TransferServer(
                    self.relay.records, self.catalog
                ).handle,
            )
        except OSError as error:
            self.decisions.write("relay_unavailable", reason=str(error))

    async def _serve_metrics(self) -> None:
        """Serve metrics. A failure to listen does not stop the entry host."""
        if self.settings.metrics_address is None:
            return
        try:
            await self._listen(
                self.settings.metrics_address, self._handle_metrics
            )
        except OSError as error:
            self.decisions.write("metrics_unavailable", reason=str(error))

    async def _listen(
        self, address: t.Tuple[str, int], handler: t.Any
    ) -> None:
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=frontend.IDLE_TIMEOUT_SECONDS,
            max_line_size=defaults.MAX_HEADER_BYTES,
            max_field_size=defaults.MAX_HEADER_BYTES,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server, shutdown_timeout=HANDLER_END_SECONDS)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, *address, backlog=1024).start()

    def _rank_for_trial(self, subject: bytes) -> int:
        """Return how many hosts try a culprit before this one."""
        hosts = rendezvous.rank_owners(
            subject.hex(), self.members.list_hosts()
        )
        host = self.settings.host
        return hosts.index(host) if host in hosts else 0

    def is_ready(self) -> bool:
        """Return whether the load balancer should send connections here."""
        if self.shutdown.requested or not self.catalog.has_snapshot:
            return False
        if self.catalog.configuration is None:
            return False
        limit = self.settings.key_withdrawal_seconds
        age = clock.read_time() - self.catalog.confirmed_at
        return (
            limit is None or age < dispatch.MAX_CONFIRMATION_AGE_SHARE * limit
        )

    async def _handle_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready() else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path == explanations.PATH:
            return await self.explainer.handle(request)
        body, content_type = self.metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    @mode.Service.task
    async def _flush_decisions(self) -> None:
        await self.decisions.run()

    @mode.Service.task
    async def _watch_pauses(self) -> None:
        await self.pauses.run()

    @mode.Service.task
    async def _watch_platform_store(self) -> None:
        await follower.StoreFollower(
            self.platform.record_source,
            follower.WATCH_INTERVAL_SHARE * self.settings.leaving_seconds,
            self.catalog,
            (self.members, self.election, self.versions),
            self.decisions,
            self.relay,
            self.fleet_relay,
        ).run()

    @mode.Service.task
    async def _relay_operator_records(self) -> None:
        await self.relay.run()

    @mode.Service.task
    async def _maintain_membership(self) -> None:
        await self.members.run()

    @mode.Service.task
    async def _watch_context_stores(self) -> None:
        await self.context_stores.run()

    @mode.Service.task
    async def _exchange_suspicions(self) -> None:
        await self.suspicion_exchange.run()

    @mode.Service.task
    async def _share_loads(self) -> None:
        await loads.LoadSharing(self.loads, self.channel, self.members).run()

    @mode.Service.task
    async def _run_election(self) -> None:
        await self.election.run()

    @mode.Service.task
    async def _roll_out_weights(self) -> None:
        await orders.WeightsRollout(
            self.settings.host,
            self.catalog,
            self.platform.engine_control,
            self.election,
            self.weight_status,
            self.members.list_hosts,
            self.decisions,
            is_leaving=self.server_statuses.is_leaving,
        ).run()

    @mode.Service.task
    async def _coordinate_rollouts(self) -> None:
        await self.rollouts.run()

    def reload(self, file: "SettingsFile", cause: str) -> None:
        """Apply the settings of a file that can change without a restart.

        A file that cannot be read changes nothing. `cause` is logged.
        """
        try:
            settings = file.read()
        except exceptions.SettingsError as error:
            self.decisions.write(
                "reload_failed", cause=cause, reason=error.message
            )
            return
        changed = [
            field.name
            for field in attrs.fields(entry_settings.EntrySettings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        ]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        self.settings = attrs.evolve(
            self.settings,
            **{name: getattr(settings, name) for name in applied},
        )
        self.dispatcher.retries.limits = self.settings.retries
        self.dispatcher.key_withdrawal_seconds = (
            self.settings.key_withdrawal_seconds
        )
        self.catalog.weights_limits = self.settings.weights_limits
        self.election.handover_pause_seconds = (
            self.settings.order_pause_seconds
        )
        self.decisions.write(
            "reload",
            cause=cause,
            applied=applied,
            after_restart=sorted(set(changed) - set(applied)),
        )

    async def drain(self) -> None:
        """Report that the host is not ready and finish requests in progress.

        Also ends this host's lease on sending orders. Returns when all answers
        are complete and taken by their callers, or the time to stop is over.
        """
        self.shutdown.begin(self.settings.shutdown_seconds)
        self.decisions.write("stop", in_progress=self.frontend.in_progress)
        # The platform's store may not answer, which must not delay the rest.
        resigning = asyncio.create_task(self.election.stop())
        await _sleep_until(self.shutdown.refused_until)
        while self._is_answering() and (
            clock.read_time() < self.shutdown.flushed_at
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        self.decisions.write("stopped", unfinished=self.frontend.in_progress)
        resigning.cancel()

    def _is_answering(self) -> bool:
        """Return whether an answer is not complete or not taken yet."""
        return self.frontend.in_progress > 0 or any(
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > 0
            for runner in self._runners
            if runner.server is not None
            for connection in runner.server.connections
        )

    def _log_stray_answer(self, stray: exchanges.StrayAnswer) -> None:
        self.decisions.write("stray_answer", **attrs.asdict(stray))

    async def on_stop(self) -> None:
        """Close the sockets and flush the decision log."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))
        await self.session.close()
        await self.peer_session.close()
        self.channel.close()
        self.decisions.flush()


class SettingsFile(t.Protocol):
    """The settings file."""

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read."""

    def read(self) -> entry_settings.EntrySettings:
        """Return the settings in the file.

        Raises `exceptions.SettingsError`.
        """


async def run(host: EntryHost, file: SettingsFile) -> None:
    """Run an entry host until SIGTERM or SIGINT.

    SIGHUP or a change of the settings file reloads the settings. A change
    that has not been noticed yet still applies to the shutdown.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await host.start()
    loop.add_signal_handler(signal.SIGHUP, host.reload, file, "signal")
    settings_task = asyncio.create_task(_watch_settings(host, file))
    await stop_requested.wait()
    settings_task.cancel()
    if file.has_changed():
        host.reload(file, "stop")
    await host.drain()
    await host.stop()


async def _sleep_until(time: float) -> None:
    """Sleep until a time of `clock.read_time`."""
    while (remaining := time - clock.read_time()) > 0:
        await asyncio.sleep(remaining)


async def _watch_settings(host: EntryHost, file: SettingsFile) -> None:
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_SECONDS)
        if file.has_changed():
            host.reload(file, "file")
