"""Choice of a backend server for one request."""

import collections
import functools
import random
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import contexts
from sesamefold.entry import decisions
from sesamefold.entry import loads
from sesamefold.entry import requests
from sesamefold.entry import throttle
from sesamefold.entry import topology
from sesamefold import rendezvous

# Time for which a server that broke off gets no request if it does not report
# itself meanwhile, seconds. Reports that miss three intervals of about 1.2 s
# remove the server.
SUSPECT_SECONDS = 4.0
# Age from which a reported load counts no more, seconds. Runs of engines take
# about a second.
LOAD_SECONDS = 1.0
# Tokens of prompts that an engine reads in a millisecond beside its running
# requests, and those that it fetches; both are rough, and only the order of
# the servers depends on them.
READ_TOKENS_PER_MS = 100.0
FETCH_TOKENS_PER_MS = 300.0
# Tokens of memory that an engine's runs give back in a millisecond.
RELEASED_TOKENS_PER_MS = 50.0
# What one running request delays the others, milliseconds.
RUN_MS = 2.0
# What a request that waits for a slot delays the next one, milliseconds.
QUEUE_MS = 50.0
# Engines of this region, and of the others, among which one is chosen where
# there are more than twice as many. Loads that other hosts told are some
# hundred milliseconds old; if all chose the best of all engines, the same few
# would get the requests of that time.
SAMPLED_ENGINES = 5
# What another data centre of the region costs: its distance and the price of
# bytes between data centres, milliseconds.
DATA_CENTRE_MS = 4.0
# What another region costs: its distance and the price of bytes between
# regions, milliseconds.
REGION_MS = 45.0
# What it costs, beside the time, that a token is read which a store of some
# region holds, milliseconds.
READ_AGAIN_MS = 0.01
# What an answer on replaced weights costs, milliseconds.
OLD_WEIGHTS_MS = 25.0
# Parts of an engine's memory up to which requests of the ranks within a
# priority are sent, the most urgent first. What runs need is estimated, and an
# engine that runs out of memory preempts runs and reads their prompts again.
MEMORY_SHARES = (0.97, 0.93, 0.87)
# Time after a server's refusal in which it gets no request, seconds. Engines
# refuse while they load weights, which takes about a second.
REFUSAL_SECONDS = 0.4
# Time after an order to load weights in which the engine gets no request
# unless it is known to have them, seconds. Loading takes about a second.
LOADING_SECONDS = 1.2
# Part of a prompt's shared context that is probably still in the engine that
# ran the session last, or that ranks first for it.
LAST_ENGINE_SHARE = 0.8
FIRST_ENGINE_SHARE = 0.5
# Sessions whose last engine this host remembers.
REMEMBERED_SESSIONS = 20_000
# Weight of the latest outcome in a server's failure rate.
FAILURE_WEIGHT = 0.2
# Failure rate from which a server gets requests only when others cannot, and
# the time after which it is tried again, seconds.
FAILURE_LIMIT = 0.25
FAILURE_RETRY_SECONDS = 1.5


@attrs.frozen
class _Demand:
    """What a request needs of an engine, in tokens.

    `memory_limit` is the memory up to which an engine is filled for it.
    """

    model: str
    tokens: int
    shared_tokens: int
    memory_tokens: int
    memory_limit: float

    def count_free(self, load: loads.Load) -> float:
        """Return the tokens that are free after the request was taken.

        A request that is larger than the limit finds room when it is alone.
        """
        if not load.memory_tokens:
            return 0.0
        return self.memory_limit - load.memory_tokens - self.memory_tokens


@attrs.define
class ServerState:
    """What this host learned of a server by its own requests.

    The instants are of `clock.read_time`.
    """

    load: t.Optional[requests.ServerLoad] = None
    load_at: float = float("-inf")
    refused_until: float = float("-inf")
    suspect_until: float = float("-inf")
    suspect_life: t.Tuple[int, int] = (0, 0)
    heard_at: float = float("-inf")
    failure_rate: float = 0.0
    failed_at: float = float("-inf")

    def count_reported(self, now: float) -> int:
        """Return the requests that the server told of lately."""
        if self.load is None or now - self.load_at > LOAD_SECONDS:
            return 0
        return self.load.running + self.load.waiting


@attrs.define
class Placement:
    """Chooses servers and learns from what becomes of the requests.

    A server that takes no connection gets nothing before it reports itself
    again: it may have restarted, and then it is cold.
    """

    catalog: catalogs.Catalog
    cold: throttle.ColdThrottle
    loads: loads.Loads
    contexts: contexts.ContextStores
    data_centre: str
    regions: t.Mapping[str, str]
    region: str
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    states: t.DefaultDict[str, ServerState] = attrs.field(
        factory=lambda: collections.defaultdict(ServerState)
    )
    _sessions: t.Dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.catalog.on_report.append(self._clear_suspicion)
        self.catalog.on_removal.append(self._forget)

    def choose_server(
        self, call: requests.Call
    ) -> t.Optional[t.Tuple[topology.Server, bool]]:
        """Return a server and whether it is cold, None if none is usable."""
        now = self.read_time()
        usable = self._list_usable(call, now)
        if not usable:
            return None
        sound = [s for s in usable if not self._is_failing(s, now)] or usable
        if call.intake.prompt is not None:
            chosen = self._choose_engine(call, call.intake.prompt, sound)
        else:
            near = [s for s in sound if self._is_near(s)] or sound
            chosen = min(near, key=functools.partial(self._weigh, now=now))
        return chosen, now < chosen.cold_until

    def _list_usable(
        self, call: requests.Call, now: float
    ) -> t.List[topology.Server]:
        allowed = call.list_regions()
        configuration = self.catalog.require_configuration()
        service = configuration.services.get(call.service)
        rate = service.cold_rate if service else 0.0
        return [
            server
            for server in self.catalog.list_servers(call.service)
            if server.id not in call.tried
            and now >= self.states[server.id].suspect_until
            and now >= self.states[server.id].refused_until
            and (
                allowed is None
                or self.regions.get(server.data_centre) in allowed
            )
            and (
                now >= server.cold_until or self.cold.has_room(server.id, rate)
            )
        ]

    def _is_near(self, server: topology.Server) -> bool:
        return self.regions.get(server.data_centre) == self.region

    def _is_failing(self, server: topology.Server, now: float) -> bool:
        state = self.states[server.id]
        return (
            state.failure_rate > FAILURE_LIMIT
            and now < state.failed_at + FAILURE_RETRY_SECONDS
        )

    def _weigh(
        self, server: topology.Server, now: float
    ) -> t.Tuple[float, bool]:
        """Return the requests at a server; the nearest wins a tie."""
        known = self.loads.get_load(server.id).requests
        reported = self.states[server.id].count_reported(now)
        return max(known, reported), server.data_centre != self.data_centre

    def _choose_engine(
        self,
        call: requests.Call,
        prompt: requests.Prompt,
        servers: t.Sequence[topology.Server],
    ) -> topology.Server:
        """Return the engine that probably answers first."""
        session = prompt.get_session()
        near = [s for s in servers if self._is_near(s)]
        first = rendezvous.choose_owner(session, (s.id for s in near))
        last = self._sessions.get(session)
        if len(servers) > 2 * SAMPLED_ENGINES:
            far = [s for s in servers if not self._is_near(s)]
            known = [s for s in servers if s.id in (first, last)]
            servers = _draw(near) + _draw(far) + known
        stored = self._count_stored(call, prompt, servers)
        cached_anywhere = max(stored.values())
        demand = self._measure(call, prompt)

        def estimate(server: topology.Server) -> float:
            share = 0.0
            if server.id == first:
                share = FIRST_ENGINE_SHARE
            if server.id == last:
                share = LAST_ENGINE_SHARE
            again = cached_anywhere - stored[server.id]
            return READ_AGAIN_MS * again + self._estimate_ms(
                demand, server, share, stored[server.id]
            )

        return min(servers, key=estimate)

    def _count_stored(
        self,
        call: requests.Call,
        prompt: requests.Prompt,
        servers: t.Sequence[topology.Server],
    ) -> t.Dict[str, int]:
        """Return the tokens that each server can fetch, by its id.

        They are the same for all servers of a region with the same weights.
        """
        known: t.Dict[t.Tuple[t.Any, t.Any], int] = {}
        stored = {}
        for server in servers:
            key = (
                self.regions.get(server.data_centre),
                server.weights.get(prompt.model),
            )
            if key not in known:
                known[key] = self.contexts.count_fetchable_tokens(call, server)
            stored[server.id] = known[key]
        return stored

    def _measure(
        self, call: requests.Call, prompt: requests.Prompt
    ) -> _Demand:
        rank = min(call.route.priority, len(MEMORY_SHARES) - 1)
        return _Demand(
            model=prompt.model,
            tokens=prompt.tokens,
            shared_tokens=prompt.count_shared(),
            memory_tokens=loads.estimate_memory(prompt),
            memory_limit=MEMORY_SHARES[rank] * self._get_capacity(call),
        )

    def _estimate_ms(
        self,
        demand: _Demand,
        server: topology.Server,
        cached_share: float,
        stored: int,
    ) -> float:
        """Return the milliseconds to the first token, roughly.

        `cached_share` is the part of the shared context that the engine
        probably has, `stored` the tokens that it can fetch.
        """
        load = self.loads.get_load(server.id)
        missing = (1 - cached_share) * demand.shared_tokens
        fetched = min(stored, missing)
        read = demand.tokens - demand.shared_tokens + missing - fetched
        overflow = max(0.0, -demand.count_free(load))
        return (
            (load.unread_tokens + read) / READ_TOKENS_PER_MS
            + fetched / FETCH_TOKENS_PER_MS
            + load.requests * RUN_MS
            + max(0, load.requests + 1 - server.slots) * QUEUE_MS
            + overflow / RELEASED_TOKENS_PER_MS
            + DATA_CENTRE_MS * (server.data_centre != self.data_centre)
            + REGION_MS * (not self._is_near(server))
            + OLD_WEIGHTS_MS * self._has_old_weights(demand.model, server)
        )

    def _has_old_weights(self, model: str, server: topology.Server) -> bool:
        named = self.catalog.weights.get(model, 0)
        return server.weights.get(model, named) < named

    def has_capacity(
        self, call: requests.Call, server: topology.Server
    ) -> bool:
        """Tell whether an engine has a slot and the memory for a request."""
        prompt = call.intake.prompt
        if prompt is None:
            return True
        load = self.loads.get_load(server.id)
        if load.requests >= server.slots:
            return False
        return self._measure(call, prompt).count_free(load) >= 0

    def describe_missing_capacity(
        self,
        call: requests.Call,
        chosen: t.Optional[t.Tuple[topology.Server, bool]],
    ) -> str:
        """Return why a request finds no server, for its error."""
        known = self.catalog.list_servers(call.service)
        if chosen is None:
            return f"none of {len(known)} backend servers is usable"
        server, _ = chosen
        load = self.loads.get_load(server.id)
        return (
            f"no backend server has room; the best of {len(known)}, "
            f"{server.id}, has {load.requests} requests with "
            f"{load.memory_tokens} tokens"
        )

    def record_mismatch(
        self, call: requests.Call, server: topology.Server
    ) -> None:
        """Learn that a server is another one, or has other weights.

        An engine that was to get new weights probably has them; if not, it
        refuses the next request as well.
        """
        prompt = call.intake.prompt
        if prompt is not None and self._has_old_weights(prompt.model, server):
            named = {prompt.model: self.catalog.weights[prompt.model]}
            self.catalog.note_weights(server.id, {**server.weights, **named})
        else:
            self.record_refusal(server)

    def record_refusal(self, server: topology.Server) -> None:
        """Send nothing to a server for a moment."""
        until = self.read_time() + REFUSAL_SECONDS
        self.states[server.id].refused_until = until

    def record_loading(self, server: topology.Server) -> None:
        """Send nothing to an engine that loads weights."""
        until = self.read_time() + LOADING_SECONDS
        self.states[server.id].refused_until = until

    def record_loaded(self, server: topology.Server) -> None:
        """Send requests to an engine that has loaded weights."""
        self.states[server.id].refused_until = float("-inf")

    def _get_capacity(self, call: requests.Call) -> float:
        configuration = self.catalog.require_configuration()
        service = configuration.services.get(call.service)
        engine = service.engine if service else None
        return float(engine.cache_tokens) if engine else float("inf")

    def record_request(
        self, call: requests.Call, server: topology.Server, cold: bool
    ) -> loads.Reservation:
        """Count a request that is sent; the caller ends the reservation."""
        if cold:
            self.cold.record(server.id)
        prompt = call.intake.prompt
        unread = 0
        if prompt is not None:
            unread = prompt.tokens - self.contexts.count_fetchable_tokens(
                call, server
            )
            session = prompt.get_session()
            self._sessions.pop(session, None)
            self._sessions[session] = server.id
            if len(self._sessions) > REMEMBERED_SESSIONS:
                self._sessions.pop(next(iter(self._sessions)))
        return self.loads.reserve(
            server.id, loads.estimate_memory(prompt), max(0, unread)
        )

    def record_reply(
        self, server: topology.Server, head: requests.ReplyHead
    ) -> None:
        """Learn from the head of a reply."""
        state = self.states[server.id]
        if head.load is not None:
            state.load, state.load_at = head.load, self.read_time()

    def record_outcome(self, server: topology.Server, failed: bool) -> None:
        """Learn whether the server did its work."""
        state = self.states[server.id]
        state.failure_rate += FAILURE_WEIGHT * (failed - state.failure_rate)
        if failed:
            state.failed_at = self.read_time()

    def suspect(self, server: topology.Server, reason: str) -> None:
        """Send nothing to a server before it reports itself again."""
        state = self.states[server.id]
        state.suspect_until = self.read_time() + SUSPECT_SECONDS
        known = self.catalog.servers.get(server.id, server)
        state.suspect_life = (known.started_at, known.sequence)
        self.log.write("server_suspected", server=server.id, reason=reason)

    def record_activity(self, server: topology.Server) -> None:
        """Note that a server sent something."""
        self.states[server.id].heard_at = self.read_time()

    def is_silent(self, server: topology.Server, seconds: float) -> bool:
        """Tell whether a server sent nothing at all for some time."""
        heard_at = self.states[server.id].heard_at
        return self.read_time() - heard_at >= seconds

    def _forget(self, server_id: str) -> None:
        self.states.pop(server_id, None)
        self.cold.forget(server_id)

    def _clear_suspicion(self, server: topology.Server) -> None:
        state = self.states.get(server.id)
        if state is None or state.suspect_until == float("-inf"):
            return
        if (server.started_at, server.sequence) > state.suspect_life:
            state.suspect_until = float("-inf")
            self.log.write("server_trusted", server=server.id)


def _draw(servers: t.Sequence[topology.Server]) -> t.List[topology.Server]:
    """Return some of the servers, drawn at random."""
    return random.sample(servers, min(SAMPLED_ENGINES, len(servers)))
