"""Run the soak test: ``python -m soak --seeds 1 2 3`` or ``--fresh 10``."""

import argparse
import secrets
import sys
from collections import Counter
from random import Random
from time import monotonic, sleep

from soak.callers import Caller, guarantees_not_run
from soak.deployment import Deployment
from soak.faults import FaultPlan

# A withdrawn key must be refused after this time, bounds.revokeMs of the nodes.
REVOCATION_BOUND_S = 5.0
# Every node must serve within these times, after the faults and after the start.
RECOVERY_TIMEOUT_S = 12.0
START_TIMEOUT_S = 15.0
CALLERS_PER_NODE = 2
# Seeds that have failed before, each with its cause.
REGRESSIONS = ()


def run_seed(seed, seconds, logs=None):
    """Run one seed; return the violations, the injected faults and the statuses."""
    rng = Random(seed)
    deployment = Deployment(seed, logs)
    started_at = monotonic()
    plan = FaultPlan(deployment, rng)
    known_keys = ["k0"]
    callers = [
        Caller(
            f"s{seed}n{node.number}c{index}",
            node.front,
            seed * 100 + node.number * 10 + index,
            lambda: Random().choice(known_keys),
            started_at,
        )
        for node in deployment.nodes
        for index in range(CALLERS_PER_NODE)
    ]
    try:
        violations = _check_serving(callers, START_TIMEOUT_S, "start")
        for caller in callers:
            caller.start()
        end = monotonic() + seconds
        while monotonic() < end:
            plan.step(monotonic() - started_at)
            known_keys[:] = sorted(plan.keys | set(plan.withdrawn))
            sleep(rng.uniform(0.2, 1.2))
        deployment.heal()
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join()
        violations += _check_serving(callers, RECOVERY_TIMEOUT_S, "recovery")
    finally:
        deployment.stop()
    statuses = Counter(o.status for caller in callers for o in caller.outcomes)
    return violations + _find_violations(deployment, callers, plan), plan.log, statuses


def _check_serving(callers, limit_s, phase):
    """Return a violation for each node that serves no request within a time."""
    end = monotonic() + limit_s
    unserved = callers[::CALLERS_PER_NODE]
    number = 0
    while unserved and monotonic() < end:
        number += 1
        unserved = [c for c in unserved if c.call(f"{c.name}-{phase}{number}") != 200]
        sleep(0.1)
    return [f"{caller.name}: not served after {phase}" for caller in unserved]


def _find_violations(deployment, callers, plan):
    """Return the violations that callers and engines recorded."""
    violations = [violation for caller in callers for violation in caller.violations]
    runs = {}
    for engine in deployment.engines:
        violations += [
            f"{engine.target_id}: {violation}" for violation in engine.violations
        ]
        for request_id in engine.served:
            runs[request_id] = runs.get(request_id, 0) + 1
    for outcome in (o for caller in callers for o in caller.outcomes):
        count = runs.get(outcome.request_id, 0)
        if guarantees_not_run(outcome) and count:
            violations.append(f"{outcome}: reported as not run, ran {count} times")
        if not outcome.retryable and count > 1:
            violations.append(f"{outcome}: ran {count} times")
        withdrawn_at = plan.withdrawn.get(outcome.key)
        sent_too_late = (
            withdrawn_at is not None
            and outcome.sent_at > withdrawn_at + REVOCATION_BOUND_S
        )
        if sent_too_late and count:
            violations.append(
                f"{outcome}: ran with a key withdrawn at {withdrawn_at:.1f}"
            )
        if outcome.status == 401 and outcome.key == "k0":
            violations.append(f"{outcome}: valid key refused")
    return violations


def main(arguments=None):
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    parser.add_argument("--fresh", type=int, default=0, help="number of new seeds")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--logs", help="folder for the logs of the nodes")
    options = parser.parse_args(arguments)
    seeds = [*options.seeds, *REGRESSIONS]
    seeds += [secrets.randbelow(10**6) for _ in range(options.fresh)]
    failed = 0
    for seed in seeds:
        violations, log, statuses = run_seed(seed, options.seconds, options.logs)
        counts = ", ".join(f"{status}: {n}" for status, n in sorted(statuses.items()))
        print(f"seed {seed}: {len(log)} faults, {len(violations)} violations; {counts}")
        for line in violations[:10]:
            print(f"  {line}")
        if violations:
            print("  injected: " + "; ".join(log))
        failed += bool(violations)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed or not seeds else 0


if __name__ == "__main__":
    sys.exit(main())
