"""Choice of a backend server for a request."""

import functools
import math
import random
import typing as t

import attrs

from sesamefold.entry import balancing
from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import contention
from sesamefold.entry import context_stores
from sesamefold.entry import decisions
from sesamefold.entry import loads
from sesamefold.entry import requests
from sesamefold.entry import server_status
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold.entry import version_routing
from sesamefold import rendezvous

# Prompt tokens that an engine prefills per millisecond beside its running
# requests. The value is rough and affects only the order of the servers.
PREFILL_TOKENS_PER_MS = 100.0
# Cached tokens that an engine fetches from a store per millisecond. The value
# is rough and affects only the order of the servers.
FETCH_TOKENS_PER_MS = 300.0
# Tokens of memory that the requests of an engine release per millisecond.
RELEASED_TOKENS_PER_MS = 50.0
# Delay that a running request adds to the other ones, milliseconds.
RUNNING_REQUEST_MS = 2.0
# Delay that a request waiting for a slot adds to the next one, milliseconds.
QUEUED_REQUEST_MS = 50.0
# Number of engines sampled in this region, and in all others together, if
# there are more than twice as many. One of them is chosen, or the engine that
# served the session last or ranks first for it by rendezvous hashing.
# Loads received from other hosts are some hundred milliseconds old. If every
# host chose the best of all engines, the same few engines would get all
# requests of that time.
SAMPLED_ENGINES = 5
# Prompts that are longer than this are long, tokens, and wait while more than
# `MAX_PREFILL_TOKENS` wait for prefill at an engine: its streams would pause
# for longer than their callers bear.
LONG_PROMPT_TOKENS = 4000
MAX_PREFILL_TOKENS = 12_000
# Cost of another data centre in the region, milliseconds: its latency and the
# price of traffic between data centres.
OTHER_DATA_CENTRE_MS = 4.0
# Cost of another region, milliseconds: its latency and the price of traffic
# between regions.
OTHER_REGION_MS = 45.0
# Cost of recomputing a token that a store of some region holds, milliseconds,
# in addition to the time that it takes.
RECOMPUTED_TOKEN_MS = 0.01
# Cost of a reply computed with weights older than the target, milliseconds.
OLD_WEIGHTS_MS = 25.0
# Shares of an engine's memory up to which requests are sent to it, by the
# priority of the route, the most urgent first. The memory of a request is an
# estimate, and an engine that runs out of memory preempts requests and
# prefills their prompts again.
MEMORY_SHARES = (0.97, 0.93, 0.87)
# Time before the expiry of replaced weights by which the first token of a
# request on them is expected at the latest, seconds. A request begins with its
# first token only.
WEIGHTS_EXPIRY_MARGIN_SECONDS = 0.5
# Share of a prompt's shared context that is expected in the cache of the
# engine that served the session last.
LAST_ENGINE_CACHED_SHARE = 0.8
# Share of a prompt's shared context that is expected in the cache of the
# engine that ranks first for the session by rendezvous hashing.
OWNER_CACHED_SHARE = 0.5
# Slowdown of a server from which the other hosts are told of it, percent.
MIN_SHARED_PERCENT = 130
# Number of sessions whose last engine this host remembers.
REMEMBERED_SESSIONS = 20_000


@attrs.frozen
class _Demand:
    """Estimated needs of a request at an engine, in tokens.

    `shared_tokens` are the tokens of the prompt that other requests may share.
    `memory_limit_tokens` is the memory up to which an engine may be filled by
    the request.
    """

    model: str
    prompt_tokens: int
    shared_tokens: int
    memory_tokens: int
    memory_limit_tokens: float

    def count_free_memory(self, load: loads.Load) -> float:
        """Return the tokens of memory left once the request is added.

        The result is negative if the memory does not suffice. It is 0.0 for
        an idle engine, so that a request larger than the limit can run alone.
        """
        if not load.memory_tokens:
            return 0.0
        return (
            self.memory_limit_tokens - load.memory_tokens - self.memory_tokens
        )


@attrs.frozen
class Choice:
    """A server chosen for a request, and what it was chosen from.

    `cold` says whether the server is. `costs_ms` are the estimated costs of
    the engines that were compared by server id, empty for a request without
    a prompt.
    """

    server: topology.Server
    cold: bool
    costs_ms: t.Mapping[str, float]


@attrs.define
class Placement:
    """Chooses servers for requests and records the outcomes of requests.

    `data_centre` and `region` are those of this host; `regions` maps data
    centres to regions.

    A server that cannot be reached gets no request until it reports itself
    again, because it may have restarted and be cold.

    With `balances`, servers are drawn such that all hosts fill them evenly,
    and so they are if they share their machines with others; and long prompts
    are spread over the engines, because their prefill delays other streams.
    """

    catalog: catalogs.Catalog
    cold_throttle: throttle.ColdThrottle
    loads: loads.Loads
    context_stores: context_stores.ContextStores
    data_centre: str
    regions: t.Mapping[str, str]
    region: str
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    states: server_status.ServerStatuses = attrs.field(
        default=attrs.Factory(
            lambda self: server_status.ServerStatuses(
                self.log, self.read_time
            ),
            takes_self=True,
        )
    )
    versions: version_routing.VersionRouting = attrs.field(
        default=attrs.Factory(
            lambda self: version_routing.VersionRouting(
                self.catalog, False, self.log, self.read_time
            ),
            takes_self=True,
        )
    )
    balances: bool = False
    balancer: balancing.Balancer = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: balancing.Balancer(
                self.loads, self.get_slowdown, self.data_centre, self.balances
            ),
            takes_self=True,
        ),
    )
    _last_engines: t.Dict[str, str] = attrs.field(factory=dict)
    _shared_slowdowns: t.Dict[str, loads.SharedValue] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self.catalog.on_report.append(self.states.record_report)
        self.catalog.on_removal.append(self._forget_server)

    def choose_server(
        self, call: requests.Call
    ) -> t.Optional[t.Tuple[topology.Server, bool]]:
        """Return a server and whether it is cold, None if none is usable."""
        choice = self.explain_choice(call)
        return None if choice is None else (choice.server, choice.cold)

    def explain_choice(self, call: requests.Call) -> t.Optional[Choice]:
        """Return the choice of a server, None if none is usable.

        It has no effect on later choices until `record_request`.
        """
        now = self.read_time()
        costs_ms: t.Mapping[str, float] = {}
        usable = self._list_usable_servers(call, now)
        if not usable:
            return None
        staying = [
            pair for pair in usable if not pair[1].is_leaving(now)
        ] or usable
        healthy = [
            server for server, status in staying if not status.is_failing(now)
        ] or [server for server, _ in staying]
        if call.suspect:
            chosen = min(
                healthy, key=functools.partial(self._make_load_key, now=now)
            )
        elif call.head.prompt is not None:
            costs_ms = self._compare_engines(call, call.head.prompt, healthy)
            cheapest = min(costs_ms, key=costs_ms.__getitem__)
            chosen = next(s for s in healthy if s.id == cheapest)
        else:
            local = [s for s in healthy if self._is_in_region(s)] or healthy
            chosen = (
                self.balancer.draw_plain_server(local)
                if self.balances_service(call.service)
                else min(
                    local, key=functools.partial(self._make_load_key, now=now)
                )
            )
        return Choice(chosen, now < chosen.cold_until, costs_ms)

    def find_obstacle(
        self, call: requests.Call, server: topology.Server
    ) -> t.Optional[str]:
        """Return why a server gets no request now, None if it may get it.

        The conditions are those of `explain_choice`. Versions of a service
        that is rolled out are not considered.
        """
        now = self.read_time()
        status = self.states.get(server)
        configuration = self.catalog.require_configuration()
        service = configuration.services.get(call.service)
        rate = service.cold_rate if service else 0.0
        obstacles = {
            "tried before": not call.may_try(server.id),
            "suspected": now < status.suspected_until,
            "rests as it asked": status.is_resting(now),
            "not available": not status.is_available(now),
            "not in a permitted region": not self._is_permitted(
                server, call.list_permitted_regions()
            ),
            "its weights expire": now >= self._get_last_start(call, server),
            "cold, and its rate is used up": now < server.cold_until
            and not self.cold_throttle.allows_request(server.id, rate),
        }
        return next((text for text, holds in obstacles.items() if holds), None)

    def _list_usable_servers(
        self, call: requests.Call, now: float
    ) -> t.List[t.Tuple[topology.Server, server_status.ServerStatus]]:
        allowed = call.list_permitted_regions()
        configuration = self.catalog.require_configuration()
        service = configuration.services.get(call.service)
        rate = service.cold_rate if service else 0.0
        usable = [
            (server, status)
            for server in self.list_servers(call)
            if call.may_try(server.id)
            and (status := self.states.get(server)).is_available(now)
            and self._is_permitted(server, allowed)
            and now < self._get_last_start(call, server)
            and (
                now >= server.cold_until
                or self.cold_throttle.allows_request(server.id, rate)
            )
        ]
        preferred = self.versions.prefer_servers(
            call, [server for server, _ in usable]
        )
        if len(preferred) == len(usable):
            return usable
        return [pair for pair in usable if pair[0] in preferred]

    def list_servers(self, call: requests.Call) -> t.Sequence[topology.Server]:
        """Return the servers that may get a call, usable now or not."""
        return self.versions.select_servers(
            call, self.catalog.list_usable_servers(call.service)
        )

    def find_weights_expiry(
        self, call: requests.Call, server: topology.Server
    ) -> float:
        """Return when the weights that a request would use expire.

        It is `inf` for a request without a prompt, and for an engine that has
        the newest weights known.
        """
        prompt = call.head.prompt
        if prompt is None or prompt.model not in server.weights:
            return float("inf")
        return self.catalog.find_weights_expiry(
            prompt.model, server.weights[prompt.model]
        )

    def _get_last_start(
        self, call: requests.Call, server: topology.Server
    ) -> float:
        """Return until when a request may be sent to begin in time."""
        expiry = self.find_weights_expiry(call, server)
        prompt = call.head.prompt
        if prompt is None or not math.isfinite(expiry):
            return expiry
        first_token_ms = self._estimate_first_token_ms(
            self._estimate_demand(call, prompt), server, 0.0, 0
        )
        return expiry - WEIGHTS_EXPIRY_MARGIN_SECONDS - first_token_ms / 1000.0

    def has_untried_server(self, call: requests.Call) -> bool:
        """Return whether a server may take a request that failed at others.

        Servers that are suspected or paused for the moment count.
        """
        now = self.read_time()
        allowed = call.list_permitted_regions()
        return any(
            call.may_try(server.id)
            and self._is_permitted(server, allowed)
            and self.states.get(server).may_serve(now)
            for server in self.list_servers(call)
        )

    def find_rest_end(
        self, call: requests.Call, untried_only: bool
    ) -> t.Optional[float]:
        """Return when the first of the servers rests no longer.

        None unless all servers that could take the request have asked for a
        rest. Without `untried_only`, those that the request was sent to count
        as well, because they may take it when the caller comes back.
        """
        now = self.read_time()
        allowed = call.list_permitted_regions()
        ends = []
        for server in self.list_servers(call):
            status = self.states.get(server)
            if (
                (untried_only and not call.may_try(server.id))
                or now < status.suspected_until
                or not status.may_serve(now)
                or not self._is_permitted(server, allowed)
                or now >= self._get_last_start(call, server)
            ):
                continue
            if status.rest is None or not status.is_resting(now):
                return None
            ends.append(status.rest.until)
        return min(ends, default=None)

    def _is_permitted(
        self,
        server: topology.Server,
        regions: t.Optional[t.Container[str]],
    ) -> bool:
        """Return whether a server is in one of the regions, if any are set."""
        return (
            regions is None or self.regions.get(server.data_centre) in regions
        )

    def _is_in_region(self, server: topology.Server) -> bool:
        return self.regions.get(server.data_centre) == self.region

    def _make_load_key(
        self, server: topology.Server, now: float
    ) -> t.Tuple[float, bool]:
        """Return the sort key of a server, lowest for the least loaded one.

        The number of requests decides; a server of this data centre wins a
        tie.
        """
        known = self.loads.get_load(server.id).requests
        reported = self.states.get(server).count_reported_requests(now)
        return max(known, reported), server.data_centre != self.data_centre

    def _compare_engines(
        self,
        call: requests.Call,
        prompt: requests.Prompt,
        servers: t.Sequence[topology.Server],
    ) -> t.Dict[str, float]:
        """Return the estimated costs of the engines that come into question.

        The cost is the time to the first token, with surcharges for traffic,
        old weights and the recomputation of tokens that a store holds.
        """
        session = prompt.get_session_id()
        local = [s for s in servers if self._is_in_region(s)]
        owner = rendezvous.choose_owner(session, (s.id for s in local))
        last = self._last_engines.get(session)
        if len(servers) > 2 * SAMPLED_ENGINES:
            remote = [s for s in servers if not self._is_in_region(s)]
            if self.balances_service(call.service):
                limit = self._get_memory_capacity(call)
                servers = [
                    *self.balancer.draw_engines(
                        local, limit, True, (owner, last)
                    ),
                    *self.balancer.draw_engines(remote, limit, False, (last,)),
                ]
            else:
                likely = [s for s in servers if s.id in (owner, last)]
                servers = (
                    _sample_servers(local) + _sample_servers(remote) + likely
                )
        fetchable = self._count_fetchable_tokens(call, prompt, servers)
        most_fetchable = max(fetchable.values())
        demand = self._estimate_demand(call, prompt)

        def estimate_cost_ms(server: topology.Server) -> float:
            share = 0.0
            if server.id == owner:
                share = OWNER_CACHED_SHARE
            if server.id == last:
                share = LAST_ENGINE_CACHED_SHARE
            recomputed = most_fetchable - fetchable[server.id]
            return (
                RECOMPUTED_TOKEN_MS * recomputed
                + self._estimate_first_token_ms(
                    demand, server, share, fetchable[server.id]
                )
            )

        return {server.id: estimate_cost_ms(server) for server in servers}

    def balances_service(self, service: str) -> bool:
        """Return whether the hosts share the servers of a service evenly."""
        return self.balances or service in self.states.sharing_services

    def get_slowdown(self, server: topology.Server) -> float:
        """Return how many times as long as usual work takes at a server.

        It comes from this host's own answers of the server or from those of
        other hosts, and is 1.0 if none is recent.
        """
        own = self.states.get(server).find_slowdown(self.read_time())
        if own is not None:
            return own
        row = self.loads.get_load(loads.make_slowdown_row(server.id))
        if row.requests <= 0:
            return 1.0
        mean = row.memory_tokens / row.requests / 100
        return min(server_status.MAX_SLOWDOWN, max(1.0, mean))

    def _count_fetchable_tokens(
        self,
        call: requests.Call,
        prompt: requests.Prompt,
        servers: t.Sequence[topology.Server],
    ) -> t.Dict[str, int]:
        """Return the tokens that each server can fetch, by server id.

        Servers of a region with the same weights can fetch the same tokens,
        which are counted once.
        """
        known: t.Dict[t.Tuple[t.Any, t.Any], int] = {}
        fetchable = {}
        for server in servers:
            key = (
                self.regions.get(server.data_centre),
                server.weights.get(prompt.model),
            )
            if key not in known:
                known[key] = self.context_stores.count_fetchable_tokens(
                    call, server
                )
            fetchable[server.id] = known[key]
        return fetchable

    def _estimate_demand(
        self, call: requests.Call, prompt: requests.Prompt
    ) -> _Demand:
        rank = min(call.route.priority, len(MEMORY_SHARES) - 1)
        return _Demand(
            model=prompt.model,
            prompt_tokens=prompt.tokens,
            shared_tokens=prompt.count_shared_tokens(),
            memory_tokens=loads.estimate_memory(prompt),
            memory_limit_tokens=MEMORY_SHARES[rank]
            * self._get_memory_capacity(call),
        )

    def _estimate_first_token_ms(
        self,
        demand: _Demand,
        server: topology.Server,
        cached_share: float,
        fetchable: int,
    ) -> float:
        """Return a rough time to the first token, milliseconds.

        `cached_share` is the share of the shared context that is expected in
        the engine's cache, `fetchable` the number of tokens that the engine
        can fetch from a store. The result includes the surcharges for other
        data centres, other regions and old weights.
        """
        load = self.loads.get_load(server.id)
        uncached = (1 - cached_share) * demand.shared_tokens
        fetched = min(fetchable, uncached)
        prefill_tokens = (
            demand.prompt_tokens - demand.shared_tokens + uncached - fetched
        )
        overflow = max(0.0, -demand.count_free_memory(load))
        slowdown = (
            self.get_slowdown(server)
            if self.balances_service(server.service)
            else 1.0
        )
        return (
            (load.prefill_tokens + prefill_tokens)
            / PREFILL_TOKENS_PER_MS
            * slowdown
            + fetched / FETCH_TOKENS_PER_MS
            + load.requests * RUNNING_REQUEST_MS * slowdown
            + max(0, load.requests + 1 - server.slots) * QUEUED_REQUEST_MS
            + overflow / RELEASED_TOKENS_PER_MS
            + OTHER_DATA_CENTRE_MS * (server.data_centre != self.data_centre)
            + OTHER_REGION_MS * (not self._is_in_region(server))
            + OLD_WEIGHTS_MS * self._has_old_weights(demand.model, server)
        )

    def _has_old_weights(self, model: str, server: topology.Server) -> bool:
        target = self.catalog.target_weights.get(model, 0)
        return server.weights.get(model, target) < target

    def has_capacity(
        self,
        call: requests.Call,
        server: topology.Server,
        reserved: t.Optional[loads.Load] = None,
    ) -> bool:
        """Return whether a server has a free slot and memory for a request.

        Always true for a request without a prompt. `reserved` is what the
        request has reserved at the server already; it has waited long and no
        longer spares the other streams there.
        """
        prompt = call.head.prompt
        if prompt is None:
            return True
        load = self.loads.get_load(server.id)
        if reserved is not None:
            load += -reserved
        elif (
            self.balances
            and prompt.tokens > LONG_PROMPT_TOKENS
            and load.prefill_tokens > MAX_PREFILL_TOKENS
        ):
            return False
        if load.requests >= server.slots:
            return False
        return self._estimate_demand(call, prompt).count_free_memory(load) >= 0

    def is_usable(self, call: requests.Call, server: topology.Server) -> bool:
        """Return whether a request may be sent to a server now."""
        return any(
            usable.id == server.id and usable.started_at == server.started_at
            for usable, _ in self._list_usable_servers(call, self.read_time())
        )

    def compute_send_probability(
        self, call: requests.Call, ahead: float, waiting: float
    ) -> float:
        """Return with which probability a waiting request is sent now.

        `ahead` and `waiting` are the tokens of memory that requests of higher
        ranks and of its own rank wait for on other hosts.
        """
        prompt = t.cast(requests.Prompt, call.head.prompt)
        demand = self._estimate_demand(call, prompt)
        if not math.isfinite(demand.memory_limit_tokens):
            return 1.0
        free = 0.0
        for server, _ in self._list_usable_servers(call, self.read_time()):
            load = self.loads.get_load(server.id)
            if load.requests < server.slots:
                free += max(
                    0.0, demand.memory_limit_tokens - load.memory_tokens
                )
        return contention.compute_send_probability(
            free, demand.memory_tokens, ahead, demand.memory_tokens + waiting
        )

    def describe_missing_capacity(
        self,
        call: requests.Call,
        chosen: t.Optional[t.Tuple[topology.Server, bool]],
    ) -> str:
        """Return an error message that says why no server takes a request.

        `chosen` is the result of `choose_server`.
        """
        known = self.list_servers(call)
        if chosen is None:
            now = self.read_time()
            expired = sum(now >= self._get_last_start(call, s) for s in known)
            resting = sum(self.states.get(s).is_resting(now) for s in known)
            return (
                f"none of {len(known)} backend servers is usable, "
                f"{expired} have expired weights, {resting} rest"
            )
        server, _ = chosen
        load = self.loads.get_load(server.id)
        return (
            f"no backend server has free capacity; the best of {len(known)}, "
            f"{server.id}, has {load.requests} requests with "
            f"{load.memory_tokens} tokens"
        )

    def record_mismatch(
        self, call: requests.Call, server: topology.Server
    ) -> None:
        """Record that a server is not the expected one or has other weights.

        An engine with old weights has probably loaded the target weights
        meanwhile. If it refuses the next request as well, it has not.
        """
        prompt = call.head.prompt
        if prompt is not None:
            model = prompt.model
            replaced = self.states.get(server).versions_before_refusal
            if self._has_old_weights(model, server):
                replaced[model] = server.weights[model]
                self._set_version(
                    server, model, self.catalog.target_weights[model]
                )
                return
            if model in replaced:
                self._set_version(server, model, replaced.pop(model))
        self.record_refusal(server)

    def _set_version(
        self, server: topology.Server, model: str, version: int
    ) -> None:
        """Set the version of one model; other models may have new ones."""
        known = self.catalog.servers.get(server.id, server)
        self.catalog.update_weights(
            server.id, {**known.weights, model: version}
        )

    def record_refusal(self, server: topology.Server) -> None:
        """Record a refusal and pause requests to the server shortly."""
        self.states.record_refusal(server)

    def record_loading(self, server: topology.Server) -> None:
        """Record that an engine loads weights and pause requests to it."""
        self.states.record_loading(server)

    def record_loaded(self, server: topology.Server) -> None:
        """Record that an engine has loaded weights and resume requests."""
        self.states.record_loaded(server)

    def _get_memory_capacity(self, call: requests.Call) -> float:
        configuration = self.catalog.require_configuration()
        service = configuration.services.get(call.service)
        engine = service.engine if service else None
        return float(engine.cache_tokens) if engine else float("inf")

    def record_request(
        self, call: requests.Call, server: topology.Server, cold: bool
    ) -> loads.Reservation:
        """Record a request about to be sent and return its reservation.

        The caller must release the reservation when the request ends.
        """
        self.states.record_request(server)
        self.balancer.record_request(server.id)
        if cold:
            self.cold_throttle.record_request(server.id)
        prompt = call.head.prompt
        prefill_tokens = 0
        if prompt is not None:
            prefill_tokens = (
                prompt.tokens
                - self.context_stores.count_fetchable_tokens(call, server)
            )
            session = prompt.get_session_id()
            self._last_engines.pop(session, None)
            self._last_engines[session] = server.id
            if len(self._last_engines) > REMEMBERED_SESSIONS:
                self._last_engines.pop(next(iter(self._last_engines)))
        return self.loads.reserve(
            server.id, loads.estimate_memory(prompt), max(0, prefill_tokens)
        )

    def record_reply(
        self,
        call: requests.Call,
        server: topology.Server,
        head: requests.ReplyHead,
    ) -> None:
        """Record what the head of a reply says of its server."""
        for header in head.ignored_headers:
            self.log.write(
                "reply_header_ignored",
                request=call.request_id,
                server=server.id,
                header=header,
            )
        if head.mismatched and not self._is_sender(call, server, head):
            return
        if head.load is not None and not head.not_executed:
            self.states.record_load(server, head.load)
            self._share_slowdown(server, head.load)
        if head.leaving and head.is_genuine():
            self.states.record_leaving(server, call.request_id)
        if head.rest_seconds is not None:
            self.states.record_rest(server, head.rest_seconds, call.request_id)

    def record_run_seconds(self, service: str, seconds: float) -> None:
        """Record how long a run of a service took."""
        self.balancer.record_run_seconds(service, seconds)

    def _share_slowdown(
        self, server: topology.Server, load: requests.ReportedLoad
    ) -> None:
        """Tell the other hosts, with the loads, that a server is slow now."""
        if load.slowdown is None:
            return
        percent = round(100 * min(load.slowdown, server_status.MAX_SLOWDOWN))
        known = self._shared_slowdowns.pop(server.id, None)
        if known is not None:
            known.release()
        if percent >= MIN_SHARED_PERCENT:
            self._shared_slowdowns[server.id] = self.loads.share_value(
                loads.make_slowdown_row(server.id),
                percent,
                self.read_time() + server_status.SLOWDOWN_EXPIRY_SECONDS,
            )

    def _is_sender(
        self,
        call: requests.Call,
        server: topology.Server,
        head: requests.ReplyHead,
    ) -> bool:
        """Return whether a refusal for a mismatch is the server's own.

        Without the id of its sender, it may be that of another server at the
        address, unless the engine may have loaded weights unnoticed.
        """
        if head.server_id is not None:
            return head.server_id == server.id
        prompt = call.head.prompt
        return prompt is not None and self._has_old_weights(
            prompt.model, server
        )

    def record_outcome(self, server: topology.Server, failed: bool) -> None:
        """Update a server's failure rate with the outcome of a request."""
        self.states.record_outcome(server, failed)

    def suspect(self, server: topology.Server, reason: str) -> None:
        """Pause requests to a server until it reports itself again."""
        latest = self.catalog.servers.get(server.id)
        if latest is None or latest.started_at == server.started_at:
            self.states.suspect(latest or server, reason)

    def record_replaced(self, server: topology.Server, reason: str) -> None:
        """Send nothing to a server whose address another one has taken."""
        latest = self.catalog.servers.get(server.id)
        if latest is None or latest.started_at == server.started_at:
            self.states.record_replaced(latest or server, reason)

    def record_activity(self, server: topology.Server) -> None:
        """Record that a server has just sent data."""
        self.states.record_activity(server)

    def measure_silence(self, server: topology.Server) -> float:
        """Return the seconds since a server last sent data, `inf` if never.

        Data of every request that this host has at the server counts.
        """
        return self.states.measure_silence(server)

    def _forget_server(self, server_id: str) -> None:
        self.states.forget_server(server_id)
        self.cold_throttle.forget_server(server_id)
        self.balancer.forget_server(server_id)
        shared = self._shared_slowdowns.pop(server_id, None)
        if shared is not None:
            shared.release()


def _sample_servers(
    servers: t.Sequence[topology.Server],
) -> t.List[topology.Server]:
    """Return at most `SAMPLED_ENGINES` servers, drawn at random."""
    return random.sample(servers, min(SAMPLED_ENGINES, len(servers)))
