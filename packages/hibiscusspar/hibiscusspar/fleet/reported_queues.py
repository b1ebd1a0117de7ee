"""Prompt queues that a view shows at targets."""

from hibiscusspar.fleet.load_counts import current_load
from hibiscusspar.fleet.routing import reported_backlog_s
from hibiscusspar.fleet.target_speeds import SpeedPolicy

__all__ = ["reported_backlogs"]

_MAX_FACTOR = SpeedPolicy().max_factor


def reported_backlogs(policy, others, own, known, factor):
    """Return the backlogs of targets as far as they may raise the known ones.

    A view tells the loads of all targets that run requests. Most of them have short
    queues, which show no backlog, and got no prompt that this node knows of.

    Parameters
    ----------
    policy : ChoicePolicy
    others, own : dict of str to TargetLoad
        Loads from other nodes and from this one.
    known : collection of str
        Targets whose backlog is known, also if it is over.
    factor : callable
        Returns the factor of a target on the usual times, None for an unknown target.

    Returns
    -------
    list of tuple of (str, float)
        Targets and seconds.
    """
    min_tokens = policy.count_lag_s * policy.prompt_tokens_s / _MAX_FACTOR
    backlogs = []
    for target_id, load in others.items():
        queued = load.queued_prompt_tokens
        if queued < min_tokens and target_id not in known and target_id not in own:
            continue
        _, queued = current_load(own.get(target_id), load, None)
        usual_factor = factor(target_id)
        # Without queued prompts a report raises no backlog.
        if queued > 0 and usual_factor is not None:
            queued_s = reported_backlog_s(policy, queued, usual_factor)
            backlogs.append((target_id, queued_s))
    return backlogs
