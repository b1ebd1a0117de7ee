"""Tests of the exchange of the speeds of targets between nodes."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.fleet.load_counts import current_load
from hibiscusspar.fleet.messages import FleetView, NodeReport, TargetLoad
from hibiscusspar.fleet.target_loads import wait_s
from hibiscusspar_entry.fleet import speed_exchange
from hibiscusspar_entry.fleet.load_events import SPEEDS_SOURCE, TARGET_SPEED
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    Clock,
    SchedulerTestCase,
    engine_rules,
    target,
    view,
)

EVENT_STEPS = 4
STEP_S = 0.01
INTERVAL_S = 0.1


class Node:
    """Exchange of one node, with a stream at each target."""

    def __init__(self, name, clock, targets, min_targets=1):
        self.name = name
        self.number = 0
        self.exchange = SpeedExchange(clock, min_targets=min_targets)
        self.exchange.configure(engine_rules())
        self.exchange.set_targets(targets)
        admitted = SimpleNamespace(is_engine=True, event_steps=EVENT_STEPS)
        self.paces = {
            name: self.exchange.pace(SimpleNamespace(target=row), admitted)
            for name, row in targets.items()
        }
        self.counts = dict.fromkeys(targets, 0)

    def record(self, at, target_id):
        self.counts[target_id] += 1
        self.paces[target_id].record(at, self.counts[target_id])

    def report(self):
        self.number += 1
        report = NodeReport(self.name, "s", "z1", self.number, {}, {}, [], {}, {})
        self.exchange.complete_report(report)
        return Decoder(NodeReport).decode(to_json(report))

    def factors(self):
        return {t: self.exchange.factor(t) for t in sorted(self.counts)}


class ExchangeTestCase(unittest.TestCase):
    target_count = 5
    min_targets = 1

    def setUp(self):
        self.clock = Clock()
        self.records = []
        self.enterContext(
            patch.object(speed_exchange, "write_records", self.records.extend)
        )
        self.targets = {f"t{n}": target(f"t{n}") for n in range(self.target_count)}
        self.nodes = [
            Node(f"n{n}", self.clock, self.targets, self.min_targets) for n in range(3)
        ]
        self.coordinator = self.nodes[0].exchange
        self.slowness = dict.fromkeys(self.targets, 1.0)
        self.next_at = dict.fromkeys(self.targets, self.clock.now)
        self.number = 0
        self.rows = {}

    def run_for(self, seconds, lost=()):
        """Pass time; the views to the ``lost`` nodes are lost."""
        for _ in range(round(seconds / INTERVAL_S)):
            self.clock.now += INTERVAL_S
            for name, slowness in self.slowness.items():
                while self.next_at[name] <= self.clock.now:
                    for node in self.nodes:
                        node.record(self.next_at[name], name)
                    self.next_at[name] += EVENT_STEPS * STEP_S * slowness
            for node in self.nodes:
                self.coordinator.apply_report(node.report())
            self.number += 1
            self.rows = self.coordinator.due_rows(self.number, len(self.nodes))
            for node in self.nodes:
                if node.name not in lost:
                    node.exchange.apply_view(self.view(self.rows))

    def view(self, rows):
        sent = view()
        sent.speeds, sent.nodes = rows, len(self.nodes)
        return Decoder(FleetView).decode(to_json(sent))

    def lines(self, kind):
        return [fields for event, fields in self.records if event == kind]


class TestServiceWithFewTargets(ExchangeTestCase):
    """Two busy targets of six seemed slow, and requests were refused for it."""

    target_count = 6
    min_targets = 12

    def test_no_target_gets_a_factor_with_or_without_views(self):
        self.slowness["t0"] = 5.0
        self.run_for(3.0)
        self.assertEqual(self.rows, {})
        self.run_for(3.0, lost=("n1",))
        for node in self.nodes:
            self.assertEqual(set(node.factors().values()), {1.0})


class TestFactors(ExchangeTestCase):
    def test_all_nodes_know_a_slow_target_within_a_second(self):
        self.run_for(2.0)
        self.assertEqual(self.rows, {})
        self.slowness["t0"] = 5.0
        self.run_for(1.0)
        for node in self.nodes:
            factors = node.factors()
            self.assertGreater(factors.pop("t0"), 4.0)
            self.assertEqual(set(factors.values()), {1.0})
        self.assertEqual(self.nodes[1].exchange.counts["slow_targets"], 1)

    def test_told_factors_have_their_times_and_end_with_the_views(self):
        """Streams move only for factors that the coordinator has told lately."""
        self.slowness["t0"] = 5.0
        self.run_for(2.0)
        exchange = self.nodes[1].exchange
        told = exchange.told()
        self.assertEqual([*told], ["t0"])
        self.assertEqual((told["t0"].born, told["t0"].factor > 4.0), (1, True))
        self.assertLess(self.clock.now - told["t0"].as_of, 0.5)
        self.run_for(2.0, lost=("n1",))
        self.assertEqual(exchange.told(), {})
        self.assertGreater(self.nodes[1].factors()["t0"], 4.0)

    def test_end_of_a_slow_period_reaches_all_nodes(self):
        self.run_for(2.0)
        self.slowness["t0"] = 5.0
        self.run_for(1.0)
        self.slowness["t0"] = 1.0
        self.run_for(4.0)
        for node in self.nodes:
            self.assertEqual(set(node.factors().values()), {1.0})

    def test_equal_targets_send_and_log_nothing(self):
        self.run_for(1.0)
        self.records.clear()
        for _ in range(20):
            self.run_for(0.1)
            self.assertEqual(self.rows, {})
        self.assertEqual(self.records, [])

    def test_restarted_target_is_at_the_usual_speed(self):
        self.slowness["t0"] = 5.0
        self.run_for(2.0)
        restarted = self.targets | {"t0": target("t0", born=2)}
        for node in self.nodes:
            node.exchange.set_targets(restarted)
            self.assertEqual(node.factors()["t0"], 1.0)
        self.nodes[1].exchange.apply_view(self.view({"t0": (1, 5.0, 0.0)}))
        self.assertEqual(self.nodes[1].factors()["t0"], 1.0)

    def test_plain_services_have_no_factors(self):
        node = self.nodes[1]
        plain = SimpleNamespace(name="draft", engine=None)
        node.exchange.configure(SimpleNamespace(services={"draft": plain}))
        node.exchange.apply_view(self.view({"t0": (1, 5.0, 0.0)}))
        self.assertEqual(node.factors()["t0"], 1.0)
        admitted = SimpleNamespace(is_engine=False, event_steps=1)
        self.assertIsNone(node.exchange.pace(None, admitted))

    def test_new_coordinator_starts_from_what_views_told(self):
        self.slowness["t0"] = 5.0
        self.run_for(2.0)
        successor = self.nodes[1].exchange
        successor.take_over()
        rows = successor.due_rows(1, len(self.nodes))
        self.assertGreater(rows["t0"][1], 4.0)


class TestViews(ExchangeTestCase):
    def test_node_without_views_uses_its_own_samples(self):
        self.run_for(2.0)
        self.slowness["t0"] = 5.0
        self.run_for(1.0, lost=["n1"])
        # Only what this node detected at once counts yet, for one second.
        self.assertEqual(self.nodes[1].exchange.counts["speeds_own_only"], 0)
        self.assertEqual(self.nodes[1].exchange.counts["slow_periods_detected"], 1)
        self.run_for(1.0, lost=["n1"])
        self.assertGreater(self.nodes[1].factors()["t0"], 4.0)
        self.assertEqual(self.nodes[1].exchange.counts["speeds_own_only"], 1)
        self.run_for(0.5)
        self.assertGreater(self.nodes[1].factors()["t0"], 4.0)
        sources = [line["source"] for line in self.lines(SPEEDS_SOURCE)]
        self.assertEqual(sources.count("own samples"), 4)
        self.assertEqual(sources[-2:], ["own samples", "views"])

    def test_older_facts_and_bad_values_are_ignored(self):
        node = self.nodes[1]
        node.exchange.apply_view(self.view({"t0": (1, 3.0, 0.0)}))
        node.exchange.apply_view(self.view({"t0": (1, 1.0, 5.0)}))
        self.assertEqual(node.factors()["t0"], 3.0)
        node.exchange.apply_view(self.view({"t0": (1, -4.0, 0.0)}))
        self.assertEqual(node.factors()["t0"], 0.25)
        node.exchange.apply_view(self.view({"t9": (1, 4.0, 0.0), "t1": (7, 4.0, 0.0)}))
        self.assertEqual(node.factors()["t1"], 1.0)

    def test_factor_that_no_view_repeats_ends(self):
        node = self.nodes[1]
        node.exchange.apply_view(self.view({"t0": (1, 3.0, 0.0)}))
        for _ in range(20):
            self.clock.now += 1.0
            node.exchange.apply_view(self.view({}))
        self.assertEqual(node.factors()["t0"], 1.0)

    def test_bad_samples_are_ignored(self):
        bad = {"t0": (1, -1.0, 5), "t1": (1, 0.0, 5), "t2": (1, 1.0, -5)}
        report = self.nodes[1].report()
        report.speeds = bad | {"t9": (1, 0.01, 5)}
        self.coordinator.apply_report(report)
        self.assertEqual(self.coordinator.due_rows(1, 3), {})


class TestBounds(ExchangeTestCase):
    target_count = 200

    def test_views_and_lines_are_bounded(self):
        self.run_for(1.0)
        self.records.clear()
        for number, name in enumerate(self.targets):
            self.slowness[name] = 5.0 if number % 3 == 0 else 1.0
        told = set()
        for _ in range(50):
            self.run_for(0.1)
            self.assertLessEqual(len(self.rows), 64)
            told |= {name for name, row in self.rows.items() if row[1] > 4.0}
        slow = {name for name, slowness in self.slowness.items() if slowness > 1.0}
        self.assertEqual(told, slow)
        self.assertLessEqual(len(self.lines(TARGET_SPEED)), 8 * 6)
        self.assertGreater(len(self.lines(TARGET_SPEED)), 8)

    def test_reports_are_bounded(self):
        self.run_for(1.0)
        self.assertEqual(len(self.nodes[1].report().speeds), 8)


class TestStreams(unittest.TestCase):
    def test_pace_counts_events_and_ends_with_the_attempt(self):
        calls = []
        exchange = SimpleNamespace(
            begin=lambda now, target, steps: calls.append(("begin", now)),
            record=lambda now, target, gap_s, steps: calls.append((gap_s, steps)),
            end=lambda target: calls.append("end"),
        )
        state = RequestState()
        state.splitter = SimpleNamespace(count=0)
        pace = speed_exchange.StreamPace(exchange, target("t1"), EVENT_STEPS, 0.06)
        state.begin_attempt("t1", pace)
        for now, count in ((1.0, 1), (1.5, 2), (1.53, 3), (1.75, 4)):
            state.splitter.count = count
            state.record_event(now)
        state.close_connection()
        state.close_connection()
        self.assertEqual(calls, [("begin", 1.0), (0.5, 4), (0.25, 8), "end"])


class TestScheduler(SchedulerTestCase):
    def test_request_goes_to_the_faster_target(self):
        self.scheduler.factor = {"t1": 3.0, "t2": 0.5}.get
        self.targets(target("t1", ["a1"]), target("t2", ["a1"]))
        ticket = self.scheduler.submit(self.job())
        self.assertEqual(ticket.placement.target.target_id, "t2")

    def test_prompt_of_a_slow_target_is_queued_for_longer(self):
        self.targets(target("t1", ["a1"]))
        self.scheduler.submit(self.job())
        usual_s = self.scheduler.reading_until("t1") - self.clock.now
        self.scheduler.factor = lambda target_id: 3.0
        self.targets(target("t2", ["a1"]))
        self.scheduler.submit(self.job())
        slow_s = self.scheduler.reading_until("t2") - self.clock.now
        self.assertAlmostEqual(slow_s, 3.0 * usual_s)


class TestTargetLoads(unittest.TestCase):
    def test_requests_of_other_nodes_are_added(self):
        own, reported = TargetLoad(2, 100), TargetLoad(5, 900)
        found = current_load(own, reported, TargetLoad(1, 300))
        self.assertEqual(found, (6, 700))
        self.assertEqual(current_load(None, None, None), (0, 0))

    def test_wait_grows_with_the_factor(self):
        load = TargetLoad(10, 9600)
        self.assertAlmostEqual(wait_s(load, 128), 0.5 - 0.15 + 0.0095 + 0.02)
        self.assertGreater(wait_s(load, 128, 2.0), 2 * wait_s(load, 128))
        self.assertGreater(wait_s(TargetLoad(44, 0), 128), 1.0)
        self.assertLess(wait_s(TargetLoad(44, 0), 128, 0.5), 1.0)


if __name__ == "__main__":
    unittest.main()
