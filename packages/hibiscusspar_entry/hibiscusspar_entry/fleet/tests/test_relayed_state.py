"""Tests of the state of the store that views relay to a node."""

import unittest
from unittest.mock import patch

from hibiscusspar.fleet.messages import NodeReport, TargetRow
from hibiscusspar.fleet.row_digests import join_digests, row_digest
from hibiscusspar.fleet.software_index import join_software
from hibiscusspar.fleet.targets import TargetDirectory
from hibiscusspar_entry.fleet.events import DIRECTORY_AGREES, DIRECTORY_DIFFERS
from hibiscusspar_entry.fleet.relayed_state import AgeLimits, RelayedState
from hibiscusspar_entry.fleet.store_sync import ConfigSync, TargetSync
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, view

ROW = TargetRow("t1", "draft", "10.0.0.1:80", "z1", 8, False, 1, {"m": 1})


class Codec:
    config_name = "main"


class Rules:
    version = 1


class RelayedStateTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.published = {}
        self.coordinator_rows = {}
        self.announced = []
        self.config = ConfigSync(Codec(), self.clock, lambda ruleset: None)
        self.config.ruleset = Rules()
        targets = TargetSync(Codec(), self.clock, TargetDirectory(), self._publish, 2.4)
        self.targets = targets
        self.relayed_state = RelayedState(
            self.clock,
            self.config,
            targets,
            lambda *announcement: self.announced.append(announcement),
            AgeLimits(config_s=1.4, directory_s=1.4),
        )

    def _publish(self, rows):
        self.published = rows

    def apply_view(self, sent_ago_s=0.0, **changes):
        self.clock.now -= sent_ago_s
        report = NodeReport("n1", "s", "z", 1, {}, {}, [], {}, {})
        self.relayed_state.complete_report(report)
        self.clock.now += sent_ago_s
        received = view(acked={"n1": 1})
        versions = ["v1"] * len(changes.get("directory", ()))
        received.software, received.software_index = join_software(versions)
        for name, value in changes.items():
            setattr(received, name, value)
        self.coordinator_rows.update({row.target_id: row for row in received.rows})
        received.row_digests = join_digests(
            row_digest(self.coordinator_rows[name]) for name in received.directory
        )
        return self.relayed_state.apply_view(received, "n1")


class TestOwnReads(RelayedStateTestCase):
    def test_older_view_does_not_restore_a_removed_target(self):
        self.targets.on_listing([], self.clock.now)
        self.apply_view(directory_age_s=0.5, directory=["t1"], rows=[ROW])
        self.assertEqual(self.published, {})
        self.clock.now += 1.0
        self.apply_view(directory_age_s=0.5, directory=["t1"], rows=[ROW])
        self.assertEqual(list(self.published), ["t1"])


class TestSuccessor(RelayedStateTestCase):
    def test_older_directory_of_a_new_coordinator_does_not_restore_a_target(self):
        draining = TargetRow("t1", "draft", "10.0.0.1:80", "z1", 8, True, 1, {"m": 1})
        self.apply_view(directory_age_s=0.1, directory=["t1"], rows=[draining])
        successor = {"start": "s2", "fence": 2, "directory": ["t1"]}
        self.apply_view(directory_age_s=1.0, rows=[ROW], **successor)
        self.assertTrue(self.published["t1"].draining)
        self.clock.now += 1.0
        self.apply_view(directory_age_s=0.1, rows=[ROW], **successor)
        self.assertFalse(self.published["t1"].draining)


class TestConfiguration(RelayedStateTestCase):
    def test_age_counts_from_the_report_that_the_view_answers(self):
        self.apply_view(sent_ago_s=0.3, config_age_s=0.4)
        self.assertAlmostEqual(self.config.age_s, 0.7)

    def test_view_that_answers_no_report_confirms_nothing(self):
        received = view(acked={"n1": 77})
        self.relayed_state.apply_view(received, "n1")
        self.assertEqual(self.config.age_s, float("inf"))
        self.assertFalse(self.relayed_state.config_is_current())

    def test_newer_version_must_be_read(self):
        self.assertTrue(self.apply_view(config_version=2))
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertEqual(self.config.age_s, float("inf"))

    def test_view_is_relied_on_until_its_data_may_be_too_old(self):
        # All nodes of a fleet lose the coordinator at the same moment. If they read the
        # store at once, it would get the calls of the whole fleet.
        self.apply_view(sent_ago_s=0.1, config_age_s=0.3, directory_age_s=0.3)
        self.clock.now += 0.99
        self.assertTrue(self.relayed_state.config_is_current())
        self.assertTrue(self.relayed_state.directory_is_current())
        self.clock.now += 0.02
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())

    def test_coordinator_that_lost_the_store_is_not_relied_on(self):
        self.apply_view(config_age_s=3.0, directory_age_s=3.0)
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())

    def test_age_of_the_view_is_added_to_the_ages_in_it(self):
        self.apply_view(sent_ago_s=0.3, config_age_s=1.2, directory_age_s=1.2)
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())
        self.apply_view(sent_ago_s=0.1, config_age_s=1.2, directory_age_s=1.2)
        self.assertTrue(self.relayed_state.config_is_current())
        self.clock.now += 0.15
        self.assertFalse(self.relayed_state.config_is_current())
        self.assertFalse(self.relayed_state.directory_is_current())

    def test_the_source_reads_the_store_itself(self):
        self.relayed_state.set_source(True)
        self.apply_view()
        self.assertFalse(self.relayed_state.config_is_current())


class TestDirectory(RelayedStateTestCase):
    def test_directory_applies_once_all_rows_have_arrived(self):
        other = TargetRow("t2", "draft", "10.0.0.2:80", "z2", 8, True, 1, {})
        self.coordinator_rows["t2"] = other
        self.apply_view(directory=["t1", "t2"], rows=[ROW])
        self.assertEqual(self.published, {})
        self.assertFalse(self.relayed_state.directory_is_current())
        self.apply_view(directory=["t1", "t2"], rows=[other])
        self.assertEqual(sorted(self.published), ["t1", "t2"])
        self.assertTrue(self.published["t2"].draining)

    def test_target_that_left_the_directory_is_removed(self):
        self.apply_view(directory=["t1"], rows=[ROW])
        self.apply_view(directory=[])
        self.assertEqual(self.published, {})

    def test_versions_are_announced_with_their_age(self):
        self.apply_view(versions={"m/a1": (4, 0.5)})
        self.assertEqual(self.announced, [(("m", "a1"), 4, 0.5)])


class TestDirectoryLog(RelayedStateTestCase):
    def setUp(self):
        super().setUp()
        self.records = []
        replaced = "hibiscusspar_entry.fleet.relayed_state.write_records"
        patcher = patch(replaced, self.records.extend)
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_rows_that_differ_are_logged_until_they_agree(self):
        draining = TargetRow("t1", "draft", "10.0.0.1:80", "z1", 8, True, 1, {"m": 1})
        self.apply_view(number=1, directory=["t1"], rows=[ROW])
        self.coordinator_rows["t1"] = draining
        self.apply_view(number=2, directory=["t1"])
        self.clock.now += 0.5
        self.apply_view(number=3, directory=["t1"], rows=[draining])
        self.assertEqual(
            [kind for kind, _ in self.records], [DIRECTORY_DIFFERS, DIRECTORY_AGREES]
        )
        self.assertEqual(self.records[0][1]["targets"], ["t1"])
        self.assertEqual(self.records[1][1]["differed_s"], 0.5)


class TestSoftware(RelayedStateTestCase):
    def test_software_of_targets_is_relayed(self):
        names = ["", "v1", "v2"]
        self.apply_view(
            directory=["t1"], rows=[ROW], software=names, software_index=b"\x02"
        )
        self.assertEqual(self.published["t1"].software, "v2")

    def test_directory_is_read_while_an_older_build_coordinates(self):
        self.apply_view(directory=["t1"], rows=[ROW], software=None)
        self.assertEqual(self.published, {})
        self.assertFalse(self.relayed_state.directory_is_current())


class TestLeavingTargets(RelayedStateTestCase):
    """Nodes that read the directory from views know how long targets still run."""

    def apply_leaving(self, leaving_in, sent_ago_s=0.0):
        self.apply_view(sent_ago_s, directory=["t1"], rows=[ROW], leaving_in=leaving_in)
        return self.published["t1"].remaining_s

    def test_time_left_is_relayed_less_the_age_of_the_view(self):
        left_s = self.apply_leaving({"t1": (1, 2.0)}, sent_ago_s=0.3)
        self.assertAlmostEqual(left_s, 1.7)

    def test_time_of_another_incarnation_is_not_used(self):
        self.assertIsNone(self.apply_leaving({"t1": (2, 2.0)}))

    def test_view_of_an_older_build_tells_no_time(self):
        self.assertIsNone(self.apply_leaving({}))

    def test_falling_time_does_not_publish_the_directory_again(self):
        self.apply_leaving({"t1": (1, 2.0)})
        row = self.published["t1"]
        self.apply_view(directory=["t1"], leaving_in={"t1": (1, 1.5)})
        self.assertIs(self.published["t1"], row)


class TestTimeUntilTheStoreMustBeRead(RelayedStateTestCase):
    # Watches of the store sleep meanwhile, so that nothing must become due earlier.
    def apply_view(self, **changes):
        return super().apply_view(config_version=1, **changes)

    def test_pause_ends_when_the_relayed_state_becomes_too_old(self):
        self.apply_view(config_age_s=0.3, directory_age_s=0.6)
        self.assertAlmostEqual(self.relayed_state.relayed_for_s(), 0.8)
        self.clock.now += self.relayed_state.relayed_for_s()
        self.assertFalse(self.relayed_state.directory_is_current())
        self.assertTrue(self.relayed_state.config_is_current())

    def test_later_view_of_the_same_ages_ends_no_pause(self):
        self.apply_view(config_age_s=0.3)
        self.clock.now += 0.1
        self.assertFalse(self.apply_view(config_age_s=0.3))

    def test_view_that_is_relied_on_for_less_time_ends_the_pause(self):
        self.apply_view(config_age_s=0.3)
        self.assertTrue(self.apply_view(config_age_s=0.8))

    def test_view_that_is_too_old_already_ends_the_pause(self):
        self.apply_view(config_age_s=0.3)
        self.clock.now += 5.0
        self.assertTrue(self.apply_view(config_age_s=1.5))

    def test_source_does_not_pause_for_long(self):
        self.apply_view()
        self.relayed_state.set_source(True)
        self.assertLess(self.relayed_state.relayed_for_s(), 0.2)
