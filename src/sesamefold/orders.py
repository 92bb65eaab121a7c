"""Desired state of the engines of a data centre."""

import asyncio
import contextlib
import json
import random
import time
import typing as t
import uuid

import attrs
import logbook
import mode
import prometheus_client

from sesamefold import backends as backend_states
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import engines
from sesamefold import exceptions
from sesamefold import hostlist
from sesamefold import keyvalue as keyvalues
from sesamefold import membership as memberships
from sesamefold.wire import control_pb2

_log = logbook.Logger("orders")

_sent = prometheus_client.Counter(
    "sesamefold_orders", "Orders to engines, by result", ["result"]
)
_loading = prometheus_client.Gauge(
    "sesamefold_engines_loading", "Engines that load, as the orderer sees it"
)
_holds = prometheus_client.Gauge(
    "sesamefold_orderer", "1 while this control is the orderer"
)

# Interval of the comparison of desired and actual state, seconds.
_INTERVAL = 0.5
# An order that matches is read back this often, seconds. Servers that don't
# check fencing may have followed a late order.
_READ_BACK_SECONDS = 15.0
_READ_BACK_UNFENCED_SECONDS = 5.0
# An order that does not match is read back at most this often, seconds.
_READ_BACK_FLOOR = 1.0
_PARALLEL_CALLS = 16
_CALL_SECONDS = 2.0
# A load that takes longer no longer holds up the others, seconds.
_LOAD_SECONDS = 60.0


@attrs.define
class Tenure:
    """The time in which this control is the orderer.

    `deadline` is the instant, in Unix seconds of this host, from which no
    order may be sent any more.
    """

    lease: str
    deadline: float
    fencing: int


@attrs.define
class Target:
    """An engine, what it shall load, and what is known of its order."""

    host: hostlist.Host
    group: configuration.Group
    versions: t.Tuple[str, ...]
    followed: t.Optional[engines.Order] = None
    read_at: float = 0.0  # the instant of the last reading, failed or not
    ordered_at: float = 0.0


class Orderer(mode.Service):
    """Orders engines to load what the configuration says.

    The control that watches the configuration does so, under a lease. It does
    not probe the key-value service during an outage; the watch does. The key
    `orderer/<data centre>` holds the fencing number and outlives the lease,
    so that the number never falls; the key `.../holder` vanishes with it.
    """

    mundane_level = "debug"

    def __init__(
        self,
        keyvalue: keyvalues.KeyValue,
        membership: memberships.Membership,
        backends: backend_states.Backends,
        open_engine: t.Callable[[str], engines.Engine],
        get_configuration: t.Callable[[], configuration.Configuration],
        *,
        is_platform_up: t.Callable[[], bool] = lambda: True,
        clock: t.Callable[[], float] = time.time,
        seed: t.Optional[int] = None,
        **kwargs: t.Any,
    ) -> None:
        super().__init__(**kwargs)
        self.tenure: t.Optional[Tenure] = None
        self._keyvalue = keyvalue
        self._membership = membership
        self._backends = backends
        self._open_engine = open_engine
        self._get_configuration = get_configuration
        self._is_platform_up = is_platform_up
        self._clock = clock
        self._random = random.Random(seed)
        self._fencing_key = f"orderer/{membership.data_centre}"
        self._holder_key = f"orderer/{membership.data_centre}/holder"
        self._targets: t.Dict[str, Target] = {}
        # The highest fencing number that an engine has shown.
        self._seen_fencing = 0

    # The lease.

    def holds(self) -> bool:
        """Tell whether this control may send an order now."""
        return self.tenure is not None and self._clock() < self.tenure.deadline

    def _limit(self) -> deadlines.Deadline:
        return deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)

    def _bound(self, began: float, lease: keyvalues.Lease) -> float:
        """Return the end of a lease that was asked for at `began`.

        The skew covers the clocks of this host and of the service, and the
        way of an order to an engine is bounded by its own deadline.
        """
        end = min(lease.deadline.at, began + defaults.ORDERER_LEASE_SECONDS)
        return end - defaults.CLOCK_SKEW

    async def acquire(self) -> t.Optional[Tenure]:
        """Become the orderer; returns None when another control is it.

        Raises `exceptions.PlatformError`; a lease that may have been granted
        lapses by itself then.
        """
        if await self._keyvalue.get(self._holder_key, self._limit()):
            return None
        attempt = uuid.uuid4().hex
        began = self._clock()
        lease = await self._keyvalue.grant_lease(
            defaults.ORDERER_LEASE_SECONDS, self._limit()
        )
        try:
            held = await self._put_holder(lease.id, attempt)
            fencing = await self._take_fencing(attempt) if held else 0
        except BaseException:
            await self._revoke(lease.id)
            raise
        if not held:
            await self._revoke(lease.id)
            return None
        return Tenure(lease.id, self._bound(began, lease), fencing)

    def _encode(self, attempt: str, fencing: int) -> bytes:
        return json.dumps(
            {
                "holder": self._membership.name,
                "attempt": attempt,
                "fencing": fencing,
            }
        ).encode()

    async def _put_holder(self, lease: str, attempt: str) -> bool:
        try:
            await self._keyvalue.put(
                self._holder_key,
                self._encode(attempt, 0),
                0,
                self._limit(),
                lease,
            )
        except exceptions.VersionConflict:
            return False
        except exceptions.OutcomeUnknown:
            # The attempt in the value shows whether the write took effect.
            entry = await self._keyvalue.get(self._holder_key, self._limit())
            return entry is not None and _get_attempt(entry) == attempt
        return True

    async def _take_fencing(self, attempt: str) -> int:
        """Raise the fencing number and return it."""
        while True:
            entry = await self._keyvalue.get(self._fencing_key, self._limit())
            version, fencing = 0, 0
            if entry is not None:
                version = entry.version
                fencing = json.loads(entry.value)["fencing"]
                if _get_attempt(entry) == attempt:
                    # The answer to the write below was lost.
                    return fencing
            fencing = max(fencing, self._seen_fencing) + 1
            try:
                await self._keyvalue.put(
                    self._fencing_key,
                    self._encode(attempt, fencing),
                    version,
                    self._limit(),
                )
            except (exceptions.VersionConflict, exceptions.OutcomeUnknown):
                await self.sleep(self._random.uniform(0.01, 0.05))
                if self.should_stop:
                    raise
            else:
                return fencing

    async def _revoke(self, lease: str) -> None:
        with contextlib.suppress(exceptions.PlatformError):
            await self._keyvalue.revoke_lease(lease, self._limit())

    async def _give_up(self, reason: str) -> None:
        tenure, self.tenure = self.tenure, None
        self._targets = {}
        _holds.set(0)
        _loading.set(0)
        if tenure is not None:
            _log.info("orderer {} ends: {}", tenure.fencing, reason)
            await self._revoke(tenure.lease)

    @mode.Service.task
    async def _campaign(self) -> None:
        backoff = defaults.PLATFORM_BACKOFF
        while not self.should_stop:
            try:
                await self._step()
            except exceptions.PlatformError as error:
                _log.warning("the orderer's lease: {}", error)
                pause = backoff * self._random.uniform(0.5, 1.0)
                backoff = min(2 * backoff, defaults.PLATFORM_BACKOFF_LIMIT)
            else:
                held = self.tenure is not None
                pause = defaults.ORDERER_LEASE_SECONDS / 4 if held else 1.0
                backoff = defaults.PLATFORM_BACKOFF
            await self.sleep(pause)
        await self._give_up("the process stops")

    async def _step(self) -> None:
        """Acquire, renew or return the lease."""
        first = self._membership.is_owner("configuration")
        if self.tenure is None:
            if first and self._is_platform_up() and self._has_engines():
                self.tenure = await self.acquire()
            if self.tenure is not None:
                _holds.set(1)
                _log.info("orderer {} begins", self.tenure.fencing)
        elif not first:
            await self._give_up("another member is first in rank")
        elif not self.holds():
            await self._give_up("the lease has lapsed")
        else:
            began = self._clock()
            try:
                lease = await self._keyvalue.renew_lease(
                    self.tenure.lease, self._limit()
                )
            except exceptions.LeaseExpired:
                await self._give_up("the lease has expired")
            else:
                if self.tenure is not None:
                    self.tenure.deadline = self._bound(began, lease)

    def _has_engines(self) -> bool:
        groups = self._get_configuration().groups
        return any(
            host.group in groups and groups[host.group].kind == "engine"
            for host in self._membership.list_backends()
        )

    # Orders.

    @mode.Service.task
    async def _reconcile(self) -> None:
        while not self.should_stop:
            if self.holds():
                await self.reconcile()
            await self.sleep(_INTERVAL)

    async def reconcile(self) -> None:
        """Compare desired and actual state once, and send what differs."""
        tenure = self.tenure
        if tenure is None:
            return
        settings = self._get_configuration()
        self._list_targets(settings)
        targets = list(self._targets.values())
        limit = asyncio.Semaphore(_PARALLEL_CALLS)

        async def read(target: Target) -> None:
            async with limit:
                await self._read_back(target)

        await asyncio.gather(*(read(x) for x in targets if self._is_due(x)))
        if self.tenure is None:
            return
        newest = max(
            (x.followed.fencing for x in targets if x.followed), default=0
        )
        self._seen_fencing = max(self._seen_fencing, newest)
        if newest > tenure.fencing:
            await self._give_up(f"an engine follows orderer {newest}")
            return
        loading = sum(self._is_loading(target) for target in targets)
        for target in targets:
            if self._matches(target) or not self._is_orderable(target):
                continue
            followed = target.followed
            if followed is None or followed.revision > settings.revision:
                # The configuration of this host lags behind.
                continue
            loads = not self._is_loading(target) and not self._has_loaded(
                target, target.versions
            )
            if loads and loading >= target.group.concurrent_loads:
                continue
            if await self._send(target, settings.revision):
                loading += loads
            if self.tenure is None:
                return
        _loading.set(loading)

    def _list_targets(self, settings: configuration.Configuration) -> None:
        found = {}
        for host in self._membership.list_backends():
            group = settings.groups.get(host.group)
            if group is None or group.kind != "engine":
                continue
            model = settings.models.get(group.model)
            if model is None:
                continue
            versions = (model.version_name,)
            old = self._targets.get(host.name)
            if old is None or old.host.address != host.address:
                old = Target(host, group, versions)
            old.host, old.group, old.versions = host, group, versions
            found[host.name] = old
        self._targets = found

    def _get_state(self, target: Target) -> control_pb2.BackendState:
        found = self._backends.get_state(target.host.name)
        return found or control_pb2.BackendState(state=backend_states.UNKNOWN)

    def _is_orderable(self, target: Target) -> bool:
        return self._get_state(target).state not in (
            backend_states.DOWN,
            backend_states.LEAVING,
        )

    def _has_loaded(self, target: Target, versions: t.Iterable[str]) -> bool:
        return set(versions) <= {*self._get_state(target).versions}

    def _is_loading(self, target: Target) -> bool:
        """Tell whether an engine follows an order that it has not loaded.

        This is seen from outside, so that a new orderer counts the loads
        that an earlier one started.
        """
        if target.followed is None:
            return False
        if self._has_loaded(target, target.followed.versions):
            return False
        return self._clock() - target.ordered_at < _LOAD_SECONDS

    def _matches(self, target: Target) -> bool:
        followed = target.followed
        return (
            followed is not None
            and followed.versions == target.versions
            and followed.role == "serve"
        )

    def _is_due(self, target: Target) -> bool:
        """Tell whether an engine's order shall be read back now."""
        if not self._is_orderable(target):
            return False
        age = self._clock() - target.read_at
        if not self._matches(target) or not self._has_loaded(
            target, target.versions
        ):
            return age >= _READ_BACK_FLOOR
        if target.group.checks_fencing:
            return age >= _READ_BACK_SECONDS
        return age >= _READ_BACK_UNFENCED_SECONDS

    async def _read_back(self, target: Target) -> None:
        target.read_at = self._clock()
        engine = self._open_engine(target.host.address)
        try:
            followed = await engine.fetch_order(
                deadlines.Deadline.after(_CALL_SECONDS)
            )
        except exceptions.SesamefoldError as error:
            _log.warning("{} told no order: {}", target.host.name, error)
            return
        if target.followed != followed:
            # A load under an order that was just found starts now at the
            # latest.
            target.ordered_at = self._clock()
        target.followed = followed

    async def _send(self, target: Target, revision: int) -> bool:
        """Send the desired state; returns False when nothing was sent."""
        engine = self._open_engine(target.host.address)
        # The process may have been paused since the last check, so the lease
        # is checked last, directly before the call.
        tenure = self.tenure
        if tenure is None or not self.holds():
            _sent.labels("lapsed").inc()
            return False
        order = engines.Order(revision, tenure.fencing, target.versions)
        deadline = min(
            deadlines.Deadline(tenure.deadline),
            deadlines.Deadline(self._clock() + _CALL_SECONDS),
        )
        try:
            await engine.send_order(order, deadline)
        except exceptions.FencingRefused:
            _sent.labels("refused").inc()
            await self._give_up("an engine refused the fencing number")
            return False
        except exceptions.SesamefoldError as error:
            # The order may have arrived; it is read back before the next one
            # and counts as a load until then.
            _sent.labels("failed").inc()
            _log.warning("{} took no order: {}", target.host.name, error)
            target.followed = order
            target.ordered_at = self._clock()
            target.read_at = 0.0
            return True
        _sent.labels("answered").inc()
        _log.info(
            "{} was ordered to load {}",
            target.host.name,
            ", ".join(target.versions),
        )
        target.followed = order
        target.ordered_at = self._clock()
        return True


def _get_attempt(entry: keyvalues.Entry) -> str:
    return json.loads(entry.value)["attempt"]
