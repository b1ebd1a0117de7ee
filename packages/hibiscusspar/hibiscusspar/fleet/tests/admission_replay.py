"""Replay of a burst against the decisions of many nodes, with or without levels."""

import heapq
from collections import Counter
from itertools import count
from random import Random

from hibiscusspar.fleet.admission import FleetAdmission, NodeDemand
from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.node_admission import NodeAdmission
from hibiscusspar.fleet.peers import decision_interval_s
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.routing import Candidate
from hibiscusspar.fleet.waiting import Job, Refuse, Send, decide

GOALS_S = {0: 0.8, 1: 1.0, 2: 2.0}
# Requests by priority in a calm period, as shares of the capacity of the engines.
CALM = (0.22, 0.22, 0.31)
# The least urgent class comes 2.3 times as often in the burst; an account that sends a
# tenth of the middle class does so 4.8 times as often.
BURST = (0.22, 0.22 * (0.9 + 0.1 * 4.8), 0.31 * 2.3)
TOKENS_S = 19_200.0
PROMPT_TOKENS = 1460
ZONES = 3
STREAM_S, DEADLINE_S = 2.0, 15.0
TICK_S = 0.02


class Replay:
    """Engines, the nodes that send to them, and callers who return when told.

    ``has_levels`` is whether the nodes and the coordinator know of several priorities;
    the rules are otherwise those of commit d960ef2. ``hasty`` is the number of times
    that a caller retries at once. ``lost_views`` holds the times between which no view
    arrives, ``new_coordinator_at`` when another node takes over. ``old_nodes`` neither
    report nor limit accounts, ``lost_reports`` is the part of the reports that is lost.
    """

    def __init__(
        self, nodes, has_levels, hasty=0, lost_views=(), new_coordinator_at=0,
        old_nodes=0, lost_reports=0.0,
    ):  # fmt: skip
        self.rng = Random(nodes)
        self.per_s = 4.0 * nodes / sum(CALM)
        targets = round(self.per_s * PROMPT_TOKENS / TOKENS_S)
        self.done_at, self.ends = [0.0] * targets, [[] for _ in range(targets)]
        # Notices tell all nodes at once of prompts, only views of running requests.
        self.queue = PromptQueues(TOKENS_S)
        self.running = [0] * targets
        self.gates = [NodeAdmission() for _ in range(nodes)]
        self.waiting = [[] for _ in range(nodes)]
        self.next_round = [0.0] * nodes
        for gate in self.gates if has_levels else ():
            gate.configure({"s": GOALS_S})
        self.has_levels, self.hasty = has_levels, hasty
        self.lost_views, self.new_coordinator_at = lost_views, new_coordinator_at
        self.old_nodes, self.lost_reports = old_nodes, lost_reports
        self.coordinator, self.reports = None, {}
        self.asked, self.served, self.in_time = Counter(), Counter(), Counter()
        self.account_asked, self.account_served = Counter(), Counter()
        self.refusals, self.levels = [], []
        self.events, self.serial = [], count()

    def run(self, phases):
        """Play phases: seconds and requests by priority, or by priority and account."""
        starts_at = 0.0
        for seconds, rates in phases:
            if not isinstance(rates, dict):
                rates = {(priority, ""): rate for priority, rate in enumerate(rates)}
            for sender, rate in rates.items():
                at = starts_at
                while (at := at + self.rng.expovariate(rate * self.per_s)) < (
                    starts_at + seconds
                ):
                    self._push(at, self._arrive, *sender)
            starts_at += seconds
        interval_s = exchange_interval_s(len(self.gates))
        for step in range(int((starts_at + 5.0) / interval_s)):
            self._push(step * interval_s, self._exchange, step)
        while self.events:
            now, _, function, arguments = heapq.heappop(self.events)
            function(now, *arguments)
        return self

    def shares(self, counts):
        """Return the part of the requests by priority."""
        return [counts[priority] / self.asked[priority] for priority in sorted(GOALS_S)]

    def account_shares(self):
        """Return the part of the requests of each account that was served."""
        return {a: self.account_served[a] / n for a, n in self.account_asked.items()}

    def _push(self, at, function, *arguments):
        heapq.heappush(self.events, (at, next(self.serial), function, arguments))

    def _arrive(self, now, priority, account):
        self.asked[priority] += 1
        self.account_asked[account] += 1
        # An adapter has a copy in each zone; target and node numbers give the zone.
        rows = range(len(self.done_at))
        copies = [self.rng.choice(rows[zone::ZONES]) for zone in range(ZONES)]
        name = f"r{next(self.serial)}"
        self._submit(now, name, priority, account, now, copies, 0)

    def _submit(self, now, name, priority, account, first_at, copies, tries):
        node = self.rng.randrange(len(self.gates))
        goal_s = GOALS_S[priority]
        job = Job(
            name, "s", ("m", "a"), priority, PROMPT_TOKENS, first_at, goal_s,
            now + 1.5 * goal_s, self.rng.random(), 0.3, 1, returned_s=now - first_at,
            account="" if node < self.old_nodes else account,
        )  # fmt: skip
        call = (self.gates[node].enter(now, job), now, account, copies, tries)
        busy_jobs = [waiting[0] for waiting in self.waiting[node]]
        must_yield = self.gates[node].must_yield(now, job, busy_jobs)
        if must_yield or not self._decide(now, node, call):
            self.waiting[node].append(call)
            if len(self.waiting[node]) == 1:
                self._push(now + TICK_S, self._retry, node)

    def _retry(self, now, node):
        if now >= self.next_round[node]:
            peers = len(self.gates) // ZONES
            wait_s = decision_interval_s(peers, self.rng.random())
            self.next_round[node] = now + wait_s
            gate, taken = self.gates[node], set()
            self.waiting[node].sort(key=lambda call: gate.sort_key(now, call[0]))
            self.waiting[node] = [
                call
                for call in self.waiting[node]
                if not self._decide(now, node, call, taken)
            ]
        if self.waiting[node]:
            self._push(now + TICK_S, self._retry, node)

    def _decide(self, now, node, call, taken=frozenset()):
        job, submitted_at, account, copies, tries = call
        zone = node % ZONES
        open_copies = [c for c in copies if c not in taken or now >= job.give_up_at]
        if not open_copies:
            return False
        rows = [
            Candidate(
                c, c % ZONES, 128, self.running[c], 0, self.queue.backlog_s(now, c)
            )
            for c in open_copies
        ]
        gate = self.gates[node]
        decision = gate.review(now, job, decide(now, job, rows, zone))
        if isinstance(decision, Send):
            gate.record(now, job, decision)
            self._send(now, job, decision.target_id)
            self.account_served[account] += 1
            if taken != frozenset():
                taken.add(decision.target_id)
            return True
        if not isinstance(decision, Refuse):
            return False
        gate.record(now, job, decision)
        self.refusals.append((now, job.priority, now - submitted_at))
        wait_s = 0.02 if tries < self.hasty else decision.retry_after_s
        if now + wait_s < job.arrived + DEADLINE_S and tries < self.hasty + 3:
            sender = (job.request_id, job.priority, account)
            again = (job.arrived, copies, tries + 1)
            self._push(now + wait_s, self._submit, *sender, *again)
        return True

    def _send(self, now, job, target):
        done_at = max(now, self.done_at[target]) + PROMPT_TOKENS / TOKENS_S
        self.done_at[target] = done_at
        self.queue.record_send(now, target, PROMPT_TOKENS)
        self.ends[target].append(done_at + STREAM_S)
        self.served[job.priority] += 1
        self.in_time[job.priority] += done_at <= job.arrived + job.first_byte_slo_s

    def _exchange(self, now, step):
        """Send a view, made of reports that are half an interval old on average."""
        if (
            self.coordinator is None
            or self.new_coordinator_at
            and (now >= self.new_coordinator_at)
        ):
            self.coordinator, self.new_coordinator_at = FleetAdmission(), 0
            self.coordinator.configure({"s": GOALS_S})
        levels = None
        if self.has_levels:
            levels = self.coordinator.update(now, list(self.reports.values()))
            self.levels.append((now, levels))
        is_lost = self.lost_views and self.lost_views[0] <= now < self.lost_views[1]
        for node, gate in enumerate(self.gates):
            if not is_lost:
                row = self.reports.get(node)
                gate.apply_levels(now, levels, row.at if row else None)
            waiting = gate.waiting(call[0] for call in self.waiting[node])
            row = NodeDemand(
                str(node), "s", now, gate.asked(), gate.booked(now), waiting,
                gate.asked_by_account(now),
            )  # fmt: skip
            if not self.lost_reports or self.rng.random() >= self.lost_reports:
                self.reports[node] = row
        if is_lost:
            return
        for target, ends in enumerate(self.ends):
            self.ends[target] = [at for at in ends if at > now]
            self.running[target] = len(self.ends[target])
