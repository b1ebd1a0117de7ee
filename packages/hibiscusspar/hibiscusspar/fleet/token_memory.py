"""Memory of engines in tokens, beside the number of their slots.

An engine keeps the prompt and the output of each running request in its key-value
cache. The number of requests that all nodes run at a target is known, so the mean size
of the requests of its service tells how many more fit.
"""

from typing import NamedTuple

from hibiscusspar.fleet.waiting import Refuse, Send, decide

__all__ = ["MemoryPolicy", "TokenMemory"]

# Memory for so many times the usual limit of running requests is never full: that limit
# is divided by the factor of a target, which is 0.25 at least.
_LARGE_MEMORY = 4
_MAX_ROUTES = 1024


class MemoryPolicy(NamedTuple):
    """Settings of the memory.

    Means are over about ``mean_count`` requests. Until ``min_outputs`` answers of a
    route are known, its requests are expected to have all the output that they allow.
    A request that is larger than any target's memory is told to return after
    ``retry_s`` seconds, as only another configuration could help.
    """

    mean_count: int = 50
    min_outputs: int = 10
    retry_s: float = 5.0


class TokenMemory:
    """Sizes of the requests of one node, and how many of them a target may run.

    Parameters
    ----------
    policy : MemoryPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or MemoryPolicy()
        self._capacities = {}
        self._sizes = {}
        self._outputs = {}

    def configure(self, ruleset):
        """Set the memory of the engines of each service, 0 if it isn't known."""
        engines = {s.name: s.engine for s in ruleset.services.values() if s.engine}
        self._capacities = {
            service: engine.kv_tokens
            for service, engine in engines.items()
            if engine.kv_tokens > 0
        }
        self._sizes = {s: row for s, row in self._sizes.items() if s in engines}

    def record_output(self, route, tokens):
        """Record the output of a request of a route that was answered whole."""
        if len(self._outputs) >= _MAX_ROUTES and route not in self._outputs:
            # Routes of earlier configurations; those in use are learned again.
            self._outputs.clear()
        self._add(self._outputs, route, tokens)

    def record_send(self, job):
        """Record the size of a request that is sent."""
        if job.service in self._capacities and job.prompt_tokens:
            self._add(self._sizes, job.service, self._size(job, job.max_output_tokens))

    def refusal(self, job):
        """Return the refusal of a request that fits no target of its service, or None.

        Outputs often end long before the most that a request allows, so only the mean
        counts, and none while it isn't known.
        """
        capacity = self._capacities.get(job.service)
        if capacity is None or self._size(job, 0) <= capacity:
            return None
        return Refuse("larger than a target's memory", self._policy.retry_s)

    def max_running(self, job):
        """Return at how many running requests a target has no room for a job, or None.

        None if the memory of targets of its service isn't known or the job has no size.
        """
        capacity = self._capacities.get(job.service)
        if capacity is None or not job.prompt_tokens:
            return None
        size = self._size(job, job.max_output_tokens)
        _, mean = self._sizes.get(job.service, (0, size))
        return 1 + max(0, int((capacity - size) / max(1.0, mean)))

    def decide(self, now, job, candidates, zone, choice):
        """Decide about a job; targets without room get it only if no other one does.

        Parameters
        ----------
        now : float
        job : Job
        candidates : list of Candidate
        zone : str
        choice : ChoicePolicy

        Returns
        -------
        Send, Wait or Refuse
        """
        refusal = self.refusal(job)
        if refusal is not None:
            return refusal
        most = self.max_running(job)
        if most is not None and most < _LARGE_MEMORY * choice.max_running:
            rows = [row for row in candidates if row.running < most]
            if 0 < len(rows) < len(candidates):
                decision = decide(now, job, rows, zone, choice)
                if isinstance(decision, Send):
                    return decision
        return decide(now, job, candidates, zone, choice)

    def _size(self, job, unknown_output):
        """Return the expected size of a job in tokens."""
        count, mean = self._outputs.get(job.route, (0, 0.0))
        if count < self._policy.min_outputs:
            return job.prompt_tokens + unknown_output
        return job.prompt_tokens + min(job.max_output_tokens, mean)

    def _add(self, table, name, value):
        count, mean = table.get(name, (0, 0.0))
        count = min(count + 1, self._policy.mean_count)
        table[name] = (count, mean + (value - mean) / count)
