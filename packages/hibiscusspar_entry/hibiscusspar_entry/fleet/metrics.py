"""Prometheus metrics of an entry process of a fleet."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import generate_latest

from hibiscusspar_entry.metrics import LATENCY_BUCKETS_S

__all__ = ["FleetMetrics"]


class FleetMetrics:
    """Metrics of one process, in their own registry."""

    def __init__(self):
        self._registry = registry = CollectorRegistry()
        # Functions that return further gauges by name.
        self.sources = []
        # Functions that return the shares of limited accounts by service.
        self.account_shares = []
        self.started = Counter(
            "hibiscusspar_calls", "Requests that were admitted.", registry=registry
        )
        self.answered = Counter(
            "hibiscusspar_calls_answered",
            "Requests that got a whole answer.",
            registry=registry,
        )
        self.refused = Counter(
            "hibiscusspar_calls_refused",
            "Requests refused without a run, by status and reason.",
            ("status", "reason"),
            registry=registry,
        )
        self.failed_attempts = Counter(
            "hibiscusspar_attempts_failed",
            "Attempts at targets that failed, by the step that failed.",
            ("step",),
            registry=registry,
        )
        self.broken = Counter(
            "hibiscusspar_calls_broken",
            "Requests that got no whole answer and may have run.",
            registry=registry,
        )
        self.ended = Counter(
            "hibiscusspar_calls_ended",
            "Requests that got no whole answer, by whose decision, the step at which "
            "their last attempt failed, and the answer.",
            ("by", "step", "answer"),
            registry=registry,
        )
        self.silences = Counter(
            "hibiscusspar_target_silences",
            "Targets that fell silent in the middle of an answer, by outcome.",
            ("outcome",),
            registry=registry,
        )
        self.first_byte = Histogram(
            "hibiscusspar_call_first_byte_seconds",
            "Seconds from the request to the first byte of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.store_calls = Counter(
            "hibiscusspar_store_calls",
            "Calls of the platform's store by call, kind of object and outcome.",
            ("call", "kind", "outcome"),
            registry=registry,
        )
        self.store_causes = Counter(
            "hibiscusspar_store_calls_by_cause",
            "Calls of the platform's store by kind of object and why they were made.",
            ("kind", "cause"),
            registry=registry,
        )
        # Returns why this node calls the store now.
        self.store_cause = lambda: "start"
        self.gauges = Gauge(
            "hibiscusspar_node",
            "State of this node by field.",
            ("field",),
            registry=registry,
        )

        registry.register(_AccountShares(self.account_shares))

    def count_store_call(self, call, kind, outcome):
        """Count one call to the store."""
        self.store_calls.labels(call, kind, outcome).inc()
        self.store_causes.labels(kind, self.store_cause()).inc()

    def render(self, fields):
        """Return all metrics as text.

        Parameters
        ----------
        fields : dict of str to float
            Values of the gauges by name.
        """
        for source in self.sources:
            fields = fields | source()
        for name, value in fields.items():
            self.gauges.labels(name).set(value)
        return generate_latest(self._registry)


class _AccountShares:
    """Collector of the shares of limited accounts; others have no value."""

    def __init__(self, sources):
        self._sources = sources

    def collect(self):
        """Yield the family of metrics."""
        family = GaugeMetricFamily(
            "hibiscusspar_account_share",
            "Share that is admitted of the requests of an account above its part.",
            labels=("service", "account"),
        )
        for source in self._sources:
            for service, shares in source().items():
                for account, share in shares.items():
                    family.add_metric((service, account), share)
        yield family
