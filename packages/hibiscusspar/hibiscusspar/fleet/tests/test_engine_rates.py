"""Tests of the estimates of what the engines of a service can do."""

import unittest
from random import Random
from typing import NamedTuple

from hibiscusspar.fleet.engine_rates import (
    EngineRates,
    RatePolicy,
    service_policy,
)
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.rate_samples import RateSamples
from hibiscusspar.fleet.routing import Candidate, ChoicePolicy, pause_s, running_limit

PRIOR = ChoicePolicy()
PRIOR_RATES = (PRIOR.prompt_tokens_s, PRIOR.step_s)
# Rates of the users' three data sheets.
SHEETS = (PRIOR_RATES, (25_800.0, 0.0082), (38_700.0, 0.00547))
# Largest error of an estimate, and the time after which it holds, in seconds.
ERROR_GOAL = 0.2
KNOWN_AFTER_S = 5.0
EVENT_STEPS = 4
TICK_S = 0.1


class Traffic(NamedTuple):
    """Requests of a fleet, and what disturbs their samples.

    ``unknown_share`` of the samples have a queue that no node knows of,
    ``kept_share`` of the prompts are kept by their target to a half. Events are read
    ``late_s`` late on average, and a link adds ``link_s``. Targets run up to
    ``running`` requests, which add ``added`` of what the prior assumes. Targets run
    at one of ``speeds`` of the rates each.
    """

    rates: tuple[float, float]
    nodes: int = 9
    per_node_s: float = 4.0
    noise: float = 0.1
    unknown_share: float = 0.0
    kept_share: float = 0.0
    late_s: float = 0.0
    link_s: float = 0.004
    running: int = 3
    added: float = 1.0
    speeds: tuple[float, ...] = (1.0,)


class Fleet:
    """Nodes that sample the engines of one service, and their coordinator."""

    def __init__(self, traffic, seed=1):
        self.traffic = traffic
        self.now = 100.0
        self.rng = Random(seed)
        self.samples = [RateSamples() for _ in range(traffic.nodes)]
        self.table = EngineRates()
        self.estimates = []
        # Replaces what a node reports, by number of the node.
        self.wrong = {}

    def run_for(self, seconds):
        """Pass time, with one report of each node and one view per interval."""
        interval_s = exchange_interval_s(self.traffic.nodes)
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += interval_s
            for node, samples in enumerate(self.samples):
                self._serve(samples, interval_s)
                rows = self.wrong.get(node) or samples.estimates(self.now)
                self.table.record(self.now, f"n{node}", rows)
            self.table.update(self.now, {"draft"}, self.traffic.nodes, interval_s)
            self.estimates.append(self.rates)

    @property
    def rates(self):
        """Prompt rate and seconds of a step that decisions use."""
        row = self.table.rows.get("draft")
        return (row.prompt_tokens_s, row.step_s) if row else PRIOR_RATES

    def _serve(self, samples, seconds):
        count = int(self.traffic.per_node_s * seconds + self.rng.random())
        for _ in range(count):
            tokens = min(6000, int(self.rng.lognormvariate(6.8, 0.7)))
            first_s, running = (
                self._first_event_s(tokens),
                self.rng.randint(0, self.traffic.running),
            )
            added_s = self.traffic.added * PRIOR.request_s * running
            samples.record_prompt(self.now, "draft", tokens, first_s + added_s, running)
            for _ in range(3):
                steps, stretch_s = self._stretch(running)
                samples.record_steps(self.now, "draft", steps, stretch_s, running)

    def _first_event_s(self, tokens):
        traffic, rng = self.traffic, self.rng
        speed = rng.choice(traffic.speeds)
        rate, step_s = traffic.rates[0] * speed, traffic.rates[1] / speed
        if rng.random() < traffic.kept_share:
            tokens //= 2
        seconds = tokens / rate + EVENT_STEPS * step_s
        return self._noise() * seconds + traffic.link_s + self._late() + self._queue()

    def _stretch(self, running):
        added = self.traffic.added * running * PRIOR.step_request_s / PRIOR.step_s
        step_s = self.traffic.rates[1] * (1 + added)
        step_s /= self.rng.choice(self.traffic.speeds)
        steps = EVENT_STEPS
        while steps * step_s < RatePolicy().stretch_s:
            steps += EVENT_STEPS
        seconds = steps * step_s * self._noise()
        return steps, seconds + self._late() - self._late() + self._queue()

    def _noise(self):
        return max(0.1, self.rng.gauss(1.0, self.traffic.noise))

    def _late(self):
        late_s = self.traffic.late_s
        return self.rng.expovariate(1.0 / late_s) if late_s else 0.0

    def _queue(self):
        is_unknown = self.rng.random() < self.traffic.unknown_share
        return self.rng.uniform(0.02, 0.3) if is_unknown else 0.0


class EstimateTestCase(unittest.TestCase):
    def assert_near(self, rates, true_rates):
        for found, true in zip(rates, true_rates, strict=True):
            self.assertLessEqual(abs(found / true - 1.0), ERROR_GOAL, rates)


class TestDataSheets(EstimateTestCase):
    def test_estimates_are_near_the_truth_after_five_seconds(self):
        # With the constants, first bytes of faster engines were expected up to twice
        # as late as they are.
        for nodes in (66, 360):
            for rates in SHEETS:
                with self.subTest(nodes=nodes, rates=rates):
                    fleet = Fleet(Traffic(rates, nodes, unknown_share=1 / 3))
                    fleet.run_for(KNOWN_AFTER_S)
                    self.assert_near(fleet.rates, rates)

    def test_few_nodes_know_the_truth_some_seconds_later(self):
        # Nine nodes need some seconds more for as many samples.
        for rates in SHEETS:
            with self.subTest(rates=rates):
                fleet = Fleet(Traffic(rates, 9, unknown_share=1 / 3))
                fleet.run_for(KNOWN_AFTER_S + 3.0)
                self.assert_near(fleet.rates, rates)

    def test_estimates_stay_near_the_truth(self):
        for rates in SHEETS[1:]:
            with self.subTest(rates=rates):
                fleet = Fleet(Traffic(rates, 9, unknown_share=1 / 3))
                fleet.run_for(KNOWN_AFTER_S + 3.0)
                fleet.estimates.clear()
                fleet.run_for(20.0)
                for found in fleet.estimates:
                    self.assert_near(found, rates)

    def test_slower_engines_are_known(self):
        # Engines slower than the constants would be overloaded.
        # A change by half takes 4 s, as a second allows a fifth.
        rates = (9_600.0, 0.019)
        fleet = Fleet(Traffic(rates, 9, unknown_share=1 / 3))
        fleet.run_for(KNOWN_AFTER_S + 4.0)
        self.assert_near(fleet.rates, rates)


class TestPrior(unittest.TestCase):
    """Services for which the constants are right are served as before."""

    def assert_prior(self, traffic, seconds=12.0):
        for seed in (1, 2, 3):
            with self.subTest(traffic=traffic, seed=seed):
                fleet = Fleet(traffic, seed)
                fleet.run_for(seconds)
                self.assertEqual(set(fleet.estimates), {PRIOR_RATES})

    def test_engines_as_assumed(self):
        for nodes in (3, 9, 66):
            self.assert_prior(Traffic(PRIOR_RATES, nodes))

    def test_engines_within_the_band(self):
        self.assert_prior(Traffic((19_200.0 * 1.1, 0.0095 / 1.1)))
        self.assert_prior(Traffic((19_200.0 / 1.1, 0.0095 * 1.1)))

    def test_unknown_queues(self):
        self.assert_prior(Traffic(PRIOR_RATES, unknown_share=1 / 3))

    def test_kept_parts_of_prompts(self):
        # Engines that keep parts of prompts look faster than they are.
        for kept_share in (0.3, 0.6, 1.0):
            self.assert_prior(Traffic(PRIOR_RATES, kept_share=kept_share))

    def test_events_that_are_read_late(self):
        # A busy node reads events some milliseconds late, at random.
        for late_s in (0.005, 0.02):
            self.assert_prior(Traffic(PRIOR_RATES, late_s=late_s))

    def test_running_requests_that_add_less_than_assumed(self):
        # The prior corrects samples for what running requests add.
        for added in (0.0, 0.3):
            self.assert_prior(Traffic(PRIOR_RATES, running=16, added=added))

    def test_targets_of_different_speeds_whose_factors_are_not_known(self):
        # Services with few targets have no factors. The fastest third must not decide
        # for all, as it would overload the others.
        for unknown_share in (0.0, 1 / 3):
            for seed in (1, 2, 3):
                fleet = Fleet(
                    Traffic(
                        PRIOR_RATES, speeds=(0.6, 1.0, 1.6), unknown_share=unknown_share
                    ),
                    seed,
                )
                fleet.run_for(12.0)
                with self.subTest(unknown_share=unknown_share, seed=seed):
                    fastest = max(rate for rate, _ in fleet.estimates)
                    self.assertLess(fastest, 1.15 * PRIOR_RATES[0])

    def test_slow_links(self):
        self.assert_prior(Traffic(PRIOR_RATES, link_s=0.1))


class TestFailures(EstimateTestCase):
    def test_kept_parts_push_no_estimate_beyond_the_truth(self):
        for rates in SHEETS[1:]:
            with self.subTest(rates=rates):
                fleet = Fleet(Traffic(rates, kept_share=0.6))
                fleet.run_for(20.0)
                self.assertLess(fleet.rates[0], 1.1 * rates[0])

    def test_node_with_a_broken_clock_changes_nothing(self):
        for row in ((76_800.0, 0.0001, 48), (100.0, 5.0, 48), (float("nan"), 1.0, 9)):
            with self.subTest(row=row):
                fleet = Fleet(Traffic(PRIOR_RATES, 9))
                fleet.wrong[0] = {"draft": row}
                fleet.run_for(10.0)
                self.assertEqual(set(fleet.estimates), {PRIOR_RATES})

    def test_values_that_are_no_rates_are_dropped(self):
        table = EngineRates()
        for row in ((0.0, 0.01, 9), (-1.0, 0.01, 9), (1e4, 0.0, 9), (1e4, 0.01, 0)):
            table.record(1.0, "n1", {"draft": row})
        table.update(1.0, {"draft"}, 1, TICK_S)
        self.assertEqual(table.rows, {})

    def test_few_samples_or_nodes_leave_the_prior(self):
        for nodes, count in ((2, 48), (9, 3)):
            with self.subTest(nodes=nodes):
                table = EngineRates()
                for step in range(50):
                    now = 1.0 + step * TICK_S
                    for node in range(nodes):
                        table.record(now, f"n{node}", {"draft": (4e4, 0.005, count)})
                    table.update(now, {"draft"}, 9, TICK_S)
                self.assertEqual(table.rows, {})

    def test_all_nodes_of_a_small_fleet_suffice(self):
        table = EngineRates()
        for step in range(50):
            now = 1.0 + step * TICK_S
            table.record(now, "n0", {"draft": (4e4, 0.005, 48)})
            table.update(now, {"draft"}, 1, TICK_S)
        self.assertGreater(table.rows["draft"].prompt_tokens_s, 3e4)

    def test_nodes_that_disagree_leave_the_prior(self):
        table = EngineRates()
        for step in range(50):
            now = 1.0 + step * TICK_S
            for node in range(9):
                rate = 19_200.0 * (1 + node % 3)
                table.record(now, f"n{node}", {"draft": (rate, 0.005, 48)})
            table.update(now, {"draft"}, 9, TICK_S)
        self.assertEqual(table.rows, {})


class TestChanges(unittest.TestCase):
    def setUp(self):
        self.table = EngineRates()
        self.now = 1.0

    def run_for(self, seconds, rates=None):
        found = []
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            if rates:
                for node in range(5):
                    self.table.record(self.now, f"n{node}", {"draft": (*rates, 20)})
            self.table.update(self.now, {"draft"}, 5, TICK_S)
            row = self.table.rows.get("draft")
            found.append((row.prompt_tokens_s, row.step_s) if row else PRIOR_RATES)
        return found

    def test_rates_change_by_at_most_a_fifth_a_second(self):
        found = self.run_for(20.0, (60_000.0, 0.003))
        found += self.run_for(20.0, (10_000.0, 0.02))
        second = round(1.0 / TICK_S)
        for before, after in zip(found, found[second:], strict=False):
            for old, new in zip(before, after, strict=True):
                self.assertLessEqual(max(old / new, new / old), 1.2 + 1e-9)

    def test_what_is_learned_is_bounded(self):
        rate, step_s = self.run_for(60.0, (1e6, 1e-4))[-1]
        self.assertLessEqual(rate, 4 * PRIOR_RATES[0])
        self.assertGreaterEqual(step_s, PRIOR_RATES[1] / 4)
        self.assertGreater(rate, 3.5 * PRIOR_RATES[0])

    def test_prior_applies_again_within_its_band(self):
        self.run_for(10.0, (38_700.0, 0.00547))
        # Between both limits the estimate stays in use.
        self.assertLess(self.run_for(10.0, (22_700.0, 0.0080))[-1][1], 0.0082)
        self.assertEqual(self.run_for(10.0, (21_500.0, 0.0089))[-1], PRIOR_RATES)
        self.assertEqual(set(self.run_for(10.0, (22_700.0, 0.0080))), {PRIOR_RATES})

    def test_estimate_outlasts_a_load_that_gives_no_samples(self):
        self.run_for(10.0, (38_700.0, 0.00547))
        self.assertGreater(self.run_for(590.0)[-1][0], 3e4)
        self.assertEqual(self.run_for(30.0)[-1], PRIOR_RATES)

    def test_changed_engines_are_estimated_anew(self):
        self.run_for(10.0, (38_700.0, 0.00547))
        self.table.drop("draft")
        self.assertEqual(self.run_for(1.0)[-1], PRIOR_RATES)

    def test_ended_service_is_dropped(self):
        self.run_for(10.0, (38_700.0, 0.00547))
        self.table.update(self.now, set(), 5, TICK_S)
        self.assertEqual(self.table.rows, {})


class TestSamples(unittest.TestCase):
    def test_prompts_of_one_size_tell_nothing(self):
        samples = RateSamples()
        for number in range(40):
            samples.record_prompt(1.0, "draft", 1000, 0.09 + number / 1e4, 0)
            samples.record_steps(1.0, "draft", 32, 0.3, 1)
        self.assertEqual(samples.estimates(1.0), {})

    def test_old_samples_do_not_count(self):
        samples = RateSamples()
        for number in range(40):
            samples.record_prompt(1.0, "draft", 100 * number, 0.01 * number, 0)
            samples.record_steps(1.0, "draft", 32, 0.3, 1)
        self.assertEqual(samples.estimates(1.0)["draft"].count, 36)
        self.assertAlmostEqual(samples.estimates(1.0)["draft"].prompt_tokens_s, 1e4)
        self.assertEqual(samples.estimates(17.0), {})


class TestServicePolicy(unittest.TestCase):
    def test_rates_of_the_prior_are_the_prior(self):
        self.assertIs(service_policy(*PRIOR_RATES), service_policy(19_200.0, 0.0095))
        self.assertEqual(service_policy(*PRIOR_RATES), PRIOR)

    def test_engine_that_is_slower_in_all_is_like_a_target_with_a_factor(self):
        # Both say the same about an engine, so decisions about it must be the same.
        policy = service_policy(9_600.0, 0.019)
        row = Candidate("t", "z", 128, 7, 4000, 0.3)
        self.assertAlmostEqual(
            pause_s(policy, row, 1000, 4),
            pause_s(PRIOR, row._replace(factor=2.0), 1000, 4),
        )
        self.assertEqual(running_limit(policy, row), 22)
        self.assertAlmostEqual(policy.chunk_s, 2 * PRIOR.chunk_s)
        self.assertAlmostEqual(policy.request_s, 2 * PRIOR.request_s)

    def test_times_that_no_engine_causes_are_kept(self):
        policy = service_policy(38_700.0, 0.00547)
        for name in ("count_lag_s", "connect_s", "pause_weight"):
            self.assertEqual(getattr(policy, name), getattr(PRIOR, name))


if __name__ == "__main__":
    unittest.main()
