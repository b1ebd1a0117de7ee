"""Simulated nodes that lose their links to targets, with lossy datagrams."""

import heapq
from itertools import count
from random import Random
from typing import NamedTuple

from msgspec.json import decode, encode

from hibiscusspar.fleet.messages import SendNotice
from hibiscusspar.fleet.peers import Peer, PeerTable
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.path_watch import PathWatch
from hibiscusspar_entry.fleet.tests.crash_network import NetworkFaults
from hibiscusspar_entry.fleet.tests.test_request_scheduler import Clock
from hibiscusspar_wire.target_connections import CallFailedError

__all__ = ["SERVICE", "PathNetwork", "Proxied"]

SERVICE = "draft"
ZONES = 3
_TARGETS = 12
_TICK_S = 0.05
_LATENCY_S = 0.003
# Time that a connection takes to fail over links that are silent.
_TIMEOUT_S = 0.3
# Peers that are tried for one request.
_MAX_PEERS = 3
# Requests of each node a second, and their duration in seconds.
_CALLS_PER_S = 10.0
_CALL_S = 2.0


class Proxied(NamedTuple):
    """Request that a node without a path sends at a time, and its proxy or None."""

    at: float
    node: int
    proxy: str | None


class _Node:
    """Node of the network; it is its own connections and its own channel."""

    def __init__(self, network, number, address):
        self.network = network
        self.number = number
        self.address = address
        self.is_cut = False
        self.open = 0
        self.peak_open = 0
        self.received_bytes = 0
        self.peers = PeerTable(address)
        self.watch = PathWatch(
            network.clock,
            f"z{number % ZONES}",
            self,
            self.peers,
            self,
            self._call_later,
            Random(f"{network.seed}/{number}"),
        )
        self.watch.make_offer = lambda _: (f"token-{number}", 7601, self.open)

    def _call_later(self, delay_s, function):
        # A check over silent links takes as long as its connections take to fail.
        delay_s += 3 * _TIMEOUT_S if self.is_cut else _LATENCY_S
        self.network.call_later(delay_s, function)

    def check(self, address):
        """Connect to a target."""
        if self.is_cut:
            raise CallFailedError("connect", address, "timed out")

    def send(self, address, message):
        """Send a datagram to another node."""
        body = message if isinstance(message, bytes) else encode(message)
        self.network.deliver(self.address, address, body)


class PathNetwork:
    """Nodes whose callers send requests all the time, and 12 targets.

    Parameters
    ----------
    size : int
    faults : NetworkFaults, optional
    seed : int, optional
    """

    def __init__(self, size, faults=None, seed=1):
        self.clock = Clock()
        self.seed = seed
        self.rng = Random(f"{size}/{seed}")
        self.proxied = []
        self._faults = faults or NetworkFaults()
        self._events = []
        self._order = count()
        addresses = [f"10.{n // 200}.{n % 200}.1:7600" for n in range(size)]
        self.nodes = [_Node(self, n, a) for n, a in enumerate(addresses)]
        self._by_address = {node.address: node for node in self.nodes}
        peers = {
            f"n{n}": Peer(f"z{n % ZONES}", address)
            for n, address in enumerate(addresses)
        }
        targets = {
            f"t{n}": Target(
                f"t{n}", SERVICE, f"t{n}:1", f"z{n % ZONES}", 8, False, 1, 0, {}, {}
            )
            for n in range(_TARGETS)
        }
        for node in self.nodes:
            node.peers.update(self.clock(), peers, size)
            node.watch.set_targets(targets)
            self.call_later(self.rng.random() * _TICK_S, self._ticker(node))
            self.call_later(self.rng.random() / _CALLS_PER_S, self._caller(node))

    def call_later(self, delay_s, function):
        """Call a function after a delay of simulated time."""
        heapq.heappush(
            self._events, (self.clock.now + delay_s, next(self._order), function)
        )

    def run(self, seconds):
        """Let simulated time pass."""
        ends_at = self.clock.now + seconds
        while self._events and self._events[0][0] <= ends_at:
            at, _, function = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            function()
        self.clock.now = ends_at

    def cut(self, numbers):
        """Cut the links of some nodes to all targets."""
        for number in numbers:
            self.nodes[number].is_cut = True

    def heal(self):
        """End all cuts."""
        for node in self.nodes:
            node.is_cut = False

    def deliver(self, sender, address, body):
        """Deliver a datagram, or lose, double or delay it."""
        node = self._by_address[f"{address[0]}:{address[1]}"]
        faults = self._faults
        if self.rng.random() < faults.lost:
            return
        copies = 2 if self.rng.random() < faults.doubled else 1
        for _ in range(copies):
            is_late = self.rng.random() < faults.late
            delay_s = self.rng.uniform(0.1, 1.0) if is_late else _LATENCY_S
            self.call_later(delay_s, lambda: self._receive(node, sender, body))

    def _receive(self, node, sender, body):
        node.received_bytes += len(body)
        node.watch.apply_notice(decode(body, type=SendNotice), parse_address(sender))

    def _ticker(self, node):
        def tick():
            node.watch.tick()
            self.call_later(_TICK_S, tick)

        return tick

    def _caller(self, node):
        def call():
            self._call(node)
            self.call_later(self.rng.expovariate(_CALLS_PER_S), call)

        return call

    def _call(self, node):
        watch = node.watch
        if not watch.is_cut(SERVICE):
            watch.record_sent(SERVICE)
            if node.is_cut:
                self.call_later(_TIMEOUT_S, lambda: watch.record_failure(SERVICE))
            else:
                self.call_later(0.1, lambda: watch.record_answer(SERVICE))
                self._hold(node)
            return
        peer = self._choose_proxy(watch)
        self.proxied.append(Proxied(self.clock.now, node.number, peer))
        if peer is not None:
            self._hold(self.nodes[int(peer[1:])])
            self.call_later(_CALL_S, lambda: watch.end_proxied(peer))

    def _choose_proxy(self, watch):
        """Return the peer that sends a request, as ``TargetPaths`` finds it."""
        refused = set()
        while len(refused) < _MAX_PEERS:
            chosen = watch.begin_proxied(SERVICE, refused)
            if chosen is None:
                return None
            proxy = self.nodes[int(chosen[0][1:])]
            if not proxy.watch.is_cut(SERVICE):
                # A proxy that doesn't know yet of its own cut loses the request.
                return None if proxy.is_cut else chosen[0]
            refused.add(chosen[0])
            watch.withdraw_offer(chosen[0])
            watch.end_proxied(chosen[0])
        return None

    def _hold(self, node):
        """Count a request at the node that sends it, while it lasts."""
        node.open += 1
        node.peak_open = max(node.peak_open, node.open)

        def end():
            node.open -= 1

        self.call_later(_CALL_S, end)
