"""Tests of requests for adapters by streams of leaving targets."""

import threading
import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.leaving_targets import Leave
from hibiscusspar.fleet.run_weights import RunWeights
from hibiscusspar_entry.fleet.destinations import Destinations
from hibiscusspar_entry.fleet.move_log import MoveLog
from hibiscusspar_entry.fleet.placement import Placement
from hibiscusspar_entry.fleet.ports import TargetState
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    SchedulerTestCase,
    target,
    view,
)
from hibiscusspar_entry.fleet.weights_check import WeightsCheck

HELD = TargetState(0, {}, {}, {"m": 1}, False)


class TestLoadRequests(SchedulerTestCase):
    """Run of an adapter that only its leaving target holds, with the real scheduler."""

    def setUp(self):
        super().setUp()
        source = target("t0", ["a1"], draining=True)._replace(software="v1")
        self.targets(source, target("t1")._replace(software="v1"))
        self.scheduler.apply_view(view({"t1": (1, [])}))
        self.states = {}
        self.log = MoveLog(self.clock)
        weights = WeightsCheck(self.clock, lambda t: self.states.get(t.target_id, HELD))
        self.destinations = Destinations(
            self.clock, self.scheduler, set, weights, self.log
        )
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
            unread={},
            ticket=None,
            has_waited=False,
            closed=threading.Event(),
            suits=lambda placement: True,
            weights=RunWeights(1, 1),
            key=("m", "a1"),
            fields=dict,
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

    def test_choice_ends_after_two_targets_that_report_nothing(self):
        """Guards against a wait for one time-out after the other."""
        names = [f"t{i}" for i in range(1, 6)]
        rows = [target(name, ["a1"])._replace(software="v1") for name in names]
        self.targets(self.run_.placement.target, *rows)
        states = {name: (2, [("m/a1", 1, 0.0)]) for name in names}
        self.scheduler.apply_view(view(states, number=2))
        self.states = dict.fromkeys(names)
        self.assertIsNone(self.reserve())
        self.assertEqual(len(self.run_.unread), 2)
        self.assertIsNone(self.reserve())
        self.states = {}
        (remaining,) = set(names) - self.run_.unread.keys()
        self.assertEqual(self.reserve().target.target_id, remaining)
        self.assertEqual(self.log.gauges()["stream_destinations_unknown"], 4)
        self.assertEqual(self.scheduler.status()[2], 1)

    def test_target_that_reported_nothing_is_tried_again(self):
        """Guards against a lost report that rules a target out for good."""
        row = target("t1", ["a1"])._replace(software="v1")
        self.targets(self.run_.placement.target, row)
        self.scheduler.apply_view(view({"t1": (2, [("m/a1", 1, 0.0)])}, number=2))
        self.states = {"t1": None}
        self.assertIsNone(self.reserve())
        self.states = {}
        self.clock.now += 0.4
        self.assertIsNone(self.reserve())
        self.clock.now += 0.2
        self.assertEqual(self.reserve().target.target_id, "t1")

    def test_stopped_run_waits_for_one_target_that_reports_nothing(self):
        names = ["t1", "t2"]
        rows = [target(name, ["a1"])._replace(software="v1") for name in names]
        self.targets(self.run_.placement.target, *rows)
        states = {name: (2, [("m/a1", 1, 0.0)]) for name in names}
        self.scheduler.apply_view(view(states, number=2))
        self.states = dict.fromkeys(names)
        placement = self.destinations.reserve(
            self.run_, set, lambda placement: True, is_stopped=True
        )
        self.assertIsNone(placement)
        self.assertEqual(len(self.run_.unread), 1)

    def test_target_is_released_if_its_report_causes_an_error(self):
        row = target("t1", ["a1"])._replace(software="v1")
        self.targets(self.run_.placement.target, row)
        self.scheduler.apply_view(view({"t1": (2, [("m/a1", 1, 0.0)])}, number=2))
        self.states = {"t1": "no state"}
        with self.assertRaises(AttributeError):
            self.reserve()
        self.assertEqual(self.scheduler.status()[2], 0)

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
