"""Election of the entry host that sends weight orders, by a lease."""

import asyncio
import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import positions
from sesamefold.entry import store
from sesamefold import exceptions

KEY_PREFIX = f"{store.HOSTS_PREFIX}orders/"
HOLDER_KEY = f"{KEY_PREFIX}holder"
# Name of the last lease holder. This record outlives the lease, so that a host
# knows whether another host may have sent orders just before.
LAST_HOLDER_KEY = f"{KEY_PREFIX}last-holder"
# Duration of the lease.
LEASE_SECONDS = 1.6
# Interval between renewals. Each is sent whether the previous one was answered
# or not, so that a holder keeps the lease while answers are lost.
RENEWAL_INTERVAL_SECONDS = 0.25
# Share of the lease duration during which its holder sends orders, so that an
# order in flight arrives before the lease ends.
SAFE_LEASE_SHARE = 0.75
# Margin added to the pause between the orders of two holders. A holder stops
# 0.4 s before its lease ends, and its last order may be in flight that long.
HANDOVER_MARGIN_SECONDS = 0.1


@attrs.define
class Election:
    """This host's part in the election of the lease holder.

    The holder sends orders only while its own clock shows that the lease is
    valid. A new holder first waits until the orders of the previous one are
    `handover_pause_seconds` old, also if it loses the lease meanwhile and
    acquires it again, or if its process is started again. A store that has
    returned from a copy may not know the previous holder. The hosts elect a
    holder even while there is nothing to order, so that this wait is over when
    new target weights are set; `vacant` says that no host holds the lease.
    """

    host: str
    records: store.HostRecordStore
    handover_pause_seconds: float
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    vacant: bool = False
    _lease: t.Optional[int] = None
    _fencing_token: t.Optional[int] = None
    _active_from: float = float("inf")
    _active_until: float = float("-inf")
    _handover_until: float = float("-inf")
    # Era of the store in which this process was elected last, None if it may
    # have been without knowing.
    _elected_era: t.Optional[int] = None
    _stopping: bool = False
    _renewals: t.Set["asyncio.Task[None]"] = attrs.field(factory=set)

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Update `vacant` from a complete read of the hosts' records."""
        self.vacant = True
        self.apply_changes(records)

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Update `vacant` from changes of the hosts' records."""
        for record in records:
            if record.key == HOLDER_KEY:
                self.vacant = record.value is None

    def may_send_orders(self) -> bool:
        """Return whether this host may send orders now."""
        return self._active_from <= self.read_time() < self._active_until

    def get_fencing_token(self) -> t.Optional[int]:
        """Return the fencing token, None if this host may not send orders."""
        return self._fencing_token if self.may_send_orders() else None

    def get_term(self) -> t.Optional[int]:
        """Return the fencing token while this host holds the lease.

        Unlike `get_fencing_token`, it does not wait until the orders of the
        previous holder have arrived: what is decided by it is written under a
        condition and announced with the token.
        """
        return self._fencing_token if self.holds_lease() else None

    def holds_lease(self) -> bool:
        """Return whether this host holds the lease, as far as it knows."""
        return self.read_time() < self._active_until

    async def campaign(self) -> None:
        """Try to acquire the lease, unless this host has it or is stopping."""
        if self._lease is not None or self._stopping:
            return
        try:
            await self._campaign()
        except exceptions.VersionConflict:
            self.log.write("election_lost")
        except exceptions.PlatformError as error:
            self.log.write("election_failed", reason=error.message)

    async def _campaign(self) -> None:
        started = self.read_time()
        previous = await self._read_records()
        name = self.host.encode()
        holder = previous.get(HOLDER_KEY)
        # This host's own record without its lease is that of an earlier
        # process, or of a write that took effect in a later era.
        if holder is not None and holder.value != name:
            return
        last = previous.get(LAST_HOLDER_KEY)
        lease = await self.records.grant_lease(LEASE_SECONDS)
        elected_era, self._elected_era = self._elected_era, None
        fencing_token: t.Optional[int]
        try:
            fencing_token = await self.records.write(
                {
                    HOLDER_KEY: holder.revision if holder else 0,
                    LAST_HOLDER_KEY: last.revision if last else 0,
                },
                [
                    store.Write(HOLDER_KEY, name, lease),
                    store.Write(LAST_HOLDER_KEY, name),
                ],
            )
        except exceptions.OutcomeUnknown:
            started = self.read_time()
            fencing_token = await self._find_fencing_token(lease)
            if fencing_token is None:
                # If the write takes effect later, it must not block others.
                await self.records.revoke_lease(lease)
                self.log.write(
                    "election_lost", reason="the lease record was not written"
                )
                return
        now = self.read_time()
        era = positions.get_era(fencing_token)
        pause = self._compute_pause(last, elected_era, era, now)
        self._elected_era = era
        self._lease, self._fencing_token = lease, fencing_token
        self._active_from = self._handover_until = now + pause
        self._active_until = started + SAFE_LEASE_SHARE * LEASE_SECONDS
        self.log.write("elected", fence=fencing_token, pause=round(pause, 2))

    def _compute_pause(
        self,
        last: t.Optional[store.HostRecord],
        elected_era: t.Optional[int],
        era: int,
        now: float,
    ) -> float:
        """Return how long this host waits before its first order.

        `last` is the record of the last holder, which there is none of before
        the first holder and after a return of the store from an earlier copy.
        This process was elected before in `elected_era`, and now in `era`.
        """
        if last is None and not era:
            return 0.0
        if (
            last is not None
            and last.value == self.host.encode()
            and era == elected_era
        ):
            return max(0.0, self._handover_until - now)
        return self.handover_pause_seconds + HANDOVER_MARGIN_SECONDS

    async def _read_records(self) -> t.Dict[str, store.HostRecord]:
        records = await self.records.list_records(KEY_PREFIX)
        return {record.key: record for record in records}

    async def _find_fencing_token(self, lease: int) -> t.Optional[int]:
        """Return the fencing token of a write whose answer was lost.

        Returns None if the write had no effect. The lease is renewed first,
        because most of it passed while waiting for the answer.
        """
        await self.records.renew_lease(lease)
        holder = (await self._read_records()).get(HOLDER_KEY)
        if holder is None or holder.lease != lease:
            return None
        return holder.revision

    async def stop(self) -> None:
        """End the lease, and never acquire one again."""
        self._stopping = True
        lease = self._lease
        if lease is None:
            return
        self._resign("the entry host is stopping")
        try:
            await self.records.revoke_lease(lease)
        except exceptions.PlatformError as error:
            self.log.write("lease_not_ended", reason=error.message)

    async def run(self) -> None:
        """Renew the lease while this host holds it, until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS)
            if self._lease is None:
                continue
            if self.read_time() >= self._active_until:
                self._resign("the lease may have ended")
                continue
            renewal = asyncio.create_task(self._renew(self._lease))
            self._renewals.add(renewal)
            renewal.add_done_callback(self._renewals.discard)

    async def _renew(self, lease: int) -> None:
        started = self.read_time()
        try:
            await self.records.renew_lease(lease)
        except exceptions.LeaseExpired:
            if lease == self._lease:
                self._resign("the lease has ended")
        except exceptions.PlatformError as error:
            self.log.write("lease_not_renewed", reason=error.message)
        else:
            if lease == self._lease:
                safe_until = started + SAFE_LEASE_SHARE * LEASE_SECONDS
                self._active_until = max(self._active_until, safe_until)

    def _resign(self, reason: str) -> None:
        self._lease = self._fencing_token = None
        self._active_from, self._active_until = float("inf"), float("-inf")
        self.log.write("resigned", reason=reason)
