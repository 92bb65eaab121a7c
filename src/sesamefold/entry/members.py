"""Entry hosts that are alive, by leases in the platform's store."""

import asyncio
import json
import random
import typing as t

import attrs

from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import store
from sesamefold import exceptions

PREFIX = "sesamefold/members/"
# Lease of an entry host's record, seconds. Long enough that a paused host or
# a short outage of the store does not change the shares of the others.
LEASE_SECONDS = 8.0
# Time between two renewals, seconds; two may fail.
RENEWAL_INTERVAL = 2.5
# Time between two reads of the members, seconds.
READ_INTERVAL = 4.0
# The same while this host is young, and how long it is, seconds. Hosts start
# together, and each finds only those that started before it.
START_INTERVAL = 0.4
START_SECONDS = 3.0
# Age of this host from which it has a share of a limit of the fleet, seconds.
SETTLED_SECONDS = 1.2
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
class Members:
    """Keeps this host's record and the names of the others.

    A host that has just started does not know the others that start with it.
    It has no share of a fleet-wide limit then: `names` is empty.
    """

    own: Member
    records: store.Records
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _seen: t.Dict[str, float] = attrs.field(factory=dict)
    _members: t.Dict[str, Member] = attrs.field(factory=dict)
    _lease: t.Optional[int] = None
    _started_at: float = float("inf")

    def names(self) -> t.Collection[str]:
        """Return the entry hosts that may be serving, none at the start."""
        if self.read_time() < self._started_at + SETTLED_SECONDS:
            return ()
        return self._seen.keys()

    def names_in(self, region: t.Optional[str]) -> t.Collection[str]:
        """Return the hosts of one region that may be serving."""
        return [
            name
            for name in self.names()
            if name in self._members and self._members[name].region == region
        ]

    def list_peers(self, neighbours: bool) -> t.Dict[str, datagrams.Address]:
        """Return the addresses of the other entry hosts, by their names.

        These are the hosts of this region, the `neighbours`, or those of all
        others.
        """
        return {
            name: member.address
            for name, member in self._members.items()
            if name in self._seen
            and name != self.own.host
            and (member.region == self.own.region) == neighbours
        }

    def get_link_mbps(self, host: str) -> float:
        """Return the link of a host, 0.0 if it is not known."""
        member = self._members.get(host)
        return member.link_mbps if member else 0.0

    async def run(self) -> None:
        """Renew the record and read the others until cancelled."""
        self._started_at = self.read_time()
        next_read = 0.0
        while True:
            try:
                await self._renew()
                if self.read_time() >= next_read:
                    await self._read()
                    next_read = self.read_time() + READ_INTERVAL
            except exceptions.PlatformError as error:
                self.log.write("members_stale", reason=error.message)
                self._lease = None
            wait = RENEWAL_INTERVAL * random.uniform(0.8, 1.0)
            if self.read_time() < self._started_at + START_SECONDS:
                next_read, wait = 0.0, START_INTERVAL
            await asyncio.sleep(wait)

    async def _renew(self) -> None:
        if self._lease is not None:
            await self.records.renew_lease(self._lease)
            return
        lease = await self.records.grant_lease(LEASE_SECONDS)
        key = f"{PREFIX}{self.own.host}"
        try:
            await self.records.write(
                {key: 0}, [store.Write(key, _encode(self.own), lease)]
            )
        except exceptions.VersionConflict:
            # The record of an earlier life, or of a lost answer; it ends with
            # its lease, and until then it serves as well.
            await self.records.end_lease(lease)
            return
        self._lease = lease

    async def _read(self) -> None:
        now = self.read_time()
        records = await self.records.list_records(PREFIX)
        listed = {
            member.host: member
            for member in map(_decode, records)
            if member is not None
        }
        self._members.update(listed)
        before = set(self._seen)
        self._seen.update((name, now) for name in {*listed, self.own.host})
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


def _encode(member: Member) -> bytes:
    fields = [member.region, *member.address, member.link_mbps]
    return json.dumps(fields).encode()


def _decode(record: store.Record) -> t.Optional[Member]:
    """Return a member, None for a record of another form."""
    try:
        region, address, port, link_mbps = json.loads(record.value)
        name = record.key.removeprefix(PREFIX)
        return Member(
            name, region, (str(address), int(port)), float(link_mbps)
        )
    except (ValueError, TypeError):
        return None
