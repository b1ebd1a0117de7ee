"""Processor time of a node by cause, as differences between phases of a process."""

import os
from threading import Thread
from time import monotonic, sleep
from typing import NamedTuple

from measure.processor_node import PlayedFleet
from measure.report import Table

__all__ = ["run"]

# Nodes and targets.
SIZES = ((9, 15), (73, 62), (195, 300))
# Phases of a kind, of which the median counts.
ROUNDS = 3
# Seconds of a phase without requests.
PHASE_S = 2.0
NOTICES_PER_S = 200.0
# Requests of a phase, in rows of so many at a time, and events of the long ones.
REQUESTS = 40
CALLERS = 4
EVENTS = 30
# Checkout to compare with; the tables then have a column with the ratio to it.
BASE = os.environ.get("BASE_BUILD", "")
COLUMNS = ("cause", "ms", "of it kernel, ms", "per")


class _Phase(NamedTuple):
    """Processor time of the node in a phase, and its length."""

    total_s: float
    kernel_s: float
    seconds: float
    notices: int = 0

    def beyond(self, other):
        """Return what this phase cost beyond another one."""
        return _Phase(
            self.total_s - other.total_s,
            self.kernel_s - other.kernel_s,
            self.seconds,
            self.notices,
        )

    def without(self, idle):
        """Return what this phase cost beyond an idle one of the same length."""
        share = self.seconds / idle.seconds
        return self.beyond(_Phase(idle.total_s * share, idle.kernel_s * share, 0.0))


class _Cost(NamedTuple):
    """Processor time of a cause in milliseconds, and the unit that it is for."""

    cause: str
    total_ms: float
    kernel_ms: float
    unit: str


def run(quick):
    """Return one table of causes for each size of a fleet."""
    return [_table(*size) for size in (SIZES[1:2] if quick else SIZES)]


def _table(nodes, targets):
    builds = ("", BASE) if BASE else ("",)
    plain = [PlayedFleet(nodes, targets, False, build) for build in builds]
    try:
        costs = _plain_costs(plain)
        memory = [f"{fleet.memory_mb:.1f}" for fleet in plain]
    finally:
        for fleet in plain:
            fleet.stop()
    leading = [PlayedFleet(nodes, targets, True, build) for build in builds]
    try:
        sleep(2.0)
        for row, phase in zip(costs, _measure(leading, _rest), strict=True):
            row.append(_cost("coordinator", phase, phase.seconds, "s"))
    finally:
        for fleet in leading:
            fleet.stop()
    columns = COLUMNS
    rows = [tuple(cost) for cost in costs[0]]
    if BASE:
        columns += ("base, ms", "ratio")
        rows = [
            (*cost, base.total_ms, cost.total_ms / base.total_ms)
            for cost, base in zip(*costs, strict=True)
        ]
    note = (
        f"Medians of {ROUNDS} phases; the builds take turns. Memory in MB: "
        f"{', '.join(memory)}."
    )
    return Table(f"Node of {nodes} with {targets} targets", columns, rows, note)


def _plain_costs(fleets):
    """Return the costs of nodes that don't coordinate, a list for each."""
    sleep(1.0)
    idle = _measure(fleets, _rest)
    for fleet in fleets:
        fleet.notices_per_s = NOTICES_PER_S
    sleep(0.1)
    noticed = _measure(fleets, _rest)
    for fleet in fleets:
        fleet.notices_per_s = 0.0
    short = _measure(fleets, lambda fleet: _send(fleet, 1))
    long = _measure(fleets, lambda fleet: _send(fleet, EVENTS))
    costs = []
    for number, fleet in enumerate(fleets):
        still, one = idle[number], short[number].without(idle[number])
        many = long[number].without(still).beyond(one)
        notices = noticed[number].without(still)
        start = _Phase(*fleet.start_cost, 0.0)
        costs.append(
            [
                _cost("start to the first answer", start, 1, "start"),
                _cost("views, reports and ticks", still, still.seconds, "s"),
                _cost("notice", notices, notices.notices, "notice"),
                _cost("request with one event", one, REQUESTS, "request"),
                _cost("further event", many, REQUESTS * (EVENTS - 1), "event"),
            ]
        )
    return costs


def _measure(fleets, work):
    """Return the median phase of each fleet while it does some work."""
    phases = [[_phase(fleet, work) for fleet in fleets] for _ in range(ROUNDS)]
    return [
        sorted(of_fleet, key=lambda phase: phase.total_s / phase.seconds)[ROUNDS // 2]
        for of_fleet in zip(*phases, strict=True)
    ]


def _phase(fleet, work):
    began_at, before, notices = monotonic(), fleet.cost(), fleet.notices_sent
    work(fleet)
    after = fleet.cost()
    return _Phase(
        after.total_s - before.total_s,
        after.kernel_s - before.kernel_s,
        monotonic() - began_at,
        fleet.notices_sent - notices,
    )


def _rest(fleet):
    sleep(PHASE_S)


def _cost(cause, phase, count, unit):
    return _Cost(cause, 1e3 * phase.total_s / count, 1e3 * phase.kernel_s / count, unit)


def _send(fleet, events):
    def call_in_turn(caller):
        for number in range(REQUESTS // CALLERS):
            status, body = fleet.call(f"{caller}-{number}", events)
            if status != 200:
                raise RuntimeError(f"answer with status {status}: {body}")

    threads = [Thread(target=call_in_turn, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
