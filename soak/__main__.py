"""Run the soak test: ``python -m soak --seeds 1 2 3`` or ``--fresh 10``."""

import argparse
import secrets
import sys
from collections import Counter
from random import Random
from time import monotonic, sleep

from soak.callers import Caller, promised_not_run
from soak.deployment import Deployment
from soak.faults import FaultPlan

# A withdrawn key must be refused after this time, bounds.revokeMs of the nodes.
REVOKE_S = 5.0
# Every node must serve within these times, after the faults and after the start.
RECOVER_S = 12.0
START_S = 15.0
CALLERS_A_NODE = 2
# Seeds that have failed before, each with its cause.
REGRESSIONS = ()


def run_seed(seed, seconds, logs=None):
    """Run one seed; return the violations, the injected faults and the statuses."""
    rng = Random(seed)
    deployment = Deployment(seed, logs)
    since = monotonic()
    plan = FaultPlan(deployment, rng)
    known = ["k0"]
    callers = [
        Caller(
            f"s{seed}n{node.number}c{index}",
            node.front,
            seed * 100 + node.number * 10 + index,
            lambda: Random().choice(known),
            since,
        )
        for node in deployment.nodes
        for index in range(CALLERS_A_NODE)
    ]
    try:
        broken = _recover(callers, START_S, "start")
        for caller in callers:
            caller.start()
        end = monotonic() + seconds
        while monotonic() < end:
            plan.step(monotonic() - since)
            known[:] = sorted(plan.keys | set(plan.withdrawn))
            sleep(rng.uniform(0.2, 1.2))
        deployment.heal()
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join()
        broken += _recover(callers, RECOVER_S, "recovery")
    finally:
        deployment.stop()
    statuses = Counter(o.status for caller in callers for o in caller.outcomes)
    return broken + _judge(deployment, callers, plan), plan.log, statuses


def _recover(callers, limit_s, what):
    """Return a violation for each node that serves no request within a time."""
    end = monotonic() + limit_s
    waiting = callers[::CALLERS_A_NODE]
    number = 0
    while waiting and monotonic() < end:
        number += 1
        waiting = [c for c in waiting if c.call(f"{c.name}-{what}{number}") != 200]
        sleep(0.1)
    return [f"{caller.name}: not served after {what}" for caller in waiting]


def _judge(deployment, callers, plan):
    """Return the violations that callers and engines recorded."""
    broken = [fault for caller in callers for fault in caller.faults]
    runs = {}
    for engine in deployment.engines:
        broken += [f"{engine.target_id}: {fault}" for fault in engine.violations]
        for request_id in engine.served:
            runs[request_id] = runs.get(request_id, 0) + 1
    for outcome in (o for caller in callers for o in caller.outcomes):
        count = runs.get(outcome.request_id, 0)
        if promised_not_run(outcome) and count:
            broken.append(f"{outcome}: reported as not run, ran {count} times")
        if not outcome.retryable and count > 1:
            broken.append(f"{outcome}: ran {count} times")
        withdrawn_at = plan.withdrawn.get(outcome.key)
        late = withdrawn_at is not None and outcome.sent_at > withdrawn_at + REVOKE_S
        if late and count:
            broken.append(f"{outcome}: ran with a key withdrawn at {withdrawn_at:.1f}")
        if outcome.status == 401 and outcome.key == "k0":
            broken.append(f"{outcome}: valid key refused")
    return broken


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
        broken, log, statuses = run_seed(seed, options.seconds, options.logs)
        counts = ", ".join(f"{status}: {n}" for status, n in sorted(statuses.items()))
        print(f"seed {seed}: {len(log)} faults, {len(broken)} violations; {counts}")
        for line in broken[:10]:
            print(f"  {line}")
        if broken:
            print("  injected: " + "; ".join(log))
        failed += bool(broken)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed or not seeds else 0


if __name__ == "__main__":
    sys.exit(main())
