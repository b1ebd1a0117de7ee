"""Tests of a node's copy of which adapters targets hold."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.messages import AdapterLoad
from hibiscusspar.fleet.residency_copy import ResidencyCopy
from hibiscusspar.fleet.residency_numbers import join_numbers

KEY = ("m", "a1")


def view(residency, fence=1, numbers=()):
    directory = [f"t{index + 1}" for index in range(len(numbers))]
    return SimpleNamespace(
        residency=residency,
        fence=fence,
        directory=directory,
        residency_numbers=join_numbers(numbers),
        directory_digest=0,
    )


class TestResidencyCopy(unittest.TestCase):
    def setUp(self):
        self.copy = ResidencyCopy()

    def test_unknown_target_has_no_state(self):
        self.assertFalse(self.copy.has_state("t1"))
        self.assertIsNone(self.copy.find("t1", KEY))

    def test_time_until_a_copy_is_ready_counts_from_the_view(self):
        self.copy.apply_view(10.0, view({"t1": (1, [("m/a1", 2, 0.5)])}))
        self.assertEqual(self.copy.find("t1", KEY), (2, 10.5))

    def test_state_of_a_later_coordinator_replaces_higher_numbers(self):
        self.copy.apply_view(10.0, view({"t1": (7, [("m/a1", 1, 0.0)])}))
        self.copy.apply_view(10.1, view({"t1": (1, [])}, fence=2))
        self.assertIsNone(self.copy.find("t1", KEY))

    def test_load_is_added_until_the_next_state(self):
        load = AdapterLoad("t1", "m/a1", 1, 0.2, 1)
        self.copy.apply_load(10.0, load)
        self.assertFalse(self.copy.has_state("t1"))
        self.copy.apply_view(10.0, view({"t1": (1, [])}))
        self.copy.apply_load(10.0, load)
        self.assertEqual(self.copy.find("t1", KEY), (1, 10.2))
        # A repeated state doesn't remove it, a newer one does.
        self.copy.apply_view(10.1, view({"t1": (1, [])}))
        self.assertIsNotNone(self.copy.find("t1", KEY))
        self.copy.apply_view(10.2, view({"t1": (2, [])}))
        self.assertIsNone(self.copy.find("t1", KEY))

    def test_states_that_differ_from_the_view_are_lacked(self):
        self.copy.apply_view(10.0, view({"t1": (4, [])}, numbers=(4, 9)))
        self.assertEqual(self.copy.lacked, ["t2"])
