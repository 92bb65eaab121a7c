"""Selection of a backend server for one request."""

import itertools
import math
import random
import typing as t

import attrs

from sesamefold import configuration
from sesamefold import engines
from sesamefold.wire import control_pb2

WARM = "warm"
# States in which a server takes new work; all but "warm" need a permit.
USABLE_STATES = frozenset({WARM, "cold", "unknown"})
# Estimates that differ by less than this are ties, seconds.
_RESOLUTION = 0.002


@attrs.frozen
class Rates:
    """Measured rates of one model's engines; the defaults are first guesses.

    `recompute` is in tokens/s, `run_seconds` the mean duration of a run, the
    rest in bytes/s.
    """

    recompute_tokens_per_second: float = 8000.0
    memory_bytes_per_second: float = 200e6
    disk_bytes_per_second: float = 60e6
    link_bytes_per_second: float = 15e6 / 8
    mean_run_seconds: float = 2.0


@attrs.frozen
class StoreEndpoint:
    """A store host: base URL and whether it is in the gateway's region."""

    url: str
    same_region: bool


@attrs.frozen
class Query:
    """What the choice depends on besides the backend servers.

    `blocks` are the names of the prompt's full blocks in order, `holders`
    what the directory knows about them.
    """

    model: str
    version: str
    prompt_tokens: int
    block_tokens: int
    blocks: t.Tuple[str, ...] = ()
    holders: t.Mapping[str, t.Sequence[control_pb2.Holder]] = attrs.field(
        factory=dict
    )
    stores: t.Mapping[str, StoreEndpoint] = attrs.field(factory=dict)
    seconds_per_link_megabyte: float = 0.0
    excluded: t.FrozenSet[str] = frozenset()


@attrs.frozen
class Choice:
    """A server with the estimated seconds to the first token on it."""

    backend: control_pb2.BackendState
    cold: bool
    first_token_seconds: float
    imports: t.Tuple[engines.ImportBlock, ...] = ()
    cached_tokens: int = 0
    imported_tokens: int = 0


class Placement(t.Protocol):
    """A rule for the order in which servers are tried."""

    @property
    def uses_stores(self) -> bool:
        """Tell whether blocks are exported to and imported from stores."""

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return a key; the server with the lowest key is tried first.

        `load` is the number of runs on the server. Ties are broken at random.
        """


@attrs.frozen
class RandomPlacement:
    """Any usable server with the same probability."""

    uses_stores: bool = False

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return the same key for all servers."""
        return ()


@attrs.frozen
class LeastLoadedPlacement:
    """The server with the fewest runs."""

    uses_stores: bool = False

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return the load."""
        return (load,)


@attrs.frozen
class AffinityPlacement:
    """The server with the longest cached prefix, then the fewest runs."""

    uses_stores: bool = False

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return the cached tokens, negated, and the load."""
        return (-choice.cached_tokens, load)


@attrs.frozen
class EstimatePlacement:
    """The server with the shortest estimated time to the first token.

    Warm servers come before cold ones whose estimate ties.
    """

    uses_stores: bool = True

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return the rounded estimate and whether the server is cold."""
        return (round(choice.first_token_seconds / _RESOLUTION), choice.cold)


# Values of the process setting `placement`.
PLACEMENTS: t.Mapping[str, Placement] = {
    "random": RandomPlacement(),
    "least_loaded": LeastLoadedPlacement(),
    "affinity": AffinityPlacement(),
    "estimate": EstimatePlacement(),
}


def rank_backends(
    query: Query,
    backends: t.Iterable[control_pb2.BackendState],
    in_flight: t.Mapping[str, int],
    rates: Rates,
    generator: random.Random,
    placement: Placement = PLACEMENTS["estimate"],
) -> t.List[Choice]:
    """Return the usable servers in the order of the placement.

    `in_flight` counts the gateway's own runs by server.
    """
    if not placement.uses_stores:
        query = attrs.evolve(query, stores={})
    wanted = configuration.name_version(query.model, query.version)
    choices = [
        _estimate(query, backend, in_flight.get(backend.name, 0), rates)
        for backend in backends
        if backend.state in USABLE_STATES
        and wanted in backend.versions
        and backend.name not in query.excluded
    ]
    generator.shuffle(choices)
    return sorted(
        choices,
        key=lambda choice: placement.compute_sort_key(
            choice,
            _count_runs(choice.backend, in_flight.get(choice.backend.name, 0)),
        ),
    )


def choose_backend(
    query: Query,
    backends: t.Iterable[control_pb2.BackendState],
    in_flight: t.Mapping[str, int],
    rates: Rates,
    generator: random.Random,
) -> t.Optional[Choice]:
    """Return the best server, None when no server is usable."""
    return next(
        iter(rank_backends(query, backends, in_flight, rates, generator)),
        None,
    )


def _estimate(
    query: Query,
    backend: control_pb2.BackendState,
    in_flight: int,
    rates: Rates,
) -> Choice:
    plan = _plan_context(query, backend.name, rates)
    left = query.prompt_tokens - plan.cached_tokens - plan.imported_tokens
    return Choice(
        backend=backend,
        cold=backend.state != WARM,
        first_token_seconds=_estimate_wait(backend, in_flight, rates)
        + plan.import_seconds
        + max(0, left) / rates.recompute_tokens_per_second,
        imports=plan.imports,
        cached_tokens=plan.cached_tokens,
        imported_tokens=plan.imported_tokens,
    )


def _count_runs(backend: control_pb2.BackendState, in_flight: int) -> int:
    """Return the runs on a server.

    Reports lag, so the gateway's own runs count when they exceed the report.
    """
    return max(backend.running + backend.queued, in_flight)


def _estimate_wait(
    backend: control_pb2.BackendState, in_flight: int, rates: Rates
) -> float:
    """Return the seconds until a new run starts.

    Below the limit, each run still slows the others a little; this also
    spreads requests over idle servers.
    """
    limit = max(1, backend.limit)
    load = _count_runs(backend, in_flight)
    ahead = max(0, load + 1 - limit)
    shared = min(load, limit) / limit
    return rates.mean_run_seconds * (ahead / limit + 0.05 * shared)


@attrs.frozen
class _Plan:
    import_seconds: float
    imports: t.Tuple[engines.ImportBlock, ...]
    cached_tokens: int
    imported_tokens: int


def _plan_context(query: Query, name: str, rates: Rates) -> _Plan:
    """Return which blocks the engine holds and which it should import.

    A block is only usable after all blocks before it, so the walk ends at
    the first block that has to be recomputed.
    """
    recompute = query.block_tokens / rates.recompute_tokens_per_second
    steps = list(
        itertools.takewhile(
            lambda step: step is not None,
            (
                _plan_block(query, block, name, rates, recompute)
                for block in query.blocks
            ),
        )
    )
    imports = [step for step in steps if step and step[1] is not None]
    return _Plan(
        import_seconds=sum(seconds for seconds, _ in imports),
        imports=tuple(entry for _, entry in imports if entry is not None),
        cached_tokens=(len(steps) - len(imports)) * query.block_tokens,
        imported_tokens=len(imports) * query.block_tokens,
    )


def _plan_block(
    query: Query,
    block: str,
    name: str,
    rates: Rates,
    recompute: float,
) -> t.Optional[t.Tuple[float, t.Optional[engines.ImportBlock]]]:
    """Return seconds and the entry to import, None to recompute."""
    holders = query.holders.get(block, ())
    if any(h.kind == "engine" and h.name == name for h in holders):
        return 0.0, None
    offers = [
        (_estimate_import(query, holder, rates), holder)
        for holder in holders
        if holder.kind == "store" and holder.name in query.stores
    ]
    seconds, holder = min(
        offers, key=lambda offer: offer[0], default=(math.inf, None)
    )
    if holder is None or seconds >= recompute:
        return None
    entry = engines.ImportBlock(
        block=block,
        store=query.stores[holder.name].url,
        generation=holder.generation,
        length=holder.length,
        sha256=holder.sha256,
    )
    return seconds, entry


def _estimate_import(
    query: Query, holder: control_pb2.Holder, rates: Rates
) -> float:
    rate = (
        rates.memory_bytes_per_second
        if holder.tier == "memory"
        else rates.disk_bytes_per_second
    )
    if query.stores[holder.name].same_region:
        return holder.length / rate
    price = query.seconds_per_link_megabyte * holder.length / 1e6
    return holder.length / min(rate, rates.link_bytes_per_second) + price


def update_rates(
    rates: Rates,
    choice: Choice,
    recomputed_tokens: int,
    first_token: float,
    duration: float,
) -> Rates:
    """Return rates that include one finished run.

    `first_token` and `duration` are seconds from sending the run. The time
    to the first token tells the recomputation rate only when nothing was
    imported and the server was not full.
    """
    backend = choice.backend
    idle = backend.running + backend.queued < max(1, backend.limit)
    recompute = rates.recompute_tokens_per_second
    if idle and not choice.imports and recomputed_tokens >= 200:
        sample = recomputed_tokens / max(first_token, 1e-3)
        recompute = _blend(rates.recompute_tokens_per_second, sample)
    return attrs.evolve(
        rates,
        recompute_tokens_per_second=recompute,
        mean_run_seconds=_blend(rates.mean_run_seconds, max(duration, 1e-3)),
    )


def update_import_rate(
    rates: Rates, tier: str, length: int, seconds: float
) -> Rates:
    """Return rates that include an import of `length` bytes from a tier."""
    sample = length / max(seconds, 1e-4)
    if tier == "memory":
        return attrs.evolve(
            rates,
            memory_bytes_per_second=_blend(
                rates.memory_bytes_per_second, sample
            ),
        )
    return attrs.evolve(
        rates,
        disk_bytes_per_second=_blend(rates.disk_bytes_per_second, sample),
    )


def _blend(old: float, sample: float) -> float:
    # A weight of 0.1 follows a change within about 20 runs.
    return 0.9 * old + 0.1 * sample
