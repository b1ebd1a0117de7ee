"""Simulated nodes whose requests crash targets, on a network with lossy datagrams."""

import heapq
from itertools import count
from random import Random
from typing import NamedTuple

from msgspec.json import decode, encode

from hibiscusspar.fleet.fanout import exchange_interval_s, view_interval_s
from hibiscusspar.fleet.messages import FleetView, NodeReport
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock, view

__all__ = ["STABLE_WINDOW_S", "CrashNetwork", "NetworkFaults", "Sent", "run_part_day"]

# Time after the known crashes from which requests are counted, in seconds.
STABLE_WINDOW_S = 3.0
# Time between the start of a fatal run and the crash, in seconds.
_RUN_S = (0.03, 1.0)
_MAX_ATTEMPTS = 2
_LATENCY_S = 0.003
# Gap between two urgent reports of a node.
_REPORT_GAP_S = 0.004


class NetworkFaults(NamedTuple):
    """Shares of datagrams that are lost, delivered twice, or late by up to a second."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


class Sent(NamedTuple):
    """Attempt that was sent to a target at a time, its node and first suspect."""

    at: float
    node: str
    request: str


class _Node:
    def __init__(self, network, name):
        self.name = name
        self.start = f"s{name}"
        self.network = network
        self.number = 0
        self.view_number = 0
        self.newest_view = (0, 0)
        self.reported_at = 0.0
        self.exchange = CrashExchange(
            network.clock,
            lambda address: True,
            network.call_later,
            lambda: network.coordinator is self,
        )
        self.exchange.request_report = lambda: network.call_later(
            _REPORT_GAP_S, self.send_report
        )
        self.exchange.on_verdict = lambda: network.send_views(self)

    def send_report(self):
        self.number += 1
        report = NodeReport(self.name, self.start, "z", self.number, {}, {}, [], {}, {})
        self.exchange.complete_report(report)
        self.network.send_report(self, encode(report))

    def receive_view(self, body):
        message = decode(body, type=FleetView)
        if (message.fence, message.number) > self.newest_view:
            self.newest_view = (message.fence, message.number)
            self.exchange.apply_view(message, self.name)


class CrashNetwork:
    """Nodes that exchange real messages with one of them, the coordinator.

    Parameters
    ----------
    size : int
        Number of nodes.
    faults : NetworkFaults, optional
    seed : int, optional
    """

    def __init__(self, size, faults=None, seed=1):
        self.clock = Clock()
        self.faults = faults or NetworkFaults()
        self.rng = Random(f"{size}/{seed}")
        self.sent = []
        self.crashed_at = []
        self.cut = set()
        # Suspects of sound requests that run at the targets that crash.
        self.beside = list
        self.report_bytes = 0
        self.view_bytes = 0
        self.fence = 1
        self._events = []
        self._order = count()
        self._acked = {}
        self._interval_s = exchange_interval_s(size)
        self.nodes = [_Node(self, f"n{n}") for n in range(size)]
        self.coordinator = self.nodes[0]
        for node in self.nodes:
            self.call_later(self.rng.random() * self._interval_s, self._ticker(node))
        self._tick_views()

    def call_later(self, delay_s, function):
        """Call a function after a delay of simulated time."""
        at = self.clock.now + delay_s
        heapq.heappush(self._events, (at, next(self._order), function))

    def run(self, seconds):
        """Let simulated time pass."""
        ends_at = self.clock.now + seconds
        while self._events and self._events[0][0] <= ends_at:
            at, _, function = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            function()
        self.clock.now = ends_at

    def replace_coordinator(self):
        """Let another node, which knows what it knows, coordinate from now on."""
        self.coordinator = self.rng.choice(
            [node for node in self.nodes if node is not self.coordinator]
        )
        self.fence += 1
        self._acked = {}

    def request(self, suspects, node=None):
        """Send a fatal request to a node; it is retried once after a crash.

        The first suspect is its digest, the others stand for parts of its prompt.
        """
        self._attempt(node or self.rng.choice(self.nodes), suspects, 1)

    def sound_request(self, suspects):
        """Send a sound request to a node and return whether it is answered."""
        exchange = self.rng.choice(self.nodes).exchange
        is_refused = exchange.refused_for(suspects[0], suspects[1:]) > 0
        if is_refused and not exchange.start_probe(suspects[0], suspects[1:]):
            return False
        exchange.record_answer(suspects)
        return True

    def late_attempts(self, crashes, window_s):
        """Return the attempts sent a window after a number of crashes, or later."""
        if len(self.crashed_at) < crashes:
            return []
        late_from = sorted(self.crashed_at)[crashes - 1] + window_s
        return [sent for sent in self.sent if sent.at > late_from]

    def refusing(self, suspects):
        """Return the number of nodes that refuse a request."""
        return sum(
            node.exchange.refused_for(suspects[0], suspects[1:]) > 0
            for node in self.nodes
        )

    def _attempt(self, node, suspects, number):
        exchange = node.exchange
        is_refused = exchange.refused_for(suspects[0], suspects[1:]) > 0
        is_probe = is_refused and number == 1
        if is_probe and not exchange.start_probe(suspects[0], suspects[1:]):
            return
        if is_refused and not is_probe:
            return
        self.sent.append(Sent(self.clock.now, node.name, suspects[0]))
        target = _target(f"t{len(self.sent)}")

        def crash():
            self.crashed_at.append(self.clock.now)
            exchange.record_break(target, suspects)
            for others in self.beside():
                self.rng.choice(self.nodes).exchange.record_break(target, others)
            if number < _MAX_ATTEMPTS and not exchange.was_quarantined(suspects):
                self._attempt(node, suspects, number + 1)

        self.call_later(self.rng.uniform(*_RUN_S), crash)

    def _ticker(self, node):
        def tick():
            node.send_report()
            self.call_later(self._interval_s, tick)

        return tick

    def _tick_views(self):
        self.send_views(self.coordinator)
        self.call_later(view_interval_s(len(self.nodes), False), self._tick_views)

    def send_report(self, node, body):
        """Deliver the report of a node to the coordinator."""
        coordinator = self.coordinator
        self.report_bytes += len(body)

        def receive():
            report = decode(body, type=NodeReport)
            if coordinator is self.coordinator:
                newest = max(report.number, self._acked.get(report.node, 0))
                self._acked[report.node] = newest
                coordinator.exchange.apply_report(report)

        if coordinator is node:
            receive()
        else:
            self._deliver(node, coordinator, receive)

    def send_views(self, node):
        """Deliver a view of a node to all nodes if it coordinates."""
        if node is not self.coordinator:
            return
        node.view_number += 1
        message = view(fence=self.fence, number=node.view_number)
        message.node, message.start = node.name, node.start
        message.acked = dict(self._acked)
        message.quarantined = node.exchange.due_verdicts(node.view_number)
        body = encode(message)
        for other in self.nodes:
            self.view_bytes += len(encode(message.quarantined))
            self._deliver(node, other, lambda o=other: o.receive_view(body))

    def _deliver(self, sender, receiver, receive):
        is_cut = (sender.name in self.cut) != (receiver.name in self.cut)
        copies = 2 if self.rng.random() < self.faults.doubled else 1
        for _ in range(copies):
            if is_cut or self.rng.random() < self.faults.lost:
                continue
            is_late = self.rng.random() < self.faults.late
            self.call_later(_LATENCY_S + is_late * self.rng.random(), receive)


def _target(target_id):
    return Target(target_id, "plain", "a:1", "z", 4, False, 1, 0, {}, {}, "v1")


def run_part_day(size, faults, seed):
    """Send requests with a fatal part, no two alike, beside sound ones.

    Returns
    -------
    tuple
        The network, and the shares of sound requests that were answered before and
        later than two stable windows after the fifth crash.
    """
    network = CrashNetwork(size, faults, seed)
    rng = network.rng

    def sound():
        return [f"acme-{rng.random()}", "part-first", f"part-{rng.randrange(30)}"]

    network.beside = lambda: [sound() for _ in range(rng.randrange(12))]
    network.run(2.0)
    answered = {False: [], True: []}
    for number in range(400):
        if number % 5 == 0:
            network.request([f"acme-f{number}", "part-first", "part-bad"])
        crashes = sorted(network.crashed_at)
        last_at = crashes[:5][-1] if crashes else network.clock.now
        is_late = network.clock.now > last_at + 2 * STABLE_WINDOW_S
        for _ in range(4):
            answered[is_late].append(network.sound_request(sound()))
        network.run(rng.uniform(0.05, 0.2))
    shares = [sum(values) / len(values) for _, values in sorted(answered.items())]
    return network, *shares
