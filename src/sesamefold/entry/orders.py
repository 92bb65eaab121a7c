"""Orders to engines to load new weights, by one entry host at a time."""

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

# Share of a service's engines that load weights at the same time. More at
# once load more slowly; the users' sheets give 2 of 5, 3 of 9, 18 of 45 and
# 28 of 70.
CONCURRENT_SHARE = 0.37
# Time between two looks at the engines, seconds.
POLL_INTERVAL = 0.15
# Time after an order from which the engine is asked for its state, and between
# two questions, seconds. Loading takes 0.7 s or more, and all hosts leave the
# engine alone until its end is known; reports are some hundred milliseconds
# old. An engine that is neither loading nor done by then gets the order again;
# its count of orders voids the earlier one.
FIRST_REPORT_SECONDS = 0.7
REPORT_INTERVAL = 0.2
# Time without progress of the rollout, or without a host that orders, after
# which the host of rank 0 tries to become it, and what each further rank waits
# longer, seconds.
STALL_SECONDS = 0.1
RANK_SECONDS = 0.3


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    `orders_accepted` counts the orders of the engine's life.
    """

    weights: t.Mapping[str, int]
    orders_accepted: int
    busy: bool


class EngineControl(t.Protocol):
    """Orders to engines.

    Methods raise `exceptions.BackendUnreachable` when the engine does not
    answer in time.
    """

    async def read_report(self, server: topology.Server) -> EngineReport:
        """Return an engine's report of itself."""

    async def order_weights(
        self,
        server: topology.Server,
        order: "WeightsOrder",
    ) -> None:
        """Order new weights; raises `exceptions.OrderRefused`."""


@attrs.frozen
class WeightsOrder:
    """An order to load a version of a model's weights.

    `orders_accepted` must equal the engine's count, so that an order that is
    carried out late, after a newer one, has no effect. `fence` grows with
    each host that orders.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    orders_accepted: int


class RolloutAnnouncer(t.Protocol):
    """What all entry hosts should know of the rollout at once."""

    def announce_loading(self, server_id: str) -> None:
        """Tell that an engine was ordered to load weights."""

    def announce_loaded(
        self, server_id: str, weights: t.Mapping[str, int]
    ) -> None:
        """Tell the weights that an engine has."""


@attrs.define
class _Pending:
    """An order whose effect has not been seen yet.

    `loading` tells that the engine probably carries it out.
    """

    report_at: float
    loading: bool = True


@attrs.define
class WeightsRollout:
    """Brings the engines to the named weights.

    One entry host orders at a time, by a lease in the platform's store, and
    orders only while it is certain of the lease.
    """

    host: str
    catalog: catalogs.Catalog
    control: EngineControl
    election: election.Election
    news: RolloutAnnouncer
    members: t.Callable[[], t.Collection[str]]
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _pending: t.Dict[str, _Pending] = attrs.field(factory=dict)
    _seen: t.Optional[t.Tuple[bool, t.FrozenSet[t.Tuple[str, int]]]] = None
    _stalled_since: float = 0.0

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            stale = self._list_stale()
            self._note_progress(stale)
            if self.election.may_send_orders():
                await self._order(stale)
            elif (stale or self.election.vacant) and self._is_stalled():
                self._stalled_since = self.read_time()
                await self.election.campaign()
            await asyncio.sleep(POLL_INTERVAL)

    def _list_stale(self) -> t.List[t.Tuple[topology.Server, str, int]]:
        """Return the engines with old weights, the model and new version."""
        return [
            (server, model, self.catalog.target_weights[model])
            for server in list(self.catalog.servers.values())
            if not server.draining
            for model, version in server.weights.items()
            if version < self.catalog.target_weights.get(model, 0)
        ]

    def _note_progress(
        self, stale: t.List[t.Tuple[topology.Server, str, int]]
    ) -> None:
        versions = frozenset((server.id, v) for server, _, v in stale)
        seen = (self.election.vacant, versions)
        if seen != self._seen:
            self._seen = seen
            self._stalled_since = self.read_time()

    def _is_stalled(self) -> bool:
        ranked = rendezvous.rank_owners("orders", self.members())
        if self.host not in ranked:
            return False
        wait = STALL_SECONDS + ranked.index(self.host) * RANK_SECONDS
        return self.read_time() >= self._stalled_since + wait

    async def _order(
        self, stale: t.List[t.Tuple[topology.Server, str, int]]
    ) -> None:
        self._forget_done({server.id for server, _, _ in stale})
        now = self.read_time()
        engines = len([s for s in self.catalog.servers.values() if s.weights])
        places = max(1, round(CONCURRENT_SHARE * engines))
        starting: t.List[t.Tuple[topology.Server, str, int]] = []
        for server, model, version in stale:
            pending = self._pending.get(server.id)
            if pending is None:
                loading = sum(p.loading for p in self._pending.values())
                if loading + len(starting) < places:
                    starting.append((server, model, version))
            elif now >= pending.report_at:
                pending.report_at = now + REPORT_INTERVAL
                starting.append((server, model, version))
        await asyncio.gather(
            *(self._advance(*entry, now=now) for entry in starting)
        )

    def _forget_done(self, stale: t.Set[str]) -> None:
        self._pending = {
            server_id: pending
            for server_id, pending in self._pending.items()
            if server_id in stale
        }

    async def _advance(
        self, server: topology.Server, model: str, version: int, now: float
    ) -> None:
        """Ask an engine for its state, and order what it lacks."""
        pending = self._pending.setdefault(
            server.id, _Pending(now + FIRST_REPORT_SECONDS)
        )
        try:
            report = await self.control.read_report(server)
            if report.weights.get(model, 0) >= version:
                self.news.announce_loaded(server.id, report.weights)
                self._pending.pop(server.id, None)
                return
            pending.loading = True
            if not report.busy:
                await self._send(server, model, version, report, pending)
        except (
            exceptions.OrderRefused,
            exceptions.BackendUnreachable,
        ) as error:
            self.log.write(
                "order_failed", server=server.id, reason=error.message
            )
            pending.loading = False
            pending.report_at = self.read_time() + REPORT_INTERVAL

    async def _send(
        self,
        server: topology.Server,
        model: str,
        version: int,
        report: EngineReport,
        pending: _Pending,
    ) -> None:
        fence = self.election.get_fencing_token()
        if fence is None:
            return
        pending.report_at = self.read_time() + FIRST_REPORT_SECONDS
        self.log.write(
            "order",
            server=server.id,
            model=model,
            version=version,
            fence=fence,
            orders_accepted=report.orders_accepted,
        )
        await self.control.order_weights(
            server,
            WeightsOrder(
                model, version, self.host, fence, report.orders_accepted
            ),
        )
        self.news.announce_loading(server.id)
