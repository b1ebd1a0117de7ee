"""Size of the coordinator's views, and time until nodes know a change of a target."""

from random import Random
from statistics import median
from time import perf_counter
from types import SimpleNamespace

from hibiscusspar.fleet.directory_copy import DirectoryCopy
from hibiscusspar.fleet.directory_rows import DirectoryRows
from hibiscusspar.fleet.fanout import exchange_interval_s, view_interval_s
from hibiscusspar.fleet.messages import NodeReport, TargetLoad
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.fleet.coordinator import Coordinator
from hibiscusspar_entry.fleet.crash_exchange import CrashExchange
from hibiscusspar_entry.fleet.limit_exchange import LimitExchange
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from measure.report import Table

__all__ = ["run"]

# Nodes and targets: a small deployment, a grown one, and the size to design for.
SIZES = ((9, 15), (78, 93), (360, 830))
ZONES = 6
# Targets to which a node sends requests at a time.
BUSY_TARGETS = 6
WARM_UP_VIEWS = 60
LOSSES = (0.0, 0.1, 0.4)
CHANGES = 40
MAX_VIEWS = 200


class _Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class _Election:
    leads = True
    fence = 1

    def holds(self, now):
        return True


def run(quick):
    """Return the tables of the part."""
    sizes = SIZES[:2] if quick else SIZES
    return [
        _size_table(sizes),
        _change_table(sizes, CHANGES // 4 if quick else CHANGES),
    ]


def _size_table(sizes):
    rows = []
    for nodes, targets in sizes:
        sent, seconds = _idle_view(nodes, targets)
        size = max(sent)
        slow, fast = (size / view_interval_s(nodes, news) / 1e3 for news in (0, 1))
        rows.append((nodes, targets, len(sent), size, slow, fast, seconds * 1e3))
    columns = ("nodes", "targets", "groups", "bytes", "KB/s", "KB/s, loads", "ms")
    note = (
        "Bytes of a packed view without adapters of targets, those that a node "
        "receives per second, the same while adapters are loaded, and the "
        "coordinator's time for one view to all groups. Each node has requests at "
        f"{BUSY_TARGETS} targets."
    )
    return Table("Size of a view", columns, rows, note)


def _idle_view(nodes, targets):
    """Return the sizes of a view to each group, and the seconds to make it."""
    clock, sent = _Clock(), []
    coordinator = Coordinator(
        "c",
        "abcdef123456",
        "10.0.0.9:7000",
        clock,
        _Election(),
        None,
        None,
        ("z0",),
        lambda address, body: sent.append(len(body)),
        8.0,
        lambda: (0.1, 0.1),
        LimitExchange(clock),
        CrashExchange(clock, lambda address: False, None, lambda: False),
        SpeedExchange(clock),
    )
    rows = {f"i-{n:010x}": _target(f"i-{n:010x}", n) for n in range(targets)}
    coordinator.set_targets(rows)
    coordinator.take_over({})
    for number in range(WARM_UP_VIEWS):
        sent.clear()
        for index in range(nodes):
            report = _report(index, number, list(rows))
            coordinator.handle_report(report, (f"10.0.{index // 250}.1", index))
        clock.now += exchange_interval_s(nodes)
        started = perf_counter()
        coordinator.send_views()
        seconds = perf_counter() - started
    coordinator.close()
    return sent, seconds


def _target(name, number, draining=False):
    address = f"10.1.{number // 250}.{number % 250}:8500"
    return Target(
        name, "draft", address, "z0", 128, draining, 1_779_066_088_908, 0, {"m": 1}, {}
    )


def _report(index, number, names):
    loads = {
        names[(index * 7 + offset) % len(names)]: TargetLoad(12, 3400)
        for offset in range(BUSY_TARGETS)
    }
    zone = f"z{index % ZONES}"
    report = NodeReport(f"n{index}", "s", zone, number + 1, loads, {}, [], {}, {})
    report.reads_packed = True
    return report


def _change_table(sizes, changes):
    rows = []
    for nodes, targets in sizes:
        for loss in LOSSES:
            times = _change_times(nodes, targets, loss, changes)
            rows.append((nodes, targets, loss, median(times), max(times)))
    columns = ("nodes", "targets", "loss", "median", "worst")
    note = (
        f"Seconds until all nodes know that a target leaves, {changes} changes with "
        "fixed seeds. Views and reports are lost independently, and the store is not "
        "read by nodes."
    )
    return Table("Change of a target under loss", columns, rows, note)


def _change_times(nodes, targets, loss, changes):
    rng = Random(f"{nodes}/{loss}")
    directory = {f"t{n:03}": _target(f"t{n:03}", n) for n in range(targets)}
    sender = DirectoryRows()
    sender.start_term(directory)
    copies = [DirectoryCopy() for _ in range(nodes)]
    _views_until_agreed(sender, copies, Random(0), 0.0)
    times = []
    for number in range(changes):
        name = f"t{number % targets:03}"
        directory[name] = _target(name, number, not directory[name].draining)
        sender.update(directory)
        views = _views_until_agreed(sender, copies, rng, loss)
        times.append(views * exchange_interval_s(nodes))
    return times


def _views_until_agreed(sender, copies, rng, loss):
    """Exchange views and reports until all copies agree; return the number of views."""
    agreed = set()
    for number in range(1, MAX_VIEWS + 1):
        view = SimpleNamespace(
            directory=sender.names,
            row_digests=sender.joined_digests,
            rows=sender.due(),
        )
        for index, copy in enumerate(copies):
            if rng.random() >= loss:
                copy.apply_view(view)
                if not copy.differing:
                    agreed.add(index)
            if rng.random() >= loss:
                sender.request(copy.requested)
        if len(agreed) == len(copies):
            return number
    return float("inf")
