"""Membership of the entry hosts, by leases in the platform store."""

import asyncio
import json
import math
import random
import re
import typing as t

import attrs

from sesamefold import addresses
from sesamefold.entry import changes
from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import decisions
from sesamefold.entry import store
from sesamefold import exceptions

# Lease duration of a membership record. It outlasts a paused host and a short
# outage of the store, so that these do not change the shares of other hosts.
LEASE_SECONDS = 8.0
# Longest interval between renewals; two in a row may fail.
RENEWAL_INTERVAL_SECONDS = 2.5
# Time after the start from which this host lists the others.
SETTLING_SECONDS = 1.2
# Time after a registration within which the other hosts have read it. The
# interval of their watches is up to 1.3 s.
PROPAGATION_SECONDS = 1.4
# Time after the end of a store outage within which all hosts that reach the
# store have registered again and have been read: the timeout of a watch that
# is not answered, the wait for the next call, and a watch of this host.
RETURN_SECONDS = 4.5
# Longest random delay of a registration that many hosts repeat together.
REGISTRATION_JITTER_SECONDS = 0.3
# Interval between attempts to write the record during startup.
START_RETRY_INTERVAL_SECONDS = 0.4
# Duration of the startup phase.
STARTUP_SECONDS = 3.0
# Time in contact with the store for which a host whose record is gone still
# counts as a member. It may be cut off from the store and still serve, and its
# lease may have ended in an outage.
DEPARTURE_GRACE_SECONDS = 6.0


@attrs.frozen
class Member:
    """An entry host, with its peer address and its link's bandwidth."""

    host: str
    region: str
    address: datagrams.Address
    link_mbps: float = 0.0


@attrs.define
class Membership:
    """Keeps this host's membership record and the list of live hosts.

    The records of the other hosts come from the store follower. A record that
    is missing shows that its host has left only while the store was in contact
    for long enough for the host to register again. `find_contact_start`
    returns since when the store has answered, in seconds of `clock.read_time`.

    A host that has just started does not know those that start at the same
    time: `list_hosts` returns none until it has settled. If the store was out
    of contact at the start, the others register only after its return.

    A fleet-wide limit is divided among the hosts of `list_sharing_hosts`. It
    returns none while the other hosts may not count this one: until they have
    read its record, and from the time at which they may have dropped it.
    """

    own_member: Member
    records: store.HostRecordStore
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    find_contact_start: t.Callable[[], float] = lambda: float("-inf")
    _missing_since: t.Dict[str, float] = attrs.field(factory=dict)
    _names: t.AbstractSet[str] = frozenset()
    _listed_members: t.Dict[str, Member] = attrs.field(factory=dict)
    _members: t.Dict[str, Member] = attrs.field(factory=dict)
    _regional_peers: t.Mapping[str, datagrams.Address] = attrs.field(
        factory=dict
    )
    _remote_peers: t.Mapping[str, datagrams.Address] = attrs.field(
        factory=dict
    )
    _lease: t.Optional[int] = None
    _record_removed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _started_at: float = float("inf")
    _settled_at: float = float("inf")
    _counted_from: float = float("inf")
    _counted_until: float = float("-inf")

    def list_hosts(self) -> t.AbstractSet[str]:
        """Return the entry hosts that may be serving, none while settling."""
        if self.read_time() < self._settled_at:
            return frozenset()
        return self._names

    def list_sharing_hosts(self) -> t.AbstractSet[str]:
        """Return the hosts that divide a limit, none without a share."""
        if self._counted_from <= self.read_time() < self._counted_until:
            return self.list_hosts()
        return frozenset()

    def list_hosts_in(self, region: t.Optional[str]) -> t.Collection[str]:
        """Return the entry hosts of a region that may be serving."""
        return [
            name
            for name in self.list_hosts()
            if name in self._members and self._members[name].region == region
        ]

    def list_peers(
        self, same_region: bool
    ) -> t.Mapping[str, datagrams.Address]:
        """Return the addresses of other entry hosts, by host name.

        With `same_region` these are the hosts of this host's region, without
        it those of all other regions.
        """
        return self._regional_peers if same_region else self._remote_peers

    def get_link_mbps(self, host: str) -> float:
        """Return the link bandwidth of a host in Mbit/s, 0.0 if unknown."""
        member = self._members.get(host)
        return member.link_mbps if member else 0.0

    async def run(self) -> None:
        """Write and renew this host's record until cancelled."""
        self._started_at = self.read_time()
        while True:
            self._record_removed.clear()
            wait = RENEWAL_INTERVAL_SECONDS * random.uniform(0.8, 1.0)
            try:
                await self._register_or_renew()
            except exceptions.PlatformError as error:
                self.log.write("membership_stale", reason=error.message)
            starting = self.read_time() < self._started_at + STARTUP_SECONDS
            if self._lease is None and starting:
                wait = START_RETRY_INTERVAL_SECONDS
            try:
                async with asyncio.timeout(wait):
                    await self._record_removed.wait()
                await asyncio.sleep(
                    random.uniform(0.0, REGISTRATION_JITTER_SECONDS)
                )
            except TimeoutError:
                # The regular renewal is due.
                continue

    async def _register_or_renew(self) -> None:
        if self._lease is not None:
            started = self.read_time()
            try:
                await self.records.renew_lease(self._lease)
            except exceptions.LeaseExpired:
                self._lease = None
            else:
                self._record_lease(started + LEASE_SECONDS)
                return
        await self._register()

    async def _register(self) -> None:
        started = self.read_time()
        lease = await self.records.grant_lease(LEASE_SECONDS)
        key = f"{store.MEMBERS_PREFIX}{self.own_member.host}"
        try:
            await self.records.write(
                {key: 0},
                [store.Write(key, _encode_member(self.own_member), lease)],
            )
        except exceptions.VersionConflict:
            # The record of a previous incarnation, or of a write whose answer
            # was lost. It is valid until its lease ends.
            self._record_lease(started)
            await self.records.revoke_lease(lease)
            return
        self._lease = lease
        self._record_lease(started + LEASE_SECONDS)

    def _record_lease(self, ends_at: float) -> None:
        """Record that this host's record exists until `ends_at` at least.

        The other hosts count this one for some time longer, and those that
        had dropped it need some time to read the record.
        """
        now = self.read_time()
        if now >= self._counted_until:
            self._counted_from = now + PROPAGATION_SECONDS
        self._counted_until = max(
            self._counted_until, ends_at + DEPARTURE_GRACE_SECONDS
        )

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Replace the membership records by those of a complete read."""
        self._listed_members.clear()
        self._apply_records(records)
        if self.own_member.host not in self._listed_members:
            self._record_removed.set()
        self._update_members()

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Apply changes of records; all other records remain."""
        was_listed = self.own_member.host in self._listed_members
        self._apply_records(records)
        if was_listed and self.own_member.host not in self._listed_members:
            self._record_removed.set()
        self._update_members()

    def _apply_records(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        for record in records:
            if not record.key.startswith(store.MEMBERS_PREFIX):
                continue
            name = record.key.removeprefix(store.MEMBERS_PREFIX)
            member = _decode_member(name, record.value)
            if member is None:
                self._listed_members.pop(name, None)
                if record.value is not None:
                    self.log.write(
                        "record_rejected",
                        key=record.key,
                        reason="it describes no entry host",
                    )
            else:
                self._listed_members[name] = member

    def _update_members(self) -> None:
        """Update the members after an answer of the store."""
        now = self.read_time()
        self._settle(now)
        self._members.update(self._listed_members)
        listed = {*self._listed_members, self.own_member.host}
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in self._names - listed
        }
        contact_start = self.find_contact_start()
        departed = {
            name
            for name, since in self._missing_since.items()
            if now - max(since, contact_start) > DEPARTURE_GRACE_SECONDS
        }
        names = (self._names | listed) - departed
        self._members = {
            name: member
            for name, member in self._members.items()
            if name in names
        }
        if names != self._names:
            self._names = frozenset(names)
            self.log.write("members", names=sorted(names))
        self._group_peers()

    def _settle(self, now: float) -> None:
        """Set from when the list of hosts is complete after the start."""
        if self._settled_at < float("inf"):
            return
        self._settled_at = self._started_at + SETTLING_SECONDS
        if now > self._settled_at:
            self._settled_at = now + RETURN_SECONDS

    def _group_peers(self) -> None:
        """Cache the peers' addresses, which each message needs."""
        regional, remote = (
            {
                name: member.address
                for name, member in self._members.items()
                if name != self.own_member.host
                and (member.region == self.own_member.region) == same_region
            }
            for same_region in (True, False)
        )
        if regional != self._regional_peers:
            self._regional_peers = regional
        if remote != self._remote_peers:
            self._remote_peers = remote


def _encode_member(member: Member) -> bytes:
    fields = [member.region, *member.address, member.link_mbps]
    return json.dumps(fields).encode()


def _decode_member(name: str, value: t.Optional[bytes]) -> t.Optional[Member]:
    """Return a member, None for a removed or malformed record."""
    if value is None:
        return None
    try:
        region, address, port, link_mbps = json.loads(value)
        member = Member(name, region, (address, port), float(link_mbps))
    except (ValueError, TypeError, OverflowError, RecursionError):
        return None
    sound = (
        re.fullmatch(r"[!-~]+", name)
        and isinstance(region, str)
        and isinstance(port, int)
        and addresses.is_address(f"{address}:{port}")
        and 0 <= member.link_mbps < math.inf
    )
    return member if sound else None
