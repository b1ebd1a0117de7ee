"""Tests of the duties whose leases are left to other nodes."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.takeover import Applicant
from hibiscusspar_entry.fleet.lease_deferral import LeaseDeferral
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock


class TestLeaseDeferral(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.view_age_s = None
        self.nodes = 1
        self.election = SimpleNamespace(is_renewed=False)
        self.subject = LeaseDeferral(
            self.clock,
            self.election,
            lambda zone: Applicant(
                0.2, 0.0, 1.0, 100.0, in_other_zone=zone not in ("", "z0")
            ),
            lambda: self.view_age_s,
            lambda: self.nodes,
        )

    def receive(self, *held):
        self.view_age_s = 0.1
        self.nodes = 195
        return self.subject.apply_view(SimpleNamespace(leased=True, held=held))

    def test_coordinators_lease_is_read_at_once_at_the_start(self):
        self.assertFalse(self.subject.skips_coordinator())

    def test_duties_are_left_alone_until_the_first_view_is_overdue(self):
        self.clock.now += 1.4
        self.assertTrue(self.subject.skips_duty("z0"))
        self.clock.now += 0.2
        self.assertFalse(self.subject.skips_duty("z0"))

    def test_live_coordinator_is_awaited_longer(self):
        self.election.is_renewed = True
        self.clock.now += 2.4
        self.assertTrue(self.subject.skips_duty("z0"))
        self.clock.now += 0.2
        self.assertFalse(self.subject.skips_duty("z0"))

    def test_unheld_duty_of_the_own_zone_is_read_soon_after_a_start(self):
        # Its machine may have held it before all nodes lost power; any other machine
        # would have to wait out the orders of the holder.
        self.assertTrue(self.receive("z1"))
        for zone in ("z0", "z2"):
            self.assertTrue(self.subject.skips_duty(zone))
        self.clock.now += 0.25
        self.assertFalse(self.subject.skips_duty("z0"))
        self.assertTrue(self.subject.skips_duty("z2"))
        self.assertTrue(self.subject.skips_duty("z1"))

    def test_duty_that_is_lost_later_is_read_by_a_few_nodes_first(self):
        self.receive("z0")
        self.assertTrue(self.subject.skips_duty("z0"))
        self.clock.now += 60.0
        self.receive()
        self.assertTrue(self.subject.skips_duty("z0"))
        self.clock.now += 1.0
        self.assertTrue(self.subject.skips_duty("z0"))

    def test_silent_coordinator_is_not_active(self):
        self.receive("z0")
        self.assertTrue(self.subject.has_active_coordinator)
        # 1.5 intervals of views at 195 nodes are 0.585 s.
        self.view_age_s = 0.6
        self.assertFalse(self.subject.has_active_coordinator)

    def test_coordinator_of_a_large_fleet_is_active_between_two_views(self):
        # At 360 nodes views come every 0.72 s, and leases would be checked every
        # 0.05 s for a third of the time.
        self.receive("z0")
        self.nodes, self.view_age_s = 360, 1.07
        self.assertTrue(self.subject.has_active_coordinator)
        self.view_age_s = 1.09
        self.assertFalse(self.subject.has_active_coordinator)

    def test_small_fleet_counts_its_coordinator_as_silent_as_soon_as_before(self):
        self.receive("z0")
        self.nodes, self.view_age_s = 166, 0.49
        self.assertTrue(self.subject.has_active_coordinator)
        self.assertAlmostEqual(self.subject.silent_in_s, 0.01)
        self.view_age_s = 0.51
        self.assertFalse(self.subject.has_active_coordinator)


if __name__ == "__main__":
    unittest.main()
