"""Tests of requests for adapters by streams of leaving targets."""

import threading
import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.leaving_targets import Leave
from hibiscusspar_entry.fleet.destinations import Destinations
from hibiscusspar_entry.fleet.placement import Placement
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    SchedulerTestCase,
    target,
    view,
)


class TestLoadRequests(SchedulerTestCase):
    """Run of an adapter that only its leaving target holds, with the real scheduler."""

    def setUp(self):
        super().setUp()
        source = target("t0", ["a1"], draining=True)._replace(software="v1")
        self.targets(source, target("t1")._replace(software="v1"))
        self.scheduler.apply_view(view({"t1": (1, [])}))
        self.destinations = Destinations(self.clock, self.scheduler, set)
        call = SimpleNamespace(request_id="r1", model="m", adapter="a1")
        route = SimpleNamespace(first_byte_slo_s=1.0, max_gap_s=0.3)
        self.run_ = SimpleNamespace(
            admitted=SimpleNamespace(
                call=call,
                route=route,
                service="draft",
                priority=1,
                fraction=0.5,
                event_steps=4,
            ),
            state=SimpleNamespace(attempts=1),
            placement=Placement(source, ("m", "a1"), 1, 100, 0.0),
            leave=Leave(self.clock.now, self.clock.now + 1.0, "draining"),
            is_relief=False,
            unsuitable=frozenset(),
            tried=frozenset(),
            ticket=None,
            has_waited=False,
            closed=threading.Event(),
            suits=lambda placement: True,
        )

    def test_targets_with_other_weights_are_left_out(self):
        """Guards against a choice that ends before it reaches a suitable target."""
        others = [
            target(f"t{i}", ["a1"])._replace(software="v1", models={"m": 2})
            for i in range(1, 10)
        ]
        source = self.run_.placement.target
        self.targets(source, *others, target("t10", ["a1"])._replace(software="v1"))
        rows = {f"t{i}": (1, [("m/a1", 1, 0.0)]) for i in range(1, 11)}
        self.scheduler.apply_view(view(rows, number=2))
        self.assertEqual(self.reserve().target.target_id, "t10")

    def reserve(self):
        return self.destinations.reserve(self.run_, set, lambda placement: True)

    def wants(self):
        return self.scheduler.report({}).wants

    def test_report_wants_the_adapter_at_once_at_other_targets(self):
        reports = []
        self.scheduler.request_report = lambda: reports.append(True)
        self.assertIsNone(self.reserve())
        self.assertEqual(self.wants(), [])
        self.assertTrue(self.destinations.request_load(self.run_))
        self.assertEqual(reports, [True])
        (want,) = self.wants()
        self.assertEqual((want.adapter, want.waiting, want.tokens), ("a1", 1, 1))
        self.assertNotIn("t1", want.excluded_targets)

    def test_run_gets_the_target_once_the_adapter_is_loaded(self):
        self.destinations.request_load(self.run_)
        self.clock.now += 0.3
        self.scheduler.apply_view(view({"t1": (2, [("m/a1", 1, 0.0)])}, number=2))
        self.scheduler.tick()
        self.assertTrue(self.run_.ticket.decided.is_set())
        self.assertEqual(self.reserve().target.target_id, "t1")
        self.assertIsNone(self.run_.ticket)
        self.assertEqual(self.wants(), [])

    def test_nothing_is_wanted_after_the_time_of_the_source_or_the_end(self):
        self.destinations.request_load(self.run_)
        self.clock.now += 1.1
        self.scheduler.tick()
        self.assertEqual(self.wants(), [])
        self.assertFalse(self.destinations.request_load(self.run_))
        self.setUp()
        self.destinations.request_load(self.run_)
        self.destinations.withdraw(self.run_)
        self.assertEqual(self.wants(), [])

    def test_run_that_ended_during_the_request_waits_for_nothing(self):
        self.run_.closed.set()
        self.assertFalse(self.destinations.request_load(self.run_))
        self.assertEqual(self.wants(), [])


if __name__ == "__main__":
    unittest.main()
