"""Check that engines get no requests while they rest."""

from typing import NamedTuple

__all__ = ["EngineFault", "rest_violations"]

# Requests that may reach an engine in a rest, from this time after it asked for it.
_MAX_IN_REST = 2
_MARGIN_S = 0.5
# Time after a fault within which what it held up may still arrive.
_HELD_UP_S = 3.0


class EngineFault(NamedTuple):
    """Fault of the link of an engine, or of any engine for None, with its times."""

    engine: object
    begins_at: float
    ends_at: float


def rest_violations(engines, faults, signalled, node_of):
    """Return a line for each engine that got requests in a rest.

    A rest beside a signal of the node, or a fault of the engine's link, doesn't count.

    Parameters
    ----------
    engines : list of EngineStandIn
    faults : list of EngineFault
    signalled : list of tuple of (int, float)
        Node and time of each signal.
    node_of : callable
        Returns the number of the node that a request was sent to, or None if that
        isn't known.
    """
    violations = []
    for engine in engines:
        arrivals = [
            (at, node_of(request_id))
            for at, request_id in zip(engine.arrivals, engine.arrived_ids, strict=False)
        ]
        for asked_at, request_id, rest_s in engine.rests:
            node = node_of(request_id)
            ends_at = asked_at + rest_s
            is_excused = node is None or any(
                fault.engine in (None, engine)
                and fault.begins_at < ends_at
                and fault.ends_at + _HELD_UP_S > asked_at
                for fault in faults
            )
            is_excused = is_excused or any(
                number == node and asked_at - _HELD_UP_S < at < ends_at
                for number, at in signalled
            )
            count = sum(
                sender == node and asked_at + _MARGIN_S < at < ends_at
                for at, sender in arrivals
            )
            if count > _MAX_IN_REST and not is_excused:
                violations.append(
                    f"{engine.target_id}: {count} requests of node {node} in a rest"
                )
                break
    return violations
