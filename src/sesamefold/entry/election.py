"""Choice of the entry host that orders, by a lease."""

import asyncio
import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import store
from sesamefold import exceptions

PREFIX = f"{store.HOSTS_PREFIX}orders/"
HOLDER_KEY = f"{PREFIX}holder"
# Who held the lease last. It outlives the lease, so that a host knows
# whether another one may have sent orders just before.
LAST_HOLDER_KEY = f"{PREFIX}last-holder"
# Lease of the host that orders, seconds.
LEASE_SECONDS = 1.6
# Time between two renewals, seconds; each is sent whether the one before was
# answered or not, so that a holder stays one while answers are lost.
RENEWAL_INTERVAL = 0.25
# Part of the lease after which its holder no longer acts, so that an order
# in flight arrives before the lease ends.
SAFE_SHARE = 0.75
# What is added to the pause between two holders' orders, seconds. A holder
# stops 0.4 s before its lease ends, and its last order may travel that long.
PAUSE_MARGIN = 0.1


@attrs.define
class Election:
    """The lease of the host that orders.

    A holder acts only while its lease is certain by its own clock, and a new
    holder first waits until the orders of the one before are `pause_seconds`
    old. So that this time has passed when weights are named, there is always
    a holder: `vacant` tells that the last one is gone.
    """

    host: str
    records: store.HostRecordStore
    handover_pause_seconds: float
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    vacant: bool = False
    _lease: t.Optional[int] = None
    _fence: t.Optional[int] = None
    _act_from: float = float("inf")
    _act_until: float = float("-inf")
    _stopping: bool = False
    _renewals: t.Set["asyncio.Task[None]"] = attrs.field(factory=set)

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Take the complete set of the entry hosts' records."""
        self.vacant = True
        self.apply_changes(records)

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Take changes of the entry hosts' records."""
        for record in records:
            if record.key == HOLDER_KEY:
                self.vacant = record.value is None

    def may_send_orders(self) -> bool:
        """Tell whether this host may order now."""
        return self._act_from <= self.read_time() < self._act_until

    def get_fencing_token(self) -> t.Optional[int]:
        """Return the fencing number, None when this host may not order."""
        return self._fence if self.may_send_orders() else None

    def holds_lease(self) -> bool:
        """Tell whether this host has the lease, as far as it knows."""
        return self.read_time() < self._act_until

    async def campaign(self) -> None:
        """Try to become the holder."""
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
        if HOLDER_KEY in previous:
            return
        last = previous.get(LAST_HOLDER_KEY)
        lease = await self.records.grant_lease(LEASE_SECONDS)
        name = self.host.encode()
        fence: t.Optional[int]
        try:
            fence = await self.records.write(
                {HOLDER_KEY: 0, LAST_HOLDER_KEY: last.revision if last else 0},
                [
                    store.Write(HOLDER_KEY, name, lease),
                    store.Write(LAST_HOLDER_KEY, name),
                ],
            )
        except exceptions.OutcomeUnknown:
            started = self.read_time()
            fence = await self._find_fence(lease)
            if fence is None:
                # A write that is done later must not keep others waiting.
                await self.records.revoke_lease(lease)
                self.log.write("election_lost", reason="the write is missing")
                return
        now = self.read_time()
        pause = self.handover_pause_seconds + PAUSE_MARGIN
        if last is None or last.value == name:
            pause = 0.0
        self._lease, self._fence = lease, fence
        self._act_from = now + pause
        self._act_until = started + SAFE_SHARE * LEASE_SECONDS
        self.log.write("elected", fence=fence, pause=round(pause, 2))

    async def _read_records(self) -> t.Dict[str, store.HostRecord]:
        records = await self.records.list_records(PREFIX)
        return {record.key: record for record in records}

    async def _find_fence(self, lease: int) -> t.Optional[int]:
        """Return the fencing number of a write that was not answered.

        None when it was not done. The lease is renewed first, as most of its
        time has passed with the wait for the answer.
        """
        await self.records.renew_lease(lease)
        holder = (await self._read_records()).get(HOLDER_KEY)
        if holder is None or holder.lease != lease:
            return None
        return holder.revision

    async def stop(self) -> None:
        """Give the lease back and campaign no more."""
        self._stopping = True
        lease = self._lease
        if lease is None:
            return
        self._resign("the entry host stops")
        try:
            await self.records.revoke_lease(lease)
        except exceptions.PlatformError as error:
            self.log.write("lease_not_ended", reason=error.message)

    async def run(self) -> None:
        """Renew the lease while this host has it, until cancelled."""
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL)
            if self._lease is None:
                continue
            if self.read_time() >= self._act_until:
                self._resign("the lease is not certain")
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
                safe_until = started + SAFE_SHARE * LEASE_SECONDS
                self._act_until = max(self._act_until, safe_until)

    def _resign(self, reason: str) -> None:
        self._lease = self._fence = None
        self._act_from, self._act_until = float("inf"), float("-inf")
        self.log.write("resigned", reason=reason)
