"""Retry decisions: rules by cause, retry budget, exponential back-off and deadline."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "RULES",
    "Cause",
    "GiveUp",
    "Retry",
    "RetryBudget",
    "RetryPolicy",
    "Rule",
    "decide",
]


class Cause(StrEnum):
    """Cause of the failure of an attempt."""

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
    """Treatment of a failure cause.

    ``may_have_run`` tells whether the target may have run the request, ``retry``
    whether any request is sent again, ``retry_idempotent`` whether an idempotent
    one is, ``resume`` whether a stream that has begun is resumed, and
    ``counts_as_failure`` whether it counts towards the ejection of the target.
    """

    may_have_run: bool
    retry: bool
    retry_idempotent: bool
    resume: bool
    counts_as_failure: bool


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

    ``fraction`` is the number of retries allowed per first attempt, ``burst`` the
    maximum that accumulates. No retry is made with less than ``min_attempt_s``
    left until the deadline. ``base_s`` and ``cap_s`` bound the back-off.
    """

    fraction: float = 0.1
    burst: float = 10.0
    max_attempts: int = 3
    max_resumes: int = 3
    base_s: float = 0.025
    cap_s: float = 1.0
    min_attempt_s: float = 0.05


class Retry(NamedTuple):
    """Retry, or resume the stream, after ``delay_s`` seconds."""

    delay_s: float


class GiveUp(NamedTuple):
    """Answer the caller, who may retry after ``retry_after_s`` seconds."""

    reason: str
    retry_after_s: float


class RetryBudget:
    """Token bucket of retries; each first attempt adds a fraction of a retry.

    It bounds the retries to a fraction of the traffic, so that they can't overload
    targets that fail.
    """

    def __init__(self, policy):
        self._policy = policy
        self._tokens = policy.burst

    @property
    def tokens(self):
        """Number of retries available now."""
        return self._tokens

    def deposit(self):
        """Add the fraction for one first attempt."""
        refilled = self._tokens + self._policy.fraction
        self._tokens = min(refilled, self._policy.burst)

    def try_withdraw(self):
        """Take one retry from the budget; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def decide(policy, budget, rng, cause, idempotent, attempts, now, deadline):
    """Decide whether to retry after a failed attempt.

    Parameters
    ----------
    policy : RetryPolicy
    budget : RetryBudget
        Spent from only if the decision is to retry.
    rng : random.Random
    cause : Cause
    idempotent : bool
        Whether the route is declared idempotent.
    attempts : int
        Attempts made so far; for a stream that has begun, resumptions so far
        plus one.
    now, deadline : float
        Times of the same monotonic clock in seconds.

    Returns
    -------
    Retry or GiveUp
    """
    rule = RULES[cause]
    delay_s = _backoff_s(policy, rng, attempts)
    if not (rule.resume or rule.retry or (idempotent and rule.retry_idempotent)):
        return GiveUp("not repeatable", delay_s)
    limit = policy.max_resumes + 1 if rule.resume else policy.max_attempts
    if attempts >= limit:
        return GiveUp("too many attempts", delay_s)
    if now + delay_s + policy.min_attempt_s > deadline:
        return GiveUp("deadline too near", delay_s)
    if not budget.try_withdraw():
        return GiveUp("retry budget spent", policy.cap_s)
    return Retry(delay_s)


def _backoff_s(policy, rng, attempts):
    ceiling = min(policy.cap_s, policy.base_s * 2 ** (attempts - 1))
    return rng.uniform(ceiling / 2, ceiling)
