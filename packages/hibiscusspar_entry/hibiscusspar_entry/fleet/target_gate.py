"""Gate in front of targets that are cold, have named a limit, rest or are brittle."""

from collections import Counter, deque
from math import inf
from random import Random

from hibiscusspar.fleet.permits import NodePermits

__all__ = ["TargetGate"]

# Assumed time in seconds until there is a successor if all targets leave.
_SUCCESSOR_S = 1.0
# Targets that a report names although no request waits for a permit to use them.
_MAX_PASSED_OVER = 8
# Grants that are kept to tell duplicates, of more than the lifetime of a permit.
_KEPT_GRANTS = 128
# Part of their shares that nodes without a coordinator use of a cold target. With whole
# shares, 360 nodes sent 15 requests in a second, the most that a target bears, as their
# shares begin at random and a new coordinator issues permits before all have its view.
_COLD_SHARE_FACTOR = 0.5


class TargetGate:
    """Targets to which one node may send requests, and its permits for some of them.

    It is guarded by the lock of the scheduler that uses it.

    Parameters
    ----------
    limits : LimitExchange
    statements : TargetStatements
        What targets have said, also about being cold.
    rng : random.Random, optional
        Differs between nodes, so that they don't use their shares at the same time.
    """

    def __init__(self, limits, statements, rng=None):
        self._limits = limits
        self._statements = statements
        self._cold = statements.cold
        # Returns the number of requests that a target may get at a time.
        self.usable_slots = statements.usable_slots
        self._rng = rng or Random()
        self._permits = NodePermits()
        # Without any view the number of nodes isn't known, so a node has no share.
        self._cold_permits = NodePermits(
            nodes=inf,
            initial_level=self._rng.random,
            share_factor=_COLD_SHARE_FACTOR,
        )
        self._waiting_of_all = {}
        self._own_waiting = {}
        self._passed_over = set()
        self._grants = deque(maxlen=_KEPT_GRANTS)

    @property
    def is_idle(self):
        """Whether no target is cold, has a limit, rests, is brittle or leaves."""
        return (
            self._limits.is_empty and self._statements.is_empty and self._cold.is_idle
        )

    @property
    def has_brittle(self):
        """Whether a target is brittle, so that it gets fewer requests at a time."""
        return self._statements.has_brittle

    def retain(self, targets):
        """Drop what is known of other targets, given as a dict by id."""
        self._statements.retain(targets)
        self._cold_permits.retain(self._cold.rates)

    def apply_view(self, now, view):
        """Record the limits of a view, and how many requests wait for permits."""
        self._permits.apply_view(now, view.nodes, view.limits is not None)
        self._cold_permits.apply_view(now, view.nodes, view.cold is not None)
        for target_id, (per_s, age_s, waiting) in (view.limits or {}).items():
            self._limits.apply_rows({target_id: (per_s, age_s)}, view.node)
            self._waiting_of_all[target_id] = waiting

    def report_rows(self, target_ids):
        """Return the limits to report: of recent answers, and of the named targets."""
        return self._limits.report_rows(target_ids)

    def add_permits(self, now, grant):
        """Add the permits of a grant, one for each name of a target, once."""
        key = (grant.fence, grant.number)
        if grant.number and key in self._grants:
            return
        self._grants.append(key)
        for target_id in grant.target_ids:
            permits, _ = self._permits_of(target_id)
            permits.add(now, [target_id])

    def record_send(self, target_id):
        """Use a permit if the target needs one; return whether it is cold."""
        permits, per_s = self._permits_of(target_id)
        if per_s is not None:
            permits.use(target_id)
        return permits is self._cold_permits

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
        Loads aren't requests, so cold targets load adapters.
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
        self._own_waiting = {}
        if not self._limits.limited and self._cold.is_idle:
            return {}
        counts = Counter()
        for job in jobs:
            usable = usable_targets(job)
            closed = sorted(t for t in usable if not self._has_permit(now, t))
            if closed:
                counts[closed[int(job.fraction * len(closed))]] += 1
        self._own_waiting = dict(counts)
        if len(passed_over) > _MAX_PASSED_OVER:
            passed_over = self._rng.sample(sorted(passed_over), _MAX_PASSED_OVER)
        for target_id in passed_over:
            counts.setdefault(target_id, 0)
        return dict(counts)

    def _permits_of(self, target_id):
        """Return the permits for a target and its limit; None if it has no limit."""
        limit, cold = self._limits.per_s(target_id), self._cold.per_s(target_id)
        if cold is None:
            return self._permits, limit
        return self._cold_permits, cold if limit is None else min(cold, limit)

    def _has_permit(self, now, target_id):
        """Return whether a target has no limit, or there is a permit for it."""
        permits, per_s = self._permits_of(target_id)
        return per_s is None or permits.count(now, target_id, per_s) > 0

    def _target_wait_s(self, now, target_id):
        """Return the wait for one target in seconds, or None if it is open."""
        rest_s = self._statements.remaining_s(now, target_id)
        permits, per_s = self._permits_of(target_id)
        if per_s is None:
            return rest_s or None
        waiting = self._waiting_of_all.get(target_id, 0)
        if permits is not self._cold_permits:
            return max(rest_s, permits.wait_s(now, target_id, per_s, waiting))
        waiting = max(waiting, self._own_waiting.get(target_id, 0))
        wait_s = permits.wait_s(now, target_id, per_s, waiting)
        if self._limits.per_s(target_id) is None:
            wait_s = min(wait_s, self._cold.remaining_s(target_id))
        return max(rest_s, wait_s)
