"""Draw of servers such that all hosts together fill them evenly."""

import math
import typing as t

import attrs

from sesamefold.entry import contention
from sesamefold.entry import loads
from sesamefold.entry import topology

# Prefill that waits at an engine which counts as full, tokens. It delays the
# first tokens of new requests and the events of running ones.
FULL_PREFILL_TOKENS = 40_000
# Factor on the age of the figures in the draw of an engine. Requests that are
# on their way and likely engines of sessions fill servers beside the draw; a
# draw that is too even costs less than one that is too sharp
# (`test_entry_contention`).
FIGURE_AGE_FACTOR = 3.0
# Mean duration of a run before one has ended, seconds, and the weight of the
# latest one.
INITIAL_RUN_SECONDS = 1.0
LATEST_RUN_WEIGHT = 0.05


@attrs.define
class Balancer:
    """Draws servers by the figures of all hosts' loads.

    `get_slowdown` returns how many times as long as usual work takes at a
    server, and `data_centre` is that of this host. With `counts_prefill`, the
    prefill that waits at an engine is a part of its load.

        balancer = Balancer(loads, placement.get_slowdown, "dc-1", True)
        server = balancer.draw_plain_server(servers)
        balancer.record_request(server)
    """

    loads: loads.Loads
    get_slowdown: t.Callable[[topology.Server], float]
    data_centre: str
    counts_prefill: bool
    _run_seconds: t.Dict[str, float] = attrs.field(factory=dict)
    _draws: t.Dict[t.Tuple[str, str], contention.EvenDraw] = attrs.field(
        factory=dict
    )

    def draw_plain_server(
        self, servers: t.Sequence[topology.Server]
    ) -> topology.Server:
        """Return a server without a cache, drawn evenly.

        Those in the data centre of this host that have as much room as the
        servers have on average are preferred.
        """
        weights = self.weigh_servers(servers, math.inf, True)
        mean = sum(weights) / len(weights)
        near = [
            (
                weight * (server.data_centre == self.data_centre)
                if weight >= mean
                else 0.0
            )
            for server, weight in zip(servers, weights)
        ]
        return self._draw(servers, near if any(near) else weights, "plain")

    def draw_engines(
        self,
        servers: t.Sequence[topology.Server],
        memory_tokens: float,
        same_region: bool,
        likely: t.Collection[t.Optional[str]],
    ) -> t.List[topology.Server]:
        """Return one engine that is drawn evenly, and the likely ones.

        Engines in `likely` may hold the context of the prompt. They are left
        out if they are fuller than the level to which the engines are filled.
        """
        if not servers:
            return []
        weights = self.weigh_servers(servers, memory_tokens, same_region)
        drawn = self._draw(
            servers, weights, "local" if same_region else "remote"
        )
        return [drawn] + [
            server
            for server, weight in zip(servers, weights)
            if server.id in likely and weight > 0 and server is not drawn
        ]

    def _draw(
        self,
        servers: t.Sequence[topology.Server],
        weights: t.Sequence[float],
        group: str,
    ) -> topology.Server:
        """Return the server whose turn it is in a group of servers."""
        key = (servers[0].service, group)
        draw = self._draws.setdefault(key, contention.EvenDraw())
        return servers[draw.draw([s.id for s in servers], weights)]

    def weigh_servers(
        self,
        servers: t.Sequence[topology.Server],
        memory_tokens: float,
        same_region: bool,
    ) -> t.List[float]:
        """Return weights with which all hosts together fill servers evenly.

        `memory_tokens` is the memory of each server. The load that has come
        since the figures were taken follows from the load that they show: it
        turns over once in the mean duration of a run. The request that is to
        be sent counts, so that a slow server is avoided while it is idle, too.
        """
        full_prefill = FULL_PREFILL_TOKENS if self.counts_prefill else math.inf
        shares = [
            max(
                load.requests / max(1, server.slots),
                load.memory_tokens / max(1.0, memory_tokens),
                load.prefill_tokens / full_prefill,
            )
            for server in servers
            for load in [self.loads.get_load(server.id)]
        ]
        slowed = [
            (share + 1 / max(1, server.slots)) * self.get_slowdown(server)
            for server, share in zip(servers, shares)
        ]
        age = FIGURE_AGE_FACTOR * self.loads.get_figure_age(same_region)
        run_seconds = self._run_seconds.get(
            servers[0].service, INITIAL_RUN_SECONDS
        )
        return contention.weigh_servers(
            slowed, sum(shares) * age / run_seconds
        )

    def record_request(self, server_id: str) -> None:
        """Record that a request was sent, drawn or chosen otherwise."""
        for draw in self._draws.values():
            draw.record(server_id)

    def record_run_seconds(self, service: str, seconds: float) -> None:
        """Update the mean duration of the runs of a service."""
        known = self._run_seconds.setdefault(service, seconds)
        self._run_seconds[service] = known + LATEST_RUN_WEIGHT * (
            seconds - known
        )

    def forget_server(self, server_id: str) -> None:
        """Forget the turns of a server that has ended."""
        for draw in self._draws.values():
            draw.forget(server_id)
