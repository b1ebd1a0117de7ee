"""Tests of retries that the coordinator lends, in fleets of 9, 78 and 360 nodes."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.lent_retries import LOAN_LIFE_S, LoanRequests, RetryPool
from hibiscusspar.fleet.messages import RetryLoan
from hibiscusspar.fleet.retries import RetryBudget, RetryBudgets
from hibiscusspar.fleet.tests.retry_replay import (
    RATIO,
    SLACK,
    WINDOW_S,
    Case,
    RetryReplay,
)

FAULTS = (
    {},
    {"lost": 0.1, "doubled": 0.1, "late": 0.1},
    {"lost": 0.4, "doubled": 0.3, "late": 0.3, "restarts": 3, "successors": 3},
    {"doubled": 1.0, "late": 0.5, "older": 0.5, "restarts": 3, "successors": 1},
)
CASES = tuple(
    Case(nodes, seed=seed, **faults)
    for nodes, seeds in ((9, 8), (78, 4), (360, 2))
    for faults in FAULTS
    for seed in range(1, seeds + 1)
)


def make_pool(counts, nodes=None):
    """Return a pool that knows the numbers of requests of some nodes."""
    pool = RetryPool(RATIO, SLACK, WINDOW_S)
    update(pool, counts, nodes)
    return pool


def update(pool, counts, nodes=None):
    reports = [SimpleNamespace(requests={"s": n} if n else {}) for n in counts]
    pool.update(reports, nodes or len(counts))


def lent_count(pool, now):
    """Return the number of retries that a pool lends at a time."""
    found = 0
    while pool.lend(now, "s"):
        found += 1
    return found


class TestSharedBudget(unittest.TestCase):
    """Guards against retries beyond what the platform allows to all nodes."""

    def test_fleet_exceeds_the_budget(self):
        for case in CASES:
            with self.subTest(case=case):
                replay = RetryReplay(case).run()
                self.assertTrue(replay.retries)
                self.assertLessEqual(replay.largest_share, 1.0)

    def test_nodes_wait_while_the_fleet_has_room(self):
        """Some nodes need two retries each, more than their share."""
        for nodes in (78, 360):
            with self.subTest(nodes=nodes):
                replay = RetryReplay(Case(nodes, calm=True)).run()
                self.assertEqual(len(replay.waits), 2 * (nodes // 10 + 1))
                self.assertLess(max(replay.waits), 0.5)

    def test_all_nodes_at_once_use_shares_and_pool(self):
        nodes, per_node = 360, 10
        budgets = [RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(nodes)]
        for budget in budgets:
            for _ in range(per_node):
                budget.request(1.0)
        pool = make_pool([per_node] * nodes)
        retries = sum(budget.allow(1.0, nodes) for budget in budgets for _ in range(9))
        retries += lent_count(pool, 1.0)
        self.assertGreater(retries, nodes)
        allowed = 0.85 * RATIO * per_node * nodes + 0.8 * SLACK
        self.assertLessEqual(retries, allowed)


class TestPool(unittest.TestCase):
    def test_lends_the_fractions_of_the_shares(self):
        # A node with two requests has a share of 0.28 + 0.35 retries.
        self.assertEqual(lent_count(make_pool([2] * 10, 100), 1.0), 6)

    def test_lends_no_more_than_a_part_of_the_allowance(self):
        # Fractions of 0.94 at 360 nodes, 0.15 of 0.2 per request and 0.2 of the slack.
        pool = make_pool([6] * 360)
        self.assertEqual(lent_count(pool, 1.0), int(0.03 * 6 * 360 + 0.2 * SLACK))

    def test_lends_nothing_without_reports(self):
        self.assertEqual(lent_count(RetryPool(RATIO, SLACK, WINDOW_S), 1.0), 0)
        self.assertEqual(lent_count(make_pool([0] * 9), 1.0), 0)

    def test_loans_count_for_a_window_and_their_life(self):
        pool = make_pool([2] * 100)
        count = lent_count(pool, 100.0)
        self.assertGreater(count, 0)
        update(pool, [2] * 100)
        self.assertEqual(lent_count(pool, 100.0 + WINDOW_S + LOAN_LIFE_S - 0.1), 0)
        self.assertEqual(lent_count(pool, 100.1 + WINDOW_S + LOAN_LIFE_S), count)

    def test_successor_lends_nothing_while_earlier_loans_may_be_used(self):
        pool = RetryPool(RATIO, SLACK, WINDOW_S)
        pool.take_over(100.0)
        update(pool, [2] * 100)
        self.assertEqual(lent_count(pool, 100.0 + WINDOW_S + LOAN_LIFE_S - 0.1), 0)
        self.assertGreater(lent_count(pool, 100.0 + WINDOW_S + LOAN_LIFE_S), 0)

    def test_services_have_pools_of_their_own(self):
        pool = make_pool([2] * 100)
        self.assertFalse(pool.lend(1.0, "other"))


class TestLoan(unittest.TestCase):
    def setUp(self):
        self.loans = LoanRequests("s1")
        self.budgets = RetryBudgets(RATIO, SLACK, WINDOW_S)

    def test_loan_allows_one_retry_until_it_ends(self):
        self.budgets.lend("s", 2.0)
        self.assertTrue(self.budgets.has_room("s", 1.0, None))
        self.assertTrue(self.budgets.allow("s", 1.0, None))
        self.assertFalse(self.budgets.allow("s", 1.0, None))
        self.budgets.lend("s", 2.0)
        self.assertFalse(self.budgets.allow("s", 2.1, None))

    def test_share_of_the_node_is_used_first(self):
        self.budgets.lend("s", 2.0)
        found = [self.budgets.allow("s", 1.0, 34) for _ in range(3)]
        self.assertEqual(found, [True, True, False])

    def test_doubled_loan_counts_once(self):
        loan = self.loans.next(1.0, "s")
        self.assertEqual(self.loans.accept(1.1, loan), 1.0 + LOAN_LIFE_S)
        self.assertIsNone(self.loans.accept(1.2, loan))

    def test_late_loan_is_not_used(self):
        loan = self.loans.next(1.0, "s")
        self.assertIsNone(self.loans.accept(1.1 + LOAN_LIFE_S, loan))

    def test_loan_of_an_earlier_process_is_not_used(self):
        self.loans.next(1.0, "s")
        self.assertIsNone(self.loans.accept(1.1, RetryLoan("s0", 1, "s")))

    def test_requests_become_rare_without_a_loan(self):
        times = [now / 100 for now in range(100, 1100)]
        sent = [t for t in times if self.loans.next(t, "s") is not None]
        self.assertLessEqual(len(sent), 10)
        self.assertGreaterEqual(len(sent), 8)

    def test_next_request_follows_a_loan_at_once(self):
        self.loans.accept(1.1, self.loans.next(1.0, "s"))
        self.assertIsNotNone(self.loans.next(1.1, "s"))


if __name__ == "__main__":
    unittest.main()
