"""How often each adapter is asked for, as a count that fades."""

from math import exp

__all__ = ["AdapterDemand"]

# Time constant of the count: demand moves to other adapters within some seconds.
_FADE_S = 8.0
# Rows beyond which faded ones are dropped, and the count at which one is.
_MOST_ROWS = 20_000
_FADED = 0.02


class AdapterDemand:
    """Requests that began with each adapter, the older the less.

    Load pattern: a few adapters are asked for several times a second, most others
    once in minutes, and which ones changes within seconds.
    """

    def __init__(self):
        self._rows = {}

    def record_starts(self, now, counts):
        """Count requests that began, by adapter."""
        for key, count in counts.items():
            if count:
                self._rows[key] = (self.of(now, key) + count, now)
        if len(self._rows) > _MOST_ROWS:
            kept = {k: row for k, row in self._rows.items() if self.of(now, k) > _FADED}
            self._rows = kept

    def of(self, now, key):
        """Return the faded number of requests for an adapter."""
        count, at = self._rows.get(key, (0.0, now))
        return count * exp(-max(0.0, now - at) / _FADE_S)

    def rates(self, now, least):
        """Return the requests a second by adapter, of those with ``least`` or more."""
        # A count only fades until requests are added, so most rows need no look.
        high = [key for key, row in self._rows.items() if row[0] >= least * _FADE_S]
        found = {key: self.of(now, key) / _FADE_S for key in high}
        return {key: rate for key, rate in found.items() if rate >= least}
