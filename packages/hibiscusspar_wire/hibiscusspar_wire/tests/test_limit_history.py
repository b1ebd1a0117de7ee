"""Tests of the idle limits of which callers may know."""

import unittest

from hibiscusspar_wire.limit_history import LimitHistory


class TestLimitHistory(unittest.TestCase):
    def setUp(self):
        self.limits = LimitHistory(4.0, 0.0)

    def test_lower_limit_holds_for_connections_that_become_idle_later(self):
        self.limits.change(10.0, 1.0)
        self.assertEqual(self.limits.keep_until(9.0), 13.0)
        self.assertEqual(self.limits.keep_until(10.5), 11.5)

    def test_higher_limit_holds_for_connections_that_are_idle(self):
        self.limits.change(10.0, 9.0)
        self.assertEqual(self.limits.keep_until(9.0), 18.0)

    def test_longest_of_several_limits_holds(self):
        self.limits.change(10.0, 1.0)
        self.limits.change(10.2, 6.0)
        self.limits.change(10.4, 2.0)
        self.assertEqual(self.limits.keep_until(9.0), 15.0)
        self.assertEqual(self.limits.keep_until(10.3), 16.3)
        self.assertEqual(self.limits.keep_until(10.5), 12.5)

    def test_limits_that_hold_for_no_connection_are_dropped(self):
        for number in range(1000):
            self.limits.change(10.0 + number, 1.0 + number % 2)
        self.assertLess(len(self.limits._earlier), 4)

    def test_callers_may_learn_of_a_lower_limit_later(self):
        limits = LimitHistory(4.0, 2.0)
        limits.change(10.0, 1.0)
        self.assertEqual(limits.keep_until(11.5), 15.5)
        self.assertEqual(limits.keep_until(12.5), 13.5)

    def test_callers_may_learn_of_two_lower_limits_later(self):
        limits = LimitHistory(4.0, 2.0)
        limits.change(10.0, 3.0)
        limits.change(11.0, 1.0)
        self.assertEqual(limits.keep_until(11.5), 15.5)
        self.assertEqual(limits.keep_until(12.5), 15.5)
        self.assertEqual(limits.keep_until(13.5), 14.5)
