"""Changes of the idle limit of callers' connections, and the check of kept ones."""

from random import Random
from time import monotonic
from typing import NamedTuple

__all__ = ["KEPT_SHARE", "NOTICE_S", "IdleLimits", "PublishedLimit", "idle_check"]

_LIMITS_S = (0.6, 1.0, 2.0, 4.0)
# Part of the limit that they know for which callers keep connections.
KEPT_SHARE = 0.8
# Longest time after which callers learn of another limit.
NOTICE_S = 0.5
# Connections that became idle this long after the signal of a node don't count, as the
# node may end within the deadline of the requests that it has.
_SIGNAL_S = 6.0
# Time by which the end of a fault may follow the planned one, as faults end in steps.
_LATE_END_S = 1.3


class PublishedLimit(NamedTuple):
    """Idle limit that a configuration names from a time on."""

    seconds: float
    at: float
    is_raised: bool


class IdleLimits:
    """Generator of configurations with other idle limits.

    Parameters
    ----------
    plan : FaultPlan
    seed : int
    """

    def __init__(self, plan, seed):
        self._plan = plan
        self._rng = Random(f"idle/{seed}")
        self._published = [PublishedLimit(plan.idle_limit_s, 0.0, False)]
        self.log = []

    def known(self, at):
        """Return the newest limit that was published by a time."""
        return next(limit for limit in reversed(self._published) if limit.at <= at)

    def step(self, now):
        """Change the limit at times; ``now`` is the time for the log."""
        rng, plan = self._rng, self._plan
        if rng.random() < 0.6:
            return
        seconds = rng.choice([s for s in _LIMITS_S if s != plan.idle_limit_s])
        is_raised = seconds > plan.idle_limit_s
        plan.idle_limit_s = seconds
        if is_raised:
            # Callers rely on a longer limit only once it is acknowledged.
            plan.publish()
        self._published.append(PublishedLimit(seconds, monotonic(), is_raised))
        if not is_raised:
            plan.publish()
        self.log.append(f"{now:.1f} idle limit of {seconds} s")


def idle_check(outcomes, plan, started_at, node_of):
    """Return violations and the numbers of requests on kept connections.

    The numbers are those of all, those judged, and those judged on connections that
    were idle for a quarter of the limit or longer.

    A request on a kept connection gets the head of an answer if the connection was idle
    for four fifths of the limit that its caller knew when it became idle. It counts
    unless its node was signalled (SIGHUP excepted), or may not know a longer limit as
    its store was disturbed.

    Parameters
    ----------
    outcomes : list of Outcome
    plan : FaultPlan
    started_at : float
        Monotonic time to which the times of the outcomes refer.
    node_of : callable
        Returns the number of the node that a request was sent to.
    """
    violations, kept_count, judged_count, long_count = [], 0, 0, 0
    for outcome in outcomes:
        if outcome.idle_limit is None:
            continue
        kept_count += 1
        node = node_of(outcome.request_id)
        if _is_excused(plan, outcome, started_at, node):
            continue
        judged_count += 1
        long_count += outcome.idle_s > 0.25 * outcome.idle_limit.seconds
        if not outcome.has_head:
            violations.append(f"{outcome}: no answer on a kept connection")
    return violations, kept_count, judged_count, long_count


def _is_excused(plan, outcome, started_at, node):
    """Return whether the connection may have ended for another reason."""
    limit, idle_s = outcome.idle_limit, outcome.idle_s
    if idle_s > KEPT_SHARE * limit.seconds:
        return True
    idle_since = started_at + outcome.sent_at - idle_s
    ended_at = started_at + outcome.ended_at
    was_signalled = any(
        number == node and idle_since - _SIGNAL_S < at < ended_at
        for number, at in plan.stops
    )
    may_not_know = limit.is_raised and any(
        fault.node in (None, node)
        and fault.begins_at < ended_at
        and fault.ends_at + _LATE_END_S > limit.at
        for fault in plan.disturbances
    )
    return was_signalled or may_not_know
