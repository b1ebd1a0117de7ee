"""Tests of the copy of the quarantine in the store."""

import unittest
from random import Random

from hibiscusspar.errors import StepError
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.quarantine_store import QuarantineStore
from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_entry.fleet.tests.test_lease_keeper import OneObjectStore
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, target

FATAL = "acme-fatal"


class CountingStore(OneObjectStore):
    """Store that counts its calls and may be away."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.is_away = False

    def get(self, kind, name):
        self._count()
        return super().get(kind, name)

    def update(self, kind, name, value, revision):
        self._count()
        return super().update(kind, name, value, revision)

    def _count(self):
        self.calls += 1
        if self.is_away:
            raise StepError("store", "s", "away")


class Process:
    """Process of a node with its part of the quarantine."""

    def __init__(self, store, clock):
        self.clock = clock
        self.leads = False
        self.view_age_s = 0.1
        self.later = []
        self.crashes = CrashExchange(
            clock,
            lambda address: True,
            lambda delay_s, function: self.later.append(function),
            lambda: False,
        )
        self.backoff = StoreBackoff(clock, Random(3), lambda: 9, lambda: self.leads)
        self.copy = QuarantineStore(
            store,
            self.crashes,
            clock,
            lambda: self.leads,
            lambda: self.view_age_s,
            self.backoff,
        )

    def crash(self, *names):
        for name in names:
            self.crashes.record_break(target(name), [FATAL])
        while self.later:
            self.later.pop()()

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.copy.step()
            self.clock.now += 0.1

    @property
    def refuses(self):
        return self.crashes.refused_for(FATAL) > 0


class TestQuarantineStore(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = CountingStore()
        self.coordinator = self.make(leads=True)

    def make(self, leads=False, view_age_s=0.1):
        process = Process(self.store, self.clock)
        process.leads, process.view_age_s = leads, view_age_s
        return process

    def test_verdict_outlasts_a_restart_of_all_processes(self):
        self.coordinator.crash("t1", "t2")
        self.coordinator.run(1.0)
        started = self.make(view_age_s=None)
        started.run(0.1)
        self.assertTrue(started.refuses)

    def test_node_that_is_cut_off_from_the_coordinator_learns_a_verdict(self):
        other = self.make(view_age_s=9.0)
        other.run(0.2)
        self.coordinator.crash("t1", "t2")
        self.coordinator.run(0.2)
        other.run(2.2)
        self.assertTrue(other.refuses)

    def test_coordinator_learns_the_verdict_of_a_node_that_is_cut_off(self):
        self.coordinator.run(0.2)
        other = self.make(view_age_s=9.0)
        other.crash("t1", "t2")
        other.run(0.5)
        self.coordinator.run(2.5)
        self.assertTrue(self.coordinator.refuses)

    def test_read_that_is_held_back_is_not_tried_without_a_pause(self):
        """Guards against a process that spins while others' calls have failed."""
        other = self.make()
        other.backoff.record_failure()
        other.copy.step()
        self.assertGreater(other.copy.pause_s(), 0.0)

    def test_node_with_a_coordinator_reads_once(self):
        other = self.make()
        other.crash("t1", "t2")
        other.run(10.0)
        self.assertEqual(self.store.calls, 1)

    def test_steady_state_needs_one_read_in_two_seconds(self):
        self.coordinator.crash("t1", "t2")
        self.coordinator.run(1.0)
        before = self.store.calls
        self.coordinator.run(10.0)
        self.assertLessEqual(self.store.calls - before, 6)

    def test_answer_removes_the_verdict_from_the_store(self):
        self.coordinator.crash("t1", "t2")
        self.coordinator.run(0.5)
        self.assertEqual(len(self.store.value["rows"]), 1)
        self.coordinator.crashes.record_answer([FATAL])
        self.coordinator.run(2.5)
        self.assertEqual(self.store.value["rows"], [])
        self.assertFalse(self.coordinator.refuses)

    def test_conflicting_write_is_repeated_with_both_verdicts(self):
        other = self.make(view_age_s=9.0)
        self.coordinator.run(0.2)
        other.run(0.2)
        other.crashes.record_break(target("t8"), ["acme-other"])
        other.crashes.record_break(target("t9"), ["acme-other"])
        other.crash()
        self.coordinator.crash("t1", "t2")
        self.coordinator.copy.step()
        other.run(0.5)
        names = {row[0] for row in self.store.value["rows"]}
        self.assertEqual(names, {FATAL, "acme-other"})

    def test_store_that_is_away_is_asked_again(self):
        self.coordinator.crash("t1", "t2")
        self.store.is_away = True
        self.coordinator.run(0.1)
        self.assertIsNone(self.store.value)
        self.store.is_away = False
        self.coordinator.run(2.5)
        self.assertEqual(len(self.store.value["rows"]), 1)

    def test_store_that_is_away_is_asked_once_in_two_seconds(self):
        self.store.is_away = True
        started = self.make(view_age_s=None)
        started.run(10.0)
        self.assertLessEqual(self.store.calls, 6)

    def test_object_that_cant_be_read_is_replaced(self):
        self.store.value = {"rows": "nonsense"}
        self.coordinator.crash("t1", "t2")
        self.coordinator.run(0.5)
        self.assertEqual(len(self.store.value["rows"]), 1)
