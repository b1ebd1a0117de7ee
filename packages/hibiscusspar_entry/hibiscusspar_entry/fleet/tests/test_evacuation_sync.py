"""Tests of the evacuated zones that a node knows from the store and from views."""

import unittest
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from hibiscusspar.fleet.evacuations import mark_evacuated
from hibiscusspar.fleet.messages import NodeReport
from hibiscusspar.fleet.targets import TargetDirectory
from hibiscusspar_entry.fleet.evacuation_sync import EvacuationSync
from hibiscusspar_entry.fleet.events import (
    EVACUATION_OF_UNKNOWN_ZONE,
    EVACUATIONS_UNREAD,
    ZONE_EVACUATED,
    ZONE_RETURNED,
)
from hibiscusspar_entry.fleet.open_zone_orders import OpenZoneOrders
from hibiscusspar_entry.fleet.relayed_state import AgeLimits, RelayedState
from hibiscusspar_entry.fleet.store_backoff import StoreBackoff
from hibiscusspar_entry.fleet.store_sync import ConfigSync, TargetSync
from hibiscusspar_entry.fleet.store_watch import StoreWatch
from hibiscusspar_entry.fleet.tests.test_request_scheduler import (
    Clock,
    SchedulerTestCase,
    target,
    view,
)
from hibiscusspar_wire.platform_errors import RefusedError

WAIT_S = 2.0
# 0.72 of a bound of 5 s.
LIMIT_S = 3.6
TARGETS = {name: target(name, zone=zone) for name, zone in (("t1", "z1"), ("t2", "z2"))}


def stored(name, value=None):
    return SimpleNamespace(name=name, value=value)


class EvacuationTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.published = []
        self.cold = []
        self.records = []
        replaced = "hibiscusspar_entry.fleet.evacuation_sync.write_records"
        patcher = patch(replaced, self.records.extend)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.sync = EvacuationSync(
            self.clock, ("z1", "z2"), WAIT_S, self._publish, Random(1)
        )
        self.sync.presume_cold = self._presume_cold
        self.relayed_state = RelayedState(
            self.clock,
            ConfigSync(None, self.clock, None),
            TargetSync(None, self.clock, TargetDirectory(), lambda rows: None, 2.4),
            lambda *announcement: None,
            AgeLimits(1.4, 1.4, LIMIT_S),
            self.sync,
        )
        self.number = 0

    def _publish(self, targets, zones):
        self.published.append((targets, zones))

    def _presume_cold(self, target_ids):
        self.cold.append((target_ids, len(self.published)))

    def list(self, *zones):
        self.sync.on_listing([stored(zone) for zone in zones], self.clock.now)

    def change(self, *changes, waited_s=0.0):
        sent_at = self.clock.now
        self.clock.now += waited_s
        events = [(deleted, stored(zone)) for zone, deleted in changes]
        self.sync.on_changes(events, sent_at)

    def apply_view(self, evacuated, age_s=0.0, sent_ago_s=0.0, **changes):
        """Apply a view that answers a report sent some seconds ago."""
        self.number += 1
        report = NodeReport("n1", "s", "z", self.number, {}, {}, [], {}, {})
        self.clock.now -= sent_ago_s
        self.relayed_state.complete_report(report)
        self.clock.now += sent_ago_s
        received = view(acked={"n1": self.number})
        received.evacuated, received.evacuation_age_s = evacuated, age_s
        for name, value in changes.items():
            setattr(received, name, value)
        self.relayed_state.apply_view(received, "n1")

    @property
    def zones(self):
        return sorted(self.sync.zones)

    def logged(self, kind):
        return [fields for found, fields in self.records if found is kind]


class TestFirstRead(EvacuationTestCase):
    def test_no_target_is_used_before_the_list_is_known(self):
        # A node that has restarted in an evacuation would send to the zone otherwise.
        self.sync.set_targets(TARGETS)
        self.assertEqual(self.published, [])
        self.list("z1")
        self.assertEqual(self.published, [(TARGETS, {"z1"})])

    def test_list_of_a_view_is_enough(self):
        self.sync.set_targets(TARGETS)
        self.apply_view(["z1"])
        self.assertEqual(self.published, [(TARGETS, {"z1"})])

    def test_view_of_a_node_that_does_not_know_is_not(self):
        self.sync.set_targets(TARGETS)
        self.apply_view(None)
        self.assertEqual(self.published, [])
        self.assertFalse(self.relayed_state.evacuations_are_current())

    def test_targets_are_used_if_the_store_does_not_answer(self):
        class Store:
            def list(self, kind):
                raise RefusedError("store.list", "10.0.0.9:80", "answered 503")

        backoff = StoreBackoff(self.clock, Random(1), lambda: 1, lambda: False)
        current = self.relayed_state.evacuations_are_current
        watch = StoreWatch(
            Store(), "evacuations", self.clock, 2.0, 0.1, self.sync, current, backoff
        )
        watch.on_store_lost = self.sync.on_store_lost
        self.sync.set_targets(TARGETS)
        for _ in range(3):
            watch.poll_once()
        self.assertEqual(self.published, [(TARGETS, frozenset())])
        self.assertEqual(self.logged(EVACUATIONS_UNREAD), [{"targets": 2}])


class TestSources(EvacuationTestCase):
    def setUp(self):
        super().setUp()
        self.sync.set_targets(TARGETS)

    def test_store_and_view_tell_of_the_same_evacuation_once(self):
        self.list()
        self.change(("z1", False))
        self.change(("z1", False))
        self.clock.now += 0.2
        self.apply_view(["z1"], 0.1)
        self.apply_view(["z1"], 0.1)
        self.assertEqual([zones for _, zones in self.published], [set(), {"z1"}])
        self.assertEqual(len(self.logged(ZONE_EVACUATED)), 1)

    def test_late_view_does_not_undo_what_the_store_told(self):
        self.list("z1")
        self.clock.now += 0.1
        self.apply_view([], age_s=0.3)
        self.assertEqual(self.zones, ["z1"])
        self.clock.now += 0.5
        self.apply_view([], age_s=0.3)
        self.assertEqual(self.zones, [])

    def test_older_list_of_a_former_coordinator_is_ignored(self):
        self.apply_view(["z1"], 0.1, start="s2", node="successor")
        self.clock.now += 0.1
        self.apply_view([], 1.0, start="s1", node="former")
        self.assertEqual(self.zones, ["z1"])

    def test_view_that_answers_no_report_of_this_node_tells_nothing(self):
        self.list()
        received = view(acked={"n1": 77})
        received.evacuated = ["z1"]
        self.relayed_state.apply_view(received, "n1")
        self.assertEqual(self.zones, [])

    def test_source_for_all_nodes_ignores_views(self):
        self.list("z1")
        self.relayed_state.set_source(True)
        self.clock.now += 1.0
        self.apply_view([])
        self.assertEqual(self.zones, ["z1"])
        self.assertFalse(self.relayed_state.evacuations_are_current())

    def test_last_state_applies_while_the_store_is_down(self):
        self.list("z1")
        self.sync.on_store_lost()
        self.clock.now += 60.0
        self.assertEqual(self.zones, ["z1"])
        self.assertEqual(self.logged(EVACUATIONS_UNREAD), [])


class TestAge(EvacuationTestCase):
    def sent_age_s(self):
        sent = view()
        self.sync.complete_view(sent)
        return sent.evacuation_age_s

    def test_unknown_list_is_not_sent(self):
        sent = view()
        self.sync.complete_view(sent)
        self.assertIsNone(sent.evacuated)

    def test_age_counts_from_when_the_call_was_sent(self):
        self.list()
        self.change(("z1", False), waited_s=0.8)
        self.assertAlmostEqual(self.sent_age_s(), 0.8)

    def test_wait_without_a_change_confirms_the_list_until_its_end(self):
        # Views would otherwise be too old for the bound once in each wait.
        self.list()
        self.change(waited_s=WAIT_S + 0.1)
        self.assertAlmostEqual(self.sent_age_s(), 0.1)

    def test_answer_before_the_end_of_its_wait_confirms_less(self):
        self.list()
        self.change(waited_s=1.0)
        self.assertAlmostEqual(self.sent_age_s(), 1.0)

    def test_store_is_read_once_the_relayed_list_is_too_old(self):
        # The coordinator is lost, or cut off from the store.
        self.apply_view([], age_s=1.0, sent_ago_s=0.5)
        self.clock.now += LIMIT_S - 1.6
        self.assertTrue(self.relayed_state.evacuations_are_current())
        self.clock.now += 0.2
        self.assertFalse(self.relayed_state.evacuations_are_current())
        self.apply_view([], age_s=LIMIT_S + 0.05)
        self.assertFalse(self.relayed_state.evacuations_are_current())


class TestReturn(EvacuationTestCase):
    def test_targets_are_presumed_cold_before_they_are_used_again(self):
        self.sync.set_targets(TARGETS)
        self.list("z1")
        self.clock.now += 7.0
        self.change(("z1", True))
        self.assertEqual(self.cold, [(["t1"], 1)])
        self.assertEqual(self.published[-1], (TARGETS, frozenset()))
        [fields] = self.logged(ZONE_RETURNED)
        self.assertEqual((fields["zone"], fields["evacuated_s"]), ("z1", 7.0))


class TestBadInput(EvacuationTestCase):
    def setUp(self):
        super().setUp()
        self.sync.set_targets(TARGETS)
        self.list()

    def test_content_of_an_object_has_no_meaning(self):
        for value in (None, {}, {"until": 3}, "x"):
            self.sync.on_changes([(False, stored("z1", value))], self.clock.now)
            self.assertEqual(self.zones, ["z1"])

    def test_unknown_zone_is_logged_and_not_relayed(self):
        self.change(("nowhere", False), ("z2", False))
        self.assertEqual(len(self.logged(EVACUATION_OF_UNKNOWN_ZONE)), 1)
        sent = view()
        self.sync.complete_view(sent)
        self.assertEqual(sent.evacuated, ["z2"])

    def test_last_state_applies_after_many_changes(self):
        for _ in range(50):
            self.change(("z1", False))
            self.clock.now += 0.05
            self.change(("z1", True))
            self.clock.now += 0.05
        self.change(("z1", False))
        self.assertEqual(self.zones, ["z1"])
        self.clock.now += 2.0
        self.change()
        self.assertLessEqual(len(self.records), 7)
        kind, fields = self.records[-1]
        self.assertIs(kind, ZONE_EVACUATED)
        self.assertEqual(sum(fields["changes"] for _, fields in self.records), 101)


class TestExclusion(SchedulerTestCase):
    """Requests of a node whose scheduler has what the list leaves over."""

    def setUp(self):
        super().setUp()
        self.sync = EvacuationSync(
            self.clock, ("z1", "z2"), WAIT_S, self._publish, Random(1)
        )
        self.scheduler.refusal = self.sync.refusal
        self.sync.on_listing([], self.clock.now)

    def _publish(self, targets, zones):
        self.scheduler.set_targets(mark_evacuated(targets, zones))

    def evacuate(self, *zones):
        self.sync.on_listing([stored(zone) for zone in zones], self.clock.now)

    def use(self, *rows):
        self.sync.set_targets({row.target_id: row for row in rows})

    def test_new_requests_go_to_other_zones_and_return(self):
        self.use(target("t1", ["a1"]), target("t2", ["a1"], zone="z2"))
        self.evacuate("z1")
        chosen = {
            self.scheduler.submit(self.job()).placement.target.target_id
            for _ in range(4)
        }
        self.assertEqual(chosen, {"t2"})
        self.evacuate()
        chosen = {
            self.scheduler.submit(self.job()).placement.target.target_id
            for _ in range(8)
        }
        self.assertIn("t1", chosen)

    def test_request_is_refused_at_once_if_all_zones_are_evacuated(self):
        self.use(target("t1", ["a1"]))
        self.evacuate("z1")
        refusal = self.scheduler.submit(self.job()).decision
        self.assertEqual(refusal.reason, "evacuated")
        self.assertGreaterEqual(refusal.retry_after_s, 1.0)

    def test_request_that_waits_is_refused_when_its_service_is_evacuated(self):
        self.use(target("t1"))
        ticket = self.scheduler.submit(self.job())
        self.assertFalse(ticket.decided.is_set())
        self.evacuate("z1")
        self.clock.now += 0.3
        self.scheduler.tick()
        self.assertEqual(ticket.decision.reason, "evacuated")

    def test_request_waits_for_a_load_in_another_zone(self):
        self.use(target("t1", ["a1"]), target("t2", zone="z2"))
        self.evacuate("z1")
        ticket = self.scheduler.submit(self.job())
        self.assertFalse(ticket.decided.is_set())
        [want] = self.scheduler.report({}).wants
        self.assertEqual(want.excluded_targets, [])

    def test_stream_is_not_continued_in_the_zone(self):
        self.use(target("t1")._replace(software="v1"), target("t2", zone="z2"))
        self.assertTrue(self.scheduler.serves(("draft", "v1")))
        self.evacuate("z1")
        self.assertFalse(self.scheduler.serves(("draft", "v1")))


class TestOrders(unittest.TestCase):
    def test_evacuated_targets_get_neither_orders_nor_queries(self):
        called = []

        class Orders:
            def send_order(self, target, order, holder, fence):
                called.append(target.target_id)
                return "done"

            def read_state(self, target):
                called.append(target.target_id)
                return "state"

        orders = OpenZoneOrders(Orders(), lambda row: row.zone == "z1")
        results = [orders.send_order(row, None, "h", 1) for row in TARGETS.values()]
        self.assertEqual(results, ["refused", "done"])
        states = [orders.read_state(row) for row in TARGETS.values()]
        self.assertEqual(states, [None, "state"])
        self.assertEqual(called, ["t2", "t2"])


if __name__ == "__main__":
    unittest.main()
