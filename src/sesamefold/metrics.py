"""Prometheus metrics of the gateway.

All label values come from bounded sets.
"""

import typing as t

import prometheus_client
from prometheus_client import exposition

# Upper bounds of the buckets for the time to the first token.
_FIRST_TOKEN_SECONDS = (
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
# Upper bounds of the buckets for the time between two tokens.
_TOKEN_GAP_SECONDS = (0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 1.0, 5.0)


class GatewayMetrics:
    """Metrics of one gateway, in a registry of their own.

    The label `code` is the code of an error, or "0" for success, and `source`
    is "cached", "memory", "disk" or "recomputed". Customers, request ids and
    paths are never labels.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "sesamefold_requests",
            "Requests of callers by kind and result code.",
            ("kind", "code"),
            registry=self.registry,
        )
        self.in_progress = prometheus_client.Gauge(
            "sesamefold_requests_in_progress",
            "Requests that callers wait for.",
            registry=self.registry,
        )
        self.first_token_seconds = prometheus_client.Histogram(
            "sesamefold_first_token_seconds",
            "Time from the request's arrival to its first token.",
            buckets=_FIRST_TOKEN_SECONDS,
            registry=self.registry,
        )
        self.token_gap_seconds = prometheus_client.Histogram(
            "sesamefold_token_gap_seconds",
            "Time between two tokens of one response, mean of the response.",
            buckets=_TOKEN_GAP_SECONDS,
            registry=self.registry,
        )
        self.context_tokens = prometheus_client.Counter(
            "sesamefold_context_tokens",
            "Prompt tokens by the way their context was obtained.",
            ("source",),
            registry=self.registry,
        )
        self.dropped_events = prometheus_client.Counter(
            "sesamefold_dropped_events",
            "Events of engines that were not passed on, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            "sesamefold_retries",
            "Runs and calls that were sent again, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.exported_blocks = prometheus_client.Counter(
            "sesamefold_exported_blocks",
            "Blocks after runs, by result of the export.",
            ("result",),
            registry=self.registry,
        )
        self.looked_up_blocks = prometheus_client.Counter(
            "sesamefold_looked_up_blocks",
            "Blocks asked for at the directory, by result.",
            ("result",),
            registry=self.registry,
        )
        self.configuration_revision = prometheus_client.Gauge(
            "sesamefold_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )

    def count_request(self, kind: str, code: int) -> None:
        """Count a finished request by its error code, 0 for success."""
        self.requests.labels(kind, str(code)).inc()

    def render(self) -> t.Tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and its type."""
        return (
            exposition.generate_latest(self.registry),
            exposition.CONTENT_TYPE_LATEST,
        )
