"""Refused plain calls of one node, by which it knows callers who return as told.

Callers of plain calls choose their own deadlines, so the time that is left doesn't tell
how long ago a call was sent first. A digest of its content is the same each time.
"""

__all__ = ["RefusedCalls"]

_MAX_ROWS = 4096
# Time in seconds for which a refusal is kept.
_KEPT_S = 5.0
# Time in seconds by which a caller may return early, as announced times are rounded to
# a hundredth of a second.
_EARLY_S = 0.01


class RefusedCalls:
    """Latest refusals with the times at which the callers were told to return.

    One row is kept by digest, as attempts of one call and equal calls of several
    callers look the same. So at most one return is recognised for each refusal.
    """

    def __init__(self):
        self._rows = {}

    def __len__(self):
        """Return the number of refusals kept."""
        return len(self._rows)

    def record(self, now, digest, return_at):
        """Record that a caller was told to return at a time."""
        self._rows.pop(digest, None)
        self._rows[digest] = (now, return_at)
        # Rows are in the order of their times.
        while len(self._rows) > _MAX_ROWS or self._first_at() < now - _KEPT_S:
            del self._rows[next(iter(self._rows))]

    def take(self, now, digest):
        """Return the seconds since a call was refused if its caller returns as told.

        Returns
        -------
        float or None
            None if it wasn't refused lately, or if it comes before the announced time:
            it may then be an equal call of another caller. The refusal is forgotten
            when the caller has returned.
        """
        refused_at, return_at = self._rows.get(digest, (0.0, now))
        if digest not in self._rows or now < return_at - _EARLY_S:
            return None
        del self._rows[digest]
        return now - refused_at if now <= refused_at + _KEPT_S else None

    def _first_at(self):
        return next(iter(self._rows.values()))[0]
