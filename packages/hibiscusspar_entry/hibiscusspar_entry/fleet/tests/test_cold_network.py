"""Tests that a fleet keeps to the bound on requests at cold targets, with faults.

Arrivals at a cold target are counted in its worst second.
"""

import unittest

from hibiscusspar_entry.fleet.tests.cold_network import (
    ALLOWED,
    COLD_PER_S,
    COLD_START_S,
    ColdNetwork,
)

FLEETS = (9, 78, 360)


class ColdTestCase(unittest.TestCase):
    def run_fleets(self, scenario, targets=4, least=0.0):
        """Run a scenario with fleets of three sizes and check them."""
        for nodes in FLEETS:
            with self.subTest(nodes=nodes):
                network = ColdNetwork(nodes, targets, seed=nodes)
                scenario(network)
                self.check(network, least)

    def check(self, network, least=0.0):
        """Check the bound; ``least`` is the share of the rate that must be used."""
        self.assertLessEqual(network.worst_second(), ALLOWED)
        used = max(len(times) for times in network.sends.values())
        self.assertGreaterEqual(used, least * COLD_PER_S * COLD_START_S)


class TestNewTarget(ColdTestCase):
    def test_messages_are_lost_late_and_doubled(self):
        def scenario(network):
            network.add_target("new", COLD_START_S)
            network.run(5.0)

        self.run_fleets(scenario, least=0.3)

    def test_new_incarnation_under_the_same_name(self):
        def scenario(network):
            network.add_target("t000", COLD_START_S, born=2)
            network.run(5.0)

        self.run_fleets(scenario)

    def test_every_datagram_is_doubled(self):
        network = ColdNetwork(78, 6, doubled=1.0)
        network.add_target("new", COLD_START_S)
        network.run(5.0)
        self.check(network, least=0.3)

    def test_coordinator_fails_while_a_target_is_cold(self):
        def scenario(network):
            network.add_target("new", 4.0)
            network.run(1.0)
            network.change_coordinator(1.2)
            network.run(6.0)

        self.run_fleets(scenario)

    def test_coordinator_fails_just_before_a_target_starts(self):
        def scenario(network):
            network.change_coordinator(2.5)
            network.run(0.5)
            network.add_target("new", 6.0)
            network.run(8.0)

        self.run_fleets(scenario)

    def test_views_are_lost_for_two_seconds(self):
        def scenario(network):
            network.add_target("new", 4.0)
            network.run(0.3)
            network.blind = set(network.nodes[2::2])
            network.run(2.0)
            network.blind = set()
            network.run(4.0)

        self.run_fleets(scenario)

    def test_views_bring_rows_without_a_cold_entry(self):
        def scenario(network):
            network.view_cold = lambda rows: {}
            network.add_target("new", COLD_START_S)
            network.run(5.0)

        self.run_fleets(scenario)

    def test_coordinator_of_an_older_build(self):
        def scenario(network):
            network.view_cold = lambda rows: None
            network.add_target("new", COLD_START_S)
            network.run(5.0)

        self.run_fleets(scenario)

    def test_nodes_are_cut_off(self):
        def scenario(network):
            network.cut = set(network.nodes[1::3])
            network.run(2.0)
            network.add_target("new", 5.0)
            network.run(3.0)
            network.cut = set()
            network.run(4.0)

        self.run_fleets(scenario)


class TestZoneReturns(ColdTestCase):
    def test_all_targets_of_a_zone_start_at_once(self):
        def scenario(network):
            for number in range(8):
                network.add_target(f"new{number}", COLD_START_S)
            network.run(5.0)

        self.run_fleets(scenario, targets=8, least=0.1)

    def test_more_targets_start_than_a_view_names(self):
        network = ColdNetwork(9, 10)
        for number in range(150):
            network.add_target(f"new{number}", COLD_START_S)
        network.run(5.0)
        self.check(network)

    def test_all_nodes_restart_as_well(self):
        def scenario(network):
            for number in range(4):
                network.add_target(f"new{number}", 5.0)
            network.restart_all(1.2)
            network.run(6.0)

        self.run_fleets(scenario)


class TestColdAgain(ColdTestCase):
    def test_warm_target_becomes_cold_without_a_restart(self):
        def scenario(network):
            for name in ("t000", "t003"):
                network.cool(name, 5.0)
            network.run(7.0)

        self.run_fleets(scenario)

    def test_target_becomes_cold_again_and_again(self):
        def scenario(network):
            for _ in range(3):
                network.cool("t001", 2.0)
                network.run(4.0)

        self.run_fleets(scenario)


if __name__ == "__main__":
    unittest.main()
