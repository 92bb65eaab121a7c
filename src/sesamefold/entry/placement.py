"""Choice of a backend server for one request."""

import collections
import functools
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
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
# Requests above the mean by which a server with the context of a prompt may
# be loaded and still be preferred, as a factor and as a number.
AFFINITY_FACTOR = 1.3
AFFINITY_SLACK = 2.0
# Weight of the latest outcome in a server's failure rate.
FAILURE_WEIGHT = 0.2
# Failure rate from which a server gets requests only when others cannot, and
# the time after which it is tried again, seconds.
FAILURE_LIMIT = 0.25
FAILURE_RETRY_SECONDS = 1.5


@attrs.define
class ServerState:
    """What this host learned of a server by its own requests.

    `running` counts the requests that this host has there. The instants are
    of `clock.read_time`.
    """

    running: int = 0
    load: t.Optional[requests.ServerLoad] = None
    load_at: float = float("-inf")
    suspect_until: float = float("-inf")
    uncertain_until: float = float("-inf")
    suspect_life: t.Tuple[int, int] = (0, 0)
    failure_rate: float = 0.0
    failed_at: float = float("-inf")

    def estimate_load(self, now: float) -> float:
        """Return the requests that are probably at the server."""
        if self.load is None or now - self.load_at > LOAD_SECONDS:
            return float(self.running)
        reported = self.load.running + self.load.waiting
        return float(max(self.running, reported))


@attrs.define
class Placement:
    """Chooses servers and learns from what becomes of the requests.

    A server that takes no connection gets nothing before it reports itself
    again. One that broke off a connection may have restarted, so until its
    next report it counts as cold.
    """

    catalog: catalogs.Catalog
    cold: throttle.ColdThrottle
    regions: t.Mapping[str, str]
    region: str
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    states: t.DefaultDict[str, ServerState] = attrs.field(
        factory=lambda: collections.defaultdict(ServerState)
    )

    def __attrs_post_init__(self) -> None:
        self.catalog.on_report.append(self._clear_suspicion)

    def choose(
        self, call: requests.Call
    ) -> t.Optional[t.Tuple[topology.Server, bool]]:
        """Return a server and whether it is cold, None if none is usable."""
        now = self.read_time()
        usable = self._list_usable(call, now)
        if not usable:
            return None
        near = [s for s in usable if self._is_near(s)] or usable
        sound = [s for s in near if not self._is_failing(s, now)] or near
        if call.intake.prompt is not None:
            chosen = self._choose_by_context(call.intake.prompt, sound, now)
        else:
            chosen = min(sound, key=functools.partial(self._weigh, now=now))
        return chosen, self._is_cold(chosen, now)

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
            and (
                allowed is None
                or self.regions.get(server.data_centre) in allowed
            )
            and (
                not self._is_cold(server, now)
                or self.cold.has_room(server.id, rate)
            )
        ]

    def _is_cold(self, server: topology.Server, now: float) -> bool:
        uncertain_until = self.states[server.id].uncertain_until
        return now < max(server.cold_until, uncertain_until)

    def _is_near(self, server: topology.Server) -> bool:
        return self.regions.get(server.data_centre) == self.region

    def _is_failing(self, server: topology.Server, now: float) -> bool:
        state = self.states[server.id]
        return (
            state.failure_rate > FAILURE_LIMIT
            and now < state.failed_at + FAILURE_RETRY_SECONDS
        )

    def _weigh(self, server: topology.Server, now: float) -> float:
        return self.states[server.id].estimate_load(now)

    def _choose_by_context(
        self,
        prompt: requests.Prompt,
        servers: t.Sequence[topology.Server],
        now: float,
    ) -> topology.Server:
        """Prefer the server that ranks first for the prompt's session."""
        loads = {s.id: self._weigh(s, now) for s in servers}
        mean = sum(loads.values()) / len(loads)
        limit = AFFINITY_FACTOR * mean + AFFINITY_SLACK
        by_id = {s.id: s for s in servers}
        session = prompt.get_session()
        for server_id in rendezvous.rank_owners(session, loads):
            if loads[server_id] <= limit:
                return by_id[server_id]
        return by_id[min(loads, key=loads.__getitem__)]

    def record_sent(self, server: topology.Server, cold: bool) -> None:
        """Count a request that is sent."""
        self.states[server.id].running += 1
        if cold:
            self.cold.record(server.id)

    def record_end(self, server: topology.Server) -> None:
        """Count a request that ended, in whatever way."""
        self.states[server.id].running -= 1

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

    def suspect(
        self, server: topology.Server, reason: str, reachable: bool
    ) -> None:
        """Distrust a server until it reports itself again.

        `reachable` tells that it took the request; it then counts as cold,
        otherwise it gets nothing.
        """
        state = self.states[server.id]
        until = self.read_time() + SUSPECT_SECONDS
        state.uncertain_until = until
        if not reachable:
            state.suspect_until = until
        known = self.catalog.servers.get(server.id, server)
        state.suspect_life = (known.started_at, known.sequence)
        self.log.write(
            "server_suspected",
            server=server.id,
            reason=reason,
            reachable=reachable,
        )

    def _clear_suspicion(self, server: topology.Server) -> None:
        state = self.states.get(server.id)
        if state is None or state.uncertain_until == float("-inf"):
            return
        if (server.started_at, server.sequence) > state.suspect_life:
            state.suspect_until = state.uncertain_until = float("-inf")
            self.log.write("server_trusted", server=server.id)
