"""Check that engines get no more requests than the limits that they name."""

from typing import NamedTuple

from hibiscusspar_platform.tests.engine_stand_in import EngineStandIn

__all__ = ["LIMIT_MIN_S", "NamedLimit", "limit_violations"]

# Shortest time for which an engine names a limit.
LIMIT_MIN_S = 6.0
# Nodes are held to a limit from this time after it was first named.
_STABLE_WINDOW_S = 3.0
_WINDOW_S = 4.0
# Time from a node's first answer with a limit until its requests count.
_TOLD_S = 0.5


class NamedLimit(NamedTuple):
    """Limit that an engine began to name at a time, in requests a second."""

    engine: EngineStandIn
    per_s: float
    at: float


def limit_violations(limits, signalled, ended_at, node_of):
    """Return a line for each limit that the nodes exceeded.

    Requests of nodes that got a signal shortly before or within a window don't count.

    Parameters
    ----------
    limits : list of NamedLimit
    signalled : list of tuple of (int, float)
        Node and time of each signal.
    ended_at : dict of EngineStandIn to list of float
        Times at which each engine stopped to name a limit.
    node_of : callable
        Returns the number of the node that a request was sent to, or None if that
        isn't known; such requests don't count.
    """
    violations = []
    for limit in limits:
        engine = limit.engine
        ends = [at for at in ended_at.get(engine, ()) if at > limit.at]
        arrivals = [
            (at, node_of(request_id))
            for at, request_id in zip(engine.arrivals, engine.arrived_ids, strict=False)
            if limit.at <= at < min(ends, default=float("inf"))
        ]
        arrivals = [(at, node) for at, node in arrivals if node is not None]
        told_at = {}
        for at, node in arrivals:
            told_at.setdefault(node, engine.silences.ends_at(at) + _TOLD_S)
        allowed = 1.5 * limit.per_s * _WINDOW_S + 5
        for start, _ in arrivals:
            if start < limit.at + _STABLE_WINDOW_S:
                continue
            excused = {
                node
                for node, at in signalled
                if start - _STABLE_WINDOW_S < at < start + _WINDOW_S
            }
            count = sum(
                start <= at < start + _WINDOW_S
                and at >= told_at[node]
                and node not in excused
                for at, node in arrivals
            )
            if count > allowed:
                violations.append(
                    f"{engine.target_id}: {count} requests in {_WINDOW_S} s, "
                    f"{allowed} allowed by its limit of {limit.per_s}"
                )
                break
    return violations
