"""Replays of calls of a plain service at 66 and 360 nodes."""

import unittest
from functools import cache

from hibiscusspar.fleet.tests.call_replay import CAPACITY, Replay

# Calls in a calm period of 4 s, from which the nodes learn the times of targets.
CALM = (4.0, 0.5 * CAPACITY)
# Nodes and seeds; a replay of 360 nodes takes some seconds.
FLEETS = ((66, 1), (66, 2), (360, 1))
OVERLOAD = (CALM, (8.0, 2.3 * CAPACITY))
BUSY = (CALM, (8.0, 0.8 * CAPACITY))


@cache
def played(nodes, seed, rates):
    return Replay(nodes, rates, seed=seed).run()


def play(nodes, since, rates, **options):
    """Return the calls that arrive from a time on."""
    calls = Replay(nodes, rates, **options).run()
    return [call for call in calls if call.arrived >= since]


def share(calls, condition):
    return sum(map(condition, calls)) / len(calls)


class TestBounds(unittest.TestCase):
    def each(self, rates):
        for nodes, seed in FLEETS:
            yield [call for call in played(nodes, seed, rates) if call.arrived >= 4.0]

    def test_calls_are_in_time_at_0_8_of_the_capacity(self):
        """Guards against nodes that all send to the target of the last view."""
        for calls in self.each(BUSY):
            self.assertGreaterEqual(share(calls, lambda call: call.in_time), 0.95)

    def test_no_call_is_refused_while_a_slot_is_free_at_0_8_of_the_capacity(self):
        """Guards against counts that don't fall when calls end."""
        for calls in self.each(BUSY):
            refused = [call for call in calls if call.outcome == "refused"]
            self.assertFalse([call for call in refused if call.slot_was_free])

    def test_an_overload_uses_0_85_of_the_capacity_for_calls_in_time(self):
        """Guards against queues in which all calls become late."""
        for calls in self.each(OVERLOAD):
            in_time = [c for c in calls if c.in_time and c.ended <= 8.0]
            self.assertGreaterEqual(len(in_time), 0.85 * CAPACITY * 4.0)

    def test_refusals_take_at_most_0_05_s(self):
        """Guards against callers who wait for room that others get."""
        for calls in self.each(OVERLOAD):
            refused = [call for call in calls if call.outcome == "refused"]
            self.assertTrue(refused)
            longest_s = max(call.ended - call.arrived for call in refused)
            self.assertLessEqual(longest_s, 0.05)

    def test_no_call_is_refused_while_a_slot_is_free_in_an_overload(self):
        """Guards against counts of sends that targets have turned away."""
        for calls in self.each(OVERLOAD):
            refused = [call for call in calls if call.outcome == "refused"]
            self.assertFalse([call for call in refused if call.slot_was_free])

    def test_a_failing_target_gets_a_quarter_of_the_calls_at_most(self):
        """Guards against a target that fails 0.45 of its calls and seems idle."""
        for nodes, seed in FLEETS:
            for rate in (97.0, 0.8 * CAPACITY):
                with self.subTest(nodes=nodes, seed=seed, rate=rate):
                    failing = {"a": 0.45}
                    rates = [(8.0, rate)]
                    calls = play(nodes, 2.0, rates, seed=seed, failing=failing)
                    at_failing = share(calls, lambda call: call.target == "a")
                    self.assertLessEqual(at_failing, 0.25)


class TestLongQueues(unittest.TestCase):
    def test_an_overload_of_targets_with_long_queues_stays_within_the_bounds(self):
        """Guards against lost notices where targets turn nothing away."""
        for nodes in (66, 360):
            calls = play(nodes, 4.0, OVERLOAD, queue=30)
            in_time = [c for c in calls if c.in_time and c.ended <= 8.0]
            self.assertGreaterEqual(len(in_time), 0.85 * CAPACITY * 4.0)
            refused = [call for call in calls if call.outcome == "refused"]
            self.assertFalse([call for call in refused if call.slot_was_free])


class TestFailures(unittest.TestCase):
    def test_a_recovered_target_is_used_again(self):
        replay = Replay(66, [CALM, (14.0, 97.0)], failing={"a": 0.45})
        replay._at(4.0, lambda now: replay.failing.clear())
        calls = [call for call in replay.run() if call.arrived >= 9.0]
        self.assertGreater(share(calls, lambda call: call.target == "a"), 0.25)

    def test_a_service_all_of_whose_targets_fail_avoids_none(self):
        failing = dict.fromkeys("abc", 0.45)
        calls = play(66, 2.0, [(8.0, 97.0)], failing=failing)
        for name in "abc":
            part = share(calls, lambda call, name=name: call.target == name)
            self.assertGreater(part, 0.25)

    def test_one_node_with_a_slow_link_makes_no_target_slow(self):
        rates = [CALM, (8.0, 0.8 * CAPACITY)]
        calls = play(66, 4.0, rates, slow_node=3)
        self.assertFalse([call for call in calls if call.outcome == "refused"])

    def test_calls_are_in_time_without_views(self):
        rates = [CALM, (10.0, 0.8 * CAPACITY)]
        calls = play(66, 4.0, rates, no_views_from=4.0, lost=0.0)
        self.assertGreaterEqual(share(calls, lambda call: call.in_time), 0.95)

    def test_a_short_queue_is_learned_from_refusals(self):
        """Targets with two places beyond their slots turn few calls away."""
        calls = play(66, 5.0, [CALM, (9.0, 0.8 * CAPACITY)], queue=2)
        old = play(66, 5.0, [CALM, (9.0, 0.8 * CAPACITY)], queue=2, knows_times=False)
        turned_away, before = (sum(c.turned_away for c in row) for row in (calls, old))
        self.assertLess(turned_away, before / 2)
