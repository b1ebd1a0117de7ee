"""Exponentially decaying request counts by adapter."""

from math import exp

__all__ = ["AdapterDemand"]

# Time constant of the decay: demand moves to other adapters within some seconds.
_DECAY_S = 8.0
# Number of rows beyond which those with a count up to ``_MIN_COUNT`` are dropped.
_MAX_ROWS = 20_000
_MIN_COUNT = 0.02


class AdapterDemand:
    """Exponentially decaying count of the requests that started for each adapter.

    A few adapters are requested several times a second, most others once in minutes,
    and which ones are popular changes within seconds. The decay lets the count follow.
    """

    def __init__(self):
        self._rows = {}

    def record_starts(self, now, counts):
        """Add the numbers of started requests by adapter."""
        for key, count in counts.items():
            if count:
                self._rows[key] = (self.request_count(now, key) + count, now)
        if len(self._rows) > _MAX_ROWS:
            kept = {
                k: row
                for k, row in self._rows.items()
                if self.request_count(now, k) > _MIN_COUNT
            }
            self._rows = kept

    def request_count(self, now, key):
        """Return the decayed number of requests for an adapter."""
        row = self._rows.get(key)
        if row is None:
            return 0.0
        count, at = row
        return count * exp(-max(0.0, now - at) / _DECAY_S)

    def request_counts(self, now, keys):
        """Return ``request_count`` for those of some adapters that have any count."""
        rows = self._rows
        found = [(key, rows[key]) for key in keys if key in rows]
        return {
            key: count * exp(-max(0.0, now - at) / _DECAY_S)
            for key, (count, at) in found
        }

    def rates(self, now, min_rate):
        """Return the requests per second of adapters with at least ``min_rate``."""
        # A stored count can only have decayed since, so a low one needs no update.
        high = [key for key, row in self._rows.items() if row[0] >= min_rate * _DECAY_S]
        found = {key: self.request_count(now, key) / _DECAY_S for key in high}
        return {key: rate for key, rate in found.items() if rate >= min_rate}
