"""Tests of the wait of a node that stops."""

import unittest

from hibiscusspar_entry.fleet.graceful_stop import wait_until_answered


class TestWaitUntilAnswered(unittest.TestCase):
    def wait(self, counts, ends_at=100.0):
        """Return the time that a wait takes, with the counts of its checks."""
        now, left = 0.0, list(counts)

        def pass_time(seconds):
            nonlocal now
            now += seconds

        wait_until_answered(
            lambda: now >= ends_at, lambda: left.pop(0) if left else 0, 0.1, pass_time
        )
        return now

    def test_request_that_arrives_last_is_waited_for(self):
        """Guards against a stop between the arrival of a request and its count."""
        self.assertAlmostEqual(self.wait([2, 0, 1, 1, 0, 0, 0]), 0.7)

    def test_requests_that_take_too_long_end_with_the_time(self):
        self.assertAlmostEqual(self.wait([1] * 1000, ends_at=5.0), 5.0, delta=0.11)
