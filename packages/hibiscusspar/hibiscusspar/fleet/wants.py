"""Requests of a node that wait for adapters, as its reports tell."""

from hibiscusspar.fleet.messages import Want

__all__ = ["group_wants"]


def group_wants(jobs, zone, has_candidates, excluded_targets):
    """Return the wants of waiting jobs, one for each adapter and software.

    Parameters
    ----------
    jobs : iterable of Job
    zone : str
        Zone of the node.
    has_candidates : callable
        Returns whether a target can run a job.
    excluded_targets : callable
        Returns the targets at which no adapter should be loaded for a job.

    Returns
    -------
    list of Want
    """
    groups = {}
    for job in jobs:
        if job.key[1]:
            group = (job.service, job.key, job.software)
            groups.setdefault(group, []).append(job)
    return [
        Want(
            service,
            model,
            adapter,
            len(group),
            sum(job.prompt_tokens for job in group),
            min(job.priority for job in group),
            has_candidates(group[0]),
            excluded_targets(group[0]),
            zone,
        )
        for (service, (model, adapter), _), group in groups.items()
    ]
