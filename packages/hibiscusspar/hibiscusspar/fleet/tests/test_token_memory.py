"""Tests of the memory of engines in tokens."""

import unittest
from random import Random
from types import SimpleNamespace

from hibiscusspar.fleet.routing import Candidate, ChoicePolicy
from hibiscusspar.fleet.token_memory import TokenMemory
from hibiscusspar.fleet.waiting import Job, Refuse, Send, decide

CAPACITY = 20_000
PRIOR = ChoicePolicy()


def make_job(prompt=1000, output=500, route="r", service="draft"):
    return Job(
        "id",
        service,
        ("m", "a"),
        1,
        prompt,
        10.0,
        1.0,
        11.5,
        0.5,
        route=route,
        max_output_tokens=output,
    )


class MemoryTestCase(unittest.TestCase):
    def setUp(self):
        self.memory = TokenMemory()
        self.configure(draft=CAPACITY, plain=0)

    def configure(self, **capacities):
        services = {
            name: SimpleNamespace(name=name, engine=SimpleNamespace(kv_tokens=tokens))
            for name, tokens in capacities.items()
        }
        self.memory.configure(SimpleNamespace(services=services))

    def learn(self, route="r", tokens=100, count=20):
        for _ in range(count):
            self.memory.record_output(route, tokens)


class TestRoom(MemoryTestCase):
    def test_room_is_what_the_mean_requests_leave(self):
        for _ in range(10):
            self.memory.record_send(make_job(prompt=1500))
        # (20,000 - 4,500) / 2,000 requests leave room for one of 4,500 tokens.
        self.assertEqual(self.memory.max_running(make_job(prompt=4000)), 8)
        self.assertEqual(self.memory.max_running(make_job(prompt=19_500)), 1)

    def test_outputs_of_a_route_are_learned(self):
        self.assertEqual(self.memory.max_running(make_job(output=4000)), 4)
        self.learn()
        self.assertEqual(self.memory.max_running(make_job(output=4000)), 18)
        self.assertEqual(self.memory.max_running(make_job(output=4000, route="s")), 4)

    def test_maximum_output_bounds_what_is_learned(self):
        self.learn(tokens=3000)
        self.assertEqual(self.memory.max_running(make_job(output=250)), 16)

    def test_unknown_memory_or_size_limits_nothing(self):
        self.assertIsNone(self.memory.max_running(make_job(service="plain")))
        self.assertIsNone(self.memory.max_running(make_job(prompt=0)))
        self.assertIsNone(self.memory.refusal(make_job(10**9, service="other")))

    def test_changed_memory_applies_at_once(self):
        self.configure(draft=2 * CAPACITY)
        self.assertEqual(self.memory.max_running(make_job()), 26)
        self.configure()
        self.assertIsNone(self.memory.max_running(make_job()))

    def test_memory_of_routes_is_bounded(self):
        for number in range(3000):
            self.memory.record_output(f"r{number}", 10)
        self.assertLessEqual(len(self.memory._outputs), 1024)


class TestLargeRequests(MemoryTestCase):
    def test_request_larger_than_the_memory_is_refused_at_once(self):
        self.assertIsInstance(self.memory.refusal(make_job(20_001)), Refuse)
        self.assertIsNone(self.memory.refusal(make_job(20_000)))

    def test_unlikely_output_refuses_nothing(self):
        # Callers often allow far more output than there is.
        self.assertIsNone(self.memory.refusal(make_job(1000, 10**6)))
        self.learn()
        self.assertIsNone(self.memory.refusal(make_job(1000, 10**6)))
        self.assertIsInstance(self.memory.refusal(make_job(19_950, 10**6)), Refuse)


class TestDecisions(MemoryTestCase):
    def decide(self, rows, job):
        return self.memory.decide(10.0, job, rows, "z", PRIOR)

    def test_full_target_gets_nothing_while_another_one_has_room(self):
        rows = [Candidate("t1", "z", 128, 14, 0), Candidate("t2", "z", 128, 12, 9000)]
        self.assertEqual(self.decide(rows, make_job()).target_id, "t2")
        usual = decide(10.0, make_job(), rows, "z", PRIOR)
        self.assertEqual(usual.target_id, "t1")

    def test_fast_target_has_no_more_memory(self):
        fast = Candidate("t1", "z", 128, 14, 0, factor=0.25)
        rows = [fast, Candidate("t2", "z", 128, 10, 0)]
        self.assertEqual(self.decide(rows, make_job()).target_id, "t2")

    def test_without_room_decisions_are_as_without_the_limit(self):
        # What runs may be smaller than expected, and places must not stay free for it.
        for others in ((), (Candidate("t2", "z", 128, 2, 90_000),)):
            rows = [Candidate("t1", "z", 128, 20, 0), *others]
            usual = decide(10.0, make_job(), rows, "z", PRIOR)
            self.assertEqual(self.decide(rows, make_job()), usual)

    def test_large_request_is_refused_without_candidates_too(self):
        self.assertIsInstance(self.decide([], make_job(20_001)), Refuse)

    def test_memory_of_many_targets_is_not_exceeded(self):
        # Sizes vary by a factor of 20, and nodes know their number only.
        for targets in (62, 830):
            rng = Random(1)
            running = {f"t{n}": [] for n in range(targets)}
            exceeded = {True: 0, False: 0}
            for is_limited in exceeded:
                running = {name: [] for name in running}
                for _ in range(9 * targets):
                    job = make_job(min(6000, int(rng.lognormvariate(6.8, 0.7))))
                    # Few targets hold the adapter, so load is uneven.
                    names = rng.sample(sorted(running), 8)
                    rows = [Candidate(n, "z", 128, len(running[n]), 0) for n in names]
                    if is_limited:
                        decision = self.decide(rows, job)
                    else:
                        decision = decide(10.0, job, rows, "z", PRIOR)
                    if isinstance(decision, Send):
                        self.memory.record_send(job)
                        held = running[decision.target_id]
                        held.append(job.prompt_tokens + 500)
                        exceeded[is_limited] += sum(held) > CAPACITY
            with self.subTest(targets=targets):
                self.assertLess(exceeded[True], 0.02 * 9 * targets)


if __name__ == "__main__":
    unittest.main()
