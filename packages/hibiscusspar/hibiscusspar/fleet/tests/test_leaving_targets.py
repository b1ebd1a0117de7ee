"""Tests of what a node knows about targets that leave."""

import unittest

from hibiscusspar.fleet.leaving_targets import LeavingTargets
from hibiscusspar.fleet.targets import Target


def target(name="t1", zone="z1", draining=False, born=1, remaining_s=None):
    return Target(
        name,
        "draft",
        "10.0.0.1:80",
        zone,
        16,
        draining,
        born,
        0,
        {},
        {},
        "v1",
        remaining_s=remaining_s,
    )


class TestLeavingTargets(unittest.TestCase):
    def setUp(self):
        self.leaving = LeavingTargets(1.5)

    def directory(self, now, *targets, evacuated=()):
        rows = {row.target_id: row for row in targets}
        return self.leaving.record_directory(now, rows, set(evacuated))

    def found(self):
        leave = self.leaving.find("t1")
        return None if leave is None else tuple(leave)

    def test_draining_target_has_the_ordinary_time(self):
        self.assertFalse(self.directory(10.0, target()))
        self.assertTrue(self.directory(11.0, target(draining=True)))
        self.assertEqual(self.found(), (11.0, 12.5, "draining"))

    def test_entry_that_tells_the_time_counts_and_never_gives_more(self):
        self.directory(10.0, target(draining=True, remaining_s=0.5))
        self.assertEqual(self.found(), (10.0, 10.5, "draining"))
        self.directory(10.2, target(draining=True, remaining_s=2.0))
        self.assertEqual(self.found(), (10.0, 10.5, "draining"))

    def test_time_of_entries_is_told_until_it_is_over(self):
        self.directory(10.0, target(draining=True, born=3, remaining_s=0.5))
        self.assertEqual(self.leaving.remaining(10.2), {"t1": (3, 0.3)})
        self.assertEqual(self.leaving.remaining(11.0), {"t1": (3, 0.0)})
        self.directory(11.0)
        self.assertEqual(self.leaving.remaining(11.0), {})

    def test_ordinary_time_is_not_told(self):
        """It would count as certain at nodes whose drain times differ."""
        self.directory(10.0, target(draining=True))
        self.assertEqual(self.leaving.remaining(10.2), {})

    def test_at_most_64_targets_are_told_those_with_the_least_time_first(self):
        rows = [
            target(f"t{n}", draining=True, remaining_s=100.0 - n) for n in range(100)
        ]
        self.directory(10.0, *rows)
        told = self.leaving.remaining(10.0)
        self.assertEqual(set(told), {f"t{n}" for n in range(36, 100)})

    def test_target_that_left_the_directory_or_said_so_has_a_second(self):
        self.directory(10.0, target())
        self.directory(11.0)
        self.assertEqual(self.found(), (11.0, 12.0, "gone"))
        self.assertTrue(self.leaving.record_statement(11.0, target("t2")))
        self.assertFalse(self.leaving.record_statement(11.5, target("t2")))
        self.assertEqual(tuple(self.leaving.find("t2")), (11.0, 12.0, "said"))

    def test_learning_it_again_from_elsewhere_keeps_the_first_time(self):
        """A later time would let a run go back to its source after its limit."""
        self.leaving.record_statement(10.0, target())
        self.directory(10.9, target(draining=True))
        self.directory(11.5)
        self.assertEqual(self.found()[0], 10.0)

    def test_end_of_an_evacuation_ends_the_leave(self):
        self.assertTrue(self.directory(10.0, target(), evacuated=["z1"]))
        self.assertEqual(self.found(), (10.0, 11.0, "evacuated"))
        self.directory(12.0, target())
        self.assertIsNone(self.found())

    def test_next_incarnation_has_not_said_that_it_leaves(self):
        self.directory(9.0, target())
        self.leaving.record_statement(10.0, target())
        self.directory(10.5, target())
        self.assertIn("t1", self.leaving)
        self.directory(11.0, target(born=2))
        self.assertIsNone(self.found())

    def test_targets_that_left_are_forgotten(self):
        self.directory(10.0, target())
        self.directory(11.0)
        self.directory(80.0)
        self.assertIsNone(self.found())


if __name__ == "__main__":
    unittest.main()
