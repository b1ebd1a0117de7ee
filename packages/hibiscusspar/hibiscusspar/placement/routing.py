"""Choice of a target for a request, and of the target to ask for a load."""

from math import log2
from typing import NamedTuple

__all__ = [
    "LOAD_CHOICES",
    "Dispatch",
    "Refuse",
    "RouteRequest",
    "Wait",
    "pick_held",
    "pick_load_target",
    "pick_plain",
    "pick_resident",
]

LOAD_CHOICES = 3
PENDING_COST = 1.0
RANK_COST = 0.5


class RouteRequest(NamedTuple):
    """What routing needs to know of a request; ``excluded`` targets aren't taken."""

    request_id: str
    service: str
    adapter: str = ""
    version: str = ""
    prefix_digest: str = ""
    zone: str = ""
    excluded: tuple[str, ...] = ()


class Dispatch(NamedTuple):
    """Send the request to this target now; one unit of concurrency is taken."""

    target: str
    incarnation: str
    reason: str


class Wait(NamedTuple):
    """Keep the request queued until its label is among those ready."""

    reason: str


class Refuse(NamedTuple):
    """Give the request up now; a client may come back after ``retry_after_s``."""

    reason: str
    retry_after_s: float = 1.0


def pick_held(holds, specs, zone, prefix_target):
    """Choose among the targets on which this node has units free.

    Parameters
    ----------
    holds : dict of str to Hold
        Targets with at least one free unit.
    specs : dict of str to TargetSpec
    zone : str
        Zone of the request.
    prefix_target : str
        Target that has the prompt's prefix in its cache; empty if none is known.

    Returns
    -------
    (str, str)
        The target and the reason.
    """

    def cost(name):
        hold = holds[name]
        return (
            specs[name].zone != zone,
            name != prefix_target,
            hold.in_use / hold.level,
            name,
        )

    best = min(holds, key=cost)
    if specs[best].zone != zone:
        return best, "resident in another zone"
    if best == prefix_target:
        return best, "resident with prefix"
    return best, "resident"


def pick_resident(names, rows, specs, zone, pending):
    """Order targets that have the label: unsaturated first, then own zone."""

    def cost(name):
        return (
            rows[name].pending > 0 and specs[name].zone != zone,
            specs[name].zone != zone,
            pending.get(name, 0),
            name,
        )

    return sorted(names, key=cost)


def pick_load_target(names, rows, pending):
    """Choose the target to ask for a load.

    The names come in the order of the label's walk of the ring, so that all nodes
    ask the same target unless it is much busier than the next.

    Parameters
    ----------
    names : sequence of str
        The first :data:`LOAD_CHOICES` targets whose owner can be asked.
    rows : dict of str to Row
    pending : dict of str to int
        Labels that this node has already asked each target to load.

    Returns
    -------
    str
    """

    def cost(index):
        row = rows[names[index]]
        queue = max(row.pending, pending.get(row.target, 0))
        return queue * PENDING_COST + log2(1 + row.pressure) + index * RANK_COST

    return names[min(range(len(names)), key=cost)]


def pick_plain(names, specs, zone, in_flight, rng):
    """Choose a target of a plain service, or an empty string if all are full.

    Two targets of the zone are drawn and the less loaded one is taken; other zones
    take what doesn't fit.

    Returns
    -------
    (str, str)
        The target and the reason.
    """
    room = [n for n in names if in_flight.get(n, 0) < specs[n].concurrency]
    near = [n for n in room if specs[n].zone == zone]
    pool = near or room
    if not pool:
        return "", "full"
    drawn = rng.sample(pool, min(2, len(pool)))
    best = min(drawn, key=lambda n: in_flight.get(n, 0) / specs[n].concurrency)
    return best, "two choices" if near else "spill to another zone"
