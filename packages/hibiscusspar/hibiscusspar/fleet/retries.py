"""Retry decisions, and the retry budget that all nodes share.

If targets fail or refuse requests under high load, unlimited retries would send them
every request twice. Each node retries at most its share of what the platform allows
to all nodes, and what the coordinator lends it of the parts that no node can use.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple

__all__ = [
    "AttemptFailure",
    "RetryBudget",
    "RetryBudgets",
    "RetryDecision",
    "UNSENT_STEPS",
    "node_allowance",
    "retry_decision",
]

# Steps that fail before a byte of the request is sent: the target can't be connected
# to, or has closed itself to this node.
UNSENT_STEPS = ("connect", "closed")
# Most attempts at unreachable targets; each takes some milliseconds.
MAX_UNREACHABLE_ATTEMPTS = 6

# Shares of the allowance that are used, so that it also holds over the platform's
# windows, which may differ from these.
RATIO_SHARE = 0.7
SLACK_SHARE = 0.6


class AttemptFailure(NamedTuple):
    """Failure of an attempt.

    ``step`` is one of ``UNSENT_STEPS`` if no byte of the request was sent. ``not_run``
    is whether the target certainly did not run it, ``adapter_missing`` whether the
    target does not hold the model or adapter that the request needs, ``is_whole``
    whether its answer belongs to the request and can be read to the end.
    """

    step: str
    reason: str
    not_run: bool
    adapter_missing: bool
    is_whole: bool = False


class RetryDecision(Enum):
    """Decision after a failed attempt."""

    END = "end"
    RETRY = "retry"
    IF_BUDGET_ALLOWS = "if budget allows"


def retry_decision(failure, idempotent, resumable, attempts, max_attempts, remaining_s):
    """Decide whether a failed attempt is retried.

    A request that certainly did not run may always go to another target. One that may
    have run is retried only if it is idempotent, at no more targets than its route
    allows.

    Parameters
    ----------
    failure : AttemptFailure
    idempotent : bool
        Whether the request may run more than once.
    resumable : bool
        Whether the part of the answer that the caller already has can be continued.
    attempts, max_attempts : int
        Attempts made, and most targets that may run the request.
    remaining_s : float
        Seconds until the request's deadline.

    Returns
    -------
    RetryDecision
    """
    if remaining_s <= 0 or not resumable:
        return RetryDecision.END
    if failure.step in UNSENT_STEPS:
        # Nothing arrived at the target, so this doesn't count as a retry.
        return (
            RetryDecision.RETRY
            if attempts < MAX_UNREACHABLE_ATTEMPTS
            else RetryDecision.END
        )
    if failure.not_run or (idempotent and attempts < max_attempts):
        return RetryDecision.IF_BUDGET_ALLOWS
    return RetryDecision.END


def node_allowance(ratio, slack, requests, nodes):
    """Return the retries that one node may make in a window, with a fraction.

    Parameters
    ----------
    ratio, slack : float
        Retries allowed per request, and beyond that over all nodes.
    requests : int
        Requests of the node in the window.
    nodes : int or None
        Size of the fleet, None if it isn't known.
    """
    share = 0.0 if nodes is None else slack * SLACK_SHARE / nodes
    return ratio * RATIO_SHARE * requests + share


class RetryBudget:
    """Retry budget of one service over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Retries allowed beyond that per window, over all nodes.
    window_s : float
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests = deque()
        self._retries = deque()
        self._fleet_sizes = deque()
        # Times until which lent retries may be used.
        self._lent = deque()

    def request(self, now):
        """Count a client request."""
        self._requests.append(now)

    def allow(self, now, nodes):
        """Return whether one more retry is within the budget, and count it if so.

        Parameters
        ----------
        now : float
        nodes : int or None
            Size of the fleet, None if it isn't known yet. A new coordinator first
            knows a part of the nodes, so the largest size of a window counts.
        """
        if self._has_own_room(now, nodes):
            self._retries.append(now)
            return True
        if self._has_lent(now):
            self._lent.popleft()
            return True
        return False

    def has_room(self, now, nodes):
        """Return whether one more retry is within the budget, without counting it."""
        return self._has_own_room(now, nodes) or self._has_lent(now)

    def lend(self, until):
        """Add a retry that the coordinator has lent, for use until a time."""
        self._lent.append(until)

    def count_requests(self, now):
        """Return the number of requests of the window that ends now."""
        self._expire(now)
        return len(self._requests)

    def _expire(self, now):
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window_s:
                times.popleft()

    def _has_own_room(self, now, nodes):
        self._expire(now)
        if nodes is not None:
            nodes = self._largest_fleet(now, max(1, nodes))
        requests = len(self._requests)
        allowed = node_allowance(self._ratio, self._slack, requests, nodes)
        return len(self._retries) + 1 <= allowed

    def _has_lent(self, now):
        while self._lent and self._lent[0] < now:
            self._lent.popleft()
        return bool(self._lent)

    def _largest_fleet(self, now, nodes):
        """Return the largest fleet of a window; sizes decrease from left to right."""
        sizes = self._fleet_sizes
        while sizes and sizes[-1][1] <= nodes:
            sizes.pop()
        sizes.append((now, nodes))
        while sizes[0][0] < now - self._window_s:
            sizes.popleft()
        return sizes[0][1]


class RetryBudgets:
    """Retry budgets by service, each created on first use.

    Parameters
    ----------
    ratio, slack, window_s : float
        As for :class:`RetryBudget`.
    """

    def __init__(self, ratio, slack, window_s):
        self._arguments = (ratio, slack, window_s)
        self._budgets = {}

    def request(self, service, now):
        """Count a client request for a service."""
        self._budget(service).request(now)

    def allow(self, service, now, nodes):
        """Return whether one more retry is within the budget, and count it if so."""
        return self._budget(service).allow(now, nodes)

    def has_room(self, service, now, nodes):
        """Return whether one more retry is within the budget, without counting it."""
        return self._budget(service).has_room(now, nodes)

    def lend(self, service, until):
        """Add a retry that the coordinator has lent, for use until a time."""
        self._budget(service).lend(until)

    def count_requests(self, now):
        """Return the number of requests of the window that ends now, by service."""
        counts = {name: b.count_requests(now) for name, b in self._budgets.items()}
        return {name: count for name, count in counts.items() if count}

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, RetryBudget(*self._arguments))
        return budget
