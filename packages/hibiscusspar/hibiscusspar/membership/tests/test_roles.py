"""Tests of roles, including a stateful model that combines all faults."""

import unittest
from itertools import combinations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hibiscusspar.membership.policies import RolePolicy
from hibiscusspar.membership.tests.cluster import Cluster
from hibiscusspar.ports import limit_home_role, target_owner_role

PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)
HOMES = [limit_home_role(f"account{i}", "a") for i in range(4)]
OWNERS = [target_owner_role(f"t{i}") for i in range(4)]
RECOVERY_S = 90.0
SHORT_PERIODS = RolePolicy(
    stable_s=3.0, rebalance_s=1.0, presume_failed_s=3.0, poll_s=2.0
)


class TestRoles(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster({"a": 3}, HOMES + OWNERS)
        self.cluster.run(10)

    def holders(self):
        found = {}
        for role in HOMES + OWNERS:
            acting = self.cluster.acting(role)
            self.assertLessEqual(len(acting), 1, role)
            found[role] = acting[0][0] if acting else ""
        return found

    def test_every_role_is_held_once_and_known_to_all(self):
        found = self.holders()
        self.assertNotIn("", found.values())
        for process in self.cluster.processes.values():
            known = {role: process.roles.holder(role) for role in found}
            self.assertEqual(known, found)

    def test_last_vm_of_a_zone_gives_up_its_roles_once(self):
        cluster = Cluster({"a": 1}, HOMES + OWNERS)
        cluster.run(10)
        roles = cluster.processes["a0"].roles
        numbers = {role: roles.number(role) for role in HOMES + OWNERS}
        cluster.hand_over("a0")
        cluster.run(20)
        self.assertTrue(roles.handed_over)
        self.assertEqual({roles.holder(role) for role in numbers}, {""})
        raised = {role: roles.number(role) - numbers[role] for role in numbers}
        self.assertEqual(max(raised.values()), len(numbers))

    def test_holders_go_on_without_the_platform(self):
        before = self.holders()
        self.cluster.without_platform = set(self.cluster.processes)
        self.cluster.run(600, step=1.0)
        self.assertEqual(self.holders(), before)

    def test_silent_holder_keeps_its_roles_while_listed(self):
        before = self.holders()
        self.cluster.processes["a1"].paused = True
        self.cluster.run(200, step=1.0)
        self.assertEqual(self.holders(), before)

    def test_roles_of_a_vm_that_left_the_list_are_reassigned(self):
        before = self.holders()
        self.cluster.remove_vm("a1")
        self.cluster.run(30)
        after = self.holders()
        self.assertNotIn("", after.values())
        kept = {role for role in before if before[role] != "a1"}
        self.assertEqual({r: after[r] for r in kept}, {r: before[r] for r in kept})

    def test_list_older_than_a_new_holder_reassigns_nothing(self):
        self.cluster.add_vm("a3", "a")
        self.cluster.run(90)
        before = self.holders()
        self.assertIn("a3", before.values())
        self.cluster.list_lag = 1
        self.cluster.run(120)
        self.assertEqual(self.holders(), before)

    def test_hand_over_passes_all_roles_on_in_one_write(self):
        before = self.holders()
        self.cluster.hand_over("a1")
        self.assertEqual(self.cluster.processes["a1"].roles.held, frozenset())
        version = self.cluster.version
        self.cluster.run(5)
        after = self.holders()
        self.assertIn("a1", before.values())
        self.assertNotIn("a1", after.values())
        self.assertNotIn("", after.values())
        self.assertEqual(self.cluster.version, version + 1)
        self.assertTrue(self.cluster.processes["a1"].roles.handed_over)

    def test_restarted_process_resumes_under_new_numbers(self):
        before = self.holders()
        numbers = {r: self.cluster.acting(r)[0][1] for r in before}
        self.cluster.start("a1", "a")
        self.assertNotIn("a1", self.holders().values())
        self.cluster.run(10)
        self.assertEqual(self.holders(), before)
        for role, vm in before.items():
            number = self.cluster.acting(role)[0][1]
            self.assertEqual(number > numbers[role], vm == "a1")

    def test_restarted_process_waits_for_the_platform(self):
        self.cluster.without_platform = set(self.cluster.processes)
        self.cluster.start("a1", "a")
        self.cluster.run(60)
        self.assertNotIn("a1", self.holders().values())

    def test_fenced_role_of_a_silent_holder_is_reassigned_with_a_higher_number(self):
        self.cluster = Cluster({"a": 3}, HOMES + OWNERS, OWNERS)
        self.cluster.run(10)
        before = self.holders()
        paused = next(vm for r, vm in before.items() if r in OWNERS)
        self.cluster.processes[paused].paused = True
        self.cluster.run(120, step=0.5)
        for role, vm in before.items():
            acting = self.cluster.acting(role)
            if vm == paused and role in OWNERS:
                self.assertEqual(len({number for _, number in acting}), 2)
            else:
                self.assertEqual([a[0] for a in acting], [vm])

    def test_new_vm_gets_its_share_and_nothing_is_held_twice(self):
        self.cluster.add_vm("a3", "a")
        for _ in range(240):
            self.cluster.run(0.5)
            self.holders()
        self.assertIn("a3", self.holders().values())

    def test_release_with_a_lost_answer_is_not_taken_back(self):
        moved = 0
        for seed in range(8):
            cluster = Cluster({"a": 3}, HOMES + OWNERS, (), seed, SHORT_PERIODS)
            self.cluster = cluster
            cluster.run(10)
            cluster.add_vm("a3", "a")
            cluster.run(2)
            cluster.partitions = {
                frozenset(p) for p in combinations(cluster.processes, 2)
            }
            cluster.write_delay = 1.0
            self.run_and_check(cluster, 32)
            cluster.without_platform = set(cluster.processes) - {"a3"}
            self.run_and_check(cluster, 100)
            moved += "a3" in self.holders().values()
        self.assertGreater(moved, 0)

    def run_and_check(self, cluster, steps):
        for _ in range(steps):
            cluster.run(0.25)
            self.holders()


class RolesModel(RuleBasedStateMachine):
    """Pauses, partitions, lost and delayed writes, replaced VMs and stale lists."""

    vms = st.integers(0, 9)

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        zones = {"a": 3, "b": 1}
        self.cluster = Cluster(zones, HOMES + OWNERS, OWNERS[:2], seed, SHORT_PERIODS)
        self.count = 0
        self.cluster.run(4)

    def pick(self, index):
        names = sorted(vm for vm in self.cluster.processes if vm.startswith("a"))
        return names[index % len(names)]

    @rule(seconds=st.sampled_from([0.25, 0.5, 1, 3, 12]))
    def advance(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.cluster.run(0.25)
            self.at_most_one_acts()

    @rule()
    def long_time(self):
        for _ in range(40):
            self.cluster.run(1, step=1.0)
            self.at_most_one_acts()

    @rule(index=vms)
    def toggle_pause(self, index):
        process = self.cluster.processes[self.pick(index)]
        process.paused = not process.paused

    @rule(index=vms)
    def restart(self, index):
        self.cluster.start(self.pick(index), "a")

    @rule(index=vms)
    def replace(self, index):
        self.count += 1
        self.cluster.remove_vm(self.pick(index))
        self.cluster.add_vm(f"a-new{self.count}", "a")

    @rule(index=vms)
    def hand_over_and_restart(self, index):
        vm = self.pick(index)
        self.cluster.hand_over(vm)
        self.cluster.run(0.5)
        self.cluster.start(vm, "a")

    @rule(first=vms, second=vms)
    def toggle_partition(self, first, second):
        pair = frozenset((self.pick(first), self.pick(second)))
        if len(pair) == 2:
            self.cluster.partitions ^= {pair}

    @rule(index=vms)
    def toggle_platform_access(self, index):
        self.cluster.without_platform ^= {self.pick(index)}

    @rule(
        answer_loss=st.sampled_from([0, 0.3]),
        write_delay=st.sampled_from([0, 0.3]),
        list_lag=st.integers(0, 3),
        message_loss=st.sampled_from([0, 0.3]),
        message_delay=st.sampled_from([0, 0.5]),
    )
    def faults(self, answer_loss, write_delay, list_lag, message_loss, message_delay):
        self.cluster.answer_loss = answer_loss
        self.cluster.write_delay = write_delay
        self.cluster.list_lag = list_lag
        self.cluster.message_loss = message_loss
        self.cluster.message_delay = message_delay

    @invariant()
    def at_most_one_acts(self):
        if not hasattr(self, "cluster"):
            return
        for role in HOMES + OWNERS:
            acting = self.cluster.acting(role)
            if role in OWNERS[:2]:
                numbers = [number for _, number in acting]
                assert len(numbers) == len(set(numbers)), (role, acting)
            else:
                assert len(acting) <= 1, (role, acting)

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.partitions, cluster.without_platform = set(), set()
        cluster.answer_loss = cluster.write_delay = cluster.message_loss = 0
        cluster.message_delay = 0
        cluster.list_lag = 0
        for process in cluster.processes.values():
            process.paused = False
        cluster.run(RECOVERY_S, step=1.0)
        for role in HOMES + OWNERS:
            assert len(cluster.acting(role)) == 1, (role, cluster.acting(role))


class TestRolesModel(unittest.TestCase):
    def test_model(self):
        run_state_machine_as_test(RolesModel, settings=PROFILE)
