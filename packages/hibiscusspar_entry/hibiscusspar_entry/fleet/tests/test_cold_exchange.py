"""Tests of cold targets as one node knows them, and of the requests that wait."""

import unittest
from types import SimpleNamespace

from msgspec.json import decode, encode

from hibiscusspar.fleet.cold_targets import ColdStatement
from hibiscusspar.fleet.messages import FleetView, NodeReport, PermitGrant
from hibiscusspar.fleet.rules import ServiceRule
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar.requests.ejection import EjectionPolicy, EjectionTable
from hibiscusspar_entry.fleet.cold_exchange import ColdExchange
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.permit_sender import PermitSender
from hibiscusspar_entry.fleet.request_scheduler import RequestScheduler
from hibiscusspar_entry.fleet.target_gate import TargetGate
from hibiscusspar_entry.fleet.target_statements import AnswerOrigin, TargetStatements
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    KEY,
    Clock,
    SchedulerTestCase,
    target,
    view,
)
from hibiscusspar_wire.dialect import AnswerHead

COLD_PER_S, COLD_START_S = 6.7, 3.0
RULES = SimpleNamespace(
    services={"draft": ServiceRule("draft", 100, object(), COLD_START_S, COLD_PER_S)}
)


def cold_view(cold, number=1, limits=None):
    made = view(number=number)
    made.cold, made.limits = cold, limits or {}
    return made


class ExchangeTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.cold = ColdExchange(self.clock)
        self.cold.configure(RULES)

    def set_targets(self, *rows, cold_exchange=None):
        rows = {row.target_id: row for row in rows}
        (cold_exchange or self.cold).set_targets(rows)

    def record_entry(self, row, remaining_s, revision=1, fault=""):
        entry = row._replace(cold=ColdStatement(remaining_s, fault))
        self.cold.record_entries([(entry, revision)], self.clock.now)


class TestSources(ExchangeTestCase):
    def test_new_incarnation_in_a_view_without_a_cold_entry(self):
        self.set_targets(target("t1"))
        self.assertTrue(self.cold.is_idle)
        self.cold.apply_view(cold_view({}))
        self.set_targets(target("t1", born=2))
        self.assertEqual(self.cold.rates, {"t1": COLD_PER_S})

    def test_entry_that_states_0_makes_a_new_incarnation_warm(self):
        self.set_targets(target("t1"))
        self.record_entry(target("t1", born=2), 0.0)
        self.set_targets(target("t1", born=2))
        self.assertFalse(self.cold.is_cold("t1"))

    def test_targets_are_known_before_the_configuration(self):
        cold = ColdExchange(self.clock)
        stated = target("t1")._replace(cold=ColdStatement(2.0))
        cold.record_entries([(stated, 1)], self.clock.now)
        self.set_targets(stated, target("t2"), cold_exchange=cold)
        cold.configure(RULES)
        self.assertEqual(set(cold.rates), {"t1"})

    def test_services_without_cold_targets_have_none(self):
        for change in ({"cold_per_s": 0.0}, {"cold_start_s": 0.0}):
            rule = RULES.services["draft"]._replace(**change)
            cold = ColdExchange(self.clock)
            cold.configure(SimpleNamespace(services={"draft": rule}))
            self.set_targets(target("t1"), cold_exchange=cold)
            self.set_targets(target("t1", born=2), cold_exchange=cold)
            self.assertTrue(cold.is_idle)

    def test_node_that_starts_beside_more_cold_targets_than_a_view_names(self):
        # The view doesn't name all of them, so none of the others is known to be warm.
        rows = {f"t{n:02d}": (1, 2.0, 0.1) for n in range(64)}
        self.cold.apply_view(cold_view(rows))
        self.set_targets(target("t00"), target("t64"))
        self.assertEqual(set(self.cold.rates), {"t00", "t64"})

    def test_unusable_entry_counts_once_an_incarnation(self):
        self.set_targets(target("t1"))
        for revision in range(9):
            self.record_entry(target("t1"), None, revision, "not a number")
            self.assertEqual(self.cold.is_cold("t1"), revision < 3)
            self.clock.now += 1.1

    def test_lifted_evacuation(self):
        self.set_targets(target("t1"), target("t2"))
        self.record_entry(target("t1"), 0.0)
        self.cold.presume_cold(["t1", "gone"])
        self.assertEqual(set(self.cold.rates), {"t1"})
        self.assertEqual(self.cold.report_rows(), {"t1": (1, COLD_START_S, 0.0)})
        self.clock.now += COLD_START_S
        self.assertTrue(self.cold.is_idle)

    def test_answer_of_the_target(self):
        self.set_targets(target("t1"))
        again = []
        self.cold.on_cold_again = lambda: again.append(self.clock.now)
        statements = TargetStatements(self.clock, LimitExchange(self.clock), self.cold)
        head = AnswerHead("r", "t1", False, True, cold=ColdStatement(1.5))
        origin = AnswerOrigin(target("t1"), self.clock.now)
        statements.record(origin, head, 421, "r")
        self.assertFalse(self.cold.is_cold("t1"))
        statements.record(origin, head, 200, "r")
        self.assertTrue(self.cold.is_cold("t1"))
        self.assertEqual(len(again), 1)
        self.assertTrue(statements.is_closed(target("t1")))
        self.assertFalse(statements.is_closed(target("t1"), permitted=True))


class TestMessages(ExchangeTestCase):
    def test_view_names_at_most_64_targets_changed_ones_first(self):
        rows = [target(f"t{n:03d}") for n in range(277)]
        self.set_targets(*rows)
        for row in rows:
            self.record_entry(row, 3.0)
        names = [set(self.cold.view_rows(number)) for number in range(6)]
        self.assertEqual({len(found) for found in names}, {64})
        self.record_entry(rows[7], 0.0, revision=2)
        self.assertIn("t007", self.cold.view_rows(7))
        self.assertLess(len(encode(self.cold.view_rows(8))), 4000)

    def test_only_news_that_others_lack_hastens_messages(self):
        self.set_targets(target("t1"), target("t2"))
        again = []
        self.cold.on_cold_again = lambda: again.append(self.clock.now)
        self.cold.apply_view(cold_view({"t1": (1, 2.0, 0.1)}))
        self.assertEqual(again, [])
        self.cold.apply_rows({"t2": (1, 2.0, 0.1)}, "n2")
        self.assertEqual(len(again), 1)

    def test_report_repeats_what_was_learned_for_two_seconds(self):
        self.set_targets(target("t1"))
        self.record_entry(target("t1"), 3.0)
        self.clock.now += 1.9
        self.assertEqual(set(self.cold.report_rows()), {"t1"})
        self.clock.now += 0.2
        self.assertEqual(self.cold.report_rows(), {})

    def test_messages_of_an_older_build(self):
        fields = decode(encode(view()))
        del fields["cold"]
        found = decode(encode(fields), type=FleetView)
        self.assertIsNone(found.cold)
        self.cold.apply_view(found)
        fields = decode(encode(NodeReport("n1", "s", "z1", 1, {}, {}, [], {}, {})))
        del fields["cold"]
        self.assertEqual(decode(encode(fields), type=NodeReport).cold, {})

    def test_lower_of_limit_and_cold_rate_is_issued(self):
        limits = LimitExchange(self.clock)
        sender = PermitSender(limits, self.cold)
        self.set_targets(target("t1"), target("t2"))
        self.cold.presume_cold(["t1", "t2"])
        limits.apply_rows({"t1": (2.0, 0.0), "t2": (50.0, 0.0)}, "n2")
        self.assertEqual(sender.rates(), {"t1": 2.0, "t2": COLD_PER_S})


class TestRequests(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.cold = ColdExchange(self.clock)
        self.cold.configure(RULES)
        self.start_scheduler()
        self.targets(target("t1", ["a1"]), target("t2", ["a1"]))
        self.scheduler.apply_view(cold_view({}))

    def start_scheduler(self):
        statements = TargetStatements(self.clock, self.limits, self.cold)
        self.scheduler = RequestScheduler(
            "n1",
            "s",
            "z1",
            self.clock,
            EjectionTable(EjectionPolicy()),
            3.0,
            TargetGate(self.limits, statements),
        )
        self.scheduler.configure(RULES)

    def targets(self, *rows):
        self.cold.set_targets({row.target_id: row for row in rows})
        super().targets(*rows)

    def grant(self, *target_ids, number=0):
        self.scheduler.apply_permits(PermitGrant("s", 1, list(target_ids), number))

    def test_warm_targets_carry_the_load(self):
        self.cold.presume_cold(["t1"])
        tickets = [self.scheduler.submit(self.job()) for _ in range(9)]
        chosen = {t.placement.target.target_id for t in tickets}
        self.assertEqual(chosen, {"t2"})

    def test_request_at_a_cold_target_has_a_permit(self):
        self.cold.presume_cold(["t1", "t2"])
        tickets = [self.scheduler.submit(self.job()) for _ in range(3)]
        self.assertEqual([t.decision for t in tickets], [None] * 3)
        self.assertEqual(sum(self.scheduler.report({}).permit_demand.values()), 3)
        self.grant("t1", number=1)
        placed = [t.placement for t in tickets if t.placement is not None]
        self.assertEqual(
            [(p.target.target_id, p.permitted) for p in placed], [("t1", True)]
        )

    def test_doubled_grant_counts_once(self):
        self.cold.presume_cold(["t1", "t2"])
        tickets = [self.scheduler.submit(self.job()) for _ in range(3)]
        for _ in range(2):
            self.grant("t1", number=4)
            self.clock.now += 0.3
            self.scheduler.tick()
        self.assertEqual(sum(t.placement is not None for t in tickets), 1)

    def test_permits_from_before_a_target_was_cold_do_not_count(self):
        self.limits.apply_rows({"t1": (50.0, 0.0), "t2": (50.0, 0.0)}, "c")
        self.grant(*["t1"] * 20, number=1)
        self.cold.presume_cold(["t1", "t2"])
        self.assertIsNone(self.scheduler.submit(self.job()).placement)

    def test_request_that_no_permit_can_reach_in_time_is_refused_at_once(self):
        rule = RULES.services["draft"]._replace(cold_start_s=20.0, cold_per_s=0.1)
        self.cold.configure(SimpleNamespace(services={"draft": rule}))
        self.cold.presume_cold(["t1", "t2"])
        decision = self.scheduler.submit(self.job()).decision
        self.assertIsInstance(decision, Refuse)
        self.assertGreaterEqual(decision.retry_after_s, 4.0)

    def test_request_waits_for_the_end_of_the_cold_time(self):
        rule = RULES.services["draft"]._replace(cold_start_s=1.0, cold_per_s=0.1)
        self.cold.configure(SimpleNamespace(services={"draft": rule}))
        self.cold.presume_cold(["t1", "t2"])
        ticket = self.scheduler.submit(self.job())
        self.assertIsNone(ticket.decision)
        self.clock.now += 1.05
        self.scheduler.tick()
        self.assertIsNotNone(ticket.placement)

    def test_adapter_is_loaded_at_cold_targets_too(self):
        self.cold.presume_cold(["t1", "t2"])
        self.scheduler.submit(self.job(("m", "a2")))
        (want,) = self.scheduler.report({}).wants
        self.assertEqual((want.adapter, want.excluded_targets), ("a2", []))

    def test_node_that_never_had_a_view_sends_nothing(self):
        # It doesn't know of how many nodes it is one.
        self.start_scheduler()
        self.targets(target("t1", ["a1"]))
        self.cold.presume_cold(["t1"])
        ticket = self.scheduler.submit(self.job(KEY))
        for _ in range(20):
            self.clock.now += 0.1
            self.scheduler.tick()
        self.assertIsNone(ticket.placement)


if __name__ == "__main__":
    unittest.main()
