"""Requests that crash targets: attempts until all nodes refuse them, and the cost."""

from hibiscusspar_entry.fleet.tests.crash_network import (
    STABLE_WINDOW_S,
    CrashNetwork,
    NetworkFaults,
    run_part_day,
)
from measure.report import Table

__all__ = ["run"]

SIZES = (9, 78, 360)
# Lost, doubled and late shares of the datagrams.
FAULTS = (
    NetworkFaults(),
    NetworkFaults(lost=0.1, doubled=0.05, late=0.1),
    NetworkFaults(lost=0.4, doubled=0.1, late=0.2),
)
REQUESTS = 100
SEEDS = 5
STEP_S = 0.02
# Time after which an attempt and its retry have crashed their targets.
FIRST_WAIT_S = 2.5
MAX_SPREAD_S = 20.0
FATAL = ["acme-fatal"]


def run(quick):
    """Return the tables of the part."""
    sizes = SIZES[:2] if quick else SIZES
    rows = [
        (size, faults.lost, *_day(size, faults)) for size in sizes for faults in FAULTS
    ]
    columns = (
        "nodes",
        "lost",
        "crashes",
        "later attempts",
        "spread s",
        "report B/s",
        "view B/s",
    )
    note = (
        f"{REQUESTS} fatal requests within some 65 s, at random nodes; the most of "
        f"{SEEDS} seeds. Some of the datagrams that arrive are late or doubled. Later "
        "attempts are those sent later than 3 s after the third crash (3 allowed); "
        "spread is the time from the second crash until all nodes refuse. Bytes a "
        "second of a node: reports are all of them, views the verdicts in them."
    )
    table = Table("Requests that crash targets", columns, rows, note)
    return [table, _part_table(sizes)]


def _part_table(sizes):
    rows = []
    for size in sizes:
        for faults in FAULTS:
            days = [run_part_day(size, faults, seed) for seed in range(SEEDS)]
            crashes = max(len(network.crashed_at) for network, _, _ in days)
            late = max(
                len(network.late_attempts(5, STABLE_WINDOW_S)) for network, _, _ in days
            )
            early_share = min(early for _, early, _ in days)
            late_share = min(share for _, _, share in days)
            rows.append((size, faults.lost, crashes, late, early_share, late_share))
    columns = (
        "nodes",
        "lost",
        "crashes",
        "later attempts",
        "sound at first",
        "sound later",
    )
    note = (
        "80 requests with one fatal part within some 50 s, no two alike, each beside "
        f"up to 11 sound requests at its target; the worst of {SEEDS} seeds. Later "
        "attempts are those sent later than 3 s after the fifth crash (3 allowed). "
        "Sound requests share the first part; their share that is answered until 6 s "
        "after the fifth crash, and later (0.5 demanded)."
    )
    return Table("Parts of prompts that crash targets", columns, rows, note)


def _day(size, faults):
    days = [_one_day(size, faults, seed) for seed in range(SEEDS)]
    return [max(column) for column in zip(*days, strict=True)]


def _one_day(size, faults, seed):
    network = CrashNetwork(size, faults, seed)
    network.run(2.0)
    started_at = network.clock.now
    spread_s = None
    for _ in range(REQUESTS):
        network.request(FATAL)
        if spread_s is None:
            spread_s = _spread(network)
        network.run(network.rng.uniform(0.1, 1.2))
    seconds = network.clock.now - started_at
    late = network.late_attempts(3, STABLE_WINDOW_S)
    return (
        len(network.crashed_at),
        len(late),
        round(spread_s or 0.0, 2),
        round(network.report_bytes / seconds / size),
        round(network.view_bytes / seconds / size),
    )


def _spread(network):
    """Return the seconds from the second crash until all nodes refuse, or None."""
    waits_until = network.clock.now + FIRST_WAIT_S
    while len(network.crashed_at) < 2:
        if network.clock.now > waits_until:
            return None
        network.run(STEP_S)
    second_at = sorted(network.crashed_at)[1]
    while network.refusing(FATAL) < len(network.nodes):
        if network.clock.now > second_at + MAX_SPREAD_S:
            break
        network.run(STEP_S)
    return network.clock.now - second_at
