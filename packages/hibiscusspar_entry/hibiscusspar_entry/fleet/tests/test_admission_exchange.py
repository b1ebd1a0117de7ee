"""Tests of the exchange of demand and levels between a node and the coordinator."""

import threading
import unittest
from types import SimpleNamespace

from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.events import catalogue
from hibiscusspar.fleet.messages import (
    AdmissionLevel,
    FleetView,
    NodeReport,
    TargetLoad,
)
from hibiscusspar.fleet.waiting import Job, Refuse, Send
from hibiscusspar_entry.fleet import admission_exchange
from hibiscusspar_entry.fleet.admission_exchange import (
    AdmissionExchange,
    AdmissionGate,
    AdmissionLevels,
)
from hibiscusspar_entry.fleet.call_admission import _first_arrival
from hibiscusspar_entry.fleet.load_events import ACCOUNT_SHARES, ADMISSION_LEVEL
from hibiscusspar_entry.fleet.metrics import FleetMetrics
from hibiscusspar_entry.fleet.placement_job import make_job
from hibiscusspar_entry.fleet.report_table import NodeRecord
from hibiscusspar_entry.fleet.request_state import RequestState
from hibiscusspar_entry.fleet.tests.test_coordinator import CoordinatorTestCase
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    SchedulerTestCase,
    target,
    view,
)

GOALS = {"draft": {0: 0.8, 2: 2.0}}
VIEW_DECODER = Decoder(FleetView)
REPORT_DECODER = Decoder(NodeReport)
# Prompt tokens with which a target takes 0.6 s to the first byte of a further one.
BACKLOG_TOKENS = 12_000


class TestNode(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.gate = AdmissionGate()
        self.gate.configure(GOALS)
        self.scheduler._admission = self.gate
        self.targets(target("t1", ["a1"]))

    def apply(self, admission, tokens=0):
        residency = {"t1": (1, [("m/a1", 1, 0.0)])}
        sent = view(residency, {"t1": TargetLoad(12, tokens)})
        sent.admission = admission
        self.scheduler.apply_view(VIEW_DECODER.decode(to_json(sent)))

    def report(self):
        return REPORT_DECODER.decode(to_json(self.scheduler.report({})))

    def test_less_urgent_request_leaves_room_under_pressure_only(self):
        for admission, is_sent in (
            ({}, True),
            ({"draft": AdmissionLevel({2: 0.9}, 0.0, [], 0.0)}, False),
        ):
            self.apply(admission, BACKLOG_TOKENS)
            ticket = self.scheduler.submit(self.job(priority=2))
            self.assertEqual(isinstance(ticket.decision, Send), is_sent)
            self.scheduler.withdraw(ticket)

    def test_request_beyond_its_share_is_refused_at_once(self):
        level = AdmissionLevel({2: 0.0}, 10_000.0, [9_000], 0.0)
        self.apply({"draft": level}, BACKLOG_TOKENS)
        ticket = self.scheduler.submit(self.job(priority=2))
        self.assertIsInstance(ticket.decision, Refuse)
        self.assertGreaterEqual(ticket.decision.retry_after_s, 0.5)
        report = self.report()
        self.assertEqual(report.asked, {"draft": {2: (1000, 0, 1000)}})
        self.assertEqual(sum(report.booked["draft"]), 1000)
        self.assertEqual(self.gate.gauges()["admission_refusals"], 1)

    def test_report_tells_what_waits_for_room_but_not_for_an_adapter(self):
        self.apply({}, 22_000)
        self.scheduler.submit(self.job(priority=0))
        self.scheduler.submit(self.job(("m", "a2"), priority=0))
        self.assertEqual(self.report().waiting, {"draft": 1000})

    def test_account_above_its_part_is_held_to_its_share(self):
        level = AdmissionLevel({2: 0.9999}, 1e4, [], 0.0, 0.0, 0.0, {"f": 0.0})
        for account, kind in (("f", Refuse), ("a", Send)):
            self.apply({"draft": level}, BACKLOG_TOKENS)
            job = self.job(priority=2)._replace(account=account)
            self.assertIsInstance(self.scheduler.submit(job).decision, kind)
        asked = self.report().asked_by_account
        self.assertEqual(asked, {"draft": {2: {"f": (1000, 1000), "a": (1000, 0)}}})

    def test_level_of_an_older_coordinator_limits_no_account(self):
        level = AdmissionLevel({2: 1.0}, 1e4, [], 0.0)
        fields = VIEW_DECODER.decode(to_json(view({}, {})))
        fields.admission = {"draft": level}
        text = to_json(fields).replace(b",0.0,0.0,{}]}", b"]}")
        self.assertNotIn(b"{}]", text)
        found = VIEW_DECODER.decode(text).admission["draft"]
        self.assertEqual(found.account_shares, {})

    def test_level_ends_with_the_views(self):
        level = AdmissionLevel({2: 0.0}, 0.0, [], 0.0)
        self.apply({"draft": level}, BACKLOG_TOKENS)
        self.clock.now += 1.6
        self.apply(None, BACKLOG_TOKENS)
        ticket = self.scheduler.submit(self.job(priority=2))
        self.assertIsInstance(ticket.decision, Send)

    def test_without_levels_a_request_yields_for_one_round_of_decisions(self):
        self.targets(target("t1", ["a1"]), target("t2", ["a2"]))
        self.apply(None, 22_000)
        urgent = self.scheduler.submit(self.job(priority=0))
        self.assertEqual(urgent.waits_for, "busy")
        other = self.scheduler.submit(self.job(("m", "a2"), priority=2))
        self.assertIsNone(other.decision)
        self.clock.now += 0.1
        self.scheduler.tick()
        self.assertIsInstance(other.decision, Send)

    def test_known_absence_of_pressure_lets_a_request_pass_a_more_urgent_one(self):
        self.targets(target("t1", ["a1"]), target("t2", ["a2"]))
        self.apply({}, 22_000)
        self.scheduler.submit(self.job(priority=0))
        other = self.scheduler.submit(self.job(("m", "a2"), priority=2))
        self.assertIsInstance(other.decision, Send)


class TestJob(unittest.TestCase):
    def admitted(self, arrived, deadline_s):
        call = SimpleNamespace(
            request_id="r", model="m", adapter="a", deadline_s=deadline_s
        )
        route = SimpleNamespace(
            kind="stream", timeout_s=15.0, first_byte_slo_s=2.0, max_gap_s=0.3
        )
        return SimpleNamespace(
            call=call,
            route=route,
            service="draft",
            priority=2,
            prompt_tokens=10,
            arrived=arrived,
            first_arrived=_first_arrival(arrived, route, call),
            ends_at=arrived + deadline_s,
            fraction=0.5,
            is_engine=True,
            event_steps=1,
            account="a",
            digest="d",
        )

    def test_caller_who_returns_is_known_by_the_time_left(self):
        job = make_job(self.admitted(100.0, 14.0), RequestState(), 100.1, 3.0)
        self.assertEqual((job.returned_s, job.attempts), (1.0, 0))
        job = make_job(self.admitted(100.0, 15.0), RequestState(), 100.1, 3.0)
        self.assertEqual(job.returned_s, 0.0)

    def test_only_plain_calls_are_known_by_their_digest(self):
        admitted = self.admitted(100.0, 14.0)
        job = make_job(admitted, RequestState(), 100.1, 3.0)
        self.assertEqual((job.account, job.digest), ("a", ""))
        for kind in ("safe", "unsafe"):
            admitted.route.kind = kind
            job = make_job(admitted, RequestState(), 100.1, 3.0)
            self.assertEqual(job.digest, "d")

    def test_wait_ends_with_the_time_of_the_request(self):
        job = make_job(self.admitted(100.0, 1.0), RequestState(), 100.1, 3.0)
        self.assertEqual(job.give_up_at, 101.0)


class TestMetrics(unittest.TestCase):
    def test_gauges_are_rendered(self):
        metrics = FleetMetrics()
        metrics.sources.append(AdmissionGate().gauges)
        text = metrics.render({"waiting": 1}).decode()
        for name in ("waiting", "admission_refusals", "admission_services_limited"):
            self.assertIn(f'hibiscusspar_node{{field="{name}"}}', text)

    def test_shares_of_accounts_are_shown_as_long_as_they_apply(self):
        now = [10.0]
        metrics = FleetMetrics()
        exchange = AdmissionExchange(lambda: now[0], metrics, True)
        exchange.gate.configure(GOALS)
        level = AdmissionLevel({2: 0.9}, 0.0, [], 0.0, 0.0, 0.0, {"f": 0.25})
        exchange.gate.apply_levels(10.0, {"draft": level}, None)
        line = 'hibiscusspar_account_share{account="f",service="draft"} 0.25'
        self.assertIn(line, metrics.render({}).decode())
        now[0] += 1.6
        self.assertNotIn("draft", metrics.render({}).decode())


class TestConfiguration(unittest.TestCase):
    """Settings without ``pressure``, and services with one priority, change nothing."""

    def gate(self, is_enabled, priorities):
        exchange = AdmissionExchange(lambda: 10.0, FleetMetrics(), is_enabled)
        routes = [
            SimpleNamespace(
                priority=priority,
                public=True,
                split=(("draft", 1.0),),
                first_byte_slo_s=1.0,
            )
            for priority in priorities
        ]
        ruleset = SimpleNamespace(routes={"h": routes}, accounts={}, keys={})
        exchange.configure(ruleset, threading.Lock())
        return exchange.gate

    def test_goals_are_set_only_where_priorities_decide(self):
        self.assertEqual(self.gate(True, [0, 2])._goals, {"draft": {0: 1.0, 2: 1.0}})
        for gate in (self.gate(False, [0, 2]), self.gate(True, [2, 2])):
            level = AdmissionLevel({2: 0.5}, 0.0, [], 0.0, 0.0, 0.0, {"f": 0.0})
            gate.apply_levels(10.0, {"draft": level}, None)
            job = Job(
                "r", "draft", ("m", "a"), 2, 10, 10.0, 1.0, 11.5, 0.5, account="f"
            )
            self.assertIs(gate.enter(10.0, job), job)
            decision = Send("t", 0.8)
            self.assertIs(gate.review(10.0, job, decision), decision)
            self.assertEqual(gate.asked_by_account(10.0), {})


class TestCoordinator(CoordinatorTestCase):
    def test_views_carry_levels_under_pressure(self):
        self.assertIsNone(self.next_view().admission)
        self.coordinator._admission.configure(GOALS)
        count = 0
        for _ in range(20):
            count += 100
            self.clock.now += 0.1
            self.report(
                asked={"draft": {0: (count, count, 0), 2: (count, 0, count)}},
                booked={"draft": [5]},
            )
            sent = VIEW_DECODER.decode(to_json(self.next_view()))
        found = sent.admission["draft"]
        self.assertEqual(found.shares[0], 1.0)
        self.assertAlmostEqual(found.shares[2], 0.15)
        self.assertEqual(found.booked, [5])

    def test_views_carry_the_shares_of_accounts_above_their_part(self):
        self.coordinator._admission.configure(GOALS)
        for n in range(20):
            self.clock.now += 0.1
            accounts = {"f": (120 * n, 40 * n), "a": (20 * n, 0)}
            self.report(
                asked={"draft": {2: (140 * n, 100 * n, 40 * n)}},
                asked_by_account={"draft": {2: accounts}},
            )
            sent = VIEW_DECODER.decode(to_json(self.next_view()))
        self.assertEqual(list(sent.admission["draft"].account_shares), ["f"])

    def test_nodes_of_older_builds_report_nothing(self):
        self.coordinator._admission.configure(GOALS)
        for _ in range(20):
            self.clock.now += 0.1
            self.report()
            sent = self.next_view()
        self.assertEqual(sent.admission, {})


class TestLog(unittest.TestCase):
    def setUp(self):
        self.lines = []
        original = admission_exchange.write_records
        admission_exchange.write_records = self.lines.extend
        self.addCleanup(setattr, admission_exchange, "write_records", original)

    def play(self, levels, now, refused, seconds, by_account=dict):
        for _ in range(round(seconds * 10)):
            now += 0.1
            self.asked += 1000
            self.refused += refused
            sent = self.asked - self.refused
            asked = {"draft": {2: (self.asked, sent, self.refused)}}
            accounts = {"draft": {2: by_account()}}
            report = NodeReport(
                "n1", "s", "z1", 1, {}, {}, [], {}, {}, asked=asked,
                asked_by_account=accounts,
            )  # fmt: skip
            levels.update(now, [NodeRecord(report, now, ("10.0.0.1", 1), {})])
        return now

    def test_only_clear_changes_are_logged(self):
        self.asked = self.refused = 0
        levels = AdmissionLevels()
        levels.configure(GOALS)
        now = self.play(levels, 10.0, 0, 3.0)
        self.assertEqual(self.lines, [])
        now = self.play(levels, now, 500, 3.0)
        begun = len(self.lines)
        self.assertGreater(begun, 0)
        self.assertLess(begun, 10)
        self.play(levels, now, 0, 3.0)
        kind, fields = self.lines[-1]
        self.assertIn(kind, catalogue())
        self.assertIsNone(fields["shares"])
        # Requests without an account are limited by their priority alone.
        self.assertEqual({line[0] for line in self.lines}, {ADMISSION_LEVEL})
        shares = [line[1]["shares"][2] for line in self.lines[:begun]]
        for earlier, later in zip(shares, shares[1:], strict=False):
            self.assertGreaterEqual(abs(earlier - later), 0.1)

    def test_lines_about_accounts_are_bounded(self):
        # Accounts near their part are above it in some views and not in others.
        self.asked = self.refused = 0
        levels = AdmissionLevels()
        levels.configure(GOALS)
        counts = {"a": 0, "f": 0}

        def by_account():
            larger = "a" if self.asked // 1000 % 4 < 2 else "f"
            for account in counts:
                counts[account] += 900 if account == larger else 100
            return {account: (count, 0) for account, count in counts.items()}

        now = self.play(levels, 10.0, 500, 5.0, by_account)
        self.play(levels, now, 0, 3.0, by_account)
        lines = [fields for kind, fields in self.lines if kind == ACCOUNT_SHARES]
        self.assertIn(ACCOUNT_SHARES, catalogue())
        self.assertGreater(len(lines), 1)
        self.assertLessEqual(len(lines), 8)
        self.assertTrue(lines[0]["account_shares"])
        self.assertEqual(lines[-1]["account_shares"], {})
        self.assertEqual(
            lines[0]["asked_refused"].keys(), lines[0]["account_shares"].keys()
        )
