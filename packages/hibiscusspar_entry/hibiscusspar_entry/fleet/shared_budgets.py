"""Retry budgets that the threads of all requests share."""

import threading

from hibiscusspar.fleet.lent_retries import LoanRequests

__all__ = ["SharedBudgets"]


class SharedBudgets:
    """Retry budgets by service, used by one thread at a time.

    Parameters
    ----------
    budgets : RetryBudgets
    start : str, optional
        Start of the process.

    Attributes
    ----------
    ask_loan : callable
        Asks the coordinator for a retry; it is called with a ``RetryLoan``.
    """

    def __init__(self, budgets, start=""):
        self._budgets = budgets
        self._lock = threading.Lock()
        self._loan_requests = LoanRequests(start)
        self.ask_loan = lambda loan: None

    def request(self, service, now):
        """Count a client request for a service."""
        with self._lock:
            self._budgets.request(service, now)

    def allow(self, service, now, nodes):
        """Return whether one more retry is within the budget, and count it if so."""
        with self._lock:
            return self._budgets.allow(service, now, nodes)

    def has_room(self, service, now, nodes):
        """Return whether one more retry is within the budget, without counting it."""
        with self._lock:
            return self._budgets.has_room(service, now, nodes)

    def seek_room(self, service, now, nodes):
        """Return whether there is room for one more retry; if not, ask for a loan.

        It is for a request that waits for a retry and calls again.
        """
        with self._lock:
            has_room = self._budgets.has_room(service, now, nodes)
            loan = None if has_room else self._loan_requests.next(now, service)
        if loan is not None:
            self.ask_loan(loan)
        return has_room

    def apply_loan(self, now, loan):
        """Add a retry that the coordinator has lent."""
        with self._lock:
            until = self._loan_requests.accept(now, loan)
            if until is not None:
                self._budgets.lend(loan.service, until)

    def complete_report(self, now, report):
        """Add the numbers of requests to a report."""
        with self._lock:
            report.requests = self._budgets.count_requests(now)
