"""Tests of the costs of copies at targets of different speeds."""

import unittest
from collections import Counter

from hibiscusspar.fleet.copy_costs import copy_costs_s
from hibiscusspar.fleet.messages import TargetLoad
from hibiscusspar.fleet.target_loads import wait_s
from hibiscusspar.fleet.tests.test_planner import Fleet, target, want

# Factors on the usual times of targets at 0.6, 1.0 and 1.6 times the usual speed.
SLOW, FAST = 1.67, 0.625
# Parts of the three speeds in the work that the targets can do.
SLOW_PART, FAST_PART = (1 / f / (1 / SLOW + 1.0 + 1 / FAST) for f in (SLOW, FAST))
PER_SPEED = 20
SECONDS = 12
LOADS_PER_S = 30


def name(index):
    return f"t{index:02}"


class TestCosts(unittest.TestCase):
    def test_equal_targets_cost_their_backlog(self):
        # Equal targets must be chosen as without speeds.
        loads = {"t1": TargetLoad(9, 4000), "t2": TargetLoad(60, 0)}
        targets = {"t1": target("t1"), "t2": target("t2")}
        expected = {t: wait_s(load, targets[t].slots) for t, load in loads.items()}
        self.assertEqual(copy_costs_s(loads, targets, {}, {}), expected)

    def test_waits_for_permits_are_added(self):
        self.assertEqual(copy_costs_s({}, {}, {}, {"t1": 0.5}), {"t1": 0.5})

    def test_target_in_a_slow_period_is_not_excluded_for_ever(self):
        costs = copy_costs_s({}, {}, {"t1": 8.0, "t2": 3.0}, {})
        self.assertEqual(costs["t1"], costs["t2"])

    def test_target_that_left_is_no_error(self):
        costs = copy_costs_s({"t1": TargetLoad(1, 0)}, {}, {"t1": SLOW}, {})
        self.assertGreater(costs["t1"], 0.0)


class TestLoadsOfRareAdapters(unittest.TestCase):
    """Rare adapters, each requested once, at targets of three speeds."""

    def loads_by_speed(self, with_factors):
        """Return the loads by factor while each request is served by its copy."""
        factors = {}
        for index in range(3 * PER_SPEED):
            factors[name(index)] = (SLOW, 1.0, FAST)[index % 3]
        fleet = Fleet(*map(target, factors), places=18)
        targets = {t: row for t, (row, _) in fleet.targets.items()}
        uneven = {t: f for t, f in factors.items() if with_factors and f != 1.0}
        running, loads = [], Counter()
        for step in range(SECONDS * LOADS_PER_S):
            now = 1.0 + step / LOADS_PER_S
            running = [row for row in running if row[1] > now]
            busy = Counter(target_id for target_id, _ in running)
            rows = {t: TargetLoad(count, 300 * count) for t, count in busy.items()}
            costs = copy_costs_s(rows, targets, uneven, {})
            orders = fleet.plan(now, [want(f"a{step}")], costs)
            for order in orders:
                if order.operation == "load":
                    loads[factors[order.target_id]] += 1
                    ends_at = now + 2.2 * factors[order.target_id]
                    running.append((order.target_id, ends_at))
            fleet.carry_out(now, orders)
        return loads

    def test_slow_targets_get_fewer_copies_than_fast_ones(self):
        loads = self.loads_by_speed(with_factors=True)
        # Copies in proportion to speed: a slow target gets no more than its part.
        self.assertLessEqual(loads[SLOW], SLOW_PART * loads.total())
        self.assertGreaterEqual(loads[FAST], FAST_PART * loads.total())

    def test_backlogs_alone_give_slow_targets_more_than_their_part(self):
        # Otherwise the test above would pass without factors.
        loads = self.loads_by_speed(with_factors=False)
        self.assertGreater(loads[SLOW], SLOW_PART * loads.total())

    def test_busy_fast_targets_get_no_more_than_they_can_serve(self):
        fleet = Fleet(target("t1"), target("t2"))
        rows = {"t1": TargetLoad(30, 12_000)}
        targets = {t: row for t, (row, _) in fleet.targets.items()}
        costs = copy_costs_s(rows, targets, {"t1": FAST}, {})
        (order,) = fleet.plan(1.0, [want("a")], costs)
        self.assertEqual(order.target_id, "t2")

    def test_restarted_target_counts_as_usual(self):
        # A new incarnation has no factor until it is measured again.
        fleet = Fleet(target("t1"), target("t2"))
        (order,) = fleet.plan(1.0, [want("a")], copy_costs_s({}, {}, {"t1": SLOW}, {}))
        fleet.carry_out(1.0, [order], "refused")
        self.assertEqual(order.target_id, "t2")
        self.assertEqual(copy_costs_s({}, {}, {}, {}), {})
