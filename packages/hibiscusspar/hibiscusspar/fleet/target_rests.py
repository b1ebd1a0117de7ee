"""Rests that targets have asked this node for.

A target that turns a request away may ask the node that sent it for some seconds
without requests. The rest is for that node alone, and ends with the incarnation of the
target.
"""

from typing import NamedTuple

__all__ = ["RestTable"]


class _Rest(NamedTuple):
    """Incarnation of a target and the end of its rest."""

    born: int
    ends_at: float


class RestTable:
    """End of the rest of each target that has asked for one."""

    def __init__(self):
        self._rows = {}

    @property
    def is_empty(self):
        """Whether no target rests, or did since the table was last tidied."""
        return not self._rows

    def record(self, now, target, rest_s):
        """Record that a target asks for rest; a later answer may only lengthen it.

        Returns
        -------
        bool
            Whether the target did not rest before.
        """
        ends_at = now + rest_s
        known = self._rows.get(target.target_id)
        if known is not None and known.born == target.born:
            self._rows[target.target_id] = known._replace(
                ends_at=max(known.ends_at, ends_at)
            )
            return known.ends_at <= now
        self._rows[target.target_id] = _Rest(target.born, ends_at)
        return True

    def remaining_s(self, now, target_id):
        """Return the seconds for which a target still rests, or 0."""
        row = self._rows.get(target_id)
        return 0.0 if row is None else max(0.0, row.ends_at - now)

    def resting(self, now):
        """Return the targets that rest now."""
        return {t for t, row in self._rows.items() if now < row.ends_at}

    def retain(self, now, targets):
        """Drop rests that have ended, and those of other incarnations.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
        """
        self._rows = {
            target_id: row
            for target_id, row in self._rows.items()
            if now < row.ends_at
            and target_id in targets
            and targets[target_id].born == row.born
        }
