"""Tests of targets that fail if they turn too many requests away."""

import unittest
from random import Random

from hibiscusspar.fleet.brittle_targets import BrittleTable
from hibiscusspar.fleet.targets import Target

TARGET = Target("t1", "s", "10.0.0.1:80", "z", 12, False, 1, 0, {}, {})
STEP_S = 0.004


class Crowd:
    """Nodes that all send to one brittle target as soon as their counts allow.

    A node learns the running requests of the others every ``view_s``, and of a refusal
    one step later.
    """

    def __init__(self, nodes, view_s, runs_s=2.0):
        self.now = 50.0
        self.refusals = []
        self._view_s = view_s
        self._runs_s = runs_s
        self._running = []
        self._seen = [0] * nodes
        self._tables = [BrittleTable() for _ in range(nodes)]
        for table in self._tables:
            table.record(self.now, TARGET, True)

    def run(self, seconds, requests_s, heeds=True):
        rng = Random(3)
        next_view = self.now
        ends_at = self.now + seconds
        while self.now < ends_at:
            self._running = [end for end in self._running if end > self.now]
            if self.now >= next_view:
                self._seen = [len(self._running)] * len(self._seen)
                next_view += self._view_s
            if rng.random() < requests_s * STEP_S:
                self._request(rng.randrange(len(self._seen)), heeds)
            self.now += STEP_S

    def _request(self, index, heeds):
        table = self._tables[index]
        slots = table.usable_slots("t1", TARGET.slots, 0) if heeds else TARGET.slots
        if self._seen[index] >= slots or (heeds and table.full(self.now)):
            return
        if len(self._running) < TARGET.slots:
            self._running.append(self.now + self._runs_s)
            self._seen[index] += 1
            return
        self.refusals.append(self.now)
        for other in self._tables:
            other.record_full(self.now, TARGET)

    def most_in_a_second(self):
        return max(
            (
                sum(at <= later < at + 1.0 for later in self.refusals)
                for at in self.refusals
            ),
            default=0,
        )


class TestManyNodes(unittest.TestCase):
    def test_few_requests_are_turned_away_in_any_second(self):
        for nodes, view_s in ((9, 0.1), (78, 0.156), (195, 0.39), (360, 0.72)):
            with self.subTest(nodes=nodes):
                crowd = Crowd(nodes, view_s)
                crowd.run(20.0, requests_s=60.0)
                self.assertLessEqual(crowd.most_in_a_second(), 3)

    def test_nodes_that_do_not_heed_it_are_turned_away_often(self):
        crowd = Crowd(195, 0.39)
        crowd.run(20.0, requests_s=60.0, heeds=False)
        self.assertGreater(crowd.most_in_a_second(), 6)


class TestBrittleTable(unittest.TestCase):
    def setUp(self):
        self.table = BrittleTable()
        self.table.record(10.0, TARGET, True)

    def test_some_slots_stay_free_and_none_queues(self):
        self.assertEqual(self.table.usable_slots("t1", 12, 2), 9)
        self.assertEqual(self.table.usable_slots("t1", 1, 2), 1)
        self.assertEqual(self.table.usable_slots("t2", 12, 2), 14)

    def test_answer_without_the_statement_ends_it(self):
        self.table.record(10.1, TARGET, False)
        self.assertTrue(self.table.is_empty)

    def test_full_target_is_left_alone_for_a_moment(self):
        self.table.record_full(10.0, TARGET)
        self.table.record(10.1, TARGET, True)
        self.assertEqual(self.table.full(10.4), {"t1"})
        self.assertEqual(self.table.full(10.6), set())

    def test_restarted_and_silent_targets_are_dropped(self):
        self.table.retain(10.0, {"t1": TARGET._replace(born=2)})
        self.assertTrue(self.table.is_empty)
        self.table.record(10.0, TARGET, True)
        self.table.retain(30.0, {"t1": TARGET})
        self.assertTrue(self.table.is_empty)
