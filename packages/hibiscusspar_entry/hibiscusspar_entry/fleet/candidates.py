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
    now,
    targets,
    own_loads,
    loads_of_others,
    prompt_queues,
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
    now : float
    targets : iterable of Target
    own_loads, loads_of_others : dict of str to TargetLoad
        Loads from this node and from the other ones.
    prompt_queues : PromptQueues
    idle_targets : container of (str, str)
        Ids and addresses of the targets to which the node has idle connections.
    usable_slots : callable
        Returns the number of requests that a target may get at a time.
    queue_slots : int
        Requests beyond its slots that may queue at a target.
    factor : callable or None
        Returns the factor of a target on the usual times; None if all have factor 1.
    """
    backlog_s = prompt_queues.backlog_s
    candidates = []
    for target in targets:
        target_id = target.target_id
        own, others = own_loads.get(target_id), loads_of_others.get(target_id)
        running, queued = 0, 0
        if own is not None or others is not None:
            running, queued = current_load(own, others, None)
        candidates.append(
            Candidate(
                target_id,
                target.zone,
                usable_slots(target, queue_slots),
                running,
                queued,
                backlog_s(now, target_id),
                (target_id, target.address) in idle_targets,
                1.0 if factor is None else factor(target_id),
            )
        )
    return candidates
