"""Engines that fall silent in the middle of their answers, and the check of callers."""

from random import Random
from time import monotonic

__all__ = ["SilentEngines", "silence_check"]

# Time limit of the callers' requests and of their routes.
_DEADLINE_S = 6.0
_DEADLINE_MARGIN_S = 0.2
# Requests that began this long before or after the signal of a node don't count, as the
# node may end within the deadline of the requests that it has.
_SIGNAL_S = 6.0
# Time by which the end of a fault may follow the planned one, as faults end in steps.
_LATE_END_S = 1.3
# Time for which an engine that crashes may still accept connections.
_CRASH_S = 0.3
# Time for which an engine may go on with a request that another one has taken over.
_MAX_OVERLAP_S = 0.4
# Outcomes of requests that the node ended without the engine's answer.
_ENDED_STATUSES = (0, 502, 504)


class SilentEngines:
    """Generator of silences of sound engines, at times while the others are full.

    Parameters
    ----------
    engines : list of EngineStandIn
    seed : int
    """

    def __init__(self, engines, seed):
        self._engines = engines
        for engine in engines:
            engine.runs.allows_overlaps = True
        self._rng = Random(f"silences/{seed}")
        self._full = []
        self._ends_at = 0.0
        self.log = []

    def step(self, now):
        """Begin a silence unless one lasts; ``now`` is the time for the log."""
        if monotonic() < self._ends_at:
            return
        for engine in self._full:
            engine.rest_s = None
        self._full = []
        rng = self._rng
        if rng.random() < 0.3:
            return
        silent = rng.sample(self._engines, rng.choice((1, 1, 2)))
        duration_s = rng.uniform(0.8, 2.5)
        line = f"{now:.1f} {[e.target_id for e in silent]} silent for {duration_s:.1f}"
        if rng.random() < 0.4:
            self._full = [engine for engine in self._engines if engine not in silent]
            rest_s = rng.choice((0.0, 0.4, 1.5))
            for engine in self._full:
                engine.rest_s = rest_s
            line += f" s, the others full, with {rest_s}"
        for engine in silent:
            engine.silences.begin(duration_s)
        self._ends_at = monotonic() + duration_s
        self.log.append(line + " s")


def silence_check(outcomes, engines, plan, started_at, node_of):
    """Return violations and the numbers of requests that were held up and that count.

    A request that has reached an engine that is or falls silent must not be ended by
    its node before its deadline. It counts unless a link of an engine was faulty, an
    engine crashed (which may have had the request unread), or its node was signalled
    (SIGHUP excepted). Faults of the store excuse nothing. The same holds for an engine
    that still works on a request too long after another one began to.

    Parameters
    ----------
    outcomes : list of Outcome
    engines : list of EngineStandIn
    plan : FaultPlan
    started_at : float
        Monotonic time to which the times of the outcomes refer.
    node_of : callable
        Returns the number of the node that a request was sent to.
    """
    arrivals = {}
    for engine in engines:
        for at, request_id in zip(engine.arrivals, engine.arrived_ids, strict=False):
            arrivals.setdefault(request_id, []).append((engine, at))
    violations = [
        f"{request_id}: two engines worked on it for {seconds:.2f} s"
        for engine in engines
        for request_id, at, seconds in engine.runs.overlaps
        if seconds > _MAX_OVERLAP_S
        and not _is_excused(plan, engines, node_of(request_id), at, at + seconds)
    ]
    held_count = judged_count = 0
    for outcome in outcomes:
        begun_at = started_at + outcome.sent_at
        ended_at = started_at + outcome.ended_at
        arrived = arrivals.get(outcome.request_id, ())
        held_by = [
            engine.target_id
            for engine, at in arrived
            if any(
                begin < ended_at and end > at for begin, end in engine.silences.times
            )
        ]
        if not held_by:
            continue
        held_count += 1
        node = node_of(outcome.request_id)
        if _is_excused(plan, engines, node, begun_at, ended_at):
            continue
        judged_count += 1
        if outcome.status in _ENDED_STATUSES:
            violations.append(f"{outcome}: ended while {held_by} were silent")
    return violations, held_count, judged_count


def _is_excused(plan, engines, node, begun_at, ended_at):
    """Return whether the end of a request may have another reason than a silence."""
    if ended_at - begun_at > _DEADLINE_S - _DEADLINE_MARGIN_S:
        return True
    is_faulty = any(
        fault.begins_at < ended_at and fault.ends_at + _LATE_END_S > begun_at
        for fault in plan.engine_faults
    )
    has_crashed = any(
        begun_at - _CRASH_S < crashed_at < ended_at
        for engine in engines
        for crashed_at, _ in engine.crashed_by
    )
    was_signalled = any(
        number == node and begun_at - _SIGNAL_S < at < ended_at
        for number, at in plan.stops
    )
    return is_faulty or has_crashed or was_signalled
