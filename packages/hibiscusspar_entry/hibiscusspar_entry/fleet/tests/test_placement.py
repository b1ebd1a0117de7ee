"""Tests of pending requests."""

import unittest

from hibiscusspar_entry.fleet.placement import Ticket


class _WatchedTicket(Ticket):
    """Ticket that notes its placement whenever the decision is set."""

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if name == "decision" and value is not None:
            self.placement_at_decision = self.placement


class TestTicket(unittest.TestCase):
    def test_a_decision_is_never_seen_without_its_placement(self):
        """A request whose wait ends at this moment would have no target."""
        ticket = _WatchedTicket(None)
        ticket.resolve("decision", "placement")
        self.assertEqual(ticket.placement_at_decision, "placement")
