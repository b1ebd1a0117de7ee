"""Tests of the exchange of the rates of engines between nodes."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import FleetView, NodeReport, TargetLoad
from hibiscusspar.fleet.routing import ChoicePolicy
from hibiscusspar.fleet.tests.test_target_speeds import (
    D960EF2_DIGEST,
    decisions_digest,
)
from hibiscusspar_entry.fleet import rate_exchange
from hibiscusspar_entry.fleet.events import ENGINE_RATES, ENGINE_RATES_EXPIRED
from hibiscusspar_entry.fleet.placement import Placement
from hibiscusspar_entry.fleet.rate_exchange import RateExchange
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from hibiscusspar_entry.fleet.tests.test_coordinator import CoordinatorTestCase
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    Clock,
    SchedulerTestCase,
    engine_rules,
    target,
    view,
)

PRIOR = ChoicePolicy()
FAST = (38_700.0, 0.00547)
EVENT_STEPS = 4
INTERVAL_S = 0.1


def make_placement(tokens=1000, is_idle=True, running=0):
    row = target("t1")
    return Placement(row, ("m", "a1"), 1, tokens, 0.1, False, is_idle, running)


def make_admitted(last_event=None):
    call = SimpleNamespace(last_event=last_event)
    return SimpleNamespace(call=call, is_engine=True, event_steps=EVENT_STEPS)


def make_exchange(clock):
    exchange = RateExchange(clock)
    exchange.configure(engine_rules())
    return exchange


def reported(exchange):
    report = NodeReport("n", "s", "z1", 1, {}, {}, [], {}, {})
    exchange.complete_report(report)
    return Decoder(NodeReport).decode(to_json(report))


def viewed(rates, nodes=3):
    sent = view()
    sent.rates, sent.nodes = rates, nodes
    return Decoder(FleetView).decode(to_json(sent))


class ExchangeTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.records = []
        self.enterContext(
            patch.object(rate_exchange, "write_records", self.records.extend)
        )
        self.nodes = [make_exchange(self.clock) for _ in range(3)]
        self.coordinator = self.nodes[0]

    def run_for(self, seconds, rates=FAST, lost=(), reports=True):
        """Pass time; the views to the nodes of some numbers are lost."""
        for _ in range(round(seconds / INTERVAL_S)):
            self.clock.now += INTERVAL_S
            for number, node in enumerate(self.nodes):
                self.sample(node, *rates)
                report = reported(node)
                report.node = f"n{number}"
                if reports:
                    self.coordinator.apply_report(report)
            message = viewed(self.coordinator.due_rows(len(self.nodes)))
            for number, node in enumerate(self.nodes):
                if number not in lost:
                    node.apply_view(self.clock.now, message)

    def sample(self, node, rate, step_s):
        tokens = 400 + round(self.clock.now * 10) * 37 % 1800
        seconds = tokens / rate + EVENT_STEPS * step_s + 0.003
        node.record_prompt(self.clock.now, "draft", tokens, seconds, 0)
        node.record_steps(self.clock.now, "draft", 40, 40 * step_s, 0)

    def rates(self, node):
        policy = node.policy("draft")
        return policy.prompt_tokens_s, policy.step_s

    def lines(self, kind):
        return [fields for event, fields in self.records if event == kind]


class TestRates(ExchangeTestCase):
    def test_all_nodes_know_faster_engines(self):
        self.run_for(12.0)
        for node in self.nodes:
            rate, step_s = self.rates(node)
            self.assertAlmostEqual(rate / FAST[0], 1.0, delta=0.1)
            self.assertAlmostEqual(step_s / FAST[1], 1.0, delta=0.1)
            self.assertEqual(node.gauges()["engine_rates_faster"], 1)
            self.assertGreater(node.prompt_gain("draft"), 1.8)

    def test_lines_about_a_change_are_few(self):
        self.run_for(20.0)
        lines = self.lines(ENGINE_RATES)
        self.assertIn(len(lines), range(5, 12))
        self.assertEqual(lines[0]["before"], (19200, 0.0095))
        self.assertEqual(lines[0]["nodes"], 3)

    def test_decisions_about_engines_as_assumed_are_those_of_4554b0c(self):
        # The digest of its decisions is that of d960ef2, as its own test says.
        for rates in ((19_200.0, 0.0095), (21_500.0, 0.0087), (17_000.0, 0.0105)):
            self.run_for(10.0, rates)
            self.assertEqual(self.coordinator.due_rows(3)["draft"][:2], (19200, 0.0095))
            for node in self.nodes:
                self.assertEqual(node.policy("draft"), PRIOR)
                digest = decisions_digest(node.policy("draft"))
                self.assertEqual(digest, D960EF2_DIGEST)

    def test_decisions_about_faster_engines_differ(self):
        self.run_for(12.0)
        policy = self.nodes[1].policy("draft")
        self.assertNotEqual(decisions_digest(policy), D960EF2_DIGEST)

    def test_plain_service_has_no_rates(self):
        plain = SimpleNamespace(name="draft", engine=None)
        rules = SimpleNamespace(services={"draft": plain})
        for node in self.nodes:
            node.configure(rules)
        self.run_for(5.0)
        self.assertEqual(self.coordinator.due_rows(3), {})
        self.assertEqual(reported(self.nodes[1]).rates, {})


class TestFailures(ExchangeTestCase):
    def test_rates_outlast_lost_views_for_fifteen_seconds(self):
        self.run_for(12.0)
        known = self.rates(self.nodes[1])
        self.run_for(14.0, lost=(1,))
        self.assertEqual(self.rates(self.nodes[1]), known)
        self.assertEqual(self.lines(ENGINE_RATES_EXPIRED), [])
        self.run_for(2.0, lost=(1,))
        self.assertIs(self.nodes[1].policy("draft"), self.nodes[1].policy("other"))
        (line,) = self.lines(ENGINE_RATES_EXPIRED)
        self.assertEqual(line["service"], "draft")
        self.assertGreater(self.rates(self.nodes[2])[0], 30_000.0)

    def test_coordinator_of_4554b0c_tells_none_and_the_prior_applies(self):
        self.run_for(12.0)
        for _ in range(160):
            self.clock.now += INTERVAL_S
            for node in self.nodes:
                node.apply_view(self.clock.now, viewed({}))
                reported(node)
        for node in self.nodes:
            self.assertEqual(node.policy("draft"), PRIOR)

    def test_successor_continues_from_what_views_told(self):
        self.run_for(12.0)
        known = self.rates(self.nodes[1])
        self.coordinator = self.nodes[1]
        self.coordinator.take_over()
        self.run_for(1.0, reports=False)
        self.assertEqual(self.rates(self.nodes[2]), known)

    def test_changed_engines_are_estimated_anew(self):
        self.run_for(12.0)
        changed = engine_rules()
        for node in self.nodes:
            node.configure(changed)
        for node in self.nodes:
            self.assertEqual(node.policy("draft"), PRIOR)
            self.assertEqual(reported(node).rates, {})
        self.assertEqual(self.coordinator.due_rows(3), {})

    def test_rates_of_an_ended_service_are_dropped(self):
        self.run_for(12.0)
        for node in self.nodes:
            node.configure(SimpleNamespace(services={}))
            self.assertEqual(node.policy("draft"), PRIOR)
        self.run_for(1.0)
        self.assertEqual(self.rates(self.nodes[1]), (19_200.0, 0.0095))

    def test_one_wrong_node_changes_nothing(self):
        wrong = NodeReport("n9", "s", "z1", 1, {}, {}, [], {}, {})
        for row in ((1e9, 1e-9, 48), (1.0, 100.0, 48), (1e300, 1e300, 10**9)):
            wrong.rates = {"draft": row}
            for _ in range(100):
                self.coordinator.apply_report(wrong)
                self.run_for(0.1, (19_200.0, 0.0095))
                self.assertEqual(self.rates(self.nodes[1]), (19_200.0, 0.0095))

    def test_views_with_impossible_rates_are_ignored(self):
        node = self.nodes[1]
        for rates in ((1e9, 0.005), (19_200.0, 0.0), (-1.0, 0.01), (1.0, 0.01)):
            node.apply_view(self.clock.now, viewed({"draft": (*rates, 0.0)}))
            self.assertEqual(node.policy("draft"), PRIOR)

    def test_older_rates_of_another_coordinator_are_ignored(self):
        node = self.nodes[1]
        node.apply_view(self.clock.now, viewed({"draft": (*FAST, 1.0)}))
        node.apply_view(self.clock.now, viewed({"draft": (25_800.0, 0.0082, 9.0)}))
        self.assertEqual(self.rates(node), FAST)


class TestStreams(unittest.TestCase):
    """Samples of single streams."""

    def setUp(self):
        self.clock = Clock()
        self.exchange = make_exchange(self.clock)
        self.calls = []
        self.exchange.record_prompt = lambda now, *row: self.calls.append(row)
        self.exchange.record_steps = lambda now, *row: self.calls.append(row)
        self.read_until, self.factors = 0.0, {}
        scheduler = SimpleNamespace(
            reading_until=lambda target_id: self.read_until,
            running=lambda target_id: 3,
        )
        self.speeds = SpeedExchange(self.clock)
        self.speeds.factor = lambda target_id: self.factors.get(target_id, 1.0)
        self.exchange.observe(scheduler, self.speeds)

    def first_event(self, placement, last_event=None, then_sent=False):
        pace = self.speeds.pace(placement, make_admitted(last_event))
        self.clock.now += 0.1
        if then_sent:
            self.read_until = self.clock.now + 0.05
        pace.record(self.clock.now, 1)
        return pace

    def test_first_event_at_an_idle_target_is_a_sample(self):
        self.first_event(make_placement(running=2))
        ((service, tokens, seconds, running),) = self.calls
        self.assertEqual((service, tokens, running), ("draft", 1000, 2))
        self.assertAlmostEqual(seconds, 0.1)

    def test_other_first_events_are_none(self):
        self.first_event(make_placement(is_idle=False))
        self.first_event(make_placement(running=40))
        self.first_event(make_placement(tokens=0))
        self.first_event(make_placement(), last_event=5)
        self.first_event(make_placement(), then_sent=True)
        self.factors["t1"] = 1.6
        self.first_event(make_placement())
        self.assertEqual(self.calls, [])

    def test_stretches_in_which_a_prompt_is_read_do_not_count(self):
        pace = self.first_event(make_placement(is_idle=False))
        for number in range(2, 12):
            if number == 5:
                self.read_until = self.clock.now + 0.01
            self.clock.now += 0.08
            pace.record(self.clock.now, number)
        ((_, steps, seconds, running),) = self.calls
        self.assertEqual((steps, running), (16, 3))
        self.assertAlmostEqual(seconds, 0.32)


class TestScheduler(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.exchange = self.scheduler._rates
        self.exchange.configure(engine_rules())
        self.targets(target("t1", ["a1"]))

    def tell(self, rates, loads=None):
        told = view(loads=loads)
        told.rates = {"draft": (*rates, 0.0)}
        self.scheduler.apply_view(told)

    def test_prompt_of_a_faster_engine_is_queued_for_less_time(self):
        self.tell(FAST)
        self.scheduler.submit(self.job())
        queued_s = self.scheduler.reading_until("t1") - self.clock.now
        self.assertAlmostEqual(queued_s, 1000 / FAST[0])

    def test_faster_engine_gets_requests_that_would_have_waited(self):
        loads = {"t1": TargetLoad(10, 24_000)}
        self.tell((19_200.0, 0.0095), loads)
        self.assertFalse(self.scheduler.submit(self.job()).decided.is_set())
        self.clock.now += 2.0
        self.tell(FAST, loads)
        ticket = self.scheduler.submit(self.job())
        self.assertIsNotNone(ticket.placement)
        self.assertEqual(ticket.placement.running, 10)
        self.assertFalse(ticket.placement.is_idle)

    def test_idle_target_is_told_with_the_placement(self):
        placement = self.scheduler.submit(self.job()).placement
        self.assertEqual((placement.is_idle, placement.running), (True, 0))
        placement = self.scheduler.submit(self.job()).placement
        self.assertEqual((placement.is_idle, placement.running), (False, 1))
        self.assertEqual(self.scheduler.running("t1"), 2)


class TestCoordinator(CoordinatorTestCase):
    def test_view_carries_what_reports_tell(self):
        self.coordinator._rates.configure(engine_rules())
        for _ in range(40):
            self.clock.now += INTERVAL_S
            self.report(rates={"draft": (*FAST, 40)})
            rates = self.next_view().rates["draft"]
        self.assertGreater(rates[0], 30_000.0)
        self.assertLess(rates[2], 0.2)

    def test_backlogs_follow_the_rates_of_the_service(self):
        self.report(loads={"t1": TargetLoad(0, 24_000)})
        usual_s = self.coordinator._backlogs(self.clock.now)["t1"]
        rates = self.coordinator._rates
        rates.configure(engine_rules())
        rates.apply_view(self.clock.now, viewed({"draft": (*FAST, 0.0)}))
        self.assertAlmostEqual(usual_s, 24_000 / 19_200 - 0.15 + 0.0095)
        fast_s = self.coordinator._backlogs(self.clock.now)["t1"]
        self.assertAlmostEqual(fast_s, 24_000 / FAST[0] - 0.15 + FAST[1])


if __name__ == "__main__":
    unittest.main()
