"""Number of requests at the targets of plain services, as one node knows it.

Calls last some tenths of a second, less than a view of a large fleet takes. So a node
counts the sends that notices announce, lets them end at the mean time of a call, and
corrects the number by each view.
"""

from collections import deque
from math import exp

__all__ = ["CallCounts"]

# Part of a difference between a view and the count of that time that is corrected:
# reports of a view are of different times.
_CORRECTED_SHARE = 0.5
# Time in seconds without notices after which the count of the last view is used.
_NOTICES_STALE_S = 2.0
# Number of past counts that are kept by target.
_KEPT_COUNTS = 256


class _Count:
    """Requests of other nodes at one target."""

    def __init__(self):
        self.others = 0.0
        self.at = 0.0
        self.noticed_at = None
        self.past = deque(maxlen=_KEPT_COUNTS)

    def advance(self, now, own, slots, mean_s):
        elapsed_s = now - self.at
        self.at = max(now, self.at)
        if self.others > 0.0 and elapsed_s > 0.0:
            self.others *= _left(elapsed_s, own + self.others, slots, mean_s)


def _left(elapsed_s, total, slots, mean_s):
    """Return the part of the requests of a target that are still there."""
    return exp(-elapsed_s / mean_s * min(1.0, slots / max(1.0, total)))


class CallCounts:
    """Requests of all nodes at the targets of plain services."""

    def __init__(self):
        self._counts = {}

    def retain(self, targets):
        """Drop the counts of other targets, given as a dict by id."""
        self._counts = {t: row for t, row in self._counts.items() if t in targets}

    def record_notice(self, now, target_id, own, slots, mean_s):
        """Record that another node has sent a request to a target.

        Parameters
        ----------
        now : float
        target_id : str
        own : int
            Requests of this node at the target.
        slots : int
        mean_s : float
            Seconds of a call without a wait.
        """
        row = self._counts.setdefault(target_id, _Count())
        row.advance(now, own, slots, mean_s)
        row.others += 1.0
        row.noticed_at = now
        row.past.append((now, row.others))

    def correct(self, now, target_id, reported, lag_s, own, slots, mean_s):
        """Correct a count by what a view told of others, which is ``lag_s`` old."""
        row = self._counts.get(target_id)
        if row is None:
            return
        row.advance(now, own, slots, mean_s)
        before, then = now - lag_s, None
        for at, others in reversed(row.past):
            if at <= before:
                elapsed_s = before - at
                then = others * _left(elapsed_s, own + others, slots, mean_s)
                break
        if then is None:
            return
        left = _left(lag_s, own + max(reported, then), slots, mean_s)
        change = _CORRECTED_SHARE * (reported - then) * left
        row.others = max(0.0, row.others + change)
        row.past.append((now, row.others))

    def total(self, now, target_id, own, reported, slots, mean_s):
        """Return the number of requests at a target.

        Parameters
        ----------
        now : float
        target_id : str
        own, reported : int
            Requests of this node now, and of others in the last view.
        slots : int
        mean_s : float
        """
        row = self._counts.get(target_id)
        if row is None or now > row.noticed_at + _NOTICES_STALE_S:
            return own + reported
        row.advance(now, own, slots, mean_s)
        return own + row.others
