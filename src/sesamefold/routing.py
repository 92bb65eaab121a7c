"""Choice of a backend server for a request to a model."""

import itertools
import math
import random
import typing as t

import attrs

from sesamefold import configuration
from sesamefold import engines
from sesamefold.wire import control_pb2

WARM = "warm"
# States in which a backend server accepts new runs; all but "warm" need a
# permit.
USABLE_STATES = frozenset({WARM, "cold", "unknown"})
# Estimates are rounded to this step; equal results are ties.
_ESTIMATE_RESOLUTION_SECONDS = 0.002


@attrs.frozen
class Rates:
    """Measured rates of the engines of one model.

    The rates cover the computation of prompts, imports from the memory and
    the disk of a store host, and the network link between regions.
    `mean_run_seconds` is the mean duration of a run. The defaults are
    estimates that hold until the first measurement.
    """

    recompute_tokens_per_second: float = 8000.0
    memory_bytes_per_second: float = 200e6
    disk_bytes_per_second: float = 60e6
    link_bytes_per_second: float = 15e6 / 8
    mean_run_seconds: float = 2.0


@attrs.frozen
class StoreEndpoint:
    """Base URL of a store host, and whether it is in the gateway's region."""

    url: str
    same_region: bool


@attrs.frozen
class Query:
    """The request for which a backend server is chosen.

    `blocks` are the names of the prompt's full blocks in order. `holders`
    maps a block to the engines and stores that hold it according to the
    directory, `stores` the names of store hosts to their endpoints.
    `seconds_per_link_megabyte` is added to the estimated time of an import
    for each megabyte that comes from another region. The backend servers in
    `excluded` are not chosen.
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
    """A backend server with the estimated time to the first token on it.

    `cold` is set for a server that is not warm, whose runs need a permit.
    `imports` are the blocks that the engine should import from stores.
    """

    backend: control_pb2.BackendState
    cold: bool
    first_token_seconds: float
    imports: t.Tuple[engines.ImportBlock, ...] = ()
    cached_tokens: int = 0
    imported_tokens: int = 0


class Placement(t.Protocol):
    """A policy for the order in which backend servers are tried."""

    @property
    def uses_stores(self) -> bool:
        """Return whether blocks are exported to and imported from stores."""

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return the sort key of a choice; the lowest key is tried first.

        `load` is the number of runs on the server. Ties are broken at random.
        """


@attrs.frozen
class RandomPlacement:
    """Tries the usable backend servers in random order."""

    uses_stores: bool = False

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return the same key for all backend servers."""
        return ()


@attrs.frozen
class LeastLoadedPlacement:
    """Prefers the backend server with the fewest runs."""

    uses_stores: bool = False

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return a key that sorts by the load."""
        return (load,)


@attrs.frozen
class AffinityPlacement:
    """Prefers the longest cached prefix, then the fewest runs."""

    uses_stores: bool = False

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return a key that sorts by cached tokens, most first, then load."""
        return (-choice.cached_tokens, load)


@attrs.frozen
class EstimatePlacement:
    """Prefers the shortest estimated time to the first token.

    Of servers whose estimates tie, warm ones come before cold ones.
    """

    uses_stores: bool = True

    def compute_sort_key(
        self, choice: Choice, load: int
    ) -> t.Tuple[float, ...]:
        """Return a key that sorts by the rounded estimate, warm first."""
        return (
            round(choice.first_token_seconds / _ESTIMATE_RESOLUTION_SECONDS),
            choice.cold,
        )


# Policies by the value of the process setting `placement`.
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
    """Return the usable backend servers in the order of the placement.

    A server is usable if its state allows new runs, it offers the weight
    version of the query and the query does not exclude it. `in_flight` is
    the number of the gateway's own runs by server.
    """
    if not placement.uses_stores:
        query = attrs.evolve(query, stores={})
    version_name = configuration.name_version(query.model, query.version)
    choices = [
        _make_choice(query, backend, in_flight.get(backend.name, 0), rates)
        for backend in backends
        if backend.state in USABLE_STATES
        and version_name in backend.versions
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
    """Return the first choice, None when no backend server is usable."""
    return next(
        iter(rank_backends(query, backends, in_flight, rates, generator)),
        None,
    )


def _make_choice(
    query: Query,
    backend: control_pb2.BackendState,
    in_flight: int,
    rates: Rates,
) -> Choice:
    plan = _plan_context(query, backend.name, rates)
    recomputed_tokens = (
        query.prompt_tokens - plan.cached_tokens - plan.imported_tokens
    )
    return Choice(
        backend=backend,
        cold=backend.state != WARM,
        first_token_seconds=_estimate_queue_seconds(backend, in_flight, rates)
        + plan.import_seconds
        + max(0, recomputed_tokens) / rates.recompute_tokens_per_second,
        imports=plan.imports,
        cached_tokens=plan.cached_tokens,
        imported_tokens=plan.imported_tokens,
    )


def _count_runs(backend: control_pb2.BackendState, in_flight: int) -> int:
    """Return the number of runs on a backend server.

    Reported loads lag behind, so the gateway's own runs count when they
    exceed the reported ones.
    """
    return max(backend.running + backend.queued, in_flight)


def _estimate_queue_seconds(
    backend: control_pb2.BackendState, in_flight: int, rates: Rates
) -> float:
    """Return the expected seconds until a new run starts.

    Below the limit, the estimate still grows with the load: each run slows
    the others a little, and the small difference spreads requests over idle
    backend servers.
    """
    limit = max(1, backend.limit)
    load = _count_runs(backend, in_flight)
    runs_ahead = max(0, load + 1 - limit)
    utilisation = min(load, limit) / limit
    return rates.mean_run_seconds * (runs_ahead / limit + 0.05 * utilisation)


@attrs.frozen
class _ContextPlan:
    import_seconds: float
    imports: t.Tuple[engines.ImportBlock, ...]
    cached_tokens: int
    imported_tokens: int


def _plan_context(query: Query, name: str, rates: Rates) -> _ContextPlan:
    """Return how much the engine has cached and what it should import.

    A block is only usable together with all blocks before it, so the plan
    ends at the first block that has to be recomputed.
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
    return _ContextPlan(
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
    """Return the import seconds and the block to import.

    The block to import is None when the engine holds it already. Returns
    None when recomputation is faster than any import.
    """
    holders = query.holders.get(block, ())
    if any(h.kind == "engine" and h.name == name for h in holders):
        return 0.0, None
    options = [
        (_estimate_import_seconds(query, holder, rates), holder)
        for holder in holders
        if holder.kind == "store" and holder.name in query.stores
    ]
    seconds, holder = min(
        options, key=lambda option: option[0], default=(math.inf, None)
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


def _estimate_import_seconds(
    query: Query, holder: control_pb2.Holder, rates: Rates
) -> float:
    rate = (
        rates.memory_bytes_per_second
        if holder.tier == "memory"
        else rates.disk_bytes_per_second
    )
    if query.stores[holder.name].same_region:
        return holder.length / rate
    link_cost = query.seconds_per_link_megabyte * holder.length / 1e6
    return holder.length / min(rate, rates.link_bytes_per_second) + link_cost


def update_rates(
    rates: Rates,
    choice: Choice,
    recomputed_tokens: int,
    first_token_seconds: float,
    run_seconds: float,
) -> Rates:
    """Return the rates after a sample from one finished run.

    `first_token_seconds` and `run_seconds` are measured from the sending of
    the request. The time to the first token is a sample of the recomputation
    rate only if nothing was imported and the server was below its limit.
    """
    backend = choice.backend
    idle = backend.running + backend.queued < max(1, backend.limit)
    recompute = rates.recompute_tokens_per_second
    if idle and not choice.imports and recomputed_tokens >= 200:
        sample = recomputed_tokens / max(first_token_seconds, 1e-3)
        recompute = _update_mean(rates.recompute_tokens_per_second, sample)
    return attrs.evolve(
        rates,
        recompute_tokens_per_second=recompute,
        mean_run_seconds=_update_mean(
            rates.mean_run_seconds, max(run_seconds, 1e-3)
        ),
    )


def update_import_rate(
    rates: Rates, tier: str, length: int, seconds: float
) -> Rates:
    """Return the rates after an import of `length` bytes from a tier."""
    sample = length / max(seconds, 1e-4)
    if tier == "memory":
        return attrs.evolve(
            rates,
            memory_bytes_per_second=_update_mean(
                rates.memory_bytes_per_second, sample
            ),
        )
    return attrs.evolve(
        rates,
        disk_bytes_per_second=_update_mean(
            rates.disk_bytes_per_second, sample
        ),
    )


def _update_mean(mean: float, sample: float) -> float:
    # With a weight of 0.1 the mean follows a change within about 20 runs.
    return 0.9 * mean + 0.1 * sample
