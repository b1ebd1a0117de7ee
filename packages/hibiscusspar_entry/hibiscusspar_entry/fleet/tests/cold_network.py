"""Nodes, their coordinator and cold targets, joined by datagrams that may get lost."""

from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace

from msgspec.json import Decoder

from hibiscusspar.fleet.cold_targets import ColdStatement
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.messages import PermitGrant
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.fleet.cold_exchange import ColdExchange
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.permit_sender import PermitSender
from hibiscusspar_entry.fleet.target_gate import TargetGate
from hibiscusspar_entry.fleet.target_statements import TargetStatements

__all__ = ["ALLOWED", "COLD_PER_S", "COLD_START_S", "ColdNetwork"]

COLD_PER_S, COLD_START_S = 6.7, 3.0
# The bound of the platform: coldPerS x bounds.coldOvershoot + bounds.coldSlack.
ALLOWED = COLD_PER_S * 1.5 + 5
HEARTBEAT_S = 1.2
# Requests a second of all nodes that a warm target gets, about as many as measured.
WARM_PER_S = 4.4
TICK_S = 0.02
# Ages of a report from which a node counts as silent, and from which its demand ends.
_SILENT_S = 1.0
_STALE_S = 1.5
_GRANTS = Decoder(PermitGrant)
_RULE = SimpleNamespace(
    has_cold_targets=True, cold_start_s=COLD_START_S, cold_per_s=COLD_PER_S
)
_RULESET = SimpleNamespace(services={"s": _RULE})


class Node:
    """One node: what it knows, its gate and, as the coordinator, its permits."""

    def __init__(self, name, clock):
        self.name = name
        self._clock = clock
        self.restart()

    def restart(self):
        """Forget everything."""
        self.cold = ColdExchange(self._clock, HEARTBEAT_S)
        self.cold.configure(_RULESET)
        limits = LimitExchange(self._clock)
        statements = TargetStatements(self._clock, limits, self.cold)
        rng = Random(f"{self.name}/{self._clock()}")
        self.gate = TargetGate(limits, statements, rng)
        self.sender = PermitSender(limits, self.cold)
        self.targets = {}
        self.last_view = 0
        # Last reports, which the coordinator keeps.
        self.records = {}

    def set_targets(self, targets):
        """Replace the directory."""
        self.cold.set_targets(targets)
        self.targets = targets


class ColdNetwork:
    """Fleet whose requests always wait for every cold target and every new one.

    ``lost``, ``late`` and ``doubled`` are the shares of datagrams. ``cut`` holds the
    nodes that no datagram reaches or leaves; they read the store themselves.
    ``blind`` holds those that get no views. ``view_cold`` replaces the field of views;
    with None the coordinator is one of an older build, which issues no permits for cold
    targets. ``sends`` holds, for each target, the times at which requests arrived while
    it was cold.
    """

    def __init__(self, nodes, targets, seed=1, lost=0.1, late=0.05, doubled=0.1):
        self.now = 100.0
        self.shares = (lost, late, doubled)
        self.cut = set()
        self.blind = set()
        self.sends = {}
        self.view_cold = lambda rows: rows
        self.nodes = [Node(f"n{i}", lambda: self.now) for i in range(nodes)]
        self.coordinator = self.nodes[0]
        self._rng = Random(seed)
        self._events = []
        self._serial = count()
        self._revision = count(1)
        self._interval_s = exchange_interval_s(nodes)
        self._store = {}
        # Time until which a target is cold in truth, and when it writes its entry.
        self._cold_until = {}
        self._born = {}
        self._new = set()
        self._views = 0
        self._fence = 1
        for number in range(targets):
            self.add_target(f"t{number:03d}", 0.0)
        for node in self.nodes:
            self._read_store(node)
            self._schedule(self._rng.random() * self._interval_s, self._report, node)
        self._schedule(0.0, self._send_views)
        self.run(1.5)

    def add_target(self, name, cold_s, born=1):
        """Start an incarnation of a target, which writes its entry at once."""
        self.sends.setdefault(name, [])
        self._cold_until[name] = self.now + cold_s
        self._born[name] = born
        if cold_s > 0:
            # A target without requests gets all those that wait.
            self._new.add(name)
        self._schedule(0.0, self._heartbeat, name, born)

    def cool(self, name, cold_s):
        """Let a target become cold again; its next entry tells that."""
        self._cold_until[name] = self.now + cold_s

    def change_coordinator(self, silent_s):
        """Let the coordinator fail and another node take over some time later."""
        failed, self.coordinator = self.coordinator, None
        self.cut.add(failed)
        self._schedule(silent_s, self._take_over)

    def restart_all(self, silent_s):
        """Restart all nodes; one coordinates some time later."""
        for node in self.nodes:
            node.restart()
            self._schedule(self._rng.uniform(0.0, 0.5), self._read_store, node)
        self.coordinator = None
        self._schedule(silent_s, self._take_over)

    def run(self, seconds):
        """Let time pass."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_S
            while self._events and self._events[0][0] <= self.now:
                _, _, call, arguments = heappop(self._events)
                call(*arguments)
            self._issue()
            for node in self.nodes:
                self._send_requests(node)

    def worst_second(self):
        """Return the most requests that a target got in a second while cold."""
        return max(
            sum(at <= t < at + 1.0 for t in times)
            for times in self.sends.values()
            for at in times or [0.0]
        )

    def _schedule(self, delay_s, call, *arguments):
        event = (self.now + delay_s, next(self._serial), call, arguments)
        heappush(self._events, event)

    def _datagram(self, sender, receiver, call, *arguments):
        lost, late, doubled = self.shares
        if sender in self.cut or receiver in self.cut:
            return
        for _ in range(2 if self._rng.random() < doubled else 1):
            if self._rng.random() >= lost:
                is_late = self._rng.random() < late
                delay_s = self._rng.uniform(0.002, 0.5 if is_late else 0.02)
                self._schedule(delay_s, call, receiver, *arguments)

    def _heartbeat(self, name, born):
        if born != self._born[name]:
            return
        cold_s = max(0.0, self._cold_until[name] - self.now)
        target = Target(name, "s", "a:1", "z", 8, False, born, 0, {}, {})
        target = target._replace(cold=ColdStatement(round(cold_s, 3)))
        self._store[name] = (target, next(self._revision))
        # The coordinator, and nodes without a view, read a change that much later.
        readers = {self.coordinator, *self.cut} - {None}
        for node in sorted(readers, key=lambda node: node.name):
            self._schedule(self._rng.uniform(0.02, 0.6), self._read_store, node)
        self._schedule(HEARTBEAT_S, self._heartbeat, name, born)

    def _read_store(self, node):
        node.cold.record_entries(list(self._store.values()), self.now - 0.01)
        node.set_targets({name: target for name, (target, _) in self._store.items()})

    def _take_over(self):
        self.coordinator = self.nodes[1]
        self._fence += 1
        self._read_store(self.coordinator)

    def _send_views(self):
        self._schedule(self._interval_s, self._send_views)
        sender = self.coordinator
        if sender is None:
            return
        self._views += 1
        view = SimpleNamespace(
            node=sender.name,
            nodes=len(self.nodes),
            number=self._views,
            limits={},
            cold=self.view_cold(sender.sender.due_cold(self._views)),
        )
        for node in self.nodes:
            if node is sender:
                node.gate.apply_view(self.now, view)
            elif node not in self.blind:
                self._datagram(sender, node, self._apply_view, view, sender.targets)

    def _apply_view(self, node, view, targets):
        if view.number <= node.last_view:
            return
        node.last_view = view.number
        node.cold.apply_view(view)
        rows = {name: target._replace(cold=None) for name, target in targets.items()}
        node.set_targets(rows)
        node.gate.apply_view(self.now, view)

    def _report(self, node):
        self._schedule(self._interval_s, self._report, node)
        node.gate.retain(node.targets)
        # Requests wait for each cold target.
        job = SimpleNamespace(fraction=self._rng.random())
        waiting = [job] * 3
        demand = node.gate.take_demand(self.now, waiting, lambda job: {*node.targets})
        report = SimpleNamespace(
            node=node.name,
            start="s",
            permit_demand=demand,
            cold=node.cold.report_rows(),
        )
        if self.coordinator is not None:
            self._datagram(node, self.coordinator, self._record_report, report, node)

    def _record_report(self, coordinator, report, node):
        coordinator.cold.apply_rows(report.cold, report.node)
        coordinator.records[report.node] = SimpleNamespace(
            report=report, received_at=self.now, address=node
        )

    def _issue(self):
        coordinator = self.coordinator
        if coordinator is None or self.view_cold({}) is None:
            return
        rates = coordinator.sender.rates()
        if not rates:
            return
        records = coordinator.records.values()
        fresh = [r for r in records if self.now <= r.received_at + _STALE_S]
        heard = [r for r in records if self.now <= r.received_at + _SILENT_S]
        share = len(heard) / max(1, len(records))
        for node, body in coordinator.sender.due_grants(
            self.now, rates, fresh, share, self._fence
        ):
            grant = _GRANTS.decode(body)
            self._datagram(coordinator, node, self._add_permits, grant)

    def _add_permits(self, node, grant):
        node.gate.add_permits(self.now, grant)

    def _send_requests(self, node):
        if node.cold.is_idle and self.now >= max(self._cold_until.values()):
            return
        warm_share = WARM_PER_S * TICK_S / len(self.nodes)
        for name in node.gate.open_targets(self.now, node.targets.keys()):
            is_eager = node.cold.is_cold(name) or name in self._new
            if is_eager or self._rng.random() < warm_share:
                node.gate.record_send(name)
                # A request for another incarnation is answered with status 421.
                target, _ = self._store[name]
                is_same = target.born == node.targets[name].born
                if is_same and self.now < self._cold_until[name]:
                    self.sends[name].append(self.now)
