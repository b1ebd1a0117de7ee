"""A failure of targets for 30 s in virtual time, under several retry policies."""

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
RATE_PER_S = 120.0  # 62 % of what six targets can run
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
    """Counts over the arrivals during the outage."""

    requests: int
    attempts: int
    answered: int
    not_run: int
    unknown: int
    late_s: float


class _Alone:
    vm = "vm"
    zone = "zone"

    def live(self, zone=""):
        return [Member("vm", "zone", "")]

    def suspected(self, vm):
        return False


class _Run:
    """One simulated entry VM and its targets."""

    def __init__(self, policy, failing, seed):
        self.rng = Random(seed)
        self.arrivals = Random(seed + 2)
        self.system = RequestSystem(_Alone(), Random(seed + 1), "1", policy)
        self.failing = {str(n) for n in range(failing)}
        self.targets = [str(n) for n in range(TARGETS)]
        self.running = dict.fromkeys(self.targets, 0)
        self.events = []
        self.order = count()
        self.out = Outbox()
        self.started = {}
        self.attempts = {}
        self.ends = {}

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def play(self):
        self.at(0.0, self.arrive, 0)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
            self.out = Outbox()

    def arrive(self, now, number):
        if now < END_S:
            self.at(
                now + self.arrivals.expovariate(RATE_PER_S), self.arrive, number + 1
            )
        request = str(number)
        self.started[request] = now
        self.attempts[request] = 0
        self.system.begin(request, True)
        self.system.step(request, Step.RESERVE, self.out, 1)
        self.system.step(request, Step.ENQUEUE, self.out)
        self.send(now, request)

    def send(self, now, request):
        excluded = self.system.ejection.excluded(now, self.targets)
        open_targets = [t for t in self.targets if t not in excluded]
        two = self.rng.sample(open_targets, min(2, len(open_targets)))
        target = min(two, key=lambda t: self.running[t])
        self.system.step(request, Step.GRANT, self.out)
        self.system.step(request, Step.SEND, self.out)
        self.system.ejection.record_attempt(now, target, self.out)
        self.attempts[request] += 1
        if self.is_down(now, target):
            self.at(now + FAILURE_S, self.fail, request, target, Cause.CLOSED)
        elif self.running[target] >= CONCURRENCY:
            self.at(now + FAILURE_S, self.fail, request, target, Cause.DISCLAIMED)
        else:
            self.running[target] += 1
            self.at(now + SERVICE_S, self.answer, request, target)

    def is_down(self, now, target):
        within = OUTAGE_START_S <= now < OUTAGE_START_S + OUTAGE_S
        return within and target in self.failing

    def answer(self, now, request, target):
        self.running[target] -= 1
        if self.is_down(now, target):
            self.fail(now, request, target, Cause.CLOSED)
            return
        self.system.ejection.succeeded(target, self.out)
        self.system.step(request, Step.BEGIN_ANSWER, self.out)
        state = self.system.step(request, Step.COMPLETE, self.out, 1)
        self.ends[request] = (state.outcome, now)

    def fail(self, now, request, target, cause):
        deadline = self.started[request] + DEADLINE_S
        decision = self.system.attempt_failed(
            now, request, target, cause, deadline, self.out
        )
        if isinstance(decision, Retry):
            self.at(now + decision.delay_s, self.send, request)
            return
        state = self.system.step(request, Step.GIVE_UP, self.out)
        self.ends[request] = (state.outcome, now)


def simulate(policy, failing, seed=1):
    """Return the :class:`Totals` of one run.

    Parameters
    ----------
    policy : RetryPolicy
    failing : int
        Number of targets that close every connection during the outage.
    seed : int
    """
    run = _Run(policy, failing, seed)
    run.play()
    last = OUTAGE_START_S + OUTAGE_S
    ids = [r for r, at in run.started.items() if OUTAGE_START_S <= at < last]
    outcomes = [run.ends[r][0] for r in ids]
    waits = sorted(run.ends[r][1] - run.started[r] for r in ids)
    return Totals(
        len(ids),
        sum(run.attempts[r] for r in ids),
        outcomes.count(Outcome.ANSWERED),
        outcomes.count(Outcome.NOT_RUN),
        outcomes.count(Outcome.UNKNOWN),
        waits[int(0.99 * len(waits))],
    )
