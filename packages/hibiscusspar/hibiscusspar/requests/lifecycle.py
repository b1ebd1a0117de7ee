"""State machine of the lifecycle of a request, without I/O.

A request passes through the phases of :class:`Phase` and ends with exactly one
:class:`Outcome`. The outcome is derived from the steps taken, not chosen by the
caller: it is ``NOT_RUN`` only if no attempt may have run.
"""

from enum import StrEnum
from typing import NamedTuple

from hibiscusspar.errors import StepError

__all__ = [
    "TRANSITIONS",
    "Outcome",
    "Phase",
    "RequestState",
    "Step",
    "advance",
    "initial_state",
]


class Phase(StrEnum):
    """Phases of a request, in order."""

    AUTHENTICATED = "authenticated"
    RESERVED = "reserved"
    QUEUED = "queued"
    GRANTED = "granted"
    SENT = "sent"
    FIRST_BYTE = "first byte"
    DONE = "done"


class Outcome(StrEnum):
    """Outcome of a request: answered, certainly not run, or unknown."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """Transition of a request from one phase to another.

    ``DISCLAIM`` ends an attempt that certainly did not run: nothing was sent to the
    target, or the target said so. ``LOSE`` ends an attempt that may have run.
    ``RESUME`` continues a stream on a new connection.
    """

    RESERVE = "reserve"
    ENQUEUE = "enqueue"
    GRANT = "grant"
    SEND = "send"
    DISCLAIM = "disclaim"
    LOSE = "lose"
    BEGIN_ANSWER = "begin answer"
    RESUME = "resume"
    COMPLETE = "complete"
    GIVE_UP = "give up"


TRANSITIONS = {
    (Phase.AUTHENTICATED, Step.RESERVE): Phase.RESERVED,
    (Phase.RESERVED, Step.ENQUEUE): Phase.QUEUED,
    (Phase.QUEUED, Step.GRANT): Phase.GRANTED,
    (Phase.GRANTED, Step.SEND): Phase.SENT,
    (Phase.GRANTED, Step.DISCLAIM): Phase.QUEUED,
    (Phase.SENT, Step.DISCLAIM): Phase.QUEUED,
    (Phase.SENT, Step.LOSE): Phase.QUEUED,
    (Phase.SENT, Step.BEGIN_ANSWER): Phase.FIRST_BYTE,
    (Phase.FIRST_BYTE, Step.LOSE): Phase.QUEUED,
    (Phase.FIRST_BYTE, Step.RESUME): Phase.FIRST_BYTE,
    (Phase.FIRST_BYTE, Step.COMPLETE): Phase.DONE,
    (Phase.AUTHENTICATED, Step.GIVE_UP): Phase.DONE,
    (Phase.RESERVED, Step.GIVE_UP): Phase.DONE,
    (Phase.QUEUED, Step.GIVE_UP): Phase.DONE,
    (Phase.GRANTED, Step.GIVE_UP): Phase.DONE,
    (Phase.SENT, Step.GIVE_UP): Phase.DONE,
    (Phase.FIRST_BYTE, Step.GIVE_UP): Phase.DONE,
}

_MAY_HAVE_RUN = frozenset({(Phase.SENT, Step.LOSE), (Phase.SENT, Step.GIVE_UP)})


class RequestState(NamedTuple):
    """State of one request; ``outcome`` and ``tokens`` are set when it is done.

    ``reserved`` is the number of tokens reserved for it, ``tokens`` the number that
    is settled. ``attempts`` counts how often it was sent.
    """

    request_id: str
    idempotent: bool
    phase: Phase = Phase.AUTHENTICATED
    reserved: int = 0
    attempts: int = 0
    may_have_run: bool = False
    outcome: Outcome | None = None
    tokens: int = 0


def initial_state(request_id, idempotent):
    """Return the initial state of a request, whose key has just been accepted."""
    return RequestState(request_id, idempotent)


def advance(state, step, tokens=0):
    """Return the state of a request after one step.

    Parameters
    ----------
    state : RequestState
    step : Step
    tokens : int
        Reserved tokens for ``RESERVE``; tokens known to be used by the target for
        ``COMPLETE`` and ``GIVE_UP``.

    Returns
    -------
    RequestState

    Raises
    ------
    StepError
        If the step is illegal in the phase, or would send a request that is not
        idempotent after an attempt that may have run.
    """
    phase = TRANSITIONS.get((state.phase, step))
    if phase is None:
        reason = f"illegal in phase {state.phase.value!r}"
        raise StepError(f"request.{step.value}", state.request_id, reason)
    if step is Step.SEND:
        return _after_send(state)
    if step is Step.RESERVE:
        return state._replace(phase=phase, reserved=tokens)
    may_have_run = state.may_have_run or (state.phase, step) in _MAY_HAVE_RUN
    may_have_run = may_have_run or step is Step.BEGIN_ANSWER
    state = state._replace(phase=phase, may_have_run=may_have_run)
    if phase is Phase.DONE:
        return _after_end(state, step, tokens)
    return state


def _after_send(state):
    if state.may_have_run and not state.idempotent:
        reason = "an earlier attempt may have run and the request is not idempotent"
        raise StepError("request.send", state.request_id, reason)
    return state._replace(phase=Phase.SENT, attempts=state.attempts + 1)


def _after_end(state, step, tokens):
    if step is Step.COMPLETE:
        return state._replace(outcome=Outcome.ANSWERED, tokens=tokens)
    if not state.may_have_run:
        return state._replace(outcome=Outcome.NOT_RUN, tokens=0)
    return state._replace(outcome=Outcome.UNKNOWN, tokens=tokens or state.reserved)
