"""Tests of many nodes of which some lose their links to all targets."""

import unittest

from hibiscusspar_entry.fleet.tests.crash_network import NetworkFaults
from hibiscusspar_entry.fleet.tests.path_network import SERVICE, ZONES, PathNetwork

# From then on the platform compares the nodes.
STABLE_WINDOW_S = 3.0
POOR_NETWORK = NetworkFaults(lost=0.4, doubled=0.1, late=0.2)
# Share of the requests of nodes without a path that find a proxy. The platform wants
# two thirds of what the other nodes serve.
MIN_SHARE = 0.95
# Requests at one proxy, as a multiple of what an even division gives.
MAX_UNEVENNESS = 2.5


class TestNodesWithoutAPathFindAProxy(unittest.TestCase):
    def run_cut(self, size, cut, faults=None):
        network = PathNetwork(size, faults)
        network.run(3.0)
        cut_at = network.clock.now
        network.cut(cut)
        network.run(8.0)
        compared = [p for p in network.proxied if p.at > cut_at + STABLE_WINDOW_S]
        self.assertEqual({p.node for p in compared}, set(cut))
        served = [p for p in compared if p.proxy is not None]
        self.assertGreaterEqual(len(served), MIN_SHARE * len(compared))
        cut_names = {f"n{n}" for n in cut}
        self.assertEqual({p.proxy for p in served} & cut_names, set())
        return network

    def check_load(self, network, cut):
        sound = [node for node in network.nodes if node.number not in cut]
        even = sum(node.open for node in sound) / len(sound)
        busiest = max(node.open for node in sound)
        self.assertLess(busiest, MAX_UNEVENNESS * even)

    def test_one_of_nine(self):
        self.run_cut(9, [4])

    def test_five_of_nine(self):
        cut = [0, 2, 4, 6, 8]
        self.check_load(self.run_cut(9, cut), cut)

    def test_zone_of_nine(self):
        cut = [n for n in range(9) if n % ZONES == 0]
        self.check_load(self.run_cut(9, cut), cut)

    def test_five_of_nine_on_a_poor_network(self):
        self.run_cut(9, [0, 2, 4, 6, 8], POOR_NETWORK)

    def test_zone_of_seventy_eight_on_a_poor_network(self):
        cut = [n for n in range(78) if n % ZONES == 0]
        self.check_load(self.run_cut(78, cut, POOR_NETWORK), cut)

    def test_zone_of_360_on_a_poor_network(self):
        cut = [n for n in range(360) if n % ZONES == 0]
        self.check_load(self.run_cut(360, cut, POOR_NETWORK), cut)

    def test_paths_are_used_again_after_the_cut(self):
        network = self.run_cut(78, list(range(26)))
        network.heal()
        network.run(2.5)
        self.assertFalse(any(n.watch.is_cut(SERVICE) for n in network.nodes))

    def test_nothing_is_exchanged_without_a_cut(self):
        network = PathNetwork(78)
        network.run(5.0)
        self.assertEqual(sum(node.received_bytes for node in network.nodes), 0)

    def test_no_node_offers_what_all_have_lost(self):
        network = PathNetwork(9)
        network.run(3.0)
        network.cut(range(9))
        network.run(5.0)
        last = [p for p in network.proxied if p.at > network.clock.now - 1.0]
        self.assertTrue(last)
        self.assertEqual({p.proxy for p in last}, {None})
