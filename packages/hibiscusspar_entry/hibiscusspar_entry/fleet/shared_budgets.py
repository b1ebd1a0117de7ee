"""Retry budgets that the threads of all requests share."""

import threading

__all__ = ["SharedBudgets"]


class SharedBudgets:
    """Retry budgets by service, used by one thread at a time.

    Parameters
    ----------
    budgets : RetryBudgets
    """

    def __init__(self, budgets):
        self._budgets = budgets
        self._lock = threading.Lock()

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
