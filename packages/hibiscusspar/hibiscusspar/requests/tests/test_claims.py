"""Tests of claims under conflicts, lost and delayed writes, outages and restarts."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.outbox import Outbox, PlatformResult
from hibiscusspar.requests.claim_shard import CLAIMED, parse_shard
from hibiscusspar.requests.claim_types import Away, ClaimPolicy, Earlier, Mismatch, Won
from hibiscusspar.requests.claims import Claims
from hibiscusspar.requests.lifecycle import Outcome
from hibiscusspar.requests.tests.fakes import FakeMembers, FakePlatform

POLICY = ClaimPolicy(shards=1, commit_interval_s=0.1, keep_s=20.0)
FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
STEPS = 500
WEIGHTS = {
    "claim": 12,
    "finish": 8,
    "answer": 30,
    "lose": 4,
    "delay": 4,
    "apply_delayed": 4,
    "refuse": 2,
    "tick": 40,
    "restart": 1,
    "wait": 1,
}


class SimulatedFleet:
    """VMs that share one platform; ``ran`` maps each key to the claim that ran."""

    def __init__(self, policy=POLICY, size=3):
        self.policy = policy
        self.vms = [f"vm{i}" for i in range(size)]
        self.platform = FakePlatform()
        self.now = 0.0
        self.processes = 0
        self.calls = [[] for _ in self.vms]
        self.delayed_calls = []
        self.claims = [self.process(i) for i in range(size)]
        self.claimed_keys = {}
        self.verdicts = {}
        self.running = {}
        self.ran = {}
        self.ended_at = {}

    def process(self, i):
        self.processes += 1
        others = [vm for vm in self.vms if vm != self.vms[i]]
        members = FakeMembers(self.vms[i], others)
        return Claims(members, Random(1), str(self.processes), self.policy)

    def claim(self, i, key, body="b", wait=5.0):
        claim = self.claims[i].claim(self.now, "acc", key, body, self.now + wait)
        self.claimed_keys[claim] = (i, key)
        return claim

    def tick(self, step=0.1):
        self.now += step
        for i, claims in enumerate(self.claims):
            out = Outbox()
            claims.tick(self.now, out)
            self.calls[i] += out.calls
            self.collect(i)

    def collect(self, i):
        for claim, verdict in self.claims[i].take_verdicts().items():
            assert claim not in self.verdicts, "a second verdict"
            self.verdicts[claim] = verdict
            if isinstance(verdict, Won):
                self.run(i, claim)

    def run(self, i, claim):
        key = self.claimed_keys[claim][1]
        ended = self.ended_at.get(key)
        kept = ended is None or self.now < ended + self.policy.keep_s
        assert not (self.ran.get(key) and kept), f"{key} runs a second time"
        self.ran[key] = claim
        self.running[claim] = i
        self.ended_at.pop(key, None)

    def finish(self, claim, outcome, status=200):
        i = self.running.pop(claim)
        key = self.claimed_keys[claim][1]
        if outcome is Outcome.NOT_RUN:
            del self.ran[key]
        else:
            self.ended_at[key] = self.now
        self.claims[i].finish(self.now, claim, outcome, status)

    def answer(self, i, outcome=""):
        for call in self.calls[i][:1]:
            del self.calls[i][:1]
            result = PlatformResult(call.call_id, outcome)
            if outcome in ("", "unknown"):
                real = self.platform.apply(call)
                result = real if not outcome else result
            self.deliver(i, result)

    def delay(self, i):
        """Lose the answer of a call, which is applied later or never."""
        for call in self.calls[i][:1]:
            self.delayed_calls.append(call)
            del self.calls[i][:1]
            result = PlatformResult(call.call_id, "unknown")
            self.deliver(i, result)

    def deliver(self, i, result):
        out = Outbox()
        self.claims[i].platform_result(self.now, result, out)
        self.calls[i] += out.calls
        self.collect(i)

    def restart(self, i):
        self.calls[i].clear()
        for claim in [c for c, owner in self.running.items() if owner == i]:
            del self.running[claim]
            self.ended_at[self.claimed_keys[claim][1]] = self.now
        self.claimed_keys = {c: a for c, a in self.claimed_keys.items() if a[0] != i}
        self.claims[i] = self.process(i)

    def settle(self, rounds=400):
        for call in self.delayed_calls:
            self.platform.apply(call)
        self.delayed_calls.clear()
        for _ in range(rounds):
            self.tick()
            for i in range(len(self.vms)):
                self.answer(i)


class TestClaims(unittest.TestCase):
    @FIXED
    @given(st.integers(0, 2**32))
    def test_a_key_never_runs_twice(self, seed):
        fleet, rng = SimulatedFleet(), Random(seed)
        for action in rng.choices(list(WEIGHTS), WEIGHTS.values(), k=STEPS):
            self.act(fleet, rng, action, rng.randrange(3))
        fleet.settle()
        for i in range(3):
            fleet.claim(i, "last")
        fleet.settle(100)
        self.assertLessEqual(set(fleet.claimed_keys), set(fleet.verdicts))
        for claim in sorted(fleet.running):
            fleet.finish(claim, Outcome.ANSWERED)
        fleet.settle(100)
        self.assertEqual([c.unwritten for c in fleet.claims], [0, 0, 0])
        value, _ = fleet.platform.objects["000"]
        states = {entry.state for entry in parse_shard(value).values()}
        self.assertNotIn(CLAIMED, states)

    def act(self, fleet, rng, action, i):
        if action == "claim":
            fleet.claim(i, f"k{rng.randrange(3)}", wait=rng.choice([0.5, 5.0]))
        elif action == "finish" and fleet.running:
            claim = rng.choice(sorted(fleet.running))
            fleet.finish(claim, rng.choice(list(Outcome)))
        elif action == "answer":
            fleet.answer(i)
        elif action in ("lose", "refuse"):
            fleet.answer(i, "unknown" if action == "lose" else "refused")
        elif action == "delay":
            fleet.delay(i)
        elif action == "apply_delayed" and fleet.delayed_calls:
            fleet.platform.apply(fleet.delayed_calls.pop(0))
        elif action == "restart":
            fleet.restart(i)
        elif action == "wait":
            fleet.tick(POLICY.keep_s / 2)
        else:
            fleet.tick()

    def test_two_vms_at_once_have_one_winner(self):
        fleet = SimulatedFleet()
        first, second = fleet.claim(0, "k"), fleet.claim(1, "k")
        fleet.settle(20)
        won = [isinstance(fleet.verdicts[c], Won) for c in (first, second)]
        self.assertEqual(sorted(won), [False, True])

    def test_repeat_gets_the_outcome_and_another_body_a_mismatch(self):
        fleet = SimulatedFleet()
        claim = fleet.claim(0, "k")
        fleet.settle(10)
        fleet.finish(claim, Outcome.ANSWERED, 201)
        again, other = fleet.claim(0, "k"), fleet.claim(2, "k", body="x")
        fleet.settle(40)
        self.assertEqual(fleet.verdicts[again], Earlier("answered", 201))
        self.assertEqual(fleet.verdicts[other], Mismatch())

    def test_not_run_frees_the_key(self):
        fleet = SimulatedFleet()
        claim = fleet.claim(0, "k")
        fleet.settle(10)
        fleet.finish(claim, Outcome.NOT_RUN)
        again = fleet.claim(0, "k")
        fleet.settle(40)
        self.assertEqual(fleet.verdicts[again], Won())

    def test_unreachable_platform_is_answered_at_once(self):
        fleet = SimulatedFleet()
        claim = fleet.claim(0, "k", wait=1000)
        fleet.tick()
        fleet.answer(0, "refused")
        self.assertIsInstance(fleet.verdicts[claim], Away)
        self.assertEqual(fleet.claims[0].unwritten, 0)
        fleet.now += POLICY.unreachable_retry_s / 2
        again = fleet.claim(0, "k", wait=1000)
        fleet.collect(0)
        self.assertEqual(fleet.verdicts[again], Away(POLICY.unreachable_retry_s / 2))
        fleet.now += POLICY.unreachable_retry_s / 2
        later = fleet.claim(0, "k")
        fleet.settle(20)
        self.assertEqual(fleet.verdicts[later], Won())

    def test_abandoned_claim_that_lands_late_is_released(self):
        fleet = SimulatedFleet()
        fleet.claim(0, "k", wait=1.0)
        fleet.tick()
        fleet.answer(0)
        fleet.tick()
        fleet.delay(0)
        for _ in range(30):
            fleet.tick()
            fleet.answer(0, "refused")
        fleet.settle()
        again = fleet.claim(1, "k")
        fleet.settle(40)
        self.assertEqual(fleet.verdicts[again], Won())

    def test_writes_follow_time_and_not_requests(self):
        writes = {}
        for burst in (1, 50):
            fleet = SimulatedFleet(size=1)
            for _ in range(20):
                for n in range(burst):
                    fleet.claim(0, f"k{fleet.now}-{n}")
                fleet.tick()
                fleet.answer(0)
            writes[burst] = fleet.platform.writes
        self.assertLessEqual(writes[50], writes[1] + 1)
        self.assertLessEqual(writes[50], 20)

    def test_full_shard_refuses_and_expiry_makes_room(self):
        fleet = SimulatedFleet(POLICY._replace(max_entries=2), size=1)
        claims = [fleet.claim(0, f"k{n}") for n in range(2)]
        fleet.settle(10)
        for claim in claims:
            fleet.finish(claim, Outcome.ANSWERED)
        refused = fleet.claim(0, "k2")
        fleet.settle(20)
        self.assertIsInstance(fleet.verdicts[refused], Away)
        fleet.now += POLICY.keep_s
        again = fleet.claim(0, "k2")
        fleet.settle(20)
        self.assertEqual(fleet.verdicts[again], Won())
