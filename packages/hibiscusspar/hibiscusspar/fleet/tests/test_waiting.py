"""Tests of the decision to send, delay or refuse a request, and of target choice."""

import unittest
from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.routing import (
    Candidate,
    ChoicePolicy,
    choose_target,
    first_byte_s,
)
from hibiscusspar.fleet.waiting import Job, Refuse, Send, Wait, decide, job_sort_key


def candidate(name="t1", running=0, queued=0, zone="z1", slots=128):
    return Candidate(name, zone, slots, running, queued)


def job(arrived=10.0, first_byte_slo_s=1.0, give_up_at=11.5, fraction=0.5, priority=1):
    return Job(
        "r1",
        "draft",
        ("m", "a"),
        priority,
        1460,
        arrived,
        first_byte_slo_s,
        give_up_at,
        fraction,
    )


class TestDecide(unittest.TestCase):
    def test_request_is_sent_to_an_idle_target_at_once(self):
        found = decide(10.0, job(), [candidate()], "z1")
        self.assertIsInstance(found, Send)

    def test_request_that_can_not_be_in_time_is_refused_at_once(self):
        backlog = [candidate("t1", 40, 60_000), candidate("t2", 40, 70_000)]
        found = decide(10.0, job(), backlog, "z1")
        self.assertIsInstance(found, Refuse)
        self.assertGreater(found.retry_after_s, 1.0)

    def test_request_waits_for_a_short_backlog(self):
        found = decide(10.0, job(), [candidate("t1", 10, 22_000)], "z1")
        self.assertEqual(found, Wait("busy"))

    def test_request_waits_for_a_loading_adapter_until_its_limit(self):
        self.assertIsInstance(decide(10.0, job(), [], "z1"), Wait)
        self.assertIsInstance(decide(11.5, job(), [], "z1"), Refuse)

    def test_late_request_is_sent_to_an_idle_target(self):
        found = decide(11.4, job(), [candidate()], "z1")
        self.assertIsInstance(found, Send)

    def test_large_requests_are_admitted_like_small_ones(self):
        busy = [candidate("t1", 20, 15_000)]
        small = job()._replace(prompt_tokens=200)
        large = job()._replace(prompt_tokens=4000)
        self.assertIsInstance(decide(10.0, small, busy, "z1"), Send)
        self.assertIsInstance(decide(10.0, large, busy, "z1"), Send)

    def test_prompt_backlog_beside_running_streams_is_limited(self):
        stream_job = job()._replace(max_gap_s=0.3, event_steps=4)
        backlogged = candidate("t1", 12, 7_000)
        free = candidate("t2", 12, 2_000, zone="z2")
        self.assertEqual(decide(10.0, stream_job, [backlogged], "z1"), Wait("busy"))
        self.assertEqual(
            decide(10.0, stream_job, [backlogged, free], "z1").target_id, "t2"
        )
        self.assertIsInstance(decide(10.0, job(), [backlogged], "z1"), Send)

    def test_retry_delays_are_spread(self):
        backlog = [candidate("t1", 40, 90_000)]
        times = {
            decide(10.0, job(fraction=f / 10), backlog, "z1").retry_after_s
            for f in range(10)
        }
        self.assertEqual(len(times), 10)

    def test_batch_that_would_end_streams_late_takes_no_more_requests(self):
        found = decide(10.0, job(), [candidate(running=60)], "z1")
        self.assertEqual(found, Wait("busy"))

    def test_full_batch_takes_no_more_requests(self):
        found = decide(10.0, job(), [candidate(running=128)], "z1")
        self.assertEqual(found, Wait("busy"))

    def test_urgent_jobs_come_first(self):
        jobs = [job(10.0, priority=2), job(10.2, priority=0), job(10.1, priority=0)]
        ordered = sorted(jobs, key=lambda row: job_sort_key(10.3, row))
        self.assertEqual([j.arrived for j in ordered], [10.1, 10.2, 10.0])

    def test_jobs_that_can_be_in_time_go_before_late_ones(self):
        jobs = [job(10.0, priority=0), job(10.9, priority=1)]
        ordered = sorted(jobs, key=lambda row: job_sort_key(11.0, row))
        self.assertEqual([j.arrived for j in ordered], [10.9, 10.0])


class TestChooseTarget(unittest.TestCase):
    def test_tokens_processed_since_the_counts_are_no_backlog(self):
        policy = ChoicePolicy()
        idle = first_byte_s(policy, candidate("t1", 0, 0), 1000)
        counted = first_byte_s(policy, candidate("t1", 0, 2800), 1000)
        backlog = first_byte_s(policy, candidate("t1", 0, 19_200), 1000)
        self.assertEqual(idle, counted)
        self.assertAlmostEqual(backlog - idle, 0.85)

    def test_shorter_backlog_is_preferred_to_the_own_zone(self):
        found = choose_target(
            ChoicePolicy(),
            [candidate("t1", 9, 9000, "z1"), candidate("t2", 1, 0, "z2")],
            "z1",
            1000,
        )
        self.assertEqual(found[0].target_id, "t2")

    def test_equal_targets_share_the_requests_of_many_nodes(self):
        # Many nodes see the same idle targets at the same moment.
        rows = [candidate(f"t{index}") for index in range(4)]
        counts = Counter(
            choose_target(ChoicePolicy(), rows, "z1", 1000, turn / 100)[0].target_id
            for turn in range(100)
        )
        self.assertEqual(len(counts), 4)
        self.assertLess(max(counts.values()), 40)

    def test_own_zone_is_preferred_among_equals(self):
        found = choose_target(
            ChoicePolicy(), [candidate("t1", zone="z2"), candidate("t2")], "z1", 10
        )
        self.assertEqual(found[0].target_id, "t2")

    @given(
        st.lists(st.tuples(st.integers(0, 12), st.integers(0, 50_000)), max_size=8),
        st.integers(0, 4000),
    )
    def test_no_other_candidate_is_clearly_better(self, loads, tokens):
        policy = ChoicePolicy()
        rows = [candidate(f"t{i}", r, u, slots=10) for i, (r, u) in enumerate(loads)]
        found = choose_target(policy, rows, "z1", tokens)
        free = [row for row in rows if row.running < row.slots]
        self.assertEqual(found is None, not free)
        if found is not None:
            times = [first_byte_s(policy, row, tokens) for row in free]
            self.assertEqual(found[1], min(times))


class TestConnections(unittest.TestCase):
    """Many nodes that each send a request to a plain service every few seconds."""

    def test_nodes_keep_to_targets_that_they_are_connected_to(self):
        rng = Random(2)
        now, idle_s, runs_s = 0.0, 9.0, 0.05
        running = {f"t{n}": [] for n in range(5)}
        idle_since = {}
        opened, sent = 0, Counter()
        for _ in range(8000):
            now += rng.expovariate(70.0)
            node = rng.randrange(195)
            rows = []
            for name, ends in running.items():
                ends[:] = [end for end in ends if end > now]
                is_connected = now < idle_since.get((node, name), -idle_s) + idle_s
                rows.append(
                    Candidate(name, "z1", 8, len(ends), 0, is_connected=is_connected)
                )
            chosen, _ = choose_target(ChoicePolicy(), rows, "z1", 0, rng.random())
            opened += not chosen.is_connected
            sent[chosen.target_id] += 1
            running[chosen.target_id].append(now + runs_s)
            idle_since[node, chosen.target_id] = now + runs_s
        # Over half if nodes chose among equal targets at random.
        self.assertLess(opened, 8000 * 0.25)
        self.assertLess(max(sent.values()), 8000 / 5 * 1.2)

    def test_idle_target_is_worth_a_new_connection(self):
        rows = [
            Candidate("t1", "z1", 8, 5, 0, is_connected=True),
            Candidate("t2", "z1", 8, 1, 0, is_connected=False),
        ]
        found, _ = choose_target(ChoicePolicy(), rows, "z1", 0)
        self.assertEqual(found.target_id, "t2")
