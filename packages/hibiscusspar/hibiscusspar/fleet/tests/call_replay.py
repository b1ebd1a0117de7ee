"""Replay of calls of a plain service against the decisions of many nodes."""

import heapq
from itertools import count
from math import log
from random import Random
from typing import NamedTuple

from hibiscusspar.fleet.call_times import FleetCallTimes
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.load_counts import current_load, loads_of_others
from hibiscusspar.fleet.messages import TargetLoad
from hibiscusspar.fleet.plain_calls import PlainCalls
from hibiscusspar.fleet.routing import Candidate
from hibiscusspar.fleet.targets import Target
from hibiscusspar.fleet.waiting import Job, Send, Wait

SLOTS, CALL_S, SPREAD, SLO_S, DEADLINE_S = 6, 0.09, 0.5, 0.406, 5.0
TARGETS = {
    name: Target(name, "s", name, "z", SLOTS, False, 1, 0, {}, {}) for name in "abc"
}
CAPACITY = len(TARGETS) * SLOTS / CALL_S
ROUND_S, NOTICE_S, VIEW_S = 0.02, 0.005, 0.005


class Call(NamedTuple):
    """End of a call: ``outcome`` is ``answered``, ``failed`` or ``refused``."""

    arrived: float
    ended: float
    outcome: str
    target: str
    turned_away: int
    slot_was_free: bool

    @property
    def in_time(self):
        return self.outcome == "answered" and self.ended <= self.arrived + SLO_S


class Replay:
    """Targets, nodes and the coordinator; ``rates`` lists (until, calls a second).

    ``queue`` is the number of calls that a target takes beyond its slots, ``failing``
    the share of failures by target. ``knows_times`` is whether nodes decide by times,
    ``lost`` the part of the notices that is lost (1: none is sent), ``no_views_from``
    when views end and ``slow_node`` a node whose answers take 0.5 s longer.
    """

    def __init__(
        self, nodes, rates, seed=1, queue=12, failing=None, knows_times=True, lost=0.2,
        no_views_from=1e9, slow_node=None,
    ):  # fmt: skip
        self.rng, self.rates, self.queue = Random(seed), rates, queue
        self.failing, self.lost = failing or {}, lost
        self.no_views_from, self.slow_node = no_views_from, slow_node
        self.nodes = [PlainCalls() for _ in range(nodes)]
        for node in self.nodes:
            node.configure({"s"} if knows_times else ())
            node.set_targets(TARGETS)
        self.knows_times = knows_times
        self.own = [dict.fromkeys(TARGETS, 0) for _ in self.nodes]
        self.sent = [{}] * nodes
        self.others = [{}] * nodes
        self.reports = [(0.0, {}, {})] * nodes
        self.waiting = [[] for _ in self.nodes]
        self.running = dict.fromkeys(TARGETS, 0)
        self.queued = {name: [] for name in TARGETS}
        self.fleet, self.calls, self.events = FleetCallTimes(), [], []
        self.number, self.interval_s = count(), exchange_interval_s(nodes)
        self.mean_waits = []

    def run(self):
        """Play all calls and return them."""
        for node in range(len(self.nodes)):
            self._at(self.rng.random() * self.interval_s, self._report, node)
        self._at(0.0, self._view)
        self._at(0.0, self._arrive)
        self.until = self.rates[-1][0]
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self.calls

    def _at(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.number), action, arguments))

    def _arrive(self, now):
        rate = next((rate for until, rate in self.rates if now < until), None)
        if rate is None:
            return
        self._at(now + self.rng.expovariate(rate), self._arrive)
        node, fraction = self.rng.randrange(len(self.nodes)), self.rng.random()
        job = Job(
            str(len(self.calls)) + str(fraction), "s", ("", ""), 0, 0, now, SLO_S,
            now + 0.6 * SLO_S, fraction, digest="d", ends_at=now + DEADLINE_S,
        )  # fmt: skip
        self._decide(now, node, job)

    def _candidates(self, node, job):
        rows = []
        for name in sorted(TARGETS.keys() - job.excluded or TARGETS):
            own = TargetLoad(self.own[node][name], 0)
            running, _ = current_load(own, self.others[node].get(name), None)
            rows.append(Candidate(name, "z", SLOTS + 2, running, 0))
        return rows

    def _decide(self, now, node, job):
        decision = self.nodes[node].decide(now, job, self._candidates(node, job), "z")
        if isinstance(decision, Wait):
            self.waiting[node].append(job)
            if len(self.waiting[node]) == 1:
                self._at(now + ROUND_S * self.rng.random(), self._retry, node)
        elif isinstance(decision, Send):
            self._send(now, node, job, decision.target_id)
        else:
            self._end(now, job, "refused", "")

    def _retry(self, now, node):
        jobs, self.waiting[node] = self.waiting[node], []
        for job in jobs:
            self._decide(now, node, job)

    def _send(self, now, node, job, name):
        is_announced = self.nodes[node].announces(now, job.service)
        if self.knows_times and self.lost < 1.0 and is_announced:
            self._at(now + NOTICE_S, self._notice, node, name)
        if self.running[name] + len(self.queued[name]) >= SLOTS + self.queue:
            self.nodes[node].record_full(now, TARGETS[name], job.request_id)
            job = job._replace(
                attempts=job.attempts + 1, excluded=job.excluded | {name}
            )
            if job.attempts < 3:
                self._decide(now, node, job)
            else:
                self._end(now, job, "refused", name)
            return
        self.own[node][name] += 1
        self.queued[name].append((now, node, job))
        self._start(now, name)

    def _start(self, now, name):
        while self.queued[name] and self.running[name] < SLOTS:
            self.running[name] += 1
            call_s = self.rng.lognormvariate(log(CALL_S) - SPREAD**2 / 2, SPREAD)
            self._at(now + call_s, self._finish, name, *self.queued[name].pop(0))

    def _finish(self, now, name, sent_at, node, job):
        self.running[name] -= 1
        self.own[node][name] -= 1
        fails = self.rng.random() < self.failing.get(name, 0.0)
        took_s = now - sent_at + (0.5 if node == self.slow_node else 0.0)
        self.nodes[node].record_answer(
            now, TARGETS[name], job.request_id, took_s, fails
        )
        self._end(now, job, "failed" if fails else "answered", name)
        self._start(now, name)
        if self.waiting[node]:
            self._retry(now, node)

    def _end(self, now, job, outcome, name):
        is_free = min(self.running.values()) < SLOTS
        self.calls.append(Call(job.arrived, now, outcome, name, job.attempts, is_free))

    def _notice(self, now, sender, name):
        for index, node in enumerate(self.nodes):
            if index != sender and self.rng.random() >= self.lost:
                node.apply_send(now, name)

    def _report(self, now, node):
        rows = self.nodes[node].report_rows(now)
        self.reports[node] = (now, dict(self.own[node]), rows)
        if now < self.until:
            self._at(now + self.interval_s, self._report, node)

    def _view(self, now):
        if now > min(self.until, self.no_views_from):
            return
        times = self.fleet.update(
            now, [(at, rows) for at, _, rows in self.reports], TARGETS
        )
        loads = {
            name: TargetLoad(sum(own.get(name, 0) for _, own, _ in self.reports), 0)
            for name in TARGETS
        }
        acked = [
            {name: TargetLoad(n, 0) for name, n in own.items()}
            for _, own, _ in self.reports
        ]
        self._at(now + VIEW_S, self._apply_view, times, loads, acked)
        self._at(now + self.interval_s, self._view)

    def _apply_view(self, now, times, loads, acked):
        for index, node in enumerate(self.nodes):
            self.others[index] = loads_of_others(loads, acked[index])
            node.apply_view(now, times, self.others[index], len(self.nodes))
