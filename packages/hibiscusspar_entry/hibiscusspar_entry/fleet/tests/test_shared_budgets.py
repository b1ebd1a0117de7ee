"""Tests of the retry budgets that the threads of all requests share."""

import sys
import threading
import unittest
from time import monotonic

from hibiscusspar.fleet.retries import RetryBudgets
from hibiscusspar_entry.fleet.shared_budgets import SharedBudgets


class TestBudgetOfManyThreads(unittest.TestCase):
    """Guards against errors in the threads of requests that fail at the same time."""

    def test_old_requests_are_dropped_by_one_thread_at_a_time(self):
        self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(1e-6)
        budgets = SharedBudgets(RetryBudgets(0.2, 100.0, 1e-4))
        errors = []

        def use():
            try:
                for _ in range(2000):
                    budgets.request("s", monotonic())
                    budgets.allow("s", monotonic(), 1)
                    budgets.has_room("s", monotonic() + 1e-4, 1)
            except IndexError as error:
                errors.append(error)

        threads = [threading.Thread(target=use) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(errors, [])
