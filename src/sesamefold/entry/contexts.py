"""Cached context in stores: what they hold, fetching, saving and freeing."""

import asyncio
import itertools
import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import follower
from sesamefold.entry import requests
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold import rendezvous

# Longest wait of one read of a store's events, seconds.
EVENTS_WAIT = 0.5
# Time between two reads of a store's events, seconds. Under load there are
# always some, and each read is a call.
EVENTS_PACE = 0.25
# Time between two reads of a store that does not answer, seconds.
RETRY_INTERVAL = 0.3
# Age of the latest read from which a store's contents count as unknown,
# seconds.
FRESH_SECONDS = 1.2
# Time within which an engine must have finished a fetch, seconds. It covers
# the wait for admission.
FETCH_SECONDS = 2.0
# Time after a store's restart was seen in which nothing is saved there,
# seconds. Until then hosts may order fetches of parts that it held before,
# and must not find new ones that are still being written.
SAVE_DELAY = FRESH_SECONDS + FETCH_SECONDS + 0.4
# Largest age of the configuration's confirmation at which context may be
# fetched, seconds: a host must know that no newer weights were named. A
# watch confirms the time of its beginning, so two of them and their answers
# lie within the largest age in undisturbed running.
CONFIRMED_SECONDS = 2 * follower.OPERATIONS_WAIT + 0.4
# Time after newer weights were named from which the context of the older may
# be freed, seconds. Fetches that other hosts ordered have ended by then.
FREE_DELAY = CONFIRMED_SECONDS + FETCH_SECONDS + 0.5
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
# Hosts that follow one store; a store answers a dozen at once.
STORE_FOLLOWERS = 10
# Parts freed by one call.
FREE_PARTS = 200
# Share of a store's capacity up to which this host saves there; what other
# hosts save meanwhile is not known yet.
FULL_SHARE = 0.98

_VERSION_SEPARATOR = "/"


def make_salt(customer: t.Optional[topology.Customer], version: int) -> str:
    """Return the name space of context of one version of the weights.

    The context of an isolated customer has a space of its own; all others
    share theirs. Engines find context only under the same salt.
    """
    owner = customer.name if customer and customer.isolated else ""
    return f"{version}{_VERSION_SEPARATOR}{owner}"


def read_version(salt: str) -> int:
    """Return the version of the weights that a salt is for.

    Raises `ValueError` for a salt that is not of this form.
    """
    return int(salt.partition(_VERSION_SEPARATOR)[0])


@attrs.frozen
class ContextEvent:
    """A part that a store has completely, or no longer."""

    added: bool
    salt: str
    part: str
    tokens: int


@attrs.frozen
class EventBatch:
    """Events of one life of a store, up to `position`.

    `gap` tells that older events are missing, `clock_at` is the time of the
    engines' clock in seconds.
    """

    life: int
    position: int
    gap: bool
    clock_at: t.Optional[float]
    events: t.Tuple[ContextEvent, ...]


class StoreControl(t.Protocol):
    """Calls to stores of cached context.

    Methods raise `exceptions.StoreUnavailable`.
    """

    async def read_events(
        self, site: topology.CacheStore, position: int, seconds: float
    ) -> EventBatch:
        """Return the events after a position, waiting up to `seconds`."""

    async def read_contents(self, site: topology.CacheStore) -> EventBatch:
        """Return all parts that a store holds, as added."""

    async def free(
        self,
        site: topology.CacheStore,
        life: int,
        parts: t.Sequence[t.Tuple[str, str]],
    ) -> None:
        """Free parts, each as (salt, part), in one life of a store."""


@attrs.define(eq=False)
class StoreView:
    """What this host knows of one store."""

    site: topology.CacheStore
    life: t.Optional[int] = None
    life_seen_at: float = float("inf")
    read_at: float = float("-inf")
    position: int = 0
    clock_offset: t.Optional[float] = None
    held: t.Dict[t.Tuple[str, str], int] = attrs.field(factory=dict)
    held_tokens: int = 0
    slowness: float = 1.0
    avoided_until: float = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Tell whether the contents are known."""
        return self.life is not None and now - self.read_at <= FRESH_SECONDS

    def may_save(self, now: float, tokens: int) -> bool:
        """Tell whether a part can be saved here."""
        return (
            self.is_fresh(now)
            and now >= self.life_seen_at + SAVE_DELAY
            and self.held_tokens + tokens
            <= FULL_SHARE * self.site.capacity_tokens
        )

    def take(self, batch: EventBatch, started: float, now: float) -> None:
        """Take the events of a read that began at `started`."""
        if batch.life != self.life:
            self.life, self.life_seen_at = batch.life, now
            self.clear()
        for event in batch.events:
            self._apply(event)
        self.position, self.read_at = batch.position, started
        if batch.clock_at is not None:
            self.clock_offset = batch.clock_at - now

    def clear(self) -> None:
        """Forget the contents."""
        self.held.clear()
        self.held_tokens = 0

    def _apply(self, event: ContextEvent) -> None:
        key = (event.salt, event.part)
        self.held_tokens -= self.held.pop(key, 0)
        if event.added:
            self.held[key] = event.tokens
            self.held_tokens += event.tokens


@attrs.define
class Contexts:
    """The stores of all regions and the use of what they hold.

    Engines fetch from the stores of their own region and save there.

    Context is fetched only while the store's contents are known and no newer
    weights may have been named unnoticed, and only with an end by which the
    engine must have finished; freeing and writing anew wait until every such
    end has passed, also those that other hosts gave.
    """

    host: str
    regions: t.Mapping[str, str]
    catalog: catalogs.Catalog
    control: StoreControl
    members: t.Callable[[], t.Collection[str]]
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    views: t.Dict[str, StoreView] = attrs.field(factory=dict)
    slowness: float = 1.0
    _named_at: t.Dict[str, t.Tuple[int, float]] = attrs.field(factory=dict)

    def plan(
        self, call: requests.Call, server: topology.Server
    ) -> t.Optional[requests.ContextPlan]:
        """Return what an engine should fetch and save for a request.

        None for requests whose context has no known version.
        """
        prompt = call.intake.prompt
        if prompt is None or prompt.model not in server.weights:
            return None
        version = server.weights[prompt.model]
        salt = make_salt(call.customer, version)
        plan = requests.ContextPlan(salt, version)
        now = self.read_time()
        if self._are_weights_newest(prompt.model, version, now):
            return self._add_transfers(plan, call, server, now)
        return plan

    def count_stored(
        self, call: requests.Call, server: topology.Server
    ) -> int:
        """Return the tokens of a prompt that the server can fetch."""
        prompt = call.intake.prompt
        if prompt is None or prompt.model not in server.weights:
            return 0
        salt = make_salt(call.customer, server.weights[prompt.model])
        views = self._list_usable(call, server, self.read_time())
        return sum(
            part.tokens
            for part in prompt.list_shared()
            if any((salt, part.id) in view.held for view in views)
        )

    def record_first(
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
                    store=view.site.address,
                    slowness=round(view.slowness, 2),
                    others=round(self.slowness, 2),
                )
                view.avoided_until = self.read_time() + SLOW_SECONDS
                view.slowness = self.slowness

    def _are_weights_newest(
        self, model: str, version: int, now: float
    ) -> bool:
        age = now - self.catalog.confirmed_at
        named = self.catalog.weights.get(model, version)
        return age <= CONFIRMED_SECONDS and version >= named

    def _add_transfers(
        self,
        plan: requests.ContextPlan,
        call: requests.Call,
        server: topology.Server,
        now: float,
    ) -> requests.ContextPlan:
        views = self._list_usable(call, server, now)
        prompt = t.cast(requests.Prompt, call.intake.prompt)
        if not views:
            return plan
        fetches: t.List[t.Optional[requests.ContextFetch]] = []
        saves: t.List[t.Optional[str]] = []
        for part in prompt.list_shared():
            holder = next(
                (v for v in views if (plan.salt, part.id) in v.held), None
            )
            saver = None
            if holder is None:
                saver = self._choose_saver(views, part, now)
            fetches.append(
                holder
                and requests.ContextFetch(
                    holder.site.address, holder.held[plan.salt, part.id]
                )
            )
            saves.append(saver and saver.site.address)
        own = len(prompt.parts) - len(fetches)
        offsets = [v.clock_offset for v in views if v.clock_offset is not None]
        return attrs.evolve(
            plan,
            fetches=(*fetches, *[None] * own) if offsets else (),
            saves=(*saves, *[None] * own),
            fetch_until=now + min(offsets) + FETCH_SECONDS if offsets else 0.0,
        )

    def _list_usable(
        self, call: requests.Call, server: topology.Server, now: float
    ) -> t.List[StoreView]:
        """Return the known stores in the server's region, nearest first."""
        allowed = call.list_regions()
        region = self.regions.get(server.data_centre)
        if allowed is not None and region not in allowed:
            return []
        return sorted(
            (
                view
                for view in self.views.values()
                if view.is_fresh(now)
                and now >= view.avoided_until
                and self.regions.get(view.site.data_centre) == region
            ),
            key=lambda v: v.site.data_centre != server.data_centre,
        )

    def _choose_saver(
        self,
        views: t.Sequence[StoreView],
        part: requests.PromptPart,
        now: float,
    ) -> t.Optional[StoreView]:
        """Return the store for a part; hosts agree on it without messages."""
        roomy = {
            v.site.address: v for v in views if v.may_save(now, part.tokens)
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
            service.cache_store.address: service.cache_store
            for service in (
                configuration.services.values() if configuration else ()
            )
            if service.cache_store is not None
            and self._follows(service.cache_store)
        }
        for address in tasks.keys() - sites.keys():
            tasks.pop(address).cancel()
            self.views.pop(address, None)
        for address in sites.keys() - tasks.keys():
            view = self.views[address] = StoreView(sites[address])
            tasks[address] = asyncio.create_task(self._follow(view))

    def _follows(self, site: topology.CacheStore) -> bool:
        """Tell whether this host is one of those that follow a store."""
        ranked = rendezvous.rank_owners(site.address, self.members())
        return self.host in ranked[:STORE_FOLLOWERS]

    async def _follow(self, view: StoreView) -> None:
        while True:
            try:
                await self._read(view)
                await self._free_outdated(view)
            except exceptions.StoreUnavailable as error:
                self.log.write(
                    "context_store_unread",
                    store=view.site.address,
                    reason=error.message,
                )
                await asyncio.sleep(RETRY_INTERVAL)

    async def _read(self, view: StoreView) -> None:
        started = self.read_time()
        life = view.life
        batch = await self.control.read_events(
            view.site, view.position, EVENTS_WAIT
        )
        if batch.gap or (life is not None and batch.life != life):
            view.clear()
            started = self.read_time()
            batch = await self.control.read_contents(view.site)
            self.log.write(
                "context_store_listed",
                store=view.site.address,
                life=batch.life,
                parts=len(batch.events),
            )
        view.take(batch, started, self.read_time())
        await asyncio.sleep(EVENTS_PACE)

    async def _free_outdated(self, view: StoreView) -> None:
        """Free context of weights that were replaced some time ago."""
        owner = rendezvous.choose_owner(view.site.address, self.members())
        if owner != self.host or view.life is None:
            return
        newest = self._find_outdated_before()
        outdated = list(
            itertools.islice(
                (key for key in view.held if _is_older(key[0], newest)),
                FREE_PARTS,
            )
        )
        if outdated:
            await self.control.free(view.site, view.life, outdated)
            self.log.write(
                "context_freed",
                store=view.site.address,
                parts=len(outdated),
                before=newest,
            )

    def _find_outdated_before(self) -> int:
        """Return the version before which all context may be freed.

        Salts do not name the model, so the least of the models counts.
        """
        now = self.read_time()
        for model, version in self.catalog.weights.items():
            if self._named_at.get(model, (0, 0.0))[0] != version:
                self._named_at[model] = (version, now)
        ripe = [
            version if now >= at + FREE_DELAY else 0
            for version, at in self._named_at.values()
        ]
        return min(ripe, default=0)


def _is_older(salt: str, version: int) -> bool:
    try:
        return read_version(salt) < version
    except ValueError:
        return False
