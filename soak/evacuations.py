"""Check that the engines of evacuated zones get no requests."""

from typing import NamedTuple

__all__ = ["BOUND_S", "Evacuation", "evacuation_violations"]

# bounds.evacuateMs of the nodes, as the platform sets it.
BOUND_S = 5.0
# Nodes are held to the bound that were not disturbed for so long.
_STABLE_WINDOW_S = 4.0
# Time by which the end of a fault may follow the planned one, as faults end in steps.
_LATE_END_S = 1.3
# Time after a fault of an engine's link within which what it held up may still arrive.
_HELD_UP_S = 3.0


class Evacuation(NamedTuple):
    """Evacuation of a zone, from its acknowledgement until it was lifted."""

    zone: str
    acked_at: float
    lifted_at: float


def evacuation_violations(engines, evacuations, plan, node_of):
    """Return a line for each evacuation in which engines got requests too late.

    Requests that get 421 count as well, though the platform allows them.

    Parameters
    ----------
    engines : list of EngineStandIn
    evacuations : list of Evacuation
    plan : FaultPlan
    node_of : callable
        Returns the number of the node that a request was sent to, or None if that
        isn't known; such a request counts if no node was disturbed.
    """
    violations = []
    for row in evacuations:
        late = [
            (round(at - row.acked_at, 2), engine.target_id, request_id)
            for engine in engines
            if engine.zone == row.zone
            for at, request_id in zip(engine.arrivals, engine.arrived_ids, strict=False)
            if row.acked_at + BOUND_S < at < row.lifted_at
            and not _is_excused(plan, engine, node_of(request_id), at)
        ]
        if late:
            violations.append(f"{row.zone}: {len(late)} requests too late: {late[:8]}")
    return violations


def _is_excused(plan, engine, node, at):
    """Return whether the node or the link of the engine was disturbed lately."""
    settled_s = _LATE_END_S + _STABLE_WINDOW_S
    is_disturbed = any(
        (node is None or fault.node in (None, node))
        and fault.begins_at <= at <= fault.ends_at + settled_s
        for fault in plan.disturbances
    )
    was_signalled = any(
        (node is None or number == node) and at - _STABLE_WINDOW_S < signal_at <= at
        for number, signal_at in plan.signalled
    )
    is_held_up = any(
        fault.engine in (None, engine)
        and fault.begins_at <= at <= fault.ends_at + _LATE_END_S + _HELD_UP_S
        for fault in plan.engine_faults
    )
    return is_disturbed or was_signalled or is_held_up
