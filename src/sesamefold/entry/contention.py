"""Even use of the room of servers by many hosts with old knowledge.

It answers these patterns of load: servers are overrun in turns while others
idle, because all hosts send to the server that was the least loaded one in the
latest figures; and more requests wait than there is room, so that each place
that is freed is taken by the waiting requests of all hosts at once.

`weigh_servers` is the interpretation of old load figures by Dahlin
("Interpreting stale load information", IEEE TPDS 11(10), 2000): servers are
chosen such that the requests that all hosts have probably sent since the
figures were taken fill them up to the same level. The older the figures, the
closer the choice is to an even one; fresh figures lead to the least loaded
servers. `EvenDraw` chooses by these weights such that a host gives each server
its turn. `compute_send_probability` divides the room that is left among the
requests that wait for it.
"""

import itertools
import random
import typing as t

import attrs


def weigh_servers(loads: t.Sequence[float], arrivals: float) -> t.List[float]:
    """Return the weight of each server in a choice.

    `loads` are those of the figures, as shares of a server's room, and
    `arrivals` the load that has probably come to all servers since then. The
    sum of the weights is `arrivals` if that is positive. If it is 0, only the
    servers with the least load have a weight.

        weigh_servers([0.2, 0.5, 0.9], 0.5)  # [0.4, 0.1, 0.0]
    """
    ranked = sorted(loads)
    level = ranked[0]
    filled = 0.0
    for count, (lower, upper) in enumerate(itertools.pairwise(ranked), 1):
        needed = count * (upper - lower)
        if filled + needed >= arrivals:
            level = lower + (arrivals - filled) / count
            break
        filled += needed
        level = upper
    else:
        level += (arrivals - filled) / len(ranked)
    weights = [max(0.0, level - load) for load in loads]
    if any(weights):
        return weights
    return [float(load <= ranked[0]) for load in loads]


@attrs.define(eq=False)
class EvenDraw:
    """Chooses among servers such that each gets its share in turn.

    A server's turn comes once its shares of the requests add up; requests that
    it gets for other reasons count as well. Hosts begin at different servers.
    Independent draws would send two of a host's requests to one server and
    none to the next, in addition to the randomness of the arrivals.

        index = draw.draw(["i-1", "i-2"], [0.5, 1.5])
        draw.record("i-2")  # the request was sent to this server
    """

    draw_start: t.Callable[[], float] = random.random
    # Turns that are due to each server less those that it got.
    _due: t.Dict[str, float] = attrs.field(factory=dict)
    _offered: t.Dict[str, float] = attrs.field(factory=dict)

    def draw(
        self, servers: t.Sequence[str], weights: t.Sequence[float]
    ) -> int:
        """Return the index of the server whose turn it is.

        Nothing changes until `record`. Servers without a weight are left out;
        one at least has one.
        """
        total = sum(weights)
        self._offered = {
            server: weight / total
            for server, weight in zip(servers, weights)
            if weight > 0
        }
        for server in self._offered:
            if server not in self._due:
                self._due[server] = self.draw_start()
        return servers.index(
            max(
                self._offered,
                key=lambda server: self._due[server] + self._offered[server],
            )
        )

    def record(self, server: str) -> None:
        """Record that a request was sent to a server after the last draw.

        One that had no weight had no turn and loses none.
        """
        offered, self._offered = self._offered, {}
        if server not in offered:
            return
        for name, share in offered.items():
            # Missing if the server was forgotten since the draw.
            if name in self._due:
                self._due[name] += share
        if server in self._due:
            self._due[server] -= 1.0

    def forget(self, server: str) -> None:
        """Forget a server that has ended."""
        self._due.pop(server, None)


def compute_send_probability(
    free: float, demand: float, ahead: float, waiting: float
) -> float:
    """Return with which probability a waiting request is sent now.

    `free` is the room that all servers have left, `demand` what the request
    needs, `ahead` what requests of higher ranks wait for and `waiting` what
    those of its own rank do, itself included, on all hosts. If each host
    follows it, the requests that are sent need about the room that is left.
    A request is sent for certain if there is room for all.

        compute_send_probability(100.0, 10.0, 20.0, 160.0)  # 0.5
    """
    contenders = max(demand, waiting)
    if contenders <= 0:
        return 1.0
    return min(1.0, max(0.0, free - ahead) / contenders)
