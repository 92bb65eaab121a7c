"""Entry hosts that are alive, by leases in the platform's store."""

import asyncio
import json
import random
import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import store
from sesamefold import exceptions

# Lease of an entry host's record, seconds. Long enough that a paused host or
# a short outage of the store does not change the shares of the others.
LEASE_SECONDS = 8.0
# Time between two renewals, seconds; two may fail.
RENEWAL_INTERVAL = 2.5
# Age of this host from which it has a share of a limit of the fleet, seconds.
SETTLED_SECONDS = 1.2
# Time between two tries to write the record while this host is young, and how
# long it is, seconds.
START_INTERVAL = 0.4
START_SECONDS = 3.0
# Time for which a member that is no longer listed still counts, seconds. It
# may be cut off from the store and still serve.
DEPARTURE_SECONDS = 6.0


@attrs.frozen
class Member:
    """An entry host, its region, the address for its peers and its link."""

    host: str
    region: str
    address: datagrams.Address
    link_mbps: float = 0.0


@attrs.define
class Membership:
    """Keeps this host's record and the names of the others.

    The records come with those that the follower of the store reads. A host
    that has just started does not know the others that start with it. It has
    no share of a fleet-wide limit then: `names` is empty.
    """

    own: Member
    records: store.HostRecordStore
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _seen: t.Dict[str, float] = attrs.field(factory=dict)
    _listed: t.Dict[str, Member] = attrs.field(factory=dict)
    _members: t.Dict[str, Member] = attrs.field(factory=dict)
    _neighbours: t.Mapping[str, datagrams.Address] = attrs.field(factory=dict)
    _remote: t.Mapping[str, datagrams.Address] = attrs.field(factory=dict)
    _lease: t.Optional[int] = None
    _started_at: float = float("inf")

    def list_hosts(self) -> t.AbstractSet[str]:
        """Return the entry hosts that may be serving, none at the start."""
        if self.read_time() < self._started_at + SETTLED_SECONDS:
            return frozenset()
        return self._seen.keys()

    def list_hosts_in(self, region: t.Optional[str]) -> t.Collection[str]:
        """Return the hosts of one region that may be serving."""
        return [
            name
            for name in self.list_hosts()
            if name in self._members and self._members[name].region == region
        ]

    def list_peers(
        self, same_region: bool
    ) -> t.Mapping[str, datagrams.Address]:
        """Return the addresses of the other entry hosts, by their names.

        These are the hosts of this region, the `neighbours`, or those of all
        others.
        """
        return self._neighbours if same_region else self._remote

    def get_link_mbps(self, host: str) -> float:
        """Return the link of a host, 0.0 if it is not known."""
        member = self._members.get(host)
        return member.link_mbps if member else 0.0

    async def run(self) -> None:
        """Renew this host's record until cancelled."""
        self._started_at = self.read_time()
        while True:
            wait = RENEWAL_INTERVAL * random.uniform(0.8, 1.0)
            try:
                await self._renew()
            except exceptions.PlatformError as error:
                self.log.write("membership_stale", reason=error.message)
                self._lease = None
            young = self.read_time() < self._started_at + START_SECONDS
            if self._lease is None and young:
                wait = START_INTERVAL
            await asyncio.sleep(wait)

    async def _renew(self) -> None:
        if self._lease is not None:
            await self.records.renew_lease(self._lease)
            return
        lease = await self.records.grant_lease(LEASE_SECONDS)
        key = f"{store.MEMBERS_PREFIX}{self.own.host}"
        try:
            await self.records.write(
                {key: 0}, [store.Write(key, _encode(self.own), lease)]
            )
        except exceptions.VersionConflict:
            # The record of an earlier life, or of a lost answer; it ends with
            # its lease, and until then it serves as well.
            await self.records.revoke_lease(lease)
            return
        self._lease = lease

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Take the complete set of records."""
        self._listed.clear()
        self.apply_changes(records)

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Take changes of the records; all others are still there."""
        now = self.read_time()
        for record in records:
            if not record.key.startswith(store.MEMBERS_PREFIX):
                continue
            name = record.key.removeprefix(store.MEMBERS_PREFIX)
            member = _decode(name, record.value)
            if member is None:
                self._listed.pop(name, None)
            else:
                self._listed[name] = member
        self._members.update(self._listed)
        before = set(self._seen)
        names = {*self._listed, self.own.host}
        self._seen.update((name, now) for name in names)
        self._seen = {
            name: at
            for name, at in self._seen.items()
            if now - at <= DEPARTURE_SECONDS
        }
        self._members = {
            name: member
            for name, member in self._members.items()
            if name in self._seen
        }
        if before != set(self._seen):
            self.log.write("members", names=sorted(self._seen))
        self._group_peers()

    def _group_peers(self) -> None:
        """Keep the addresses of the other hosts; messages need them often."""
        near, far = (
            {
                name: member.address
                for name, member in self._members.items()
                if name != self.own.host
                and (member.region == self.own.region) == same_region
            }
            for same_region in (True, False)
        )
        if near != self._neighbours:
            self._neighbours = near
        if far != self._remote:
            self._remote = far


def _encode(member: Member) -> bytes:
    fields = [member.region, *member.address, member.link_mbps]
    return json.dumps(fields).encode()


def _decode(name: str, value: t.Optional[bytes]) -> t.Optional[Member]:
    """Return a member, None for a record of another form or a removed one."""
    if value is None:
        return None
    try:
        region, address, port, link_mbps = json.loads(value)
        return Member(
            name, region, (str(address), int(port)), float(link_mbps)
        )
    except (ValueError, TypeError):
        return None
