"""Calls of plain services at one node: what it knows of the targets, and decisions."""

from math import inf

from hibiscusspar.fleet.call_choice import CallTarget, decide_call
from hibiscusspar.fleet.call_counts import CallCounts
from hibiscusspar.fleet.call_times import CallTimes
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.waiting import Wait, decide

__all__ = ["PlainCalls"]

# Sent calls whose number of requests ahead is kept until they are answered.
_KEPT_SENT = 4096
# Age of a view, in seconds, beyond which calls are decided on by counts alone.
_VIEW_STALE_S = 15.0
# Requests by which the known queue of a target grows in a second, so that a target is
# tried again that turned a request away because its count was too low.
_LIMIT_GROWTH_S = 1.0
# Average age of the counts in a view when it arrives, in intervals of reports.
_REPORT_AGE = 0.5
# Sends are announced where views come more rarely than every _RARE_VIEWS_S, and while a
# service is busy: from an average load of _BUSY_SHARE of its slots until _BUSY_S later.
# Each notice costs every other node 0.09 ms, and counts of views suffice otherwise.
_RARE_VIEWS_S = 0.3
_BUSY_SHARE = 0.8
_BUSY_S = 1.0
# Weight of the last view in the average load.
_LOAD_WEIGHT = 0.3
# Share of failures above which metrics count a target.
_FAILING_SHARE = 0.1
# Time in seconds for which estimates are kept.
_ESTIMATES_S = 0.05


class PlainCalls:
    """Times, counts and waiting calls of the plain services of one node."""

    def __init__(self):
        self._times = CallTimes()
        self._counts = CallCounts()
        self._services = frozenset()
        self._targets = {}
        self._by_service = {}
        self._others = {}
        self._ahead = {}
        self._limits = {}
        self._waiting = {}
        # Average load by service, and the time until which its sends are announced.
        self._loads = {}
        self._busy_until = {}
        self._view_at = None
        self._nodes = 1
        # Times by service, kept for the decisions of one moment.
        self._known = {}
        # Calls decided on by the times of targets, and those refused.
        self.decided = 0
        self.refused = 0

    @property
    def failing_count(self):
        """Number of targets whose known share of failures is above 0.1."""
        known = [times for _, times in list(self._known.values())]
        rows = [row for times in known for row in times.values()]
        return sum(row.failure_share > _FAILING_SHARE for row in rows)

    def configure(self, services):
        """Set the names of the plain services whose calls are decided on by times."""
        self._services = frozenset(services)
        self.set_targets(self._targets)

    def applies_to(self, service):
        """Return whether the times of calls matter for a service."""
        return service in self._services

    def set_targets(self, targets):
        """Replace the directory of targets, given as a dict by id."""
        self._targets = targets
        self._by_service, self._known = {}, {}
        for target in targets.values():
            if target.service in self._services:
                self._by_service.setdefault(target.service, []).append(target)
        self._times.retain(targets)
        self._counts.retain(targets)
        self._limits = {
            t: row
            for t, row in self._limits.items()
            if t in targets and targets[t].born == row[0]
        }

    def apply_view(self, now, rows, others, nodes):
        """Apply a view.

        Parameters
        ----------
        now : float
        rows : dict
            Its ``call_times``.
        others : dict of str to TargetLoad
            Loads from other nodes by target.
        nodes : int
        """
        self._view_at, self._others, self._nodes = now, others, nodes
        self._times.apply_view(now, rows)
        lag_s = _REPORT_AGE * exchange_interval_s(nodes)
        for service, targets in self._by_service.items():
            times = self._estimates(now, service)
            self._record_load(now, service, targets)
            for target in targets if times else ():
                target_id = target.target_id
                mean_s = times[target_id].mean_s
                reported = self._reported(target_id)
                self._counts.correct(
                    now, target_id, reported, lag_s, 0, target.slots, mean_s
                )

    def apply_send(self, now, target_id):
        """Record that another node has sent a call to a target."""
        target = self._targets.get(target_id)
        if target is None or target.service not in self._services:
            return
        times = self._estimates(now, target.service)
        if times:
            mean_s = times[target_id].mean_s
            self._counts.record_notice(now, target_id, 0, target.slots, mean_s)

    def decide(self, now, job, candidates, zone):
        """Decide about a request; as ``hibiscusspar.fleet.waiting.decide``."""
        times = {}
        if job.service in self._services:
            times = self._estimates(now, job.service)
        if not candidates or not all(row.target_id in times for row in candidates):
            decision = decide(now, job, candidates, zone)
            rows = candidates
        else:
            rows = [self._call_target(now, row, times) for row in candidates]
            decision = self._decide_call(now, job, rows, zone)
        if job.service in self._services and hasattr(decision, "target_id"):
            ahead = next(r for r in rows if r.target_id == decision.target_id)
            ahead = getattr(ahead, "ahead", getattr(ahead, "running", 0))
            self._ahead[job.request_id] = ahead
            if len(self._ahead) > _KEPT_SENT:
                del self._ahead[next(iter(self._ahead))]
        return decision

    def announces(self, now, service):
        """Return whether other nodes are told at once of sends to a service."""
        if service not in self._services:
            return False
        is_rare = exchange_interval_s(self._nodes) > _RARE_VIEWS_S
        return is_rare or now < self._busy_until.get(service, 0.0)

    def _record_load(self, now, service, targets):
        """Record the load of a service that a view has told."""
        slots = sum(target.slots for target in targets)
        running = sum(self._reported(target.target_id) for target in targets)
        load = self._loads.get(service, 0.0)
        load += _LOAD_WEIGHT * (running / max(1, slots) - load)
        self._loads[service] = load
        if load >= _BUSY_SHARE:
            self._busy_until[service] = now + _BUSY_S

    def record_answer(self, now, target, request_id, seconds, is_failure):
        """Record an answer of a target of a plain service, or a broken one."""
        ahead = self._ahead.pop(request_id, 0)
        if target.service in self._services:
            known = self._estimates(now, target.service).get(target.target_id)
            known_s = known.mean_s if known else inf
            self._times.record(now, target, seconds, ahead, is_failure, known_s)

    def record_full(self, now, target, request_id):
        """Record that a target has turned a call away for want of room."""
        ahead = self._ahead.pop(request_id, None)
        if ahead is not None and target.service in self._services:
            limit = max(target.slots, min(ahead, self._limit(now, target.target_id)))
            self._limits[target.target_id] = (target.born, limit, now)

    def report_rows(self, now):
        """Return the ``call_times`` of a report."""
        return self._times.report_rows(now)

    def _estimates(self, now, service):
        """Return the times of the targets of a service; empty if none are known."""
        if self._view_at is not None and now > self._view_at + _VIEW_STALE_S:
            return {}
        known_at, times = self._known.get(service, (-1.0, {}))
        # Estimates change slowly against the calls of a node.
        if now > known_at + _ESTIMATES_S or now < known_at:
            times = self._times.estimates(now, self._by_service.get(service, ()))
            self._known[service] = (now, times)
        return times

    def _reported(self, target_id):
        load = self._others.get(target_id)
        return 0 if load is None else load.running

    def _limit(self, now, target_id):
        row = self._limits.get(target_id)
        if row is None:
            return inf
        return row[1] + _LIMIT_GROWTH_S * (now - row[2])

    def _call_target(self, now, candidate, times):
        target = self._targets[candidate.target_id]
        time = times[candidate.target_id]
        reported = self._reported(candidate.target_id)
        own = max(0, candidate.running - reported)
        ahead = self._counts.total(
            now, candidate.target_id, own, reported, target.slots, time.mean_s
        )
        limit = self._limit(now, candidate.target_id)
        # A brittle target has fewer usable slots than it names.
        if candidate.slots < target.slots:
            limit = min(limit, candidate.slots)
        return CallTarget(
            candidate.target_id,
            candidate.zone,
            target.slots,
            ahead,
            limit,
            *time,
        )

    def _decide_call(self, now, job, rows, zone):
        self._waiting = {t: at for t, at in self._waiting.items() if at >= now}
        others = len(self._waiting.keys() - {job.request_id})
        # Other nodes see the same targets, so as many of their calls may wait.
        backlog = (others + 1) * self._nodes - 1
        decision = decide_call(now, job, rows, zone, backlog, others > 0)
        if isinstance(decision, Wait):
            self._waiting[job.request_id] = job.give_up_at
            return decision
        self._waiting.pop(job.request_id, None)
        self.decided += 1
        self.refused += not hasattr(decision, "target_id")
        return decision
