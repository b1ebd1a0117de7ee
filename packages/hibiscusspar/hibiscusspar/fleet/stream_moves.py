"""Choice of the streams of leaving targets that move, and the states of one move.

A move stops the run of a stream at its target, the source, copies the state of the run
to another target and continues the stream there. Only the end of the source's stream
tells which event the caller has last, so nothing is sent to the destination before it.
"""

from enum import Enum
from typing import NamedTuple

__all__ = [
    "Cleanup",
    "MoveAnswer",
    "MoveOutcome",
    "MovePhase",
    "StreamMove",
    "StreamRow",
    "select_streams",
]

# Calls for a copy that are made for one move: the first one, and one for another
# destination.
_MAX_CALLS = 2
# Time in seconds since a node learned that a target leaves for which a run that was
# stopped there may go back to it.
_RETURN_S = 1.0
# Longest time in seconds of a call for a copy.
_CALL_S = 0.5


class StreamRow(NamedTuple):
    """Running stream of a leaving target.

    Priority 0 is the highest. ``work`` is the number of prompt tokens and decoding
    steps so far. ``expected_events`` is None if it isn't known, ``gap_s`` is the mean
    time between events in seconds, None before the second one. ``has_returned`` is
    whether the stream went back to its target because there was no room elsewhere.
    """

    key: object
    target_id: str
    priority: int
    work: int
    events: int
    expected_events: int | None
    gap_s: float | None
    has_returned: bool = False


def select_streams(now, rows, leaving):
    """Return the streams to move, the most valuable ones first.

    A stream that will end while its target certainly runs stays. One whose end can't be
    estimated moves. One that went back moves again only while it could go back again:
    the other targets may still be full, and the source may run longer than is certain.

    Parameters
    ----------
    now : float
    rows : iterable of StreamRow
    leaving : LeavingTargets

    Returns
    -------
    list of StreamRow
    """
    chosen = []
    for row in rows:
        leave = leaving.find(row.target_id)
        if leave is None or not _outlasts(row, leave.certain_until - now):
            continue
        if not row.has_returned or now < leave.since + _RETURN_S - _CALL_S:
            chosen.append(row)
    return sorted(chosen, key=lambda row: (row.priority, -row.work))


def _outlasts(row, certain_s):
    if row.expected_events is None or row.gap_s is None:
        return True
    remaining = row.expected_events - row.events
    # A stream that is longer than expected may have any length.
    return remaining <= 0 or remaining * row.gap_s > certain_s


class MoveOutcome(Enum):
    """Outcome of a call for a copy.

    ``COPIED``: the run has stopped and the destination holds the copy. ``KEPT``: the
    run has stopped, and only the source holds its state. ``RUNS_ON``: the call has not
    stopped it. ``UNKNOWN``: there was no answer.
    """

    COPIED = "copied"
    KEPT = "kept"
    RUNS_ON = "runs on"
    UNKNOWN = "unknown"


class MoveAnswer(NamedTuple):
    """Answer to a call for a copy; ``handle`` names the copy, empty if there is none.

    ``created`` is the number of events that the source has generated, None if unknown.
    """

    outcome: MoveOutcome
    handle: str = ""
    created: int | None = None
    reason: str = ""


class MovePhase(Enum):
    """Phase of a move.

    ``CHOOSING``: a destination must be reserved. ``CALLING``: a call for a copy is
    under way. ``STOPPED``: the run has stopped, its stream isn't closed yet.
    ``SENDING`` and ``RETURNING``: the request goes to the destination or back to the
    source, and has brought no event yet. ``ENDED``: nothing is left to do.
    """

    CHOOSING = "choosing"
    CALLING = "calling"
    STOPPED = "stopped"
    SENDING = "sending"
    RETURNING = "returning"
    ENDED = "ended"


class Cleanup(NamedTuple):
    """What must be given up: a reserved placement and the handle of a copy."""

    placement: object = None
    handle: str = ""


_NOTHING = Cleanup()
_ATTEMPT_PHASES = (MovePhase.SENDING, MovePhase.RETURNING)


class StreamMove:
    """States of one move.

    Each method records an event and returns a ``Cleanup``. The destination's placement
    belongs to the move until the phase is ``SENDING``; from then on it belongs to the
    attempt that sends the request.

    Parameters
    ----------
    leaves_since : float
        Time at which the node learned that the source leaves.

    Attributes
    ----------
    phase : MovePhase
    destination : Placement or None
    handle : str
        Handle of the copy to use.
    was_stopped : bool
        Whether the run was stopped at the source.
    """

    def __init__(self, leaves_since):
        self.phase = MovePhase.CHOOSING
        self.destination = None
        self.handle = ""
        self.was_stopped = False
        self._leaves_since = leaves_since
        self._calls = 0
        self._is_closed = False
        # Whether the source alone holds the state that the handle names.
        self._is_kept = False

    @property
    def is_copying(self):
        """Whether the move counts among those that go on at a time."""
        return self.phase not in (*_ATTEMPT_PHASES, MovePhase.ENDED)

    @property
    def is_attempting(self):
        """Whether the request was handed over to an attempt at a target."""
        return self.phase in _ATTEMPT_PHASES

    def chosen(self, placement):
        """Record that a destination is reserved; the call follows if not ended."""
        if self.phase is not MovePhase.CHOOSING:
            return Cleanup(placement)
        self.phase = MovePhase.CALLING
        self.destination = placement
        self._calls += 1
        return _NOTHING

    def not_chosen(self, now):
        """Record that there is no destination."""
        if self.phase is not MovePhase.CHOOSING:
            return _NOTHING
        return self._return_or_end(now)

    def answered(self, now, answer):
        """Record the answer to a call, or that there was none."""
        if self.phase is not MovePhase.CALLING:
            # The stream has ended meanwhile, so the copy isn't needed.
            return Cleanup(handle=answer.handle)
        if answer.outcome is MoveOutcome.COPIED:
            self.was_stopped = True
            self.handle, self._is_kept = answer.handle, False
            self.phase = MovePhase.SENDING if self._is_closed else MovePhase.STOPPED
            return _NOTHING
        placement, self.destination = self.destination, None
        if answer.outcome is MoveOutcome.KEPT:
            self.was_stopped = True
            self.handle, self._is_kept = answer.handle, True
            self.phase = MovePhase.STOPPED
            handle = self._go_on(now).handle if self._is_closed else ""
        elif self.was_stopped:
            handle = self._return_or_end(now).handle
        else:
            self.phase, handle = MovePhase.ENDED, ""
        return Cleanup(placement, handle)

    def closed(self, now):
        """Record that the source's stream ended before its end, or was given up."""
        self._is_closed = True
        if self.phase is MovePhase.CHOOSING:
            # No call was made, so the source has failed.
            self.phase = MovePhase.ENDED
            return _NOTHING
        if self.phase is MovePhase.STOPPED:
            return self._go_on(now)
        return _NOTHING

    def refused(self, now, handle_is_used=True):
        """Record that the request certainly did not run at the target it was sent to.

        Parameters
        ----------
        now : float
        handle_is_used : bool
            Whether the request arrived there, after which its handle is void.
        """
        handle, self.handle = self.handle, ""
        is_return = self.phase is MovePhase.RETURNING
        self.destination, self._is_kept = None, False
        if not is_return and self._calls < _MAX_CALLS:
            # To free the copy could free what the source holds for the next one.
            self.phase = MovePhase.CHOOSING
            return _NOTHING
        self.phase = MovePhase.ENDED
        return Cleanup(handle="" if handle_is_used else handle)

    def started(self):
        """Record the first event after the move, or a failure that ends it."""
        self.phase = MovePhase.ENDED
        self.destination, self.handle = None, ""

    def finished(self):
        """Record that the request has ended, whatever the reason."""
        placement = None if self.is_attempting else self.destination
        handle = self.handle
        self.phase = MovePhase.ENDED
        self.destination, self.handle = None, ""
        return Cleanup(placement, handle)

    def _go_on(self, now):
        """Continue after the source has stopped and its stream is closed."""
        if not self._is_kept:
            self.phase = MovePhase.SENDING
            return _NOTHING
        if self._calls < _MAX_CALLS:
            self.phase = MovePhase.CHOOSING
            return _NOTHING
        return self._return_or_end(now)

    def _return_or_end(self, now):
        if self._is_kept and now < self._leaves_since + _RETURN_S:
            self.phase = MovePhase.RETURNING
            return _NOTHING
        handle, self.handle = self.handle, ""
        self.phase = MovePhase.ENDED
        return Cleanup(handle=handle)
