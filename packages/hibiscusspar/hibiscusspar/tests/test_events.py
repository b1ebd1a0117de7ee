"""Tests of the event catalogue."""

import unittest

from hibiscusspar.events import catalogue, declare


class TestDeclare(unittest.TestCase):
    def test_number_taken_twice_is_refused(self):
        kind = declare(99_999, "test.first", ("a",), "Only for this test.")
        self.assertIn(kind, catalogue())
        with self.assertRaisesRegex(ValueError, "declared twice"):
            declare(99_999, "test.second", (), "Taken number.")
        with self.assertRaisesRegex(ValueError, "declared twice"):
            declare(99_998, "test.first", (), "Taken name.")
