"""When a failed attempt is repeated: rules, budget, backoff and deadline."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Cause",
    "GiveUp",
    "Retry",
    "RetryBudget",
    "RetryPolicy",
    "RULES",
    "Rule",
    "decide",
]


class Cause(StrEnum):
    """Why an attempt failed."""

    NOT_SENT = "not sent"
    DISCLAIMED = "target did not run it"
    NOT_RESIDENT = "adapter not resident"
    CLOSED = "closed before the answer"
    SILENT = "silent before the answer"
    REFUSED = "refused, effect unknown"
    MISMATCHED = "answer to another request"
    TRUNCATED = "answer not whole"
    STREAM_CLOSED = "stream closed"
    STREAM_SILENT = "stream silent"
    STREAM_MISMATCHED = "stream of another request"


class Rule(NamedTuple):
    """How a cause is treated.

    ``may_have_run`` is whether the target may have run the request. ``repeat``
    and ``repeat_idempotent`` tell whether a request is sent again, for any
    request and for idempotent ones. ``resume`` is for streams that have begun.
    ``failure`` counts against the target.
    """

    may_have_run: bool
    repeat: bool
    repeat_idempotent: bool
    resume: bool
    failure: bool


RULES = {
    Cause.NOT_SENT: Rule(False, True, True, False, True),
    Cause.DISCLAIMED: Rule(False, False, True, False, False),
    Cause.NOT_RESIDENT: Rule(False, True, True, False, False),
    Cause.CLOSED: Rule(True, False, True, False, True),
    Cause.SILENT: Rule(True, False, True, False, True),
    Cause.REFUSED: Rule(True, False, True, False, True),
    Cause.MISMATCHED: Rule(True, False, True, False, True),
    Cause.TRUNCATED: Rule(True, False, True, False, True),
    Cause.STREAM_CLOSED: Rule(True, False, False, True, True),
    Cause.STREAM_SILENT: Rule(True, False, False, True, True),
    Cause.STREAM_MISMATCHED: Rule(True, False, False, True, True),
}


class RetryPolicy(NamedTuple):
    """Settings of retries; times are in seconds.

    ``fraction`` is the number of retries allowed per first attempt, ``burst``
    the most that are saved up. ``least_attempt_s`` is the time an attempt needs
    to make sense before the deadline.
    """

    fraction: float = 0.1
    burst: float = 10.0
    max_attempts: int = 3
    max_resumes: int = 3
    base_s: float = 0.025
    cap_s: float = 1.0
    least_attempt_s: float = 0.05


class Retry(NamedTuple):
    """Send again, or resume, after ``delay_s`` seconds."""

    delay_s: float


class GiveUp(NamedTuple):
    """Answer the caller now; it may come back after ``retry_after_s`` seconds."""

    reason: str
    retry_after_s: float


class RetryBudget:
    """Token bucket that earns a fraction of a retry with each first attempt."""

    def __init__(self, policy):
        self._policy = policy
        self._tokens = policy.burst

    @property
    def tokens(self):
        """Retries that may be made now."""
        return self._tokens

    def earn(self):
        """Count one first attempt."""
        earned = self._tokens + self._policy.fraction
        self._tokens = min(earned, self._policy.burst)

    def spend(self):
        """Take one retry out of the budget; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def decide(policy, budget, rng, cause, idempotent, attempts, now, deadline):
    """Decide whether a failed attempt is followed by another one.

    Parameters
    ----------
    policy : RetryPolicy
    budget : RetryBudget
        Spent from only if the decision is to retry.
    rng : random.Random
    cause : Cause
    idempotent : bool
        Whether the route was declared idempotent.
    attempts : int
        Attempts made so far; for a stream that has begun, resumptions so far
        plus one.
    now, deadline : float
        Seconds of the same monotonic clock.

    Returns
    -------
    Retry or GiveUp
    """
    rule = RULES[cause]
    pause = _backoff(policy, rng, attempts)
    if not (rule.resume or rule.repeat or (idempotent and rule.repeat_idempotent)):
        return GiveUp("not repeatable", pause)
    limit = policy.max_resumes + 1 if rule.resume else policy.max_attempts
    if attempts >= limit:
        return GiveUp("too many attempts", pause)
    if now + pause + policy.least_attempt_s > deadline:
        return GiveUp("deadline too near", pause)
    if not budget.spend():
        return GiveUp("retry budget spent", policy.cap_s)
    return Retry(pause)


def _backoff(policy, rng, attempts):
    ceiling = min(policy.cap_s, policy.base_s * 2 ** (attempts - 1))
    return rng.uniform(ceiling / 2, ceiling)
