"""The coordinator's part of the process: views, levels, orders."""

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from msgspec.json import encode as to_json

from hibiscusspar.fleet.messages import FleetView, TargetLoad
from hibiscusspar.fleet.planner import AdapterPlanner, OrderOutcome
from hibiscusspar.fleet.quota import AccountLevels
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import ADAPTER_ORDERED

__all__ = ["Coordinator"]

# A report older than this no longer counts.
_REPORT_STALE_S = 1.5
# Time between views; longer than the datagrams of one round take.
_VIEW_S = 0.1
# Views that repeat a target's adapters after a change, against lost datagrams.
_REPEATS = 3
_ORDER_THREADS = 8
_PROMPT_TOKENS_S = 19_200.0


class _Heard(NamedTuple):
    """The last report of a node, when it came and where from."""

    report: object
    at: float
    address: tuple[str, int]


class Coordinator:
    """Work of the node that holds the lease.

    Parameters
    ----------
    node, machine, start : str
    clock : callable
    election : Election
    orders : TargetOrders
    send : callable
        Sends a body to an address.
    """

    def __init__(self, node, machine, start, clock, election, orders, send):
        self._node = node
        self._machine = machine
        self._start = start
        self._clock = clock
        self._election = election
        self._orders = orders
        self._send = send
        self._lock = threading.Lock()
        self._planner = AdapterPlanner()
        self._levels = AccountLevels()
        self._heard = {}
        self._targets = {}
        self._ruleset = None
        self._number = 0
        self._views_left = {}
        self._shown = {}
        self._active = False
        self._viewed_at = 0.0
        self._pool = ThreadPoolExecutor(_ORDER_THREADS)
        self.planned = 0

    def configure(self, ruleset):
        """Take in a configuration."""
        with self._lock:
            self._ruleset = ruleset
            self._planner.sync(self._engines())

    def set_targets(self, targets):
        """Take in the directory."""
        with self._lock:
            self._targets = targets
            self._planner.sync(self._engines())

    def announce(self, key, version):
        """Take in a new version of an adapter."""
        with self._lock:
            self._planner.announce(*key, version)

    def take_over(self, levels):
        """Begin to coordinate, with the levels of the last view."""
        with self._lock:
            self._active = True
            self._planner.reset()
            self._planner.sync(self._engines())
            self._levels.reset(self._clock(), levels)

    def give_up(self):
        """Stop to coordinate."""
        with self._lock:
            self._active = False

    def take_report(self, report, address):
        """Take in a node's report."""
        with self._lock:
            if not self._active:
                return
            now = self._clock()
            known = self._heard.get(report.node)
            if known and _is_older(report, known.report):
                return
            self._heard[report.node] = _Heard(report, now, address)
            self._levels.report(now, report.node, report.start, report.used)
            for target_id, labels in report.in_use.items():
                self._planner.used(now, target_id, [_key(label) for label in labels])
        if report.wants:
            self.plan()

    def tick(self):
        """Plan, and send the views that are due."""
        if not self._active:
            return
        self.plan()
        if self._clock() >= self._viewed_at + _VIEW_S:
            self.send_views()

    def plan(self):
        """Choose orders and give them in the threads of the pool."""
        now = self._clock()
        if not self._election.may_order(now):
            return
        with self._lock:
            asks = [self._targets[t] for t in self._planner.to_ask(now)]
            targets = self._orderable()
            orders = self._planner.next_orders(
                now, targets, self._wants(now), self._backlogs(now), self._in_use(now)
            )
            self.planned += len(orders)
        for target in asks:
            self._pool.submit(self._ask, target)
        for order in orders:
            self._pool.submit(self._give, order)

    def send_views(self):
        """Tell all nodes what is known."""
        with self._lock:
            view, addresses = self._view()
        body = to_json(view)
        for address in addresses:
            self._send(address, body)

    def _view(self):
        now = self._viewed_at = self._clock()
        self._number += 1
        accounts = self._ruleset.accounts if self._ruleset else {}
        levels = self._levels.advance(now, accounts)
        view = FleetView(
            node=self._node,
            start=self._start,
            fence=self._election.fence,
            number=self._number,
            nodes=max(1, self._levels.nodes),
            acked={node: row.report.number for node, row in self._heard.items()},
            loads=self._loads(now),
            residency=self._residency(now),
            levels={name: round(level, 1) for name, level in levels.items()},
        )
        return view, [row.address for row in self._heard.values()]

    def _residency(self, now):
        """Return the rows to show: what changed lately, and a few by turns."""
        held = self._planner.held
        turn = sorted(held)
        if turn:
            self._views_left.setdefault(turn[self._number % len(turn)], 1)
        for target_id, row in held.items():
            if self._shown.get(target_id) != row.number:
                self._shown[target_id] = row.number
                self._views_left[target_id] = _REPEATS
        shown = {}
        for target_id in list(self._views_left):
            row = held.get(target_id)
            if row is not None:
                shown[target_id] = (row.number, _rows(now, row))
            self._views_left[target_id] -= 1
            if self._views_left[target_id] <= 0:
                del self._views_left[target_id]
        return shown

    def _engines(self):
        if self._ruleset is None:
            return []
        services = self._ruleset.services
        return [
            target
            for target in self._targets.values()
            if target.service in services and services[target.service].engine
        ]

    def _orderable(self):
        return {
            target.target_id: (
                target,
                self._ruleset.services[target.service].engine.adapter_places,
            )
            for target in self._engines()
            if not target.draining
        }

    def _reports(self, now):
        return [
            row.report
            for row in self._heard.values()
            if now <= row.at + _REPORT_STALE_S
        ]

    def _loads(self, now):
        loads = {}
        for report in self._reports(now):
            for target_id, load in report.loads.items():
                sums = loads.setdefault(target_id, TargetLoad(0, 0))
                sums.running += load.running
                sums.unread_tokens += load.unread_tokens
        return loads

    def _backlogs(self, now):
        return {
            target_id: load.unread_tokens / _PROMPT_TOKENS_S + load.running * 0.002
            for target_id, load in self._loads(now).items()
        }

    def _in_use(self, now):
        in_use = {}
        for report in self._reports(now):
            for target_id, labels in report.in_use.items():
                in_use.setdefault(target_id, set()).update(map(_key, labels))
        return in_use

    def _wants(self, now):
        wants = [want for report in self._reports(now) for want in report.wants]
        return sorted(wants, key=lambda want: (want.more, want.priority, -want.waiting))

    def _ask(self, target):
        state = self._orders.state(target)
        if state is None:
            return
        with self._lock:
            self._planner.reported(
                self._clock(),
                target.target_id,
                state.orders_accepted,
                state.adapters,
                state.pending,
            )
        self.plan()

    def _give(self, order):
        target = self._targets.get(order.target_id)
        result = "lost"
        fence = self._election.fence
        if target is not None and self._election.may_order(self._clock()):
            result = self._orders.order(target, order, self._machine, fence)
        with self._lock:
            self._planner.finished(self._clock(), OrderOutcome(order, result))
        fields = {
            "target": order.target_id,
            "operation": order.operation,
            "adapter": f"{order.model}/{order.adapter}",
            "version": order.version,
            "expected": order.expected,
            "fence": fence,
            "result": result,
        }
        write_records([(ADAPTER_ORDERED, fields)])
        self.plan()
        if order.operation == "load":
            self.send_views()


def _rows(now, held):
    return [
        (f"{model}/{adapter}", copy.version, round(max(0.0, copy.ready_at - now), 3))
        for (model, adapter), copy in held.copies.items()
    ]


def _is_older(report, known):
    return report.start == known.start and report.number <= known.number


def _key(label):
    model, _, adapter = label.partition("/")
    return model, adapter
