"""Views, reports and notices between simulated nodes, with lossy datagrams."""

import heapq
from itertools import count

from hibiscusspar.fleet.fanout import (
    MAX_DIRECT_NODES,
    exchange_interval_s,
    view_groups,
)
from hibiscusspar.fleet.messages import SendNotice, TargetLoad
from hibiscusspar_entry.fleet.tests.test_request_scheduler import view

__all__ = ["SchedulerNetwork"]

_LATENCY_S = 0.003


class SchedulerNetwork:
    """Network of nodes whose schedulers exchange what they know.

    Nodes have ``name``, ``zone``, ``scheduler``, ``budgets`` and ``view_number``.

    Parameters
    ----------
    clock : Clock
    faults : NetworkFaults
    rng : random.Random
    pool : RetryPool
        Retries that the coordinator may lend.
    """

    def __init__(self, clock, faults, rng, pool):
        self.clock = clock
        self.nodes = []
        self._faults = faults
        self._rng = rng
        self._events, self._order = [], count()
        self._reports, self._number = {}, 0
        self._zones = {}
        self._pool = pool

    def begin(self, nodes):
        """Begin to exchange reports and views between some nodes."""
        self.nodes = nodes
        for node in nodes:
            self._zones.setdefault(node.zone, []).append(node)
        interval_s = exchange_interval_s(len(nodes))
        for node in nodes:
            node.scheduler.direct_peers = len(self._direct(node)) - 1
            node.scheduler.on_sent = self._notifier(node)
            node.budgets.ask_loan = self._lender(node)
            offset_s = self._rng.random() * interval_s
            self.call_later(offset_s, lambda node=node: self._tick_report(node))
        self.call_later(interval_s, self._tick_views)

    def call_later(self, delay_s, function):
        """Call a function after a delay of simulated time."""
        at = self.clock.now + delay_s
        heapq.heappush(self._events, (at, next(self._order), function))

    def run_until(self, ends_at):
        """Let simulated time pass."""
        while self._events and self._events[0][0] <= ends_at:
            at, _, function = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            function()
        self.clock.now = ends_at

    def _direct(self, node):
        is_small = len(self.nodes) <= MAX_DIRECT_NODES
        return self.nodes if is_small else self._zones[node.zone]

    def _notifier(self, node):
        def notify(target, tokens):
            notice = SendNotice([(target.target_id, tokens)])
            direct = [other for other in self._direct(node) if other is not node]
            self._deliver(direct, lambda n: n.scheduler.apply_notice(notice))
            if len(self.nodes) > MAX_DIRECT_NODES:
                zones = self._zones.items()
                relays = [
                    self._rng.choice(nodes)
                    for zone, nodes in zones
                    if zone != node.zone
                ]
                self._deliver(relays, lambda n: self._relay(n, notice))

        return notify

    def _relay(self, node, notice):
        self._deliver(
            self._zones[node.zone], lambda n: n.scheduler.apply_notice(notice)
        )

    def _lender(self, node):
        def ask(loan):
            self._deliver([node], lambda _: lend(loan))

        def lend(loan):
            if self._pool.lend(self.clock.now, loan.service):
                self._deliver(
                    [node], lambda n: n.budgets.apply_loan(self.clock.now, loan)
                )

        return ask

    def _tick_report(self, node):
        report = node.scheduler.report({})
        node.budgets.complete_report(self.clock.now, report)
        self._deliver([node], lambda _: self._apply_report(report))
        interval_s = exchange_interval_s(len(self.nodes))
        self.call_later(interval_s, lambda: self._tick_report(node))

    def _apply_report(self, report):
        known = self._reports.get(report.node)
        if known is None or report.number > known.number:
            self._reports[report.node] = report

    def _tick_views(self):
        self._number += 1
        loads = {}
        for report in self._reports.values():
            for target_id, load in report.loads.items():
                total = loads.setdefault(target_id, TargetLoad(0, 0))
                total.running += load.running
                total.queued_prompt_tokens += load.queued_prompt_tokens
        acked = {name: report.number for name, report in self._reports.items()}
        message = view(loads=loads, acked=acked, number=self._number)
        message.nodes = len(self.nodes)
        self._pool.update(self._reports.values(), len(self.nodes))
        for group in view_groups(self.nodes, lambda node: node.zone):
            self._send_view(message, group)
        self.call_later(exchange_interval_s(len(self.nodes)), self._tick_views)

    def _send_view(self, message, group):
        def receive(node):
            self._apply_view(node, message)
            self._deliver(group[1:], lambda n: self._apply_view(n, message))

        self._deliver(group[:1], receive)

    def _apply_view(self, node, message):
        if message.number > node.view_number:
            node.view_number = message.number
            node.scheduler.apply_view(message)

    def _deliver(self, nodes, receive):
        """Deliver a datagram to nodes, or lose, double or delay some of them."""
        faults, in_time = self._faults, []
        for node in nodes:
            copies = 2 if self._rng.random() < faults.doubled else 1
            for _ in range(copies):
                if self._rng.random() < faults.lost:
                    continue
                if self._rng.random() < faults.late:
                    delay_s = _LATENCY_S + self._rng.random()
                    self.call_later(delay_s, lambda node=node: receive(node))
                else:
                    in_time.append(node)

        def receive_all():
            for node in in_time:
                receive(node)

        if in_time:
            self.call_later(_LATENCY_S, receive_all)
