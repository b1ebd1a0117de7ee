"""Tests of the exchange of times of plain calls."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import FleetView, NodeReport, SendNotice, TargetLoad
from hibiscusspar.fleet.targets import Target
from hibiscusspar.fleet.waiting import Job, Refuse, Send
from hibiscusspar_entry.fleet import call_times_exchange
from hibiscusspar_entry.fleet.call_times_exchange import FleetTimes
from hibiscusspar_entry.fleet.metrics import FleetMetrics
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    SchedulerTestCase,
    view,
)

SERVICE = SimpleNamespace(name="plain", engine=None)
VIEW_DECODER, REPORT_DECODER = Decoder(FleetView), Decoder(NodeReport)


def plain_target(name, born=1):
    return Target(name, "plain", "10.0.0.1:80", "z1", 6, False, born, 0, {}, {})


class TestNode(SchedulerTestCase):
    def setUp(self):
        super().setUp()
        self.metrics = FleetMetrics()
        self.use_times(True)
        self.scheduler.set_targets({name: plain_target(name) for name in ("t1", "t2")})
        self.sent = []
        self.scheduler.on_sent = lambda target, tokens: self.sent.append(
            (target.target_id, tokens)
        )

    def use_times(self, is_enabled):
        self.scheduler.calls.enable(is_enabled, self.metrics)
        self.scheduler.configure(SimpleNamespace(services={"plain": SERVICE}))

    def submit(self, number=0):
        now = self.clock.now
        fraction = 0.1 + number * 0.618 % 0.9
        return self.scheduler.submit(
            Job(
                f"r{number}",
                "plain",
                ("", ""),
                0,
                0,
                now,
                0.4,
                now + 0.24,
                fraction,
                digest="d",
                ends_at=now + 5.0,
            )  # fmt: skip
        )

    def apply(self, call_times, loads=None):
        told = view({}, loads)
        told.call_times = call_times
        self.scheduler.apply_view(VIEW_DECODER.decode(to_json(told)))

    def answer(self, ticket, seconds, status=200):
        admitted = SimpleNamespace(
            call=SimpleNamespace(request_id=ticket.job.request_id)
        )
        sent_at = self.clock.now
        self.clock.now += seconds
        self.scheduler.calls.record_answer(ticket.placement, admitted, sent_at, status)
        self.scheduler.release(ticket.placement, first_byte=True)

    def report(self):
        return REPORT_DECODER.decode(to_json(self.scheduler.report({})))

    def test_report_tells_answers_and_failures(self):
        self.answer(self.submit(), 0.1)
        self.answer(self.submit(1), 0.1, status=500)
        rows = self.report().call_times.values()
        self.assertEqual(sum(row[2] for row in rows), 2)
        self.assertEqual(sum(row[3] for row in rows), 1)

    def test_a_call_beyond_what_targets_answer_in_time_is_refused(self):
        times = {"t1": (1, 0.1, 0.0, 0.0), "t2": (1, 0.1, 0.0, 0.0)}
        self.apply(times, {name: TargetLoad(7, 0) for name in times})
        self.assertIsInstance(self.submit().decision, Send)
        self.apply(times, {name: TargetLoad(17, 0) for name in times})
        self.assertIsInstance(self.submit(1).decision, Refuse)
        self.assertEqual(self.scheduler.calls.gauges()["plain_calls_refused"], 1)

    def test_a_send_is_announced_and_counts_at_the_receivers(self):
        """Guards against views that are older than a call takes."""
        times = {"t1": (1, 0.1, 0.0, 0.0), "t2": (1, 0.1, 0.0, 0.0)}
        for _ in range(5):
            self.apply(times, {name: TargetLoad(17, 0) for name in times})
        self.apply(times)
        self.scheduler.apply_notice(SendNotice([("t1", 0)] * 3))
        self.assertEqual(self.submit().placement.target.target_id, "t2")
        self.assertEqual(self.sent, [("t2", 0)])

    def test_sends_to_a_service_with_room_are_not_announced(self):
        """Guards against a notice to every node for each call."""
        self.apply({"t1": (1, 0.1, 0.0, 0.0), "t2": (1, 0.1, 0.0, 0.0)})
        self.assertIsInstance(self.submit().decision, Send)
        self.assertEqual(self.sent, [])

    def test_services_are_served_as_before_unless_enabled(self):
        self.use_times(False)
        times = {"t1": (1, 9.0, 0.0, 0.0), "t2": (1, 9.0, 0.0, 0.0)}
        self.apply(times, {name: TargetLoad(7, 0) for name in times})
        ticket = self.submit()
        self.assertIsInstance(ticket.decision, Send)
        self.answer(ticket, 0.1)
        self.assertEqual(self.sent, [])
        self.assertEqual(self.report().call_times, {})

    def test_a_coordinator_of_an_older_build_tells_no_times(self):
        text = to_json(view({}, {})).replace(b'"call_times":{},', b"")
        self.assertNotIn(b"call_times", text)
        self.scheduler.apply_view(VIEW_DECODER.decode(text))
        self.assertIsInstance(self.submit().decision, Send)

    def test_without_views_calls_are_decided_on_as_before_after_15_s(self):
        self.apply({"t1": (1, 9.0, 0.0, 0.0), "t2": (1, 9.0, 0.0, 0.0)})
        self.clock.now += 15.1
        ticket = self.submit()
        self.assertLess(ticket.decision.first_byte_s, 1.0)

    def test_a_target_that_turned_a_call_away_gets_fewer(self):
        times = {"t1": (1, 0.02, 0.0, 0.0), "t2": (1, 0.02, 0.0, 0.0)}
        self.apply(times, {name: TargetLoad(9, 0) for name in times})
        for number in range(2):
            ticket = self.submit(number)
            admitted = SimpleNamespace(
                call=SimpleNamespace(request_id=ticket.job.request_id)
            )
            self.scheduler.calls.record_failure(
                ticket.placement, admitted, self.clock.now, True, 503
            )
            self.scheduler.release(ticket.placement, first_byte=False)
        self.assertNotIsInstance(self.submit(2).decision, Send)


class TestCoordinator(unittest.TestCase):
    def setUp(self):
        self.times = FleetTimes()
        self.targets = {"t1": plain_target("t1")}

    def update(self, now, *rows):
        records = [
            SimpleNamespace(
                received_at=now, report=SimpleNamespace(call_times={"t1": row})
            )
            for row in rows
        ]
        reports = SimpleNamespace(fresh=lambda now: records)
        return self.times.update(now, reports, self.targets)

    def test_view_tells_the_median_and_the_share_of_failures(self):
        rows = self.update(10.0, (1, 0.1, 4, 1), (1, 0.1, 4, 1), (1, 2.0, 4, 1))
        self.assertEqual(rows, {"t1": (1, 0.1, 0.25, 0.0)})

    def test_nodes_of_an_older_build_report_nothing(self):
        self.assertEqual(self.update(10.0), {})

    def test_a_changed_share_is_logged_once(self):
        with patch.object(call_times_exchange, "write_records") as write:
            self.update(10.0, (1, 0.1, 4, 2))
            self.update(10.2, (1, 0.1, 4, 2))
        lines = [record for call in write.call_args_list for record in call.args[0]]
        self.assertEqual([fields["failure_share"] for _, fields in lines], [0.5])
