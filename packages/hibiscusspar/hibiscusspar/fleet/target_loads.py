"""Load of a target as one node counts it, and the wait that it causes."""

from hibiscusspar.fleet.messages import TargetLoad
from hibiscusspar.fleet.routing import (
    Candidate,
    ChoicePolicy,
    first_byte_s,
    running_limit,
)

__all__ = ["joint_load", "wait_s"]

# Assumed time in seconds until a target with no free slot has one.
_FULL_TARGET_WAIT_S = 1.0
_CHOICE_POLICY = ChoicePolicy()
_NO_LOAD = TargetLoad(0, 0)


def joint_load(own, reported, own_reported):
    """Return the running requests and queued prompt tokens of all nodes at a target.

    Parameters
    ----------
    own : TargetLoad or None
        Current requests of this node.
    reported : TargetLoad or None
        Requests of all nodes as counted in the last view.
    own_reported : TargetLoad or None
        Requests of this node among them.
    """
    own, own_reported = own or _NO_LOAD, own_reported or _NO_LOAD
    running, queued = own.running, own.queued_prompt_tokens
    if reported is not None:
        running += max(0, reported.running - own_reported.running)
        queued += max(
            0, reported.queued_prompt_tokens - own_reported.queued_prompt_tokens
        )
    return running, max(0, queued)


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
