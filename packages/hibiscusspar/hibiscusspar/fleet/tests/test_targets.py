"""Tests of the directory of targets."""

import unittest

from hibiscusspar.fleet.targets import Target, TargetDirectory


def target(name, draining=False):
    return Target(name, "s", "10.0.0.1:80", "z", 8, draining, 1, 0, {}, {})


class TestTargetDirectory(unittest.TestCase):
    def test_deleted_entry_is_removed_at_once_without_an_outage(self):
        directory = TargetDirectory()
        directory.replace(1.0, [target("a"), target("b")])
        directory.remove(2.0, "a")
        self.assertEqual(list(directory.rows), ["b"])

    def test_entries_that_expired_in_an_outage_are_kept_until_the_grace_ends(self):
        directory = TargetDirectory()
        directory.replace(1.0, [target("a"), target("b")])
        directory.store_returned(10.0)
        directory.replace(10.0, [target("a")])
        self.assertEqual(sorted(directory.rows), ["a", "b"])
        directory.expire(12.6)
        self.assertEqual(sorted(directory.rows), ["a"])

    def test_entry_that_returns_is_kept(self):
        directory = TargetDirectory()
        directory.replace(1.0, [target("a")])
        directory.store_returned(10.0)
        directory.replace(10.0, [])
        directory.put(target("a"))
        directory.expire(13.0)
        self.assertEqual(list(directory.rows), ["a"])

    def test_older_copy_does_not_end_the_draining_of_a_target(self):
        """Guards against requests to a leaving target after a return of the store."""
        directory = TargetDirectory()
        directory.replace(1.0, [target("a", draining=True), target("b")])
        directory.store_returned(10.0, is_older=True)
        directory.replace(10.0, [target("a"), target("b")])
        self.assertTrue(directory.rows["a"].draining)
        self.assertFalse(directory.rows["b"].draining)
        directory.replace(11.0, [target("a")._replace(born=2)])
        self.assertFalse(directory.rows["a"].draining)

    def test_entry_deleted_after_the_grace_is_removed_at_once(self):
        directory = TargetDirectory()
        directory.replace(1.0, [target("a")])
        directory.store_returned(10.0)
        directory.remove(13.0, "a")
        self.assertEqual(directory.rows, {})

    def test_changed_entry_replaces_the_older_one(self):
        directory = TargetDirectory()
        directory.replace(1.0, [target("a")])
        directory.put(target("a", draining=True))
        self.assertTrue(directory.rows["a"].draining)
