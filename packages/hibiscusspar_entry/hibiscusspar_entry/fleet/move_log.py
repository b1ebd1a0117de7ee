"""Counts and log lines of moved streams."""

import threading
from collections import Counter

from hibiscusspar.fleet.run_weights import Holding
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.load_events import (
    OTHER_WEIGHTS,
    STREAM_MOVE_BEGUN,
    STREAM_MOVED,
    STREAM_NOT_MOVED,
)

__all__ = ["MoveLog"]


class MoveLog:
    """Record of what became of the moves of one node.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._counts = Counter()

    def gauges(self):
        """Return the values of the metrics by name."""
        with self._lock:
            return {
                "stream_moves_begun": self._counts["begun"],
                "streams_moved": self._counts["moved"],
                "streams_returned": self._counts["returned"],
                "stream_moves_failed": self._counts["failed"],
                "stream_copies_freed": self._counts["freed"],
                "stream_loads_requested": self._counts["loads requested"],
                "stream_destinations_other": self._counts["other weights"],
                "stream_destinations_unknown": self._counts["unknown weights"],
                "stream_reliefs_begun": self._counts["begun for relief"],
                "streams_relieved": self._counts["moved for relief"],
                "stream_reliefs_returned": self._counts["returned for relief"],
                "stream_reliefs_failed": self._counts["failed for relief"],
            }

    def count_freed(self):
        """Count a copy that wasn't used."""
        self._count("freed")

    def count_request(self):
        """Count a request for a load of an adapter."""
        self._count("loads requested")

    def begun(self, run, placement):
        """Record that a destination is reserved and the state will be copied."""
        self._count_outcome("begun", run)
        leave, model = run.leave, run.admitted.call.model
        source, destination = run.placement, placement
        fields = {
            **run.fields(),
            "destination": destination.target.target_id,
            "reason": leave.reason,
            "since_s": round(self._clock() - leave.since, 3),
            "model_version": run.model_version,
            "listed": [p.target.models.get(model) for p in (source, destination)],
            "versions": [source.version, destination.version],
        }
        write_records([(STREAM_MOVE_BEGUN, fields)])

    def succeeded(self, run, placement, is_return, model_version):
        """Record the first event after a move."""
        self._count_outcome("returned" if is_return else "moved", run)
        fields = {
            **run.fields(),
            "destination": placement.target.target_id,
            "pause_s": round(self._clock() - run.state.last_event_at, 3),
            "model_version": model_version,
            "before": run.model_version,
        }
        write_records([(STREAM_MOVED, fields)])

    def failed(self, run, reason):
        """Record that a run could not be moved, or not be continued from its state."""
        self._count_outcome("failed", run)
        write_records([(STREAM_NOT_MOVED, {**run.fields(), "reason": reason})])

    def compared(self, run, placement, holding):
        """Record that a destination turned out to hold other or unknown weights."""
        if holding is not Holding.SAME:
            self._count(f"{holding.value} weights")
        if holding is Holding.OTHER:
            model = run.admitted.call.model
            fields = {
                **run.fields(),
                "destination": placement.target.target_id,
                "model_version": run.weights.model,
                "adapter_version": run.weights.adapter,
                "listed": [placement.target.models.get(model), placement.version],
            }
            write_records([(OTHER_WEIGHTS, fields)])

    def found_no_target(self, run):
        """Record that a stream stays for lack of a destination, once."""
        if not run.is_logged and not run.closed.is_set():
            run.is_logged = True
            reason = "no destination" if run.weights else "unknown weights"
            fields = {**run.fields(), "reason": reason}
            write_records([(STREAM_NOT_MOVED, fields)])

    def _count_outcome(self, name, run):
        self._count(name)
        if run.is_relief:
            self._count(f"{name} for relief")

    def _count(self, name):
        with self._lock:
            self._counts[name] += 1
