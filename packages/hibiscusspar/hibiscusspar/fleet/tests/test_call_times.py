"""Estimates of the times of calls, and decisions that use them."""

import unittest

from hibiscusspar.fleet.call_choice import CallTarget, decide_call
from hibiscusspar.fleet.call_times import CallTimes, FleetCallTimes
from hibiscusspar.fleet.targets import Target
from hibiscusspar.fleet.waiting import Job, Refuse, Send, Wait


def target(name, born=1):
    return Target(name, "s", name, "z", 6, False, born, 0, {}, {})


TARGETS = {name: target(name) for name in "abc"}


def record(times, name, count, seconds=0.1, failures=0, now=10.0):
    for index in range(count):
        is_failure = index < failures
        times.record(now, TARGETS[name], seconds, is_failure=is_failure)


class TestCallTimes(unittest.TestCase):
    def setUp(self):
        self.times = CallTimes()

    def estimates(self, now=10.0):
        return self.times.estimates(now, TARGETS.values())

    def test_there_are_no_estimates_before_ten_answers(self):
        record(self.times, "a", 9)
        self.assertEqual(self.estimates(), {})
        record(self.times, "b", 1)
        self.assertAlmostEqual(self.estimates()["c"].mean_s, 0.1)

    def test_a_wait_at_the_target_is_not_part_of_the_time(self):
        for _ in range(10):
            self.times.record(10.0, TARGETS["a"], 0.1)
        for _ in range(10):
            self.times.record(10.0, TARGETS["a"], 0.3, ahead=17)
        self.assertAlmostEqual(self.estimates()["a"].mean_s, 0.1, places=2)

    def test_times_of_an_earlier_incarnation_are_dropped(self):
        record(self.times, "a", 20, seconds=2.0)
        record(self.times, "b", 20, seconds=0.1)
        self.times.apply_view(10.0, {"a": (1, 2.0, 0.5, 0.1)})
        self.times.retain({**TARGETS, "a": target("a", born=2)})
        rows = [target("a", born=2), TARGETS["b"]]
        self.assertAlmostEqual(self.times.estimates(10.0, rows)["a"].mean_s, 0.1)

    def test_a_view_counts_for_fifteen_seconds(self):
        record(self.times, "a", 20)
        self.times.apply_view(10.0, {"a": (1, 0.5, 0.0, 0.0)})
        self.assertEqual(self.estimates(24.9)["a"].mean_s, 0.5)
        record(self.times, "a", 20, now=25.1)
        self.assertAlmostEqual(self.estimates(25.1)["a"].mean_s, 0.1)

    def test_a_delayed_view_does_not_replace_a_newer_one(self):
        self.times.apply_view(10.0, {"a": (1, 0.5, 0.0, 0.0)})
        self.times.apply_view(10.1, {"a": (1, 0.1, 0.0, 2.0)})
        self.assertEqual(self.estimates(10.2)["a"].mean_s, 0.5)

    def test_a_coordinator_of_an_older_build_leaves_own_times(self):
        record(self.times, "a", 10)
        self.times.apply_view(10.0, {})
        self.assertAlmostEqual(self.estimates()["a"].mean_s, 0.1)

    def test_a_report_names_eight_targets_of_the_last_second(self):
        for index in range(12):
            for _ in range(index + 1):
                self.times.record(10.0, target(f"t{index}"), 0.1)
        rows = self.times.report_rows(10.5)
        self.assertEqual(set(rows), {f"t{index}" for index in range(4, 12)})
        self.assertEqual(rows["t11"], (1, 0.1, 12, 0))
        self.assertEqual(self.times.report_rows(11.1), {})


class TestFleetCallTimes(unittest.TestCase):
    def setUp(self):
        self.fleet = FleetCallTimes()

    def update(self, *rows, now=10.0, name="a"):
        return self.fleet.update(now, [(now, {name: row}) for row in rows], TARGETS)

    def test_a_node_with_a_slow_link_does_not_change_the_median(self):
        rows = self.update((1, 0.1, 5, 0), (1, 0.1, 5, 0), (1, 3.0, 5, 0))
        self.assertEqual(rows["a"][:3], (1, 0.1, 0.0))

    def test_failures_of_all_nodes_are_one_share(self):
        rows = self.update((1, 0.1, 5, 4), (1, 0.1, 5, 0))
        self.assertEqual(rows["a"][2], 0.4)

    def test_reports_about_an_earlier_incarnation_are_ignored(self):
        self.update((2, 0.1, 5, 0))
        rows = self.update((1, 3.0, 5, 5), now=10.2)
        self.assertEqual(rows["a"][:3], (2, 0.1, 0.0))

    def test_a_view_names_64_targets(self):
        targets = {f"t{index}": target(f"t{index}") for index in range(100)}
        reports = [(10.0, {name: (1, 0.1, 5, 0)}) for name in targets]
        self.assertEqual(len(self.fleet.update(10.0, reports, targets)), 64)


class TestDecision(unittest.TestCase):
    def decide(self, *ahead, slo_s=0.4, waited_s=0.0, mean_s=0.1, **options):
        job = Job(
            "r", "s", ("", ""), 0, 0, 10.0, slo_s, 10.0 + 0.6 * slo_s, 0.5,
            ends_at=options.pop("ends_at", 15.0),
        )  # fmt: skip
        rows = [
            CallTarget(f"t{index}", "z", 6, count, options.get("limit", 99), mean_s)
            for index, count in enumerate(ahead)
        ]
        options.pop("limit", None)
        return decide_call(10.0 + waited_s, job, rows, "z", **options)

    def test_a_target_without_a_wait_goes_first(self):
        self.assertEqual(self.decide(7, 5, 8).target_id, "t1")

    def test_a_call_that_no_target_can_serve_in_time_is_refused_at_once(self):
        self.assertIsInstance(self.decide(16, 16), Refuse)

    def test_a_known_short_queue_is_not_exceeded(self):
        self.assertIsInstance(self.decide(8, 8, limit=8, backlog=60), Refuse)

    def test_a_call_waits_if_capacity_is_expected_in_time(self):
        self.assertIsInstance(self.decide(8, 8, limit=8), Wait)

    def test_a_free_slot_is_used_even_if_the_call_is_late(self):
        decision = self.decide(5, 9, slo_s=0.1)
        self.assertEqual(decision, Send("t0", decision.first_byte_s))

    def test_a_late_call_is_sent_only_if_none_waits_that_could_be_in_time(self):
        self.assertIsInstance(self.decide(8, 8, waited_s=0.3), Send)
        decision = self.decide(8, 8, waited_s=0.3, others_wait=True)
        self.assertIsInstance(decision, Refuse)

    def test_a_call_that_would_miss_its_deadline_is_refused(self):
        decision = self.decide(8, 8, waited_s=0.3, ends_at=10.4)
        self.assertIsInstance(decision, Refuse)

    def test_a_failing_target_gets_one_call_in_twenty(self):
        rows = [
            CallTarget("bad", "z", 6, 0, 99, 0.1, 0.45),
            CallTarget("good", "z", 6, 4, 99, 0.1, 0.0),
        ]
        chosen = []
        for index in range(100):
            job = Job(
                "r", "s", ("", ""), 0, 0, 10.0, 0.4, 10.2, index / 100, ends_at=15.0
            )
            chosen.append(decide_call(10.0, job, rows + rows[1:], "z").target_id)
        self.assertEqual(chosen.count("bad"), 5)
