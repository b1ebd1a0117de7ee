"""Replay of a fleet that shares a retry budget over lossy datagrams.

Retries are wanted in storms, by all nodes or by some, while the rate of requests rises
and falls, nodes restart and other nodes become the coordinator.
"""

import heapq
from bisect import bisect_left, bisect_right
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.lent_retries import LoanRequests, RetryPool
from hibiscusspar.fleet.retries import RetryBudgets

__all__ = ["RATIO", "SLACK", "WINDOW_S", "Case", "RetryReplay"]

RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0
_SERVICE = "draft"
_TICK_S = 0.05
_LATENCY_S = 0.003
_STALE_S = 1.5
# Requests a second to all nodes.
_RATES = {9: 16.0, 78: 80.0, 360: 347.0}
_PHASE_S = (2.0, 9.0)


class Case(NamedTuple):
    """Fleet, shares of datagrams that are lost, doubled or late, and what happens.

    ``older`` is the share of nodes of a build that knows no loans, ``restarts`` and
    ``successors`` count nodes that restart and changes of the coordinator. With
    ``calm`` 5 s of requests precede a storm at a tenth of the nodes.
    """

    nodes: int
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    older: float = 0.0
    restarts: int = 0
    successors: int = 0
    calm: bool = False
    seed: int = 1
    seconds: float = 40.0


class _Node:
    def __init__(self, name, number, is_older):
        self.name, self.is_older = name, is_older
        self.wanted = self.report_number = 0
        self.restart(number)

    def restart(self, number):
        self.start = f"{self.name}/{number}"
        self.budgets = RetryBudgets(RATIO, SLACK, WINDOW_S)
        self.loans = LoanRequests(self.start)


class RetryReplay:
    """Fleet in simulated time.

    Parameters
    ----------
    case : Case

    Attributes
    ----------
    requests, retries : list of float
        Times of the requests and retries of all nodes.
    waits : list of float
        Seconds that each retry was waited for.
    """

    def __init__(self, case):
        self.requests, self.retries, self.waits = [], [], []
        self._case, self._now = case, 100.0
        self._rng = Random(f"{case.nodes}/{case.seed}")
        self._events, self._order, self._numbers = [], count(), count()
        older = round(case.older * case.nodes)
        self._nodes = [
            _Node(f"n{n}", next(self._numbers), n < older) for n in range(case.nodes)
        ]
        self._pool = RetryPool(RATIO, SLACK, WINDOW_S)
        self._reports = {}
        self._factor, self._wanting, self._share = 1.0, [], 0.0
        self._wanted_at = {}

    def run(self):
        """Play the case and return itself."""
        case, rng = self._case, self._rng
        ends_at = self._now + case.seconds
        interval_s = exchange_interval_s(case.nodes)
        for node in self._nodes:
            self._call_later(rng.random() * interval_s, lambda n=node: self._report(n))
        self._call_later(interval_s, self._update_pool)
        self._call_later(case.seconds / 2 if case.calm else 0.0, self._begin_phase)
        for _ in range(case.restarts):
            self._call_later(rng.random() * case.seconds, self._restart)
        for _ in range(case.successors):
            self._call_later(rng.random() * case.seconds, self._replace_coordinator)
        while self._now < ends_at:
            tick_ends_at = self._now + _TICK_S
            while self._events and self._events[0][0] <= tick_ends_at:
                self._now, _, function = heapq.heappop(self._events)
                function()
            self._now = tick_ends_at
            self._tick()
        return self

    @property
    def largest_share(self):
        """Largest share of what the platform allows that was used in a window.

        The requests of a window, of the one before it or of the one half a window
        before it count, whichever has most.
        """
        return max(
            (
                (index + 1 - bisect_left(self.retries, at - WINDOW_S))
                / (RATIO * self._most_requests(at) + SLACK)
                for index, at in enumerate(self.retries)
            ),
            default=0.0,
        )

    def _most_requests(self, at):
        times = self.requests
        return max(
            bisect_right(times, end) - bisect_left(times, end - WINDOW_S)
            for end in (at, at - WINDOW_S / 2, at - WINDOW_S)
        )

    def _call_later(self, delay_s, function):
        heapq.heappush(self._events, (self._now + delay_s, next(self._order), function))

    def _deliver(self, receive):
        case, rng = self._case, self._rng
        for _ in range(2 if rng.random() < case.doubled else 1):
            if rng.random() >= case.lost:
                late_s = 1.5 * rng.random() if rng.random() < case.late else 0.0
                self._call_later(_LATENCY_S + late_s, receive)

    def _begin_phase(self):
        rng, case = self._rng, self._case
        if case.calm:
            self._wanting = rng.sample(self._nodes, case.nodes // 10 + 1)
            for node in self._wanting:
                node.wanted = 2
                self._wanted_at[node] = self._now
            self._share = 0.0
            return
        self._factor = rng.choice((0.0, 0.3, 1.0, 1.0, 3.0))
        wanting = rng.choice((0.0, 0.1, 0.5, 1.0, 1.0))
        self._wanting = rng.sample(self._nodes, round(wanting * case.nodes))
        self._share = rng.choice((0.02, 0.2, 1.0))
        self._call_later(rng.uniform(*_PHASE_S), self._begin_phase)

    def _restart(self):
        self._rng.choice(self._nodes).restart(next(self._numbers))

    def _replace_coordinator(self):
        self._pool, self._reports = RetryPool(RATIO, SLACK, WINDOW_S), {}
        self._pool.take_over(self._now)

    def _report(self, node):
        if not node.is_older:
            node.report_number += 1
            number = node.report_number
            report = SimpleNamespace(requests=node.budgets.count_requests(self._now))
            self._deliver(lambda: self._apply_report(node, number, report))
        self._call_later(
            exchange_interval_s(self._case.nodes), lambda: self._report(node)
        )

    def _apply_report(self, node, number, report):
        known = self._reports.get(node)
        if known is None or number > known[0]:
            self._reports[node] = number, self._now, report

    def _update_pool(self):
        oldest = self._now - _STALE_S
        reports = [row for _, at, row in self._reports.values() if at >= oldest]
        self._pool.update(reports, len(self._nodes))
        self._call_later(exchange_interval_s(self._case.nodes), self._update_pool)

    def _tick(self):
        rng, now, size = self._rng, self._now, len(self._nodes)
        expected = _RATES[size] * self._factor * _TICK_S
        for _ in range(int(expected + rng.random())):
            rng.choice(self._nodes).budgets.request(_SERVICE, now)
            self.requests.append(now)
        for node in self._wanting:
            if self._share and rng.random() < self._share:
                node.wanted = 3
            while node.wanted and node.budgets.allow(_SERVICE, now, size):
                node.wanted -= 1
                self.retries.append(now)
                self.waits.append(now - self._wanted_at.get(node, now))
            if node.wanted and not node.is_older:
                self._ask_loan(node)

    def _ask_loan(self, node):
        loan = node.loans.next(self._now, _SERVICE)
        if loan is not None:
            pool = self._pool
            self._deliver(lambda: self._lend(pool, node, loan))

    def _lend(self, pool, node, loan):
        if pool is self._pool and pool.lend(self._now, loan.service):
            self._deliver(lambda: self._apply_loan(node, loan))

    def _apply_loan(self, node, loan):
        until = node.loans.accept(self._now, loan)
        if until is not None:
            node.budgets.lend(loan.service, until)
