"""Streams of one node that move because their targets are slow."""

from hibiscusspar.fleet.leaving_targets import Leave
from hibiscusspar.fleet.stream_relief import StreamRelief
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.load_events import RELIEF_BEGUN, RELIEF_ENDED

__all__ = ["ReliefWatch"]

# Time in seconds after the last move at which the relief of a target has ended, so that
# a factor near the limit doesn't cause many log lines.
_ENDED_AFTER_S = 2.0


class ReliefWatch:
    """Choice of the streams of one node, from the factors that views tell.

    Its caller guards it with a lock.

    Parameters
    ----------
    told_speeds : callable
        Returns the factors that views tell, by target.
    load : callable
        Returns the running requests and queued prompt tokens of a target, of all nodes.
    has_retry_room : callable
        Returns whether the retry budget of a service has room.
    policy : ReliefPolicy, optional
    """

    def __init__(self, told_speeds, load, has_retry_room, policy=None):
        self._told_speeds = told_speeds
        self._load = load
        self._has_retry_room = has_retry_room
        self._relief = StreamRelief(policy)
        # Times of the first and last choice and number of chosen streams, by target.
        self._relieved = {}

    def select(self, now, targets, runs, usual):
        """Choose the streams to move; set what their moves need.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
        runs : list of StreamRun
        usual : callable
            Returns the usual number of events of a route.

        Returns
        -------
        list of StreamRun
            The most valuable ones first.
        """
        self._relief.record(now, targets, self._told_speeds())
        rows = [
            run.relief_row(now, usual(run.admitted.route.name))
            for run in runs
            if not run.state.was_relieved and self._may_leave(run)
        ]
        chosen = self._relief.select(now, rows, lambda name: self._load(name)[0])
        for row in chosen:
            run, name = row.key, row.target_id
            reason = "slow" if self._relief.is_slow(name) else "late"
            run.leave = Leave(now, float("inf"), reason)
            run.unsuitable = frozenset(self._relief.unsuitable(name))
        return [row.key for row in chosen]

    def record_move(self, now, run):
        """Record that a chosen stream is being moved."""
        target_id = run.placement.target.target_id
        self._relief.record_move(now, target_id)
        if target_id not in self._relieved:
            fields = {
                "target": target_id,
                "factor": round(self._relief.factor(target_id), 3),
                "lasting": round(self._relief.lasting_factor(target_id), 3),
                "running": self._load(target_id)[0],
                "reason": run.leave.reason,
            }
            write_records([(RELIEF_BEGUN, fields)])
        begun, _, count = self._relieved.get(target_id, (now, now, 0))
        self._relieved[target_id] = (begun, now, count + 1)

    def expire(self, now):
        """Record the targets whose relief has ended."""
        for target_id, (begun, last, count) in [*self._relieved.items()]:
            if now < last + _ENDED_AFTER_S or self._relief.is_slow(target_id):
                continue
            del self._relieved[target_id]
            fields = {
                "target": target_id,
                "factor": round(self._relief.factor(target_id), 3),
                "chosen": count,
                "seconds": round(now - begun, 3),
            }
            write_records([(RELIEF_ENDED, fields)])

    def _may_leave(self, run):
        """Return whether a stream may leave a target at which it could go on.

        One that could be sent again, but has no attempt left or no room in the budget,
        would be cut off if its destination failed.
        """
        route = run.admitted.route
        if not route.idempotent:
            return True
        has_attempts = run.state.attempts < route.max_attempts
        return has_attempts and self._has_retry_room(run.admitted.service)
