"""Tests of the placement of adapters on targets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hibiscusspar.fleet.messages import Want
from hibiscusspar.fleet.planner import AdapterPlanner, OrderOutcome
from hibiscusspar.fleet.rules import EngineRule, ModelRule
from hibiscusspar.fleet.targets import Target

MODEL = "base"


MODELS = (ModelRule(MODEL, 16_100.0, 0.95),)


def engine(places):
    return EngineRule(128, 100_000, places, 17_000.0, 2.9, MODELS, 2)


def target(name, adapters=(), born=1, zone="z1"):
    return Target(
        target_id=name,
        service="draft",
        address="10.0.0.9:80",
        zone=zone,
        slots=8,
        draining=False,
        born=born,
        orders_accepted=0,
        models={MODEL: 1},
        adapters={(MODEL, adapter): 1 for adapter in adapters},
    )


def want(adapter, waiting=1, extra_copy=False, zone=""):
    tokens = 1000 * waiting
    return Want("draft", MODEL, adapter, waiting, tokens, 1, extra_copy, zone=zone)


class Fleet:
    """A planner with targets that carry out its orders."""

    def __init__(self, *targets, places=2):
        self.planner = AdapterPlanner()
        self.targets = {t.target_id: (t, engine(places)) for t in targets}
        self.planner.sync(targets)
        self.resident = {t.target_id: dict(t.adapters) for t in targets}
        for name in self.planner.targets_to_query(0.0):
            self.planner.record_report(0.0, name, 0, self.resident[name], {})

    def plan(self, now, wants, backlogs=None, in_use=None):
        return self.planner.next_orders(
            now, self.targets, wants, backlogs or {}, in_use or {}
        )

    def carry_out(self, now, orders, result="accepted"):
        for order in orders:
            self.planner.record_outcome(now, OrderOutcome(order, result))


class TestLoads(unittest.TestCase):
    def test_adapter_is_loaded_where_its_requests_wait_least(self):
        fleet = Fleet(target("t1"), target("t2"))
        (order,) = fleet.plan(1.0, [want("a")], {"t1": 0.5})
        self.assertEqual((order.target_id, order.operation), ("t2", "load"))
        self.assertEqual(order.expected, 0)

    def test_one_load_serves_all_waiting_requests(self):
        fleet = Fleet(target("t1"), target("t2"))
        fleet.carry_out(1.0, fleet.plan(1.0, [want("a")]))
        self.assertEqual(fleet.plan(1.01, [want("a", waiting=9)]), [])

    def test_load_in_progress_is_not_ordered_elsewhere(self):
        fleet = Fleet(target("t1"), target("t2"))
        self.assertEqual(len(fleet.plan(1.0, [want("a")])), 1)
        self.assertEqual(fleet.plan(1.001, [want("a")]), [])

    def test_only_one_eviction_for_an_adapter(self):
        fleet = Fleet(target("t1", ["x", "y"]), target("t2", ["u", "v"]))
        (order,) = fleet.plan(1.0, [want("a")])
        self.assertEqual(order.operation, "unload")
        self.assertEqual(fleet.plan(1.001, [want("a")]), [])

    def test_target_gets_one_order_at_a_time(self):
        fleet = Fleet(target("t1"))
        (first,) = fleet.plan(1.0, [want("a"), want("b")])
        self.assertEqual(fleet.plan(1.0, [want("b")]), [])
        fleet.carry_out(1.0, [first])
        (second,) = fleet.plan(1.0, [want("b")])
        self.assertEqual(second.expected, first.expected + 1)

    def test_unresponsive_target_does_not_block_others(self):
        fleet = Fleet(target("t1"), target("t2"))
        (stuck,) = fleet.plan(1.0, [want("a")])
        (other,) = fleet.plan(1.0, [want("b")])
        self.assertNotEqual(stuck.target_id, other.target_id)

    def test_adapter_held_only_by_excluded_targets_is_loaded_elsewhere(self):
        fleet = Fleet(target("t1", ["a"]), target("t2"), target("t3"))
        wanted = want("a")
        wanted.excluded_targets = ["t1", "t2"]
        (order,) = fleet.plan(1.0, [wanted])
        self.assertEqual((order.target_id, order.adapter), ("t3", "a"))

    def test_adapter_held_only_by_leaving_targets_is_loaded_elsewhere(self):
        """Guards against requests that wait until the last holder is gone."""
        rows = [target("t1", ["a"]), target("t2")]
        fleet = Fleet(*rows)
        self.assertEqual(fleet.plan(1.0, [want("a")]), [])
        fleet.planner.sync([rows[0]._replace(draining=True), rows[1]])
        del fleet.targets["t1"]
        (order,) = fleet.plan(1.1, [want("a")])
        self.assertEqual((order.target_id, order.operation), ("t2", "load"))

    def test_further_copy_only_if_the_backlog_is_long_enough(self):
        fleet = Fleet(target("t1", ["a"]), target("t2"))
        orders = fleet.plan(1.0, [want("a", extra_copy=True)], {"t1": 0.3})
        self.assertEqual(orders, [])
        (order,) = fleet.plan(1.0, [want("a", extra_copy=True)], {"t1": 2.0})
        self.assertEqual(order.target_id, "t2")

    def test_adapter_returns_to_the_target_that_recently_held_it(self):
        fleet = Fleet(target("t1", ["x", "y"]), target("t2", ["u", "v"]))
        busy = {"t2": {(MODEL, "u"), (MODEL, "v")}}
        self.assertEqual(_load_adapter(fleet, 1.0, "a", busy), "t1")
        self.assertEqual(_load_adapter(fleet, 2.0, "b", busy), "t1")
        self.assertEqual(_load_adapter(fleet, 3.0, "c", busy), "t1")
        self.assertEqual(_load_adapter(fleet, 4.0, "a", {}), "t1")


def _load_adapter(fleet, now, adapter, in_use):
    while True:
        (order,) = fleet.plan(now, [want(adapter)], {}, in_use)
        fleet.carry_out(now, [order], "done" if order.operation == "unload" else "")
        if order.operation == "load":
            return order.target_id


class TestEviction(unittest.TestCase):
    def test_adapter_in_use_is_never_evicted(self):
        fleet = Fleet(target("t1", ["x", "y"]))
        in_use = {"t1": {(MODEL, "x"), (MODEL, "y")}}
        self.assertEqual(fleet.plan(1.0, [want("a")], {}, in_use), [])

    def test_least_recently_used_adapter_is_evicted_first(self):
        fleet = Fleet(target("t1", ["x", "y"]))
        fleet.planner.used(1.0, "t1", [(MODEL, "x")])
        fleet.planner.used(2.0, "t1", [(MODEL, "y")])
        (order,) = fleet.plan(5.0, [want("a")])
        self.assertEqual((order.operation, order.adapter), ("unload", "x"))

    def test_frequently_requested_adapter_is_kept(self):
        # Few adapters are requested several times a second, most others once.
        fleet = Fleet(target("t1", ["hot", "rare"]))
        for tenth in range(30):
            fleet.planner.record_starts(tenth / 10, {(MODEL, "hot"): 1})
        fleet.planner.record_starts(3.0, {(MODEL, "rare"): 1})
        fleet.planner.used(3.0, "t1", [(MODEL, "hot")])
        fleet.planner.used(4.0, "t1", [(MODEL, "rare")])
        (order,) = fleet.plan(9.0, [want("b")])
        self.assertEqual(order[1:4], ("unload", MODEL, "rare"))

    def test_formerly_popular_adapter_is_evicted_once_demand_has_moved(self):
        fleet = Fleet(target("t1", ["old", "new"]))
        fleet.planner.record_starts(0.0, {(MODEL, "old"): 20})
        for second in range(40, 46):
            fleet.planner.record_starts(float(second), {(MODEL, "new"): 1})
        (order,) = fleet.plan(48.0, [want("b")])
        self.assertEqual(order[1:4], ("unload", MODEL, "old"))

    def test_adapter_with_another_copy_is_evicted_first(self):
        fleet = Fleet(target("t1", ["x", "y"]), target("t2", ["x"]), places=2)
        fleet.planner.record_starts(1.0, {(MODEL, "x"): 1, (MODEL, "y"): 1})
        fleet.planner.used(1.0, "t1", [(MODEL, "y")])
        fleet.planner.used(2.0, "t1", [(MODEL, "x")])
        (order,) = fleet.plan(9.0, [want("b")], {"t2": 9.0})
        self.assertEqual(order[1:4], ("unload", MODEL, "x"))

    def test_no_proactive_copy_while_requests_wait_for_places(self):
        # All places are taken, and requests wait for further adapters.
        fleet = Fleet(target("t1", ["hot"]), target("t2", ["x"]), places=1)
        for tenth in range(100):
            fleet.planner.record_starts(tenth / 10, {(MODEL, "hot"): 1})
        self.assertEqual(len(fleet.plan(10.0, [])), 1)
        fleet = Fleet(target("t1", ["hot"]), target("t2", ["x"]), places=1)
        for tenth in range(100):
            fleet.planner.record_starts(tenth / 10, {(MODEL, "hot"): 1})
        waits = Want("draft", MODEL, "b", 1, 1000, 1, False, ["t1", "t2"])
        self.assertEqual(fleet.plan(10.0, [waits]), [])

    def test_requests_without_an_adapter_need_no_copies(self):
        fleet = Fleet(target("t1"), target("t2"), places=4)
        for tenth in range(100):
            fleet.planner.record_starts(tenth / 10, {(MODEL, ""): 3})
        self.assertEqual(fleet.plan(10.0, []), [])

    def test_load_of_a_resident_adapter_is_not_counted(self):
        fleet = Fleet(target("t1"), places=4)
        fleet.carry_out(1.0, fleet.plan(1.0, [want("a")]), "done")
        (order,) = fleet.plan(1.1, [want("b")])
        self.assertEqual(order.expected, 0)

    def test_large_fleet_allows_more_concurrent_loads(self):
        # Many rare adapters are requested from a fleet of many targets.
        rows = [target(f"t{i:02}") for i in range(45)]
        fleet = Fleet(*rows, places=4)
        orders = fleet.plan(1.0, [want(f"a{i}") for i in range(60)])
        self.assertEqual(len(orders), 40)

    def test_adapter_is_loaded_in_the_zone_of_its_requests(self):
        fleet = Fleet(target("t1", zone="z1"), target("t2", zone="z2"))
        (order,) = fleet.plan(1.0, [want("a", zone="z2")])
        self.assertEqual(order.target_id, "t2")

    def test_adapter_in_demand_gets_copies_before_requests_wait(self):
        # Many nodes send to the only target that holds an adapter.
        rows = [target("t1", ["hot"], zone="z1"), target("t2", zone="z1")]
        fleet = Fleet(*rows, target("t3", zone="z2"), places=4)
        for tenth in range(100):
            fleet.planner.record_starts(tenth / 10, {(MODEL, "hot"): 1})
        (order,) = fleet.plan(10.0, [])
        self.assertEqual((order.target_id, order.adapter), ("t3", "hot"))
        fleet.carry_out(10.0, [order])
        self.assertEqual(fleet.plan(10.1, []), [])

    def test_proactive_copy_does_not_evict_an_adapter_in_demand(self):
        fleet = Fleet(target("t1", ["hot"]), target("t2", ["x"]), places=1)
        for tenth in range(100):
            fleet.planner.record_starts(
                tenth / 10, {(MODEL, "hot"): 1, (MODEL, "x"): 1}
            )
        self.assertEqual(fleet.plan(10.0, []), [])

    def test_recently_used_adapter_is_kept(self):
        fleet = Fleet(target("t1", ["x", "y"]))
        fleet.planner.used(5.0, "t1", [(MODEL, "x"), (MODEL, "y")])
        self.assertEqual(fleet.plan(5.1, [want("a")]), [])


class TestUnansweredOrders(unittest.TestCase):
    def test_target_is_queried_before_the_next_order(self):
        fleet = Fleet(target("t1"))
        fleet.carry_out(1.0, fleet.plan(1.0, [want("a")]), "lost")
        self.assertEqual(fleet.plan(1.0, [want("a")]), [])
        self.assertEqual(fleet.planner.targets_to_query(1.1), [])
        self.assertEqual(fleet.planner.targets_to_query(1.4), ["t1"])
        fleet.planner.record_report(1.5, "t1", 0, {}, {})
        (order,) = fleet.plan(1.6, [want("a")])
        # If the lost order arrives after this one, the target refuses it.
        self.assertEqual(order.expected, 0)

    def test_late_order_is_found_in_the_report(self):
        fleet = Fleet(target("t1"))
        fleet.carry_out(1.0, fleet.plan(1.0, [want("a")]), "lost")
        fleet.planner.targets_to_query(1.4)
        fleet.planner.record_report(1.5, "t1", 1, {}, {(MODEL, "a"): 1})
        self.assertEqual(fleet.plan(1.6, [want("a")]), [])

    def test_state_of_a_restarted_target_is_newer_than_all_before(self):
        fleet = Fleet(target("t1"))
        for now in range(5):
            fleet.carry_out(now, fleet.plan(now, [want(f"a{now}")]))
        before = fleet.planner.held["t1"].number
        fleet.planner.sync([target("t1", born=2)])
        fleet.planner.record_report(6.0, "t1", 0, {}, {})
        self.assertGreater(fleet.planner.held["t1"].number, before)

    def test_restarted_target_starts_empty(self):
        fleet = Fleet(target("t1", ["x", "y"]))
        restarted = target("t1", [], born=2)
        fleet.planner.sync([restarted])
        self.assertEqual(fleet.planner.held["t1"].copies, {})
        self.assertEqual(fleet.planner.targets_to_query(2.0), ["t1"])


class TestModels(unittest.TestCase):
    def test_target_that_restarted_empty_gets_its_model_before_adapters(self):
        fleet = Fleet(target("t1")._replace(models={}))
        (order,) = fleet.plan(1.0, [want("a")])
        self.assertEqual(
            (order.operation, order.model, order.adapter), ("load", MODEL, "")
        )
        fleet.carry_out(1.0, [order])
        self.assertEqual(fleet.plan(1.1, [want("a")]), [])
        (order,) = fleet.plan(2.5, [want("a")])
        self.assertEqual(order.adapter, "a")

    def test_model_is_ordered_again_if_the_order_was_lost(self):
        fleet = Fleet(target("t1")._replace(models={}))
        fleet.carry_out(1.0, fleet.plan(1.0, []), "lost")
        fleet.planner.targets_to_query(1.4)
        fleet.planner.record_report(1.5, "t1", 0, {}, {}, ())
        (order,) = fleet.plan(1.6, [])
        self.assertEqual(order.model, MODEL)

    def test_many_empty_targets_do_not_overload_the_weight_store(self):
        rows = [target(f"t{i}")._replace(models={}) for i in range(30)]
        self.assertLessEqual(len(Fleet(*rows).plan(1.0, [])), 2.9 * 5 * 1.1 + 3)


class TestVersions(unittest.TestCase):
    def test_older_copy_is_replaced_when_it_is_requested(self):
        fleet = Fleet(target("t1", ["a"]))
        fleet.planner.announce(MODEL, "a", 2)
        (order,) = fleet.plan(1.0, [want("a")])
        self.assertEqual((order.operation, order.version), ("load", 2))

    def test_copy_in_use_is_kept_and_another_is_loaded(self):
        fleet = Fleet(target("t1", ["a"]), target("t2"))
        fleet.planner.announce(MODEL, "a", 2)
        (order,) = fleet.plan(1.0, [want("a")], {}, {"t1": {(MODEL, "a")}})
        self.assertEqual((order.target_id, order.version), ("t2", 2))

    def test_adapter_in_use_gets_its_new_version_before_it_is_requested(self):
        fleet = Fleet(target("t1", ["a", "b"]), target("t2"))
        fleet.planner.announce(MODEL, "a", 2)
        fleet.planner.announce(MODEL, "b", 2)
        fleet.planner.used(9.5, "t1", [(MODEL, "a")])
        (found,) = fleet.planner.outdated(10.0, "draft")
        self.assertEqual((found.adapter, found.extra_copy), ("a", False))

    def test_adapter_with_a_copy_of_the_newest_version_is_not_outdated(self):
        fleet = Fleet(target("t1", ["a"]))
        fleet.planner.used(9.5, "t1", [(MODEL, "a")])
        self.assertEqual(fleet.planner.outdated(10.0, "draft"), [])


class TestPlaces(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abcdefgh"),
                st.sampled_from(["accepted", "done", "refused", "lost"]),
                st.booleans(),
            ),
            max_size=60,
        )
    )
    def test_never_more_adapters_than_places(self, steps):
        fleet = Fleet(target("t1"), places=3)
        resident, accepted, late = set(), 0, []
        now = 0.0
        for adapter, result, runs_late in steps:
            now += 0.5
            for name in fleet.planner.targets_to_query(now):
                state = {(MODEL, a): 1 for a in resident}
                fleet.planner.record_report(now, name, accepted, state, {})
            for order in fleet.plan(now, [want(adapter)]):
                if order.expected != accepted:
                    # A late order arrived first, so the target refuses this one.
                    result = "refused"
                if result in ("accepted", "done"):
                    accepted += 1
                    _apply(resident, order)
                elif result == "lost":
                    late.append(order)
                fleet.carry_out(now, [order], result)
            if runs_late and late:
                order = late.pop(0)
                if order.expected == accepted:
                    accepted += 1
                    _apply(resident, order)
            self.assertLessEqual(len(resident), 3)


def _apply(resident, order):
    if order.operation == "load":
        resident.add(order.adapter)
    else:
        resident.discard(order.adapter)
