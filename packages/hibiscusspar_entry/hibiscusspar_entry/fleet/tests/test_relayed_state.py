"""Tests of the state of the store that views relay to a node."""

import unittest

from hibiscusspar.fleet.messages import TargetRow
from hibiscusspar.fleet.targets import TargetDirectory
from hibiscusspar_entry.fleet.relayed_state import AgeLimits, RelayedState
from hibiscusspar_entry.fleet.store_sync import ConfigSync, TargetSync
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, view

ROW = TargetRow("t1", "draft", "10.0.0.1:80", "z1", 8, False, 1, {"m": 1})


class Codec:
    config_name = "main"


class Rules:
    version = 1


class RelayedTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.published = {}
        self.announced = []
        self.config = ConfigSync(Codec(), self.clock, lambda ruleset: None)
        self.config.ruleset = Rules()
        targets = TargetSync(Codec(), self.clock, TargetDirectory(), self._publish)
        self.targets = targets
        self.relayed_state = RelayedState(
            self.clock,
            self.config,
            targets,
            lambda *found: self.announced.append(found),
            AgeLimits(config_s=1.4, directory_s=1.4),
        )

    def _publish(self, rows):
        self.published = rows

    def take(self, sent_ago_s=0.0, **changes):
        self.clock.now -= sent_ago_s
        self.relayed_state.report_sent(1)
        self.clock.now += sent_ago_s
        found = view(acked={"n1": 1})
        for name, value in changes.items():
            setattr(found, name, value)
        return self.relayed_state.take(found, "n1")


class TestOwnReading(RelayedTestCase):
    def test_older_view_does_not_bring_back_a_target_that_left(self):
        self.targets.listed([], self.clock.now)
        self.take(directory_age_s=0.5, directory=["t1"], rows=[ROW])
        self.assertEqual(self.published, {})
        self.clock.now += 1.0
        self.take(directory_age_s=0.5, directory=["t1"], rows=[ROW])
        self.assertEqual(list(self.published), ["t1"])


class TestConfiguration(RelayedTestCase):
    def test_age_counts_from_the_report_that_the_view_answers(self):
        self.take(sent_ago_s=0.3, config_age_s=0.4)
        self.assertAlmostEqual(self.config.age_s, 0.7)

    def test_view_that_answers_no_report_confirms_nothing(self):
        found = view(acked={"n1": 77})
        self.relayed_state.take(found, "n1")
        self.assertEqual(self.config.age_s, float("inf"))
        self.assertFalse(self.relayed_state.config_is_current())

    def test_newer_version_is_to_be_read(self):
        self.assertTrue(self.take(config_version=2))
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertEqual(self.config.age_s, float("inf"))

    def test_view_is_relied_on_until_what_it_tells_may_be_too_old(self):
        # All nodes of a fleet lose the coordinator at the same moment. If they read the
        # store at once, it would get the calls of the whole fleet.
        self.take(sent_ago_s=0.1, config_age_s=0.3, directory_age_s=0.3)
        self.clock.now += 0.99
        self.assertTrue(self.relayed_state.config_is_current())
        self.assertTrue(self.relayed_state.directory_is_current())
        self.clock.now += 0.02
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())

    def test_coordinator_that_lost_the_store_is_not_relied_on(self):
        self.take(config_age_s=3.0, directory_age_s=3.0)
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())

    def test_age_of_the_view_counts_with_what_it_tells(self):
        self.take(sent_ago_s=0.3, config_age_s=1.2, directory_age_s=1.2)
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())
        self.take(sent_ago_s=0.1, config_age_s=1.2, directory_age_s=1.2)
        self.assertTrue(self.relayed_state.config_is_current())
        self.clock.now += 0.15
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())

    def test_the_source_reads_the_store_itself(self):
        self.relayed_state.set_source(True)
        self.take()
        self.assertFalse(self.relayed_state.config_is_current())


class TestDirectory(RelayedTestCase):
    def test_rows_come_by_turns_and_count_once_all_are_known(self):
        self.take(directory=["t1", "t2"], rows=[ROW])
        self.assertEqual(self.published, {})
        self.assertFalse(self.relayed_state.directory_is_current())
        other = TargetRow("t2", "draft", "10.0.0.2:80", "z2", 8, True, 1, {})
        self.take(directory=["t1", "t2"], rows=[other])
        self.assertEqual(sorted(self.published), ["t1", "t2"])
        self.assertTrue(self.published["t2"].draining)

    def test_target_that_left_the_directory_is_gone(self):
        self.take(directory=["t1"], rows=[ROW])
        self.take(directory=[])
        self.assertEqual(self.published, {})

    def test_versions_are_told_with_their_age(self):
        self.take(versions={"m/a1": (4, 0.5)})
        self.assertEqual(self.announced, [(("m", "a1"), 4, 0.5)])
