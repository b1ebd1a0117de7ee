"""Wait for a target that its load causes."""

from hibiscusspar.fleet.routing import (
    Candidate,
    ChoicePolicy,
    first_byte_s,
    running_limit,
)

__all__ = ["target_waits", "wait_s"]

# Assumed time in seconds until a target with no free slot has one.
_FULL_TARGET_WAIT_S = 1.0
_CHOICE_POLICY = ChoicePolicy()


def wait_s(load, slots, factor=1.0, policy=_CHOICE_POLICY):
    """Return the seconds until a new request at a target would be served.

    Parameters
    ----------
    load : TargetLoad
        Requests of all nodes.
    slots : int or None
        Slots of the target, None if they aren't known.
    factor : float, optional
        Factor of the target on the usual times.
    policy : ChoicePolicy, optional
        Policy of the service of the target.
    """
    row = Candidate("", "", 0, load.running, load.queued_prompt_tokens, factor=factor)
    seconds = first_byte_s(policy, row, 0)
    if slots is None:
        return seconds
    is_full = load.running >= running_limit(policy, row._replace(slots=slots))
    return seconds + _FULL_TARGET_WAIT_S if is_full else seconds


def target_waits(loads, targets, factor, policy):
    """Return the waits for all targets that have a load.

    Parameters
    ----------
    loads : dict of str to TargetLoad
    targets : dict of str to Target
    factor, policy : callable
        Return the factor of a target and the policy of a service.

    Returns
    -------
    dict of str to float
    """
    waits = {}
    for target_id, load in loads.items():
        target = targets.get(target_id)
        slots = target.slots if target is not None else None
        service = target.service if target is not None else ""
        waits[target_id] = wait_s(load, slots, factor(target_id), policy(service))
    return waits
