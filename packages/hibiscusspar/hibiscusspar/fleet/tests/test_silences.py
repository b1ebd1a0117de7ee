"""Tests of when a target counts as silent."""

import unittest

from hibiscusspar.fleet.silences import (
    SilencePolicy,
    is_shared_silence,
    stream_silence_s,
)

POLICY = SilencePolicy()


class TestSilenceOfStreams(unittest.TestCase):
    def test_pause_of_a_second_is_no_silence(self):
        limits = [stream_silence_s(POLICY, f"r{n}") for n in range(1000)]
        self.assertGreaterEqual(min(limits), 1.2)

    def test_callers_have_not_left_by_then(self):
        """Callers disconnect after two seconds without an event."""
        limits = [stream_silence_s(POLICY, f"r{n}") for n in range(1000)]
        self.assertLess(max(limits), 2.0 - 0.3)

    def test_streams_of_a_target_do_not_leave_at_the_same_time(self):
        limits = sorted(stream_silence_s(POLICY, f"r{n}") for n in range(1000))
        for tenth in range(10):
            part = limits[100 * tenth : 100 * tenth + 100]
            self.assertGreater(part[-1] - part[0], POLICY.spread_s / 20)


class TestSharedSilence(unittest.TestCase):
    """Guards against streams that leave because their node was paused."""

    def is_shared(self, heard, now=11.3):
        return is_shared_silence(POLICY, now, 10.0, "t0", heard)

    def test_all_targets_are_silent(self):
        self.assertTrue(self.is_shared({"t0": 10.0, "t1": 9.9, "t2": 9.5}))

    def test_another_target_was_heard_since(self):
        self.assertFalse(self.is_shared({"t0": 10.0, "t1": 9.9, "t2": 10.4}))

    def test_no_other_target_was_heard_lately(self):
        self.assertFalse(self.is_shared({"t0": 10.0, "t1": 3.0}))
        self.assertFalse(self.is_shared({}))

    def test_long_silence_counts_even_if_it_is_shared(self):
        self.assertFalse(self.is_shared({"t1": 9.9}, now=12.7))

    def test_targets_that_were_heard_one_after_the_other(self):
        """All streams of a node that was cut off are silent, not only the last one."""
        heard = {f"t{n}": 10.0 + 0.01 * n for n in range(10)}
        shared = {
            target_id
            for target_id, at in heard.items()
            if is_shared_silence(POLICY, 11.55, at, target_id, heard)
        }
        self.assertEqual(shared, heard.keys())
