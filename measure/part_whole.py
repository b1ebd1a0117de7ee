"""Stalls, batches, shares and refusals with all parts working together."""

from statistics import mean, quantiles
from time import process_time
from typing import NamedTuple

from measure.report import Table
from measure.whole_fleet import ACCOUNTS, Fleet
from measure.whole_load import User, ideally_admitted, make_load, static_baseline

__all__ = ["run"]

USERS = (
    User("pryce-daughters", ("caerdydd", "abertawe", "wrecsam"), 1100.0, 0.0005),
    User("valtrebbia", ("piacenza", "parma", "lodi"), 1100.0, 0.0015),
)
STALL_THRESHOLD_S = 0.05
WARM_UP_S = 30.0  # without load, so that limits start full like the ideal bucket
DRAIN_S = 60.0
SEED = 11
COLUMNS = (
    "situation",
    "scheme",
    "requests",
    "stalled, %",
    "stall p99, s",
    "loads a request",
    "mean batch of 16",
    "worst account, % of entitlement",
    "its account",
    "wrongful refusals, %",
    "by limit, %",
    "by queue, %",
)


class _Situation(NamedTuple):
    """A situation.

    ``load`` holds keyword arguments of :func:`make_load`; ``fault`` is ``"restart"``,
    ``"cut"`` or empty.
    """

    name: str
    load: dict
    fault: str = ""


def run(quick):
    """Return one table per user with every situation and its baseline."""
    seconds = 60.0 if quick else 150.0
    return [_user_table(user, seconds) for user in USERS]


def _situations(seconds):
    third = WARM_UP_S + seconds / 3.0
    surge = (third, third + 60.0, 1.0)
    return (
        _Situation("calm", {}),
        _Situation("whole audience in a minute", {"load": 0.3, "surge": surge}),
        _Situation("large-1 at 5 times", {"overload_factor": 5.0 / 0.55}),
        _Situation("popularity shift", {"shift_at": WARM_UP_S + seconds / 2.0}),
        _Situation("engine restart", {}, "restart"),
        _Situation("zone cut off", {}, "cut"),
    )


def _user_table(user, seconds):
    started = process_time()
    rows = []
    for situation in _situations(seconds):
        rows += _rows(user, situation, seconds)
    note = (
        f"{seconds:g} s of load in virtual time, seed {SEED}, first fifth not counted. "
        "Stalled: waited more than 50 ms for an adapter that was resident nowhere; "
        "for the baseline, any wait. Entitlement: what one ideal bucket would admit. "
        "Baseline: equal static split of limits, least load, queues in order of "
        f"arrival, LRU; it knows all loads at once and sees no fault. CPU "
        f"{process_time() - started:.0f} s."
    )
    return Table(user.name, COLUMNS, rows, note)


def _rows(user, situation, seconds):
    requests = make_load(user, WARM_UP_S, seconds, SEED, **situation.load)
    entitled = ideally_admitted(user, requests)
    fleet = Fleet(user.zones, user.rate, user.latency_s)
    fleet.run(WARM_UP_S)
    fleet.offer(requests)
    _schedule_fault(fleet, user, situation.fault, seconds)
    fleet.run(WARM_UP_S + seconds + DRAIN_S)
    counted_from = WARM_UP_S + seconds / 5.0
    fleet_cells = _cells(
        fleet.results, entitled, counted_from, fleet.loads, fleet.batches
    )
    rows = [(situation.name, "hibiscusspar", *fleet_cells)]
    if not situation.fault:
        results, baseline = static_baseline(user, requests)
        batches = [(at, total) for at, total, _ in baseline.batches]
        cells = _cells(results, entitled, counted_from, baseline.loads, batches)
        rows.append((situation.name, "baseline", *cells))
    return rows


def _schedule_fault(fleet, user, fault, seconds):
    def cut():
        fleet.cut_zone = user.zones[0]

    def heal():
        fleet.cut_zone = ""

    if fault == "restart":
        fleet.call_at(WARM_UP_S + seconds / 2.0, lambda: fleet.restart_engine("t0"))
    if fault == "cut":
        fleet.call_at(WARM_UP_S + seconds / 3.0, cut)
        fleet.call_at(WARM_UP_S + seconds * 2.0 / 3.0, heal)


def _cells(results, entitled, counted_from, loads, batches):
    counted = [e for e in results if e.offered.at >= counted_from]
    answered = [e for e in counted if e.outcome == "answered"]
    stalls = [e.stall_s for e in answered if e.stall_s > STALL_THRESHOLD_S]
    percentiles = quantiles(stalls, n=100) if len(stalls) > 1 else [0.0] * 99
    account, worst = _worst_account(counted, entitled)
    wrongful = [e for e in counted if e.offered in entitled and e.outcome != "answered"]
    by_limit = sum(e.outcome == "limit" for e in wrongful)
    sizes = [size for at, size in batches if at >= counted_from]
    return (
        len(counted),
        100.0 * len(stalls) / max(1, len(answered)),
        percentiles[98],
        loads / max(1, len(results)),
        mean(sizes) if sizes else 0.0,
        100.0 * worst,
        account,
        100.0 * len(wrongful) / len(counted),
        100.0 * by_limit / len(counted),
        100.0 * (len(wrongful) - by_limit) / len(counted),
    )


def _worst_account(counted, entitled):
    """Return the account with the smallest share of its entitled tokens answered."""
    shares = []
    for account in ACCOUNTS:
        of_account = [e for e in counted if e.offered.account == account]
        entitled_tokens = sum(
            e.offered.used for e in of_account if e.offered in entitled
        )
        answered_tokens = sum(
            e.offered.used for e in of_account if e.outcome == "answered"
        )
        shares.append((min(1.0, answered_tokens / entitled_tokens), account))
    share, account = min(shares)
    return account, share
