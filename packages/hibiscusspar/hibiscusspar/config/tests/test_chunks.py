"""Tests of chunks of a configuration and of differences."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.config.chunks import (
    MAX_CHUNK_BYTES,
    check_chunk,
    join_chunks,
    missing_chunk_names,
    split_configuration,
)
from hibiscusspar.config.diff import changed_chunks, diff, render_change
from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    KeySpec,
    empty_configuration,
)
from hibiscusspar.errors import StepError

PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=60)


def configuration_of(names, revision=1):
    adapters = {n: AdapterSpec(n, "base", ("1", "2"), "2") for n in names}
    return empty_configuration()._replace(revision=revision, adapters=adapters)


class TestSplitAndJoin(unittest.TestCase):
    @PROFILE
    @given(st.sets(st.text(min_size=1), max_size=30), st.integers(1, 9))
    def test_join_restores_what_was_split(self, names, revision):
        account = AccountSpec("a", 1.5, 9.0, zone_fractions=(("z", 1.0),))
        before = configuration_of(names, revision)._replace(
            accounts={"a": account}, keys={"d": KeySpec("d", "a", "k")}
        )
        root, chunks = split_configuration(before, "w", "me")
        self.assertEqual(join_chunks(root, dict(chunks)), before)

    @PROFILE
    @given(st.lists(st.sets(st.sampled_from("abcdefgh")), min_size=1, max_size=6))
    def test_join_with_parsed_chunks_gives_the_same(self, revisions):
        parsed = {}
        for number, names in enumerate(revisions, start=1):
            before = configuration_of(names, number)
            root, chunks = split_configuration(before, "w", "me")
            new_texts = {c.name: c.text for c in chunks if c.name not in parsed}
            self.assertEqual(join_chunks(root, new_texts, parsed), before)
            self.assertEqual(parsed.keys(), {chunk.name for chunk in chunks})

    def test_36000_adapters_fit_and_one_change_changes_one_chunk(self):
        before = configuration_of(f"adapter-{i:05}" for i in range(36000))
        spec = before.adapters["adapter-00007"]._replace(current="1")
        after = before._replace(adapters={**before.adapters, spec.name: spec})
        _, chunks = split_configuration(before, "", "")
        self.assertLessEqual(max(len(c.text) for c in chunks), MAX_CHUNK_BYTES)
        self.assertEqual(len(changed_chunks(before, after)), 1)
        root, _ = split_configuration(after, "", "")
        self.assertEqual(len(missing_chunk_names(root, {c.name for c in chunks})), 1)

    def test_fields_of_a_later_release_are_dropped(self):
        root, chunks = split_configuration(configuration_of(["larch"]), "", "")
        newer = {c.name: c.text.replace('"2",[]]', '"2",[],7]') for c in chunks}
        self.assertNotEqual(newer, dict(chunks))
        self.assertEqual(join_chunks(root, newer), configuration_of(["larch"]))

    def test_changed_content_is_refused(self):
        _, chunks = split_configuration(configuration_of(["larch"]), "", "")
        with self.assertRaises(StepError):
            check_chunk(chunks[0].name, chunks[0].text + " ", "peer")

    def test_oversized_row_is_refused(self):
        with self.assertRaises(StepError):
            split_configuration(configuration_of(["x" * MAX_CHUNK_BYTES]), "", "")


class TestDiff(unittest.TestCase):
    def test_rendered_changes_of_each_kind(self):
        old = configuration_of(["larch", "oak"])
        new = configuration_of(["larch", "elm"], revision=2)
        larch = new.adapters["larch"]._replace(current="1")
        new.adapters["larch"] = larch
        lines = [render_change(change) for change in diff(old, new)]
        expected = [
            "added adapters elm",
            "changed adapters larch (current: '2' -> '1')",
            "removed adapters oak",
        ]
        self.assertEqual(lines, expected)
