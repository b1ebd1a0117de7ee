"""Tests of the checks of answers' heads."""

import unittest

from hibiscusspar_entry.fleet.answer_checks import tells_limit
from hibiscusspar_wire.dialect import AnswerHead


class TestTellsLimit(unittest.TestCase):
    def tells(self, status=200, request_id="r1", limit=None):
        answer = AnswerHead(request_id, "t1", False, True, limit)
        return tells_limit("r1", answer, status)

    def test_answer_without_a_limit_ends_it(self):
        self.assertTrue(self.tells())
        self.assertTrue(self.tells(status=503))

    def test_answer_to_another_request_does_not_end_a_limit(self):
        self.assertFalse(self.tells(request_id="r0"))

    def test_misdirected_answer_does_not_end_a_limit(self):
        self.assertFalse(self.tells(status=421))

    def test_limit_of_any_answer_counts(self):
        self.assertTrue(self.tells(status=421, request_id="r0", limit=2.0))


if __name__ == "__main__":
    unittest.main()
