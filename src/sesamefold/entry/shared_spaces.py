"""The space of cached context that the customers share, and since when."""

import functools
import hashlib
import json
import typing as t

import attrs

from sesamefold.entry import topology

# Age of the last confirmation of the configuration up to which context of
# other shared spaces is freed. Watches are answered within a part of it while
# servers report.
MAX_CONFIRMATION_AGE_SECONDS = 0.5
# Time from the reading of a configuration with another shared space until
# context is fetched from that space. It may have been in force before, and a
# host that has not read the configuration frees its context for
# `MAX_CONFIRMATION_AGE_SECONDS`. The rest covers late events of the stores
# and the drift of clocks.
SETTLING_SECONDS = MAX_CONFIRMATION_AGE_SECONDS + 0.3
# Time between two confirmations in which another space cannot have been in
# force for long enough for a host to free the context of this one, which it
# does after `context_stores.FREE_DELAY_SECONDS` of 14.5 s.
MAX_CONFIRMATION_GAP_SECONDS = 12.0
# Begin of the name of a shared space; quoted names do not contain it.
_SHARED_MARK = "*"


@functools.lru_cache(maxsize=64)
def name_shared_space(isolated_customers: t.FrozenSet[str]) -> str:
    """Return the part of a salt that names what customers share.

    It is no quoted name of a customer.
    """
    if not isolated_customers:
        return ""
    names = json.dumps(sorted(isolated_customers))
    return _SHARED_MARK + hashlib.sha256(names.encode()).hexdigest()[:16]


def is_shared_space(space: str) -> bool:
    """Return whether a part of a salt names what customers share."""
    return space == "" or space.startswith(_SHARED_MARK)


@attrs.define
class SharedSpace:
    """The shared space of the present configuration.

    A configuration may bring a former shared space into force again, and the
    hosts read it at different times. Two rules keep them from freeing context
    that others fetch: it is freed only while the configuration was confirmed
    `MAX_CONFIRMATION_AGE_SECONDS` ago at most, and fetched only from
    `SETTLING_SECONDS` after it came into force.

    `adopted_at` is when this host read of the space, and `unbroken_since` the
    time from which no other space has been in force, both in seconds of
    `clock.read_time` as all times here. A peer or a complete read of the store
    gives only the latest configuration; one before may have had another space.
    """

    name: str = ""
    adopted_at: float = float("inf")
    unbroken_since: float = float("inf")
    confirmed_at: float = float("-inf")
    _version: int = 0
    _confirmed_version: t.Optional[int] = None

    def record_configuration(
        self, configuration: topology.Configuration, now: float
    ) -> bool:
        """Adopt a configuration; return whether the space has changed."""
        name = name_shared_space(configuration.isolated_customers)
        changed = name != self.name
        if changed:
            self.name = name
            self.adopted_at = self.unbroken_since = now
        self._version = configuration.version
        return changed

    def confirm(self, at: float, now: float, complete: bool) -> None:
        """Record that the configuration was the present one at `at`.

        `complete` says whether all configurations since the confirmation
        before were recorded.
        """
        if self._version != self._confirmed_version and not complete:
            self.unbroken_since = now
            if at - self.confirmed_at > MAX_CONFIRMATION_GAP_SECONDS:
                self.adopted_at = now
        self.confirmed_at = max(self.confirmed_at, at)
        self._confirmed_version = self._version

    def get_fetch_start(self) -> float:
        """Return the time from which reads of a store show what it keeps.

        What was read before may be freed meanwhile.
        """
        return self.adopted_at + SETTLING_SECONDS

    def get_free_deadline(self) -> float:
        """Return the time until which other shared spaces may be freed."""
        return self.confirmed_at + MAX_CONFIRMATION_AGE_SECONDS
