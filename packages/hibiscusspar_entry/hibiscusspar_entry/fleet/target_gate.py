"""Gate in front of targets that have named a limit, asked for rest or are brittle."""

from collections import Counter

from hibiscusspar.fleet.permits import NodePermits

__all__ = ["TargetGate"]

# Assumed time in seconds until there is a successor if all targets leave.
_SUCCESSOR_S = 1.0


class TargetGate:
    """Targets to which one node may send requests, and its permits for some of them.

    It is guarded by the lock of the scheduler that uses it.

    Parameters
    ----------
    limits : LimitExchange
    statements : TargetStatements
    """

    def __init__(self, limits, statements):
        self._limits = limits
        self._statements = statements
        self._permits = NodePermits()
        self._waiting_of_all = {}
        self._passed_over = set()

    @property
    def is_idle(self):
        """Whether no target has a limit, rests, is brittle or says that it leaves."""
        return self._limits.is_empty and self._statements.is_empty

    def retain(self, targets):
        """Drop what is known of other targets, given as a dict by id."""
        self._statements.retain(targets)

    def apply_view(self, now, view):
        """Record the limits of a view, and how many requests wait for permits."""
        self._permits.apply_view(now, view.nodes, view.limits is not None)
        for target_id, (per_s, age_s, waiting) in (view.limits or {}).items():
            self._limits.apply_rows({target_id: (per_s, age_s)}, view.node)
            self._waiting_of_all[target_id] = waiting

    def usable_slots(self, target, queue_slots):
        """Return the number of requests that a target may get at a time."""
        return self._statements.usable_slots(target, queue_slots)

    def report_rows(self, target_ids):
        """Return the limits to report: of recent answers, and of the named targets."""
        return self._limits.report_rows(target_ids)

    def add_permits(self, now, target_ids):
        """Add permits, one for each name of a target."""
        self._permits.add(now, target_ids)

    def record_send(self, target_id):
        """Use a permit if the target needs one."""
        if self._limits.per_s(target_id) is not None:
            self._permits.use(target_id)

    def open_targets(self, now, target_ids):
        """Return the targets to which a request may be sent now.

        Those that lack a permit are counted as passed over until the next report.
        """
        willing = target_ids - self._statements.closed(now)
        without_permit = {t for t in willing if not self._has_permit(now, t)}
        self._passed_over |= without_permit
        return willing - without_permit

    def wait_s(self, now, target_ids):
        """Return the shortest wait for a permit or the end of a rest, in seconds.

        It is None if one of the targets is open, or if there are no targets.
        """
        if not target_ids:
            return None
        staying = target_ids - self._statements.leaving()
        waits = [self._target_wait_s(now, target_id) for target_id in staying]
        return None if None in waits else min(waits, default=_SUCCESSOR_S)

    def excluded_from_loads(self, now, target_ids):
        """Return the targets at which no adapter should be loaded.

        These are the ones with a limit and those that rest or leave, unless all do.
        """
        closed = (self._limits.confirmed | self._statements.closed(now)) & target_ids
        return set() if closed == target_ids else closed

    def take_demand(self, now, jobs, usable_targets):
        """Return the requests that need a permit by target, for one report.

        A waiting request counts for one target, so that no other gets a permit for it
        in vain. A target that was passed over is listed with 0, so that it gets a
        permit for a later request, is used below its limit and tells when that ends.

        Parameters
        ----------
        now : float
        jobs : iterable of Job
            Waiting requests.
        usable_targets : callable
            Returns the targets that can run a job, whatever their limits.
        """
        passed_over, self._passed_over = self._passed_over, set()
        if not self._limits.limited:
            return {}
        counts = Counter()
        for job in jobs:
            usable = usable_targets(job)
            closed = sorted(t for t in usable if not self._has_permit(now, t))
            if closed:
                counts[closed[int(job.fraction * len(closed))]] += 1
        for target_id in passed_over:
            counts.setdefault(target_id, 0)
        return dict(counts)

    def _has_permit(self, now, target_id):
        """Return whether a target has no limit, or there is a permit for it."""
        per_s = self._limits.per_s(target_id)
        return per_s is None or self._permits.count(now, target_id, per_s) > 0

    def _target_wait_s(self, now, target_id):
        """Return the wait for one target in seconds, or None if it is open."""
        rest_s = self._statements.remaining_s(now, target_id)
        per_s = self._limits.per_s(target_id)
        if per_s is None:
            return rest_s or None
        waiting = self._waiting_of_all.get(target_id, 0)
        return max(rest_s, self._permits.wait_s(now, target_id, per_s, waiting))
