"""Tests of views that leave out the names of targets."""

import unittest
from itertools import count
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.fleet.directory_copy import DirectoryCopy
from hibiscusspar.fleet.directory_names import KnownNames, needs_names, without
from hibiscusspar.fleet.directory_rows import DirectoryRows
from hibiscusspar.fleet.software_index import split_software
from hibiscusspar.fleet.targets import Target

NAMES = ("a", "b", "c", "d")
TARGETS = st.dictionaries(
    st.sampled_from(NAMES), st.tuples(st.booleans(), st.sampled_from(("", "v1", "v2")))
)
# Few directories, so that they often become what they were.
DIRECTORIES = st.sampled_from(
    (
        {"a": (False, ""), "b": (False, "v1")},
        {"a": (True, ""), "b": (False, "v1")},
        {"a": (False, ""), "b": (False, "v2")},
        {"a": (False, ""), "c": (False, "v1")},
        {},
    )
)
# What happens in an interval: a change of the directory or none, whether the report
# is lost or arrives two intervals late, whether the view is lost, comes again or after
# the next one, and whether the coordinator changes, the node restarts or a view leaves
# out names that the node may lack, as after a report of an earlier process.
INTERVALS = st.lists(
    st.tuples(
        st.none() | DIRECTORIES,
        st.sampled_from(("arrives", "arrives", "lost", "late")),
        st.sampled_from(("arrives", "arrives", "lost", "twice", "late")),
        st.sampled_from(("", "", "no names", "successor", "older build", "restart")),
    ),
    max_size=30,
)


def directory(states):
    return {
        name: Target(name, "s", "h:1", "z", 8, draining, 1, 0, {}, {}, software)
        for name, (draining, software) in states.items()
    }


def record(digest, at, reads=True):
    report = SimpleNamespace(reads_directory_changes=reads, directory_digest=digest)
    return SimpleNamespace(report=report, received_at=at)


class Receiver:
    """Node with its copy; ``names`` is None if it gets all names as today."""

    def __init__(self, names):
        self.names = names
        self.copy = DirectoryCopy()
        self.newest = 0
        self.software = None

    def receive(self, view):
        if view.number <= self.newest:
            return
        self.newest = view.number
        if self.names is not None:
            self.names.complete(view)
        self.copy.apply_view(view)
        self.software = view.software, view.software_index

    def targets(self):
        """Return rows and versions that the node may use, None if it may use none."""
        rows = self.copy.rows
        return rows and list(zip(rows, split_software(*self.software), strict=True))


class Sender:
    def __init__(self, states, older=False):
        self.rows = DirectoryRows()
        self.older = older
        self.digest, self.changed_at = 0, 0.0
        self.start(states)

    def start(self, states):
        self.rows.start_term(directory(states))

    def targets(self):
        """Return the rows and versions of the directory."""
        versions = split_software(*self.rows.software)
        return list(zip(map(self.rows.row, self.rows.names), versions, strict=True))

    def views(self, now, number, requested, reports):
        """Return a view with all names, and the one that is sent."""
        self.rows.request(requested)
        digest = 0 if self.older else self.rows.digest
        if digest != self.digest:
            self.digest, self.changed_at = digest, now
        software, index = self.rows.software
        fields = {
            "number": number,
            "rows": self.rows.due(),
            "directory": self.rows.names,
            "row_digests": self.rows.joined_digests,
            "software": software,
            "software_index": index,
            "directory_digest": digest,
        }
        whole, sent = SimpleNamespace(**fields), SimpleNamespace(**fields)
        if not needs_names(now, digest, self.changed_at, reports):
            vars(sent).update(without(sent))
        return whole, sent


class TestKnownNames(unittest.TestCase):
    @settings(max_examples=300)
    @given(DIRECTORIES, INTERVALS)
    def test_copy_is_the_directory_of_the_view_or_in_doubt(self, states, intervals):
        # A node that takes a wrong directory for the coordinator's sends requests to
        # targets that have left, or to none.
        sender, numbers = Sender(states), count(1)
        node, reference = Receiver(KnownNames()), Receiver(None)
        report, late, digests, told = record(0, 0.0), [], [0, 0], {}
        for now, (change, report_fate, fate, event) in enumerate(intervals, 1):
            states = states if change is None else change
            if event in ("successor", "older build"):
                sender = Sender(states, event == "older build")
            elif event == "restart":
                node, reference = Receiver(KnownNames()), Receiver(None)
            sender.rows.update(directory(states))
            if report_fate != "lost":
                is_late = report_fate == "late"
                digest = digests[-2] if is_late else node.names.digest
                report = record(digest, now - 0.5)
            digests.append(node.names.digest)
            requested = [*node.copy.requested, *reference.copy.requested]
            number = next(numbers)
            pair = sender.views(float(now), number, requested, [report])
            if event == "no names" and pair[0].directory_digest:
                vars(pair[1]).update(without(pair[1]))
            pairs = {"arrives": [pair], "twice": [pair, pair]}.get(fate, []) + late
            late = [pair] if fate == "late" else []
            for whole, sent in pairs:
                reference.receive(whole)
                node.receive(sent)
            told[number] = sender.targets()
            # A copy in doubt keeps rows that others drop, so it may agree sooner.
            if node.copy.agrees:
                self.assertEqual(node.targets(), told[node.newest])
            if reference.copy.agrees:
                self.assertEqual(reference.targets(), told[reference.newest])
        # With reports and views that arrive, the copies soon agree.
        for now in range(len(intervals) + 1, len(intervals) + 4):
            report = record(node.names.digest, now - 0.5)
            requested = [*node.copy.requested, *reference.copy.requested]
            pair = sender.views(float(now), next(numbers), requested, [report])
            reference.receive(pair[0])
            node.receive(pair[1])
        self.assertTrue(node.copy.agrees)
        self.assertEqual(node.targets(), reference.targets())

    def test_names_that_are_lost_are_sent_again(self):
        sender, node = Sender({"a": (False, "")}), Receiver(KnownNames())
        sender.views(1.0, 1, [], [record(0, 0.5)])
        _, sent = sender.views(2.0, 2, [], [record(node.names.digest, 1.5)])
        self.assertEqual(sent.directory, ["a"])

    def test_other_names_than_those_of_the_view_are_not_used(self):
        before, sender = Sender({"b": (False, "")}), Sender({"a": (False, "")})
        node = Receiver(KnownNames())
        before.views(1.0, 1, [], [])
        node.receive(before.views(2.0, 2, ["b"], [record(0, 1.5)])[1])
        self.assertTrue(node.copy.agrees)
        sender.views(3.0, 3, [], [])
        node.receive(sender.views(4.0, 4, [], [record(sender.rows.digest, 3.5)])[1])
        self.assertIsNone(node.copy.rows)
        self.assertEqual((node.names.left_out, node.names.lacked), (1, 1))
        report = record(node.names.digest, 4.5)
        node.receive(sender.views(5.0, 5, ["a"], [report])[1])
        self.assertTrue(node.copy.agrees)

    def test_unknown_digest_leaves_the_copy_in_doubt(self):
        sender, node = Sender({"a": (False, "")}), Receiver(KnownNames())
        digest = sender.rows.digest
        sender.views(1.0, 1, [], [record(0, 0.5)])
        _, sent = sender.views(2.0, 2, ["a"], [record(digest, 1.5)])
        self.assertEqual(sent.directory, [])
        node.receive(sent)
        self.assertIsNone(node.copy.rows)


class TestNeedsNames(unittest.TestCase):
    def test_node_of_an_older_build_always_gets_names(self):
        older = record(0, -60.0, reads=False)
        self.assertTrue(needs_names(10.0, 7, 1.0, [record(7, 9.9), older]))

    def test_one_node_without_the_names_suffices(self):
        self.assertTrue(needs_names(10.0, 7, 1.0, [record(7, 9.9), record(6, 9.9)]))
        self.assertFalse(needs_names(10.0, 7, 1.0, [record(7, 9.9), record(7, 9.9)]))

    def test_report_from_before_the_change_does_not_count(self):
        # The directory became what it was; the node may have the one in between.
        self.assertTrue(needs_names(10.0, 7, 9.95, [record(7, 9.9)]))

    def test_failed_node_does_not_cause_names_for_ever(self):
        self.assertFalse(needs_names(10.0, 7, 6.0, [record(7, 9.9), record(6, 4.0)]))

    def test_empty_directory_is_always_sent(self):
        self.assertTrue(needs_names(10.0, 0, 1.0, [record(0, 9.9)]))


class TestDigest(unittest.TestCase):
    @given(TARGETS, TARGETS)
    def test_equal_digests_mean_equal_directories(self, one, other):
        digests = {Sender(states).rows.digest for states in (one, other)}
        self.assertEqual(len(digests) == 1, one == other)


if __name__ == "__main__":
    unittest.main()
