"""Tests of retry decisions and the shared retry budget."""

import sys
import threading
import unittest
from time import monotonic

from hibiscusspar.fleet.retries import (
    AttemptFailure,
    RetryBudget,
    RetryDecision,
    retry_decision,
)

REFUSED_CONNECTION = AttemptFailure("connect", "refused", True, False)
SHED = AttemptFailure("answer", "not run, status 503", True, False)
RESET = AttemptFailure("wait", "reset", False, False)


def decide(failure, idempotent=False, resumable=True, attempts=1, remaining_s=1.0):
    return retry_decision(failure, idempotent, resumable, attempts, 2, remaining_s)


class TestRetryDecision(unittest.TestCase):
    def test_request_that_did_not_run_is_retried_within_the_budget(self):
        self.assertEqual(decide(SHED), RetryDecision.IF_BUDGET_ALLOWS)

    def test_non_idempotent_request_that_may_have_run_is_not_retried(self):
        self.assertEqual(decide(RESET), RetryDecision.END)

    def test_idempotent_request_runs_at_no_more_targets_than_its_route_allows(self):
        first = decide(RESET, idempotent=True)
        second = decide(RESET, idempotent=True, attempts=2)
        self.assertEqual(first, RetryDecision.IF_BUDGET_ALLOWS)
        self.assertEqual(second, RetryDecision.END)

    def test_unreachable_target_costs_no_budget(self):
        self.assertEqual(decide(REFUSED_CONNECTION), RetryDecision.RETRY)
        self.assertEqual(decide(REFUSED_CONNECTION, attempts=6), RetryDecision.END)

    def test_stream_that_can_not_be_resumed_ends(self):
        found = decide(RESET, idempotent=True, resumable=False)
        self.assertEqual(found, RetryDecision.END)

    def test_no_retry_after_the_deadline_of_the_request(self):
        self.assertEqual(decide(SHED, remaining_s=0.0), RetryDecision.END)


class TestRetryBudget(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_allowance(self):
        nodes = [RetryBudget(0.2, 58.0, 10.0) for _ in range(9)]
        retries = 0
        for node in nodes:
            for _ in range(30):
                node.request(1.0)
            while node.allow(1.0, 9):
                retries += 1
        self.assertLessEqual(retries, 0.2 * 270 + 58)
        self.assertGreater(retries, 30)

    def test_budget_recovers_with_time(self):
        budget = RetryBudget(0.2, 9.0, 10.0)
        while budget.allow(1.0, 9):
            pass
        self.assertFalse(budget.allow(5.0, 1) and budget.allow(5.0, 9))
        self.assertTrue(budget.allow(20.0, 1))

    def test_node_that_knows_no_fleet_yet_takes_no_slack(self):
        budget = RetryBudget(0.2, 400.0, 10.0)
        self.assertFalse(budget.allow(1.0, None))
        for _ in range(50):
            budget.request(1.0)
        self.assertTrue(budget.allow(1.0, None))

    def test_first_views_of_a_coordinator_dont_enlarge_the_shares(self):
        nodes = [RetryBudget(0.2, 400.0, 10.0) for _ in range(84)]
        retries = 0
        # A successor hears the nodes one after the other.
        for known in (84, 1, 5, 20, 60, 84):
            for node in nodes:
                while node.allow(1.0, known):
                    retries += 1
        self.assertLessEqual(retries, 400)

    def test_share_grows_after_the_fleet_has_shrunk_for_a_window(self):
        budget = RetryBudget(0.2, 100.0, 10.0)
        budget.allow(1.0, 1000)
        self.assertFalse(budget.allow(5.0, 10))
        self.assertTrue(budget.allow(12.0, 10))


class TestBudgetOfManyThreads(unittest.TestCase):
    """Guards against errors in the threads of requests that fail at the same time."""

    def test_old_requests_are_dropped_by_one_thread_at_a_time(self):
        self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(1e-6)
        budget, errors = RetryBudget(0.2, 100.0, 1e-4), []

        def use():
            try:
                for _ in range(2000):
                    budget.request(monotonic())
                    budget.allow(monotonic(), 1)
                    budget.has_room(monotonic() + 1e-4, 1)
            except IndexError as error:
                errors.append(error)

        threads = [threading.Thread(target=use) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(errors, [])
