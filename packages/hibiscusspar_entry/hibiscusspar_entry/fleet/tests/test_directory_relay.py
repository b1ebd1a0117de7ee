"""Tests of the directory on its way from the coordinator to the nodes."""

import unittest
from random import Random
from types import SimpleNamespace

from msgspec.json import Decoder

from hibiscusspar.fleet.messages import FleetView, NodeReport, ViewRelay
from hibiscusspar.fleet.targets import Target, TargetDirectory
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.coordinator import Coordinator
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.relayed_state import AgeLimits, RelayedState
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from hibiscusspar_entry.fleet.store_sync import ConfigSync, TargetSync
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock
from hibiscusspar_entry.fleet.view_sequence import ViewSequence

DECODER = Decoder(FleetView | ViewRelay)
# Bound of the users' sheets on the use of a target that leaves, in seconds.
DRAIN_S = 3.0
RELAYED_LIMIT_S = 0.72 * DRAIN_S
INTERVAL_S = 0.1
POLL_S = 0.12
NEW_NODE_S = 4.0


def target(name, draining=False, models=None):
    models = models or {"m": 1}
    return Target(name, "s", "10.0.0.1:80", "z", 8, draining, 1, 0, models, {})


def stored(row):
    return SimpleNamespace(name=row.target_id, value=row, revision=1)


class Codec:
    config_name = "main"

    def decode_target(self, name, value):
        return value


class Election:
    leads = True

    def __init__(self, fence):
        self.fence = fence

    def holds(self, now):
        return True


class Node:
    """Node that reads the store only while it can't rely on the views."""

    def __init__(self, name, clock, store):
        self.name = name
        self.clock = clock
        self.rows = {}
        self.reads = 0
        self._store = store
        self._number = 0
        self._read_at = 0.0
        self._view_sequence = ViewSequence(clock)
        self._targets = TargetSync(
            Codec(), clock, TargetDirectory(), self._publish, 2.4
        )
        self.relayed_state = RelayedState(
            clock,
            ConfigSync(Codec(), clock, lambda ruleset: None),
            self._targets,
            lambda key, version, age_s: None,
            AgeLimits(RELAYED_LIMIT_S, RELAYED_LIMIT_S),
        )

    def report(self):
        self._number += 1
        report = NodeReport(self.name, "s", "z", self._number, {}, {}, [], {}, {})
        self.relayed_state.complete_report(report)
        return report

    def receive(self, view):
        if self._view_sequence.accept(view):
            self.relayed_state.apply_view(view, self.name)

    def read_if_due(self):
        now = self.clock.now
        if now < self._read_at + POLL_S or self.relayed_state.directory_is_current():
            return
        self._read_at = now
        self.reads += 1
        self._targets.on_listing([stored(row) for row in self._store.values()], now)

    def _publish(self, rows):
        self.rows = rows


class Relay:
    """A coordinator and some nodes with a fake clock and a fake network.

    ``delays`` returns the seconds that a view travels to a node, or None if it is lost.
    """

    def __init__(self, node_count=3, target_count=90):
        self.clock = Clock()
        self.store = {}
        for number in range(target_count):
            row = target(f"t{number:03}")
            self.store[row.target_id] = row
        self.nodes = {
            f"10.0.1.{number}:7000": Node(f"n{number}", self.clock, self.store)
            for number in range(node_count)
        }
        self.delays = lambda node, view: 0.0
        self._in_flight = []
        self.election = Election(fence=1)
        self.coordinator = self._coordinator()
        self.run(NEW_NODE_S + target_count * INTERVAL_S)

    def put(self, row):
        """Write an entry to the store; the coordinator knows it at once."""
        self.store[row.target_id] = row
        self.coordinator.set_targets(dict(self.store))

    def run(self, seconds):
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.step()

    def step(self):
        """Let all nodes report and the coordinator send one view."""
        for address, node in self.nodes.items():
            self.coordinator.handle_report(node.report(), parse_address(address))
        self.coordinator.send_views()
        self.clock.now += INTERVAL_S
        self.deliver()
        for node in self.nodes.values():
            node.read_if_due()

    def deliver(self):
        """Deliver the views that have arrived by now."""
        arrived = [row for row in self._in_flight if row[0] <= self.clock.now]
        self._in_flight = [row for row in self._in_flight if row[0] > self.clock.now]
        for _, node, view in sorted(arrived, key=lambda row: row[0]):
            node.receive(view)

    def _coordinator(self):
        coordinator = Coordinator(
            "c",
            "s",
            "10.0.0.9:7000",
            self.clock,
            self.election,
            None,
            None,
            ("z",),
            self._send,
            8.0,
            lambda: (0.0, 0.0),
            LimitExchange(self.clock),
            CrashExchange(self.clock, lambda address: False, None, lambda: False),
            SpeedExchange(self.clock),
        )
        coordinator.set_targets(dict(self.store))
        coordinator.take_over({})
        return coordinator

    def _send(self, address, body):
        message = DECODER.decode(body)
        addresses = [address]
        if isinstance(message, ViewRelay):
            addresses += message.addresses
            message = DECODER.decode(bytes(message.view))
        for ip, port in addresses:
            node = self.nodes[f"{ip}:{port}"]
            delay_s = self.delays(node, message)
            if delay_s is not None:
                self._in_flight.append((self.clock.now + delay_s, node, message))


class TestDirectoryRelay(unittest.TestCase):
    def setUp(self):
        self.relay = Relay()
        self.addCleanup(self.relay.coordinator.close)
        self.node, self.other = list(self.relay.nodes.values())[:2]

    def test_node_that_misses_the_views_of_a_change_stops_using_the_target(self):
        for number in range(0, 90, 9):
            name = f"t{number:03}"
            self.assertFalse(self.node.rows[name].draining)
            self.relay.put(target(name, draining=True))
            self.relay.delays = lambda node, view: None if node is self.node else 0.0
            self.relay.run(4 * INTERVAL_S)
            self.relay.delays = lambda node, view: 0.0
            self.relay.run(DRAIN_S - 5 * INTERVAL_S)
            self.assertTrue(self.node.rows[name].draining, name)

    def test_late_view_does_not_restore_a_target_that_leaves(self):
        # Views travel through the heads of different groups, so they may be reordered.
        name = "t050"
        self.relay.delays = lambda node, view: 0.6 if node is self.node else 0.0
        self.relay.put(target(name, models={"m": 2}))
        self.relay.step()
        self.relay.delays = lambda node, view: 0.0
        self.relay.put(target(name, models={"m": 2}, draining=True))
        self.relay.step()
        for _ in range(20):
            self.assertTrue(self.node.rows[name].draining)
            self.relay.step()

    def test_views_of_a_change_that_are_lost_at_random_delay_it_within_the_bound(self):
        rng = Random(21)
        self.relay.delays = lambda node, view: None if rng.random() < 0.4 else 0.0
        for number in range(40):
            name = f"t{number:03}"
            self.relay.put(target(name, draining=True))
            self.relay.run(DRAIN_S)
            for node in self.relay.nodes.values():
                self.assertTrue(node.rows[name].draining, (name, node.name))

    def test_views_that_arrive_make_reads_of_the_store_needless(self):
        before = [node.reads for node in self.relay.nodes.values()]
        for number in range(30):
            self.relay.put(target(f"t{number:03}", draining=True))
            self.relay.run(0.5)
        self.assertEqual([node.reads for node in self.relay.nodes.values()], before)


class TestEndOfTerm(unittest.TestCase):
    def test_last_view_of_a_term_does_not_carry_the_fence_of_the_successor(self):
        relay = Relay(node_count=1, target_count=1)
        self.addCleanup(relay.coordinator.close)
        (node,) = relay.nodes.values()
        relay.election.leads, relay.election.fence = False, 2
        fences = []
        node.receive = lambda view: fences.append(view.fence)
        relay.coordinator.step_down()
        relay.deliver()
        self.assertEqual(fences, [1])


if __name__ == "__main__":
    unittest.main()
