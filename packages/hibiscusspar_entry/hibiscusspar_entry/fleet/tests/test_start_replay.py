"""Tests of the store calls of a fleet that starts, or loses its views."""

import unittest
from contextlib import nullcontext

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar_entry.fleet.tests.start_replay import (
    CONFIG_S,
    DRAIN_S,
    STEP_S,
    Replay,
    former_rules,
)

SIZES = (73, 195)
LONGEST_S = 15.0
CUT_S = 6.0


def started(nodes, seed, rules=nullcontext, **options):
    """Return the calls and seconds until all nodes have a view, and the replay."""
    with rules():
        replay = Replay(nodes, seed, **options)
        seconds = replay.run(LONGEST_S, replay.all_have_views)
    return replay.calls, seconds, replay


def calls_while_cut(nodes, seed, rules=nullcontext):
    """Return the calls in six seconds with a third of the nodes cut off."""
    with rules():
        replay = Replay(nodes, seed)
        replay.run(8.0)
        for node in replay.nodes[::3]:
            node.is_cut = not node.election.leads
        before = replay.calls
        replay.run(CUT_S)
    return replay.calls - before, replay


class TestCalls(unittest.TestCase):
    def test_start_takes_half_the_calls_and_no_longer(self):
        for nodes in SIZES:
            calls, seconds, _ = started(nodes, 1)
            former_calls, former_s, _ = started(nodes, 1, former_rules)
            with self.subTest(nodes=nodes, calls=calls, former=former_calls):
                self.assertLessEqual(calls, 0.5 * former_calls)
                self.assertLessEqual(seconds, former_s + STEP_S)

    def test_start_with_waiting_requests_takes_half_the_calls(self):
        for nodes in SIZES:
            calls, _, replay = started(nodes, 1, callers_wait=True)
            former_calls, _, _ = started(nodes, 1, former_rules, callers_wait=True)
            with self.subTest(nodes=nodes, calls=calls, former=former_calls):
                self.assertLessEqual(calls, 0.5 * former_calls)
                for node in replay.nodes:
                    self.assertLessEqual(
                        node.directory_at - node.started_at, 2 * STEP_S
                    )

    def test_cut_third_of_the_nodes_makes_half_the_calls(self):
        for nodes in SIZES:
            calls, _ = calls_while_cut(nodes, 2)
            former_calls, _ = calls_while_cut(nodes, 2, former_rules)
            with self.subTest(nodes=nodes, calls=calls, former=former_calls):
                self.assertLessEqual(calls, 0.5 * former_calls)

    def test_nodes_without_views_read_within_the_bounds(self):
        _, replay = calls_while_cut(73, 3)
        gaps = [gap for node in replay.nodes for gap in node.read_gaps]
        self.assertGreater(len(gaps), 24)
        # Steps of the replay lengthen each pause by up to one of them.
        self.assertLessEqual(max(gaps), min(DRAIN_S, CONFIG_S) + 2 * STEP_S)

    def test_configuration_is_read_at_once(self):
        # A node isn't ready before it has a configuration, so that must not wait.
        _, _, replay = started(73, 4)
        for node in replay.nodes:
            self.assertLessEqual(node.config_at - node.started_at, STEP_S + 1e-6)


class TestFailures(unittest.TestCase):
    def restarted(self, rules, missing):
        """Return the seconds and calls after all nodes but one lost power."""
        with rules():
            replay = Replay(73, 5)
            replay.run(8.0)
            leader = replay.leader.number if missing else None
            numbers = [n for n in range(73) if n != leader]
            before = replay.calls
            replay.start_all(numbers)
            seconds = replay.run(LONGEST_S, replay.all_have_views)
            return seconds, replay.calls - before

    def test_lease_of_a_dead_coordinator_is_awaited_no_longer_than_before(self):
        for missing in (False, True):
            seconds, calls = self.restarted(nullcontext, missing)
            former_s, former_calls = self.restarted(former_rules, missing)
            with self.subTest(missing=missing, calls=calls, former=former_calls):
                self.assertLessEqual(seconds, former_s + STEP_S)
                self.assertLessEqual(calls, 0.5 * former_calls)

    def test_coordinator_dies_while_nodes_wait_for_their_first_view(self):
        times = {}
        for rules in (nullcontext, former_rules):
            with rules():
                replay = Replay(100, 6)
                replay.run(LONGEST_S, lambda replay=replay: replay.leader is not None)
                replay.run(0.2)
                replay.nodes.remove(replay.leader)
                times[rules] = replay.run(LONGEST_S, replay.all_have_views)
        self.assertLessEqual(times[nullcontext], times[former_rules] + STEP_S)

    def test_lost_datagrams_delay_no_directory_beyond_the_wait(self):
        replay = Replay(73, 7)
        replay.loss = 0.9
        replay.run(5.0)
        for node in replay.nodes:
            known = [at for at in (node.rows_at, node.directory_at) if at is not None]
            # 2.0 s for the first view, four intervals for its rows, and the steps.
            wait_s = 2.0 + 4 * exchange_interval_s(73) + 3 * STEP_S
            self.assertLessEqual(min(known) - node.started_at, wait_s)

    def test_store_that_rejects_lease_calls_does_not_stop_the_other_reads(self):
        replay = Replay(73, 8)
        replay.store.rejects = lambda: replay.noise.random() < 0.3
        replay.run(LONGEST_S, replay.all_have_views)
        self.assertTrue(replay.all_have_views())

    def test_suspension_ends_the_wait_for_the_first_view(self):
        replay = Replay(9, 9, spread_s=0.0)
        replay.nodes = replay.nodes[:1]
        (node,) = replay.nodes
        node.keepers = []
        replay.run(0.3)
        self.assertIsNone(node.directory_at)
        replay.now += 60.0
        replay.run(0.1)
        self.assertIsNotNone(node.directory_at)


if __name__ == "__main__":
    unittest.main()
