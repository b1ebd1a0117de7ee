"""Decision of a node about a call of a plain service: send, wait or refuse.

The times of calls differ between services by orders of magnitude, so they are measured
(see ``hibiscusspar.fleet.call_times``). A target gets as many calls as it can answer
within their latency objective.
"""

from math import inf
from typing import NamedTuple

from hibiscusspar.fleet.waiting import Refuse, Send, Wait

__all__ = ["CallChoicePolicy", "CallTarget", "decide_call", "expected_s"]

_GOLDEN_RATIO = 0.618


class CallChoicePolicy(NamedTuple):
    """Settings of the decision; times in seconds.

    ``slo_share`` is the part of the time left until the objective or the deadline that
    the expected time may take. A target gets at most ``max_slots`` times its slots. One
    whose share of failures is above ``failure_share`` and ``failure_ratio`` times the
    median of its service counts as slower in proportion (to at least
    ``usual_failures``), except for ``trial_share`` of the calls, which show whether it
    has recovered. ``retry_s`` is the shortest retry delay,
    ``retry_spread_s`` the jitter added to it. ``other_zone_s`` is the time that a
    target in another zone must save, a round trip between zones.
    """

    slo_share: float = 0.85
    max_slots: int = 3
    failure_share: float = 0.1
    failure_ratio: float = 2.0
    usual_failures: float = 0.05
    trial_share: float = 0.05
    retry_s: float = 0.3
    retry_spread_s: float = 0.7
    other_zone_s: float = 0.002


class CallTarget(NamedTuple):
    """A target that could answer a call.

    ``ahead`` is the number of requests that it has, ``limit`` the number at which it is
    known to turn requests away. ``mean_s`` is the time of a call without a wait.
    """

    target_id: str
    zone: str
    slots: int
    ahead: float
    limit: float
    mean_s: float
    failure_share: float = 0.0


def expected_s(target):
    """Return the expected seconds of a further call at a target."""
    return target.mean_s * (1.0 + target.ahead / target.slots)


def decide_call(now, job, targets, zone, backlog=0, others_wait=False, policy=None):
    """Decide about a call.

    Parameters
    ----------
    now : float
    job : Job
    targets : list of CallTarget
    zone : str
        Zone of the node.
    backlog : int, optional
        Calls of all nodes that are expected to wait before this one.
    others_wait : bool, optional
        Whether calls of this node wait that could be in time.
    policy : CallChoicePolicy, optional

    Returns
    -------
    Send, Wait or Refuse
    """
    policy = policy or CallChoicePolicy()
    left_s = job.arrived + job.first_byte_slo_s - now
    in_time_s = policy.slo_share * left_s
    deadline_s = policy.slo_share * (job.ends_at - now)
    open_targets = [row for row in targets if row.ahead + 1 <= _most(policy, row)]
    in_time = [row for row in open_targets if expected_s(row) <= in_time_s]
    # Without a wait at the target the call delays no other.
    free = [
        row
        for row in targets
        if row.ahead + 1 <= row.slots and row.mean_s <= deadline_s
    ]
    late = []
    if not others_wait:
        # The queue of a target stays short enough for calls that can be in time.
        fresh_s = min(deadline_s, policy.slo_share * job.first_byte_slo_s)
        late = [row for row in open_targets if expected_s(row) <= fresh_s]
    for suitable in (in_time, free, late):
        if suitable:
            best = _best(policy, suitable, targets, zone, job.fraction)
            return Send(best.target_id, expected_s(best))
    if any(_can_wait(policy, now, job, row, targets, backlog) for row in targets):
        return Wait("busy")
    room_in_s = _room_in_s(policy, job, targets, backlog)
    spread_s = policy.retry_spread_s * job.fraction
    return Refuse("busy", max(policy.retry_s, room_in_s) + spread_s)


def _can_wait(policy, now, job, target, targets, backlog):
    """Return whether a call will be in time once a target's queue has room for it.

    Where the queue is too long for the call, calls that come later take what it leaves.
    """
    most = max(target.slots, _most(policy, target))
    room_s = max(0.0, target.ahead + 1.0 - most) * target.mean_s / target.slots
    room_s += backlog / _calls_per_s(targets)
    left_s = job.arrived + job.first_byte_slo_s - now - room_s
    answer_s = target.mean_s * (1.0 + (min(target.ahead, most - 1.0)) / target.slots)
    return answer_s <= policy.slo_share * left_s and now + room_s <= job.give_up_at


def _most(policy, target):
    """Return the number of requests that a target may have at a time."""
    return min(target.limit, target.slots * policy.max_slots)


def _best(policy, suitable, targets, zone, fraction):
    """Return the target without a wait, or with the least expected time.

    Ties are broken by the fraction, so that nodes don't all choose the first one.
    """
    shares = sorted(row.failure_share for row in targets)
    usual = shares[(len(shares) - 1) // 2]
    is_trial = fraction < policy.trial_share

    def rank(indexed):
        index, row = indexed
        cost_s = expected_s(row)
        is_failing = row.failure_share > max(
            policy.failure_share, policy.failure_ratio * usual
        )
        is_avoided = is_failing and not is_trial
        if is_avoided:
            cost_s *= row.failure_share / max(usual, policy.usual_failures)
        cost_s += 0.0 if row.zone == zone else policy.other_zone_s
        tie_break = (fraction + index * _GOLDEN_RATIO) % 1.0
        # A short wait at another target is better than a likely failure.
        return (is_avoided or row.ahead + 1 > row.slots, cost_s, tie_break)

    return min(enumerate(suitable), key=rank)[1]


def _room_in_s(policy, job, targets, backlog):
    """Return when a target is expected to be able to answer one more call in time."""
    if not targets:
        return inf
    waits = []
    for row in targets:
        usable_s = policy.slo_share * job.first_byte_slo_s
        most = min(_most(policy, row), (usable_s / row.mean_s - 1.0) * row.slots + 1.0)
        excess = max(0.0, row.ahead + 1.0 - max(row.slots, most))
        waits.append(excess * row.mean_s / row.slots)
    return min(waits) + backlog / _calls_per_s(targets)


def _calls_per_s(targets):
    return sum(row.slots / row.mean_s for row in targets)
