"""The budget of repeated sends that all nodes share.

Load pattern: targets that fail or refuse while traffic is high would otherwise
get every request twice. Each node repeats at most its part of what the platform
allows to all.
"""

from collections import deque

__all__ = ["RetryBudget", "RetryBudgets"]

# Parts of the allowance that are used, so that windows that differ from those of
# the platform stay within it.
RATIO_SHARE = 0.7
SLACK_SHARE = 0.6


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
