"""Tests of the directory of targets as sent and as copied."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.directory_copy import DirectoryCopy
from hibiscusspar.fleet.directory_rows import DirectoryRows
from hibiscusspar.fleet.targets import Target


def target(name, draining=False):
    return Target(name, "s", "10.0.0.1:80", "z", 8, draining, 1, 0, {"m": 1}, {})


def targets(count, **changes):
    return {f"t{n:03}": target(f"t{n:03}", **changes) for n in range(count)}


def sent_view(rows):
    return SimpleNamespace(
        directory=rows.names,
        row_digests=rows.joined_digests,
        rows=rows.due(),
        directory_digest=rows.digest,
    )


class TestDirectoryCopy(unittest.TestCase):
    def setUp(self):
        self.sender = DirectoryRows()
        self.sender.start_term(targets(3))
        self.copy = DirectoryCopy()

    def exchange(self):
        """Let the copy request what it lacks and receive the next view."""
        self.sender.request(self.copy.requested)
        self.copy.apply_view(sent_view(self.sender))

    def test_new_copy_gets_all_rows_by_request(self):
        self.exchange()
        self.assertEqual(self.copy.differing, ["t000", "t001", "t002"])
        self.assertIsNone(self.copy.rows)
        self.exchange()
        self.assertEqual([r.target_id for r in self.copy.rows], self.sender.names)

    def test_lost_change_leaves_a_difference_until_it_is_requested(self):
        self.exchange()
        self.exchange()
        self.sender.update(targets(3) | {"t001": target("t001", draining=True)})
        for _ in range(3):
            sent_view(self.sender)
        self.copy.apply_view(sent_view(self.sender))
        self.assertEqual(self.copy.differing, ["t001"])
        self.exchange()
        self.assertTrue(self.copy.rows[1].draining)

    def test_rows_remain_valid_under_another_coordinator(self):
        self.exchange()
        self.exchange()
        self.sender = DirectoryRows()
        self.sender.start_term(targets(3))
        self.copy.apply_view(sent_view(self.sender))
        self.assertEqual(self.copy.differing, [])

    def test_view_of_an_older_build_leaves_all_rows_unconfirmed(self):
        self.exchange()
        self.exchange()
        view = sent_view(self.sender)
        view.row_digests = b""
        self.copy.apply_view(view)
        self.assertIsNone(self.copy.rows)
        self.copy.apply_view(sent_view(self.sender))
        self.assertEqual(len(self.copy.rows), 3)

    def test_removed_target_leaves_the_copy(self):
        self.exchange()
        self.exchange()
        self.sender.update(targets(2))
        self.copy.apply_view(sent_view(self.sender))
        self.assertEqual([r.target_id for r in self.copy.rows], ["t000", "t001"])

    def test_large_directory_arrives_in_bounded_views(self):
        self.sender.start_term(targets(830))
        self.exchange()
        views = 0
        while self.copy.differing and views < 100:
            self.sender.request(self.copy.requested)
            view = sent_view(self.sender)
            self.assertLessEqual(len(view.rows), 64)
            self.copy.apply_view(view)
            views += 1
        self.assertEqual(self.copy.differing, [])
        self.assertEqual(views, 26)


if __name__ == "__main__":
    unittest.main()
