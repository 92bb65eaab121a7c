"""Orders that bring the engines of a data centre to the desired state."""

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

_orders_sent = prometheus_client.Counter(
    "sesamefold_orders", "Orders to engines, by result", ["result"]
)
_engines_loading = prometheus_client.Gauge(
    "sesamefold_engines_loading", "Engines that load, as the orderer sees it"
)
_is_orderer = prometheus_client.Gauge(
    "sesamefold_orderer", "1 while this control is the orderer"
)

# Between two comparisons of the desired and the actual state.
_RECONCILE_INTERVAL_SECONDS = 0.5
# Between two reads of an engine's order while it is the desired one and the
# engine has loaded it.
_READ_BACK_INTERVAL_SECONDS = 15.0
# The same for a server that doesn't check fencing tokens: it may have
# accepted a delayed order of an earlier orderer, so it is read more often.
_UNFENCED_READ_BACK_INTERVAL_SECONDS = 5.0
# The least time between two reads of an engine's order while that order is
# not the desired one, or the engine has not loaded it.
_MISMATCH_READ_BACK_INTERVAL_SECONDS = 1.0
# Calls to engines that read back orders at the same time.
_MAX_CONCURRENT_READS = 16
# Timeout of one call to an engine.
_CALL_TIMEOUT_SECONDS = 2.0
# A load that takes longer is no longer counted as in progress, so that it
# doesn't block the loads of other engines.
_LOAD_TIMEOUT_SECONDS = 60.0


@attrs.define
class OrdererLease:
    """The lease under which this control daemon is the orderer.

    `deadline` is the Unix time, in seconds by the clock of this host, from
    which no order may be sent. `fencing_token` is sent with each order.
    """

    lease_id: str
    deadline: float
    fencing_token: int


@attrs.define
class EngineTarget:
    """An engine, its desired model versions, and its current order.

    `current_order` is the order read back or sent last, None before the first
    one. `read_back_at` is the Unix time of the last attempt to read it,
    successful or not, and `ordered_at` the Unix time at which an order was
    last sent or found to have changed.
    """

    host: hostlist.Host
    group: configuration.Group
    versions: t.Tuple[str, ...]
    current_order: t.Optional[engines.Order] = None
    read_back_at: float = 0.0
    ordered_at: float = 0.0


class Orderer(mode.Service):
    """Orders engines to load the model versions that the configuration names.

    One control daemon of the data centre is the orderer, under a lease: the
    one that watches the configuration. During an outage of the key-value
    service it does not try to acquire the lease; the configuration watch
    finds out when the service is back. The key `orderer/<data centre>` holds
    the fencing token. It outlives the lease, so that the token never
    decreases. The key `orderer/<data centre>/holder` is deleted with the
    lease.
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
        self.held_lease: t.Optional[OrdererLease] = None
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
        self._targets: t.Dict[str, EngineTarget] = {}
        # The highest fencing token read back from an engine.
        self._highest_fencing_token = 0

    # Lease.

    def may_send_orders(self) -> bool:
        """Return whether this control daemon may send an order now."""
        return (
            self.held_lease is not None
            and self._clock() < self.held_lease.deadline
        )

    def _make_deadline(self) -> deadlines.Deadline:
        return deadlines.Deadline.after(defaults.PLATFORM_TIMEOUT)

    def _compute_lease_end(
        self, requested_at: float, lease: keyvalues.Lease
    ) -> float:
        """Return the Unix time until which orders may be sent under a lease.

        `requested_at` is the Unix time of the request for the lease.
        `defaults.CLOCK_SKEW` allows for the difference between the clocks of
        this host and of the key-value service. The delay of an order on its
        way to an engine is bounded by the deadline of that call.
        """
        end = min(
            lease.deadline.at, requested_at + defaults.ORDERER_LEASE_SECONDS
        )
        return end - defaults.CLOCK_SKEW

    async def acquire_lease(self) -> t.Optional[OrdererLease]:
        """Return a new orderer lease, None while another host holds it.

        Raises `exceptions.PlatformError` when the key-value service fails. A
        lease that was granted nevertheless then expires on its own.
        """
        if await self._keyvalue.get(self._holder_key, self._make_deadline()):
            return None
        attempt = uuid.uuid4().hex
        requested_at = self._clock()
        lease = await self._keyvalue.grant_lease(
            defaults.ORDERER_LEASE_SECONDS, self._make_deadline()
        )
        try:
            acquired = await self._write_holder(lease.id, attempt)
            fencing_token = (
                await self._increment_fencing_token(attempt) if acquired else 0
            )
        except BaseException:
            await self._revoke_lease(lease.id)
            raise
        if not acquired:
            await self._revoke_lease(lease.id)
            return None
        return OrdererLease(
            lease.id,
            self._compute_lease_end(requested_at, lease),
            fencing_token,
        )

    def _encode(self, attempt: str, fencing_token: int) -> bytes:
        return json.dumps(
            {
                "holder": self._membership.name,
                "attempt": attempt,
                "fencing": fencing_token,
            }
        ).encode()

    async def _write_holder(self, lease: str, attempt: str) -> bool:
        try:
            await self._keyvalue.put(
                self._holder_key,
                self._encode(attempt, 0),
                0,
                self._make_deadline(),
                lease,
            )
        except exceptions.VersionConflict:
            return False
        except exceptions.OutcomeUnknown:
            # The attempt ID in the value shows whether the write succeeded.
            entry = await self._keyvalue.get(
                self._holder_key, self._make_deadline()
            )
            return entry is not None and _get_attempt(entry) == attempt
        return True

    async def _increment_fencing_token(self, attempt: str) -> int:
        """Store a higher fencing token and return it."""
        while True:
            entry = await self._keyvalue.get(
                self._fencing_key, self._make_deadline()
            )
            version, fencing_token = 0, 0
            if entry is not None:
                version = entry.version
                fencing_token = json.loads(entry.value)["fencing"]
                if _get_attempt(entry) == attempt:
                    # The write below succeeded, but its reply was lost.
                    return fencing_token
            fencing_token = max(fencing_token, self._highest_fencing_token) + 1
            try:
                await self._keyvalue.put(
                    self._fencing_key,
                    self._encode(attempt, fencing_token),
                    version,
                    self._make_deadline(),
                )
            except (exceptions.VersionConflict, exceptions.OutcomeUnknown):
                await self.sleep(self._random.uniform(0.01, 0.05))
                if self.should_stop:
                    raise
            else:
                return fencing_token

    async def _revoke_lease(self, lease: str) -> None:
        with contextlib.suppress(exceptions.PlatformError):
            await self._keyvalue.revoke_lease(lease, self._make_deadline())

    async def _release_lease(self, reason: str) -> None:
        held_lease, self.held_lease = self.held_lease, None
        self._targets = {}
        _is_orderer.set(0)
        _engines_loading.set(0)
        if held_lease is not None:
            _log.info(
                "released the orderer lease with fencing token {}: {}",
                held_lease.fencing_token,
                reason,
            )
            await self._revoke_lease(held_lease.lease_id)

    @mode.Service.task
    async def _maintain_lease(self) -> None:
        backoff = defaults.PLATFORM_BACKOFF
        while not self.should_stop:
            try:
                await self._update_lease()
            except exceptions.PlatformError as error:
                _log.warning(
                    "cannot acquire or renew the orderer lease: {}", error
                )
                pause = backoff * self._random.uniform(0.5, 1.0)
                backoff = min(2 * backoff, defaults.PLATFORM_BACKOFF_LIMIT)
            else:
                is_held = self.held_lease is not None
                pause = defaults.ORDERER_LEASE_SECONDS / 4 if is_held else 1.0
                backoff = defaults.PLATFORM_BACKOFF
            await self.sleep(pause)
        await self._release_lease("the control daemon is stopping")

    async def _update_lease(self) -> None:
        """Acquire, renew or release the lease, whichever applies."""
        is_owner = self._membership.is_owner("configuration")
        if self.held_lease is None:
            if is_owner and self._is_platform_up() and self._has_engines():
                self.held_lease = await self.acquire_lease()
            if self.held_lease is not None:
                _is_orderer.set(1)
                _log.info(
                    "acquired the orderer lease with fencing token {}",
                    self.held_lease.fencing_token,
                )
        elif not is_owner:
            await self._release_lease(
                "another member owns the configuration watch"
            )
        elif not self.may_send_orders():
            await self._release_lease("the lease ran out by the local clock")
        else:
            requested_at = self._clock()
            try:
                lease = await self._keyvalue.renew_lease(
                    self.held_lease.lease_id, self._make_deadline()
                )
            except exceptions.LeaseExpired:
                await self._release_lease(
                    "the key-value service reports the lease as expired"
                )
            else:
                if self.held_lease is not None:
                    self.held_lease.deadline = self._compute_lease_end(
                        requested_at, lease
                    )

    def _has_engines(self) -> bool:
        groups = self._get_configuration().groups
        return any(
            host.group in groups and groups[host.group].kind == "engine"
            for host in self._membership.list_backends()
        )

    # Orders.

    @mode.Service.task
    async def _reconcile_periodically(self) -> None:
        while not self.should_stop:
            if self.may_send_orders():
                await self.reconcile()
            await self.sleep(_RECONCILE_INTERVAL_SECONDS)

    async def reconcile(self) -> None:
        """Compare desired and actual state once, and send missing orders."""
        held_lease = self.held_lease
        if held_lease is None:
            return
        settings = self._get_configuration()
        self._update_targets(settings)
        targets = list(self._targets.values())
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)

        async def read(target: EngineTarget) -> None:
            async with semaphore:
                await self._read_back(target)

        await asyncio.gather(
            *(
                read(target)
                for target in targets
                if self._is_read_back_due(target)
            )
        )
        if self.held_lease is None:
            return
        newest_token = max(
            (
                target.current_order.fencing
                for target in targets
                if target.current_order
            ),
            default=0,
        )
        self._highest_fencing_token = max(
            self._highest_fencing_token, newest_token
        )
        if newest_token > held_lease.fencing_token:
            await self._release_lease(
                f"an engine follows the newer fencing token {newest_token}"
            )
            return
        loading = sum(self._is_loading(target) for target in targets)
        for target in targets:
            if self._has_desired_order(target) or not self._accepts_orders(
                target
            ):
                continue
            current_order = target.current_order
            if (
                current_order is None
                or current_order.revision > settings.revision
            ):
                # The order is not known yet, or this host does not have the
                # configuration revision that the order is based on.
                continue
            starts_load = not self._is_loading(
                target
            ) and not self._has_loaded(target, target.versions)
            if starts_load and loading >= target.group.concurrent_loads:
                continue
            if await self._send_order(target, settings.revision):
                loading += starts_load
            if self.held_lease is None:
                return
        _engines_loading.set(loading)

    def _update_targets(self, settings: configuration.Configuration) -> None:
        targets = {}
        for host in self._membership.list_backends():
            group = settings.groups.get(host.group)
            if group is None or group.kind != "engine":
                continue
            model = settings.models.get(group.model)
            if model is None:
                continue
            versions = (model.version_name,)
            target = self._targets.get(host.name)
            if target is None or target.host.address != host.address:
                target = EngineTarget(host, group, versions)
            target.host, target.group, target.versions = host, group, versions
            targets[host.name] = target
        self._targets = targets

    def _get_state(self, target: EngineTarget) -> control_pb2.BackendState:
        state = self._backends.get_state(target.host.name)
        return state or control_pb2.BackendState(state=backend_states.UNKNOWN)

    def _accepts_orders(self, target: EngineTarget) -> bool:
        return self._get_state(target).state not in (
            backend_states.DOWN,
            backend_states.LEAVING,
        )

    def _has_loaded(
        self, target: EngineTarget, versions: t.Iterable[str]
    ) -> bool:
        return set(versions) <= {*self._get_state(target).versions}

    def _is_loading(self, target: EngineTarget) -> bool:
        """Return whether an engine is still loading its current order.

        This is derived from the order and the load reports of the engine, so
        that a new orderer also counts loads that an earlier one started.
        """
        if target.current_order is None:
            return False
        if self._get_state(target).state == backend_states.DOWN:
            # It crashed; when it answers again, its order is read back.
            return False
        if self._has_loaded(target, target.current_order.versions):
            return False
        return self._clock() - target.ordered_at < _LOAD_TIMEOUT_SECONDS

    def _has_desired_order(self, target: EngineTarget) -> bool:
        current_order = target.current_order
        return (
            current_order is not None
            and current_order.versions == target.versions
            and current_order.role == "serve"
        )

    def _is_read_back_due(self, target: EngineTarget) -> bool:
        """Return whether the order of an engine should be read back now."""
        if not self._accepts_orders(target):
            return False
        seconds = self._clock() - target.read_back_at
        if not self._has_desired_order(target) or not self._has_loaded(
            target, target.versions
        ):
            return seconds >= _MISMATCH_READ_BACK_INTERVAL_SECONDS
        if target.group.checks_fencing:
            return seconds >= _READ_BACK_INTERVAL_SECONDS
        return seconds >= _UNFENCED_READ_BACK_INTERVAL_SECONDS

    async def _read_back(self, target: EngineTarget) -> None:
        target.read_back_at = self._clock()
        engine = self._open_engine(target.host.address)
        try:
            current_order = await engine.fetch_order(
                deadlines.Deadline.after(_CALL_TIMEOUT_SECONDS)
            )
        except exceptions.SesamefoldError as error:
            _log.warning(
                "cannot read back the order of {}: {}", target.host.name, error
            )
            return
        if target.current_order != current_order:
            # The order is new to this orderer. Its load has begun by now, so
            # the load timeout runs from now at the latest.
            target.ordered_at = self._clock()
        target.current_order = current_order

    async def _send_order(self, target: EngineTarget, revision: int) -> bool:
        """Send the desired order; return whether it may have arrived.

        It is False when the lease has run out or the engine refused the
        fencing token, and True also when the call failed in another way.
        """
        engine = self._open_engine(target.host.address)
        # The process may have been paused since the last check, so the lease
        # is checked again directly before the call.
        held_lease = self.held_lease
        if held_lease is None or not self.may_send_orders():
            _orders_sent.labels("lapsed").inc()
            return False
        order = engines.Order(
            revision, held_lease.fencing_token, target.versions
        )
        deadline = min(
            deadlines.Deadline(held_lease.deadline),
            deadlines.Deadline(self._clock() + _CALL_TIMEOUT_SECONDS),
        )
        try:
            await engine.send_order(order, deadline)
        except exceptions.FencingRefused:
            _orders_sent.labels("refused").inc()
            await self._release_lease("an engine refused the fencing token")
            return False
        except exceptions.SesamefoldError as error:
            # The order may have arrived. It is read back before the next
            # order is sent, and counts as a load in progress until then.
            _orders_sent.labels("failed").inc()
            _log.warning("order to {} failed: {}", target.host.name, error)
            target.current_order = order
            target.ordered_at = self._clock()
            target.read_back_at = 0.0
            return True
        _orders_sent.labels("answered").inc()
        _log.info(
            "ordered {} to load {}",
            target.host.name,
            ", ".join(target.versions),
        )
        target.current_order = order
        target.ordered_at = self._clock()
        return True


def _get_attempt(entry: keyvalues.Entry) -> str:
    return json.loads(entry.value)["attempt"]
