"""Placement: stalls for adapter loads, load counts, batches and decision cost."""

import tracemalloc
from random import Random
from statistics import mean, quantiles
from time import process_time

from msgspec.json import decode, encode

from hibiscusspar.config.model import TargetSpec
from hibiscusspar.outbox import Outbox
from hibiscusspar.placement.messages import Grant, Inquiry, Rows
from hibiscusspar.placement.system import PlacementSystem, RouteRequest
from hibiscusspar.placement.tests.cluster import (
    Cluster,
    FakeMembers,
    FakeRoles,
    configuration_of,
)
from hibiscusspar.ports import Member, target_owner_role
from measure.placement_fleet import fleet_row
from measure.placement_load import (
    ADAPTER_LOAD_INTERVAL_S,
    ADAPTER_LOAD_S,
    Baseline,
    Outcome,
    Profile,
    make_trace,
    offline_bound,
    pooled_frequency,
)
from measure.report import Table

__all__ = ["run"]

SLOTS = 8
CONCURRENCY = 16
STALL_THRESHOLD_S = 0.05
WARM_UP_S = 60.0
SETTLE_S = 6.0
DECISIONS = 5000
MISSES = 1000
TICKS = 300
FLEET_S = 24.0
PRYCE_ZONES = ("caerdydd", "abertawe", "wrecsam")
ASAV_ZONES = ("piacenza", "parma", "lodi")
PROFILES = (
    (Profile("pryce", 3000, 5.0, 1.2, 60.0, 10.0, 12.0, 1.0, 100.0, 2.0), 0.0005),
    (Profile("asav", 3000, 6.0, 1.2, 120.0, 60.0, 9.0, 1.2, 150.0, 2.0), 0.0015),
)


class _TraceResult:
    """Result of one placement on one trace."""

    def __init__(self, name, outcomes, loads, batches):
        self.name = name
        waits = [o.wait_s for o in outcomes if o.at >= WARM_UP_S]
        self.stalls = sorted(w for w in waits if w > STALL_THRESHOLD_S)
        self.stalled_fraction = len(self.stalls) / len(waits)
        self.requests = len(outcomes)
        self.loads = loads
        self.exchanges = ""
        self.batches = [b for b in batches if b[0] >= WARM_UP_S]

    def cells(self):
        """Return the cells of the table row."""
        percentiles = (
            quantiles(self.stalls, n=100) if len(self.stalls) > 1 else [0.0] * 99
        )
        sizes = [total for _, total, _ in self.batches]
        labels = [total / used for _, total, used in self.batches]
        return (
            self.name,
            100 * self.stalled_fraction,
            1000 * percentiles[49],
            1000 * percentiles[98],
            self.loads / self.requests,
            mean(sizes) if sizes else "",
            mean(labels) if labels else "",
            self.exchanges,
        )


def run(quick):
    """Measure both users' load with the baselines, then the cost of decisions.

    Parameters
    ----------
    quick : bool

    Returns
    -------
    list of Table
    """
    seconds = 120.0 if quick else 400.0
    tables = [_load_table(p, delay, seconds) for p, delay in PROFILES]
    sizes = ((3000, 9, 3),) if quick else ((3000, 9, 3), (36000, 830, 6))
    tables.append(_cost_table(sizes))
    tables.append(_fleet_table((2,) if quick else (2, 10)))
    return tables


def _fleet_table(per_zone_sizes):
    rows = [fleet_row(per_zone, FLEET_S) for per_zone in per_zone_sizes]
    columns = (
        "nodes",
        "targets",
        "requests/s",
        "stalled, %",
        "messages a node and s",
        "flushes a node and s",
        "bytes a node and s",
        "most are",
    )
    note = (
        "Parts of the fleet of 360 nodes with 36,000 adapters, engines warm at the "
        "start. A flush is an exchange or the answer of one; bytes are without HTTP."
    )
    return Table("Control traffic", columns, rows, note)


def _load_table(profile, delay_s, seconds):
    arrivals = make_trace(profile, seconds, Random(f"placement/{profile.name}"))
    bound_loads, bound_outcomes = offline_bound(arrivals, 6 * SLOTS)
    bound = _TraceResult("offline bound", bound_outcomes, bound_loads, [])
    with_urgent = _run_hibiscusspar(profile, arrivals, delay_s)
    without_urgent = _run_hibiscusspar(profile, arrivals, delay_s, False)
    rows = [
        with_urgent,
        without_urgent,
        *_baselines(arrivals),
        _pooled(arrivals),
        bound,
    ]
    least_loaded = rows[3]
    note = (
        f"{len(arrivals)} requests over {seconds:.0f} s. Stalls of hibiscusspar are "
        f"{with_urgent.stalled_fraction / least_loaded.stalled_fraction:.2f} of "
        "least loaded with LRU and "
        f"{with_urgent.stalled_fraction / bound.stalled_fraction:.2f} of "
        "the offline bound."
    )
    columns = (
        "placement",
        "stalled, %",
        "stall p50, ms",
        "stall p99, ms",
        "loads a request",
        "mean batch of 16",
        "requests an adapter in use",
        "exchanges a node and s",
    )
    return Table(f"Load of {profile.name}", columns, [r.cells() for r in rows], note)


def _baselines(arrivals):
    rng = Random("baseline")

    def at_random(loads):
        return rng.randrange(len(loads))

    def least_loaded(loads):
        least = min(loads)
        return rng.choice([i for i, load in enumerate(loads) if load == least])

    for name, choose in (("random, LRU", at_random), ("least, LRU", least_loaded)):
        baseline = Baseline(6, SLOTS, CONCURRENCY, choose).run(arrivals)
        yield _TraceResult(name, baseline.outcomes, baseline.loads, baseline.batches)


def _pooled(arrivals):
    loads, outcomes = pooled_frequency(arrivals, 6 * SLOTS)
    return _TraceResult("pooled, by frequency", outcomes, loads, [])


def _run_hibiscusspar(profile, arrivals, delay_s, urgent=True):
    zones = PRYCE_ZONES if profile.name == "pryce" else ASAV_ZONES
    targets = [
        TargetSpec(f"{zone}-{index}", "drafting", "", zone, True, SLOTS, CONCURRENCY)
        for zone in zones
        for index in range(2)
    ]
    names = {f"a{index}": ("1",) for index in range(profile.adapters)}
    sizes = dict.fromkeys(zones, 3)
    cluster = Cluster(sizes, targets, names, Random("cluster"), delay_s, ADAPTER_LOAD_S)
    cluster.load_interval_s = ADAPTER_LOAD_INTERVAL_S
    cluster.batch_messages = True
    cluster.send_urgent_at_once = urgent
    cluster.run(SETTLE_S)
    start = cluster.now
    batches = []
    next_sample = 0.0
    vms = sorted(cluster.nodes)
    rng = Random("balancer")
    for arrival in arrivals:
        while next_sample < arrival.at:
            cluster.run(max(0.0, start + next_sample - cluster.now))
            batches += _sample(cluster, next_sample)
            next_sample += 1.0
        cluster.run(start + arrival.at - cluster.now)
        vm = rng.choice(vms)
        label = f"a{arrival.adapter}"
        cluster.submit(vm, "drafting", label, "1", arrival.service_s)
    cluster.run(120.0)
    records = cluster.requests.values()
    outcomes = [
        Outcome(r.submitted_at - start, r.started_at - r.submitted_at)
        for r in records
        if r.started_at
    ]
    unserved = len(cluster.requests) - len(outcomes)
    if unserved:
        raise RuntimeError(f"{unserved} requests were never served")
    name = "hibiscusspar" if urgent else "same, messages wait for ticks"
    row = _TraceResult(name, outcomes, cluster.loads, batches)
    row.exchanges = cluster.exchanges / len(cluster.nodes) / arrivals[-1].at
    return row


def _sample(cluster, at):
    samples = []
    for engine in cluster.engines.values():
        if engine.running:
            used = len(set(engine.running.values()))
            samples.append((at, len(engine.running), used))
    return samples


def _cost_table(sizes):
    rows = [_cost_row(*size) for size in sizes]
    columns = (
        "adapters",
        "replicas",
        "route hit, us",
        "route miss, us",
        "tick, us",
        "tick with 1000 waiting, us",
        "bytes a target row",
        "bytes a waiting row",
    )
    return Table("Cost on one node", columns, rows)


def _cost_row(adapters, replicas, zones):
    targets = _cost_targets(replicas, zones)
    system = _one_node(targets, adapters)
    bytes_per_row = (
        _allocated_bytes(lambda: _receive_rows(system, targets, adapters)) / replicas
    )
    _receive_grant(system)
    hit_us = _mean_microseconds(lambda index: _route_hit(system, index), DECISIONS)
    tick_us = _mean_microseconds(lambda index: _tick(system, index), TICKS)
    miss_us = _mean_microseconds(lambda index: _route_miss(system, index), MISSES)
    waiting_us = _mean_microseconds(lambda index: _tick(system, TICKS + index), TICKS)
    fresh = _one_node(targets, adapters)
    _receive_rows(fresh, targets, adapters)
    waiting = _allocated_bytes(
        lambda: [_route_miss(fresh, index) for index in range(MISSES)]
    )
    return (
        adapters,
        replicas,
        hit_us,
        miss_us,
        tick_us,
        waiting_us,
        bytes_per_row,
        waiting / MISSES,
    )


def _cost_targets(replicas, zones):
    return [
        TargetSpec(f"t{index}", "drafting", "", f"z{index % zones}", True)
        for index in range(replicas)
    ]


def _one_node(targets, adapters):
    members = {vm: Member(vm, "z0", "") for vm in ("me", "peer")}
    roles = {target_owner_role(name): ("me", 1) for name in ("t0", "t3", "t6")}
    system = PlacementSystem(
        "me", "z0", FakeMembers("me", "z0", members), FakeRoles("me", roles), Random(1)
    )
    names = {f"a{index}": ("1",) for index in range(adapters)}
    system.configure(0.0, configuration_of(targets, names, 8), Outbox())
    return system


def _receive_rows(system, targets, adapters):
    """Send a node the rows of all targets, each with ``SLOTS`` resident adapters."""
    rows = []
    for index, spec in enumerate(targets):
        first = index * SLOTS
        labels = tuple(f"a{(first + k) % adapters}@1" for k in range(SLOTS))
        rows.append((spec.name, 1, 1, 1, "peer", "i", labels, (), 1.0, 0))
    system.receive(0.0, "peer", decode(encode(Rows(tuple(rows))), type=Rows), Outbox())


def _receive_grant(system):
    system.receive(0.0, "peer", Inquiry("t1", "peer", 1, 1), Outbox())
    grant = Grant("t1", "a8@1", 1, 1, 1, 1, CONCURRENCY, "i")
    system.receive(0.0, "peer", grant, Outbox())


def _route_hit(system, index):
    request = RouteRequest(f"h{index}", "drafting", "a8", "1", f"p{index % 100}")
    out = Outbox()
    system.route(0.0, request, out)
    system.finished(0.0, request.request_id, "answered", out)


def _route_miss(system, index):
    name = f"a{2999 - index}"
    system.route(0.0, RouteRequest(f"m{index}", "drafting", name, "1"), Outbox())


def _tick(system, index):
    system.tick(index * 0.1, Outbox())


def _mean_microseconds(step, times):
    started = process_time()
    for index in range(times):
        step(index)
    return 1e6 * (process_time() - started) / times


def _allocated_bytes(step):
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    step()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown
