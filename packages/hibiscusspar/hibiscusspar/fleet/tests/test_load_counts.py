"""Tests of the load of a target."""

import unittest

from hibiscusspar.fleet.load_counts import current_load
from hibiscusspar.fleet.messages import TargetLoad


class TestCurrentLoad(unittest.TestCase):
    def test_own_share_of_a_view_is_not_counted_twice(self):
        load = current_load(TargetLoad(3, 400), TargetLoad(5, 900), TargetLoad(2, 100))
        self.assertEqual(load, (6, 1200))

    def test_requests_that_ended_since_are_not_counted(self):
        load = current_load(None, TargetLoad(1, 50), TargetLoad(2, 100))
        self.assertEqual(load, (0, 0))

    def test_target_that_no_view_names(self):
        self.assertEqual(current_load(None, None, None), (0, 0))
        self.assertEqual(current_load(TargetLoad(1, 50), None, None), (1, 50))
