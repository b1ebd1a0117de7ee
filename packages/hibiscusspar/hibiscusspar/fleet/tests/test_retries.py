"""Tests of the shared budget of repeats."""

import unittest

from hibiscusspar.fleet.retries import RetryBudget


class TestRetryBudget(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_allowance(self):
        nodes = [RetryBudget(0.2, 58.0, 10.0) for _ in range(9)]
        repeats = 0
        for node in nodes:
            for _ in range(30):
                node.request(1.0)
            while node.allow(1.0, 9):
                repeats += 1
        self.assertLessEqual(repeats, 0.2 * 270 + 58)
        self.assertGreater(repeats, 30)

    def test_budget_comes_back_with_time(self):
        budget = RetryBudget(0.2, 9.0, 10.0)
        while budget.allow(1.0, 9):
            pass
        self.assertFalse(budget.allow(5.0, 1) and budget.allow(5.0, 9))
        self.assertTrue(budget.allow(20.0, 1))
