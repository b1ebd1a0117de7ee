"""Request traces and baselines for placement, in virtual time."""

from bisect import bisect
from collections import defaultdict, deque
from heapq import heappop, heappush
from itertools import accumulate, count
from typing import NamedTuple

from hibiscusspar.placement.demand import HALF_LIFE_S, DemandTable

__all__ = [
    "ADAPTER_LOAD_S",
    "Arrival",
    "Baseline",
    "Outcome",
    "Profile",
    "make_trace",
    "offline_bound",
    "pooled_frequency",
]

ADAPTER_LOAD_S = 0.25
ADAPTER_LOAD_INTERVAL_S = 1 / 3
FULL_SPEED_TRANSFERS = 8


class Profile(NamedTuple):
    """Load of one user; rates are in requests per second.

    Popularity follows Zipf's law with ``exponent``. In the last ``burst_s`` seconds
    of every ``period_s`` the rate is ``burst_rate`` and the exponent
    ``burst_exponent``. Every ``shift_s`` seconds the most popular adapters swap
    ranks with others.
    """

    name: str
    adapters: int
    rate: float
    exponent: float
    period_s: float
    burst_s: float
    burst_rate: float
    burst_exponent: float
    shift_s: float
    service_s: float


class Arrival(NamedTuple):
    """One request of a trace."""

    at: float
    adapter: int
    service_s: float


class Outcome(NamedTuple):
    """Arrival time and wait of one request, in seconds."""

    at: float
    wait_s: float


def make_trace(profile, seconds, rng):
    """Return the arrivals of one user over some seconds."""
    ranks = list(range(profile.adapters))
    rng.shuffle(ranks)
    normal_weights = _zipf_weights(profile.adapters, profile.exponent)
    burst_weights = _zipf_weights(profile.adapters, profile.burst_exponent)
    arrivals = []
    now, next_shift = 0.0, profile.shift_s
    while now < seconds:
        burst = now % profile.period_s >= profile.period_s - profile.burst_s
        now += rng.expovariate(profile.burst_rate if burst else profile.rate)
        if now >= next_shift:
            next_shift += profile.shift_s
            _swap_popular(ranks, rng)
        weights = burst_weights if burst else normal_weights
        rank = min(bisect(weights, rng.random() * weights[-1]), profile.adapters - 1)
        service_s = profile.service_s * rng.uniform(0.5, 1.5)
        arrivals.append(Arrival(now, ranks[rank], service_s))
    return arrivals


def _zipf_weights(size, exponent):
    return list(accumulate(1 / (rank + 1) ** exponent for rank in range(size)))


def _swap_popular(ranks, rng):
    for hot in range(0, 20, 2):
        other = rng.randrange(len(ranks))
        ranks[hot], ranks[other] = ranks[other], ranks[hot]


def offline_bound(arrivals, slots):
    """Return the loads and waits of the optimal offline placement (Belady).

    All slots form one pool without limits on concurrency or the weight store. An
    adapter is loaded on demand and evicts the one whose next use is furthest away.
    No placement that loads on demand has fewer loads.

    Returns
    -------
    loads : int
    outcomes : list of Outcome
    """
    upcoming = defaultdict(deque)
    for arrival in arrivals:
        upcoming[arrival.adapter].append(arrival.at)
    ready, outcomes, loads = {}, [], 0
    for arrival in arrivals:
        upcoming[arrival.adapter].popleft()
        if arrival.adapter not in ready:
            loads += 1
            if len(ready) >= slots:
                del ready[_furthest_next_use(ready, upcoming)]
            ready[arrival.adapter] = arrival.at + ADAPTER_LOAD_S
        wait_s = max(0.0, ready[arrival.adapter] - arrival.at)
        outcomes.append(Outcome(arrival.at, wait_s))
    return loads, outcomes


def pooled_frequency(arrivals, slots):
    """Return the loads and waits of one pool that evicts by decayed frequency.

    Like :func:`offline_bound` it has no limits, but it doesn't know future requests.

    Returns
    -------
    loads : int
    outcomes : list of Outcome
    """
    demand = DemandTable(HALF_LIFE_S, len(arrivals))
    ready, outcomes, loads = {}, [], 0
    for arrival in arrivals:
        at, label = arrival.at, arrival.adapter
        demand.add(at, label, 1)
        if label not in ready:
            loads += 1
            if len(ready) >= slots:
                del ready[_least_used(ready, demand, at)]
            ready[label] = at + ADAPTER_LOAD_S
        outcomes.append(Outcome(at, max(0.0, ready[label] - at)))
    return loads, outcomes


def _least_used(ready, demand, at):
    return min(ready, key=lambda label: demand.value(at, label))


def _furthest_next_use(ready, upcoming):
    def next_use(label):
        return upcoming[label][0] if upcoming[label] else float("inf")

    return max(ready, key=next_use)


class _Target:
    def __init__(self):
        self.resident = {}
        self.running = defaultdict(int)
        self.running_total = 0
        self.queue = []
        self.loading = None


class Baseline:
    """Targets with one queue each and LRU eviction.

    ``choose`` sees the current load of every target, which no real node does.

    Parameters
    ----------
    targets, slots, concurrency : int
    choose : callable
        Takes the loads of all targets and returns the index of one.
    """

    def __init__(self, targets, slots, concurrency, choose):
        self._targets = [_Target() for _ in range(targets)]
        self._slots = slots
        self._concurrency = concurrency
        self._choose = choose
        self._events = []
        self._sequence = count()
        self._next_load = 0.0
        self._transfers = 0
        self.loads = 0
        self.outcomes = []
        self.batches = []

    def run(self, arrivals):
        """Run a trace until its last request ends and return the baseline."""
        for arrival in arrivals:
            self._call_at(arrival.at, self._arrive, arrival)
        for second in range(int(arrivals[-1].at)):
            self._call_at(float(second), self._sample)
        while self._events:
            now, _, action, args = heappop(self._events)
            action(now, *args)
        return self

    def _call_at(self, when, action, *args):
        heappush(self._events, (when, next(self._sequence), action, args))

    def _sample(self, now):
        for target in self._targets:
            used = [n for n in target.running.values() if n]
            if used:
                self.batches.append((now, target.running_total, len(used)))

    def _arrive(self, now, arrival):
        loads = [t.running_total + len(t.queue) for t in self._targets]
        target = self._targets[self._choose(loads)]
        target.queue.append(arrival)
        self._start_ready(now, target)

    def _start_ready(self, now, target):
        waiting = []
        for arrival in target.queue:
            free = target.running_total < self._concurrency
            if free and arrival.adapter in target.resident:
                self._start(now, target, arrival)
            else:
                waiting.append(arrival)
        target.queue = waiting
        self._load_next_adapter(now, target)

    def _start(self, now, target, arrival):
        target.resident[arrival.adapter] = now
        target.running[arrival.adapter] += 1
        target.running_total += 1
        self.outcomes.append(Outcome(arrival.at, now - arrival.at))
        self._call_at(now + arrival.service_s, self._end, target, arrival)

    def _end(self, now, target, arrival):
        target.running[arrival.adapter] -= 1
        target.running_total -= 1
        self._start_ready(now, target)

    def _load_next_adapter(self, now, target):
        if target.loading is not None:
            return
        absent = [a for a in target.queue if a.adapter not in target.resident]
        if not absent:
            return
        if len(target.resident) >= self._slots:
            idle = [name for name in target.resident if not target.running[name]]
            if not idle:
                return
            del target.resident[min(idle, key=target.resident.get)]
        target.loading = absent[0].adapter
        self.loads += 1
        start = max(now, self._next_load)
        self._next_load = start + ADAPTER_LOAD_INTERVAL_S
        self._call_at(start, self._start_transfer, target)

    def _start_transfer(self, now, target):
        self._transfers += 1
        slowdown = max(1.0, self._transfers / FULL_SPEED_TRANSFERS)
        self._call_at(now + ADAPTER_LOAD_S * slowdown, self._finish_load, target)

    def _finish_load(self, now, target):
        self._transfers -= 1
        target.resident[target.loading] = now
        target.loading = None
        self._start_ready(now, target)
