"""Tests of the retry budgets that the threads of all requests share."""

import sys
import threading
import unittest
from time import monotonic

from hibiscusspar.fleet.messages import NodeReport, RetryLoan
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


class TestLoans(unittest.TestCase):
    def setUp(self):
        self.budgets = SharedBudgets(RetryBudgets(0.2, 58.0, 10.0), "s1")
        self.asked = []
        self.budgets.ask_loan = self.asked.append

    def test_node_asks_for_a_loan_once_its_share_is_used_up(self):
        self.assertTrue(self.budgets.seek_room("s", 1.0, 34))
        self.assertTrue(self.budgets.allow("s", 1.0, 34))
        self.assertEqual(self.asked, [])
        self.assertFalse(self.budgets.seek_room("s", 1.0, 34))
        self.assertEqual(self.asked, [RetryLoan("s1", 1, "s")])

    def test_request_that_does_not_wait_asks_for_none(self):
        self.assertFalse(self.budgets.allow("s", 1.0, None))
        self.assertFalse(self.budgets.has_room("s", 1.0, None))
        self.assertEqual(self.asked, [])

    def test_loan_gives_room_for_one_retry(self):
        self.budgets.seek_room("s", 1.0, None)
        self.budgets.apply_loan(1.01, self.asked[0])
        self.budgets.apply_loan(1.02, self.asked[0])
        self.assertTrue(self.budgets.has_room("s", 1.05, None))
        found = [self.budgets.allow("s", 1.05, None) for _ in range(2)]
        self.assertEqual(found, [True, False])

    def test_report_tells_the_requests_of_the_window(self):
        for now in (1.0, 8.0, 9.0):
            self.budgets.request("s", now)
        self.budgets.request("old", 1.0)
        report = NodeReport("n", "s", "z", 1, {}, {}, [], {}, {})
        self.budgets.complete_report(12.0, report)
        self.assertEqual(report.requests, {"s": 2})
