"""Tests of the table of evacuated zones."""

import unittest

from hibiscusspar.fleet.evacuations import (
    EvacuationTable,
    LineLimit,
    evacuated_services,
    mark_evacuated,
)
from hibiscusspar.fleet.targets import Target


def target(name, zone, service="draft", draining=False):
    return Target(name, service, "10.0.0.1:80", zone, 8, draining, 1, 0, {}, {})


def rows(*targets):
    return {row.target_id: row for row in targets}


class TestStore(unittest.TestCase):
    def test_list_is_unknown_before_the_first_answer(self):
        table = EvacuationTable()
        self.assertFalse(table.is_known)
        self.assertEqual(table.age_s(5.0), float("inf"))
        table.apply_listing(5.1, 5.0, [])
        self.assertTrue(table.is_known)
        self.assertAlmostEqual(table.age_s(6.0), 1.0)

    def test_last_of_several_changes_applies(self):
        table = EvacuationTable()
        table.apply_listing(1.0, 1.0, ["b"])
        table.apply_changes(2.0, 2.0, [("a", True), ("a", False), ("a", True)])
        self.assertEqual(table.zones, {"a", "b"})
        table.apply_changes(3.0, 3.0, [("a", False), ("a", False), ("c", False)])
        self.assertEqual(table.zones, {"b"})

    def test_doubled_change_keeps_when_it_was_learned(self):
        table = EvacuationTable()
        table.apply_listing(1.0, 1.0, ["a"])
        table.apply_changes(2.0, 2.0, [("a", True)])
        self.assertEqual(table.rows["a"], (1.0, "store"))

    def test_late_answer_does_not_make_the_list_older(self):
        table = EvacuationTable()
        table.apply_relayed(5.0, 4.8, ["a"], "n", "s")
        table.apply_listing(5.1, 4.6, ["a"])
        self.assertAlmostEqual(table.age_s(5.0), 0.2)


class TestViews(unittest.TestCase):
    def setUp(self):
        self.table = EvacuationTable()

    def test_list_and_its_age_are_taken_from_a_view(self):
        self.assertTrue(self.table.apply_relayed(5.0, 4.0, ["a"], "n", "s"))
        self.assertEqual(self.table.rows["a"], (5.0, "n"))
        self.assertAlmostEqual(self.table.age_s(6.0), 2.0)
        self.assertAlmostEqual(self.table.relayed_age_s(6.0), 2.0)

    def test_list_that_may_be_older_than_an_answer_is_ignored(self):
        # It would end an evacuation that the store has just told of.
        self.table.apply_listing(5.2, 5.0, ["a"])
        self.assertFalse(self.table.apply_relayed(5.3, 5.1, [], "n", "s"))
        self.assertEqual(self.table.zones, {"a"})
        self.assertTrue(self.table.apply_relayed(5.4, 5.2, [], "n", "s"))
        self.assertEqual(self.table.zones, frozenset())

    def test_older_list_of_another_coordinator_is_ignored(self):
        self.table.apply_relayed(5.0, 4.8, ["a"], "n", "s")
        self.assertFalse(self.table.apply_relayed(5.1, 4.7, [], "m", "former"))
        self.assertEqual(self.table.zones, {"a"})
        self.assertAlmostEqual(self.table.relayed_age_s(5.8), 1.0)
        self.assertTrue(self.table.apply_relayed(5.2, 4.9, [], "m", "successor"))

    def test_later_view_of_one_coordinator_applies_though_its_time_went_back(self):
        self.table.apply_relayed(5.0, 4.8, [], "n", "s")
        self.assertTrue(self.table.apply_relayed(5.1, 4.7, ["a"], "n", "s"))
        self.assertEqual(self.table.zones, {"a"})
        self.assertAlmostEqual(self.table.age_s(5.8), 1.0)


class TestLineLimit(unittest.TestCase):
    def test_zone_that_changes_often_is_logged_once_a_second(self):
        limit, lines = LineLimit(), []
        for step in range(35):
            limit.record(["a"])
            lines += limit.due(step / 10).items()
        self.assertEqual(len(lines), 4)
        self.assertEqual(lines[0], ("a", 1))
        # The changes since the last line are logged once that is allowed.
        self.assertEqual(limit.due(9.0), {"a": 35 - sum(n for _, n in lines)})
        self.assertEqual(limit.due(20.0), {})

    def test_many_zones_are_logged_in_parts(self):
        limit = LineLimit()
        limit.record(f"z{n}" for n in range(40))
        self.assertEqual(
            [len(limit.due(at)) for at in (0, 0.5, 1, 2, 3)], [16, 0, 16, 8, 0]
        )


class TestTargets(unittest.TestCase):
    def test_targets_of_evacuated_zones_are_marked(self):
        known = rows(target("t1", "a"), target("t2", "b"))
        marked = mark_evacuated(known, {"a", "nowhere"})
        self.assertEqual([t.draining for t in marked.values()], [True, False])
        self.assertFalse(known["t1"].draining)

    def test_service_is_evacuated_if_no_other_target_is_usable(self):
        known = rows(
            target("t1", "a"),
            target("t2", "b", draining=True),
            target("t3", "a", "notes"),
            target("t4", "b", "notes"),
            target("t5", "b", "leaving", draining=True),
        )
        self.assertEqual(evacuated_services(known, {"a"}), {"draft"})
        self.assertEqual(evacuated_services(known, set()), frozenset())
