"""Tests of loans of retries between a node and its coordinator."""

import unittest
from unittest.mock import MagicMock, Mock

from hibiscusspar.fleet.messages import RetryLoan, SendNotice
from hibiscusspar.fleet.retries import RetryBudgets
from hibiscusspar_entry.fleet.node import FleetNode
from hibiscusspar_entry.fleet.shared_budgets import SharedBudgets
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, view

ADDRESS = ("10.0.0.9", 7000)
PEER = ("10.0.0.1", 7000)


class TestNode(unittest.TestCase):
    def setUp(self):
        self.budgets = SharedBudgets(RetryBudgets(0.2, 58.0, 10.0), "s1")
        self.parts = MagicMock(
            start="s1", clock=Clock(), retry_budgets=self.budgets, channel=None
        )
        self.parts.election.fence = 1
        self.parts.election.leads = False
        self.parts.relayed_state.apply_view.return_value = False
        self.channel, self.coordinator = Mock(address="10.0.0.2:7000"), Mock()
        self.node = FleetNode(
            self.parts, Mock(), self.channel, self.coordinator, Mock(), Mock()
        )

    def seek_room(self):
        return self.budgets.seek_room("s", self.parts.clock(), None)

    def test_loan_comes_from_the_coordinator(self):
        received = view()
        received.address = "10.0.0.9:7000"
        self.node.receive(received, PEER)
        self.assertFalse(self.seek_room())
        asked = SendNotice([], loan_asked=RetryLoan("s1", 1, "s"))
        self.channel.send.assert_called_once_with(ADDRESS, asked)
        self.node.receive(SendNotice([], loan=asked.loan_asked), ADDRESS)
        self.assertTrue(self.seek_room())

    def test_node_without_a_coordinator_asks_nobody(self):
        self.assertFalse(self.seek_room())
        self.channel.send.assert_not_called()

    def test_coordinator_decides_on_requests_of_nodes_and_its_own(self):
        loan = RetryLoan("s2", 5, "s")
        self.node.receive(SendNotice([], loan_asked=loan), PEER)
        self.coordinator.handle_loan_request.assert_called_once_with(loan, PEER)
        self.parts.election.leads = True
        self.seek_room()
        self.coordinator.handle_loan_request.assert_called_with(
            RetryLoan("s1", 1, "s"), ("10.0.0.2", 7000)
        )


if __name__ == "__main__":
    unittest.main()
