"""Load of a target from a view, and from what the node has sent since."""

from hibiscusspar.fleet.messages import TargetLoad

__all__ = ["current_load", "loads_of_others"]


def current_load(own, reported, acked):
    """Return the running requests and queued prompt tokens of a target.

    Parameters
    ----------
    own : TargetLoad or None
        Load from this node now.
    reported : TargetLoad or None
        Load from all nodes in the last view.
    acked : TargetLoad or None
        Share of this node in ``reported``.
    """
    if reported is None:
        return (own.running, own.queued_prompt_tokens) if own else (0, 0)
    running, queued = reported.running, reported.queued_prompt_tokens
    if acked is not None:
        running -= acked.running
        queued -= acked.queued_prompt_tokens
    running = running if running > 0 else 0
    queued = queued if queued > 0 else 0
    if own is None:
        return running, queued
    return running + own.running, queued + own.queued_prompt_tokens


def loads_of_others(reported, acked):
    """Return the loads from other nodes by target.

    A view is the base of many decisions, so the share of this node is subtracted once.

    Parameters
    ----------
    reported : dict of str to TargetLoad
        Loads from all nodes in the last view.
    acked : dict of str to TargetLoad
        Share of this node in ``reported``.
    """
    others = dict(reported)
    for target_id in acked.keys() & reported.keys():
        load = current_load(None, reported[target_id], acked[target_id])
        others[target_id] = TargetLoad(*load)
    return others
