"""Tests of the rests that targets ask for."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.target_rests import RestTable


def target(name="t1", born=1):
    return SimpleNamespace(target_id=name, born=born)


class TestRestTable(unittest.TestCase):
    def setUp(self):
        self.table = RestTable()

    def test_target_rests_until_the_end_that_it_gave(self):
        self.assertTrue(self.table.record(10.0, target(), 3.0))
        self.assertEqual(self.table.resting(12.9), {"t1"})
        self.assertAlmostEqual(self.table.remaining_s(12.0, "t1"), 1.0)
        self.assertEqual(self.table.resting(13.0), set())

    def test_later_answer_lengthens_a_rest_and_never_shortens_it(self):
        self.table.record(10.0, target(), 3.0)
        self.assertFalse(self.table.record(10.5, target(), 0.5))
        self.assertEqual(self.table.resting(12.9), {"t1"})
        self.table.record(11.0, target(), 5.0)
        self.assertEqual(self.table.resting(15.9), {"t1"})

    def test_rest_ends_with_the_incarnation(self):
        self.table.record(10.0, target(), 30.0)
        self.table.retain(11.0, {"t1": target(born=2)})
        self.assertTrue(self.table.is_empty)

    def test_rest_of_a_target_that_is_gone_is_dropped(self):
        self.table.record(10.0, target(), 30.0)
        self.table.retain(11.0, {})
        self.assertTrue(self.table.is_empty)

    def test_ended_rests_are_dropped(self):
        self.table.record(10.0, target(), 1.0)
        self.table.retain(10.5, {"t1": target()})
        self.assertFalse(self.table.is_empty)
        self.table.retain(11.0, {"t1": target()})
        self.assertTrue(self.table.is_empty)
