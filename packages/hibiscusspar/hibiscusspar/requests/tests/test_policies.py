"""Tests of retry rules, retry budget, ejection and quarantine."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.outbox import Outbox
from hibiscusspar.requests.crash_gossip import CrashGossip, GossipPolicy
from hibiscusspar.requests.ejection import EjectionPolicy, EjectionTable
from hibiscusspar.requests.retry import (
    RULES,
    Cause,
    GiveUp,
    Retry,
    RetryBudget,
    RetryPolicy,
    decide,
)
from hibiscusspar.requests.tests.fakes import FakeMembers

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=200)


class TestRetry(unittest.TestCase):
    def decide(self, cause, idempotent=True, attempts=1, deadline=10.0, burst=5.0):
        policy = RetryPolicy(burst=burst)
        budget = RetryBudget(policy)
        return decide(
            policy, budget, Random(3), cause, idempotent, attempts, 0.0, deadline
        )

    def test_may_have_run_is_never_repeated_unless_idempotent(self):
        for cause, rule in RULES.items():
            decision = self.decide(cause, idempotent=False)
            repeated = isinstance(decision, Retry) and not rule.resume
            self.assertFalse(repeated and rule.may_have_run, cause)
        self.assertEqual(set(RULES), set(Cause))

    def test_gives_up_at_once_with_a_retry_time(self):
        reasons = {
            "deadline too near": self.decide(Cause.CLOSED, deadline=0.01),
            "too many attempts": self.decide(Cause.CLOSED, attempts=3),
            "retry budget spent": self.decide(Cause.CLOSED, burst=0.0),
            "not repeatable": self.decide(Cause.CLOSED, idempotent=False),
        }
        for reason, decision in reasons.items():
            self.assertIsInstance(decision, GiveUp)
            self.assertEqual(decision.reason, reason)
            self.assertGreater(decision.retry_after_s, 0)

    @FIXED
    @given(st.lists(st.booleans(), max_size=300))
    def test_budget_bounds_retries_by_traffic(self, events):
        policy = RetryPolicy(fraction=0.1, burst=3.0)
        budget = RetryBudget(policy)
        firsts = retries = 0
        for is_first in events:
            if is_first:
                budget.deposit()
                firsts += 1
            else:
                retries += budget.try_withdraw()
            self.assertLessEqual(retries, policy.burst + policy.fraction * firsts)


class TestEjection(unittest.TestCase):
    def setUp(self):
        self.out = Outbox()
        self.table = EjectionTable(EjectionPolicy(failures=3, base_s=1.0))

    def fail(self, target, times, now=0.0):
        for _ in range(times):
            self.table.failed(now, target, self.out)

    def test_consecutive_failures_only(self):
        self.fail("a", 2)
        self.table.succeeded("a", self.out)
        self.fail("a", 2)
        self.assertEqual(self.table.excluded(0, ["a", "b"]), frozenset())
        self.fail("a", 1)
        self.assertEqual(self.table.excluded(0, ["a", "b"]), {"a"})

    def test_one_probe_returns_or_ejects_for_longer(self):
        self.fail("a", 3)
        both = ["a", "b"]
        self.assertEqual(self.table.excluded(1.0, both), frozenset())
        self.table.record_attempt(1.0, "a", self.out)
        self.assertEqual(self.table.excluded(1.1, both), {"a"})
        self.table.failed(1.2, "a", self.out)
        self.assertEqual(self.table.excluded(3.1, both), {"a"})
        self.table.record_attempt(3.3, "a", self.out)
        self.table.succeeded("a", self.out)
        self.assertEqual(self.table.excluded(3.4, both), frozenset())

    @FIXED
    @given(
        st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=80),
        st.integers(1, 6),
    )
    def test_never_more_than_the_fraction(self, events, size):
        candidates = [str(n) for n in range(size)]
        table = EjectionTable(EjectionPolicy(failures=1, max_fraction=0.5))
        for now, (target, ok) in enumerate(events):
            if ok:
                table.succeeded(str(target), self.out)
            else:
                table.failed(now / 10, str(target), self.out)
            excluded = table.excluded(now / 10, candidates)
            self.assertLessEqual(len(excluded), size // 2)
            self.assertLess(len(excluded), size)


class TestQuarantine(unittest.TestCase):
    def setUp(self):
        self.policy = GossipPolicy(retention_s=100.0, fanout=3)
        self.vms = [f"vm{n}" for n in range(9)]
        self.tables = {
            vm: CrashGossip(
                FakeMembers(vm, [v for v in self.vms if v != vm]),
                Random(n),
                self.policy,
            )
            for n, vm in enumerate(self.vms)
        }
        self.sent = 0

    def crash(self, vm, target, now=0.0):
        out = Outbox()
        self.tables[vm].crashed(now, "d", target, out)
        queue = list(out.sends)
        while queue:
            send = queue.pop()
            self.sent += 1
            out = Outbox()
            self.tables[send.peer].receive(now, send.message, out)
            queue += out.sends

    def test_crashes_seen_by_different_vms_add_up(self):
        self.crash("vm0", "t1")
        self.crash("vm0", "t1", 1.0)
        self.assertEqual(self.tables["vm0"].refused_for(1.0, "d"), 0)
        self.crash("vm5", "t2", 2.0)
        knowing = [vm for vm in self.vms if self.tables[vm].refused_for(2.0, "d")]
        self.assertGreaterEqual(len(knowing), 8)
        self.assertLessEqual(self.sent, 2 * 9 * self.policy.fanout)

    def test_expires_and_is_forgotten(self):
        self.crash("vm0", "t1")
        self.crash("vm0", "t2", 10.0)
        table = self.tables["vm0"]
        self.assertEqual(table.quarantined(20.0), [("d", 90.0)])
        self.assertEqual(table.refused_for(109.0, "d"), 1.0)
        self.assertEqual(table.refused_for(110.0, "d"), 0)
        out = Outbox()
        table.tick(110.0, out)
        self.assertEqual(
            [r.kind.name for r in out.records], ["body.quarantine_expired"]
        )
        table.tick(120.0, out)
        self.assertEqual(table.quarantined(120.0), [])
