"""Exchange of times and failures of the calls of plain services."""

import threading

from hibiscusspar.fleet.call_times import FleetCallTimes
from hibiscusspar.fleet.plain_calls import PlainCalls
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.load_events import CALL_TIMES

__all__ = ["CallTimesExchange", "FleetTimes"]

# Change of a share of failures that is logged, and the lines a second at most.
_LOGGED_CHANGE = 0.1
_LOG_LINES_S = 8
# Status of a target that has no room.
_FULL = 503


class CallTimesExchange:
    """Plain calls of one node.

    The scheduler's lock guards its decisions, a lock of its own the answers too, which
    come from the threads of the requests.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock):
        self._clock = clock
        self._is_enabled = False
        self._calls = PlainCalls()
        self._lock = threading.Lock()
        self.decide = self._locked(self._calls.decide)
        self.announces = self._locked(self._calls.announces)
        self.applies_to = self._calls.applies_to

    def enable(self, is_enabled, metrics):
        """Set whether calls are decided on by the times of targets."""
        self._is_enabled = is_enabled
        metrics.sources.append(self.gauges)

    def gauges(self):
        """Return the values of the metrics by name."""
        return {
            "plain_calls_decided": self._calls.decided,
            "plain_calls_refused": self._calls.refused,
            "plain_targets_failing": self._calls.failing_count,
        }

    def configure(self, services):
        """Set the names of the plain services."""
        with self._lock:
            self._calls.configure(services if self._is_enabled else ())

    def set_targets(self, targets):
        """Replace the directory of targets, given as a dict by id."""
        with self._lock:
            self._calls.set_targets(targets)

    def apply_view(self, now, view, others):
        """Apply a view, and the loads from other nodes that it told."""
        with self._lock:
            self._calls.apply_view(now, view.call_times, others, view.nodes)

    def apply_sends(self, now, sends):
        """Apply the requests that a notice tells of."""
        if not self._is_enabled:
            return
        with self._lock:
            for target_id, _ in sends:
                self._calls.apply_send(now, target_id)

    def complete_report(self, now, report):
        """Add the times of the last second to a report."""
        with self._lock:
            report.call_times = self._calls.report_rows(now)

    def record_answer(self, placement, admitted, sent_at, status):
        """Record that a target has answered with a status."""
        if not self.applies_to(placement.target.service):
            return
        now, request_id = self._clock(), admitted.call.request_id
        with self._lock:
            self._calls.record_answer(
                now, placement.target, request_id, now - sent_at, status >= 500
            )

    def record_failure(self, placement, admitted, sent_at, not_run, status=0):
        """Record that an attempt at a target failed; ``not_run`` if it didn't run.

        A target that couldn't be reached, or didn't run the call for another reason
        than a lack of room, says nothing about its calls.
        """
        if not self.applies_to(placement.target.service):
            return
        now, request_id = self._clock(), admitted.call.request_id
        with self._lock:
            if not not_run:
                self._calls.record_answer(
                    now, placement.target, request_id, now - sent_at, True
                )
            elif status == _FULL:
                self._calls.record_full(now, placement.target, request_id)

    def _locked(self, function):
        def call(*arguments):
            with self._lock:
                return function(*arguments)

        return call


class FleetTimes:
    """Times that the coordinator combines from the last reports of all nodes."""

    def __init__(self):
        self._fleet = FleetCallTimes()
        self._logged = {}
        self._logged_at = (0.0, 0)

    def update(self, now, reports, targets):
        """Return the ``call_times`` of a view.

        Parameters
        ----------
        now : float
        reports : ReportTable
        targets : dict of str to Target
        """
        reported = [
            (record.received_at, record.report.call_times)
            for record in reports.fresh(now)
            if record.report.call_times
        ]
        rows = self._fleet.update(now, reported, targets)
        self._log_changes(now, rows)
        return rows

    def _log_changes(self, now, rows):
        self._logged = {t: share for t, share in self._logged.items() if t in rows}
        at, lines = self._logged_at
        at, lines = (now, 0) if now >= at + 1.0 else (at, lines)
        records = []
        for target_id, (_, mean_s, share, age_s) in rows.items():
            before = self._logged.get(target_id, 0.0)
            if abs(share - before) < _LOGGED_CHANGE or lines >= _LOG_LINES_S:
                continue
            lines += 1
            self._logged[target_id] = share
            fields = {
                "target": target_id,
                "mean_s": mean_s,
                "failure_share": share,
                "before": before,
                "age_s": age_s,
            }
            records.append((CALL_TIMES, fields))
        self._logged_at = (at, lines)
        write_records(records)
