"""Targets that leave, and the time that each of them certainly has.

A target that leaves ends what it runs for a while and is removed then. A node learns of
it from the directory, from an evacuation of its zone or from an answer of the target.
"""

from typing import NamedTuple

__all__ = ["Leave", "LeavingTargets"]

# Time in seconds that a leaving target has at least, unless it is told otherwise.
_CERTAIN_S = 1.0
# Time in seconds for which a target that has left is kept; no stream lasts that long.
_KEPT_S = 60.0
# Targets of which a view tells how long they run.
_MAX_RELAYED = 64


class Leave(NamedTuple):
    """Leave of a target: when this node learned of it, and until when it surely runs.

    ``reason`` is ``"draining"``, ``"evacuated"``, ``"gone"`` or ``"said"``.
    """

    since: float
    certain_until: float
    reason: str


class LeavingTargets:
    """Table of the targets that leave, as far as one node knows.

    Parameters
    ----------
    ordinary_s : float
        Time in seconds that a draining target has if its entry doesn't tell.
    """

    def __init__(self, ordinary_s):
        self._ordinary_s = ordinary_s
        self._rows = {}
        self._known = frozenset()
        # Start of the incarnation of the targets that said that they leave.
        self._said = {}
        # Start of the incarnation of the targets whose entries tell how long they run.
        self._timed = {}

    def __contains__(self, target_id):
        return target_id in self._rows

    def find(self, target_id):
        """Return the leave of a target, or None if it stays."""
        return self._rows.get(target_id)

    def remaining(self, now):
        """Return incarnation and seconds left of the targets whose entries tell them.

        At most 64 rows, those with the least time left, as a view must stay small.
        """
        rows = sorted(
            (max(0.0, self._rows[target_id].certain_until - now), target_id, born)
            for target_id, born in self._timed.items()
        )
        return {
            target_id: (born, round(left_s, 3))
            for left_s, target_id, born in rows[:_MAX_RELAYED]
        }

    def record_statement(self, now, target):
        """Record that a target said that it leaves; return whether that is new."""
        self._said[target.target_id] = target.born
        if target.target_id in self._rows:
            return False
        self._rows[target.target_id] = Leave(now, now + _CERTAIN_S, "said")
        return True

    def record_directory(self, now, targets, evacuated):
        """Compare the table with the directory; return whether a new target leaves.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
        evacuated : set of str
            Evacuated zones.
        """
        self._said = {
            target_id: born
            for target_id, born in self._said.items()
            if target_id not in targets or targets[target_id].born == born
        }
        before, self._rows = self._rows, {}
        for target in targets.values():
            leave = self._leave(now, target, evacuated, before.get(target.target_id))
            if leave is not None:
                self._rows[target.target_id] = leave
        for target_id in (self._known | before.keys()) - targets.keys():
            gone = Leave(now, now + _CERTAIN_S, "gone")
            leave = before.get(target_id, gone)
            if now < leave.since + _KEPT_S:
                self._rows[target_id] = leave
            else:
                self._said.pop(target_id, None)
        self._known = frozenset(targets)
        self._timed = {
            target.target_id: target.born
            for target in targets.values()
            if target.draining and target.remaining_s is not None
        }
        return not self._rows.keys() <= before.keys()

    def _leave(self, now, target, evacuated, before):
        if target.remaining_s is not None and target.draining:
            # The entry may be told again with less time left.
            since = before.since if before else now
            until = now + target.remaining_s
            if before is not None and before.reason == "draining":
                until = min(until, before.certain_until)
            return Leave(since, until, "draining")
        if before is not None:
            is_leaving = target.draining or target.zone in evacuated
            return before if is_leaving or target.target_id in self._said else None
        if target.zone in evacuated:
            return Leave(now, now + _CERTAIN_S, "evacuated")
        if target.draining:
            return Leave(now, now + self._ordinary_s, "draining")
        return None
