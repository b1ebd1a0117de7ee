"""Tests of the copy of the targets' software versions in the store."""

import unittest
from random import Random

from hibiscusspar_entry.fleet.software_store import SoftwareStore
from hibiscusspar_entry.fleet.software_versions import SoftwareVersions
from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_entry.fleet.tests.test_quarantine_store import CountingStore
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, target

# Time in seconds for which a version counts after it has left the directory.
KEPT_S = 40.0


class Process:
    """Process of a node with its directory and its copy of the versions."""

    def __init__(self, store, clock, *software, leads=False):
        self.clock = clock
        self.leads = leads
        self.software = SoftwareVersions(clock, clock())
        self.show(*software)
        self.backoff = StoreBackoff(clock, Random(3), lambda: 9, lambda: self.leads)
        self.copy = SoftwareStore(
            store, self.software, clock, lambda: self.leads, self.backoff
        )

    def show(self, *software):
        """Replace the directory by one target of each version."""
        rows = {v: target(v)._replace(software=v) for v in software}
        self.software.set_targets(rows)

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.copy.step()
            self.clock.now += 0.1

    @property
    def versions(self):
        return self.software.versions("draft")


class TestSoftwareStore(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = CountingStore()

    def start(self, *software, leads=False):
        return Process(self.store, self.clock, *software, leads=leads)

    def test_version_that_left_outlasts_a_restart_of_all_processes(self):
        """Guards against streams that go on at the version which replaced theirs."""
        coordinator = self.start("v1", "v2", leads=True)
        coordinator.run(1.0)
        coordinator.show("v2")
        started = self.start("v2")
        self.assertIsNone(started.versions)
        started.run(0.1)
        self.assertEqual(started.versions, {"v1", "v2"})

    def test_version_counts_for_a_while_after_it_has_left(self):
        coordinator = self.start("v1", "v2", leads=True)
        coordinator.run(1.0)
        coordinator.show("v2")
        coordinator.run(KEPT_S - 1.0)
        self.assertEqual(self.store.value["versions"]["draft"], ["v1", "v2"])
        coordinator.run(2.0)
        self.assertEqual(self.store.value["versions"]["draft"], ["v2"])

    def test_copy_that_is_read_again_keeps_no_version_alive(self):
        """Guards against a version that each read of the copy makes new."""
        for _ in range(3):
            self.start("v1", leads=True).run(1.0)
        coordinator = self.start("v2", leads=True)
        coordinator.run(KEPT_S + 2.0)
        self.assertEqual(self.store.value["versions"]["draft"], ["v2"])

    def test_node_that_does_not_coordinate_reads_once(self):
        self.start("v1").run(60.0)
        self.assertEqual(self.store.calls, 1)

    def test_coordinator_writes_changes_only(self):
        self.start("v1", leads=True).run(60.0)
        self.assertEqual(self.store.revision, 1)
        # A read at its start and one in ten seconds.
        self.assertLessEqual(self.store.calls, 8)

    def test_versions_are_unknown_while_the_copy_cannot_be_read(self):
        self.store.is_away = True
        started = self.start("v2")
        started.run(1.0)
        self.assertIsNone(started.versions)
        self.store.is_away = False
        started.run(3.0)
        self.assertEqual(started.versions, {"v2"})

    def test_read_that_is_held_back_is_not_tried_without_a_pause(self):
        """Guards against a process that spins while others' calls have failed."""
        started = self.start("v2")
        started.backoff.record_failure()
        started.copy.step()
        self.assertGreater(started.copy.pause_s(), 0.0)

    def test_versions_are_known_once_streams_of_earlier_ones_have_ended(self):
        self.store.is_away = True
        started = self.start("v2")
        started.run(KEPT_S + 0.2)
        self.assertEqual(started.versions, {"v2"})

    def test_copy_that_the_store_has_lost_is_written_again(self):
        coordinator = self.start("v1", leads=True)
        coordinator.run(1.0)
        self.store.value, self.store.revision = None, 0
        coordinator.run(11.0)
        self.assertEqual(self.store.value["versions"]["draft"], ["v1"])

    def test_next_coordinator_adds_what_it_has_seen(self):
        self.start("v1", leads=True).run(1.0)
        other = self.start("v1", "v2")
        other.run(1.0)
        other.leads = True
        other.run(1.0)
        self.assertEqual(self.store.value["versions"]["draft"], ["v1", "v2"])

    def test_copy_that_cannot_be_decoded_tells_no_version(self):
        for value in ({}, {"versions": 3}, {"versions": {"draft": [1]}}):
            self.store.value, self.store.revision = value, 1
            started = self.start("v2")
            started.run(0.2)
            self.assertEqual(started.versions, {"v2"})


if __name__ == "__main__":
    unittest.main()
