"""Metrics of an entry host. Label values come from bounded sets."""

import typing as t

import prometheus_client
from prometheus_client import exposition

_BUCKETS_SECONDS = (
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.4,
    0.72,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


class EntryMetrics:
    """Collectors of one entry host in their own registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "sesamefold_requests",
            "Requests of callers by result code, 0 for success.",
            ("code",),
            registry=self.registry,
        )
        self.fleet_changes = prometheus_client.Counter(
            "sesamefold_fleet_changes",
            "Batches of changes of servers and hosts in a large region, by "
            "source: reader, relay or store.",
            ("source",),
            registry=self.registry,
        )
        self.server_notices = prometheus_client.Counter(
            "sesamefold_server_notices",
            "Notices of servers by kind: leaving, resting or replaced.",
            ("kind",),
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "sesamefold_request_seconds",
            "Time from the request's arrival to the end of its answer.",
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )

        self.room_seconds = prometheus_client.Histogram(
            "sesamefold_room_wait_seconds",
            "Time that requests waited for room, by outcome: sent or refused.",
            ("outcome",),
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.room_waiting = prometheus_client.Gauge(
            "sesamefold_room_waiting",
            "Requests of this host that wait for room.",
            registry=self.registry,
        )
        self.rollout_share = prometheus_client.Gauge(
            "sesamefold_rollout_share",
            "Share of this host's requests that a new version may get.",
            ("service",),
            registry=self.registry,
        )

    def record_wait(self, sent: bool, seconds: float) -> None:
        """Record the end of a request's wait for room."""
        outcome = "sent" if sent else "refused"
        self.room_seconds.labels(outcome).observe(seconds)

    def count_fleet_changes(self, source: str) -> None:
        """Count a batch of changes of servers and hosts."""
        self.fleet_changes.labels(source).inc()

    def count_notice(self, kind: str) -> None:
        """Count a notice of a server: "leaving", "resting" or "replaced"."""
        self.server_notices.labels(kind).inc()

    def count_request(self, code: int, seconds: float) -> None:
        """Count a finished request by its result code, 0 for success."""
        self.requests.labels(str(code)).inc()
        self.request_seconds.observe(seconds)

    def render(self) -> t.Tuple[bytes, str]:
        """Return the exposition text and its content type."""
        return (
            exposition.generate_latest(self.registry),
            exposition.CONTENT_TYPE_LATEST,
        )
