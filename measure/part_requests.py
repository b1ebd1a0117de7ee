"""Cost of the request path, gaps in many streams and retries in an outage."""

import itertools

from measure.report import Table
from measure.requests_load import STREAMS, Deployment, closed_loop, cpu_s, read_streams
from measure.requests_retry import POLICIES, simulate

FAILING = (1, 3, 6)
IDEMPOTENT_CALLS = 20


def run(quick):
    """Return the tables of the part."""
    with Deployment() as deployment:
        tables = [_plain_table(deployment, quick), _streams_table(deployment, quick)]
    return [*tables, _retries_table()]


def _plain_table(deployment, quick):
    requests = 20 if quick else 100
    numbers = itertools.count()

    def idempotency_header():
        return f"Idempotency-Key: k{next(numbers)}\r\n"

    direct, entry, key = deployment.plain, deployment.entry, deployment.key
    cases = [
        ("direct", direct, "", "/status/7", 1, None),
        ("through hibiscusspard", entry, key, "/status/7", 1, None),
        ("direct", direct, "", "/status/7", 16, None),
        ("through hibiscusspard", entry, key, "/status/7", 16, None),
        ("with Idempotency-Key", entry, key, "/certs/7", 16, idempotency_header),
    ]
    rows = []
    for name, address, secret, path, callers, extra in cases:
        closed_loop(address, secret, path, callers, 5, extra)
        before = cpu_s(deployment.pid)
        calls = IDEMPOTENT_CALLS if extra else requests
        result = closed_loop(address, secret, path, callers, calls, extra)
        latencies, wall_s, failed = result
        used_s = cpu_s(deployment.pid) - before
        total = len(latencies)
        times = [1000 * _quantile(latencies, q) for q in (0.5, 0.95, 0.99)]
        rate = total / wall_s
        cost = 1000 * used_s / total if address == entry else "-"
        rows.append((name, callers, total, failed, *times, rate, cost))
    return Table(
        "Plain calls, closed loop",
        ("path", "callers", "calls", "failed", "p50 ms", "p95 ms", "p99 ms")
        + ("calls/s", "CPU ms a call in hibiscusspard"),
        rows,
    )


def _streams_table(deployment, quick):
    tokens = 20 if quick else 60
    rows = []
    read_streams(deployment.entry, deployment.key, 4, 4, 0.1)
    for number in (1, STREAMS):
        for name, address, key in (
            ("direct", deployment.engine, ""),
            ("through hibiscusspard", deployment.entry, deployment.key),
        ):
            before = cpu_s(deployment.pid)
            results = read_streams(address, key, number, tokens)
            used_s = cpu_s(deployment.pid) - before
            gaps = sorted(results.gaps_s)
            times = [1000 * _quantile(gaps, q) for q in (0.5, 0.95, 0.99)]
            first = 1000 * _quantile(sorted(results.first_s), 0.95)
            is_proxied = address == deployment.entry
            cost = 1000 * used_s / max(1, results.chunks) if is_proxied else "-"
            cores = used_s / results.wall_s if is_proxied else "-"
            rows.append(
                (
                    name,
                    number,
                    results.complete,
                    results.chunks,
                    first,
                    *times,
                    cost,
                    cores,
                )
            )
    return Table(
        "Streams, read by one process",
        ("path", "streams", "whole", "chunks", "first chunk p95 ms")
        + ("gap p50 ms", "gap p95 ms", "gap p99 ms")
        + ("CPU ms a chunk in hibiscusspard", "cores of hibiscusspard"),
        rows,
    )


def _retries_table():
    rows = []
    for failing in FAILING:
        for name, policy in POLICIES.items():
            totals = simulate(policy, failing)
            amplified = totals.attempts / totals.requests
            counts = (totals.answered, totals.not_run, totals.unknown)
            rows.append(
                (failing, name, totals.requests, amplified, *counts, totals.p99_s)
            )
    return Table(
        "Targets fail for 30 s, in virtual time",
        ("failing of 6", "retries", "requests", "attempts a request", "answered")
        + ("refused, not run", "unknown", "p99 s to the end"),
        rows,
    )


def _quantile(values, q):
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(q * len(values)))]
