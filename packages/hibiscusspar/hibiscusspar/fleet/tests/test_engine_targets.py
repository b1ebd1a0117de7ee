"""Tests of the selection of the targets that get orders."""

import unittest
from types import SimpleNamespace

from hibiscusspar.fleet.engine_targets import EngineTargets
from hibiscusspar.fleet.targets import Target

ENGINE = object()
RULES = SimpleNamespace(
    services={
        "draft": SimpleNamespace(engine=ENGINE),
        "plain": SimpleNamespace(engine=None),
    }
)


def target(name, zone="z1", service="draft", draining=False):
    return Target(name, service, "10.0.0.1:80", zone, 8, draining, 1, 0, {}, {})


class TestEngineTargets(unittest.TestCase):
    def setUp(self):
        self.engines = EngineTargets()

    def select(self, *targets, evacuated=frozenset()):
        self.engines.select(RULES, {row.target_id: row for row in targets}, evacuated)

    def orderable(self, *zones):
        return self.engines.orderable(frozenset(zones), lambda row: row.zone).keys()

    def test_nothing_is_selected_without_a_configuration(self):
        self.engines.select(None, {"t1": target("t1")}, frozenset())
        self.assertEqual((self.engines.rows, self.engines.services), ({}, []))

    def test_plain_services_and_evacuated_zones_are_left_out(self):
        plain = target("t2", service="plain")
        self.select(target("t1"), plain, target("t3", "z2"), evacuated={"z2"})
        self.assertEqual(self.engines.rows, {"t1": (target("t1"), ENGINE)})
        self.assertEqual(self.engines.services, ["draft"])

    def test_draining_targets_and_zones_without_a_holder_get_no_orders(self):
        self.select(target("t1"), target("t2", draining=True), target("t3", "z2"))
        self.assertEqual(self.orderable("z1"), {"t1"})
        self.assertEqual(self.orderable("z1", "z2"), {"t1", "t3"})

    def test_change_of_the_directory_counts_at_once(self):
        self.select(target("t1"))
        self.orderable("z1")
        self.select(target("t1", draining=True))
        self.assertFalse(self.orderable("z1"))
