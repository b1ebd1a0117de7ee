"""Stateful model test of owners, grants and targets under faults."""

import unittest
from random import Random

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import floats, integers, sampled_from

from hibiscusspar.placement.tests.cluster import all_violations
from hibiscusspar.placement.tests.faults import (
    FAULTS,
    heal,
    random_faults,
    small_cluster,
    submit,
    unfinished_states,
)

EXAMPLES = 15
STEPS = 40
SEEDS = range(100, 112)


class PlacementMachine(RuleBasedStateMachine):
    """State machine that applies requests and faults in any order."""

    def __init__(self):
        super().__init__()
        self.cluster = small_cluster(7)
        self.cluster.run(5.0)

    @rule(seed=integers(0, 999), count=integers(1, 6))
    def request(self, seed, count):
        rng = Random(seed)
        for _ in range(count):
            submit(self.cluster, rng)

    @rule(seconds=floats(0.01, 3.0))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    @rule(fault=sampled_from(FAULTS), seed=integers(0, 999))
    def fail(self, fault, seed):
        fault(self.cluster, Random(seed))

    @invariant()
    def no_violations(self):
        found = all_violations(self.cluster)
        if found:
            raise AssertionError(found)

    def teardown(self):
        heal(self.cluster)
        self.no_violations()
        left = unfinished_states(self.cluster)
        if left:
            raise AssertionError(f"requests never served: {left}")


TestPlacementModel = PlacementMachine.TestCase
TestPlacementModel.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
)


class TestRandomFaults(unittest.TestCase):
    def test_no_violation_and_every_request_ends(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = random_faults(seed, 25.0)
                heal(cluster)
                self.assertEqual(all_violations(cluster), [])
                self.assertEqual(unfinished_states(cluster), [])
