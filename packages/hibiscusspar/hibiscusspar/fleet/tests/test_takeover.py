"""Tests of the delays before a lease is polled or taken."""

import unittest

from hibiscusspar.fleet.takeover import Applicant, poll_delay_s, takeover_delay_s

OLD = Applicant(jitter_s=0.0, age_s=600.0, cores=2.0, link_mbps=200.0)


class TestTakeoverDelay(unittest.TestCase):
    def assert_shorter_delay(self, first, second):
        self.assertLess(takeover_delay_s(first), takeover_delay_s(second))

    def test_recently_started_process_goes_before_older_ones(self):
        self.assert_shorter_delay(OLD._replace(age_s=3.0), OLD)

    def test_large_vm_goes_before_small_ones(self):
        self.assert_shorter_delay(OLD, OLD._replace(cores=0.5))
        self.assert_shorter_delay(OLD, OLD._replace(link_mbps=10.0))

    def test_node_of_the_zone_without_a_duty_goes_first(self):
        self.assert_shorter_delay(OLD, OLD._replace(has_duty=True))
        self.assert_shorter_delay(
            OLD._replace(has_duty=True), OLD._replace(in_other_zone=True)
        )

    def test_delay_by_age_is_bounded(self):
        self.assertEqual(
            takeover_delay_s(OLD), takeover_delay_s(OLD._replace(age_s=1e6))
        )


class TestPollDelay(unittest.TestCase):
    """All nodes of a fleet miss the same holder at the same moment."""

    def delays(self, nodes, **changes):
        jitters = [0.3 * index / nodes for index in range(nodes)]
        return [
            poll_delay_s(Applicant(jitter, 5.0, 2.0, 100.0, **changes), nodes)
            for jitter in jitters
        ]

    def test_small_fleet_polls_at_once(self):
        self.assertEqual(max(self.delays(9)), 0.0)

    def test_few_nodes_of_a_large_fleet_poll_at_once(self):
        for nodes in (78, 360):
            soon = sum(delay < 0.3 for delay in self.delays(nodes))
            self.assertGreater(soon, 1)
            self.assertLess(soon, 16)

    def test_nodes_of_other_zones_poll_later(self):
        here, other = self.delays(78), self.delays(78, in_other_zone=True)
        self.assertGreater(min(other), 0.9)
        self.assertLess(min(here), 0.1)
