"""Tests of small accounts, whose tokens the home of one zone pools."""

import unittest

from hibiscusspar.limits.tests.cluster import Cluster, account
from hibiscusspar.limits.tests.oracle import TOLERANCE

SIZES = {"a": 2, "b": 2, "c": 2}
ZONES = tuple(SIZES)
RATE = 90.0
BURST = 900.0
LARGE = 280.0  # tokens of a request; a zone's part holds 300


class TestPool(unittest.TestCase):
    def setUp(self):
        yard = account("yard", RATE, BURST, ZONES)
        self.cluster = Cluster(SIZES, [yard], seed=3)
        self.cluster.run(30.0)

    def offer(self, seconds, names, tokens=LARGE, load=0.5):
        """Send requests to the VMs in turn; return how many were refused."""
        before = self.cluster.refused
        pause_s = tokens / (load * RATE)
        for index in range(int(seconds / pause_s)):
            self.cluster.submit(names[index % len(names)], "yard", tokens, 3.0)
            self.cluster.run(pause_s)
        return self.cluster.refused - before

    def homes(self):
        found = {}
        for vm in self.cluster.vms.values():
            hosted = vm.system._homes.get("yard")
            if hosted is not None:
                found[vm.zone] = hosted.home
        return found

    def pooling_zones(self):
        return [zone for zone, home in self.homes().items() if home.is_pooling]

    def test_large_requests_in_one_zone_use_the_whole_burst(self):
        self.offer(30.0, ["a0"])
        self.cluster.run(20.0)
        self.assertEqual(len(self.pooling_zones()), 1)
        before = self.cluster.refused
        for _ in range(3):
            self.cluster.submit("a0", "yard", LARGE, 3.0)
            self.cluster.run(1.0)
        self.assertEqual(self.cluster.refused, before)
        self.assertLessEqual(self.cluster.over_admitted(), TOLERANCE)

    def test_requests_over_all_zones_are_served_by_one_home(self):
        names = sorted(self.cluster.vms)
        self.offer(30.0, names)
        self.assertEqual(self.offer(120.0, names), 0)
        self.assertLessEqual(self.cluster.over_admitted(), TOLERANCE)

    def test_zones_that_are_cut_off_get_their_parts_back(self):
        names = sorted(self.cluster.vms)
        self.offer(30.0, names)
        (pooling_zone,) = self.pooling_zones()
        self.cluster.cuts = {pooling_zone}
        self.cluster.run(40.0)
        for zone in ZONES:
            refused = self.offer(30.0, [f"{zone}0"], tokens=60.0, load=0.25)
            self.assertEqual(refused, 0, zone)
        self.assertLessEqual(self.cluster.over_admitted(), TOLERANCE)

    def test_spending_all_at_once_stays_within_the_limit(self):
        self.offer(30.0, sorted(self.cluster.vms))
        for cuts in ({"a"}, {"b"}, {"c"}, set()):
            self.cluster.cuts = cuts
            self.cluster.drain(15.0)
        self.assertLessEqual(self.cluster.over_admitted(), TOLERANCE)
        self.assertGreater(self.cluster.oracles["yard"].total, 0.8 * RATE * 60.0)
