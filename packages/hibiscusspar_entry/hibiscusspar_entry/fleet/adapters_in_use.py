"""Models and adapters that the requests of one node use at targets."""

from collections import Counter

from hibiscusspar.fleet.messages import adapter_label

__all__ = ["AdaptersInUse"]


class AdaptersInUse:
    """Running requests by target and adapter, and those since it came into use."""

    def __init__(self):
        self._running = {}
        self._started = {}

    def add(self, target_id, key):
        """Record that a request was sent to a target."""
        self._running.setdefault(target_id, Counter())[key] += 1
        self._started.setdefault(target_id, Counter())[key] += 1

    def remove(self, target_id, key):
        """Record that a request at a target has ended."""
        running = self._running.get(target_id)
        if running is not None:
            running[key] -= 1
            if running[key] <= 0:
                del running[key]
                del self._started[target_id][key]

    def rows(self):
        """Return the requests by target and adapter since each came into use."""
        return {
            target_id: {adapter_label(key): n for key, n in keys.items()}
            for target_id, keys in self._started.items()
            if keys
        }
