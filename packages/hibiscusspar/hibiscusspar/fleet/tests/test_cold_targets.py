"""Tests of what is known and assumed of cold targets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.cold_targets import ColdPolicy, ColdTable

START_S = 3.0
POLICY = ColdPolicy()


class TableTestCase(unittest.TestCase):
    def setUp(self):
        self.table = ColdTable()
        self.table.set_targets(100.0, {"t1": (1, START_S)}, presumes=False)

    def list(self, now, **borns):
        starts = {target_id: (born, START_S) for target_id, born in borns.items()}
        return self.table.set_targets(now, starts)

    def cold(self, now):
        return sorted(self.table.cold(now))


class TestUnknownIncarnation(TableTestCase):
    def test_targets_of_the_first_listing_are_warm(self):
        self.assertEqual(self.cold(100.0), [])
        self.assertTrue(self.table.is_idle(100.0))

    def test_new_target_and_new_incarnation_are_presumed_cold(self):
        self.assertEqual(self.list(110.0, t1=2, t2=1), ["t1", "t2"])
        self.assertEqual(self.cold(112.9), ["t1", "t2"])
        self.assertEqual(self.cold(113.0), [])

    def test_presumption_is_not_renewed(self):
        for now in (110.0, 111.0, 112.0):
            self.list(now, t1=1, t2=1)
        self.assertEqual(self.cold(113.0), [])

    def test_any_statement_replaces_the_presumption(self):
        self.list(110.0, t1=2)
        change = self.table.record_relayed(110.1, "t1", 2, 0.0, 5.0, "c")
        self.assertEqual(change.cold_s, 0.0)
        self.assertEqual(self.cold(110.1), [])

    def test_statement_that_comes_before_the_row_counts(self):
        # A view names a cold target whose row the node still lacks.
        self.table.record_relayed(110.0, "t2", 7, 8.0, 0.1, "c")
        self.list(110.1, t1=1, t2=7)
        self.assertEqual(self.cold(117.9), ["t2"])

    def test_target_that_returns_with_the_same_incarnation_stays_warm(self):
        # All entries expire in an outage of the store, and come back after it.
        self.list(110.0)
        self.assertEqual(self.list(115.0, t1=1), [])

    def test_rows_of_targets_that_left_are_dropped(self):
        self.list(110.0)
        self.list(111.0 + POLICY.kept_s)
        self.assertEqual(self.table.rows, {})

    def test_incarnation_of_an_earlier_start_is_presumed_cold_too(self):
        # The clock of the target's machine was set back.
        self.list(110.0, t1=5)
        self.assertEqual(self.list(120.0, t1=4), ["t1"])


class TestStatements(TableTestCase):
    def test_entry_counts_until_the_next_one_is_due(self):
        # The time of a target without requests doesn't pass, so its entries state the
        # same time again and again.
        for step in range(10):
            now = 110.0 + 1.2 * step
            self.table.record_entry(now, "t1", 1, 0.2, step, now)
            self.assertEqual(self.cold(now + 1.19), ["t1"])

    def test_entry_that_is_listed_again_prolongs_nothing(self):
        for step in range(40):
            now = 110.0 + 0.15 * step
            self.table.record_entry(now, "t1", 1, 3.0, 8, now)
        self.assertEqual(self.cold(110.0 + 3.0 + POLICY.entry_interval_s), [])

    def test_older_statement_is_ignored(self):
        self.table.record(110.0, "t1", 1, 3.0, 110.0, "answer")
        self.table.record(110.1, "t1", 1, 0.0, 109.9, "answer")
        self.assertEqual(self.cold(110.2), ["t1"])

    def test_delayed_view_does_not_make_a_target_warm_that_is_cold_again(self):
        self.table.record(110.0, "t1", 1, 3.0, 110.0, "answer")
        self.table.record_relayed(110.4, "t1", 1, 0.0, 0.0, "c")
        self.assertEqual(self.cold(110.5), ["t1"])

    def test_statement_about_an_earlier_incarnation_is_ignored(self):
        self.list(110.0, t1=2)
        self.table.record(110.1, "t1", 1, 0.0, 110.1, "answer")
        self.assertEqual(self.cold(110.2), ["t1"])

    def test_warm_target_becomes_cold_again(self):
        change = self.table.record_entry(150.0, "t1", 1, 2.0, 9, 150.0)
        self.assertTrue(change.again)
        self.assertEqual(self.cold(150.0), ["t1"])
        self.assertIsNone(self.table.record_entry(151.2, "t1", 1, 0.8, 10, 151.2))

    def test_unusable_statement_counts_once_an_incarnation(self):
        self.assertTrue(self.table.record_fault(110.0, "t1", 1, START_S, "entry"))
        self.assertFalse(self.table.record_fault(112.0, "t1", 1, START_S, "entry"))
        self.assertEqual(self.cold(112.9), ["t1"])
        self.assertEqual(self.cold(113.0), [])
        self.assertTrue(self.table.record_fault(120.0, "t1", 2, START_S, "entry"))

    def test_older_entry_does_not_end_what_is_presumed_after_an_evacuation(self):
        self.table.presume(110.0, {"t1": (1, START_S)}, "presumed")
        self.table.record_entry(110.1, "t1", 1, 0.0, 9, 109.9)
        self.assertEqual(self.cold(110.2), ["t1"])
        self.table.record_entry(111.1, "t1", 1, 0.0, 10, 110.9)
        self.assertEqual(self.cold(111.2), [])

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 2),
                st.sampled_from((0.0, 0.3, 3.0)),
                st.floats(0.0, 2.0),
            ),
            max_size=12,
        )
    )
    def test_no_order_of_statements_leaves_a_target_cold_for_ever(self, rows):
        table = ColdTable()
        for step, (born, cold_s, age_s) in enumerate(rows):
            now = 100.0 + 0.1 * step
            table.record_relayed(now, "t1", born, cold_s, age_s, "c")
            table.record_entry(now, "t1", born, cold_s, step, now - age_s)
        self.assertEqual(table.cold(120.0), {})


class TestWhatOthersAreTold(TableTestCase):
    def test_cold_targets_with_their_time_and_age(self):
        self.table.record(110.0, "t1", 1, 3.0, 110.0, "answer")
        self.assertEqual(self.table.statements(111.0), {"t1": (1, 2.0, 1.0)})

    def test_warm_new_incarnation_for_some_seconds(self):
        # The others presume it cold.
        self.table.record_entry(110.0, "t2", 1, 0.0, 3, 110.0)
        self.assertEqual(self.table.statements(111.0), {"t2": (1, 0.0, 1.0)})
        self.assertEqual(self.table.statements(110.0 + POLICY.told_s), {})

    def test_neither_presumptions_nor_warm_targets_of_the_first_listing(self):
        table = ColdTable()
        table.record_entry(100.0, "t1", 1, 0.0, 3, 100.0)
        table.set_targets(100.0, {"t1": (1, START_S)}, presumes=False)
        table.set_targets(101.0, {"t1": (1, START_S), "t2": (1, START_S)})
        self.assertEqual(table.statements(101.0), {})


if __name__ == "__main__":
    unittest.main()
