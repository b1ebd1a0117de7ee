"""Load of a target from a view, and from what the node has sent since."""

__all__ = ["current_load"]


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
    running, queued = (own.running, own.queued_prompt_tokens) if own else (0, 0)
    if reported is None:
        return running, queued
    others, tokens = reported.running, reported.queued_prompt_tokens
    if acked is not None:
        others -= acked.running
        tokens -= acked.queued_prompt_tokens
    return running + max(0, others), queued + max(0, tokens)
