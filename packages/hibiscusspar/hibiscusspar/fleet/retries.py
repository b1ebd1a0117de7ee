"""Whether a failed attempt is made again, and the budget that all nodes share.

Load pattern: targets that fail or refuse while traffic is high would otherwise
get every request twice. Each node repeats at most its part of what the platform
allows to all.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple

__all__ = [
    "AttemptFailure",
    "RetryBudget",
    "RetryBudgets",
    "RetryDecision",
    "retry_decision",
]

# Bound on attempts at targets that can't be reached; each takes some milliseconds.
MOST_UNREACHABLE = 6

# Parts of the allowance that are used, so that windows that differ from those of
# the platform stay within it.
RATIO_SHARE = 0.7
SLACK_SHARE = 0.6


class AttemptFailure(NamedTuple):
    """Why an attempt gave no answer.

    ``step`` is ``"connect"`` if no byte of the request left. ``not_run`` is whether the
    target surely did not run it, ``denied`` whether it does not hold what the request
    needs, ``is_whole`` whether its answer was its own and can be read to the end.
    """

    step: str
    reason: str
    not_run: bool
    denied: bool
    is_whole: bool = False


class RetryDecision(Enum):
    """What follows a failed attempt."""

    END = "end"
    RETRY = "retry"
    IF_BUDGET_ALLOWS = "if budget allows"


def retry_decision(failure, idempotent, resumable, attempts, max_attempts, left_s):
    """Decide what follows a failed attempt.

    Load pattern: targets crash or refuse while many requests are under way. What
    surely did not run may always go elsewhere; what may have run only if it may run
    again, within the route's number of targets.

    Parameters
    ----------
    failure : AttemptFailure
    idempotent : bool
        Whether the request may run more than once.
    resumable : bool
        Whether what the caller already has can be carried on.
    attempts, max_attempts : int
        Attempts made, and the most targets that may run the request.
    left_s : float
        Seconds until the request's end.

    Returns
    -------
    RetryDecision
    """
    if left_s <= 0 or not resumable:
        return RetryDecision.END
    if failure.step == "connect":
        # Nothing arrived, so it is no repeat for the budget.
        return RetryDecision.RETRY if attempts < MOST_UNREACHABLE else RetryDecision.END
    if failure.not_run or (idempotent and attempts < max_attempts):
        return RetryDecision.IF_BUDGET_ALLOWS
    return RetryDecision.END


class RetryBudget:
    """Sends and repeats of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed to all nodes beyond that in one window.
    window_s : float
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_s = window_s
        self._requests = deque()
        self._repeats = deque()

    def request(self, now):
        """Count a request of a client."""
        self._requests.append(now)

    def allow(self, now, nodes):
        """Return whether one more repeat is within the budget, and count it."""
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, nodes)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True


class RetryBudgets:
    """Budgets by service, each made when it is first needed.

    Parameters
    ----------
    ratio, slack, window_s : float
        As for :class:`RetryBudget`.
    """

    def __init__(self, ratio, slack, window_s):
        self._arguments = (ratio, slack, window_s)
        self._budgets = {}

    def request(self, service, now):
        """Count a request of a client for a service."""
        self._of(service).request(now)

    def allow(self, service, now, nodes):
        """Return whether one more repeat is within the budget, and count it."""
        return self._of(service).allow(now, nodes)

    def _of(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, RetryBudget(*self._arguments))
        return budget
