"""Exponentially decaying request counts by adapter."""

from math import exp

__all__ = ["AdapterDemand"]

# Time constant of the decay: demand moves to other adapters within some seconds.
_FADE_S = 8.0
# Number of rows beyond which those with a count up to ``_FADED`` are dropped.
_MOST_ROWS = 20_000
_FADED = 0.02


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
                self._rows[key] = (self.of(now, key) + count, now)
        if len(self._rows) > _MOST_ROWS:
            kept = {k: row for k, row in self._rows.items() if self.of(now, k) > _FADED}
            self._rows = kept

    def of(self, now, key):
        """Return the decayed number of requests for an adapter."""
        count, at = self._rows.get(key, (0.0, now))
        return count * exp(-max(0.0, now - at) / _FADE_S)

    def rates(self, now, least):
        """Return requests per second by adapter, of those with at least ``least``."""
        # A stored count can only have decayed since, so a low one needs no update.
        high = [key for key, row in self._rows.items() if row[0] >= least * _FADE_S]
        found = {key: self.of(now, key) / _FADE_S for key in high}
        return {key: rate for key, rate in found.items() if rate >= least}
