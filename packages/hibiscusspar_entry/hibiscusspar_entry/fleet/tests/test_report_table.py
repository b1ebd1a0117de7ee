"""Tests of the coordinator's table of reports."""

import unittest

from hibiscusspar.fleet.messages import NodeReport, TargetLoad, Want
from hibiscusspar_entry.fleet.report_table import ReportTable

ADDRESS = ("10.0.0.1", 7000)


def report(node, number=1, **changes):
    made = NodeReport(node, "s", "z1", number, {}, {}, [], {}, {})
    for name, value in changes.items():
        setattr(made, name, value)
    return made


class TestReportTable(unittest.TestCase):
    def setUp(self):
        self.table = ReportTable()

    def names(self, now, last="c"):
        records = self.table.forwarding_order(now, 0.6, last)
        return [record.report.node for record in records]

    def test_fast_links_forward_before_slow_ones(self):
        self.table.record(10.0, report("slow", link_mbps=10.0), ADDRESS)
        self.table.record(9.9, report("fast", link_mbps=100.0), ADDRESS)
        self.table.record(10.0, report("c", link_mbps=1000.0), ADDRESS)
        self.assertEqual(self.names(10.0), ["fast", "slow", "c"])

    def test_silent_node_forwards_last_however_fast_its_link(self):
        self.table.record(9.0, report("fast", link_mbps=100.0), ADDRESS)
        self.table.record(10.0, report("slow", link_mbps=10.0), ADDRESS)
        self.assertEqual(self.names(10.0), ["slow", "fast"])

    def test_node_heard_last_forwards_first_among_equals(self):
        for node, at in (("a", 9.8), ("b", 10.0), ("d", 9.9)):
            self.table.record(at, report(node, link_mbps=100.0), ADDRESS)
        self.assertEqual(self.names(10.0), ["b", "d", "a"])

    def test_older_report_is_ignored(self):
        self.assertEqual(self.table.record(10.0, report("a", 5), ADDRESS), {})
        self.assertIsNone(self.table.record(10.1, report("a", 4), ADDRESS))

    def test_requests_that_started_since_the_last_report_are_counted(self):
        self.table.record(10.0, report("a", 1, in_use={"t1": {"m/x": 2}}), ADDRESS)
        changes = self.table.record(
            10.1, report("a", 2, in_use={"t1": {"m/x": 5}}), ADDRESS
        )
        in_use, started = changes["t1"]
        self.assertEqual(in_use, {("m", "x")})
        self.assertEqual(started, {("m", "x"): 3})

    def test_loads_and_wants_of_silent_nodes_do_not_count(self):
        want = Want("draft", "m", "x", 2, 10, 1, False)
        for node, at in (("a", 10.0), ("b", 8.0)):
            loads = {"t1": TargetLoad(3, 100)}
            self.table.record(at, report(node, loads=loads, wants=[want]), ADDRESS)
        self.assertEqual(self.table.loads(10.1)["t1"].running, 3)
        self.assertEqual(self.table.waiting_nodes(10.1, ("m", "x")), ([ADDRESS], 2))
        self.assertEqual(self.table.waiting_nodes(10.1, ("m", "y")), ([], 0))
