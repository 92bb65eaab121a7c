"""Rollout of new weights: one entry host at a time orders engines to load."""

import asyncio
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import election
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import rendezvous

# Share of the engines that load weights at the same time. Loading slows down
# with more at once; the users' data sheets give 2 of 5, 3 of 9, 18 of 45 and
# 28 of 70.
CONCURRENT_LOADING_SHARE = 0.37
# Interval between checks for outdated engines.
POLL_INTERVAL_SECONDS = 0.15
# Delay from an order to the first request for the engine's report. Loading
# takes 0.7 s or more, and a report is some hundred milliseconds old. An engine
# that by then neither loads nor has the weights gets the order again; its
# count of accepted orders invalidates the earlier one.
FIRST_REPORT_DELAY_SECONDS = 0.7
# Interval between further requests for the report. It is short because no host
# sends requests to the engine until the end of loading is known.
REPORT_INTERVAL_SECONDS = 0.2
# Time without progress of the rollout, or without a lease holder, after which
# the entry host of rank 0 tries to acquire the lease.
STALL_TIMEOUT_SECONDS = 0.1
# Additional delay of each further rank.
RANK_DELAY_SECONDS = 0.3


@attrs.frozen
class EngineReport:
    """An engine's report of its own state.

    `orders_accepted` counts the orders accepted since the engine started, and
    `busy` says that it is loading weights. `started_at` is the Unix time of
    its start in milliseconds, None if the report does not say.
    """

    weights: t.Mapping[str, int]
    orders_accepted: int
    busy: bool
    started_at: t.Optional[int] = None


class EngineControl(t.Protocol):
    """Calls to engines.

    Methods raise `exceptions.BackendUnreachable` if the engine does not
    answer in time.
    """

    async def read_report(self, server: topology.Server) -> EngineReport:
        """Return an engine's report of its own state."""

    async def order_weights(
        self,
        server: topology.Server,
        order: "WeightsOrder",
    ) -> None:
        """Order an engine to load weights.

        Raises `exceptions.OrderRefused` if the engine refuses the order.
        """


@attrs.frozen
class WeightsOrder:
    """An order to load a version of a model's weights.

    `orders_accepted` must equal the engine's count, so that an order that
    arrives late, after a newer one, has no effect. `fencing_token` grows with
    each new lease holder.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    orders_accepted: int


class WeightStatusAnnouncer(t.Protocol):
    """Broadcast of the weight status of engines to all entry hosts."""

    def announce_loading(self, server_id: str) -> None:
        """Announce that an engine was ordered to load weights."""

    def announce_loaded(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Announce the weight versions that an engine has loaded."""


@attrs.define
class _PendingOrder:
    """An order whose completion has not been reported yet.

    `next_report_at` is when to ask the engine for its report. `loading` says
    whether the engine is assumed to be loading.
    """

    next_report_at: float
    loading: bool = True


@attrs.define
class WeightsRollout:
    """Orders engines to load the target versions of their weights.

    One entry host at a time sends orders, by a lease in the platform store,
    and only while it is certain to hold the lease. `members` returns the live
    entry hosts, which compete for the lease in an order of ranks. An engine
    for which `is_leaving` returns True gets no orders.
    """

    host: str
    catalog: catalogs.Catalog
    control: EngineControl
    election: election.Election
    announcer: WeightStatusAnnouncer
    members: t.Callable[[], t.Collection[str]]
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    is_leaving: t.Callable[[topology.Server], bool] = lambda server: False
    _pending_orders: t.Dict[str, _PendingOrder] = attrs.field(factory=dict)
    _last_progress: t.Optional[
        t.Tuple[bool, t.FrozenSet[t.Tuple[str, str, int]]]
    ] = None
    _stalled_since: float = 0.0
    _updates: t.Dict[str, "asyncio.Task[None]"] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Send orders, or compete for the lease, until cancelled."""
        try:
            while True:
                outdated = self._list_outdated_engines()
                self._track_progress(outdated)
                if self.election.may_send_orders():
                    self._start_due_updates(outdated)
                elif (outdated or self.election.vacant) and self._is_stalled():
                    self._stalled_since = self.read_time()
                    await self.election.campaign()
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            for task in self._updates.values():
                task.cancel()

    def _list_outdated_engines(
        self,
    ) -> t.List[t.Tuple[topology.Server, str, int]]:
        """Return engines with old weights, the model and target version.

        Those whose weights were replaced first come first, because they are
        the first that get no more requests.
        """
        outdated = [
            (server, model, version)
            for server in self.catalog.servers.values()
            if not server.draining and not self.is_leaving(server)
            for model, version in server.weights.items()
            if version < self.catalog.target_weights.get(model, 0)
        ]
        outdated.sort(
            key=lambda entry: (
                self.catalog.find_earliest_supersession(*entry[1:]),
                entry[2],
            )
        )
        return [
            (server, model, self.catalog.target_weights[model])
            for server, model, _ in outdated
        ]

    def _track_progress(
        self, outdated: t.List[t.Tuple[topology.Server, str, int]]
    ) -> None:
        versions = frozenset((s.id, model, v) for s, model, v in outdated)
        progress = (self.election.vacant, versions)
        if progress != self._last_progress:
            self._last_progress = progress
            self._stalled_since = self.read_time()

    def _is_stalled(self) -> bool:
        ranked = rendezvous.rank_owners("orders", self.members())
        if self.host not in ranked:
            return False
        wait = (
            STALL_TIMEOUT_SECONDS
            + ranked.index(self.host) * RANK_DELAY_SECONDS
        )
        return self.read_time() >= self._stalled_since + wait

    def _start_due_updates(
        self, outdated: t.List[t.Tuple[topology.Server, str, int]]
    ) -> None:
        """Start updates of engines, each a task of its own.

        An engine that does not answer must not delay the others.
        """
        self._drop_completed_orders({server.id for server, _, _ in outdated})
        now = self.read_time()
        engine_count = len(
            [s for s in self.catalog.servers.values() if s.weights]
        )
        loading_limit = max(1, round(CONCURRENT_LOADING_SHARE * engine_count))
        loading = sum(p.loading for p in self._pending_orders.values())
        for server, model, version in outdated:
            pending = self._pending_orders.get(server.id)
            if server.id in self._updates:
                continue
            if pending is None:
                if loading >= loading_limit:
                    continue
                loading += 1
                pending = _PendingOrder(now + FIRST_REPORT_DELAY_SECONDS)
                self._pending_orders[server.id] = pending
            elif now >= pending.next_report_at:
                pending.next_report_at = now + REPORT_INTERVAL_SECONDS
            else:
                continue
            self._start_update(server, model, version, pending)

    def _start_update(
        self,
        server: topology.Server,
        model: str,
        version: int,
        pending: _PendingOrder,
    ) -> None:
        task = asyncio.create_task(
            self._update_engine(server, model, version, pending)
        )
        self._updates[server.id] = task
        task.add_done_callback(lambda _: self._updates.pop(server.id))

    def _drop_completed_orders(self, outdated: t.Set[str]) -> None:
        self._pending_orders = {
            server_id: pending
            for server_id, pending in self._pending_orders.items()
            if server_id in outdated
        }

    async def _update_engine(
        self,
        server: topology.Server,
        model: str,
        version: int,
        pending: _PendingOrder,
    ) -> None:
        """Ask an engine for its report, and send an order if it needs one."""
        try:
            report = await self._read_report(server)
            if report.weights.get(model, 0) >= version:
                self.announcer.announce_loaded(server.id, report.weights)
                self._pending_orders.pop(server.id, None)
                return
            pending.loading = True
            if not report.busy:
                await self._send_order(server, model, version, report, pending)
        except (
            exceptions.OrderRefused,
            exceptions.BackendUnreachable,
        ) as error:
            self.log.write(
                "order_failed", server=server.id, reason=error.message
            )
            pending.loading = False
            pending.next_report_at = self.read_time() + REPORT_INTERVAL_SECONDS

    async def _read_report(self, server: topology.Server) -> EngineReport:
        """Return the report of an engine, which is that of no other one.

        Reports are not addressed to an engine, and the address of one that
        crashed may belong to another already. Raises
        `exceptions.BackendUnreachable`.
        """
        report = await self.control.read_report(server)
        if (
            server.started_at
            and report.started_at is not None
            and report.started_at != server.started_at
        ):
            raise exceptions.BackendUnreachable(
                f"the engine at {server.address} is another one"
            )
        return report

    async def _send_order(
        self,
        server: topology.Server,
        model: str,
        version: int,
        report: EngineReport,
        pending: _PendingOrder,
    ) -> None:
        fencing_token = self.election.get_fencing_token()
        if fencing_token is None:
            return
        pending.next_report_at = self.read_time() + FIRST_REPORT_DELAY_SECONDS
        self.log.write(
            "order",
            server=server.id,
            model=model,
            version=version,
            fence=fencing_token,
            orders_accepted=report.orders_accepted,
        )
        await self.control.order_weights(
            server,
            WeightsOrder(
                model,
                version,
                self.host,
                fencing_token,
                report.orders_accepted,
            ),
        )
        self.announcer.announce_loading(server.id)
