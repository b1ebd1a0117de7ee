"""Tests of the detection of slow periods, and of the use of told factors."""

import unittest

from hibiscusspar.fleet.slow_periods import SlowPeriods, ToldFactors
from hibiscusspar.fleet.tests.engine_replay import (
    Load,
    UsualSpeeds,
    make_target,
    replay,
)
from hibiscusspar.fleet.tests.slow_period_replay import NotifiedSpeeds
from hibiscusspar.fleet.tests.test_target_speeds import (
    EVENT_STEPS,
    LATE_GOAL,
    STEP_S,
    equal_slowness,
    late_share,
    uneven_slowness,
)

# Cost of a notice at a node in seconds (measured), and the share of a core allowed.
NOTICE_S = 0.00009
MAX_CORE_SHARE = 0.003


class TestReplay(unittest.TestCase):
    """Streams at targets with slow periods, which notices tell of."""

    def test_streams_stay_within_the_pause_goal_at_66_nodes(self):
        load = Load(uneven_slowness, 30, per_s=80.0, seconds=20.0)
        speeds = NotifiedSpeeds(66, 66, notice_s=0.005, lost=0.2)
        self.assertLessEqual(late_share(load, replay(load, speeds)), LATE_GOAL)

    def test_notices_cost_little_at_66_nodes(self):
        load = Load(uneven_slowness, 30, per_s=80.0, seconds=20.0)
        speeds = NotifiedSpeeds(66, 66, notice_s=0.005, lost=0.2)
        replay(load, speeds)
        per_s = speeds.notices / load.seconds
        self.assertLessEqual(per_s * NOTICE_S, MAX_CORE_SHARE)

    def test_equal_targets_are_served_as_with_the_usual_times(self):
        load = Load(equal_slowness)
        speeds = NotifiedSpeeds(9, 4)
        self.assertEqual(replay(load, speeds), replay(load, UsualSpeeds()))
        self.assertEqual(speeds.notices, 0)

    def test_events_that_are_read_late_change_nothing(self):
        # A busy node reads events some milliseconds late, at random.
        load = Load(equal_slowness)
        late = NotifiedSpeeds(9, 4, late_s=0.005)
        # The message of a failed assertEqual takes a minute for so many outcomes.
        self.assertTrue(replay(load, late) == replay(load, UsualSpeeds()))


class TestDetection(unittest.TestCase):
    """One node with one stream at each of three targets."""

    def setUp(self):
        self.now = 100.0
        self.periods = SlowPeriods()
        self.targets = [make_target(f"t{n}") for n in range(3)]
        for target in self.targets:
            self.periods.begin(self.now, target)
        # The first events tell the usual step.
        self.pass_events(10)
        self.pass_events(10)

    def pass_events(self, count, **slowness):
        """Record events of all streams; return what was told of each target."""
        told = {}
        for _ in range(count):
            self.now += 0.08
            for target in self.targets:
                told |= self.event(target, slowness.get(target.target_id, 1.0))
        self.periods.update()
        return told

    def event(self, target, slowness, reading_until=0.0, factor=1.0):
        steps = 2 * EVENT_STEPS
        row = (self.now, target, steps * STEP_S * slowness, steps)
        found = self.periods.record(*row, reading_until, factor)
        return {} if found is None else {target.target_id: found}

    def test_begin_is_told_after_two_gaps(self):
        self.assertEqual(self.pass_events(1, t0=2.5), {})
        self.assertEqual(self.pass_events(1, t0=2.5), {"t0": 2.5})

    def test_one_long_gap_tells_of_a_begin_where_speeds_are_known_to_differ(self):
        # Guards against slow periods that are half over before a node has two gaps.
        targets = {target.target_id: target for target in self.targets}
        self.periods.set_factors(targets, {"t1": 1.6})
        self.assertEqual(self.pass_events(1, t0=1.9), {})
        self.pass_events(3)
        self.assertEqual(self.pass_events(1, t0=2.5), {"t0": 2.5})

    def test_end_is_told_after_two_gaps(self):
        for count, told in ((1, {}), (3, {"t0": 1.0})):
            with self.subTest(count=count):
                self.setUp()
                found = {}
                for _ in range(count):
                    self.now += 0.08
                    found |= self.event(self.targets[0], 1.0, factor=2.5)
                    self.event(self.targets[1], 1.0)
                self.assertEqual(found, told)

    def test_gaps_from_before_a_told_begin_do_not_tell_its_end(self):
        # A gap that began before the slow period is hardly longer than usual.
        self.now += 0.02
        for target in self.targets[1:]:
            self.event(target, 1.0)
        self.assertEqual(self.event(self.targets[0], 1.2, factor=2.5), {})

    def test_change_that_is_known_is_not_repeated(self):
        # Another node has told the same.
        for _ in range(5):
            self.now += 0.08
            self.event(self.targets[1], 1.0)
            self.event(self.targets[2], 1.0)
            self.now += 0.12
            self.assertEqual(self.event(self.targets[0], 2.5, factor=2.3), {})

    def test_two_outliers_that_are_far_apart_are_ignored(self):
        self.assertEqual(self.pass_events(1, t0=2.5), {})
        self.assertEqual(self.pass_events(6), {})
        self.assertEqual(self.pass_events(1, t0=2.5), {})

    def test_gaps_filled_by_known_prompts_tell_nothing(self):
        for _ in range(5):
            self.now += 0.1
            self.event(self.targets[1], 1.0)
            self.event(self.targets[2], 1.0)
            self.now += 0.1
            found = self.event(self.targets[0], 2.5, reading_until=self.now)
            self.assertEqual(found, {})

    def test_prompt_that_takes_longer_than_known_tells_of_a_slow_period(self):
        # Gaps of 0.25 s with prompts of 0.02 s, where 0.1 s would be usual.
        found = {}
        for _ in range(2):
            for _ in range(3):
                self.now += 0.08
                self.event(self.targets[1], 1.0)
                self.event(self.targets[2], 1.0)
            self.now += 0.01
            until = self.now - 0.23
            found |= self.event(self.targets[0], 0.25 / 0.076, reading_until=until)
        self.assertGreater(found["t0"], 2.0)

    def test_node_that_was_paused_tells_nothing(self):
        # Events of two streams of each target are read late, at the same time.
        for target in self.targets:
            self.periods.begin(self.now, target)
        self.now += 2.0
        for delay_s in (0.0, 0.03):
            self.now += delay_s
            for target in self.targets:
                self.assertEqual(self.event(target, 20.0), {})

    def test_changes_are_bounded_per_second(self):
        targets = [make_target(f"u{n}") for n in range(100)]
        told = {}
        for target in targets:
            self.periods.begin(self.now, target)
        for _ in range(2):
            self.now += 0.1
            for target in targets:
                told |= self.event(target, 2.5)
                self.event(self.targets[0], 1.0)
        self.assertLessEqual(len(told), 22)

    def test_samples_of_another_incarnation_are_ignored(self):
        self.pass_events(1, t0=2.5)
        restarted = make_target("t0", born=2)
        self.periods.begin(self.now, restarted)
        self.now += 0.1
        self.assertEqual(self.event(self.targets[0], 2.5), {})
        self.assertEqual(self.event(restarted, 2.5), {})


class TestToldFactors(unittest.TestCase):
    def setUp(self):
        self.told = ToldFactors()
        self.told.record(100.0, "t0", 1, 2.5)

    def test_wrong_factor_counts_for_one_second(self):
        self.assertEqual(self.told.factor(100.99, "t0"), 2.5)
        self.assertIsNone(self.told.factor(101.0, "t0"))
        self.assertEqual(self.told.factors(101.0), {})

    def test_view_with_older_samples_does_not_end_it(self):
        self.told.drop_older("t0", 1, 100.1, 0.1)
        self.assertEqual(self.told.factors(100.2), {"t0": 2.5})
        self.told.drop_older("t0", 1, 100.4, 0.1)
        self.assertIsNone(self.told.factor(100.4, "t0"))

    def test_restart_of_the_target_ends_it(self):
        self.told.retain(100.1, {"t0": make_target("t0", born=2)})
        self.assertIsNone(self.told.factor(100.1, "t0"))


if __name__ == "__main__":
    unittest.main()
