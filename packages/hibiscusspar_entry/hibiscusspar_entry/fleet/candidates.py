"""Targets with their loads, from which a decision chooses one."""

from hibiscusspar.fleet.load_counts import current_load
from hibiscusspar.fleet.routing import Candidate

__all__ = ["EVERY_TARGET", "make_candidates"]


class _EveryTarget:
    """Set that contains all targets."""

    def __contains__(self, target):
        return True


EVERY_TARGET = _EveryTarget()


def make_candidates(
    targets,
    own_loads,
    loads_of_others,
    backlogs,
    idle_targets,
    usable_slots,
    queue_slots,
    factor,
):
    """Return the candidates of a decision, all of one service.

    A decision about a request without an adapter looks at all targets of the service,
    so what is the same for all of them is looked up once.

    Parameters
    ----------
    targets : iterable of Target
    own_loads, loads_of_others : dict of str to TargetLoad
        Loads from this node and from the other ones.
    backlogs : dict of str to float
        Seconds until targets have processed the prompts sent to them; 0 for others.
    idle_targets : container of (str, str)
        Ids and addresses of the targets to which the node has idle connections.
    usable_slots : callable or None
        Returns the number of requests that a target may get at a time; None if that is
        the sum of its slots and ``queue_slots`` for all.
    queue_slots : int
        Requests beyond its slots that may queue at a target.
    factor : callable or None
        Returns the factor of a target on the usual times; None if all have factor 1.
    """
    candidates = []
    for target in targets:
        target_id = target.target_id
        own, others = own_loads.get(target_id), loads_of_others.get(target_id)
        running, queued = 0, 0
        if own is not None or others is not None:
            running, queued = current_load(own, others, None)
        slots = target.slots + queue_slots
        if usable_slots is not None:
            slots = usable_slots(target, queue_slots)
        candidates.append(
            Candidate(
                target_id,
                target.zone,
                slots,
                running,
                queued,
                backlogs.get(target_id, 0.0),
                (target_id, target.address) in idle_targets,
                1.0 if factor is None else factor(target_id),
            )
        )
    return candidates
