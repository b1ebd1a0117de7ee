"""Tests of the times at which refused callers are told to return."""

import unittest
from collections import Counter

from hibiscusspar.fleet.returns import (
    ReturnBook,
    add_steps,
    first_free_step,
    shift_steps,
)


class TestFirstFreeStep(unittest.TestCase):
    def test_first_step_with_room_is_chosen(self):
        self.assertEqual(first_free_step(2000.0, [900, 600], 300), 1)
        self.assertEqual(first_free_step(2000.0, [900, 600], 300, first=2), 2)

    def test_prompt_larger_than_a_step_fits_an_empty_one(self):
        self.assertEqual(first_free_step(2000.0, [1], 5000), 1)

    def test_callers_of_one_moment_are_spread_over_the_room_for_them(self):
        # In a large fleet all were told the same step, and were refused again.
        chosen = Counter(
            first_free_step(2000.0, [1000, 500], 10, 3500.0, turn / 100)
            for turn in range(100)
        )
        self.assertEqual(sorted(chosen), [1, 2, 3, 4])
        self.assertLess(max(chosen.values()), 35)

    def test_without_room_callers_are_spread_over_all_steps(self):
        chosen = Counter(
            first_free_step(2000.0, [9000] * 16, 300, 0.0, turn / 160)
            for turn in range(160)
        )
        self.assertEqual(set(chosen.values()), {10})
        self.assertEqual(first_free_step(2000.0, [9000] * 16, 300, first=40), 15)


class TestReturnBook(unittest.TestCase):
    def test_returns_are_counted_by_step_from_now(self):
        book = ReturnBook()
        book.record(10.0, 10.4, 100)
        book.record(10.0, 11.2, 200)
        self.assertEqual(book.steps(10.0), [100, 0, 200])
        self.assertEqual(book.steps(10.5), [0, 200])
        self.assertEqual(book.steps(12.0), [])

    def test_returns_that_a_view_counts_are_left_out(self):
        book = ReturnBook()
        book.record(10.0, 11.0, 100)
        book.record(10.3, 11.1, 200)
        self.assertEqual(book.steps(10.4, since=10.2), [0, 200])


class TestSteps(unittest.TestCase):
    def test_steps_move_with_time(self):
        self.assertEqual(shift_steps([100, 200], 0.0), [100, 200])
        self.assertEqual(shift_steps([100, 200], 0.5), [200])
        self.assertEqual(shift_steps([100, 200], 0.25), [150, 100])
        self.assertEqual(shift_steps([100, 200], 9.0), [])

    def test_steps_of_all_nodes_are_added(self):
        self.assertEqual(add_steps([1, 2], [], [10]), [11, 2])
        self.assertEqual(add_steps(), [])
