"""Stateful model of limits over several VMs and zones under faults."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscusspar.limits.node_limit import Reservation
from hibiscusspar.limits.tests.cluster import Cluster, account
from hibiscusspar.limits.tests.oracle import TOLERANCE

ZONES = {"a": 2, "b": 2}
LIMITS = [(100.0, 400.0), (40.0, 100.0), (200.0, 300.0)]
FRACTIONS = [(0.5, 0.5), (0.8, 0.2), (0.1, 0.9)]
RECOVERY_S = 60.0


class LimitModel(RuleBasedStateMachine):
    """Faults in any order; the ideal bucket must never be overdrawn."""

    @initialize(seed=st.integers(0, 2**32), settled=st.booleans())
    def start(self, seed, settled):
        self.cluster = Cluster(ZONES, [account()], seed=seed)
        self.cluster.run(12.0 if settled else 1.0)
        self.replaced = 0

    def pick(self, index):
        names = sorted(self.cluster.vms)
        return names[index % len(names)]

    def home_of(self, zone):
        return self.cluster.roles.get(f"limit-home/{zone}/yard", ("", 0))[0]

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 7.0, 14.0, 30.0]))
    def wait(self, seconds):
        self.cluster.run(seconds)

    @rule(
        index=st.integers(0, 3),
        tokens=st.sampled_from([1.0, 10.0, 60.0, 250.0]),
        requests=st.integers(1, 30),
        used=st.sampled_from([None, 0.0, 0.3, 1.0]),
        lasts_s=st.sampled_from([0.0, 0.5, 5.0, 40.0]),
    )
    def send(self, index, tokens, requests, used, lasts_s):
        name = self.pick(index)
        used = None if used is None else used * tokens
        for _ in range(requests):
            self.cluster.request(name, "yard", tokens, used, lasts_s)

    @rule(
        rate=st.sampled_from([50.0, 150.0, 600.0]),
        seconds=st.sampled_from([1.0, 5.0, 15.0]),
        zone=st.sampled_from(["", "a", "b"]),
    )
    def load(self, rate, seconds, zone):
        names = [vm.name for vm in self.cluster.vms.values() if zone in ("", vm.zone)]
        names = sorted(names) or [""]
        gap = 20.0 / rate
        for index in range(int(seconds / gap)):
            name = names[index % len(names)]
            self.cluster.schedule(
                index * gap, self.cluster.request, name, "yard", 20.0, 8.0, 1.0
            )
        self.cluster.run(seconds)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 15.0]), zone=st.sampled_from("ab "))
    def drain(self, seconds, zone):
        names = [vm.name for vm in self.cluster.vms.values() if zone in (" ", vm.zone)]
        self.cluster.drain(seconds, sorted(names), step_s=0.2)

    @rule(index=st.integers(0, 5))
    def isolate(self, index):
        self.cluster.isolated = {self.pick(index)} if index < 4 else set()

    @rule(
        lose=st.sampled_from([0.0, 0.3, 0.9]),
        double=st.sampled_from([0.0, 0.5]),
        late=st.sampled_from([0.0, 0.3]),
        platform_lost=st.sampled_from([0.0, 0.5]),
    )
    def degrade(self, lose, double, late, platform_lost):
        self.cluster.chance = {"lose": lose, "double": double, "late": late}
        self.cluster.platform_lost = platform_lost

    @rule(index=st.integers(0, 3), home=st.booleans())
    def pause(self, index, home):
        name = self.home_of("ab"[index % 2]) if home else self.pick(index)
        if name in self.cluster.vms:
            self.cluster.pause(name)

    @rule()
    def resume_all(self):
        for name in sorted(self.cluster.vms):
            if self.cluster.vms[name].paused:
                self.cluster.resume(name)

    @rule(index=st.integers(0, 3), home=st.booleans())
    def restart(self, index, home):
        name = self.home_of("ab"[index % 2]) if home else self.pick(index)
        if name in self.cluster.vms:
            self.cluster.start_process(name)

    @rule(index=st.integers(0, 3), home=st.booleans())
    def replace(self, index, home):
        name = self.home_of("ab"[index % 2]) if home else self.pick(index)
        if name not in self.cluster.vms:
            return
        zone = self.cluster.vms[name].zone
        self.replaced += 1
        self.cluster.add_vm(f"{zone}-new{self.replaced}", zone)
        self.cluster.remove_vm(name)

    @rule(index=st.integers(0, 3))
    def hand_over(self, index):
        zone = "ab"[index % 2]
        names = sorted(vm.name for vm in self.cluster.vms.values() if vm.zone == zone)
        self.cluster.hand_over(f"limit-home/{zone}/yard", names[index % len(names)])

    @rule(zone=st.sampled_from(["a", "b", ""]))
    def cut(self, zone):
        self.cluster.cuts = {zone} if zone else set()
        self.cluster.assign_roles()

    @rule(up=st.booleans())
    def platform(self, up):
        self.cluster.platform_up = up
        self.cluster.assign_roles()

    @rule(limit=st.sampled_from(LIMITS), fractions=st.sampled_from(FRACTIONS))
    def publish(self, limit, fractions):
        pairs = tuple(zip("ab", fractions, strict=True))
        spec = account(rate=limit[0], burst=limit[1])._replace(zone_fractions=pairs)
        self.cluster.publish([spec])

    @invariant()
    def never_beyond_the_limit(self):
        if hasattr(self, "cluster"):
            over = self.cluster.over_admitted()
            assert over <= TOLERANCE, f"{over} tokens beyond the limit"

    def teardown(self):
        """End all faults: the account must get its rate again."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        self.degrade(0.0, 0.0, 0.0, 0.0)
        self.resume_all()
        self.platform(True)
        self.cut("")
        cluster.isolated = set()
        cluster.run(cluster.late_s + RECOVERY_S)
        rate = cluster.configuration.accounts["yard"].rate
        before = cluster.oracles["yard"].total
        names = sorted(cluster.vms)
        for index in range(int(20.0 * 2.0 * rate / 10.0)):
            name = names[index % len(names)]
            at = index * 10.0 / (2.0 * rate)
            cluster.schedule(at, cluster.submit, name, "yard", 10.0)
        cluster.run(20.0)
        self.never_beyond_the_limit()
        ran = cluster.oracles["yard"].total - before
        assert ran >= 0.85 * 20.0 * rate, f"{ran} of {20.0 * rate} tokens ran"


TestLimitModel = LimitModel.TestCase
TestLimitModel.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=30,
    stateful_step_count=25,
)


class TestOracle(unittest.TestCase):
    """Tests that the oracle reports what exceeds the limit, and nothing else."""

    def test_one_token_too_many_is_seen(self):
        cluster = Cluster({"a": 1}, [account(zones=("a",))])
        oracle = cluster.oracles["yard"]
        oracle.admit(1, 10.0, 400.0)
        oracle.admit(2, 12.0, 200.0)
        self.assertEqual(oracle.lowest(), 0.0)
        oracle.admit(3, 12.0, 1.0)
        self.assertEqual(cluster.over_admitted(), 1.0)
        oracle.settle(1, 399.0)
        self.assertEqual(cluster.over_admitted(), 0.0)

    def test_requests_are_admitted_when_nothing_fails(self):
        cluster = Cluster({"a": 1}, [account(zones=("a",))])
        cluster.run(10.0)
        cluster.request("a0", "yard", 50.0)
        cluster.run(0.3)
        self.assertIsInstance(cluster.request("a0", "yard", 50.0), Reservation)
