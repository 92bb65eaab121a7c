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
# Time after the start from which this host has a share of fleet-wide limits.
SETTLING_SECONDS = 1.2
# Interval between attempts to write the record during startup.
START_RETRY_INTERVAL_SECONDS = 0.4
# Duration of the startup phase.
STARTUP_SECONDS = 3.0
# Time for which a host whose record is gone still counts as a member. It may
# be cut off from the store and still serve.
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

    The records of the other hosts come from the store follower. A host that
    has just started does not know those that start at the same time, so it
    has no share of a fleet-wide limit: `list_hosts` returns none for the first
    `SETTLING_SECONDS`.
    """

    own_member: Member
    records: store.HostRecordStore
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    _last_listed_at: t.Dict[str, float] = attrs.field(factory=dict)
    _listed_members: t.Dict[str, Member] = attrs.field(factory=dict)
    _members: t.Dict[str, Member] = attrs.field(factory=dict)
    _regional_peers: t.Mapping[str, datagrams.Address] = attrs.field(
        factory=dict
    )
    _remote_peers: t.Mapping[str, datagrams.Address] = attrs.field(
        factory=dict
    )
    _lease: t.Optional[int] = None
    _started_at: float = float("inf")

    def list_hosts(self) -> t.AbstractSet[str]:
        """Return the entry hosts that may be serving, none while settling."""
        if self.read_time() < self._started_at + SETTLING_SECONDS:
            return frozenset()
        return self._last_listed_at.keys()

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
            wait = RENEWAL_INTERVAL_SECONDS * random.uniform(0.8, 1.0)
            try:
                await self._register_or_renew()
            except exceptions.PlatformError as error:
                self.log.write("membership_stale", reason=error.message)
                self._lease = None
            starting = self.read_time() < self._started_at + STARTUP_SECONDS
            if self._lease is None and starting:
                wait = START_RETRY_INTERVAL_SECONDS
            await asyncio.sleep(wait)

    async def _register_or_renew(self) -> None:
        if self._lease is not None:
            await self.records.renew_lease(self._lease)
            return
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
            await self.records.revoke_lease(lease)
            return
        self._lease = lease

    def apply_snapshot(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Replace the membership records by those of a complete read."""
        self._listed_members.clear()
        self.apply_changes(records)

    def apply_changes(
        self, records: t.Iterable[changes.HostRecordChanged]
    ) -> None:
        """Apply changes of records; all other records remain."""
        now = self.read_time()
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
        self._members.update(self._listed_members)
        before = set(self._last_listed_at)
        names = {*self._listed_members, self.own_member.host}
        self._last_listed_at.update((name, now) for name in names)
        self._last_listed_at = {
            name: at
            for name, at in self._last_listed_at.items()
            if now - at <= DEPARTURE_GRACE_SECONDS
        }
        self._members = {
            name: member
            for name, member in self._members.items()
            if name in self._last_listed_at
        }
        if before != set(self._last_listed_at):
            self.log.write("members", names=sorted(self._last_listed_at))
        self._group_peers()

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
