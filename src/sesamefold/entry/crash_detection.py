"""Detection of crashes of backend servers, and of what ran there.

A server is emptied by a crash, and its requests lose their connections at the
same moment. A lost connection alone does not show a crash: networks and sound
servers close connections too. So requests that lost theirs are kept until the
server turns out to have ended.
"""

import typing as t

import attrs

from sesamefold import culprits
from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import topology

# Time after a lost connection within which the end of its server counts as
# its cause, seconds. A server that has crashed is off the list after three
# missing reports, one each 1.2 s, and the delay of the watch.
CONFIRMATION_SECONDS = 6.0
# Incarnations of servers, and lost connections of each, that are kept.
MAX_INCARNATIONS = 500
MAX_LOST_CONNECTIONS = 100
# Requests of one crash that are logged.
MAX_LOGGED_REQUESTS = 20


@attrs.frozen
class Crash:
    """A crash of a server, as all hosts name it.

    `number` counts the crashes of an incarnation. It is above 1 only while
    the store has not said yet that the server has restarted.
    """

    server_id: str
    started_at: int
    number: int = 1


Listener = t.Callable[[Crash, t.Sequence[requests.Call]], None]


@attrs.frozen(eq=False)
class _Loss:
    """A call whose connection was lost at `at`, of a request sent before."""

    call: requests.Call
    sent_at: float
    at: float


@attrs.define(eq=False)
class _Incarnation:
    """Crashes and lost connections of one incarnation of a server."""

    number: int = 0
    crashed_at: float = float("-inf")
    losses: t.List[_Loss] = attrs.field(factory=list)


@attrs.define(eq=False)
class CrashDetector:
    """Finds out which requests were in flight when their server crashed.

    Only requests whose answer had not begun, or only just, are reported: a
    server that has written most of an answer did not crash on its begin.
    Each listener in `on_crash` is called with the crash and the calls, if
    there are any; more calls of the same crash may follow.

        detector.record_loss(call, server, sent_at)
        detector.record_end(server)  # calls the listeners
    """

    catalog: catalogs.Catalog
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    on_crash: t.List[Listener] = attrs.field(factory=list)
    _incarnations: t.Dict[t.Tuple[str, int], _Incarnation] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self.catalog.on_report.append(self._record_report)
        self.catalog.on_removal.append(self._record_removal)

    def record_loss(
        self, call: requests.Call, server: topology.Server, sent_at: float
    ) -> None:
        """Record a call, sent at `sent_at`, that lost its connection."""
        now = self.read_time()
        if (
            call.begun_at is not None
            and now - call.begun_at > culprits.BEGIN_SECONDS
        ):
            return
        key = (server.id, server.started_at)
        incarnation = self._get(key)
        if sent_at <= incarnation.crashed_at:
            self._report(key, [call], "known")
            return
        incarnation.losses.append(_Loss(call, sent_at, now))
        del incarnation.losses[:-MAX_LOST_CONNECTIONS]

    def record_end(self, server: topology.Server) -> None:
        """Record that a server is no longer at its address."""
        key = (server.id, server.started_at)
        incarnation = self._get(key)
        if incarnation.losses or not incarnation.number:
            self._confirm(key, incarnation.number + 1, "not at its address")

    def record_notice(self, crash: Crash) -> bool:
        """Record that another host knows of a crash; return if it is news."""
        key = (crash.server_id, crash.started_at)
        known = self._incarnations.get(key)
        if known is not None and known.number >= crash.number:
            return False
        self._confirm(key, crash.number, "another host")
        return True

    def _get(self, key: t.Tuple[str, int]) -> _Incarnation:
        """Return what is known of an incarnation, the latest ones only."""
        incarnation = self._incarnations.pop(key, None) or _Incarnation()
        self._incarnations[key] = incarnation
        if len(self._incarnations) > MAX_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]
        return incarnation

    def _confirm(
        self, key: t.Tuple[str, int], number: int, reason: str
    ) -> None:
        """Record a crash and report the calls that were lost by it."""
        now = self.read_time()
        incarnation = self._get(key)
        calls = [
            loss.call
            for loss in incarnation.losses
            if now - loss.at <= CONFIRMATION_SECONDS
        ]
        incarnation.losses.clear()
        incarnation.number = number
        incarnation.crashed_at = now
        self._report(key, calls, reason)

    def _report(
        self,
        key: t.Tuple[str, int],
        calls: t.Sequence[requests.Call],
        reason: str,
    ) -> None:
        crash = Crash(*key, self._incarnations[key].number)
        for listener in self.on_crash:
            listener(crash, calls)
        if not calls:
            return
        server = self.catalog.servers.get(crash.server_id)
        self.log.write(
            "server_crashed",
            server=crash.server_id,
            started_at=crash.started_at,
            number=crash.number if crash.number > 1 else None,
            reason=reason,
            cold=server is not None and self.read_time() < server.cold_until,
            requests={
                call.request_id: (
                    [part.id for part in call.head.prompt.list_shared_parts()]
                    if call.head.prompt
                    else None
                )
                for call in calls[:MAX_LOGGED_REQUESTS]
            },
        )

    def _record_report(self, server: topology.Server) -> None:
        self._record_changes(
            lambda key: key[0] == server.id and key[1] < server.started_at,
            "restarted",
        )

    def _record_removal(self, server_id: str) -> None:
        self._record_changes(lambda key: key[0] == server_id, "removed")

    def _record_changes(
        self, has_ended: t.Callable[[t.Tuple[str, int]], bool], reason: str
    ) -> None:
        """Confirm the crashes of incarnations that have ended."""
        for key, incarnation in list(self._incarnations.items()):
            if incarnation.losses and has_ended(key):
                self._confirm(key, incarnation.number + 1, reason)
