"""Time and store calls of a fleet of real processes that starts as a whole."""

import os
from statistics import median

from measure.report import Table
from measure.start_fleet import STEPS, StartedFleet

__all__ = ["run"]

NODES = 10
TARGETS = 62
# Checkout whose code runs instead of this one.
BUILD = os.environ.get("BASE_BUILD", "")


def run(quick):
    """Return the tables of a first start and of one after a loss of power."""
    fleet = StartedFleet(4 if quick else NODES, TARGETS, BUILD)
    try:
        first = fleet.start()
        fleet.kill()
        again = fleet.start()
    finally:
        fleet.stop()
    starts = {"first start": first, "after a loss of power": again}
    return [_times(starts), _calls(starts)]


def _times(starts):
    rows = []
    for name, start in starts.items():
        for label, _ in STEPS:
            times = start.steps[label]
            if times:
                ninth = times[int(0.9 * (len(times) - 1))]
                rows.append(
                    (name, label, len(times), times[0], median(times), ninth, times[-1])
                )
    columns = ("start", "step", "nodes", "first, s", "median", "0.9", "last")
    return Table("Seconds from the start of all processes", columns, rows)


def _calls(starts):
    kinds = sorted(set().union(*(start.calls for start in starts.values())))
    rows = [(kind, *(start.calls[kind] for start in starts.values())) for kind in kinds]
    rows.append(("all", *(start.calls.total() for start in starts.values())))
    return Table(
        "Store calls until all nodes have a whole view", ("call", *starts), rows
    )
