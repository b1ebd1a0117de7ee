"""Tests of who takes a free duty first."""

import unittest

from hibiscusspar.fleet.turns import Applicant, patience_s

OLD = Applicant(turn_s=0.0, age_s=600.0, cores=2.0, link_mbps=200.0)


class TestPatience(unittest.TestCase):
    def assert_first(self, first, second):
        self.assertLess(patience_s(first), patience_s(second))

    def test_process_that_started_lately_goes_before_the_next_to_be_stopped(self):
        self.assert_first(OLD._replace(age_s=3.0), OLD)

    def test_large_vm_goes_before_small_ones(self):
        self.assert_first(OLD, OLD._replace(cores=0.5))
        self.assert_first(OLD, OLD._replace(link_mbps=10.0))

    def test_free_node_of_the_zone_goes_before_others(self):
        self.assert_first(OLD, OLD._replace(is_busy=True))
        self.assert_first(OLD._replace(is_busy=True), OLD._replace(is_away=True))

    def test_age_matters_only_so_far(self):
        self.assertEqual(patience_s(OLD), patience_s(OLD._replace(age_s=1e6)))
