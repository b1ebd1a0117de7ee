"""Tests of permits for requests to targets that have named a limit."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusspar.fleet.permits import (
    NodePermits,
    PermitDemand,
    PermitIssuer,
    PermitPolicy,
)

TICK_S = 0.02
WINDOW_S = 4.0


def allowed(per_s):
    """Return the requests in a window that the platform allows for a limit."""
    return 1.5 * per_s * WINDOW_S + 5


def most_in_window(times):
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


class Fleet:
    """Nodes whose requests always wait for one target, and their coordinator.

    ``silent`` holds the nodes whose reports don't arrive and that get no views.
    """

    def __init__(self, nodes, per_s, rng):
        self.now = 100.0
        self.per_s = per_s
        self.silent = frozenset()
        self.sent = []
        self._rng = rng
        self._issuer = PermitIssuer()
        self._nodes = [NodePermits() for _ in range(nodes)]

    def run(self, seconds, waiting=20):
        """Let all nodes send whatever their permits allow."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_S
            self._issue(waiting)
            for node in self._nodes:
                while node.count(self.now, "t1", self.per_s) > 0:
                    node.use("t1")
                    self.sent.append(self.now)

    def _issue(self, waiting):
        count = len(self._nodes)
        in_touch = [n for n in range(count) if n not in self.silent]
        demands = [
            # Reports are up to a tenth of a second old.
            PermitDemand(f"n{n}", self.now - self._rng.random() / 10, {"t1": waiting})
            for n in in_touch
        ]
        limits = {"t1": self.per_s}
        issued = self._issuer.issue(self.now, limits, demands, len(in_touch) / count)
        for n in in_touch:
            self._nodes[n].apply_view(self.now, count, True)
            self._nodes[n].add(self.now, issued.get(f"n{n}", ()))


class TestLimitOfAllNodes(unittest.TestCase):
    def test_nodes_together_keep_to_a_limit_of_one_request_a_second(self):
        for nodes in (1, 9, 78, 360):
            with self.subTest(nodes=nodes):
                fleet = Fleet(nodes, 1.0, Random(nodes))
                fleet.run(12.0)
                self.assertLessEqual(most_in_window(fleet.sent), allowed(1.0))
                self.assertGreater(len(fleet.sent), 9)

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(
        nodes=st.integers(1, 40),
        per_s=st.floats(0.0, 60.0),
        silent=st.integers(0, 40),
        seed=st.integers(0, 1000),
    )
    def test_nodes_that_are_cut_off_count(self, nodes, per_s, silent, seed):
        fleet = Fleet(nodes, per_s, Random(seed))
        fleet.run(2.0)
        fleet.silent = frozenset(range(min(silent, nodes)))
        fleet.run(4.0)
        fleet.silent = frozenset()
        fleet.run(2.0)
        self.assertLessEqual(most_in_window(fleet.sent), allowed(per_s))

    def test_permits_go_to_nodes_in_turn(self):
        issuer, counts = PermitIssuer(), {}
        for step in range(100):
            now = 100.0 + step * TICK_S
            demands = [PermitDemand(name, now, {"t1": 50}) for name in ("n1", "n2")]
            for name, targets in issuer.issue(now, {"t1": 10.0}, demands, 1.0).items():
                counts[name] = counts.get(name, 0) + len(targets)
        self.assertLessEqual(abs(counts["n1"] - counts["n2"]), 1)
        self.assertGreaterEqual(sum(counts.values()), 18)

    def test_nodes_without_demand_get_none(self):
        issuer = PermitIssuer()
        issuer.issue(100.0, {"t1": 5.0}, [], 1.0)
        demand = PermitDemand("n1", 101.0, {"t1": 1})
        self.assertEqual(
            issuer.issue(101.0, {"t1": 5.0}, [demand], 1.0), {"n1": ["t1"]}
        )
        self.assertEqual(issuer.issue(101.5, {"t1": 5.0}, [demand], 1.0), {})


class TestNodePermits(unittest.TestCase):
    def test_permit_is_used_once_and_expires(self):
        node = NodePermits()
        node.apply_view(100.0, 3, True)
        node.add(100.0, ["t1", "t1"])
        self.assertEqual(node.count(100.1, "t1", 1.0), 2)
        node.use("t1")
        self.assertEqual(node.count(100.1, "t1", 1.0), 1)
        expired_at = 100.0 + PermitPolicy().lifetime_s
        self.assertEqual(node.count(expired_at, "t1", 1.0), 0)

    def test_no_permit_while_the_coordinator_issues_them(self):
        node = NodePermits()
        for step in range(100):
            now = 100.0 + step / 10
            node.apply_view(now, 1, True)
            self.assertEqual(node.count(now, "t1", 50.0), 0)

    def test_views_of_an_older_build_leave_a_node_its_share(self):
        node = NodePermits()
        node.apply_view(100.0, 4, False)
        self.assertEqual(node.count(100.0, "t1", 2.0), 0)
        self.assertEqual(node.count(101.9, "t1", 2.0), 0)
        self.assertEqual(node.count(102.1, "t1", 2.0), 1)
        node.use("t1")
        self.assertEqual(node.count(102.1, "t1", 2.0), 0)

    def test_expected_wait_grows_with_the_requests_that_wait(self):
        node = NodePermits()
        node.apply_view(100.0, 4, True)
        self.assertEqual(node.wait_s(100.0, "t1", 2.0, 0), 0.5)
        self.assertEqual(node.wait_s(100.0, "t1", 2.0, 9), 5.0)


if __name__ == "__main__":
    unittest.main()
