"""Limits that targets name in their answers, as requests a second of all nodes."""

from typing import NamedTuple

__all__ = ["LimitTable", "NamedLimit"]

# Time in seconds for which the end of a limit is kept, to tell other nodes of it.
_END_KEPT_S = 10.0
# Time in seconds after which a limit that no answer has named again may have ended.
_CONFIRMED_S = 3.0


class NamedLimit(NamedTuple):
    """Last statement of a target: requests a second, None for no limit, and its time.

    The time of a limit is that of the answer. The end of a limit counts from when its
    request was sent, because the answer may have been made before the limit was named.
    """

    per_s: float | None
    at: float


class LimitTable:
    """Last known statement of each target about its limit."""

    def __init__(self):
        self._rows = {}

    @property
    def rows(self):
        """Statements by target: limits, and ends of limits some seconds ago."""
        return self._rows

    @property
    def limited(self):
        """Requests a second by target, for the targets that have a limit."""
        return {
            target_id: row.per_s
            for target_id, row in self._rows.items()
            if row.per_s is not None
        }

    def confirmed(self, now):
        """Return the targets of which a recent answer has named a limit."""
        return {
            target_id
            for target_id, row in self._rows.items()
            if row.per_s is not None and now < row.at + _CONFIRMED_S
        }

    def per_s(self, target_id):
        """Return the limit of a target in requests a second, or None."""
        row = self._rows.get(target_id)
        return None if row is None else row.per_s

    def knows(self, target_id):
        """Return whether a target has a limit, or had one some seconds ago."""
        return target_id in self._rows

    def record(self, target_id, statement):
        """Record a statement unless a later one is known.

        Parameters
        ----------
        target_id : str
        statement : NamedLimit

        Returns
        -------
        bool
            Whether the limit of the target has changed.
        """
        known = self._rows.get(target_id)
        is_limited = known is not None and known.per_s is not None
        if statement.per_s is None and not is_limited:
            return False
        if known is not None and statement.at <= known.at:
            return False
        self._rows[target_id] = statement
        return known is None or known.per_s != statement.per_s

    def retain(self, now, target_ids):
        """Drop the rows of other targets and ends of limits that are long past."""
        self._rows = {
            target_id: row
            for target_id, row in self._rows.items()
            if target_id in target_ids
            and (row.per_s is not None or now < row.at + _END_KEPT_S)
        }
