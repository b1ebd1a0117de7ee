"""Tests of small accounts, whose tokens the home of one zone collects."""

import unittest

from hibiscusspar.limits.tests.oracle import TOLERANCE
from hibiscusspar.limits.tests.world import World, account

SIZES = {"a": 2, "b": 2, "c": 2}
ZONES = tuple(SIZES)
RATE = 90.0
BURST = 900.0
LARGE = 280.0  # tokens of a request, of the 300 that a zone's part holds


class TestPool(unittest.TestCase):
    def setUp(self):
        yard = account("yard", RATE, BURST, ZONES)
        self.world = World(SIZES, [yard], seed=3)
        self.world.run(30.0)

    def offer(self, seconds, names, tokens=LARGE, load=0.5):
        """Let VMs get requests in turn; return how many were refused."""
        before = self.world.refused
        pause_s = tokens / (load * RATE)
        for index in range(int(seconds / pause_s)):
            self.world.submit(names[index % len(names)], "yard", tokens, 3.0)
            self.world.run(pause_s)
        return self.world.refused - before

    def homes(self):
        found = {}
        for vm in self.world.vms.values():
            office = vm.system._offices.get("yard")
            if office is not None:
                found[vm.zone] = office.home
        return found

    def collector(self):
        return [zone for zone, home in self.homes().items() if home.collects]

    def test_large_requests_in_one_zone_use_the_whole_burst(self):
        self.offer(30.0, ["a0"])
        self.world.run(20.0)
        self.assertEqual(len(self.collector()), 1)
        before = self.world.refused
        for _ in range(3):
            self.world.submit("a0", "yard", LARGE, 3.0)
            self.world.run(1.0)
        self.assertEqual(self.world.refused, before)
        self.assertLessEqual(self.world.over_admitted(), TOLERANCE)

    def test_requests_over_all_zones_are_served_from_one_place(self):
        names = sorted(self.world.vms)
        self.offer(30.0, names)
        self.assertEqual(self.offer(120.0, names), 0)
        self.assertLessEqual(self.world.over_admitted(), TOLERANCE)

    def test_zones_that_are_cut_off_get_their_parts_back(self):
        names = sorted(self.world.vms)
        self.offer(30.0, names)
        (collector,) = self.collector()
        self.world.cuts = {collector}
        self.world.run(40.0)
        for zone in ZONES:
            refused = self.offer(30.0, [f"{zone}0"], tokens=60.0, load=0.25)
            self.assertEqual(refused, 0, zone)
        self.assertLessEqual(self.world.over_admitted(), TOLERANCE)

    def test_spending_all_at_once_stays_within_the_limit(self):
        self.offer(30.0, sorted(self.world.vms))
        for cuts in ({"a"}, {"b"}, {"c"}, set()):
            self.world.cuts = cuts
            self.world.drain(15.0)
        self.assertLessEqual(self.world.over_admitted(), TOLERANCE)
        self.assertGreater(self.world.oracles["yard"].total, 0.8 * RATE * 60.0)
