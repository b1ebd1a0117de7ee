"""Tests of what a node knows of the limits of targets."""

import unittest

from hibiscusspar.fleet.target_limits import LimitTable, NamedLimit


class TestLimitTable(unittest.TestCase):
    def setUp(self):
        self.table = LimitTable()

    def test_limit_holds_until_a_later_answer_names_none(self):
        self.assertTrue(self.table.record("t1", NamedLimit(2.0, 100.0)))
        self.assertEqual(self.table.limited, {"t1": 2.0})
        self.assertTrue(self.table.record("t1", NamedLimit(None, 101.0)))
        self.assertEqual(self.table.limited, {})

    def test_request_sent_before_the_limit_was_named_does_not_end_it(self):
        self.table.record("t1", NamedLimit(2.0, 100.0))
        self.assertFalse(self.table.record("t1", NamedLimit(None, 99.9)))
        self.assertEqual(self.table.per_s("t1"), 2.0)

    def test_older_statement_of_another_node_is_ignored(self):
        self.table.record("t1", NamedLimit(2.0, 100.0))
        self.table.record("t1", NamedLimit(None, 101.0))
        self.assertFalse(self.table.record("t1", NamedLimit(2.0, 100.5)))
        self.assertEqual(self.table.limited, {})

    def test_targets_without_a_limit_take_no_room(self):
        for number in range(1000):
            self.table.record(f"t{number}", NamedLimit(None, 100.0))
        self.assertEqual(self.table.rows, {})

    def test_end_of_a_limit_is_kept_for_other_nodes_for_some_time(self):
        self.table.record("t1", NamedLimit(2.0, 100.0))
        self.table.record("t1", NamedLimit(None, 101.0))
        self.table.retain(105.0, {"t1"})
        self.assertEqual(self.table.rows, {"t1": NamedLimit(None, 101.0)})
        self.table.retain(120.0, {"t1"})
        self.assertEqual(self.table.rows, {})

    def test_limit_without_recent_answers_may_have_ended(self):
        self.table.record("t1", NamedLimit(2.0, 100.0))
        self.assertEqual(self.table.confirmed(101.0), {"t1"})
        self.assertEqual(self.table.confirmed(110.0), set())
        self.assertEqual(self.table.limited, {"t1": 2.0})

    def test_limit_of_a_target_that_is_gone_is_dropped(self):
        self.table.record("t1", NamedLimit(2.0, 100.0))
        self.table.retain(100.0, {"t2"})
        self.assertEqual(self.table.rows, {})


if __name__ == "__main__":
    unittest.main()
