"""Stateful model of limits over several VMs and zones under faults."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscusspar.limits.node import Reservation
from hibiscusspar.limits.tests.oracle import TOLERANCE
from hibiscusspar.limits.tests.world import World, account

ZONES = {"a": 2, "b": 2}
LIMITS = [(100.0, 400.0), (40.0, 100.0), (200.0, 300.0)]
FRACTIONS = [(0.5, 0.5), (0.8, 0.2), (0.1, 0.9)]
RECOVERY_S = 60.0


class LimitModel(RuleBasedStateMachine):
    """Faults in any order; the ideal bucket must never be overdrawn."""

    @initialize(seed=st.integers(0, 2**32), settled=st.booleans())
    def start(self, seed, settled):
        self.world = World(ZONES, [account()], seed=seed)
        self.world.run(12.0 if settled else 1.0)
        self.replaced = 0

    def pick(self, index):
        names = sorted(self.world.vms)
        return names[index % len(names)]

    def home_of(self, zone):
        return self.world.roles.get(f"limit-home/{zone}/yard", ("", 0))[0]

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 7.0, 14.0, 30.0]))
    def wait(self, seconds):
        self.world.run(seconds)

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
            self.world.request(name, "yard", tokens, used, lasts_s)

    @rule(
        rate=st.sampled_from([50.0, 150.0, 600.0]),
        seconds=st.sampled_from([1.0, 5.0, 15.0]),
        zone=st.sampled_from(["", "a", "b"]),
    )
    def load(self, rate, seconds, zone):
        names = [vm.name for vm in self.world.vms.values() if zone in ("", vm.zone)]
        names = sorted(names) or [""]
        gap = 20.0 / rate
        for index in range(int(seconds / gap)):
            name = names[index % len(names)]
            self.world.schedule(
                index * gap, self.world.request, name, "yard", 20.0, 8.0, 1.0
            )
        self.world.run(seconds)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 15.0]), zone=st.sampled_from("ab "))
    def drain(self, seconds, zone):
        names = [vm.name for vm in self.world.vms.values() if zone in (" ", vm.zone)]
        self.world.drain(seconds, sorted(names), step_s=0.2)

    @rule(index=st.integers(0, 5))
    def isolate(self, index):
        self.world.isolated = {self.pick(index)} if index < 4 else set()

    @rule(
        lose=st.sampled_from([0.0, 0.3, 0.9]),
        double=st.sampled_from([0.0, 0.5]),
        late=st.sampled_from([0.0, 0.3]),
        platform_lost=st.sampled_from([0.0, 0.5]),
    )
    def degrade(self, lose, double, late, platform_lost):
        self.world.chance = {"lose": lose, "double": double, "late": late}
        self.world.platform_lost = platform_lost

    @rule(index=st.integers(0, 3), home=st.booleans())
    def pause(self, index, home):
        name = self.home_of("ab"[index % 2]) if home else self.pick(index)
        if name in self.world.vms:
            self.world.pause(name)

    @rule()
    def resume_all(self):
        for name in sorted(self.world.vms):
            if self.world.vms[name].paused:
                self.world.resume(name)

    @rule(index=st.integers(0, 3), home=st.booleans())
    def restart(self, index, home):
        name = self.home_of("ab"[index % 2]) if home else self.pick(index)
        if name in self.world.vms:
            self.world.start_process(name)

    @rule(index=st.integers(0, 3), home=st.booleans())
    def replace(self, index, home):
        name = self.home_of("ab"[index % 2]) if home else self.pick(index)
        if name not in self.world.vms:
            return
        zone = self.world.vms[name].zone
        self.replaced += 1
        self.world.add_vm(f"{zone}-new{self.replaced}", zone)
        self.world.remove_vm(name)

    @rule(index=st.integers(0, 3))
    def hand_over(self, index):
        zone = "ab"[index % 2]
        names = sorted(vm.name for vm in self.world.vms.values() if vm.zone == zone)
        self.world.hand_over(f"limit-home/{zone}/yard", names[index % len(names)])

    @rule(zone=st.sampled_from(["a", "b", ""]))
    def cut(self, zone):
        self.world.cuts = {zone} if zone else set()
        self.world.assign_roles()

    @rule(up=st.booleans())
    def platform(self, up):
        self.world.platform_up = up
        self.world.assign_roles()

    @rule(limit=st.sampled_from(LIMITS), fractions=st.sampled_from(FRACTIONS))
    def publish(self, limit, fractions):
        pairs = tuple(zip("ab", fractions, strict=True))
        spec = account(rate=limit[0], burst=limit[1])._replace(zone_fractions=pairs)
        self.world.publish([spec])

    @invariant()
    def never_beyond_the_limit(self):
        if hasattr(self, "world"):
            over = self.world.over_admitted()
            assert over <= TOLERANCE, f"{over} tokens beyond the limit"

    def teardown(self):
        """End all faults: the account must get its rate again."""
        if not hasattr(self, "world"):
            return
        world = self.world
        self.degrade(0.0, 0.0, 0.0, 0.0)
        self.resume_all()
        self.platform(True)
        self.cut("")
        world.isolated = set()
        world.run(world.late_s + RECOVERY_S)
        rate = world.configuration.accounts["yard"].rate
        before = world.oracles["yard"].total
        names = sorted(world.vms)
        for index in range(int(20.0 * 2.0 * rate / 10.0)):
            name = names[index % len(names)]
            at = index * 10.0 / (2.0 * rate)
            world.schedule(at, world.submit, name, "yard", 10.0)
        world.run(20.0)
        self.never_beyond_the_limit()
        ran = world.oracles["yard"].total - before
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
    """The oracle itself must see too much, and nothing else."""

    def test_one_token_too_many_is_seen(self):
        world = World({"a": 1}, [account(zones=("a",))])
        oracle = world.oracles["yard"]
        oracle.admit(1, 10.0, 400.0)
        oracle.admit(2, 12.0, 200.0)
        self.assertEqual(oracle.lowest(), 0.0)
        oracle.admit(3, 12.0, 1.0)
        self.assertEqual(world.over_admitted(), 1.0)
        oracle.settle(1, 399.0)
        self.assertEqual(world.over_admitted(), 0.0)

    def test_requests_are_admitted_when_nothing_fails(self):
        world = World({"a": 1}, [account(zones=("a",))])
        world.run(10.0)
        world.request("a0", "yard", 50.0)
        world.run(0.3)
        self.assertIsInstance(world.request("a0", "yard", 50.0), Reservation)
