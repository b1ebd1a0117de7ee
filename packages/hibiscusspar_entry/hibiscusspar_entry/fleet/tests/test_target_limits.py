"""Tests of requests to targets that have named a limit."""

import unittest

from msgspec.json import decode, encode

from hibiscusspar.fleet.messages import FleetView, NodeReport, PermitGrant
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.tests.test_coordinator import CoordinatorTestCase
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    Clock,
    SchedulerTestCase,
    target,
    view,
)


def limit_view(limits, fence=1, number=1):
    made = view(fence=fence, number=number)
    made.limits = limits
    return made


class TestChoice(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.targets(target("t1", ["a1"]), target("t2", ["a1"]))
        self.scheduler.apply_view(limit_view({"t1": (1.0, 0.0, 0)}))

    def grant(self, *target_ids, start="s", fence=1):
        self.scheduler.apply_permits(PermitGrant(start, fence, list(target_ids)))

    def chosen(self):
        placement = self.scheduler.submit(self.job()).placement
        return placement.target.target_id if placement else None

    def test_target_with_a_limit_gets_no_request_without_a_permit(self):
        self.assertEqual([self.chosen() for _ in range(4)], ["t2"] * 4)

    def test_one_permit_lets_one_request_pass(self):
        self.targets(target("t1", ["a1"]), target("t2"))
        tickets = [self.scheduler.submit(self.job()) for _ in range(3)]
        self.grant("t1")
        self.assertEqual(
            [t.placement is not None for t in tickets], [True, False, False]
        )

    def test_permits_of_another_process_or_an_older_term_are_ignored(self):
        self.scheduler.apply_view(limit_view({}, fence=3, number=1))
        self.targets(target("t1", ["a1"]), target("t2"))
        ticket = self.scheduler.submit(self.job())
        self.grant("t1", start="s0", fence=3)
        self.grant("t1", fence=2)
        self.assertIsNone(ticket.placement)
        self.grant("t1", fence=3)
        self.assertIsNotNone(ticket.placement)

    def test_repeated_attempt_needs_a_permit_of_its_own(self):
        self.targets(target("t1", ["a1"]), target("t2"))
        ticket = self.scheduler.submit(self.job())
        self.grant("t1")
        self.scheduler.release(ticket.placement, first_byte=False)
        again = self.job()._replace(excluded=frozenset({"t1"}))
        self.assertIsNone(self.scheduler.submit(again).placement)

    def test_own_answer_limits_a_target_before_any_view_does(self):
        self.limits.record_answer("t2", 1.0, self.clock.now)
        self.assertIsNone(self.chosen())

    def test_end_of_the_limit_is_relayed(self):
        self.scheduler.apply_view(limit_view({"t1": (None, -0.1, 0)}, number=2))
        self.assertEqual({self.chosen() for _ in range(6)}, {"t1", "t2"})

    def test_waiting_requests_are_reported_once(self):
        self.targets(target("t1", ["a1"]), target("t2"))
        for _ in range(3):
            self.scheduler.submit(self.job())
        self.assertEqual(self.scheduler.report({}).permit_demand, {"t1": 3})

    def test_target_that_was_passed_over_gets_a_permit_in_time(self):
        self.chosen()
        self.assertEqual(self.scheduler.report({}).permit_demand, {"t1": 0})
        self.assertEqual(self.scheduler.report({}).permit_demand, {})

    def test_limit_is_reported_again_while_requests_need_a_permit(self):
        # The coordinator may be a process that has started since the limit was named.
        self.targets(target("t1", ["a1"]), target("t2"))
        self.clock.now += 60.0
        self.scheduler.submit(self.job())
        self.assertEqual(self.scheduler.report({}).limits, {"t1": (1.0, 60.0)})

    def test_adapter_is_wanted_at_a_target_without_a_limit(self):
        self.targets(target("t1", ["a1"]), target("t2"))
        self.limits.record_answer("t1", 1.0, self.clock.now)
        self.scheduler.submit(self.job())
        (want,) = self.scheduler.report({}).wants
        self.assertEqual(want.excluded_targets, ["t1"])
        self.assertFalse(want.extra_copy)


class TestRefusal(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.targets(target("t1", ["a1"]), target("t2", ["a1"]))

    def test_request_beyond_all_limits_is_refused_at_once_with_the_wait(self):
        self.scheduler.apply_view(
            limit_view({"t1": (1.0, 0.0, 7), "t2": (1.0, 0.0, 5)})
        )
        decision = self.scheduler.submit(self.job()).decision
        self.assertIsInstance(decision, Refuse)
        self.assertGreaterEqual(decision.retry_after_s, 6.0)

    def test_request_that_a_limit_leaves_time_for_waits(self):
        self.scheduler.apply_view(
            limit_view({"t1": (4.0, 0.0, 1), "t2": (1.0, 0.0, 9)})
        )
        self.assertIsNone(self.scheduler.submit(self.job()).decision)

    def test_request_waits_while_another_target_can_load_its_adapter(self):
        self.targets(target("t1", ["a1"]), target("t2", ["a1"]), target("t3"))
        self.scheduler.apply_view(
            limit_view({"t1": (1.0, 0.0, 7), "t2": (1.0, 0.0, 5)})
        )
        self.assertIsNone(self.scheduler.submit(self.job()).decision)

    def test_adapter_that_no_target_holds_is_wanted_although_all_have_a_limit(self):
        limits = {"t1": (0.5, 0.0, 7), "t2": (0.5, 0.0, 7)}
        self.scheduler.apply_view(limit_view(limits))
        ticket = self.scheduler.submit(self.job(("m", "a2")))
        self.assertIsNone(ticket.decision)
        (want,) = self.scheduler.report({}).wants
        self.assertEqual((want.adapter, want.excluded_targets), ("a2", []))


class TestExchange(CoordinatorTestCase):
    node_count = 3

    def _send(self, address, body):
        message = decode(body)
        if message["type"] == "permits":
            self.grants.append(message["target_ids"])
        else:
            super()._send(address, body)

    def setUp(self):
        self.grants = []
        super().setUp()

    def test_limit_of_a_report_is_in_the_next_view(self):
        self.report(limits={"t1": (2.0, 0.1)}, permit_demand={"t1": 4})
        self.assertEqual(self.next_view().limits, {"t1": (2.0, 0.1, 12)})

    def test_requests_that_wait_nowhere_count_as_no_queue(self):
        self.report(limits={"t1": (1.0, 0.0)}, permit_demand={"t1": 0})
        self.assertEqual(self.next_view().limits, {"t1": (1.0, 0.0, 0)})
        self.coordinator.issue_permits()
        self.clock.now += 1.1
        self.report(limits={"t1": (1.0, 0.0)}, permit_demand={"t1": 0})
        self.coordinator.issue_permits()
        self.assertEqual(self.grants, [["t1"]])

    def test_permits_are_sent_at_the_rate_of_the_limit(self):
        for _ in range(200):
            self.report(limits={"t1": (2.0, 0.0)}, permit_demand={"t1": 4})
            self.clock.now += 0.02
            self.coordinator.issue_permits()
        self.assertIn(sum(map(len, self.grants)), (7, 8))

    def test_view_of_many_limits_fits_into_a_datagram(self):
        names = [f"i-{n:010x}" for n in range(830)]
        self.coordinator.set_targets({name: target(name) for name in names})
        self.report(limits=dict.fromkeys(names, (2.0, 0.1)))
        self.assertLess(len(encode(self.next_view().limits)), 4000)


class TestOlderBuilds(unittest.TestCase):
    def test_report_and_view_of_an_older_build_are_understood(self):
        report = NodeReport("n1", "s", "z1", 1, {}, {}, [], {}, {})
        fields = decode(encode(report))
        del fields["limits"], fields["permit_demand"]
        self.assertEqual(decode(encode(fields), type=NodeReport), report)
        fields = decode(encode(view()))
        del fields["limits"]
        self.assertIsNone(decode(encode(fields), type=FleetView).limits)

    def test_exchange_keeps_the_later_of_two_statements(self):
        clock = Clock()
        exchange = LimitExchange(clock)
        exchange.apply_rows({"t1": (3.0, 0.5)}, "n2")
        exchange.apply_rows({"t1": (None, 0.9)}, "n3")
        self.assertEqual(exchange.limited, {"t1": 3.0})
        exchange.apply_rows({"t1": (None, 0.1)}, "n3")
        self.assertEqual(exchange.rows(), {"t1": (None, 0.1)})


if __name__ == "__main__":
    unittest.main()
