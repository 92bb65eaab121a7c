"""Fetching, saving and freeing of cached context in stores.

Context is what an engine computes from a part of a prompt, its key-value
cache. Engines save it in stores, and engines with the same weights fetch it
from there instead of computing it again.
"""

import asyncio
import functools
import itertools
import typing as t
import urllib.parse

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import shared_spaces
from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import rendezvous

# Longest time that a store waits for events before it answers a read. The list
# of stores is compared with the configuration at the same interval.
EVENTS_WAIT_SECONDS = 0.5
# Time between two reads of a store's events. Under load there are always new
# events, so a read returns at once, and each read is a call.
READ_INTERVAL_SECONDS = 0.25
# The same in a large fleet, where each read is passed on to many hosts.
LARGE_FLEET_READ_INTERVAL_SECONDS = 1.0
# Time between two reads of a store that does not answer.
RETRY_INTERVAL_SECONDS = 0.3
# Time after a newer target version may have been set in which engines with
# older weights still fetch and save their context. A rollout takes about four
# seconds, and five more if the holder of the lease is lost. A host that cannot
# reach the platform's store must assume that the target version changed right
# after its last successful read.
OLD_WEIGHTS_GRACE_SECONDS = 12.0
# Time after a newer target version was set from which the context of older
# versions may be freed. Fetches that other hosts ordered have ended by then.
FREE_DELAY_SECONDS = (
    OLD_WEIGHTS_GRACE_SECONDS + store_views.FETCH_TIMEOUT_SECONDS + 0.5
)
# Weight of the latest request in the moving average of slowness.
SLOWNESS_SMOOTHING_FACTOR = 0.15
# A store is slow if the slowness of the requests that fetch from it exceeds
# that of all other requests times this factor plus `SLOW_STORE_MARGIN`. Its
# links may be narrow for a while, and concurrent transfers delay each other.
SLOW_STORE_FACTOR = 1.6
# Slowness that is added to the limit; see `SLOW_STORE_FACTOR`.
SLOW_STORE_MARGIN = 0.8
# Time in which a store that was found slow is not used.
SLOW_STORE_BACKOFF_SECONDS = 1.5
# Expected time to the first token at an idle engine, without the prompt.
IDLE_FIRST_TOKEN_SECONDS = 0.05
# Expected time to the first token that each token of the prompt adds.
PROMPT_TOKEN_SECONDS = 0.00001
# Largest fleet in which every host follows every store.
SMALL_FLEET_HOSTS = 10
# Hosts that follow each store in a larger fleet. A store answers about a dozen
# hosts at a time.
FOLLOWERS_PER_STORE = 4
# Most parts that one call frees.
MAX_PARTS_PER_FREE_CALL = 200
_SALT_SEPARATOR = "/"


def make_salt(
    customer: t.Optional[topology.Customer],
    model: str,
    version: int,
    isolated_customers: t.FrozenSet[str] = frozenset(),
) -> str:
    """Return the salt: the namespace of the context of a model's weights.

    An isolated customer has a namespace of its own. `customer` may be from an
    earlier configuration than `isolated_customers`, as for a stream that goes
    on at another server; either can isolate it. All others share one for as
    long as `isolated_customers` are the same: what the requests of a
    customer left there before it was isolated is not used any more. Engines
    find context only under the salt that it was saved with, and stores free it
    by salt and part alone. The salt therefore names the model: parts and
    versions of different models may be equal.

        make_salt(None, "org/model", 3) == "3/org%2Fmodel/"
    """
    if customer is not None and (
        customer.isolated or customer.name in isolated_customers
    ):
        return _join_salt(version, model, _quote(customer.name))
    return _join_salt(
        version, model, shared_spaces.name_shared_space(isolated_customers)
    )


@functools.lru_cache(maxsize=1024)
def _join_salt(version: int, model: str, space: str) -> str:
    return _SALT_SEPARATOR.join((str(version), _quote(model), space))


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


@functools.lru_cache(maxsize=1024)
def parse_salt(salt: str) -> t.Tuple[str, int, str]:
    """Return the model, the weight version and the space that a salt names.

    Raises `ValueError` for a salt of another format.
    """
    version, name, space = salt.split(_SALT_SEPARATOR, 2)
    return urllib.parse.unquote(name), int(version), space


class Fleet(t.Protocol):
    """The list of entry hosts."""

    def list_hosts(self) -> t.Collection[str]:
        """Return the names of the entry hosts that may be serving."""

    def list_hosts_in(self, region: t.Optional[str]) -> t.Collection[str]:
        """Return the names of the entry hosts of a region that may serve."""


class ContextStoreApi(t.Protocol):
    """Calls to stores of cached context.

    All methods raise `exceptions.StoreUnavailable` if a call fails.
    """

    async def read_events(
        self, store: topology.ContextStore, position: int, seconds: float
    ) -> store_views.EventBatch:
        """Return the events after `position`, waiting up to `seconds`."""

    async def read_snapshot(
        self, store: topology.ContextStore
    ) -> store_views.EventBatch:
        """Return all parts that a store holds, each as an addition."""

    async def free(
        self,
        store: topology.ContextStore,
        boot_epoch: int,
        parts: t.Sequence[t.Tuple[str, str]],
        deadline: t.Optional[float] = None,
    ) -> None:
        """Free parts, each given as (salt, part id).

        The call fails if the store has another boot epoch or gets it after
        `deadline`, in seconds of the engines' clock.
        """


# Called after each read of a store with its view and the events read.
ReadListener = t.Callable[
    [store_views.StoreView, store_views.EventBatch], None
]


@attrs.define
class ContextStores:
    """Views of all context stores, and decisions on their use.

    Engines fetch from the stores of their own region and save there.
    `followed_addresses` are those of the stores whose events this host reads
    itself. `slowness` is the moving average of the ratio of the measured to
    the expected time to the first token, over requests that fetch nothing.

    Context is fetched only while the contents of the store are known and its
    weight version cannot have been superseded for longer than
    `OLD_WEIGHTS_GRACE_SECONDS`. Each fetch has a deadline for the engine.
    Parts are freed, and written again after a store's restart, only when the
    deadlines of all such fetches have passed, including those that other
    hosts ordered. `catalog.shared_space` bounds both while the shared space
    changes.
    """

    host: str
    regions: t.Mapping[str, str]
    catalog: catalogs.Catalog
    store_api: ContextStoreApi
    fleet: Fleet
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    views: t.Dict[str, store_views.StoreView] = attrs.field(factory=dict)
    slowness: float = 1.0
    followed_addresses: t.Set[str] = attrs.field(factory=set)
    read_listeners: t.List[ReadListener] = attrs.field(factory=list)
    _rankings: t.Dict[str, t.Tuple[t.Set[str], t.List[str]]] = attrs.field(
        factory=dict
    )

    def plan_context(
        self, call: requests.Call, server: topology.Server
    ) -> t.Optional[requests.ContextPlan]:
        """Return what an engine should fetch and save for a request.

        None if the request has no prompt or the engine's weight version is
        not known.
        """
        prompt = call.head.prompt
        version = prompt and self._get_weight_version(prompt.model, server)
        if prompt is None or version is None:
            return None
        salt = self._make_salt(call, prompt.model, version)
        plan = requests.ContextPlan(salt, version)
        now = self.read_time()
        if self._may_fetch(prompt.model, version, now):
            return self._add_transfers(plan, call, server, now)
        return plan

    def count_fetchable_tokens(
        self, call: requests.Call, server: topology.Server
    ) -> int:
        """Return how many prompt tokens the server can fetch from stores."""
        prompt = call.head.prompt
        version = prompt and self._get_weight_version(prompt.model, server)
        if prompt is None or version is None:
            return 0
        now = self.read_time()
        if not self._may_fetch(prompt.model, version, now):
            return 0
        salt = self._make_salt(call, prompt.model, version)
        views = self._list_usable_views(call, server, now)
        fetch_start = self._get_fetch_start(salt)
        return sum(
            part.tokens
            for part in prompt.list_shared_parts()
            if (holder := _find_holder(views, salt, part)) is not None
            and holder.read_at >= fetch_start
        )

    def _make_salt(self, call: requests.Call, model: str, version: int) -> str:
        configuration = self.catalog.configuration
        return make_salt(
            call.customer,
            model,
            version,
            configuration.isolated_customers if configuration else frozenset(),
        )

    def _get_weight_version(
        self, model: str, server: topology.Server
    ) -> t.Optional[int]:
        """Return the weight version that a request expects of an engine.

        An engine that does not report its version is expected to have the
        target version; it refuses the request if it has another one.
        """
        return server.weights.get(
            model, self.catalog.target_weights.get(model)
        )

    def record_first_token(
        self,
        prompt: requests.Prompt,
        plan: requests.ContextPlan,
        seconds: float,
    ) -> None:
        """Update the slowness estimates after a request's first token.

        `seconds` is the time from sending the request to its first token. A
        store that is too slow is not used for `SLOW_STORE_BACKOFF_SECONDS`.
        """
        expected_seconds = (
            IDLE_FIRST_TOKEN_SECONDS + PROMPT_TOKEN_SECONDS * prompt.tokens
        )
        slowness = seconds / expected_seconds
        views = {
            self.views[fetch.address]
            for fetch in plan.fetches
            if fetch is not None and fetch.address in self.views
        }
        if not views:
            self.slowness += SLOWNESS_SMOOTHING_FACTOR * (
                slowness - self.slowness
            )
        for view in views:
            view.slowness += SLOWNESS_SMOOTHING_FACTOR * (
                slowness - view.slowness
            )
            limit = SLOW_STORE_FACTOR * self.slowness + SLOW_STORE_MARGIN
            if view.slowness > limit:
                self.log.write(
                    "context_store_slow",
                    store=view.store.address,
                    slowness=round(view.slowness, 2),
                    others=round(self.slowness, 2),
                )
                view.avoided_until = (
                    self.read_time() + SLOW_STORE_BACKOFF_SECONDS
                )
                view.slowness = self.slowness

    def _may_fetch(self, model: str, version: int, now: float) -> bool:
        """Return whether no host can have freed a version's context yet."""
        superseded_at = min(
            self.catalog.confirmed_at,
            self.catalog.find_earliest_supersession(model, version),
        )
        return now <= superseded_at + OLD_WEIGHTS_GRACE_SECONDS

    def _get_fetch_start(self, salt: str) -> float:
        """Return when a store must have been read to fetch from it.

        The space of one customer is never freed while its weights are used.
        """
        if shared_spaces.is_shared_space(parse_salt(salt)[2]):
            return self.catalog.shared_space.get_fetch_start()
        return float("-inf")

    def _add_transfers(
        self,
        plan: requests.ContextPlan,
        call: requests.Call,
        server: topology.Server,
        now: float,
    ) -> requests.ContextPlan:
        """Return the plan with fetches and saves for each part of a prompt.

        The last part is not shared, so it is neither fetched nor saved. The
        deadline comes from the smallest known offset of the engines' clock;
        nothing is fetched while none is known.
        """
        views = self._list_usable_views(call, server, now)
        prompt = t.cast(requests.Prompt, call.head.prompt)
        if not views:
            return plan
        fetches: t.List[t.Optional[requests.ContextFetch]] = []
        saves: t.List[t.Optional[str]] = []
        fetch_start = self._get_fetch_start(plan.salt)
        for part in prompt.list_shared_parts():
            holder = _find_holder(views, plan.salt, part)
            target = None
            if holder is None:
                target = self._choose_save_target(views, part, now)
            fetches.append(
                requests.ContextFetch(
                    holder.store.address,
                    holder.stored_parts[plan.salt, part.id],
                )
                if holder is not None and holder.read_at >= fetch_start
                else None
            )
            saves.append(target and target.store.address)
        unshared_count = len(prompt.parts) - len(fetches)
        offsets = [
            v.engine_clock_offset
            for v in views
            if v.engine_clock_offset is not None
        ]
        return attrs.evolve(
            plan,
            fetches=(*fetches, *[None] * unshared_count) if offsets else (),
            saves=(*saves, *[None] * unshared_count),
            fetch_deadline=(
                now + min(offsets) + store_views.FETCH_TIMEOUT_SECONDS
                if offsets
                else 0.0
            ),
        )

    def _list_usable_views(
        self, call: requests.Call, server: topology.Server, now: float
    ) -> t.List[store_views.StoreView]:
        """Return views of usable stores in the server's region.

        Those of the server's own data centre come first. There are none if
        the request must not be served in that region.
        """
        permitted = call.list_permitted_regions()
        region = self.regions.get(server.data_centre)
        if permitted is not None and region not in permitted:
            return []
        return sorted(
            (
                view
                for view in self.views.values()
                if view.is_fresh(now)
                and now >= view.avoided_until
                and self.regions.get(view.store.data_centre) == region
            ),
            key=lambda v: v.store.data_centre != server.data_centre,
        )

    def _choose_save_target(
        self,
        views: t.Sequence[store_views.StoreView],
        part: requests.PromptPart,
        now: float,
    ) -> t.Optional[store_views.StoreView]:
        """Return the store that a part should be saved to, if there is one.

        Hosts with the same views choose the same store without coordination.
        """
        candidates = {
            v.store.address: v for v in views if v.may_save(now, part.tokens)
        }
        owner = rendezvous.choose_owner(part.id, candidates)
        return candidates[owner] if owner is not None else None

    async def run(self) -> None:
        """Follow the configured stores until cancelled."""
        tasks: t.Dict[str, "asyncio.Task[None]"] = {}
        try:
            while True:
                self._update_followed_stores(tasks)
                await asyncio.sleep(EVENTS_WAIT_SECONDS)
        finally:
            for task in tasks.values():
                task.cancel()

    def _update_followed_stores(
        self, tasks: t.Dict[str, "asyncio.Task[None]"]
    ) -> None:
        configuration = self.catalog.configuration
        stores = {
            service.context_store.address: service.context_store
            for service in (
                configuration.services.values() if configuration else ()
            )
            if service.context_store is not None
        }
        for address in self.views.keys() - stores.keys():
            self.views.pop(address)
        for address in stores.keys() - self.views.keys():
            self.views[address] = store_views.StoreView(stores[address])
        self.followed_addresses = {
            a for a, store in stores.items() if self.follows(store)
        }
        for address in tasks.keys() - self.followed_addresses:
            tasks.pop(address).cancel()
        for address in self.followed_addresses - tasks.keys():
            tasks[address] = asyncio.create_task(
                self._follow_store(self.views[address])
            )

    def rank_followers(self, store: topology.ContextStore) -> t.Sequence[str]:
        """Return the hosts that follow a store, by descending rank.

        In a fleet of up to `SMALL_FLEET_HOSTS` all hosts do, else
        `FOLLOWERS_PER_STORE` hosts of the store's region.
        """
        hosts = self.fleet.list_hosts()
        count = SMALL_FLEET_HOSTS
        if len(hosts) > SMALL_FLEET_HOSTS:
            region = self.regions.get(store.data_centre)
            hosts = self.fleet.list_hosts_in(region) or hosts
            count = FOLLOWERS_PER_STORE
        cached = self._rankings.get(store.address)
        if cached is None or cached[0] != set(hosts):
            ranked = rendezvous.rank_owners(store.address, hosts)[:count]
            cached = self._rankings[store.address] = (set(hosts), ranked)
        return cached[1]

    def follows(self, store: topology.ContextStore) -> bool:
        """Return whether this host reads a store's events itself."""
        return self.host in self.rank_followers(store)

    async def _follow_store(self, view: store_views.StoreView) -> None:
        while True:
            try:
                await self._read_store(view)
                await self._free_outdated(view)
            except exceptions.StoreUnavailable as error:
                self.log.write(
                    "context_store_unread",
                    store=view.store.address,
                    reason=error.message,
                )
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _read_store(self, view: store_views.StoreView) -> None:
        started_at = self.read_time()
        boot_epoch = view.boot_epoch
        batch = await self.store_api.read_events(
            view.store, view.position, EVENTS_WAIT_SECONDS
        )
        if batch.gap or (
            boot_epoch is not None and batch.boot_epoch != boot_epoch
        ):
            started_at = self.read_time()
            batch = await self.store_api.read_snapshot(view.store)
            self.log.write(
                "context_store_listed",
                store=view.store.address,
                life=batch.boot_epoch,
                parts=len(batch.events),
            )
        view.apply_batch(batch, started_at, self.read_time())
        for listener in self.read_listeners:
            listener(view, batch)
        is_large = len(self.fleet.list_hosts()) > SMALL_FLEET_HOSTS
        await asyncio.sleep(
            LARGE_FLEET_READ_INTERVAL_SECONDS
            if is_large
            else READ_INTERVAL_SECONDS
        )

    async def _free_outdated(self, view: store_views.StoreView) -> None:
        """Free outdated context if this host ranks first for the store."""
        first_follower = self.rank_followers(view.store)[:1]
        if self.host not in first_follower or view.boot_epoch is None:
            return
        now = self.read_time()
        salts = {salt for salt, _ in view.stored_parts}
        await self._free(
            view, {s for s in salts if self._is_replaced(s, now)}, None
        )
        deadline = self.catalog.shared_space.get_free_deadline()
        if now < deadline and view.engine_clock_offset is not None:
            await self._free(
                view,
                {s for s in salts if self._is_shared_before(s, now)},
                deadline + view.engine_clock_offset,
            )

    async def _free(
        self,
        view: store_views.StoreView,
        salts: t.Set[str],
        deadline: t.Optional[float],
    ) -> None:
        """Free parts of some salts; see `ContextStoreApi.free`."""
        outdated = list(
            itertools.islice(
                (k for k in view.stored_parts if k[0] in salts),
                MAX_PARTS_PER_FREE_CALL,
            )
        )
        if not outdated or view.boot_epoch is None:
            return
        await self.store_api.free(
            view.store, view.boot_epoch, outdated, deadline
        )
        self.log.write(
            "context_freed",
            store=view.store.address,
            parts=len(outdated),
            salts=sorted({salt for salt, _ in outdated}),
            confirmed=round(self.read_time() - self.catalog.confirmed_at, 2),
        )

    def _is_replaced(self, salt: str, now: float) -> bool:
        """Return whether no host fetches context of a salt's weights.

        Only a newer version of the same model replaces weights. Context with a
        salt of another format is never outdated.
        """
        try:
            model, version, _ = parse_salt(salt)
        except ValueError:
            return False
        replaced_at = self.catalog.find_latest_supersession(model, version)
        return now >= replaced_at + FREE_DELAY_SECONDS

    def _is_shared_before(self, salt: str, now: float) -> bool:
        """Return whether a salt names a space that was shared before.

        A later configuration may bring that space into force again.
        """
        try:
            _, _, space = parse_salt(salt)
        except ValueError:
            return False
        shared = self.catalog.shared_space
        return (
            shared_spaces.is_shared_space(space)
            and space != shared.name
            and now >= shared.unbroken_since + FREE_DELAY_SECONDS
        )


def _find_holder(
    views: t.Iterable[store_views.StoreView],
    salt: str,
    part: requests.PromptPart,
) -> t.Optional[store_views.StoreView]:
    """Return the view of the first store that holds a part, if any."""
    return next((v for v in views if (salt, part.id) in v.stored_parts), None)
