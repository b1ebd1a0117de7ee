"""Cost of the speeds of targets: samples, reports and the coordinator's table."""

from random import Random
from statistics import median
from time import process_time
from types import SimpleNamespace

from msgspec.json import encode as to_json

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.messages import NodeReport
from hibiscusspar.fleet.targets import Target
from hibiscusspar_entry.fleet.speed_exchange import SpeedExchange
from measure.report import Table

__all__ = ["run"]

# Nodes and targets.
SIZES = ((9, 9), (66, 62), (195, 450), (360, 830))
# Streams of a node, each at a target of its own.
STREAMS = 24
EVENT_STEPS = 4
STEP_S = 0.0095
ROUNDS = 20
EVENTS = 20_000


def run(quick):
    """Return the tables of the part."""
    return [_table(SIZES[:2] if quick else SIZES)]


class _Fleet:
    """Nodes with streams at targets of three speeds, and their coordinator."""

    def __init__(self, nodes, targets):
        self.now = 100.0
        self._rng = Random(1)
        self._slowness = {
            f"t-{n:08x}": (1.67, 1.0, 0.62)[n % 3] for n in range(targets)
        }
        rows = {
            name: Target(
                name, "draft", "", "z", 128, False, 1_780_000_000_000, 0, {}, {}
            )
            for name in self._slowness
        }
        service = SimpleNamespace(name="draft", engine=object())
        self.exchanges, self._paces = [], []
        for _ in range(nodes):
            exchange = SpeedExchange(lambda: self.now)
            exchange.configure(SimpleNamespace(services={"draft": service}))
            exchange.set_targets(rows)
            self.exchanges.append(exchange)
            names = self._rng.sample(sorted(rows), min(STREAMS, targets))
            self._paces.append([(exchange.pace(*_request(rows[n])), n) for n in names])
        self._next_at = [[self.now] * STREAMS for _ in range(nodes)]
        self._counts = [[0] * STREAMS for _ in range(nodes)]

    def stream(self, seconds):
        """Pass time in which all streams have events."""
        self.now += seconds
        for node, paces in enumerate(self._paces):
            for index, (pace, name) in enumerate(paces):
                while self._next_at[node][index] <= self.now:
                    self._counts[node][index] += 1
                    pace.record(self._next_at[node][index], self._counts[node][index])
                    gap_s = EVENT_STEPS * STEP_S * self._slowness[name]
                    gap_s *= self._rng.uniform(0.95, 1.05)
                    self._next_at[node][index] += gap_s


def _request(target):
    admitted = SimpleNamespace(is_engine=True, event_steps=EVENT_STEPS)
    return SimpleNamespace(target=target), admitted


def _event_us():
    """Return the microseconds that the sample of an event takes."""
    fleet = _Fleet(1, 1)
    ((pace, _),) = fleet._paces[0]
    begun_at = process_time()
    for count in range(EVENTS):
        pace.record(fleet.now + 0.04 * count, count)
    return (process_time() - begun_at) / EVENTS * 1e6


def _table(sizes):
    rows = []
    for nodes, targets in sizes:
        fleet = _Fleet(nodes, targets)
        coordinator, interval_s = fleet.exchanges[0], exchange_interval_s(nodes)
        report_ms, apply_ms, view_ms, report_bytes, view_bytes = [], [], [], [], []
        apply_view_ms = []
        for number in range(ROUNDS):
            fleet.stream(interval_s)
            reports = [
                NodeReport(f"n{n}", "s", "z", number, {}, {}, [], {}, {})
                for n in range(nodes)
            ]
            at = [process_time()]
            for exchange, report in zip(fleet.exchanges, reports, strict=True):
                exchange.complete_report(report)
            at.append(process_time())
            for report in reports:
                coordinator.apply_report(report)
            at.append(process_time())
            due = coordinator.due_rows(number, nodes)
            at.append(process_time())
            report_ms.append((at[1] - at[0]) / nodes * 1e3)
            apply_ms.append((at[2] - at[1]) * 1e3)
            view_ms.append((at[3] - at[2]) * 1e3)
            view = SimpleNamespace(nodes=nodes, speeds=due)
            for exchange in fleet.exchanges:
                exchange.apply_view(view)
            apply_view_ms.append((process_time() - at[3]) / nodes * 1e3)
            report_bytes.append(len(to_json(reports[-1].speeds)))
            view_bytes.append(len(to_json(due)))
        share = (median(apply_ms) + median(view_ms)) / 1e3 / interval_s
        node_ms = median(report_ms) + median(apply_view_ms)
        rows.append(
            (
                nodes,
                targets,
                node_ms,
                node_ms / 1e3 / interval_s,
                median(apply_ms) + median(view_ms),
                share,
                median(report_bytes),
                median(view_bytes),
            )
        )
    columns = (
        "nodes",
        "targets",
        "report and view at a node, ms",
        "share of a core, node",
        "reports and view at the coordinator, ms",
        "share of a core, coordinator",
        "bytes of a report",
        "bytes of a view",
    )
    note = (
        f"Sample of an event: {_event_us():.2f} us. Targets at 0.6, 1.0 and 1.6 of the "
        f"usual speed, {STREAMS} streams a node, medians of {ROUNDS} intervals, "
        "processor time. Bytes before packing."
    )
    return Table("Speeds of targets", columns, rows, note)
