"""Exponentially decayed use counts of recently used labels."""

from math import exp, log

__all__ = ["HALF_LIFE_S", "DemandTable"]

HALF_LIFE_S = 60.0
REMOVE_BELOW = 0.05


class DemandTable:
    """Exponentially decayed counts by label.

    Counts are stored on a scale that grows with time, so decay needs no work per
    tick and only the counts of labels in use are written.

    Parameters
    ----------
    half_life_s : float
        Time in seconds in which a count halves.
    max_rows : int
        Number of rows above which the lowest counts are removed, a quarter of
        ``max_rows`` at a time.
    """

    def __init__(self, half_life_s, max_rows):
        self._rate = log(2) / half_life_s
        self._max_rows = max_rows
        self._counts = {}
        self._start = None

    def __len__(self):
        return len(self._counts)

    def add(self, now, label, count):
        """Count ``count`` uses at time ``now``."""
        scaled = count * self._scale(now)
        self._counts[label] = self._counts.get(label, 0.0) + scaled
        if len(self._counts) > self._max_rows:
            self._shrink(now)

    def value(self, now, label):
        """Return the decayed count of a label."""
        return self._counts.get(label, 0.0) / self._scale(now)

    def _scale(self, now):
        if self._start is None:
            self._start = now
        exponent = (now - self._start) * self._rate
        if exponent > 60.0:
            self._rebase(now)
            exponent = 0.0
        return exp(exponent)

    def _rebase(self, now):
        scale = exp(-(now - self._start) * self._rate)
        scaled = {label: c * scale for label, c in self._counts.items()}
        self._counts = {label: c for label, c in scaled.items() if c > REMOVE_BELOW}
        self._start = now

    def _shrink(self, now):
        least = sorted(self._counts, key=self._counts.get)
        for label in least[: self._max_rows // 4]:
            del self._counts[label]
