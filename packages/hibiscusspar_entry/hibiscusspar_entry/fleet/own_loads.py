"""Requests that one node runs, by target and adapter."""

from collections import Counter

from hibiscusspar.fleet.messages import TargetLoad, adapter_label

__all__ = ["OwnLoads"]


class OwnLoads:
    """Running requests of a node and their prompt tokens not yet processed."""

    def __init__(self):
        self._loads = {}
        self._in_use = {}
        self._started_counts = {}

    @property
    def running(self):
        """Number of running requests."""
        return sum(load.running for load in self._loads.values())

    def get(self, target_id):
        """Return the load of a target, None if it never had any."""
        return self._loads.get(target_id)

    def add(self, target_id, key, tokens):
        """Add a request with a model and adapter, empty strings if it names none."""
        load = self._load(target_id)
        load.running += 1
        load.queued_prompt_tokens += tokens
        if key[0]:
            self._in_use.setdefault(target_id, Counter())[key] += 1
            self._started_counts.setdefault(target_id, Counter())[key] += 1

    def record_first_byte(self, target_id, tokens):
        """Record that a target has processed the prompt of a request."""
        self._load(target_id).queued_prompt_tokens -= tokens

    def remove(self, target_id, key):
        """Remove a request that has ended."""
        self._load(target_id).running -= 1
        in_use = self._in_use.get(target_id)
        if in_use is not None:
            in_use[key] -= 1
            if in_use[key] <= 0:
                del in_use[key]
                del self._started_counts[target_id][key]

    def loads(self):
        """Return the loads for a report, by target."""
        return {
            target_id: TargetLoad(load.running, load.queued_prompt_tokens)
            for target_id, load in self._loads.items()
            if load.running or load.queued_prompt_tokens
        }

    def in_use(self):
        """Return the numbers of started requests for a report, by target and label."""
        return {
            target_id: {adapter_label(key): n for key, n in keys.items()}
            for target_id, keys in self._started_counts.items()
            if keys
        }

    def _load(self, target_id):
        return self._loads.setdefault(target_id, TargetLoad(0, 0))
