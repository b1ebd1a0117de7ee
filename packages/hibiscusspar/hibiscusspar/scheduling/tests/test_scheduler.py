"""Tests of the scheduler with a fake placement."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.outbox import Outbox
from hibiscusspar.placement.routing import Dispatch, Refuse, RouteRequest, Wait
from hibiscusspar.scheduling.scheduler import Job, Scheduler


class FakePlacement:
    """Placement with units of one target for every adapter except ``gone``."""

    def __init__(self, units):
        self.units = units
        self.running = set()
        self.waiting = set()
        self.ready = False

    def can_route_now(self, request):
        return self.units > 0 or request.adapter == "gone"

    def route(self, now, request, out):
        if request.adapter == "gone":
            return Refuse("no target", 1.0)
        if self.units == 0:
            self.waiting.add(request.request_id)
            return Wait("full")
        self.units -= 1
        self.waiting.discard(request.request_id)
        self.running.add(request.request_id)
        return Dispatch("t", "1", "resident")

    def finished(self, now, request_id, outcome, out):
        self.waiting.discard(request_id)
        if request_id in self.running:
            self.running.discard(request_id)
            self.units += 1
            self.ready = True

    def take_ready(self):
        ready, self.ready = self.ready, False
        return ready


def job(request_id, account="a", adapter="larch", tokens=500.0, deadline=10.0):
    route = RouteRequest(request_id, "draft", adapter, "1")
    return Job(route, account, tokens, deadline)


class TestScheduler(unittest.TestCase):
    def setUp(self):
        self.placement = FakePlacement(units=1)
        self.scheduler = Scheduler(self.placement)
        self.out = Outbox()

    def add(self, *args, **kwargs):
        return self.scheduler.add(0.0, job(*args, **kwargs), self.out)

    def finish(self, request_id):
        self.placement.finished(0.0, request_id, "answered", self.out)
        self.scheduler.start_ready(0.0, self.out)
        return [found for found, _ in self.scheduler.take_decided()]

    def test_free_unit_starts_a_request_at_once(self):
        self.add("r1")
        ((request_id, decision),) = self.scheduler.take_decided()
        self.assertEqual((request_id, decision.target), ("r1", "t"))
        self.add("r2")
        self.assertEqual(self.scheduler.take_decided(), [])
        self.assertEqual(self.placement.waiting, {"r2"})

    def test_one_unit_is_shared_fairly_by_the_accounts(self):
        for i in range(6):
            self.add(f"a{i}", "a")
        for i in range(3):
            self.add(f"b{i}", "b")
        order = [self.scheduler.take_decided()[0][0]]
        while len(order) < 9:
            order += self.finish(order[-1])
        self.assertEqual([r[0] for r in order[:6]].count("b"), 3, order)

    def test_refusal_of_placement_is_passed_on(self):
        self.add("r1", adapter="gone")
        ((_, decision),) = self.scheduler.take_decided()
        self.assertEqual(decision, Refuse("no target", 1.0))
        self.assertEqual(len(self.scheduler), 0)

    def test_give_up_removes_the_request_once(self):
        self.add("r1")
        self.add("r2")
        refusal = self.scheduler.give_up(0.0, "r2", self.out)
        self.assertGreaterEqual(refusal.retry_after_s, 1.0)
        self.assertIsNone(self.scheduler.give_up(0.0, "r2", self.out))
        self.assertEqual(self.placement.waiting, set())
        self.assertIsNone(self.scheduler.give_up(0.0, "r1", self.out))

    def test_deadline_that_has_passed_is_refused_at_once(self):
        refusal = self.scheduler.add(11.0, job("r1"), self.out)
        self.assertEqual(refusal.reason, "deadline")


class TestEveryRequestIsDecidedOnce(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(
        st.integers(0, 3),
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from(["x", "y", "gone"])),
            max_size=20,
        ),
        st.randoms(use_true_random=False),
    )
    def test_all_end(self, units, requests, rng):
        placement = FakePlacement(units)
        scheduler = Scheduler(placement)
        out = Outbox()
        ended = []
        for i, (account, adapter) in enumerate(requests):
            scheduler.add(0.0, job(str(i), account, adapter), out)
            ended += scheduler.take_decided()
            if placement.running and rng.random() < 0.5:
                placement.finished(0.0, min(placement.running), "answered", out)
                scheduler.start_ready(0.0, out)
        while placement.running:
            placement.finished(0.0, min(placement.running), "answered", out)
            scheduler.start_ready(0.0, out)
        ended += scheduler.take_decided()
        given_up = [
            (str(i), None)
            for i in range(len(requests))
            if scheduler.give_up(0.0, str(i), out) is not None
        ]
        names = sorted(int(name) for name, _ in ended + given_up)
        self.assertEqual(names, list(range(len(requests))))
        self.assertTrue(units == 0 or not given_up)
