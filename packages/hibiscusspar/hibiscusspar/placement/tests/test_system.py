"""Tests of the placement system on a simulated cluster."""

import unittest
from collections import Counter
from random import Random

from hibiscusspar.config.model import ServiceSpec, TargetSpec
from hibiscusspar.outbox import Outbox
from hibiscusspar.placement.routing import Dispatch, Refuse, RouteRequest, Wait
from hibiscusspar.placement.tests.cluster import (
    Cluster,
    all_violations,
    make_cluster,
    three_zones,
)


def settled(cluster):
    """Run a cluster until its owners have started and asked all nodes."""
    cluster.run(5.0)
    return cluster


def assert_no_violations(test, cluster):
    """Assert that no violation was recorded."""
    test.assertEqual(all_violations(cluster), [])


class TestOneNode(unittest.TestCase):
    def setUp(self):
        zones = {"caerdydd": 1}
        targets = three_zones(slots=2, concurrency=2, per_zone=1)[:1]
        names = dict.fromkeys(("oak", "ash", "elm"), ("1", "2"))
        self.cluster = settled(Cluster(zones, targets, names, Random(1)))

    def test_request_waits_for_the_load_and_runs(self):
        record = self.cluster.submit("caerdydd-0", "drafting", "oak", "1")
        self.assertEqual(record.state, "waiting")
        self.cluster.run(2.0)
        self.assertEqual(record.state, "answered")
        self.assertLess(record.started_at - record.submitted_at, 0.5)

    def test_resident_adapter_is_dispatched_at_once(self):
        self.cluster.submit("caerdydd-0", "drafting", "oak", "1", 0.1)
        self.cluster.run(2.0)
        record = self.cluster.submit("caerdydd-0", "drafting", "oak", "1")
        self.assertEqual(record.state, "running")

    def test_idle_adapter_is_evicted(self):
        for name in ("oak", "ash", "elm"):
            self.cluster.submit("caerdydd-0", "drafting", name, "1", 0.1)
            self.cluster.run(5.0)
        self.assertEqual(len(self.cluster.answered), 3)
        self.assertEqual(len(self.cluster.engines["drafting-caerdydd-0"].evictions), 1)
        assert_no_violations(self, self.cluster)

    def test_running_adapters_are_not_evicted(self):
        for name in ("oak", "ash"):
            self.cluster.submit("caerdydd-0", "drafting", name, "1", 20.0)
        self.cluster.run(4.0)
        third = self.cluster.submit("caerdydd-0", "drafting", "elm", "1", 0.1)
        self.cluster.run(10.0)
        self.assertEqual(third.state, "waiting")
        self.cluster.run(20.0)
        self.assertEqual(third.state, "answered")
        assert_no_violations(self, self.cluster)

    def test_concurrency_is_bounded(self):
        for _ in range(6):
            self.cluster.submit("caerdydd-0", "drafting", "oak", "1", 1.0)
        self.cluster.run(0.6)
        running = self.cluster.engines["drafting-caerdydd-0"].running
        self.assertEqual(len(running), 2)
        self.cluster.run(5.0)
        self.assertEqual(len(self.cluster.answered), 6)

    def test_failed_load_refuses_with_a_retry_time(self):
        self.cluster.load_failures = 1.0
        self.cluster.submit("caerdydd-0", "drafting", "oak", "1")
        self.cluster.run(2.0)
        (_, decision), *_ = self.cluster.refused
        self.assertEqual(decision.reason, "load failed")
        self.assertGreaterEqual(decision.retry_after_s, 1.0)

    def test_refuses_when_no_owner_is_known(self):
        self.cluster.nodes["caerdydd-0"].members.suspects = {"caerdydd-0"}
        self.cluster.submit("caerdydd-0", "drafting", "oak", "1")
        self.cluster.run(7.0)
        (_, decision), *_ = self.cluster.refused
        self.assertEqual(decision.reason, "no owner known")

    def test_draining_target_gets_no_new_work(self):
        self.cluster.submit("caerdydd-0", "drafting", "oak", "1", 0.1)
        self.cluster.run(2.0)
        node = self.cluster.nodes["caerdydd-0"]
        config = self.cluster.config
        targets = {n: t._replace(draining=True) for n, t in config.targets.items()}
        drained = config._replace(targets=targets)
        out = Outbox()
        node.system.configure(self.cluster.now, drained, out)
        request = RouteRequest("late", "drafting", "oak", "1")
        decision = node.system.route(self.cluster.now, request, out)
        self.assertEqual(decision.reason, "no target")

    def test_old_version_serves_until_the_new_one_is_resident(self):
        self.cluster.submit("caerdydd-0", "drafting", "oak", "1", 0.1)
        self.cluster.run(2.0)
        system = self.cluster.nodes["caerdydd-0"].system
        versions = []

        def get_version(out):
            versions.append(system.serving_version(self.cluster.now, "oak", out))

        self.cluster.act(self.cluster.nodes["caerdydd-0"], get_version)
        self.cluster.run(3.0)
        self.cluster.act(self.cluster.nodes["caerdydd-0"], get_version)
        self.assertEqual(versions, ["1", "2"])


class TestSeveralNodes(unittest.TestCase):
    def setUp(self):
        self.cluster = settled(make_cluster(seed=3))

    def submit_for(self, seconds, rate):
        """Submit requests for adapters of unequal popularity to random nodes."""
        cluster = self.cluster
        end = cluster.now + seconds
        while cluster.now < end:
            vm = cluster.rng.choice(sorted(cluster.nodes))
            adapter = f"a{min(39, int(cluster.rng.expovariate(0.15)))}"
            version = cluster.rng.choice(("1", "2"))
            cluster.submit(vm, "drafting", adapter, version, 0.5)
            cluster.run(cluster.rng.expovariate(rate))

    def test_every_request_is_answered_on_its_version(self):
        self.submit_for(40.0, 4.0)
        self.cluster.run(40.0)
        states = Counter(r.state for r in self.cluster.requests.values())
        self.assertEqual(set(states), {"answered"})
        assert_no_violations(self, self.cluster)

    def test_popular_adapter_gets_more_replicas(self):
        for _ in range(60):
            for vm in sorted(self.cluster.nodes):
                self.cluster.submit(vm, "drafting", "a1", "1", 1.0)
            self.cluster.run(0.3)
        holders = [e for e in self.cluster.engines.values() if "a1@1" in e.resident]
        self.assertGreater(len(holders), 2)

    def test_restarted_engine_is_loaded_again(self):
        self.submit_for(10.0, 3.0)
        self.cluster.run(5.0)
        for name in self.cluster.engines:
            self.cluster.restart_engine(name)
        self.submit_for(10.0, 3.0)
        self.cluster.run(20.0)
        states = Counter(r.state for r in self.cluster.requests.values())
        self.assertEqual(set(states), {"answered"})

    def test_one_adapter_is_loaded_once_for_all_nodes(self):
        for vm in sorted(self.cluster.nodes):
            self.cluster.submit(vm, "drafting", "a7", "1", 0.1)
        self.cluster.run(3.0)
        self.assertEqual(self.cluster.loads, 1)
        self.assertEqual(len(self.cluster.answered), len(self.cluster.nodes))


class TestPlainService(unittest.TestCase):
    def setUp(self):
        self.cluster = settled(make_cluster(seed=5))
        zones = ("caerdydd", "abertawe")
        plain = {
            f"reg-{z}": TargetSpec(f"reg-{z}", "registry", "", z, concurrency=2)
            for z in zones
        }
        config = self.cluster.config
        config = config._replace(
            services={**config.services, "registry": ServiceSpec("registry", "plain")},
            targets={**config.targets, **plain},
        )
        self.system = self.cluster.nodes["caerdydd-0"].system
        self.out = Outbox()
        self.system.configure(self.cluster.now, config, self.out)

    def route(self, name, excluded=()):
        request = RouteRequest(name, "registry", excluded=excluded)
        return self.system.route(self.cluster.now, request, self.out)

    def test_own_zone_first_then_others_then_wait(self):
        targets = [self.route(f"p{i}").target for i in range(4)]
        self.assertEqual(targets, ["reg-caerdydd"] * 2 + ["reg-abertawe"] * 2)
        self.assertIsInstance(self.route("p4"), Wait)
        self.system.finished(self.cluster.now, "p0", "answered", self.out)
        self.assertEqual(self.system.take_ready(), [("registry", "")])
        self.assertIsInstance(self.route("p4"), Dispatch)

    def test_excluded_targets_are_not_taken(self):
        self.assertEqual(self.route("p0", ("reg-caerdydd",)).target, "reg-abertawe")
        both = ("reg-caerdydd", "reg-abertawe")
        self.assertIsInstance(self.route("p1", both), Refuse)
