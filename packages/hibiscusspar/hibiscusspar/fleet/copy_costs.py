"""Cost of a copy of an adapter at a target, from the target's load and speed.

Most requests for a rare adapter go to the only target that holds it. Where targets
differ in speed, loads by backlog alone put these copies on slow targets, as fast ones
are busy, and the streams of rare adapters pause longest.
"""

from typing import NamedTuple

from hibiscusspar.fleet.target_loads import wait_s

__all__ = ["CopyCostPolicy", "copy_costs_s"]


class CopyCostPolicy(NamedTuple):
    """Settings of the costs.

    ``stream_s`` is the part of a usual stream's time at a target of usual speed that
    counts as cost: its prompt and a tenth of its further duration, as in the choice of
    a target for a request. Beyond ``max_factor`` a slow target costs no more, as a slow
    period is over long before the copy is evicted.
    """

    stream_s: float = 0.22
    max_factor: float = 3.0


def copy_costs_s(loads, targets, factors, limit_waits_s, policy=None):
    """Return the costs of a further copy by target, in seconds; 0 where not listed.

    Parameters
    ----------
    loads : dict of str to TargetLoad
        Requests of all nodes.
    targets : dict of str to Target
    factors : dict of str to float
        Factors of targets on the usual times of their service that differ from 1.
    limit_waits_s : dict of str to float
        Waits for permits at targets with a limit.
    policy : CopyCostPolicy, optional

    Returns
    -------
    dict of str to float
        Negative for idle targets that are faster than usual. With factors of 1 it is
        the backlog.
    """
    policy = policy or CopyCostPolicy()
    costs = {}
    for target_id, load in loads.items():
        target = targets.get(target_id)
        slots = target.slots if target is not None else None
        costs[target_id] = wait_s(load, slots, factors.get(target_id, 1.0))
    for target_id, limit_s in limit_waits_s.items():
        costs[target_id] = costs.get(target_id, 0.0) + limit_s
    for target_id, factor in factors.items():
        extra_s = policy.stream_s * (min(factor, policy.max_factor) - 1.0)
        costs[target_id] = costs.get(target_id, 0.0) + extra_s
    return costs
