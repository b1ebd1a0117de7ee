"""Wait for a target that its load causes."""

from hibiscusspar.fleet.routing import (
    Candidate,
    ChoicePolicy,
    first_byte_s,
    running_limit,
)

__all__ = ["wait_s"]

# Assumed time in seconds until a target with no free slot has one.
_FULL_TARGET_WAIT_S = 1.0
_CHOICE_POLICY = ChoicePolicy()


def wait_s(load, slots, factor=1.0):
    """Return the seconds until a new request at a target would be served.

    Parameters
    ----------
    load : TargetLoad
        Requests of all nodes.
    slots : int or None
        Slots of the target, None if they aren't known.
    factor : float, optional
        Factor of the target on the usual times.
    """
    row = Candidate("", "", 0, load.running, load.queued_prompt_tokens, factor=factor)
    seconds = first_byte_s(_CHOICE_POLICY, row, 0)
    if slots is None:
        return seconds
    is_full = load.running >= running_limit(_CHOICE_POLICY, row._replace(slots=slots))
    return seconds + _FULL_TARGET_WAIT_S if is_full else seconds
