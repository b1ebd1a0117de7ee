"""Tests of the leader election."""

import unittest
from itertools import count

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hibiscusspar.fleet.lease import (
    Election,
    LeaseRecord,
    LeaseTiming,
    ReadLease,
    WriteLease,
)

TIMING = LeaseTiming(renew_s=0.5, valid_s=1.5, order_gap_s=3.3, poll_s=0.4)


def election(machine="vm-1", start="a"):
    return Election(machine, start, "10.0.0.1:7000", TIMING)


def record(machine="vm-2", start="b", fence=4, released=False, nonce=1):
    return LeaseRecord(machine, start, "10.0.0.2:7000", fence, released, nonce)


class TestAcquisition(unittest.TestCase):
    def test_reads_before_it_writes(self):
        self.assertEqual(election().action(10.0, False), ReadLease())

    def test_missing_lease_is_created_with_the_first_fence(self):
        subject = election()
        subject.on_read(10.0, None, 0)
        action = subject.action(10.1, False)
        self.assertIsInstance(action, WriteLease)
        self.assertEqual((action.record.fence, action.revision), (1, 0))

    def test_lease_is_not_read_while_the_holder_is_heard(self):
        subject = election()
        subject.on_read(10.0, record(), 7)
        self.assertIsNone(subject.action(20.0, True))

    def test_live_lease_is_not_taken(self):
        subject = election()
        subject.on_read(10.0, record(nonce=1), 7)
        self.assertEqual(subject.action(11.0, False), ReadLease())
        subject.on_read(11.0, record(nonce=2), 8)
        self.assertEqual(subject.action(12.0, False), ReadLease())

    def test_expired_lease_is_taken_with_a_higher_fence(self):
        subject = election()
        subject.on_read(10.0, record(fence=4), 7)
        action = subject.action(11.6, False)
        self.assertEqual((action.record.fence, action.revision), (5, 7))

    def test_lease_is_read_after_a_conflict(self):
        subject = election()
        subject.on_read(10.0, None, 0)
        subject.action(10.1, False)
        subject.on_failed(10.2)
        self.assertEqual(subject.action(10.2, False), ReadLease())

    def test_live_holder_keeps_its_lease_during_an_outage_of_the_store(self):
        subject = election()
        subject.on_read(10.0, record(nonce=1), 7)
        for at in (10.5, 13.0, 15.0):
            subject.on_failed(at)
        # The store answers again, but the holder has not renewed its lease yet.
        subject.on_read(15.4, record(nonce=1), 7)
        self.assertEqual(subject.action(15.9, False), ReadLease())
        subject.on_read(16.0, record(nonce=2), 8)
        self.assertEqual(subject.action(17.0, False), ReadLease())

    def test_holder_without_a_valid_lease_leads_until_another_is_known(self):
        subject = election()
        subject.on_read(10.0, None, 0)
        subject.on_written(10.0, 10.0, subject.action(10.0, False).record, 1)
        subject.on_failed(12.0)
        self.assertTrue(subject.leads)
        self.assertFalse(subject.may_order(12.0))
        subject.on_read(13.0, record(fence=2), 2)
        self.assertFalse(subject.leads)


class TestHolding(unittest.TestCase):
    def test_lease_runs_from_before_the_write(self):
        subject = election()
        subject.on_read(10.0, None, 0)
        action = subject.action(10.0, False)
        subject.on_written(10.0, 11.4, action.record, 1)
        self.assertTrue(subject.holds(11.45))
        self.assertFalse(subject.holds(11.5))

    def test_successor_waits_out_the_last_order_of_its_predecessor(self):
        subject = election()
        subject.on_read(10.0, record(), 7)
        action = subject.action(11.6, False)
        subject.on_written(11.6, 11.61, action.record, 8)
        # The predecessor may order until 11.5; the gap is 3.3 s.
        subject.on_written(14.0, 14.0, subject.action(14.0, False).record, 9)
        self.assertFalse(subject.may_order(14.7))
        self.assertTrue(subject.may_order(14.85))

    def test_released_lease_is_taken_at_once_but_orders_wait(self):
        subject = election()
        subject.on_read(10.0, record(released=True), 7)
        action = subject.action(10.1, False)
        subject.on_written(10.1, 10.1, action.record, 8)
        self.assertTrue(subject.holds(10.2))
        self.assertFalse(subject.may_order(10.2))

    def take_after_restart(self, nonce):
        """Return the election of a restarted machine that its lease names."""
        subject = election("vm-2", "c")
        subject.on_read(10.0, record("vm-2", "b", nonce=nonce), 7)
        action = subject.action(10.0, False)
        subject.on_written(10.0, 10.0, action.record, 8)
        self.assertEqual(action.record.fence, 5)
        return subject

    def test_same_machine_may_order_at_once_after_a_restart(self):
        self.assertTrue(self.take_after_restart(nonce=4801).may_order(10.1))

    def test_machine_that_restarts_while_it_waits_goes_on_waiting(self):
        """Guards against orders of two machines within the gap."""
        subject = self.take_after_restart(nonce=1000)
        renewal = subject.action(12.0, False)
        subject.on_written(12.0, 12.0, renewal.record, 9)
        subject.on_written(13.4, 13.4, subject.action(13.4, False).record, 10)
        # The predecessor's lease of 1.5 s and the gap of 3.3 s, less the second before.
        self.assertFalse(subject.may_order(13.7))
        self.assertTrue(subject.may_order(13.9))

    def test_same_machine_takes_its_lease_as_soon_as_it_has_read_it(self):
        # All processes are killed at once while callers go on; waiting would only
        # lengthen the outage.
        subject = election(start="c")
        self.assertEqual(subject.action(10.0, False), ReadLease())
        subject.on_read(10.005, record(machine="vm-1", start="b"), 7)
        self.assertIsInstance(subject.action(10.01, False), WriteLease)

    def test_gap_is_kept_if_the_answer_of_the_first_write_was_lost(self):
        subject = election()
        subject.on_read(10.0, record(), 7)
        action = subject.action(11.6, False)
        subject.on_failed(12.2)
        subject.on_read(12.3, action.record, 8)
        self.assertFalse(subject.holds(12.3))
        renewal = subject.action(12.8, False)
        subject.on_written(12.8, 12.8, renewal.record, 9)
        self.assertTrue(subject.holds(12.9))
        self.assertFalse(subject.may_order(12.9))

    def test_holder_that_released_its_lease_gives_no_more_orders(self):
        subject = election()
        subject.on_read(10.0, None, 0)
        action = subject.action(10.0, False)
        subject.on_written(10.0, 10.0, action.record, 1)
        release = subject.release(10.2)
        self.assertTrue(release.record.released)
        self.assertFalse(subject.may_order(10.2))


class TestOlderCopy(unittest.TestCase):
    """The store returns from a copy that is older than the last change of holders.

    Guards against two holders with one fencing token, and against orders of two holders
    that are closer than the gap.
    """

    def holder(self, machine, start, stored):
        """Return an election that takes a lease of era 1 at 10.0, and its record."""
        subject = election(machine, start)
        subject.on_read(8.0, *stored, era=1)
        action = subject.action(10.0, False)
        subject.on_written(10.0, 10.0, action.record, 9, era=1)
        return subject, action.record

    def test_restarted_machine_waits_and_takes_a_higher_token(self):
        _, before = self.holder("vm-1", "a", (None, 0))
        _, after = self.holder("vm-2", "b", (before._replace(released=True), 7))
        restarted = election("vm-1", "c")
        restarted.on_read(20.0, before, 7, era=2)
        action = restarted.action(20.0, False)
        restarted.on_written(20.0, 20.0, action.record, 8, era=2)
        self.assertGreater(action.record.fence, after.fence)
        renewal = restarted.action(24.0, False)
        restarted.on_written(24.0, 24.0, renewal.record, 9, era=2)
        self.assertFalse(restarted.may_order(24.7))
        self.assertTrue(restarted.may_order(24.9))

    def test_last_holder_goes_on_with_a_higher_token(self):
        _, before = self.holder("vm-1", "a", (None, 0))
        subject, _ = self.holder("vm-2", "b", (before._replace(released=True), 7))
        renewal = subject.action(13.0, False)
        subject.on_written(13.0, 13.0, renewal.record, 10, era=1)
        self.assertTrue(subject.may_order(13.2))
        renewal = subject.action(14.0, False)
        subject.on_written(14.0, 14.0, renewal.record, 11, era=1)
        self.assertTrue(subject.may_order(14.5))
        # The next renewal finds another revision.
        subject.action(14.6, False)
        subject.on_failed(14.6)
        subject.on_read(14.6, before, 7, era=2)
        action = subject.action(14.7, False)
        subject.on_written(14.7, 14.7, action.record, 8, era=2)
        self.assertGreater(action.record.fence, renewal.record.fence)
        self.assertTrue(subject.may_order(14.8))

    def test_renewal_at_a_revision_that_was_given_out_again_is_read_again(self):
        subject, taken = self.holder("vm-2", "b", (None, 0))
        renewal = subject.action(10.6, False)
        subject.on_written(10.6, 10.6, renewal.record, 10, era=2)
        self.assertEqual(subject.action(11.6, False), ReadLease())
        subject.on_read(11.6, renewal.record, 10, era=2)
        self.assertFalse(subject.may_order(11.6))
        action = subject.action(11.6, False)
        self.assertGreater(action.record.fence, taken.fence)

    def test_lease_that_the_copy_lacks_is_taken_after_the_gap(self):
        subject, _ = self.holder("vm-2", "b", (None, 0))
        subject.on_failed(12.0)
        subject.on_read(12.0, None, 0, era=2)
        action = subject.action(13.6, False)
        subject.on_written(13.6, 13.6, action.record, 4, era=2)
        self.assertFalse(subject.may_order(15.0))


class LeaseMachine(RuleBasedStateMachine):
    """Three machines and one store, with lost answers and arbitrary pauses.

    Processes restart, and the store returns from older copies.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.era = 1
        self.stored = (None, 0)
        self.copies = [self.stored]
        self.nodes = [election(f"vm-{i}", "s") for i in range(3)]
        self.starts = count()
        self.orders = []

    @rule(seconds=st.floats(0.0, 2.0))
    def advance_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 2), delay=st.floats(0.0, 1.0), answered=st.booleans())
    def act(self, index, delay, answered):
        node = self.nodes[index]
        sent_at = self.now
        action = node.action(sent_at, False)
        if action is None:
            return
        if isinstance(action, ReadLease):
            node.on_read(self.now, *self.stored, era=self.era)
            return
        self.now += delay
        _, revision = self.stored
        if action.revision != revision:
            node.on_failed(self.now)
            return
        self.stored = (action.record, revision + 1)
        self.copies.append(self.stored)
        if answered:
            node.on_written(
                sent_at, self.now, action.record, revision + 1, era=self.era
            )
        else:
            node.on_failed(self.now)

    @rule(seconds=st.integers(1, 8), absent=st.integers(0, 3))
    def run(self, seconds, absent):
        """Let all machines but one act and order."""
        for _ in range(3 * seconds):
            self.now += 1 / 3
            for index in {0, 1, 2} - {absent}:
                self.act(index, 0.0, True)
                self.order_if_allowed(index)

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.nodes[index] = election(f"vm-{index}", f"s{next(self.starts)}")

    @rule(age=st.integers(1, 6))
    def return_from_copy(self, age):
        # A process that starts afterwards can't know of a lease that the copy lacks.
        copies = [copy for copy in self.copies[-age:] if copy[0]] or [self.stored]
        self.stored = copies[0]
        self.copies = [self.stored]
        self.era += 1

    @rule(index=st.integers(0, 2))
    def order_if_allowed(self, index):
        if self.nodes[index].may_order(self.now):
            self.orders.append((self.now, index, self.nodes[index].fence))

    @invariant()
    def orders_of_two_holders_are_apart(self):
        for (at, node, fence), (later, other, newer) in zip(
            self.orders, self.orders[1:], strict=False
        ):
            if node != other:
                assert later - at >= 3.0
                assert newer > fence


LeaseMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
TestLeaseMachine = LeaseMachine.TestCase
