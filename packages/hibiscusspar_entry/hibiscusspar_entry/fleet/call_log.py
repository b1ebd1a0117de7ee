"""Log lines and counters of the decisions about requests."""

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import (
    CALL_ANSWERED,
    CALL_BROKEN,
    CALL_FAILED_AT_TARGET,
    CALL_REFUSED,
    CALL_SENT,
)

__all__ = ["CallLog"]

# Reasons may end with an address or an error, so the metric label is cut to this
# length.
_REASON_LABEL_CHARS = 40
# Parts of a prompt that a line lists at most.
_LOGGED_PARTS = 4
# Longest id of another request that a line shows; callers choose it.
_ID_CHARS = 64


class CallLog:
    """Log of the events 630 to 634.

    Parameters
    ----------
    clock : callable
    request_scheduler : RequestScheduler
        Gives the age of the last view.
    metrics : FleetMetrics
    config : ConfigSync
    """

    def __init__(self, clock, request_scheduler, metrics, config):
        self._clock = clock
        self._request_scheduler = request_scheduler
        self._metrics = metrics
        self._config = config

    def refused(self, admitted, error, arrived):
        """Log a refusal; the request has not run."""
        reason = error.reason[:_REASON_LABEL_CHARS]
        self._metrics.refused.labels(str(error.status), reason).inc()
        fields = {
            "request": admitted.call.request_id if admitted else "",
            "account": admitted.account if admitted else "",
            "route": admitted.route.name if admitted else "",
            "status": error.status,
            "reason": error.reason,
            "waited_s": round(self._clock() - arrived, 3),
            "retry_after_s": error.retry_after_s,
            "view_age_s": _rounded(self._request_scheduler.view_age_s),
            "version": admitted.version if admitted else 0,
        }
        write_records([(CALL_REFUSED, fields)])

    def sent(self, admitted, state, placement):
        """Log that a request is sent to a target."""
        fields = {
            "request": admitted.call.request_id,
            "account": admitted.account,
            "route": admitted.route.name,
            "target": placement.target.target_id,
            "attempt": state.attempts,
            "adapter": admitted.call.adapter,
            "waited_s": round(self._clock() - admitted.arrived, 3),
            "estimate_s": round(placement.estimate_s, 3),
            "view_age_s": _rounded(self._request_scheduler.view_age_s),
            "version": admitted.version,
            "software": placement.target.software,
            "resumes": admitted.call.resumes[:_ID_CHARS],
            "last_event": state.last_event(admitted.call),
            "digest": admitted.digest,
            "parts": admitted.shared_parts[:_LOGGED_PARTS],
        }
        write_records([(CALL_SENT, fields)])

    def answered(self, admitted, state, status):
        """Log that a target answered a request completely."""
        first_s = state.first_byte_at - admitted.arrived
        fields = {
            "request": admitted.call.request_id,
            "target": state.target_id,
            "status": status,
            "first_byte_s": round(first_s, 3),
            "seconds": round(self._clock() - admitted.arrived, 3),
            "events": state.splitter.count if state.splitter else 0,
            "longest_gap_s": round(state.longest_gap_s, 3),
            "late": first_s > admitted.route.first_byte_slo_s,
            "paused": 0.0 < admitted.route.max_gap_s < state.longest_gap_s,
        }
        self._metrics.answered.inc()
        write_records([(CALL_ANSWERED, fields)])

    def failed(self, admitted, state, failure, next_step, second_id=None):
        """Log a failed attempt and the next step.

        ``second_id`` is the target of a second attempt whose first one goes on.
        """
        if second_id is None:
            state.failed_step = failure.step
        self._metrics.failed_attempts.labels(failure.step).inc()
        fields = {
            "request": admitted.call.request_id,
            "target": second_id or state.target_id,
            "attempt": state.attempts,
            "step": failure.step,
            "reason": failure.reason,
            "not_run": failure.not_run,
            "next": next_step,
        }
        write_records([(CALL_FAILED_AT_TARGET, fields)])

    def broken(self, admitted, state, status, reason, by):
        """Log a request that got no complete answer and may have run.

        Parameters
        ----------
        admitted : Admitted or None
        state : RequestState
        status : int
            Status of the answer, 0 if there is none.
        reason : str
        by : EndedBy
        """
        self._metrics.broken.inc()
        answer = "cut off" if state.answer_begun else str(status)
        self._metrics.ended.labels(by.value, state.failed_step, answer).inc()
        arrived = admitted.arrived if admitted else self._clock()
        fields = {
            "request": admitted.call.request_id if admitted else "",
            "account": admitted.account if admitted else "",
            "target": state.target_id,
            "status": status,
            "reason": reason,
            "events": state.splitter.count if state.splitter else 0,
            "seconds": round(self._clock() - arrived, 3),
            "ended_by": by.value,
            "step": state.failed_step,
            "cut_off": state.answer_begun,
            "config_in_force_s": _rounded(self._config.in_force_s),
        }
        write_records([(CALL_BROKEN, fields)])


def _rounded(seconds):
    return None if seconds is None else round(seconds, 3)
