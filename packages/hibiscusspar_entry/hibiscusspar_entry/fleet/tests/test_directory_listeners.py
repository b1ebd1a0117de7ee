"""Tests of the distribution of the directory."""

import unittest

from hibiscusspar_entry.fleet.directory_listeners import DirectoryListeners


class TestDirectoryListeners(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.listeners = DirectoryListeners(
            lambda rows, zones: self.calls.append("every"),
            lambda rows, zones: self.calls.append("changed"),
            lambda: self.calls.append("same"),
        )

    def test_same_rows_reach_only_the_listeners_of_every_publication(self):
        row = ("t0", 1)
        self.listeners({"t0": row})
        self.listeners({"t0": row})
        self.assertEqual(self.calls, ["every", "changed", "every", "same"])

    def test_changed_added_and_removed_rows_reach_all_listeners(self):
        row = ("t0", 1)
        for rows in ({"t0": row}, {"t0": ("t0", 2)}, {"t0": row, "t1": row}, {}):
            self.calls.clear()
            self.listeners(rows)
            self.assertEqual(self.calls, ["every", "changed"])

    def test_an_empty_directory_is_published_at_first(self):
        self.listeners({})
        self.assertEqual(self.calls, ["every", "changed"])

    def test_an_evacuation_reaches_all_listeners_though_the_rows_are_the_same(self):
        row = ("t0", 1)
        for zones in (frozenset(), frozenset({"a"}), frozenset()):
            self.calls.clear()
            self.listeners({"t0": row}, zones)
            self.assertEqual(self.calls, ["every", "changed"])
