"""Tests of the times at which refused callers are told to return."""

import unittest

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

    def test_without_room_the_emptiest_step_is_chosen(self):
        # All callers would come back in the last step otherwise.
        booked = [9000] * 16
        booked[7] = 8000
        self.assertEqual(first_free_step(2000.0, booked, 300), 7)
        self.assertEqual(first_free_step(2000.0, booked, 300, first=40), 15)


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
