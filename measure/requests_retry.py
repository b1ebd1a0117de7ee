"""Simulated outage of targets for 30 s under several retry policies."""

import heapq
from itertools import count
from random import Random
from typing import NamedTuple

from hibiscusspar.outbox import Outbox
from hibiscusspar.ports import Member
from hibiscusspar.requests.lifecycle import Outcome, Step
from hibiscusspar.requests.retry import Cause, Retry, RetryPolicy
from hibiscusspar.requests.system import RequestSystem

__all__ = ["POLICIES", "Totals", "simulate"]

TARGETS = 6
CONCURRENCY = 16
SERVICE_S = 0.5
FAILURE_S = 0.05
RATE_PER_S = 120.0  # 62 % of the capacity of six targets
DEADLINE_S = 10.0
OUTAGE_START_S = 10.0
OUTAGE_S = 30.0
END_S = 60.0
UNBOUNDED = 10**6

POLICIES = {
    "no retries": RetryPolicy(max_attempts=1),
    "budget of 10 %": RetryPolicy(),
    "unbounded": RetryPolicy(fraction=1.0, burst=UNBOUNDED, max_attempts=UNBOUNDED),
}


class Totals(NamedTuple):
    """Counts over the arrivals during the outage.

    ``p99_s`` is the 99th percentile of the time to the end of a request.
    """

    requests: int
    attempts: int
    answered: int
    not_run: int
    unknown: int
    p99_s: float


class _SingleMember:
    vm = "vm"
    zone = "zone"

    def live(self, zone=""):
        return [Member("vm", "zone", "")]

    def suspected(self, vm):
        return False


class _Simulation:
    """Simulation of one entry VM and its targets."""

    def __init__(self, policy, failing, seed):
        self.rng = Random(seed)
        self.arrival_rng = Random(seed + 2)
        self.system = RequestSystem(_SingleMember(), Random(seed + 1), "1", policy)
        self.failing = {str(n) for n in range(failing)}
        self.targets = [str(n) for n in range(TARGETS)]
        self.running = dict.fromkeys(self.targets, 0)
        self.events = []
        self.sequence = count()
        self.out = Outbox()
        self.arrived_at = {}
        self.attempts = {}
        self.results = {}

    def call_at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.sequence), action, args))

    def run_events(self):
        self.call_at(0.0, self.arrive, 0)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
            self.out = Outbox()

    def arrive(self, now, number):
        if now < END_S:
            self.call_at(
                now + self.arrival_rng.expovariate(RATE_PER_S), self.arrive, number + 1
            )
        request = str(number)
        self.arrived_at[request] = now
        self.attempts[request] = 0
        self.system.begin(request, True)
        self.system.step(request, Step.RESERVE, self.out, 1)
        self.system.step(request, Step.ENQUEUE, self.out)
        self.send(now, request)

    def send(self, now, request):
        excluded = self.system.ejection.excluded(now, self.targets)
        available = [t for t in self.targets if t not in excluded]
        candidates = self.rng.sample(available, min(2, len(available)))
        target = min(candidates, key=lambda t: self.running[t])
        self.system.step(request, Step.GRANT, self.out)
        self.system.step(request, Step.SEND, self.out)
        self.system.ejection.record_attempt(now, target, self.out)
        self.attempts[request] += 1
        if self.is_down(now, target):
            self.call_at(now + FAILURE_S, self.fail, request, target, Cause.CLOSED)
        elif self.running[target] >= CONCURRENCY:
            self.call_at(now + FAILURE_S, self.fail, request, target, Cause.DISCLAIMED)
        else:
            self.running[target] += 1
            self.call_at(now + SERVICE_S, self.answer, request, target)

    def is_down(self, now, target):
        in_outage = OUTAGE_START_S <= now < OUTAGE_START_S + OUTAGE_S
        return in_outage and target in self.failing

    def answer(self, now, request, target):
        self.running[target] -= 1
        if self.is_down(now, target):
            self.fail(now, request, target, Cause.CLOSED)
            return
        self.system.ejection.succeeded(target, self.out)
        self.system.step(request, Step.BEGIN_ANSWER, self.out)
        state = self.system.step(request, Step.COMPLETE, self.out, 1)
        self.results[request] = (state.outcome, now)

    def fail(self, now, request, target, cause):
        deadline = self.arrived_at[request] + DEADLINE_S
        decision = self.system.attempt_failed(
            now, request, target, cause, deadline, self.out
        )
        if isinstance(decision, Retry):
            self.call_at(now + decision.delay_s, self.send, request)
            return
        state = self.system.step(request, Step.GIVE_UP, self.out)
        self.results[request] = (state.outcome, now)


def simulate(policy, failing, seed=1):
    """Return the :class:`Totals` of one simulated run.

    Parameters
    ----------
    policy : RetryPolicy
    failing : int
        Number of targets that close every connection during the outage.
    seed : int
    """
    simulation = _Simulation(policy, failing, seed)
    simulation.run_events()
    outage_end = OUTAGE_START_S + OUTAGE_S
    ids = [
        r
        for r, at in simulation.arrived_at.items()
        if OUTAGE_START_S <= at < outage_end
    ]
    outcomes = [simulation.results[r][0] for r in ids]
    waits = sorted(simulation.results[r][1] - simulation.arrived_at[r] for r in ids)
    return Totals(
        len(ids),
        sum(simulation.attempts[r] for r in ids),
        outcomes.count(Outcome.ANSWERED),
        outcomes.count(Outcome.NOT_RUN),
        outcomes.count(Outcome.UNKNOWN),
        waits[int(0.99 * len(waits))],
    )
