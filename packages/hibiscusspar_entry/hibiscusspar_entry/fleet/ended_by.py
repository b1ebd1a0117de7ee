"""Decisions that end a request without an answer of a target."""

from enum import Enum

__all__ = ["EndedBy", "end_of_attempts"]


class EndedBy(Enum):
    """Who or what ended a request that got no complete answer of a target."""

    TARGET = "target"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    QUARANTINE = "quarantine"
    SOFTWARE = "software"
    KEY = "key"
    PLACEMENT = "placement"
    CALLER = "caller"
    INTERNAL = "internal"


def end_of_attempts(admitted, state, now, can_continue):
    """Return why a request that failed at a target can't be sent again.

    Parameters
    ----------
    admitted : Admitted
    state : RequestState
    now : float
    can_continue : bool
        Whether a target of the stream's software remains.

    Returns
    -------
    EndedBy
    """
    route = admitted.route
    if now >= admitted.ends_at:
        return EndedBy.DEADLINE
    if not route.idempotent:
        return EndedBy.TARGET
    if state.answer_begun and not (route.resumable and can_continue):
        return EndedBy.SOFTWARE if route.resumable else EndedBy.TARGET
    return EndedBy.ATTEMPTS
