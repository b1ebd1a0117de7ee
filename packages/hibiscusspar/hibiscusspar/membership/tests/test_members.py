"""Tests of membership: lists, heartbeats, suspicion and configuration offers."""

import unittest
from random import Random

from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import Beat, Gossip, VmEntry, VmRows
from hibiscusspar.membership.tests.cluster import Cluster
from hibiscusspar.membership.vm_table import VmTable
from hibiscusspar.outbox import Outbox


def row(vm, zone="a", state="live"):
    return VmEntry(vm, zone, "127.0.0.1:1", state)


def names(members):
    return sorted(member.vm for member in members)


class TestVmTable(unittest.TestCase):
    def test_older_list_changes_nothing(self):
        table = VmTable()
        table.adopt(5, [row("x")])
        self.assertIsNone(table.adopt(4, []))
        self.assertTrue(table.is_listed("x"))

    def test_vm_that_left_never_returns(self):
        table = VmTable()
        table.adopt(1, [row("x")])
        self.assertEqual(table.adopt(2, []).left, ["x"])
        self.assertFalse(table.announce(row("x")))
        table.adopt(3, [row("x")])
        self.assertEqual(table.rows(), [])

    def test_announced_vm_outlives_a_list_that_lags(self):
        table = VmTable()
        table.announce(row("new"))
        table.adopt(1, [row("x")])
        self.assertEqual({r.vm for r in table.rows()}, {"x", "new"})
        self.assertEqual(table.adopt(2, [row("x"), row("new")]).joined, [])
        self.assertTrue(table.is_listed("new"))


class TestReachability(unittest.TestCase):
    def setUp(self):
        self.members = MemberSystem("m", "a", "127.0.0.1:1", Random(1))
        rows = tuple(row(vm, vm[0]) for vm in ("a1", "b1", "b2", "b3", "c1"))
        self.members.receive(1.0, "a1", VmRows(2, rows), Outbox())

    def suspects(self):
        vms = ("a1", "b1", "b2", "b3", "c1")
        return [vm for vm in vms if self.members.suspected(vm)]

    def test_two_failed_exchanges_make_one_vm_suspected(self):
        self.members.record_exchange("b1", ok=False)
        self.assertEqual(self.suspects(), [])
        self.members.record_exchange("b1", ok=False)
        self.assertEqual(self.suspects(), ["b1"])
        self.members.record_exchange("b1", ok=True)
        self.assertEqual(self.suspects(), [])

    def test_vm_that_left_or_was_never_known_is_suspected(self):
        self.members.receive(2.0, "a1", VmRows(3, (row("a1"),)), Outbox())
        self.assertEqual(self.suspects(), ["b1", "b2", "b3", "c1"])
        self.assertTrue(self.members.suspected("never"))
        self.assertFalse(self.members.suspected("m"))

    def test_two_unreachable_vms_make_their_zone_suspected(self):
        self.members.record_exchange("b1", ok=False)
        self.members.record_exchange("b2", ok=False)
        self.assertEqual(self.suspects(), ["b1", "b2", "b3"])
        self.members.receive(2.0, "b3", VmRows(1, ()), Outbox())
        self.assertEqual(self.suspects(), [])

    def test_zone_with_one_vm_is_suspected_with_it(self):
        self.members.record_exchange("c1", ok=False)
        self.assertEqual(self.suspects(), ["c1"])


class TestMembers(unittest.TestCase):
    def test_all_know_all_and_nobody_is_suspected(self):
        cluster = Cluster({"a": 4, "b": 3}, [])
        cluster.run(60)
        for process in cluster.processes.values():
            self.assertEqual(names(process.members.live()), sorted(cluster.processes))
            suspects = [v for v in cluster.processes if process.members.suspected(v)]
            self.assertEqual(suspects, [])

    def test_silent_vm_is_suspected_and_stays_a_member(self):
        cluster = Cluster({"a": 4}, [])
        cluster.run(10)
        cluster.processes["a1"].paused = True
        cluster.run(30)
        members = cluster.processes["a0"].members
        self.assertTrue(members.suspected("a1"))
        self.assertIn("a1", names(members.live("a")))
        cluster.processes["a1"].paused = False
        cluster.run(10)
        self.assertFalse(members.suspected("a1"))

    def test_own_pause_suspects_nobody(self):
        cluster = Cluster({"a": 4}, [])
        cluster.run(10)
        cluster.processes["a1"].paused = True
        cluster.run(60)
        cluster.processes["a1"].inbox.clear()
        cluster.processes["a1"].paused = False
        cluster.run(0.5)
        members = cluster.processes["a1"].members
        self.assertEqual([v for v in cluster.processes if members.suspected(v)], [])

    def test_replaced_vm_is_forgotten_by_all(self):
        cluster = Cluster({"a": 3, "b": 3}, [])
        cluster.run(20)
        cluster.remove_vm("b1")
        cluster.add_vm("b9", "b")
        cluster.run(30)
        for process in cluster.processes.values():
            self.assertEqual(names(process.members.live()), sorted(cluster.processes))

    def test_only_watchers_of_a_zone_call_the_platform(self):
        cluster = Cluster({"a": 6, "b": 6}, [])
        cluster.run(20)
        before = cluster.calls
        cluster.run(100)
        watching = [p for p in cluster.processes.values() if p.members.watching]
        self.assertEqual(len(watching), 4)
        self.assertLess((cluster.calls - before) / 100, 3.0)

    def test_restarted_process_takes_a_higher_incarnation(self):
        cluster = Cluster({"a": 3}, [])
        cluster.run(20)
        cluster.start("a1", "a")
        cluster.run(10)
        self.assertGreater(cluster.processes["a1"].members.incarnation, 1)
        self.assertFalse(cluster.processes["a0"].members.suspected("a1"))
        kinds = [r.kind.name for r in cluster.processes["a0"].records]
        self.assertIn("member.restarted", kinds)

    def test_revision_reaches_all_and_never_counts_back(self):
        cluster = Cluster({"a": 5}, [])
        cluster.run(10)
        first = cluster.processes["a0"].members
        first.set_revision(7, "root7")
        cluster.run(6)
        offers = [
            process.members.best_offer()
            for process in cluster.processes.values()
            if process.members is not first
        ]
        self.assertEqual({(o.revision, o.root) for o in offers}, {(7, "root7")})
        taker = cluster.processes["a1"].members
        taker.set_revision(8, "root8")
        self.assertIsNone(taker.best_offer())

    def test_age_of_the_configuration_follows_the_last_watcher(self):
        cluster = Cluster({"a": 4}, [])
        cluster.run(10)
        for process in cluster.processes.values():
            process.members.set_revision(1, "root")
        for _ in range(10):
            cluster.processes["a0"].members.confirm_config(cluster.now)
            cluster.run(1)
        ages = [p.members.config_age_s(cluster.now) for p in cluster.processes.values()]
        self.assertLess(max(ages), 10.0)
        cluster.run(100)
        ages = [p.members.config_age_s(cluster.now) for p in cluster.processes.values()]
        self.assertGreaterEqual(min(ages), 100.0)
        self.assert_age_is_taken_over_with_an_offer(cluster)

    def assert_age_is_taken_over_with_an_offer(self, cluster):
        cluster.start("a1", "a")
        cluster.run(20)
        members = cluster.processes["a1"].members
        members.set_revision(1, "root")
        self.assertGreaterEqual(members.config_age_s(cluster.now), 100.0)

    def test_vm_without_platform_finds_peers_by_its_seeds(self):
        members = MemberSystem("n", "a", "10.0.0.9:1", Random(1), ["10.0.0.1:1"])
        out = Outbox()
        members.tick(1.0, out)
        peer = out.sends[0].peer
        self.assertEqual(members.address_of(peer), "10.0.0.1:1")
        self.assertEqual(names(members.live()), ["n"])
        gossip = Gossip(
            "a", "10.0.0.1:1", 3, "r", 0.0, 4, True, (Beat("x", 1, 1, 3),), ()
        )
        members.receive(1.1, "x", gossip, out)
        members.receive(1.1, "x", VmRows(4, (row("x"), row("y"))), out)
        self.assertEqual(names(members.live("a")), ["n", "x", "y"])
        self.assertEqual(members.best_offer()[:3], (3, "r", "x"))
