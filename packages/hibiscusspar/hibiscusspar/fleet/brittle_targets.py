"""Targets that fail if they have to turn away too many requests in a second.

Such a target says so in all its answers. Nodes keep some of its slots free, because
their counts of its running requests are late, and after it has turned one request away
for want of room all nodes leave it alone for a moment.
"""

from typing import NamedTuple

__all__ = ["BrittlePolicy", "BrittleTable"]


class BrittlePolicy(NamedTuple):
    """Settings for brittle targets; times in seconds.

    ``slot_share`` is the share of its slots that nodes fill. A target counts as brittle
    for ``known_s`` after its last answer that says so. A target that was full gets no
    requests for ``pause_s``.
    """

    slot_share: float = 0.75
    known_s: float = 10.0
    pause_s: float = 0.5


class _Row(NamedTuple):
    born: int
    known_until: float
    full_until: float


class BrittleTable:
    """Brittle targets that one node knows.

    Parameters
    ----------
    policy : BrittlePolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or BrittlePolicy()
        self._rows = {}

    @property
    def is_empty(self):
        """Whether no target is known to be brittle."""
        return not self._rows

    def record(self, now, target, is_brittle):
        """Record whether an answer of a target says that it is brittle."""
        if not is_brittle:
            self._rows.pop(target.target_id, None)
            return
        full_until = self.full_until(target.target_id)
        known_until = now + self._policy.known_s
        self._rows[target.target_id] = _Row(target.born, known_until, full_until)

    def record_full(self, now, target):
        """Record that a brittle target turned a request away for want of room."""
        full_until = now + self._policy.pause_s
        known_until = now + self._policy.known_s
        self._rows[target.target_id] = _Row(target.born, known_until, full_until)

    def full_until(self, target_id):
        """Return the time until which a target gets no requests."""
        row = self._rows.get(target_id)
        return float("-inf") if row is None else row.full_until

    def full(self, now):
        """Return the targets that get no requests now."""
        return {t for t, row in self._rows.items() if now < row.full_until}

    def usable_slots(self, target_id, slots, queue_slots):
        """Return the number of requests that a target may get at a time.

        Parameters
        ----------
        target_id : str
        slots : int
        queue_slots : int
            Requests beyond its slots that a target which isn't brittle may queue.
        """
        if target_id not in self._rows:
            return slots + queue_slots
        return max(1, int(slots * self._policy.slot_share))

    def retain(self, now, targets):
        """Drop targets that are gone, have restarted or no longer say so.

        Parameters
        ----------
        now : float
        targets : dict of str to Target
        """
        self._rows = {
            target_id: row
            for target_id, row in self._rows.items()
            if now < row.known_until
            and target_id in targets
            and targets[target_id].born == row.born
        }
