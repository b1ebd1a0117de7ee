"""Run the soak test: ``python -m soak --seeds 1 2 3`` or ``--fresh 10``.

``--old-build DIR`` runs two builds side by side: node 1 starts with the code of the
checkout DIR. At half of the time the faults end, and one node after the other is
stopped with SIGTERM and started with the other build, so that each build takes over
duties and stored objects from the other one. The rest of the faults follow.
"""

import argparse
import secrets
import sys
from collections import Counter
from random import Random
from time import monotonic, sleep

from soak.callers import Caller, guarantees_not_run
from soak.crashes import (
    BODY,
    FATAL_BODY,
    FATAL_PART,
    PART,
    FatalCaller,
    crash_violations,
)
from soak.deployment import Deployment
from soak.evacuations import evacuation_violations
from soak.faults import FaultPlan
from soak.idle_limits import IdleLimits, idle_check
from soak.limits import limit_violations
from soak.rests import rest_violations
from soak.silences import SilentEngines, silence_check

# A withdrawn key must be refused after this time, bounds.revokeMs of the nodes.
REVOCATION_BOUND_S = 5.0
# Every node must serve within these times, after the faults and after the start.
RECOVERY_TIMEOUT_S = 12.0
START_TIMEOUT_S = 15.0
# Time with silent engines and changes of the idle limit only, before other faults.
SILENCES_S = 4.0
CALLERS_PER_NODE = 4
# Further callers of each node, whose connections are idle for most of the time.
IDLE_CALLERS_PER_NODE = 4
_FIRST_IDLE = CALLERS_PER_NODE + 1
# Seeds that have failed before, each with its cause.
REGRESSIONS = (
    # A coordinator that had started after the limits were named issued no permits.
    410,
)


def run_seed(seed, seconds, logs=None, old_build=None):
    """Run one seed.

    Returns
    -------
    tuple
        Violations, injected faults, number of answers by status, and lines about what
        was observed.
    """
    rng = Random(seed)
    deployment = Deployment(seed, logs, old_build)
    started_at = monotonic()
    plan = FaultPlan(deployment, rng)
    known_keys = ["k0"]

    def make_caller(node, index, idle_limits=None, keeps_idle=False):
        return Caller(
            f"s{seed}n{node.number}c{index}",
            deployment.fronts_from(node),
            seed * 100 + node.number * 10 + index,
            lambda: Random().choice(known_keys),
            started_at,
            idle_limits,
            keeps_idle,
        )

    # Older builds are not held to the checks of silences and idle limits.
    plans, idle_limits = [plan], None
    if not old_build:
        idle_limits = IdleLimits(plan, seed)
        plans += [SilentEngines(deployment.engines, seed), idle_limits]
    callers = [
        make_caller(node, index, idle_limits)
        for node in deployment.nodes
        for index in range(CALLERS_PER_NODE)
    ]
    checked_callers = callers[::CALLERS_PER_NODE]
    if not old_build:
        callers += [
            make_caller(node, _FIRST_IDLE + index, idle_limits, keeps_idle=True)
            for node in deployment.nodes
            for index in range(IDLE_CALLERS_PER_NODE)
        ]
    probes = []
    fatal_callers = []
    if not old_build:
        # Builds before the quarantine send fatal requests again and again.
        for engine in deployment.engines:
            engine.fatal_bodies.add(FATAL_BODY)
            engine.fatal_parts.add(FATAL_PART)
        fatal_callers = [
            FatalCaller(kind, deployment.nodes, seed) for kind in (BODY, PART)
        ]

    def inject_faults(seconds, plans, rng):
        end = monotonic() + seconds
        while monotonic() < end:
            for each in plans:
                each.step(monotonic() - started_at)
            known_keys[:] = sorted(plan.keys | set(plan.withdrawn))
            sleep(rng.uniform(0.2, 1.2))

    try:
        violations = _check_serving(checked_callers, START_TIMEOUT_S, "start")
        for caller in callers:
            caller.start()
        if not old_build:
            inject_faults(SILENCES_S, plans[1:], Random(seed))
        for caller in fatal_callers:
            caller.start()
        if old_build:
            seconds /= 2
            inject_faults(seconds, plans, rng)
            probes = _make_probes(deployment, seed, started_at)
            violations += _switch_builds(deployment, probes)
        inject_faults(seconds, plans, rng)
        deployment.heal()
        plan.end_statements()
        for caller in callers:
            caller.stopping.set()
        for caller in callers:
            caller.join()
        violations += _check_serving(checked_callers, RECOVERY_TIMEOUT_S, "recovery")
        for caller in fatal_callers:
            caller.stopping.set()
        for caller in fatal_callers:
            caller.join()
    finally:
        deployment.stop()
    callers += probes
    statuses = Counter(o.status for caller in callers for o in caller.outcomes)
    violations += _find_violations(deployment, callers, plan)
    for caller in fatal_callers:
        statuses.update({f"fatal {s}": n for s, n in caller.statuses.items()})
    crashes = sum(len(engine.crashed_by) for engine in deployment.engines)
    notes = [
        f"broken streams: {sum(c.broken_count for c in callers)}, continued by their "
        f"callers: {sum(c.continued_count for c in callers)}, "
        f"crashes of engines: {crashes}"
    ]
    if not old_build:
        violations += _check_silences_and_limits(
            deployment, callers, plan, started_at, notes
        )
    log = sorted((row for each in plans for row in each.log), key=_log_time)
    return violations, log, statuses, notes


def _check_silences_and_limits(deployment, callers, plan, started_at, notes):
    """Return violations about silent engines and kept connections."""
    outcomes = [outcome for caller in callers for outcome in caller.outcomes]
    found, held, judged = silence_check(
        outcomes, deployment.engines, plan, started_at, _node_of
    )
    silences = sum(len(engine.silences.times) for engine in deployment.engines)
    notes.append(f"silences: {silences}, held-up requests: {held}, judged: {judged}")
    violations = found
    found, kept, judged, long = idle_check(outcomes, plan, started_at, _node_of)
    notes.append(
        f"requests on kept connections: {kept}, judged: {judged}, "
        f"{long} of these after a longer idle time"
    )
    return violations + found


def _log_time(line):
    return float(line.partition(" ")[0])


def _make_probes(deployment, seed, started_at):
    """Return a caller for each node, whose key is never withdrawn."""
    return [
        Caller(
            f"s{seed}n{node.number}probe",
            deployment.fronts_from(node),
            seed * 100 + node.number * 10 + CALLERS_PER_NODE,
            lambda: "k0",
            started_at,
        )
        for node in deployment.nodes
    ]


def _switch_builds(deployment, probes):
    """End the faults and restart each node with the other build; return violations."""
    deployment.heal()
    violations = _check_serving(probes, RECOVERY_TIMEOUT_S, "faults")
    for node, probe in zip(deployment.nodes, probes, strict=True):
        path = deployment.old_path if node.python_path is None else None
        if not node.switch_build(path):
            violations.append(f"node {node.number}: not ended by SIGTERM")
        restarted_at = monotonic()
        violations += _check_serving([probe], START_TIMEOUT_S, "switch")
        build = "current" if path is None else "old"
        served_s = monotonic() - restarted_at
        print(f"  node {node.number}: {build} build, served after {served_s:.1f} s")
    return violations


def _check_serving(callers, limit_s, phase):
    """Return a violation for each node that serves no request within a time."""
    end = monotonic() + limit_s
    unserved = callers
    number = 0
    while unserved and monotonic() < end:
        number += 1
        unserved = [c for c in unserved if c.call(f"{c.name}-{phase}{number}") != 200]
        sleep(0.1)
    return [f"{caller.name}: not served after {phase}" for caller in unserved]


def _find_violations(deployment, callers, plan):
    """Return the violations that callers and engines recorded."""
    violations = [violation for caller in callers for violation in caller.violations]
    violations += limit_violations(
        plan.limits, plan.signalled, plan.limit_ends, _node_of
    )
    violations += rest_violations(
        deployment.engines, plan.engine_faults, plan.signalled, _node_of
    )
    violations += evacuation_violations(
        deployment.engines, plan.evacuations, plan, _node_of
    )
    for kind in (BODY, PART):
        violations += crash_violations(kind, deployment.engines, plan.disturbances)
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


def _node_of(request_id):
    """Return the node that a caller sent a request to; None for a resumed stream."""
    if request_id.endswith("-again"):
        return None
    if request_id.startswith("fatal-"):
        return int(request_id.split("-")[2])
    return int(request_id.partition("n")[2].partition("c")[0].partition("p")[0])


def main(arguments=None):
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    parser.add_argument("--fresh", type=int, default=0, help="number of new seeds")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--logs", help="folder for the logs of the nodes")
    parser.add_argument("--old-build", metavar="DIR", help="checkout of another commit")
    options = parser.parse_args(arguments)
    seeds = [*options.seeds, *REGRESSIONS]
    seeds += [secrets.randbelow(10**6) for _ in range(options.fresh)]
    failed = 0
    for seed in seeds:
        violations, log, statuses, notes = run_seed(
            seed, options.seconds, options.logs, options.old_build
        )
        counts = ", ".join(
            f"{status}: {n}" for status, n in sorted(statuses.items(), key=str)
        )
        print(f"seed {seed}: {len(log)} faults, {len(violations)} violations; {counts}")
        for line in (*notes, *violations[:10]):
            print(f"  {line}")
        if violations:
            print("  injected: " + "; ".join(log))
        failed += bool(violations)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed or not seeds else 0


if __name__ == "__main__":
    sys.exit(main())
