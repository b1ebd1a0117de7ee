"""Tests of account limits over all nodes."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.quota import (
    AccountLevels,
    Deferred,
    Granted,
    NodeQuota,
    OverLimit,
    discounted_levels,
)
from hibiscusspar.fleet.rules import AccountRule

RATE, BURST, COST = 33_000.0, 33_000.0, 1600.0
RULE = AccountRule("acme", RATE, BURST, True, 200, None)
VIEW_S = 0.1
LARGE_FLEET_VIEW_S = 0.156
WINDOW_S = 8.0
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 11_000


class Nodes:
    """Nodes and a coordinator that exchange reports and views every 0.1 s."""

    def __init__(self, count, rule=RULE):
        self.now = 100.0
        self.rule = rule
        self.levels = AccountLevels(WINDOW_S)
        self.levels.reset(self.now - 12.0, {})
        self.levels.advance(self.now - 12.0, {"acme": rule})
        self.nodes = self.started(count)
        self.granted = []
        self.exchange(range(count))

    def started(self, count):
        """Return the limits of nodes that have just started."""
        return [NodeQuota(16, self.now, rng=Random(index)) for index in range(count)]

    def exchange(self, heard):
        for index in heard:
            node = self.nodes[index]
            used, denied = dict(node.used), dict(node.denied)
            self.levels.report(self.now, f"n{index}", "s", used, denied)
        asked = self.levels.asked_rates(self.now)
        levels = dict(self.levels.advance(self.now, {"acme": self.rule}))
        for index in heard:
            node = self.nodes[index]
            used = dict(node.used)
            node.apply_view(self.now, self.levels.nodes, levels, used, asked)

    def offer(self, index, requests, cost=COST):
        for _ in range(requests):
            found = self.nodes[index].take(self.now, self.rule, cost)
            if isinstance(found, Granted):
                self.granted.append((self.now, cost))
            else:
                self.nodes[index].deny(self.rule, cost)

    def max_per_window(self):
        return max(
            sum(cost for at, cost in self.granted if start <= at < start + WINDOW_S)
            for start, _ in self.granted
        )


class TestHotAccount(unittest.TestCase):
    def test_many_times_its_rate_through_all_nodes_stays_within_the_slack(self):
        fleet = Nodes(9)
        for _ in range(160):
            for index in range(9):
                fleet.offer(index, 2)
            fleet.now += VIEW_S
            fleet.exchange(range(9))
        self.assertLessEqual(fleet.max_per_window(), ALLOWED)

    def test_nodes_of_a_large_fleet_do_not_each_exceed_their_share(self):
        rule = AccountRule("acme", 107_000.0, 107_000.0, True, 200, None)
        fleet = Nodes(78, rule)
        rng = Random(12)
        for _ in range(150):
            for index in range(78):
                fleet.offer(index, 1, rng.choice((700.0, 2000.0, 2200.0, 4300.0)))
            fleet.now += LARGE_FLEET_VIEW_S
            fleet.exchange(range(78))
        allowed = (rule.rate * WINDOW_S + rule.burst) * 1.1 + 11_000
        self.assertLessEqual(fleet.max_per_window(), allowed)

    def test_hundreds_of_nodes_do_not_each_exceed_their_share(self):
        rule = AccountRule("acme", 107_000.0, 107_000.0, True, 200, None)
        for count in (195, 360):
            with self.subTest(nodes=count):
                fleet = Nodes(count, rule)
                interval_s = exchange_interval_s(count)
                rng = Random(12)
                for _ in range(int(24.0 / interval_s)):
                    for index in range(count):
                        fleet.offer(index, 1, rng.choice((700.0, 2000.0, 4300.0)))
                    fleet.now += interval_s
                    fleet.exchange(range(count))
                allowed = (rule.rate * WINDOW_S + rule.burst) * 1.1 + 11_000
                self.assertLessEqual(fleet.max_per_window(), allowed)
                total = sum(cost for _, cost in fleet.granted)
                self.assertGreater(total, rule.rate * 24.0 * 0.9)

    def test_account_over_its_limit_still_gets_its_rate(self):
        fleet = Nodes(9)
        for _ in range(160):
            fleet.offer(3, 20)
            fleet.now += VIEW_S
            fleet.exchange(range(9))
        total = sum(cost for _, cost in fleet.granted)
        self.assertGreater(total, RATE * 16 * 0.95)

    def test_partitioned_zone_takes_only_its_share(self):
        fleet = Nodes(9)
        for step in range(200):
            for index in range(9):
                fleet.offer(index, 2)
            fleet.now += VIEW_S
            fleet.exchange(range(9) if step < 60 or step > 140 else range(6))
        self.assertLessEqual(fleet.max_per_window(), ALLOWED)


class TestLargeFleet(unittest.TestCase):
    def test_clumps_below_the_rate_are_granted_without_waiting(self):
        # A connection's requests all reach one node, two within an interval of views.
        for count in (78, 195, 360):
            with self.subTest(nodes=count):
                fleet = Nodes(count)
                interval_s = exchange_interval_s(count)
                rng = Random(7)
                offered = 0
                for _ in range(int(30.0 / interval_s)):
                    clumps = RATE * 0.6 * interval_s / (2 * COST) + rng.random()
                    for _ in range(int(clumps)):
                        fleet.offer(rng.randrange(count), 2)
                        offered += 2
                    fleet.now += interval_s
                    fleet.exchange(range(count))
                self.assertGreater(len(fleet.granted), 0.97 * offered)


class TestRestartOfAll(unittest.TestCase):
    """All processes are killed at once while callers go on."""

    def granted_after_restart(self, requests_before, requests_after, views=20):
        fleet = Nodes(9)
        for step in range(100):
            for index in range(9):
                fleet.offer(index, requests_before(step))
            fleet.now += VIEW_S
            fleet.exchange(range(9))
            if step == 95:
                stored = dict(fleet.nodes[0].levels)
        fleet.now += 1.0
        fleet.nodes = fleet.started(9)
        fleet.levels = AccountLevels(WINDOW_S)
        fleet.levels.reset(fleet.now, discounted_levels(stored))
        fleet.exchange(range(9))
        begin = len(fleet.granted)
        for _ in range(views):
            for index in range(9):
                fleet.offer(index, requests_after)
            fleet.now += VIEW_S
            fleet.exchange(range(9))
        return fleet, sum(cost for _, cost in fleet.granted[begin:])

    def test_account_below_its_rate_gets_more_than_its_rate_at_once(self):
        _, served = self.granted_after_restart(lambda step: step % 6 == 0, 2, views=5)
        self.assertGreater(served, RATE * 5 * VIEW_S * 2)

    def test_node_waits_for_its_first_view_instead_of_refusing(self):
        node = NodeQuota(16, 50.0)
        self.assertIsInstance(node.take(50.2, RULE, COST), Deferred)
        node.apply_view(50.3, 9, {"acme": 5 * COST}, {})
        self.assertIsInstance(node.take(50.3, RULE, COST), Granted)

    def test_node_without_views_refuses_beyond_its_share(self):
        node = NodeQuota(16, 50.0)
        self.assertIsInstance(node.take(51.2, RULE, 2 * RATE), OverLimit)

    def test_account_beyond_its_rate_stays_within_the_slack(self):
        fleet, _ = self.granted_after_restart(lambda step: 3, 3)
        self.assertLessEqual(fleet.max_per_window(), ALLOWED)

    def test_account_that_was_idle_when_levels_were_stored_stays_within_the_slack(self):
        fleet, _ = self.granted_after_restart(lambda step: 4 * (step > 95), 3)
        self.assertLessEqual(fleet.max_per_window(), ALLOWED)


class TestLevels(unittest.TestCase):
    def test_burst_on_one_node_waits_for_the_next_view_instead_of_being_refused(self):
        fleet = Nodes(9)
        found = [fleet.nodes[0].take(fleet.now, RULE, COST) for _ in range(60)]
        self.assertIsInstance(found[0], Granted)
        self.assertIsInstance(found[-1], Deferred)

    def test_account_beyond_its_level_gets_a_retry_delay(self):
        node = NodeQuota(9, 10.0)
        node.apply_view(10.0, 9, {"acme": 100.0}, {})
        found = node.take(10.0, RULE, COST)
        self.assertIsInstance(found, OverLimit)
        self.assertGreaterEqual(found.retry_after_s, 0.1)

    def test_new_coordinator_continues_from_the_last_levels(self):
        levels = AccountLevels(WINDOW_S)
        levels.reset(16.0, {"acme": 5000.0})
        levels.advance(16.0, {"acme": RULE})
        levels.report(16.0, "n1", "s", {"acme": 1e6})
        levels.report(16.1, "n1", "s", {"acme": 1e6 + 1600})
        found = levels.advance(16.1, {"acme": RULE})
        self.assertAlmostEqual(found["acme"], 5000 - 1600)
        # Tokens taken before leave the window step by step.
        for tenths in range(162, 202):
            levels.report(tenths / 10, "n1", "s", {"acme": 1e6 + 1600})
            found = levels.advance(tenths / 10, {"acme": RULE})
        self.assertEqual(found["acme"], BURST)

    def test_coordinator_without_levels_grants_one_step_of_the_window_at_once(self):
        # All processes restart, and callers return at once.
        levels = AccountLevels(WINDOW_S)
        levels.reset(50.0, {})
        found = levels.advance(50.0, {"acme": RULE})
        node = NodeQuota(9, 50.0)
        node.apply_view(50.0, 1, found, {})
        self.assertIsInstance(node.take(50.0, RULE, COST), Granted)
        self.assertLessEqual(found["acme"], (RATE * WINDOW_S + BURST) / 64)

    def test_account_at_its_limit_gains_nothing_by_a_new_coordinator(self):
        levels = AccountLevels(WINDOW_S)
        levels.reset(50.0, {"acme": 0.0})
        found = levels.advance(50.0, {"acme": RULE})
        self.assertEqual(found["acme"], 0.0)

    def test_account_missing_from_views_has_its_share(self):
        # The first requests of a new account arrive before the coordinator has read the
        # configuration that adds it.
        node = NodeQuota(9, 50.0)
        node.apply_view(55.0, 9, {"other": 5.0}, {})
        self.assertIsInstance(node.take(55.0, RULE, COST), Granted)

    def test_refunded_tokens_are_not_counted(self):
        levels = AccountLevels(WINDOW_S)
        levels.reset(0.0, {})
        levels.advance(0.0, {"acme": RULE})
        for used in (0.0, 1600.0, 0.0):
            levels.report(20.0, "n1", "s", {"acme": used})
        found = levels.advance(20.0, {"acme": RULE})
        self.assertAlmostEqual(found["acme"], BURST)

    @given(st.lists(st.floats(0.0, 5000.0), max_size=30))
    def test_node_alone_never_takes_more_than_its_share(self, costs):
        node = NodeQuota(10, 50.0)
        now, taken = 50.0, 0.0
        for cost in costs:
            now += 0.05
            if isinstance(node.take(now, RULE, cost), Granted):
                taken += cost
        self.assertLessEqual(taken, max(RATE, BURST) / 10 + RATE / 10 * (now - 50))
