"""Second attempts of requests whose targets fall silent.

A silent target keeps its request until another target has answered: what the caller
has is given up only once its replacement is there. If the silent target goes on first,
the second attempt ends.
"""

from time import monotonic

from hibiscusspar.fleet.silences import (
    SilencePolicy,
    is_shared_silence,
)
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import CALL_TARGET_SILENT
from hibiscusspar_entry.fleet.placement_job import make_job
from hibiscusspar_entry.fleet.silence_watch import SilenceWatch

__all__ = ["Hedging"]


class Hedging:
    """Second attempts of the requests of one node.

    Parameters
    ----------
    parts : FleetParts
    policy : ForwardPolicy
    attempts : Attempts
    may_replace : callable
        Returns whether a request may be sent to another target than its current one.
    log : CallLog
    silence_policy : SilencePolicy, optional
    monotonic_clock : callable, optional
    """

    def __init__(
        self,
        parts,
        policy,
        attempts,
        may_replace,
        log,
        silence_policy=None,
        monotonic_clock=monotonic,
    ):
        self.monotonic = monotonic_clock
        self.policy = silence_policy or SilencePolicy()
        self.attempts = attempts
        self.may_replace = may_replace
        self.log = log
        self.scheduler = parts.request_scheduler
        self.clock = parts.clock
        # Watches of the open attempts.
        self.watches = set()
        self._forward_policy = policy
        self._paths = parts.paths
        self._retry_budgets = parts.retry_budgets
        self._silences = parts.metrics.silences

    def watch(self, admitted, state, placement):
        """Return the watch of an attempt, None if no other target may take over.

        The target may be silent from now on, as the request is being sent to it.
        """
        route = admitted.route
        if not route.idempotent or state.attempts >= route.max_attempts:
            return None
        watch = SilenceWatch(self, admitted, state, placement)
        watch.starts_at = self.monotonic() + self.first_silence_s(admitted)
        return watch

    def is_shared(self, now, watch, service):
        """Return whether the streams of other targets are silent as well.

        If they are, as this node is cut off, the request may go on through a peer.
        """
        if self._paths.is_cut(service):
            return False
        others = [
            other.progress_at
            for other in self.watches.copy()
            if other.has_progress and other.target_id != watch.target_id
        ]
        return is_shared_silence(
            self.policy, now, watch.starts_at, watch.progress_at, others
        )

    def first_silence_s(self, admitted):
        """Return the seconds for which a target may be silent before its answer."""
        if admitted.is_engine:
            return self.policy.first_event_s
        return (admitted.ends_at - self.clock()) * self.policy.plain_share

    def job(self, admitted, state, targets):
        """Return the job that chooses a target other than some for a request."""
        policy, now = self._forward_policy, self.clock()
        factor = policy.wait_factor if admitted.is_engine else policy.plain_wait_factor
        job = make_job(admitted, state, now, factor * admitted.route.first_byte_slo_s)
        events = state.splitter.count if state.splitter else 0
        return job._replace(
            # The other target also reads what the caller has of the answer.
            prompt_tokens=job.prompt_tokens + events * admitted.event_steps,
            broken_at=job.broken_at | job.excluded | targets,
        )

    def has_budget(self, service):
        """Return whether the retry budget allows another attempt, or seek a loan."""
        return self._retry_budgets.seek_room(service, self.clock(), self._nodes)

    def take_budget(self, service):
        """Count another attempt in the retry budget; return whether it allows it."""
        return self._retry_budgets.allow(service, self.clock(), self._nodes)

    def record_silence(self, admitted, placement, silent_s, outcome, other=""):
        """Log and count a silence that has ended."""
        self._silences.labels(outcome).inc()
        fields = {
            "request": admitted.call.request_id,
            "target": placement.target.target_id,
            "silent_s": round(silent_s, 3),
            "outcome": outcome,
            "other": other,
        }
        write_records([(CALL_TARGET_SILENT, fields)])

    @property
    def _nodes(self):
        return None if self.scheduler.view_age_s is None else self.scheduler.nodes
