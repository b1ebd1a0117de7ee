"""Retries that the coordinator lends to nodes whose own share is used up.

A node makes whole retries, so in a large fleet a good part of the shared budget lies in
fractions of the nodes' shares. The coordinator lends these, one retry for each request
of a node. A lent retry counts as made, whether or not it reaches the node.
"""

from collections import deque

from hibiscusspar.fleet.messages import RetryLoan
from hibiscusspar.fleet.retries import node_allowance

__all__ = ["LOAN_LIFE_S", "LoanRequests", "RetryPool"]

# Time after the request for a loan until which the retry must be made, in seconds.
LOAN_LIFE_S = 1.0
# Shares of the platform's allowance that are lent at most. With the shares of the
# nodes they leave a margin for what the nodes don't count.
_POOL_RATIO_SHARE = 0.15
_POOL_SLACK_SHARE = 0.2
# Shortest and longest time between two requests for loans of a service, in seconds.
_MIN_GAP_S = 0.1
_MAX_GAP_S = 1.6


class RetryPool:
    """The coordinator's retries that it may lend, by service.

    Parameters
    ----------
    ratio, slack, window_s : float
        As for :class:`~hibiscusspar.fleet.retries.RetryBudget`.
    """

    def __init__(self, ratio, slack, window_s):
        self._ratio, self._slack = ratio, slack
        # A loan may be used at the end of its life.
        self._counted_s = window_s + LOAN_LIFE_S
        self._closed_until = 0.0
        self._allowed = {}
        self._lent = {}

    def take_over(self, now):
        """Lend nothing for a window, as the loans of the predecessor are unknown."""
        self._closed_until = now + self._counted_s
        self._allowed, self._lent = {}, {}

    def update(self, reports, nodes):
        """Derive what may be lent from the last reports of the nodes.

        Parameters
        ----------
        reports : iterable of NodeReport
            Reports that are not stale.
        nodes : int
            Number of nodes, including silent ones.
        """
        requests, fractions = {}, {}
        for report in reports:
            for service, count in report.requests.items():
                share = node_allowance(self._ratio, self._slack, count, nodes)
                requests[service] = requests.get(service, 0) + count
                fractions[service] = fractions.get(service, 0.0) + share % 1.0
        self._allowed = {
            service: min(fractions[service], self._limit(count))
            for service, count in requests.items()
        }

    def lend(self, now, service):
        """Return whether a retry may be lent, and count it if so."""
        if now < self._closed_until or service not in self._allowed:
            return False
        lent = self._lent.setdefault(service, deque())
        while lent and lent[0] < now - self._counted_s:
            lent.popleft()
        if len(lent) + 1 > self._allowed[service]:
            return False
        lent.append(now)
        return True

    def _limit(self, requests):
        ratio, slack = self._ratio * _POOL_RATIO_SHARE, self._slack * _POOL_SLACK_SHARE
        return ratio * requests + slack


class LoanRequests:
    """Requests of one node for loans; each loan is accepted once and in time.

    Parameters
    ----------
    start : str
        Start of the node's process, so that it accepts no loan of an earlier one.
    """

    def __init__(self, start):
        self._start = start
        self._number = 0
        self._open = {}
        self._gaps = {}

    def next(self, now, service):
        """Return the request to send now, None if the last one was sent just before.

        The time between requests doubles until a loan is accepted.
        """
        due_at, gap_s = self._gaps.get(service, (now, _MIN_GAP_S))
        if now < due_at:
            return None
        if now > due_at + _MAX_GAP_S:
            gap_s = _MIN_GAP_S
        self._gaps[service] = now + gap_s, min(_MAX_GAP_S, 2 * gap_s)
        self._open = {n: at for n, at in self._open.items() if now < at + LOAN_LIFE_S}
        self._number += 1
        self._open[self._number] = now
        return RetryLoan(self._start, self._number, service)

    def accept(self, now, loan):
        """Return the time until which a lent retry may be made, None if it isn't."""
        requested_at = self._open.pop(loan.number, None)
        if loan.start != self._start or requested_at is None:
            return None
        self._gaps.pop(loan.service, None)
        until = requested_at + LOAN_LIFE_S
        return until if now <= until else None
