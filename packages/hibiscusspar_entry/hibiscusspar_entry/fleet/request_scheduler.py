"""What one node knows of the fleet, and the requests that wait on it."""

import random
import threading
from collections import Counter, deque
from typing import NamedTuple

from hibiscusspar.fleet.messages import (
    NodeReport,
    TargetLoad,
    Want,
    adapter_key,
    adapter_label,
)
from hibiscusspar.fleet.peers import decision_interval_s
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.routing import Candidate, ChoicePolicy, backlog_s
from hibiscusspar.fleet.waiting import Send, Wait, decide, job_sort_key
from hibiscusspar.outbox import Outbox
from hibiscusspar_entry.event_log import write_records

__all__ = ["Placement", "RequestScheduler", "Ticket"]

_CHOICE = ChoicePolicy()
# Age of a view beyond which the directory's own entries are believed as well.
_VIEW_STALE_S = 1.5
# How long a target that denied an adapter is not asked for it again.
_DENIED_S = 0.15
_KEPT_REPORTS = 64
# Fence and number of the state of a target that was never told.
_NO_STATE = (0, -1)
# Failures that a refused connection counts as: enough to leave the target.
_UNREACHABLE_FAILURES = 3
# Requests beyond its slots that a plain target may queue.
_PLAIN_QUEUE = 2


class Placement(NamedTuple):
    """A request's place at a target."""

    target: object
    key: tuple[str, str]
    version: int
    prompt_tokens: int
    estimate_s: float


class Ticket:
    """A request that waits for a decision."""

    def __init__(self, job):
        self.job = job
        self.decision = None
        self.placement = None
        self.decided = threading.Event()

    def settle(self, decision, placement=None):
        """Hand the decision to the thread of the request."""
        self.decision = decision
        self.placement = placement
        self.decided.set()


class RequestScheduler:
    """Tables of one node under one lock.

    Parameters
    ----------
    node, start, zone : str
    clock : callable
    ejection : EjectionTable
    version_grace_s : float
        How long an older version of an adapter may serve after a newer one was
        announced.
    """

    def __init__(self, node, start, zone, clock, ejection, version_grace_s):
        self.lock = threading.Lock()
        self.zone = zone
        self._node = node
        self._start = start
        self._clock = clock
        self._ejection = ejection
        self._version_grace_s = version_grace_s
        self._targets = {}
        self._engines = {}
        self._waiting = []
        self._loads = {}
        self._in_use = {}
        self._begun = {}
        self._residency = {}
        self._view = None
        self._viewed_at = None
        self._acked_loads = {}
        self._newest = {}
        self._denied = {}
        self._reports = deque(maxlen=_KEPT_REPORTS)
        self._number = 0
        self._queues = PromptQueues(_CHOICE.prompt_tokens_s)
        self._rng = random.Random(f"{node}/{start}")
        self._decides_at = 0.0
        self.peers_near = 0
        self.on_want = lambda: None
        self.on_sent = lambda target, tokens: None

    @property
    def view_age_s(self):
        """Seconds since the coordinator's last view, None if there was none."""
        if self._viewed_at is None:
            return None
        return self._clock() - self._viewed_at

    @property
    def nodes(self):
        """Number of nodes by the last view; 1 before it."""
        return max(1, self._view.nodes) if self._view else 1

    def configure(self, ruleset):
        """Take in which services are engines."""
        with self.lock:
            self._engines = {
                service.name: service.engine is not None
                for service in ruleset.services.values()
            }

    def set_targets(self, targets):
        """Take in the directory and decide about waiting requests."""
        with self.lock:
            self._targets = targets
            self._queues.keep(targets)
            self._ejection.keep(targets)
            self._drain(self._clock())

    def announce(self, key, version, age_s=0.0):
        """Take in that a version of an adapter was announced some time ago."""
        with self.lock:
            known, _ = self._newest.get(key, (0, 0.0))
            if version > known:
                self._newest[key] = (version, self._clock() - age_s)

    def take_view(self, view):
        """Take in a view; return the tokens that its sender knew of this node."""
        with self.lock:
            now = self._clock()
            self._view = view
            self._viewed_at = now
            self._acked_loads, used = self._acked()
            for target_id, (number, rows) in view.residency.items():
                state = (view.fence, number)
                known, _ = self._residency.get(target_id, (_NO_STATE, None))
                if state > known:
                    self._residency[target_id] = (state, _copies(now, rows))
            for target_id in view.loads:
                if target_id in self._targets:
                    candidate = self._candidate(now, self._targets[target_id])
                    reported_s = backlog_s(_CHOICE, candidate)
                    self._queues.reported(now, target_id, reported_s)
            return used

    def take_notice(self, notice):
        """Take in what another node has just sent."""
        with self.lock:
            now = self._clock()
            for target_id, tokens in notice.sends:
                if target_id in self._targets:
                    self._queues.sent(now, target_id, tokens)

    def submit(self, job):
        """Return the ticket of a request, decided or waiting."""
        ticket = Ticket(job)
        with self.lock:
            now = self._clock()
            if not self._decide(now, ticket):
                self._waiting.append(ticket)
        if not ticket.decided.is_set():
            self.on_want()
        return ticket

    def withdraw(self, ticket):
        """Stop waiting; give back the place if one was just found."""
        with self.lock:
            if ticket in self._waiting:
                self._waiting.remove(ticket)
            placement = ticket.placement
        if placement is not None:
            self.finish(placement, first_byte=False)

    def first_byte(self, placement):
        """Note that a request's prompt was read."""
        with self.lock:
            load = self._load(placement.target.target_id)
            load.queued_prompt_tokens -= placement.prompt_tokens

    def finish(self, placement, first_byte):
        """Give back a place; ``first_byte`` is whether one had come."""
        with self.lock:
            target_id = placement.target.target_id
            load = self._load(target_id)
            load.running -= 1
            if not first_byte:
                load.queued_prompt_tokens -= placement.prompt_tokens
            in_use = self._in_use.get(target_id)
            if in_use is not None:
                in_use[placement.key] -= 1
                if in_use[placement.key] <= 0:
                    del in_use[placement.key]
                    del self._begun[target_id][placement.key]
            self._drain(self._clock())

    def denied(self, placement):
        """Note that a target does not hold what it should."""
        with self.lock:
            row = (placement.target.target_id, placement.key)
            self._denied[row] = self._clock() + _DENIED_S

    def succeeded(self, target_id):
        """Note that a target answered."""
        with self.lock:
            out = Outbox()
            self._ejection.succeeded(target_id, out)
        write_records(out.records)

    def failed(self, target_id, unreachable=False):
        """Note that a target failed a request, or can't be reached at all."""
        with self.lock:
            out = Outbox()
            for _ in range(_UNREACHABLE_FAILURES if unreachable else 1):
                self._ejection.failed(self._clock(), target_id, out)
        write_records(out.records)

    def tick(self):
        """Decide again about all waiting requests."""
        with self.lock:
            now = self._clock()
            self._denied = {row: at for row, at in self._denied.items() if at > now}
            self._drain(now)

    def report(self, used, duties=None):
        """Return this node's report to the coordinator."""
        with self.lock:
            self._number += 1
            loads = {
                target_id: TargetLoad(load.running, load.queued_prompt_tokens)
                for target_id, load in self._loads.items()
                if load.running or load.queued_prompt_tokens
            }
            self._reports.append((self._number, loads, dict(used)))
            return NodeReport(
                node=self._node,
                start=self._start,
                zone=self.zone,
                number=self._number,
                loads=loads,
                in_use={
                    target_id: {adapter_label(key): n for key, n in keys.items()}
                    for target_id, keys in self._begun.items()
                    if keys
                },
                wants=self._wants(),
                used=dict(used),
                duties=duties or {},
            )

    @property
    def has_waiting(self):
        """Whether requests wait for a target."""
        return bool(self._waiting)

    def status(self):
        """Return counts for the metrics: waiting requests, targets, running."""
        with self.lock:
            running = sum(load.running for load in self._loads.values())
            return len(self._waiting), len(self._targets), running

    def _load(self, target_id):
        return self._loads.setdefault(target_id, TargetLoad(0, 0))

    def _acked(self):
        """Return loads and tokens of the report that the last view answers."""
        number = self._view.acked.get(self._node, 0)
        for sent, loads, used in self._reports:
            if sent == number:
                return loads, used
        return {}, {}

    def _drain(self, now):
        """Decide about waiting requests, unless that was done just now."""
        if self._waiting and now >= self._decides_at:
            gap_s = decision_interval_s(self.peers_near, self._rng.random())
            self._decides_at = now + gap_s
            self._waiting.sort(key=lambda ticket: job_sort_key(now, ticket.job))
            taken = set()
            self._waiting = [
                ticket
                for ticket in self._waiting
                if not self._decide(now, ticket, taken)
            ]

    def _decide(self, now, ticket, taken=None):
        """Decide about a request; return whether it waits no longer.

        ``taken`` holds the targets that got a stream in this round of decisions. Each
        gets one, so that nodes that decide at the same moment send it no more.
        """
        job = ticket.job
        candidates, versions = self._candidates(now, job)
        if taken and job.max_gap_s and self.peers_near and now < job.give_up_at:
            left = [row for row in candidates if row.target_id not in taken]
            if candidates and not left:
                return False
            candidates = left
        decision = decide(now, job, candidates, self.zone)
        if isinstance(decision, Wait):
            return False
        if not isinstance(decision, Send):
            ticket.settle(decision)
            return True
        target = self._targets[decision.target_id]
        placement = Placement(
            target,
            job.key,
            versions[decision.target_id],
            job.prompt_tokens,
            decision.first_byte_s,
        )
        load = self._load(target.target_id)
        load.running += 1
        load.queued_prompt_tokens += job.prompt_tokens
        if job.key[0]:
            self._in_use.setdefault(target.target_id, Counter())[job.key] += 1
            self._begun.setdefault(target.target_id, Counter())[job.key] += 1
        if self._engines.get(target.service):
            self._queues.sent(now, target.target_id, job.prompt_tokens)
            self.on_sent(target, job.prompt_tokens)
        if taken is not None:
            taken.add(target.target_id)
        self._ejection.record_attempt(now, target.target_id, Outbox())
        ticket.settle(decision, placement)
        return True

    def _candidates(self, now, job):
        """Return the targets that can run a job, and the version each has."""
        barred = self._barred(now, job.service)
        versions = {}
        for target in self._targets.values():
            if target.service != job.service or target.draining:
                continue
            version = self._version_at(now, target, job.key)
            if version is not None and target.target_id not in barred:
                versions[target.target_id] = version
        newest = max(versions.values(), default=0)
        if job.key[1]:
            versions = {t: v for t, v in versions.items() if v == newest or not v}
        usable = versions.keys() - job.excluded or versions.keys()
        return [
            self._candidate(now, self._targets[target_id])
            for target_id in sorted(usable)
        ], versions

    def _barred(self, now, service):
        """Return the targets of a service that get no new request now."""
        found = [
            target.target_id
            for target in self._targets.values()
            if target.service == service and not target.draining
        ]
        return self._ejection.excluded(now, sorted(found))

    def _candidate(self, now, target):
        target_id = target.target_id
        own = self._loads.get(target_id)
        running, unread = (own.running, own.queued_prompt_tokens) if own else (0, 0)
        others = self._view.loads.get(target_id) if self._view else None
        if others is not None:
            told = self._told(target_id)
            running += max(0, others.running - told.running)
            unread += max(0, others.queued_prompt_tokens - told.queued_prompt_tokens)
        slots = target.slots
        if not self._engines.get(target.service):
            slots += _PLAIN_QUEUE
        return Candidate(
            target_id,
            target.zone,
            slots,
            running,
            max(0, unread),
            self._queues.backlog_s(now, target_id),
        )

    def _told(self, target_id):
        """Return this node's part in the loads of the last view."""
        return self._acked_loads.get(target_id) or TargetLoad(0, 0)

    def _version_at(self, now, target, key):
        """Return the version of what a job needs at a target, None if absent."""
        model, adapter = key
        if not model:
            return 0
        if not adapter:
            return target.models.get(model)
        if (target.target_id, key) in self._denied:
            return None
        copy = self._copy(now, target, key)
        if copy is None or copy[1] > now:
            return None
        newest, announced_at = self._newest.get(key, (0, 0.0))
        if copy[0] < newest and now > announced_at + self._version_grace_s:
            return None
        return copy[0]

    def _copy(self, now, target, key):
        found = self._residency.get(target.target_id)
        fresh = self._viewed_at is not None and now < self._viewed_at + _VIEW_STALE_S
        if found is not None:
            copy = found[1].get(key)
            if copy is not None or fresh:
                return copy
        version = target.adapters.get(key)
        return None if version is None else (version, 0.0)

    def _wants(self):
        groups = {}
        now = self._clock()
        for ticket in self._waiting:
            job = ticket.job
            if job.key[1]:
                groups.setdefault((job.service, job.key), []).append(job)
        wants = []
        for (service, key), jobs in groups.items():
            candidates, _ = self._candidates(now, jobs[0])
            tokens = sum(job.prompt_tokens for job in jobs)
            priority = min(job.priority for job in jobs)
            model, adapter = key
            wants.append(
                Want(
                    service,
                    model,
                    adapter,
                    len(jobs),
                    tokens,
                    priority,
                    bool(candidates),
                    sorted(self._barred(now, service)),
                    self.zone,
                )
            )
        return wants


def _copies(now, rows):
    copies = {}
    for label, version, in_s in rows:
        copies[adapter_key(label)] = (version, now + in_s)
    return copies
