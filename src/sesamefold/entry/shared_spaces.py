"""The space of cached context that the customers share, and since when."""

import hashlib
import json
import typing as t

import attrs

from sesamefold.entry import topology

# Age of the last confirmation of the configuration up to which context of
# other shared spaces is freed. A watch of a small fleet takes at most 1.5 s.
MAX_CONFIRMATION_AGE_SECONDS = 2.5
# Longest time between two confirmations in which no shared space was in force
# for `SETTLING_SECONDS`. Watches of a small fleet are up to 2.3 s apart.
MAX_CONFIRMATION_GAP_SECONDS = 2.5
# Time for which a shared space must be confirmed before context is fetched
# from it. It may have been in force before, and a host that has not read the
# present configuration frees its context for `MAX_CONFIRMATION_AGE_SECONDS`.
# The rest covers late events and the drift of clocks.
SETTLING_SECONDS = MAX_CONFIRMATION_AGE_SECONDS + 0.5
# Begin of the name of a shared space; quoted names do not contain it.
_SHARED_MARK = "*"


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
    hosts read it at different times. Two bounds keep them from freeing context
    that others fetch: it is freed only while the configuration was confirmed
    `MAX_CONFIRMATION_AGE_SECONDS` ago at most, and fetched only once it was
    confirmed for `SETTLING_SECONDS`.

    `since` is the time from which the space is known to be in force without a
    break, in seconds of `clock.read_time` as all times here. Configurations
    between two confirmations may have been missed if they are further apart
    than `MAX_CONFIRMATION_GAP_SECONDS` and the version has changed.
    """

    name: str = ""
    since: float = float("inf")
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
            self.name, self.since = name, now
        self._version = configuration.version
        return changed

    def confirm(self, at: float, now: float) -> None:
        """Record that the configuration was the present one at `at`."""
        if self._version != self._confirmed_version and (
            at - self.confirmed_at > MAX_CONFIRMATION_GAP_SECONDS
        ):
            self.since = now
        self.confirmed_at = max(self.confirmed_at, at)
        self._confirmed_version = self._version

    def get_fetch_start(self) -> float:
        """Return the time from which reads of a store show what it keeps.

        What was read before may be freed meanwhile. It is `inf` until the
        space was confirmed for `SETTLING_SECONDS`.
        """
        settled_at = self.since + SETTLING_SECONDS
        return settled_at if self.confirmed_at >= settled_at else float("inf")

    def get_free_deadline(self) -> float:
        """Return the time until which other shared spaces may be freed."""
        return self.confirmed_at + MAX_CONFIRMATION_AGE_SECONDS
