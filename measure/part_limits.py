"""Limits of client accounts: wrongful refusals, shares and control traffic."""

from concurrent.futures import ProcessPoolExecutor

from measure.limit_load import MEAN_TOKENS, SHARES, USED_FRACTION, Case, Load
from measure.report import Table

__all__ = ["run"]

EXCHANGE_SIDE_CPU_S = 0.0008  # one sender's or receiver's part of an exchange
EVEN_LOADS = (0.95,) * len(SHARES)
SIZES = ((3, 3, 40.0, 120.0), (6, 60, 4000.0, 30.0))
QUICK_LOAD_S = 20.0
WORKERS = 2
WARM_UP_S = 14.0


def run(quick):
    """Measure all cases at both sizes, with the baselines.

    Parameters
    ----------
    quick : bool
        Whether to run only the small size, for a shorter time.

    Returns
    -------
    list of Table
    """
    sizes = SIZES[:1] if quick else SIZES
    jobs = [(*size, case, quick) for size in sizes for case in _cases(size[0])]
    with ProcessPoolExecutor(WORKERS) as pool:
        rows = list(pool.map(_measure, jobs))
    refusals, shares, costs = zip(*rows, strict=True)
    return [_refusal_table(refusals), _share_table(shares), _cost_table(costs)]


def _measure(job):
    zones, per_zone, requests_per_s, load_s, case, quick = job
    load_s = QUICK_LOAD_S if quick else load_s
    rate = requests_per_s * MEAN_TOKENS * USED_FRACTION
    load = Load(case, zones, per_zone, rate)
    load.run(WARM_UP_S, load_s)
    size = f"{zones} x {per_zone}"
    cost = _cost_row(size, load, load_s)
    return _refusal_row(size, load), _share_row(size, load), cost


def _cases(zones):
    skewed = {"a": 0.6, **dict.fromkeys("bcdef"[: zones - 1], 0.4 / (zones - 1))}
    return (
        Case("(a) even, 95 %", EVEN_LOADS),
        Case("(b) one zone 60 %", EVEN_LOADS, skewed),
        Case("(c) one account x 5", (0.95, 5.0, 0.95, 0.95, 0.95)),
        Case("(d) burst first", EVEN_LOADS, initial_s=10.0, initial_load=1.85),
        Case("(e) zone cut off", EVEN_LOADS, fault="cut"),
        Case("(f) home replaced", EVEN_LOADS, fault="replace"),
    )


def _percent(part, whole):
    return 100.0 * part / max(whole, 1)


def _total(load, scheme, field):
    return sum(
        getattr(tally, field)
        for (name, _), tally in load.tallies.items()
        if name == scheme
    )


def _wrongful_percent(load, scheme):
    offered = _total(load, scheme, "offered")
    return _percent(_total(load, scheme, "wrongful"), offered)


def _refusal_row(size, load):
    offered = _total(load, "leases", "offered")
    return (
        size,
        load.case.name,
        offered,
        _wrongful_percent(load, "leases"),
        _percent(load.late_wrongful, load.late_offered),
        _percent(load.refused_at_first, offered),
        _wrongful_percent(load, "static"),
        _wrongful_percent(load, "central"),
        load.cluster.over_admitted(),
    )


def _share_row(size, load):
    shares = {}
    for (scheme, account), tally in load.tallies.items():
        share = _percent(tally.tokens, tally.ideal_tokens)
        shares.setdefault(scheme, {})[account] = share
    worst = [min(shares[name].values()) for name in ("leases", "static", "central")]
    others = [
        tally.wrongful
        for (scheme, account), tally in load.tallies.items()
        if scheme == "leases" and account != "account1"
    ]
    return (size, load.case.name, *worst, sum(others))


def _cost_row(size, load, load_s):
    nodes = list(load.cluster.vms.values())
    sides = [vm.sent / load_s for vm in nodes]
    sent = [load.bytes.get(vm.name, 0) / load_s for vm in nodes]
    cpu = [load.cpu.get(vm.name, 0.0) / load_s for vm in nodes]
    cores = [
        system_cpu + EXCHANGE_SIDE_CPU_S * side_rate
        for system_cpu, side_rate in zip(cpu, sides, strict=True)
    ]
    central = 2.0 * _total(load, "central", "offered") / load_s
    return (
        size,
        load.case.name,
        sum(sides) / len(sides),
        max(sides),
        sum(sent) / len(sent) / 1000.0,
        max(sent) / 1000.0,
        100.0 * sum(cpu) / len(cpu),
        100.0 * max(cores),
        central,
    )


def _refusal_table(rows):
    columns = (
        "zones x nodes",
        "case",
        "requests",
        "wrongful %",
        "after 15 s %",
        "short at first %",
        "static split %",
        "central home %",
        "over-admitted",
    )
    note = (
        "Wrongful: refused after waiting at most 1 s for the home, though an ideal "
        "bucket for the whole fleet admitted the request at once. Over-admitted: "
        "tokens beyond burst + rate x T in the worst interval."
    )
    return Table("Wrongful refusals", columns, rows, note)


def _share_table(rows):
    columns = (
        "zones x nodes",
        "case",
        "worst share %",
        "static split %",
        "central home %",
        "wrongful, other accounts",
    )
    note = (
        "Share: tokens admitted over those that the ideal bucket admitted, of the "
        "worst account. Other accounts: all but account1, which case (c) overloads."
    )
    return Table("Worst account", columns, rows, note)


def _cost_table(rows):
    columns = (
        "zones x nodes",
        "case",
        "sides/s mean",
        "sides/s max",
        "KB/s mean",
        "KB/s max",
        "decisions % core",
        "with exchanges % core, max",
        "central home: sides/s",
    )
    note = (
        "Sides of exchanges between VMs, messages to one peer at one moment sharing "
        "one; bytes are the encoded messages and 350 bytes of HTTP head each. The "
        "last but one column adds 0.8 ms of CPU for each side."
    )
    return Table("Cost of control per node", columns, rows, note)
