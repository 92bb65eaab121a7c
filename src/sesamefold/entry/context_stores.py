"""Cached context in stores: what they hold, fetching, saving and freeing."""

import asyncio
import itertools
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import rendezvous

# Longest wait of one read of a store's events, seconds.
EVENTS_WAIT = 0.5
# Time between two reads of a store's events, seconds. Under load there are
# always some, and each read is a call. In a large fleet each read goes to many
# hosts.
EVENTS_PACE = 0.25
LARGE_FLEET_PACE = 1.0
# Time between two reads of a store that does not answer, seconds.
RETRY_INTERVAL = 0.3
# Time after newer weights may have been named in which engines with the older
# still fetch and save their context, seconds. A rollout takes about four, and
# five more if the host that orders is lost; a host that cannot reach the
# store must assume that they were named when it last could.
OLD_WEIGHTS_SECONDS = 12.0
# Time after newer weights were named from which the context of the older may
# be freed, seconds. Fetches that other hosts ordered have ended by then.
FREE_DELAY = OLD_WEIGHTS_SECONDS + store_views.FETCH_SECONDS + 0.5
# Weight of the latest request in the mean slowness of requests.
SLOWNESS_WEIGHT = 0.15
# Slowness of the requests that fetch from a store, as a factor of that of all
# others and a number on top, from which nothing is fetched there, and the
# time after which it is tried again, seconds. Its links may be narrow for a
# while, and the transfers wait for each other.
SLOW_FACTOR = 1.6
SLOW_EXCESS = 0.8
SLOW_SECONDS = 1.5
# Time to the first token that is expected of an idle engine, seconds, and
# what a token of the prompt adds.
FIRST_TOKEN_SECONDS = 0.05
TOKEN_SECONDS = 0.00001
# Hosts of a fleet up to which all follow each store, and hosts that do in a
# larger one. A store answers a dozen at once.
SMALL_FLEET = 10
STORE_FOLLOWERS = 4
# Parts freed by one call.
FREE_PARTS = 200
_VERSION_SEPARATOR = "/"


def make_salt(customer: t.Optional[topology.Customer], version: int) -> str:
    """Return the name space of context of one version of the weights.

    The context of an isolated customer has a space of its own; all others
    share theirs. Engines find context only under the same salt.
    """
    owner = customer.name if customer and customer.isolated else ""
    return f"{version}{_VERSION_SEPARATOR}{owner}"


def parse_version(salt: str) -> int:
    """Return the version of the weights that a salt is for.

    Raises `ValueError` for a salt that is not of this form.
    """
    return int(salt.partition(_VERSION_SEPARATOR)[0])


class Fleet(t.Protocol):
    """The entry hosts."""

    def list_hosts(self) -> t.Collection[str]:
        """Return the entry hosts that may be serving."""

    def list_hosts_in(self, region: t.Optional[str]) -> t.Collection[str]:
        """Return those of one region."""


class ContextStoreApi(t.Protocol):
    """Calls to stores of cached context.

    Methods raise `exceptions.StoreUnavailable`.
    """

    async def read_events(
        self, store: topology.ContextStore, position: int, seconds: float
    ) -> store_views.EventBatch:
        """Return the events after a position, waiting up to `seconds`."""

    async def read_snapshot(
        self, store: topology.ContextStore
    ) -> store_views.EventBatch:
        """Return all parts that a store holds, as added."""

    async def free(
        self,
        store: topology.ContextStore,
        boot_epoch: int,
        parts: t.Sequence[t.Tuple[str, str]],
    ) -> None:
        """Free parts, each as (salt, part), in one boot epoch of a store."""


# Called after a read of a store with what was read.
ReadListener = t.Callable[
    [store_views.StoreView, store_views.EventBatch], None
]


@attrs.define
class ContextStores:
    """The stores of all regions and the use of what they hold.

    `followed` are the addresses of the stores whose events this host reads.

    Engines fetch from the stores of their own region and save there.

    Context is fetched only while the store's contents are known and no newer
    weights may have been named unnoticed, and only with an end by which the
    engine must have finished; freeing and writing anew wait until every such
    end has passed, also those that other hosts gave.
    """

    host: str
    regions: t.Mapping[str, str]
    catalog: catalogs.Catalog
    control: ContextStoreApi
    fleet: Fleet
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    views: t.Dict[str, store_views.StoreView] = attrs.field(factory=dict)
    slowness: float = 1.0
    followed: t.Set[str] = attrs.field(factory=set)
    on_read: t.List[ReadListener] = attrs.field(factory=list)
    _rankings: t.Dict[str, t.Tuple[t.Set[str], t.List[str]]] = attrs.field(
        factory=dict
    )
    _named_at: t.Dict[str, t.Tuple[int, float]] = attrs.field(factory=dict)

    def plan_context(
        self, call: requests.Call, server: topology.Server
    ) -> t.Optional[requests.ContextPlan]:
        """Return what an engine should fetch and save for a request.

        None for requests whose context has no known version.
        """
        prompt = call.head.prompt
        if prompt is None or prompt.model not in server.weights:
            return None
        version = server.weights[prompt.model]
        salt = make_salt(call.customer, version)
        plan = requests.ContextPlan(salt, version)
        now = self.read_time()
        if self._may_fetch(prompt.model, version, now):
            return self._add_transfers(plan, call, server, now)
        return plan

    def count_fetchable_tokens(
        self, call: requests.Call, server: topology.Server
    ) -> int:
        """Return the tokens of a prompt that the server can fetch."""
        prompt = call.head.prompt
        if prompt is None or prompt.model not in server.weights:
            return 0
        version = server.weights[prompt.model]
        now = self.read_time()
        if not self._may_fetch(prompt.model, version, now):
            return 0
        salt = make_salt(call.customer, version)
        views = self._list_usable(call, server, now)
        return sum(
            part.tokens
            for part in prompt.list_shared_parts()
            if _find_holder(views, salt, part) is not None
        )

    def record_first_token(
        self,
        prompt: requests.Prompt,
        plan: requests.ContextPlan,
        seconds: float,
    ) -> None:
        """Learn from the time between the sending and the first token."""
        expected = FIRST_TOKEN_SECONDS + TOKEN_SECONDS * prompt.tokens
        slowness = seconds / expected
        views = {
            self.views[fetch.address]
            for fetch in plan.fetches
            if fetch is not None and fetch.address in self.views
        }
        if not views:
            self.slowness += SLOWNESS_WEIGHT * (slowness - self.slowness)
        for view in views:
            view.slowness += SLOWNESS_WEIGHT * (slowness - view.slowness)
            limit = SLOW_FACTOR * self.slowness + SLOW_EXCESS
            if view.slowness > limit:
                self.log.write(
                    "context_store_slow",
                    store=view.store.address,
                    slowness=round(view.slowness, 2),
                    others=round(self.slowness, 2),
                )
                view.avoided_until = self.read_time() + SLOW_SECONDS
                view.slowness = self.slowness

    def _may_fetch(self, model: str, version: int, now: float) -> bool:
        """Tell whether context of a version is surely not freed yet."""
        successor_at = min(
            self.catalog.confirmed_at,
            self.catalog.find_earliest_supersession(model, version),
        )
        return now <= successor_at + OLD_WEIGHTS_SECONDS

    def _add_transfers(
        self,
        plan: requests.ContextPlan,
        call: requests.Call,
        server: topology.Server,
        now: float,
    ) -> requests.ContextPlan:
        views = self._list_usable(call, server, now)
        prompt = t.cast(requests.Prompt, call.head.prompt)
        if not views:
            return plan
        fetches: t.List[t.Optional[requests.ContextFetch]] = []
        saves: t.List[t.Optional[str]] = []
        for part in prompt.list_shared_parts():
            holder = _find_holder(views, plan.salt, part)
            saver = None
            if holder is None:
                saver = self._choose_saver(views, part, now)
            fetches.append(
                holder
                and requests.ContextFetch(
                    holder.store.address,
                    holder.stored_parts[plan.salt, part.id],
                )
            )
            saves.append(saver and saver.store.address)
        own = len(prompt.parts) - len(fetches)
        offsets = [
            v.engine_clock_offset
            for v in views
            if v.engine_clock_offset is not None
        ]
        return attrs.evolve(
            plan,
            fetches=(*fetches, *[None] * own) if offsets else (),
            saves=(*saves, *[None] * own),
            fetch_deadline=(
                now + min(offsets) + store_views.FETCH_SECONDS
                if offsets
                else 0.0
            ),
        )

    def _list_usable(
        self, call: requests.Call, server: topology.Server, now: float
    ) -> t.List[store_views.StoreView]:
        """Return the known stores in the server's region, nearest first."""
        allowed = call.list_allowed_regions()
        region = self.regions.get(server.data_centre)
        if allowed is not None and region not in allowed:
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

    def _choose_saver(
        self,
        views: t.Sequence[store_views.StoreView],
        part: requests.PromptPart,
        now: float,
    ) -> t.Optional[store_views.StoreView]:
        """Return the store for a part; hosts agree on it without messages."""
        roomy = {
            v.store.address: v for v in views if v.may_save(now, part.tokens)
        }
        owner = rendezvous.choose_owner(part.id, roomy)
        return roomy[owner] if owner is not None else None

    async def run(self) -> None:
        """Follow the stores of the configuration until cancelled."""
        tasks: t.Dict[str, "asyncio.Task[None]"] = {}
        try:
            while True:
                self._follow_sites(tasks)
                await asyncio.sleep(EVENTS_WAIT)
        finally:
            for task in tasks.values():
                task.cancel()

    def _follow_sites(self, tasks: t.Dict[str, "asyncio.Task[None]"]) -> None:
        configuration = self.catalog.configuration
        sites = {
            service.context_store.address: service.context_store
            for service in (
                configuration.services.values() if configuration else ()
            )
            if service.context_store is not None
        }
        for address in self.views.keys() - sites.keys():
            self.views.pop(address)
        for address in sites.keys() - self.views.keys():
            self.views[address] = store_views.StoreView(sites[address])
        self.followed = {
            a for a, store in sites.items() if self.follows(store)
        }
        for address in tasks.keys() - self.followed:
            tasks.pop(address).cancel()
        for address in self.followed - tasks.keys():
            tasks[address] = asyncio.create_task(
                self._follow(self.views[address])
            )

    def rank_followers(self, store: topology.ContextStore) -> t.Sequence[str]:
        """Return the hosts that follow a store, the first one first.

        In a small fleet all do, else some hosts of the store's region.
        """
        hosts = self.fleet.list_hosts()
        count = SMALL_FLEET
        if len(hosts) > SMALL_FLEET:
            region = self.regions.get(store.data_centre)
            hosts = self.fleet.list_hosts_in(region) or hosts
            count = STORE_FOLLOWERS
        known = self._rankings.get(store.address)
        if known is None or known[0] != set(hosts):
            ranked = rendezvous.rank_owners(store.address, hosts)[:count]
            known = self._rankings[store.address] = (set(hosts), ranked)
        return known[1]

    def follows(self, store: topology.ContextStore) -> bool:
        """Tell whether this host reads a store's events itself."""
        return self.host in self.rank_followers(store)

    async def _follow(self, view: store_views.StoreView) -> None:
        while True:
            try:
                await self._read(view)
                await self._free_outdated(view)
            except exceptions.StoreUnavailable as error:
                self.log.write(
                    "context_store_unread",
                    store=view.store.address,
                    reason=error.message,
                )
                await asyncio.sleep(RETRY_INTERVAL)

    async def _read(self, view: store_views.StoreView) -> None:
        started = self.read_time()
        boot_epoch = view.boot_epoch
        batch = await self.control.read_events(
            view.store, view.position, EVENTS_WAIT
        )
        if batch.gap or (
            boot_epoch is not None and batch.boot_epoch != boot_epoch
        ):
            started = self.read_time()
            batch = await self.control.read_snapshot(view.store)
            self.log.write(
                "context_store_listed",
                store=view.store.address,
                life=batch.boot_epoch,
                parts=len(batch.events),
            )
        view.take(batch, started, self.read_time())
        for listener in self.on_read:
            listener(view, batch)
        large = len(self.fleet.list_hosts()) > SMALL_FLEET
        await asyncio.sleep(LARGE_FLEET_PACE if large else EVENTS_PACE)

    async def _free_outdated(self, view: store_views.StoreView) -> None:
        """Free context of weights that were replaced some time ago."""
        first = self.rank_followers(view.store)[:1]
        if self.host not in first or view.boot_epoch is None:
            return
        newest = self._find_outdated_before()
        outdated = list(
            itertools.islice(
                (
                    key
                    for key in view.stored_parts
                    if _is_older(key[0], newest)
                ),
                FREE_PARTS,
            )
        )
        if outdated:
            await self.control.free(view.store, view.boot_epoch, outdated)
            self.log.write(
                "context_freed",
                store=view.store.address,
                parts=len(outdated),
                before=newest,
            )

    def _find_outdated_before(self) -> int:
        """Return the version before which all context may be freed.

        Salts do not name the model, so the least of the models counts.
        """
        now = self.read_time()
        for model, version in self.catalog.target_weights.items():
            if self._named_at.get(model, (0, 0.0))[0] != version:
                self._named_at[model] = (version, now)
        ripe = [
            version if now >= at + FREE_DELAY else 0
            for version, at in self._named_at.values()
        ]
        return min(ripe, default=0)


def _find_holder(
    views: t.Iterable[store_views.StoreView],
    salt: str,
    part: requests.PromptPart,
) -> t.Optional[store_views.StoreView]:
    """Return the first store that holds a part."""
    return next((v for v in views if (salt, part.id) in v.stored_parts), None)


def _is_older(salt: str, version: int) -> bool:
    try:
        return parse_version(salt) < version
    except ValueError:
        return False
