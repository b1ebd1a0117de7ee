"""Waiting requests of one node, joined by the adapter that they need."""

from typing import NamedTuple

from hibiscusspar.fleet.waiting import Job

__all__ = ["WaitingGroup", "waiting_groups"]


class WaitingGroup(NamedTuple):
    """Requests that need the same adapter, with the first of them."""

    job: Job
    count: int
    tokens: int
    priority: int


def waiting_groups(jobs):
    """Return the groups of the jobs that need an adapter.

    Jobs that continue streams of different software are apart, as other targets can
    run them.
    """
    groups = {}
    for job in jobs:
        if job.key[1]:
            group = (job.service, job.key, job.software)
            groups.setdefault(group, []).append(job)
    return [
        WaitingGroup(
            rows[0],
            len(rows),
            sum(job.prompt_tokens for job in rows),
            min(job.priority for job in rows),
        )
        for rows in groups.values()
    ]
