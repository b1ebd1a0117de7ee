"""Tests of the services that a change has dropped."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.dropped_services import DroppedServices
from hibiscusspar.fleet.waiting import Job


def job(service, fraction=0.5):
    return Job("r", service, ("", ""), 1, 10, 0.0, 1.0, 1.5, fraction)


def targets(*services):
    return {service: SimpleNamespace(service=service) for service in services}


class TestDroppedServices(unittest.TestCase):
    def setUp(self):
        self.dropped = DroppedServices()
        self.dropped.configure(["a", "b"])

    def reason(self, service):
        refusal = self.dropped.refusal(job(service))
        return refusal.reason if refusal else None

    def test_service_that_appears_with_the_next_change_is_not_refused(self):
        self.assertIsNone(self.reason("c"))
        self.assertIsNone(self.reason("a"))

    def test_removed_service_is_refused_until_it_is_configured_again(self):
        self.dropped.configure(["a"])
        self.dropped.configure(["a", "c"])
        self.assertEqual(self.reason("b"), "no such service")
        self.dropped.configure(["a", "b"])
        self.assertIsNone(self.reason("b"))

    def test_service_is_refused_until_it_has_a_target_again(self):
        self.dropped.set_targets(targets("a", "b"))
        self.dropped.set_targets(targets("b"))
        self.dropped.set_targets(targets("b"))
        self.assertEqual(self.reason("a"), "no target")
        self.assertIsNone(self.reason("b"))
        self.dropped.set_targets(targets("a"))
        self.assertIsNone(self.reason("a"))
        self.assertEqual(self.reason("b"), "no target")

    def test_callers_do_not_return_at_the_same_time(self):
        self.dropped.configure(["a"])
        early = self.dropped.refusal(job("b", 0.0)).retry_after_s
        late = self.dropped.refusal(job("b", 1.0)).retry_after_s
        self.assertAlmostEqual(early, 0.3)
        self.assertAlmostEqual(late, 1.0)
