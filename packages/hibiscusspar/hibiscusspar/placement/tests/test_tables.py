"""Tests of the tables and of the functions on plain data."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis.strategies import dictionaries, integers, sampled_from, tuples

from hibiscusspar.placement.demand import DemandTable
from hibiscusspar.placement.divide import divide
from hibiscusspar.placement.held_grants import HeldGrantTable
from hibiscusspar.placement.messages import Grant, Inquiry
from hibiscusspar.placement.permits import store_specs
from hibiscusspar.placement.prefixes import PrefixTable
from hibiscusspar.placement.residency import ResidencyTable, Row
from hibiscusspar.placement.ring import Ring
from hibiscusspar.placement.routing import pick_load_target
from hibiscusspar.placement.tests.cluster import make_cluster
from hibiscusspar.placement.wait_table import WaitTable

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=100)
KEYS = tuples(sampled_from("abcd"), sampled_from("xyz"))


class TestDivide(unittest.TestCase):
    @FIXED
    @given(integers(0, 20), dictionaries(KEYS, integers(0, 9)))
    def test_levels_are_within_limits_and_leave_no_unit_unused(self, capacity, wanted):
        levels = divide(capacity, wanted, lambda key: key)
        self.assertTrue(all(level <= wanted[key] for key, level in levels.items()))
        total = sum(levels.values())
        self.assertEqual(total, min(capacity, sum(wanted.values())))

    def test_a_busy_label_does_not_starve_another(self):
        wanted = {("hot", "x"): 50, ("hot", "y"): 50, ("cold", "x"): 1}
        levels = divide(8, wanted, lambda key: key)
        self.assertEqual(levels["cold", "x"], 1)
        self.assertEqual(sum(levels.values()), 8)


class TestDemandTable(unittest.TestCase):
    def test_half_life(self):
        table = DemandTable(10.0, 100)
        table.add(0.0, "oak", 8)
        self.assertAlmostEqual(table.value(10.0, "oak"), 4.0)

    def test_counts_survive_a_change_of_scale(self):
        table = DemandTable(1.0, 100)
        for second in range(200):
            table.add(float(second), "oak", 1)
        self.assertAlmostEqual(table.value(199.0, "oak"), 2.0, places=6)

    def test_rows_are_bounded_and_the_frequent_stay(self):
        table = DemandTable(100.0, 40)
        for second in range(100):
            table.add(float(second), "oak", 5)
            table.add(float(second), f"rare{second}", 1)
        self.assertLessEqual(len(table), 40)
        self.assertGreater(table.value(100.0, "oak"), 100.0)


class TestHeldGrantTable(unittest.TestCase):
    def setUp(self):
        self.table = HeldGrantTable(5)
        self.table.answer_inquiry(Inquiry("t", "owner", 2, 7))

    def grant(self, serial, level, number=2, life=7, node_life=5):
        return Grant("t", "oak@1", number, life, node_life, serial, level, "i")

    def test_older_grant_is_ignored(self):
        self.table.accept(self.grant(3, 1))
        self.assertIsNone(self.table.accept(self.grant(2, 9)))

    def test_grant_older_than_its_recall_is_ignored(self):
        self.table.accept(self.grant(3, 0))
        self.table.acknowledge("t", "oak@1", 0)
        self.assertIsNone(self.table.accept(self.grant(2, 9)))

    def test_grant_of_another_term_or_life_is_ignored(self):
        self.assertIsNone(self.table.accept(self.grant(3, 1, number=1)))
        self.assertIsNone(self.table.accept(self.grant(3, 1, life=8)))
        self.assertIsNone(self.table.accept(self.grant(3, 1, node_life=4)))

    def test_recalled_units_in_use_stay_bound(self):
        self.table.accept(self.grant(3, 2))
        self.table.acquire("t", "oak@1")
        self.table.accept(self.grant(4, 0))
        self.assertEqual(self.table.acknowledge("t", "oak@1", 1).bound, 1)
        self.assertTrue(self.table.release("t", "oak@1"))
        self.assertEqual(self.table.acknowledge("t", "oak@1", 0).bound, 0)


class TestResidencyTable(unittest.TestCase):
    def row(self, sequence, *resident):
        return Row("t", 1, 1, sequence, "owner", "i", resident)

    def test_only_newer_rows_count(self):
        table = ResidencyTable()
        self.assertTrue(table.adopt(self.row(2, "oak@1")))
        self.assertFalse(table.adopt(self.row(1, "ash@1")))
        self.assertEqual(list(table.labels()), ["oak@1"])

    def test_digest_depends_on_versions_but_not_on_order(self):
        one, two = ResidencyTable(), ResidencyTable()
        rows = [self.row(3, "oak@1"), self.row(1)._replace(target="u")]
        for row in rows:
            one.adopt(row)
        for row in [self.row(1), *reversed(rows)]:
            two.adopt(row)
        self.assertEqual(one.digest, two.digest)
        two.adopt(self.row(4))
        self.assertNotEqual(one.digest, two.digest)


class TestPrefixTable(unittest.TestCase):
    def test_gap_removes_the_entries_of_the_target(self):
        table = PrefixTable()
        table.event("t", 1, "p", "stored")
        table.event("u", 1, "q", "stored")
        table.event("t", 3, "r", "stored")
        found = [table.target(prefix) for prefix in ("p", "q", "r")]
        self.assertEqual(found, ["", "u", "t"])

    def test_rows_are_bounded(self):
        table = PrefixTable(2)
        for prefix in ("p", "q", "r"):
            table.record(prefix, "t")
        self.assertEqual(table.target("p"), "")


class TestWaitTable(unittest.TestCase):
    def test_waiting_requests_are_split_over_the_targets_asked(self):
        table = WaitTable()
        for index in range(5):
            row = table.add(0.0, ("s", "oak@1"), f"r{index}")
        for target in ("t", "u"):
            table.record_ask(0.0, row, target)
        self.assertEqual(table.waiting_for("t", "oak@1"), 3)

    def test_last_request_clears_the_row(self):
        table = WaitTable()
        row = table.add(0.0, ("s", "oak@1"), "r")
        table.record_ask(0.0, row, "t")
        key = table.remove("r")
        self.assertEqual(table.remove_if_empty(key), ("t",))
        self.assertEqual((table.rows, table.pending), ({}, {}))


class TestRing(unittest.TestCase):
    def test_walk_yields_every_target_once(self):
        names = [f"t{index}" for index in range(9)]
        self.assertEqual(sorted(Ring(names).walk("oak@1")), names)

    def test_a_new_target_moves_few_labels(self):
        names = [f"t{index}" for index in range(20)]
        before, after = Ring(names), Ring([*names, "new"])
        labels = [f"a{index}@1" for index in range(1000)]
        moved = [k for k in labels if next(before.walk(k)) != next(after.walk(k))]
        self.assertTrue(all(next(after.walk(label)) == "new" for label in moved))
        self.assertLess(len(moved), 150)


class TestPickLoadTarget(unittest.TestCase):
    def test_first_of_the_walk_unless_it_is_busy(self):
        names = ["u", "t", "v"]
        rows = {name: Row(name, 1, 1, 1, "o", "i") for name in names}
        self.assertEqual(pick_load_target(names, rows, {}), "u")
        rows["u"] = rows["u"]._replace(pending=4)
        self.assertEqual(pick_load_target(names, rows, {}), "t")
        self.assertEqual(pick_load_target(names, rows, {"t": 5}), "v")


class TestPermits(unittest.TestCase):
    @FIXED
    @given(integers(1, 20), integers(1, 40))
    def test_permits_of_all_zones_sum_to_the_limit(self, units, seed):
        rng = Random(seed)
        config = make_cluster(adapters=1).config
        store = config.weight_store._replace(max_in_transit=units)
        zones = [f"z{rng.randrange(6)}" for _ in range(rng.randrange(1, 30))]
        specs = store_specs(config._replace(weight_store=store), zones)
        self.assertEqual(sum(spec.concurrency for spec in specs.values()), units)
