"""Gate in front of the targets that have named a limit."""

from collections import Counter

from hibiscusspar.fleet.permits import NodePermits

__all__ = ["LimitGate"]


class LimitGate:
    """Permits of one node, and the requests that need some.

    It is guarded by the lock of the scheduler that uses it.

    Parameters
    ----------
    limits : LimitExchange
    """

    def __init__(self, limits):
        self._limits = limits
        self._permits = NodePermits()
        self._waiting_of_all = {}
        self._passed_over = set()

    @property
    def is_idle(self):
        """Whether no target has a limit."""
        return self._limits.is_empty

    def retain(self, target_ids):
        """Drop what is known of other targets."""
        self._limits.retain(target_ids)

    def apply_view(self, now, view):
        """Record the limits of a view, and how many requests wait for permits."""
        self._permits.apply_view(now, view.nodes, view.limits is not None)
        for target_id, (per_s, age_s, waiting) in (view.limits or {}).items():
            self._limits.apply_rows({target_id: (per_s, age_s)}, view.node)
            self._waiting_of_all[target_id] = waiting

    def report_rows(self, target_ids):
        """Return the limits to report: of recent answers, and of the named targets."""
        return self._limits.report_rows(target_ids)

    def add_permits(self, now, target_ids):
        """Add permits, one for each name of a target."""
        self._permits.add(now, target_ids)

    def is_open(self, now, target_id):
        """Return whether a request may be sent to a target now."""
        per_s = self._limits.per_s(target_id)
        return per_s is None or self._permits.count(now, target_id, per_s) > 0

    def record_send(self, target_id):
        """Use a permit if the target needs one."""
        if self._limits.per_s(target_id) is not None:
            self._permits.use(target_id)

    def open_targets(self, now, target_ids):
        """Return the targets to which a request may be sent now.

        The others are counted as passed over until the next report.
        """
        closed = {t for t in target_ids if not self.is_open(now, t)}
        self._passed_over |= closed
        return target_ids - closed

    def wait_s(self, now, target_ids):
        """Return the shortest wait for a permit, in seconds.

        It is None if one of the targets has no limit, or if there are no targets.
        """
        limits = {target_id: self._limits.per_s(target_id) for target_id in target_ids}
        if not limits or None in limits.values():
            return None
        return min(
            self._permits.wait_s(
                now, target_id, per_s, self._waiting_of_all.get(target_id, 0)
            )
            for target_id, per_s in limits.items()
        )

    def excluded_from_loads(self, target_ids):
        """Return the targets at which no adapter should be loaded.

        These are the ones with a limit, unless all have one.
        """
        limited = self._limits.confirmed & target_ids
        return set() if limited == target_ids else limited

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
            closed = sorted(t for t in usable_targets(job) if not self.is_open(now, t))
            if closed:
                counts[closed[int(job.fraction * len(closed))]] += 1
        for target_id in passed_over:
            counts.setdefault(target_id, 0)
        return dict(counts)
