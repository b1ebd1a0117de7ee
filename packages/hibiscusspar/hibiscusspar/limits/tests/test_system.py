"""Tests of limits over several VMs in typical situations."""

import unittest

from hibiscusspar.limits.node_limit import Reservation, Shortage
from hibiscusspar.limits.tests.cluster import Cluster, account
from hibiscusspar.limits.tests.oracle import TOLERANCE


def offer(cluster, seconds, rate, vms=None, tokens=10.0):
    """Send requests at a constant rate to the VMs in turn; return how many ran."""
    names = vms or sorted(cluster.vms)
    gap = tokens / rate
    before = cluster.admitted
    for index in range(int(seconds / gap)):
        name = names[index % len(names)]
        cluster.schedule(index * gap, cluster.submit, name, "yard", tokens)
    cluster.run(seconds)
    return cluster.admitted - before


class TestLimitSystem(unittest.TestCase):
    def check(self, cluster):
        self.assertLessEqual(cluster.over_admitted(), TOLERANCE)

    def test_requests_within_the_rate_are_not_refused(self):
        cluster = Cluster({"a": 3, "b": 3}, [account()])
        cluster.run(10.0)
        offer(cluster, 60.0, 95.0)
        self.assertEqual(cluster.refused, 0)
        self.check(cluster)

    def test_demand_beyond_the_rate_gets_the_rate(self):
        cluster = Cluster({"a": 3, "b": 3}, [account()])
        cluster.run(10.0)
        ran = offer(cluster, 60.0, 400.0)
        self.assertGreater(ran * 10.0, 0.97 * (100.0 * 60.0 + 400.0))
        self.check(cluster)

    def test_demand_in_one_zone_borrows_from_the_other(self):
        cluster = Cluster({"a": 3, "b": 3}, [account()])
        cluster.run(10.0)
        ran = offer(cluster, 60.0, 90.0, vms=["a0", "a1", "a2"])
        self.assertGreater(ran * 10.0, 0.95 * 90.0 * 60.0)
        self.check(cluster)

    def test_new_vm_repeats_its_request_until_a_home_has_answered(self):
        cluster = Cluster({"a": 2}, [account(zones=("a",))])
        cluster.run(10.0)
        cluster.isolated = {"a9"}
        cluster.add_vm("a9", "a")
        cluster.run(2.0)
        cluster.isolated = set()
        cluster.run(2.5)
        self.assertEqual(cluster.vms["a9"].system.unleased_accounts, [])

    def test_larger_than_burst_is_refused_for_good(self):
        cluster = Cluster({"a": 1}, [account(zones=("a",))])
        cluster.run(10.0)
        answer = cluster.request("a0", "yard", 400.1)
        self.assertEqual(answer.reason, "larger-than-burst")
        self.assertIsInstance(cluster.request("a0", "other", 1.0), Shortage)

    def test_most_of_the_burst_can_go_to_one_request(self):
        cluster = Cluster({"a": 3}, [account(zones=("a",))])
        cluster.run(20.0)
        answer = None
        for _ in range(100):
            answer = cluster.request("a0", "yard", 300.0)
            if isinstance(answer, Reservation):
                break
            cluster.run(0.1)
        self.assertIsInstance(answer, Reservation)
        self.check(cluster)

    def test_home_restarted_on_the_same_vm(self):
        cluster = Cluster({"a": 3}, [account(zones=("a",))])
        cluster.run(10.0)
        offer(cluster, 10.0, 95.0)
        home = cluster.roles["limit-home/a/yard"][0]
        others = [name for name in cluster.vms if name != home]
        cluster.start_process(home)
        ran = offer(cluster, 20.0, 60.0, vms=others)
        self.assertGreater(ran * 10.0, 0.9 * 60.0 * 20.0)
        offer(cluster, 60.0, 400.0)
        self.check(cluster)

    def test_home_replaced_by_another_vm(self):
        cluster = Cluster({"a": 3, "b": 3}, [account()])
        cluster.run(10.0)
        offer(cluster, 10.0, 95.0)
        cluster.remove_vm(cluster.roles["limit-home/a/yard"][0])
        ran = offer(cluster, 60.0, 200.0)
        self.assertGreater(ran * 10.0, 0.8 * 100.0 * 60.0)
        self.check(cluster)

    def test_limit_lowered_and_raised_while_leases_are_out(self):
        cluster = Cluster({"a": 2, "b": 2}, [account()])
        cluster.run(10.0)
        offer(cluster, 10.0, 400.0)
        cluster.publish([account(rate=40.0, burst=100.0)])
        offer(cluster, 40.0, 400.0)
        parts = cluster.objects["yard"][0]["parts"].values()
        self.assertAlmostEqual(sum(part[0] for part in parts), 40.0)
        cluster.publish([account(rate=200.0, burst=400.0)])
        cluster.run(5.0)
        ran = offer(cluster, 40.0, 400.0)
        self.assertGreater(ran * 10.0, 0.9 * 200.0 * 40.0)
        self.check(cluster)

    def test_zone_cut_off_goes_on_with_its_part(self):
        cluster = Cluster({"a": 3, "b": 3}, [account()])
        cluster.run(10.0)
        cluster.cuts.add("a")
        offer(cluster, 60.0, 95.0)
        self.assertEqual(cluster.refused, 0)
        self.check(cluster)

    def test_unused_tokens_come_back(self):
        cluster = Cluster({"a": 2}, [account(zones=("a",))])
        cluster.run(10.0)
        ran = 0
        for _ in range(100):
            answer = cluster.request("a0", "yard", 40.0, used=4.0, lasts_s=0.4)
            ran += isinstance(answer, Reservation)
            cluster.run(0.5)
        self.assertGreaterEqual(ran, 99)
        self.check(cluster)
