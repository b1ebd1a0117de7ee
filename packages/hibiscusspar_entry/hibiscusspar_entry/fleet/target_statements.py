"""What targets say about themselves in their answers, beside the answers."""

import threading
from typing import NamedTuple

from hibiscusspar.fleet.target_rests import RestTable
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.answer_checks import tells_limit
from hibiscusspar_entry.fleet.events import TARGET_RESTS

__all__ = ["AnswerOrigin", "TargetStatements"]

# Status of an answer that another target than the one that was meant may have given.
_MISDIRECTED = 421


class AnswerOrigin(NamedTuple):
    """Target that answered, the time of the request, and who had sent it.

    ``is_own`` is whether this node sent it over its own links. A rest is for the node
    that the target answered.
    """

    target: Target
    sent_at: float
    is_own: bool = True


class TargetStatements:
    """Statements of targets to this node.

    Parameters
    ----------
    clock : callable
    limits : LimitExchange
        Limits, which hold for all nodes together.
    """

    def __init__(self, clock, limits):
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._rests = RestTable()

    @property
    def is_empty(self):
        """Whether no target rests."""
        return self._rests.is_empty

    @property
    def resting_count(self):
        """Number of targets that have asked this node for rest."""
        return len(self.resting(self._clock()))

    def record(self, origin, answer, status, request_id):
        """Record what the head of an answer says about its target.

        Parameters
        ----------
        origin : AnswerOrigin
        answer : AnswerHead
        status : int
        request_id : str
            Request that was sent.
        """
        target = origin.target
        if tells_limit(request_id, answer, status):
            self._limits.record_answer(
                target.target_id, answer.limit_per_s, origin.sent_at
            )
        if status == _MISDIRECTED:
            return
        if origin.is_own and answer.rest_s is not None:
            self._record_rest(target, answer.rest_s)

    def resting(self, now):
        """Return the ids of the targets that rest now."""
        with self._lock:
            return self._rests.resting(now)

    def remaining_s(self, now, target_id):
        """Return the seconds for which a target still rests, or 0."""
        with self._lock:
            return self._rests.remaining_s(now, target_id)

    def is_closed(self, target):
        """Return whether a target wants no requests of this node now."""
        return self.remaining_s(self._clock(), target.target_id) > 0

    def retain(self, targets):
        """Drop what other targets, or other incarnations, have said.

        Parameters
        ----------
        targets : dict of str to Target
        """
        self._limits.retain(targets)
        if not self.is_empty:
            with self._lock:
                self._rests.retain(self._clock(), targets)

    def _record_rest(self, target, rest_s):
        with self._lock:
            begins = self._rests.record(self._clock(), target, rest_s)
        if begins:
            fields = {"target": target.target_id, "rest_s": rest_s}
            write_records([(TARGET_RESTS, fields)])
