"""CPU time, memory and traffic of ``hibiscusspard``, idle and under load.

Runs the first example with nine entry processes on loopback. Unlike the parts in
virtual time, its figures vary from run to run.
"""

import os
import re
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import NamedTuple

from urllib3 import PoolManager

from hibiscusspar_standins.demo.deployment import Deployment, Example
from hibiscusspar_standins.demo.processes import Processes
from hibiscusspar_standins.demo.traffic import CallMaker, Traffic
from measure.report import Table

EXAMPLE = Example(
    "pryce-daughters",
    Path("examples/pryce-daughters"),
    ("caerdydd", "abertawe", "wrecsam"),
)
CALLERS = 24
SEED = 1
SETTLE_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_HTTP = PoolManager(retries=False, timeout=3.0)


class _Sample(NamedTuple):
    at: float
    cpu_s: float
    rss_mb: float
    exchanges: float
    exchange_bytes: float
    platform_calls: float
    requests: float


def run(quick):
    """Return the table of one process, idle and under load."""
    seconds = 5.0 if quick else 20.0
    with TemporaryDirectory() as folder:
        processes = Processes(folder)
        try:
            deployment = Deployment(EXAMPLE, processes, f"{folder}/files")
            rows = _measure(deployment, seconds)
        finally:
            processes.stop_all()
    columns = (
        "phase",
        "CPU, % of a core",
        "RSS, MB",
        "exchanges/s",
        "exchange bytes/s",
        "platform calls/s",
        "requests/s",
    )
    note = (
        "Median of 9 processes; exchanges and bytes count both directions. "
        f"`imports` is a process that has imported all modules and does nothing. "
        f"Each phase lasts {seconds:g} s."
    )
    return [Table("One hibiscusspard of nine", columns, rows, note)]


def _measure(deployment, seconds):
    deployment.start_standins()
    deployment.publish()
    accounts = sorted(deployment.configuration.accounts)
    keys = {account: deployment.issue_key(account, account) for account in accounts}
    deployment.start_entry_vms()
    sleep(SETTLE_S)
    rows = [("imports", 0.0, _import_memory_mb(), 0.0, 0.0, 0.0, 0.0)]
    rows.append(("idle", *_measure_phase(deployment, seconds)))
    traffic = Traffic(
        lambda: [entry_vm.caller_address for entry_vm in deployment.entry_vms],
        CallMaker(deployment.configuration, keys),
        CALLERS,
        SEED,
    )
    traffic.start()
    rows.append(("under load", *_measure_phase(deployment, seconds)))
    traffic.stop()
    return rows


def _measure_phase(deployment, seconds):
    before = [_sample(entry_vm) for entry_vm in deployment.entry_vms]
    sleep(seconds)
    after = [_sample(entry_vm) for entry_vm in deployment.entry_vms]
    rates = [_rates(b, a) for b, a in zip(before, after, strict=True)]
    return [_median(column) for column in zip(*rates, strict=True)]


def _rates(before, after):
    elapsed = after.at - before.at
    return (
        100.0 * (after.cpu_s - before.cpu_s) / elapsed,
        after.rss_mb,
        (after.exchanges - before.exchanges) / elapsed,
        (after.exchange_bytes - before.exchange_bytes) / elapsed,
        (after.platform_calls - before.platform_calls) / elapsed,
        (after.requests - before.requests) / elapsed,
    )


def _sample(entry_vm):
    pid = entry_vm.process.popen.pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    text = _HTTP.request(
        "GET", f"http://{entry_vm.operator_address}/metrics"
    ).data.decode()
    return _Sample(
        monotonic(),
        cpu_s,
        _rss_mb(pid),
        _sum_metric(text, "hibiscusspar_exchanges_total"),
        _sum_metric(text, "hibiscusspar_exchange_bytes_total"),
        _sum_metric(text, "hibiscusspar_platform_calls_total"),
        _sum_metric(text, "hibiscusspar_requests_total"),
    )


def _sum_metric(text, name):
    pattern = re.compile(rf"^{name}(?:{{[^}}]*}})? (\S+)$", re.MULTILINE)
    return sum(float(value) for value in pattern.findall(text))


def _rss_mb(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def _import_memory_mb():
    """Return the memory of an idle process that has imported all modules."""
    with TemporaryDirectory() as folder:
        processes = Processes(folder)
        process = processes.start("imports", "measure.idle")
        processes.wait_for_output(process, lambda lines: "ready" in lines)
        try:
            return processes.memory_mb(process)
        finally:
            processes.stop_all()


def _median(values):
    return sorted(values)[len(values) // 2]
