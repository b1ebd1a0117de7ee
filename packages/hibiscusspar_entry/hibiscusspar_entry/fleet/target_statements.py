"""What targets say about themselves in their answers, beside the answers."""

import threading
from typing import NamedTuple

from hibiscusspar.fleet.brittle_targets import BrittleTable
from hibiscusspar.fleet.target_rests import RestTable
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.answer_checks import tells_limit
from hibiscusspar_entry.fleet.cold_exchange import ColdExchange
from hibiscusspar_entry.fleet.events import TARGET_RESTS, TARGET_SAYS_IT_LEAVES

__all__ = ["AnswerOrigin", "TargetStatements"]

# Status of a target that has no room.
_FULL = 503
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
    cold : ColdExchange, optional
        Cold targets, of which all nodes know together.
    """

    def __init__(self, clock, limits, cold=None):
        self.cold = cold or ColdExchange(clock)
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._rests = RestTable()
        self._brittle = BrittleTable()
        # Start of the incarnation by target.
        self._leaving = {}
        # Called with the id of a brittle target that turned a request away.
        self.on_full = lambda target_id: None
        # Called with a target that says that it leaves.
        self.on_leaving = lambda target: None

    @property
    def is_empty(self):
        """Whether no target rests, is brittle or has said that it leaves."""
        return self._rests.is_empty and self._brittle.is_empty and not self._leaving

    @property
    def has_brittle(self):
        """Whether a target is known to be brittle."""
        return not self._brittle.is_empty

    @property
    def resting_count(self):
        """Number of targets that have asked this node for rest."""
        with self._lock:
            return len(self._rests.resting(self._clock()))

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
        if answer.cold is not None:
            self.cold.record_answer(target, answer.cold, origin.sent_at)
        if answer.leaving:
            self._record_leaving(target)
        self._record_brittle(target, answer, status)
        if origin.is_own and answer.rest_s is not None:
            self._record_rest(target, answer.rest_s)

    def closed(self, now):
        """Return the ids of the targets that want no requests of this node now."""
        with self._lock:
            waiting = self._rests.resting(now) | self._brittle.full(now)
            return waiting | self._leaving.keys()

    def leaving(self):
        """Return the ids of the targets that have said that they leave."""
        with self._lock:
            return set(self._leaving)

    def remaining_s(self, now, target_id):
        """Return the seconds for which a target rests or stays full, or 0."""
        with self._lock:
            full_s = self._brittle.full_until(target_id) - now
            return max(full_s, self._rests.remaining_s(now, target_id))

    def usable_slots(self, target, queue_slots):
        """Return the number of requests that a target may get at a time."""
        if self._brittle.is_empty:
            return target.slots + queue_slots
        with self._lock:
            return self._brittle.usable_slots(
                target.target_id, target.slots, queue_slots
            )

    def record_full(self, target):
        """Record that a brittle target turned a request of another node away."""
        with self._lock:
            self._brittle.record_full(self._clock(), target)

    def is_closed(self, target, permitted=False):
        """Return whether a target wants no requests of this node now.

        A cold target takes those that have a permit for it, which ``permitted`` tells.
        """
        if not permitted and self.cold.is_cold(target.target_id):
            return True
        return target.target_id in self.closed(self._clock())

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
                self._brittle.retain(self._clock(), targets)
                self._leaving = {
                    target_id: born
                    for target_id, born in self._leaving.items()
                    if target_id in targets and targets[target_id].born == born
                }

    def _record_leaving(self, target):
        with self._lock:
            is_known = self._leaving.get(target.target_id) == target.born
            self._leaving[target.target_id] = target.born
        if not is_known:
            fields = {"target": target.target_id, "born": target.born}
            write_records([(TARGET_SAYS_IT_LEAVES, fields)])
            self.on_leaving(target)

    def _record_brittle(self, target, answer, status):
        is_full = answer.brittle and answer.not_run and status == _FULL
        with self._lock:
            if answer.brittle or not self._brittle.is_empty:
                self._brittle.record(self._clock(), target, answer.brittle)
            if is_full:
                self._brittle.record_full(self._clock(), target)
        if is_full:
            self.on_full(target.target_id)

    def _record_rest(self, target, rest_s):
        with self._lock:
            begins = self._rests.record(self._clock(), target, rest_s)
        if begins:
            fields = {"target": target.target_id, "rest_s": rest_s}
            write_records([(TARGET_RESTS, fields)])
