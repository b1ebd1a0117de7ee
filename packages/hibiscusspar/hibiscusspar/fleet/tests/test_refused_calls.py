"""Tests of the recognition of callers of plain calls who return as told."""

import unittest

from hibiscusspar.fleet.messages import AdmissionLevel
from hibiscusspar.fleet.node_admission import NodeAdmission
from hibiscusspar.fleet.refused_calls import RefusedCalls
from hibiscusspar.fleet.waiting import Job, Refuse, Send, Wait

GOALS = {"s": {0: 0.8, 2: 2.0}}


class TestRefusedCalls(unittest.TestCase):
    def setUp(self):
        self.calls = RefusedCalls()

    def test_return_is_recognised_once_and_not_before_its_time(self):
        # An equal call of another caller must not pass for a return.
        self.calls.record(10.0, "d", 11.0)
        self.assertIsNone(self.calls.take(10.5, "d"))
        self.assertIsNone(self.calls.take(11.0, "other"))
        self.assertEqual(self.calls.take(11.0, "d"), 1.0)
        self.assertIsNone(self.calls.take(11.1, "d"))

    def test_last_announced_time_counts(self):
        self.calls.record(10.0, "d", 10.5)
        self.calls.record(10.2, "d", 12.0)
        self.assertIsNone(self.calls.take(10.6, "d"))
        self.assertIsNotNone(self.calls.take(12.0, "d"))

    def test_refusal_is_forgotten_after_five_seconds(self):
        self.calls.record(10.0, "d", 11.0)
        self.assertIsNone(self.calls.take(15.1, "d"))
        self.calls.record(20.0, "d", 21.0)
        self.calls.record(25.1, "e", 26.0)
        self.assertEqual(len(self.calls), 1)

    def test_table_is_bounded(self):
        for n in range(6000):
            self.calls.record(10.0 + n * 1e-4, f"d{n}", 11.0)
        self.assertEqual(len(self.calls), 4096)
        self.assertIsNone(self.calls.take(11.0, "d0"))
        self.assertIsNotNone(self.calls.take(11.0, "d5999"))


class TestNode(unittest.TestCase):
    """A node whose level admits no request of priority 2."""

    def setUp(self):
        self.node = self.new_node()

    def new_node(self, goals=GOALS, levels=True):
        node = NodeAdmission()
        node.configure(goals)
        level = AdmissionLevel({2: 0.0}, 1e5, [], 0.0)
        node.apply_levels(10.0, {"s": level} if levels else {}, None)
        return node

    def call(self, now, name="r", digest="d"):
        return Job(
            name, "s", ("", ""), 2, 0, now, 2.0, now + 1.2, 0.5, digest=digest
        )  # fmt: skip

    def refuse(self, now, **fields):
        row = self.node.enter(now, self.call(now, **fields))
        decision = self.node.review(now, row, Wait("busy"))
        self.assertIsInstance(decision, Refuse)
        self.node.record(now, row, decision)
        return now + decision.retry_after_s

    def test_caller_who_returns_is_admitted_and_goes_first(self):
        return_at = self.refuse(10.0)
        self.node.apply_levels(return_at, self.node.known_levels, None)
        new = self.node.enter(return_at, self.call(return_at, "r8", "e"))
        row = self.node.enter(return_at, self.call(return_at, "r9"))
        self.assertTrue(row.is_admitted)
        self.assertFalse(new.is_admitted)
        rows = sorted([new, row], key=lambda r: self.node.sort_key(return_at, r))
        self.assertIs(rows[0], row)
        self.assertEqual(self.node.recognized_returns, 1)

    def test_return_asks_for_nothing_more(self):
        return_at = self.refuse(10.0)
        row = self.node.enter(return_at, self.call(return_at))
        self.node.record(return_at, row, Send("t", 0.1))
        self.assertEqual(self.node.asked(), {"s": {2: (1, 1, 1)}})

    def test_time_to_the_first_byte_counts_from_the_return(self):
        # The announced wait must not make the call late or lengthen its wait.
        return_at = self.refuse(10.0)
        row = self.node.enter(return_at, self.call(return_at))
        self.assertEqual(row.arrived, return_at)
        self.node.apply_levels(return_at, self.node.known_levels, None)
        self.assertIsInstance(
            self.node.review(return_at + 0.6, row, Wait("busy")), Refuse
        )

    def test_early_retry_is_a_new_call(self):
        self.refuse(10.0)
        row = self.node.enter(10.05, self.call(10.05))
        self.assertFalse(row.is_admitted)
        self.assertEqual(self.node.asked(), {"s": {2: (2, 0, 1)}})

    def test_further_attempt_at_a_target_is_no_return(self):
        return_at = self.refuse(10.0)
        row = self.call(return_at)._replace(attempts=1)
        self.assertIs(self.node.enter(return_at, row), row)

    def test_table_is_lost_with_the_node(self):
        return_at = self.refuse(10.0)
        row = self.new_node().enter(return_at, self.call(return_at))
        self.assertFalse(row.is_admitted)

    def test_refusals_without_pressure_or_several_priorities_are_not_kept(self):
        for fields in ({"goals": {}}, {"levels": False}):
            node = self.new_node(**fields)
            row = self.call(10.0)
            self.assertIs(node.enter(10.0, row), row)
            node.record(10.0, row, Refuse("busy", 1.0))
            again = self.call(11.0)
            self.assertIs(node.enter(11.0, again), again)
