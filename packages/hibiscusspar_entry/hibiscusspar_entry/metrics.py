"""Prometheus metrics of the entry process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (0.005, 0.02, 0.077, 0.25, 0.5, 1.0, 1.8, 5.0, 20.0, 60.0)


class Metrics:
    """Metrics of one process, in their own registry."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self.requests = Counter(
            "hibiscusspar_requests",
            "Requests by client account, outcome and code.",
            ("account", "outcome", "code"),
            registry=self._registry,
        )
        self.latency = Histogram(
            "hibiscusspar_first_byte_seconds",
            "Seconds from the request to the first byte of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self.running = Gauge(
            "hibiscusspar_running_requests",
            "Requests in the process now.",
            registry=self._registry,
        )
        self.revision = Gauge(
            "hibiscusspar_configuration_revision",
            "Revision of the configuration in force.",
            registry=self._registry,
        )
        self.configuration_age = Gauge(
            "hibiscusspar_configuration_age_seconds",
            "Seconds since the configuration was last confirmed as the newest.",
            registry=self._registry,
        )
        self.exchanges = Counter(
            "hibiscusspar_exchanges",
            "Exchanges with other VMs by direction and outcome.",
            ("direction", "outcome"),
            registry=self._registry,
        )
        self.exchange_bytes = Counter(
            "hibiscusspar_exchange_bytes",
            "Bytes of exchange bodies by direction.",
            ("direction",),
            registry=self._registry,
        )
        self.messages = Counter(
            "hibiscusspar_messages",
            "Messages from other VMs by kind.",
            ("kind",),
            registry=self._registry,
        )
        self.platform_calls = Counter(
            "hibiscusspar_platform_calls",
            "Platform calls by operation and outcome.",
            ("operation", "outcome"),
            registry=self._registry,
        )
        self.limits = Gauge(
            "hibiscusspar_limit",
            "Limit of a client account on this VM, by field of the status.",
            ("account", "field"),
            registry=self._registry,
        )

    def set_limit_gauges(self, status):
        """Replace the gauges of limits.

        Parameters
        ----------
        status : dict of str to dict
            Status of the limit system by account; fields that aren't numbers are
            skipped.
        """
        self.limits.clear()
        for account, fields in status.items():
            for field, value in fields.items():
                if isinstance(value, int | float):
                    self.limits.labels(account, field).set(value)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
