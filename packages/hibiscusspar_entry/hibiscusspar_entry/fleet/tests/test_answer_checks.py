"""Tests of the checks of answers' heads."""

import unittest
from types import SimpleNamespace

from urllib3 import HTTPHeaderDict

from hibiscusspar.fleet.run_weights import RunWeights
from hibiscusspar_entry.fleet.answer_checks import head_failure, tells_limit
from hibiscusspar_wire.dialect import AnswerHead, CopyHandle

COPY = CopyHandle("10.0.0.1:80", "h-1", RunWeights(1))


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


class TestWeightsOfAnswers(unittest.TestCase):
    def failure(self, model_version, copy):
        admitted = SimpleNamespace(
            call=SimpleNamespace(request_id="r1"),
            route=SimpleNamespace(idempotent=True),
        )
        # The stream was moved, and its attempt at the destination has not ended.
        state = SimpleNamespace(answer_begun=True, copy=COPY)
        response = SimpleNamespace(
            status=200, headers=HTTPHeaderDict({"Content-Type": "text/event-stream"})
        )
        answer = AnswerHead("r1", "t1", False, True, model_version=model_version)
        return head_failure(admitted, state, answer, response, False, copy)

    def test_run_that_continues_a_copy_has_the_weights_of_its_state(self):
        self.assertIsNotNone(self.failure(2, COPY))
        self.assertIsNone(self.failure(1, COPY))
        self.assertIsNone(self.failure(None, COPY))

    def test_second_attempt_of_a_moved_stream_may_have_any_weights(self):
        """Guards against a stream that waits for a silent target alone."""
        self.assertIsNone(self.failure(2, None))


if __name__ == "__main__":
    unittest.main()
