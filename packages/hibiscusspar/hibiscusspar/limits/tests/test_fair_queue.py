"""Tests of the fair queue."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.limits.fair_queue import FairQueue, QueuedRequest

LATER = 1e9


def always(item):
    return True


def fill(queue, account, count, tokens=100.0, adapter="a"):
    for index in range(count):
        item = QueuedRequest(
            f"{account}-{adapter}-{index}", account, adapter, tokens, LATER
        )
        if queue.push(0.0, item) is not None:
            raise AssertionError(f"{item} was refused")


def drain(queue, count):
    return [queue.pop(0.0, always) for _ in range(count)]


class TestFairQueue(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.floats(1.0, 900.0)), min_size=2, max_size=5
        )
    )
    def test_backlogged_accounts_share_by_weight(self, accounts):
        queue = FairQueue(max_waiting=10_000, quantum=100.0)
        queue.set_weights({str(i): float(w) for i, (w, _) in enumerate(accounts)})
        for index, (_, tokens) in enumerate(accounts):
            fill(queue, str(index), int(9000 / tokens) + 10, tokens)
        served = Counter()
        while sum(served.values()) < 8000:
            item = queue.pop(0.0, always)
            served[item.account] += item.tokens
        shares = [served[str(i)] / w for i, (w, _) in enumerate(accounts)]
        largest = max(tokens for _, tokens in accounts)
        self.assertLessEqual(max(shares) - min(shares), 2 * (100.0 + largest))

    def test_requests_of_one_adapter_run_together(self):
        queue = FairQueue()
        for adapter in ("a", "b"):
            fill(queue, "yard", 5, adapter=adapter)
        order = [item.adapter for item in drain(queue, 10)]
        self.assertEqual(order, ["a"] * 5 + ["b"] * 5)

    def test_busy_adapter_does_not_starve_the_others(self):
        queue = FairQueue(max_waiting=1000)
        fill(queue, "yard", 200, adapter="a")
        fill(queue, "yard", 1, adapter="b")
        adapters = [item.adapter for item in drain(queue, 60)]
        self.assertIn("b", adapters)

    def test_adapter_without_room_is_skipped(self):
        queue = FairQueue()
        fill(queue, "yard", 2, adapter="a")
        fill(queue, "dock", 2, adapter="b")
        item = queue.pop(0.0, lambda item: item.adapter == "b")
        self.assertEqual(item.account, "dock")
        self.assertIsNone(queue.pop(0.0, lambda item: False))
        self.assertEqual(len(queue), 3)

    def test_every_request_leaves_once(self):
        queue = FairQueue()
        fill(queue, "yard", 20, adapter="a")
        fill(queue, "dock", 20, adapter="b", tokens=3000.0)
        queue.remove("yard-a-3")
        self.assertIsNone(queue.remove("yard-a-3"))
        items = drain(queue, 39)
        self.assertEqual(len({item.request_id for item in items}), 39)
        self.assertIsNone(queue.pop(0.0, always))
        self.assertEqual(queue.waiting_by_account, {})

    def test_bound_of_one_account_does_not_affect_the_others(self):
        queue = FairQueue(max_waiting=3)
        fill(queue, "yard", 3)
        refusal = queue.push(0.0, QueuedRequest("x", "yard", "a", 1.0, LATER))
        self.assertEqual(refusal.reason, "queue-full")
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertIsNone(queue.push(0.0, QueuedRequest("y", "dock", "a", 1.0, LATER)))

    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        queue = FairQueue(max_waiting=1000)
        fill(queue, "yard", 400)
        for second in range(20):
            queue.pop(float(second), always)
        wait_s = queue.expected_wait_s("yard")
        self.assertAlmostEqual(wait_s, 380.0, delta=20.0)
        item = QueuedRequest("x", "yard", "a", 1.0, 20.0 + wait_s / 2)
        refusal = queue.push(20.0, item)
        self.assertEqual(refusal.reason, "deadline")
        self.assertAlmostEqual(refusal.retry_after_s, wait_s)

    def test_expired_requests_are_returned(self):
        queue = FairQueue()
        queue.push(0.0, QueuedRequest("x", "yard", "a", 1.0, 5.0))
        queue.push(0.0, QueuedRequest("y", "yard", "a", 1.0, 9.0))
        self.assertEqual([item.request_id for item in queue.expire(6.0)], ["x"])
        self.assertEqual(len(queue), 1)
