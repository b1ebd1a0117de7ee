"""Tests of notices of slow periods between nodes."""

import unittest
from unittest.mock import patch

from msgspec.json import Decoder
from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar_entry.fleet import slow_period_exchange
from hibiscusspar_entry.fleet.load_events import SLOW_PERIOD
from hibiscusspar_entry.fleet.tests.test_request_scheduler import target
from hibiscusspar_entry.fleet.tests.test_speed_exchange import (
    ExchangeTestCase,
)


class NoticeTestCase(ExchangeTestCase):
    def setUp(self):
        super().setUp()
        self.enterContext(
            patch.object(slow_period_exchange, "write_records", self.records.extend)
        )
        self.sent = []
        for node in self.nodes:
            node.exchange.slow_periods.on_changed = self.sender(node)

    def sender(self, node):
        return lambda *row: self.sent.append((node, row))

    def deliver(self, *rows):
        """Deliver rows to node 1 in one notice."""
        notice = Decoder(SendNotice).decode(to_json(SendNotice([], slow=list(rows))))
        self.nodes[1].exchange.slow_periods.apply_notice(notice)

    def slow_events(self, seconds):
        """Pass time without reports and views."""
        for _ in range(round(seconds / 0.02)):
            self.clock.now += 0.02
            for name, slowness in self.slowness.items():
                if self.next_at[name] <= self.clock.now:
                    for node in self.nodes:
                        node.record(self.next_at[name], name)
                    self.next_at[name] += 0.04 * slowness


class TestSlowPeriodExchange(NoticeTestCase):
    def test_begin_is_told_and_used_before_any_view(self):
        self.run_for(2.0)
        self.assertEqual(self.sent, [])
        self.slowness["t0"] = 2.5
        self.slow_events(0.4)
        node, (target_id, born, factor) = self.sent[0]
        self.assertEqual((target_id, born), ("t0", 1))
        self.assertAlmostEqual(factor, 2.5, delta=0.3)
        self.assertEqual(node.factors()["t0"], factor)
        lines = self.lines(SLOW_PERIOD)
        self.assertEqual((lines[0]["target"], lines[0]["before"]), ("t0", 1.0))

    def test_end_is_told_before_any_view(self):
        self.run_for(2.0)
        self.slowness["t0"] = 2.5
        self.run_for(2.0)
        self.sent.clear()
        self.slowness["t0"] = 1.0
        self.slow_events(0.4)
        self.assertLess(self.sent[0][1][2], 1.7)

    def test_told_factor_is_used_for_one_second(self):
        self.deliver(("t0", 1, 2.5))
        self.assertEqual(self.nodes[1].factors()["t0"], 2.5)
        self.assertEqual(self.nodes[1].exchange.factors, {"t0": 2.5})
        self.clock.now += 1.0
        self.assertEqual(self.nodes[1].factors()["t0"], 1.0)

    def test_later_factor_of_a_view_replaces_it(self):
        self.deliver(("t0", 1, 2.5))
        self.clock.now += 0.1
        self.nodes[1].exchange.apply_view(self.view({"t0": (1, 1.2, 0.1)}))
        self.assertEqual(self.nodes[1].factors()["t0"], 2.5)
        self.clock.now += 0.4
        self.nodes[1].exchange.apply_view(self.view({"t0": (1, 1.2, 0.0)}))
        self.assertEqual(self.nodes[1].factors()["t0"], 1.2)

    def test_duplicate_changes_nothing(self):
        self.deliver(("t0", 1, 2.5))
        self.deliver(("t0", 1, 2.5), ("t0", 1, 2.5))
        self.assertEqual(self.nodes[1].factors()["t0"], 2.5)

    def test_bad_rows_are_ignored_or_bounded(self):
        self.deliver(("t0", 7, 2.5), ("t9", 1, 2.5), ("t1", 1, 100.0), ("t2", 1, -1.0))
        factors = self.nodes[1].factors()
        found = [factors[name] for name in ("t0", "t1", "t2")]
        self.assertEqual(found, [1.0, 8.0, 0.25])

    def test_restarted_target_has_no_told_factor(self):
        self.deliver(("t0", 1, 2.5))
        restarted = self.targets | {"t0": target("t0", born=2)}
        self.nodes[1].exchange.set_targets(restarted)
        self.assertEqual(self.nodes[1].factors()["t0"], 1.0)

    def test_lost_notices_are_made_up_for_by_views(self):
        self.run_for(2.0)
        self.slowness["t0"] = 5.0
        self.run_for(1.0)
        self.assertGreater(self.nodes[2].factors()["t0"], 3.0)


class TestServices(NoticeTestCase):
    target_count = 6
    min_targets = 12

    def test_services_with_few_targets_have_no_notices(self):
        self.run_for(2.0)
        self.slowness["t0"] = 5.0
        self.slow_events(1.0)
        self.deliver(("t0", 1, 2.5))
        self.assertEqual(self.sent, [])
        self.assertEqual(self.nodes[1].factors()["t0"], 1.0)


if __name__ == "__main__":
    unittest.main()
