"""Detection of crashes of backend servers, and of what ran there.

A server is emptied by a crash, and its requests lose their connections at the
same moment. A lost connection alone does not show a crash: networks and sound
servers close connections too. So requests that lost theirs are kept until the
server turns out to have ended.
"""

import typing as t

import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import decisions
from sesamefold.entry import requests
from sesamefold.entry import topology

# Time after a lost connection within which the end of its server counts as
# its cause, seconds. A server that has crashed is off the list after three
# missing reports, one each 1.2 s, and the delay of the watch.
CONFIRMATION_SECONDS = 6.0
# Time after the begin of an answer in which it may be the cause of a crash,
# seconds. Servers may crash as they begin to write, and the first event then
# arrives together with the end of the connection.
BEGIN_SECONDS = 0.5
# Lost connections and crashes that are kept.
MAX_LOST_CONNECTIONS = 2000
MAX_CRASHES = 200

# Id and time of start of a server.
Incarnation = t.Tuple[str, int]
Listener = t.Callable[[Incarnation, t.Sequence[requests.Call]], None]


def get_incarnation(server: topology.Server) -> Incarnation:
    """Return what identifies one incarnation of a server on all hosts."""
    return server.id, server.started_at


@attrs.define
class CrashDetector:
    """Finds out which requests were in flight when their server crashed.

    Only requests whose answer had not begun, or only just, are reported: a
    server that has written most of an answer did not crash on its begin.
    Each listener in `on_crash` is called with the server's incarnation and
    the calls; more calls of the same crash may follow.

        detector.record_loss(call, server)
        detector.record_end(server)  # calls the listeners
    """

    catalog: catalogs.Catalog
    log: decisions.DecisionLog
    read_time: t.Callable[[], float] = clock.read_time
    on_crash: t.List[Listener] = attrs.field(factory=list)
    _losses: t.List[t.Tuple[float, Incarnation, requests.Call]] = attrs.field(
        factory=list
    )
    _crashes: t.Dict[Incarnation, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.catalog.on_report.append(self._record_report)
        self.catalog.on_removal.append(self._record_removal)

    def record_loss(
        self, call: requests.Call, server: topology.Server
    ) -> None:
        """Record a call whose connection to a server was lost."""
        now = self.read_time()
        if call.begun_at is not None and now - call.begun_at > BEGIN_SECONDS:
            return
        incarnation = get_incarnation(server)
        if now - self._crashes.get(incarnation, float("-inf")) <= (
            CONFIRMATION_SECONDS
        ):
            self._report(incarnation, [call], "known")
            return
        self._losses.append((now, incarnation, call))
        del self._losses[:-MAX_LOST_CONNECTIONS]

    def record_end(self, server: topology.Server) -> None:
        """Record that a server is no longer at its address."""
        if any(key == get_incarnation(server) for _, key, _ in self._losses):
            self.confirm(get_incarnation(server), "not at its address")

    def confirm(self, incarnation: Incarnation, reason: str) -> None:
        """Record that an incarnation of a server has crashed."""
        now = self.read_time()
        if incarnation in self._crashes:
            return
        self._crashes[incarnation] = now
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        calls = []
        kept = []
        for loss in self._losses:
            at, key, call = loss
            if now - at > CONFIRMATION_SECONDS:
                continue
            if key == incarnation:
                calls.append(call)
            else:
                kept.append(loss)
        self._losses = kept
        self._report(incarnation, calls, reason)

    def _report(
        self,
        incarnation: Incarnation,
        calls: t.Sequence[requests.Call],
        reason: str,
    ) -> None:
        server = self.catalog.servers.get(incarnation[0])
        self.log.write(
            "server_crashed",
            server=incarnation[0],
            started_at=incarnation[1],
            reason=reason,
            cold=server is not None and self.read_time() < server.cold_until,
            requests={
                call.request_id: (
                    [part.id for part in call.head.prompt.list_shared_parts()]
                    if call.head.prompt
                    else None
                )
                for call in calls[:20]
            },
        )
        for listener in self.on_crash:
            listener(incarnation, calls)

    def _record_report(self, server: topology.Server) -> None:
        for key in {key for _, key, _ in self._losses}:
            if key[0] == server.id and key[1] < server.started_at:
                self.confirm(key, "restarted")

    def _record_removal(self, server_id: str) -> None:
        for key in {key for _, key, _ in self._losses}:
            if key[0] == server_id:
                self.confirm(key, "removed")
