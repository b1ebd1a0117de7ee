"""Tests of the two forms of a view."""

import unittest

from msgspec.json import Decoder

from hibiscusspar.fleet.messages import FleetView, NodeReport, ViewRelay
from hibiscusspar_entry.fleet.packing import unpack
from hibiscusspar_entry.fleet.report_table import NodeRecord
from hibiscusspar_entry.fleet.tests.test_request_scheduler import view
from hibiscusspar_entry.fleet.view_sender import ViewSender

DECODER = Decoder(FleetView | ViewRelay)
NAMES = ["t1", "t2"]


def record(node, digest, reads=True, at=9.0):
    report = NodeReport(node, "s", "z", 1, {}, {}, [], {}, {})
    report.reads_packed = True
    report.reads_directory_changes, report.directory_digest = reads, digest
    return NodeRecord(report, at, (node, 7000), {})


class TestViewSender(unittest.TestCase):
    def setUp(self):
        self.sent = {}
        self.sender = ViewSender(self._record)

    def _record(self, address, body):
        message = DECODER.decode(unpack(body))
        if isinstance(message, ViewRelay):
            message = DECODER.decode(bytes(message.view))
        for node in message.acked:
            self.sent[node] = message

    def send(self, now, records, digest=7):
        whole = view(directory=NAMES, numbers=(1, 2))
        whole.row_digests = b"12345678"
        whole.software, whole.software_index = ["", "v1"], b"\x00\x01"
        whole.directory_digest = digest
        self.sender.send_view(now, whole, records)

    def test_names_are_left_out_for_nodes_that_have_them(self):
        self.send(1.0, [])
        self.send(10.0, [record("n1", 7), record("n2", 6)])
        self.assertEqual(self.sent["n2"].directory, NAMES)
        short = self.sent["n1"]
        self.assertEqual((short.directory, short.row_digests), ([], b""))
        self.assertEqual((short.software, short.software_index), ([], b""))
        self.assertEqual(len(short.residency_numbers), 4)

    def test_first_view_after_a_change_has_the_names(self):
        # A report from before the change can't tell that a node has the new names.
        self.send(1.0, [])
        self.send(10.0, [record("n1", 8)], digest=8)
        self.assertEqual(self.sent["n1"].directory, NAMES)

    def test_nodes_of_an_older_build_cause_no_names_for_others(self):
        self.send(1.0, [])
        nodes = [record(f"n{index}", 7) for index in range(20)]
        older = [record(f"o{index}", 0, reads=False) for index in range(20)]
        self.send(
            10.0, [row for pair in zip(nodes, older, strict=True) for row in pair]
        )
        for row in nodes:
            self.assertEqual(self.sent[row.report.node].directory, [])
        for row in older:
            self.assertEqual(self.sent[row.report.node].directory, NAMES)

    def test_one_node_without_names_gets_them_with_its_group(self):
        self.send(1.0, [])
        nodes = [record(f"n{index}", 7) for index in range(20)]
        self.send(10.0, [*nodes, record("new", 0)])
        self.assertEqual(self.sent["new"].directory, NAMES)
        named = [node for node, sent in self.sent.items() if sent.directory]
        self.assertLess(len(named), 6)


if __name__ == "__main__":
    unittest.main()
