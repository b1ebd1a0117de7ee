"""Tests of the decisions what a node reads from the store."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.lease import Election, LeaseRecord, LeaseTiming, ReadLease
from hibiscusspar.fleet.store_reads import (
    OwnRead,
    duty_wait_s,
    is_held,
    lease_pause_s,
    read_cause,
    read_pause_s,
)

TIMING = LeaseTiming(renew_s=0.4, valid_s=0.9, poll_s=0.3)
STATE = OwnRead(0.1, False, 0, False, None, 1.44, 0.5)
FRACTIONS = st.floats(0.0, 1.0, exclude_max=True)


class TestWaitForTheFirstView(unittest.TestCase):
    def test_wait_ends_with_a_waiting_request(self):
        self.assertTrue(is_held(STATE))
        self.assertFalse(is_held(STATE._replace(has_waiting=True)))

    def test_source_never_waits(self):
        self.assertFalse(is_held(STATE._replace(is_source=True)))

    @given(FRACTIONS)
    def test_wait_is_bounded(self, fraction):
        state = STATE._replace(fraction=fraction)
        self.assertTrue(is_held(state._replace(age_s=1.1)))
        self.assertFalse(is_held(state._replace(age_s=2.0)))

    def test_listing_is_followed_by_a_watch_within_the_limit(self):
        # A leaving target must be known in time also while views don't arrive.
        listed = STATE._replace(has_waiting=True, read_age_s=0.5)
        self.assertTrue(is_held(listed))
        self.assertFalse(is_held(listed._replace(read_age_s=0.8)))

    def test_rows_of_the_first_view_are_awaited(self):
        late = STATE._replace(age_s=2.1)
        self.assertTrue(is_held(late._replace(nodes=195)))
        self.assertFalse(is_held(late._replace(nodes=195, age_s=3.4)))


class TestPauses(unittest.TestCase):
    @given(st.floats(0.0, 0.5), st.sampled_from([1.44, 2.16]))
    def test_answer_of_the_next_call_is_within_the_limit(self, age_s, limit_s):
        state = STATE._replace(read_age_s=age_s, limit_s=limit_s)
        pause_s = read_pause_s(state, 0.5, 0.02)
        self.assertAlmostEqual(age_s + pause_s + 0.5, limit_s)

    def test_source_reads_as_often_as_before(self):
        state = STATE._replace(is_source=True, read_age_s=0.0)
        self.assertEqual(read_pause_s(state, 0.5, 0.15), 0.15)

    def test_gap_is_kept_if_the_limit_is_short(self):
        state = STATE._replace(read_age_s=0.5, limit_s=0.0)
        self.assertEqual(read_pause_s(state, 2.0, 0.15), 0.15)


class TestLeases(unittest.TestCase):
    @given(FRACTIONS)
    def test_renewed_lease_is_read_before_it_may_be_free(self, fraction):
        # A lease that could be free would be written without a read, in vain.
        pause_s = lease_pause_s(1.0, 1, True, TIMING, fraction)
        self.assertLess(TIMING.poll_s, pause_s)
        self.assertLess(pause_s, TIMING.valid_s)

    @given(st.floats(0.0, 3.0), st.integers(1, 5), FRACTIONS)
    def test_free_lease_is_taken_no_later_than_it_may_be(self, free_in_s, reads, f):
        pause_s = lease_pause_s(free_in_s, reads, False, TIMING, f)
        self.assertLessEqual(pause_s, free_in_s)

    def test_dead_coordinator_is_replaced_as_soon_as_its_lease_ends(self):
        subject = Election("vm-1", "a", "10.0.0.1:7000", TIMING, lambda: 0.2)
        record = LeaseRecord("vm-2", "b", "10.0.0.2:7000", 4, False, 1)
        now, reads = 10.0, 0
        while True:
            action = subject.action(now, False)
            if isinstance(action, ReadLease):
                subject.on_read(now, record, 7)
                reads += 1
            elif action is not None:
                break
            now += 0.01
        self.assertAlmostEqual(now, 11.1, delta=0.02)
        self.assertLessEqual(reads, 4)

    def test_duty_is_not_read_before_the_first_view_is_due(self):
        subject = Election("vm-1", "a", "10.0.0.1:7000", TIMING)
        self.assertIsNone(subject.action(10.0, True))
        self.assertEqual(subject.action(10.0, False), ReadLease())
        self.assertLess(duty_wait_s(False), duty_wait_s(True))


class TestCauses(unittest.TestCase):
    def test_cause_of_a_call(self):
        cases = {
            (True, None): "coordinates",
            (False, None): "start",
            (False, 0.7): "views lost",
            (False, 0.2): "other",
        }
        for (is_source, view_age_s), cause in cases.items():
            self.assertEqual(read_cause(is_source, view_age_s, 0.5), cause)


if __name__ == "__main__":
    unittest.main()
